/**
 * The ledger of work that may not be repeated: which attempt may run a key, and how it ended.
 *
 * @module
 */
import type {
	StoredResponse, ClaimCommand, LedgerOutcome, SettleCommand,
} from '../generated/types.js';

export const LEDGER_STATES = {
	claimed: 'claimed', done: 'done', 'not-run': 'not-run', unknown: 'unknown',
} as const;
export type LedgerState = keyof typeof LEDGER_STATES;

export type LedgerRecord = {
	readonly key: string;
	readonly fingerprint: string;
	readonly attempt: string;
	readonly host: string;
	readonly state: LedgerState;
	readonly claimedAtMs: number;
	readonly settledAtMs: number;
	readonly answer?: StoredResponse;
};

export type LedgerSnapshot = {
	readonly records: readonly LedgerRecord[];
	readonly abandoned: ReadonlyArray<readonly [string, number]>;
};

const EMPTY_LEDGER: LedgerSnapshot = {records: [], abandoned: []};
/** How long an outcome is kept and a key is not run again, milliseconds. */
export const LEDGER_RETENTION_MS = 24 * 60 * 60 * 1000;
/** Most records held; a claim beyond it is refused rather than an outcome forgotten. */
export const MAX_LEDGER_RECORDS = 500_000;

/** Keys under which a host holds a backend server for one suspected request; they lock, they record no work. */
export const QUARANTINE_PREFIX = 'quarantine/';

/** The ledger; changed only by commands of the log. */
export class Ledger {
	readonly #claimBeforeSend: boolean;
	readonly #records = new Map<string, LedgerRecord>();
	readonly #abandoned = new Map<string, number>();

	constructor(image: LedgerSnapshot = EMPTY_LEDGER, claimBeforeSend = true) {
		this.#claimBeforeSend = claimBeforeSend;
		for (const record of image.records) {
			this.#records.set(record.key, record);
		}

		for (const [attempt, atMs] of image.abandoned) {
			this.#abandoned.set(attempt, atMs);
		}
	}

	get size(): number {
		return this.#records.size;
	}

	find(key: string): LedgerRecord | undefined {
		return this.#records.get(key);
	}

	/** Claims that nobody has settled. */
	listOpenClaims(): LedgerRecord[] {
		return [...this.#records.values()].filter(record => record.state === LEDGER_STATES.claimed);
	}

	/** Grants the key to an attempt, or tells what became of it. */
	claim(command: ClaimCommand): LedgerOutcome {
		const known = this.#records.get(command.key);
		if (this.#abandoned.has(command.attempt)) {
			return createAnswer('not-run', command.attempt, command.host);
		}

		if (!known || this.#mayRunAgain(known, command)) {
			return this.#grant(command);
		}

		if (known.fingerprint !== command.fingerprint) {
			return createAnswer('reused', known.attempt, known.host);
		}

		if (known.attempt === command.attempt && known.state === LEDGER_STATES.claimed) {
			return createAnswer('granted', known.attempt, known.host);
		}

		const state = known.state === LEDGER_STATES.claimed ? 'in-flight' : known.state;
		return createAnswer(state, known.attempt, known.host, known.answer);
	}

	/** Records how an attempt ended. What is done stays done; an unknown end may still become known. */
	settle(command: SettleCommand): LedgerOutcome {
		const known = this.#records.get(command.key);
		if (known?.attempt !== command.attempt) {
			if (command.outcome === 'not-run') {
				// The claim may still be on its way; it must not be granted any more.
				this.#abandoned.set(command.attempt, command.at);
			}

			return createAnswer(command.outcome, command.attempt, '');
		}

		const isOpen = known.state === LEDGER_STATES.claimed || known.state === LEDGER_STATES.unknown;
		if (!isOpen) {
			return createAnswer(known.state, known.attempt, known.host, known.answer);
		}

		if (command.outcome === 'not-run') {
			this.#abandoned.set(command.attempt, command.at);
		}

		const settled: LedgerRecord = {
			...known, state: command.outcome, settledAtMs: command.at, answer: command.answer,
		};
		this.#replace(settled);
		return createAnswer(command.outcome, known.attempt, known.host, command.answer);
	}

	/** Forgets what has been settled for longer than the retention. */
	removeExpired(nowMs: number): void {
		for (const [key, record] of this.#records) {
			const age = nowMs - record.settledAtMs;
			if (record.state !== LEDGER_STATES.claimed && age < LEDGER_RETENTION_MS) {
				break;
			}

			if (record.state !== LEDGER_STATES.claimed) {
				this.#records.delete(key);
			}
		}

		for (const [attempt, atMs] of this.#abandoned) {
			if (nowMs - atMs < LEDGER_RETENTION_MS) {
				break;
			}

			this.#abandoned.delete(attempt);
		}
	}

	createSnapshot(): LedgerSnapshot {
		return {records: [...this.#records.values()], abandoned: [...this.#abandoned]};
	}

	#mayRunAgain(known: LedgerRecord, command: ClaimCommand): boolean {
		if (!this.#claimBeforeSend) {
			return known.state === LEDGER_STATES.claimed;
		}

		return known.state === LEDGER_STATES['not-run'] && known.attempt !== command.attempt;
	}

	#grant(command: ClaimCommand): LedgerOutcome {
		if (this.#records.size >= MAX_LEDGER_RECORDS) {
			return createAnswer('not-run', command.attempt, command.host);
		}

		this.#replace({
			key: command.key,
			fingerprint: command.fingerprint,
			attempt: command.attempt,
			host: command.host,
			state: LEDGER_STATES.claimed,
			claimedAtMs: command.at,
			settledAtMs: 0,
		});
		return createAnswer('granted', command.attempt, command.host);
	}

	/** Moves a record to the end, so that the order of the map is the order of settling. */
	#replace(record: LedgerRecord): void {
		this.#records.delete(record.key);
		this.#records.set(record.key, record);
	}
}

function createAnswer(state: LedgerOutcome['state'], attempt: string, host: string, answer?: StoredResponse): LedgerOutcome {
	return answer === undefined
		? {
			type: 'ledger', state, attempt, host,
		}
		: {
			type: 'ledger', state, attempt, host, answer,
		};
}
