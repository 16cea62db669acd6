/**
 * Runs reconfigurations of the replicated log on the leader, one at a time.
 *
 * A reconfiguration is started by an operator, or by the leader when a control host asks to join. A replica that
 * restarted with an empty data folder replaces the voter that had its address, and a spare replica replaces a voter that
 * stays unreachable. A state machine without I/O; the caller passes the current time and the configuration status.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import type {Problem} from '../base/problem.js';
import type {Configuration, Member} from '../generated/types.js';
import {
	validateReconfiguration, isReconfigurationComplete, planNextConfiguration, type ConfigurationStatus, type Reconfiguration,
} from './reconfiguration.js';

export type ReconfigurationTiming = {
	/** How long a voter must be unreachable before a spare replaces it, milliseconds. */
	readonly replaceAfterMs: number;
	/** How long a reconfiguration waits for its new replica before it is abandoned, milliseconds. */
	readonly abandonAfterMs: number;
};

/** A restarting host returns within a few seconds, and replacing it would cost more than waiting that long. */
export const DEFAULT_RECONFIGURATION_TIMING: ReconfigurationTiming = {replaceAfterMs: 8000, abandonAfterMs: 4000};

/**
 * Creates the timing of a deployment that counts on a successor a fixed time after its start. The first half of that time
 * lets a restarting host return, the second half is left for the successor to catch up.
 *
 * @example
 * ```ts
 * createReconfigurationTiming(4000).replaceAfterMs; // 2000
 * ```
 */
export function createReconfigurationTiming(catchUpMs: number): ReconfigurationTiming {
	return {replaceAfterMs: catchUpMs / 2, abandonAfterMs: catchUpMs / 2};
}

/** Number of voters up to which joining hosts are added: five voters tolerate the failure of two. */
export const TARGET_VOTERS = 5;

export type ReconfigurationEvent
	= | {readonly type: 'finished'; readonly reconfiguration: Reconfiguration}
		| {readonly type: 'abandoned'; readonly reconfiguration: Reconfiguration}
		| {readonly type: 'propose-configuration'; readonly configuration: Configuration};

/** Runs the reconfigurations of one term of leadership. */
export class Reconfigurator {
	readonly #timing: ReconfigurationTiming;
	readonly #lastAliveMs = new Map<string, number>();
	#current: Reconfiguration | undefined;
	#lastProgressMs = 0;
	/** How much of the log the new replica of the current reconfiguration had when it last got more. */
	#matchIndex = 0;

	constructor(timing = DEFAULT_RECONFIGURATION_TIMING) {
		this.#timing = timing;
	}

	get current(): Reconfiguration | undefined {
		return this.#current;
	}

	/** Starts a reconfiguration, unless it would put the quorum at risk or another one is in progress. */
	start(reconfiguration: Reconfiguration, status: ConfigurationStatus, nowMs: number): Either.Either<Problem, Reconfiguration> {
		const validated = validateReconfiguration(reconfiguration, status, this.#current);
		if (Either.isRight(validated)) {
			this.#current = reconfiguration;
			this.#lastProgressMs = nowMs;
			this.#matchIndex = 0;
		}

		return validated;
	}

	/** Returns the reconfiguration that a joining control host requires, or undefined if it must not be added now. */
	planJoin(member: Member, status: ConfigurationStatus, nowMs: number): Reconfiguration | undefined {
		const {voters, learners} = status.configuration;
		if (this.#current !== undefined || voters.some(voter => voter.replica === member.replica)) {
			return undefined;
		}

		const previous = voters.find(voter => isSameAddress(voter, member));
		if (previous) {
			return {add: member, remove: previous.replica};
		}

		const staleLearner = learners.find(learner => learner.replica !== member.replica && isSameAddress(learner, member));
		if (staleLearner) {
			return {remove: staleLearner.replica};
		}

		if (voters.length < TARGET_VOTERS) {
			return {add: member};
		}

		const lostVoter = voters.find(voter => this.#getDowntimeMs(voter.replica, nowMs) > this.#timing.replaceAfterMs);
		return lostVoter && {add: member, remove: lostVoter.replica};
	}

	/** Advances the current reconfiguration by at most one step. */
	tick(status: ConfigurationStatus, nowMs: number): ReconfigurationEvent | undefined {
		this.#recordAliveVoters(status, nowMs);
		const reconfiguration = this.#current;
		if (!reconfiguration) {
			return undefined;
		}

		if (isReconfigurationComplete(reconfiguration, status)) {
			this.#current = undefined;
			return {type: 'finished', reconfiguration};
		}

		const configuration = planNextConfiguration(reconfiguration, status);
		if (configuration) {
			this.#lastProgressMs = nowMs;
			return {type: 'propose-configuration', configuration};
		}

		this.#recordProgress(reconfiguration, status, nowMs);
		const isStable = status.isCommitted && status.configuration.outgoing.length === 0;
		if (reconfiguration.add && isStable && nowMs - this.#lastProgressMs > this.#timing.abandonAfterMs) {
			this.#current = undefined;
			return {type: 'abandoned', reconfiguration};
		}

		return undefined;
	}

	/** Records that the new replica got more of the log. One that responds but gets nothing would block every other repair. */
	#recordProgress({add}: Reconfiguration, status: ConfigurationStatus, nowMs: number): void {
		const progress = add && status.getProgress(add.replica);
		if (progress?.alive && progress.matchIndex > this.#matchIndex) {
			this.#matchIndex = progress.matchIndex;
			this.#lastProgressMs = nowMs;
		}
	}

	#recordAliveVoters(status: ConfigurationStatus, nowMs: number): void {
		for (const {replica} of status.configuration.voters) {
			if (status.getProgress(replica).alive || !this.#lastAliveMs.has(replica)) {
				this.#lastAliveMs.set(replica, nowMs);
			}
		}
	}

	#getDowntimeMs(replica: string, nowMs: number): number {
		return nowMs - (this.#lastAliveMs.get(replica) ?? nowMs);
	}
}

function isSameAddress(a: Member, b: Member): boolean {
	return a.address === b.address && a.port === b.port;
}
