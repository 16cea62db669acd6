/**
 * Decides whether a request is prefilled at one engine and decoded at another, with a transfer of the KV cache between.
 *
 * @module
 */
import type {Random} from '../base/random.js';
import {
	chooseEngine, countExpected, DEFAULT_CHOICE_OPTIONS, ENGINE_ROLES, type Candidate, type ChoiceOptions, type EngineChoice, type RequestShape,
} from './choice.js';

/** Speed of KV cache transfers between engines. */
export type TransferSpeed = {
	/** KV cache tokens transferred per millisecond. */
	readonly tokensPerMs: number;
	/** Fixed time per transfer, milliseconds. */
	readonly setupMs: number;
};

export const DEFAULT_TRANSFER: TransferSpeed = {tokensPerMs: 200, setupMs: 5};

/** Where a request goes: to one engine, or to a prefill engine that hands off to a decode engine. */
export type Placement = {
	readonly first: EngineChoice;
	/** Whether another engine continues after the first token. */
	readonly handsOff: boolean;
};

/** Minimum number of uncached prompt tokens for a handoff; decode engines prefill shorter prompts themselves. */
export const MIN_HANDOFF_TOKENS = 512;

/**
 * Chooses an engine for a new request, and whether it hands off after prefill.
 *
 * @example
 * ```ts
 * placeRequest(shape, candidates, random)?.handsOff; // true for a long prompt if there are prefill engines
 * ```
 */
export function placeRequest(
	shape: RequestShape,
	candidates: readonly Candidate[],
	random: Random,
	options: ChoiceOptions = DEFAULT_CHOICE_OPTIONS,
): Placement | undefined {
	const decodeCapable = candidates.filter(candidate => candidate.role !== ENGINE_ROLES.prefill);
	const prefillEngines = candidates.filter(candidate => candidate.role === ENGINE_ROLES.prefill);
	const single = chooseEngine(shape, decodeCapable.length > 0 ? decodeCapable : candidates, random, options);
	if (prefillEngines.length === 0 || decodeCapable.length === 0 || !single) {
		return single && {first: single, handsOff: false};
	}

	const first = chooseEngine({...shape, outputTokens: 1}, prefillEngines, random, {...options, respectRoles: false});
	const singleCandidate = candidates.find(candidate => candidate.server === single.server)!;
	const uncachedTokens = shape.promptTokens - (options.usePrefixCache ? Math.min(countExpected(singleCandidate), shape.promptTokens) : 0);
	if (!first || uncachedTokens < MIN_HANDOFF_TOKENS) {
		return {first: single, handsOff: false};
	}

	const transferMs = DEFAULT_TRANSFER.setupMs + (shape.promptTokens / DEFAULT_TRANSFER.tokensPerMs);
	const isCheaper = first.cost.firstTokenMs + transferMs < single.cost.firstTokenMs + (uncachedTokens / singleCandidate.speed.prefillTokensPerMs);
	return isCheaper ? {first, handsOff: true} : {first: single, handsOff: false};
}

/**
 * Chooses the engine that continues after a handoff. The KV cache is transferred to it, so only decoding is counted.
 *
 * @example
 * ```ts
 * placeContinuation(shape, candidates, random)?.server; // 'e5'
 * ```
 */
export function placeContinuation(
	shape: RequestShape,
	candidates: readonly Candidate[],
	random: Random,
	options: ChoiceOptions = DEFAULT_CHOICE_OPTIONS,
): EngineChoice | undefined {
	const decodeCapable = candidates.filter(candidate => candidate.role !== ENGINE_ROLES.prefill);
	const usable = (decodeCapable.length > 0 ? decodeCapable : candidates).map(candidate => ({...candidate, cachedTokens: shape.promptTokens, hitProbability: 1}));
	return chooseEngine(shape, usable, random, {...options, respectRoles: false, usePrefixCache: true});
}

