/**
 * Decides when the counts of a window are committed to the replicated log, and which report is sent next.
 *
 * A state machine without I/O: the caller passes what is committed and the current time, and executes the returned effects.
 *
 * @module
 */
import type {UsageRecord} from '../control/usage.js';
import type {CallOutcome} from './caller.js';
import {findWindow} from './starts.js';

/** What the planner decides on. */
export type ReportSituation = {
	/** Monotonic time, milliseconds. */
	readonly nowMs: number;
	/** Estimated wall-clock time, milliseconds. */
	readonly wallMs: number;
	/** Whether this replica leads the replicated log with a valid lease. */
	readonly isLeader: boolean;
	/** Whether this host may call the external service. */
	readonly isHolder: boolean;
	/** The committed counts, from the oldest to the newest window. */
	readonly records: readonly UsageRecord[];
	/** The first window of which an entry host has reported counts that are not committed. */
	readonly firstCollected: number | undefined;
	/** Whether the counts of a window are committed, or can not be committed any more. */
	readonly isClosed: (window: number) => boolean;
	/** Whether all live entry hosts have reported after the end of a window. */
	readonly isComplete: (window: number) => boolean;
};

export type ReportEffect
	= | {readonly type: 'commit'; readonly window: number}
		| {readonly type: 'send'; readonly record: UsageRecord}
		/** Records in the log that a report was accepted. */
		| {readonly type: 'settle'; readonly window: number};

export const REPORT_TIMING = {
	/** Time from the end of a window until its counts are complete at the earliest: two reports of the entry hosts, and responses of plain servers. */
	settleMs: 2000,
	/** Time from the end of a window after which silent entry hosts are not waited for any more. */
	maxSettleMs: 5000,
	/** Time from a start, or a standstill, until the entry hosts have reconnected and sent their counts in full. */
	collectMs: 2500,
	/** A report is due at this time after the end of its window. */
	dueMs: 10_000,
	/** Time until a proposal without a result is made again. */
	proposalMs: 1000,
	/** Pause after the first failure of a report; doubled for each further one, up to the maximum. */
	pauseMs: 400,
	maxPauseMs: 1600,
	/** Pause after a failure until the next call for any window. */
	failurePauseMs: 250,
} as const;

/** Number of past windows whose counts are committed; counts of older ones are not reported. */
const REPORTED_WINDOWS = 6;
/** A longer time between two ticks is a standstill: messages that arrived meanwhile may not have been read yet, milliseconds. */
const STANDSTILL_MS = 1000;

type Failure = {
	readonly count: number;
	readonly retryMs: number;
};

/** Plans the reports of one control host, whether it leads or not. */
export class ReportPlanner {
	readonly #windowMs: number;
	readonly #accepted = new Set<number>();
	readonly #proposedMs = new Map<number, number>();
	readonly #failures = new Map<number, Failure>();
	#collectingSinceMs = Number.NEGATIVE_INFINITY;
	#lastTickMs = Number.NEGATIVE_INFINITY;
	/** The window in which this host began to collect. */
	#firstWindow: number | undefined;
	#isSending = false;
	#nextSendMs = Number.NEGATIVE_INFINITY;

	constructor(windowMs: number) {
		this.#windowMs = windowMs;
	}

