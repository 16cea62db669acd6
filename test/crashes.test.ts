import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Registry} from 'prom-client';
import {createSilentLoggers} from '../src/base/logger.js';
import {sleep} from '../src/base/clock.js';
import type {Announcement, PoisonFact} from '../src/generated/types.js';
import {readClaims, readReports} from '../src/membership/crashfacts.js';
import {CrashTable, mergeCrashFacts} from '../src/membership/crashes.js';
import {INCARNATION_STATES, ServerRegistry} from '../src/membership/registry.js';
import {hashPart, hashRequest} from '../src/routing/suspects.js';
import {TRIAL_DELAYS_MS} from '../src/routing/trials.js';
import {CrashMonitor, type SuspectRequest} from '../src/serving/crashes.js';
import {createServingMetrics} from '../src/serving/metrics.js';
import type {ProbeResult} from '../src/wire/probe.js';

const SERVER: Announcement = {
	server: 's1', kind: 'engine', address: '127.0.0.1', port: 1, incarnation: 1, sequence: 1,
};

test('crash facts that arrive in any order merge to the same table, and changes are listed once', () => {
	const facts = [createFact('f', ['a#1']), createFact('f', ['b#1']), createFact('f', ['a#1'], ['a#1']), createFact('g', ['a#1'])];
	const first = new CrashTable();
	const second = new CrashTable();
	assert.ok(mergeCrashFacts(first, facts, 0));
	assert.ok(mergeCrashFacts(second, facts.toReversed(), 0));
	assert.ok(!mergeCrashFacts(second, facts, 0));
	assert.deepEqual(first.findFact('f'), second.findFact('f'));
	const {revision} = first;
	first.merge(createFact('f', ['c#1']), 0);
	assert.deepEqual(first.listChangedSince(revision), [createFact('f', ['c#1'], [])]);
	assert.deepEqual(first.listChangedSince(first.revision), []);
});

test('of a part that is in flight at most crashes only the latest are kept', () => {
	const table = new CrashTable();
	for (let index = 0; index < 200; index++) {
		table.merge(createFact('part/popular', [`s${index}#1`], [`s${index}#1`]), 0);
	}

	assert.equal(table.findFact('part/popular')?.servers.length, 64);
	assert.ok(table.findFact('part/popular')?.servers.includes('s199#1'));
});

