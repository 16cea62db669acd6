/**
 * Plans the prefill of a prompt at an engine: which parts are cached, and which are fetched from another engine.
 *
 * @module
 */
import {estimatePrefillMs, type EngineState, type RequestSize} from './engine.js';

/** How an engine would prefill a prompt. */
export type PrefillPlan = {
	/** Time that the engine is busy with it, including the fetch, milliseconds. */
	readonly workMs: number;
	/** Prompt tokens that need not be computed, cached or fetched. */
	readonly cachedTokens: number;
	/** Cost to other requests of the cache entries that are evicted, milliseconds. */
	readonly evictionCostMs: number;
	/** Engine from which shared parts are fetched; undefined without a fetch. */
	readonly source: string | undefined;
};

/** Time to transfer a thousand tokens of KV cache between two engines, milliseconds. */
const TRANSFER_MS_PER_THOUSAND = 0.7;
/** Factor by which a transfer to another data centre takes longer. */
const CROSS_DATA_CENTRE_FACTOR = 2;
/**
 * Cost of caching additional shared tokens, as a share of their prefill time: they evict parts that must then be
 * prefilled again.
 */
const EVICTION_WEIGHT = 1;
/** Minimum number of additional cached tokens for which a fetch is worth its setup time. */
const MIN_FETCH_TOKENS = 512;
/** Fixed time per fetch of shared parts, milliseconds. */
const FETCH_SETUP_MS = 5;

/**
 * Plans the prefill of a prompt at an engine, with the fetch that shortens it most, if any does.
 *
 * @param holders - Engines from which shared parts may be fetched.
 * @example
 * ```ts
 * planPrefill(engine, request, engines); // {workMs: 65, cachedTokens: 13300, evictionCostMs: 0, source: 'e3'}
 * ```
 */
export function planPrefill(engine: EngineState, request: RequestSize, holders: readonly EngineState[]): PrefillPlan {
	const cached = engine.countCached(request.parts);
	const evictionCostMs = estimatePrefillMs(Math.max(0, countSharedTokens(request) - cached), 0) * EVICTION_WEIGHT;
	let plan: PrefillPlan = {
		workMs: engine.prefillMs(request, cached), cachedTokens: cached, evictionCostMs, source: undefined,
	};
	for (const holder of holders) {
		const available = holder === engine ? 0 : holder.countFetchable(request.parts);
		if (available - cached < MIN_FETCH_TOKENS) {
			continue;
		}

		const fetchMs = FETCH_SETUP_MS + estimateTransferMs({promptTokens: available - cached}, holder.info.dataCentre, engine.info.dataCentre);
		const workMs = engine.prefillMs(request, available) + fetchMs;
		if (workMs < plan.workMs) {
			plan = {
				workMs, cachedTokens: available, evictionCostMs, source: holder.info.server,
			};
		}
	}

	return plan;
}

/** Counts the tokens that other requests may share: all parts but the last, which belongs to the request alone. */
function countSharedTokens({parts, promptTokens}: RequestSize): number {
	return Math.max(0, promptTokens - (parts.at(-1)?.tokens ?? promptTokens));
}

/**
 * Estimates the time to transfer a prompt's KV cache between two engines, milliseconds.
 *
 * @param from - Data centre of the source; undefined if it is not known.
 * @example
 * ```ts
 * estimateTransferMs({promptTokens: 17_000}, 'a', 'b'); // 23.8
 * ```
 */
export function estimateTransferMs(request: Pick<RequestSize, 'promptTokens'>, from: string | undefined, to: string): number {
	const factor = from === undefined || from === to ? 1 : CROSS_DATA_CENTRE_FACTOR;
	return (request.promptTokens / 1000) * TRANSFER_MS_PER_THOUSAND * factor;
}
