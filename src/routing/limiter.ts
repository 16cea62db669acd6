/**
 * Keeps the requests to servers within the rates that the servers accept from all hosts together.
 *
 * The control host that places the requests of a service grants them from one token bucket a server; an entry host that
 * reaches no control host uses a small share of the rate. Performs no I/O; the caller passes the current time.
 *
 * @module
 */
import type {ServerIncarnation} from '../base/incarnation.js';
import type {Random} from '../base/random.js';
import {DecayingRate} from './rate.js';

export type RateLimiterOptions = {
	/** Finds the requests a second that a server accepts from all hosts together; undefined without a limit. */
	readonly findLimit: (server: ServerIncarnation) => number | undefined;
	/** Returns the share of the rate that this limiter grants. */
	readonly getShare: () => number;
	/** Largest number of requests at once at low rates. */
	readonly minBurst: number;
	/** Returns the number of tokens of a bucket that is new or was not used for some time; may be negative. */
	readonly createInitialTokens: (burst: number) => number;
};

type Bucket = {
	readonly incarnation: number;
	perSecond: number;
	burst: number;
	tokens: number;
	updatedMs: number;
	usedMs: number;
	/** When the last caller that was told to come back should find a token. */
	retryMs: number;
	/** Requests per millisecond, by priority. */
	readonly demand: Map<number, DecayingRate>;
};

/** Requests at once at higher rates, as a time at that rate, seconds. */
const BURST_SECONDS = 0.5;
const MIN_GRANTING_BURST = 2;
/** Rate for a server whose limit is 0, so that the end of the limit is noticed, requests a second. */
const MIN_RATE_PER_SECOND = 0.2;
/** Rates beyond this, which the number of tokens could not express, hold no request back. */
const MAX_RATE_PER_SECOND = 1e9;
/** A bucket that was not used for this long starts anew. */
const IDLE_MS = 5000;
const DEMAND_WINDOW_MS = 2000;
const MAX_BUCKETS = 2000;
/** Longest time after which a caller is told to come back. */
const MAX_RETRY_AFTER_MS = 10_000;
/** Share of a rate that all hosts without a control host may use together, besides what control hosts grant to the others. */
const FALLBACK_SHARE = 0.5;

/**
 * Creates the limiter of a control host, which grants the whole rate.
 *
 * @example
 * ```ts
 * const limiter = createGrantingLimiter(server => rateLimits.findLimit(server));
 * ```
 */
export function createGrantingLimiter(findLimit: RateLimiterOptions['findLimit']): RateLimiter {
	return new RateLimiter({
		findLimit, getShare: () => 1, minBurst: MIN_GRANTING_BURST, createInitialTokens: burst => burst,
	});
}

/**
 * Creates the limiter of an entry host for when it reaches no control host. Its buckets start empty, each host's by another
 * amount, so that many hosts that lose their control hosts at once send no burst.
 *
 * @example
 * ```ts
 * const limiter = createFallbackLimiter(server => rateLimits.findLimit(server), {countHosts: () => 13, random});
 * ```
 */
export function createFallbackLimiter(findLimit: RateLimiterOptions['findLimit'], {countHosts, random}: {countHosts: () => number; random: Random}): RateLimiter {
	return new RateLimiter({
		findLimit, getShare: () => FALLBACK_SHARE / countHosts(), minBurst: 1, createInitialTokens: () => -random(),
	});
}

/** Whether a request may be sent to a server. */
export type PermitDecision = {
	/** 0 if it may be sent now; otherwise the time after which to ask again. */
	readonly waitMs: number;
	/** Time after which its caller should come back, if it may not be sent. */
	readonly retryAfterMs?: number;
};

/** Token buckets of the servers that limit their rate. Other servers get any request. */
export class RateLimiter {
	readonly #options: RateLimiterOptions;
	readonly #buckets = new Map<string, Bucket>();

	constructor(options: RateLimiterOptions) {
		this.#options = options;
	}

	/**
	 * Estimates the time until a request may be sent to a server, milliseconds; 0 if it may be sent now. While more urgent
	 * requests use up the rate, less urgent ones leave them the last tokens.
	 */
	waitMs(server: ServerIncarnation, priority: number, nowMs: number): number {
		const bucket = this.#getBucket(server, nowMs);
		if (!bucket) {
			return 0;
		}

		const urgentShare = Math.min(1, measureDemand(bucket, priority, nowMs) / bucket.perSecond);
		const required = 1 + ((bucket.burst - 1) * urgentShare);
		return Math.max(0, (required - bucket.tokens) / bucket.perSecond * 1000);
	}

