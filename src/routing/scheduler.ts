/**
 * Schedules streamed requests: chooses the engine that prefills the prompt (the reader) and the engine that decodes
 * (the runner).
 *
 * One scheduler sees all requests of a pool, so it knows each engine's cache and load from the placements that have not
 * been reported as done, without querying the engines. An entry host that cannot reach it uses a local scheduler, which
 * only knows that host's requests. Performs no I/O; the caller passes the current time.
 *
 * @module
 */
import {ENGINE_ROLES} from './choice.js';
import {DEFAULT_RESOURCE_WEIGHTS, type ResourceWeights} from './cost.js';
import {EngineState, type EngineInfo, type RequestSize} from './engine.js';
import type {RateLimiter} from './limiter.js';
import {SoftwareVersions, StreamOrigins, type ServerVersion} from './origins.js';
import {
	LATE_PRIORITY, MILESTONES, type MilestoneDetails, type MilestoneName, type ObservedRequest, type PlacementDecision, type PlacementRequest,
} from './request.js';
import {IS_REUSE_WEIGHED, type PoolReuse} from './reuse.js';
import {EngineSelector, type EngineSelection} from './selection.js';
import {PoolSpeed} from './speed.js';

/** How long an engine that failed a request is avoided, milliseconds. */
const FAILURE_SUSPICION_MS = 1500;
/** How long an engine that refused a request is avoided, milliseconds: it is full or is changing its role. */
const REFUSAL_SUSPICION_MS = 300;
/** How long a request is kept after its caller has given up, milliseconds. */
const EXPIRY_GRACE_MS = 2000;
/** Share of the objective beyond which a prompt's prefill time alone makes it late, whatever the queue. */
const LARGE_PROMPT_SHARE = 0.8;
/** Prefills that take less than this share of the objective are not deferred, since they hardly delay others. */
const MIN_DEFERRABLE_SHARE = 1 / 12;
const MIN_RETRY_AFTER_MS = 200;
/** Retry time if no engine is available, milliseconds: engines announce themselves about once a second. */
const NO_ENGINE_RETRY_MS = 1000;
/** Prompt parts that are remembered for all engines together. */
const MAX_CACHED_PARTS = 262_144;
/** Parts that are remembered for each engine, however many engines there are. */
const MIN_CACHED_PARTS = 512;

/** A request that was placed and has not ended. */
type OpenRequest = {
	/** Undefined if another scheduler placed it. */
	readonly request: PlacementRequest | undefined;
	readonly expiresMs: number;
	/** Whether the entry host knew which software version started the stream. */
	readonly isOriginGiven: boolean;
	reader: string | undefined;
	runner: string | undefined;
	/** Engine whose rate limit was charged for the runner before the runner was chosen. */
	reserved?: EngineState;
	/** When the runner should have the KV cache from the reader and be free. */
	transferredAtMs?: number;
	/** When the first event came. */
	firstAtMs?: number;
};

type AssignmentFlags = Pick<OpenRequest, 'isOriginGiven'> & {
	readonly isLate: boolean;
};

export type SchedulerOptions = {
	readonly weights?: ResourceWeights;
	/** Keeps the requests within the rates that engines accept; absent if there are no such rates. */
	readonly limiter?: RateLimiter;
	/** Time since which all servers are reported to `updateVersions`; absent if some may be missed. */
	readonly versionsKnownSinceMs?: number;
	/** Whether the assumed cache state is weighed and corrected, see `reuse.ts`. */
	readonly isReuseWeighed?: boolean;
};

/** Schedules the requests of one or more pools. */
export class Scheduler {
	readonly #engines = new Map<string, EngineState>();
	readonly #openRequests = new Map<string, OpenRequest>();
	readonly #speeds = new Map<string, PoolSpeed>();
	readonly #origins = new StreamOrigins();
	readonly #softwareVersions: SoftwareVersions;
	readonly #selector: EngineSelector;
	readonly #limiter: RateLimiter | undefined;
	readonly #isReuseWeighed: boolean;

