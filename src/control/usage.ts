/**
 * The counts of usage reports that are fixed in the replicated log before they are sent.
 *
 * The first command for a window is in force, and a window that was evicted gets no other counts, so that two leaders never report
 * different counts for one window.
 *
 * @module
 */
import {CODES} from '../generated/codes.js';
import type {CommandOutcome, RecordUsageCommand, SettleUsageCommand} from '../generated/types.js';

/** The counts of one window, as they are reported. */
export type UsageRecord = {
	readonly window: number;
	/** JSON object with the number of starts by team, compressed with deflate. */
	readonly counts: Uint8Array;
	/** Whether the external service has accepted the report. */
	readonly isAccepted: boolean;
};

export type UsageSnapshot = {
	readonly records: readonly UsageRecord[];
	/** The last window that was evicted. */
	readonly evictedWindow: number;
};

/** Number of windows that are kept. Reports that were not accepted are sent again until newer windows evict them. */
export const RECORDED_WINDOWS = 8;
const NO_WINDOW = -1;

/** Records of the last windows. Modified only by applying log entries. */
export class UsageLedger {
	readonly #records = new Map<number, UsageRecord>();
	#evictedWindow: number;

	constructor(snapshot?: UsageSnapshot) {
		this.#evictedWindow = snapshot?.evictedWindow ?? NO_WINDOW;
		for (const record of snapshot?.records ?? []) {
			this.#records.set(record.window, record);
		}
	}

	/** The last window that has counts; undefined before the first one. */
	get lastWindow(): number | undefined {
		const last = Math.max(this.#evictedWindow, ...this.#records.keys());
		return last === NO_WINDOW ? undefined : last;
	}

	/** Whether the counts of a window are fixed, or can not be fixed any more. */
	isClosed(window: number): boolean {
		return window <= this.#evictedWindow || this.#records.has(window);
	}

	/** Lists the records from the oldest to the newest window. */
	listRecords(): UsageRecord[] {
		return [...this.#records.values()].toSorted((a, b) => a.window - b.window);
	}

	record({window, counts}: RecordUsageCommand, index: number): CommandOutcome {
		if (this.isClosed(window)) {
			const {code, text} = CODES.versionConflict;
			return {
				type: 'conflict', code, version: window, text: `${text} Window ${window} has its counts already.`,
			};
		}

		this.#records.set(window, {window, counts, isAccepted: false});
		while (this.#records.size > RECORDED_WINDOWS) {
			this.#evictedWindow = Math.min(...this.#records.keys());
			this.#records.delete(this.#evictedWindow);
		}

		return {type: 'accepted', version: index};
	}

	settle({window}: SettleUsageCommand, index: number): CommandOutcome {
		const record = this.#records.get(window);
		if (record) {
			this.#records.set(window, {...record, isAccepted: true});
		}

		return {type: 'accepted', version: index};
	}

	/** Returns the records; undefined if there have been none, as in deployments without the duty. */
	createSnapshot(): UsageSnapshot | undefined {
		return this.lastWindow === undefined ? undefined : {records: this.listRecords(), evictedWindow: this.#evictedWindow};
	}
}
