import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRandom} from '../src/base/random.js';
import {
	chooseEngine, DEFAULT_ENGINE_SPEED, meetsTargets, type Candidate, type RequestShape,
} from '../src/routing/choice.js';
import {placeContinuation, placeRequest} from '../src/routing/handoff.js';
import {HealthTracker, RetryBudget} from '../src/routing/health.js';
import {AdmissionController, AdmissionMargin, type AdmissionEvent} from '../src/routing/admission.js';
import {LoadTracker} from '../src/routing/load.js';
import {classifyRequest} from '../src/routing/poison.js';
import {findPrefixOwner, hashBlocks, PrefixIndex} from '../src/routing/prefix.js';
import {chooseRoleChange, ROLE_PROFILES, type RoleCandidate} from '../src/routing/roles.js';
import {assertSnapshot} from './snapshot.js';

const LONG: RequestShape = {promptTokens: 4000, outputTokens: 100, dataCentre: 'a'};
const SHORT: RequestShape = {promptTokens: 200, outputTokens: 300, dataCentre: 'a'};

test('engine choices for recorded situations match the snapshot', async () => {
	const situations = {
		idle: [createCandidate('e1'), createCandidate('e2')],
		oneBusy: [createCandidate('e1', {load: {requests: 40, prefillTokens: 30_000, decodeTokens: 40_000}}), createCandidate('e2')],
		cachedButBusy: [createCandidate('e1', {cachedTokens: 3800, load: {requests: 5, prefillTokens: 1000, decodeTokens: 9000}}), createCandidate('e2')],
		roles: [createCandidate('p1', {role: 'prefill'}), createCandidate('d1', {role: 'decode'})],
		otherDataCentre: [createCandidate('e1', {dataCentre: 'b'}), createCandidate('e2')],
	};
	const decisions = Object.entries(situations).map(([name, candidates]) => ({
		name,
		long: placeRequest(LONG, candidates, createRandom(1)),
		short: placeRequest(SHORT, candidates, createRandom(1)),
	}));
	await assertSnapshot('decisions', decisions);
});

test('a long prompt goes to a prefill engine and is continued at a decode engine', () => {
	const candidates = [createCandidate('p1', {role: 'prefill'}), createCandidate('d1', {role: 'decode'})];
	const placement = placeRequest(LONG, candidates, createRandom(1));
	assert.deepEqual([placement?.first.server, placement?.handsOff], ['p1', true]);
	assert.equal(placeContinuation(LONG, candidates, createRandom(1))?.server, 'd1');
	assert.deepEqual(placeRequest(SHORT, candidates, createRandom(1))?.first.server, 'd1');
});

test('many hosts with the same stale reports do not all choose the same engine', () => {
	const candidates = Array.from({length: 8}, (_, index) => createCandidate(`e${index}`, {load: {requests: index, prefillTokens: index * 100, decodeTokens: 0}}));
	const counts = new Map<string, number>();
	for (let host = 0; host < 400; host++) {
		const {server} = chooseEngine(SHORT, candidates, createRandom(host))!;
		counts.set(server, (counts.get(server) ?? 0) + 1);
	}

	assert.ok(Math.max(...counts.values()) < 400 * 0.35);
});

test('requests of this host are added to the reported load until a report can include them', () => {
	const loads = new LoadTracker(100);
	const size = {promptTokens: 100, prefillTokens: 100, outputTokens: 10};
	loads.startRequest('e1', 'r1', size, 1000);
	assert.equal(loads.estimate('e1').requests, 1);
	loads.recordReport('e1', {
		running: 3, waiting: 0, prefillTokens: 0, decodeTokens: 0,
	}, 1050);
	assert.equal(loads.estimate('e1').requests, 4);
	loads.recordReport('e1', {
		running: 3, waiting: 0, prefillTokens: 0, decodeTokens: 0,
	}, 1500);
	assert.equal(loads.estimate('e1').requests, 3);
	loads.endRequest('e1', 'r1');
	assert.equal(loads.countInFlight('e1'), 0);
});

test('cache events correct the prefix index, and a gap in their sequence clears it', () => {
	const index = new PrefixIndex();
	const hashes = hashBlocks('x'.repeat(1024));
	index.record('e1', hashes);
	assert.equal(index.countCached('e1', hashes), 4);
	const event = {
		sequence: 1, incarnation: 1, stored: [], removed: [hashes[3]!],
	};
	index.applyEvent('e1', event);
	assert.equal(index.countCached('e1', hashes), 3);
	index.applyEvent('e1', {...event, sequence: 3, removed: []});
	assert.equal(index.countCached('e1', hashes), 0);
});

test('all hosts agree on the owner of a prefix, and losing an engine moves only the prefixes that it owned', () => {
	const engines = ['e1', 'e2', 'e3', 'e4'];
	for (let hash = 1; hash < 200; hash++) {
		const owner = findPrefixOwner(engines, hash)!;
		assert.equal(findPrefixOwner(engines.toReversed(), hash), owner);
		const rest = engines.filter(engine => engine !== 'e4');
		const newOwner = findPrefixOwner(rest, hash)!;
		assert.ok(owner === 'e4' ? rest.includes(newOwner) : newOwner === owner, `prefix ${hash}: ${owner} -> ${newOwner}`);
	}
});

test('the admission margin shrinks when requests are late and recovers', () => {
	const margin = new AdmissionMargin();
	for (let late = 0; late < 10; late++) {
		margin.record(false);
	}

	assert.ok(margin.share < 0.4);
	const cost = {
		server: 'e1', firstTokenMs: 500, betweenTokensMs: 20, totalMs: 500,
	};
	assert.ok(!meetsTargets(cost, {firstTokenMs: 740, betweenTokensMs: 27}, margin.share));
	for (let onTime = 0; onTime < 100; onTime++) {
		margin.record(true);
	}

	assert.equal(margin.share, 1);
});

