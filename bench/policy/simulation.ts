/**
 * Discrete-event simulation of a trace under a policy.
 *
 * @module
 */
import {classifyRequest} from '../../src/routing/poison.js';
import {DEFAULT_LATENCY_TARGETS} from '../../src/routing/choice.js';
import {percentile} from '../statistics.js';
import {
	ENGINE_SPEED, MAX_RUNNING_REQUESTS, SimulatedEngine, type EngineJob,
} from './engine.js';
import {listPrefixBlocks, type Policy} from './policies.js';
import type {Trace, TraceRequest} from './trace.js';

export type SimulationResult = {
	/** Complete responses within the latency targets, per second. */
	readonly goodput: number;
	readonly refused: number;
	readonly late: number;
	/** Number of late responses whose first token was late. */
	readonly lateFirstTokens: number;
	readonly roleChanges: number;
	readonly enginesLost: number;
	/** Requests that were neither completed nor refused. */
	readonly unanswered: number;
};

type ScheduledEvent = {
	readonly atMs: number;
	/** Orders events that are due at the same time. */
	readonly sequence: number;
	readonly run: (nowMs: number) => void;
};

type InFlightRequest = {
	readonly request: TraceRequest;
	readonly startedMs: number;
	/** Times between successive tokens. */
	readonly tokenGapsMs: number[];
	/** Time from arrival to the first token. */
	firstTokenMs: number;
	lastTokenAtMs: number;
	tokens: number;
	attempts: number;
	/** The engine that produced its last token. */
	engine?: SimulatedEngine;
};

const LOAD_REPORT_INTERVAL_MS = 500;
const ROLE_CHANGE_INTERVAL_MS = 1000;
const TRANSFER_TOKENS_PER_MS = 200;
const TRANSFER_SETUP_MS = 5;
const MAX_ATTEMPTS = 3;
/** The simulation runs this long after the trace, so that its last requests can finish. */
const TAIL_MS = 30_000;

/**
 * Simulates a trace under a policy.
 *
 * @example
 * ```ts
 * simulate(generateTrace('swing', 1), new NaivePolicy()).goodput;
 * ```
 */
export function simulate(trace: Trace, policy: Policy): SimulationResult {
	return new Simulation(trace, policy).run();
}

/**
 * Computes an upper bound of the goodput of any policy, even one that knows the trace in advance: the number of
 * cheapest requests in each window that fit into the engines' time if every prompt prefix is cached and every batch is
 * full.
 *
 * @example
 * ```ts
 * computeGoodputBound(generateTrace('overload', 1));
 * ```
 */
export function computeGoodputBound(trace: Trace): number {
	const windowMs = 30_000;
	// Requests may finish after their window: slack for the first token and the longest output, 1.5 * 280 tokens.
	const slackMs = DEFAULT_LATENCY_TARGETS.firstTokenMs + (420 * DEFAULT_LATENCY_TARGETS.betweenTokensMs);
	let good = 0;
	for (let start = 0; start < trace.durationMs; start += windowMs) {
		const costs = trace.requests
			.filter(request => request.atMs >= start && request.atMs < start + windowMs && !request.poison)
			.map(request => computeMinimumWorkMs(request))
			.toSorted((a, b) => a - b);
		let remainingMs = trace.engines * (windowMs + slackMs);
		for (const cost of costs) {
			remainingMs -= cost;
			if (remainingMs >= 0) {
				good++;
			}
		}
	}

	return good * 1000 / trace.durationMs;
}

/** Identifies a request for poison detection: all poison requests of a trace count as the same request sent again. */
function createFingerprint(request: TraceRequest): string {
	return request.poison ? 'poison' : String(request.atMs);
}

/** Computes the least engine time that a request needs: with its shared prefix cached and in a full batch. */
function computeMinimumWorkMs({promptTokens, prefixTokens, outputTokens}: TraceRequest): number {
	const prefillMs = Math.max(1, promptTokens - prefixTokens) / ENGINE_SPEED.prefillTokensPerMs;
	return prefillMs + (outputTokens * ((ENGINE_SPEED.stepMs / MAX_RUNNING_REQUESTS) + ENGINE_SPEED.stepMsPerRequest));
}

class Simulation {
	readonly #trace: Trace;
	readonly #policy: Policy;
	readonly #engines: SimulatedEngine[] = [];
	readonly #queue: ScheduledEvent[] = [];
	readonly #draining = new Map<SimulatedEngine, SimulatedEngine['role']>();
	/** Crashed engine processes by the fingerprint of the request that ran on them. */
	readonly #crashes = new Map<string, string[]>();
	/** Engines that run a suspected poison request; no second one is placed on them until they emit a token or crash. */
	readonly #enginesWithSuspect = new Set<SimulatedEngine>();
	#nextSequence = 0;
	#nextId = 1;
	#onTime = 0;
	#refused = 0;
	#late = 0;
	#lateFirstTokens = 0;
	#roleChanges = 0;
	#unanswered = 0;

