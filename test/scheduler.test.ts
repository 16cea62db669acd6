import assert from 'node:assert/strict';
import {test} from 'node:test';
import {estimatePrefillMs, type EngineInfo} from '../src/routing/engine.js';
import {Scheduler, type PlacementRequest} from '../src/routing/scheduler.js';
import {RolePlanner} from '../src/routing/planner.js';
import {assertSnapshot} from './snapshot.js';

test('a long prompt is read ahead and the next one with the same part goes where it is held', () => {
	const placer = createPlacer();
	const first = placer.place(request({id: 'a'}), 0);
	assert.ok(first.type === 'assignment' && first.reader !== undefined && first.runner === undefined);
	const run = placer.recordMilestone('a', 'read', first.reader, 200);
	assert.ok(run?.type === 'assignment' && run.runner?.startsWith('decode') === true);
	const second = placer.place(request({id: 'b'}), 300);
	assert.ok(second.type === 'assignment');
	assert.equal(second.reader, first.reader);
	assert.equal(second.source, undefined);
});

test('a busy holder gives its shared part to an idle reader', () => {
	const placer = createPlacer();
	const first = placer.place(request({id: 'a'}), 0);
	placer.recordMilestone('a', 'read', readerOf(first), 200);
	// Much to read at the holder: the next one goes elsewhere and fetches the part.
	const busy = Array.from({length: 6}, (_, index) => placer.place(request({id: `b${index}`, parts: [{key: 'topic', tokens: 13_000}, {key: `own-${index}`, tokens: 3000}]}), 201));
	const moved = busy.find(decision => decision.type === 'assignment' && decision.reader !== readerOf(first));
	assert.ok(moved?.type === 'assignment');
	assert.equal(moved.source, readerOf(first));
});

test('an engine that refused is left out for a moment, one that failed for longer', () => {
	const placer = createPlacer();
	const {runner} = placer.place(short('a'), 0) as {runner: string};
	placer.recordMilestone('a', 'refused', runner, 0);
	assert.notEqual(runnerOf(placer.place(short('b'), 100)), runner);
	placer.recordMilestone('b', 'done', undefined, 100);
	assert.equal(runnerOf(placer.place(short('c'), 500)), runner);
	placer.recordMilestone('c', 'failed', runner, 500);
	assert.notEqual(runnerOf(placer.place(short('d'), 1500)), runner);
});

test('an engine that failed one request and goes on with others is not left out', () => {
	const placer = new Scheduler();
	placer.updateEngines([engine('decode-1', 'decode', 'x'), engine('decode-2', 'decode', 'x')]);
	const placed = Array.from({length: 20}, (_, index) => {
		const id = `a${index}`;
		return {id, runner: runnerOf(placer.place(short(id), index))};
	});
	const there = placed.filter(({runner}) => runner === 'decode-1');
	placer.recordMilestone(there[0]!.id, 'failed', 'decode-1', 100);
	assert.equal(runnerOf(placer.place(short('b'), 110)), 'decode-2');
	for (const {id} of there.slice(1)) {
		placer.recordMilestone(id, 'first', undefined, 150);
		placer.recordMilestone(id, 'done', undefined, 300);
	}

	const next = Array.from({length: 40}, (_, index) => runnerOf(placer.place(long(`c${index}`, 900), 310)));
	assert.ok(next.includes('decode-1'));
});

test('an engine that fails at once does not draw the load, however busy the others are, and is tried again later', () => {
	const placer = new Scheduler();
	placer.updateEngines([engine('bad', 'decode', 'x'), engine('good', 'decode', 'x')]);
	const failing: Array<{id: string; atMs: number}> = [];
	let failed = 0;
	for (let index = 0; index < 200; index++) {
		const nowMs = index * 20;
		placer.recordMilestone(`a${index - 40}`, 'done', undefined, nowMs);
		while (failing[0] && failing[0].atMs <= nowMs) {
			const {id} = failing.shift()!;
			// Its quick answer is a sign of life.
			placer.recordMilestone(id, 'first', undefined, nowMs);
			placer.recordMilestone(id, 'failed', 'bad', nowMs);
		}

		const id = `a${index}`;
		if (runnerOf(placer.place(long(id, 9000), nowMs)) === 'bad') {
			failed++;
			failing.push({id, atMs: nowMs + 45});
		}
	}

	assert.ok(failed >= 1 && failed <= 12, `${failed} requests failed`);
	assert.ok(Array.from({length: 20}, (_, index) => runnerOf(placer.place(long(`b${index}`, 1000), 30_000))).includes('bad'));
});

