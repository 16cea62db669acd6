/**
 * What a placer knows of one engine: the work it was given, and the prompt parts it should hold.
 *
 * @module
 */
import {ENGINE_ROLES, type EngineRole} from './choice.js';
import {KvCacheModel, type PromptPart} from './kvcache.js';
import {PrefillQueue, type PrefillReport, type PrefillTask} from './queue.js';

export type EngineInfo = {
	readonly server: string;
	readonly incarnation: number;
	readonly service: string;
	readonly dataCentre: string;
	readonly role: EngineRole;
	/** Requests that run at once. */
	readonly slots: number;
	/** Tokens of KV cache. */
	readonly kvTokens: number;
};

/** Size of a request at an engine. */
export type RequestSize = {
	readonly parts: readonly PromptPart[];
	readonly promptTokens: number;
	readonly outputTokens: number;
};

type Run = {
	readonly tokens: number;
	/** When its first event should come; undefined once it has. */
	dueMs: number | undefined;
};

/** Prompt tokens that an engine reads in a millisecond until it is measured, as the users state it. */
const READ_TOKENS_PER_MS = 93;
/** Cost of attention between a prompt's tokens, milliseconds for a million pairs, as the users' servers show it. */
const READ_MS_PER_MILLION_PAIRS = 0.442;
/** Prompt tokens that an engine reads in one step, as the users state it. */
const CHUNK_TOKENS = 1024;
/** An engine that makes tokens reads at half the speed, and a quarter as many tokens in one step. */
const MIXED_READ_FACTOR = 2;
const MIXED_CHUNK_FACTOR = 4;
/** Time of one step beside what it reads, and what each thousand tokens of running requests add, as the users state it. */
const STEP_MS = 3.29;
const STEP_MS_PER_THOUSAND = 0.0262;
/** Time from a prompt's arrival to its first token that keeps the engine from no other work, until it is measured. */
const LATENCY_MS = 80;
/** Work below which the time that a prompt took tells more of the latency than of the speed, milliseconds. */
const SMALL_WORK_MS = 40;
const LATENCY_WEIGHT = 0.05;
/** Bounds of the measured slowness, and the weight of one measurement. */
const SLOWEST = 6;
const FASTEST = 0.7;
const SLOWNESS_WEIGHT = 0.08;
/** A sign of life counts against a suspicion from this long after it on: earlier ones were on their way, milliseconds. */
const TRANSIT_MS = 30;
/** Weight of one outcome in the share of requests that an engine fails. */
const FAILURE_WEIGHT = 0.1;
/** An engine that fails gets nothing, so its past must fade for it to be tried again, milliseconds. */
const FAILURE_HALF_LIFE_MS = 3000;
/** An engine whose work is overdue by this much, with no sign of any other, is taken for gone, milliseconds. */
const SILENCE_MS = 600;

/** The state of one engine in one incarnation. */
export class EngineState {
	info: EngineInfo;
	readonly #cache = new KvCacheModel();
	readonly #queue = new PrefillQueue();
	/** Parts that each prompt in the queue is to bring: nobody can fetch them yet. */
	readonly #pending = new Map<string, ReadonlySet<string>>();
	readonly #running = new Map<string, Run>();
	#contextTokens = 0;
	#suspectedMs = Number.NEGATIVE_INFINITY;
	#suspectedUntilMs = Number.NEGATIVE_INFINITY;
	#failureShare = 0;
	#outcomeMs = 0;
	#progressMs = Number.NEGATIVE_INFINITY;
	/** Measured reading time over the expected one. */
	#slowness = 1;
	#latencyMs = LATENCY_MS;

	constructor(info: EngineInfo) {
		this.info = info;
	}

	get runningCount(): number {
		return this.#running.size;
	}

	/** Tokens of the requests that run here. */
	get contextTokens(): number {
		return this.#contextTokens;
	}

	/** Time to a prompt's first token beside what it waits and is read, milliseconds. */
	get overheadMs(): number {
		return this.#latencyMs;
	}

	/** Time of one step with what runs here, milliseconds. */
	get stepMs(): number {
		return STEP_MS + this.contextStepMs(0);
	}

