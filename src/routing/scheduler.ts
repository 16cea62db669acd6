/**
 * Decides where streamed requests run: which engine reads a prompt and which engine makes the tokens.
 *
 * One placer sees every request of a pool, so it knows what each engine holds and is busy with, without asking: work
 * handed out and not yet reported back. Hosts that cannot reach it run one of their own over what they sent. A step
 * machine: time is handed in.
 *
 * @module
 */
import {ENGINE_ROLES} from './choice.js';
import {EngineState, type EngineInfo, type RequestSize} from './engine.js';
import type {PromptPart} from './kvcache.js';
import {planPrefill, estimateTransferMs, type PrefillPlan} from './prefill.js';

export type PlacementRequest = {
	readonly id: string;
	readonly service: string;
	readonly dataCentre: string;
	readonly parts: readonly PromptPart[];
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Time left until the first event is late, milliseconds. */
	readonly objectiveMs: number;
	/** Time left until the caller gives up, milliseconds. */
	readonly patienceMs: number;
	/** Engines that this request must not go to. */
	readonly excluded: readonly string[];
};

/** What a placer needs to know of a request that another one placed. */
export type ObservedRequest = Pick<PlacementRequest, 'id' | 'service' | 'parts' | 'promptTokens' | 'outputTokens' | 'patienceMs'>;

export type PlacementDecision
	= | {
		readonly type: 'assignment';
		readonly id: string;
		/** Engine that reads the prompt ahead of the run; absent if the runner reads it. */
		readonly reader?: string;
		/** Engine from which the one that reads fetches shared parts. */
		readonly source?: string;
		/** Tokens of the prompt that need not be read. */
		readonly cachedTokens?: number;
		/** Expected time until the first event, milliseconds. */
		readonly expectedMs?: number;
		/** Whether it cannot be in time any more and waits behind what can. */
		readonly isLate?: boolean;
		/** Engine that runs the request; absent until its prompt is read. */
		readonly runner?: string;
	}
	| {readonly type: 'rejection'; readonly id: string; readonly reason: string; readonly retryAfterMs: number};

export const MILESTONES = {
	/** The prompt is read. */
	read: 'read',
	/** The first event has come. */
	first: 'first',
	done: 'done',
	/** An engine stated that it did not take the request. */
	refused: 'refused',
	/** An engine did not answer, or not whole; or the caller has left. */
	failed: 'failed',
} as const;
export type MilestoneName = keyof typeof MILESTONES;

/** Urgency of what is late already: behind everything else. */
export const LATE_PRIORITY = 9;
/** Time to hand a read prompt over: two exchanges and the set-up of a transfer, milliseconds. */
const HANDOVER_MS = 8;
/** What the way to another data centre costs, milliseconds. */
const CROSSING_MS = 2;
/** A prompt that is read between the tokens of running requests delays them all: weight of each of them. */
const DISTURBANCE_WEIGHT = 0.02;
/** Weight of the delay of each less urgent prompt that waits behind. */
const BEHIND_WEIGHT = 0.25;
/** Share of failures that sound engines have now and then: a lost answer, a connection that was reset. */
const FAILURE_TOLERANCE = 0.3;
/** What a failed request costs, milliseconds: about what its caller would have waited. */
const FAILURE_MS = 4000;
/** How long an engine that failed a request is avoided, milliseconds. */
const SUSPICION_MS = 1500;
/** How long an engine that refused a request is avoided: it is full, or changes its role. */
const REFUSAL_MS = 300;
/** How long a request is remembered after its caller has given up, milliseconds. */
const FLIGHT_GRACE_MS = 2000;
/** What a full engine costs a further request, milliseconds: about the time of a short answer. */
const FULL_MS = 400;
/** Share of its objective that a prompt's own reading may take before it counts as late by its size. */
const LARGE_SHARE = 0.8;
/** Reading that holds others up by less than this is not put off, milliseconds. */
const LEAST_DELAY_MS = 50;
/** A request is refused if it would begin only after this multiple of its caller's patience: estimates may be too high. */
const HOPELESS_FACTOR = 1.2;
const LEAST_RETRY_AFTER_MS = 200;
/** When to come back if no engine is known: engines announce themselves about once a second. */
const NO_ENGINE_RETRY_MS = 1000;
/** Time from a prompt read elsewhere to the first event, milliseconds: about two exchanges, a transfer and some steps. */
const FIRST_EVENT_MS = 30;
/** The same at the engine that read it. */
const DIRECT_EVENT_MS = 10;

