/**
 * Requests of a control host to become a voter.
 *
 * @module
 */
import type {Clock} from '../base/clock.js';
import type {Member} from '../generated/types.js';
import {ConnectionPool, type Address} from '../wire/connection.js';

export type JoinRequesterOptions = {
	readonly member: Member;
	readonly clock: Clock;
	readonly listTargets: () => readonly Address[];
	/** Whether this host votes and is in contact with a leader. */
	readonly isJoined: () => boolean;
};

const JOIN_INTERVAL_MS = 500;
/** A host that has just started may be needed as a voter, so it asks more often. A spare host asks for as long as it runs. */
const FIRST_JOIN_INTERVAL_MS = 100;
const FIRST_JOINS_MS = 5000;

/**
 * Sends join requests while a replica is not a voter, or a voter without a leader: it may have been replaced meanwhile, which its own
 * log does not tell. There is no reply: the leader acts, the others ignore them. Its creator must close it.
 */
export class JoinRequester {
	readonly #options: JoinRequesterOptions;
	readonly #pool = new ConnectionPool(() => undefined);
	readonly #startedMs: number;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: JoinRequesterOptions) {
		this.#options = options;
		this.#startedMs = options.clock.monotonicMs();
		this.#schedule();
	}

	close(): void {
		clearTimeout(this.#timer);
		this.#pool.close();
	}

	#schedule(): void {
		const isNew = this.#options.clock.monotonicMs() - this.#startedMs < FIRST_JOINS_MS;
		this.#timer = setTimeout(() => {
			this.#request();
			this.#schedule();
		}, isNew ? FIRST_JOIN_INTERVAL_MS : JOIN_INTERVAL_MS);
	}

	#request(): void {
		const {member, isJoined, listTargets} = this.#options;
		if (isJoined()) {
			this.#pool.close();
			return;
		}

		for (const target of listTargets()) {
			if (target.address !== member.address || target.port !== member.port) {
				this.#pool.send(target, {type: 'join', member});
			}
		}
	}
}
