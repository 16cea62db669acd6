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
import {
	EngineState, estimateReadMs, type EngineFacts, type Flight,
} from './enginestate.js';
import type {PromptPart} from './parts.js';

export type PlacingRequest = {
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

export type PlacingDecision
	= | {
		readonly type: 'assignment';
		readonly id: string;
		/** Engine that reads the prompt ahead of the run; absent if the runner reads it. */
		readonly reader?: string;
		/** Engine from which the one that reads fetches shared parts. */
		readonly source?: string;
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

/** Time to hand a read prompt over: two exchanges and the set-up of a transfer, milliseconds. */
const HANDOVER_MS = 8;
/** Transfer of a thousand tokens of KV cache between two engines, milliseconds. */
const TRANSFER_MS_PER_THOUSAND = 0.7;
/** What another data centre costs, milliseconds: the way itself, and a transfer that takes twice as long. */
const CROSSING_MS = 2;
const CROSSING_TRANSFER_FACTOR = 2;
/**
 * Share of the reading time of shared tokens that it costs others when an engine comes to hold them: they push out
 * parts that must then be read again.
 */
const EVICTION_WEIGHT = 0.7;
/** A prompt that is read between the tokens of running requests delays all of them. */
const DISTURBANCE_WEIGHT = 1;
/** How long an engine that failed a request is avoided, milliseconds. */
const SUSPICION_MS = 1500;
/** How long an engine that refused a request is avoided: it is full, or changes its role. */
const REFUSAL_MS = 300;
/** Shared tokens from which fetching them pays for its set-up. */
const LEAST_FETCH_TOKENS = 512;
/** Time that a fetch of shared parts takes beside its tokens, milliseconds. */
const FETCH_MS = 5;
/** How long a request is remembered after its caller has given up, milliseconds. */
const FLIGHT_GRACE_MS = 2000;
/** What a full engine costs a further request, milliseconds: about the time of a short answer. */
const FULL_MS = 400;
/** Context that a step handles in addition per thousand tokens, milliseconds. */
const STEP_MS_PER_THOUSAND = 0.0262;
const LEAST_RETRY_AFTER_MS = 200;

type Open = {
	readonly request: PlacingRequest;
	readonly expiresMs: number;
	reader: string | undefined;
	runner: string | undefined;
};

type Option = {
	readonly engine: EngineState;
	readonly costMs: number;
	readonly plan: ReadPlan;
};

/** How an engine would read a prompt. */
type ReadPlan = {
	readonly workMs: number;
	/** What it costs others that the engine comes to hold more. */
	readonly evictionMs: number;
	/** Engine to fetch shared parts from. */
	readonly source: string | undefined;
};

/** The placer of one or more pools. */
export class Placer {
	readonly #engines = new Map<string, EngineState>();
	readonly #open = new Map<string, Open>();

	/** Replaces the engines to choose from; what is known of those that stay is kept. */
	updateEngines(engines: readonly EngineFacts[]): void {
		const names = new Set(engines.map(({server}) => server));
		for (const server of this.#engines.keys()) {
			if (!names.has(server)) {
				this.#engines.delete(server);
			}
		}

		for (const facts of engines) {
			const known = this.#engines.get(facts.server);
			if (known?.facts.incarnation === facts.incarnation) {
				known.facts = facts;
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
	offer(request: PlacingRequest, nowMs: number): PlacingDecision {
		this.#expire(nowMs);
		this.#forget(request.id);
		const readers = this.#listReaders(request, nowMs);
		const runners = this.#listRunners(request, nowMs);
		const holders = this.#listEngines(request).filter(engine => !engine.isSuspected(nowMs));
		const direct = best(runners.map(engine => this.#directOption(engine, request, holders, nowMs)));
		if (!direct) {
			return reject(request, 'no engine makes tokens', LEAST_RETRY_AFTER_MS);
		}

		const ahead = best(readers.map(engine => this.#readOption(engine, request, holders, nowMs)));
		const runCostMs = Math.min(...runners.map(engine => this.#runCostMs(engine, request)));
		const aheadMs = ahead && ahead.costMs + HANDOVER_MS + runCostMs;
		const open: Open = {
			request, expiresMs: nowMs + request.patienceMs + FLIGHT_GRACE_MS, reader: undefined, runner: undefined,
		};
		this.#open.set(request.id, open);
		if (ahead && aheadMs !== undefined && aheadMs < direct.costMs) {
			open.reader = ahead.engine.facts.server;
			ahead.engine.beginRead(request.id, toFlight(request), ahead.plan.workMs, nowMs);
			return {
				type: 'assignment', id: request.id, reader: open.reader, source: ahead.plan.source,
			};
		}

		open.runner = direct.engine.facts.server;
		direct.engine.beginRead(request.id, toFlight(request), direct.plan.workMs, nowMs);
		direct.engine.beginRun(request.id, toFlight(request));
		return {
			type: 'assignment', id: request.id, runner: open.runner, source: direct.plan.source,
		};
	}

	/** Decides where a request runs whose prompt was read on another placer's word. */
	goOn(request: PlacingRequest, reader: string, nowMs: number): PlacingDecision {
		this.#forget(request.id);
		const open: Open = {
			request, expiresMs: nowMs + request.patienceMs + FLIGHT_GRACE_MS, reader, runner: undefined,
		};
		this.#open.set(request.id, open);
		return this.#assignRunner(open, nowMs);
	}

	/** Takes how far a request is; answers with a runner once its prompt is read. */
	note(id: string, milestone: MilestoneName, server: string | undefined, nowMs: number): PlacingDecision | undefined {
		const open = this.#open.get(id);
		if (server !== undefined && (milestone === MILESTONES.failed || milestone === MILESTONES.refused)) {
			this.#engines.get(server)?.suspect(nowMs + (milestone === MILESTONES.failed ? SUSPICION_MS : REFUSAL_MS));
		}

		if (!open) {
			return undefined;
		}

		switch (milestone) {
			case MILESTONES.read: {
				this.#engines.get(open.reader ?? '')?.endRead(id, nowMs);
				return this.#assignRunner(open, nowMs);
			}

			case MILESTONES.first: {
				this.#engines.get(open.runner ?? '')?.endRead(id, nowMs);
				return undefined;
			}

			case MILESTONES.done:
			case MILESTONES.refused:
			case MILESTONES.failed: {
				this.#forget(id);
				return undefined;
			}
		}
	}

	#assignRunner(open: Open, nowMs: number): PlacingDecision {
		const {request} = open;
		const reader = this.#engines.get(open.reader ?? '');
		const runners = this.#listRunners(request, nowMs);
		const chosen = best(runners.map(engine => ({
			engine,
			plan: NOTHING_TO_READ,
			costMs: this.#runCostMs(engine, request) + transferMs(request, reader?.facts.dataCentre, engine.facts.dataCentre),
		})));
		if (!chosen) {
			return reject(request, 'no engine makes tokens', LEAST_RETRY_AFTER_MS);
		}

		open.runner = chosen.engine.facts.server;
		chosen.engine.beginRun(request.id, toFlight(request));
		return {type: 'assignment', id: request.id, runner: open.runner};
	}

	#listReaders(request: PlacingRequest, nowMs: number): EngineState[] {
		const readers = this.#listEngines(request).filter(engine => engine.facts.role === ENGINE_ROLES.prefill);
		return readers.filter(engine => !engine.isSuspected(nowMs));
	}

	/** Engines that make tokens; suspected ones too if there are no others. */
	#listRunners(request: PlacingRequest, nowMs: number): EngineState[] {
		const runners = this.#listEngines(request).filter(engine => engine.facts.role !== ENGINE_ROLES.prefill);
		const trusted = runners.filter(engine => !engine.isSuspected(nowMs));
		return trusted.length > 0 ? trusted : runners;
	}

	#listEngines(request: PlacingRequest): EngineState[] {
		return [...this.#engines.values()].filter(({facts}) => facts.service === request.service && !request.excluded.includes(facts.server));
	}

	#readOption(engine: EngineState, request: PlacingRequest, holders: readonly EngineState[], nowMs: number): Option {
		const plan = planRead(engine, request, holders);
		const crossingMs = engine.facts.dataCentre === request.dataCentre ? 0 : CROSSING_MS;
		return {engine, plan, costMs: engine.backlogMs(nowMs) + plan.workMs + plan.evictionMs + crossingMs};
	}

	#directOption(engine: EngineState, request: PlacingRequest, holders: readonly EngineState[], nowMs: number): Option {
		const plan = planRead(engine, request, holders);
		const crossingMs = engine.facts.dataCentre === request.dataCentre ? 0 : CROSSING_MS;
		const disturbanceMs = plan.workMs * DISTURBANCE_WEIGHT;
		const readMs = engine.backlogMs(nowMs) + plan.workMs + plan.evictionMs + disturbanceMs;
		return {engine, plan, costMs: readMs + crossingMs + this.#runCostMs(engine, request)};
	}

	/** What running a request at an engine costs it and the ones beside it, milliseconds. */
	#runCostMs(engine: EngineState, request: PlacingRequest): number {
		const {slots, kvTokens} = engine.facts;
		const need = request.promptTokens + request.outputTokens;
		const isFull = engine.runningCount >= slots || engine.contextTokens + need > kvTokens;
		const excess = Math.max(0, engine.runningCount + 1 - slots) + Math.max(0, (engine.contextTokens + need - kvTokens) / need);
		const stepMs = ((engine.contextTokens + need) / 1000) * STEP_MS_PER_THOUSAND;
		return (stepMs * (request.outputTokens + engine.runningCount)) + (isFull ? FULL_MS * (1 + excess) : 0);
	}

	#forget(id: string): void {
		const open = this.#open.get(id);
		this.#open.delete(id);
		for (const server of [open?.reader, open?.runner]) {
			this.#engines.get(server ?? '')?.end(id);
		}
	}

	#expire(nowMs: number): void {
		for (const [id, open] of this.#open) {
			if (open.expiresMs < nowMs) {
				this.#forget(id);
			}
		}
	}
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

function reject(request: PlacingRequest, reason: string, retryAfterMs: number): PlacingDecision {
	return {
		type: 'rejection', id: request.id, reason, retryAfterMs,
	};
}

function toFlight({parts, promptTokens, outputTokens}: PlacingRequest): Flight {
	return {parts, promptTokens, outputTokens};
}

const NOTHING_TO_READ: ReadPlan = {workMs: 0, evictionMs: 0, source: undefined};

/** Plans how an engine reads a prompt: with what it holds, and what another engine holds if fetching that is quicker. */
function planRead(engine: EngineState, request: PlacingRequest, holders: readonly EngineState[]): ReadPlan {
	const own = engine.countCached(request.parts);
	const evictionMs = estimateReadMs(Math.max(0, sharedTokens(request) - own), 0) * EVICTION_WEIGHT;
	let plan: ReadPlan = {workMs: engine.readMs(request, own), evictionMs, source: undefined};
	for (const holder of holders) {
		const held = holder === engine ? 0 : holder.countCached(request.parts);
		if (held - own < LEAST_FETCH_TOKENS) {
			continue;
		}

		const fetchMs = FETCH_MS + transferMs({promptTokens: held - own}, holder.facts.dataCentre, engine.facts.dataCentre);
		const workMs = engine.readMs(request, held) + fetchMs;
		if (workMs < plan.workMs) {
			plan = {workMs, evictionMs, source: holder.facts.server};
		}
	}

	return plan;
}

/** Tokens that other requests may share: all but the last part. */
function sharedTokens({parts, promptTokens}: PlacingRequest): number {
	return Math.max(0, promptTokens - (parts.at(-1)?.tokens ?? promptTokens));
}

function transferMs(request: Pick<PlacingRequest, 'promptTokens'>, from: string | undefined, to: string): number {
	const factor = from === undefined || from === to ? 1 : CROSSING_TRANSFER_FACTOR;
	return (request.promptTokens / 1000) * TRANSFER_MS_PER_THOUSAND * factor;
}
