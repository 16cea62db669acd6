import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRandom} from '../src/base/random.js';
import type {EngineInfo} from '../src/routing/engine.js';
import {createFallbackLimiter, createGrantingLimiter, type RateLimiter} from '../src/routing/limiter.js';
import type {PlacementDecision} from '../src/routing/request.js';
import {Scheduler} from '../src/routing/scheduler.js';
import {PlacementClient} from '../src/serving/placement.js';
import {createEngine, createRequest, NO_ORIGIN_COPIES} from './pool.js';

const SERVER = {server: 's1', incarnation: 1};
const WINDOW_MS = 4000;
/** With idle connections to all engines, prompts of some thousand tokens are prefilled separately. */
const CONNECTED = {connected: ['limited', 'free', 'prefill', 'decode']};

for (const perSecond of [0.5, 1, 4.3, 40]) {
	test(`requests that are granted stay within the limit in every window (${perSecond} a second)`, () => {
		const limiter = createGrantingLimiter(() => perSecond);
		const random = createRandom(1);
		const grantedMs: number[] = [];
		for (let nowMs = 0; nowMs < 60_000; nowMs += random() * 20) {
			// Callers pause now and then and return in a burst.
			if (nowMs % 9000 < 6000 && limiter.request(SERVER, 1, nowMs).waitMs === 0) {
				grantedMs.push(nowMs);
			}
		}

		assert.ok(countMost(grantedMs) <= (perSecond * 4) + Math.max(2, perSecond / 2) + 1, `${countMost(grantedMs)}`);
		assert.ok(grantedMs.length > perSecond * 30);
	});
}

// Infinite rates leave no number of tokens: the wait would be NaN, which no message may hold.
test('a limit beyond all numbers holds no request back', () => {
	for (const perSecond of [1e300, Number.POSITIVE_INFINITY]) {
		for (const limiter of [createGrantingLimiter(() => perSecond), createFallbackLimiter(() => perSecond, {countHosts: () => 13, random: createRandom(1)})]) {
			const waits = [0, 0, 0, 5, 10_000].map(nowMs => limiter.request(SERVER, 1, nowMs).waitMs);
			assert.ok(waits.every(waitMs => waitMs < 1), waits.join(', '));
		}
	}
});

test('hosts that lose all control hosts at once stay within the limit together with what was granted before', () => {
	const perSecond = 4;
	const granting = createGrantingLimiter(() => perSecond);
	const hosts = Array.from({length: 13}, (_, index) => createFallbackLimiter(() => perSecond, {countHosts: () => 13, random: createRandom(index + 1)}));
	const sentMs: number[] = [];
	for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
		const limiter = nowMs % 20_000 < 10_000 ? granting : hosts[(nowMs / 10) % 13]!;
		if (limiter.request(SERVER, 1, nowMs).waitMs === 0) {
			sentMs.push(nowMs);
		}
	}

	assert.ok(countMost(sentMs) <= (perSecond * 4 * 1.5) + 5, `${countMost(sentMs)}`);
	assert.ok(sentMs.some(atMs => atMs % 20_000 >= 10_000), 'hosts without a control host use a share');
});

test('hosts that lose all control hosts at once do not all send a request at that moment, nor later', () => {
	const hosts = Array.from({length: 13}, (_, index) => createFallbackLimiter(() => 1, {countHosts: () => 13, random: createRandom(index + 1)}));
	const sentMs: number[] = [];
	for (let nowMs = 0; nowMs < 60_000; nowMs += 100) {
		for (const limiter of hosts) {
			if (limiter.request(SERVER, 1, nowMs).waitMs === 0) {
				sentMs.push(nowMs);
			}
		}
	}

	assert.ok(sentMs.every(atMs => atMs > 0));
	assert.ok(sentMs.length > 10 && countMost(sentMs) <= 1.5 * 4, `${countMost(sentMs)} of ${sentMs.length}`);
});

