/**
 * Index of the prompt prefixes in the engines' KV caches, built from this host's requests and corrected by cache events.
 *
 * @module
 */
import {crc32} from 'node:zlib';

/** Number of prompt characters in one prefix block, about 64 tokens. */
export const BLOCK_CHARACTERS = 256;
const MAX_BLOCKS_PER_SERVER = 8192;

/** A cache event that an engine publishes. */
export type CacheEvent = {
	/** Increases by one with each event of an incarnation. */
	readonly sequence: number;
	readonly incarnation: number;
	readonly stored: readonly number[];
	readonly removed: readonly number[];
};

const MAX_SEEN_BLOCKS = 65_536;
/** Weight of one report in the moving average of the hit rate. */
const HIT_RATE_WEIGHT = 0.05;

type ServerCache = {
	/** Blocks in the order of their last use, oldest first. */
	readonly blocks: Map<number, true>;
	sequence: number;
	incarnation: number;
	/** Moving average of the share of expected blocks that the engine reported as cached. */
	hitRate: number;
};

/**
 * Hashes the complete blocks of a prompt. Each hash also covers all blocks before it.
 *
 * @example
 * ```ts
 * hashBlocks('x'.repeat(600)).length; // 2
 * ```
 */
export function hashBlocks(prompt: string): number[] {
	const hashes: number[] = [];
	let hash = 0;
	for (let start = 0; start + BLOCK_CHARACTERS <= prompt.length; start += BLOCK_CHARACTERS) {
		hash = crc32(prompt.slice(start, start + BLOCK_CHARACTERS), hash);
		hashes.push(hash);
	}

	return hashes;
}

/** This host's estimate of the engines' prefix caches. */
export class PrefixIndex {
	readonly #servers = new Map<string, ServerCache>();
	/** Blocks of recent prompts at any server, in the order of their last use. */
	readonly #seen = new Map<number, true>();
	readonly #maxBlocks: number;

	constructor(maxBlocks = MAX_BLOCKS_PER_SERVER) {
		this.#maxBlocks = maxBlocks;
	}

	/** Counts the leading blocks that were recorded for a server. */
	countCached(server: string, hashes: readonly number[]): number {
		const blocks = this.#servers.get(server)?.blocks;
		if (!blocks) {
			return 0;
		}

		const miss = hashes.findIndex(hash => !blocks.has(hash));
		return miss === -1 ? hashes.length : miss;
	}

	/** Counts the leading blocks that occurred in earlier prompts, at any server. */
	countSeen(hashes: readonly number[]): number {
		const miss = hashes.findIndex(hash => !this.#seen.has(hash));
		return miss === -1 ? hashes.length : miss;
	}

	/** Counts the leading blocks that should be cached at a server; the owner of a prefix should have all that occurred in earlier prompts. */
	countBelieved(server: string, hashes: readonly number[], isPrefixOwner: boolean): number {
		const cached = this.countCached(server, hashes);
		return isPrefixOwner ? Math.max(this.countSeen(hashes), cached) : cached;
	}

	/** Share of the blocks that should have been cached at a server which it reported as cached. */
	readHitRate(server: string): number {
		return this.#servers.get(server)?.hitRate ?? 1;
	}

	/** Updates a server's hit rate with the number of blocks that it reports as cached. */
	recordHits(server: string, expectedBlocks: number, cachedBlocks: number): void {
		if (expectedBlocks > 0) {
			const cache = this.#getCache(server);
			cache.hitRate += (Math.min(1, cachedBlocks / expectedBlocks) - cache.hitRate) * HIT_RATE_WEIGHT;
		}
	}

	/** Records that a server has prefilled a prompt. */
	record(server: string, hashes: readonly number[]): void {
		for (const hash of hashes) {
			this.#seen.delete(hash);
			this.#seen.set(hash, true);
		}

		this.#evictTo(this.#seen, MAX_SEEN_BLOCKS);
		const {blocks} = this.#getCache(server);
		for (const hash of hashes) {
			blocks.delete(hash);
			blocks.set(hash, true);
		}

		this.#evictTo(blocks, this.#maxBlocks);
	}

	/**
	 * Applies a cache event. After a gap in the sequence or a restart, the server's recorded blocks are discarded first.
	 */
	applyEvent(server: string, event: CacheEvent): void {
		const cache = this.#getCache(server);
		if (event.incarnation < cache.incarnation || (event.incarnation === cache.incarnation && event.sequence <= cache.sequence)) {
			return;
		}

		const isGap = event.incarnation !== cache.incarnation || event.sequence !== cache.sequence + 1;
		if (isGap && cache.sequence > 0) {
			cache.blocks.clear();
		}

		cache.incarnation = event.incarnation;
		cache.sequence = event.sequence;
		for (const hash of event.removed) {
			cache.blocks.delete(hash);
		}

		this.record(server, event.stored);
	}

	removeServer(server: string): void {
		this.#servers.delete(server);
	}

	#evictTo(blocks: Map<number, true>, limit: number): void {
		for (const hash of blocks.keys()) {
			if (blocks.size <= limit) {
				return;
			}

			blocks.delete(hash);
		}
	}

	#getCache(server: string): ServerCache {
		let cache = this.#servers.get(server);
		if (!cache) {
			cache = {
				blocks: new Map(), sequence: 0, incarnation: 0, hitRate: 1,
			};
			this.#servers.set(server, cache);
		}

		return cache;
	}
}

/**
 * Finds the server that owns a prefix. Rendezvous hashing lets all hosts choose the same owner without communication,
 * so that requests with the same prefix reach the same cache.
 *
 * @example
 * ```ts
 * findPrefixOwner(['e1', 'e2'], hash); // 'e2', on every host
 * ```
 */
export function findPrefixOwner(servers: readonly string[], hash: number): string | undefined {
	let best: string | undefined;
	let bestScore = -1;
	for (const server of servers) {
		const score = crc32(server, hash);
		if (score > bestScore) {
			best = server;
			bestScore = score;
		}
	}

	return best;
}
