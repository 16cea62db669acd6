import assert from 'node:assert/strict';
import {test} from 'node:test';
import {DEFAULT_CHOICE_OPTIONS, estimateCost, type Candidate} from '../src/routing/choice.js';
import {EngineState, type EngineInfo} from '../src/routing/engine.js';
import {
	BeginningDemand, hashBeginning, hashServer, inferCachedTokens, rankHome,
} from '../src/routing/reuse.js';
import {PoolSpeed} from '../src/routing/speed.js';
import {
	PAGE_KINDS, playLoad, type Load, type LoadResult,
} from './reuseload.js';

// Guards against schedulers that know nothing after their restart: without homes they place each beginning at any engine, which prefills it
// again although another one has it cached, and a burst at that moment makes many requests late.
test('staying with the cached engine: after a restart of the schedulers prompts return to the engines that still have their beginnings', () => {
	const load: Load = {
		...PAGE_LOAD, countedFromMs: 40_000, schedulerRestartMs: 40_000,
	};
	const {weighed, ignored} = compare(load, [1, 2]);
	assert.ok(weighed.late * 4 < ignored.late, `${weighed.late} late, ${ignored.late} without`);
	assert.ok(weighed.prefilledAgain < ignored.prefilledAgain * 0.75, `${weighed.prefilledAgain} tokens prefilled again, ${ignored.prefilledAgain} without`);
	assert.ok(weighed.meanMs < ignored.meanMs, `${weighed.meanMs} ms, ${ignored.meanMs} ms without`);
});

// Guards against requests of a burst that all wait for the one engine that has their beginning, because each of them weighs the memory of a
// copy as if it were the only one to use it.
test('waiting for the cached engine is wrong: a burst of prompts with one beginning does not wait for the engine that has it', () => {
	const load: Load = {
		kinds: [{...LONG, perSecond: 20, beginnings: 200}, {
			...LONG, name: 'hot', perSecond: 150, beginnings: 1,
		}], seconds: 20, countedFromMs: 5000, readers: 16, runners: 10, rateFactor: atMs => atMs % 3000 < 300 ? 4 : 0.3,
	};
	const {weighed, ignored} = compare(load, [1, 2, 3, 4, 5]);
	assert.ok(weighed.meanMs < ignored.meanMs * 0.95, `${weighed.meanMs} ms, ${ignored.meanMs} ms without`);
	assert.ok(weighed.late <= ignored.late, `${weighed.late} late, ${ignored.late} without`);
});

// Guards against beliefs that stay wrong: engines that keep much less than they announce are chosen for parts that they no longer have, and
// prefills that are slow for that reason distort the learnt speeds.
test('stale beliefs: engines that hold a fifth of what they announce do not make requests late', () => {
	const {weighed, ignored} = compare({
		...PAGE_LOAD, kinds: PAGE_KINDS.map(kind => ({...kind, perSecond: kind.perSecond * 1.3})), seconds: 40, countedFromMs: 20_000, readers: 30, runners: 20, rateFactor: undefined, capacityShares: {a: 0.2},
	}, [1, 2]);
	assert.ok(weighed.late * 4 < ignored.late, `${weighed.late} late, ${ignored.late} without`);
	assert.ok(weighed.meanMs < ignored.meanMs * 0.9, `${weighed.meanMs} ms, ${ignored.meanMs} ms without`);
});

// Guards against a frequent beginning that stays at few engines while others idle.
test('a hot beginning spreads over all engines before those that have it are saturated', () => {
	const {weighed, ignored} = compare({
		kinds: [{
			...MIDDLE, name: 'hot', beginnings: 1, perSecond: 250,
		}, {...LONG, perSecond: 40, beginnings: 200}], seconds: 20, countedFromMs: 10_000, readers: 16, runners: 12,
	}, [1, 2, 3, 4, 5]);
	assert.equal(weighed.readersOfHot, 16 * 5);
	assert.ok(ignored.readersOfHot < weighed.readersOfHot, `${ignored.readersOfHot} without`);
	assert.ok(weighed.meanMs < ignored.meanMs * 0.95, `${weighed.meanMs} ms, ${ignored.meanMs} ms without`);
});

