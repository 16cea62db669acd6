/**
 * The requests and prompt parts that were served recently, by their hashes. What was served is unlikely to crash servers.
 *
 * Performs no I/O; the caller passes the current time.
 *
 * @module
 */

/** Time for which a success counts, milliseconds. */
const RETENTION_MS = 600_000;
/** Keys that are remembered of each kind. */
const MAX_KEYS = 16_384;

/** Recently served keys. Those that were served several times are kept apart, so that keys of single requests do not displace them. */
export class ServedKeys {
	readonly #once = new Map<number, number>();
	readonly #repeatedly = new Map<number, number>();

	record(key: number, nowMs: number): void {
		const isRepeated = this.#once.delete(key) || this.#repeatedly.delete(key);
		const times = isRepeated ? this.#repeatedly : this.#once;
		times.set(key, nowMs);
		if (times.size > MAX_KEYS) {
			const [oldest] = times.keys();
			times.delete(oldest!);
		}
	}

	has(key: number, nowMs: number): boolean {
		const servedMs = this.#repeatedly.get(key) ?? this.#once.get(key);
		return servedMs !== undefined && nowMs - servedMs < RETENTION_MS;
	}
}
