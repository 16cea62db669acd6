/**
 * Finds out which requests were in flight at servers that crashed, and keeps requests that crash servers from them.
 *
 * @module
 */
import type {Clock} from '../base/clock.js';
import {formatIncarnation} from '../base/incarnation.js';
import type {Logger} from '../base/logger.js';
import type {Announcement, PoisonFact} from '../generated/types.js';
import {
	createClaimFact, createReportFact, readClaims, readReports,
} from '../membership/crashfacts.js';
import type {CrashTable} from '../membership/crashes.js';
import {INCARNATION_STATES, type IncarnationState} from '../membership/registry.js';
import {ServedKeys} from '../routing/servedkeys.js';
import {
	hashRequest, SuspectIndex, type Block, type CrashReport, type RequestKeys,
} from '../routing/suspects.js';
import {TrialSchedule} from '../routing/trials.js';
import type {Address} from '../wire/connection.js';
import {PROBE_RESULTS, type ProbeResult} from '../wire/probe.js';
import type {ServingMetrics} from './metrics.js';
import {formatSuspects, Probation, type Admission} from './probation.js';

/** A request that may crash servers. */
export type SuspectRequest = {
	readonly id: string;
	/** Recognizes the request when its caller sends it again. */
	readonly getFingerprint: () => string;
	/** Hashes of the prompt parts that other requests may share. */
	readonly sharedParts: readonly number[];
};

/** An attempt at a server. Exactly one of its methods other than `progress` is called. */
export type TrackedAttempt = {
	/** The server sent a part of a success. May be called several times, before the others. */
	progress(): void;
	/** The server sent a complete success. */
	succeed(): void;
	/** The server sent another complete response. */
	dismiss(): void;
	/** The server did not receive the request. */
	miss(): void;
	/** The connection was closed before the response was known to be complete. */
	breakOff(): void;
	/** The response was not awaited any longer. */
	abandon(): void;
};