type Open = {
	/** Undefined if another placer decided. */
	readonly request: PlacementRequest | undefined;
	readonly expiresMs: number;
	reader: string | undefined;
	runner: string | undefined;
};

type Option = {
	readonly engine: EngineState;
	readonly plan: PrefillPlan;
	/** Time until the prompt is read. */
	readonly readMs: number;
	/** The same, with what it costs others. */
	readonly costMs: number;
};

type Choice = {
	/** Engine that reads ahead; without it the runner reads. */
	readonly reader: EngineState | undefined;
	readonly runner: EngineState | undefined;
	readonly plan: PrefillPlan;
	/** Time until the first event. */
	readonly firstMs: number;
};

/** The placer of one or more pools. */
export class Scheduler {
	readonly #engines = new Map<string, EngineState>();
	readonly #open = new Map<string, Open>();

	/** Replaces the engines to choose from; what is known of those that stay is kept. */
	updateEngines(engines: readonly EngineInfo[]): void {
		const names = new Set(engines.map(({server}) => server));
		for (const server of this.#engines.keys()) {
			if (!names.has(server)) {
				this.#engines.delete(server);
			}
		}

		for (const facts of engines) {
			const known = this.#engines.get(facts.server);
			if (known?.info.incarnation === facts.incarnation) {
				known.info = facts;
			} else {
				this.#engines.set(facts.server, new EngineState(facts));
			}
		}
	}

	/** Requests that were placed and have not ended. */
	get openCount(): number {
		return this.#open.size;
	}

	/** Decides for a new request, or again for one whose engine failed. */
	place(request: PlacementRequest, nowMs: number): PlacementDecision {
		this.#expire(nowMs);
		this.#forget(request.id, nowMs);
		const inTime = this.#choose(request, nowMs, false);
		if (!inTime) {
			return reject(request, 'no engine makes tokens', NO_ENGINE_RETRY_MS);
		}

		// What waiting has made late goes behind what can be in time. A prompt that is late by its size alone keeps its turn,
		// since it would never get one otherwise, and a short one too, since it holds nobody up.
		const {workMs} = inTime.plan;
		const mayWait = workMs > LEAST_DELAY_MS && workMs < request.objectiveMs * LARGE_SHARE;
		const isLate = mayWait && inTime.firstMs > request.objectiveMs;
		const choice = isLate ? this.#choose(request, nowMs, true) ?? inTime : inTime;
		if (choice.firstMs > request.patienceMs * HOPELESS_FACTOR) {
			const reason = `the first event would come in ${Math.round(choice.firstMs)} ms, its caller waits ${Math.round(request.patienceMs)} ms`;
			return reject(request, reason, Math.max(LEAST_RETRY_AFTER_MS, choice.firstMs - request.objectiveMs));
		}

		return this.#assign(request, choice, isLate, nowMs);
	}

	/** Notes where a request runs on another placer's word, to take over from it if need be. */
	recordPlacement(request: ObservedRequest, reader: string | undefined, runner: string, nowMs: number): void {
		this.#forget(request.id, nowMs);
		const open: Open = {
			request: undefined, expiresMs: nowMs + request.patienceMs + FLIGHT_GRACE_MS, reader, runner,
		};
		this.#open.set(request.id, open);
		this.#engines.get(reader ?? '')?.recordCached(request.parts);
		this.#engines.get(runner)?.startRun(request.id, toFlight(request), undefined);
	}

	/** Decides where a request runs whose prompt was read on another placer's word. */
	chooseRunner(request: PlacementRequest, reader: string, nowMs: number): PlacementDecision {
		this.#forget(request.id, nowMs);
		const open: Open = {
			request, expiresMs: nowMs + request.patienceMs + FLIGHT_GRACE_MS, reader, runner: undefined,
		};
		this.#open.set(request.id, open);
		return this.#assignRunner(open, request, nowMs);
	}

