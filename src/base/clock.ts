/**
 * Time. Tasks read it here and hand it to the cores as a number.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';

export interface Clock {
	/** Monotonic time of this process, milliseconds. */
	monotonicMs(): number;
	/** Wall clock, milliseconds since 1970. */
	wallMs(): number;
}

/**
 * Creates the clock of the machine.
 *
 * @example
 * ```ts
 * const clock = createClock();
 * clock.monotonicMs() <= clock.monotonicMs(); // true
 * ```
 */
export function createClock(): Clock {
	return {
		monotonicMs: () => performance.now(),
		wallMs: () => Date.now(),
	};
}

/**
 * Waits; for tasks only, a core is handed the time.
 *
 * @example
 * ```ts
 * await pause(50);
 * ```
 */
export async function sleep(durationMs: number): Promise<void> {
	if (durationMs > 0) {
		await new Promise(resolve => {
			setTimeout(resolve, durationMs);
		});
	}
}
