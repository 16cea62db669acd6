/**
 * Decides how many servers of each kind a service has in each data centre.
 *
 * Capacity that is too small costs far more than idle servers, so the total is raised at once and lowered in small steps, and
 * servers are removed only after their replacements serve. A pure function: everything it depends on is passed in.
 *
 * @module
 */
import type {EnginePool} from '../routing/routes.js';
import {allocate, getPrice, type KindCounts} from './allocation.js';
import type {DemandSummary} from './demand.js';
import {
	SERVER_KINDS, type CapacityChange, type CapacityDecision, type CapacityInput, type KindCapacity, type ServerKind, type ZoneCapacity,
} from './model.js';
import {computeNeed, type EngineNeed} from './need.js';

/** Multiples of the load for which servers are ordered: a burst doubles the average of the last seconds, and the peak may be exceeded a little. */
const TARGET = {sustained: 2, peak: 1.25} as const;
/** Multiples for which the servers must be enough, or more are ordered: a burst that the servers are meant for orders no more. */
const MINIMUM = {sustained: 1.5, peak: 1} as const;
/** Servers are removed only as far as the remaining ones serve this multiple of the peak of the last minute. */
const KEPT_PEAK = 2;
/** Multiple of the peak that must be served after a loss. */
const SURVIVAL_PEAK = 1.25;
/** While the demand is not known, this share of the servers must remain after a loss. */
const UNKNOWN_SURVIVAL_SHARE = 0.6;
/** Share of late requests above which the total is raised, whatever the measured load. */
const MAX_LATE_SHARE = 0.05;
/** Late requests are not put down to a lack of servers while the load needs less than this share of them. */
const MIN_LOADED_SHARE = 0.5;
const LATE_INCREASE_FACTOR = 1.25;
/** Time for new servers to announce themselves and relieve the others, in addition to their start, milliseconds. */
const RELIEF_MS = 4000;
/** The total is not lowered for this long after it was raised, and after it was lowered, milliseconds. */
const STABLE_AFTER_INCREASE_MS = 60_000;
const STABLE_AFTER_DECREASE_MS = 10_000;
/** Minimum time between two removals under load, milliseconds: prefix caches of removed servers are lost and must be rebuilt elsewhere. */
const REMOVAL_INTERVAL_MS = 8000;
/** Share of the servers that is removed at once under load. */
const REMOVAL_SHARE = 0.1;
/** Share of the engines of a role that may be lost with one removal: the external service chooses which servers leave. */
const MAX_ROLE_LOSS = 0.5;

type Target = Pick<CapacityDecision, 'total' | 'isIncrease' | 'reason'>;

/**
 * Decides the changes to make now, at most one for each data centre.
 *
 * @example
 * ```ts
 * decideCapacity(input).changes; // [{zone: 'b', kind: 'spot', from: 0, desired: 15}]
 * ```
 */
export function decideCapacity(input: CapacityInput): CapacityDecision {
	const {zones, scaling, demand, pool} = input;
	const target = chooseTotal(input);
	const limit = (count: number) => Math.min(Math.max(count, scaling.min * zones.length), scaling.max * zones.length);
	// Silent servers are still there, but others must serve in their place.
	const silent = sumKinds(zones, ({present, serving}) => Math.max(0, present - serving));
	const total = limit(target.total + silent);
	const survivalNeed = demand && pool ? computeNeed(demand.peak, pool, SURVIVAL_PEAK) : undefined;
	const survivors = Math.min(total, demand?.isComplete && survivalNeed ? survivalNeed.total : Math.max(survivalNeed?.total ?? 0, Math.ceil(total * UNKNOWN_SURVIVAL_SHARE)));
	const wanted = allocate(zones, {total, survivors, scaling});
	const additions = listAdditions(input, wanted);
	const removals = listRemovals(input, wanted, {
		total, survivors, need: survivalNeed, busyZones: new Set(additions.map(({zone}) => zone)),
	});
	return {
		...target, total: limit(target.total), survivors, changes: [...additions, ...removals],
	};
}

