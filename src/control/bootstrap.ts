/**
 * The first configuration of a new fleet.
 *
 * Only the control host that the settings name first forms it, and only when every control host named answers
 * that it holds none; the others wait to be reached by the log. So a host that lost its disk can never form a
 * second configuration beside the first, as long as one other host still holds it.
 *
 * @module
 */
import type {
	Configuration, Member, Peer, Welcome,
} from '../generated/types.js';

export type BootstrapReply = {
	readonly peer: Peer;
	readonly welcome: Welcome;
};

/**
 * Decides whether the first configuration can be formed, and what it is.
 *
 * @param self - The deciding host and its replica.
 * @param peers - The control hosts in the settings, in the same order on every host.
 * @param answers - What the other hosts answered.
 * @example
 * ```ts
 * formConfiguration({host: 'a1', replica: '6f1c'}, [peer], []); // one voter
 * ```
 */
export function createInitialConfiguration(
	self: {readonly host: string; readonly replica: string},
	peers: readonly Peer[],
	answers: readonly BootstrapReply[],
): Configuration | undefined {
	if (peers[0]?.host !== self.host || answers.some(answer => answer.welcome.configuration)) {
		return undefined;
	}

	const voters: Member[] = [];
	for (const peer of peers) {
		const replica = peer.host === self.host
			? self.replica
			: answers.find(answer => answer.peer.host === peer.host)?.welcome.replica;
		if (replica === undefined) {
			return undefined;
		}

		voters.push({
			replica, host: peer.host, address: peer.address, port: peer.port,
		});
	}

	return {voters, outgoing: [], learners: []};
}

/**
 * Finds the first configuration that the forming host made, if this replica votes in it.
 *
 * @example
 * ```ts
 * adoptConfiguration('6f1c', peers, answers)?.voters.length; // 3
 * ```
 */
export function findInitialConfiguration(
	replica: string,
	peers: readonly Peer[],
	answers: readonly BootstrapReply[],
): Configuration | undefined {
	const configuration = answers.find(answer => answer.peer.host === peers[0]?.host)?.welcome.configuration;
	const isVoter = configuration?.voters.some(member => member.replica === replica) ?? false;
	return isVoter && configuration?.outgoing.length === 0 ? configuration : undefined;
}
