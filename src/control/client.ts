/**
 * Client of the control hosts: finds the leader, retries requests, and gives up after a timeout.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import type {TaskEither} from 'fp-ts/lib/TaskEither.js';
import {sleep, type Clock} from '../base/clock.js';
import {
	createProblem, findProblemName, type Problem, type ProblemName,
} from '../base/problem.js';
import type {
	Command, ReadReply, Member, MembersRequest, MembersReply, Message, ProposeReply, RefusalReply, RenewRequest, RenewReply,
} from '../generated/types.js';
import {connect, type Address, type Connection} from '../wire/connection.js';

type Reply = ProposeReply | RefusalReply | RenewReply | ReadReply | MembersReply;
type DistributiveOmit<Union, Key extends PropertyKey> = Union extends unknown ? Omit<Union, Key> : never;
type ControlRequest = DistributiveOmit<
	| {type: 'propose'; id: number; command: Command}
	| {type: 'read'; id: number; from: number}
	| RenewRequest
	| MembersRequest,
	'id'>;

export type ControlClientOptions = {
	/** Control hosts to try before the leader has sent a list. */
	readonly seeds: readonly Address[];
	readonly clock: Clock;
	/** Returns the leader with which this process is in contact as a control host; undefined if it knows none. */
	readonly findLeader?: () => Address | undefined;
	/** Called when the leader pushes a view update that was not requested. */
	readonly onViewPushed: (message: RenewReply) => void;
};

const REPLY_TIMEOUT_MS = 1000;
const RETRY_PAUSE_MS = 60;
/** The pause doubles with each refusal of the same request by a leader whose log is busy, up to this. */
const MAX_RETRY_PAUSE_MS = 480;
/** Interval at which a request that waits checks whether the leader has changed. */
const LEADER_CHECK_MS = 50;
/** Reply timeout of a leader that is known to be alive. */
const LEADER_REPLY_TIMEOUT_MS = 2000;
/** Refusals after which a request may succeed at the next try. */
const RETRIED_REFUSALS: ReadonlySet<ProblemName | undefined> = new Set(['notLeader', 'proposalUnknown', 'noQuorum', 'logBusy']);
export const DEFAULT_TIMEOUT_MS = 5000;

/** A client of the control hosts. The caller must close it. */
export class ControlClient {
	readonly #options: ControlClientOptions;
	readonly #pendingRequests = new Map<number, (reply: Reply | undefined) => void>();
	#targets: Address[];
	#target = 0;
	#connection: Connection | undefined;
	#nextId = 1;
	/** Incremented whenever the target changes, so that many requests that fail together switch the target only once. */
	#targetGeneration = 0;
	#isClosed = false;

	constructor(options: ControlClientOptions) {
		this.#options = options;
		this.#targets = [...options.seeds];
	}

	/** Replaces the list of control hosts with the members that the leader reports, keeping the current target. */
	updateMembers(members: readonly Member[]): void {
		if (members.length === 0) {
			return;
		}

		const current = this.#targets[this.#target];
		this.#targets = members.map(({address, port}) => ({address, port}));
		const index = this.#targets.findIndex(target => isSameAddress(target, current));
		this.#target = Math.max(0, index);
	}

	/**
	 * Proposes a command, with retries, until it is committed, refused, or the timeout expires.
	 *
	 * The command must be idempotent, because a retry may commit it more than once.
	 *
	 * @example
	 * ```ts
	 * const result = await client.propose(command)();
	 * ```
	 */
	propose(command: Command, timeoutMs = DEFAULT_TIMEOUT_MS): TaskEither<Problem, ProposeReply> {
		return this.#sendWithRetry(() => ({type: 'propose', command}), 'proposed', timeoutMs);
	}

	/** Like `propose`, with a command that is asked for at each try, so that a retry carries the newest one. */
	proposeNewest(getCommand: () => Command, timeoutMs: number): TaskEither<Problem, ProposeReply> {
		return this.#sendWithRetry(() => ({type: 'propose', command: getCommand()}), 'proposed', timeoutMs);
	}

	/** Returns all resource changes since a version. The read is linearizable: a majority confirms the leader first. */
	readResources(from: number, timeoutMs = DEFAULT_TIMEOUT_MS): TaskEither<Problem, ReadReply> {
		return this.#sendWithRetry(() => ({type: 'read', from}), 'listing', timeoutMs);
	}

	renewViewLease(message: Omit<RenewRequest, 'id'>, timeoutMs = REPLY_TIMEOUT_MS): TaskEither<Problem, RenewReply> {
		return this.#sendWithRetry(() => message, 'renewed', timeoutMs);
	}

	manageMembers(message: Omit<MembersRequest, 'id'>): TaskEither<Problem, MembersReply> {
		return this.#sendWithRetry(() => message, 'members-reply', DEFAULT_TIMEOUT_MS);
	}

	close(): void {
		this.#isClosed = true;
		this.#connection?.close();
	}

