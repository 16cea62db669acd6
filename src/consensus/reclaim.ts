/**
 * Decides whether a restarted replica may ask for votes at once because it led the replicated log when its process ended.
 *
 * After a restart a replica does not vote for an election timeout, since it may have extended a leader's lease that is not stored. If
 * all control hosts restart together, this delays the first election by that time. A replica that led in the newest term that it has
 * entered knows that no lease is left: its own ended with its process, those of earlier leaders had ended when it was elected, and a
 * leader of a later term has the votes of a majority, which refuses the older term of this replica.
 *
 * @module
 */
import type {ReplicaTiming} from './effects.js';

/** The election of a former leader. A state machine without I/O. */
export class LeadershipReclaim {
	readonly #heartbeatMs: number;
	readonly #untilMs: number;
	#dueMs: number;

	/** @param hasLed - Whether this replica led in the newest term that it has entered. */
	constructor(hasLed: boolean, {heartbeatMs, electionMs}: ReplicaTiming, nowMs: number) {
		this.#heartbeatMs = heartbeatMs;
		this.#untilMs = nowMs + electionMs;
		this.#dueMs = hasLed ? nowMs : Number.POSITIVE_INFINITY;
	}

	/**
	 * Whether the votes are to be requested now. They are requested with each heartbeat until an election timeout after the start, since
	 * the other replicas may not listen yet.
	 *
	 * @example
	 * ```ts
	 * if (reclaim.takeDue(nowMs)) {
	 * 	requestVotes();
	 * }
	 * ```
	 */
	takeDue(nowMs: number): boolean {
		if (nowMs < this.#dueMs || nowMs >= this.#untilMs) {
			return false;
		}

		this.#dueMs = nowMs + this.#heartbeatMs;
		return true;
	}

	/** Ends the election: another leader or a later term was heard, or this replica leads. */
	stop(): void {
		this.#dueMs = Number.POSITIVE_INFINITY;
	}
}
