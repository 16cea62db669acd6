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
import {
	findExplanations, MOMENT_MS, REQUEST_LIMIT, type CrashRecord, type Group,
} from './explanations.js';

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
	/** Identifies the suspects and their crashes on this host. */
	readonly id: string;
	/** The smallest of the keys, which names the block on all hosts. */
	readonly key: number;
	/** A request is refused if it contains all of these. */
	readonly keys: ReadonlySet<number>;
	/** The crashes that they explain. */
	readonly crashes: readonly string[];
	/** When this host learnt of the latest of the crashes, milliseconds of the monotonic clock. */
	readonly learntMs: number;
	/** Whether several servers crashed at one moment and none at another: the cause may be no request. */
	readonly isSudden: boolean;
};

/** The blocks that apply to a request. */
export type BlockMatch = {
	/** Blocks of which the request contains all suspects. */
	readonly full: readonly Block[];
	/** Blocks of which it contains some. */
	readonly partial: readonly Block[];
};

type Suspect = {
	readonly isRequest: boolean;
	isServed: boolean;
	crashes: CrashRecord[];
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

/** Time for which crashes are remembered, milliseconds. */
export const RETENTION_MS = 3_600_000;
/** Bounds of what is remembered: crashes, and suspects summed over the crashes. */
export const MAX_CRASHES = 512;
export const MAX_OCCURRENCES = 65_536;
/** A request with its retry crashes two servers at one moment. */
const SUDDEN_CRASHES = 3;
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

	/** Finds the wall-clock time of a crash, milliseconds. Later reports on it must not move it to another moment. */
	findTime(crash: string): number | undefined {
		return this.#crashes.get(crash)?.at;
	}

	/** Number of suspects, summed over the crashes. */
	get occurrences(): number {
		return this.#occurrences;
	}

	/** Adds a report. Reports may arrive in any order, and again. */
	add({crash, at, requests, parts, served, cleared}: CrashReport, nowMs: number): void {
		this.#expire(nowMs);
		const record = this.#crashes.get(crash) ?? {
			name: crash, number: this.#nextNumber++, at, learntMs: nowMs, keys: new Set<number>(), cleared: new Set<number>(), served: new Set<number>(),
		};
		this.#crashes.set(crash, record);
		record.at = Math.max(record.at, at);
		for (const key of cleared) {
			record.cleared.add(key);
		}

		for (const key of served) {
			record.served.add(key);
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
		suspect.isServed ||= record.cleared.has(key) || record.served.has(key);
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
		const {requests, parts} = findExplanations(groups, this.#crashes.values());
		return [...requests.flatMap(request => [...request.keys].map(key => createBlock(new Set([key]), request.crashes))), ...parts.map(part => createBlock(part.keys, part.crashes))];
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

function listUnresolved(key: number, {crashes}: Suspect): CrashRecord[] {
	return crashes.filter(({cleared}) => !cleared.has(key));
}

function createBlock(keys: ReadonlySet<number>, crashes: ReadonlySet<CrashRecord>): Block {
	const records = [...crashes];
	const times = records.map(({at}) => at);
	let key = Number.POSITIVE_INFINITY;
	for (const other of keys) {
		key = Math.min(key, other);
	}

	return {
		key,
		id: `${key} ${keys.size} ${records.map(({number}) => number).toSorted((a, b) => a - b).join(' ')}`,
		keys,
		crashes: records.map(({name}) => name),
		learntMs: Math.max(...records.map(({learntMs}) => learntMs)),
		isSudden: records.length >= SUDDEN_CRASHES && Math.max(...times) - Math.min(...times) <= MOMENT_MS,
	};
}
