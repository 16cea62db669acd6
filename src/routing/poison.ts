/**
 * Requests that crash the servers that run them.
 *
 * Every request that was in flight at a server when it died becomes a suspect. A suspect is tried again only at a
 * server that no other suspect uses, so that a second crash proves it. One that ends well is cleared.
 *
 * @module
 */

/** Crashes after which a request is refused for good. */
export const POISON_LIMIT = 2;
const MAX_CLEARED = 10_000;

export const VERDICTS = {clear: 'clear', suspect: 'suspect', poisoned: 'poisoned'} as const;
export type PoisonVerdict = keyof typeof VERDICTS;

/** Judges requests by the starts of servers that died while they ran them. */
export class PoisonJudge {
	readonly #cleared = new Set<string>();

	/**
	 * Judges a request.
	 *
	 * @param crashes - Starts of servers that died while they ran it, from all hosts.
	 */
	judge(fingerprint: string, crashes: readonly string[]): PoisonVerdict {
		if (crashes.length >= POISON_LIMIT) {
			return VERDICTS.poisoned;
		}

		return crashes.length > 0 && !this.#cleared.has(fingerprint) ? VERDICTS.suspect : VERDICTS.clear;
	}

	/** Notes that a suspect ran to its end. */
	clear(fingerprint: string): void {
		this.#cleared.add(fingerprint);
		for (const oldest of this.#cleared) {
			if (this.#cleared.size <= MAX_CLEARED) {
				return;
			}

			this.#cleared.delete(oldest);
		}
	}
}
