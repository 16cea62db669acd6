/**
 * What a leader knows about the log of another replica.
 *
 * @module
 */
import type {AppendReply, ConsensusBody, Entry} from '../generated/types.js';
import {getEntryBytes} from './log.js';

/** Entries that were sent in one append request. */
type SentEntries = {
	readonly firstIndex: number;
	readonly lastIndex: number;
	readonly bytes: number;
};

/** A snapshot without a reply is sent again after this time, milliseconds, and after twice the time each time that follows. */
const INSTALL_RETRY_MS = 2000;
const MAX_INSTALL_RETRY_MS = 16_000;

/** Replication progress of one peer. */
export class PeerProgress {
	/** The next entry to send. Entries are sent ahead of replies, so it may be beyond what has arrived. */
	nextIndex: number;
	matchIndex = 0;
	/** Highest round of append requests that the peer has acknowledged. */
	round = 0;
	/** Time at which that round was sent. */
	confirmedMs = Number.NEGATIVE_INFINITY;
	/** Index of the last snapshot that was sent. */
	installIndex = 0;
	/** Until this time no other snapshot is sent, because one is assumed to be in transit. */
	installUntilMs = 0;
	#installRetryMs = INSTALL_RETRY_MS;
	/** Round in which `nextIndex` was last set back. Rejections of earlier rounds are ignored. */
	resentRound = 0;
	#unacknowledged: SentEntries[] = [];

	constructor(nextIndex: number) {
		this.nextIndex = nextIndex;
	}

	/** Approximate memory of the entries that were sent and not acknowledged, bytes. */
	get unacknowledgedBytes(): number {
		return this.#unacknowledged.reduce((sum, {bytes}) => sum + bytes, 0);
	}

	recordSent(entries: readonly Entry[]): void {
		const [first] = entries;
		if (first) {
			this.#unacknowledged.push({firstIndex: first.index, lastIndex: entries.at(-1)!.index, bytes: entries.reduce((sum, entry) => sum + getEntryBytes(entry), 0)});
			this.nextIndex += entries.length;
		}
	}

	recordMatch(index: number): void {
		this.matchIndex = Math.max(this.matchIndex, index);
		this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
		this.#unacknowledged = this.#unacknowledged.filter(({lastIndex}) => lastIndex > this.matchIndex);
		if (index >= this.installIndex) {
			this.installUntilMs = 0;
			this.#installRetryMs = INSTALL_RETRY_MS;
		}
	}

	recordInstall(index: number, nowMs: number): void {
		this.installIndex = index;
		this.installUntilMs = nowMs + this.#installRetryMs;
		this.#installRetryMs = Math.min(this.#installRetryMs * 2, MAX_INSTALL_RETRY_MS);
	}

	/** Sets the next entry back after a rejection, to the entry after the last one that may match. */
	setBack(index: number): void {
		this.nextIndex = Math.max(this.matchIndex + 1, Math.min(index + 1, this.nextIndex - 1));
		this.#unacknowledged = [];
	}

	/** Schedules what was sent and not acknowledged for retransmission. Returns whether there was any. */
	recordLoss(): boolean {
		const [first] = this.#unacknowledged;
		const hasLost = first !== undefined || this.installUntilMs > 0;
		this.nextIndex = Math.max(this.matchIndex + 1, Math.min(this.nextIndex, first?.firstIndex ?? this.nextIndex));
		this.#unacknowledged = [];
		this.installUntilMs = 0;
		return hasLost;
	}
}

/**
 * Whether a message acknowledges the entries up to its match index.
 *
 * @example
 * ```ts
 * isAcknowledgement({type: 'append-reply', term: 1, round: 2, success: true, matchIndex: 7}); // true
 * ```
 */
export function isAcknowledgement(body: ConsensusBody): body is AppendReply {
	return body.type === 'append-reply' && body.success;
}
