/**
 * Distributes a number of servers over data centres and kinds at the lowest price.
 *
 * @module
 */
import type {ScalingSpec} from '../routing/routes.js';
import {SERVER_KINDS, type ServerKind, type ZoneCapacity} from './model.js';

/** Number of servers of each kind. */
export type KindCounts = Readonly<Record<ServerKind, number>>;

/** Share of on-demand servers: they remain if the spot servers of several data centres are reclaimed one after the other. */
const ON_DEMAND_SHARE = 0.15;
/**
 * Each data centre keeps this share of an even distribution, whatever its price: its callers reach servers without crossing a link, and a
 * data centre that is cut off loses at most the remainder.
 */
const EVEN_SHARE = 0.5;

export type AllocationLimits = {
	/** Total number of servers. */
	readonly total: number;
	/** Number that must remain if all spot servers of any one data centre are reclaimed. */
	readonly survivors: number;
	readonly scaling: ScalingSpec;
};

/**
 * Returns the price of a server relative to an on-demand server at price 1.
 *
 * @example
 * ```ts
 * getPrice(scaling, 'a', 'spot'); // 0.18
 * ```
 */
export function getPrice({zonePrices, spotPrice}: ScalingSpec, zone: string, kind: ServerKind): number {
	return (zonePrices.get(zone) ?? 1) * (kind === SERVER_KINDS.spot ? spotPrice : 1);
}

/**
 * Returns the cheapest distribution within the limits, without the kinds that are not available now. The total is not reached if
 * too few servers are available.
 *
 * @example
 * ```ts
 * allocate(zones, {total: 9, survivors: 6, scaling}).get('a'); // {onDemand: 2, spot: 3}
 * ```
 */
export function allocate(zones: readonly ZoneCapacity[], {total, survivors, scaling}: AllocationLimits): Map<string, KindCounts> {
	const counts = new Map(zones.map(({zone}) => [zone, {onDemand: 0, spot: 0}]));
	const maxSpotPerZone = Math.max(0, total - survivors);
	const maxSpot = total - Math.ceil(total * ON_DEMAND_SHARE);
	const zoneFloor = Math.min(scaling.max, Math.ceil(total * EVEN_SHARE / Math.max(1, zones.length)));
	const getTotal = ({onDemand, spot}: KindCounts) => onDemand + spot;
	const sum = (read: (kinds: KindCounts) => number) => [...counts.values()].reduce((result, kinds) => result + read(kinds), 0);

	let isSpotLimited = true;
	const canAdd = (zone: ZoneCapacity, kind: ServerKind) => {
		const kinds = counts.get(zone.zone)!;
		const isAvailable = kinds[kind] < zone[kind].expected + zone[kind].maxIncrease;
		if (kind === SERVER_KINDS.onDemand) {
			return isAvailable;
		}

		return isAvailable && scaling.spotPrice < 1 && (!isSpotLimited || (kinds.spot < maxSpotPerZone && sum(({spot}) => spot) < maxSpot));
	};

	const add = (candidates: readonly ZoneCapacity[]) => {
		const options = candidates
			.filter(({zone}) => getTotal(counts.get(zone)!) < scaling.max)
			.flatMap(zone => Object.values(SERVER_KINDS).filter(kind => canAdd(zone, kind)).map(kind => ({zone: zone.zone, kind, price: getPrice(scaling, zone.zone, kind)})));
		const best = options.toSorted((a, b) => a.price - b.price || a.zone.localeCompare(b.zone))[0];
		if (best) {
			counts.get(best.zone)![best.kind]++;
		}

		return best !== undefined;
	};

	for (const floor of [Math.min(scaling.min, scaling.max), zoneFloor]) {
		for (const zone of zones) {
			while (getTotal(counts.get(zone.zone)!) < floor && sum(kinds => getTotal(kinds)) < total && add([zone])) {
				// Each step adds one server.
			}
		}
	}

	// Without enough on-demand servers, spot servers beyond their limits are better than too few servers.
	for (const isLimited of [true, false]) {
		isSpotLimited = isLimited;
		while (sum(kinds => getTotal(kinds)) < total && add(zones)) {
			// Each step adds one server.
		}
	}

	return counts;
}
