/**
 * Virtual time, a network that fails, and processes that are killed, paused and cut off.
 *
 * @module
 */
import type {Random} from '../../src/base/random.js';

/** A process as the world sees it. */
export type SimulatedProcess = {
	readonly name: string;
	isAlive: boolean;
	isPaused: boolean;
	/** Rises with each kill, so that what was meant for an earlier start is dropped. */
	generation: number;
	/** What arrived while it was paused. */
	readonly backlog: Array<{readonly isTimer: boolean; readonly run: () => void}>;
};

type Scheduled = {
	readonly atMs: number;
	readonly order: number;
	readonly run: () => void;
};

export type FaultCounts = Record<string, number>;

export type NetworkConditions = {
	dropProbability: number;
	duplicateProbability: number;
	/** Longest delay of a message, milliseconds. */
	maxDelayMs: number;
};

const MIN_DELAY_MS = 0.3;
const MAX_TRACE_LINES = 4000;

/** The world of one run; everything that happens in it is decided by its random source. */
export class Simulator {
	readonly random: Random;
	readonly processes = new Map<string, SimulatedProcess>();
	readonly faults: FaultCounts = {};
	readonly network: NetworkConditions = {dropProbability: 0, duplicateProbability: 0, maxDelayMs: 3};
	readonly trace: string[] = [];
	nowMs = 0;
	steps = 0;
	readonly #heap: Scheduled[] = [];
	readonly #cuts = new Set<string>();
	#order = 0;

	constructor(random: Random) {
		this.random = random;
	}

	addProcess(name: string): SimulatedProcess {
		const process: SimulatedProcess = {
			name, isAlive: true, isPaused: false, generation: 1, backlog: [],
		};
		this.processes.set(name, process);
		return process;
	}

	log(text: string): void {
		this.trace.push(`${this.nowMs.toFixed(1).padStart(9)} ${text}`);
		if (this.trace.length > MAX_TRACE_LINES) {
			this.trace.splice(0, MAX_TRACE_LINES / 2);
		}
	}

	countFault(kind: string): void {
		this.faults[kind] = (this.faults[kind] ?? 0) + 1;
	}

	/** Runs something later in the world itself. */
	schedule(delayMs: number, run: () => void): void {
		this.#push({atMs: this.nowMs + delayMs, order: this.#order++, run});
	}

	/** Runs something later in a process; nothing happens if that start of it is gone by then. */
	scheduleOn(process: SimulatedProcess, delayMs: number, run: () => void): void {
		const {generation} = process;
		this.schedule(delayMs, () => {
			this.#deliver(process, generation, run, true);
		});
	}

	/**
	 * Sends something from one process to another through the network.
	 *
	 * @param options - `once`: a request on a connection of its own, which may be lost but does not arrive twice;
	 * `withinMs`: it does not arrive later, since the connection is destroyed by then.
	 */
	send(from: SimulatedProcess, to: SimulatedProcess, run: () => void, options: {readonly once?: boolean; readonly withinMs?: number} = {}): void {
		if (this.isLinkBlocked(from.name, to.name) || this.random() < this.network.dropProbability) {
			this.countFault('drop');
			return;
		}

		const copies = this.random() < this.network.duplicateProbability && !options.once ? 2 : 1;
		if (copies > 1) {
			this.countFault('duplicate');
		}

		const {generation} = to;
		for (let copy = 0; copy < copies; copy++) {
			const delayMs = MIN_DELAY_MS + (this.random() * this.network.maxDelayMs);
			if (delayMs > (options.withinMs ?? Number.POSITIVE_INFINITY)) {
				this.countFault('drop');
				continue;
			}

			this.schedule(delayMs, () => {
				if (!this.isLinkBlocked(from.name, to.name)) {
					this.#deliver(to, generation, run);
				}
			});
		}
	}

	/** Cuts one direction between two processes. */
	blockLink(from: string, to: string): void {
		this.#cuts.add(`${from}>${to}`);
	}

	unblockLinks(): void {
		this.#cuts.clear();
	}

	isLinkBlocked(from: string, to: string): boolean {
		return this.#cuts.has(`${from}>${to}`);
	}

	pause(process: SimulatedProcess): void {
		process.isPaused = true;
	}

	/** Lets a paused process go on: what waited for it comes at once, timers first or messages first. */
	resume(process: SimulatedProcess): void {
		process.isPaused = false;
		const backlog = process.backlog.splice(0);
		const isTimersFirst = this.random() < 0.5;
		const first = backlog.filter(({isTimer}) => isTimer === isTimersFirst);
		const second = backlog.filter(({isTimer}) => isTimer !== isTimersFirst);
		for (const {run} of [...first, ...second]) {
			run();
		}
	}

	kill(process: SimulatedProcess): void {
		process.isAlive = false;
		process.isPaused = false;
		process.generation++;
		process.backlog.length = 0;
	}

	/** Runs until a time; false if a check failed meanwhile. */
	runUntil(untilMs: number, afterStep: () => void): void {
		for (;;) {
			const next = this.#heap[0];
			if (!next || next.atMs > untilMs) {
				this.nowMs = untilMs;
				return;
			}

			this.#pop();
			this.nowMs = Math.max(this.nowMs, next.atMs);
			this.steps++;
			next.run();
			afterStep();
		}
	}

	#deliver(process: SimulatedProcess, generation: number, run: () => void, isTimer = false): void {
		if (!process.isAlive || process.generation !== generation) {
			return;
		}

		if (process.isPaused) {
			process.backlog.push({
				isTimer,
				run: () => {
					this.#deliver(process, generation, run, isTimer);
				},
			});
			return;
		}

		run();
	}

	#push(item: Scheduled): void {
		const heap = this.#heap;
		let index = heap.push(item) - 1;
		while (index > 0) {
			const parent = (index - 1) >> 1; // eslint-disable-line no-bitwise
			if (!isBefore(item, heap[parent]!)) {
				break;
			}

			heap[index] = heap[parent]!;
			index = parent;
		}

		heap[index] = item;
	}

	#pop(): void {
		const heap = this.#heap;
		const last = heap.pop()!;
		if (heap.length === 0) {
			return;
		}

		let index = 0;
		for (;;) {
			let child = (index * 2) + 1;
			if (child >= heap.length) {
				break;
			}

			if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
				child++;
			}

			if (!isBefore(heap[child]!, last)) {
				break;
			}

			heap[index] = heap[child]!;
			index = child;
		}

		heap[index] = last;
	}
}

function isBefore(a: Scheduled, b: Scheduled): boolean {
	return a.atMs === b.atMs ? a.order < b.order : a.atMs < b.atMs;
}
