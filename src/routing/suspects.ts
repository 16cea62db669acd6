/**
 * Finds out which requests and prompt parts crash servers, from what was in flight when servers crashed.
 *
 * A suspect is a request or a prompt part, known by a hash. It is blocked once it is the best explanation of enough crashes. What weakens it
 * as an explanation: another suspect that was in flight at the same crashes and more; a success of a request that contains it, before
 * the crashes or after; many crashes at the same moment that it explains only a few of.
 *
 * Suspects that were in flight at the same crashes are blocked together: only a request that contains all of them is certain to contain the
 * cause. Performs no I/O; the caller passes the current time. docs/design/crashes.md says what was weighed.
 *
 * @module
 */
import {hashText} from '../base/hash.js';

/** What one host reports about a crash: hashes of requests and prompt parts. */
export type CrashReport = {
	/** The server incarnation that crashed. */
	readonly crash: string;
	/** Wall-clock time of the report, milliseconds. */
	readonly at: number;
	readonly requests: readonly number[];
	readonly parts: readonly number[];
	/** Those of them that were served not long before the crash. */
	readonly served: readonly number[];
	/** Those that were served after the crash, so that they did not cause it. */
	readonly cleared: readonly number[];
};

/** The keys of one request. */
export type RequestKeys = {
	readonly request: number;
	/** Parts of the prompt that other requests may share. */
	readonly parts: readonly number[];
};

/** Suspects that requests are refused for. */
export type Block = {
	/** Identifies the suspects and their crashes. */
	readonly id: string;
	/** A request is refused if it contains all of these. */
	readonly keys: ReadonlySet<number>;
	/** The crashes that they explain. */
	readonly crashes: readonly string[];
	/** When this host learnt of the latest of the crashes, milliseconds of the monotonic clock. */
	readonly learntMs: number;
};

/** The blocks that apply to a request. */
export type BlockMatch = {
	/** Blocks of which the request contains all suspects. */
	readonly full: readonly Block[];
	/** Blocks of which it contains some. */
	readonly partial: readonly Block[];
};

type CrashRecord = {
	readonly name: string;
	readonly number: number;
	at: number;
	readonly learntMs: number;
	readonly keys: Set<number>;
	readonly cleared: Set<number>;
};

type Suspect = {
	readonly isRequest: boolean;
	isServed: boolean;
	crashes: CrashRecord[];
};

/** Suspects of one kind that were in flight at the same crashes. */
type Group = {
	readonly isRequest: boolean;
	readonly isServed: boolean;
	readonly crashes: ReadonlySet<CrashRecord>;
	readonly keys: Set<number>;
};

/**
 * Computes the key of a request.
 *
 * @example
 * ```ts
 * hashRequest('vdUw3k0yAqZs8QmE1lTfWc9p'); // a number below 2 ** 48
 * ```
 */
export function hashRequest(fingerprint: string): number {
	return hashText(`request/${fingerprint}`);
}

/**
 * Computes the key of a prompt part.
 *
 * @example
 * ```ts
 * hashPart('91bd3f06'); // a number below 2 ** 48
 * ```
 */
export function hashPart(part: string): number {
	return hashText(`part/${part}`);
}

/** Crashes after which a request is blocked. */
export const REQUEST_LIMIT = 2;
/** The same for requests that were in flight at the same crashes. */
export const TIED_REQUEST_LIMIT = 4;
/** Crashes, in different requests, after which a prompt part is blocked. */
export const PART_LIMIT = 3;
/** Moments of crashes after which a request or a part is blocked that was served before. */
export const SERVED_REQUEST_LIMIT = 2;
export const SERVED_PART_LIMIT = 5;
/** Crashes within this time, in milliseconds, may have one cause that is no request: power, a rack, a driver. */
export const MOMENT_MS = 1000;
/** Time for which crashes are remembered, milliseconds. */
export const RETENTION_MS = 3_600_000;
/** Bounds of what is remembered: crashes, and suspects summed over the crashes. */
export const MAX_CRASHES = 512;
export const MAX_OCCURRENCES = 65_536;
/** Groups that are compared with each other, those of most crashes. */
const MAX_GROUPS = 256;

/** The suspects that one host knows. */
export class SuspectIndex {
	readonly #crashes = new Map<string, CrashRecord>();
	readonly #suspects = new Map<number, Suspect>();
	/** The suspects of two crashes or more. */
	readonly #candidates = new Map<number, Suspect>();
	#nextNumber = 1;
	#occurrences = 0;
	#blocks: readonly Block[] = [];
	#blocksByKey = new Map<number, Block[]>();
	#isStale = false;

	/** Number of suspects, summed over the crashes. */
	get occurrences(): number {
		return this.#occurrences;
	}

