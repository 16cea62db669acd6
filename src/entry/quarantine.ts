/**
 * Locks that let at most one request suspected of crashing engines run at an engine, across all entry hosts.
 *
 * A lock is a claim in the ledger, so that it does not outlive a host that crashes while holding it.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import type {Clock} from '../base/clock.js';
import type {ControlClient} from '../control/client.js';
import {QUARANTINE_PREFIX} from '../control/ledger.js';

export type QuarantineOptions = {
	readonly client: ControlClient;
	readonly clock: Clock;
	readonly host: string;
	readonly boot: string;
};

/** A lock on an engine for one suspected request. */
export type QuarantineLock = {
	readonly server: string;
	/** Releases the lock. Further calls have no effect. */
	release(): void;
};

const LOCK_DEADLINE_MS = 1500;
const RELEASE_DEADLINE_MS = 10_000;

/** Acquires and releases quarantine locks. */
export class Quarantine {
	readonly #options: QuarantineOptions;
	#nextAttempt = 1;

	constructor(options: QuarantineOptions) {
		this.#options = options;
	}

	/**
	 * Tries to lock one of the servers, in the given order.
	 *
	 * @example
	 * ```ts
	 * const lock = await quarantine.tryLock(['e3', 'e1']);
	 * lock?.release();
	 * ```
	 */
	async tryLock(servers: readonly string[]): Promise<QuarantineLock | undefined> {
		for (const server of servers) {
			const lock = await this.#tryLockServer(server);
			if (lock) {
				return lock;
			}
		}

		return undefined;
	}

	async #tryLockServer(server: string): Promise<QuarantineLock | undefined> {
		const {client, clock, host, boot} = this.#options;
		const key = QUARANTINE_PREFIX + server;
		const attempt = `${boot}/q${this.#nextAttempt++}`;
		const claim = await client.propose({
			type: 'claim', at: clock.wallMs(), key, fingerprint: 'quarantine', attempt, host,
		}, LOCK_DEADLINE_MS)();
		const release = () => {
			void client.propose({
				type: 'settle', at: clock.wallMs(), key, attempt, outcome: 'not-run',
			}, RELEASE_DEADLINE_MS)();
		};

		const outcome = Either.isRight(claim) ? claim.right.outcome : undefined;
		if (outcome?.type === 'ledger' && outcome.state === 'granted') {
			return {server, release: once(release)};
		}

		// A copy of the claim that was sent again may still be granted later.
		release();
		return undefined;
	}
}

function once(action: () => void): () => void {
	let isDone = false;
	return () => {
		if (!isDone) {
			isDone = true;
			action();
		}
	};
}
