/**
 * Finds out which requests were in flight at servers that crashed, and keeps requests that crash servers from them.
 *
 * @module
 */
import type {Clock} from '../base/clock.js';
import {formatIncarnation} from '../base/incarnation.js';
import type {Logger} from '../base/logger.js';
import type {Announcement, PoisonFact} from '../generated/types.js';
import type {CrashTable} from '../membership/crashes.js';
import {INCARNATION_STATES, type IncarnationState} from '../membership/registry.js';
import {formatPartKey} from '../routing/poison.js';
import type {Address} from '../wire/connection.js';
import {PROBE_RESULTS, type ProbeResult} from '../wire/probe.js';

/** A request that may crash servers. */
export type SuspectRequest = {
	readonly id: string;
	/** Recognizes the request when its caller sends it again. */
	readonly getFingerprint: () => string;
	/** Keys of the prompt parts that other requests may share. */
	readonly sharedParts: readonly string[];
};

/** An attempt at a server. Exactly one of its methods is called. */
export type TrackedAttempt = {
	/** The server sent a complete success. */
	succeed(): void;
	/** The server sent another complete response, or did not receive the request. */
	dismiss(): void;
	/** The connection was closed before the response was known to be complete. */
	breakOff(): void;
	/** The response was not awaited any longer. */
	abandon(): void;
};

export type CrashMonitorOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly table: CrashTable;
	readonly probe: (address: Address) => Promise<ProbeResult>;
	/** Sends facts that are new to this host to all others. */
	readonly publish: (facts: PoisonFact[]) => void;
};

type UnansweredRequest = {
	readonly request: SuspectRequest;
	readonly endedMs: number;
};

/** The attempts at one server incarnation. */
type ServerAttempts = {
	readonly server: Announcement;
	readonly running: Set<SuspectRequest>;
	unanswered: UnansweredRequest[];
	/** Whether a probe is in progress. */
	isProbing: boolean;
	/** Monotonic time before which the server is not probed again, milliseconds. */
	nextProbeMs: number;
	hasCrashed: boolean;
	/** When the last attempt started or ended, milliseconds of the monotonic clock. */
	usedMs: number;
};

/** A crash may be noticed this long after the last attempt there ended without a response. */
const UNANSWERED_RETENTION_MS = 5000;
const MAX_UNANSWERED = 200;
/** A server that accepted a probe is not probed again for this long. */
const PROBE_INTERVAL_MS = 3000;
/** Number of request IDs in a log line. */
const LOGGED_REQUESTS = 10;

/** Tracks the attempts of one host. */
export class CrashMonitor {
	readonly #options: CrashMonitorOptions;
	readonly #servers = new Map<string, ServerAttempts>();

	constructor(options: CrashMonitorOptions) {
		this.#options = options;
	}

	/** Whether a request, or a part of its prompt, is known to crash the servers that run it. */
	isQuarantined(request: SuspectRequest): boolean {
		const {table} = this.#options;
		return table.hasPoisoned && listKeys(request).some(key => table.isPoisoned(key));
	}

	/** Starts to track an attempt at a server. */
	track(server: Announcement, request: SuspectRequest): TrackedAttempt {
		const attempts = this.#getAttempts(server);
		attempts.running.add(request);
		const end = () => {
			attempts.running.delete(request);
			attempts.usedMs = this.#now();
		};

		return {
			succeed: () => {
				end();
				this.#acquit(request);
			},
			dismiss: end,
			breakOff: () => {
				end();
				this.#recordUnanswered(attempts, request);
				if (!attempts.hasCrashed) {
					void this.#probe(attempts);
				}
			},
			abandon: () => {
				end();
				this.#recordUnanswered(attempts, request);
			},
		};
	}

