/**
 * Requests that crash the servers that run them.
 *
 * Every request that was in flight at a server when it died becomes a suspect. A suspect is tried again only at a
 * server that no other suspect uses, so that a second crash proves it. One that runs on alone beyond the point of the
 * crash is acquitted of it: another crash later makes it a suspect again, no more.
 *
 * @module
 */

/** Crashes not accounted for after which a request is refused for good. */
export const POISON_LIMIT = 2;
/** Crashes, accounted for or not, after which it is refused: some crash their server now and then. */
export const CRASH_LIMIT = 4;

export const POISON_STATES = {clear: 'clear', suspect: 'suspect', poisoned: 'poisoned'} as const;
export type PoisonState = keyof typeof POISON_STATES;

/** What all hosts know of a request that was running when servers died. */
export type CrashRecord = {
	/** Starts of servers that died while they ran it. */
	readonly servers: readonly string[];
	/** Those of them that it did not crash. */
	readonly acquitted?: readonly string[];
};

/**
 * Judges a request by the servers that died while they ran it.
 *
 * @example
 * ```ts
 * judgeRequest({servers: ['e1#1'], acquitted: []}); // 'suspect'
 * ```
 */
export function classifyRequest({servers, acquitted = []}: CrashRecord): PoisonState {
	const open = servers.filter(server => !acquitted.includes(server)).length;
	if (open >= POISON_LIMIT || servers.length >= CRASH_LIMIT) {
		return POISON_STATES.poisoned;
	}

	return open > 0 ? POISON_STATES.suspect : POISON_STATES.clear;
}
