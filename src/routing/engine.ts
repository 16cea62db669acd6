/**
 * The scheduler's model of one engine: its queued and running requests, its KV cache, its measured speed and its health.
 *
 * @module
 */
import {CacheBelief, type AssignedPrefill} from './belief.js';
import {ENGINE_ROLES, type EngineRole} from './choice.js';
import type {PromptPart} from './kvcache.js';
import {PrefillQueue, type PrefillReport} from './queue.js';
import {DecayingRate} from './rate.js';
import {hashServer, IS_REUSE_WEIGHED} from './reuse.js';
import type {PoolSpeed, PrefillModel, PrefillSize} from './speed.js';

/** Identity and configuration of an engine. */
export type EngineInfo = {
	readonly server: string;
	readonly incarnation: number;
	readonly service: string;
	readonly dataCentre: string;
	readonly role: EngineRole;
	/** Version of its software. */
	readonly software: string;
	/** Maximum number of concurrent requests. */
	readonly slots: number;
	/** Capacity of the KV cache, tokens. */
	readonly kvTokens: number;
	readonly kvBytesPerToken: number;
	/** Bandwidth of the link over which engines transfer KV cache, megabits per second. */
	readonly linkMbps: number;
};

/** A prefill that an engine is assigned. */
export type PrefillAssignment = PrefillSize & {
	/** Estimated time that the engine is busy with it, including the fetch, milliseconds. */
	readonly workMs: number;
	/** Estimated time to fetch shared parts from another engine, milliseconds. */
	readonly fetchMs: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Engine from which shared parts are fetched; undefined without a fetch. */
	readonly source?: EngineState | undefined;
	/** Whether the engine was chosen as the home of a beginning of unknown location. */
	readonly isHomeGuess?: boolean;
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

/** Weight of one measurement in the moving average of an engine's slowdown, and its bounds. */
const SLOWDOWN_WEIGHT = 0.1;
const MIN_SLOWDOWN = 0.25;
const MAX_SLOWDOWN = 8;
/** A prefill shorter than this multiple of the overhead does not show how slow an engine is. */
const MIN_WORK_FACTOR = 0.5;
/** An engine that is slower than the pool by more than this factor does not represent it. */
const SLOW_ENGINE_FACTOR = 1.5;
/** Progress that is reported within this time after a failure was already in transit and does not clear the suspicion. */
const TRANSIT_MS = 30;
/** Weight of one outcome in the moving average of the failure rate. */
const FAILURE_WEIGHT = 0.1;
/**
 * The failure rate decays with this half-life, so that a failing engine is retried: it gets no requests that could lower
 * its rate.
 */
const FAILURE_HALF_LIFE_MS = 3000;
/** Time constant of the rates of work and requests at an engine. */
const RATE_WINDOW_MS = 2000;
/** Upper bound of the share of an engine's time that more urgent prompts are expected to take. */
const MAX_OVERTAKING_SHARE = 0.95;
/** An engine is presumed unreachable if it has reported no progress for this long and work is overdue by as much. */
const SILENCE_MS = 600;

/** The state of one incarnation of an engine. Performs no I/O; the caller passes the current time. */
export class EngineState {
	info: EngineInfo;
	readonly #cache: CacheBelief;
	readonly #prefillQueue = new PrefillQueue();
	readonly #running = new Map<string, Run>();
	#contextTokens = 0;
	#suspectedAtMs = Number.NEGATIVE_INFINITY;
	#suspectedUntilMs = Number.NEGATIVE_INFINITY;
	#failureRate = 0;
	#lastOutcomeMs = 0;
	#lastProgressMs = Number.NEGATIVE_INFINITY;
	readonly #prefills = new Map<string, PrefillAssignment>();
	readonly #speed: PoolSpeed;
	/** Checksum by which it is ranked as the home of beginnings. */
	readonly homeHash: number;
	readonly #isReuseWeighed: boolean;
	/** Moving average of the measured prefill time divided by the pool's. */
	#slowdown = 1;
	/** Prefill work assigned per millisecond, by priority. */
	readonly #assignedWork = new Map<number, DecayingRate>();
	/** Requests handed off to the engine per millisecond. */
	readonly #handoffs = new DecayingRate(RATE_WINDOW_MS);

	/** @param speed - Learnt speeds of the engine's pool, to which the measurements of this engine contribute. */
	constructor(info: EngineInfo, speed: PoolSpeed, isReuseWeighed = IS_REUSE_WEIGHED) {
		this.info = info;
		this.#speed = speed;
		this.#cache = new CacheBelief(speed.reuse);
		this.#isReuseWeighed = isReuseWeighed;
		this.homeHash = hashServer(info.server);
	}

	/** What is believed about its cache. */
	get cacheBelief(): CacheBelief {
		return this.#cache;
	}

	/** Probability that parts which should be cached really are, by recent prefills. */
	get hitProbability(): number {
		return this.#cache.hitProbability;
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
		return this.#model.coefficients.overheadMs;
	}

	/** Learnt speeds of the engine's pool. */
	get speed(): PoolSpeed {
		return this.#speed;
	}

	get #model(): PrefillModel {
		return this.info.role === ENGINE_ROLES.prefill ? this.#speed.prefill : this.#speed.decodePrefill;
	}

	/** Failure rate of recent requests, decayed by the time since the last outcome. */
	failureRate(nowMs: number): number {
		return this.#failureRate === 0 ? 0 : this.#failureRate * (0.5 ** ((nowMs - this.#lastOutcomeMs) / FAILURE_HALF_LIFE_MS));
	}

	/** Prefill work assigned lately as a share of the engine's time; above 1 if it cannot keep up. */
	utilisation(nowMs: number): number {
		let share = 0;
		for (const work of this.#assignedWork.values()) {
			share += work.rate(nowMs);
		}

		return share;
	}

	/** Expected delay that a prefill causes to later requests at this engine, milliseconds. */
	displacementMs(workMs: number, nowMs: number): number {
		// Requests that are handed off to the engine while it is busy wait for half of the prefill on average.
		return workMs * (this.utilisation(nowMs) + (this.#handoffs.rate(nowMs) * workMs / 2));
	}

	/** Records that a request was handed off to the engine. */
	recordHandoff(nowMs: number): void {
		this.#handoffs.add(1, nowMs);
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

	/** Counts the tokens of a prompt's leading parts that other engines can fetch now. */
	countFetchable(parts: readonly PromptPart[]): number {
		return this.#cache.countFetchable(parts);
	}

	/**
	 * Estimates the duration of a prefill without queueing, milliseconds.
	 *
	 * @param cachedTokens - Leading tokens that are in the cache or are fetched into it.
	 */
	prefillMs({promptTokens}: Pick<RequestSize, 'promptTokens'>, cachedTokens: number): number {
		return this.#model.estimateMs({uncachedTokens: Math.max(1, promptTokens - cachedTokens), cachedTokens}) * this.#slowdown;
	}

	/** Time until the prefill of a new prompt with the given priority is expected to start, milliseconds. */
	waitMs(priority: number, nowMs: number): number {
		// More urgent prompts that arrive during the wait are processed first, and prolong it in turn.
		let overtakingShare = 0;
		for (const [otherPriority, work] of this.#assignedWork) {
			overtakingShare += otherPriority < priority ? work.rate(nowMs) : 0;
		}

		return this.#prefillQueue.waitMs(priority, nowMs) / (1 - Math.min(MAX_OVERTAKING_SHARE, overtakingShare));
	}

	/** Counts the queued prompts that are less urgent than the given priority. */
	countLowerPriority(priority: number, nowMs: number): number {
		return this.#prefillQueue.countLowerPriority(priority, nowMs);
	}

	/** Records that the engine was assigned the prefill of a prompt. */
	startPrefill(id: string, size: RequestSize, task: PrefillAssignment, nowMs: number): void {
		this.#prefills.set(id, task);
		this.#prefillQueue.add(id, task, nowMs);
		this.#recordWork(task, nowMs);
		const {cachedTokens, source, isHomeGuess = false} = task;
		this.#cache.startPrefill(id, {
			parts: size.parts, believedTokens: cachedTokens, source: source?.cacheBelief, isHomeGuess,
		}, this.info.kvTokens - this.#contextTokens);
	}

	/** Records parts that are cached because of another scheduler's placement. */
	recordCached(parts: readonly PromptPart[]): void {
		this.#cache.recordCached(parts, this.info.kvTokens - this.#contextTokens);
	}

	/** Records that a prefill has completed, and updates the measured speed or overhead. */
	completePrefill(id: string, nowMs: number): void {
		this.#lastProgressMs = nowMs;
		const prefill = this.#cache.completePrefill(id);
		const report = this.#prefillQueue.complete(id, nowMs - this.overheadMs);
		const assignment = this.#prefills.get(id);
		this.#prefills.delete(id);
		if (report && assignment) {
			const size = this.#isReuseWeighed && prefill ? this.#inferSize(report, assignment, prefill) : assignment;
			this.#updateSpeed(report, size, assignment.fetchMs);
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
		this.#cache.recordCached(parts, this.info.kvTokens - this.#contextTokens);
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
		this.#prefills.delete(id);
		this.#cache.abandonPrefill(id);
		this.#contextTokens -= this.#running.get(id)?.tokens ?? 0;
		this.#running.delete(id);
	}

	#recordWork({priority, workMs}: PrefillAssignment, nowMs: number): void {
		const work = this.#assignedWork.get(priority) ?? new DecayingRate(RATE_WINDOW_MS);
		work.add(workMs, nowMs);
		this.#assignedWork.set(priority, work);
	}

	/** Infers from the time of a prefill how much was cached, and corrects what is believed about the cache. */
	#inferSize({busyMs, totalMs, wasQueued}: PrefillReport, assignment: PrefillAssignment, prefill: AssignedPrefill): PrefillSize {
		const promptTokens = assignment.uncachedTokens + assignment.cachedTokens;
		const cachedTokens = this.#cache.correct(prefill, {
			elapsedMs: (wasQueued ? busyMs : totalMs) - assignment.fetchMs,
			resolutionMs: this.overheadMs * MIN_WORK_FACTOR,
			estimateMs: tokens => this.prefillMs({promptTokens}, tokens),
		});
		return {cachedTokens, uncachedTokens: Math.max(1, promptTokens - cachedTokens)};
	}

	/** Updates the slowdown of this engine and, unless it is slower than the others, the speed of the pool. */
	#updateSpeed({busyMs, totalMs, wasQueued}: PrefillReport, {uncachedTokens, cachedTokens}: PrefillSize, fetchMs: number): void {
		const size = {uncachedTokens, cachedTokens};
		const {overheadMs} = this;
		const workMs = (wasQueued ? busyMs : totalMs) - fetchMs;
		const expectedMs = this.#model.estimateMs(size);
		if (expectedMs > overheadMs * MIN_WORK_FACTOR && workMs > 0) {
			const ratio = workMs / expectedMs;
			this.#slowdown += (Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, ratio)) - this.#slowdown) * SLOWDOWN_WEIGHT;
			this.#speed.recordRatio(ratio);
		}

		if (this.#slowdown < this.#speed.medianRatio * SLOW_ENGINE_FACTOR) {
			this.#model.record({...size, includesOverhead: !wasQueued, elapsedMs: wasQueued ? workMs : workMs + overheadMs});
		}
	}

	#isSilent(nowMs: number): boolean {
		if (nowMs - this.#lastProgressMs < SILENCE_MS) {
			return false;
		}

		if (this.#prefillQueue.overdueMs(nowMs - this.overheadMs) > SILENCE_MS) {
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
