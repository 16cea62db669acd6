import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {EngineInfo} from '../src/routing/engine.js';
import type {PlacementRequest} from '../src/routing/request.js';
import {Scheduler} from '../src/routing/scheduler.js';
import {PrefillModel} from '../src/routing/speed.js';
import {RolePlanner} from '../src/routing/planner.js';
import {assertSnapshot} from './snapshot.js';

test('a long prompt goes to a prefill engine, and the next one with the same part goes where that part is cached', () => {
	const scheduler = createScheduler();
	const first = scheduler.place(createRequest({id: 'a'}), 0);
	assert.ok(first.type === 'assignment' && first.reader !== undefined && first.runner === undefined);
	const run = scheduler.recordMilestone('a', 'read', {server: first.reader}, 200);
	assert.ok(run?.type === 'assignment' && run.runner?.startsWith('decode') === true);
	const second = scheduler.place(createTopicRequest('b'), 300);
	assert.ok(second.type === 'assignment');
	assert.equal(second.reader, first.reader);
	assert.equal(second.source, undefined);
});

test('an idle prefill engine fetches a shared part from a busy one that has it cached', () => {
	const scheduler = createScheduler();
	const first = scheduler.place(createRequest({id: 'a'}), 0);
	scheduler.recordMilestone('a', 'read', {server: getReader(first)}, 200);
	// The engine with the cached part has a long queue, so a later request goes elsewhere and fetches the part.
	const busy = Array.from({length: 10}, (_, index) => scheduler.place(createTopicRequest(`b${index}`), 201));
	const moved = busy.find(decision => getReader(decision) !== undefined && getReader(decision) !== getReader(first));
	assert.ok(moved?.type === 'assignment');
	assert.equal(moved.source, getReader(first));
});

test('an engine that refused a request is avoided briefly, one that failed a request for longer', () => {
	const scheduler = createScheduler();
	const {runner} = scheduler.place(createShortRequest('a'), 0) as {runner: string};
	scheduler.recordMilestone('a', 'refused', {server: runner}, 0);
	assert.notEqual(getRunner(scheduler.place(createShortRequest('b'), 100)), runner);
	scheduler.recordMilestone('b', 'done', {}, 100);
	assert.equal(getRunner(scheduler.place(createShortRequest('c'), 500)), runner);
	scheduler.recordMilestone('c', 'failed', {server: runner}, 500);
	assert.notEqual(getRunner(scheduler.place(createShortRequest('d'), 1500)), runner);
});

test('an engine that failed one request but makes progress with others is not avoided', () => {
	const scheduler = new Scheduler();
	scheduler.updateEngines([createEngine('decode-1', 'decode', 'x'), createEngine('decode-2', 'decode', 'x')]);
	const placed = Array.from({length: 20}, (_, index) => {
		const id = `a${index}`;
		return {id, runner: getRunner(scheduler.place(createShortRequest(id), index))};
	});
	const placedAtFirst = placed.filter(({runner}) => runner === 'decode-1');
	scheduler.recordMilestone(placedAtFirst[0]!.id, 'failed', {server: 'decode-1'}, 100);
	assert.equal(getRunner(scheduler.place(createShortRequest('b'), 110)), 'decode-2');
	for (const {id} of placedAtFirst.slice(1)) {
		scheduler.recordMilestone(id, 'first', {}, 150);
		scheduler.recordMilestone(id, 'done', {}, 300);
	}

	const next = Array.from({length: 40}, (_, index) => getRunner(scheduler.place(createLongRequest(`c${index}`, 900), 310)));
	assert.ok(next.includes('decode-1'));
});

test('an engine that fails every request immediately does not attract the load of busy engines, and is retried later', () => {
	const scheduler = new Scheduler();
	scheduler.updateEngines([createEngine('bad', 'decode', 'x'), createEngine('good', 'decode', 'x')]);
	const failing: Array<{id: string; atMs: number}> = [];
	let failed = 0;
	for (let index = 0; index < 200; index++) {
		const nowMs = index * 20;
		scheduler.recordMilestone(`a${index - 40}`, 'done', {}, nowMs);
		while (failing[0] && failing[0].atMs <= nowMs) {
			const {id} = failing.shift()!;
			// The early first event counts as progress.
			scheduler.recordMilestone(id, 'first', {}, nowMs);
			scheduler.recordMilestone(id, 'failed', {server: 'bad'}, nowMs);
		}

		const id = `a${index}`;
		if (getRunner(scheduler.place(createLongRequest(id, 9000), nowMs)) === 'bad') {
			failed++;
			failing.push({id, atMs: nowMs + 45});
		}
	}

	assert.ok(failed >= 1 && failed <= 12, `${failed} requests failed`);
	assert.ok(Array.from({length: 20}, (_, index) => getRunner(scheduler.place(createLongRequest(`b${index}`, 1000), 30_000))).includes('bad'));
});

