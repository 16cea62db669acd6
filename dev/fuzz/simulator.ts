/**
 * Deterministic simulation of time, an unreliable network, and processes that can be killed, paused and partitioned.
 *
 * @module
 */
import type {Random} from '../../src/base/random.js';

/** A simulated process. */
export type SimulatedProcess = {
	readonly name: string;
	isAlive: boolean;
	isPaused: boolean;
	/** Increases with each kill, so that messages and timers for an earlier start are dropped. */
	generation: number;
	/** Messages and timers that became due while it was paused. */
	readonly backlog: Array<{readonly isTimer: boolean; readonly run: () => void}>;
};

type ScheduledEvent = {
	readonly atMs: number;
	/** Orders events that are due at the same time. */
	readonly sequence: number;
	readonly run: () => void;
};

export type FaultCounts = Record<string, number>;

export type NetworkConditions = {
	dropProbability: number;
	duplicateProbability: number;
	/** Longest delay of a message beyond the minimum, milliseconds. */
	maxDelayMs: number;
};

const MIN_DELAY_MS = 0.3;
const MAX_TRACE_LINES = 4000;

/** The simulation of one run; the seed of its random source determines everything that happens. */
export class Simulator {
	readonly random: Random;
	readonly processes = new Map<string, SimulatedProcess>();
	readonly faults: FaultCounts = {};
	readonly network: NetworkConditions = {dropProbability: 0, duplicateProbability: 0, maxDelayMs: 3};
	readonly trace: string[] = [];
	nowMs = 0;
	steps = 0;
	readonly #queue: ScheduledEvent[] = [];
	readonly #blockedLinks = new Set<string>();
	#nextSequence = 0;

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

	/** Runs a callback later, independent of any process. */
	schedule(delayMs: number, run: () => void): void {
		this.#push({atMs: this.nowMs + delayMs, sequence: this.#nextSequence++, run});
	}

	/** Runs a callback later on a process, unless the process has been killed by then. */
	scheduleOn(process: SimulatedProcess, delayMs: number, run: () => void): void {
		const {generation} = process;
		this.schedule(delayMs, () => {
			this.#deliver(process, generation, run, true);
		});
	}

	/**
	 * Delivers a message from one process to another through the network: runs a callback on the receiver.
	 *
	 * @param options - `once`: the message has its own connection, so it may be lost but is never duplicated;
	 * `withinMs`: the message is dropped if its delay is longer, since the sender has destroyed the connection by then.
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

	/** Drops all messages in one direction between two processes. */
	blockLink(from: string, to: string): void {
		this.#blockedLinks.add(`${from}>${to}`);
	}

	unblockLinks(): void {
		this.#blockedLinks.clear();
	}

	isLinkBlocked(from: string, to: string): boolean {
		return this.#blockedLinks.has(`${from}>${to}`);
	}

	pause(process: SimulatedProcess): void {
		process.isPaused = true;
	}

	/** Resumes a paused process: runs its backlog at once, either all timers or all messages first. */
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

	/** Runs all events until a time and calls `afterStep` after each; `afterStep` throws to stop the run. */
	runUntil(untilMs: number, afterStep: () => void): void {
		for (;;) {
			const next = this.#queue[0];
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

	/** Inserts an event into the binary heap. */
	#push(event: ScheduledEvent): void {
		const heap = this.#queue;
		let index = heap.push(event) - 1;
		while (index > 0) {
			const parent = (index - 1) >> 1; // eslint-disable-line no-bitwise
			if (!isBefore(event, heap[parent]!)) {
				break;
			}

			heap[index] = heap[parent]!;
			index = parent;
		}

		heap[index] = event;
	}

	/** Removes the first event from the binary heap. */
	#pop(): void {
		const heap = this.#queue;
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

function isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
	return a.atMs === b.atMs ? a.sequence < b.sequence : a.atMs < b.atMs;
}
