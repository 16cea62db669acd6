/**
 * Tells another control host that a server leaves before the server's report is acknowledged, so that an acknowledged departure outlasts
 * the process that acknowledged it.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import * as TaskEither from 'fp-ts/lib/TaskEither.js';
import {formatIncarnation} from '../base/incarnation.js';
import {createProblem, type Problem} from '../base/problem.js';
import type {Message, ServerStatus} from '../generated/types.js';
import type {Address} from '../wire/connection.js';

export type DepartureOptions = {
	/** Name of this host. */
	readonly host: string;
	/** Lists the addresses of the other control hosts. */
	readonly listPeers: () => readonly Address[];
	/** Sends a message; returns whether the peer has received it. */
	readonly deliver: (peer: Address, message: Message, timeoutMs: number) => Promise<boolean>;
};

/** Servers expect an acknowledgement within a second. */
const TIMEOUT_MS = 600;
const MAX_CONFIRMED = 2000;

/** Departures of servers that this host learnt from the servers themselves. */
export class DepartureConfirmation {
	readonly #options: DepartureOptions;
	/** Departures that another host knows, by incarnation and kind. */
	readonly #confirmed = new Set<string>();

	constructor(options: DepartureOptions) {
		this.#options = options;
	}

	/**
	 * Waits until another control host knows the status of a server that is leaving or gone. Fails if none responds in time. Without other
	 * control hosts, there is nothing to wait for.
	 */
	async confirm(status: ServerStatus): Promise<Either.Either<Problem, void>> {
		const {host, listPeers, deliver} = this.#options;
		const peers = listPeers();
		const key = `${formatIncarnation(status.announcement)} ${status.gone}`;
		if (peers.length === 0 || this.#confirmed.has(key)) {
			return Either.right(undefined);
		}

		const message: Message = {
			type: 'resync', host, servers: [status], origins: [],
		};
		const deliveries = peers.map(async peer => {
			if (!await deliver(peer, message, TIMEOUT_MS)) {
				throw new Error('Not delivered.');
			}
		});
		const delivery = await TaskEither.tryCatch(async () => Promise.any(deliveries), String)();
		if (Either.isLeft(delivery)) {
			return Either.left(createProblem('noQuorum', `No other control host has confirmed that server ${status.announcement.server} leaves.`, 1));
		}

		this.#confirmed.add(key);
		if (this.#confirmed.size > MAX_CONFIRMED) {
			const [oldest] = this.#confirmed;
			this.#confirmed.delete(oldest!);
		}

		return Either.right(undefined);
	}
}
