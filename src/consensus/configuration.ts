/**
 * Cluster configuration of the replicated log: its members, and quorums over its voters.
 *
 * @module
 */
import type {Configuration, Member} from '../generated/types.js';

/**
 * Lists all members without duplicates, voters first.
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
 * Returns whether a replica is a voter, in either half of a joint configuration.
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
 * Returns whether the replicas that satisfy a predicate form a quorum. A joint configuration needs a majority of its
 * new voters and a majority of its outgoing voters.
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
 * Finds the highest value that every member of some quorum has reached, for example the highest replicated index.
 *
 * @example
 * ```ts
 * findQuorumValue({voters: [a, b, c], outgoing: [], learners: []}, replica => matchIndex[replica]);
 * ```
 */
export function findQuorumValue(configuration: Configuration, getValue: (replica: string) => number): number {
	const value = findMajorityValue(configuration.voters, getValue);
	return configuration.outgoing.length === 0
		? value
		: Math.min(value, findMajorityValue(configuration.outgoing, getValue));
}

function hasMajority(members: readonly Member[], predicate: (replica: string) => boolean): boolean {
	const count = members.filter(member => predicate(member.replica)).length;
	return count * 2 > members.length;
}

function findMajorityValue(members: readonly Member[], getValue: (replica: string) => number): number {
	const values = members.map(member => getValue(member.replica)).toSorted((a, b) => b - a);
	return values[Math.floor(members.length / 2)] ?? Number.NEGATIVE_INFINITY;
}
