/**
 * A model of one engine's prefill queue, which processes one prompt at a time, the most urgent first.
 *
 * It simulates when the engine starts and completes each prompt, and corrects itself whenever a prefill is reported as
 * completed. Performs no I/O; the caller passes the current time.
 *
 * @module
 */

/** A prompt to prefill. */
export type PrefillTask = {
	/** Estimated time that the engine is busy with it, milliseconds. */
	readonly workMs: number;
	/** 0 is the most urgent. */
	readonly priority: number;
};

/** Timing of a completed prefill. */
export type PrefillReport = {
	/** Time that the engine was busy with it, milliseconds. */
	readonly busyMs: number;
	/** Time from its arrival to its completion, milliseconds. */
	readonly totalMs: number;
	/** Whether the engine completed another prefill after its arrival. */
	readonly wasQueued: boolean;
};

type QueuedPrompt = PrefillTask & {
	readonly addedMs: number;
	/** Completion time that was expected when it arrived. */
	readonly dueMs: number;
	/** Expected completion time once it has started; undefined while it waits. */
	expectedEndMs: number | undefined;
};

/** The prefill queue of one engine. */
export class PrefillQueue {
	readonly #entries = new Map<string, QueuedPrompt>();
	/** When the engine completes the prompts that it has started. */
	#idleAtMs = Number.NEGATIVE_INFINITY;
	/** When the last reported prefill was completed. */
	#lastCompletedMs = Number.NEGATIVE_INFINITY;

	get size(): number {
		return this.#entries.size;
	}

	/** Time until a new prompt with the given priority would be started, milliseconds. */
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

	/** Counts the waiting prompts that are less urgent than the given priority. */
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
			...task, addedMs: nowMs, dueMs: nowMs + waitMs + task.workMs, expectedEndMs: undefined,
		});
		this.#startDue(nowMs);
	}

	/**
	 * Records that a prefill has completed; returns undefined if the prompt is not in the queue.
	 *
	 * @param atMs - When the engine completed it.
	 */
	complete(id: string, atMs: number): PrefillReport | undefined {
		const entry = this.#entries.get(id);
		if (!entry) {
			return undefined;
		}

		this.#entries.delete(id);
		const wasQueued = this.#lastCompletedMs > entry.addedMs;
		const startedMs = Math.max(this.#lastCompletedMs, entry.addedMs);
		this.#lastCompletedMs = Math.max(this.#lastCompletedMs, atMs);
		// Completions are reported in order, so no other waiting prompt can have started before this one completed.
		this.#idleAtMs = this.#lastCompletedMs;
		for (const other of this.#entries.values()) {
			other.expectedEndMs = undefined;
		}

		return {busyMs: Math.max(0, atMs - startedMs), totalMs: atMs - entry.addedMs, wasQueued};
	}

	/** Removes a prompt that will not be prefilled any more. */
	remove(id: string, nowMs: number): void {
		this.#startDue(nowMs);
		const entry = this.#entries.get(id);
		this.#entries.delete(id);
		if (entry?.expectedEndMs !== undefined && entry.expectedEndMs > nowMs) {
			this.#idleAtMs = nowMs;
		}
	}

	/** Time since the expected completion of the most overdue prompt, milliseconds; 0 if none is overdue. */
	overdueMs(nowMs: number): number {
		let maxMs = 0;
		for (const {dueMs} of this.#entries.values()) {
			maxMs = Math.max(maxMs, nowMs - dueMs);
		}

		return maxMs;
	}

	/** Starts the prompts that the engine should have started by now. */
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

	/** Selects the most urgent prompt that has arrived when the engine becomes idle; without one, the next to arrive. */
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
