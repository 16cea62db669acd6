/**
 * Selects the engines for a request: the cost of each option for the request and for others.
 *
 * @module
 */
import {ENGINE_ROLES} from './choice.js';
import {
	estimateMoveCostMs, estimateSendCostMs, type ResourceWeights,
} from './cost.js';
import type {EngineState} from './engine.js';
import {
	estimateTransferMs, listFetchSources, MIN_FETCH_TOKENS, planPrefill, type PrefillPlan, type ReuseSituation,
} from './prefill.js';
import type {PlacementRequest} from './request.js';
import {
	BeginningDemand, estimateHomeGainMs, hashBeginning, IS_REUSE_WEIGHED, rankHome,
} from './reuse.js';

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
/** Cost of placing another request at a full engine, milliseconds: about the duration of a short response. */
const FULL_ENGINE_COST_MS = 400;

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
export type RunnerOption = {
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
	readonly reuse: ReuseSituation;
	readonly priority: number;
	readonly nowMs: number;
};

/** The engines for a request: a reader, or a runner that also prefills. */
export type EngineSelection = {
	/** Engine that prefills for a runner that is chosen later; undefined if the runner prefills itself. */
	readonly reader: EngineState | undefined;
	readonly runner: EngineState | undefined;
	/** The runner, or the engine that would be chosen as runner now. */
	readonly expectedRunner: EngineState;
	readonly plan: PrefillPlan;
	/** Time until the first event. */
	readonly firstEventMs: number;
};

/** Selects engines by their cost. */
export class EngineSelector {
	readonly #engines: ReadonlyMap<string, EngineState>;
	readonly #weights: ResourceWeights;
	readonly #isReuseWeighed: boolean;
	readonly #demand = new BeginningDemand();

	/** @param engines - All engines that the scheduler knows, by server; may change. */
	constructor(engines: ReadonlyMap<string, EngineState>, weights: ResourceWeights, isReuseWeighed = IS_REUSE_WEIGHED) {
		this.#engines = engines;
		this.#weights = weights;
		this.#isReuseWeighed = isReuseWeighed;
	}

	/** Records that a request was received. */
	recordDemand({parts}: PlacementRequest, nowMs: number): void {
		this.#demand.record(parts, nowMs);
	}

	/** Selects the engines with the lowest cost; undefined if no engine decodes. */
	select(request: PlacementRequest, priority: number, nowMs: number): EngineSelection | undefined {
		const healthyEngines = this.#listEngines(request).filter(engine => !engine.isSuspected(nowMs));
		const prefillEngines = healthyEngines.filter(({info}) => info.role === ENGINE_ROLES.prefill);
		const runners = this.#listRunners(request, nowMs);
		const sources = listFetchSources(healthyEngines, request);
		const home = this.#isReuseWeighed && sources.length === 0 ? findHome(prefillEngines.length > 0 ? prefillEngines : runners, request) : undefined;
		const copyWeight = this.#isReuseWeighed && sources.length > 0 ? this.#demand.weighCopy(request.parts, nowMs) : 1;
		const evaluation: Evaluation = {
			request, reuse: {sources, home, copyWeight}, priority, nowMs,
		};
		const direct = findCheapest(runners.map(engine => this.#evaluateDirect(engine, evaluation)));
		if (!direct) {
			return undefined;
		}

		const separate = findCheapest(prefillEngines.map(engine => this.#evaluateReader(engine, evaluation)));
		const {handoffMs} = direct.engine.speed;
		const continuation = separate && this.findRunner(request, separate.engine, {nowMs, prefilledMs: separate.prefilledMs});
		if (separate && continuation && separate.costMs + handoffMs + continuation.costMs < direct.costMs) {
			return {
				reader: separate.engine, runner: undefined, expectedRunner: continuation.engine, plan: separate.plan, firstEventMs: separate.prefilledMs + continuation.startMs + handoffMs,
			};
		}

		return {
			reader: undefined, runner: direct.engine, expectedRunner: direct.engine, plan: direct.plan, firstEventMs: direct.prefilledMs,
		};
	}

	/**
	 * Finds the runner with the lowest cost for a request that is prefilled at a reader; undefined if no engine decodes.
	 *
	 * `prefilledMs` is the time until the prefill is completed.
	 */
	findRunner(request: PlacementRequest, reader: EngineState | undefined, {nowMs, prefilledMs}: {nowMs: number; prefilledMs: number}): RunnerOption | undefined {
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

	/** Lists the engines that may serve a request. A stream is resumed only at the software version that started it. */
	#listEngines({service, excluded, resumption}: PlacementRequest): EngineState[] {
		return [...this.#engines.values()].filter(({info}) => info.service === service && !excluded.includes(info.server) && (!resumption || info.software === resumption.software));
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

	#evaluatePrefill(engine: EngineState, {request, reuse, priority, nowMs}: Evaluation): PrefillOption {
		const plan = planPrefill(engine, request, reuse, this.#weights);
		const networkMs = engine.info.dataCentre === request.dataCentre ? 0 : CROSS_DATA_CENTRE_MS;
		const prefilledMs = engine.overheadMs + engine.waitMs(priority, nowMs) + plan.workMs + networkMs;
		const overtakingMs = engine.countLowerPriority(priority, nowMs) * plan.workMs * OVERTAKING_WEIGHT;
		const displacementMs = engine.displacementMs(plan.workMs, nowMs);
		const resourceMs = plan.moveCostMs + estimateSendCostMs(request, engine.info, this.#weights);
		const homeGainMs = plan.homeSavingMs === undefined ? 0 : estimateHomeGainMs(plan.homeSavingMs, engine.utilisation(nowMs));
		return {
			engine, plan, prefilledMs, costMs: prefilledMs + plan.evictionCostMs + overtakingMs + displacementMs + resourceMs - homeGainMs,
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
}

/** Expected cost of a failure at an engine whose failure rate exceeds the tolerance, milliseconds. */
function estimateFailureCostMs(engine: EngineState, nowMs: number): number {
	return Math.max(0, engine.failureRate(nowMs) - FAILURE_TOLERANCE) * FAILURE_COST_MS;
}

/** Finds the home of the beginning that a prompt shares with others; undefined if it shares too little. */
function findHome(engines: readonly EngineState[], {parts, promptTokens}: PlacementRequest): EngineState | undefined {
	const beginningHash = hashBeginning(parts);
	if (beginningHash === undefined || promptTokens - parts.at(-1)!.tokens < MIN_FETCH_TOKENS) {
		return undefined;
	}

	let home: EngineState | undefined;
	let highestRank = Number.NEGATIVE_INFINITY;
	for (const engine of engines) {
		const rank = rankHome(engine.homeHash, beginningHash);
		if (rank > highestRank) {
			[home, highestRank] = [engine, rank];
		}
	}

	return home;
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
