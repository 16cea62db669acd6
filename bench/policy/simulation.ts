/**
 * Runs a trace through a policy in virtual time.
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
	/** Answers whole and on time, a second. */
	readonly goodput: number;
	readonly refused: number;
	readonly late: number;
	/** Of the late ones, those whose first token came late. */
	readonly lateFirstTokens: number;
	readonly roleChanges: number;
	readonly enginesLost: number;
	/** Requests that got neither an answer nor a refusal. */
	readonly unanswered: number;
};

type Scheduled = {
	readonly atMs: number;
	readonly order: number;
	readonly run: (nowMs: number) => void;
};

type Flight = {
	readonly request: TraceRequest;
	readonly startedMs: number;
	readonly gaps: number[];
	firstMs: number;
	lastMs: number;
	tokens: number;
	attempts: number;
	/** Where its last token came from. */
	engine?: SimulatedEngine;
};

const REPORT_EVERY_MS = 500;
const ROLE_TICK_MS = 1000;
const MOVE_TOKENS_PER_MS = 200;
const MOVE_SETUP_MS = 5;
const MAX_ATTEMPTS = 3;
const TAIL_MS = 30_000;

/**
 * Runs a trace.
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
 * An upper bound of the goodput that anybody could reach who knows the trace beforehand: in each window the cheapest
 * requests that fit into the engines' time, with every prompt prefix cached and every batch full.
 *
 * @example
 * ```ts
 * boundGoodput(generateTrace('overload', 1));
 * ```
 */
export function computeGoodputBound(trace: Trace): number {
	const windowMs = 30_000;
	const slackMs = DEFAULT_LATENCY_TARGETS.firstTokenMs + (420 * DEFAULT_LATENCY_TARGETS.betweenTokensMs);
	let good = 0;
	for (let start = 0; start < trace.durationMs; start += windowMs) {
		const costs = trace.requests
			.filter(request => request.atMs >= start && request.atMs < start + windowMs && !request.poison)
			.map(request => leastWorkMs(request))
			.toSorted((a, b) => a - b);
		let left = trace.engines * (windowMs + slackMs);
		for (const cost of costs) {
			left -= cost;
			if (left >= 0) {
				good++;
			}
		}
	}

	return good * 1000 / trace.durationMs;
}

/** A poison request that is sent again is the same request. */
function fingerprintOf(request: TraceRequest): string {
	return request.poison ? 'poison' : String(request.atMs);
}

/** Engine time that a request takes at the very least: its shared beginning cached, its batch as full as an engine allows. */
function leastWorkMs({promptTokens, prefixTokens, outputTokens}: TraceRequest): number {
	const prefillMs = Math.max(1, promptTokens - prefixTokens) / ENGINE_SPEED.prefillTokensPerMs;
	return prefillMs + (outputTokens * ((ENGINE_SPEED.stepMs / MAX_RUNNING_REQUESTS) + ENGINE_SPEED.stepMsPerRequest));
}