	/** Takes how far a request is; answers with a runner once its prompt is read. */
	recordMilestone(id: string, milestone: MilestoneName, server: string | undefined, nowMs: number): PlacementDecision | undefined {
		const open = this.#open.get(id);
		if (server !== undefined && (milestone === MILESTONES.failed || milestone === MILESTONES.refused)) {
			this.#suspect(server, milestone === MILESTONES.failed, nowMs);
		}

		if (!open) {
			return undefined;
		}

		switch (milestone) {
			case MILESTONES.read: {
				this.#engines.get(open.reader ?? '')?.completePrefill(id, nowMs);
				return open.request && this.#assignRunner(open, open.request, nowMs);
			}

			case MILESTONES.first: {
				const runner = this.#engines.get(open.runner ?? '');
				runner?.completePrefill(id, nowMs);
				runner?.recordFirstEvent(id, nowMs);
				return undefined;
			}

			case MILESTONES.done: {
				this.#engines.get(open.runner ?? '')?.recordOutcome(false, nowMs);
				this.#forget(id, nowMs);
				return undefined;
			}

			case MILESTONES.refused:
			case MILESTONES.failed: {
				this.#forget(id, nowMs);
				return undefined;
			}
		}
	}

	#suspect(server: string, isFailure: boolean, nowMs: number): void {
		const engine = this.#engines.get(server);
		engine?.suspect(nowMs + (isFailure ? SUSPICION_MS : REFUSAL_MS), nowMs);
		if (isFailure) {
			engine?.recordOutcome(true, nowMs);
		}
	}

	/** The engines that bring the first event soonest; undefined if none makes tokens. */
	#choose(request: PlacementRequest, nowMs: number, isLate: boolean): Choice | undefined {
		const holders = this.#listEngines(request).filter(engine => !engine.isSuspected(nowMs));
		const readers = holders.filter(({info: facts}) => facts.role === ENGINE_ROLES.prefill);
		const runners = this.#listRunners(request, nowMs);
		const direct = best(runners.map(engine => this.#readOption(engine, request, holders, {nowMs, isLate})));
		if (!direct) {
			return undefined;
		}

		const runCostMs = Math.min(...runners.map(engine => this.#runCostMs(engine, request, nowMs)));
		const ahead = best(readers.map(engine => this.#readOption(engine, request, holders, {nowMs, isLate})));
		if (ahead && ahead.costMs + HANDOVER_MS + runCostMs < direct.costMs) {
			return {
				reader: ahead.engine, runner: undefined, plan: ahead.plan, firstMs: ahead.readMs + HANDOVER_MS + FIRST_EVENT_MS,
			};
		}

		return {
			reader: undefined, runner: direct.engine, plan: direct.plan, firstMs: direct.readMs + DIRECT_EVENT_MS,
		};
	}

	#assign(request: PlacementRequest, {reader, runner, plan, firstMs}: Choice, isLate: boolean, nowMs: number): PlacementDecision {
		const engine = reader ?? runner!;
		this.#open.set(request.id, {
			request, expiresMs: nowMs + request.patienceMs + FLIGHT_GRACE_MS, reader: reader?.info.server, runner: runner?.info.server,
		});
		engine.startPrefill(request.id, toFlight(request), {workMs: plan.workMs, priority: isLate ? LATE_PRIORITY : request.priority}, nowMs);
		runner?.startRun(request.id, toFlight(request), nowMs + firstMs);
		return {
			type: 'assignment',
			id: request.id,
			reader: reader?.info.server,
			runner: runner?.info.server,
			source: plan.source,
			cachedTokens: plan.cachedTokens,
			expectedMs: Math.round(firstMs),
			isLate,
		};
	}

	#assignRunner(open: Open, request: PlacementRequest, nowMs: number): PlacementDecision {
		const reader = this.#engines.get(open.reader ?? '');
		let chosen: EngineState | undefined;
		let lowestMs = Number.POSITIVE_INFINITY;
		for (const engine of this.#listRunners(request, nowMs)) {
			const costMs = this.#runCostMs(engine, request, nowMs) + estimateTransferMs(request, reader?.info.dataCentre, engine.info.dataCentre);
			if (costMs < lowestMs) {
				lowestMs = costMs;
				chosen = engine;
			}
		}

		if (!chosen) {
			return reject(request, 'no engine makes tokens', NO_ENGINE_RETRY_MS);
		}

		open.runner = chosen.info.server;
		chosen.startRun(request.id, toFlight(request), nowMs + lowestMs + FIRST_EVENT_MS);
		return {type: 'assignment', id: request.id, runner: open.runner};
	}

	/** Engines that make tokens; suspected ones too if there are no others. */
	#listRunners(request: PlacementRequest, nowMs: number): EngineState[] {
		const runners = this.#listEngines(request).filter(engine => engine.info.role !== ENGINE_ROLES.prefill);
		const trusted = runners.filter(engine => !engine.isSuspected(nowMs));
		return trusted.length > 0 ? trusted : runners;
	}

	#listEngines(request: PlacementRequest): EngineState[] {
		return [...this.#engines.values()].filter(({info: facts}) => facts.service === request.service && !request.excluded.includes(facts.server));
	}

	#readOption(engine: EngineState, request: PlacementRequest, holders: readonly EngineState[], {nowMs, isLate}: {nowMs: number; isLate: boolean}): Option {
		const plan = planPrefill(engine, request, holders);
		const crossingMs = engine.info.dataCentre === request.dataCentre ? 0 : CROSSING_MS;
		const priority = isLate ? LATE_PRIORITY : request.priority;
		const readMs = engine.overheadMs + engine.waitMs(priority, nowMs) + plan.workMs + crossingMs;
		const behindMs = engine.countLowerPriority(priority, nowMs) * plan.workMs * BEHIND_WEIGHT;
		const disturbance = 1 + (engine.runningCount * DISTURBANCE_WEIGHT);
		const othersMs = engine.info.role === ENGINE_ROLES.prefill
			? failureCostMs(engine, nowMs)
			: (plan.workMs * disturbance) + this.#runCostMs(engine, request, nowMs);
		return {
			engine, plan, readMs, costMs: readMs + plan.evictionCostMs + behindMs + othersMs,
		};
	}

	/** What running a request at an engine costs it and the ones beside it, milliseconds. */
	#runCostMs(engine: EngineState, request: PlacementRequest, nowMs: number): number {
		const {slots, kvTokens} = engine.info;
		const need = request.promptTokens + request.outputTokens;
		const isFull = engine.runningCount >= slots || engine.contextTokens + need > kvTokens;
		const excess = Math.max(0, engine.runningCount + 1 - slots) + Math.max(0, (engine.contextTokens + need - kvTokens) / need);
		const waitMs = isFull ? FULL_MS * (1 + excess) : 0;
		return (engine.contextStepMs(need) * (request.outputTokens + engine.runningCount)) + waitMs + failureCostMs(engine, nowMs);
	}

	#forget(id: string, nowMs: number): void {
		const open = this.#open.get(id);
		this.#open.delete(id);
		for (const server of [open?.reader, open?.runner]) {
			this.#engines.get(server ?? '')?.endRequest(id, nowMs);
		}
	}

	#expire(nowMs: number): void {
		for (const [id, open] of this.#open) {
			if (open.expiresMs < nowMs) {
				this.#forget(id, nowMs);
			}
		}
	}
}

/** What it costs that an engine is likely to fail a request, milliseconds. */
function failureCostMs(engine: EngineState, nowMs: number): number {
	return Math.max(0, engine.failureRate(nowMs) - FAILURE_TOLERANCE) * FAILURE_MS;
}

function best(options: readonly Option[]): Option | undefined {
	let found: Option | undefined;
	for (const option of options) {
		if (!found || option.costMs < found.costMs) {
			found = option;
		}
	}

	return found;
}

function reject(request: PlacementRequest, reason: string, retryAfterMs: number): PlacementDecision {
	return {
		type: 'rejection', id: request.id, reason, retryAfterMs,
	};
}

function toFlight({parts, promptTokens, outputTokens}: RequestSize): RequestSize {
	return {parts, promptTokens, outputTokens};
}
