/**
 * Ledger of non-repeatable requests: which attempt may execute an idempotency key, and its result.
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

/** State of one idempotency key. */
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
	/** Attempts that were given up, with the time; a claim of theirs that arrives late is not granted. */
	readonly abandoned: ReadonlyArray<readonly [string, number]>;
};

const EMPTY_LEDGER: LedgerSnapshot = {records: [], abandoned: []};
/** How long an outcome is stored, and its key therefore not executed again, in milliseconds. */
export const LEDGER_RETENTION_MS = 24 * 60 * 60 * 1000;
/** Maximum number of records. Beyond it a new claim is refused rather than a stored outcome removed. */
export const MAX_LEDGER_RECORDS = 500_000;

/**
 * Prefix of keys that are locks instead of records of work: an entry host reserves a backend server with such a key to
 * run a suspected poison request alone.
 */
export const QUARANTINE_PREFIX = 'quarantine/';

/** Stores claims and outcomes of idempotency keys. Modified only by commands of the replicated log. */
export class Ledger {
	readonly #claimBeforeSend: boolean;
	readonly #records = new Map<string, LedgerRecord>();
	readonly #abandonedAttempts = new Map<string, number>();

	constructor(snapshot: LedgerSnapshot = EMPTY_LEDGER, claimBeforeSend = true) {
		this.#claimBeforeSend = claimBeforeSend;
		for (const record of snapshot.records) {
			this.#records.set(record.key, record);
		}

		for (const [attempt, atMs] of snapshot.abandoned) {
			this.#abandonedAttempts.set(attempt, atMs);
		}
	}

	get size(): number {
		return this.#records.size;
	}

	find(key: string): LedgerRecord | undefined {
		return this.#records.get(key);
	}

	/** Returns the records of claims that are not settled. */
	listOpenClaims(): LedgerRecord[] {
		return [...this.#records.values()].filter(record => record.state === LEDGER_STATES.claimed);
	}

	/** Grants a key to an attempt, or returns the state of the attempt that already has it. */
	claim(command: ClaimCommand): LedgerOutcome {
		const existing = this.#records.get(command.key);
		if (this.#abandonedAttempts.has(command.attempt)) {
			return createOutcome('not-run', command.attempt, command.host);
		}

		if (!existing || this.#canRunAgain(existing, command)) {
			return this.#grant(command);
		}

		if (existing.fingerprint !== command.fingerprint) {
			return createOutcome('reused', existing.attempt, existing.host);
		}

		if (existing.attempt === command.attempt && existing.state === LEDGER_STATES.claimed) {
			return createOutcome('granted', existing.attempt, existing.host);
		}

		const state = existing.state === LEDGER_STATES.claimed ? 'in-flight' : existing.state;
		return createOutcome(state, existing.attempt, existing.host, existing.answer);
	}

	/** Records the outcome of an attempt. `done` and `not-run` are final, `unknown` may still be replaced. */
	settle(command: SettleCommand): LedgerOutcome {
		const existing = this.#records.get(command.key);
		if (existing?.attempt !== command.attempt) {
			if (command.outcome === 'not-run') {
				// The claim may still be in transit and must not be granted when it arrives.
				this.#abandonedAttempts.set(command.attempt, command.at);
			}

			return createOutcome(command.outcome, command.attempt, '');
		}

		const isOpen = existing.state === LEDGER_STATES.claimed || existing.state === LEDGER_STATES.unknown;
		if (!isOpen) {
			return createOutcome(existing.state, existing.attempt, existing.host, existing.answer);
		}

		if (command.outcome === 'not-run') {
			this.#abandonedAttempts.set(command.attempt, command.at);
		}

		const settled: LedgerRecord = {
			...existing, state: command.outcome, settledAtMs: command.at, answer: command.answer,
		};
		this.#replace(settled);
		return createOutcome(command.outcome, existing.attempt, existing.host, command.answer);
	}

	/** Removes settled records and abandoned attempts that are older than the retention time. */
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

		for (const [attempt, atMs] of this.#abandonedAttempts) {
			if (nowMs - atMs < LEDGER_RETENTION_MS) {
				break;
			}

			this.#abandonedAttempts.delete(attempt);
		}
	}

	createSnapshot(): LedgerSnapshot {
		return {records: [...this.#records.values()], abandoned: [...this.#abandonedAttempts]};
	}

	#canRunAgain(existing: LedgerRecord, command: ClaimCommand): boolean {
		if (!this.#claimBeforeSend) {
			return existing.state === LEDGER_STATES.claimed;
		}

		return existing.state === LEDGER_STATES['not-run'] && existing.attempt !== command.attempt;
	}

	#grant(command: ClaimCommand): LedgerOutcome {
		if (this.#records.size >= MAX_LEDGER_RECORDS) {
			return createOutcome('not-run', command.attempt, command.host);
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
		return createOutcome('granted', command.attempt, command.host);
	}

	/** Moves a record to the end, so that settled records are in the order in which they were settled. */
	#replace(record: LedgerRecord): void {
		this.#records.delete(record.key);
		this.#records.set(record.key, record);
	}
}

function createOutcome(state: LedgerOutcome['state'], attempt: string, host: string, answer?: StoredResponse): LedgerOutcome {
	return answer === undefined
		? {
			type: 'ledger', state, attempt, host,
		}
		: {
			type: 'ledger', state, attempt, host, answer,
		};
}
