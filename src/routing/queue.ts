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

type Entry = PrefillTask & {
	readonly givenMs: number;
	/** When it should be read, as expected at its arrival. */
	readonly dueMs: number;
	readonly wasIdle: boolean;
	/** When the engine should be through with it; undefined while it waits. */
	endMs: number | undefined;
};

/** The queue of one engine. */
export class PrefillQueue {
	readonly #entries = new Map<string, Entry>();
	/** When the engine is through with what it has begun. */
	#freeMs = Number.NEGATIVE_INFINITY;
	/** When the last prompt was reported read. */
	#lastEndMs = Number.NEGATIVE_INFINITY;

	get size(): number {
		return this.#entries.size;
	}

	/** Time until a new prompt of some urgency would be begun, milliseconds. */
	waitMs(priority: number, nowMs: number): number {
		this.#advance(nowMs);
		let sumMs = Math.max(0, this.#freeMs - nowMs);
		for (const entry of this.#entries.values()) {
			if (entry.endMs === undefined && entry.priority <= priority) {
				sumMs += entry.workMs;
			}
		}

		return sumMs;
	}

	/** Prompts that would wait behind a new one of some urgency. */
	countLowerPriority(priority: number, nowMs: number): number {
		this.#advance(nowMs);
		let count = 0;
		for (const entry of this.#entries.values()) {
			count += entry.endMs === undefined && entry.priority > priority ? 1 : 0;
		}

		return count;
	}

	add(id: string, task: PrefillTask, nowMs: number): void {
		const waitMs = this.waitMs(task.priority, nowMs);
		this.#entries.set(id, {
			...task, givenMs: nowMs, dueMs: nowMs + waitMs + task.workMs, wasIdle: waitMs === 0, endMs: undefined,
		});
		this.#advance(nowMs);
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
		const beganMs = Math.max(this.#lastEndMs, entry.givenMs);
		this.#lastEndMs = Math.max(this.#lastEndMs, atMs);
		// Prompts are reported in the order in which they were read: nothing else was begun before this moment.
		this.#freeMs = this.#lastEndMs;
		for (const other of this.#entries.values()) {
			other.endMs = undefined;
		}

		return {
			busyMs: Math.max(0, atMs - beganMs), workMs: entry.workMs, totalMs: atMs - entry.givenMs, wasIdle: entry.wasIdle,
		};
	}

	/** Takes a prompt out that will not be read any more. */
	remove(id: string, nowMs: number): void {
		this.#advance(nowMs);
		const entry = this.#entries.get(id);
		this.#entries.delete(id);
		if (entry?.endMs !== undefined && entry.endMs > nowMs) {
			this.#freeMs = nowMs;
		}
	}

	/** Time by which the most overdue prompt is overdue, milliseconds; 0 if none is. */
	overdueMs(nowMs: number): number {
		let mostMs = 0;
		for (const {dueMs} of this.#entries.values()) {
			mostMs = Math.max(mostMs, nowMs - dueMs);
		}

		return mostMs;
	}

	/** Begins what the engine should have begun by now. */
	#advance(nowMs: number): void {
		while (this.#freeMs <= nowMs) {
			const next = this.#next();
			if (!next) {
				return;
			}

			next.endMs = Math.max(this.#freeMs, next.givenMs) + next.workMs;
			this.#freeMs = next.endMs;
		}
	}

	/** The most urgent prompt that is there when the engine is free; if none is, the first to come. */
	#next(): Entry | undefined {
		let next: Entry | undefined;
		for (const entry of this.#entries.values()) {
			const isThere = entry.givenMs <= this.#freeMs;
			if (entry.endMs === undefined && (!next || (isThere && entry.priority < next.priority))) {
				next = entry;
			}
		}

		return next;
	}
}
