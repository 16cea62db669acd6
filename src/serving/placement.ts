/**
 * Requests placements of streamed requests from a scheduler host, and falls back to a local scheduler without one.
 *
 * @module
 */
import {crc32} from 'node:zlib';
import type {Clock} from '../base/clock.js';
import type {ServerIncarnation} from '../base/incarnation.js';
import type {Message, Permit, StreamOrigin} from '../generated/types.js';
import type {PermitDecision, RateLimiter} from '../routing/limiter.js';
import {StreamOrigins} from '../routing/origins.js';
import {
	MILESTONES, type MilestoneName, type PlacementDecision, type PlacementRequest,
} from '../routing/request.js';
import type {Scheduler} from '../routing/scheduler.js';

/** The hosts that run a scheduler, and a transport to them. */
export interface SchedulerHosts {
	/** Lists the hosts that are connected. */
	listLive(): string[];
	/** Sends a message to a host; returns false if it is unreachable. */
	send(host: string, message: Message): boolean;
}

/** Copies of the origins of streams at other entry hosts. */
export interface OriginStore {
	/** Sends the origin of a stream that has begun here to the hosts that keep its copies. */
	copy(attempt: string, software: string): void;
	/** Finds the software version that began a stream; undefined if no copy is found. */
	lookUp(attempt: string): Promise<string | undefined>;
}

/** The request for which a permit is requested. */
export type PermitOptions = {
	/** Identifies the query. */
	readonly id: string;
	/** 0 is the most urgent. */
	readonly priority: number;
};

/** A placement decision and the host that made it. */
export type PlacementResult = {
	readonly decision: PlacementDecision;
	/** Host that decided; 'self' for this one. */
	readonly by: string;
};

/**
 * Timeout of a query. Scheduler hosts respond within two milliseconds; one that takes this long is overloaded, hung or
 * disconnected.
 */
export const SCHEDULER_TIMEOUT_MS = 60;
/** How long a host that did not respond is not queried again, milliseconds. */
const HOST_BACKOFF_MS = 700;
/** Stands for this host where a scheduler host is named. */
export const SELF = 'self';

/** Responses to queries, by the type of their message. */
type QueryReply = PlacementDecision | Permit;

type PendingQuery = {
	readonly host: string;
	readonly settle: (reply: QueryReply | undefined) => void;
};

/** Where a placement was copied to. */
type Backup = {
	readonly host: string;
	/** Whether the origin that it records holds: events of the stream have been forwarded. */
	isOriginSure: boolean;
};

export type PlacementClientOptions = {
	readonly hosts: SchedulerHosts;
	readonly localScheduler: Scheduler;
	/** Grants permits while no scheduler host responds. */
	readonly localLimiter: RateLimiter;
	readonly clock: Clock;
	readonly originStore: OriginStore;
};

/** Client of the scheduler hosts. */
export class PlacementClient {
	readonly #hosts: SchedulerHosts;
	readonly #localScheduler: Scheduler;
	readonly #localLimiter: RateLimiter;
	readonly #clock: Clock;
	readonly #originStore: OriginStore;
	readonly #pendingQueries = new Map<string, PendingQuery>();
	readonly #schedulerHosts = new Map<string, string>();
	readonly #backups = new Map<string, Backup>();
	readonly #avoidedUntilMs = new Map<string, number>();
	/** Origins of the streams of which this host has forwarded events. Those at the local scheduler include streams that never began. */
	readonly #begunStreams = new StreamOrigins();

	constructor({hosts, localScheduler, localLimiter, clock, originStore}: PlacementClientOptions) {
		this.#hosts = hosts;
		this.#localScheduler = localScheduler;
		this.#localLimiter = localLimiter;
		this.#clock = clock;
		this.#originStore = originStore;
	}

