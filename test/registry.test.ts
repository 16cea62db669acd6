import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Announcement, Feed} from '../src/generated/types.js';
import {MERGE_RESULTS, ServerRegistry} from '../src/membership/registry.js';
import {ServerDiscovery} from '../src/membership/discovery.js';

const SECOND = 1000;

test('a late announcement of an earlier incarnation changes nothing', () => {
	const registry = new ServerRegistry();
	registry.merge(createAnnouncement({incarnation: 20, sequence: 1}), 0);
	assert.equal(registry.merge(createAnnouncement({incarnation: 10, sequence: 9}), 1), MERGE_RESULTS.none);
	assert.equal(registry.findStatus('s1')?.announcement.incarnation, 20);
});

test('neither a late nor a further announcement revives a server that has announced that it is leaving', () => {
	const registry = new ServerRegistry();
	registry.merge(createAnnouncement({sequence: 1}), 0);
	registry.merge(createAnnouncement({sequence: 3, leaving: true}), 1);
	registry.merge(createAnnouncement({sequence: 2}), 2);
	registry.merge(createAnnouncement({sequence: 4}), 3);
	assert.deepEqual(registry.listUsable(), []);
});

test('a server that is leaving stays so in whatever order that is learned, until it starts anew', () => {
	const registry = new ServerRegistry();
	registry.merge(createAnnouncement({incarnation: 10, sequence: 5}), 0);
	const {revision} = registry;
	assert.equal(registry.merge(createAnnouncement({incarnation: 10, sequence: 3, leaving: true}), 1), MERGE_RESULTS.change);
	assert.deepEqual(registry.listUsable(), []);
	assert.equal(registry.listChangedSince(revision, false).length, 1);
	assert.equal(registry.merge(createAnnouncement({incarnation: 10, sequence: 3, leaving: true}), 1), MERGE_RESULTS.none);
	registry.merge(createAnnouncement({incarnation: 11, sequence: 1}), 2);
	assert.equal(registry.merge(createAnnouncement({incarnation: 10, sequence: 9, leaving: true}), 3), MERGE_RESULTS.none);
	assert.equal(registry.listUsable().length, 1);
});

test('a deregistered server is revived by a new incarnation, not by delayed announcements', () => {
	const registry = new ServerRegistry();
	registry.merge(createAnnouncement({incarnation: 10, sequence: 1}), 0);
	assert.equal(registry.deregister('s1'), true);
	assert.equal(registry.merge(createAnnouncement({incarnation: 10, sequence: 5}), 1), MERGE_RESULTS.none);
	assert.deepEqual(registry.listUsable(), []);
	assert.equal(registry.merge(createAnnouncement({incarnation: 11, sequence: 1}), 2), MERGE_RESULTS.change);
	assert.equal(registry.listUsable().length, 1);
});

test('an address belongs to the server that started there last', () => {
	const registry = new ServerRegistry();
	registry.merge(createAnnouncement({server: 'old', incarnation: 10}), 0);
	registry.merge(createAnnouncement({server: 'new', incarnation: 20}), 1);
	assert.deepEqual(registry.listUsable().map(({server}) => server), ['new']);
	assert.equal(registry.merge(createAnnouncement({server: 'ghost', incarnation: 15, sequence: 3}), 2), MERGE_RESULTS.none);
});

test('a silent server is reported once and becomes usable again with its next announcement', () => {
	const registry = new ServerRegistry({silentAfterMs: 6 * SECOND, forgetAfterMs: 60 * SECOND});
	registry.merge(createAnnouncement({sequence: 1}), 0);
	assert.deepEqual(registry.expire(5 * SECOND), []);
	assert.deepEqual(registry.expire(7 * SECOND), ['s1']);
	assert.deepEqual(registry.expire(8 * SECOND), []);
	assert.deepEqual(registry.listUsable(), []);
	assert.equal(registry.merge(createAnnouncement({sequence: 2}), 9 * SECOND), MERGE_RESULTS.change);
	assert.equal(registry.listUsable().length, 1);
});

test('refreshes are listed only on request', () => {
	const registry = new ServerRegistry();
	registry.merge(createAnnouncement({sequence: 1}), 0);
	const {revision} = registry;
	registry.merge(createAnnouncement({sequence: 2}), 1);
	assert.equal(registry.listChangedSince(revision, false).length, 0);
	assert.equal(registry.listChangedSince(revision, true).length, 1);
});

test('merging does not depend on the order of arrival', () => {
	const announcements = [
		createAnnouncement({incarnation: 10, sequence: 1}),
		createAnnouncement({incarnation: 10, sequence: 2, leaving: true}),
		createAnnouncement({incarnation: 12, sequence: 1}),
		createAnnouncement({incarnation: 12, sequence: 2, role: 'prefill'}),
	];
	for (const order of permute(announcements)) {
		const registry = new ServerRegistry();
		for (const announcement of order) {
			registry.merge(announcement, 0);
		}

		assert.deepEqual(registry.listUsable().map(({incarnation, sequence, role}) => ({incarnation, sequence, role})), [{incarnation: 12, sequence: 2, role: 'prefill'}]);
	}
});

test('an entry host stops using a server once it is silent on every control host', () => {
	const controlHosts = {listLive: () => ['c1', 'c2'], isWarm: () => true};
	const discovery = new ServerDiscovery(controlHosts);
	const announcement = createAnnouncement({});
	discovery.merge(createFeed({whole: true, sightings: [{announcement, gone: false, silent: false}]}), 'c1', 0);
	discovery.merge(createFeed({whole: true, sightings: [{announcement, gone: false, silent: false}]}), 'c2', 0);
	discovery.merge(createFeed({sightings: [{announcement, gone: false, silent: true}]}), 'c1', 1);
	assert.equal(discovery.listUsable().length, 1);
	discovery.merge(createFeed({sightings: [{announcement, gone: false, silent: true}]}), 'c2', 2);
	assert.equal(discovery.listUsable().length, 0);
});

test('an entry host keeps using its last known servers while all control hosts restart', () => {
	const warm = {value: true};
	const discovery = new ServerDiscovery({listLive: () => ['c1'], isWarm: () => warm.value});
	discovery.merge(createFeed({whole: true, sightings: [{announcement: createAnnouncement({}), gone: false, silent: false}]}), 'c1', 0);
	warm.value = false;
	discovery.merge(createFeed({whole: true, sightings: []}), 'c1', 1);
	assert.equal(discovery.listUsable().length, 1);
	warm.value = true;
	assert.equal(discovery.listUsable().length, 0);
});

function createAnnouncement(fields: Partial<Announcement>): Announcement {
	return {
		server: 's1', kind: 'plain', address: '10.0.0.1', port: 80, incarnation: 10, sequence: 1, services: ['a'], leaving: false, ...fields,
	};
}

function createFeed(fields: Partial<Feed>): Feed {
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
