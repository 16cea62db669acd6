/**
 * Changes of the control replicas under way: one at a time, carried forward by the leader.
 *
 * Operators begin a repair by hand; a control host that asks to be taken in begins one by itself. A replica that came
 * back with an empty data folder takes the place of its former self, and a spare takes the place of one that stays
 * away. A step machine: time and the view of the log are handed in.
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
	/** How long a voter must be away before a spare takes its place, milliseconds. */
	readonly replaceAfterMs: number;
	/** How long a repair may wait for its new replica before it is given up, milliseconds. */
	readonly abandonAfterMs: number;
};

/** A machine that restarts is back within a few seconds; replacing it then would cost more than waiting. */
export const DEFAULT_RECONFIGURATION_TIMING: ReconfigurationTiming = {replaceAfterMs: 8000, abandonAfterMs: 4000};
/** Voters to aim for: five bear the loss of two. */
export const TARGET_VOTERS = 5;

export type ReconfigurationEvent
	= | {readonly type: 'finished'; readonly reconfiguration: Reconfiguration}
		| {readonly type: 'abandoned'; readonly reconfiguration: Reconfiguration}
		| {readonly type: 'propose-configuration'; readonly configuration: Configuration};

/** The repairs of one term of leadership. */
export class Reconfigurator {
	readonly #timing: ReconfigurationTiming;
	readonly #lastAliveMs = new Map<string, number>();
	#current: Reconfiguration | undefined;
	#lastProgressMs = 0;

	constructor(timing = DEFAULT_RECONFIGURATION_TIMING) {
		this.#timing = timing;
	}

	get current(): Reconfiguration | undefined {
		return this.#current;
	}

	/** Begins a repair, unless it would endanger the quorum or another one is under way. */
	start(reconfiguration: Reconfiguration, status: ConfigurationStatus, nowMs: number): Either.Either<Problem, Reconfiguration> {
		const validated = validateReconfiguration(reconfiguration, status, this.#current);
		if (Either.isRight(validated)) {
			this.#current = reconfiguration;
			this.#lastProgressMs = nowMs;
		}

		return validated;
	}

	/** Finds the repair that takes a control host in; undefined while it is not wanted. */
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

	/** Carries the current repair one step on. */
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

		const isNewReplicaDown = reconfiguration.add !== undefined && !status.getProgress(reconfiguration.add.replica).alive;
		const isStable = status.isCommitted && status.configuration.outgoing.length === 0;
		if (isNewReplicaDown && isStable && nowMs - this.#lastProgressMs > this.#timing.abandonAfterMs) {
			this.#current = undefined;
			return {type: 'abandoned', reconfiguration};
		}

		return undefined;
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