function chooseTotal(input: CapacityInput): Target {
	const {zones, demand, pool, previousTotal = 0, sinceIncreaseMs, sinceDecreaseMs, scaling} = input;
	const expected = sumKinds(zones, ({expected: count}) => count);
	const reclaimed = zones.reduce((count, zone) => count + zone.reclaimed, 0);
	const onDemand = zones.reduce((count, zone) => count + zone.onDemand.expected, 0);
	// Servers that are being replaced are there twice for a while, so the former total counts once there is one.
	const base = previousTotal > 0 ? Math.max(previousTotal, demand ? 0 : onDemand) : expected + reclaimed;
	if (!demand || !pool) {
		return {total: base, isIncrease: false, reason: 'the demand is not known'};
	}

	const ordered = computeTotal(demand, pool, TARGET);
	if (base < computeTotal(demand, pool, MINIMUM)) {
		return {total: ordered, isIncrease: true, reason: 'the load needs more servers'};
	}

	if (isOverloaded(demand, pool, base) && sinceIncreaseMs >= scaling.bootMs + RELIEF_MS) {
		return {total: Math.max(ordered, Math.ceil(base * LATE_INCREASE_FACTOR)), isIncrease: true, reason: 'requests are late'};
	}

	const kept = Math.max(ordered, computeNeed(demand.peak, pool, KEPT_PEAK).total);
	if (base > kept && mayLower(demand, {sinceIncreaseMs, sinceDecreaseMs}) && expected <= base) {
		return {total: Math.max(kept, base - getRemovalStep(base)), isIncrease: false, reason: 'the load needs fewer servers'};
	}

	return {total: base, isIncrease: false, reason: 'the total stays'};
}

/** Returns the number of engines for multiples of the peak and of the average of the last seconds, with their trend. */
function computeTotal({peak, sustained, growth}: DemandSummary, pool: EnginePool, factors: {readonly peak: number; readonly sustained: number}): number {
	return Math.max(computeNeed(peak, pool, factors.peak * growth).total, computeNeed(sustained, pool, factors.sustained * growth).total);
}

/** Whether requests are late for lack of servers. */
function isOverloaded(demand: DemandSummary, pool: EnginePool, total: number): boolean {
	return demand.lateShare > MAX_LATE_SHARE && computeNeed(demand.peak, pool, 1).total >= total * MIN_LOADED_SHARE;
}

function mayLower(demand: DemandSummary, {sinceIncreaseMs, sinceDecreaseMs}: Pick<CapacityInput, 'sinceIncreaseMs' | 'sinceDecreaseMs'>): boolean {
	return demand.isComplete && demand.isActive && demand.lateShare <= MAX_LATE_SHARE
		&& sinceIncreaseMs >= STABLE_AFTER_INCREASE_MS && sinceDecreaseMs >= STABLE_AFTER_DECREASE_MS;
}

/** Lists the largest increase of each data centre, as far as its limit and the availability of servers allow. */
function listAdditions({zones, scaling}: CapacityInput, wanted: ReadonlyMap<string, KindCounts>): CapacityChange[] {
	return zones.filter(({isChangeable}) => isChangeable).flatMap(zone => {
		// Servers that are being removed may still be there: a removal without a result may not have taken effect.
		const space = scaling.max - Math.max(zone.onDemand.expected, zone.onDemand.present) - Math.max(zone.spot.expected, zone.spot.present);
		const options = Object.values(SERVER_KINDS).map(kind => {
			const {expected, maxIncrease} = zone[kind];
			const count = Math.min(space, maxIncrease, wanted.get(zone.zone)![kind] - expected);
			return {
				zone: zone.zone, kind, from: expected, desired: expected + count,
			};
		});
		const [best] = options.filter(({from, desired}) => desired > from).toSorted((a, b) => b.desired - b.from - (a.desired - a.from));
		return best ? [best] : [];
	});
}

type RemovalLimits = {
	readonly total: number;
	readonly survivors: number;
	readonly need: EngineNeed | undefined;
	/** Data centres for which another change is made now. */
	readonly busyZones: ReadonlySet<string>;
};

