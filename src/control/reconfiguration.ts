/**
 * Changes of the control replicas: what is refused, and the next configuration on the way.
 *
 * A new replica is first a learner; when it has caught up, a joint configuration takes it in (and, for a
 * replacement, leaves the old one out), and the repair ends when the new voter holds the final configuration.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import {createProblem, type Problem} from '../base/problem.js';
import type {Configuration, Member} from '../generated/types.js';

/** A change of members under way. */
export type Reconfiguration = {
	readonly add?: Member;
	readonly remove?: string;
};

export type ReplicationProgress = {
	readonly matchIndex: number;
	readonly alive: boolean;
};

export type ConfigurationStatus = {
	readonly configuration: Configuration;
	readonly isCommitted: boolean;
	readonly commitIndex: number;
	readonly getProgress: (replica: string) => ReplicationProgress;
};

export const MAX_VOTERS = 7;
const MAX_CATCH_UP_LAG = 100;

/**
 * Checks whether a change of members may begin.
 *
 * @example
 * ```ts
 * checkRepair({remove: 'b'}, view); // Either.left(…) if the rest would have no live majority
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
 * Finds the next configuration on the way of a repair; undefined while there is something to wait for.
 *
 * @example
 * ```ts
 * nextConfiguration({add: member}, view)?.learners; // [member]
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
	return {voters: nextVoters, outgoing: isSame ? [] : voters, learners: remainingLearners};
}

/**
 * Tells whether a repair is finished: the final configuration is committed and the new voter holds it.
 *
 * @example
 * ```ts
 * isRepaired({add: member}, view);
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
 * Says in words what a repair does.
 *
 * @example
 * ```ts
 * describeRepair({add: member, remove: '6f1c'}); // 'host c2 takes the place of replica 6f1c'
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