test('less urgent requests leave the rate to more urgent ones, and get it when there are none', () => {
	const limiter = createGrantingLimiter(() => 5);
	const granted = {urgent: 0, other: 0};
	const ask = (priority: number, nowMs: number) => limiter.request(SERVER, priority, nowMs).waitMs === 0 ? 1 : 0;
	for (let nowMs = 0; nowMs < 20_000; nowMs += 50) {
		granted.other += ask(2, nowMs);
		granted.urgent += nowMs % 200 === 0 ? ask(1, nowMs) : 0;
	}

	assert.ok(granted.urgent > 90 && granted.other < 20, JSON.stringify(granted));
	let alone = 0;
	for (let nowMs = 20_000; nowMs < 40_000; nowMs += 50) {
		alone += ask(2, nowMs);
	}

	assert.ok(alone > 75, `${alone}`);
});

test('callers are told to return one after the other, at the rate of the server, in ten seconds at most', () => {
	const limiter = createGrantingLimiter(() => 2);
	while (limiter.request(SERVER, 1, 0).waitMs === 0) {
		// Uses all tokens.
	}

	const times = Array.from({length: 30}, () => limiter.request(SERVER, 1, 0).retryAfterMs!);
	assert.ok(times.slice(1, 10).every((time, index) => Math.round(time - times[index]!) === 500), times.join(' '));
	assert.equal(times.at(-1), 10_000);
});

test('a server without a limit, or in a new incarnation, takes any request', () => {
	const limits = new Map([[1, 0.5]]);
	const limiter = createGrantingLimiter(({incarnation}) => limits.get(incarnation));
	const countGranted = (incarnation: number) => Array.from({length: 20}, () => limiter.request({...SERVER, incarnation}, 1, 0)).filter(({waitMs}) => waitMs === 0).length;
	assert.equal(countGranted(1), 2);
	assert.equal(countGranted(2), 20);
	limits.delete(1);
	assert.equal(countGranted(1), 20);
});

test('placements at a limited engine stay within its limit, others take the rest', () => {
	const {scheduler, placeUntil} = createPool([createEngine('limited', 'decode'), createEngine('free', 'decode')]);
	const placed = placeUntil(10_000, 100);
	assert.ok(placed.length > 300 && placed.every(({decision}) => decision.type === 'assignment'));
	const atLimited = placed.filter(({decision}) => getRunner(decision) === 'limited').map(({atMs}) => atMs);
	assert.ok(atLimited.length > 20 && countMost(atLimited) <= 19, `${countMost(atLimited)} of ${atLimited.length}`);
	assert.equal(scheduler.openCount, 0);
});

test('a prefill counts towards the limit of its engine', () => {
	const countReads = (reader: string) => {
		const {scheduler} = createPool([createEngine(reader, 'prefill'), createEngine('decode', 'decode')]);
		const decisions = Array.from({length: 10}, (_, index) => scheduler.place(createRequest(`a${index}`, 9000 + index, CONNECTED), 0));
		return decisions.filter(decision => decision.type === 'assignment' && decision.reader === reader).length;
	};

	assert.ok(countReads('free') > 2);
	assert.equal(countReads('limited'), 2);
});

test('a request is prefilled only if its runner may take it, and not refused after the prefill', () => {
	const {placeUntil, refusedAfterPrefill} = createPool([createEngine('limited', 'decode'), createEngine('prefill', 'prefill')]);
	const placed = placeUntil(10_000, 9000);
	assert.equal(refusedAfterPrefill.length, 0);
	const refused = placed.filter(({decision}) => decision.type === 'rejection');
	assert.ok(refused.length > 100);
	assert.ok(refused.every(({decision}) => decision.type === 'rejection' && decision.retryAfterMs >= 200 && decision.reason.includes('rate limit')));
	const ran = placed.filter(({decision}) => decision.type === 'assignment').map(({atMs}) => atMs);
	assert.ok(ran.length > 30 && countMost(ran) <= 19, `${countMost(ran)} of ${ran.length}`);
});

test('a request that ends before its runner is chosen returns the token of the runner', () => {
	const {scheduler} = createPool([createEngine('limited', 'decode'), createEngine('prefill', 'prefill')]);
	for (let index = 0; index < 50; index++) {
		const decision = scheduler.place(createRequest(`a${index}`, 9000, CONNECTED), 0);
		assert.equal(decision.type, 'assignment');
		scheduler.recordMilestone(`a${index}`, 'failed', {}, 0);
	}
});

