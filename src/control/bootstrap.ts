/**
 * Initial configuration of the replicated log in a new deployment.
 *
 * Only the control host that is listed first in the settings creates it, and only when every listed control host
 * replies that it has none. The others wait for the leader's messages or adopt the configuration of that first host. A
 * host that lost its disk therefore cannot create a second configuration as long as one other host has the first.
 *
 * @module
 */
import type {
	Configuration, Member, Peer, Welcome,
} from '../generated/types.js';

/** A control host and its reply to a hello. */
export type BootstrapReply = {
	readonly peer: Peer;
	readonly welcome: Welcome;
};

/**
 * Creates the initial configuration, or returns undefined if this host must not create one or lacks a reply.
 *
 * @param self - This host and its replica.
 * @param peers - The control hosts in the settings, in the same order on every host.
 * @param replies - The replies of the other hosts.
 * @example
 * ```ts
 * createInitialConfiguration({host: 'a1', replica: '6f1c'}, [peer], []); // one voter
 * ```
 */
export function createInitialConfiguration(
	self: {readonly host: string; readonly replica: string},
	peers: readonly Peer[],
	replies: readonly BootstrapReply[],
): Configuration | undefined {
	if (peers[0]?.host !== self.host || replies.some(reply => reply.welcome.configuration)) {
		return undefined;
	}

	const voters: Member[] = [];
	for (const peer of peers) {
		const replica = peer.host === self.host
			? self.replica
			: replies.find(reply => reply.peer.host === peer.host)?.welcome.replica;
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
 * Finds the initial configuration in the reply of the host that creates it, if this replica is one of its voters.
 *
 * @example
 * ```ts
 * findInitialConfiguration('6f1c', peers, replies)?.voters.length; // 3
 * ```
 */
export function findInitialConfiguration(
	replica: string,
	peers: readonly Peer[],
	replies: readonly BootstrapReply[],
): Configuration | undefined {
	const configuration = replies.find(reply => reply.peer.host === peers[0]?.host)?.welcome.configuration;
	const isVoter = configuration?.voters.some(member => member.replica === replica) ?? false;
	return isVoter && configuration?.outgoing.length === 0 ? configuration : undefined;
}
