/**
 * Simulated model engine: continuous batching, prefill and decode cost, prefix cache with LRU eviction, limited KV
 * cache.
 *
 * @module
 */
import type {EngineRole, EngineSpeed} from '../../src/routing/choice.js';
import type {LoadReport} from '../../src/routing/load.js';

export type EngineJob = {
	readonly id: number;
	readonly promptTokens: number;
	readonly outputTokens: number;
	readonly blocks: readonly number[];
	/** Whether the KV cache of the prompt was transferred from another engine, so that no prefill is needed. */
	readonly isImported: boolean;
	/** Whether it ends after its first token, to continue on another engine. */
	readonly handsOff: boolean;
	readonly poison: boolean;
	/** Number of output tokens that the caller has already received. */
	readonly offset: number;
	readonly onToken: (nowMs: number) => void;
	readonly onEnd: (nowMs: number, end: 'complete' | 'handoff' | 'crashed', cachedBlocks: number) => void;
};

type RunningJob = {
	readonly job: EngineJob;
	prefillLeft: number;
	produced: number;
	cachedBlocks: number;
};

/** Speed of every simulated engine; the policies estimate load with the same numbers. */
export const ENGINE_SPEED: EngineSpeed = {prefillTokensPerMs: 16, stepMs: 14, stepMsPerRequest: 0.2};
export const MAX_RUNNING_REQUESTS = 52;
export const KV_CACHE_TOKENS = 64_000;
export const ROLE_CHANGE_MS = 4000;
/** Prompt tokens per step, by role: large chunks speed up prefill, small ones keep the time between tokens short. */
const CHUNK_TOKENS: Readonly<Record<EngineRole, number>> = {prefill: 2048, mixed: 128, decode: 64};
const TOKENS_PER_BLOCK = 64;
const CACHE_BLOCKS = 600;
const RESTART_MS = 20_000;

/** A simulated engine. */
export class SimulatedEngine {
	readonly name: string;
	role: EngineRole;
	/** Until then it runs no requests, because it is changing its role, restarting or withdrawn. */
	unavailableUntilMs = 0;
	crashCount = 0;
	readonly #cache = new Map<number, true>();
	#waiting: EngineJob[] = [];
	#running: RunningJob[] = [];
	#isStepping = false;
	/** Increases with each crash, so that a step which was running then has no effect. */
	#generation = 0;
	#nextRole: EngineRole | undefined;
	readonly #schedule: (delayMs: number, run: (nowMs: number) => void) => void;

	constructor(name: string, role: EngineRole, schedule: (delayMs: number, run: (nowMs: number) => void) => void) {
		this.name = name;
		this.role = role;
		this.#schedule = schedule;
	}

	get load(): LoadReport {
		return {
			running: this.#running.length,
			waiting: this.#waiting.length,
			prefillTokens: this.#running.reduce((sum, running) => sum + running.prefillLeft, 0) + this.#waiting.reduce((sum, job) => sum + (job.isImported ? 0 : job.promptTokens), 0),
			decodeTokens: this.#reservedKvTokens(),
		};
	}

	get isIdle(): boolean {
		return this.#running.length === 0 && this.#waiting.length === 0;
	}

	submit(job: EngineJob, nowMs: number): void {
		this.#waiting.push(job);
		this.#startStepping(nowMs);
	}

