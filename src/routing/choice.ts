/**
 * Chooses the engine for a request: a pure function of what is known.
 *
 * @module
 */
import {shuffle, type Random} from '../base/random.js';
import type {LoadEstimate, WorkSize} from './load.js';

export const ENGINE_ROLES = {prefill: 'prefill', decode: 'decode', mixed: 'mixed'} as const;
export type EngineRole = keyof typeof ENGINE_ROLES;

/** How fast an engine is, learned from its answers. */
export type EngineSpeed = {
	readonly prefillTokensPerMs: number;
	/** Time of one decode step with an empty batch, milliseconds. */
	readonly stepMs: number;
	/** Time that each running request adds to a step, milliseconds. */
	readonly stepMsPerRequest: number;
};

export const DEFAULT_ENGINE_SPEED: EngineSpeed = {prefillTokensPerMs: 8, stepMs: 14, stepMsPerRequest: 0.25};

export type Candidate = {
	readonly server: string;
	readonly role: EngineRole;
	readonly dataCentre: string;
	readonly load: LoadEstimate;
	readonly speed: EngineSpeed;
	/** Prompt tokens that its prefix cache is expected to hold. */
	readonly cachedTokens: number;
	/** Whether the prompt's prefix is at home there. */
	readonly isPrefixOwner?: boolean;
	/** Requests that it runs at once; more wait. */
	readonly maxRunning: number;
	/** KV tokens that it holds at most. */
	readonly kvTokens: number;
};

export type RequestShape = {
	readonly promptTokens: number;
	readonly outputTokens: number;
	readonly dataCentre: string;
};

export type CostEstimate = {
	readonly server: string;
	readonly firstTokenMs: number;
	readonly betweenTokensMs: number;
	readonly totalMs: number;
};

export type EngineChoice = {
	readonly server: string;
	readonly cost: CostEstimate;
	readonly considered: readonly CostEstimate[];
	readonly reason: 'only' | 'cheapest' | 'prefix';
};

export type ChoiceOptions = {
	/** Random candidates that are compared, beside the best prefix hit. */
	readonly sampleSize: number;
	/** Extra cost of another data centre, milliseconds for each exchange. */
	readonly crossDataCentreMs: number;
	/** Whether long prompts keep away from engines that decode. */
	readonly respectRoles: boolean;
	/** Whether expected prefix hits lower the cost; off by default, docs/design/routing.md says why. */
	readonly usePrefixCache: boolean;
};

export const DEFAULT_CHOICE_OPTIONS: ChoiceOptions = {
	sampleSize: 2, crossDataCentreMs: 1, respectRoles: true, usePrefixCache: false,
};

/** Prompt tokens for each output token above which a request counts as prefill work. */
export const PREFILL_RATIO = 8;
const WRONG_ROLE_PENALTY_MS = 400;
const QUEUE_PENALTY_MS = 250;

/**
 * Chooses among the candidates the one that answers soonest; undefined if there is none.
 *
 * A few random ones are compared rather than all, so that many hosts with the same stale reports do not all
 * choose the same engine.
 *
 * @example
 * ```ts
 * chooseEngine({promptTokens: 4000, outputTokens: 100, dataCentre: 'a'}, candidates, random)?.server; // 'e3'
 * ```
 */
export function chooseEngine(
	shape: RequestShape,
	candidates: readonly Candidate[],
	random: Random,
	options = DEFAULT_CHOICE_OPTIONS,
): EngineChoice | undefined {
	const sample = shuffle(candidates, random).slice(0, options.sampleSize);
	const bestHit = options.usePrefixCache ? findBestHit(candidates) : undefined;
	if (bestHit && !sample.includes(bestHit)) {
		sample.push(bestHit);
	}

	const considered = sample.map(candidate => estimateCost(shape, candidate, options));
	considered.sort((a, b) => a.totalMs - b.totalMs);
	const cost = considered[0];
	if (!cost) {
		return undefined;
	}

	const isHit = bestHit?.server === cost.server;
	const reason = considered.length === 1 ? 'only' : (isHit ? 'prefix' : 'cheapest');
	return {
		server: cost.server, cost, considered, reason,
	};
}

