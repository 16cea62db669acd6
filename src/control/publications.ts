/**
 * Publications on their way into the replicated log. Only the newest one takes effect, so an older one is not sent, or appended, any
 * more once a newer one is on its way: it is acknowledged with the newer one.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import type {TaskEither} from 'fp-ts/lib/TaskEither.js';
import {createProblem, type Problem} from '../base/problem.js';
import type {Publication, PutCommand} from '../generated/types.js';
import {ANY_VERSION, PUBLICATION_NAME} from './state.js';

export type PublicationQueueOptions = {
	/** Proposes a command to the leader, with retries. The command is asked for anew at each try. */
	readonly propose: (getCommand: () => PutCommand, timeoutMs: number) => TaskEither<Problem, unknown>;
	readonly wallMs: () => number;
	/** Time after which a publication that is not committed is given up, milliseconds. */
	readonly timeoutMs: number;
	/** Publications that may wait, bytes. One that is larger waits alone. */
	readonly maxWaitingBytes: number;
};

type WaitingPublication = {
	readonly version: number;
	readonly settle: (result: Either.Either<Problem, void>) => void;
};

/** Sends the publications that operators gave to this host, one at a time and always the newest. */
export class PublicationQueue {
	readonly #options: PublicationQueueOptions;
	readonly #waiting = new Set<WaitingPublication>();
	#newest: Publication | undefined;
	#waitingBytes = 0;
	#sentVersion = 0;
	#isSending = false;

	constructor(options: PublicationQueueOptions) {
		this.#options = options;
	}

	/**
	 * Waits until a publication, or a newer one, is committed. Fails with `proposalUnknown` after the timeout, since it may have been
	 * sent and may be committed later, and at once with `logBusy` while too much waits.
	 *
	 * @example
	 * ```ts
	 * const result = await queue.publish({kind: 'publication', version: 7, body});
	 * ```
	 */
	async publish(publication: Publication): Promise<Either.Either<Problem, void>> {
		const bytes = publication.body.length;
		if (this.#waiting.size > 0 && this.#waitingBytes + bytes > this.#options.maxWaitingBytes) {
			return Either.left(createProblem('logBusy', undefined, 1));
		}

		if (!this.#newest || publication.version > this.#newest.version) {
			this.#newest = publication;
		}

		return new Promise(resolve => {
			const waiting: WaitingPublication = {
				version: publication.version,
				settle: result => {
					clearTimeout(timer);
					this.#waitingBytes -= this.#waiting.delete(waiting) ? bytes : 0;
					resolve(result);
				},
			};
			const timer = setTimeout(() => {
				waiting.settle(Either.left(createProblem('proposalUnknown', undefined, 1)));
			}, this.#options.timeoutMs);
			this.#waiting.add(waiting);
			this.#waitingBytes += bytes;
			if (!this.#isSending) {
				void this.#sendAll();
			}
		});
	}

	async #sendAll(): Promise<void> {
		this.#isSending = true;
		while (this.#waiting.size > 0) {
			const result = await this.#options.propose(() => this.#createCommand(), this.#options.timeoutMs)();
			this.#settleSent(result);
		}

		this.#isSending = false;
		this.#newest = undefined;
	}

	#createCommand(): PutCommand {
		const publication = this.#newest!;
		this.#sentVersion = publication.version;
		return {
			type: 'put',
			at: this.#options.wallMs(),
			requestId: `publish-${publication.version}`,
			name: PUBLICATION_NAME,
			seen: ANY_VERSION,
			specification: publication,
		};
	}

	#settleSent(result: Either.Either<Problem, unknown>): void {
		for (const waiting of this.#waiting) {
			if (waiting.version <= this.#sentVersion) {
				waiting.settle(Either.isLeft(result) ? result : Either.right(undefined));
			}
		}
	}
}

/** The newest publication that a leader has appended to its log. */
export class PendingPublication<Result> {
	#newest: {readonly version: number; readonly result: Promise<Result>} | undefined;

	/**
	 * Returns the result of a publication that is not committed yet and has at least this version; undefined if there is none.
	 *
	 * @example
	 * ```ts
	 * const result = await (pending.findResult(7) ?? pending.track(7, node.propose(data)));
	 * ```
	 */
	findResult(version: number): Promise<Result> | undefined {
		return this.#newest && this.#newest.version >= version ? this.#newest.result : undefined;
	}

	/** Makes a publication the newest one until its result is known. */
	async track(version: number, result: Promise<Result>): Promise<Result> {
		const newest = {version, result};
		this.#newest = newest;
		const settled = await result;
		if (this.#newest === newest) {
			this.#newest = undefined;
		}

		return settled;
	}
}
