/**
 * In-memory part of the replicated log: the latest snapshot and the entries after it.
 *
 * @module
 */
import type {
	Configuration, Entry, Snapshot, VoteRequest,
} from '../generated/types.js';

/** Approximate memory of an entry besides the bytes of its command. */
const ENTRY_OVERHEAD_BYTES = 200;

/**
 * Returns the approximate memory that an entry takes, in bytes.
 *
 * @example
 * ```ts
 * getEntryBytes({type: 'command', index: 1, term: 1, data: new Uint8Array(800)}); // 1000
 * ```
 */
export function getEntryBytes(entry: Entry): number {
	return ENTRY_OVERHEAD_BYTES + (entry.type === 'command' ? entry.data.length : 0);
}

/** Holds the latest snapshot and the entries that follow it. */
export class Log {
	#snapshot: Snapshot;
	#entries: Entry[];
	#bytes: number;

	constructor(snapshot: Snapshot, entries: readonly Entry[]) {
		this.#snapshot = snapshot;
		this.#entries = [...entries];
		this.#bytes = sumBytes(entries);
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

	/** Approximate memory of the entries, bytes. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Compares a candidate's log with this one: positive if it is ahead, 0 if both end with the same entry, negative if it is behind. */
	compare({lastTerm, lastIndex}: Pick<VoteRequest, 'lastTerm' | 'lastIndex'>): number {
		return lastTerm === this.lastTerm ? lastIndex - this.lastIndex : lastTerm - this.lastTerm;
	}

	/** Returns the configuration in force at an entry. */
	getConfigurationAt(index: number): Configuration {
		for (let at = index; at > this.snapshot.index; at--) {
			const entry = this.getEntry(at);
			if (entry?.type === 'configuration') {
				return entry.configuration;
			}
		}

		return this.snapshot.configuration;
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

	/** Returns the entries from one index to another, both inclusive. */
	slice(from: number, to: number): Entry[] {
		const offset = this.#snapshot.index;
		return this.#entries.slice(Math.max(0, from - offset - 1), Math.max(0, to - offset));
	}

	/** Returns entries from an index on: at most `maxEntries`, and at most `maxBytes` of them unless the first one alone is larger. */
	takeBatch(from: number, maxEntries: number, maxBytes: number): Entry[] {
		const batch: Entry[] = [];
		let bytes = 0;
		for (let index = from; index <= this.lastIndex && batch.length < maxEntries; index++) {
			const entry = this.getEntry(index)!;
			bytes += getEntryBytes(entry);
			if (batch.length > 0 && bytes > maxBytes) {
				break;
			}

			batch.push(entry);
		}

		return batch;
	}

	append(entries: readonly Entry[]): void {
		for (const entry of entries) {
			this.#entries.push(entry);
		}

		this.#bytes += sumBytes(entries);
	}

	/** Removes the entry at an index and all entries after it. */
	truncate(from: number): void {
		const removed = this.#entries.splice(Math.max(0, from - this.#snapshot.index - 1));
		this.#bytes -= sumBytes(removed);
	}

	/**
	 * Replaces the snapshot and removes the entries that it covers. Removes all entries if the log does not contain the
	 * last entry of the snapshot, because the log then conflicts with it.
	 */
	compact(snapshot: Snapshot): void {
		const matches = this.getTerm(snapshot.index) === snapshot.term;
		this.#entries = matches ? this.slice(snapshot.index + 1, this.lastIndex) : [];
		this.#bytes = sumBytes(this.#entries);
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

function sumBytes(entries: readonly Entry[]): number {
	return entries.reduce((sum, entry) => sum + getEntryBytes(entry), 0);
}