	/**
	 * Requests to send a request to a server that limits its rate. What is granted is copied to the host that is next in rank, so that
	 * it does not grant a second share if it takes over.
	 */
	async requestPermit(service: string, {server, incarnation}: ServerIncarnation, {id, priority}: PermitOptions): Promise<PermitDecision> {
		const [host] = this.#rankHosts(service);
		const reply = host === undefined
			? undefined
			: await this.#query(host, id, {
				type: 'permitRequest', id, server, incarnation, priority,
			});
		const permit = reply?.type === 'permit' ? reply : this.#localLimiter.request({server, incarnation}, priority, this.#clock.monotonicMs());
		const backup = this.#rankHosts(service).find(other => other !== host);
		if (permit.waitMs === 0 && backup !== undefined) {
			this.#hosts.send(backup, {type: 'permitCopy', server, incarnation});
		}

		return permit;
	}

	/**
	 * Requests a placement from the host that is first in rank, and from the others while none knows the origin of a resumed stream. The
	 * entry hosts that keep copies of origins are asked at the same time. The local scheduler does not infer an unknown origin: this host
	 * may have missed servers.
	 */
	async place(received: PlacementRequest): Promise<PlacementResult> {
		if (this.#schedulerHosts.has(received.id)) {
			// The earlier placement is not used. Another host may be asked now.
			this.reportMilestone(received.id, MILESTONES.refused, undefined);
		}

		const request = this.#addLocalOrigin(received);
		const attempt = isOriginMissing(request) ? request.resumption?.attempt : undefined;
		const copy = attempt === undefined ? undefined : this.#originStore.lookUp(attempt);
		const placed = await this.#placeAtHosts(request);
		const software = placed.decision.type === 'rejection' && placed.decision.isOriginUnknown === true ? await copy : undefined;
		if (attempt === undefined || software === undefined) {
			return placed;
		}

		this.#localScheduler.recordOrigin(attempt, software, this.#clock.monotonicMs());
		return this.#placeAtHosts({...request, resumption: {attempt, software}});
	}

	async #placeAtHosts(received: PlacementRequest): Promise<PlacementResult> {
		let request = received;
		const needsOrigin = isOriginMissing(request);
		let rejection: PlacementResult | undefined;
		for (const host of this.#rankHosts(request.service).slice(0, needsOrigin ? undefined : 1)) {
			const decision = await this.#queryDecision(host, request.id, {
				...request, type: 'offer', parts: [...request.parts], excluded: [...request.excluded], connected: [...request.connected],
			});
			if (!decision || this.#hasOtherSoftware(decision, request)) {
				this.#dropPlacement(host, request.id);
				request = addResolvedOrigin(request, decision);
				continue;
			}

			if (decision.type === 'assignment' || decision.isOriginUnknown !== true) {
				this.#schedulerHosts.set(request.id, host);
				return {decision, by: host};
			}

			rejection = {decision, by: host};
		}

		if (rejection && isOriginMissing(request)) {
			return rejection;
		}

		this.#schedulerHosts.set(request.id, SELF);
		return {decision: this.#localScheduler.place(request, this.#clock.monotonicMs()), by: SELF};
	}

	/** Reports that the reader has completed the prefill, and requests a runner. */
	async chooseRunner(received: PlacementRequest, reader: string): Promise<PlacementResult> {
		let request = received;
		const host = this.#schedulerHosts.get(request.id);
		if (host !== undefined && host !== SELF) {
			const decision = await this.#queryDecision(host, request.id, {
				type: 'milestone', id: request.id, stage: MILESTONES.read, server: reader, connected: [...request.connected],
			});
			const isExcluded = decision?.type === 'assignment' && request.excluded.includes(decision.runner ?? '');
			if (decision && !isExcluded && !this.#hasOtherSoftware(decision, request)) {
				return {decision, by: host};
			}

			// It responded too late, or does not know yet that the engine has become unavailable or has started again with another version.
			this.#dropPlacement(host, request.id);
			request = addResolvedOrigin(request, decision);
			this.#schedulerHosts.set(request.id, SELF);
		}

		return {decision: this.#localScheduler.chooseRunner(request, reader, this.#clock.monotonicMs()), by: SELF};
	}

	/**
	 * Sends a placement to the host that is next in rank, so that it knows the engines' caches and load if it takes
	 * over.
	 */
	notifyBackup({id, service, parts, promptTokens, outputTokens, patienceMs, resumption}: PlacementRequest, reader: string | undefined, runner: string): void {
		const backup = this.#rankHosts(service).find(host => host !== this.#schedulerHosts.get(id));
		if (backup === undefined) {
			return;
		}

		this.#backups.set(id, {host: backup, isOriginSure: resumption?.software !== undefined});
		this.#hosts.send(backup, {
			type: 'shadow', id, service, parts: [...parts], promptTokens, outputTokens, patienceMs, runner, ...(reader === undefined ? {} : {reader}),
		});
	}

	/**
	 * Records the software version of a stream of which this host forwards an event, by the ID of the attempt that brought the first one.
	 * Other entry hosts get a copy if callers may resume it.
	 */
	recordOrigin(id: string, software: string, {isResumable}: {readonly isResumable: boolean}): void {
		const nowMs = this.#clock.monotonicMs();
		this.#localScheduler.recordOrigin(id, software, nowMs);
		this.#begunStreams.record(id, software, nowMs);
		if (isResumable) {
			this.#originStore.copy(id, software);
		}
	}

	/** Finds the software version that began a stream of which this host has forwarded events. */
	findOrigin(attempt: string): string | undefined {
		return this.#begunStreams.findSoftware(attempt, this.#clock.monotonicMs());
	}

	/** Lists the software versions of the streams that are in progress here, or broke off here a moment ago. */
	listOrigins(): StreamOrigin[] {
		return this.#begunStreams.list(this.#clock.monotonicMs());
	}

	/** Reports the progress of a request to the host that placed it, and its end also to the backup host. */
	reportMilestone(id: string, milestone: Exclude<MilestoneName, 'read'>, server: string | undefined): void {
		const host = this.#schedulerHosts.get(id);
		const backup = this.#backups.get(id);
		if (milestone === MILESTONES.first) {
			if (backup) {
				backup.isOriginSure = true;
			}
		} else {
			this.#schedulerHosts.delete(id);
			this.#backups.delete(id);
			if (milestone === MILESTONES.done) {
				this.#begunStreams.delete(id);
			}

			if (backup) {
				const stage = backup.isOriginSure || milestone === MILESTONES.done ? MILESTONES.done : MILESTONES.refused;
				this.#hosts.send(backup.host, {type: 'milestone', id, stage});
			}
		}

		if (host === SELF || host === undefined) {
			this.#localScheduler.recordMilestone(id, milestone, {server}, this.#clock.monotonicMs());
			return;
		}

		this.#hosts.send(host, {
			type: 'milestone', id, stage: milestone, ...(server === undefined ? {} : {server}),
		});
	}

	/** Handles a scheduler host's response. */
	receive(message: Message, host: string): void {
		if (message.type !== 'assignment' && message.type !== 'rejection' && message.type !== 'permit') {
			return;
		}

		const query = this.#pendingQueries.get(message.id);
		if (query?.host === host) {
			query.settle(message);
		}
	}

	async #queryDecision(host: string, id: string, message: Message): Promise<PlacementDecision | undefined> {
		const reply = await this.#query(host, id, message);
		return reply?.type === 'permit' ? undefined : reply;
	}

	async #query(host: string, id: string, message: Message): Promise<QueryReply | undefined> {
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.#avoidedUntilMs.set(host, this.#clock.monotonicMs() + HOST_BACKOFF_MS);
				settle(undefined);
			}, SCHEDULER_TIMEOUT_MS);
			const settle = (reply: QueryReply | undefined) => {
				clearTimeout(timer);
				this.#pendingQueries.delete(id);
				resolve(reply);
			};

			this.#pendingQueries.set(id, {host, settle});
			if (!this.#hosts.send(host, message)) {
				settle(undefined);
			}
		});
	}

	/** Tells a host not to count a placement that is not used, and not to take its runner for the origin of the stream. */
	#dropPlacement(host: string, id: string): void {
		this.#hosts.send(host, {type: 'milestone', id, stage: MILESTONES.refused});
	}

	/** Whether an engine has started again with another software version than the one of the stream, which the scheduler host does not know yet. */
	#hasOtherSoftware(decision: PlacementDecision, request: PlacementRequest): boolean {
		const resolved = addResolvedOrigin(request, decision).resumption?.software;
		const server = decision.type === 'assignment' ? decision.reader ?? decision.runner : undefined;
		const software = server === undefined ? undefined : this.#localScheduler.findSoftware(server);
		return resolved !== undefined && software !== undefined && software !== resolved;
	}

	/** Adds the software version that started a resumed stream, if this host knows it. */
	#addLocalOrigin(request: PlacementRequest): PlacementRequest {
		const {resumption} = request;
		const software = resumption?.software ?? (resumption?.attempt === undefined ? undefined : this.#localScheduler.findOrigin(resumption.attempt, this.#clock.monotonicMs()));
		return software === undefined ? request : {...request, resumption: {...resumption, software}};
	}

	/**
	 * Ranks the scheduler hosts by rendezvous hashing: all entry hosts that see the same scheduler hosts rank them
	 * alike.
	 */
	#rankHosts(service: string): string[] {
		const nowMs = this.#clock.monotonicMs();
		return this.#hosts.listLive()
			.filter(host => (this.#avoidedUntilMs.get(host) ?? 0) <= nowMs)
			.map(host => ({host, score: crc32(`${service} ${host}`)}))
			.toSorted((a, b) => b.score - a.score)
			.map(({host}) => host);
	}
}

/** Whether it is not known which software version started the stream that a request resumes. */
function isOriginMissing({resumption}: PlacementRequest): boolean {
	return resumption !== undefined && resumption.software === undefined;
}

/** Adds the software version that a scheduler has found for a resumed stream; those of older hosts do not report it. */
function addResolvedOrigin(request: PlacementRequest, decision: PlacementDecision | undefined): PlacementRequest {
	return isOriginMissing(request) && decision?.software !== undefined ? {...request, resumption: {...request.resumption, software: decision.software}} : request;
}
