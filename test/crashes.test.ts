import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSilentLoggers} from '../src/base/logger.js';
import type {Announcement, PoisonFact} from '../src/generated/types.js';
import {CrashTable, mergeCrashFacts} from '../src/membership/crashes.js';
import {INCARNATION_STATES, ServerRegistry} from '../src/membership/registry.js';
import {CrashMonitor} from '../src/serving/crashes.js';
import type {ProbeResult} from '../src/wire/probe.js';

const SERVER: Announcement = {
	server: 's1', kind: 'engine', address: '127.0.0.1', port: 1, incarnation: 1, sequence: 1,
};

test('crash facts that arrive in any order merge to the same table, and changes are listed once', () => {
	const facts = [createFact('f', ['a#1']), createFact('f', ['b#1']), createFact('f', ['a#1'], ['a#1']), createFact('g', ['a#1'])];
	const first = new CrashTable();
	const second = new CrashTable();
	assert.ok(mergeCrashFacts(first, facts));
	assert.ok(mergeCrashFacts(second, facts.toReversed()));
	assert.ok(!mergeCrashFacts(second, facts));
	assert.deepEqual(first.findFact('f'), second.findFact('f'));
	const {revision} = first;
	first.merge(createFact('f', ['c#1']));
	assert.deepEqual(first.listChangedSince(revision), [createFact('f', ['c#1'], [])]);
	assert.deepEqual(first.listChangedSince(first.revision), []);
});

test('of a part that is in flight at most crashes only the latest are kept', () => {
	const table = new CrashTable();
	for (let index = 0; index < 200; index++) {
		table.merge(createFact('part/popular', [`s${index}#1`], [`s${index}#1`]));
	}

	assert.equal(table.findFact('part/popular')?.servers.length, 64);
	assert.ok(table.findFact('part/popular')?.servers.includes('s199#1'));
});

test('a request is poisoned once no other request was in flight at all of its crashes', () => {
	const table = new CrashTable();
	mergeCrashFacts(table, [createFact('poison', ['a#1', 'b#1']), createFact('beside', ['a#1', 'b#1'])]);
	assert.deepEqual(listPoisoned(table), []);
	table.merge(createFact('poison', ['c#1']));
	assert.deepEqual(listPoisoned(table), ['poison']);
	table.merge(createFact('poison', ['d#1']));
	assert.deepEqual(listPoisoned(table), ['poison']);
});

test('a request that was served since is not poisoned by earlier crashes, nor is the one that remains cleared by it', () => {
	const table = new CrashTable();
	mergeCrashFacts(table, [createFact('poison', ['a#1', 'b#1']), createFact('beside', ['a#1', 'b#1'])]);
	table.merge(createFact('beside', ['a#1', 'b#1'], ['a#1', 'b#1']));
	assert.deepEqual(listPoisoned(table), ['poison']);
});

test('requests that were in flight at the same four crashes are all poisoned', () => {
	const table = new CrashTable();
	mergeCrashFacts(table, ['poison', 'beside'].map(name => createFact(name, ['a#1', 'b#1', 'c#1', 'd#1'])));
	assert.deepEqual(listPoisoned(table), ['beside', 'poison']);
});

test('a crash told by a closed connection and a refused probe counts for all requests in flight there', async () => {
	const {monitor, table, published} = createMonitor('refused');
	const [broken] = ['broken', 'running'].map(id => monitor.track(SERVER, createRequest(id)));
	monitor.track(SERVER, createRequest('answered')).succeed();
	broken!.breakOff();
	await nextTurn();
	assert.deepEqual(published.map(({fingerprint}) => fingerprint).toSorted(), ['broken', 'running']);
	assert.deepEqual(table.findFact('broken')?.servers, ['s1#1']);
});

test('a connection closed by a server that accepts new ones, or does not respond to the probe, is no crash', async () => {
	for (const result of ['accepted', 'silent'] as const) {
		const {monitor, published} = createMonitor(result);
		monitor.track(SERVER, createRequest('broken')).breakOff();
		await nextTurn();
		assert.deepEqual(published, []);
	}
});

test('a crash told only by a new incarnation counts for requests that got no answer', async () => {
	const {monitor, published, advance} = createMonitor('silent');
	monitor.track(SERVER, createRequest('timed-out')).abandon();
	monitor.track(SERVER, createRequest('silent'));
	const old = monitor.track({...SERVER, server: 's2', port: 2}, createRequest('long-ago'));
	old.abandon();
	advance(6000);
	monitor.track(SERVER, createRequest('lost')).abandon();
	monitor.checkServers(() => INCARNATION_STATES.replaced);
	assert.deepEqual(published.map(({fingerprint}) => fingerprint).toSorted(), ['lost', 'silent']);
});

test('requests at a server that leaves as planned are not suspected', () => {
	const {monitor, published} = createMonitor('refused');
	monitor.track(SERVER, createRequest('cancelled')).abandon();
	monitor.checkServers(() => INCARNATION_STATES.left);
	monitor.checkServers(() => INCARNATION_STATES.replaced);
	assert.deepEqual(published, []);
});

