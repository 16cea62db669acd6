/**
 * Who votes: the set of replicas and its quorums.
 *
 * @module
 */
import type {Configuration, Member} from '../generated/types.js';

/**
 * Lists every member once, voters first.
 *
 * @example
 * ```ts
 * listMembers({voters: [a], outgoing: [a, b], learners: []}); // [a, b]
 * ```
 */
export function listMembers(configuration: Configuration): Member[] {
	const members = new Map<string, Member>();
	for (const member of [...configuration.voters, ...configuration.outgoing, ...configuration.learners]) {
		if (!members.has(member.replica)) {
			members.set(member.replica, member);
		}
	}

	return [...members.values()];
}

/**
 * Tells whether a replica's vote counts.
 *
 * @example
 * ```ts
 * isVoter({voters: [a], outgoing: [], learners: [b]}, b.replica); // false
 * ```
 */
export function isVoter(configuration: Configuration, replica: string): boolean {
	return [...configuration.voters, ...configuration.outgoing].some(member => member.replica === replica);
}

/**
 * Tells whether the replicas that satisfy a predicate form a quorum; a joint configuration needs one of each side.
 *
 * @example
 * ```ts
 * hasQuorum({voters: [a, b, c], outgoing: [], learners: []}, replica => replica !== c.replica); // true
 * ```
 */
export function hasQuorum(configuration: Configuration, predicate: (replica: string) => boolean): boolean {
	return hasMajority(configuration.voters, predicate)
		&& (configuration.outgoing.length === 0 || hasMajority(configuration.outgoing, predicate));
}

/**
 * Finds the highest value that a quorum has reached.
 *
 * @example
 * ```ts
 * quorumValue({voters: [a, b, c], outgoing: [], learners: []}, replica => matchIndex[replica]);
 * ```
 */
export function findQuorumValue(configuration: Configuration, valueOf: (replica: string) => number): number {
	const value = majorityValue(configuration.voters, valueOf);
	return configuration.outgoing.length === 0
		? value
		: Math.min(value, majorityValue(configuration.outgoing, valueOf));
}

function hasMajority(members: readonly Member[], predicate: (replica: string) => boolean): boolean {
	const count = members.filter(member => predicate(member.replica)).length;
	return count * 2 > members.length;
}

function majorityValue(members: readonly Member[], valueOf: (replica: string) => number): number {
	const values = members.map(member => valueOf(member.replica)).toSorted((a, b) => b - a);
	return values[Math.floor(members.length / 2)] ?? Number.NEGATIVE_INFINITY;
}
