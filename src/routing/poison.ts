/**
 * Detection of poison requests, which crash the servers that run them, where suspects can be run alone.
 *
 * Every request that was in flight at a server when it crashed becomes a suspect. A suspect is retried only at a server
 * that runs no other suspect, so that a second crash proves that it is the cause. A suspect that runs alone beyond the
 * point of the crash is acquitted of that crash; a later crash only makes it a suspect again.
 *
 * Published routes run suspects without isolation; `suspects.ts` decides there.
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
