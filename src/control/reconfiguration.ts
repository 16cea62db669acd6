/**
 * Reconfiguration of the replicated log: validates a change of voters and computes its next step.
 *
 * A new replica is first added as a learner. When it has caught up, a joint configuration makes it a voter and, for a
 * replacement, removes the old voter. The reconfiguration is complete when the new voter has the final configuration.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import {createProblem, type Problem} from '../base/problem.js';
import type {Configuration, Member} from '../generated/types.js';

/** A change of voters: `add` without `remove`, `remove` without `add`, or both for a replacement. */
export type Reconfiguration = {
	readonly add?: Member;
	readonly remove?: string;
};

export type ReplicationProgress = {
	readonly matchIndex: number;
	readonly alive: boolean;
};

/** The leader's current configuration and the replication progress of its members. */
export type ConfigurationStatus = {
	readonly configuration: Configuration;
	readonly isCommitted: boolean;
	readonly commitIndex: number;
	readonly getProgress: (replica: string) => ReplicationProgress;
};

export const MAX_VOTERS = 7;
/** A learner may become a voter when it is at most this many entries behind the commit index. */
const MAX_CATCH_UP_LAG = 100;

/**
 * Checks whether a reconfiguration may start. Fails if another one is in progress or the quorum would be at risk.
 *
 * @example
 * ```ts
 * validateReconfiguration({remove: 'b'}, status, undefined); // Either.left(…) if too few of the remaining voters are alive
 * ```
 */
export function validateReconfiguration(reconfiguration: Reconfiguration, status: ConfigurationStatus, current: Reconfiguration | undefined): Either.Either<Problem, Reconfiguration> {
	const {configuration} = status;
	const {voters, learners} = configuration;
	const refuse = (text: string) => Either.left(createProblem('membershipRefused', text));
	if (current) {
		return refuse(`The repair is not finished: ${describeReconfiguration(current)}.`);
	}

	if (!status.isCommitted || configuration.outgoing.length > 0) {
		return refuse('An earlier configuration is not committed yet.');
	}

	if (reconfiguration.remove !== undefined && ![...voters, ...learners].some(member => member.replica === reconfiguration.remove)) {
		return refuse(`No replica ${reconfiguration.remove}.`);
	}

	if (reconfiguration.add && voters.some(member => member.replica === reconfiguration.add!.replica)) {
		return refuse(`Replica ${reconfiguration.add.replica} votes already.`);
	}

	const nextVoters = computeNextVoters(configuration, reconfiguration);
	if (nextVoters.length === 0 || nextVoters.length > MAX_VOTERS) {
		return refuse(`There would be ${nextVoters.length} voters.`);
	}

	const alive = nextVoters.filter(member => member.replica === reconfiguration.add?.replica || status.getProgress(member.replica).alive);
	if (alive.length * 2 <= nextVoters.length) {
		return refuse(`Only ${alive.length} of ${nextVoters.length} voters would be alive; the quorum would be lost.`);
	}

	return Either.right(reconfiguration);
}

/**
 * Returns the next configuration to propose for a reconfiguration, or undefined while it must wait or is complete.
 *
 * @example
 * ```ts
 * planNextConfiguration({add: member}, status)?.learners; // [member]
 * ```
 */
export function planNextConfiguration(reconfiguration: Reconfiguration, status: ConfigurationStatus): Configuration | undefined {
	const {configuration} = status;
	if (!status.isCommitted || configuration.outgoing.length > 0 || isReconfigurationComplete(reconfiguration, status)) {
		return undefined;
	}

	const {voters, learners} = configuration;
	const {add} = reconfiguration;
	const isNew = add && ![...voters, ...learners].some(member => member.replica === add.replica);
	if (isNew) {
		return {voters, outgoing: [], learners: [...learners, add]};
	}

	if (add && learners.some(member => member.replica === add.replica)) {
		const {matchIndex, alive} = status.getProgress(add.replica);
		if (!alive || matchIndex < status.commitIndex - MAX_CATCH_UP_LAG) {
			return undefined;
		}
	}

	const remainingLearners = learners.filter(member => member.replica !== add?.replica && member.replica !== reconfiguration.remove);
	const nextVoters = computeNextVoters(configuration, reconfiguration);
	const isSame = nextVoters.length === voters.length && nextVoters.every(member => voters.some(voter => voter.replica === member.replica));
	if (isSame && remainingLearners.length === learners.length) {
		return undefined;
	}

	return {voters: nextVoters, outgoing: isSame ? [] : voters, learners: remainingLearners};
}

/**
 * Returns whether a reconfiguration is complete: the final configuration is committed and the new voter has it.
 *
 * @example
 * ```ts
 * isReconfigurationComplete({add: member}, status);
 * ```
 */
export function isReconfigurationComplete(reconfiguration: Reconfiguration, status: ConfigurationStatus): boolean {
	const {configuration} = status;
	const {voters, learners} = configuration;
	const isAdded = !reconfiguration.add || voters.some(member => member.replica === reconfiguration.add!.replica);
	const isRemoved = reconfiguration.remove === undefined || ![...voters, ...learners].some(member => member.replica === reconfiguration.remove);
	const isCaughtUp = !reconfiguration.add || status.getProgress(reconfiguration.add.replica).matchIndex >= status.commitIndex;
	return status.isCommitted && configuration.outgoing.length === 0 && isAdded && isRemoved && isCaughtUp;
}

/**
 * Describes a reconfiguration for operators and the log.
 *
 * @example
 * ```ts
 * describeReconfiguration({add: member, remove: '6f1c'}); // 'host c2 takes the place of replica 6f1c'
 * ```
 */
export function describeReconfiguration(reconfiguration: Reconfiguration): string {
	if (reconfiguration.add && reconfiguration.remove !== undefined) {
		return `host ${reconfiguration.add.host} takes the place of replica ${reconfiguration.remove}`;
	}

	return reconfiguration.add ? `host ${reconfiguration.add.host} is added` : `replica ${reconfiguration.remove ?? ''} is removed`;
}

function computeNextVoters(configuration: Configuration, reconfiguration: Reconfiguration): Member[] {
	const remainingVoters = configuration.voters.filter(member => member.replica !== reconfiguration.remove);
	const isAdded = remainingVoters.some(member => member.replica === reconfiguration.add?.replica);
	return reconfiguration.add && !isAdded ? [...remainingVoters, reconfiguration.add] : remainingVoters;
}