	/** Checks the servers of recent attempts against what is announced now. */
	checkServers(findIncarnationState: (server: Announcement) => IncarnationState): void {
		const nowMs = this.#now();
		for (const [key, attempts] of this.#servers) {
			const state = findIncarnationState(attempts.server);
			if (state === INCARNATION_STATES.replaced) {
				this.#confirmCrash(attempts);
			} else if (state === INCARNATION_STATES.left) {
				attempts.unanswered = [];
			}

			if (attempts.running.size === 0 && nowMs - attempts.usedMs > UNANSWERED_RETENTION_MS) {
				this.#servers.delete(key);
			}
		}
	}

	#getAttempts(server: Announcement): ServerAttempts {
		const key = formatIncarnation(server);
		let attempts = this.#servers.get(key);
		if (!attempts) {
			attempts = {
				server, running: new Set(), unanswered: [], isProbing: false, nextProbeMs: 0, hasCrashed: false, usedMs: this.#now(),
			};
			this.#servers.set(key, attempts);
		}

		return attempts;
	}

	#recordUnanswered(attempts: ServerAttempts, request: SuspectRequest): void {
		if (attempts.hasCrashed) {
			this.#report(attempts.server, [request]);
			return;
		}

		const endedMs = this.#now();
		attempts.unanswered = attempts.unanswered.filter(other => endedMs - other.endedMs < UNANSWERED_RETENTION_MS).slice(-MAX_UNANSWERED);
		attempts.unanswered.push({request, endedMs});
	}

	/** Finds out whether a server that broke off a response has crashed. */
	async #probe(attempts: ServerAttempts): Promise<void> {
		if (attempts.isProbing || this.#now() < attempts.nextProbeMs) {
			return;
		}

		attempts.isProbing = true;
		const result = await this.#options.probe(attempts.server);
		attempts.isProbing = false;
		if (result === PROBE_RESULTS.refused) {
			this.#confirmCrash(attempts);
		} else {
			attempts.nextProbeMs = this.#now() + PROBE_INTERVAL_MS;
		}
	}

	/** Reports the requests that were in flight at a server when it crashed, or ended there without a response just before. */
	#confirmCrash(attempts: ServerAttempts): void {
		if (attempts.hasCrashed) {
			return;
		}

		attempts.hasCrashed = true;
		const nowMs = this.#now();
		const unanswered = attempts.unanswered.filter(({endedMs}) => nowMs - endedMs < UNANSWERED_RETENTION_MS);
		attempts.unanswered = [];
		const requests = [...attempts.running, ...unanswered.map(({request}) => request)];
		if (requests.length > 0) {
			this.#options.logger.warn(`Server ${attempts.server.server} crashed with ${requests.length} requests of this host in flight.`, {
				server: attempts.server.server, incarnation: attempts.server.incarnation, requests: requests.slice(0, LOGGED_REQUESTS).map(({id}) => id),
			});
			this.#report(attempts.server, requests);
		}
	}

	#report(server: Announcement, requests: readonly SuspectRequest[]): void {
		const at = this.#options.clock.wallMs();
		const keys = new Set(requests.flatMap(request => listKeys(request)));
		this.#publish([...keys].map(key => ({
			type: 'poison', fingerprint: key, servers: [formatIncarnation(server)], at,
		})));
	}

	/** Clears a request that a server has served, and its prompt parts, of all crashes known so far. */
	#acquit(request: SuspectRequest): void {
		const {table, clock} = this.#options;
		if (table.isEmpty) {
			return;
		}

		const at = clock.wallMs();
		const facts = listKeys(request).map((key): PoisonFact => {
			const servers = table.listUnresolved(key);
			return {
				type: 'poison', fingerprint: key, servers, acquitted: servers, at,
			};
		});
		this.#publish(facts.filter(({servers}) => servers.length > 0));
	}

	#publish(facts: readonly PoisonFact[]): void {
		const news = facts.filter(fact => this.#options.table.merge(fact));
		if (news.length > 0) {
			this.#options.publish(news);
		}
	}

	#now(): number {
		return this.#options.clock.monotonicMs();
	}
}

/** Lists the keys under which crashes of a request are recorded. */
function listKeys({getFingerprint, sharedParts}: SuspectRequest): string[] {
	return [getFingerprint(), ...sharedParts.map(part => formatPartKey(part))];
}
