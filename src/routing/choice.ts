/**
 * Cost-based choice of an engine for a request. Pure functions without state.
 *
 * @module
 */
import {shuffle, type Random} from '../base/random.js';
import type {LoadEstimate, WorkSize} from './load.js';
import {countExpectedTokens} from './reuse.js';

export const ENGINE_ROLES = {prefill: 'prefill', decode: 'decode', mixed: 'mixed'} as const;
export type EngineRole = keyof typeof ENGINE_ROLES;

/** Speed of an engine. */
export type EngineSpeed = {
	readonly prefillTokensPerMs: number;
	/** Duration of a decode step with an empty batch, milliseconds. */
	readonly stepMs: number;
	/** Time that each running request adds to a decode step, milliseconds. */
	readonly stepMsPerRequest: number;
};

export const DEFAULT_ENGINE_SPEED: EngineSpeed = {prefillTokensPerMs: 8, stepMs: 14, stepMsPerRequest: 0.25};

/** An engine that may take a request. */
export type Candidate = {
	readonly server: string;
	readonly role: EngineRole;
	readonly dataCentre: string;
	readonly load: LoadEstimate;
	readonly speed: EngineSpeed;
	/** Prompt tokens that its prefix cache should hold. */
	readonly cachedTokens: number;
	/** Probability that it really holds them; 1 by default. */
	readonly hitProbability?: number;
	/** Whether this engine owns the prompt's prefix (see `findPrefixOwner`). */
	readonly isPrefixOwner?: boolean;
	/** Maximum number of concurrent requests; further ones are queued. */
	readonly maxRunning: number;
	/** Capacity of the KV cache, tokens. */
	readonly kvTokens: number;
};

/** Size and origin of a request. */
export type RequestShape = {
	readonly promptTokens: number;
	readonly outputTokens: number;
	readonly dataCentre: string;
};

/** Estimated latencies of a request at one engine. */
export type CostEstimate = {
	readonly server: string;
	readonly firstTokenMs: number;
	readonly betweenTokensMs: number;
	/** Time to the last token plus penalties for work that would slow down other requests. */
	readonly totalMs: number;
};

/** The chosen engine, its cost, and the costs of all engines that were compared. */
export type EngineChoice = {
	readonly server: string;
	readonly cost: CostEstimate;
	readonly considered: readonly CostEstimate[];
	readonly reason: 'only' | 'cheapest' | 'prefix';
};

export type ChoiceOptions = {
	/** Number of randomly sampled candidates to compare, in addition to the one with the best prefix hit. */
	readonly sampleSize: number;
	/** Cost of using an engine in another data centre, milliseconds. */
	readonly crossDataCentreMs: number;
	/** Whether engines whose role does not match the kind of work are penalized. */
	readonly respectRoles: boolean;
	/** Whether expected prefix cache hits lower the cost. Off by default, see docs/design/routing.md for the reasons. */
	readonly usePrefixCache: boolean;
};

export const DEFAULT_CHOICE_OPTIONS: ChoiceOptions = {
	sampleSize: 2, crossDataCentreMs: 1, respectRoles: true, usePrefixCache: false,
};

/** Ratio of prompt tokens to output tokens above which a request counts as prefill work. */
export const PREFILL_RATIO = 8;
const WRONG_ROLE_PENALTY_MS = 400;
const QUEUE_PENALTY_MS = 250;

/**
 * Chooses the candidate with the lowest estimated cost; undefined if there are no candidates.
 *
 * Compares a small random sample instead of all candidates: many hosts that decide on the same stale load reports
 * would otherwise all choose the same engine.
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
 * Estimates the latencies of a request at an engine.
 *
 * @example
 * ```ts
 * estimateCost(shape, candidate).firstTokenMs; // 620
 * ```
 */
export function estimateCost(shape: RequestShape, candidate: Candidate, options = DEFAULT_CHOICE_OPTIONS): CostEstimate {
	const {load, speed} = candidate;
	const cached = options.usePrefixCache ? Math.min(countExpected(candidate), shape.promptTokens) : 0;
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
	const rolePenaltyMs = options.respectRoles ? estimateRolePenaltyMs(size, candidate.role) : 0;
	// Prefilling a prompt delays every request in the running batch of a decode engine.
	const interferenceMs = candidate.role === ENGINE_ROLES.decode ? size.prefillTokens / speed.prefillTokensPerMs : 0;
	return {
		server: candidate.server,
		firstTokenMs,
		betweenTokensMs,
		totalMs: firstTokenMs + (shape.outputTokens * betweenTokensMs) + rolePenaltyMs + interferenceMs,
	};
}

/**
 * Returns whether a request consists mostly of prefill work.
 *
 * @example
 * ```ts
 * isPrefillWork({promptTokens: 4000, outputTokens: 100, dataCentre: 'a'}); // true
 * ```
 */
export function isPrefillWork(shape: Pick<RequestShape, 'promptTokens' | 'outputTokens'>): boolean {
	return shape.promptTokens > shape.outputTokens * PREFILL_RATIO;
}

function estimateRolePenaltyMs(size: WorkSize, role: EngineRole): number {
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
		if (countExpected(candidate) > (best ? countExpected(best) : 0)) {
			best = candidate;
		}
	}

	return best;
}

/**
 * Counts the tokens that a candidate is expected to have cached.
 *
 * @example
 * ```ts
 * countExpected({...candidate, cachedTokens: 4000, hitProbability: 0.5}); // 2000
 * ```
 */
export function countExpected({cachedTokens, hitProbability = 1}: Candidate): number {
	return countExpectedTokens({tokens: cachedTokens, probability: hitProbability});
}

/** Latency targets of a response, milliseconds. */
export type LatencyTargets = {
	readonly firstTokenMs: number;
	readonly betweenTokensMs: number;
};

export const DEFAULT_LATENCY_TARGETS: LatencyTargets = {firstTokenMs: 740, betweenTokensMs: 27};

/**
 * Returns whether an estimate meets the latency targets. Requests that would miss them are refused at once instead of
 * being answered late.
 *
 * @param share - Fraction of the first-token target that the estimate may use.
 * @example
 * ```ts
 * meetsTargets(choice.cost, DEFAULT_LATENCY_TARGETS);
 * ```
 */
export function meetsTargets(cost: CostEstimate, targets: LatencyTargets, share = 1): boolean {
	return cost.firstTokenMs <= targets.firstTokenMs * share && cost.betweenTokensMs <= targets.betweenTokensMs;
}