test('placements of another scheduler use up the limit, so that the one that takes over grants no second share', () => {
	const {scheduler} = createPool([createEngine('limited', 'decode')]);
	for (let index = 0; index < 4; index++) {
		scheduler.recordPlacement(createRequest(`b${index}`, 100, CONNECTED), undefined, 'limited', 0);
	}

	assert.equal(scheduler.place(createRequest('a', 100, CONNECTED), 0).type, 'rejection');
});

test('permits are copied to the next host in rank, so that hosts that use different control hosts get one share together', async () => {
	const perSecond = 4;
	const limiters = new Map(['c1', 'c2', 'c3'].map(host => [host, createGrantingLimiter(() => perSecond)]));
	let nowMs = 0;
	// One entry host responds to the first control host in rank; to the other one it is too slow.
	const clients = [[...limiters.keys()], [...limiters.keys()]].map((live, index) => {
		const client: PlacementClient = new PlacementClient({
			originStore: NO_ORIGIN_COPIES,
			hosts: {
				listLive: () => index === 0 ? live : live.filter(host => host !== findFirst()),
				send(host, message) {
					if (message.type === 'permitRequest') {
						client.receive({type: 'permit', id: message.id, ...limiters.get(host)!.request(message, message.priority, nowMs)}, host);
						asked.push(host);
					} else if (message.type === 'permitCopy') {
						limiters.get(host)!.consume(message, nowMs);
					}

					return true;
				},
			},
			localScheduler: new Scheduler(),
			localLimiter: createFallbackLimiter(() => perSecond, {countHosts: () => 13, random: () => 0.5}),
			clock: {monotonicMs: () => nowMs, wallMs: () => 0},
		});
		return client;
	});
	const asked: string[] = [];
	const findFirst = () => asked[0];
	const grantedMs: number[] = [];
	for (let count = 0; nowMs < 20_000; nowMs += 25, count++) {
		const {waitMs} = await clients[count % 2]!.requestPermit('plain', SERVER, {id: `${count}`, priority: 1});
		if (waitMs === 0) {
			grantedMs.push(nowMs);
		}
	}

	assert.equal(new Set(asked).size, 2);
	assert.ok(countMost(grantedMs) <= (perSecond * 4) + 5, `${countMost(grantedMs)}`);
});

type Placed = {readonly atMs: number; readonly decision: PlacementDecision};

/** A scheduler whose engine `limited` takes four requests a second, and a load of 50 requests a second. */
function createPool(engines: readonly EngineInfo[]) {
	const limiter: RateLimiter = createGrantingLimiter(({server}) => server === 'limited' ? 4 : undefined);
	const scheduler = new Scheduler({limiter});
	scheduler.updateEngines(engines);
	const refusedAfterPrefill: PlacementDecision[] = [];
	return {
		scheduler,
		refusedAfterPrefill,
		placeUntil(endMs: number, promptTokens: number): Placed[] {
			const placed: Placed[] = [];
			for (let atMs = 0; atMs < endMs; atMs += 20) {
				const id = `r${atMs}`;
				const decision = scheduler.place(createRequest(id, promptTokens, CONNECTED), atMs);
				placed.push({atMs, decision});
				if (decision.type === 'assignment' && decision.reader !== undefined) {
					const run = scheduler.recordMilestone(id, 'read', {}, atMs + 10);
					if (run?.type === 'rejection') {
						refusedAfterPrefill.push(run);
					}
				}

				scheduler.recordMilestone(id, 'first', {}, atMs + 12);
				scheduler.recordMilestone(id, 'done', {}, atMs + 15);
			}

			return placed;
		},
	};
}

function getRunner(decision: PlacementDecision): string | undefined {
	return decision.type === 'assignment' ? decision.runner : undefined;
}

/** Counts the most events in any window. */
function countMost(times: readonly number[]): number {
	return Math.max(0, ...times.map(start => times.filter(time => time >= start && time < start + WINDOW_MS).length));
}
