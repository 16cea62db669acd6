/**
 * The table of requests that were in flight at servers when these crashed, as all hosts share it.
 *
 * The result of merging facts does not depend on the order in which they arrive, apart from what is evicted. Performs no I/O.
 *
 * @module
 */
import type {Fact, PoisonFact} from '../generated/types.js';
import {listPoisoned, POISON_LIMIT, type CrashRecord} from '../routing/poison.js';

const RETENTION_MS = 3_600_000;
const MAX_RECORDS = 2000;
/** Crashes kept of one request or prompt part; a part that many prompts share is in flight at most of a fleet's crashes. */
const MAX_CRASHES = 64;

/** One crash of a server under a request, with the revisions at which it was recorded and acquitted. */
type Crash = {
	readonly revision: number;
	acquittedRevision: number | undefined;
};

type CrashEntry = {
	readonly crashes: Map<string, Crash>;
	/** Revision of the latest change. */
	revision: number;
	/** Wall-clock time of the latest crash, milliseconds. */
	at: number;
};

/** Crashes by the fingerprint of the request that was in flight, or by the key of a part of its prompt. */
export class CrashTable {
	readonly #entries = new Map<string, CrashEntry>();
	#revision = 0;
	#changes: {readonly since: number; readonly revision: number; readonly facts: readonly PoisonFact[]} | undefined;
	#poisoned: {readonly revision: number; readonly fingerprints: ReadonlySet<string>} = {revision: 0, fingerprints: new Set()};

	/** Increases with every merged change. */
	get revision(): number {
		return this.#revision;
	}

	get isEmpty(): boolean {
		return this.#entries.size === 0;
	}

	/** Merges a fact; returns whether anything in it is new. */
	merge({fingerprint, servers, acquitted = [], at}: PoisonFact): boolean {
		const entry = this.#entries.get(fingerprint) ?? {crashes: new Map<string, Crash>(), revision: 0, at};
		const revision = this.#revision + 1;
		let isChanged = false;
		for (const server of [...servers, ...acquitted]) {
			if (!entry.crashes.has(server)) {
				entry.crashes.set(server, {revision, acquittedRevision: undefined});
				isChanged = true;
			}
		}

		for (const server of acquitted) {
			const crash = entry.crashes.get(server)!;
			if (crash.acquittedRevision === undefined) {
				crash.acquittedRevision = revision;
				isChanged = true;
			}
		}

		if (isChanged) {
			this.#revision = revision;
			entry.revision = revision;
			entry.at = Math.max(entry.at, at);
			dropOldest(entry.crashes, MAX_CRASHES);
			// Keeps the entries in the order of their last change, for eviction.
			this.#entries.delete(fingerprint);
			this.#entries.set(fingerprint, entry);
			this.#evict(at);
		}

		return isChanged;
	}

	findFact(fingerprint: string): PoisonFact | undefined {
		const entry = this.#entries.get(fingerprint);
		return entry && createFact(fingerprint, entry, 0);
	}

	/** Lists the servers whose crash under the request is not explained by another request. */
	listUnresolved(fingerprint: string): string[] {
		const crashes = this.#entries.get(fingerprint)?.crashes ?? new Map<string, Crash>();
		return [...crashes].filter(([, {acquittedRevision}]) => acquittedRevision === undefined).map(([server]) => server);
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

	/** Whether a request is known to crash the servers that run it. */
	isPoisoned(fingerprint: string): boolean {
		return this.#listPoisoned().has(fingerprint);
	}

	get hasPoisoned(): boolean {
		return this.#listPoisoned().size > 0;
	}

	#listPoisoned(): ReadonlySet<string> {
		if (this.#poisoned.revision !== this.#revision) {
			const records = new Map<string, CrashRecord>();
			for (const [fingerprint, entry] of this.#entries) {
				if (entry.crashes.size >= POISON_LIMIT) {
					records.set(fingerprint, createFact(fingerprint, entry, 0));
				}
			}

			this.#poisoned = {revision: this.#revision, fingerprints: listPoisoned(records)};
		}

		return this.#poisoned.fingerprints;
	}

	#evict(nowMs: number): void {
		for (const [fingerprint, {at}] of this.#entries) {
			if (nowMs - at <= RETENTION_MS && this.#entries.size <= MAX_RECORDS) {
				return;
			}

			this.#entries.delete(fingerprint);
		}
	}
}

/** Merges the facts about crashes among those of a message; returns whether any was new. */
export function mergeCrashFacts(table: CrashTable, facts: readonly Fact[]): boolean {
	let isChanged = false;
	for (const fact of facts) {
		if (fact.type === 'poison' && table.merge(fact)) {
			isChanged = true;
		}
	}

	return isChanged;
}

function dropOldest(crashes: Map<string, Crash>, limit: number): void {
	for (const server of crashes.keys()) {
		if (crashes.size <= limit) {
			return;
		}

		crashes.delete(server);
	}
}

function createFact(fingerprint: string, {crashes, at}: CrashEntry, revision: number): PoisonFact {
	const servers: string[] = [];
	const acquitted: string[] = [];
	for (const [server, crash] of crashes) {
		if (crash.revision > revision || (crash.acquittedRevision ?? 0) > revision) {
			servers.push(server);
			if (crash.acquittedRevision !== undefined) {
				acquitted.push(server);
			}
		}
	}

	return {
		type: 'poison', fingerprint, servers: servers.toSorted(), acquitted: acquitted.toSorted(), at,
	};
}