	/** Adds a report. Reports may arrive in any order, and again. */
	add({crash, at, requests, parts, served, cleared}: CrashReport, nowMs: number): void {
		this.#expire(nowMs);
		const record = this.#crashes.get(crash) ?? {
			name: crash, number: this.#nextNumber++, at, learntMs: nowMs, keys: new Set<number>(), cleared: new Set<number>(),
		};
		this.#crashes.set(crash, record);
		record.at = Math.max(record.at, at);
		for (const key of cleared) {
			record.cleared.add(key);
		}

		for (const key of requests) {
			this.#addSuspect(key, record, true);
		}

		for (const key of parts) {
			this.#addSuspect(key, record, false);
		}

		for (const key of [...served, ...cleared]) {
			const suspect = this.#suspects.get(key);
			if (suspect) {
				suspect.isServed = true;
			}
		}

		this.#isStale = true;
		this.#shrink();
	}

	/** Lists the blocks. */
	listBlocks(nowMs: number): readonly Block[] {
		this.#expire(nowMs);
		if (this.#isStale) {
			this.#isStale = false;
			this.#blocks = this.#findBlocks();
			this.#blocksByKey = new Map();
			for (const block of this.#blocks) {
				for (const key of block.keys) {
					const blocks = this.#blocksByKey.get(key) ?? [];
					blocks.push(block);
					this.#blocksByKey.set(key, blocks);
				}
			}
		}

		return this.#blocks;
	}

	/** Finds the blocks that apply to a request. */
	match({request, parts}: RequestKeys, nowMs: number): BlockMatch {
		const full: Block[] = [];
		const partial: Block[] = [];
		if (this.listBlocks(nowMs).length > 0) {
			const counts = new Map<Block, number>();
			for (const key of new Set([request, ...parts])) {
				for (const block of this.#blocksByKey.get(key) ?? []) {
					counts.set(block, (counts.get(block) ?? 0) + 1);
				}
			}

			for (const [block, count] of counts) {
				(count === block.keys.size ? full : partial).push(block);
			}
		}

		return {full, partial};
	}

	/** Whether a key was in flight at several crashes, so that it matters whether it was served since. */
	isCandidate(key: number): boolean {
		return this.#candidates.has(key);
	}

	/** Whether any key is a candidate. */
	get hasCandidates(): boolean {
		return this.#candidates.size > 0;
	}

	isSuspect(key: number): boolean {
		return this.#suspects.has(key);
	}

	/** Whether a host has reported that the suspect was served. */
	isServed(key: number): boolean {
		return this.#suspects.get(key)?.isServed ?? false;
	}

	/** Lists the crashes that a candidate may have caused. */
	listUnresolved(key: number): string[] {
		const suspect = this.#candidates.get(key);
		return suspect ? listUnresolved(key, suspect).map(({name}) => name) : [];
	}

	#addSuspect(key: number, record: CrashRecord, isRequest: boolean): void {
		if (record.keys.has(key)) {
			return;
		}

		const suspect = this.#suspects.get(key) ?? {isRequest, isServed: false, crashes: []};
		this.#suspects.set(key, suspect);
		suspect.isServed ||= record.cleared.has(key);
		suspect.crashes.push(record);
		record.keys.add(key);
		this.#occurrences++;
		if (suspect.crashes.length > 1) {
			this.#candidates.set(key, suspect);
		}
	}

	#removeOccurrence(key: number, record: CrashRecord): void {
		const suspect = this.#suspects.get(key);
		if (!record.keys.delete(key) || !suspect) {
			return;
		}

		this.#occurrences--;
		suspect.crashes = suspect.crashes.filter(crash => crash !== record);
		if (suspect.crashes.length < 2) {
			this.#candidates.delete(key);
		}

		if (suspect.crashes.length === 0) {
			this.#suspects.delete(key);
		}
	}

	#removeCrash(record: CrashRecord): void {
		for (const key of record.keys) {
			this.#removeOccurrence(key, record);
		}

		this.#crashes.delete(record.name);
		this.#isStale = true;
	}

	#expire(nowMs: number): void {
		for (const record of this.#crashes.values()) {
			if (nowMs - record.learntMs < RETENTION_MS) {
				return;
			}

			this.#removeCrash(record);
		}
	}

	/** Drops what can change a decision least: first suspects of one crash, the oldest first, then whole crashes that explain no block. */
	#shrink(): void {
		if (this.#occurrences > MAX_OCCURRENCES) {
			for (const record of this.#crashes.values()) {
				if (this.#occurrences <= MAX_OCCURRENCES) {
					break;
				}

				for (const key of record.keys) {
					if (!this.#candidates.has(key)) {
						this.#removeOccurrence(key, record);
					}
				}
			}
		}

		while (this.#occurrences > MAX_OCCURRENCES || this.#crashes.size > MAX_CRASHES) {
			const blocking = new Set(this.#blocks.flatMap(({crashes}) => crashes));
			const records = [...this.#crashes.values()];
			this.#removeCrash(records.find(({name}) => !blocking.has(name)) ?? records[0]!);
		}
	}

	#findBlocks(): Block[] {
		const groups = this.#groupCandidates();
		const moments = new Moments(this.#crashes.values());
		const requests = groups.filter(group => group.isRequest && isBlocked(group, groups, moments));
		const parts = groups.filter(group => !group.isRequest && isBlocked(group, groups, moments)
			&& !requests.some(request => isSubset(group.crashes, request.crashes)));
		const unexplained = requests.filter(request => !parts.some(part => part.crashes.size > request.crashes.size && isSubset(request.crashes, part.crashes)));
		return [...unexplained.flatMap(request => [...request.keys].map(key => createBlock(new Set([key]), request.crashes))), ...parts.map(part => createBlock(part.keys, part.crashes))];
	}

	#groupCandidates(): Group[] {
		const groups = new Map<string, Group>();
		for (const [key, suspect] of this.#candidates) {
			const crashes = listUnresolved(key, suspect);
			if (crashes.length < REQUEST_LIMIT) {
				continue;
			}

			const {isRequest, isServed} = suspect;
			const id = `${isRequest ? 'request' : 'part'} ${isServed} ${crashes.map(({number}) => number).toSorted((a, b) => a - b).join(' ')}`;
			const group = groups.get(id);
			if (group) {
				group.keys.add(key);
			} else {
				groups.set(id, {
					isRequest, isServed, crashes: new Set(crashes), keys: new Set([key]),
				});
			}
		}

		return [...groups.values()].toSorted((a, b) => b.crashes.size - a.crashes.size).slice(0, MAX_GROUPS);
	}
}

