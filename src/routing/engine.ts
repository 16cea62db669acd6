/**
 * The scheduler's model of one engine: its queued and running requests, its KV cache, its measured speed and its health.
 *
 * @module
 */
import {ENGINE_ROLES, type EngineRole} from './choice.js';
import {KvCacheModel, type PromptPart} from './kvcache.js';
import {PrefillQueue, type PrefillReport, type PrefillTask} from './queue.js';

/** Identity and configuration of an engine. */
export type EngineInfo = {
	readonly server: string;
	readonly incarnation: number;
	readonly service: string;
	readonly dataCentre: string;
	readonly role: EngineRole;
	/** Maximum number of concurrent requests. */
	readonly slots: number;
	/** Capacity of the KV cache, tokens. */
	readonly kvTokens: number;
};

/** Prompt and maximum output of a request. */
export type RequestSize = {
	readonly parts: readonly PromptPart[];
	readonly promptTokens: number;
	readonly outputTokens: number;
};

/** A request that was assigned to run at the engine. */
type Run = {
	readonly tokens: number;
	/** When the first event is expected; undefined once it has arrived. */
	dueMs: number | undefined;
};

/** Prefill speed until it is measured, tokens per millisecond; as specified by the users. */
const PREFILL_TOKENS_PER_MS = 93;
/** Time for attention, milliseconds per million pairs of tokens; observed on the users' servers. */
const ATTENTION_MS_PER_MILLION_PAIRS = 0.442;
/** Prompt tokens that an engine prefills in one step; as specified by the users. */
const CHUNK_TOKENS = 1024;
/** A decode engine prefills at half the speed, and a quarter as many tokens per step. */
const DECODE_ENGINE_PREFILL_FACTOR = 2;
const DECODE_ENGINE_CHUNK_FACTOR = 4;
/**
 * Base duration of a step, and the time that each thousand context tokens of running requests add; as specified by the
 * users.
 */
const STEP_MS = 3.29;
const STEP_MS_PER_THOUSAND_TOKENS = 0.0262;
/** Part of a request's latency that does not occupy the engine, until it is measured. */
const INITIAL_OVERHEAD_MS = 80;
/** Below this prefill time, the duration of a prefill is used to measure the overhead instead of the speed. */
const SMALL_WORK_MS = 40;
const OVERHEAD_WEIGHT = 0.05;
/** Bounds of the measured slowdown, and the weight of one measurement in its moving average. */
const MAX_SLOWDOWN = 6;
const MIN_SLOWDOWN = 0.7;
const SLOWDOWN_WEIGHT = 0.08;
/** Progress that is reported within this time after a failure was already in transit and does not clear the suspicion. */
const TRANSIT_MS = 30;
/** Weight of one outcome in the moving average of the failure rate. */
const FAILURE_WEIGHT = 0.1;
/**
 * The failure rate decays with this half-life, so that a failing engine is retried: it gets no requests that could lower
 * its rate.
 */
const FAILURE_HALF_LIFE_MS = 3000;
/** Time constant of the moving average of an engine's utilisation. */
const UTILISATION_WINDOW_MS = 2000;
/** An engine is presumed unreachable if it has reported no progress for this long and work is overdue by as much. */
const SILENCE_MS = 600;

/** The state of one incarnation of an engine. Performs no I/O; the caller passes the current time. */
export class EngineState {
	info: EngineInfo;
	readonly #cache = new KvCacheModel();
	readonly #prefillQueue = new PrefillQueue();
	/** For each queued prompt, the parts that it will add to the cache; other engines cannot fetch them yet. */
	readonly #pendingParts = new Map<string, ReadonlySet<string>>();
	readonly #running = new Map<string, Run>();
	#contextTokens = 0;
	#suspectedAtMs = Number.NEGATIVE_INFINITY;
	#suspectedUntilMs = Number.NEGATIVE_INFINITY;
	#failureRate = 0;
	#lastOutcomeMs = 0;
	#lastProgressMs = Number.NEGATIVE_INFINITY;
	/** Moving average of the measured prefill time divided by the estimated one. */
	#slowdown = 1;
	#overheadMs = INITIAL_OVERHEAD_MS;
	#assignedWorkMs = 0;
	#assignedAtMs = 0;

	constructor(info: EngineInfo) {
		this.info = info;
	}

