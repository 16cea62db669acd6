/**
 * A small engine in virtual time: continuous batching, prefill and decode cost, prefix cache with eviction, limited KV.
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
	/** Tokens that came along from another engine. */
	readonly isImported: boolean;
	/** Whether it ends after the first token, to go on elsewhere. */
	readonly handsOff: boolean;
	readonly poison: boolean;
	/** Tokens that the caller already has. */
	readonly offset: number;
	readonly onToken: (nowMs: number) => void;
	readonly onEnd: (nowMs: number, end: 'complete' | 'handoff' | 'died', cachedBlocks: number) => void;
};

type RunningJob = {
	readonly job: EngineJob;
	prefillLeft: number;
	produced: number;
	cachedBlocks: number;
};

/** What an engine of this kind can do; the same numbers that the policy starts from. */
export const ENGINE_SPEED: EngineSpeed = {prefillTokensPerMs: 16, stepMs: 14, stepMsPerRequest: 0.2};
export const MAX_RUNNING_REQUESTS = 52;
export const KV_CACHE_TOKENS = 64_000;
export const ROLE_CHANGE_MS = 4000;
/** Prompt tokens that one step computes, by role: many at once serve prompts, few keep streams smooth. */
const CHUNK_TOKENS: Readonly<Record<EngineRole, number>> = {prefill: 2048, mixed: 128, decode: 64};
const TOKENS_PER_BLOCK = 64;
const CACHE_BLOCKS = 600;
const RESTART_MS = 20_000;

/** One engine. */
export class SimulatedEngine {
	readonly name: string;
	role: EngineRole;
	/** Away until then: changing its role, restarting, or withdrawn. */
	unavailableUntilMs = 0;
	crashCount = 0;
	readonly #cache = new Map<number, true>();
	#waiting: EngineJob[] = [];
	#running: RunningJob[] = [];
	#isStepping = false;
	#generation = 0;
	#roleAfter: EngineRole | undefined;
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
			decodeTokens: this.#kvTokens(),
		};
	}

	get isIdle(): boolean {
		return this.#running.length === 0 && this.#waiting.length === 0;
	}

	submit(job: EngineJob, nowMs: number): void {
		this.#waiting.push(job);
		this.#wake(nowMs);
	}

	/** Changes the role; the engine must be idle, and is away for some seconds. */
	changeRole(role: EngineRole, nowMs: number): void {
		this.unavailableUntilMs = nowMs + ROLE_CHANGE_MS;
		this.#roleAfter = role;
		this.#cache.clear();
		this.#schedule(ROLE_CHANGE_MS, () => {
			this.role = this.#roleAfter ?? this.role;
		});
	}

	/** Dies with everything it runs. */
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
			job.onEnd(nowMs, 'died', 0);
		}
	}

	#wake(nowMs: number): void {
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

		const isOver = (running: RunningJob) => running.job.offset + running.produced >= running.job.outputTokens || (running.job.handsOff && running.produced > 0);
		const over = this.#running.filter(running => isOver(running));
		this.#running = this.#running.filter(running => !isOver(running));
		for (const {job, produced, cachedBlocks} of over) {
			job.onEnd(nowMs, job.offset + produced >= job.outputTokens ? 'complete' : 'handoff', cachedBlocks);
		}

		this.#step(nowMs);
	}

	#admit(): void {
		while (this.#waiting.length > 0 && this.#running.length < MAX_RUNNING_REQUESTS) {
			const job = this.#waiting[0]!;
			const isFitting = this.#kvTokens() + job.promptTokens + job.outputTokens <= KV_CACHE_TOKENS;
			if (!isFitting && this.#running.length > 0) {
				return;
			}

			this.#waiting.shift();
			const cachedBlocks = this.#countCached(job.blocks);
			const cached = job.isImported ? job.promptTokens : cachedBlocks * TOKENS_PER_BLOCK;
			// At least the last token is computed.
			const prefillLeft = job.isImported ? 0 : Math.max(1, job.promptTokens + job.offset - cached);
			this.#running.push({
				job, prefillLeft, produced: 0, cachedBlocks,
			});
			this.#remember(job.blocks);
		}
	}

	#takeChunk(): number {
		let budget = CHUNK_TOKENS[this.role];
		let taken = 0;
		for (const running of this.#running) {
			const part = Math.min(budget, running.prefillLeft);
			running.prefillLeft -= part;
			budget -= part;
			taken += part;
			if (budget === 0) {
				break;
			}
		}

		return taken;
	}

	#kvTokens(): number {
		return this.#running.reduce((sum, {job}) => sum + job.promptTokens + job.outputTokens, 0);
	}

	#countCached(blocks: readonly number[]): number {
		const miss = blocks.findIndex(block => !this.#cache.has(block));
		return miss === -1 ? blocks.length : miss;
	}

	#remember(blocks: readonly number[]): void {
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
