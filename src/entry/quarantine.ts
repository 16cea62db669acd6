/**
 * Runs suspected requests alone: one suspect at one server at a time, across all entry hosts.
 *
 * The lock is a claim in the ledger, so that a host that dies does not hold it for ever.
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

/** A server that is held for one suspect. */
export type QuarantineLock = {
	readonly server: string;
	/** Lets the server go; calling it again does nothing. */
	release(): void;
};

const LOCK_DEADLINE_MS = 1500;
const RELEASE_DEADLINE_MS = 10_000;

/** Takes and releases quarantine locks. */
export class Quarantine {
	readonly #options: QuarantineOptions;
	#next = 1;

	constructor(options: QuarantineOptions) {
		this.#options = options;
	}

	/**
	 * Tries to hold one of the servers, in the order given.
	 *
	 * @example
	 * ```ts
	 * const hold = await quarantine.tryHold(['e3', 'e1']);
	 * hold?.release();
	 * ```
	 */
	async tryLock(servers: readonly string[]): Promise<QuarantineLock | undefined> {
		for (const server of servers) {
			const lock = await this.#tryServer(server);
			if (lock) {
				return lock;
			}
		}

		return undefined;
	}

	async #tryServer(server: string): Promise<QuarantineLock | undefined> {
		const {client, clock, host, boot} = this.#options;
		const key = QUARANTINE_PREFIX + server;
		const attempt = `${boot}/q${this.#next++}`;
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

		// Another copy of the claim may still be granted later.
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
