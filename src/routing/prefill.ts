/**
 * How an engine would read a prompt: with what it holds, and what it can fetch from another one.
 *
 * @module
 */
import {estimatePrefillMs, type EngineState, type RequestSize} from './engine.js';

/** How an engine would read a prompt. */
export type PrefillPlan = {
	readonly workMs: number;
	readonly cachedTokens: number;
	/** What it costs others that the engine comes to hold more. */
	readonly evictionCostMs: number;
	/** Engine to fetch shared parts from. */
	readonly source: string | undefined;
};

/** Transfer of a thousand tokens of KV cache between two engines, milliseconds. */
const TRANSFER_MS_PER_THOUSAND = 0.7;
/** A transfer to another data centre takes this many times as long. */
const CROSSING_TRANSFER_FACTOR = 2;
/**
 * Share of the reading time of shared tokens that it costs others when an engine comes to hold them: they push out
 * parts that must then be read again.
 */
const EVICTION_WEIGHT = 1;
/** Shared tokens from which fetching them pays for its set-up. */
const LEAST_FETCH_TOKENS = 512;
/** Time that a fetch of shared parts takes beside its tokens, milliseconds. */
const FETCH_MS = 5;

/**
 * Plans how an engine reads a prompt.
 *
 * @param holders - Engines from which shared parts may be fetched.
 * @example
 * ```ts
 * planRead(engine, request, engines); // {workMs: 65, cachedTokens: 13300, evictionMs: 0, source: 'e3'}
 * ```
 */
export function planPrefill(engine: EngineState, request: RequestSize, holders: readonly EngineState[]): PrefillPlan {
	const own = engine.countCached(request.parts);
	const evictionCostMs = estimatePrefillMs(Math.max(0, sharedTokens(request) - own), 0) * EVICTION_WEIGHT;
	let plan: PrefillPlan = {
		workMs: engine.prefillMs(request, own), cachedTokens: own, evictionCostMs, source: undefined,
	};
	for (const holder of holders) {
		const held = holder === engine ? 0 : holder.countFetchable(request.parts);
		if (held - own < LEAST_FETCH_TOKENS) {
			continue;
		}

		const fetchMs = FETCH_MS + estimateTransferMs({promptTokens: held - own}, holder.info.dataCentre, engine.info.dataCentre);
		const workMs = engine.prefillMs(request, held) + fetchMs;
		if (workMs < plan.workMs) {
			plan = {
				workMs, cachedTokens: held, evictionCostMs, source: holder.info.server,
			};
		}
	}

	return plan;
}

/** Tokens that other requests may share: all but the last part. */
function sharedTokens({parts, promptTokens}: RequestSize): number {
	return Math.max(0, promptTokens - (parts.at(-1)?.tokens ?? promptTokens));
}

/**
 * Estimates how long a prompt's KV cache takes from one engine to another, milliseconds.
 *
 * @example
 * ```ts
 * transferMs({promptTokens: 17_000}, 'a', 'b'); // 23.8
 * ```
 */
export function estimateTransferMs(request: Pick<RequestSize, 'promptTokens'>, from: string | undefined, to: string): number {
	const factor = from === undefined || from === to ? 1 : CROSSING_TRANSFER_FACTOR;
	return (request.promptTokens / 1000) * TRANSFER_MS_PER_THOUSAND * factor;
}
