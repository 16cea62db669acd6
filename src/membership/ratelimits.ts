/**
 * The table of the rates of requests that servers accept, as all hosts share it.
 *
 * Responses may overtake each other. A statement thus replaces another one only if the request that it answers was sent
 * after this host had learnt the other. Performs no I/O; the caller passes the current time.
 *
 * @module
 */
import type {ServerIncarnation} from '../base/incarnation.js';
import type {RateLimitFact} from '../generated/types.js';

const MAX_RECORDS = 2000;

type RateLimitRecord = {
	readonly fact: RateLimitFact;
	/** When this host learnt it, milliseconds of the monotonic clock. */
	readonly learntMs: number;
	/** Revision of the table at which it was merged. */
	readonly tableRevision: number;
};

/** What a response said about the rate of requests. */
export type RateLimitStatement = ServerIncarnation & {
	/** Undefined if the response stated no limit. */
	readonly perSecond: number | undefined;
	/** When the request was sent, milliseconds of the monotonic clock. */
	readonly sentMs: number;
};

/** The limits of the servers that have stated one. */
export class RateLimitTable {
	readonly #records = new Map<string, RateLimitRecord>();
	#revision = 0;

	/** Increases with every merged change. */
	get revision(): number {
		return this.#revision;
	}

	get isEmpty(): boolean {
		return this.#records.size === 0;
	}

	/** Records what a response said. Returns the fact to share if that is news. */
	record({server, incarnation, perSecond, sentMs}: RateLimitStatement, nowMs: number): RateLimitFact | undefined {
		const known = this.#records.get(server);
		const isSameIncarnation = known?.fact.incarnation === incarnation;
		const isOutdated = known !== undefined && (known.fact.incarnation > incarnation || (isSameIncarnation && sentMs <= known.learntMs));
		const knownLimit = isSameIncarnation ? known.fact.perSecond : undefined;
		if (isOutdated || perSecond === knownLimit) {
			return undefined;
		}

		const fact = createFact({server, incarnation}, (isSameIncarnation ? known.fact.revision : 0) + 1, perSecond);
		this.#store(fact, nowMs);
		return fact;
	}

	/** Merges a fact that another host shared; returns whether it is new. */
	merge(fact: RateLimitFact, nowMs: number): boolean {
		const known = this.#records.get(fact.server);
		if (known && !isNewer(fact, known.fact)) {
			return false;
		}

		this.#store(fact, nowMs);
		return true;
	}

	/** Merges several facts; returns whether any is new. */
	mergeAll(facts: readonly RateLimitFact[], nowMs: number): boolean {
		let isChanged = false;
		for (const fact of facts) {
			isChanged = this.merge(fact, nowMs) || isChanged;
		}

		return isChanged;
	}

	/** Finds the requests a second that a server accepts; undefined if it has no limit. */
	findLimit({server, incarnation}: ServerIncarnation): number | undefined {
		const fact = this.#records.get(server)?.fact;
		return fact?.incarnation === incarnation ? fact.perSecond : undefined;
	}

	listFacts(): readonly RateLimitFact[] {
		return this.listChangedSince(0);
	}

	/** Lists what was merged after a revision. */
	listChangedSince(revision: number): readonly RateLimitFact[] {
		return [...this.#records.values()].filter(({tableRevision}) => tableRevision > revision).map(({fact}) => fact);
	}

	#store(fact: RateLimitFact, nowMs: number): void {
		// Keeps the records in the order of their last change, for eviction.
		this.#records.delete(fact.server);
		this.#records.set(fact.server, {fact, learntMs: nowMs, tableRevision: ++this.#revision});
		if (this.#records.size > MAX_RECORDS) {
			const ended = [...this.#records.values()].find(({fact: {perSecond}}) => perSecond === undefined);
			const [oldest] = this.#records.keys();
			this.#records.delete(ended?.fact.server ?? oldest!);
		}
	}
}

function createFact({server, incarnation}: ServerIncarnation, revision: number, perSecond: number | undefined): RateLimitFact {
	return {
		server, incarnation, revision, ...(perSecond === undefined ? {} : {perSecond}),
	};
}

/** Whether a fact replaces a known one. Of two concurrent statements the stricter one holds, until a response says otherwise. */
function isNewer(fact: RateLimitFact, known: RateLimitFact): boolean {
	if (fact.incarnation !== known.incarnation) {
		return fact.incarnation > known.incarnation;
	}

	if (fact.revision !== known.revision) {
		return fact.revision > known.revision;
	}

	return (fact.perSecond ?? Number.POSITIVE_INFINITY) < (known.perSecond ?? Number.POSITIVE_INFINITY);
}
