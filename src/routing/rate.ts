/**
 * Rate of recent events as an exponentially decaying average. Performs no I/O; the caller passes the current time.
 *
 * @module
 */

/** A decaying sum of amounts, divided by its time constant. */
export class DecayingRate {
	readonly #windowMs: number;
	#sum = 0;
	#atMs = 0;

	/** @param windowMs - Time constant, milliseconds. */
	constructor(windowMs: number) {
		this.#windowMs = windowMs;
	}

	add(amount: number, nowMs: number): void {
		this.#sum = (this.rate(nowMs) * this.#windowMs) + amount;
		this.#atMs = nowMs;
	}

	/** Returns the amount per millisecond. */
	rate(nowMs: number): number {
		return this.#sum === 0 ? 0 : this.#sum * Math.exp((this.#atMs - nowMs) / this.#windowMs) / this.#windowMs;
	}
}
