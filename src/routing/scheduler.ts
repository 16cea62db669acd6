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
import {
	DEFAULT_RESOURCE_WEIGHTS, estimateMoveCostMs, estimateSendCostMs, type RequestOrigin, type ResourceWeights,
} from './cost.js';
import {EngineState, type EngineInfo, type RequestSize} from './engine.js';
import type {PromptPart} from './kvcache.js';
import {
	estimateTransferMs, listFetchSources, planPrefill, type FetchSource, type PrefillPlan,
} from './prefill.js';
import {PoolSpeed} from './speed.js';

/** A streamed request to be placed. */
export type PlacementRequest = RequestOrigin & {
	readonly id: string;
	readonly service: string;
	readonly parts: readonly PromptPart[];
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Remaining time until the caller gives up, milliseconds. */
	readonly patienceMs: number;
	/** Engines that must not be used for this request. */
	readonly excluded: readonly string[];
};

/** What a scheduler needs to know about a request that another scheduler placed. */
export type ObservedRequest = Pick<PlacementRequest, 'id' | 'service' | 'parts' | 'promptTokens' | 'outputTokens' | 'patienceMs'>;

/** Where a request runs, or why it is rejected. */
export type PlacementDecision
	= | {
		readonly type: 'assignment';
		readonly id: string;
		/** Engine that prefills the prompt for the runner; absent if the runner prefills it. */
		readonly reader?: string;
		/** Engine from which the prefilling engine fetches shared parts. */
		readonly source?: string;
		/** Prompt tokens that need not be prefilled. */
		readonly cachedTokens?: number;
		/** Expected time until the first event, milliseconds. */
		readonly expectedMs?: number;
		/**
		 * Whether the request will miss its objective and is therefore scheduled behind requests that can meet theirs.
		 */
		readonly isLate?: boolean;
		/** Engine that decodes; absent until the reader has completed the prefill. */
		readonly runner?: string;
	}
	| {readonly type: 'rejection'; readonly id: string; readonly reason: string; readonly retryAfterMs: number};

/** Progress of a request, as reported to the scheduler that placed it. */
export const MILESTONES = {
	/** The reader has completed the prefill. */
	read: 'read',
	/** The first event has arrived. */
	first: 'first',
	done: 'done',
	/** An engine stated that it did not run the request. */
	refused: 'refused',
	/** An engine sent no response or an incomplete one, or the caller has disconnected. */
	failed: 'failed',
} as const;
export type MilestoneName = keyof typeof MILESTONES;

/** What is reported with a milestone. */
export type MilestoneDetails = {
	/** Engine that reached the milestone. */
	readonly server?: string | undefined;
	/** Engines to which the entry host has an idle connection now; absent if that has not changed. */
	readonly connected?: readonly string[] | undefined;
};

/** Priority of requests that will be late: behind all others. */
export const LATE_PRIORITY = 9;
/** Network latency to another data centre, milliseconds. */
const CROSS_DATA_CENTRE_MS = 2;
/**
 * A prefill at a decode engine occupies it instead of decoding, and delays all its running requests; this is the weight of
 * each of them in the cost.
 */
const INTERFERENCE_WEIGHT = 0.02;
/** Weight of the delay that a prompt causes to each less urgent prompt that it overtakes. */
const OVERTAKING_WEIGHT = 0.25;
/** Failure rate that healthy engines reach occasionally because of lost responses or reset connections. */
const FAILURE_TOLERANCE = 0.3;
/** Cost of a failed request, milliseconds: about the time that its caller would have waited. */
const FAILURE_COST_MS = 4000;
/** How long an engine that failed a request is avoided, milliseconds. */
const FAILURE_SUSPICION_MS = 1500;
/** How long an engine that refused a request is avoided, milliseconds: it is full or is changing its role. */
const REFUSAL_SUSPICION_MS = 300;
/** How long a request is kept after its caller has given up, milliseconds. */
const EXPIRY_GRACE_MS = 2000;
/** Cost of placing another request at a full engine, milliseconds: about the duration of a short response. */
const FULL_ENGINE_COST_MS = 400;
/** Share of the objective beyond which a prompt's prefill time alone makes it late, whatever the queue. */
const LARGE_PROMPT_SHARE = 0.8;
/** Prefills that take less than this share of the objective are not deferred, since they hardly delay others. */
const MIN_DEFERRABLE_SHARE = 1 / 12;
const MIN_RETRY_AFTER_MS = 200;
/** Retry time if no engine is available, milliseconds: engines announce themselves about once a second. */
const NO_ENGINE_RETRY_MS = 1000;

