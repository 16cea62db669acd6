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
		/** Engine that runs the request; absent until its prompt is read. */
		readonly runner?: string;
	}
	| {readonly type: 'rejection'; readonly id: string; readonly reason: string; readonly retryAfterMs: number};

export const MILESTONES = {
	read: 'read', first: 'first', done: 'done', failed: 'failed',
} as const;
export type MilestoneName = keyof typeof MILESTONES;

/** Time to hand a read prompt over: two exchanges and the set-up of a transfer, milliseconds. */
const HANDOVER_MS = 8;
/** Transfer of a thousand tokens of KV cache between two engines, milliseconds. */
const TRANSFER_MS_PER_THOUSAND = 0.7;
/** What another data centre costs, milliseconds: the way itself, and a transfer that takes twice as long. */
const CROSSING_MS = 2;
const CROSSING_TRANSFER_FACTOR = 2;
/** A part that is read a second time takes the place of another in the cache: it costs more than its time. */
const REREAD_WEIGHT = 0.5;
/** A prompt that is read between the tokens of running requests delays all of them. */
const DISTURBANCE_WEIGHT = 1;
/** How long an engine that failed a request is avoided, milliseconds. */
const SUSPICION_MS = 1500;
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
		const direct = best(runners.map(engine => this.#directOption(engine, request, nowMs)));
		if (!direct) {
			return reject(request, 'no engine makes tokens', LEAST_RETRY_AFTER_MS);
		}

		const ahead = best(readers.map(engine => this.#readOption(engine, request, nowMs)));
		const runCostMs = Math.min(...runners.map(engine => this.#runCostMs(engine, request)));
		const aheadMs = ahead && ahead.costMs + HANDOVER_MS + runCostMs;
		const open: Open = {
			request, expiresMs: nowMs + request.patienceMs + FLIGHT_GRACE_MS, reader: undefined, runner: undefined,
		};
		this.#open.set(request.id, open);
		if (ahead && aheadMs !== undefined && aheadMs < direct.costMs) {
			open.reader = ahead.engine.facts.server;
			ahead.engine.beginRead(request.id, toFlight(request), nowMs);
			return {type: 'assignment', id: request.id, reader: open.reader};
		}

		open.runner = direct.engine.facts.server;
		direct.engine.beginRead(request.id, toFlight(request), nowMs);
		direct.engine.beginRun(request.id, toFlight(request));
		return {type: 'assignment', id: request.id, runner: open.runner};
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
		if (milestone === MILESTONES.failed && server !== undefined) {
			this.#engines.get(server)?.suspect(nowMs + SUSPICION_MS);
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

	#readOption(engine: EngineState, request: PlacingRequest, nowMs: number): Option {
		const readMs = engine.readMs(request);
		const unread = engine.countUnread(request);
		const rereadMs = estimateReadMs(Math.max(0, unread - ownTokens(request)), 0) * REREAD_WEIGHT;
		const crossingMs = engine.facts.dataCentre === request.dataCentre ? 0 : CROSSING_MS;
		return {engine, costMs: engine.backlogMs(nowMs) + readMs + rereadMs + crossingMs};
	}

	#directOption(engine: EngineState, request: PlacingRequest, nowMs: number): Option {
		const readMs = engine.readMs(request);
		const crossingMs = engine.facts.dataCentre === request.dataCentre ? 0 : CROSSING_MS;
		const disturbanceMs = readMs * DISTURBANCE_WEIGHT;
		return {engine, costMs: engine.backlogMs(nowMs) + readMs + disturbanceMs + crossingMs + this.#runCostMs(engine, request)};
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

/** The last part belongs to the request itself. */
function ownTokens({parts, promptTokens}: PlacingRequest): number {
	return parts.at(-1)?.tokens ?? promptTokens;
}

function transferMs(request: PlacingRequest, from: string | undefined, to: string): number {
	const factor = from === undefined || from === to ? 1 : CROSSING_TRANSFER_FACTOR;
	return (request.promptTokens / 1000) * TRANSFER_MS_PER_THOUSAND * factor;
}