/**
 * Estimates how long an engine takes for a request.
 *
 * @example
 * ```ts
 * estimateCost(shape, candidate).firstTokenMs; // 620
 * ```
 */
export function estimateCost(shape: RequestShape, candidate: Candidate, options = DEFAULT_CHOICE_OPTIONS): CostEstimate {
	const {load, speed} = candidate;
	const cached = options.usePrefixCache ? Math.min(candidate.cachedTokens, shape.promptTokens) : 0;
	const size: WorkSize = {
		prefillTokens: shape.promptTokens - cached, outputTokens: shape.outputTokens, promptTokens: shape.promptTokens,
	};
	const queued = Math.max(0, load.requests + 1 - candidate.maxRunning);
	const kvOverflow = Math.max(0, load.decodeTokens + size.promptTokens + size.outputTokens - candidate.kvTokens);
	const prefillMs = (load.prefillTokens + size.prefillTokens) / speed.prefillTokensPerMs;
	const betweenTokensMs = speed.stepMs + (speed.stepMsPerRequest * Math.min(load.requests, candidate.maxRunning));
	const crossDataCentreMs = candidate.dataCentre === shape.dataCentre ? 0 : options.crossDataCentreMs;
	const queueMs = (queued * QUEUE_PENALTY_MS) + (kvOverflow / speed.prefillTokensPerMs);
	const firstTokenMs = prefillMs + queueMs + betweenTokensMs + crossDataCentreMs;
	const roleMs = options.respectRoles ? rolePenalty(size, candidate.role) : 0;
	// A running batch is slowed by each prompt that joins it: that is a cost to others.
	const disturbanceMs = candidate.role === ENGINE_ROLES.decode ? size.prefillTokens / speed.prefillTokensPerMs : 0;
	return {
		server: candidate.server,
		firstTokenMs,
		betweenTokensMs,
		totalMs: firstTokenMs + (shape.outputTokens * betweenTokensMs) + roleMs + disturbanceMs,
	};
}

/**
 * Tells whether a request is mostly prefill work.
 *
 * @example
 * ```ts
 * isPrefillWork({promptTokens: 4000, outputTokens: 100, dataCentre: 'a'}); // true
 * ```
 */
export function isPrefillWork(shape: Pick<RequestShape, 'promptTokens' | 'outputTokens'>): boolean {
	return shape.promptTokens > shape.outputTokens * PREFILL_RATIO;
}

function rolePenalty(size: WorkSize, role: EngineRole): number {
	if (role === ENGINE_ROLES.mixed) {
		return 0;
	}

	const wanted = isPrefillWork({promptTokens: size.prefillTokens, outputTokens: size.outputTokens})
		? ENGINE_ROLES.prefill
		: ENGINE_ROLES.decode;
	return role === wanted ? 0 : WRONG_ROLE_PENALTY_MS;
}

function findBestHit(candidates: readonly Candidate[]): Candidate | undefined {
	let best = candidates.find(candidate => candidate.isPrefixOwner);
	for (const candidate of candidates) {
		if (candidate.cachedTokens > (best?.cachedTokens ?? 0)) {
			best = candidate;
		}
	}

	return best;
}

/** What an answer must keep to count as on time, milliseconds. */
export type LatencyTargets = {
	readonly firstTokenMs: number;
	readonly betweenTokensMs: number;
};

export const DEFAULT_LATENCY_TARGETS: LatencyTargets = {firstTokenMs: 740, betweenTokensMs: 27};

/**
 * Tells whether an engine is expected to keep the targets; work that cannot is refused at once rather than late.
 *
 * @param share - Share of the time to the first token that the estimate may use up.
 * @example
 * ```ts
 * meetsTargets(decision.cost, DEFAULT_TARGETS);
 * ```
 */
export function meetsTargets(cost: CostEstimate, targets: LatencyTargets, share = 1): boolean {
	return cost.firstTokenMs <= targets.firstTokenMs * share && cost.betweenTokensMs <= targets.betweenTokensMs;
}