	constructor(trace: Trace, policy: Policy) {
		this.#trace = trace;
		this.#policy = policy;
		for (let index = 0; index < trace.engines; index++) {
			this.#engines.push(new SimulatedEngine(`e${index}`, policy.initialRole(index), (delayMs, run) => {
				this.#schedule(this.#nowMs + delayMs, run);
			}));
		}
	}

	#nowMs = 0;

	run(): SimulationResult {
		const {requests, events, durationMs} = this.#trace;
		for (const request of requests) {
			this.#schedule(request.atMs, nowMs => {
				this.#onArrival(request, nowMs);
			});
		}

		for (const event of events) {
			this.#schedule(event.atMs, nowMs => {
				this.#onEvent(event, nowMs);
			});
		}

		this.#schedule(LOAD_REPORT_INTERVAL_MS, nowMs => {
			this.#reportLoads(nowMs);
		});
		this.#schedule(ROLE_CHANGE_INTERVAL_MS, nowMs => {
			this.#changeRoles(nowMs);
		});
		const untilMs = durationMs + TAIL_MS;
		for (let next = this.#pop(); next && next.atMs <= untilMs; next = this.#pop()) {
			this.#nowMs = next.atMs;
			next.run(next.atMs);
		}

		return {
			goodput: this.#onTime * 1000 / durationMs,
			refused: this.#refused,
			late: this.#late,
			lateFirstTokens: this.#lateFirstTokens,
			roleChanges: this.#roleChanges,
			enginesLost: this.#engines.reduce((sum, engine) => sum + engine.crashCount, 0),
			unanswered: this.#unanswered,
		};
	}

	#onArrival(request: TraceRequest, nowMs: number): void {
		this.#unanswered++;
		this.#place({
			request, startedMs: nowMs, tokenGapsMs: [], firstTokenMs: 0, lastTokenAtMs: 0, tokens: 0, attempts: 0,
		}, nowMs);
	}

	#listUsableEngines(nowMs: number): SimulatedEngine[] {
		return this.#engines.filter(engine => engine.unavailableUntilMs <= nowMs && !this.#draining.has(engine));
	}

	#place(inFlight: InFlightRequest, nowMs: number): void {
		inFlight.attempts++;
		const poisonState = this.#policy.detectsPoison ? classifyRequest({servers: this.#crashes.get(createFingerprint(inFlight.request)) ?? []}) : 'clear';
		if (poisonState === 'poisoned' || inFlight.attempts > MAX_ATTEMPTS) {
			this.#refuse();
			return;
		}

		const usable = this.#listUsableEngines(nowMs);
		const allowed = poisonState === 'suspect' ? usable.filter(engine => !this.#enginesWithSuspect.has(engine)) : usable;
		if (poisonState === 'suspect' && allowed.length === 0) {
			inFlight.attempts--;
			this.#schedule(nowMs + 50, laterMs => {
				this.#place(inFlight, laterMs);
			});
			return;
		}

		const decision = this.#policy.place(inFlight.request, allowed, nowMs);
		if (decision.type === 'refuse') {
			this.#refuse();
			return;
		}

		if (poisonState === 'suspect') {
			this.#enginesWithSuspect.add(decision.engine);
		}

		this.#submit(inFlight, decision.engine, {handsOff: decision.handsOff, isImported: false}, nowMs);
	}

	#submit(inFlight: InFlightRequest, engine: SimulatedEngine, options: {handsOff: boolean; isImported: boolean}, nowMs: number): void {
		const id = this.#nextId++;
		const {request} = inFlight;
		this.#policy.recordSent?.(request, id, engine, nowMs);
		const job: EngineJob = {
			id,
			promptTokens: request.promptTokens,
			outputTokens: request.outputTokens,
			blocks: listPrefixBlocks(request),
			isImported: options.isImported,
			handsOff: options.handsOff,
			poison: request.poison ?? false,
			offset: inFlight.tokens,
			onToken: atMs => {
				this.#onToken(inFlight, id, engine, atMs);
			},
			onEnd: (atMs, end, cachedBlocks) => {
				this.#policy.recordEnd?.(request, id, engine, options.isImported ? undefined : cachedBlocks);
				this.#onEnd(inFlight, engine, end, atMs);
			},
		};
		engine.submit(job, nowMs);
	}

	#onToken(inFlight: InFlightRequest, id: number, engine: SimulatedEngine, nowMs: number): void {
		const isFirstFromEngine = inFlight.engine !== engine;
		inFlight.engine = engine;
		if (inFlight.tokens === 0) {
			inFlight.firstTokenMs = nowMs - inFlight.startedMs;
			this.#policy.recordTimeliness?.(inFlight.request, inFlight.firstTokenMs <= DEFAULT_LATENCY_TARGETS.firstTokenMs);
		} else {
			inFlight.tokenGapsMs.push(nowMs - inFlight.lastTokenAtMs);
		}

		if (inFlight.tokenGapsMs.length === 0 || isFirstFromEngine) {
			this.#policy.recordFirstToken?.(id, engine, nowMs);
		}

		inFlight.tokens++;
		inFlight.lastTokenAtMs = nowMs;
		this.#enginesWithSuspect.delete(engine);
	}

	#onEnd(inFlight: InFlightRequest, engine: SimulatedEngine, end: 'complete' | 'handoff' | 'crashed', nowMs: number): void {
		if (end === 'crashed') {
			this.#enginesWithSuspect.delete(engine);
			const fingerprint = createFingerprint(inFlight.request);
			const crashes = this.#crashes.get(fingerprint) ?? [];
			this.#crashes.set(fingerprint, [...crashes, `${engine.name}#${engine.crashCount}`]);
			this.#schedule(nowMs, laterMs => {
				this.#place(inFlight, laterMs);
			});
			return;
		}

		if (end === 'handoff') {
			const transferMs = TRANSFER_SETUP_MS + (inFlight.request.promptTokens / TRANSFER_TOKENS_PER_MS);
			this.#schedule(nowMs + transferMs, laterMs => {
				this.#placeContinuation(inFlight, laterMs);
			});
			return;
		}

		this.#unanswered--;
		const isOnTime = inFlight.firstTokenMs <= DEFAULT_LATENCY_TARGETS.firstTokenMs && percentile(inFlight.tokenGapsMs, 0.95) <= DEFAULT_LATENCY_TARGETS.betweenTokensMs;
		this.#onTime += isOnTime ? 1 : 0;
		this.#late += isOnTime ? 0 : 1;
		this.#lateFirstTokens += inFlight.firstTokenMs > DEFAULT_LATENCY_TARGETS.firstTokenMs ? 1 : 0;
	}

	#placeContinuation(inFlight: InFlightRequest, nowMs: number): void {
		const engine = this.#policy.placeContinuation(inFlight.request, this.#listUsableEngines(nowMs), nowMs);
		if (engine) {
			this.#submit(inFlight, engine, {handsOff: false, isImported: true}, nowMs);
		} else {
			this.#refuse();
		}
	}

	#refuse(): void {
		this.#unanswered--;
		this.#refused++;
	}

	#onEvent(event: Trace['events'][number], nowMs: number): void {
		const engine = this.#engines[event.engine]!;
		if (event.event === 'crash') {
			engine.crash(nowMs, event.forMs);
			return;
		}

		this.#drain(engine, idleMs => {
			engine.unavailableUntilMs = idleMs + event.forMs;
		});
	}

	/** Drains an engine: sends it no new requests and calls back when it is idle. */
	#drain(engine: SimulatedEngine, run: (nowMs: number) => void): void {
		this.#draining.set(engine, engine.role);
		const checkIdle = (nowMs: number) => {
			if (engine.isIdle) {
				this.#draining.delete(engine);
				run(nowMs);
				return;
			}

			this.#schedule(nowMs + 100, checkIdle);
		};

		checkIdle(this.#nowMs);
	}

	#reportLoads(nowMs: number): void {
		const engines = this.#engines.filter(engine => engine.unavailableUntilMs <= nowMs);
		this.#policy.recordLoadReports?.(engines, nowMs);
		this.#schedule(nowMs + LOAD_REPORT_INTERVAL_MS, laterMs => {
			this.#reportLoads(laterMs);
		});
	}

	#changeRoles(nowMs: number): void {
		for (const {engine, role} of this.#policy.changeRoles(this.#listUsableEngines(nowMs), nowMs)) {
			this.#roleChanges++;
			this.#drain(engine, idleMs => {
				engine.changeRole(role, idleMs);
			});
		}

		this.#schedule(nowMs + ROLE_CHANGE_INTERVAL_MS, laterMs => {
			this.#changeRoles(laterMs);
		});
	}

	#schedule(atMs: number, run: (nowMs: number) => void): void {
		const event: ScheduledEvent = {atMs, sequence: this.#nextSequence++, run};
		const heap = this.#queue;
		let index = heap.push(event) - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(event, heap[parent]!)) {
				break;
			}

			heap[index] = heap[parent]!;
			index = parent;
		}

		heap[index] = event;
	}

	#pop(): ScheduledEvent | undefined {
		const heap = this.#queue;
		const top = heap[0];
		const last = heap.pop();
		if (!top || !last || heap.length === 0) {
			return top;
		}

		let index = 0;
		for (;;) {
			let child = (index * 2) + 1;
			if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
				child++;
			}

			if (child >= heap.length || !isBefore(heap[child]!, last)) {
				break;
			}

			heap[index] = heap[child]!;
			index = child;
		}

		heap[index] = last;
		return top;
	}
}

function isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
	return a.atMs === b.atMs ? a.sequence < b.sequence : a.atMs < b.atMs;
}

