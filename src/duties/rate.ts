/**
 * Limits the rate of calls to the external service.
 *
 * @module
 */

/** Margin for calls that arrive closer together than they were made. */
const SPACING_FACTOR = 1.05;
/** A path whose call was refused this long ago no longer waits for a turn. */
const TURN_MS = 1000;

/**
 * Spaces the calls evenly, which satisfies a limiter of any kind, and lets paths take turns, so that frequent calls of one path do not
 * keep those of another one from being made.
 */
export class CallRate {
	readonly #spacingMs: number;
	readonly #waitingSinceMs = new Map<string, number>();
	#nextMs = Number.NEGATIVE_INFINITY;
	#lastPath: string | undefined;

	constructor(callsPerSecond: number) {
		this.#spacingMs = (1000 / callsPerSecond) * SPACING_FACTOR;
	}

	/** Takes the permission for one call, or returns false if it must not be made now. */
	take(path: string, nowMs: number): boolean {
		const isOthersTurn = path === this.#lastPath && [...this.#waitingSinceMs].some(([other, sinceMs]) => other !== path && nowMs - sinceMs < TURN_MS);
		if (nowMs < this.#nextMs || isOthersTurn) {
			this.#waitingSinceMs.set(path, nowMs);
			return false;
		}

		this.#waitingSinceMs.delete(path);
		this.#lastPath = path;
		this.#nextMs = nowMs + this.#spacingMs;
		return true;
	}
}
