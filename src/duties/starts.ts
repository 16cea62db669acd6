/**
 * Counts the requests that servers start to run for an entry host, by team and window.
 *
 * @module
 */
import type {UsageWindow} from '../generated/types.js';

/** A count and the revision of the counter at which it changed last. */
type Count = {
	value: number;
	revision: number;
};

/** Number of windows that are kept: reports of older ones would be too late. */
export const COUNTED_WINDOWS = 8;
/** Number of teams of one window; above that of any configuration in use. */
const MAX_TEAMS = 5000;

/** Counts starts. A window is the number of the interval since the Unix epoch. */
export class StartCounter {
	readonly #windowMs: number;
	readonly #readMs: () => number;
	/** In the order in which the windows began here, so that a clock that jumps ahead and back evicts few. */
	readonly #windows = new Map<number, Map<string, Count>>();
	#revision = 0;

	/**
	 * Creates a counter of which all counts are 0.
	 *
	 * @example
	 * ```ts
	 * const starts = new StartCounter(5000, () => clock.wallMs());
	 * starts.record('team-1', starts.readMs());
	 * ```
	 */
	constructor(windowMs: number, readMs: () => number) {
		this.#windowMs = windowMs;
		this.#readMs = readMs;
	}

	/** Number of starts that were counted. */
	get revision(): number {
		return this.#revision;
	}

	/** Returns the time by which starts are assigned to windows. */
	readMs(): number {
		return this.#readMs();
	}

	/** Counts one start at a time of `readMs`. Requests without a team are not counted. */
	record(team: string | undefined, atMs: number): void {
		if (team === undefined) {
			return;
		}

		const counts = this.#findWindow(findWindow(atMs, this.#windowMs));
		const count = counts.get(team);
		if (count) {
			count.value++;
			count.revision = ++this.#revision;
		} else if (counts.size < MAX_TEAMS) {
			counts.set(team, {value: 1, revision: ++this.#revision});
		}
	}

	/** Lists the counts that have changed after a revision. */
	listChanges(since: number): UsageWindow[] {
		const windows: UsageWindow[] = [];
		for (const [window, counts] of this.#windows) {
			const changed = [...counts].filter(([, {revision}]) => revision > since);
			if (changed.length > 0) {
				windows.push({window, teams: changed.map(([team]) => team), counts: changed.map(([, {value}]) => value)});
			}
		}

		return windows;
	}

	#findWindow(window: number): Map<string, Count> {
		const known = this.#windows.get(window);
		if (known) {
			return known;
		}

		const counts = new Map<string, Count>();
		this.#windows.set(window, counts);
		if (this.#windows.size > COUNTED_WINDOWS) {
			const [first] = this.#windows.keys();
			this.#windows.delete(first!);
		}

		return counts;
	}
}

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/**
 * Returns whether a response of a plain server shows that the server has started to run the request.
 *
 * @example
 * ```ts
 * showsStart({status: 404, isNotExecuted: false}); // true
 * ```
 */
export function showsStart({status, isNotExecuted}: {readonly status: number; readonly isNotExecuted: boolean}): boolean {
	return !isNotExecuted && !NOT_RUN_STATUSES.has(status);
}

/**
 * Returns the window of a wall-clock time.
 *
 * @example
 * ```ts
 * findWindow(12_300, 5000); // 2
 * ```
 */
export function findWindow(wallMs: number, windowMs: number): number {
	return Math.max(0, Math.floor(wallMs / windowMs));
}
