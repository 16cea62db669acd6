/**
 * Which prompt parts an engine keeps in its KV cache, as far as the requests sent there tell.
 *
 * @module
 */

/** A named part of a prompt; requests share parts. */
export type PromptPart = {
	readonly key: string;
	readonly tokens: number;
};

/** A model of one engine's cache: the least recently used parts yield. */
export class KvCacheModel {
	readonly #parts = new Map<string, number>();
	#tokens = 0;

	get tokens(): number {
		return this.#tokens;
	}

	/** Tokens of the leading parts that are kept; a part counts only if all before it are kept. */
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

	/** Notes that an engine has read a prompt, and drops what no longer fits beside it. */
	record(parts: readonly PromptPart[], capacityTokens: number): void {
		for (const {key, tokens} of parts) {
			this.#tokens += tokens - (this.#parts.get(key) ?? 0);
			this.#parts.delete(key);
			this.#parts.set(key, tokens);
		}

		this.evictTo(capacityTokens);
	}

	/** Drops the least recently used parts beyond a capacity. */
	evictTo(capacityTokens: number): void {
		for (const [key, tokens] of this.#parts) {
			if (this.#tokens <= capacityTokens) {
				return;
			}

			this.#parts.delete(key);
			this.#tokens -= tokens;
		}
	}

	/** Drops parts that were noted but not read after all. */
	remove(keys: Iterable<string>): void {
		for (const key of keys) {
			this.#tokens -= this.#parts.get(key) ?? 0;
			this.#parts.delete(key);
		}
	}

	has(key: string): boolean {
		return this.#parts.has(key);
	}
}