test('a crash told by a closed connection and a refused probe counts for all requests in flight there', async () => {
	const {monitor, table, published} = createMonitor('refused');
	const [broken] = ['broken', 'running'].map(id => monitor.track(SERVER, createRequest(id)));
	monitor.track(SERVER, createRequest('answered')).succeed();
	broken!.breakOff();
	await nextTurn();
	assert.deepEqual(listReported(published), [{crash: 's1#1', requests: ['broken', 'running']}]);
	assert.ok(!table.isEmpty);
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
	assert.deepEqual(listReported(published), [{crash: 's1#1', requests: ['lost', 'silent']}]);
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

test('a request that is served is cleared on every host of the crashes known so far', () => {
	const {monitor, published} = createMonitor('refused');
	const other = createMonitor('refused');
	monitor.receive([createFact('f', ['a#1', 'b#1'])]);
	other.monitor.receive([createFact('f', ['a#1', 'b#1'])]);
	assert.ok(monitor.isQuarantined(createRequest('f')));
	monitor.track(SERVER, createRequest('f')).succeed();
	assert.ok(!monitor.isQuarantined(createRequest('f')));
	other.monitor.receive(published);
	assert.ok(!other.monitor.isQuarantined(createRequest('f')));
});

test('a prompt part in flight at three crashes of different requests is poisoned, a part served since is not', () => {
	const {monitor} = createMonitor('refused');
	for (const [index, server] of ['e1', 'e2', 'e3'].entries()) {
		monitor.track({...SERVER, server}, createRequest(`bad${index}`, ['shared', 'bad']));
		monitor.track({...SERVER, server}, createRequest(`beside${index}`, ['shared', `session${index}`]));
		monitor.checkServers(() => INCARNATION_STATES.replaced);
		monitor.track({...SERVER, server: 'e9'}, createRequest(`served${index}`, ['shared', 'other'])).succeed();
	}

	assert.ok(monitor.isQuarantined(createRequest('new', ['bad'])));
	assert.ok(monitor.isQuarantined(createRequest('new', ['shared', 'bad'])));
	assert.ok(!monitor.isQuarantined(createRequest('new', ['shared', 'other'])));
	assert.ok(!monitor.isQuarantined(createRequest('bad0')));
});

test('the shared parts of a poisoned request are not poisoned', () => {
	const {monitor} = createMonitor('refused');
	for (const server of ['e1', 'e2', 'e3']) {
		monitor.track({...SERVER, server}, createRequest('poison', ['shared', 'session']));
		monitor.checkServers(() => INCARNATION_STATES.replaced);
	}

	assert.ok(monitor.isQuarantined(createRequest('poison')));
	assert.ok(!monitor.isQuarantined(createRequest('new', ['shared', 'session'])));
});

test('facts of hosts of older versions count like reports', () => {
	const {monitor} = createMonitor('refused');
	monitor.receive(['a#1', 'b#1', 'c#1'].map((server, index) => createFact('part/bad', [server], undefined, index * 5000)));
	assert.ok(monitor.isQuarantined(createRequest('new', ['bad'])));
	monitor.receive([createFact('part/bad', ['a#1'], ['a#1'])]);
	assert.ok(!monitor.isQuarantined(createRequest('new', ['bad'])));
});

// Guards against sound parts that are refused because the host that reports a crash has not served them itself.
test('a host that has served a part says so when others blame it', () => {
	const {monitor, published, advance} = createMonitor('refused');
	const server = createMonitor('refused');
	server.monitor.track(SERVER, createRequest('sound', ['shared'])).succeed();
	for (const name of ['e1', 'e2', 'e3']) {
		monitor.track({...SERVER, server: name}, createRequest(`in flight at ${name}`, ['shared']));
	}

	monitor.checkServers(() => INCARNATION_STATES.replaced);
	assert.ok(monitor.isQuarantined(createRequest('new', ['shared'])));
	advance(100);
	server.monitor.receive(published);
	monitor.receive(server.published);
	assert.ok(!monitor.isQuarantined(createRequest('new', ['shared'])));
});

// Guards against crashes that count as one moment because other suspects were cleared of them at the same time.
test('what is cleared of crashes does not change when they happened', () => {
	const {monitor, advance} = createMonitor('refused');
	monitor.track(SERVER, createRequest('before', ['turned bad'])).succeed();
	for (const server of ['e1', 'e2', 'e3', 'e4', 'e5']) {
		monitor.track({...SERVER, server}, createRequest(`at ${server}`, ['turned bad', 'sound']));
		monitor.checkServers(() => INCARNATION_STATES.replaced);
		advance(5000);
	}

	monitor.track({...SERVER, server: 'e9'}, createRequest('after', ['sound'])).succeed();
	assert.ok(monitor.isQuarantined(createRequest('new', ['turned bad'])));
	assert.ok(!monitor.isQuarantined(createRequest('new', ['sound'])));
});

// Guards against refusals that nothing can end, and against trials of several hosts at once.
test('of two hosts one sends a blocked request in a trial, and its success ends the refusal on both', async () => {
	const hosts = createConnectedMonitors();
	const [first, second] = hosts;
	blockRequest(first!, 'f');
	assert.ok(hosts.every(({monitor}) => monitor.isQuarantined(createRequest('f'))));
	assert.ok(!(await first!.monitor.admit(createRequest('f'))).isAdmitted);
	for (const {advance} of hosts) {
		advance(TRIAL_DELAYS_MS[0] + 1);
	}

	const requests = hosts.map(() => createRequest('f'));
	const admissions = await Promise.all(hosts.map(async ({monitor}, index) => monitor.admit(requests[index]!)));
	assert.deepEqual(admissions.map(({isAdmitted}) => isAdmitted), [true, false]);
	assert.ok(!first!.monitor.isQuarantined(requests[0]!));
	assert.ok(second!.monitor.isQuarantined(requests[1]!));
	first!.monitor.track(SERVER, requests[0]!).succeed();
	assert.ok(hosts.every(({monitor}) => !monitor.isQuarantined(createRequest('f'))));
});

test('a blocked request that crashes servers in each trial is sent in three of them', async () => {
	const hosts = createConnectedMonitors();
	blockRequest(hosts[0]!, 'f');
	let sentCount = 0;
	for (let second = 0; second < 1000; second += 10) {
		for (const {monitor, advance} of hosts) {
			advance(10_000);
			const request = createRequest('f');
			const admission = await monitor.admit(request);
			if (admission.isAdmitted) {
				sentCount++;
				const attempt = monitor.track({...SERVER, server: `t${sentCount}`}, request);
				attempt.breakOff();
				await sleep(5);
				assert.ok(monitor.isQuarantined(request));
			} else {
				assert.ok(admission.retryMs >= 1000 && admission.retryMs <= 60_000);
			}

			monitor.endRequest(request);
		}
	}

	assert.equal(sentCount, TRIAL_DELAYS_MS.length);
});

test('a trial whose request was not sent does not count', async () => {
	const host = createMonitor('refused');
	blockRequest(host, 'f');
	for (let round = 0; round < 5; round++) {
		host.advance(TRIAL_DELAYS_MS[0] + 1);
		const request = createRequest('f');
		assert.ok((await host.monitor.admit(request)).isAdmitted);
		if (round > 2) {
			host.monitor.track(SERVER, request).miss();
		}

		host.monitor.endRequest(request);
	}
});

// Guards against requests that stay refused because two blocks refuse them, and no request that one of these refuses alone comes any more.
test('a request that several blocks refuse is sent in a trial, and its success ends them all', async () => {
	const host = createMonitor('refused');
	for (const [server, parts] of [['e1', ['a']], ['e2', ['a', 'b']], ['e3', ['a', 'b']], ['e4', ['b']]] as const) {
		host.monitor.track({...SERVER, server}, createRequest(server, [...parts]));
		host.monitor.checkServers(() => INCARNATION_STATES.replaced);
		host.advance(5000);
	}

	host.advance(20_000);
	const request = createRequest('new', ['a', 'b']);
	assert.ok(host.monitor.isQuarantined(createRequest('other', ['a'])));
	assert.ok(host.monitor.isQuarantined(createRequest('other', ['b'])));
	assert.ok((await host.monitor.admit(request)).isAdmitted);
	host.monitor.track(SERVER, request).succeed();
	assert.ok(!host.monitor.isQuarantined(createRequest('other', ['a', 'b'])));
});

test('facts that nobody has told for an hour are forgotten, whatever their hosts took for the time of day', () => {
	const table = new CrashTable();
	table.merge(createFact('f', ['a#1'], undefined, 9e12), 0);
	table.merge(createFact('g', ['a#1']), 1000);
	assert.equal(table.listFacts().length, 2);
	table.expire(3_600_500);
	assert.deepEqual(table.listFacts().map(({fingerprint}) => fingerprint), ['g']);
});

// Guards against a burst of requests with one of several tied parts.
test('a host sends one request at a time that contains some of the parts with the same crashes', async () => {
	const {monitor, advance} = createMonitor('refused');
	for (const server of ['e1', 'e2', 'e3']) {
		monitor.track({...SERVER, server}, createRequest(server, ['first', 'second']));
		monitor.checkServers(() => INCARNATION_STATES.replaced);
		advance(5000);
	}

	const [test, other, next] = ['a', 'b', 'c'].map(name => createRequest(name, ['first', name]));
	assert.ok((await monitor.admit(test!)).isAdmitted);
	assert.ok(!(await monitor.admit(other!)).isAdmitted);
	const attempt = monitor.track({...SERVER, server: 'e4'}, test!);
	attempt.progress();
	advance(1001);
	attempt.progress();
	assert.ok((await monitor.admit(other!)).isAdmitted);
	assert.ok((await monitor.admit(next!)).isAdmitted);
	assert.ok(monitor.isQuarantined(createRequest('d', ['second'])));
});

type TestMonitor = ReturnType<typeof createMonitor>;

/** Creates monitors of which each receives at once what the others publish. */
function createConnectedMonitors(): TestMonitor[] {
	const hosts: TestMonitor[] = ['h1', 'h2'].map(host => createMonitor('refused', host, facts => {
		for (const other of hosts) {
			if (other.host !== host) {
				other.monitor.receive(facts);
			}
		}
	}));
	return hosts;
}

/** Lets a host report two crashes under a request. */
function blockRequest({monitor}: TestMonitor, name: string): void {
	for (const server of ['e1', 'e2']) {
		monitor.track({...SERVER, server}, createRequest(name));
		monitor.checkServers(() => INCARNATION_STATES.replaced);
	}
}

function createMonitor(probeResult: ProbeResult, host = 'h1', onPublish: (facts: PoisonFact[]) => void = () => undefined) {
	const table = new CrashTable();
	const published: PoisonFact[] = [];
	let nowMs = 0;
	const crashMonitor = new CrashMonitor({
		host,
		metrics: createServingMetrics(new Registry()),
		clock: {monotonicMs: () => nowMs, wallMs: () => nowMs},
		logger: createSilentLoggers()('routing'),
		table,
		probe: async () => probeResult,
		publish(facts) {
			published.push(...facts);
			onPublish(facts);
		},
	});
	const monitor = Object.assign(crashMonitor, {
		/** Merges facts of another host. */
		receive(facts: readonly PoisonFact[]) {
			mergeCrashFacts(table, facts, nowMs);
			crashMonitor.refresh();
		},
	});
	return {
		host, monitor, table, published, advance(ms: number) {
			nowMs += ms;
		},
	};
}

function createRequest(name: string, sharedParts: string[] = []): SuspectRequest {
	return {id: name, getFingerprint: () => name, sharedParts: sharedParts.map(part => hashPart(part))};
}

function createFact(fingerprint: string, servers: string[], acquitted?: string[], at = 0): PoisonFact {
	return {
		type: 'poison', fingerprint, servers, at, ...(acquitted && {acquitted}),
	};
}

/** Lists the crashes in published facts with the requests in flight, by their names. */
function listReported(facts: readonly PoisonFact[]) {
	const names = new Map(['broken', 'running', 'answered', 'silent', 'lost', 'long-ago', 'timed-out'].map(name => [hashRequest(name), name]));
	assert.ok(facts.every(fact => readClaims(fact) === undefined));
	return facts.flatMap(fact => readReports(fact)).map(({crash, requests}) => ({crash, requests: requests.map(key => names.get(key) ?? 'unknown').toSorted()}));
}

async function nextTurn(): Promise<void> {
	return new Promise(resolve => {
		setImmediate(resolve);
	});
}