/** A request that was placed and has not ended. */
type OpenRequest = {
	/** Undefined if another scheduler placed it. */
	readonly request: PlacementRequest | undefined;
	readonly expiresMs: number;
	reader: string | undefined;
	runner: string | undefined;
	/** When the runner should have the KV cache from the reader and be free. */
	transferredAtMs?: number;
	/** When the first event came. */
	firstAtMs?: number;
};

/** The prefill of a request at one engine. */
type PrefillOption = {
	readonly engine: EngineState;
	readonly plan: PrefillPlan;
	/** Time until the prefill is completed. */
	readonly prefilledMs: number;
	/** `prefilledMs` plus the cost to other requests, of the resources used and of the risk of a failure. */
	readonly costMs: number;
};

/** An engine that would decode a request after a handoff. */
type RunnerOption = {
	readonly engine: EngineState;
	/** Time from the end of the prefill until the engine has the KV cache and is free. */
	readonly startMs: number;
	/** `startMs` plus the time that decoding there adds for the request and those in the same batch. */
	readonly delayMs: number;
	/** `delayMs` plus the cost of the resources used. */
	readonly costMs: number;
};

/** What the options for one placement are evaluated with. */
type Evaluation = {
	readonly request: PlacementRequest;
	readonly fetchSources: readonly FetchSource[];
	readonly priority: number;
	readonly nowMs: number;
};

/** The engines for a request: a reader, or a runner that also prefills. */
type EngineSelection = {
	/** Engine that prefills for a runner that is chosen later; undefined if the runner prefills itself. */
	readonly reader: EngineState | undefined;
	readonly runner: EngineState | undefined;
	readonly plan: PrefillPlan;
	/** Time until the first event. */
	readonly firstEventMs: number;
};

/** Schedules the requests of one or more pools. */
export class Scheduler {
	readonly #engines = new Map<string, EngineState>();
	readonly #openRequests = new Map<string, OpenRequest>();
	readonly #speeds = new Map<string, PoolSpeed>();
	readonly #weights: ResourceWeights;

	constructor(weights = DEFAULT_RESOURCE_WEIGHTS) {
		this.#weights = weights;
	}

	/** Replaces the set of engines; keeps the state of those whose incarnation is unchanged. */
	updateEngines(engines: readonly EngineInfo[]): void {
		const names = new Set(engines.map(({server}) => server));
		for (const server of this.#engines.keys()) {
			if (!names.has(server)) {
				this.#engines.delete(server);
			}
		}

		for (const info of engines) {
			const state = this.#engines.get(info.server);
			if (state?.info.incarnation === info.incarnation) {
				state.info = info;
			} else {
				this.#engines.set(info.server, new EngineState(info, this.#getSpeed(info.service)));
			}
		}
	}

	/** Number of requests that were placed and have not ended. */
	get openCount(): number {
		return this.#openRequests.size;
	}

	/** Places a new request, or again one whose engine failed. */
	place(request: PlacementRequest, nowMs: number): PlacementDecision {
		this.#expireRequests(nowMs);
		this.#closeRequest(request.id, nowMs);
		const initial = this.#selectEngines(request, nowMs, false);
		if (!initial) {
			return reject(request, 'no engine makes tokens', NO_ENGINE_RETRY_MS);
		}

		// A request that queueing has made late is scheduled behind those that can still meet their objective. A prompt
		// that is late by its size alone keeps its priority, since it would starve otherwise; so does a short one, since
		// it hardly delays others.
		const {workMs} = initial.plan;
		const isDeferrable = workMs > request.objectiveMs * MIN_DEFERRABLE_SHARE && workMs < request.objectiveMs * LARGE_PROMPT_SHARE;
		const isLate = isDeferrable && initial.firstEventMs > request.objectiveMs;
		const selection = isLate ? this.#selectEngines(request, nowMs, true) ?? initial : initial;
		if (selection.firstEventMs > request.patienceMs) {
			const reason = `the first event would come in ${Math.round(selection.firstEventMs)} ms, its caller waits ${Math.round(request.patienceMs)} ms`;
			return reject(request, reason, Math.max(MIN_RETRY_AFTER_MS, selection.firstEventMs - request.objectiveMs));
		}

		return this.#assign(request, selection, isLate, nowMs);
	}

	/** Records another scheduler's placement, so that this one can take over if the other fails. */
	recordPlacement(request: ObservedRequest, reader: string | undefined, runner: string, nowMs: number): void {
		this.#closeRequest(request.id, nowMs);
		const openRequest: OpenRequest = {
			request: undefined, expiresMs: nowMs + request.patienceMs + EXPIRY_GRACE_MS, reader, runner,
		};
		this.#openRequests.set(request.id, openRequest);
		this.#engines.get(reader ?? '')?.recordCached(request.parts);
		this.#engines.get(runner)?.startRun(request.id, toRequestSize(request), undefined);
	}

