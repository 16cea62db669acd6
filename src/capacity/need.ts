/**
 * Computes how many engines a load needs.
 *
 * @module
 */
import {countPrefillTarget} from '../routing/planner.js';
import type {EnginePool} from '../routing/routes.js';
import type {PoolLoad} from './demand.js';

/** Shares of the prefill time, the slots and the KV cache of engines above which requests wait too long. */
const MAX_PREFILL_UTILISATION = 0.7;
const MAX_SLOT_UTILISATION = 0.9;
const MAX_CACHE_UTILISATION = 0.8;
/** A pool that prefills and decodes needs an engine of each role and one that can change its role. */
const MIN_POOL_SIZE = 3;
/** Larger pools are not computed. */
const MAX_POOL_SIZE = 10_000;

/** Number of engines by role, and of both roles together at the share that the role planner keeps. */
export type EngineNeed = {
	readonly prefill: number;
	readonly decode: number;
	readonly total: number;
};

/**
 * Returns the number of engines that serve a load multiplied by a factor.
 *
 * @example
 * ```ts
 * computeNeed(demand.peak, pool, 2).total; // 24
 * ```
 */
export function computeNeed(load: PoolLoad, pool: EnginePool, factor: number): EngineNeed {
	const prefillLoad = Math.max(0, load.prefillLoad - load.decodeLoad);
	const prefill = Math.max(1, Math.ceil(factor * prefillLoad / MAX_PREFILL_UTILISATION));
	const runs = Math.max(load.inFlight / (Math.max(1, pool.slots) * MAX_SLOT_UTILISATION), load.contextTokens / (Math.max(1, pool.kvTokens) * MAX_CACHE_UTILISATION));
	const decode = Math.max(1, Math.ceil(factor * (runs + (load.decodeLoad / MAX_PREFILL_UTILISATION))));
	let total = Math.max(MIN_POOL_SIZE, Math.min(MAX_POOL_SIZE, prefill + decode));
	while (total < MAX_POOL_SIZE && (countPrefillTarget(total) < prefill || total - countPrefillTarget(total) < decode)) {
		total++;
	}

	return {prefill, decode, total};
}
