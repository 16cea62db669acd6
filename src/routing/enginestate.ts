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

type Reading = {
	readonly workMs: number;
	startedMs: number;
};

/** Prompt tokens that an engine reads in a millisecond until it is measured, as the users state it. */
const READ_TOKENS_PER_MS = 93;
/** Cost of attention between a prompt's tokens, milliseconds for a million pairs, as the users' servers show it. */
const READ_MS_PER_MILLION_PAIRS = 0.442;
/** An engine that makes tokens reads at half the speed. */
const MIXED_READ_FACTOR = 2;
/** Bounds of the measured slowness, and the weight of one measurement. */
const SLOWEST = 8;
const SLOWNESS_WEIGHT = 0.2;

/** The state of one engine in one incarnation. */
export class EngineState {
	facts: EngineFacts;
	readonly #cache = new PartCache();
	readonly #reading = new Map<string, Reading>();
	readonly #running = new Map<string, number>();
	#contextTokens = 0;
	#suspectedUntilMs = Number.NEGATIVE_INFINITY;
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

	isSuspected(nowMs: number): boolean {
		return nowMs < this.#suspectedUntilMs;
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

	/** Time until what it was given to read is read, milliseconds. */
	backlogMs(nowMs: number): number {
		let sumMs = 0;
		let isFirst = true;
		for (const {workMs, startedMs} of this.#reading.values()) {
			sumMs += isFirst ? Math.max(0, workMs - (nowMs - startedMs)) : workMs;
			isFirst = false;
		}

		return sumMs;
	}

	/**
	 * Notes that it was given a prompt to read.
	 *
	 * @param workMs - Time that it should need.
	 */
	beginRead(id: string, flight: Flight, workMs: number, nowMs: number): void {
		this.#reading.set(id, {workMs, startedMs: nowMs});
		this.#cache.note(flight.parts, this.facts.kvTokens - this.#contextTokens);
	}

	/** Notes that a prompt is read, and learns from how long it took. */
	endRead(id: string, nowMs: number): void {
		const reading = this.#reading.get(id);
		const [first] = this.#reading.keys();
		this.#reading.delete(id);
		if (!reading) {
			return;
		}

		if (first === id && reading.workMs > 0) {
			const ratio = ((nowMs - reading.startedMs) / reading.workMs) * this.#slowness;
			this.#slowness += (Math.min(SLOWEST, Math.max(1, ratio)) - this.#slowness) * SLOWNESS_WEIGHT;
		}

		// The next in line begins now.
		const [next] = this.#reading.values();
		if (next) {
			next.startedMs = Math.max(next.startedMs, nowMs);
		}
	}

	beginRun(id: string, {parts, promptTokens, outputTokens}: Flight): void {
		const tokens = promptTokens + outputTokens;
		this.#contextTokens += tokens - (this.#running.get(id) ?? 0);
		this.#running.set(id, tokens);
		this.#cache.note(parts, this.facts.kvTokens - this.#contextTokens);
	}

	end(id: string): void {
		this.#reading.delete(id);
		this.#contextTokens -= this.#running.get(id) ?? 0;
		this.#running.delete(id);
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
