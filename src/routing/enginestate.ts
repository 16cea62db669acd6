/**
 * What a placer knows of one engine: the work it was given, and the prompt parts it should hold.
 *
 * @module
 */
import {ENGINE_ROLES, type EngineRole} from './choice.js';
import {PartCache, type PromptPart} from './parts.js';

export type EngineFacts = {
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
export type Flight = {
	readonly parts: readonly PromptPart[];
	readonly promptTokens: number;
	readonly outputTokens: number;
};

/** A prompt that an engine was given to read. */
export type ReadTask = {
	readonly workMs: number;
	/** Whether it waits behind everything that can still be in time. */
	readonly isLate: boolean;
};

type Reading = ReadTask & {
	readonly givenMs: number;
	/** Time that it should take, with what was before it, milliseconds. */
	readonly expectedMs: number;
	/** When the one before it ended. */
	headMs: number;
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
/** An engine that makes tokens reads at half the speed. */
const MIXED_READ_FACTOR = 2;
/** Bounds of the measured slowness, and the weight of one measurement. */
const SLOWEST = 6;
const FASTEST = 0.7;
const SLOWNESS_WEIGHT = 0.08;
/** An engine whose work is overdue by this much, with no sign of any other, is taken for gone, milliseconds. */
const SILENCE_MS = 600;

/** The state of one engine in one incarnation. */
export class EngineState {
	facts: EngineFacts;
	readonly #cache = new PartCache();
	readonly #reading = new Map<string, Reading>();
	readonly #running = new Map<string, Run>();
	#contextTokens = 0;
	#suspectedUntilMs = Number.NEGATIVE_INFINITY;
	#progressMs = Number.NEGATIVE_INFINITY;
	/** Measured reading time over the expected one. */
	#slowness = 1;

	constructor(facts: EngineFacts) {
		this.facts = facts;
	}

	get runningCount(): number {
		return this.#running.size;
	}

	/** Tokens of the requests that run here. */
	get contextTokens(): number {
		return this.#contextTokens;
	}

	suspect(untilMs: number): void {
		this.#suspectedUntilMs = untilMs;
	}

	/** Whether it failed a moment ago, or has fallen silent with work in hand. */
	isSuspected(nowMs: number): boolean {
		return nowMs < this.#suspectedUntilMs || this.#isSilent(nowMs);
	}

	/** Tokens of the leading parts of a prompt that it should hold. */
	countCached(parts: readonly PromptPart[]): number {
		return this.#cache.countCached(parts);
	}

	/**
	 * Time that it needs to read a prompt once it begins, milliseconds.
	 *
	 * @param cached - Leading tokens that it holds or is given.
	 */
	readMs({promptTokens}: Pick<Flight, 'promptTokens'>, cached: number): number {
		const unread = Math.max(1, promptTokens - cached);
		const factor = this.facts.role === ENGINE_ROLES.prefill ? 1 : MIXED_READ_FACTOR;
		return estimateReadMs(unread, cached) * factor * this.#slowness;
	}

	/**
	 * Time until what it was given to read is read, milliseconds.
	 *
	 * @param withLate - Whether prompts that are late already count: they wait behind the others.
	 */
	backlogMs(nowMs: number, withLate: boolean): number {
		let sumMs = 0;
		let isHead = true;
		for (const {workMs, headMs, isLate} of this.#reading.values()) {
			if (withLate || !isLate || isHead) {
				sumMs += isHead ? Math.max(0, workMs - (nowMs - headMs)) : workMs;
			}

			isHead = false;
		}

		return sumMs;
	}

	/** Notes that it was given a prompt to read. */
	beginRead(id: string, flight: Flight, task: ReadTask, nowMs: number): void {
		const expectedMs = this.backlogMs(nowMs, task.isLate) + task.workMs;
		this.#reading.set(id, {
			...task, givenMs: nowMs, headMs: nowMs, expectedMs,
		});
		this.#cache.note(flight.parts, this.facts.kvTokens - this.#contextTokens);
	}

	/** Notes parts that it read on another placer's word. */
	learn(parts: readonly PromptPart[]): void {
		this.#cache.note(parts, this.facts.kvTokens - this.#contextTokens);
	}

	/** Notes that a prompt is read, and learns from how long it took. */
	endRead(id: string, nowMs: number): void {
		const reading = this.#reading.get(id);
		this.#progressMs = nowMs;
		if (!reading) {
			return;
		}

		this.#dropReading(id, nowMs);
		if (!reading.isLate) {
			const measured = ((nowMs - reading.givenMs) / reading.expectedMs) * this.#slowness;
			this.#slowness += (Math.min(SLOWEST, Math.max(FASTEST, measured)) - this.#slowness) * SLOWNESS_WEIGHT;
		}
	}

	/**
	 * Notes that it was given a request to run.
	 *
	 * @param dueMs - When the first event should come.
	 */
	beginRun(id: string, {parts, promptTokens, outputTokens}: Flight, dueMs: number | undefined): void {
		const tokens = promptTokens + outputTokens;
		this.#contextTokens += tokens - (this.#running.get(id)?.tokens ?? 0);
		this.#running.set(id, {tokens, dueMs});
		this.#cache.note(parts, this.facts.kvTokens - this.#contextTokens);
	}

	/** Notes the first event of a request. */
	noteFirst(id: string, nowMs: number): void {
		this.#progressMs = nowMs;
		const run = this.#running.get(id);
		if (run) {
			run.dueMs = undefined;
		}
	}

	end(id: string, nowMs: number): void {
		this.#dropReading(id, nowMs);
		this.#contextTokens -= this.#running.get(id)?.tokens ?? 0;
		this.#running.delete(id);
	}

	#dropReading(id: string, nowMs: number): void {
		const [head] = this.#reading.keys();
		this.#reading.delete(id);
		const [next] = this.#reading.values();
		if (head === id && next) {
			next.headMs = nowMs;
		}
	}

	#isSilent(nowMs: number): boolean {
		if (nowMs - this.#progressMs < SILENCE_MS) {
			return false;
		}

		for (const {givenMs, expectedMs} of this.#reading.values()) {
			if (nowMs - (givenMs + expectedMs) > SILENCE_MS) {
				return true;
			}
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
 * Estimates how long an engine of ordinary speed reads.
 *
 * @param unread - Tokens to read.
 * @param context - Tokens before them that it holds.
 * @example
 * ```ts
 * estimateReadMs(9300, 0); // 100 ms of reading and 19 ms of attention
 * ```
 */
export function estimateReadMs(unread: number, context: number): number {
	const pairs = unread * (context + (unread / 2));
	return (unread / READ_TOKENS_PER_MS) + (pairs / 1_000_000 * READ_MS_PER_MILLION_PAIRS);
}
