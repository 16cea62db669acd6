/**
 * The mechanisms that safety rests on. The daemon always runs with all of them; the fuzzer switches one off
 * to show that its checks would notice.
 *
 * @module
 */
export const ALL_SAFEGUARDS = {
	/** A reply that a peer relies on waits until what it promises is synced. */
	syncBeforeReply: true,
	/** The term and the vote in it are kept on disk. */
	persistHardState: true,
	/** Only entries of the leader's own term are committed by counting replicas. */
	commitOwnTermOnly: true,
	/** A replica that came back without its disk gets a new identity. */
	persistIdentity: true,
	/** A read waits until a majority has confirmed the leader after it came in. */
	confirmReads: true,
	/** A new leader and a restarted follower respect the lease of the leader before. */
	respectLease: true,
	/** Voters change through a joint configuration. */
	useJointConfiguration: true,
	/** An append whose previous entry does not match is refused. */
	checkLogMatching: true,
} as const satisfies Record<string, boolean>;

export type Safeguards = Readonly<Record<keyof typeof ALL_SAFEGUARDS, boolean>>;