	/** Records that a request asks for a server, whether it may be sent or not. */
	recordDemand(server: ServerIncarnation, priority: number, nowMs: number): void {
		const bucket = this.#getBucket(server, nowMs);
		if (bucket) {
			const rate = bucket.demand.get(priority) ?? new DecayingRate(DEMAND_WINDOW_MS);
			rate.add(1, nowMs);
			bucket.demand.set(priority, rate);
		}
	}

	/** Grants one request to a server, or tells when to ask again. */
	request(server: ServerIncarnation, priority: number, nowMs: number): PermitDecision {
		this.recordDemand(server, priority, nowMs);
		const waitMs = this.waitMs(server, priority, nowMs);
		if (waitMs > 0) {
			return {waitMs, retryAfterMs: this.planRetryAfterMs([server], nowMs)};
		}

		this.consume(server, nowMs);
		return {waitMs};
	}

	/** Uses one token for a request that is sent, or that another host has sent. */
	consume(server: ServerIncarnation, nowMs: number): void {
		const bucket = this.#getBucket(server, nowMs);
		if (bucket) {
			bucket.tokens = Math.max(-bucket.burst, bucket.tokens - 1);
		}
	}

	/** Returns the token of a request that was not sent. */
	refund(server: ServerIncarnation, nowMs: number): void {
		const bucket = this.#getBucket(server, nowMs);
		if (bucket) {
			bucket.tokens = Math.min(bucket.burst, bucket.tokens + 1);
		}
	}

	/** Returns when a caller should come back, milliseconds: each caller is told the time of another token. */
	planRetryAfterMs(servers: readonly ServerIncarnation[], nowMs: number): number {
		let next: Bucket | undefined;
		for (const server of servers) {
			const bucket = this.#getBucket(server, nowMs);
			if (bucket && (!next || findRetryMs(bucket, nowMs) < findRetryMs(next, nowMs))) {
				next = bucket;
			}
		}

		if (!next) {
			return 0;
		}

		next.retryMs = Math.min(findRetryMs(next, nowMs), nowMs + MAX_RETRY_AFTER_MS);
		return next.retryMs - nowMs;
	}

	/** Finds the bucket of a server and adds the tokens since its last use; undefined if the server has no limit. */
	#getBucket({server, incarnation}: ServerIncarnation, nowMs: number): Bucket | undefined {
		const {findLimit, getShare, minBurst, createInitialTokens} = this.#options;
		const limit = findLimit({server, incarnation});
		if (limit === undefined) {
			this.#buckets.delete(server);
			return undefined;
		}

		const perSecond = Math.min(MAX_RATE_PER_SECOND, Math.max(MIN_RATE_PER_SECOND, limit)) * getShare();
		const burst = Math.max(minBurst, perSecond * BURST_SECONDS);
		let bucket = this.#buckets.get(server);
		if (bucket?.incarnation !== incarnation || nowMs - bucket.usedMs > IDLE_MS) {
			bucket = {
				incarnation, perSecond, burst, tokens: createInitialTokens(burst), updatedMs: nowMs, usedMs: nowMs, retryMs: nowMs, demand: new Map(),
			};
			this.#buckets.delete(server);
			this.#buckets.set(server, bucket);
			this.#evict();
		}

		bucket.tokens = Math.min(burst, bucket.tokens + ((nowMs - bucket.updatedMs) / 1000 * perSecond));
		bucket.updatedMs = nowMs;
		bucket.usedMs = nowMs;
		bucket.perSecond = perSecond;
		bucket.burst = burst;
		return bucket;
	}

	#evict(): void {
		const [oldest] = this.#buckets.keys();
		if (this.#buckets.size > MAX_BUCKETS && oldest !== undefined) {
			this.#buckets.delete(oldest);
		}
	}
}

/** Requests a second that are more urgent than the given priority. */
function measureDemand({demand}: Bucket, priority: number, nowMs: number): number {
	let sum = 0;
	for (const [other, rate] of demand) {
		sum += other < priority ? rate.rate(nowMs) * 1000 : 0;
	}

	return sum;
}

/** When the next caller should come back: one token later than the last one that was told a time. */
function findRetryMs({retryMs, tokens, perSecond}: Bucket, nowMs: number): number {
	const nextTokenMs = nowMs + (Math.max(0, 1 - tokens) / perSecond * 1000);
	return Math.max(retryMs + (1000 / perSecond), nextTokenMs);
}
