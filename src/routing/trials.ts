/**
 * Trials of blocked requests: one at a time over all hosts, a few in all, so that what is refused wrongly is served again.
 *
 * Hosts tell each other their claims of a round; the lowest one wins. A round whose claims were all released was not used. Performs no I/O;
 * the caller passes the current time.
 *
 * @module
 */
import {RETENTION_MS, type Block} from './suspects.js';

/** The claims of trials of one suspect, as `ROUND/HOST/NUMBER`. */
export type TrialClaims = {
	readonly key: number;
	readonly claims: readonly string[];
	/** Those of them that were not used. */
	readonly released: readonly string[];
};

export type TrialRound = {
	/** 1 is the first. */
	readonly round: number;
	/** Monotonic time from which it may be claimed, milliseconds. */
	readonly dueMs: number;
};

/** Time from a crash, or from the trial before, to each trial of a block, milliseconds. There are no further trials. */
export const TRIAL_DELAYS_MS = [20_000, 90_000] as const;
/** The same to an earlier trial of a block whose crashes may have had no request as their cause. */
export const EARLY_TRIAL_DELAY_MS = 4000;
/** Pause before a round that was not used is claimed again, milliseconds. */
const REPEAT_DELAY_MS = 500;
const MAX_KEYS = 500;
const MAX_CLAIMS = 64;

type ClaimRecord = {
	readonly claims: Map<string, {isReleased: boolean}>;
	/** When the latest claim was learnt, milliseconds of the monotonic clock. */
	learntMs: number;
};

/** The claims that one host knows. */
export class TrialSchedule {
	readonly #records = new Map<number, ClaimRecord>();

	/** Merges claims, which may arrive in any order and again. */
	merge({key, claims, released}: TrialClaims, nowMs: number): void {
		const record = this.#records.get(key) ?? {claims: new Map<string, {isReleased: boolean}>(), learntMs: nowMs};
		for (const claim of claims) {
			if (!record.claims.has(claim)) {
				record.claims.set(claim, {isReleased: false});
				record.learntMs = nowMs;
				dropReleased(record);
			}
		}

		for (const claim of released) {
			const known = record.claims.get(claim);
			if (known) {
				known.isReleased = true;
			}
		}

		this.#records.delete(key);
		this.#records.set(key, record);
		for (const [oldest, {learntMs}] of this.#records) {
			if (this.#records.size <= MAX_KEYS && nowMs - learntMs < RETENTION_MS) {
				break;
			}

			this.#records.delete(oldest);
		}
	}

	/** Finds the next round of a block, and when it may be claimed; undefined if none is left. */
	findNextRound({key, learntMs: crashMs, isSudden}: Pick<Block, 'key' | 'learntMs' | 'isSudden'>): TrialRound | undefined {
		const record = this.#records.get(key);
		const round = record ? countUsedRounds(record) + 1 : 1;
		const delayMs = [...(isSudden ? [EARLY_TRIAL_DELAY_MS] : []), ...TRIAL_DELAYS_MS][round - 1];
		if (delayMs === undefined) {
			return undefined;
		}

		const isRepeated = record !== undefined && [...record.claims.keys()].some(claim => readRound(claim) === round);
		const claimedMs = record?.learntMs ?? Number.NEGATIVE_INFINITY;
		return {round, dueMs: Math.max(crashMs + delayMs, claimedMs + (isRepeated ? REPEAT_DELAY_MS : delayMs))};
	}

	/** Finds the claim that wins a round. */
	findWinner(key: number, round: number): string | undefined {
		const claims = [...this.#records.get(key)?.claims ?? []];
		return claims.filter(([claim, {isReleased}]) => readRound(claim) === round && !isReleased).map(([claim]) => claim).toSorted()[0];
	}
}

/** Drops the oldest claims that were not used, beyond the bound. */
function dropReleased({claims}: ClaimRecord): void {
	for (const [claim, {isReleased}] of claims) {
		if (claims.size <= MAX_CLAIMS) {
			return;
		}

		if (isReleased) {
			claims.delete(claim);
		}
	}
}

function countUsedRounds({claims}: ClaimRecord): number {
	const rounds = new Set<number>();
	for (const [claim, {isReleased}] of claims) {
		if (!isReleased) {
			rounds.add(readRound(claim));
		}
	}

	return rounds.size;
}

function readRound(claim: string): number {
	return Number.parseInt(claim, 10);
}