	/** Changes the role. The engine must be idle; it is unavailable until the change is done. */
	changeRole(role: EngineRole, nowMs: number): void {
		this.unavailableUntilMs = nowMs + ROLE_CHANGE_MS;
		this.#nextRole = role;
		this.#cache.clear();
		this.#schedule(ROLE_CHANGE_MS, () => {
			this.role = this.#nextRole ?? this.role;
		});
	}

	/** Crashes: ends all running and waiting requests and clears the prefix cache. */
	crash(nowMs: number, forMs: number): void {
		this.crashCount++;
		this.#generation++;
		this.unavailableUntilMs = nowMs + forMs;
		this.#cache.clear();
		const lost = [...this.#running.map(({job}) => job), ...this.#waiting];
		this.#running = [];
		this.#waiting = [];
		this.#isStepping = false;
		for (const job of lost) {
			job.onEnd(nowMs, 'crashed', 0);
		}
	}

	/** Starts the step loop if it is not running. */
	#startStepping(nowMs: number): void {
		if (!this.#isStepping) {
			this.#isStepping = true;
			this.#step(nowMs);
		}
	}

	#step(nowMs: number): void {
		this.#admit();
		if (this.#running.length === 0) {
			this.#isStepping = false;
			return;
		}

		const chunk = this.#takeChunk();
		const decoding = this.#running.filter(running => running.prefillLeft === 0);
		const durationMs = ENGINE_SPEED.stepMs + (ENGINE_SPEED.stepMsPerRequest * decoding.length) + (chunk / ENGINE_SPEED.prefillTokensPerMs);
		const generation = this.#generation;
		this.#schedule(durationMs, endMs => {
			if (generation === this.#generation) {
				this.#finishStep(decoding, endMs);
			}
		});
	}

	#finishStep(decoding: readonly RunningJob[], nowMs: number): void {
		for (const running of decoding) {
			if (running.job.poison) {
				this.crash(nowMs, RESTART_MS);
				return;
			}

			running.produced++;
			running.job.onToken(nowMs);
		}

		const isFinished = (running: RunningJob) => running.job.offset + running.produced >= running.job.outputTokens || (running.job.handsOff && running.produced > 0);
		const finished = this.#running.filter(running => isFinished(running));
		this.#running = this.#running.filter(running => !isFinished(running));
		for (const {job, produced, cachedBlocks} of finished) {
			job.onEnd(nowMs, job.offset + produced >= job.outputTokens ? 'complete' : 'handoff', cachedBlocks);
		}

		this.#step(nowMs);
	}

	/** Moves waiting requests into the running batch while the batch and the KV cache have room. */
	#admit(): void {
		while (this.#waiting.length > 0 && this.#running.length < MAX_RUNNING_REQUESTS) {
			const job = this.#waiting[0]!;
			const fitsKvCache = this.#reservedKvTokens() + job.promptTokens + job.outputTokens <= KV_CACHE_TOKENS;
			if (!fitsKvCache && this.#running.length > 0) {
				return;
			}

			this.#waiting.shift();
			const cachedBlocks = this.#countCached(job.blocks);
			const cachedTokens = job.isImported ? job.promptTokens : cachedBlocks * TOKENS_PER_BLOCK;
			// The last prompt token is always computed, even if the whole prompt is cached.
			const prefillLeft = job.isImported ? 0 : Math.max(1, job.promptTokens + job.offset - cachedTokens);
			this.#running.push({
				job, prefillLeft, produced: 0, cachedBlocks,
			});
			this.#cacheBlocks(job.blocks);
		}
	}

	/** Assigns the prefill tokens of the next step to running requests in order, and returns their number. */
	#takeChunk(): number {
		let budget = CHUNK_TOKENS[this.role];
		let taken = 0;
		for (const running of this.#running) {
			const tokens = Math.min(budget, running.prefillLeft);
			running.prefillLeft -= tokens;
			budget -= tokens;
			taken += tokens;
			if (budget === 0) {
				break;
			}
		}

		return taken;
	}

	/** Returns the KV cache tokens that are reserved for running requests. */
	#reservedKvTokens(): number {
		return this.#running.reduce((sum, {job}) => sum + job.promptTokens + job.outputTokens, 0);
	}

	/** Counts the leading blocks that are in the prefix cache. */
	#countCached(blocks: readonly number[]): number {
		const firstMiss = blocks.findIndex(block => !this.#cache.has(block));
		return firstMiss === -1 ? blocks.length : firstMiss;
	}

	/** Adds blocks to the prefix cache as the most recently used ones and evicts the least recently used. */
	#cacheBlocks(blocks: readonly number[]): void {
		for (const block of blocks) {
			this.#cache.delete(block);
			this.#cache.set(block, true);
		}

		for (const oldest of this.#cache.keys()) {
			if (this.#cache.size <= CACHE_BLOCKS) {
				return;
			}

			this.#cache.delete(oldest);
		}
	}
}
