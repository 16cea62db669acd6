/**
 * Bounds of what a replica keeps in memory and on disk, derived from the resources of its machine.
 *
 * @module
 */

/** Memory and disk that a process may use, bytes. */
export type MachineResources = {
	readonly memoryBytes: number;
	readonly diskBytes: number;
};

/** Bounds of a replica, bytes. A single entry or snapshot may be larger than any of them; it is then handled alone. */
export type ReplicationLimits = {
	/** Applied entries that are kept before a snapshot replaces them. */
	readonly logBytes: number;
	/** Entries in one append request. */
	readonly appendBytes: number;
	/** Entries that were sent to a peer and that it has not acknowledged. */
	readonly unacknowledgedBytes: number;
	/** Entries that are not committed, or not synced to disk. A leader refuses proposals beyond that. */
	readonly pendingBytes: number;
};

const MIB = 1024 * 1024;
/** Assumed if the settings do not state them: less than any machine that the system is built for. */
export const DEFAULT_RESOURCES: MachineResources = {memoryBytes: 256 * MIB, diskBytes: 128 * MIB};

const LOG_MEMORY_SHARE = 1 / 32;
/** The log and a snapshot exist twice on disk while a new generation is written. */
const LOG_DISK_SHARE = 1 / 16;
/** Small enough not to delay the requests behind it for long on a slow link. */
const APPEND_MEMORY_SHARE = 1 / 1024;
const UNACKNOWLEDGED_MEMORY_SHARE = 1 / 256;
const PENDING_MEMORY_SHARE = 1 / 32;

/**
 * Derives the bounds of a replica from the resources of its machine.
 *
 * @example
 * ```ts
 * createReplicationLimits({memoryBytes: 346e6, diskBytes: 128e6}).appendBytes; // 337_890
 * ```
 */
export function createReplicationLimits({memoryBytes, diskBytes}: MachineResources): ReplicationLimits {
	return {
		logBytes: Math.floor(Math.min(memoryBytes * LOG_MEMORY_SHARE, diskBytes * LOG_DISK_SHARE)),
		appendBytes: Math.floor(memoryBytes * APPEND_MEMORY_SHARE),
		unacknowledgedBytes: Math.floor(memoryBytes * UNACKNOWLEDGED_MEMORY_SHARE),
		pendingBytes: Math.floor(memoryBytes * PENDING_MEMORY_SHARE),
	};
}

/** Bounds of a replica on a machine with the default resources. */
export const DEFAULT_REPLICATION_LIMITS = createReplicationLimits(DEFAULT_RESOURCES);
