/**
 * Bounds of what a process holds for its clients, derived from the resources of its machine.
 *
 * @module
 */

/** What a process may use of its machine. */
export type ClientResources = {
	readonly memoryBytes: number;
	/** File descriptors. */
	readonly maxFds: number;
};

/** Bounds for all clients of a process together. */
export type ClientLimits = {
	/** Heads and bodies of requests, from their arrival until they are answered. */
	readonly requestBytes: number;
	/** Responses, from their arrival until the client has read them. */
	readonly responseBytes: number;
	/** Connections of callers of an entry host, or of operators and servers of a control host. */
	readonly connections: number;
	/** Connections to each of the other addresses: readiness and metrics. */
	readonly auxiliaryConnections: number;
};

/** Assumed if the settings do not state them: less than any machine that the system is built for. */
export const DEFAULT_CLIENT_RESOURCES: ClientResources = {memoryBytes: 256 * 1024 * 1024, maxFds: 2048};

/** Descriptors for files, the log of the process and connections that are about to be closed. */
const RESERVED_FDS = 200;
/** The remaining descriptors are for connections to servers and to other hosts. */
const CONNECTION_SHARE = 1 / 2;
const AUXILIARY_SHARE = 1 / 16;
/**
 * A process without clients takes two fifths of the smallest machine. What is dropped is freed only after some 64 MB, and for each byte
 * that is held, half a byte of buffers may be kept for further use.
 */
const REQUEST_MEMORY_SHARE = 1 / 8;
const RESPONSE_MEMORY_SHARE = 1 / 4;

/**
 * Derives the bounds for clients from the resources of the machine.
 *
 * @example
 * ```ts
 * createClientLimits({memoryBytes: 202e6, maxFds: 2069}).connections; // 934
 * ```
 */
export function createClientLimits({memoryBytes, maxFds}: ClientResources): ClientLimits {
	const sockets = Math.max(0, maxFds - RESERVED_FDS);
	return {
		requestBytes: Math.floor(memoryBytes * REQUEST_MEMORY_SHARE),
		responseBytes: Math.floor(memoryBytes * RESPONSE_MEMORY_SHARE),
		connections: Math.max(1, Math.floor(sockets * CONNECTION_SHARE)),
		auxiliaryConnections: Math.max(1, Math.floor(sockets * AUXILIARY_SHARE)),
	};
}
