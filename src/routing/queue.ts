/**
 * The prompts that one engine was given to read, as it works them off: the most urgent first, one after another.
 *
 * A step machine: time is handed in. What it expects is set right whenever a prompt is reported read.
 *
 * @module
 */

/** A prompt to read. */
export type PrefillTask = {
	/** Time that the engine is busy with it, milliseconds. */
	readonly workMs: number;
	/** 0 is the most urgent. */
	readonly priority: number;
};

/** How a task fared. */
export type PrefillReport = {
	/** Time that the engine was busy with it, milliseconds. */
	readonly busyMs: number;
	/** The same as it was expected. */
	readonly workMs: number;
	/** Time from its arrival to its end. */
	readonly totalMs: number;
	/** Whether it found the engine with nothing to read. */
	readonly wasIdle: boolean;
};

type QueuedPrompt = PrefillTask & {
	readonly addedMs: number;
	/** When it should be read, as expected at its arrival. */
	readonly dueMs: number;
	readonly wasIdle: boolean;
	/** When the engine should be through with it; undefined while it waits. */
	expectedEndMs: number | undefined;
};

/** The queue of one engine. */
export class PrefillQueue {
	readonly #entries = new Map<string, QueuedPrompt>();
	/** When the engine is through with what it has begun. */
	#idleAtMs = Number.NEGATIVE_INFINITY;
	/** When the last prompt was reported read. */
	#lastCompletedMs = Number.NEGATIVE_INFINITY;

	get size(): number {
		return this.#entries.size;
	}

	/** Time until a new prompt of some urgency would be begun, milliseconds. */
	waitMs(priority: number, nowMs: number): number {
		this.#startDue(nowMs);
		let sumMs = Math.max(0, this.#idleAtMs - nowMs);
		for (const entry of this.#entries.values()) {
			if (entry.expectedEndMs === undefined && entry.priority <= priority) {
				sumMs += entry.workMs;
			}
		}

		return sumMs;
	}

	/** Prompts that would wait behind a new one of some urgency. */
	countLowerPriority(priority: number, nowMs: number): number {
		this.#startDue(nowMs);
		let count = 0;
		for (const entry of this.#entries.values()) {
			count += entry.expectedEndMs === undefined && entry.priority > priority ? 1 : 0;
		}

		return count;
	}

	add(id: string, task: PrefillTask, nowMs: number): void {
		const waitMs = this.waitMs(task.priority, nowMs);
		this.#entries.set(id, {
			...task, addedMs: nowMs, dueMs: nowMs + waitMs + task.workMs, wasIdle: waitMs === 0, expectedEndMs: undefined,
		});
		this.#startDue(nowMs);
	}

	/**
	 * Notes that a prompt is read; undefined if it was not known.
	 *
	 * @param atMs - When the engine was through with it.
	 */
	complete(id: string, atMs: number): PrefillReport | undefined {
		const entry = this.#entries.get(id);
		if (!entry) {
			return undefined;
		}

		this.#entries.delete(id);
		const startedMs = Math.max(this.#lastCompletedMs, entry.addedMs);
		this.#lastCompletedMs = Math.max(this.#lastCompletedMs, atMs);
		// Prompts are reported in the order in which they were read: nothing else was begun before this moment.
		this.#idleAtMs = this.#lastCompletedMs;
		for (const other of this.#entries.values()) {
			other.expectedEndMs = undefined;
		}

		return {
			busyMs: Math.max(0, atMs - startedMs), workMs: entry.workMs, totalMs: atMs - entry.addedMs, wasIdle: entry.wasIdle,
		};
	}

	/** Takes a prompt out that will not be read any more. */
	remove(id: string, nowMs: number): void {
		this.#startDue(nowMs);
		const entry = this.#entries.get(id);
		this.#entries.delete(id);
		if (entry?.expectedEndMs !== undefined && entry.expectedEndMs > nowMs) {
			this.#idleAtMs = nowMs;
		}
	}

	/** Time by which the most overdue prompt is overdue, milliseconds; 0 if none is. */
	overdueMs(nowMs: number): number {
		let maxMs = 0;
		for (const {dueMs} of this.#entries.values()) {
			maxMs = Math.max(maxMs, nowMs - dueMs);
		}

		return maxMs;
	}

	/** Begins what the engine should have begun by now. */
	#startDue(nowMs: number): void {
		while (this.#idleAtMs <= nowMs) {
			const next = this.#selectNext();
			if (!next) {
				return;
			}

			next.expectedEndMs = Math.max(this.#idleAtMs, next.addedMs) + next.workMs;
			this.#idleAtMs = next.expectedEndMs;
		}
	}

	/** The most urgent prompt that is there when the engine is free; if none is, the first to come. */
	#selectNext(): QueuedPrompt | undefined {
		let next: QueuedPrompt | undefined;
		for (const entry of this.#entries.values()) {
			const hasArrived = entry.addedMs <= this.#idleAtMs;
			if (entry.expectedEndMs === undefined && (!next || (hasArrived && entry.priority < next.priority))) {
				next = entry;
			}
		}

		return next;
	}
}
