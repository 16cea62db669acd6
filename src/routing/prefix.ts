/**
 * Which engine holds which prompt prefixes in its KV cache: learned from own requests, corrected by cache events.
 *
 * @module
 */
import {crc32} from 'node:zlib';

/** Characters of a prompt in one block; about 64 tokens. */
export const BLOCK_CHARACTERS = 256;
const MAX_BLOCKS_PER_SERVER = 8192;

/** A cache event that an engine publishes. */
export type CacheEvent = {
	/** Rises by one with each event of a server's start. */
	readonly sequence: number;
	readonly incarnation: number;
	readonly stored: readonly number[];
	readonly removed: readonly number[];
};

const MAX_SEEN_BLOCKS = 65_536;
/** How fast trust follows what engines report. */
const TRUST_WEIGHT = 0.05;

type ServerCache = {
	/** Blocks in order of use, oldest first. */
	readonly blocks: Map<number, true>;
	sequence: number;
	incarnation: number;
	/** Share of the believed blocks that the engine's answers confirmed. */
	trust: number;
};

/**
 * Hashes a prompt's whole blocks; each hash covers everything before it.
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

/** What this host believes of the engines' prefix caches. */
export class PrefixIndex {
	readonly #servers = new Map<string, ServerCache>();
	readonly #seen = new Map<number, true>();
	readonly #maxBlocks: number;

	constructor(maxBlocks = MAX_BLOCKS_PER_SERVER) {
		this.#maxBlocks = maxBlocks;
	}

	/** Number of leading blocks that a server is believed to hold. */
	countCached(server: string, hashes: readonly number[]): number {
		const blocks = this.#servers.get(server)?.blocks;
		if (!blocks) {
			return 0;
		}

		const miss = hashes.findIndex(hash => !blocks.has(hash));
		return miss === -1 ? hashes.length : miss;
	}

	/** Number of leading blocks that were seen in earlier prompts, at any server. */
	countSeen(hashes: readonly number[]): number {
		const miss = hashes.findIndex(hash => !this.#seen.has(hash));
		return miss === -1 ? hashes.length : miss;
	}

	/** Number of leading blocks that may be expected at a server, by what its answers have confirmed so far. */
	estimateCached(server: string, hashes: readonly number[], isHome: boolean): number {
		const believed = isHome ? Math.max(this.countSeen(hashes), this.countCached(server, hashes)) : this.countCached(server, hashes);
		return Math.round(believed * (this.#servers.get(server)?.trust ?? 1));
	}

	/** Takes what a server says it had cached, against what was believed. */
	recordHits(server: string, believedBlocks: number, cachedBlocks: number): void {
		if (believedBlocks > 0) {
			const cache = this.#cacheOf(server);
			cache.trust += (Math.min(1, cachedBlocks / believedBlocks) - cache.trust) * TRUST_WEIGHT;
		}
	}

	/** Notes that a server has computed a prompt. */
	record(server: string, hashes: readonly number[]): void {
		for (const hash of hashes) {
			this.#seen.delete(hash);
			this.#seen.set(hash, true);
		}

		this.#trimTo(this.#seen, MAX_SEEN_BLOCKS);
		const {blocks} = this.#cacheOf(server);
		for (const hash of hashes) {
			blocks.delete(hash);
			blocks.set(hash, true);
		}

		this.#trimTo(blocks, this.#maxBlocks);
	}

	/** Takes a cache event; after a gap or a restart what was believed is forgotten. */
	applyEvent(server: string, event: CacheEvent): void {
		const cache = this.#cacheOf(server);
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

	#trimTo(blocks: Map<number, true>, limit: number): void {
		for (const hash of blocks.keys()) {
			if (blocks.size <= limit) {
				return;
			}

			blocks.delete(hash);
		}
	}

	#cacheOf(server: string): ServerCache {
		let cache = this.#servers.get(server);
		if (!cache) {
			cache = {
				blocks: new Map(), sequence: 0, incarnation: 0, trust: 1,
			};
			this.#servers.set(server, cache);
		}

		return cache;
	}
}

/**
 * Finds the server where a prefix is at home: all hosts agree on it without talking (rendezvous hashing), so that
 * the same text meets the same cache.
 *
 * @example
 * ```ts
 * findHome(['e1', 'e2'], hash); // 'e2', on every host
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
