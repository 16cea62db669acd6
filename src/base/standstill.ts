/**
 * Detects that this process, or its machine, stood still.
 *
 * @module
 */
import type {Clock} from './clock.js';

/** Detects from the clocks that a process did not run for some time. Must be asked more often than that. */
export class StandstillDetector {
	readonly #clock: Clock;
	readonly #thresholdMs: number;
	#monotonicMs: number;
	#wallMs: number;

	constructor(clock: Clock, thresholdMs: number) {
		this.#clock = clock;
		this.#thresholdMs = thresholdMs;
		this.#monotonicMs = clock.monotonicMs();
		this.#wallMs = clock.wallMs();
	}

	/**
	 * Whether more time than the threshold has passed since the last call. The monotonic clock does not count the time for which a
	 * machine is suspended, so a step of the wall clock counts as well.
	 *
	 * @example
	 * ```ts
	 * detector.hasStoodStill(); // true once after a suspension
	 * ```
	 */
	hasStoodStill(): boolean {
		const monotonicMs = this.#clock.monotonicMs();
		const wallMs = this.#clock.wallMs();
		const elapsedMs = Math.max(monotonicMs - this.#monotonicMs, wallMs - this.#wallMs);
		this.#monotonicMs = monotonicMs;
		this.#wallMs = wallMs;
		return elapsedMs > this.#thresholdMs;
	}
}