test('suspected engines are used when there are no others', () => {
	const scheduler = new Scheduler();
	scheduler.updateEngines([createEngine('decode-1', 'decode', 'x')]);
	scheduler.place(createShortRequest('a'), 0);
	scheduler.recordMilestone('a', 'failed', {server: 'decode-1'}, 0);
	assert.equal(getRunner(scheduler.place(createShortRequest('b'), 10)), 'decode-1');
});

test('a request is rejected if no engine decodes', () => {
	const scheduler = new Scheduler();
	scheduler.updateEngines([createEngine('prefill-1', 'prefill', 'x')]);
	assert.equal(scheduler.place(createShortRequest('a'), 0).type, 'rejection');
});

test('a request whose entry host never reports its end expires', () => {
	const scheduler = createScheduler();
	scheduler.place(createRequest({id: 'a', patienceMs: 1000}), 0);
	assert.equal(scheduler.openCount, 1);
	scheduler.place(createRequest({id: 'b'}), 10_000);
	assert.equal(scheduler.openCount, 1);
});

test('the cache of a restarted engine is empty', () => {
	const scheduler = createScheduler();
	const first = scheduler.place(createRequest({id: 'a'}), 0);
	scheduler.recordMilestone('a', 'read', {server: getReader(first)}, 200);
	scheduler.updateEngines(ENGINES.map(info => ({...info, incarnation: 2})));
	const second = scheduler.place(createRequest({id: 'b'}), 300);
	assert.ok(second.type === 'assignment');
	assert.equal(second.source, undefined);
});

test('a long prompt is deferred if queueing makes it late; a short prompt and one that is too long for its objective are not', () => {
	const scheduler = createScheduler();
	for (let index = 0; index < 24; index++) {
		scheduler.place(createLongRequest(`load-${index}`, 16_000), 0);
	}

	const late = scheduler.place(createLongRequest('late', 16_000), 1);
	const tooLong = scheduler.place(createLongRequest('too-long', 60_000), 1);
	assert.equal(late.type === 'assignment' && late.isLate, true);
	assert.equal(tooLong.type === 'assignment' && tooLong.isLate, false);
	assert.equal(getIsLate(scheduler.place(createShortRequest('short'), 1)), false);
});

test('on a route with a short objective, prompts of a tenth of it are deferred if queueing makes them late', () => {
	const scheduler = createScheduler();
	const decisions = Array.from({length: 60}, (_, index) => scheduler.place({...createLongRequest(`r${index}`, 2000), objectiveMs: 200}, 0));
	assert.equal(getIsLate(decisions[0]!), false);
	const expectedMs = decisions.map(decision => decision.type === 'assignment' ? decision.expectedMs! : 0);
	assert.ok(Math.max(...expectedMs) > 200);
	assert.equal(getIsLate(decisions[expectedMs.indexOf(Math.max(...expectedMs))]!), true);
});

test('a request is rejected at once if its first event is expected after its caller has given up', () => {
	const scheduler = createScheduler();
	const decisions = Array.from({length: 200}, (_, index) => scheduler.place(createLongRequest(`r${index}`, 16_000), 0));
	const {patienceMs} = createRequest({});
	for (const decision of decisions) {
		assert.ok(decision.type === 'rejection' || decision.expectedMs! <= patienceMs, `${decision.type === 'rejection' ? '' : decision.expectedMs} ms`);
	}
});

test('a request that cannot start before its caller gives up is rejected with a retry time', () => {
	const scheduler = createScheduler();
	const decisions = Array.from({length: 200}, (_, index) => scheduler.place(createLongRequest(`r${index}`, 16_000), 0));
	const rejected = decisions.filter(decision => decision.type === 'rejection');
	assert.ok(rejected.length > 0);
	// Requests that three prefill engines can serve within the callers' patience must not be rejected.
	const {patienceMs, objectiveMs} = createRequest({});
	const servable = Math.floor(patienceMs / new PrefillModel().estimateMs({uncachedTokens: 16_000, cachedTokens: 0})) * 3;
	assert.ok(decisions.findIndex(decision => decision.type === 'rejection') >= servable);
	for (const {retryAfterMs} of rejected) {
		assert.ok(retryAfterMs > patienceMs - objectiveMs, `${retryAfterMs} ms`);
	}
});

test('an engine with overdue work and no progress is avoided until it makes progress', () => {
	const scheduler = createScheduler();
	const silent = getReader(scheduler.place(createRequest({id: 'a', patienceMs: 5000}), 0));
	const listReaders = (prefix: string, nowMs: number) => Array.from({length: 20}, (_, index) => getReader(scheduler.place(createTopicRequest(`${prefix}${index}`), nowMs)));
	assert.ok(!listReaders('b', 3000).includes(silent));
	scheduler.recordMilestone('a', 'read', {server: silent}, 3100);
	assert.ok(listReaders('c', 3200).includes(silent));
});

