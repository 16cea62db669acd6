/**
 * What the scheduler believes that one engine has cached: derived from the requests that were sent to it, and corrected by the times of its
 * prefills. Performs no I/O.
 *
 * @module
 */
import {KvCacheModel, type PromptPart} from './kvcache.js';
import {HitShare, inferCachedTokens, type PoolReuse} from './reuse.js';

/**
 * Consecutive prefills without the parts that should have been cached after which older parts count as evicted as well. One alone may be a
 * delay elsewhere.
 */
const MAX_MISSES = 2;

/** A prefill that an engine was assigned, as far as its cache is concerned. */
export type AssignedPrefill = {
	readonly parts: readonly PromptPart[];
	/** Tokens that should be cached, or fetched from another engine. */
	readonly believedTokens: number;
	/** What is believed about the engine from which parts are fetched; undefined without a fetch. */
	readonly source?: CacheBelief | undefined;
	/** Whether the engine was chosen as the home of a beginning of unknown location. */
	readonly isHomeGuess: boolean;
};

/** An assigned prefill that has not been completed. */
type OpenPrefill = AssignedPrefill & {
	/** Parts that it will add to the cache; other engines cannot fetch them yet. */
	readonly missing: ReadonlySet<string>;
	/** Earliest last use of the parts that should be cached, before this prefill. */
	readonly earliestUse: number;
};

/** The time of a completed prefill, without the fetch. */
export type PrefillTiming = {
	readonly elapsedMs: number;
	/** Difference between two estimates below which the time does not distinguish them, milliseconds. */
	readonly resolutionMs: number;
	/** Time of the prefill with the given number of cached tokens. */
	readonly estimateMs: (cachedTokens: number) => number;
};

/** The assumed state of one engine's cache. */
export class CacheBelief {
	readonly #cache = new KvCacheModel();
	readonly #openPrefills = new Map<string, OpenPrefill>();
	readonly #hits = new HitShare();
	readonly #poolReuse: PoolReuse;
	/** Consecutive prefills without the parts that should have been cached. */
	#misses = 0;

	/** @param poolReuse - What the prefills of the engine's pool showed, to which this engine contributes. */
	constructor(poolReuse: PoolReuse) {
		this.#poolReuse = poolReuse;
	}

	/** Bounds the number of parts that are remembered. */
	limitParts(maxParts: number): void {
		this.#cache.maxParts = maxParts;
	}

	/** Number of parts that are remembered. */
	get partCount(): number {
		return this.#cache.size;
	}

	/** Probability that parts which should be cached really are, by recent prefills. */
	get hitProbability(): number {
		return this.#hits.value;
	}

	/** Counts the tokens of a prompt's leading parts that should be in the cache. */
	countCached(parts: readonly PromptPart[]): number {
		return this.#cache.countCached(parts);
	}

	/** Counts the tokens of a prompt's leading parts that other engines can fetch now. */
	countFetchable(parts: readonly PromptPart[]): number {
		const firstPending = parts.findIndex(({key}) => this.#isPending(key));
		return this.#cache.countCached(firstPending === -1 ? parts : parts.slice(0, firstPending));
	}

	/** Records parts that are cached because of a request, and evicts what no longer fits. */
	recordCached(parts: readonly PromptPart[], capacityTokens: number): void {
		this.#cache.record(parts, capacityTokens);
	}

	/** Records that the engine was assigned a prefill. */
	startPrefill(id: string, assigned: AssignedPrefill, capacityTokens: number): void {
		const {parts, believedTokens} = assigned;
		const missing = new Set(parts.filter(({key}) => !this.#cache.has(key)).map(({key}) => key));
		this.#openPrefills.set(id, {...assigned, missing, earliestUse: this.#cache.findEarliestUse(parts, believedTokens)});
		this.#cache.record(parts, capacityTokens);
	}

	/** Records that a prefill was completed. */
	completePrefill(id: string): AssignedPrefill | undefined {
		const prefill = this.#openPrefills.get(id);
		this.#openPrefills.delete(id);
		return prefill;
	}

	/** Removes a prefill that will not be completed, with the parts that it would have added. */
	abandonPrefill(id: string): void {
		this.#cache.remove(this.#openPrefills.get(id)?.missing ?? []);
		this.#openPrefills.delete(id);
	}

	/** Infers how many tokens were cached from the time of a completed prefill, and corrects what is believed. */
	correct(prefill: AssignedPrefill, {elapsedMs, resolutionMs, estimateMs}: PrefillTiming): number {
		const {parts, believedTokens, source, isHomeGuess} = prefill;
		if (parts.length < 2 || elapsedMs <= 0) {
			return believedTokens;
		}

		const cachedTokens = inferCachedTokens({
			parts, believedTokens, elapsedMs, resolutionMs,
		}, estimateMs);
		if (isHomeGuess) {
			this.#poolReuse.recordHome(cachedTokens > 0);
		} else if (believedTokens > 0 && estimateMs(0) - estimateMs(believedTokens) > resolutionMs) {
			(source ?? this).#recordHit(cachedTokens >= believedTokens, prefill as OpenPrefill, source !== undefined);
		}

		return cachedTokens;
	}

	#recordHit(isHit: boolean, {parts, earliestUse}: OpenPrefill, isFetch: boolean): void {
		this.#hits.record(isHit);
		this.#poolReuse.recordBelief(isHit);
		this.#misses = isHit ? 0 : this.#misses + 1;
		if (isHit) {
			return;
		}

		if (isFetch) {
			// The engine that should have provided the parts was not used, so the time of their last use there is not known.
			this.#cache.remove(parts.slice(0, -1).map(({key}) => key));
		} else if (this.#misses >= MAX_MISSES) {
			this.#cache.evictUsedUntil(earliestUse);
		}
	}

	#isPending(key: string): boolean {
		for (const {missing} of this.#openPrefills.values()) {
			if (missing.has(key)) {
				return true;
			}
		}

		return false;
	}
}
