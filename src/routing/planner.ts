/**
 * Balances the number of prefill and decode engines in each pool.
 *
 * @module
 */
import {ENGINE_ROLES, type EngineRole} from './choice.js';
import type {EngineInfo} from './engine.js';

/** A planned change of one engine's role. */
export type PoolRoleChange = {
	readonly server: string;
	readonly role: EngineRole;
	readonly reason: string;
};

/**
 * Share of prefill engines in a pool. It suits cold caches, when prompts are prefilled in full and responses are short.
 */
const PREFILL_SHARE = 0.6;
/** Minimum number of engines for which a pool is split into prefill and decode engines. */
const MIN_POOL_SIZE = 3;
/** How long a pool must be imbalanced before it is changed, because restarting engines are back within seconds. */
const STABILIZATION_MS = 3000;

/** When a plan is made. */
export type PlanningContext = {
	readonly nowMs: number;
	/** Whether the system is starting; no request is running yet that a role change could delay. */
	readonly isStartup: boolean;
};

/** Plans role changes for all pools. Performs no I/O; the caller passes the current time. */
export class RolePlanner {
	/** Since when each imbalanced pool has had the wrong number of prefill engines. */
	readonly #imbalancedSinceMs = new Map<string, number>();

	/**
	 * Plans the changes that bring every pool to its target share of prefill engines.
	 *
	 * @example
	 * ```ts
	 * planner.plan(engines, {nowMs, isStartup: true}); // [{server: 'e3', role: 'prefill', reason: '3 of 8 engines read, 5 should'}]
	 * ```
	 */
	plan(engines: readonly EngineInfo[], context: PlanningContext): PoolRoleChange[] {
		const pools = new Map<string, EngineInfo[]>();
		for (const engine of engines) {
			pools.set(engine.service, [...pools.get(engine.service) ?? [], engine]);
		}

		return [...pools].flatMap(([service, pool]) => this.#planPool(service, pool, context));
	}

	#planPool(service: string, pool: readonly EngineInfo[], {nowMs, isStartup}: PlanningContext): PoolRoleChange[] {
		const prefillEngines = pool.filter(({role}) => role === ENGINE_ROLES.prefill);
		const decodeEngines = pool.filter(({role}) => role === ENGINE_ROLES.decode);
		const wanted = countPrefillTarget(pool.length);
		const excess = prefillEngines.length - wanted;
		if (pool.length < MIN_POOL_SIZE || excess === 0) {
			this.#imbalancedSinceMs.delete(service);
			return [];
		}

		const sinceMs = this.#imbalancedSinceMs.get(service) ?? nowMs;
		this.#imbalancedSinceMs.set(service, sinceMs);
		if (!isStartup && nowMs - sinceMs < STABILIZATION_MS) {
			return [];
		}

		this.#imbalancedSinceMs.delete(service);
		const reason = `${prefillEngines.length} of ${pool.length} engines read, ${wanted} should`;
		const changed = excess < 0 ? pickFromLargestDataCentres(decodeEngines, -excess) : pickFromLargestDataCentres(prefillEngines, excess);
		const role = excess < 0 ? ENGINE_ROLES.prefill : ENGINE_ROLES.decode;
		return changed.map(({server}) => ({server, role, reason}));
	}
}

/**
 * Returns the number of prefill engines that a pool should have.
 *
 * @example
 * ```ts
 * countPrefillTarget(8); // 5
 * ```
 */
export function countPrefillTarget(poolSize: number): number {
	return Math.min(poolSize - 1, Math.round(poolSize * PREFILL_SHARE));
}

/** Picks engines one by one, each from the data centre with the most engines left. */
function pickFromLargestDataCentres(engines: readonly EngineInfo[], count: number): EngineInfo[] {
	const remaining = [...engines].toSorted((a, b) => a.server.localeCompare(b.server));
	const picked: EngineInfo[] = [];
	while (picked.length < count && remaining.length > 1) {
		const sizes = new Map<string, number>();
		for (const {dataCentre} of remaining) {
			sizes.set(dataCentre, (sizes.get(dataCentre) ?? 0) + 1);
		}

		remaining.sort((a, b) => sizes.get(b.dataCentre)! - sizes.get(a.dataCentre)!);
		picked.push(remaining.shift()!);
	}

	return picked;
}