/** Lists removals of servers that are not wanted, the most expensive ones first, as far as the remaining ones are enough. */
function listRemovals(input: CapacityInput, wanted: ReadonlyMap<string, KindCounts>, limits: RemovalLimits): CapacityChange[] {
	const {zones, scaling, demand, sinceDecreaseMs} = input;
	const isPaced = demand !== undefined || input.pool === undefined;
	const isTooEarly = isPaced && sinceDecreaseMs < REMOVAL_INTERVAL_MS;
	if (isTooEarly || (demand && input.pool && isOverloaded(demand, input.pool, limits.total))) {
		return [];
	}

	const remaining = new Map(zones.map(zone => [zone.zone, {onDemand: countReliable(zone.onDemand), spot: countReliable(zone.spot)}]));
	let budget = sumCounts(remaining) - limits.total;
	budget = isPaced ? Math.min(budget, getRemovalStep(limits.total)) : budget;
	const roles = {prefill: sumKinds(zones, ({prefill}) => prefill), decode: sumKinds(zones, ({decode}) => decode)};
	const floors = {prefill: getRoleFloor(roles.prefill, limits.need?.prefill), decode: getRoleFloor(roles.decode, limits.need?.decode)};
	const changes: CapacityChange[] = [];
	for (const {zone, kind} of listSurplus(input, wanted)) {
		const capacity = zone[kind];
		const counts = remaining.get(zone.zone)!;
		const isBusy = !zone.isChangeable || limits.busyZones.has(zone.zone) || changes.some(change => change.zone === zone.zone);
		if (isBusy || !capacity.canShrink) {
			continue;
		}

		let count = Math.min(budget, capacity.expected - wanted.get(zone.zone)![kind], zone.onDemand.expected + zone.spot.expected - scaling.min, counts[kind]);
		while (count > 0 && !isSafe(count)) {
			count--;
		}

		if (count <= 0) {
			continue;
		}

		budget -= count;
		counts[kind] -= count;
		roles.prefill -= Math.min(count, capacity.prefill);
		roles.decode -= Math.min(count, capacity.decode);
		changes.push({
			zone: zone.zone, kind, from: capacity.expected, desired: capacity.expected - count,
		});

		// The service may remove engines of one role only.
		function isSafe(removed: number): boolean {
			const isRoleKept = input.pool === undefined
				|| (roles.prefill - Math.min(removed, capacity.prefill) >= floors.prefill && roles.decode - Math.min(removed, capacity.decode) >= floors.decode);
			const after = sumCounts(remaining) - removed;
			const largestSpot = Math.max(...[...remaining].map(([name, {spot}]) => name === zone.zone && kind === SERVER_KINDS.spot ? spot - removed : spot));
			return isRoleKept && after - largestSpot >= limits.survivors;
		}
	}

	return changes;
}

function listSurplus({zones, scaling}: CapacityInput, wanted: ReadonlyMap<string, KindCounts>): Array<{readonly zone: ZoneCapacity; readonly kind: ServerKind}> {
	return zones
		.flatMap(zone => Object.values(SERVER_KINDS).map(kind => ({zone, kind, price: getPrice(scaling, zone.zone, kind)})))
		.filter(({zone, kind}) => zone[kind].expected > wanted.get(zone.zone)![kind])
		.toSorted((a, b) => b.price - a.price);
}

function getRemovalStep(total: number): number {
	return Math.max(1, Math.floor(total * REMOVAL_SHARE));
}

function getRoleFloor(count: number, needed = 0): number {
	return Math.max(1, needed, Math.ceil(count * MAX_ROLE_LOSS));
}

/** Counts the servers that serve now and have not been asked to leave. */
function countReliable({serving, expected}: KindCapacity): number {
	return Math.min(serving, expected);
}

function sumKinds(zones: readonly ZoneCapacity[], read: (kind: KindCapacity) => number): number {
	return zones.reduce((sum, {onDemand, spot}) => sum + read(onDemand) + read(spot), 0);
}

function sumCounts(counts: ReadonlyMap<string, KindCounts>): number {
	let sum = 0;
	for (const {onDemand, spot} of counts.values()) {
		sum += onDemand + spot;
	}

	return sum;
}