	constructor({weights = DEFAULT_RESOURCE_WEIGHTS, limiter, versionsKnownSinceMs = Number.POSITIVE_INFINITY, isReuseWeighed = IS_REUSE_WEIGHED}: SchedulerOptions = {}) {
		this.#limiter = limiter;
		this.#isReuseWeighed = isReuseWeighed;
		this.#softwareVersions = new SoftwareVersions(versionsKnownSinceMs);
		this.#selector = new EngineSelector(this.#engines, weights, isReuseWeighed);
	}

	/** Replaces the set of engines; keeps the state of those whose incarnation is unchanged. */
	updateEngines(engines: readonly EngineInfo[]): void {
		const names = new Set(engines.map(({server}) => server));
		for (const server of this.#engines.keys()) {
			if (!names.has(server)) {
				this.#engines.delete(server);
			}
		}

		const maxParts = Math.max(MIN_CACHED_PARTS, Math.floor(MAX_CACHED_PARTS / engines.length));
		for (const info of engines) {
			let state = this.#engines.get(info.server);
			if (state?.info.incarnation === info.incarnation) {
				state.info = info;
			} else {
				state = new EngineState(info, this.#getSpeed(info.service), this.#isReuseWeighed);
				this.#engines.set(info.server, state);
			}

			state.cacheBelief.limitParts(maxParts);
		}
	}

	/** Notes that servers may have been missed before a time. */
	limitVersionKnowledge(knownSinceMs: number): void {
		this.#softwareVersions.limitKnowledge(knownSinceMs);
	}

	/** Replaces the servers by whose software versions the origin of a stream is inferred if no host remembers it. */
	updateVersions(servers: readonly ServerVersion[], nowMs: number): void {
		this.#softwareVersions.update(servers, nowMs);
	}

	/** Number of requests that were placed and have not ended. */
	get openCount(): number {
		return this.#openRequests.size;
	}

	/** The engines of all pools. */
	get engines(): Iterable<EngineState> {
		return this.#engines.values();
	}

	/** Numbers of prefills by what they showed about the caches, by service. */
	listReuseCounts(): ReadonlyArray<readonly [service: string, counts: PoolReuse['counts']]> {
		return [...this.#speeds].map(([service, {reuse}]) => [service, reuse.counts]);
	}

	/** Places a new request, or again one whose engine failed. */
	place(received: PlacementRequest, nowMs: number): PlacementDecision {
		this.#expireRequests(nowMs);
		this.#closeRequest(received.id, nowMs);
		const resolved = this.#resolveOrigin(received, nowMs);
		if (!resolved) {
			return rejectUnknownOrigin(received);
		}

		this.#recordDemand(resolved, nowMs);
		this.#selector.recordDemand(resolved, nowMs);
		const atLimit = this.#listAtLimit(resolved, nowMs);
		const request = excludeEngines(resolved, atLimit);
		const initial = this.#selector.select(request, request.priority, nowMs);
		if (!initial) {
			return this.#rejectWithoutEngine(request, atLimit, nowMs);
		}

		// A request that queueing has made late is scheduled behind those that can still meet their objective. A prompt
		// that is late by its size alone keeps its priority, since it would starve otherwise; so does a short one, since
		// it hardly delays others.
		const {workMs} = initial.plan;
		const isDeferrable = workMs > request.objectiveMs * MIN_DEFERRABLE_SHARE && workMs < request.objectiveMs * LARGE_PROMPT_SHARE;
		const isLate = isDeferrable && initial.firstEventMs > request.objectiveMs;
		const selection = isLate ? this.#selector.select(request, LATE_PRIORITY, nowMs) ?? initial : initial;
		if (selection.firstEventMs > request.patienceMs) {
			const reason = `the first event would come in ${Math.round(selection.firstEventMs)} ms, its caller waits ${Math.round(request.patienceMs)} ms`;
			return reject(request, reason, Math.max(MIN_RETRY_AFTER_MS, selection.firstEventMs - request.objectiveMs));
		}

		return this.#assign(resolved, selection, {isLate, isOriginGiven: hasOrigin(received)}, nowMs);
	}

	/** Records another scheduler's placement, so that this one can take over if the other fails. */
	recordPlacement(request: ObservedRequest, reader: string | undefined, runner: string, nowMs: number): void {
		this.#closeRequest(request.id, nowMs);
		const openRequest: OpenRequest = {
			request: undefined, expiresMs: nowMs + request.patienceMs + EXPIRY_GRACE_MS, isOriginGiven: false, reader, runner,
		};
		this.#openRequests.set(request.id, openRequest);
		const readerEngine = this.#engines.get(reader ?? '');
		const runnerEngine = this.#engines.get(runner);
		readerEngine?.recordCached(request.parts);
		this.#consume(readerEngine, nowMs);
		this.#consume(runnerEngine, nowMs);
		if (runnerEngine) {
			runnerEngine.startRun(request.id, toRequestSize(request), undefined);
			this.recordOrigin(request.id, runnerEngine.info.software, nowMs);
		}
	}

	/** Records the software version that starts a stream, or is about to. */
	recordOrigin(attempt: string, software: string, nowMs: number): void {
		this.#origins.record(attempt, software, nowMs);
	}

	/** Finds the software version that started a stream; undefined if it is not known here. */
	findOrigin(attempt: string, nowMs: number): string | undefined {
		return this.#origins.findSoftware(attempt, nowMs);
	}

	/** Finds the software version of an engine; undefined if the engine is not known here. */
	findSoftware(server: string): string | undefined {
		return this.#engines.get(server)?.info.software;
	}

	/** Chooses the runner of a request whose prefill was placed by another scheduler. */
	chooseRunner(received: PlacementRequest, reader: string, nowMs: number): PlacementDecision {
		this.#closeRequest(received.id, nowMs);
		const request = this.#resolveOrigin(received, nowMs);
		if (!request) {
			return rejectUnknownOrigin(received);
		}

		const openRequest: OpenRequest = {
			request, expiresMs: nowMs + request.patienceMs + EXPIRY_GRACE_MS, isOriginGiven: hasOrigin(received), reader, runner: undefined,
		};
		this.#openRequests.set(request.id, openRequest);
		return this.#assignRunner(openRequest, request, nowMs);
	}

	/** Records a request's progress; returns the choice of a runner once the reader has completed the prefill. */
	recordMilestone(id: string, milestone: MilestoneName, {server, connected}: MilestoneDetails, nowMs: number): PlacementDecision | undefined {
		const openRequest = this.#openRequests.get(id);
		if (server !== undefined && (milestone === MILESTONES.failed || milestone === MILESTONES.refused)) {
			this.#suspect(server, milestone === MILESTONES.failed, nowMs);
		}

		if (!openRequest) {
			return undefined;
		}

		switch (milestone) {
			case MILESTONES.read: {
				this.#engines.get(openRequest.reader ?? '')?.completePrefill(id, nowMs);
				const {request} = openRequest;
				return request && this.#assignRunner(openRequest, {...request, connected: connected ?? request.connected}, nowMs);
			}

			case MILESTONES.first: {
				this.#recordFirstEvent(id, openRequest, nowMs);
				return undefined;
			}

			case MILESTONES.done: {
				this.#recordSuccess(openRequest, nowMs);
				this.#closeRequest(id, nowMs);
				return undefined;
			}

			case MILESTONES.refused:
			case MILESTONES.failed: {
				if (!openRequest.isOriginGiven && openRequest.firstAtMs === undefined) {
					this.#origins.delete(id);
				}

				this.#closeRequest(id, nowMs);
				return undefined;
			}
		}
	}

	#recordFirstEvent(id: string, openRequest: OpenRequest, nowMs: number): void {
		const runner = this.#engines.get(openRequest.runner ?? '');
		runner?.completePrefill(id, nowMs);
		runner?.recordFirstEvent(id, nowMs);
		openRequest.firstAtMs = nowMs;
		if (openRequest.transferredAtMs !== undefined) {
			runner?.speed.recordHandoff(nowMs - openRequest.transferredAtMs);
		}
	}

	#recordSuccess({runner, firstAtMs}: OpenRequest, nowMs: number): void {
		const engine = this.#engines.get(runner ?? '');
		engine?.recordOutcome(false, nowMs);
		if (firstAtMs !== undefined) {
			engine?.speed.recordDecode(nowMs - firstAtMs);
		}
	}