	#sendWithRetry<Type extends Reply['type']>(createRequest: () => ControlRequest, expected: Type, timeoutMs: number): TaskEither<Problem, Extract<Reply, {type: Type}>> {
		return async () => {
			const {clock} = this.#options;
			const deadlineMs = clock.monotonicMs() + timeoutMs;
			let mayHaveCommitted = false;
			let pauseMs = RETRY_PAUSE_MS;
			while (clock.monotonicMs() < deadlineMs && !this.#isClosed) {
				const id = this.#nextId++;
				this.#followLeader();
				const generation = this.#targetGeneration;
				const reply = await this.#sendOnce({...createRequest(), id}, id, deadlineMs);
				if (reply?.type === expected) {
					return Either.right(reply as Extract<Reply, {type: Type}>);
				}

				const refusal = reply?.type === 'refused' ? reply : undefined;
				const name = refusal ? findProblemName(refusal.code) : undefined;
				if (refusal && !RETRIED_REFUSALS.has(name)) {
					return Either.left({...createProblem(name ?? 'internal'), text: refusal.text});
				}

				mayHaveCommitted ||= name === undefined || name === 'proposalUnknown';
				this.#switchTarget(refusal, generation);
				await sleep(pauseMs);
				pauseMs = name === 'logBusy' ? Math.min(pauseMs * 2, MAX_RETRY_PAUSE_MS) : RETRY_PAUSE_MS;
			}

			if (mayHaveCommitted && expected === 'proposed') {
				return Either.left(createProblem('proposalUnknown', undefined, 1));
			}

			return Either.left(createProblem(this.#isClosed ? 'shuttingDown' : 'noQuorum', undefined, 1));
		};
	}

	/** Sends a request and waits for the reply as long as its target may still give one; undefined if there is none. */
	async #sendOnce(message: Message, id: number, deadlineMs: number): Promise<Reply | undefined> {
		const {clock} = this.#options;
		const sentMs = clock.monotonicMs();
		return new Promise(resolve => {
			const timer = setInterval(() => {
				const nowMs = clock.monotonicMs();
				if (nowMs >= deadlineMs || !this.#isReplyExpected(sentMs, nowMs)) {
					finish(undefined);
				}
			}, LEADER_CHECK_MS);
			const finish = (reply: Reply | undefined) => {
				clearInterval(timer);
				this.#pendingRequests.delete(id);
				resolve(reply);
			};

			this.#pendingRequests.set(id, finish);
			this.#getConnection().send(message);
		});
	}

	/**
	 * Whether the target may still reply. A leader that is known to be alive gets more time: it has the request already, and a second copy
	 * would only add to its work.
	 */
	#isReplyExpected(sentMs: number, nowMs: number): boolean {
		const leader = this.#options.findLeader?.();
		if (!leader) {
			return nowMs - sentMs < REPLY_TIMEOUT_MS;
		}

		return isSameAddress(leader, this.#targets[this.#target]) && nowMs - sentMs < LEADER_REPLY_TIMEOUT_MS;
	}

	/** Makes the leader that this process knows the target of the next requests. */
	#followLeader(): void {
		const leader = this.#options.findLeader?.();
		if (leader && !isSameAddress(leader, this.#targets[this.#target])) {
			this.#useTarget(this.#findOrAddTarget(leader));
		}
	}

	#getConnection(): Connection {
		if (this.#connection?.isOpen) {
			return this.#connection;
		}

		const connection = connect(this.#targets[this.#target]!, message => {
			this.#onMessage(message);
		});
		connection.onClose(() => {
			if (this.#connection === connection) {
				this.#connection = undefined;
				this.#failPendingRequests();
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

				this.#pendingRequests.get(message.id)?.(message);
				break;
			}

			case 'proposed':
			case 'refused':
			case 'listing':
			case 'members-reply': {
				this.#pendingRequests.get(message.id)?.(message);
				break;
			}

			default: {
				break;
			}
		}
	}

	/** Switches to the leader named in a refusal, or else to the next control host, on a new connection. */
	#switchTarget(refusal: RefusalReply | undefined, generation: number): void {
		if (generation !== this.#targetGeneration) {
			return;
		}

		const next = this.#findNextTarget(refusal);
		if (next === this.#target && refusal) {
			return;
		}

		this.#useTarget(next);
	}

	/** Directs requests to a target, on a new connection. Those that wait for another target's replies are sent again. */
	#useTarget(target: number): void {
		this.#targetGeneration++;
		this.#target = target;
		const connection = this.#connection;
		this.#connection = undefined;
		connection?.close();
		this.#failPendingRequests();
	}

	#findNextTarget(refusal: RefusalReply | undefined): number {
		const leader = this.#options.findLeader?.() ?? refusal?.leader;
		return leader ? this.#findOrAddTarget(leader) : (this.#target + 1) % this.#targets.length;
	}

	#findOrAddTarget({address, port}: Address): number {
		const index = this.#targets.findIndex(target => isSameAddress(target, {address, port}));
		return index === -1 ? this.#targets.push({address, port}) - 1 : index;
	}

	#failPendingRequests(): void {
		for (const settle of this.#pendingRequests.values()) {
			settle(undefined);
		}
	}
}

function isSameAddress(target: Address, other: Address | undefined): boolean {
	return target.address === other?.address && target.port === other.port;
}
