/**
 * How many engines of a pool read prompts and how many make tokens.
 *
 * @module
 */
import {ENGINE_ROLES, type EngineRole} from './choice.js';
import type {EngineInfo} from './engine.js';

export type PoolRoleChange = {
	readonly server: string;
	readonly role: EngineRole;
	readonly reason: string;
};

/** Share of a pool that reads before its caches are warm: the first prompts are read whole, the answers are short. */
const READER_SHARE = 0.6;
/** Smallest pool in which roles are told apart. */
const SMALLEST_POOL = 3;
/** A wrong share must last this long: engines that restart are back within seconds, milliseconds. */
const SETTLE_MS = 3000;

export type PlanningContext = {
	readonly nowMs: number;
	readonly isStartup: boolean;
};

/** Plans role changes for the pools of a system. A step machine: time is handed in. */
export class RolePlanner {
	/** Since when each pool has had the wrong number of readers. */
	readonly #wrongSinceMs = new Map<string, number>();

	/**
	 * Plans the changes that bring every pool to its share of readers; none if it has them.
	 *
	 * @param isNew - Whether the system starts: then nothing runs that a change could hold up.
	 * @example
	 * ```ts
	 * planner.plan(engines, {nowMs, isNew: true}); // [{server: 'e3', role: 'prefill', reason: '3 of 8 engines read, 5 should'}]
	 * ```
	 */
	plan(engines: readonly EngineInfo[], when: PlanningContext): PoolRoleChange[] {
		const pools = new Map<string, EngineInfo[]>();
		for (const engine of engines) {
			pools.set(engine.service, [...pools.get(engine.service) ?? [], engine]);
		}

		return [...pools].flatMap(([service, pool]) => this.#planPool(service, pool, when));
	}

	#planPool(service: string, pool: readonly EngineInfo[], {nowMs, isStartup}: PlanningContext): PoolRoleChange[] {
		const readers = pool.filter(({role}) => role === ENGINE_ROLES.prefill);
		const runners = pool.filter(({role}) => role === ENGINE_ROLES.decode);
		const wanted = Math.min(pool.length - 1, Math.round(pool.length * READER_SHARE));
		const excess = readers.length - wanted;
		if (pool.length < SMALLEST_POOL || excess === 0) {
			this.#wrongSinceMs.delete(service);
			return [];
		}

		const sinceMs = this.#wrongSinceMs.get(service) ?? nowMs;
		this.#wrongSinceMs.set(service, sinceMs);
		if (!isStartup && nowMs - sinceMs < SETTLE_MS) {
			return [];
		}

		this.#wrongSinceMs.delete(service);
		const reason = `${readers.length} of ${pool.length} engines read, ${wanted} should`;
		const changed = excess < 0 ? pickSpread(runners, -excess) : pickSpread(readers, excess);
		const role = excess < 0 ? ENGINE_ROLES.prefill : ENGINE_ROLES.decode;
		return changed.map(({server}) => ({server, role, reason}));
	}
}

/** Picks engines from the data centres that have most of them. */
function pickSpread(engines: readonly EngineInfo[], count: number): EngineInfo[] {
	const left = [...engines].toSorted((a, b) => a.server.localeCompare(b.server));
	const picked: EngineInfo[] = [];
	while (picked.length < count && left.length > 1) {
		const sizes = new Map<string, number>();
		for (const {dataCentre} of left) {
			sizes.set(dataCentre, (sizes.get(dataCentre) ?? 0) + 1);
		}

		left.sort((a, b) => sizes.get(b.dataCentre)! - sizes.get(a.dataCentre)!);
		picked.push(left.shift()!);
	}

	return picked;
}