	/** Part of a step that the context of running requests takes with some tokens more, milliseconds. */
	contextStepMs(moreTokens: number): number {
		return (this.#contextTokens + moreTokens) / 1000 * STEP_MS_PER_THOUSAND;
	}

	/** Share of its recent requests that it failed; what is long ago counts less. */
	failureRate(nowMs: number): number {
		return this.#failureShare * (0.5 ** ((nowMs - this.#outcomeMs) / FAILURE_HALF_LIFE_MS));
	}

	/** Leaves it out for a while, unless it shows a sign of life before. */
	suspect(untilMs: number, nowMs: number): void {
		this.#suspectedMs = nowMs;
		this.#suspectedUntilMs = untilMs;
	}

	/** Notes how a request ended here. */
	recordOutcome(isFailure: boolean, nowMs: number): void {
		const share = this.failureRate(nowMs);
		this.#failureShare = share + (((isFailure ? 1 : 0) - share) * FAILURE_WEIGHT);
		this.#outcomeMs = nowMs;
	}

	/** Whether it failed a moment ago and has shown no sign of life since, or has fallen silent with work in hand. */
	isSuspected(nowMs: number): boolean {
		const isAlive = this.#progressMs > this.#suspectedMs + TRANSIT_MS;
		return (nowMs < this.#suspectedUntilMs && !isAlive) || this.#isSilent(nowMs);
	}

	/** Tokens of the leading parts of a prompt that it should hold. */
	countCached(parts: readonly PromptPart[]): number {
		return this.#cache.countCached(parts);
	}

	/** Tokens of the leading parts that another engine can fetch now. */
	countFetchable(parts: readonly PromptPart[]): number {
		const firstPending = parts.findIndex(({key}) => this.#isPending(key));
		return this.#cache.countCached(firstPending === -1 ? parts : parts.slice(0, firstPending));
	}

	/**
	 * Time that it needs to read a prompt once it begins, milliseconds.
	 *
	 * @param cached - Leading tokens that it holds or is given.
	 */
	prefillMs({promptTokens}: Pick<RequestSize, 'promptTokens'>, cached: number): number {
		const unread = Math.max(1, promptTokens - cached);
		if (this.info.role === ENGINE_ROLES.prefill) {
			return estimatePrefillMs(unread, cached) * this.#slowness;
		}

		const steps = Math.ceil(unread / (CHUNK_TOKENS / MIXED_CHUNK_FACTOR));
		return ((estimateWorkMs(unread, cached) * MIXED_READ_FACTOR) + (steps * this.stepMs)) * this.#slowness;
	}

	/** Time until it would begin to read a prompt of some urgency, milliseconds. */
	waitMs(priority: number, nowMs: number): number {
		return this.#queue.waitMs(priority, nowMs);
	}

	/** Prompts that would wait behind one of some urgency. */
	countLowerPriority(priority: number, nowMs: number): number {
		return this.#queue.countLowerPriority(priority, nowMs);
	}

	/** Notes that it was given a prompt to read. */
	startPrefill(id: string, flight: RequestSize, task: PrefillTask, nowMs: number): void {
		this.#queue.add(id, task, nowMs);
		const missing = flight.parts.filter(({key}) => !this.#cache.has(key)).map(({key}) => key);
		this.#pending.set(id, new Set(missing));
		this.#cache.record(flight.parts, this.info.kvTokens - this.#contextTokens);
	}

	/** Notes parts that it read on another placer's word. */
	recordCached(parts: readonly PromptPart[]): void {
		this.#cache.record(parts, this.info.kvTokens - this.#contextTokens);
	}

	/** Notes that a prompt is read, and learns from how long it took. */
	completePrefill(id: string, nowMs: number): void {
		this.#progressMs = nowMs;
		this.#pending.delete(id);
		const report = this.#queue.complete(id, nowMs - this.#latencyMs);
		if (report) {
			this.#learnSpeed(report);
		}
	}

	/**
	 * Notes that it was given a request to run.
	 *
	 * @param dueMs - When the first event should come.
	 */
	startRun(id: string, {parts, promptTokens, outputTokens}: RequestSize, dueMs: number | undefined): void {
		const tokens = promptTokens + outputTokens;
		this.#contextTokens += tokens - (this.#running.get(id)?.tokens ?? 0);
		this.#running.set(id, {tokens, dueMs});
		this.#cache.record(parts, this.info.kvTokens - this.#contextTokens);
	}

	/** Notes the first event of a request. */
	recordFirstEvent(id: string, nowMs: number): void {
		this.#progressMs = nowMs;
		const run = this.#running.get(id);
		if (run) {
			run.dueMs = undefined;
		}
	}

	endRequest(id: string, nowMs: number): void {
		this.#queue.remove(id, nowMs);
		this.#cache.remove(this.#pending.get(id) ?? []);
		this.#pending.delete(id);
		this.#contextTokens -= this.#running.get(id)?.tokens ?? 0;
		this.#running.delete(id);
	}

	#isPending(key: string): boolean {
		for (const keys of this.#pending.values()) {
			if (keys.has(key)) {
				return true;
			}
		}

		return false;
	}

	#learnSpeed({busyMs, workMs, totalMs: tookMs, wasIdle: wasAlone}: PrefillReport): void {
		if (workMs < SMALL_WORK_MS) {
			const overheadMs = Math.max(0, tookMs + this.#latencyMs - workMs);
			this.#latencyMs += wasAlone ? (overheadMs - this.#latencyMs) * LATENCY_WEIGHT : 0;
			return;
		}

		const measured = (busyMs / workMs) * this.#slowness;
		this.#slowness += (Math.min(SLOWEST, Math.max(FASTEST, measured)) - this.#slowness) * SLOWNESS_WEIGHT;
	}

	#isSilent(nowMs: number): boolean {
		if (nowMs - this.#progressMs < SILENCE_MS) {
			return false;
		}

		if (this.#queue.overdueMs(nowMs - this.#latencyMs) > SILENCE_MS) {
			return true;
		}

		for (const {dueMs} of this.#running.values()) {
			if (dueMs !== undefined && nowMs - dueMs > SILENCE_MS) {
				return true;
			}
		}

		return false;
	}
}

/**
 * Estimates how long an engine of ordinary speed that only reads is busy with a prompt.
 *
 * @param unread - Tokens to read.
 * @param context - Tokens before them that it holds.
 * @example
 * ```ts
 * estimateReadMs(9300, 0); // 100 ms of reading, 19 ms of attention, 10 steps of 3.29 ms
 * ```
 */
export function estimatePrefillMs(unread: number, context: number): number {
	return estimateWorkMs(unread, context) + (Math.ceil(unread / CHUNK_TOKENS) * STEP_MS);
}

function estimateWorkMs(unread: number, context: number): number {
	const pairs = unread * (context + (unread / 2));
	return (unread / READ_TOKENS_PER_MS) + (pairs / 1_000_000 * READ_MS_PER_MILLION_PAIRS);
}
