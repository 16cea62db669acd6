/**
 * Decides which engine should take another role: a pure function of demand, roles and time.
 *
 * A change is worth it only if the overload it removes over the horizon exceeds the capacity that is lost while the
 * engine is away, plus the weight that the users give to a change.
 *
 * @module
 */
import {ENGINE_ROLES, type EngineRole, type EngineSpeed} from './choice.js';
import {MIN_HANDOFF_TOKENS} from './handoff.js';

const BATCH_OF_A_BUSY_ENGINE = 42;

/** Work that comes in, in engines that it would keep busy. */
export type Demand = {
	readonly prefill: number;
	readonly decode: number;
};

export type RoleCandidate = {
	readonly server: string;
	readonly role: EngineRole;
	/** Requests it holds; the emptiest engine is changed first. */
	readonly running: number;
};

export type RoleProfile = {
	/** Time over which a change must pay, seconds. */
	readonly horizonSeconds: number;
	/** Time that a change takes an engine away, seconds. */
	readonly downtimeSeconds: number;
	/** Engine-seconds that a change must gain beyond its own cost. */
	readonly changeWeight: number;
	/** Shortest time between two changes of one pool, seconds. */
	readonly cooldownSeconds: number;
	/** Utilisation above which an engine cannot keep its deadlines. */
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
	/** Engine-seconds gained over the horizon, net of the cost. */
	readonly gain: number;
	readonly reason: string;
};

/**
 * Chooses the role change that pays most, if one does.
 *
 * @param sinceChangeSeconds - Time since the last change of this pool.
 * @example
 * ```ts
 * chooseRoleChange({prefill: 5, decode: 1}, engines, 60, PROFILES.tallgrass)?.role; // 'prefill'
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
	const now = overload(demand, counts, profile);
	const candidates = [
		evaluate(ENGINE_ROLES.prefill, {prefill: counts.prefill + 1, decode: counts.decode - 1}),
		evaluate(ENGINE_ROLES.decode, {prefill: counts.prefill - 1, decode: counts.decode + 1}),
	];
	const best = candidates.filter(candidate => candidate !== undefined).toSorted((a, b) => b.gain - a.gain)[0];
	return best && best.gain > 0 ? best : undefined;

	function evaluate(role: 'prefill' | 'decode', next: Demand): RoleChange | undefined {
		const from = role === ENGINE_ROLES.prefill ? ENGINE_ROLES.decode : ENGINE_ROLES.prefill;
		const emptiest = engines.filter(engine => engine.role === from).toSorted((a, b) => a.running - b.running)[0];
		if (!emptiest || next.prefill < 1 || next.decode < 1) {
			return undefined;
		}

		const removed = now - overload(demand, next, profile);
		const gain = (removed * profile.horizonSeconds) - profile.downtimeSeconds - profile.changeWeight;
		const reason = `prefill needs ${demand.prefill.toFixed(1)} of ${counts.prefill} engines, decode ${demand.decode.toFixed(1)} of ${counts.decode}`;
		return {
			server: emptiest.server, role, gain, reason,
		};
	}
}

/** Engines' worth of work that cannot be done in time. */
function overload(demand: Demand, counts: Demand, profile: RoleProfile): number {
	const excess = (need: number, count: number) => Math.max(0, need - (count * profile.targetUtilisation));
	return excess(demand.prefill, counts.prefill) + excess(demand.decode, counts.decode);
}

function countRoles(engines: readonly RoleCandidate[]): Demand {
	const prefill = engines.filter(engine => engine.role === ENGINE_ROLES.prefill).length;
	const mixed = engines.filter(engine => engine.role === ENGINE_ROLES.mixed).length;
	return {prefill: prefill + (mixed / 2), decode: engines.length - prefill - (mixed / 2)};
}

/**
 * Estimates the work of a request in engine-milliseconds of each kind, in well-filled batches.
 *
 * @example
 * ```ts
 * estimateWork({promptTokens: 3200, outputTokens: 80}, DEFAULT_SPEED).prefillMs; // 400
 * ```
 */
export function estimateEngineTime(shape: {readonly promptTokens: number; readonly outputTokens: number}, speed: EngineSpeed): {readonly prefillMs: number; readonly decodeMs: number} {
	const perTokenMs = (speed.stepMs / BATCH_OF_A_BUSY_ENGINE) + speed.stepMsPerRequest;
	const promptMs = shape.promptTokens / speed.prefillTokensPerMs;
	const decodeMs = shape.outputTokens * perTokenMs;
	// Short prompts are computed where the answer is.
	return shape.promptTokens > MIN_HANDOFF_TOKENS ? {prefillMs: promptMs, decodeMs} : {prefillMs: 0, decodeMs: decodeMs + promptMs};
}

/** Follows the demand over a window. A step machine: time is handed in. */
export class DemandEstimator {
	readonly #windowMs: number;
	#prefill = 0;
	#decode = 0;
	#atMs: number;

	constructor(windowMs: number, nowMs: number) {
		this.#windowMs = windowMs;
		this.#atMs = nowMs;
	}

	/** Notes a request's work, in engine-milliseconds of each kind. */
	record(prefillMs: number, decodeMs: number, nowMs: number): void {
		this.#decay(nowMs);
		this.#prefill += prefillMs / this.#windowMs;
		this.#decode += decodeMs / this.#windowMs;
	}

	current(nowMs: number): Demand {
		this.#decay(nowMs);
		return {prefill: this.#prefill, decode: this.#decode};
	}

	#decay(nowMs: number): void {
		const keep = Math.exp(-(nowMs - this.#atMs) / this.#windowMs);
		this.#prefill *= keep;
		this.#decode *= keep;
		this.#atMs = Math.max(this.#atMs, nowMs);
	}
}