class Simulation {
	readonly #trace: Trace;
	readonly #policy: Policy;
	readonly #engines: SimulatedEngine[] = [];
	readonly #heap: Scheduled[] = [];
	readonly #draining = new Map<SimulatedEngine, SimulatedEngine['role']>();
	readonly #crashes = new Map<string, string[]>();
	readonly #alone = new Set<SimulatedEngine>();
	#order = 0;
	#nextId = 1;
	#good = 0;
	#refused = 0;
	#late = 0;
	#lateFirst = 0;
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
				this.#arrive(request, nowMs);
			});
		}

		for (const event of events) {
			this.#schedule(event.atMs, nowMs => {
				this.#onEvent(event, nowMs);
			});
		}

		this.#schedule(REPORT_EVERY_MS, nowMs => {
			this.#report(nowMs);
		});
		this.#schedule(ROLE_TICK_MS, nowMs => {
			this.#tickRoles(nowMs);
		});
		const untilMs = durationMs + TAIL_MS;
		for (let next = this.#pop(); next && next.atMs <= untilMs; next = this.#pop()) {
			this.#nowMs = next.atMs;
			next.run(next.atMs);
		}

		return {
			goodput: this.#good * 1000 / durationMs,
			refused: this.#refused,
			late: this.#late,
			lateFirstTokens: this.#lateFirst,
			roleChanges: this.#roleChanges,
			enginesLost: this.#engines.reduce((sum, engine) => sum + engine.crashCount, 0),
			unanswered: this.#unanswered,
		};
	}

	#arrive(request: TraceRequest, nowMs: number): void {
		this.#unanswered++;
		this.#place({
			request, startedMs: nowMs, gaps: [], firstMs: 0, lastMs: 0, tokens: 0, attempts: 0,
		}, nowMs);
	}

	#usable(nowMs: number): SimulatedEngine[] {
		return this.#engines.filter(engine => engine.unavailableUntilMs <= nowMs && !this.#draining.has(engine));
	}

	#place(flight: Flight, nowMs: number): void {
		flight.attempts++;
		const suspected = this.#policy.detectsPoison ? classifyRequest({servers: this.#crashes.get(fingerprintOf(flight.request)) ?? []}) : 'clear';
		if (suspected === 'poisoned' || flight.attempts > MAX_ATTEMPTS) {
			this.#refuse();
			return;
		}

		const usable = this.#usable(nowMs);
		const allowed = suspected === 'suspect' ? usable.filter(engine => !this.#alone.has(engine)) : usable;
		if (suspected === 'suspect' && allowed.length === 0) {
			flight.attempts--;
			this.#schedule(nowMs + 50, laterMs => {
				this.#place(flight, laterMs);
			});
			return;
		}

		const choice = this.#policy.place(flight.request, allowed, nowMs);
		if (choice.type === 'refuse') {
			this.#refuse();
			return;
		}

		if (suspected === 'suspect') {
			this.#alone.add(choice.engine);
		}

		this.#submit(flight, choice.engine, {handsOff: choice.handsOff, imported: false}, nowMs);
	}

	#submit(flight: Flight, engine: SimulatedEngine, options: {handsOff: boolean; imported: boolean}, nowMs: number): void {
		const id = this.#nextId++;
		const {request} = flight;
		this.#policy.recordSent?.(request, id, engine, nowMs);
		const job: EngineJob = {
			id,
			promptTokens: request.promptTokens,
			outputTokens: request.outputTokens,
			blocks: listPrefixBlocks(request),
			isImported: options.imported,
			handsOff: options.handsOff,
			poison: request.poison ?? false,
			offset: flight.tokens,
			onToken: atMs => {
				this.#onToken(flight, id, engine, atMs);
			},
			onEnd: (atMs, end, cachedBlocks) => {
				this.#policy.recordEnd?.(request, id, engine, options.imported ? undefined : cachedBlocks);
				this.#onEnd(flight, engine, end, atMs);
			},
		};
		engine.submit(job, nowMs);
	}

	#onToken(flight: Flight, id: number, engine: SimulatedEngine, nowMs: number): void {
		const isFirstHere = flight.engine !== engine;
		flight.engine = engine;
		if (flight.tokens === 0) {
			flight.firstMs = nowMs - flight.startedMs;
			this.#policy.recordTimeliness?.(flight.request, flight.firstMs <= DEFAULT_LATENCY_TARGETS.firstTokenMs);
		} else {
			flight.gaps.push(nowMs - flight.lastMs);
		}

		if (flight.gaps.length === 0 || isFirstHere) {
			this.#policy.recordFirstToken?.(id, engine, nowMs);
		}

		flight.tokens++;
		flight.lastMs = nowMs;
		this.#alone.delete(engine);
	}

	#onEnd(flight: Flight, engine: SimulatedEngine, end: 'complete' | 'handoff' | 'died', nowMs: number): void {
		if (end === 'died') {
			this.#alone.delete(engine);
			const fingerprint = fingerprintOf(flight.request);
			const crashes = this.#crashes.get(fingerprint) ?? [];
			this.#crashes.set(fingerprint, [...crashes, `${engine.name}#${engine.crashCount}`]);
			this.#schedule(nowMs, laterMs => {
				this.#place(flight, laterMs);
			});
			return;
		}

		if (end === 'handoff') {
			const moveMs = MOVE_SETUP_MS + (flight.request.promptTokens / MOVE_TOKENS_PER_MS);
			this.#schedule(nowMs + moveMs, laterMs => {
				this.#continue(flight, laterMs);
			});
			return;
		}

		this.#unanswered--;
		const isOnTime = flight.firstMs <= DEFAULT_LATENCY_TARGETS.firstTokenMs && percentile(flight.gaps, 0.95) <= DEFAULT_LATENCY_TARGETS.betweenTokensMs;
		this.#good += isOnTime ? 1 : 0;
		this.#late += isOnTime ? 0 : 1;
		this.#lateFirst += flight.firstMs > DEFAULT_LATENCY_TARGETS.firstTokenMs ? 1 : 0;
	}

	#continue(flight: Flight, nowMs: number): void {
		const engine = this.#policy.placeContinuation(flight.request, this.#usable(nowMs), nowMs);
		if (engine) {
			this.#submit(flight, engine, {handsOff: false, imported: true}, nowMs);
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

		this.#whenIdle(engine, idleMs => {
			engine.unavailableUntilMs = idleMs + event.forMs;
		});
	}

	/** Keeps new work away and waits until nothing runs. */
	#whenIdle(engine: SimulatedEngine, run: (nowMs: number) => void): void {
		this.#draining.set(engine, engine.role);
		const look = (nowMs: number) => {
			if (engine.isIdle) {
				this.#draining.delete(engine);
				run(nowMs);
				return;
			}

			this.#schedule(nowMs + 100, look);
		};

		look(this.#nowMs);
	}

	#report(nowMs: number): void {
		const engines = this.#engines.filter(engine => engine.unavailableUntilMs <= nowMs);
		this.#policy.recordLoadReports?.(engines, nowMs);
		this.#schedule(nowMs + REPORT_EVERY_MS, laterMs => {
			this.#report(laterMs);
		});
	}

	#tickRoles(nowMs: number): void {
		for (const {engine, role} of this.#policy.changeRoles(this.#usable(nowMs), nowMs)) {
			this.#roleChanges++;
			this.#whenIdle(engine, idleMs => {
				engine.changeRole(role, idleMs);
			});
		}

		this.#schedule(nowMs + ROLE_TICK_MS, laterMs => {
			this.#tickRoles(laterMs);
		});
	}

	#schedule(atMs: number, run: (nowMs: number) => void): void {
		const item: Scheduled = {atMs, order: this.#order++, run};
		const heap = this.#heap;
		let index = heap.push(item) - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(item, heap[parent]!)) {
				break;
			}

			heap[index] = heap[parent]!;
			index = parent;
		}

		heap[index] = item;
	}

	#pop(): Scheduled | undefined {
		const heap = this.#heap;
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

function isBefore(a: Scheduled, b: Scheduled): boolean {
	return a.atMs === b.atMs ? a.order < b.order : a.atMs < b.atMs;
}

