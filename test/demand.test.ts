import assert from 'node:assert/strict';
import {test} from 'node:test';
import {DemandHistory} from '../src/capacity/demand.js';
import {DemandMeter} from '../src/capacity/meter.js';
import {computeNeed} from '../src/capacity/need.js';
import type {PoolDemand} from '../src/generated/types.js';
import {countPrefillTarget} from '../src/routing/planner.js';
import {Scheduler} from '../src/routing/scheduler.js';
import {POOL} from './scalingfleet.js';

const BOOT_MS = 4000;

test('the meter measures requests, tokens, prefill work and requests in flight, also those that a retry moves', () => {
	const scheduler = new Scheduler();
	const meter = new DemandMeter(0);
	scheduler.updateEngines(['prefill', 'decode'].map(role => ({
		server: role, incarnation: 1, service: 's-1', dataCentre: 'a', role: role as 'prefill', software: 'v1', ...POOL,
	})));
	const place = (id: string, nowMs: number) => {
		const request = {
			id, service: 's-1', dataCentre: 'a', bodyBytes: 0, connected: [], parts: [], promptTokens: 9000, outputTokens: 100, priority: 0, objectiveMs: 5000, patienceMs: 20_000, excluded: [],
		};
		const decision = scheduler.place(request, nowMs);
		assert.equal(decision.type, 'assignment');
		meter.recordDecision(request, decision, nowMs);
	};

	for (const [index, id] of ['a', 'b', 'c', 'a'].entries()) {
		place(id, 100 + index);
	}

	meter.observe(scheduler.engines, 200);
	assert.equal(meter.sample(900), undefined);
	meter.recordMilestone('a', 'read');
	meter.recordMilestone('a', 'first');
	meter.recordMilestone('b', 'done');
	const [demand] = meter.sample(1000)!;
	assert.deepEqual({
		requests: demand!.requests, inFlight: demand!.inFlight, waiting: demand!.waiting, contextTokens: demand!.contextTokens, rejected: demand!.rejected,
	}, {
		requests: 4, inFlight: 3, waiting: 1, contextTokens: 18_200, rejected: 0,
	});
	assert.ok(demand!.prefillLoad > 0 && demand!.prefillLoad >= demand!.decodeLoad);
	const [next] = meter.sample(2000)!;
	assert.deepEqual([next!.requests, next!.inFlight], [0, 2]);
	// Requests whose end is never reported must not count as load for ever.
	meter.sample(30_000);
	assert.deepEqual(meter.sample(31_000), []);
});

test('demands of several hosts are added, and a host that falls silent is not counted any more', () => {
	const history = new DemandHistory();
	history.merge('c1', [createDemand({inFlight: 10})], 1000);
	history.merge('c2', [createDemand({inFlight: 5})], 1000);
	history.advance(1000);
	assert.equal(history.summarize('s-1', BOOT_MS, 1000)?.peak.inFlight, 15);
	for (let nowMs = 2000; nowMs < 65_000; nowMs += 1000) {
		history.merge('c1', [createDemand({inFlight: 10})], nowMs);
		history.advance(nowMs);
	}

	const summary = history.summarize('s-1', BOOT_MS, 64_000)!;
	assert.equal(summary.current.inFlight, 10);
	assert.ok(summary.isComplete && summary.isActive);
});

test('a window without requests is not a measurement', () => {
	const history = new DemandHistory();
	history.advance(0);
	assert.equal(history.summarize('s-1', BOOT_MS, 0), undefined);
	run(history, 1000, 61_000, createDemand({}));
	assert.equal(history.summarize('s-1', BOOT_MS, 61_000)?.isComplete, true);
	run(history, 62_000, 80_000);
	assert.equal(history.summarize('s-1', BOOT_MS, 80_000)?.isActive, false);
	run(history, 81_000, 130_000);
	assert.equal(history.summarize('s-1', BOOT_MS, 130_000), undefined);
});

// What came while a process was frozen is not known, so the minute begins anew.
test('a measurement with a gap is not complete', () => {
	const history = new DemandHistory();
	run(history, 0, 62_000, createDemand({}));
	run(history, 70_000, 72_000, createDemand({}));
	assert.equal(history.summarize('s-1', BOOT_MS, 72_000)?.isComplete, false);
});

test('a load that grows is projected to the time when new servers serve; a short burst and a steady load are not', () => {
	const measure = (getLoad: (second: number) => number) => {
		const history = new DemandHistory();
		for (let second = 0; second < 60; second++) {
			run(history, second * 1000, second * 1000, createDemand({prefillLoad: getLoad(second)}));
		}

		return history.summarize('s-1', BOOT_MS, 59_000)!.growth;
	};

	assert.equal(measure(() => 4), 1);
	assert.equal(measure(second => second === 30 ? 8 : 4), 1);
	assert.ok(measure(second => second >= 55 ? 8 : 4) < 1.1);
	const growth = measure(second => 4 + (second / 10));
	assert.ok(growth > 1.05 && growth < 1.15, `${growth}`);
	assert.ok(measure(second => 100 - second) === 1);
});

test('rejected requests count as load', () => {
	const history = new DemandHistory();
	run(history, 0, 20_000, createDemand({inFlight: 10, requests: 10, rejected: 5}));
	const summary = history.summarize('s-1', BOOT_MS, 20_000)!;
	assert.equal(summary.peak.inFlight, 20);
	assert.equal(summary.lateShare, 0.5);
});

test('the engines that a load needs suffice for each role at the share that the role planner keeps', () => {
	for (const load of [{prefillLoad: 0.01, inFlight: 1}, {prefillLoad: 30, inFlight: 5}, {prefillLoad: 2, inFlight: 500}, {prefillLoad: 2, inFlight: 10, contextTokens: 20_000_000}]) {
		const need = computeNeed({decodeLoad: 0, contextTokens: 0, ...load}, POOL, 2);
		assert.ok(need.total >= 3);
		assert.ok(countPrefillTarget(need.total) >= need.prefill && need.total - countPrefillTarget(need.total) >= need.decode);
		assert.ok(need.prefill >= 2 * load.prefillLoad && need.decode * POOL.slots >= 2 * load.inFlight && need.decode * POOL.kvTokens >= 2 * (load.contextTokens ?? 0));
	}
});

function run(history: DemandHistory, fromMs: number, untilMs: number, demand?: PoolDemand): void {
	for (let nowMs = fromMs; nowMs <= untilMs; nowMs += 1000) {
		if (demand) {
			history.merge('c1', [demand], nowMs);
		}

		history.advance(nowMs);
	}
}

function createDemand(fields: Partial<PoolDemand>): PoolDemand {
	return {
		service: 's-1', requests: 10, promptTokens: 0, uncachedTokens: 0, inFlight: 0, waiting: 0, contextTokens: 0, prefillLoad: 0, decodeLoad: 0, late: 0, rejected: 0, ...fields,
	};
}
