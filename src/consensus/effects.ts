/**
 * Events and effects of a replica, and the vocabulary that they share.
 *
 * @module
 */
import type {
	ConsensusBody, Configuration, Entry, Member, Snapshot,
} from '../generated/types.js';

export const REPLICA_ROLES = {follower: 'follower', candidate: 'candidate', leader: 'leader'} as const;
export type ReplicaRole = keyof typeof REPLICA_ROLES;

/** Why a replica took its role, or learned of another leader. */
export const ROLE_REASONS = {
	electionTimeout: 'election timeout',
	elected: 'elected',
	quorumLost: 'quorum lost',
	transferFailed: 'transfer failed',
	higherTerm: 'higher term',
	leaderHeard: 'leader heard',
	removed: 'removed',
} as const;
export type RoleReason = typeof ROLE_REASONS[keyof typeof ROLE_REASONS];

/** Timing of elections and heartbeats; durations in milliseconds of monotonic time. */
export type ReplicaTiming = {
	readonly heartbeatMs: number;
	/** Minimum election timeout; also the duration of the leader lease. */
	readonly electionMs: number;
	/** Fraction of the lease that the leader does not use, because clocks run at different rates. */
	readonly clockDrift: number;
};

export const DEFAULT_REPLICA_TIMING: ReplicaTiming = {heartbeatMs: 100, electionMs: 600, clockDrift: 0.05};

/** Raft's hard state: must be synced to disk before a replica sends a message that depends on it. */
export type HardState = {
	readonly term: number;
	readonly vote: string;
	/** Whether this replica became the leader of the term. Versions that do not know it ignore it. */
	readonly hasLed?: boolean;
};

/** One record of the write-ahead log. */
export type LogRecord
	= | {readonly type: 'hard'; readonly state: HardState}
		| {readonly type: 'truncate'; readonly from: number}
		| {readonly type: 'entries'; readonly entries: readonly Entry[]}
		| {readonly type: 'snapshot'; readonly snapshot: Snapshot};

/**
 * How a message reaches a peer. Votes and heartbeats must not wait behind entries and snapshots, and the messages of one
 * channel must arrive in order.
 */
export const CHANNELS = {liveness: 'liveness', log: 'log'} as const;
export type Channel = keyof typeof CHANNELS;

export type SendEffect = {
	readonly type: 'send';
	readonly to: Member;
	readonly body: ConsensusBody;
	readonly channel: Channel;
};

/** An effect that the caller must execute, in the order in which a step returns them. */
export type ReplicaEffect
	= | {readonly type: 'write'; readonly sequence: number; readonly records: readonly LogRecord[]}
		| SendEffect
		| {readonly type: 'commit'; readonly entries: readonly Entry[]}
		| {readonly type: 'restore'; readonly snapshot: Snapshot}
		| {readonly type: 'role'; readonly role: ReplicaRole; readonly term: number; readonly leader: string; readonly reason: RoleReason}
		| {readonly type: 'read'; readonly id: number; readonly index: number}
		| {readonly type: 'read-refused'; readonly id: number};

/** An input of the state machine. */
export type ReplicaEvent
	= | {readonly type: 'tick'}
		| {readonly type: 'synced'; readonly sequence: number}
		| {readonly type: 'message'; readonly from: string; readonly body: ConsensusBody}
		| {readonly type: 'propose'; readonly data: readonly Uint8Array[]}
		| {readonly type: 'propose-configuration'; readonly configuration: Configuration}
		| {readonly type: 'read'; readonly id: number}
		| {readonly type: 'compact'; readonly index: number; readonly data: Uint8Array}
		| {readonly type: 'transfer-leadership'}
		/** Messages to a peer on the log channel may be lost, because its connection was closed. */
		| {readonly type: 'log-channel-closed'; readonly peer: string};
