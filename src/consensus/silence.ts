/**
 * Decides how much silence means that a leader, or a leader's majority, is lost.
 *
 * @module
 */
import {RecentMaximum} from '../base/maximum.js';
import type {ReplicaTiming} from './effects.js';

/** Silences that were ended by a message count for at least this long, milliseconds. */
const MEMORY_MS = 5000;
/** An election timeout is this many times the longest recent silence, unless the minimum is longer. */
const SILENCE_FACTOR = 3;
/** Largest election timeout, as a multiple of the minimum. A dead leader must still be replaced within a few seconds. */
const MAX_TIMEOUT_FACTOR = 2.5;
/** Time for a process whose timers ran late to read what has arrived, in heartbeats. */
const RESUMPTION_HEARTBEATS = 2;
/** Longest postponement of a deadline by timers that run late repeatedly, as a multiple of the minimum timeout. */
const MAX_POSTPONEMENT_FACTOR = 4;

/** Measures silences and this process's own delays. A state machine without I/O. */
export class SilenceDetector {
	readonly #timing: ReplicaTiming;
	readonly #silences = new RecentMaximum(MEMORY_MS);
	#lastTickMs: number;
	/** When the timer last ran late, milliseconds. */
	#resumedMs = Number.NEGATIVE_INFINITY;

	constructor(timing: ReplicaTiming, nowMs: number) {
		this.#timing = timing;
		this.#lastTickMs = nowMs;
	}

	/**
	 * Records that the timer ran. After a gap of more than a heartbeat, messages that arrived meanwhile may be unread.
	 *
	 * @example
	 * ```ts
	 * detector.recordTick(nowMs);
	 * ```
	 */
	recordTick(nowMs: number): void {
		if (nowMs - this.#lastTickMs > this.#timing.heartbeatMs) {
			this.#resumedMs = nowMs;
		}

		this.#lastTickMs = nowMs;
	}

	/** Records a silence that ended with a message of the same leader, or with new contact to the majority, milliseconds. */
	recordSilence(durationMs: number, nowMs: number): void {
		this.#silences.record(durationMs, nowMs);
	}

	/** Returns the silence after which a leader or a majority counts as lost, milliseconds. */
	getTimeoutMs(nowMs: number): number {
		const {electionMs} = this.#timing;
		return Math.min(Math.max(electionMs, this.#silences.get(nowMs) * SILENCE_FACTOR), electionMs * MAX_TIMEOUT_FACTOR);
	}

	/**
	 * Whether a deadline has passed. If the timer ran late, messages that have arrived are read first, within a bound.
	 *
	 * @example
	 * ```ts
	 * detector.hasPassed(electionDeadlineMs, nowMs);
	 * ```
	 */
	hasPassed(deadlineMs: number, nowMs: number): boolean {
		const {heartbeatMs, electionMs} = this.#timing;
		const isResuming = nowMs - this.#resumedMs < heartbeatMs * RESUMPTION_HEARTBEATS;
		return nowMs >= deadlineMs && (!isResuming || nowMs >= deadlineMs + (electionMs * MAX_POSTPONEMENT_FACTOR));
	}
}
