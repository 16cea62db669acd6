/**
 * Weighs the reuse of cached prompt parts for each request: the time that it saves against the risk that the parts are not there, and the
 * cost of further copies. Also infers from the time of a prefill which parts were cached. Performs no I/O.
 *
 * Used by the scheduler for published routes and by the choice of an engine of the product's own interface.
 *
 * @module
 */
import {crc32} from 'node:zlib';
import type {PromptPart} from './kvcache.js';
import {DecayingRate} from './rate.js';

/** Whether schedulers weigh and correct the assumed cache state unless their options state otherwise. */
export const IS_REUSE_WEIGHED = true;

/** Weight of one prefill in the moving average of the hit share. */
const HIT_SHARE_WEIGHT = 0.1;
/**
 * Share of the beginnings of unknown location that are expected to be at their home engine, before anything is observed. After a restart
 * of the schedulers it is higher, after a start of the whole system 0; either shows within some tens of prefills.
 */
const PRIOR_HOME_SHARE = 0.5;
/**
 * Weight of placing a beginning that no engine is known to have cached at its home, as a multiple of the time that it saves there. Later
 * schedulers find it there. In the trials a weight under 1 left most beginnings elsewhere, because the cost of connections and remote
 * bodies decided.
 */
const HOME_WEIGHT = 1.5;
/** Time in which uses of a beginning count for the weight of a copy, milliseconds: a copy that is not used sooner is soon evicted. */
const DEMAND_WINDOW_MS = 2000;
/** Weight of the copy of a beginning that is not used again within this time. */
const COPY_WEIGHT = 1.5;
/** Maximum number of beginnings whose demand is known: about 0.5 MB. */
const MAX_BEGINNINGS = 4096;
/** Another explanation of a prefill time must fit better by this factor, since times vary for other reasons as well. */
const FIT_MARGIN = 1.5;
/** Deviation from both estimates beyond which a time shows a delay elsewhere, such as a frozen host, and nothing about the cache. */
const MAX_DEVIATION = 2;
/** Spreads similar checksums over all numbers (Fibonacci hashing). */
const HASH_MULTIPLIER = 0x9E_37_79_B1;

/** What is believed about the cached parts of a prompt at one engine. */
export type Belief = {
	/** Tokens of the leading parts that the engine should have cached. */
	readonly tokens: number;
	/** Probability that it really has them. */
	readonly probability: number;
};

/**
 * Counts the tokens of a prompt that are expected to be cached. The time of a prefill is estimated once with this number, not once for each
 * case, since each placement needs it for every engine.
 *
 * @example
 * ```ts
 * countExpectedTokens({tokens: 13_300, probability: 0.9}); // 11970
 * ```
 */
export function countExpectedTokens({tokens, probability}: Belief): number {
	return Math.round(tokens * probability);
}

/** A completed prefill from whose time the cached parts are inferred. */
export type ObservedPrefill = {
	readonly parts: readonly PromptPart[];
	/** Tokens that were expected to be cached. */
	readonly believedTokens: number;
	readonly elapsedMs: number;
	/** Difference between two estimates below which the time does not distinguish them, milliseconds. */
	readonly resolutionMs: number;
};

/**
 * Infers how many tokens of a prompt were cached from the time of its prefill. Returns the believed number unless another one explains the
 * time clearly better; the last part of a prompt belongs to the request alone and is never cached before.
 *
 * @param estimateMs - Time of the prefill with the given number of cached tokens.
 * @example
 * ```ts
 * inferCachedTokens({parts, believedTokens: 13_300, elapsedMs: 108, resolutionMs: 10}, estimateMs); // 0
 * ```
 */
export function inferCachedTokens({parts, believedTokens, elapsedMs, resolutionMs}: ObservedPrefill, estimateMs: (cachedTokens: number) => number): number {
	const believedMs = estimateMs(believedTokens);
	const limit = computeDeviation(elapsedMs, believedMs) / FIT_MARGIN;
	let [inferred, smallest] = [believedTokens, Math.min(limit, MAX_DEVIATION)];
	let tokens = 0;
	for (const part of parts) {
		const candidateMs = tokens === believedTokens ? believedMs : estimateMs(tokens);
		const deviation = computeDeviation(elapsedMs, candidateMs);
		if (deviation < smallest && Math.abs(candidateMs - believedMs) > resolutionMs) {
			[inferred, smallest] = [tokens, deviation];
		}

		tokens += part.tokens;
	}

	return inferred;
}

/** Factor between two durations, at least 1. */
function computeDeviation(elapsedMs: number, estimatedMs: number): number {
	return elapsedMs > estimatedMs ? elapsedMs / estimatedMs : estimatedMs / Math.max(1, elapsedMs);
}

/**
 * Values the placement of a beginning at its home beyond the request itself, milliseconds. A busy home gives way to other engines.
 *
 * @param savingMs - Time that a prefill takes less if the beginning is cached.
 * @param utilisation - Share of its time that the home is busy.
 * @example
 * ```ts
 * estimateHomeGainMs(85, 0.4); // 102
 * ```
 */
