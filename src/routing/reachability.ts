/**
 * Whether a host can reach the backend servers over its own network.
 *
 * A host that cannot reach any server cannot tell that from a single failure: a server may be slow or have crashed. It
 * checks with new connections to several servers when connections to two servers have failed, or when no server has sent
 * anything for some time although requests are in progress. Performs no I/O; the caller passes the current time.
 *
 * @module
 */

/** Time without a byte from any server, while a request waits for one, after which a host checks its network. */
export const SILENCE_MS = 400;
/** Number of servers to which connections must have failed for a check. */
const MIN_FAILED_SERVERS = 2;
/** Minimum time between two checks while the servers are reachable. */
const CHECK_INTERVAL_MS = 1000;
/** Time between two checks while they are not. */
const RECHECK_INTERVAL_MS = 250;

/** What one host knows about its network to the servers. */
export class ServerReachability {
	readonly #failedServers = new Set<string>();
	#isCutOff = false;
	#areConnectionsSilent = false;
	#contactMs = Number.NEGATIVE_INFINITY;
	#checkedMs = Number.NEGATIVE_INFINITY;

	/** Whether no server could be reached at the last check. */
	get isCutOff(): boolean {
		return this.#isCutOff;
	}

	/**
	 * Whether no open connection brought anything either when the servers became unreachable. If one did, new connections
	 * are refused, and a request without a response may just take long.
	 */
	get areConnectionsSilent(): boolean {
		return this.#areConnectionsSilent;
	}

	/** Records that a server has sent something. */
	recordContact(nowMs: number): void {
		this.#contactMs = nowMs;
	}

	/** Records that a connection to a server has been established. */
	recordConnection(nowMs: number): void {
		this.#contactMs = nowMs;
		this.#failedServers.clear();
	}

	/** Records that no connection to a server could be established. */
	recordFailedConnection(server: string): void {
		this.#failedServers.add(server);
	}

	/**
	 * Whether to check now.
	 *
	 * @param waitingSinceMs - When the oldest request that is in progress was sent or last received something.
	 */
	needsCheck(nowMs: number, waitingSinceMs: number | undefined): boolean {
		if (nowMs - this.#checkedMs < (this.#isCutOff ? RECHECK_INTERVAL_MS : CHECK_INTERVAL_MS)) {
			return false;
		}

		const isSilent = waitingSinceMs !== undefined && nowMs - Math.max(waitingSinceMs, this.#contactMs) >= SILENCE_MS;
		return this.#isCutOff || isSilent || this.#failedServers.size >= MIN_FAILED_SERVERS;
	}

	/** Records the result of a check. Returns whether it differs from the previous one. */
	recordCheck(hasReachedServer: boolean, nowMs: number): boolean {
		const wasCutOff = this.#isCutOff;
		this.#isCutOff = !hasReachedServer;
		this.#checkedMs = nowMs;
		if (hasReachedServer) {
			this.recordConnection(nowMs);
		}

		const hasChanged = this.#isCutOff !== wasCutOff;
		if (hasChanged) {
			this.#areConnectionsSilent = this.#isCutOff && nowMs - this.#contactMs >= SILENCE_MS;
		}

		return hasChanged;
	}
}

/** A server that may be probed. */
export type ProbeCandidate = {
	readonly server: string;
	readonly services: readonly string[];
	/** When the server last sent something; undefined if it never has. */
	readonly contactMs: number | undefined;
};

/** Number of servers that are probed before a host counts as cut off. */
const PROBE_COUNT = 3;

/**
 * Selects the servers to probe: those that sent something last, one of each service first, because the servers of one
 * service may all have crashed.
 *
 * @example
 * ```ts
 * selectProbes([{server: 'e1', services: ['llm'], contactMs: 5}, {server: 'p1', services: ['api'], contactMs: 3}]); // ['e1', 'p1']
 * ```
 */
export function selectProbes(candidates: readonly ProbeCandidate[]): string[] {
	const recent = candidates.toSorted((a, b) => (b.contactMs ?? Number.NEGATIVE_INFINITY) - (a.contactMs ?? Number.NEGATIVE_INFINITY));
	const seenServices = new Set<string>();
	const first: string[] = [];
	const others: string[] = [];
	for (const {server, services} of recent) {
		const isNewService = services.some(service => !seenServices.has(service));
		(isNewService ? first : others).push(server);
		for (const service of services) {
			seenServices.add(service);
		}
	}

	return [...first, ...others].slice(0, PROBE_COUNT);
}
