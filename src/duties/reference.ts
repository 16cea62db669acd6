/**
 * Corrects the wall clock of an entry host by the time on which the hosts agree.
 *
 * @module
 */
import type {ClockReading} from './collector.js';

/** The time of a control host, as an acknowledgement brought it. */
export type TimeSample = {
	/** Time of the control host when it sent the acknowledgement, milliseconds. */
	readonly atMs: number;
	/** When the acknowledged message was sent and when the acknowledgement arrived, monotonic, milliseconds. */
	readonly sentMs: number;
	readonly receivedMs: number;
};

type Estimate = {
	/** Difference of the control host's time to the monotonic clock. */
	readonly offsetMs: number;
	readonly roundTripMs: number;
	readonly receivedMs: number;
};

/** Samples with a longer round trip are not used: their error may be half of it, milliseconds. */
const MAX_ROUND_TRIP_MS = 200;
/** A sample is replaced by one with a longer round trip after this time, milliseconds. */
const REPLACE_MS = 6000;
/** An older sample is not used: the control host may be gone, milliseconds. */
const RETENTION_MS = 15_000;
/** A smaller deviation is not corrected: it may be an error of the measurement, milliseconds. */
const TOLERANCE_MS = 50;

/**
 * Tells the time by this host's wall clock as long as it agrees with the control hosts, which know the clocks of all hosts. A start
 * that is counted in the wrong window makes two reports wrong, so a clock that is off by 5% of a window already matters.
 */
export class ReferenceClock {
	readonly #estimates = new Map<string, Estimate>();

	/** Records the time of a control host. */
	record(control: string, {atMs, sentMs, receivedMs}: TimeSample): void {
		const roundTripMs = receivedMs - sentMs;
		const known = this.#estimates.get(control);
		if (roundTripMs <= MAX_ROUND_TRIP_MS && (!known || roundTripMs <= known.roundTripMs || receivedMs - known.receivedMs > REPLACE_MS)) {
			this.#estimates.set(control, {offsetMs: atMs + (roundTripMs / 2) - receivedMs, roundTripMs, receivedMs});
		}
	}

	/** Returns the wall-clock time, corrected if this host's clock deviates. */
	read({nowMs, wallMs}: ClockReading): number {
		for (const [control, {receivedMs}] of this.#estimates) {
			if (nowMs - receivedMs > RETENTION_MS) {
				this.#estimates.delete(control);
			}
		}

		const offsets = [...this.#estimates.values()].map(({offsetMs}) => offsetMs).toSorted((a, b) => a - b);
		const middle = offsets[Math.floor(offsets.length / 2)];
		const agreedMs = middle === undefined ? wallMs : nowMs + middle;
		return Math.abs(agreedMs - wallMs) > TOLERANCE_MS ? agreedMs : wallMs;
	}
}
