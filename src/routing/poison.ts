/**
 * Detection of poison requests, which crash the servers that run them.
 *
 * Every request that was in flight at a server when it crashed becomes a suspect. A suspect is retried only at a server
 * that runs no other suspect, so that a second crash proves that it is the cause. A suspect that runs alone beyond the
 * point of the crash is acquitted of that crash; a later crash only makes it a suspect again.
 *
 * Published routes run suspects without isolation. There, a request is poisoned if it is the only explanation of its
 * crashes: no other request was in flight at all of them. So is a part of prompts, which may crash the engines in requests
 * of which no two are alike.
 *
 * @module
 */

/** Number of crashes without an acquittal after which a request counts as poisoned and is refused permanently. */
export const POISON_LIMIT = 2;
/**
 * Number of crashes, including acquitted ones, after which a request is refused: some requests crash their server only sometimes.
 */
export const CRASH_LIMIT = 4;

export const POISON_STATES = {clear: 'clear', suspect: 'suspect', poisoned: 'poisoned'} as const;
export type PoisonState = keyof typeof POISON_STATES;

/** The crashes that a request was involved in, as all hosts record them. */
export type CrashRecord = {
	/** Server incarnations that crashed while they ran the request. */
	readonly servers: readonly string[];
	/** The incarnations among them whose crash the request did not cause. */
	readonly acquitted?: readonly string[];
};

/**
 * Classifies a request by the servers that crashed while they ran it.
 *
 * @example
 * ```ts
 * classifyRequest({servers: ['e1#1'], acquitted: []}); // 'suspect'
 * ```
 */
export function classifyRequest({servers, acquitted = []}: CrashRecord): PoisonState {
	const unresolved = servers.filter(server => !acquitted.includes(server)).length;
	if (unresolved >= POISON_LIMIT || servers.length >= CRASH_LIMIT) {
		return POISON_STATES.poisoned;
	}

	return unresolved > 0 ? POISON_STATES.suspect : POISON_STATES.clear;
}

/** Number of crashes in different requests after which a prompt part counts as poisoned. */
export const PART_LIMIT = 3;
/** The same for a part that was served after an earlier crash. */
export const SERVED_PART_LIMIT = 5;

const PART_PREFIX = 'part/';

/**
 * Formats the key under which crashes of a prompt part are recorded, beside the fingerprints of requests.
 *
 * @example
 * ```ts
 * formatPartKey('91bd3f06'); // 'part/91bd3f06'
 * ```
 */
export function formatPartKey(part: string): string {
	return PART_PREFIX + part;
}

/**
 * Finds the requests and the prompt parts that must be the cause of their crashes.
 *
 * A suspect is cleared by another one of its kind that was in flight at the same crashes and more; of suspects with the
 * same crashes, none is chosen before a higher limit. A part is also cleared by a poisoned request that explains all its
 * crashes.
 *
 * @example
 * ```ts
 * listPoisoned(new Map([['f', {servers: ['e1#1', 'e2#1']}], ['g', {servers: ['e1#1']}]])); // Set {'f'}
 * ```
 */
export function listPoisoned(records: ReadonlyMap<string, CrashRecord>): Set<string> {
	const requests = new Map<string, Suspect>();
	const parts = new Map<string, Suspect>();
	for (const [key, record] of records) {
		const isPart = key.startsWith(PART_PREFIX);
		const suspect = createSuspect(record, isPart);
		if (suspect.crashes.size >= suspect.limit) {
			(isPart ? parts : requests).set(key, suspect);
		}
	}

	const poisonedRequests = listUnexplained(requests);
	const explanations = [...poisonedRequests].map(key => requests.get(key)!.crashes);
	const poisonedParts = listUnexplained(parts).filter(key => !explanations.some(crashes => isSubset(parts.get(key)!.crashes, crashes)));
	return new Set([...poisonedRequests, ...poisonedParts]);
}

/** What was in flight at enough crashes that it may be their cause. */
type Suspect = {
	readonly crashes: ReadonlySet<string>;
	/** Number of crashes after which it counts as poisoned if nothing else explains them. */
	readonly limit: number;
	/** The same if another suspect has the same crashes. */
	readonly tiedLimit: number;
};

function createSuspect({servers, acquitted = []}: CrashRecord, isPart: boolean): Suspect {
	const crashes = new Set(servers.filter(server => !acquitted.includes(server)));
	if (!isPart) {
		return {crashes, limit: POISON_LIMIT, tiedLimit: CRASH_LIMIT};
	}

	const limit = acquitted.length > 0 ? SERVED_PART_LIMIT : PART_LIMIT;
	return {crashes, limit, tiedLimit: limit + 1};
}

function listUnexplained(suspects: ReadonlyMap<string, Suspect>): string[] {
	const unexplained: string[] = [];
	for (const [key, {crashes, tiedLimit}] of suspects) {
		const rivals = [...suspects].filter(([other, rival]) => other !== key && isSubset(crashes, rival.crashes));
		const isExplained = rivals.some(([, rival]) => rival.crashes.size > crashes.size);
		if (!isExplained && (rivals.length === 0 || crashes.size >= tiedLimit)) {
			unexplained.push(key);
		}
	}

	return unexplained;
}

function isSubset(set: ReadonlySet<string>, other: ReadonlySet<string>): boolean {
	return set.size <= other.size && [...set].every(value => other.has(value));
}
