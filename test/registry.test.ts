import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Announcement, Feed} from '../src/generated/types.js';
import {MERGE_RESULTS, ServerRegistry} from '../src/membership/registry.js';
import {ServerDiscovery} from '../src/membership/discovery.js';

const SECOND = 1000;

test('a late announcement of an earlier start changes nothing', () => {
	const registry = new ServerRegistry();
	registry.merge(announce({incarnation: 20, sequence: 1}), 0);
	assert.equal(registry.merge(announce({incarnation: 10, sequence: 9}), 1), MERGE_RESULTS.none);
	assert.equal(registry.findStatus('s1')?.announcement.incarnation, 20);
});

test('an announcement that was overtaken by the notice of leaving does not revive the server', () => {
	const registry = new ServerRegistry();
	registry.merge(announce({sequence: 1}), 0);
	registry.merge(announce({sequence: 3, leaving: true}), 1);
	registry.merge(announce({sequence: 2}), 2);
	registry.merge(announce({sequence: 4}), 3);
	assert.deepEqual(registry.listUsable(), []);
});

test('a leave holds against delayed announcements and not against a new start under the same identity', () => {
	const registry = new ServerRegistry();
	registry.merge(announce({incarnation: 10, sequence: 1}), 0);
	assert.equal(registry.deregister('s1'), true);
	assert.equal(registry.merge(announce({incarnation: 10, sequence: 5}), 1), MERGE_RESULTS.none);
	assert.deepEqual(registry.listUsable(), []);
	assert.equal(registry.merge(announce({incarnation: 11, sequence: 1}), 2), MERGE_RESULTS.change);
	assert.equal(registry.listUsable().length, 1);
});

test('an address belongs to the server that started there last', () => {
	const registry = new ServerRegistry();
	registry.merge(announce({server: 'old', incarnation: 10}), 0);
	registry.merge(announce({server: 'new', incarnation: 20}), 1);
	assert.deepEqual(registry.listUsable().map(({server}) => server), ['new']);
	assert.equal(registry.merge(announce({server: 'ghost', incarnation: 15, sequence: 3}), 2), MERGE_RESULTS.none);
});

test('a silent server is told of once and used again with its next announcement', () => {
	const registry = new ServerRegistry({silentAfterMs: 6 * SECOND, forgetAfterMs: 60 * SECOND});
	registry.merge(announce({sequence: 1}), 0);
	assert.deepEqual(registry.expire(5 * SECOND), []);
	assert.deepEqual(registry.expire(7 * SECOND), ['s1']);
	assert.deepEqual(registry.expire(8 * SECOND), []);
	assert.deepEqual(registry.listUsable(), []);
	assert.equal(registry.merge(announce({sequence: 2}), 9 * SECOND), MERGE_RESULTS.change);
	assert.equal(registry.listUsable().length, 1);
});

test('refreshes are listed only for those who ask for them', () => {
	const registry = new ServerRegistry();
	registry.merge(announce({sequence: 1}), 0);
	const {revision} = registry;
	registry.merge(announce({sequence: 2}), 1);
	assert.equal(registry.listChangedSince(revision, false).length, 0);
	assert.equal(registry.listChangedSince(revision, true).length, 1);
});

test('merging does not depend on the order of arrival', () => {
	const news = [
		announce({incarnation: 10, sequence: 1}),
		announce({incarnation: 10, sequence: 2, leaving: true}),
		announce({incarnation: 12, sequence: 1}),
		announce({incarnation: 12, sequence: 2, role: 'prefill'}),
	];
	for (const order of permute(news)) {
		const registry = new ServerRegistry();
		for (const announcement of order) {
			registry.merge(announcement, 0);
		}

		assert.deepEqual(registry.listUsable().map(({incarnation, sequence, role}) => ({incarnation, sequence, role})), [{incarnation: 12, sequence: 2, role: 'prefill'}]);
	}
});

test('an entry host drops a server once every control host that knows is without it', () => {
	const live = {listLive: () => ['c1', 'c2'], isWarm: () => true};
	const roster = new ServerDiscovery(live);
	const announcement = announce({});
	roster.merge(feed({whole: true, sightings: [{announcement, gone: false, silent: false}]}), 'c1', 0);
	roster.merge(feed({whole: true, sightings: [{announcement, gone: false, silent: false}]}), 'c2', 0);
	roster.merge(feed({sightings: [{announcement, gone: false, silent: true}]}), 'c1', 1);
	assert.equal(roster.listUsable().length, 1);
	roster.merge(feed({sightings: [{announcement, gone: false, silent: true}]}), 'c2', 2);
	assert.equal(roster.listUsable().length, 0);
});

test('an entry host goes on with its last view when all control hosts start anew', () => {
	const warm = {value: true};
	const roster = new ServerDiscovery({listLive: () => ['c1'], isWarm: () => warm.value});
	roster.merge(feed({whole: true, sightings: [{announcement: announce({}), gone: false, silent: false}]}), 'c1', 0);
	warm.value = false;
	roster.merge(feed({whole: true, sightings: []}), 'c1', 1);
	assert.equal(roster.listUsable().length, 1);
	warm.value = true;
	assert.equal(roster.listUsable().length, 0);
});

function announce(fields: Partial<Announcement>): Announcement {
	return {
		server: 's1', kind: 'plain', address: '10.0.0.1', port: 80, incarnation: 10, sequence: 1, services: ['a'], leaving: false, ...fields,
	};
}

function feed(fields: Partial<Feed>): Feed {
	return {
		type: 'feed', host: 'c', whole: false, hasQuorum: true, isWarm: true, version: 0, sightings: [], members: [], entries: 1, ...fields,
	};
}

function permute<Item>(items: readonly Item[]): Item[][] {
	if (items.length <= 1) {
		return [[...items]];
	}

	return items.flatMap((item, index) => permute(items.toSpliced(index, 1)).map(rest => [item, ...rest]));
}
