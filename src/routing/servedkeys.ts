/**
 * The requests and prompt parts that were served recently, by their hashes. What was served is unlikely to crash servers.
 *
 * Performs no I/O; the caller passes the current time.
 *
 * @module
 */

/** Time for which a success counts, milliseconds. */
const RETENTION_MS = 600_000;
const MAX_KEYS = 32_768;

/** Recently served keys, at most a fixed number, the most recently served ones. */
export class ServedKeys {
	readonly #servedMs = new Map<number, number>();

	record(key: number, nowMs: number): void {
		this.#servedMs.delete(key);
		this.#servedMs.set(key, nowMs);
		if (this.#servedMs.size > MAX_KEYS) {
			const [oldest] = this.#servedMs.keys();
			this.#servedMs.delete(oldest!);
		}
	}

	has(key: number, nowMs: number): boolean {
		const servedMs = this.#servedMs.get(key);
		return servedMs !== undefined && nowMs - servedMs < RETENTION_MS;
	}
}