	/** Chooses the runner of a request whose prefill was placed by another scheduler. */
	chooseRunner(request: PlacementRequest, reader: string, nowMs: number): PlacementDecision {
		this.#closeRequest(request.id, nowMs);
		const openRequest: OpenRequest = {
			request, expiresMs: nowMs + request.patienceMs + EXPIRY_GRACE_MS, reader, runner: undefined,
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

	/** Selects the engines with the lowest cost; undefined if no engine decodes. */
	#selectEngines(request: PlacementRequest, nowMs: number, isLate: boolean): EngineSelection | undefined {
		const healthyEngines = this.#listEngines(request).filter(engine => !engine.isSuspected(nowMs));
		const prefillEngines = healthyEngines.filter(({info}) => info.role === ENGINE_ROLES.prefill);
		const runners = this.#listRunners(request, nowMs);
		const evaluation: Evaluation = {
			request, fetchSources: listFetchSources(healthyEngines, request), priority: isLate ? LATE_PRIORITY : request.priority, nowMs,
		};
		const direct = findCheapest(runners.map(engine => this.#evaluateDirect(engine, evaluation)));
		if (!direct) {
			return undefined;
		}

		const separate = findCheapest(prefillEngines.map(engine => this.#evaluateReader(engine, evaluation)));
		const {handoffMs} = direct.engine.speed;
		const continuation = separate && this.#findRunner(request, separate.engine, {nowMs, prefilledMs: separate.prefilledMs});
		if (separate && continuation && separate.costMs + handoffMs + continuation.costMs < direct.costMs) {
			return {
				reader: separate.engine, runner: undefined, plan: separate.plan, firstEventMs: separate.prefilledMs + continuation.startMs + handoffMs,
			};
		}

		return {
			reader: undefined, runner: direct.engine, plan: direct.plan, firstEventMs: direct.prefilledMs,
		};
	}

	#assign(request: PlacementRequest, {reader, runner, plan, firstEventMs}: EngineSelection, isLate: boolean, nowMs: number): PlacementDecision {
		const engine = reader ?? runner!;
		this.#openRequests.set(request.id, {
			request, expiresMs: nowMs + request.patienceMs + EXPIRY_GRACE_MS, reader: reader?.info.server, runner: runner?.info.server,
		});
		const {workMs, fetchMs, cachedTokens} = plan;
		engine.startPrefill(request.id, toRequestSize(request), {
			workMs, fetchMs, cachedTokens, uncachedTokens: Math.max(1, request.promptTokens - cachedTokens), priority: isLate ? LATE_PRIORITY : request.priority,
		}, nowMs);
		runner?.startRun(request.id, toRequestSize(request), nowMs + firstEventMs);
		return {
			type: 'assignment',
			id: request.id,
			reader: reader?.info.server,
			runner: runner?.info.server,
			source: plan.source,
			cachedTokens: plan.cachedTokens,
			expectedMs: Math.round(firstEventMs),
			isLate,
		};
	}

	#assignRunner(openRequest: OpenRequest, request: PlacementRequest, nowMs: number): PlacementDecision {
		const found = this.#findRunner(request, this.#engines.get(openRequest.reader ?? ''), {nowMs, prefilledMs: 0});
		if (!found) {
			return reject(request, 'no engine makes tokens', NO_ENGINE_RETRY_MS);
		}

		openRequest.runner = found.engine.info.server;
		openRequest.transferredAtMs = nowMs + found.startMs;
		found.engine.recordHandoff(nowMs);
		found.engine.startRun(request.id, toRequestSize(request), nowMs + found.delayMs + found.engine.speed.handoffMs);
		return {type: 'assignment', id: request.id, runner: openRequest.runner};
	}

	/**
	 * Finds the runner with the lowest cost for a request that is prefilled at a reader; undefined if no engine decodes.
	 *
	 * `prefilledMs` is the time until the prefill is completed.
	 */
	#findRunner(request: PlacementRequest, reader: EngineState | undefined, {nowMs, prefilledMs}: {nowMs: number; prefilledMs: number}): RunnerOption | undefined {
		let cheapest: RunnerOption | undefined;
		for (const engine of this.#listRunners(request, nowMs)) {
			const {dataCentre, kvBytesPerToken} = engine.info;
			const transferMs = estimateTransferMs(request.promptTokens, reader?.info.dataCentre, engine.info);
			// The engine completes the prefills in its queue during the separate prefill and the transfer.
			const startMs = Math.max(transferMs, engine.waitMs(request.priority, nowMs) - prefilledMs);
			const delayMs = this.#estimateRunCostMs(engine, request, nowMs) + startMs;
			const resourceMs = estimateSendCostMs(request, engine.info, this.#weights) + estimateMoveCostMs({bytes: request.promptTokens * kvBytesPerToken, from: reader?.info.dataCentre, to: dataCentre}, request.objectiveMs, this.#weights);
			if (!cheapest || delayMs + resourceMs < cheapest.costMs) {
				cheapest = {
					engine, startMs, delayMs, costMs: delayMs + resourceMs,
				};
			}
		}

		return cheapest;
	}

	/** Lists engines that decode; suspected ones only if there are no others. */
	#listRunners(request: PlacementRequest, nowMs: number): EngineState[] {
		const runners = this.#listEngines(request).filter(engine => engine.info.role !== ENGINE_ROLES.prefill);
		const healthy = runners.filter(engine => !engine.isSuspected(nowMs));
		return healthy.length > 0 ? healthy : runners;
	}