test('the registry tells a replaced server from one that left', () => {
	const registry = new ServerRegistry();
	registry.merge(SERVER, 0);
	assert.equal(registry.findIncarnationState(SERVER), INCARNATION_STATES.present);
	registry.deregister('s1');
	assert.equal(registry.findIncarnationState(SERVER), INCARNATION_STATES.left);
	registry.merge({...SERVER, server: 's2', incarnation: 2}, 0);
	assert.equal(registry.findIncarnationState(SERVER), INCARNATION_STATES.replaced);
	registry.merge({...SERVER, port: 2, server: 's3'}, 0);
	registry.merge({
		...SERVER, port: 2, server: 's3', incarnation: 2,
	}, 0);
	assert.equal(registry.findIncarnationState({...SERVER, port: 2, server: 's3'}), INCARNATION_STATES.replaced);
});

test('a request that is served is acquitted on every host of the crashes known so far', () => {
	const {monitor, table, published} = createMonitor('refused');
	mergeCrashFacts(table, [createFact('f', ['a#1', 'b#1'])]);
	assert.ok(monitor.isQuarantined(createRequest('f')));
	monitor.track(SERVER, createRequest('f')).succeed();
	assert.ok(!monitor.isQuarantined(createRequest('f')));
	assert.deepEqual(published.map(({acquitted}) => acquitted), [['a#1', 'b#1']]);
});

test('a prompt part in flight at three crashes of different requests is poisoned, a part served since is not', () => {
	const {monitor, table} = createMonitor('refused');
	for (const [index, server] of ['e1', 'e2', 'e3'].entries()) {
		monitor.track({...SERVER, server}, createRequest(`bad${index}`, ['shared', 'bad']));
		monitor.track({...SERVER, server}, createRequest(`beside${index}`, ['shared', `session${index}`]));
		monitor.checkServers(() => INCARNATION_STATES.replaced);
		monitor.track({...SERVER, server: 'e9'}, createRequest(`served${index}`, ['shared', 'other'])).succeed();
	}

	assert.deepEqual(listPoisoned(table), ['part/bad']);
	assert.ok(monitor.isQuarantined(createRequest('new', ['shared', 'bad'])));
	assert.ok(!monitor.isQuarantined(createRequest('new', ['shared', 'other'])));
});

test('the shared parts of a poisoned request are not poisoned', () => {
	const {monitor, table} = createMonitor('refused');
	for (const server of ['e1', 'e2', 'e3']) {
		monitor.track({...SERVER, server}, createRequest('poison', ['shared', 'session']));
		monitor.checkServers(() => INCARNATION_STATES.replaced);
	}

	assert.deepEqual(listPoisoned(table), ['poison']);
});

test('a part that was served after an earlier crash is poisoned by five further ones', () => {
	const table = new CrashTable();
	mergeCrashFacts(table, [createFact('part/a', ['e0#1'], ['e0#1']), createFact('part/a', ['e1#1', 'e2#1', 'e3#1', 'e4#1'])]);
	assert.deepEqual(listPoisoned(table), []);
	table.merge(createFact('part/a', ['e5#1']));
	assert.deepEqual(listPoisoned(table), ['part/a']);
});

test('of two parts with the same crashes, none is poisoned before the fourth', () => {
	const table = new CrashTable();
	mergeCrashFacts(table, ['part/a', 'part/b'].map(key => createFact(key, ['e1#1', 'e2#1', 'e3#1'])));
	assert.deepEqual(listPoisoned(table), []);
	table.merge(createFact('part/b', ['e4#1']));
	assert.deepEqual(listPoisoned(table), ['part/b']);
});

function createMonitor(probeResult: ProbeResult) {
	const table = new CrashTable();
	const published: PoisonFact[] = [];
	let nowMs = 0;
	const monitor = new CrashMonitor({
		clock: {monotonicMs: () => nowMs, wallMs: () => nowMs},
		logger: createSilentLoggers()('routing'),
		table,
		probe: async () => probeResult,
		publish(facts) {
			published.push(...facts);
		},
	});
	return {
		monitor, table, published, advance(ms: number) {
			nowMs += ms;
		},
	};
}

function createRequest(name: string, sharedParts: string[] = []) {
	return {id: name, getFingerprint: () => name, sharedParts};
}

function createFact(fingerprint: string, servers: string[], acquitted?: string[]): PoisonFact {
	return {
		type: 'poison', fingerprint, servers, at: 0, ...(acquitted && {acquitted}),
	};
}

function listPoisoned(table: CrashTable): string[] {
	return table.listFacts().map(({fingerprint}) => fingerprint).filter(fingerprint => table.isPoisoned(fingerprint)).toSorted();
}

async function nextTurn(): Promise<void> {
	return new Promise(resolve => {
		setImmediate(resolve);
	});
}
