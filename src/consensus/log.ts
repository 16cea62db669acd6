/**
 * The part of the replicated log that is held in memory: everything after the latest snapshot.
 *
 * @module
 */
import type {Configuration, Entry, Snapshot} from '../generated/types.js';

/** An in-memory log that starts after a snapshot. */
export class Log {
	#snapshot: Snapshot;
	#entries: Entry[];

	constructor(snapshot: Snapshot, entries: readonly Entry[]) {
		this.#snapshot = snapshot;
		this.#entries = [...entries];
	}

	get snapshot(): Snapshot {
		return this.#snapshot;
	}

	get lastIndex(): number {
		return this.#snapshot.index + this.#entries.length;
	}

	get lastTerm(): number {
		return this.#entries.at(-1)?.term ?? this.#snapshot.term;
	}

	get length(): number {
		return this.#entries.length;
	}

	/** Term of an entry; undefined for an index that is not held. */
	getTerm(index: number): number | undefined {
		if (index === this.#snapshot.index) {
			return this.#snapshot.term;
		}

		return this.getEntry(index)?.term;
	}

	getEntry(index: number): Entry | undefined {
		return index > this.#snapshot.index ? this.#entries[index - this.#snapshot.index - 1] : undefined;
	}

	/** Entries from an index (included) to another (included), at most `limit`. */
	slice(from: number, to: number, limit = Number.POSITIVE_INFINITY): Entry[] {
		const start = from - this.#snapshot.index - 1;
		const end = Math.min(to - this.#snapshot.index, start + limit);
		return this.#entries.slice(Math.max(0, start), Math.max(0, end));
	}

	append(entries: readonly Entry[]): void {
		for (const entry of entries) {
			this.#entries.push(entry);
		}
	}

	/** Removes an index and everything after it. */
	truncate(from: number): void {
		this.#entries.length = Math.max(0, from - this.#snapshot.index - 1);
	}

	/** Drops the entries that a snapshot covers; all of them if the log does not contain its end. */
	compact(snapshot: Snapshot): void {
		const matches = this.getTerm(snapshot.index) === snapshot.term;
		this.#entries = matches ? this.slice(snapshot.index + 1, this.lastIndex) : [];
		this.#snapshot = snapshot;
	}

	/** The configuration in force: the latest in the log, committed or not. */
	findLatestConfiguration(): {readonly index: number; readonly configuration: Configuration} {
		for (let index = this.#entries.length - 1; index >= 0; index--) {
			const entry = this.#entries[index]!;
			if (entry.type === 'configuration') {
				return {index: entry.index, configuration: entry.configuration};
			}
		}

		return {index: this.#snapshot.index, configuration: this.#snapshot.configuration};
	}
}