	/** Decides what to commit and to send now. */
	tick(situation: ReportSituation): ReportEffect[] {
		const {nowMs, wallMs, records} = situation;
		if (nowMs - this.#lastTickMs > STANDSTILL_MS) {
			this.#collectingSinceMs = nowMs;
		}

		this.#lastTickMs = nowMs;
		this.#firstWindow ??= findWindow(wallMs, this.#windowMs);
		this.#forgetEvicted(situation);
		return [
			...this.#listDueCommits(situation).map(window => ({type: 'commit' as const, window})),
			...this.#chooseReport(situation).map(record => ({type: 'send' as const, record})),
			// The command that settles a report may have been lost with a leader; it is proposed again.
			...records.filter(({window, isAccepted}) => !isAccepted && this.#accepted.has(window) && this.#mayPropose(window, situation))
				.map(({window}) => ({type: 'settle' as const, window})),
		];
	}

	/** Records how a call for a window has ended. */
	handleOutcome(window: number, outcome: CallOutcome, nowMs: number): void {
		this.#isSending = false;
		if (outcome.type === 'not-holder' || outcome.type === 'rate-limited') {
			return;
		}

		if (outcome.type === 'response' && outcome.status >= 200 && outcome.status < 300) {
			this.#accepted.add(window);
			this.#failures.delete(window);
			return;
		}

		const count = this.#countFailures({window}) + 1;
		const pauseMs = Math.min(REPORT_TIMING.maxPauseMs, REPORT_TIMING.pauseMs * (2 ** (count - 1)));
		this.#failures.set(window, {count, retryMs: nowMs + pauseMs});
		this.#nextSendMs = nowMs + REPORT_TIMING.failurePauseMs;
	}

	/** Whether it is too late for the report of a window. */
	isLate(window: number, wallMs: number): boolean {
		return wallMs - this.#findEndMs(window) > REPORT_TIMING.dueMs;
	}

	#listDueCommits(situation: ReportSituation): number[] {
		const {nowMs, wallMs, isLeader, records, firstCollected, isClosed, isComplete} = situation;
		if (!isLeader || nowMs - this.#collectingSinceMs < REPORT_TIMING.collectMs) {
			return [];
		}

		const current = findWindow(wallMs, this.#windowMs);
		// Without an earlier report, the system has just started, or the duty is new.
		const begin = records[0]?.window ?? Math.min(this.#firstWindow ?? current, firstCollected ?? current);
		const due: number[] = [];
		for (let window = Math.max(begin, current - REPORTED_WINDOWS); window < current; window++) {
			const sinceEndMs = wallMs - this.#findEndMs(window);
			const isSettled = sinceEndMs >= REPORT_TIMING.maxSettleMs || (sinceEndMs >= REPORT_TIMING.settleMs && isComplete(window));
			if (isSettled && !isClosed(window) && this.#mayPropose(window, situation)) {
				due.push(window);
			}
		}

		return due;
	}

	/**
	 * Chooses the report to send: of those that are in time the oldest, then of those that are late the newest. One that has failed less
	 * often goes first, since a call without a response may have arrived.
	 */
	#chooseReport({nowMs, wallMs, isHolder, records}: ReportSituation): UsageRecord[] {
		if (!isHolder || this.#isSending || nowMs < this.#nextSendMs) {
			return [];
		}

		const open = records.filter(({window, isAccepted}) => !isAccepted && !this.#accepted.has(window) && nowMs >= (this.#failures.get(window)?.retryMs ?? nowMs));
		const inTime = open.filter(({window}) => !this.isLate(window, wallMs));
		const [record] = (inTime.length > 0 ? inTime : open.toReversed()).toSorted((a, b) => this.#countFailures(a) - this.#countFailures(b));
		this.#isSending = record !== undefined;
		return record ? [record] : [];
	}

	#countFailures({window}: Pick<UsageRecord, 'window'>): number {
		return this.#failures.get(window)?.count ?? 0;
	}

	/** Whether a command for a window may be proposed; records that it is. */
	#mayPropose(window: number, {nowMs, isLeader}: ReportSituation): boolean {
		if (!isLeader || nowMs - (this.#proposedMs.get(window) ?? Number.NEGATIVE_INFINITY) < REPORT_TIMING.proposalMs) {
			return false;
		}

		this.#proposedMs.set(window, nowMs);
		return true;
	}

	#findEndMs(window: number): number {
		return (window + 1) * this.#windowMs;
	}

	/** Forgets windows of which no counts are kept any more. */
	#forgetEvicted({records, wallMs}: ReportSituation): void {
		const first = records[0]?.window ?? findWindow(wallMs, this.#windowMs) - REPORTED_WINDOWS;
		for (const windows of [this.#accepted, this.#proposedMs, this.#failures]) {
			for (const window of windows.keys()) {
				if (window < first) {
					windows.delete(window);
				}
			}
		}
	}
}
