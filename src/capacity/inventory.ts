/**
 * Counts the servers of a service by data centre and kind.
 *
 * @module
 */
import type {ServerStatus} from '../generated/types.js';
import {ENGINE_ROLES} from '../routing/choice.js';
import type {ScalingSpec} from '../routing/routes.js';
import {SERVER_KINDS} from './model.js';

export type ServerCounts = {
	/** Servers that are there and stay, including silent ones: a request names the number of all. */
	readonly present: number;
	/** Of those, the ones that accept new work. */
	readonly serving: number;
	readonly prefill: number;
	readonly decode: number;
};

export type ZoneCounts = {
	readonly onDemand: ServerCounts;
	readonly spot: ServerCounts;
	/** Spot servers with a notice of their end. */
	readonly reclaimed: number;
};

type Counts = {-readonly [Name in keyof ServerCounts]: ServerCounts[Name]};

/**
 * Counts the servers of a service in each data centre that is priced or has servers.
 *
 * @example
 * ```ts
 * countServers(registry.listStatuses(), 's-1', scaling).get('a')?.spot.serving; // 12
 * ```
 */
export function countServers(statuses: readonly ServerStatus[], service: string, {zonePrices}: ScalingSpec): Map<string, ZoneCounts> {
	const zones = new Map([...zonePrices.keys()].map(zone => [zone, createZone()]));
	for (const {announcement, gone, silent} of statuses) {
		const {services, dataCentre, role, spot, leaving, leavesMs} = announcement;
		if (gone || services?.[0] !== service || dataCentre === undefined) {
			continue;
		}

		const zone = zones.get(dataCentre) ?? createZone();
		zones.set(dataCentre, zone);
		if (leaving === true) {
			zone.reclaimed += spot === true && leavesMs !== undefined && !silent ? 1 : 0;
			continue;
		}

		const counts = zone[spot === true ? SERVER_KINDS.spot : SERVER_KINDS.onDemand];
		counts.present++;
		if (!silent) {
			counts.serving++;
			counts.prefill += role === ENGINE_ROLES.decode ? 0 : 1;
			counts.decode += role === ENGINE_ROLES.prefill ? 0 : 1;
		}
	}

	return zones;
}

function createZone(): {onDemand: Counts; spot: Counts; reclaimed: number} {
	return {onDemand: createCounts(), spot: createCounts(), reclaimed: 0};
}

function createCounts(): Counts {
	return {
		present: 0, serving: 0, prefill: 0, decode: 0,
	};
}