test('suspected engines are used when there are no others', () => {
	const placer = new Scheduler();
	placer.updateEngines([engine('decode-1', 'decode', 'x')]);
	placer.place(short('a'), 0);
	placer.recordMilestone('a', 'failed', 'decode-1', 0);
	assert.equal(runnerOf(placer.place(short('b'), 10)), 'decode-1');
});

test('without an engine that makes tokens a request is refused at once', () => {
	const placer = new Scheduler();
	placer.updateEngines([engine('prefill-1', 'prefill', 'x')]);
	assert.equal(placer.place(short('a'), 0).type, 'rejection');
});

test('work is forgotten when its host never reports back', () => {
	const placer = createPlacer();
	placer.place(request({id: 'a', patienceMs: 1000}), 0);
	assert.equal(placer.openCount, 1);
	placer.place(request({id: 'b'}), 10_000);
	assert.equal(placer.openCount, 1);
});

test('a restarted engine holds nothing', () => {
	const placer = createPlacer();
	const first = placer.place(request({id: 'a'}), 0);
	placer.recordMilestone('a', 'read', readerOf(first), 200);
	placer.updateEngines(ENGINES.map(facts => ({...facts, incarnation: 2})));
	const second = placer.place(request({id: 'b'}), 300);
	assert.ok(second.type === 'assignment');
	assert.equal(second.source, undefined);
});

test('a long prompt that waiting has made late is put behind what can be in time; a short one and one too large are not', () => {
	const placer = createPlacer();
	for (let index = 0; index < 24; index++) {
		placer.place(long(`load-${index}`, 16_000), 0);
	}

	const late = placer.place(long('late', 16_000), 1);
	const huge = placer.place(long('huge', 60_000), 1);
	assert.equal(late.type === 'assignment' && late.isLate, true);
	assert.equal(huge.type === 'assignment' && huge.isLate, false);
	assert.equal(isLateOf(placer.place(short('short'), 1)), false);
});

test('what cannot begin before its caller gives up is refused at once, with the time to come back', () => {
	const placer = createPlacer();
	const decisions = Array.from({length: 200}, (_, index) => placer.place(long(`r${index}`, 16_000), 0));
	const rejected = decisions.filter(decision => decision.type === 'rejection');
	assert.ok(rejected.length > 0);
	// What three readers can read within the callers' patience must not be refused.
	const {patienceMs, objectiveMs} = request({});
	const servable = Math.floor(patienceMs / estimatePrefillMs(16_000, 0)) * 3;
	assert.ok(decisions.findIndex(decision => decision.type === 'rejection') >= servable);
	for (const {retryAfterMs} of rejected) {
		assert.ok(retryAfterMs > patienceMs - objectiveMs, `${retryAfterMs} ms`);
	}
});

test('an engine that falls silent with work in hand is left out until it shows a sign', () => {
	const placer = createPlacer();
	const silent = readerOf(placer.place(request({id: 'a', patienceMs: 5000}), 0));
	assert.notEqual(readerOf(placer.place(request({id: 'b'}), 3000)), silent);
	placer.recordMilestone('a', 'read', silent, 3100);
	assert.equal(readerOf(placer.place(request({id: 'c'}), 3200)), silent);
});

test('the host that takes over knows what engines hold', () => {
	const [first, next] = [createPlacer(), createPlacer()];
	const offer = request({id: 'a'});
	const reader = readerOf(first.place(offer, 0));
	const run = first.recordMilestone('a', 'read', reader, 200);
	assert.ok(run?.type === 'assignment');
	next.recordPlacement(offer, reader, run.runner!, 200);
	const second = next.place(request({id: 'b', parts: [{key: 'topic', tokens: 13_000}, {key: 'own-b', tokens: 3000}]}), 300);
	assert.equal(readerOf(second), reader);
	assert.equal(second.type === 'assignment' && second.cachedTokens, 13_000);
});