test('the load of the plan with a burst is served as well as without the weighing', () => {
	const {weighed, ignored} = compare({...PAGE_LOAD, countedFromMs: 30_000}, [1, 2, 3]);
	assert.ok(weighed.late <= ignored.late, `${weighed.late} late, ${ignored.late} without`);
	assert.ok(weighed.p95Ms <= ignored.p95Ms * 1.05, `${weighed.p95Ms} ms, ${ignored.p95Ms} ms without`);
	assert.ok(weighed.prefilledAgain <= ignored.prefilledAgain * 1.05, `${weighed.prefilledAgain} tokens prefilled again, ${ignored.prefilledAgain} without`);
});

test('the cached parts are inferred from the time of a prefill, unless the time fits none of the cases', () => {
	const parts = [{key: 'system', tokens: 5000}, {key: 'topic', tokens: 8000}, {key: 'own', tokens: 4000}];
	const estimateMs = (cachedTokens: number) => (17_000 - cachedTokens) / 100;
	const infer = (believedTokens: number, elapsedMs: number) => inferCachedTokens({
		parts, believedTokens, elapsedMs, resolutionMs: 10,
	}, estimateMs);
	assert.equal(infer(13_000, 42), 13_000);
	assert.equal(infer(13_000, 165), 0);
	assert.equal(infer(13_000, 118), 5000);
	assert.equal(infer(0, 43), 13_000);
	assert.equal(infer(0, 150), 0);
	// A host that stood still.
	assert.equal(infer(13_000, 2000), 13_000);
	assert.equal(infer(0, 0.1), 0);
});

test('two prefills without the parts that should have been cached show that older parts are evicted as well; one does not', () => {
	const engine = new EngineState(ENGINE, new PoolSpeed());
	let nowMs = 0;
	const prefill = (id: string, topic: string, actualCachedTokens: number) => {
		const parts = createParts(id, topic);
		const cachedTokens = engine.countCached(parts);
		const elapsedMs = engine.prefillMs({promptTokens: 17_000}, actualCachedTokens);
		engine.startPrefill(id, {parts, promptTokens: 17_000, outputTokens: 1}, {
			workMs: elapsedMs, fetchMs: 0, cachedTokens, uncachedTokens: 17_000 - cachedTokens, priority: 0,
		}, nowMs);
		engine.completePrefill(id, nowMs + engine.overheadMs + elapsedMs);
		nowMs += 10_000;
	};

	for (const topic of ['oldest', 'old', 'middle', 'recent', 'latest']) {
		prefill(`first-${topic}`, topic, 0);
	}

	prefill('miss-1', 'old', 0);
	assert.equal(engine.countCached(createParts('x', 'oldest')), 13_000);
	assert.ok(engine.hitProbability < 1);
	prefill('miss-2', 'middle', 0);
	assert.equal(engine.countCached(createParts('x', 'oldest')), 0);
	assert.equal(engine.countCached(createParts('x', 'recent')), 13_000);
	assert.equal(engine.countCached(createParts('x', 'old')), 13_000);
});

for (const tokensPerMs of [20, 60, 200, 500]) {
	test(`the speed of a pool of ${tokensPerMs} tokens/ms is learnt although it is inferred from the times which parts are cached`, () => {
		const speed = new PoolSpeed();
		const engine = new EngineState(ENGINE, speed);
		for (let index = 0; index < 300; index++) {
			const nowMs = index * 10_000;
			// Every third prompt has a new beginning; the others have the last one.
			const parts = createParts(`r${index}`, `topic-${Math.floor(index / 3)}`);
			const cachedTokens = engine.countCached(parts);
			engine.startPrefill(`r${index}`, {parts, promptTokens: 17_000, outputTokens: 1}, {
				workMs: 100, fetchMs: 0, cachedTokens, uncachedTokens: 17_000 - cachedTokens, priority: 0,
			}, nowMs);
			engine.completePrefill(`r${index}`, nowMs + 10 + ((17_000 - (index % 3 === 0 ? 0 : 13_000)) / tokensPerMs));
		}

		for (const cachedTokens of [0, 13_000]) {
			const [expectedMs, estimatedMs] = [(17_000 - cachedTokens) / tokensPerMs, engine.prefillMs({promptTokens: 17_000}, cachedTokens)];
			assert.ok(Math.abs(estimatedMs - expectedMs) < (expectedMs * 0.2) + 10, `${estimatedMs} instead of ${expectedMs} ms with ${cachedTokens} cached`);
		}
	});
}

