/**
 * A model of an engine's KV cache, derived from the requests that were sent to it.
 *
 * @module
 */

/** A named segment of a prompt. Prompts that start with the same parts share their KV cache. */
export type PromptPart = {
	readonly key: string;
	readonly tokens: number;
};

type CachedPart = {
	tokens: number;
	/** Number of uses of any part up to its last one. */
	lastUse: number;
};

/** Parts of one engine's KV cache that are remembered unless stated otherwise. */
const DEFAULT_MAX_PARTS = 4096;

/**
 * The prompt parts in one engine's KV cache, with least-recently-used eviction. The number of parts is bounded as well, since parts may have
 * few tokens or none.
 */
export class KvCacheModel {
	/** Maximum number of parts. A lower number takes effect with the next recorded prompt. */
	maxParts = DEFAULT_MAX_PARTS;
	readonly #parts = new Map<string, CachedPart>();
	#tokens = 0;
	/** Increases with each use of a part. */
	#useCount = 0;

	get tokens(): number {
		return this.#tokens;
	}

	/** Number of parts that are remembered. */
	get size(): number {
		return this.#parts.size;
	}

	/** Counts the tokens of the leading parts that are cached. A part counts only if all parts before it are cached. */
	countCached(parts: readonly PromptPart[]): number {
		let tokens = 0;
		for (const part of parts) {
			if (!this.#parts.has(part.key)) {
				return tokens;
			}

			tokens += part.tokens;
		}

		return tokens;
	}

	/** Records that a prompt was prefilled, and evicts what no longer fits. */
	record(parts: readonly PromptPart[], capacityTokens: number): void {
		for (const {key, tokens} of parts) {
			const part = this.#parts.get(key) ?? {tokens: 0, lastUse: 0};
			this.#tokens += tokens - part.tokens;
			part.tokens = tokens;
			part.lastUse = ++this.#useCount;
			this.#parts.delete(key);
			this.#parts.set(key, part);
		}

		this.evictTo(capacityTokens);
	}

	/** Evicts the least recently used parts until the rest fits the capacity and the maximum number. */
	evictTo(capacityTokens: number): void {
		for (const [key, {tokens}] of this.#parts) {
			if (this.#tokens <= capacityTokens && this.#parts.size <= this.maxParts) {
				return;
			}

			this.#parts.delete(key);
			this.#tokens -= tokens;
		}
	}

	/** Removes parts that were recorded in advance but never prefilled. */
	remove(keys: Iterable<string>): void {
		for (const key of keys) {
			this.#tokens -= this.#parts.get(key)?.tokens ?? 0;
			this.#parts.delete(key);
		}
	}

	/** Finds the earliest last use of the leading parts with the given number of tokens, for `evictUsedUntil`. */
	findEarliestUse(parts: readonly PromptPart[], tokens: number): number {
		let earliest = Number.POSITIVE_INFINITY;
		let sum = 0;
		for (const {key, tokens: partTokens} of parts) {
			sum += partTokens;
			if (sum > tokens) {
				break;
			}

			earliest = Math.min(earliest, this.#parts.get(key)?.lastUse ?? 0);
		}

		return earliest;
	}

	/** Evicts the parts that have not been used since a use: if the engine has evicted the part of that use, it has evicted them too. */
	evictUsedUntil(use: number): void {
		for (const [key, {tokens, lastUse}] of this.#parts) {
			if (lastUse > use) {
				return;
			}

			this.#parts.delete(key);
			this.#tokens -= tokens;
		}
	}

	has(key: string): boolean {
		return this.#parts.has(key);
	}
}