test('the decisions of a mixed load', async () => {
	const placer = createPlacer();
	const decisions = Array.from({length: 12}, (_, index) => {
		const topic = index % 3;
		const isLong = index % 2 === 0;
		return placer.place(request(isLong
			? {id: `r${index}`, parts: [{key: `topic-${topic}`, tokens: 13_000}, {key: `own-${index}`, tokens: 3000}], promptTokens: 16_000}
			: {id: `r${index}`, parts: [{key: `own-${index}`, tokens: 600}], promptTokens: 600}), index * 20);
	});
	await assertSnapshot('placing', decisions);
});

test('a pool gets its share of readers, from the data centres with most engines that make tokens', () => {
	const start = {nowMs: 0, isStartup: true};
	const changes = new RolePlanner().plan(ENGINES, start);
	assert.deepEqual(changes.map(({server, role}) => ({server, role})), [{server: 'decode-1', role: 'prefill'}, {server: 'decode-2', role: 'prefill'}]);
	assert.deepEqual(new RolePlanner().plan(ENGINES.slice(0, 2), start), []);
});

test('a pool that lost engines that make tokens gets some back, but not while they may only be restarting', () => {
	const planner = new RolePlanner();
	const readers = ['a', 'b', 'c', 'd', 'e'].map(name => engine(name, 'prefill', 'x'));
	const left = [...readers, engine('f', 'decode', 'x')];
	assert.deepEqual(planner.plan(left, {nowMs: 0, isStartup: false}), []);
	assert.deepEqual(planner.plan([...left, engine('g', 'decode', 'x'), engine('h', 'decode', 'x')], {nowMs: 2000, isStartup: false}), []);
	assert.deepEqual(planner.plan(left, {nowMs: 4000, isStartup: false}), []);
	assert.deepEqual(planner.plan(left, {nowMs: 7000, isStartup: false}).map(({server, role}) => ({server, role})), [{server: 'a', role: 'decode'}]);
});

const ENGINES: readonly EngineInfo[] = [
	engine('prefill-1', 'prefill', 'x'),
	engine('prefill-2', 'prefill', 'y'),
	engine('prefill-3', 'prefill', 'z'),
	engine('decode-1', 'decode', 'x'),
	engine('decode-2', 'decode', 'y'),
	engine('decode-3', 'decode', 'z'),
	engine('decode-4', 'decode', 'x'),
	engine('decode-5', 'decode', 'y'),
];

function createPlacer(): Scheduler {
	const placer = new Scheduler();
	placer.updateEngines(ENGINES);
	return placer;
}

function engine(server: string, role: 'prefill' | 'decode', dataCentre: string): EngineInfo {
	return {
		server, incarnation: 1, service: 'llm', dataCentre, role, slots: 48, kvTokens: 444_000,
	};
}

function request(fields: Partial<PlacementRequest>): PlacementRequest {
	return {
		id: 'a', service: 'llm', dataCentre: 'x', parts: [{key: 'topic', tokens: 13_000}, {key: 'own', tokens: 3000}], promptTokens: 16_000, outputTokens: 80, priority: 2, objectiveMs: 600, patienceMs: 2400, excluded: [], ...fields,
	};
}

function short(id: string): PlacementRequest {
	return request({id, parts: [{key: `own-${id}`, tokens: 100}], promptTokens: 100});
}

function long(id: string, promptTokens: number): PlacementRequest {
	return request({id, parts: [{key: `own-${id}`, tokens: promptTokens}], promptTokens});
}

function isLateOf(decision: {type: string; isLate?: boolean}): boolean | undefined {
	return decision.isLate;
}

function readerOf(decision: {type: string; reader?: string}): string | undefined {
	return decision.reader;
}

function runnerOf(decision: {type: string; runner?: string}): string | undefined {
	return decision.runner;
}
