/**
 * Plans the prefill of a prompt at an engine: which parts are cached, and which are fetched from another engine.
 *
 * @module
 */
import {estimateMoveCostMs, type RequestOrigin, type ResourceWeights} from './cost.js';
import type {EngineInfo, EngineState, RequestSize} from './engine.js';
import {countExpectedTokens} from './reuse.js';

/** How an engine would prefill a prompt. */
export type PrefillPlan = {
	/** Time that the engine is busy with it, including the fetch, milliseconds. */
	readonly workMs: number;
	/** Prompt tokens that need not be computed, cached or fetched. */
	readonly cachedTokens: number;
	/** Cost to other requests of the cache entries that are evicted, milliseconds. */
	readonly evictionCostMs: number;
	/** Engine from which shared parts are fetched; undefined without a fetch. */
	readonly source: EngineState | undefined;
	/** Time of the fetch, milliseconds. */
	readonly fetchMs: number;
	/** Cost of the KV cache that is fetched, milliseconds. */
	readonly moveCostMs: number;
	/** Whether the engine is the home of a beginning of unknown location. */
	readonly isHomeGuess?: boolean;
	/** Time that the home of a beginning saves if it has it cached, milliseconds. */
	readonly homeSavingMs?: number;
};

/** Where a prompt's shared parts may be cached. */
export type ReuseSituation = {
	readonly sources: readonly FetchSource[];
	/** Weight of the memory that a further copy takes, see `BeginningDemand`; 1 for the first one. */
	readonly copyWeight: number;
	/** Home of the beginning, if no engine is known to have it cached. */
	readonly home: EngineState | undefined;
};

/** An engine from which leading parts of a prompt can be fetched. */
export type FetchSource = {
	readonly engine: EngineState;
	/** Tokens of the leading parts that it can provide. */
	readonly tokens: number;
};

/** Factor by which a transfer to another data centre takes longer. */
const CROSS_DATA_CENTRE_FACTOR = 2;
/**
 * Cost of caching additional shared tokens, as a share of their prefill time: they evict parts that must then be
 * prefilled again.
 */
const EVICTION_WEIGHT = 1;
/** Minimum number of additional cached tokens for which a fetch is worth its setup time. */
export const MIN_FETCH_TOKENS = 512;
/** Fixed time per fetch of shared parts, milliseconds. */
const FETCH_SETUP_MS = 5;

/**
 * Finds the engine of each data centre that has most of a prompt cached. The others of that data centre are never a
 * better source.
 *
 * @example
 * ```ts
 * listFetchSources(engines, request); // [{engine: …, tokens: 13300}], e3 in data centre a
 * ```
 */
export function listFetchSources(engines: readonly EngineState[], {parts}: Pick<RequestSize, 'parts'>): FetchSource[] {
	const sources = new Map<string, FetchSource>();
	for (const engine of engines) {
		const {dataCentre} = engine.info;
		const tokens = engine.countFetchable(parts);
		if (tokens >= MIN_FETCH_TOKENS && tokens > (sources.get(dataCentre)?.tokens ?? 0)) {
			sources.set(dataCentre, {engine, tokens});
		}
	}

	return [...sources.values()];
}

/**
 * Plans the prefill of a prompt at an engine, with the fetch that shortens it most, if any does.
 *
 * @example
 * ```ts
 * planPrefill(engine, request, {sources: listFetchSources(engines, request), home: undefined, copyWeight: 1}, weights);
 * // {workMs: 65, cachedTokens: 13300, evictionCostMs: 0, source: …, fetchMs: 14, moveCostMs: 26}
 * ```
 */
export function planPrefill(engine: EngineState, request: RequestSize & Pick<RequestOrigin, 'objectiveMs'>, {sources, home, copyWeight}: ReuseSituation, weights: ResourceWeights): PrefillPlan {
	const cached = engine.countCached(request.parts);
	const addedTokens = Math.max(0, countSharedTokens(request) - cached);
	const evictionCostMs = addedTokens === 0 ? 0 : engine.speed.prefill.estimateMs({uncachedTokens: addedTokens, cachedTokens: 0}) * EVICTION_WEIGHT * copyWeight;
	const workMs = engine.prefillMs(request, countExpectedTokens({tokens: cached, probability: engine.hitProbability}));
	let plan: PrefillPlan = {
		workMs, cachedTokens: cached, evictionCostMs, source: undefined, fetchMs: 0, moveCostMs: 0,
	};
	if (engine === home) {
		return weighHome(plan, engine, request);
	}

	for (const {engine: source, tokens} of sources) {
		const {dataCentre} = source.info;
		const fetchedTokens = tokens - cached;
		if (fetchedTokens < MIN_FETCH_TOKENS) {
			continue;
		}

		const fetchMs = FETCH_SETUP_MS + estimateTransferMs(fetchedTokens, dataCentre, engine.info);
		const workMs = engine.prefillMs(request, tokens) + fetchMs;
		const moveCostMs = estimateMoveCostMs({bytes: fetchedTokens * engine.info.kvBytesPerToken, from: dataCentre, to: engine.info.dataCentre}, request.objectiveMs, weights);
		if (workMs + moveCostMs < plan.workMs + plan.moveCostMs) {
			plan = {
				workMs, cachedTokens: tokens, evictionCostMs, source, fetchMs, moveCostMs,
			};
		}
	}

	return plan;
}

/** Weighs that the home of a beginning may have it cached although no placement is known. */
function weighHome(plan: PrefillPlan, engine: EngineState, request: RequestSize): PrefillPlan {
	const tokens = countSharedTokens(request);
	return {
		...plan,
		workMs: Math.min(plan.workMs, engine.prefillMs(request, countExpectedTokens({tokens, probability: engine.speed.reuse.homeShare}))),
		homeSavingMs: Math.max(0, plan.workMs - engine.prefillMs(request, tokens)),
		isHomeGuess: true,
	};
}

/** Counts the tokens that other requests may share: all parts but the last, which belongs to the request alone. */
function countSharedTokens({parts, promptTokens}: RequestSize): number {
	return Math.max(0, promptTokens - (parts.at(-1)?.tokens ?? promptTokens));
}

/**
 * Estimates the time to transfer KV cache to an engine, milliseconds.
 *
 * @param from - Data centre of the source; undefined if it is not known.
 * @example
 * ```ts
 * estimateTransferMs(17_000, 'a', {dataCentre: 'b', kvBytesPerToken: 131_072, linkMbps: 1_500_000}); // 23.8
 * ```
 */
export function estimateTransferMs(tokens: number, from: string | undefined, to: Pick<EngineInfo, 'dataCentre' | 'kvBytesPerToken' | 'linkMbps'>): number {
	const factor = from === undefined || from === to.dataCentre ? 1 : CROSS_DATA_CENTRE_FACTOR;
	return tokens * to.kvBytesPerToken * 8 / (to.linkMbps * 1000) * factor;
}
