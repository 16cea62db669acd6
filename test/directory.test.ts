import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Announcement, Fact} from '../src/generated/types.js';
import {Directory, SERVER_TIMEOUT_MS} from '../src/membership/directory.js';

test('an old announcement never revives a leaving server', () => {
	const directory = new Directory('h1');
	directory.merge(server(1, 5, true), 0);
	assert.equal(directory.merge(server(1, 4, false), 10), 'none');
	assert.equal(directory.findServer('s')?.leaving, true);
	assert.equal(directory.merge(server(2, 1, false), 20), 'urgent');
	assert.equal(directory.findServer('s')?.leaving, false);
});

test('any order of arrival gives the same facts', () => {
	const facts = [server(1, 1), server(1, 2, true), server(2, 1), poison('a#1'), poison('b#1')];
	const one = new Directory('h1');
	const other = new Directory('h2');
	for (const fact of facts) {
		one.merge(fact, 0);
	}

	for (const fact of facts.toReversed()) {
		other.merge(fact, 0);
	}

	assert.equal(one.digest(), other.digest());
	assert.deepEqual(one.findPoison('f')?.servers, ['a#1', 'b#1']);
});

test('urgent news goes before load reports, within the bytes allowed', () => {
	const directory = new Directory('h1');
	for (let index = 0; index < 50; index++) {
		const fact = server(1, 1, false, `s${index}`);
		directory.merge(fact, 0);
	}

	while (directory.takeRumors(100_000).length > 0) {
		// What is known everywhere is no news.
	}

	for (let index = 0; index < 50; index++) {
		directory.merge(server(1, 2, index === 49, `s${index}`), 0);
	}

	const [first, ...rest] = directory.takeRumors(480);
	assert.equal(first?.type === 'server' && first.announcement.server, 's49');
	assert.ok(rest.length < 5);
});

test('a load report alone is not urgent, and does not change the digest', () => {
	const directory = new Directory('h1');
	directory.merge(server(1, 1), 0);
	const digest = directory.digest();
	assert.equal(directory.merge(server(1, 2), 0), 'refresh');
	assert.equal(directory.digest(), digest);
});

test('a server that is silent for long is not used', () => {
	const directory = new Directory('h1');
	directory.merge(server(1, 1), 0);
	assert.equal(directory.listServers(SERVER_TIMEOUT_MS - 1).length, 1);
	assert.equal(directory.listServers(SERVER_TIMEOUT_MS + 1).length, 0);
});

function server(incarnation: number, sequence: number, leaving = false, name = 's'): Fact {
	const announcement: Announcement = {
		server: name, kind: 'engine', address: '127.0.0.1', port: 1, incarnation, sequence, leaving, load: {running: sequence, waiting: 0},
	};
	return {type: 'server', announcement};
}

function poison(start: string): Fact {
	return {
		type: 'poison', fingerprint: 'f', servers: [start], at: 0,
	};
}
