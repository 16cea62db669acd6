/**
 * The largest of the values that were recorded recently.
 *
 * @module
 */

/** Largest value of the last one to two windows. */
export class RecentMaximum {
	readonly #windowMs: number;
	#windowStartedMs = Number.NEGATIVE_INFINITY;
	#current = 0;
	#previous = 0;

	/** @param windowMs - A value counts for at least one window and less than two, milliseconds. */
	constructor(windowMs: number) {
		this.#windowMs = windowMs;
	}

	/**
	 * Records a value that is not negative.
	 *
	 * @example
	 * ```ts
	 * maximum.record(30, nowMs);
	 * maximum.get(nowMs); // at least 30
	 * ```
	 */
	record(value: number, nowMs: number): void {
		this.#advance(nowMs);
		this.#current = Math.max(this.#current, value);
	}

	/** Returns the largest recent value; 0 without any. */
	get(nowMs: number): number {
		this.#advance(nowMs);
		return Math.max(this.#current, this.#previous);
	}

	#advance(nowMs: number): void {
		const elapsedMs = nowMs - this.#windowStartedMs;
		if (elapsedMs < this.#windowMs) {
			return;
		}

		this.#previous = elapsedMs < this.#windowMs * 2 ? this.#current : 0;
		this.#current = 0;
		this.#windowStartedMs = nowMs;
	}
}