	#listEngines(request: PlacementRequest): EngineState[] {
		return [...this.#engines.values()].filter(({info}) => info.service === request.service && !request.excluded.includes(info.server));
	}

	/** Evaluates an engine that would prefill for a runner. */
	#evaluateReader(engine: EngineState, evaluation: Evaluation): PrefillOption {
		const option = this.#evaluatePrefill(engine, evaluation);
		return {...option, costMs: option.costMs + estimateFailureCostMs(engine, evaluation.nowMs)};
	}

	/** Evaluates an engine that would prefill and decode. */
	#evaluateDirect(engine: EngineState, evaluation: Evaluation): PrefillOption {
		const option = this.#evaluatePrefill(engine, evaluation);
		const interferenceMs = option.plan.workMs * (1 + (engine.runningCount * INTERFERENCE_WEIGHT));
		return {...option, costMs: option.costMs + interferenceMs + this.#estimateRunCostMs(engine, evaluation.request, evaluation.nowMs)};
	}

	#evaluatePrefill(engine: EngineState, {request, fetchSources, priority, nowMs}: Evaluation): PrefillOption {
		const plan = planPrefill(engine, request, fetchSources, this.#weights);
		const networkMs = engine.info.dataCentre === request.dataCentre ? 0 : CROSS_DATA_CENTRE_MS;
		const prefilledMs = engine.overheadMs + engine.waitMs(priority, nowMs) + plan.workMs + networkMs;
		const overtakingMs = engine.countLowerPriority(priority, nowMs) * plan.workMs * OVERTAKING_WEIGHT;
		const displacementMs = engine.displacementMs(plan.workMs, nowMs);
		const resourceMs = plan.moveCostMs + estimateSendCostMs(request, engine.info, this.#weights);
		return {
			engine, plan, prefilledMs, costMs: prefilledMs + plan.evictionCostMs + overtakingMs + displacementMs + resourceMs,
		};
	}

	/** Cost of running a request at an engine, for it and for the requests in the same batch, milliseconds. */
	#estimateRunCostMs(engine: EngineState, request: PlacementRequest, nowMs: number): number {
		const {slots, kvTokens} = engine.info;
		const neededTokens = request.promptTokens + request.outputTokens;
		const isFull = engine.runningCount >= slots || engine.contextTokens + neededTokens > kvTokens;
		const excess = Math.max(0, engine.runningCount + 1 - slots) + Math.max(0, (engine.contextTokens + neededTokens - kvTokens) / neededTokens);
		const waitMs = isFull ? FULL_ENGINE_COST_MS * (1 + excess) : 0;
		const load = Math.max((engine.runningCount + 1) / slots, (engine.contextTokens + neededTokens) / kvTokens);
		return (load * engine.speed.decodeMs) + waitMs + estimateFailureCostMs(engine, nowMs);
	}

	#closeRequest(id: string, nowMs: number): void {
		const openRequest = this.#openRequests.get(id);
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

/** Expected cost of a failure at an engine whose failure rate exceeds the tolerance, milliseconds. */
function estimateFailureCostMs(engine: EngineState, nowMs: number): number {
	return Math.max(0, engine.failureRate(nowMs) - FAILURE_TOLERANCE) * FAILURE_COST_MS;
}

function findCheapest(options: readonly PrefillOption[]): PrefillOption | undefined {
	let cheapest: PrefillOption | undefined;
	for (const option of options) {
		if (!cheapest || option.costMs < cheapest.costMs) {
			cheapest = option;
		}
	}

	return cheapest;
}

function reject(request: PlacementRequest, reason: string, retryAfterMs: number): PlacementDecision {
	return {
		type: 'rejection', id: request.id, reason, retryAfterMs,
	};
}

function toRequestSize({parts, promptTokens, outputTokens}: RequestSize): RequestSize {
	return {parts, promptTokens, outputTokens};
}