test('a team with many requests does not starve other teams, whatever their weights', () => {
	const admission = new AdmissionController();
	const started: string[] = [];
	const collectStarted = (events: readonly AdmissionEvent[]) => {
		started.push(...events.filter(event => event.type === 'start').map(({id}) => id));
	};

	const submit = (id: string, team: string, weight = 1) => admission.submit({
		id, team, weight, tokens: 100, teamTokenLimit: 1e9, latestStartMs: 1e9,
	}, 100, 0);
	collectStarted(submit('first', 'heavy'));
	for (let index = 0; index < 20; index++) {
		collectStarted(submit(`heavy-${index}`, 'heavy'));
	}

	collectStarted(submit('light', 'light'));
	collectStarted(submit('double', 'double', 2));
	for (let step = 0; step < 4; step++) {
		collectStarted(admission.complete(started.at(-1)!, 100, step));
	}

	assert.ok(started.indexOf('light') > 0 && started.indexOf('double') > 0, started.join(' '));
});

test('a request that cannot start before its deadline is refused at once with a retry time', () => {
	const admission = new AdmissionController();
	const base = {
		team: 't', weight: 1, tokens: 1000, teamTokenLimit: 1e9,
	};
	admission.submit({...base, id: 'a', latestStartMs: 1000}, 1000, 0);
	admission.complete('a', 1000, 1000);
	admission.submit({...base, id: 'b', latestStartMs: 5000}, 1000, 1000);
	const [event] = admission.submit({...base, id: 'c', latestStartMs: 1100}, 1000, 1000);
	assert.equal(event?.type, 'refuse');
	assert.ok(event?.type === 'refuse' && event.retryAfterSeconds >= 1);
});

test('a request over the limit of its team is refused although there is capacity', () => {
	const admission = new AdmissionController();
	const [event] = admission.submit({
		id: 'x', team: 't', weight: 1, tokens: 500, teamTokenLimit: 100, latestStartMs: 1e9,
	}, 1e6, 0);
	assert.deepEqual([event?.type, event?.type === 'refuse' && event.reason], ['refuse', 'team']);
});

test('retries never exceed their share of the requests', () => {
	const budget = new RetryBudget(0.1, 5);
	let retries = 0;
	for (let request = 0; request < 1000; request++) {
		budget.recordRequest();
		retries += budget.tryAcquire() ? 1 : 0;
	}

	assert.ok(retries <= 105);
});

test('suspicion lasts longer after each failure and ends with a success', () => {
	const health = new HealthTracker();
	health.recordFailure('e1', 0);
	assert.ok(health.isSuspected('e1', 400));
	assert.ok(!health.isSuspected('e1', 600));
	health.recordFailure('e1', 600);
	assert.ok(health.isSuspected('e1', 1500));
	health.recordSuccess('e1');
	assert.ok(!health.isSuspected('e1', 1500));
});

test('two crashes make a request poisoned; one makes it a suspect until it is acquitted', () => {
	assert.equal(classifyRequest({servers: []}), 'clear');
	assert.equal(classifyRequest({servers: ['e1#1']}), 'suspect');
	assert.equal(classifyRequest({servers: ['e1#1', 'e2#1']}), 'poisoned');
	assert.equal(classifyRequest({servers: ['e1#1'], acquitted: ['e1#1']}), 'clear');
	// An acquitted request may run beside another one that crashes the server, so one more crash only makes it a suspect.
	assert.equal(classifyRequest({servers: ['e1#1', 'e2#1'], acquitted: ['e1#1']}), 'suspect');
	assert.equal(classifyRequest({servers: ['e1#1', 'e2#1', 'e3#1'], acquitted: ['e1#1']}), 'poisoned');
	assert.equal(classifyRequest({servers: ['e1#1', 'e2#1', 'e3#1', 'e4#1'], acquitted: ['e1#1', 'e2#1', 'e3#1', 'e4#1']}), 'poisoned');
});

test('a role is changed only if the gain exceeds the cost, and not within the cooldown', () => {
	const engines: RoleCandidate[] = ['prefill', 'prefill', 'decode', 'decode', 'decode', 'decode'].map((role, index) => ({
		server: `e${index}`, role: role as RoleCandidate['role'], running: index,
	}));
	const heavy = {prefill: 3.5, decode: 1};
	assert.deepEqual([chooseRoleChange(heavy, engines, 60, ROLE_PROFILES.tallgrass)?.server, chooseRoleChange(heavy, engines, 60, ROLE_PROFILES.tallgrass)?.role], ['e2', 'prefill']);
	assert.equal(chooseRoleChange(heavy, engines, 1, ROLE_PROFILES.tallgrass), undefined);
	assert.equal(chooseRoleChange({prefill: 1.45, decode: 1}, engines, 600, ROLE_PROFILES.hrafnsvik), undefined);
	assert.equal(chooseRoleChange({prefill: 1, decode: 2}, engines, 600, ROLE_PROFILES.tallgrass), undefined);
});

function createCandidate(server: string, extra: Partial<Candidate> = {}): Candidate {
	return {
		server,
		role: 'mixed',
		dataCentre: 'a',
		load: {requests: 0, prefillTokens: 0, decodeTokens: 0},
		speed: DEFAULT_ENGINE_SPEED,
		cachedTokens: 0,
		maxRunning: 42,
		kvTokens: 64_000,
		...extra,
	};
}
