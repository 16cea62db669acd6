/**
 * Talks to the control hosts on behalf of an entry host: finds the leader, sends again, gives up in time.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import type {TaskEither} from 'fp-ts/lib/TaskEither.js';
import {sleep, type Clock} from '../base/clock.js';
import {createProblem, findProblemName, type Problem} from '../base/problem.js';
import type {
	Command, ReadReply, Member, MembersRequest, MembersReply, Message, ProposeReply, RefusalReply, RenewRequest, RenewReply,
} from '../generated/types.js';
import {connect, type Address, type Connection} from '../wire/connection.js';

type Reply = ProposeReply | RefusalReply | RenewReply | ReadReply | MembersReply;
type Distribute<Union, Key extends PropertyKey> = Union extends unknown ? Omit<Union, Key> : never;
type Question = Distribute<
	| {type: 'propose'; id: number; command: Command}
	| {type: 'read'; id: number; from: number}
	| RenewRequest
	| MembersRequest,
	'id'>;

export type ControlClientOptions = {
	/** Control hosts to start from. */
	readonly seeds: readonly Address[];
	readonly clock: Clock;
	/** Called for a view that the leader sends on its own. */
	readonly onViewPushed: (message: RenewReply) => void;
};

const ANSWER_TIMEOUT_MS = 1000;
const RETRY_PAUSE_MS = 60;
export const DEFAULT_TIMEOUT_MS = 5000;

/** A client of the control hosts. Whoever created it closes it. */
export class ControlClient {
	readonly #options: ControlClientOptions;
	readonly #waiting = new Map<number, (reply: Reply | undefined) => void>();
	#targets: Address[];
	#target = 0;
	#connection: Connection | undefined;
	#nextId = 1;
	/** Rises whenever another control host is turned to, so that many failed questions turn only once. */
	#generation = 0;
	#isClosed = false;

	constructor(options: ControlClientOptions) {
		this.#options = options;
		this.#targets = [...options.seeds];
	}

	/** Replaces the control hosts to choose from, as the leader names them. */
	updateMembers(members: readonly Member[]): void {
		if (members.length === 0) {
			return;
		}

		const current = this.#targets[this.#target];
		this.#targets = members.map(({address, port}) => ({address, port}));
		const index = this.#targets.findIndex(target => isSame(target, current));
		this.#target = Math.max(0, index);
	}

	/**
	 * Proposes a command until it is committed, refused, or the deadline has passed.
	 *
	 * The command must be idempotent: it may be committed more than once.
	 *
	 * @example
	 * ```ts
	 * const result = await client.propose(command)();
	 * ```
	 */
	propose(command: Command, deadlineMs = DEFAULT_TIMEOUT_MS): TaskEither<Problem, ProposeReply> {
		return this.#ask({type: 'propose', command}, 'proposed', deadlineMs);
	}

	/** Reads all that has changed since a version, as of now: a majority confirms it. */
	readResources(from: number, deadlineMs = DEFAULT_TIMEOUT_MS): TaskEither<Problem, ReadReply> {
		return this.#ask({type: 'read', from}, 'listing', deadlineMs);
	}

	renewViewLease(message: Omit<RenewRequest, 'id'>, deadlineMs = ANSWER_TIMEOUT_MS): TaskEither<Problem, RenewReply> {
		return this.#ask(message, 'renewed', deadlineMs);
	}

	manageMembers(message: Omit<MembersRequest, 'id'>): TaskEither<Problem, MembersReply> {
		return this.#ask(message, 'members-reply', DEFAULT_TIMEOUT_MS);
	}

	close(): void {
		this.#isClosed = true;
		this.#connection?.close();
	}

	#ask<Type extends Reply['type']>(question: Question, expected: Type, deadlineMs: number): TaskEither<Problem, Extract<Reply, {type: Type}>> {
		return async () => {
			const {clock} = this.#options;
			const untilMs = clock.monotonicMs() + deadlineMs;
			let mayHaveRun = false;
			while (clock.monotonicMs() < untilMs && !this.#isClosed) {
				const id = this.#nextId++;
				const generation = this.#generation;
				const reply = await this.#exchange({...question, id}, id, Math.min(ANSWER_TIMEOUT_MS, untilMs - clock.monotonicMs()));
				if (reply?.type === expected) {
					return Either.right(reply as Extract<Reply, {type: Type}>);
				}

				const refusal = reply?.type === 'refused' ? reply : undefined;
				const name = refusal ? findProblemName(refusal.code) : undefined;
				if (refusal && name !== 'notLeader' && name !== 'proposalUnknown' && name !== 'noQuorum') {
					return Either.left({...createProblem(name ?? 'internal'), text: refusal.text});
				}

				mayHaveRun ||= name === undefined || name === 'proposalUnknown';
				this.#turn(refusal, generation);
				await sleep(RETRY_PAUSE_MS);
			}

			return Either.left(createProblem(mayHaveRun && question.type === 'propose' ? 'proposalUnknown' : 'noQuorum', undefined, 1));
		};
	}

	async #exchange(message: Message, id: number, timeoutMs: number): Promise<Reply | undefined> {
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				finish(undefined);
			}, timeoutMs);
			const finish = (reply: Reply | undefined) => {
				clearTimeout(timer);
				this.#waiting.delete(id);
				resolve(reply);
			};

			this.#waiting.set(id, finish);
			this.#open().send(message);
		});
	}

	#open(): Connection {
		if (this.#connection?.isOpen) {
			return this.#connection;
		}

		const connection = connect(this.#targets[this.#target]!, message => {
			this.#onMessage(message);
		});
		connection.onClose(() => {
			if (this.#connection === connection) {
				this.#connection = undefined;
				this.#failWaiting();
			}
		});
		this.#connection = connection;
		return connection;
	}

	#onMessage(message: Message): void {
		switch (message.type) {
			case 'renewed': {
				if (message.id === 0) {
					this.#options.onViewPushed(message);
					return;
				}

				this.#waiting.get(message.id)?.(message);
				break;
			}

			case 'proposed':
			case 'refused':
			case 'listing':
			case 'members-reply': {
				this.#waiting.get(message.id)?.(message);
				break;
			}

			default: {
				break;
			}
		}
	}

	/** Turns to the leader that was named, or to the next control host; a silent connection is left behind. */
	#turn(refusal: RefusalReply | undefined, generation: number): void {
		if (generation !== this.#generation) {
			return;
		}

		const next = this.#findNext(refusal);
		if (next === this.#target && refusal) {
			return;
		}

		this.#generation++;
		this.#target = next;
		const connection = this.#connection;
		this.#connection = undefined;
		connection?.close();
		this.#failWaiting();
	}

	#findNext(refusal: RefusalReply | undefined): number {
		if (!refusal?.leader) {
			return (this.#target + 1) % this.#targets.length;
		}

		const {address, port} = refusal.leader;
		const named = this.#targets.findIndex(target => isSame(target, refusal.leader));
		return named === -1 ? this.#targets.push({address, port}) - 1 : named;
	}

	#failWaiting(): void {
		for (const settle of this.#waiting.values()) {
			settle(undefined);
		}
	}
}

function isSame(target: Address, other: Address | undefined): boolean {
	return target.address === other?.address && target.port === other.port;
}
