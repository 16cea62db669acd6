/**
 * Decides which groups of suspects explain the crashes of servers best.
 *
 * Performs no I/O. docs/design/crashes.md says what was weighed.
 *
 * @module
 */

/** One crash of a server. */
export type CrashRecord = {
	readonly name: string;
	readonly number: number;
	at: number;
	readonly learntMs: number;
	readonly keys: Set<number>;
	readonly cleared: Set<number>;
	/** Keys that were served not long before. */
	readonly served: Set<number>;
};

/** Suspects of one kind that were in flight at the same crashes. */
export type Group = {
	readonly isRequest: boolean;
	readonly isServed: boolean;
	readonly crashes: ReadonlySet<CrashRecord>;
	readonly keys: Set<number>;
};

/** Groups that explain crashes well enough that requests are refused for them. */
export type Explanations = {
	readonly requests: readonly Group[];
	readonly parts: readonly Group[];
};

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
/**
 * Finds the groups that are the best explanation of enough crashes. A request explains what its parts would; a part that was in flight at
 * more crashes than a request explains what the request would.
 *
 * @example
 * ```ts
 * findExplanations(groups, crashes).parts; // the prompt parts that crash servers
 * ```
 */
export function findExplanations(groups: readonly Group[], crashes: Iterable<CrashRecord>): Explanations {
	const moments = new Moments(crashes);
	const blocked = groups.filter(group => isBlocked(group, groups, moments));
	const requests = blocked.filter(({isRequest}) => isRequest);
	const parts = blocked.filter(({isRequest, crashes}) => !isRequest && !requests.some(request => isSubset(crashes, request.crashes)));
	return {parts, requests: requests.filter(request => !parts.some(part => part.crashes.size > request.crashes.size && isSubset(request.crashes, part.crashes)))};
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
