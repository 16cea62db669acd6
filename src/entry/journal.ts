/**
 * Records what happened to the latest requests, so that operators can ask for an explanation.
 *
 * @module
 */
export type JournalStep = {
	/** Wall clock time, milliseconds. */
	readonly at: number;
	readonly text: string;
};

export type JournalEntry = {
	readonly id: string;
	readonly title: string;
	readonly startedAt: number;
	readonly steps: JournalStep[];
	outcome: string;
};

const MAX_ENTRIES = 5000;
const MAX_STEPS = 60;

/** The latest requests of one host, in memory. */
export class RequestJournal {
	readonly #entries = new Map<string, JournalEntry>();

	begin(id: string, title: string, at: number): void {
		this.#entries.set(id, {
			id, title, startedAt: at, steps: [], outcome: 'in progress',
		});
		for (const oldest of this.#entries.keys()) {
			if (this.#entries.size <= MAX_ENTRIES) {
				return;
			}

			this.#entries.delete(oldest);
		}
	}

	addStep(id: string, text: string, at: number): void {
		const entry = this.#entries.get(id);
		if (entry && entry.steps.length < MAX_STEPS) {
			entry.steps.push({at, text});
		}
	}

	end(id: string, outcome: string, at: number): void {
		const entry = this.#entries.get(id);
		if (entry) {
			entry.outcome = outcome;
			entry.steps.push({at, text: outcome});
		}
	}

	findEntry(id: string): JournalEntry | undefined {
		return this.#entries.get(id);
	}
}
