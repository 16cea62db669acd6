import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRandom, type Random} from '../src/base/random.js';
import {EngineState} from '../src/routing/engine.js';
import {PrefillModel, PoolSpeed, type PrefillSize} from '../src/routing/speed.js';

const MAX_ERROR = 0.15;
const REQUESTS = 200;
const SLOW_FACTOR = 4;

for (const tokensPerMs of [20, 60, 200, 500]) {
	for (const stepMs of [0.5, 3, 30]) {
		test(`learns ${tokensPerMs} tokens/ms with steps of ${stepMs} ms within ${REQUESTS} requests`, () => {
			const random = createRandom(7);
			const model = new PrefillModel();
			const measure = (size: PrefillSize) => simulatePrefillMs(size, {tokensPerMs, stepMs});
			for (let index = 0; index < REQUESTS; index++) {
				const size = createSize(random);
				const includesOverhead = random() < 0.5;
				const overheadMs = includesOverhead ? 12 : 0;
				model.record({...size, includesOverhead, elapsedMs: (measure(size) + overheadMs) * (0.95 + (random() * 0.1))});
			}

			assertAccurate(model, measure, random);
		});
	}
}

test('a tenth of the engines being four times slower changes the estimates for the others by less than the error allowed', () => {
	const random = createRandom(11);
	const speed = new PoolSpeed();
	const engines = Array.from({length: 10}, (_, index) => new EngineState({
		server: `e${index}`, incarnation: 1, service: 'llm', software: 'v1', dataCentre: 'x', role: 'prefill', slots: 16, kvTokens: 400_000, kvBytesPerToken: 100_000, linkMbps: 1_000_000,
	}, speed));
	const measure = (size: PrefillSize) => simulatePrefillMs(size, {tokensPerMs: 200, stepMs: 2});
	for (let index = 0; index < REQUESTS; index++) {
		const size = createSize(random);
		const engine = engines[index % engines.length]!;
		const nowMs = index * 1000;
		const promptTokens = size.uncachedTokens + size.cachedTokens;
		const workMs = engine.prefillMs({promptTokens}, size.cachedTokens);
		engine.startPrefill(`r${index}`, {parts: [], promptTokens, outputTokens: 1}, {
			...size, workMs, fetchMs: 0, priority: 0,
		}, nowMs);
		engine.completePrefill(`r${index}`, nowMs + 5 + (measure(size) * (index % engines.length === 0 ? SLOW_FACTOR : 1)));
	}

	assertAccurate(speed.prefill, measure, random);
	const size = {uncachedTokens: 4000, cachedTokens: 0};
	const [slowMs, normalMs] = [engines[0]!, engines[1]!].map(engine => engine.prefillMs({promptTokens: 4000}, 0)) as [number, number];
	assert.ok(Math.abs((slowMs / measure(size) / SLOW_FACTOR) - 1) < MAX_ERROR, `${slowMs} ms at the slow engine, ${normalMs} ms at another`);
	assert.ok(Math.abs((normalMs / measure(size)) - 1) < MAX_ERROR, `${normalMs} instead of ${measure(size)} ms`);
});

test('decode engines are assumed to prefill at half the learnt speed until they are measured', () => {
	const {prefill, decodePrefill} = new PoolSpeed();
	for (let index = 1; index <= REQUESTS; index++) {
		prefill.record({
			uncachedTokens: index * 50, cachedTokens: 0, elapsedMs: index * 50 / 200, includesOverhead: false,
		});
	}

	const size = {uncachedTokens: 4000, cachedTokens: 0};
	assert.ok(Math.abs((decodePrefill.estimateMs(size) / prefill.estimateMs(size)) - 2) < 0.01);
});

test('times that cannot be measurements change no estimate', () => {
	const model = new PrefillModel();
	const before = model.coefficients;
	for (const elapsedMs of [Number.NaN, Number.POSITIVE_INFINITY, -5, 0, 1e12]) {
		model.record({
			uncachedTokens: 1000, cachedTokens: 0, elapsedMs, includesOverhead: true,
		});
	}

	assert.deepEqual(model.coefficients, before);
	const speed = new PoolSpeed();
	const {handoffMs, decodeMs} = speed;
	for (const elapsedMs of [Number.NaN, -1, 1e12]) {
		speed.recordHandoff(elapsedMs);
		speed.recordDecode(elapsedMs);
	}

	assert.deepEqual([speed.handoffMs, speed.decodeMs], [handoffMs, decodeMs]);
});

function assertAccurate(model: PrefillModel, measure: (size: PrefillSize) => number, random: Random): void {
	for (let index = 0; index < 50; index++) {
		const size = createSize(random);
		const [expectedMs, estimatedMs] = [measure(size), model.estimateMs(size)];
		assert.ok(Math.abs((estimatedMs / expectedMs) - 1) < MAX_ERROR, `${estimatedMs} instead of ${expectedMs} ms for ${JSON.stringify(size)}`);
	}
}

/** Prompts of 1,000 to 17,000 tokens, of which up to 14,000 are cached. */
function createSize(random: Random): PrefillSize {
	return {uncachedTokens: 1000 + Math.round(random() * 3000 * (random() < 0.2 ? 4 : 1)), cachedTokens: random() < 0.3 ? 0 : Math.round(random() * 14_000)};
}

/** An engine that prefills in pieces of 1,024 tokens, with one step for each. */
function simulatePrefillMs({uncachedTokens, cachedTokens}: PrefillSize, {tokensPerMs, stepMs}: {tokensPerMs: number; stepMs: number}): number {
	const pairs = uncachedTokens * (cachedTokens + (uncachedTokens / 2));
	return (uncachedTokens / tokensPerMs) + (pairs / 1_000_000 * 20 / tokensPerMs) + (Math.ceil(uncachedTokens / 1024) * stepMs);
}