export function estimateHomeGainMs(savingMs: number, utilisation: number): number {
	return savingMs * HOME_WEIGHT * Math.max(0, 1 - utilisation);
}

/** What completed prefills showed about what was believed of the caches. */
export const REUSE_OUTCOMES = {
	/** The parts that should have been cached, or fetched, were. */
	hit: 'hit',
	miss: 'miss',
	/** A beginning of unknown location was cached at its home. */
	homeHit: 'home-hit',
	homeMiss: 'home-miss',
} as const;
export type ReuseOutcome = (typeof REUSE_OUTCOMES)[keyof typeof REUSE_OUTCOMES];

/** What a pool's prefills showed about the caches. */
export class PoolReuse {
	readonly #homes = new HitShare(PRIOR_HOME_SHARE);
	readonly #counts = new Map<ReuseOutcome, number>();

	/** Share of the beginnings of unknown location that are cached at their home. */
	get homeShare(): number {
		return this.#homes.value;
	}

	/** Number of prefills by what they showed. */
	get counts(): ReadonlyMap<ReuseOutcome, number> {
		return this.#counts;
	}

	/** Records whether a beginning of unknown location was cached at its home. */
	recordHome(isHit: boolean): void {
		this.#homes.record(isHit);
		this.#count(isHit ? REUSE_OUTCOMES.homeHit : REUSE_OUTCOMES.homeMiss);
	}

	/** Records whether the parts that should have been cached were. */
	recordBelief(isHit: boolean): void {
		this.#count(isHit ? REUSE_OUTCOMES.hit : REUSE_OUTCOMES.miss);
	}

	#count(outcome: ReuseOutcome): void {
		this.#counts.set(outcome, (this.#counts.get(outcome) ?? 0) + 1);
	}
}

/**
 * How often beginnings are used. Beyond the limit those known for longest are removed, so that a request with a known beginning does not
 * change the map.
 */
export class BeginningDemand {
	/** By the checksum of the beginning, since its key may be long. */
	readonly #rates = new Map<number, DecayingRate>();

	/** Number of beginnings whose demand is known. */
	get size(): number {
		return this.#rates.size;
	}

	/** Records a request with a beginning. */
	record(parts: readonly PromptPart[], nowMs: number): void {
		const key = hashBeginning(parts);
		if (key === undefined) {
			return;
		}

		let rate = this.#rates.get(key);
		if (!rate) {
			rate = new DecayingRate(DEMAND_WINDOW_MS);
			this.#rates.set(key, rate);
		}

		rate.add(1, nowMs);
		if (this.#rates.size > MAX_BEGINNINGS) {
			const [oldest] = this.#rates.keys();
			this.#rates.delete(oldest!);
		}
	}

	/**
	 * Weight of the memory that a further copy of a beginning takes from others, as a multiple of the time to prefill as much again. Many
	 * requests share the copy of a frequent beginning, whereas the copy of a rare one is evicted before it is used.
	 */
	weighCopy(parts: readonly PromptPart[], nowMs: number): number {
		const key = hashBeginning(parts);
		const uses = ((key === undefined ? undefined : this.#rates.get(key))?.rate(nowMs) ?? 0) * DEMAND_WINDOW_MS;
		return COPY_WEIGHT / Math.max(1, uses);
	}
}

/** Moving average of the share of beliefs that were right. */
export class HitShare {
	#value: number;

	/** @param prior - Share that is assumed before anything is observed. */
	constructor(prior = 1) {
		this.#value = prior;
	}

	get value(): number {
		return this.#value;
	}

	record(isHit: boolean): void {
		this.#value += ((isHit ? 1 : 0) - this.#value) * HIT_SHARE_WEIGHT;
	}
}

/**
 * Computes the checksum by which an engine is ranked as the home of beginnings.
 *
 * @example
 * ```ts
 * rankHome(hashServer('e1'), hashBeginning(parts)!);
 * ```
 */
export function hashServer(server: string): number {
	return crc32(server);
}

/**
 * Computes the checksum of the beginning that a prompt shares with others; undefined if it shares none.
 *
 * @example
 * ```ts
 * hashBeginning([{key: 'topic', tokens: 13_300}, {key: 'own', tokens: 3700}]); // of 'topic'
 * ```
 */
export function hashBeginning(parts: readonly PromptPart[]): number | undefined {
	const last = parts.at(-2);
	return last && crc32(last.key);
}

/**
 * Ranks an engine as the home of a beginning: the one with the highest rank is the home. All schedulers that know the same engines agree.
 *
 * @example
 * ```ts
 * rankHome(hashServer('e1'), hashBeginning(parts)!); // a 32-bit integer, higher than for 'e2'
 * ```
 */
export function rankHome(serverHash: number, beginningHash: number): number {
	const sum = Math.imul(serverHash, HASH_MULTIPLIER) + beginningHash;
	// Maps 32-bit numbers one to one; each high bit depends on all lower ones.
	return Math.imul(sum, (2 * sum) + 1);
}
