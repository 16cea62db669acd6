/**
 * In-memory part of the replicated log: the latest snapshot and the entries after it.
 *
 * @module
 */
import type {Configuration, Entry, Snapshot} from '../generated/types.js';

/** Holds the latest snapshot and the entries that follow it. */
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

	/** Returns the term of an entry, or undefined if the index is compacted or beyond the end of the log. */
	getTerm(index: number): number | undefined {
		if (index === this.#snapshot.index) {
			return this.#snapshot.term;
		}

		return this.getEntry(index)?.term;
	}

	getEntry(index: number): Entry | undefined {
		return index > this.#snapshot.index ? this.#entries[index - this.#snapshot.index - 1] : undefined;
	}

	/** Returns the entries from one index to another, both inclusive, at most `limit` of them. */
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

	/** Removes the entry at an index and all entries after it. */
	truncate(from: number): void {
		this.#entries.length = Math.max(0, from - this.#snapshot.index - 1);
	}

	/**
	 * Replaces the snapshot and removes the entries that it covers. Removes all entries if the log does not contain the
	 * last entry of the snapshot, because the log then conflicts with it.
	 */
	compact(snapshot: Snapshot): void {
		const matches = this.getTerm(snapshot.index) === snapshot.term;
		this.#entries = matches ? this.slice(snapshot.index + 1, this.lastIndex) : [];
		this.#snapshot = snapshot;
	}

	/** Finds the latest configuration in the log. It takes effect when it is appended, not when it is committed. */
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
