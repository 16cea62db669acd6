/**
 * How many engines of a pool read prompts and how many make tokens.
 *
 * @module
 */
import {ENGINE_ROLES, type EngineRole} from './choice.js';
import type {EngineFacts} from './enginestate.js';

export type StageChange = {
	readonly server: string;
	readonly role: EngineRole;
	readonly reason: string;
};

/** Share of a pool that reads before its caches are warm: the first prompts are read whole, the answers are short. */
const READER_SHARE = 0.6;
/** Smallest pool in which roles are told apart. */
const SMALLEST_POOL = 3;

/**
 * Plans the changes that bring every pool to its share of readers; none if it has them.
 *
 * @example
 * ```ts
 * planReaders(engines); // [{server: 'e3', role: 'prefill', reason: '3 of 8 engines read, 5 should'}]
 * ```
 */
export function planReaders(engines: readonly EngineFacts[]): StageChange[] {
	const pools = new Map<string, EngineFacts[]>();
	for (const engine of engines) {
		pools.set(engine.service, [...pools.get(engine.service) ?? [], engine]);
	}

	return [...pools.values()].flatMap(pool => planPool(pool));
}

function planPool(pool: readonly EngineFacts[]): StageChange[] {
	const readers = pool.filter(({role}) => role === ENGINE_ROLES.prefill);
	const runners = pool.filter(({role}) => role === ENGINE_ROLES.decode);
	const wanted = Math.min(pool.length - 1, Math.round(pool.length * READER_SHARE));
	if (pool.length < SMALLEST_POOL || readers.length >= wanted) {
		return [];
	}

	const reason = `${readers.length} of ${pool.length} engines read, ${wanted} should`;
	return pickSpread(runners, wanted - readers.length).map(({server}) => ({server, role: ENGINE_ROLES.prefill, reason}));
}

/** Picks engines from the data centres that have most of them. */
function pickSpread(engines: readonly EngineFacts[], count: number): EngineFacts[] {
	const left = [...engines].toSorted((a, b) => a.server.localeCompare(b.server));
	const picked: EngineFacts[] = [];
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