test('homes are spread evenly over engines with similar names, and most stay when an engine leaves', () => {
	const servers = Array.from({length: 47}, (_, index) => `engine-${index}`);
	const findHome = (names: readonly string[], topic: string) => names.toSorted((a, b) => rank(b, topic) - rank(a, topic))[0]!;
	const rank = (server: string, topic: string) => rankHome(hashServer(server), hashBeginning(createParts('x', topic))!);
	const homes = Array.from({length: 2000}, (_, index) => findHome(servers, `long-${index}`));
	const counts = servers.map(server => homes.filter(home => home === server).length);
	assert.ok(Math.max(...counts) < 90 && Math.min(...counts) > 10, `${Math.min(...counts)} to ${Math.max(...counts)} homes, 43 on average`);
	const remaining = servers.slice(1);
	assert.ok(homes.every((home, index) => home === servers[0] || home === findHome(remaining, `long-${index}`)));
});

test('a further copy of a frequent beginning weighs less than one of a rare beginning, and what is known is bounded', () => {
	const demand = new BeginningDemand();
	for (let index = 0; index < 100; index++) {
		demand.record(createParts('x', 'hot'), index);
	}

	demand.record(createParts('x', 'rare'), 100);
	assert.ok(demand.weighCopy(createParts('x', 'hot'), 100) < 0.1);
	assert.ok(demand.weighCopy(createParts('x', 'rare'), 100) >= 1);
	for (let index = 0; index < 10_000; index++) {
		demand.record(createParts('x', `topic-${index}`), 101);
	}

	assert.ok(demand.size < 5000, `${demand.size} beginnings`);
	demand.record([], 102);
	assert.ok(demand.weighCopy([], 102) >= 1);
});

test('the choice of the own interface counts parts that are probably evicted as little as the scheduler does', () => {
	const shape = {promptTokens: 4000, outputTokens: 10, dataCentre: 'x'};
	const candidate: Candidate = {
		server: 'e1', role: 'mixed', dataCentre: 'x', load: {requests: 0, prefillTokens: 0, decodeTokens: 0}, speed: {prefillTokensPerMs: 10, stepMs: 0, stepMsPerRequest: 0}, cachedTokens: 3000, maxRunning: 8, kvTokens: 100_000,
	};
	const options = {...DEFAULT_CHOICE_OPTIONS, usePrefixCache: true};
	assert.equal(estimateCost(shape, candidate, options).firstTokenMs, 100);
	assert.equal(estimateCost(shape, {...candidate, hitProbability: 0.5}, options).firstTokenMs, 250);
	assert.equal(estimateCost(shape, {...candidate, hitProbability: 0}, options).firstTokenMs, 400);
});

const [LONG, MIDDLE] = [PAGE_KINDS[0]!, PAGE_KINDS[1]!];
/** The load of the plan, doubled for three seconds. */
const PAGE_LOAD: Load = {
	kinds: PAGE_KINDS, seconds: 45, readers: 47, runners: 31, rateFactor: atMs => atMs >= 40_000 && atMs < 43_000 ? 2 : 1,
};
const ENGINE: EngineInfo = {
	server: 'e1', incarnation: 1, service: 'llm', software: 'v1', dataCentre: 'x', role: 'prefill', slots: 16, kvTokens: 400_000, kvBytesPerToken: 100_000, linkMbps: 1_000_000,
};

function createParts(id: string, topic: string) {
	return [{key: topic, tokens: 13_000}, {key: `own-${id}`, tokens: 4000}];
}

/** Plays a load with the weighing of the assumed cache state and without; returns the sums over the seeds. */
function compare(load: Load, seeds: readonly number[]): {weighed: LoadResult; ignored: LoadResult} {
	const play = (isReuseWeighed: boolean) => sumResults(seeds.map(seed => playLoad({...load, seed}, {isReuseWeighed})));
	return {weighed: play(true), ignored: play(false)};
}

function sumResults(results: readonly LoadResult[]): LoadResult {
	const sum = (read: (result: LoadResult) => number) => results.reduce((total, result) => total + read(result), 0);
	return {
		count: sum(({count}) => count), late: sum(({late, refused}) => late + refused), refused: sum(({refused}) => refused), prefilledAgain: sum(({prefilledAgain}) => prefilledAgain), p95Ms: sum(({p95Ms}) => p95Ms), meanMs: sum(({meanMs}) => meanMs), readersOfHot: sum(({readersOfHot}) => readersOfHot),
	};
}
