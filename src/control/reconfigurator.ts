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
	readonly #aliveMs = new Map<string, number>();
	#current: Reconfiguration | undefined;
	#progressMs = 0;

	constructor(timing = DEFAULT_RECONFIGURATION_TIMING) {
		this.#timing = timing;
	}

	get current(): Reconfiguration | undefined {
		return this.#current;
	}

	/** Begins a repair, unless it would endanger the quorum or another one is under way. */
	start(repair: Reconfiguration, view: ConfigurationStatus, nowMs: number): Either.Either<Problem, Reconfiguration> {
		const checked = validateReconfiguration(repair, view, this.#current);
		if (Either.isRight(checked)) {
			this.#current = repair;
			this.#progressMs = nowMs;
		}

		return checked;
	}

	/** Finds the repair that takes a control host in; undefined while it is not wanted. */
	planJoin(member: Member, view: ConfigurationStatus, nowMs: number): Reconfiguration | undefined {
		const {voters, learners} = view.configuration;
		if (this.#current !== undefined || voters.some(voter => voter.replica === member.replica)) {
			return undefined;
		}

		const former = voters.find(voter => isSamePlace(voter, member));
		if (former) {
			return {add: member, remove: former.replica};
		}

		const stale = learners.find(learner => learner.replica !== member.replica && isSamePlace(learner, member));
		if (stale) {
			return {remove: stale.replica};
		}

		if (voters.length < TARGET_VOTERS) {
			return {add: member};
		}

		const lost = voters.find(voter => this.#awayMs(voter.replica, nowMs) > this.#timing.replaceAfterMs);
		return lost && {add: member, remove: lost.replica};
	}

	/** Carries the current repair one step on. */
	tick(view: ConfigurationStatus, nowMs: number): ReconfigurationEvent | undefined {
		this.#noteAlive(view, nowMs);
		const repair = this.#current;
		if (!repair) {
			return undefined;
		}

		if (isReconfigurationComplete(repair, view)) {
			this.#current = undefined;
			return {type: 'finished', reconfiguration: repair};
		}

		const configuration = planNextConfiguration(repair, view);
		if (configuration) {
			this.#progressMs = nowMs;
			return {type: 'propose-configuration', configuration};
		}

		const isWaitingForNew = repair.add !== undefined && !view.getProgress(repair.add.replica).alive;
		const isSettled = view.isCommitted && view.configuration.outgoing.length === 0;
		if (isWaitingForNew && isSettled && nowMs - this.#progressMs > this.#timing.abandonAfterMs) {
			this.#current = undefined;
			return {type: 'abandoned', reconfiguration: repair};
		}

		return undefined;
	}

	#noteAlive(view: ConfigurationStatus, nowMs: number): void {
		for (const {replica} of view.configuration.voters) {
			if (view.getProgress(replica).alive || !this.#aliveMs.has(replica)) {
				this.#aliveMs.set(replica, nowMs);
			}
		}
	}

	#awayMs(replica: string, nowMs: number): number {
		return nowMs - (this.#aliveMs.get(replica) ?? nowMs);
	}
}

function isSamePlace(a: Member, b: Member): boolean {
	return a.address === b.address && a.port === b.port;
}