	get runningCount(): number {
		return this.#running.size;
	}

	/** Total tokens of the running requests. */
	get contextTokens(): number {
		return this.#contextTokens;
	}

	/** Time to the first token in addition to queueing and prefill, milliseconds. */
	get overheadMs(): number {
		return this.#overheadMs;
	}

	/** Duration of one step with the current running requests, milliseconds. */
	get stepMs(): number {
		return STEP_MS + this.contextStepMs(0);
	}

	/** Part of a step's duration that is due to the context of the running requests and `extraTokens`, milliseconds. */
	contextStepMs(extraTokens: number): number {
		return (this.#contextTokens + extraTokens) / 1000 * STEP_MS_PER_THOUSAND_TOKENS;
	}

	/** Failure rate of recent requests, decayed by the time since the last outcome. */
	failureRate(nowMs: number): number {
		return this.#failureRate * (0.5 ** ((nowMs - this.#lastOutcomeMs) / FAILURE_HALF_LIFE_MS));
	}

	/** Prefill work assigned lately as a share of the engine's time; above 1 if it cannot keep up. */
	utilisation(nowMs: number): number {
		return this.#assignedWorkMs * Math.exp((this.#assignedAtMs - nowMs) / UTILISATION_WINDOW_MS) / UTILISATION_WINDOW_MS;
	}

	/** Marks the engine as suspected until a time, or until it reports progress. */
	suspect(untilMs: number, nowMs: number): void {
		this.#suspectedAtMs = nowMs;
		this.#suspectedUntilMs = untilMs;
	}

	/** Records whether a request failed. */
	recordOutcome(isFailure: boolean, nowMs: number): void {
		const rate = this.failureRate(nowMs);
		this.#failureRate = rate + (((isFailure ? 1 : 0) - rate) * FAILURE_WEIGHT);
		this.#lastOutcomeMs = nowMs;
	}

	/** Whether the engine failed recently without progress since, or is silent although work is overdue. */
	isSuspected(nowMs: number): boolean {
		const isAlive = this.#lastProgressMs > this.#suspectedAtMs + TRANSIT_MS;
		return (nowMs < this.#suspectedUntilMs && !isAlive) || this.#isSilent(nowMs);
	}

	/** Counts the tokens of a prompt's leading parts that should be in the cache. */
	countCached(parts: readonly PromptPart[]): number {
		return this.#cache.countCached(parts);
	}

	/** Counts the tokens of parts shared by several prompts that the given number of new tokens would evict. */
	countEvictedShared(tokens: number): number {
		return this.#cache.countEvictedShared(tokens, this.info.kvTokens - this.#contextTokens);
	}

	/** Counts the tokens of a prompt's leading parts that other engines can fetch now. */
	countFetchable(parts: readonly PromptPart[]): number {
		const firstPending = parts.findIndex(({key}) => this.#isPending(key));
		return this.#cache.countCached(firstPending === -1 ? parts : parts.slice(0, firstPending));
	}

	/**
	 * Estimates the duration of a prefill without queueing, milliseconds.
	 *
	 * @param cachedTokens - Leading tokens that are in the cache or are fetched into it.
	 */
	prefillMs({promptTokens}: Pick<RequestSize, 'promptTokens'>, cachedTokens: number): number {
		const uncachedTokens = Math.max(1, promptTokens - cachedTokens);
		if (this.info.role === ENGINE_ROLES.prefill) {
			return estimatePrefillMs(uncachedTokens, cachedTokens) * this.#slowdown;
		}

		const steps = Math.ceil(uncachedTokens / (CHUNK_TOKENS / DECODE_ENGINE_CHUNK_FACTOR));
		return ((estimateComputeMs(uncachedTokens, cachedTokens) * DECODE_ENGINE_PREFILL_FACTOR) + (steps * this.stepMs)) * this.#slowdown;
	}

	/** Time until the prefill of a new prompt with the given priority would start, milliseconds. */
	waitMs(priority: number, nowMs: number): number {
		return this.#prefillQueue.waitMs(priority, nowMs);
	}

	/** Counts the queued prompts that are less urgent than the given priority. */
	countLowerPriority(priority: number, nowMs: number): number {
		return this.#prefillQueue.countLowerPriority(priority, nowMs);
	}

	/** Records that the engine was assigned the prefill of a prompt. */
	startPrefill(id: string, size: RequestSize, task: PrefillTask, nowMs: number): void {
		this.#prefillQueue.add(id, task, nowMs);
		this.#assignedWorkMs = (this.utilisation(nowMs) * UTILISATION_WINDOW_MS) + task.workMs;
		this.#assignedAtMs = nowMs;
		const missing = size.parts.filter(({key}) => !this.#cache.has(key)).map(({key}) => key);
		this.#pendingParts.set(id, new Set(missing));
		this.#cache.record(size.parts, this.info.kvTokens - this.#contextTokens);
	}

	/** Records parts that are cached because of another scheduler's placement. */
	recordCached(parts: readonly PromptPart[]): void {
		this.#cache.record(parts, this.info.kvTokens - this.#contextTokens);
	}

	/** Records that a prefill has completed, and updates the measured speed or overhead. */
	completePrefill(id: string, nowMs: number): void {
		this.#lastProgressMs = nowMs;
		this.#pendingParts.delete(id);
		const report = this.#prefillQueue.complete(id, nowMs - this.#overheadMs);
		if (report) {
			this.#updateSpeed(report);
		}
	}

	/**
	 * Records that the engine was assigned a request to run.
	 *
	 * @param dueMs - When the first event is expected; undefined if it is not known.
	 */
	startRun(id: string, {parts, promptTokens, outputTokens}: RequestSize, dueMs: number | undefined): void {
		const tokens = promptTokens + outputTokens;
		this.#contextTokens += tokens - (this.#running.get(id)?.tokens ?? 0);
		this.#running.set(id, {tokens, dueMs});
		this.#cache.record(parts, this.info.kvTokens - this.#contextTokens);
	}

	/** Records the first event of a request. */
	recordFirstEvent(id: string, nowMs: number): void {
		this.#lastProgressMs = nowMs;
		const run = this.#running.get(id);
		if (run) {
			run.dueMs = undefined;
		}
	}

	/** Removes a request that has ended, failed or was reassigned. */
	endRequest(id: string, nowMs: number): void {
		this.#prefillQueue.remove(id, nowMs);
		this.#cache.remove(this.#pendingParts.get(id) ?? []);
		this.#pendingParts.delete(id);
		this.#contextTokens -= this.#running.get(id)?.tokens ?? 0;
		this.#running.delete(id);
	}

	#isPending(key: string): boolean {
		for (const keys of this.#pendingParts.values()) {
			if (keys.has(key)) {
				return true;
			}
		}

		return false;
	}

	#updateSpeed({busyMs, workMs, totalMs, wasIdle}: PrefillReport): void {
		if (workMs < SMALL_WORK_MS) {
			const overheadMs = Math.max(0, totalMs + this.#overheadMs - workMs);
			this.#overheadMs += wasIdle ? (overheadMs - this.#overheadMs) * OVERHEAD_WEIGHT : 0;
			return;
		}

		const measured = (busyMs / workMs) * this.#slowdown;
		this.#slowdown += (Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, measured)) - this.#slowdown) * SLOWDOWN_WEIGHT;
	}

	#isSilent(nowMs: number): boolean {
		if (nowMs - this.#lastProgressMs < SILENCE_MS) {
			return false;
		}

		if (this.#prefillQueue.overdueMs(nowMs - this.#overheadMs) > SILENCE_MS) {
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
 * Estimates how long a prefill engine of nominal speed is busy with a prompt, milliseconds.
 *
 * @param uncachedTokens - Tokens to prefill.
 * @param contextTokens - Tokens before them that are in the cache.
 * @example
 * ```ts
 * estimatePrefillMs(9300, 0); // 100 ms for the tokens, 19 ms of attention, 10 steps of 3.29 ms
 * ```
 */
export function estimatePrefillMs(uncachedTokens: number, contextTokens: number): number {
	return estimateComputeMs(uncachedTokens, contextTokens) + (Math.ceil(uncachedTokens / CHUNK_TOKENS) * STEP_MS);
}

function estimateComputeMs(uncachedTokens: number, contextTokens: number): number {
	const pairs = uncachedTokens * (contextTokens + (uncachedTokens / 2));
	return (uncachedTokens / PREFILL_TOKENS_PER_MS) + (pairs / 1_000_000 * ATTENTION_MS_PER_MILLION_PAIRS);
}
