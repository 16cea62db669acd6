/**
 * Decides whether an engine should change its role, given the demand and the current roles.
 *
 * A change is made only if the overload that it removes over the planning horizon exceeds the capacity that is lost
 * while the engine is unavailable, plus the weight that the users' policy assigns to a change.
 *
 * @module
 */
import {ENGINE_ROLES, type EngineRole, type EngineSpeed} from './choice.js';
import {MIN_HANDOFF_TOKENS} from './handoff.js';

/** Batch size of a busy engine, over which the base duration of a decode step is divided. */
const BUSY_BATCH_SIZE = 42;

/** Incoming work, as the number of engines that it would keep busy. */
export type Demand = {
	readonly prefill: number;
	readonly decode: number;
};

/** An engine that may change its role. */
export type RoleCandidate = {
	readonly server: string;
	readonly role: EngineRole;
	/** Number of running requests; the engine with the fewest changes its role first. */
	readonly running: number;
};

/** Parameters of role changes that a policy selects. */
export type RoleProfile = {
	/** Planning horizon within which a change must pay off, seconds. */
	readonly horizonSeconds: number;
	/** Time that an engine is unavailable because of a change, seconds. */
	readonly downtimeSeconds: number;
	/** Engine-seconds that a change must gain in addition to its downtime. */
	readonly changeWeight: number;
	/** Minimum time between two changes in one pool, seconds. */
	readonly cooldownSeconds: number;
	/** Utilisation above which an engine misses its latency targets. */
	readonly targetUtilisation: number;
};

export const ROLE_PROFILES = {
	tallgrass: {
		horizonSeconds: 45, downtimeSeconds: 4, changeWeight: 2, cooldownSeconds: 5, targetUtilisation: 0.7,
	},
	hrafnsvik: {
		horizonSeconds: 90, downtimeSeconds: 4, changeWeight: 25, cooldownSeconds: 60, targetUtilisation: 0.8,
	},
} as const satisfies Record<string, RoleProfile>;

export type RoleChange = {
	readonly server: string;
	readonly role: EngineRole;
	/** Engine-seconds gained over the horizon, minus the cost of the change. */
	readonly gain: number;
	readonly reason: string;
};

/**
 * Chooses the role change with the largest gain; undefined if no change pays off.
 *
 * @param sinceChangeSeconds - Time since the last change in this pool, seconds.
 * @example
 * ```ts
 * chooseRoleChange({prefill: 5, decode: 1}, engines, 60, ROLE_PROFILES.tallgrass)?.role; // 'prefill'
 * ```
 */
export function chooseRoleChange(
	demand: Demand,
	engines: readonly RoleCandidate[],
	sinceChangeSeconds: number,
	profile: RoleProfile,
): RoleChange | undefined {
	if (sinceChangeSeconds < profile.cooldownSeconds || engines.length < 2) {
		return undefined;
	}

	const counts = countRoles(engines);
	const currentOverload = estimateOverload(demand, counts, profile);
	const candidates = [
		evaluate(ENGINE_ROLES.prefill, {prefill: counts.prefill + 1, decode: counts.decode - 1}),
		evaluate(ENGINE_ROLES.decode, {prefill: counts.prefill - 1, decode: counts.decode + 1}),
	];
	const best = candidates.filter(candidate => candidate !== undefined).toSorted((a, b) => b.gain - a.gain)[0];
	return best && best.gain > 0 ? best : undefined;

	function evaluate(role: 'prefill' | 'decode', next: Demand): RoleChange | undefined {
		const from = role === ENGINE_ROLES.prefill ? ENGINE_ROLES.decode : ENGINE_ROLES.prefill;
		const leastLoaded = engines.filter(engine => engine.role === from).toSorted((a, b) => a.running - b.running)[0];
		if (!leastLoaded || next.prefill < 1 || next.decode < 1) {
			return undefined;
		}

		const removedOverload = currentOverload - estimateOverload(demand, next, profile);
		const gain = (removedOverload * profile.horizonSeconds) - profile.downtimeSeconds - profile.changeWeight;
		const reason = `prefill needs ${demand.prefill.toFixed(1)} of ${counts.prefill} engines, decode ${demand.decode.toFixed(1)} of ${counts.decode}`;
		return {
			server: leastLoaded.server, role, gain, reason,
		};
	}
}

/** Estimates the demand beyond the target utilisation, as a number of engines. */
function estimateOverload(demand: Demand, counts: Demand, profile: RoleProfile): number {
	const excess = (need: number, count: number) => Math.max(0, need - (count * profile.targetUtilisation));
	return excess(demand.prefill, counts.prefill) + excess(demand.decode, counts.decode);
}

/** Counts the engines of each role; a mixed engine counts half for each. */
function countRoles(engines: readonly RoleCandidate[]): Demand {
	const prefill = engines.filter(engine => engine.role === ENGINE_ROLES.prefill).length;
	const mixed = engines.filter(engine => engine.role === ENGINE_ROLES.mixed).length;
	return {prefill: prefill + (mixed / 2), decode: engines.length - prefill - (mixed / 2)};
}

/**
 * Estimates the engine time of a request for prefill and for decoding in full batches, milliseconds.
 *
 * @example
 * ```ts
 * estimateEngineTime({promptTokens: 3200, outputTokens: 80}, DEFAULT_ENGINE_SPEED).prefillMs; // 400
 * ```
 */
export function estimateEngineTime(shape: {readonly promptTokens: number; readonly outputTokens: number}, speed: EngineSpeed): {readonly prefillMs: number; readonly decodeMs: number} {
	const perTokenMs = (speed.stepMs / BUSY_BATCH_SIZE) + speed.stepMsPerRequest;
	const promptMs = shape.promptTokens / speed.prefillTokensPerMs;
	const decodeMs = shape.outputTokens * perTokenMs;
	// Decode engines prefill short prompts themselves.
	return shape.promptTokens > MIN_HANDOFF_TOKENS ? {prefillMs: promptMs, decodeMs} : {prefillMs: 0, decodeMs: decodeMs + promptMs};
}

/** Estimates the demand as an exponentially decaying average. Performs no I/O; the caller passes the current time. */
export class DemandEstimator {
	readonly #windowMs: number;
	#prefill = 0;
	#decode = 0;
	#atMs: number;

	constructor(windowMs: number, nowMs: number) {
		this.#windowMs = windowMs;
		this.#atMs = nowMs;
	}

	/** Adds the engine time of a request, milliseconds. */
	record(prefillMs: number, decodeMs: number, nowMs: number): void {
		this.#decay(nowMs);
		this.#prefill += prefillMs / this.#windowMs;
		this.#decode += decodeMs / this.#windowMs;
	}

	/** Returns the demand at the given time. */
	current(nowMs: number): Demand {
		this.#decay(nowMs);
		return {prefill: this.#prefill, decode: this.#decode};
	}

	#decay(nowMs: number): void {
		const decay = Math.exp(-(nowMs - this.#atMs) / this.#windowMs);
		this.#prefill *= decay;
		this.#decode *= decay;
		this.#atMs = Math.max(this.#atMs, nowMs);
	}
}
