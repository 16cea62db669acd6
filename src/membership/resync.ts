/**
 * Sends a control host that has started anew what only the entry hosts still know.
 *
 * A promise to callers or servers may rest on a fact that the control hosts keep in memory, and all of them may be killed at
 * the same moment. Every entry host then sends what the first feed of the restarted control host lacks. Most entry hosts hold the
 * same facts about servers, so each waits for a random time, in which the control host may have heard them from another one.
 *
 * @module
 */
import type {Random} from '../base/random.js';
import type {Resync} from '../generated/types.js';

/** Entry hosts send within this time. A control host passes on what it has learnt within a few milliseconds. */
const SPREAD_MS = 300;

export type ResynchronizerOptions = {
	readonly random: Random;
	/** Collects what a control host lacks; undefined if it lacks nothing. */
	readonly collect: (control: string) => Resync | undefined;
	readonly send: (control: string, message: Resync) => void;
};

/** Sends each control host what it lacks, some time after its first feed. Its creator must close it. */
export class Resynchronizer {
	readonly #options: ResynchronizerOptions;
	readonly #timers = new Map<string, NodeJS.Timeout>();

	constructor(options: ResynchronizerOptions) {
		this.#options = options;
	}

	/** Schedules a transfer to a control host whose first feed on a connection has arrived. */
	schedule(control: string): void {
		const {random, collect, send} = this.#options;
		clearTimeout(this.#timers.get(control));
		this.#timers.set(control, setTimeout(() => {
			this.#timers.delete(control);
			const message = collect(control);
			if (message) {
				send(control, message);
			}
		}, random() * SPREAD_MS));
	}

	close(): void {
		for (const timer of this.#timers.values()) {
			clearTimeout(timer);
		}
	}
}
