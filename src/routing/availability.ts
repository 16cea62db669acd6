/**
 * What servers have said in their responses about further requests.
 *
 * Each statement holds for the incarnation that made it: a server that starts anew is available at once. Performs no I/O;
 * the caller passes the current time.
 *
 * @module
 */
import {formatIncarnation, type ServerIncarnation} from '../base/incarnation.js';
import type {Random} from '../base/random.js';

const MAX_ENTRIES = 2000;
/** Longest time for which a server may refuse requests; a larger value is more likely a fault. */
const MAX_REFUSAL_MS = 600_000;
/** After a refusal of this duration, the requests that a server had before have moved to others. */
const LONG_REFUSAL_MS = 2000;
/** Shares of the requests for which a server is considered in the steps after a long refusal. */
const RETURN_SHARES = [0.25, 0.5, 0.75];
const RETURN_STEP_MS = 1000;
const RETURN_MS = RETURN_SHARES.length * RETURN_STEP_MS;

/** A server that takes no requests until a time of the monotonic clock, milliseconds. */
export type RefusingServer = ServerIncarnation & {readonly untilMs: number};

type Refusal = RefusingServer & {
	/** When the server began to refuse; refusals with short pauses between them count as one. */
	readonly sinceMs: number;
};

/** The servers that one host must not send requests to, by what they told it. */
export class AvailabilityTracker {
	readonly #leaving = new Map<string, ServerIncarnation>();
	readonly #refusing = new Map<string, Refusal>();
	readonly #unreadable = new Map<string, true>();

	/** Records that a server is leaving. Returns false if that was known. */
	recordLeaving({server, incarnation}: ServerIncarnation): boolean {
		const key = formatIncarnation({server, incarnation});
		if (this.#leaving.has(key)) {
			return false;
		}

		this.#leaving.set(key, {server, incarnation});
		evictOldest(this.#leaving);
		return true;
	}

	/** Records that a server takes no requests for some time, up to a limit. An earlier statement is not shortened. */
	recordRefusal({server, incarnation}: ServerIncarnation, durationMs: number, nowMs: number): void {
		const key = formatIncarnation({server, incarnation});
		const previous = this.#refusing.get(key);
		const untilMs = Math.max(nowMs + Math.min(durationMs, MAX_REFUSAL_MS), previous?.untilMs ?? 0);
		const sinceMs = previous && nowMs < previous.untilMs + RETURN_STEP_MS ? previous.sinceMs : nowMs;
		this.#refusing.set(key, {
			server, incarnation, untilMs, sinceMs,
		});
		evictOldest(this.#refusing);
	}

	/** Records that a server has sent a retry time that cannot be read. Returns false if that was known. */
	recordUnreadable(server: ServerIncarnation): boolean {
		const key = formatIncarnation(server);
		const isNew = !this.#unreadable.has(key);
		this.#unreadable.set(key, true);
		evictOldest(this.#unreadable);
		return isNew;
	}

	/** Whether a server takes new requests. */
	isAvailable(server: ServerIncarnation, nowMs: number): boolean {
		const key = formatIncarnation(server);
		return !this.#leaving.has(key) && (this.#refusing.get(key)?.untilMs ?? 0) <= nowMs;
	}

	/** Lists the servers that refuse requests for some time. */
	listRefusing(nowMs: number): RefusingServer[] {
		for (const [key, {untilMs}] of this.#refusing) {
			if (untilMs + RETURN_MS <= nowMs) {
				this.#refusing.delete(key);
			}
		}

		return [...this.#refusing.values()].filter(({untilMs}) => untilMs > nowMs)
			.map(({server, incarnation, untilMs}) => ({server, incarnation, untilMs}));
	}

	/**
	 * Draws the servers that one request should leave out if others can serve it, because a long refusal of theirs has just ended.
	 * So they get their share of the requests back in steps.
	 */
	drawHeldBack(nowMs: number, random: Random): ServerIncarnation[] {
		return [...this.#refusing.values()].filter(refusal => random() >= findReturnShare(refusal, nowMs))
			.map(({server, incarnation}) => ({server, incarnation}));
	}

	/** Lists the server incarnations that take no new requests. */
	listUnavailable(nowMs: number): ServerIncarnation[] {
		return [...this.#leaving.values(), ...this.listRefusing(nowMs)];
	}
}

/** Finds the share of the requests for which a server is to be considered after a refusal. */
function findReturnShare({sinceMs, untilMs}: Refusal, nowMs: number): number {
	const isReturning = untilMs <= nowMs && untilMs - sinceMs >= LONG_REFUSAL_MS;
	return isReturning ? RETURN_SHARES[Math.floor((nowMs - untilMs) / RETURN_STEP_MS)] ?? 1 : 1;
}

function evictOldest(entries: Map<string, unknown>): void {
	const [oldest] = entries.keys();
	if (entries.size > MAX_ENTRIES && oldest !== undefined) {
		entries.delete(oldest);
	}
}
