/**
 * Access to the current time.
 *
 * Only code that does I/O reads the clock; state machines get the current time as an argument, so that tests and the
 * fuzzer control it.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';

export interface Clock {
	/** Monotonic time since the process started, in milliseconds. */
	monotonicMs(): number;
	/** Wall-clock time, in milliseconds since the Unix epoch. */
	wallMs(): number;
}

/**
 * Creates a clock that reads the system time.
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
 * Waits without blocking. Not for state machines: they never wait.
 *
 * @example
 * ```ts
 * await sleep(50);
 * ```
 */
export async function sleep(durationMs: number): Promise<void> {
	if (durationMs > 0) {
		await new Promise(resolve => {
			setTimeout(resolve, durationMs);
		});
	}
}
