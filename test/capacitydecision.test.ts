import assert from 'node:assert/strict';
import {test} from 'node:test';
import {allocate} from '../src/capacity/allocation.js';
import {decideCapacity} from '../src/capacity/decision.js';
import type {DemandSummary} from '../src/capacity/demand.js';
import type {CapacityInput, KindCapacity, ZoneCapacity} from '../src/capacity/model.js';
import {computeNeed} from '../src/capacity/need.js';
import {POOL, SCALING} from './scalingfleet.js';

// The external service chooses which servers leave: with all prefill engines in one data centre, a removal there could take them all.
test('a removal that could take the engines of one role is smaller, or not made', () => {
	const createZones = (zone: ZoneCapacity) => [createZone('a', {}, {decode: 8}), createZone('b', {}, {decode: 8}), {...zone, spot: {...zone.spot, maxIncrease: 0}}];
	const countRemoved = (zone: ZoneCapacity) => {
		const {changes} = decideCapacity(createInput(createZones(zone), {previousTotal: 12}));
		return changes.filter(change => change.zone === 'c' && change.kind === 'onDemand').map(({from, desired}) => from - desired);
	};

	// Without regard to roles, 2 of each would stay.
	assert.deepEqual(countRemoved(createZone('c', {prefill: 6}, {})), [3]);
	assert.deepEqual(countRemoved(createZone('c', {decode: 6}, {})), []);
});

test('on-demand servers are not removed if the load would be left without servers by the loss of one data centre\'s spot servers', () => {
	const load = {
		prefillLoad: 4, decodeLoad: 0, inFlight: 48, contextTokens: 0,
	};
	const survivors = computeNeed(load, POOL, 1.25).total;
	// All spot servers are in one data centre, and no others can be had.
	const zones = [createZone('b', {prefill: 9, decode: 6}, {prefill: 12, decode: 8})];
	const {changes} = decideCapacity(createInput(zones, {
		previousTotal: 20, demand: createDemand(load), scaling: {...SCALING, zonePrices: new Map([['b', 1]])},
	}));
	assert.deepEqual(changes, [{
		zone: 'b', kind: 'onDemand', from: 15, desired: Math.max(15 - 2, survivors),
	}]);
	const tight = [createZone('b', {prefill: 9, decode: survivors - 9}, {prefill: 12, decode: 8})];
	assert.deepEqual(decideCapacity(createInput(tight, {previousTotal: 20, demand: createDemand(load)})).changes.filter(({kind}) => kind === 'onDemand'), []);
});

// Requests may be late because of slow links or hosts. On-demand servers would then be paid for without an end.
test('late requests stop removals if the servers are loaded; otherwise servers are still replaced, but not fewer', () => {
	const zones = ['a', 'b', 'c'].map(zone => createZone(zone, {prefill: 6, decode: 4}, {prefill: 6, decode: 4}));
	const decide = (inFlight: number) => decideCapacity(createInput(zones, {
		previousTotal: 30, demand: {
			...createDemand({
				prefillLoad: 1, decodeLoad: 0, inFlight, contextTokens: 0,
			}), lateShare: 0.1,
		},
	}));
	const idle = decide(10);
	assert.equal(idle.total, 30);
	assert.ok(idle.changes.some(({from, desired}) => desired < from));
	const loaded = decide(100);
	assert.ok(loaded.total > 30);
	assert.ok(loaded.changes.every(({from, desired}) => desired > from));
});

test('no more than the limits are wanted, and the cheapest data centres come first', () => {
	const zones = ['a', 'b', 'c'].map(zone => createZone(zone, {}, {}));
	const counts = allocate(zones, {total: 30, survivors: 18, scaling: {...SCALING, max: 15}});
	const totals = [...counts.values()].map(({onDemand, spot}) => onDemand + spot);
	assert.equal(totals.reduce((sum, total) => sum + total, 0), 30);
	assert.ok(totals.every(total => total >= 5 && total <= 15));
	assert.ok([...counts.values()].every(({spot}) => spot <= 12));
	assert.equal(counts.get('b')!.onDemand + counts.get('b')!.spot, 15);
	assert.equal([...counts.values()].reduce((sum, {onDemand}) => sum + onDemand, 0), 5);
	assert.deepEqual(allocate([], {total: 5, survivors: 2, scaling: SCALING}), new Map());
});

test('at most one change is made for a data centre, none while another one is under way, and none beyond the maximum', () => {
	const zones = [createZone('a', {prefill: 30, decode: 20}, {}), {...createZone('b', {prefill: 3, decode: 3}, {}), isChangeable: false}, createZone('c', {prefill: 3, decode: 3}, {})];
	const {changes} = decideCapacity(createInput(zones, {
		demand: createDemand({
			prefillLoad: 60, decodeLoad: 0, inFlight: 600, contextTokens: 0,
		}),
	}));
	assert.deepEqual(changes.map(({zone}) => zone), ['a', 'c']);
	assert.equal(changes[0]!.desired - changes[0]!.from, 3);
	assert.ok(changes[1]!.desired - changes[1]!.from <= 53 - 6);
});

function createInput(zones: readonly ZoneCapacity[], input: Partial<CapacityInput>): CapacityInput {
	return {
		scaling: SCALING, pool: POOL, zones, demand: undefined, previousTotal: undefined, sinceIncreaseMs: 600_000, sinceDecreaseMs: 600_000, ...input,
	};
}

type Roles = {readonly prefill?: number; readonly decode?: number};

function createZone(zone: string, onDemand: Roles, spot: Roles): ZoneCapacity {
	return {
		zone, onDemand: createKind(onDemand), spot: createKind(spot), reclaimed: 0, isChangeable: true,
	};
}

function createKind({prefill = 0, decode = 0}: Roles): KindCapacity {
	const count = prefill + decode;
	return {
		present: count, serving: count, expected: count, prefill, decode, maxIncrease: Number.POSITIVE_INFINITY, canShrink: true,
	};
}

function createDemand(load: DemandSummary['peak']): DemandSummary {
	return {
		current: {
			service: 's-1', requests: 10, promptTokens: 0, uncachedTokens: 0, waiting: 0, late: 0, rejected: 0, ...load,
		},
		peak: load, sustained: load, growth: 1, lateShare: 0, isComplete: true, isActive: true,
	};
}