	#getSpeed(service: string): PoolSpeed {
		const speed = this.#speeds.get(service) ?? new PoolSpeed();
		this.#speeds.set(service, speed);
		return speed;
	}

	#suspect(server: string, isFailure: boolean, nowMs: number): void {
		const engine = this.#engines.get(server);
		engine?.suspect(nowMs + (isFailure ? FAILURE_SUSPICION_MS : REFUSAL_SUSPICION_MS), nowMs);
		if (isFailure) {
			engine?.recordOutcome(true, nowMs);
		}
	}

	#assign(request: PlacementRequest, {reader, runner, expectedRunner, plan, firstEventMs}: EngineSelection, {isLate, isOriginGiven}: AssignmentFlags, nowMs: number): PlacementDecision {
		const engine = reader ?? runner!;
		this.#openRequests.set(request.id, {
			request, expiresMs: nowMs + request.patienceMs + EXPIRY_GRACE_MS, isOriginGiven, reader: reader?.info.server, runner: runner?.info.server, ...(!runner && {reserved: expectedRunner}),
		});
		for (const charged of [reader, expectedRunner]) {
			this.#consume(charged, nowMs);
		}

		const {workMs, fetchMs, cachedTokens, source, isHomeGuess = false} = plan;
		engine.startPrefill(request.id, toRequestSize(request), {
			workMs, fetchMs, cachedTokens, uncachedTokens: Math.max(1, request.promptTokens - cachedTokens), priority: isLate ? LATE_PRIORITY : request.priority, source, isHomeGuess,
		}, nowMs);
		runner?.startRun(request.id, toRequestSize(request), nowMs + firstEventMs);
		if (runner) {
			this.recordOrigin(request.id, runner.info.software, nowMs);
		}

		return {
			type: 'assignment',
			id: request.id,
			reader: reader?.info.server,
			runner: runner?.info.server,
			source: source?.info.server,
			cachedTokens: plan.cachedTokens,
			expectedMs: Math.round(firstEventMs),
			isLate,
			...describeOrigin(request),
		};
	}

	#assignRunner(openRequest: OpenRequest, request: PlacementRequest, nowMs: number): PlacementDecision {
		const reserved = openRequest.reserved?.info.server;
		const atLimit = this.#listAtLimit(request, nowMs).filter(({server}) => server !== reserved);
		this.#refundReserved(openRequest, nowMs);
		const found = this.#selector.findRunner(excludeEngines(request, atLimit), this.#engines.get(openRequest.reader ?? ''), {nowMs, prefilledMs: 0});
		if (!found) {
			return this.#rejectWithoutEngine(request, atLimit, nowMs);
		}

		this.#consume(found.engine, nowMs);
		openRequest.runner = found.engine.info.server;
		openRequest.transferredAtMs = nowMs + found.startMs;
		found.engine.recordHandoff(nowMs);
		found.engine.startRun(request.id, toRequestSize(request), nowMs + found.delayMs + found.engine.speed.handoffMs);
		this.recordOrigin(request.id, found.engine.info.software, nowMs);
		return {
			type: 'assignment', id: request.id, runner: openRequest.runner, ...describeOrigin(request),
		};
	}

	/** Adds the software version that started the stream of a resumed request; undefined if that is not known. */
	#resolveOrigin(request: PlacementRequest, nowMs: number): PlacementRequest | undefined {
		const {resumption, service} = request;
		if (!resumption) {
			return request;
		}

		const software = resumption.software ?? this.findOrigin(resumption.attempt ?? '', nowMs) ?? this.#softwareVersions.findOnly(service, nowMs);
		return software === undefined ? undefined : {...request, resumption: {...resumption, software}};
	}

	#consume(engine: EngineState | undefined, nowMs: number): void {
		if (engine) {
			this.#limiter?.consume(engine.info, nowMs);
		}
	}

	#refundReserved(openRequest: OpenRequest | undefined, nowMs: number): void {
		if (openRequest?.reserved) {
			this.#limiter?.refund(openRequest.reserved.info, nowMs);
			delete openRequest.reserved;
		}
	}

	#recordDemand({service, priority}: PlacementRequest, nowMs: number): void {
		for (const {info} of this.#engines.values()) {
			if (info.service === service) {
				this.#limiter?.recordDemand(info, priority, nowMs);
			}
		}
	}

	/** Lists the engines of the service whose rate limits allow no request of this priority now. */
	#listAtLimit({service, priority}: PlacementRequest, nowMs: number): EngineInfo[] {
		const infos = [...this.#engines.values()].map(({info}) => info);
		return infos.filter(info => info.service === service && (this.#limiter?.waitMs(info, priority, nowMs) ?? 0) > 0);
	}

	#rejectWithoutEngine(request: PlacementRequest, atLimit: readonly EngineInfo[], nowMs: number): PlacementDecision {
		const {resumption} = request;
		const runners = atLimit.filter(({role, software}) => role !== ENGINE_ROLES.prefill && (!resumption || software === resumption.software));
		if (runners.length === 0 && resumption) {
			return reject(request, `no decoding engine has software version ${resumption.software ?? ''}`, NO_ENGINE_RETRY_MS);
		}

		return runners.length === 0
			? reject(request, 'no engine makes tokens', NO_ENGINE_RETRY_MS)
			: reject(request, 'all decoding engines are at their rate limits', Math.max(MIN_RETRY_AFTER_MS, this.#limiter!.planRetryAfterMs(runners, nowMs)));
	}

	#closeRequest(id: string, nowMs: number): void {
		const openRequest = this.#openRequests.get(id);
		this.#refundReserved(openRequest, nowMs);
		this.#openRequests.delete(id);
		for (const server of [openRequest?.reader, openRequest?.runner]) {
			this.#engines.get(server ?? '')?.endRequest(id, nowMs);
		}
	}

	#expireRequests(nowMs: number): void {
		for (const [id, openRequest] of this.#openRequests) {
			if (openRequest.expiresMs < nowMs) {
				this.#closeRequest(id, nowMs);
			}
		}
	}
}

function hasOrigin({resumption}: PlacementRequest): boolean {
	return resumption?.software !== undefined;
}

function rejectUnknownOrigin(request: PlacementRequest): PlacementDecision {
	return {
		type: 'rejection', id: request.id, reason: 'the software version that started the stream is unknown', retryAfterMs: NO_ENGINE_RETRY_MS, isOriginUnknown: true,
	};
}

function reject(request: PlacementRequest, reason: string, retryAfterMs: number): PlacementDecision {
	return {
		type: 'rejection', id: request.id, reason, retryAfterMs, ...describeOrigin(request),
	};
}

/** Tells the entry host the version that was resolved: it may know other versions of the same engines. */
function describeOrigin({resumption}: PlacementRequest): Pick<PlacementDecision, 'software'> {
	return resumption?.software === undefined ? {} : {software: resumption.software};
}

function excludeEngines(request: PlacementRequest, engines: readonly EngineInfo[]): PlacementRequest {
	return engines.length === 0 ? request : {...request, excluded: [...request.excluded, ...engines.map(({server}) => server)]};
}

function toRequestSize({parts, promptTokens, outputTokens}: RequestSize): RequestSize {
	return {parts, promptTokens, outputTokens};
}