export type CrashMonitorOptions = {
	/** Name of this host. */
	readonly host: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Pick<ServingMetrics, 'blocks' | 'probes'>;
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
/** Number of request IDs, crashes or blocks in a log line. */
const LOGGED_REQUESTS = 10;
/** Suspects of a kind that are reported of one crash. */
const MAX_REPORTED = 8192;

/** Tracks the attempts of one host. */
export class CrashMonitor {
	readonly #options: CrashMonitorOptions;
	readonly #servers = new Map<string, ServerAttempts>();

	readonly #index = new SuspectIndex();
	readonly #served = new ServedKeys();
	readonly #schedule = new TrialSchedule();
	readonly #probation: Probation;
	/** Revision of the table up to which its facts were read. */
	#revision = 0;
	#loggedBlocks: readonly Block[] = [];

	constructor(options: CrashMonitorOptions) {
		this.#options = options;
		this.#probation = new Probation({
			host: options.host,
			clock: options.clock,
			logger: options.logger,
			metrics: options.metrics,
			schedule: this.#schedule,
			match: request => this.#match(request),
			publish: claims => {
				this.#publish([createClaimFact(claims, options.clock.wallMs())]);
			},
		});
	}

	/** Decides whether a new request may be sent to servers. `endRequest` must be called when an admitted request has ended. */
	async admit(request: SuspectRequest): Promise<Admission> {
		return this.#probation.admit(request);
	}

	endRequest(request: SuspectRequest): void {
		this.#probation.end(request);
	}

	/** Whether a request, or what its prompt contains, is known to crash the servers that run it. */
	isQuarantined(request: SuspectRequest): boolean {
		return this.#probation.isRefused(request);
	}

	/** Whether a request is sent although it may crash servers. */
	isProbe(request: SuspectRequest): boolean {
		return this.#probation.isProbe(request);
	}

	/** Reads what was merged into the table. Must be called after each merge, so that the age of facts is known. */
	refresh(): void {
		const {table} = this.#options;
		if (table.revision === this.#revision) {
			return;
		}

		const facts = table.listChangedSince(this.#revision);
		this.#revision = table.revision;
		const nowMs = this.#now();
		for (const fact of facts) {
			const claims = readClaims(fact);
			if (claims) {
				this.#schedule.merge(claims, nowMs);
			}

			for (const report of readReports(fact)) {
				this.#index.add(report, nowMs);
			}
		}

		this.#contestBlocks();
		this.#logBlocks();
	}

	/** Starts to track an attempt at a server. */
	track(server: Announcement, request: SuspectRequest): TrackedAttempt {
		const attempts = this.#getAttempts(server);
		attempts.running.add(request);
		this.#probation.recordSent(request);
		const end = () => {
			attempts.running.delete(request);
			attempts.usedMs = this.#now();
		};

		return {
			progress: () => {
				if (this.#probation.recordProgress(request)) {
					this.#acquit(request);
				}
			},
			succeed: () => {
				end();
				this.#probation.recordSuccess(request);
				this.#acquit(request);
			},
			dismiss: end,
			miss: () => {
				end();
				this.#probation.recordUnsent(request);
			},
			breakOff: () => {
				end();
				this.#probation.recordFailure(request);
				this.#recordUnanswered(attempts, request);
				if (!attempts.hasCrashed) {
					void this.#probe(attempts);
				}
			},
			abandon: () => {
				end();
				this.#probation.recordFailure(request);
				this.#recordUnanswered(attempts, request);
			},
		};
	}

	/** Checks the servers of recent attempts against what is announced now. */
	checkServers(findIncarnationState: (server: Announcement) => IncarnationState): void {
		const nowMs = this.#now();
		this.#options.table.expire(nowMs);
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
		// The request itself would keep its body in memory.
		const fingerprint = request.getFingerprint();
		attempts.unanswered.push({request: {id: request.id, getFingerprint: () => fingerprint, sharedParts: request.sharedParts}, endedMs});
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

	/** Reports what was in flight at a crash, and what of that was served before. */
	#report(server: Announcement, requests: readonly SuspectRequest[]): void {
		const nowMs = this.#now();
		const keys = requests.map(request => getKeys(request));
		const list = (found: readonly number[]) => {
			const known = new Set(found);
			// Suspects of earlier crashes say most, then what was never served.
			const [suspects, others] = partition([...known], key => this.#index.isSuspect(key));
			const [served, unserved] = partition(others, key => this.#served.has(key, nowMs));
			return [...suspects, ...unserved, ...served].slice(0, MAX_REPORTED);
		};

		const reported = {requests: list(keys.map(({request}) => request)), parts: list(keys.flatMap(({parts}) => parts))};
		this.#publishReport(formatIncarnation(server), {
			...reported, served: [...reported.requests, ...reported.parts].filter(key => this.#served.has(key, nowMs)),
		});
	}

	/** Records that a request was served, and clears it and its prompt parts of the crashes known so far. */
	#acquit(request: SuspectRequest): void {
		const nowMs = this.#now();
		const {request: requestKey, parts} = getKeys(request);
		const cleared = new Map<string, number[]>();
		for (const key of new Set([requestKey, ...parts])) {
			this.#served.record(key, nowMs);
			for (const crash of this.#index.listUnresolved(key)) {
				const keys = cleared.get(crash) ?? [];
				keys.push(key);
				cleared.set(crash, keys);
			}
		}

		for (const [crash, keys] of cleared) {
			this.#publishReport(crash, {cleared: keys});
		}
	}

	/** Tells the other hosts which suspects of blocks this host has served, so that they do not count as the likely cause. */
	#contestBlocks(): void {
		const nowMs = this.#now();
		for (const {keys, crashes} of this.#index.listBlocks(nowMs)) {
			const served = [...keys].filter(key => !this.#index.isServed(key) && this.#served.has(key, nowMs));
			if (served.length > 0) {
				this.#publishReport(crashes[0]!, {served});
			}
		}
	}

	#logBlocks(): void {
		const blocks = this.#index.listBlocks(this.#now());
		const {logger, metrics} = this.#options;
		metrics.blocks.set(blocks.length);
		const known = new Set(this.#loggedBlocks.map(({id}) => id));
		const current = new Set(blocks.map(({id}) => id));
		const added = blocks.filter(({id}) => !known.has(id));
		const removed = this.#loggedBlocks.filter(({id}) => !current.has(id));
		this.#loggedBlocks = blocks;
		if (added.length > 0 || removed.length > 0) {
			logger.warn(`Requests are refused that contain all suspects of one of ${blocks.length} blocks.`, {
				added: added.slice(0, LOGGED_REQUESTS).map(block => `${formatSuspects(block)}, after ${block.crashes.slice(0, LOGGED_REQUESTS).join(' ')}`),
				removed: removed.slice(0, LOGGED_REQUESTS).map(block => formatSuspects(block)),
			});
		}
	}

	#match(request: SuspectRequest) {
		const nowMs = this.#now();
		return this.#index.listBlocks(nowMs).length === 0 ? {full: [], partial: []} : this.#index.match(getKeys(request), nowMs);
	}

	#publishReport(crash: string, report: Partial<CrashReport>): void {
		this.#publish([createReportFact({
			requests: [], parts: [], served: [], cleared: [], ...report, crash, at: this.#index.findTime(crash) ?? this.#options.clock.wallMs(),
		})]);
	}

	#publish(facts: readonly PoisonFact[]): void {
		const news = facts.filter(fact => this.#options.table.merge(fact, this.#now()));
		if (news.length > 0) {
			this.#options.publish(news);
			this.refresh();
		}
	}

	#now(): number {
		return this.#options.clock.monotonicMs();
	}
}

function getKeys({getFingerprint, sharedParts}: SuspectRequest): RequestKeys {
	return {request: hashRequest(getFingerprint()), parts: sharedParts};
}

function partition<Item>(items: readonly Item[], test: (item: Item) => boolean): [Item[], Item[]] {
	return [items.filter(item => test(item)), items.filter(item => !test(item))];
}
