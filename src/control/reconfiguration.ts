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
const CATCH_UP_ENTRIES = 100;

/**
 * Checks whether a change of members may begin.
 *
 * @example
 * ```ts
 * checkRepair({remove: 'b'}, view); // Either.left(…) if the rest would have no live majority
 * ```
 */
export function validateReconfiguration(repair: Reconfiguration, view: ConfigurationStatus, current: Reconfiguration | undefined): Either.Either<Problem, Reconfiguration> {
	const {configuration} = view;
	const {voters, learners} = configuration;
	const refuse = (text: string) => Either.left(createProblem('membershipRefused', text));
	if (current) {
		return refuse(`The repair is not finished: ${describeReconfiguration(current)}.`);
	}

	if (!view.isCommitted || configuration.outgoing.length > 0) {
		return refuse('An earlier configuration is not committed yet.');
	}

	if (repair.remove !== undefined && ![...voters, ...learners].some(member => member.replica === repair.remove)) {
		return refuse(`No replica ${repair.remove}.`);
	}

	if (repair.add && voters.some(member => member.replica === repair.add!.replica)) {
		return refuse(`Replica ${repair.add.replica} votes already.`);
	}

	const next = nextVoters(configuration, repair);
	if (next.length === 0 || next.length > MAX_VOTERS) {
		return refuse(`There would be ${next.length} voters.`);
	}

	const alive = next.filter(member => member.replica === repair.add?.replica || view.getProgress(member.replica).alive);
	if (alive.length * 2 <= next.length) {
		return refuse(`Only ${alive.length} of ${next.length} voters would be alive; the quorum would be lost.`);
	}

	return Either.right(repair);
}

/**
 * Finds the next configuration on the way of a repair; undefined while there is something to wait for.
 *
 * @example
 * ```ts
 * nextConfiguration({add: member}, view)?.learners; // [member]
 * ```
 */
export function planNextConfiguration(repair: Reconfiguration, view: ConfigurationStatus): Configuration | undefined {
	const {configuration} = view;
	if (!view.isCommitted || configuration.outgoing.length > 0 || isReconfigurationComplete(repair, view)) {
		return undefined;
	}

	const {voters, learners} = configuration;
	const {add} = repair;
	const isNew = add && ![...voters, ...learners].some(member => member.replica === add.replica);
	if (isNew) {
		return {voters, outgoing: [], learners: [...learners, add]};
	}

	if (add && learners.some(member => member.replica === add.replica)) {
		const {matchIndex, alive} = view.getProgress(add.replica);
		if (!alive || matchIndex < view.commitIndex - CATCH_UP_ENTRIES) {
			return undefined;
		}
	}

	const rest = learners.filter(member => member.replica !== add?.replica && member.replica !== repair.remove);
	const next = nextVoters(configuration, repair);
	const isSame = next.length === voters.length && next.every(member => voters.some(voter => voter.replica === member.replica));
	return {voters: next, outgoing: isSame ? [] : voters, learners: rest};
}

/**
 * Tells whether a repair is finished: the final configuration is committed and the new voter holds it.
 *
 * @example
 * ```ts
 * isRepaired({add: member}, view);
 * ```
 */
export function isReconfigurationComplete(repair: Reconfiguration, view: ConfigurationStatus): boolean {
	const {configuration} = view;
	const {voters, learners} = configuration;
	const isIn = !repair.add || voters.some(member => member.replica === repair.add!.replica);
	const isOut = repair.remove === undefined || ![...voters, ...learners].some(member => member.replica === repair.remove);
	const holdsAll = !repair.add || view.getProgress(repair.add.replica).matchIndex >= view.commitIndex;
	return view.isCommitted && configuration.outgoing.length === 0 && isIn && isOut && holdsAll;
}

/**
 * Says in words what a repair does.
 *
 * @example
 * ```ts
 * describeRepair({add: member, remove: '6f1c'}); // 'host c2 takes the place of replica 6f1c'
 * ```
 */
export function describeReconfiguration(repair: Reconfiguration): string {
	if (repair.add && repair.remove !== undefined) {
		return `host ${repair.add.host} takes the place of replica ${repair.remove}`;
	}

	return repair.add ? `host ${repair.add.host} is added` : `replica ${repair.remove ?? ''} is removed`;
}

function nextVoters(configuration: Configuration, repair: Reconfiguration): Member[] {
	const kept = configuration.voters.filter(member => member.replica !== repair.remove);
	const isIn = kept.some(member => member.replica === repair.add?.replica);
	return repair.add && !isIn ? [...kept, repair.add] : kept;
}
