/**
 * The table of what was in flight at servers when these crashed, as all hosts share it. `crashfacts.ts` says what its facts mean.
 *
 * The result of merging facts does not depend on the order in which they arrive, apart from what is evicted. Performs no I/O.
 *
 * @module
 */
import type {Fact, PoisonFact} from '../generated/types.js';

const RETENTION_MS = 3_600_000;
const MAX_RECORDS = 2000;
/** Values kept of one fact. */
const MAX_VALUES = 64;
/** Length of all values; reports of crashes under long prompts are large. */
const MAX_LENGTH = 1_000_000;

/** One value of a fact, with the revisions at which it was recorded and acquitted. */
type Value = {
	readonly revision: number;
	acquittedRevision: number | undefined;
};

type CrashEntry = {
	readonly values: Map<string, Value>;
	/** Revision of the latest change. */
	revision: number;
	/** Wall-clock time of the latest crash, milliseconds. */
	at: number;
	/** When this host learnt the latest change, milliseconds of the monotonic clock. */
	learntMs: number;
};

/** Facts by their fingerprint. */
export class CrashTable {
	readonly #entries = new Map<string, CrashEntry>();
	#revision = 0;
	#changes: {readonly since: number; readonly revision: number; readonly facts: readonly PoisonFact[]} | undefined;
	/** Length of all values. */
	#length = 0;

	/** Increases with every merged change. */
	get revision(): number {
		return this.#revision;
	}

	get isEmpty(): boolean {
		return this.#entries.size === 0;
	}

	/** Merges a fact; returns whether anything in it is new. */
	merge({fingerprint, servers, acquitted = [], at}: PoisonFact, nowMs: number): boolean {
		const entry = this.#entries.get(fingerprint) ?? {
			values: new Map<string, Value>(), revision: 0, at, learntMs: nowMs,
		};
		const revision = this.#revision + 1;
		let isChanged = false;
		for (const text of [...servers, ...acquitted]) {
			if (!entry.values.has(text)) {
				entry.values.set(text, {revision, acquittedRevision: undefined});
				this.#length += text.length;
				isChanged = true;
			}
		}

		for (const text of acquitted) {
			const value = entry.values.get(text)!;
			if (value.acquittedRevision === undefined) {
				value.acquittedRevision = revision;
				isChanged = true;
			}
		}

		if (isChanged) {
			this.#revision = revision;
			entry.revision = revision;
			entry.at = Math.max(entry.at, at);
			entry.learntMs = nowMs;
			this.#dropOldestValues(entry);
			// Keeps the entries in the order of their last change, for eviction.
			this.#entries.delete(fingerprint);
			this.#entries.set(fingerprint, entry);
			this.expire(nowMs);
		}

		return isChanged;
	}

	/** Drops what was learnt too long ago, and the oldest facts beyond the bounds. */
	expire(nowMs: number): void {
		for (const [fingerprint, {learntMs, values}] of this.#entries) {
			if (nowMs - learntMs <= RETENTION_MS && this.#entries.size <= MAX_RECORDS && this.#length <= MAX_LENGTH) {
				return;
			}

			this.#entries.delete(fingerprint);
			this.#changes = undefined;
			for (const text of values.keys()) {
				this.#length -= text.length;
			}
		}
	}

	findFact(fingerprint: string): PoisonFact | undefined {
		const entry = this.#entries.get(fingerprint);
		return entry && createFact(fingerprint, entry, 0);
	}

	/** Lists the servers whose crash under the request is not explained by another request. */
	listUnresolved(fingerprint: string): string[] {
		const values = this.#entries.get(fingerprint)?.values ?? new Map<string, Value>();
		return [...values].filter(([, {acquittedRevision}]) => acquittedRevision === undefined).map(([server]) => server);
	}

	listFacts(): readonly PoisonFact[] {
		return this.listChangedSince(0);
	}

	/** Lists what was merged after a revision. */
	listChangedSince(revision: number): readonly PoisonFact[] {
		// Most subscribers of a feed have the same revision.
		if (this.#changes?.since !== revision || this.#changes.revision !== this.#revision) {
			const changed = [...this.#entries].filter(([, entry]) => entry.revision > revision);
			this.#changes = {since: revision, revision: this.#revision, facts: changed.map(([fingerprint, entry]) => createFact(fingerprint, entry, revision))};
		}

		return this.#changes.facts;
	}

	#dropOldestValues({values}: CrashEntry): void {
		for (const text of values.keys()) {
			if (values.size <= MAX_VALUES) {
				return;
			}

			values.delete(text);
			this.#length -= text.length;
		}
	}
}

/** Merges the facts about crashes among those of a message; returns whether any was new. */
export function mergeCrashFacts(table: CrashTable, facts: readonly Fact[], nowMs: number): boolean {
	let isChanged = false;
	for (const fact of facts) {
		if (fact.type === 'poison' && table.merge(fact, nowMs)) {
			isChanged = true;
		}
	}

	return isChanged;
}

function createFact(fingerprint: string, {values, at}: CrashEntry, revision: number): PoisonFact {
	const servers: string[] = [];
	const acquitted: string[] = [];
	for (const [text, value] of values) {
		if (value.revision > revision || (value.acquittedRevision ?? 0) > revision) {
			servers.push(text);
			if (value.acquittedRevision !== undefined) {
				acquitted.push(text);
			}
		}
	}

	return {
		type: 'poison', fingerprint, servers: servers.toSorted(), acquitted: acquitted.toSorted(), at,
	};
}
