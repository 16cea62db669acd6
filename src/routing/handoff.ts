/**
 * Decides whether a request's prompt is computed at one engine and its answer at another, with the KV cache moved.
 *
 * @module
 */
import type {Random} from '../base/random.js';
import {
	chooseEngine, DEFAULT_CHOICE_OPTIONS, ENGINE_ROLES, type Candidate, type ChoiceOptions, type EngineChoice, type RequestShape,
} from './choice.js';

export type TransferSpeed = {
	/** KV tokens that are moved in a millisecond. */
	readonly tokensPerMs: number;
	/** Time of a move beside its tokens, milliseconds. */
	readonly setupMs: number;
};

export const DEFAULT_TRANSFER: TransferSpeed = {tokensPerMs: 200, setupMs: 5};

/** Where a request goes: to one engine, or to one for the prompt and another for the answer. */
export type Placement = {
	readonly first: EngineChoice;
	/** Whether the answer is to be continued at another engine after the first token. */
	readonly handsOff: boolean;
};

/** Uncached prompt tokens below which a decode engine computes the prompt itself. */
export const MIN_HANDOFF_TOKENS = 512;

/**
 * Chooses an engine for a new request, and whether it hands off after the prompt.
 *
 * @example
 * ```ts
 * placeRequest(shape, candidates, random)?.handsOff; // true for a long prompt with prefill engines about
 * ```
 */
export function placeRequest(
	shape: RequestShape,
	candidates: readonly Candidate[],
	random: Random,
	options: ChoiceOptions = DEFAULT_CHOICE_OPTIONS,
): Placement | undefined {
	const direct = candidates.filter(candidate => candidate.role !== ENGINE_ROLES.prefill);
	const prefill = candidates.filter(candidate => candidate.role === ENGINE_ROLES.prefill);
	const straight = chooseEngine(shape, direct.length > 0 ? direct : candidates, random, options);
	if (prefill.length === 0 || direct.length === 0 || !straight) {
		return straight && {first: straight, handsOff: false};
	}

	const first = chooseEngine({...shape, outputTokens: 1}, prefill, random, {...options, respectRoles: false});
	const own = candidates.find(candidate => candidate.server === straight.server)!;
	const uncached = shape.promptTokens - (options.usePrefixCache ? Math.min(own.cachedTokens, shape.promptTokens) : 0);
	if (!first || uncached < MIN_HANDOFF_TOKENS) {
		return {first: straight, handsOff: false};
	}

	const moveMs = DEFAULT_TRANSFER.setupMs + (shape.promptTokens / DEFAULT_TRANSFER.tokensPerMs);
	const isCheaper = first.cost.firstTokenMs + moveMs < straight.cost.firstTokenMs + (uncached / own.speed.prefillTokensPerMs);
	return isCheaper ? {first, handsOff: true} : {first: straight, handsOff: false};
}

/**
 * Chooses the engine that continues after a handoff: the KV cache comes along, so only decoding counts.
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
	const direct = candidates.filter(candidate => candidate.role !== ENGINE_ROLES.prefill);
	const usable = (direct.length > 0 ? direct : candidates).map(candidate => ({...candidate, cachedTokens: shape.promptTokens}));
	return chooseEngine(shape, usable, random, {...options, respectRoles: false, usePrefixCache: true});
}

