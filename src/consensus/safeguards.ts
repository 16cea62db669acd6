/**
 * Safety rules of the replicated log. The daemon always enables all of them. The fuzzer disables one at a time to prove
 * that its checks detect the resulting fault.
 *
 * @module
 */
export const ALL_SAFEGUARDS = {
	/** A reply is sent only after the writes that it acknowledges are synced to disk. */
	syncBeforeReply: true,
	/** The current term and the vote cast in it are written to disk. */
	persistHardState: true,
	/** The leader commits an entry by counting replicas only if the entry is of its own term. */
	commitOwnTermOnly: true,
	/** The identity is stored in the data folder, so that a replica that lost its disk gets a new one. */
	persistIdentity: true,
	/** A read waits until a majority has confirmed the leader after the read arrived (read index). */
	confirmReads: true,
	/** A replica grants no vote while the lease of an earlier leader may still be valid, even after a restart. */
	respectLease: true,
	/** Only a replica that led when its process ended asks for votes that pass over leases. */
	reclaimOnlyAfterLeading: true,
	/** Voters are changed through a joint configuration. */
	useJointConfiguration: true,
	/** An append request is rejected if the preceding entry does not match. */
	checkLogMatching: true,
} as const satisfies Record<string, boolean>;

export type Safeguards = Readonly<Record<keyof typeof ALL_SAFEGUARDS, boolean>>;