/** The crashes by the moments at which they happened. */
class Moments {
	readonly #starts = new Map<CrashRecord, number>();
	readonly #sizes = new Map<number, number>();

	constructor(crashes: Iterable<CrashRecord>) {
		let startMs = Number.NEGATIVE_INFINITY;
		for (const crash of [...crashes].filter(({keys}) => keys.size > 0).toSorted((a, b) => a.at - b.at)) {
			startMs = crash.at - startMs > MOMENT_MS ? crash.at : startMs;
			this.#starts.set(crash, startMs);
			this.#sizes.set(startMs, (this.#sizes.get(startMs) ?? 0) + 1);
		}
	}

	/**
	 * Weighs the evidence against a group. If it explains only a minority of a moment's crashes, or was served before, then all its crashes of
	 * the moment may have had one other cause.
	 */
	weigh({crashes, isServed}: Group): number {
		const counts = new Map<number, number>();
		for (const crash of crashes) {
			const startMs = this.#starts.get(crash)!;
			counts.set(startMs, (counts.get(startMs) ?? 0) + 1);
		}

		let weight = 0;
		for (const [startMs, count] of counts) {
			weight += !isServed && count * 2 >= this.#sizes.get(startMs)! ? count : 1;
		}

		return weight;
	}
}

function listUnresolved(key: number, {crashes}: Suspect): CrashRecord[] {
	return crashes.filter(({cleared}) => !cleared.has(key));
}

/** Whether a group is the best explanation, among those of its kind, of enough crashes. */
function isBlocked(group: Group, groups: readonly Group[], moments: Moments): boolean {
	return moments.weigh(group) >= findLimit(group)
		&& !groups.some(other => other.isRequest === group.isRequest && isBetterExplanation(other, group));
}

function findLimit({isRequest, isServed, keys}: Group): number {
	if (!isRequest) {
		return isServed ? SERVED_PART_LIMIT : PART_LIMIT;
	}

	if (keys.size > 1) {
		return TIED_REQUEST_LIMIT;
	}

	return isServed ? SERVED_REQUEST_LIMIT : REQUEST_LIMIT;
}

/** Whether another group explains all crashes of a group, and more of them or without having been served. */
function isBetterExplanation(other: Group, group: Group): boolean {
	if (other.isServed && !group.isServed) {
		return false;
	}

	const isStronger = other.crashes.size > group.crashes.size || (group.isServed && !other.isServed);
	return isStronger && isSubset(group.crashes, other.crashes);
}

function isSubset(set: ReadonlySet<CrashRecord>, other: ReadonlySet<CrashRecord>): boolean {
	return set.size <= other.size && [...set].every(crash => other.has(crash));
}

function createBlock(keys: ReadonlySet<number>, crashes: ReadonlySet<CrashRecord>): Block {
	const records = [...crashes];
	return {
		id: `${Math.min(...keys)} ${keys.size} ${records.map(({number}) => number).toSorted((a, b) => a - b).join(' ')}`,
		keys,
		crashes: records.map(({name}) => name),
		learntMs: Math.max(...records.map(({learntMs}) => learntMs)),
	};
}