test('a scheduler that takes over knows the caches of the engines', () => {
	const [first, next] = [createScheduler(), createScheduler()];
	const offer = createRequest({id: 'a'});
	const reader = getReader(first.place(offer, 0));
	const run = first.recordMilestone('a', 'read', {server: reader}, 200);
	assert.ok(run?.type === 'assignment');
	next.recordPlacement(offer, reader, run.runner!, 200);
	const second = next.place(createTopicRequest('b'), 300);
	assert.equal(getReader(second), reader);
	assert.equal(second.type === 'assignment' && second.cachedTokens, 13_000);
});

test('placements of a mixed load match the snapshot', async () => {
	const scheduler = createScheduler();
	const decisions = Array.from({length: 12}, (_, index) => {
		const topic = index % 3;
		const isLong = index % 2 === 0;
		return scheduler.place(createRequest(isLong
			? {id: `r${index}`, parts: [{key: `topic-${topic}`, tokens: 13_000}, {key: `own-${index}`, tokens: 3000}], promptTokens: 16_000}
			: {id: `r${index}`, parts: [{key: `own-${index}`, tokens: 600}], promptTokens: 600}), index * 20);
	});
	await assertSnapshot('placing', decisions);
});

test('a pool gets its share of prefill engines, taken from the data centres with the most decode engines', () => {
	const start = {nowMs: 0, isStartup: true};
	const changes = new RolePlanner().plan(ENGINES, start);
	assert.deepEqual(changes.map(({server, role}) => ({server, role})), [{server: 'decode-1', role: 'prefill'}, {server: 'decode-2', role: 'prefill'}]);
	assert.deepEqual(new RolePlanner().plan(ENGINES.slice(0, 2), start), []);
});

test('a pool that lost decode engines gets some back, but not while they may only be restarting', () => {
	const planner = new RolePlanner();
	const prefillEngines = ['a', 'b', 'c', 'd', 'e'].map(name => createEngine(name, 'prefill', 'x'));
	const remaining = [...prefillEngines, createEngine('f', 'decode', 'x')];
	assert.deepEqual(planner.plan(remaining, {nowMs: 0, isStartup: false}), []);
	assert.deepEqual(planner.plan([...remaining, createEngine('g', 'decode', 'x'), createEngine('h', 'decode', 'x')], {nowMs: 2000, isStartup: false}), []);
	assert.deepEqual(planner.plan(remaining, {nowMs: 4000, isStartup: false}), []);
	assert.deepEqual(planner.plan(remaining, {nowMs: 7000, isStartup: false}).map(({server, role}) => ({server, role})), [{server: 'a', role: 'decode'}]);
});

const ENGINES: readonly EngineInfo[] = [
	createEngine('prefill-1', 'prefill', 'x'),
	createEngine('prefill-2', 'prefill', 'y'),
	createEngine('prefill-3', 'prefill', 'z'),
	createEngine('decode-1', 'decode', 'x'),
	createEngine('decode-2', 'decode', 'y'),
	createEngine('decode-3', 'decode', 'z'),
	createEngine('decode-4', 'decode', 'x'),
	createEngine('decode-5', 'decode', 'y'),
];

function createScheduler(): Scheduler {
	const scheduler = new Scheduler();
	scheduler.updateEngines(ENGINES);
	return scheduler;
}

function createEngine(server: string, role: 'prefill' | 'decode', dataCentre: string): EngineInfo {
	return {
		server, incarnation: 1, service: 'llm', dataCentre, role, software: 'v1', slots: 48, kvTokens: 444_000, kvBytesPerToken: 131_072, linkMbps: 1_500_000,
	};
}

function createRequest(fields: Partial<PlacementRequest>): PlacementRequest {
	return {
		id: 'a', service: 'llm', dataCentre: 'x', parts: [{key: 'topic', tokens: 13_000}, {key: 'own', tokens: 3000}], promptTokens: 16_000, outputTokens: 80, priority: 2, objectiveMs: 600, patienceMs: 2400, excluded: [], bodyBytes: 0, connected: ENGINES.map(({server}) => server), ...fields,
	};
}

/** A long prompt that shares its first part with all others of its kind. */
function createTopicRequest(id: string): PlacementRequest {
	return createRequest({id, parts: [{key: 'topic', tokens: 13_000}, {key: `own-${id}`, tokens: 9000}], promptTokens: 22_000});
}

function createShortRequest(id: string): PlacementRequest {
	return createRequest({id, parts: [{key: `own-${id}`, tokens: 100}], promptTokens: 100});
}

function createLongRequest(id: string, promptTokens: number): PlacementRequest {
	return createRequest({id, parts: [{key: `own-${id}`, tokens: promptTokens}], promptTokens});
}

function getIsLate(decision: {type: string; isLate?: boolean}): boolean | undefined {
	return decision.isLate;
}

function getReader(decision: {type: string; reader?: string}): string | undefined {
	return decision.reader;
}

function getRunner(decision: {type: string; runner?: string}): string | undefined {
	return decision.runner;
}
