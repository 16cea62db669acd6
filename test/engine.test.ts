import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EngineState} from '../src/routing/engine.js';
import {PoolSpeed} from '../src/routing/speed.js';

const WORK_MS = 30;
const URGENT_INTERVAL_MS = 50;

test('the expected wait of a prompt includes the more urgent prompts that arrive during it', () => {
	const engine = createEngine();
	// More urgent prompts take 60% of the engine's time, and are completed before the next one arrives.
	for (let index = 0; index < 200; index++) {
		const nowMs = index * URGENT_INTERVAL_MS;
		startPrefill(engine, `urgent-${index}`, 1, nowMs);
		engine.completePrefill(`urgent-${index}`, nowMs + engine.overheadMs + WORK_MS);
	}

	const nowMs = 200 * URGENT_INTERVAL_MS;
	for (let index = 0; index < 10; index++) {
		startPrefill(engine, `late-${index}`, 9, nowMs);
	}

	const queuedMs = 10 * WORK_MS;
	const expectedMs = engine.waitMs(9, nowMs);
	const simulatedMs = simulateWaitMs(queuedMs);
	assert.ok(Math.abs((expectedMs / simulatedMs) - 1) < 0.15, `${expectedMs} ms expected, ${simulatedMs} ms with the arrivals`);
	assert.equal(engine.waitMs(1, nowMs), WORK_MS);
});

/** Time until an engine has processed the queue if it first processes each more urgent prompt that arrives meanwhile. */
function simulateWaitMs(queuedMs: number): number {
	let remainingMs = queuedMs;
	let nowMs = 0;
	while (remainingMs > 0) {
		remainingMs += WORK_MS - URGENT_INTERVAL_MS;
		nowMs += URGENT_INTERVAL_MS;
	}

	return nowMs + remainingMs;
}

function createEngine(): EngineState {
	return new EngineState({
		server: 'e1', incarnation: 1, service: 'llm', software: 'v1', dataCentre: 'x', role: 'prefill', slots: 16, kvTokens: 400_000, kvBytesPerToken: 100_000, linkMbps: 1_000_000,
	}, new PoolSpeed());
}

function startPrefill(engine: EngineState, id: string, priority: number, nowMs: number): void {
	engine.startPrefill(id, {parts: [], promptTokens: 3000, outputTokens: 1}, {
		uncachedTokens: 3000, cachedTokens: 0, workMs: WORK_MS, fetchMs: 0, priority,
	}, nowMs);
}
