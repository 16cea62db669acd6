import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Announcement, Fact} from '../src/generated/types.js';
import {Directory, SERVER_TIMEOUT_MS} from '../src/membership/directory.js';

test('an outdated announcement never revives a leaving server', () => {
	const directory = new Directory('h1');
	directory.merge(createServerFact(1, 5, true), 0);
	assert.equal(directory.merge(createServerFact(1, 4, false), 10), 'none');
	assert.equal(directory.findServer('s')?.leaving, true);
	assert.equal(directory.merge(createServerFact(2, 1, false), 20), 'urgent');
	assert.equal(directory.findServer('s')?.leaving, false);
});

test('facts that arrive in any order merge to the same state', () => {
	const facts = [createServerFact(1, 1), createServerFact(1, 2, true), createServerFact(2, 1), createPoisonFact('a#1'), createPoisonFact('b#1')];
	const first = new Directory('h1');
	const second = new Directory('h2');
	for (const fact of facts) {
		first.merge(fact, 0);
	}

	for (const fact of facts.toReversed()) {
		second.merge(fact, 0);
	}

	assert.equal(first.digest(), second.digest());
	assert.deepEqual(first.findPoison('f')?.servers, ['a#1', 'b#1']);
});

test('urgent facts are sent before load reports, within the byte limit', () => {
	const directory = new Directory('h1');
	for (let index = 0; index < 50; index++) {
		const fact = createServerFact(1, 1, false, `s${index}`);
		directory.merge(fact, 0);
	}

	while (directory.takeRumors(100_000).length > 0) {
		// Drains the queue, so that it holds only the changes made below.
	}

	for (let index = 0; index < 50; index++) {
		directory.merge(createServerFact(1, 2, index === 49, `s${index}`), 0);
	}

	const [first, ...rest] = directory.takeRumors(480);
	assert.equal(first?.type === 'server' && first.announcement.server, 's49');
	assert.ok(rest.length < 5);
});

test('a load report alone is not urgent and does not change the digest', () => {
	const directory = new Directory('h1');
	directory.merge(createServerFact(1, 1), 0);
	const digest = directory.digest();
	assert.equal(directory.merge(createServerFact(1, 2), 0), 'refresh');
	assert.equal(directory.digest(), digest);
});

test('a server without a recent announcement is not listed', () => {
	const directory = new Directory('h1');
	directory.merge(createServerFact(1, 1), 0);
	assert.equal(directory.listServers(SERVER_TIMEOUT_MS - 1).length, 1);
	assert.equal(directory.listServers(SERVER_TIMEOUT_MS + 1).length, 0);
});

function createServerFact(incarnation: number, sequence: number, leaving = false, name = 's'): Fact {
	const announcement: Announcement = {
		server: name, kind: 'engine', address: '127.0.0.1', port: 1, incarnation, sequence, leaving, load: {running: sequence, waiting: 0},
	};
	return {type: 'server', announcement};
}

function createPoisonFact(crash: string): Fact {
	return {
		type: 'poison', fingerprint: 'f', servers: [crash], at: 0,
	};
}
