/**
 * The task around a replica: owns its files, timer and connections, and runs the step machine.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import type {Clock} from '../base/clock.js';
import type {Logger} from '../base/logger.js';
import {createProblem, type Problem} from '../base/problem.js';
import type {Random} from '../base/random.js';
import type {
	CommandEntry, Configuration, ConsensusMessage, ConsensusBody, Entry, Member,
} from '../generated/types.js';
import {ConnectionPool, type Connection} from '../wire/connection.js';
import {
	Replica, type ReplicaEffect, type ReplicaEvent, type LogRecord, type ReplicaRole, type ReplicaTiming,
} from './replica.js';
import type {PersistentState, Storage} from './storage.js';

/** The state that the log drives. */
export interface StateMachine {
	/** Applies a committed command and returns its outcome for the proposer. */
	apply(entry: CommandEntry): unknown;
	/** Notes a committed entry without a command. */
	skip(index: number): void;
	createSnapshot(): Uint8Array;
	restore(data: Uint8Array): void;
}

/** A command that was committed, with what applying it gave. */
export type CommitResult = {
	readonly index: number;
	readonly outcome: unknown;
};

export type Leadership = {
	readonly role: ReplicaRole;
	readonly term: number;
	readonly leader: string;
};

export type NodeOptions = {
	readonly replica: string;
	readonly persistentState: PersistentState;
	readonly storage: Pick<Storage, 'write' | 'close'>;
	readonly stateMachine: StateMachine;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly timing?: ReplicaTiming;
	readonly compactAfterEntries?: number;
	/** Whether proposals that wait together become one write; the bench's baseline has them apart. */
	readonly batchProposals?: boolean;
	readonly onLeadershipChange: (leadership: Leadership) => void;
	readonly onApplied: () => void;
};

type Pending = {
	readonly term: number;
	readonly settle: (result: Either.Either<Problem, CommitResult>) => void;
};

type Queued = {
	readonly data: Uint8Array;
	readonly settle: (result: Either.Either<Problem, CommitResult>) => void;
};

const TICK_MS = 20;
const PROPOSAL_TIMEOUT_MS = 4000;
const DEFAULT_COMPACT_AFTER_ENTRIES = 2000;

/** A running replica. Whoever started it closes it. */
export class ConsensusNode {
	readonly #options: NodeOptions;
	readonly #replica: Replica;
	readonly #pool: ConnectionPool;
	readonly #inbound = new Map<string, Connection>();
	readonly #heardMs = new Map<string, number>();
	readonly #resetMs = new Map<string, number>();
	readonly #pending = new Map<number, Pending>();
	readonly #reads = new Map<number, (result: Either.Either<Problem, number>) => void>();
	readonly #timer: NodeJS.Timeout;
	#queue: Queued[] = [];
	#nextRead = 1;
	#appliedIndex: number;
	#isClosed = false;

	constructor(options: NodeOptions) {
		this.#options = options;
		const {persistentState: image, stateMachine} = options;
		this.#replica = new Replica({
			replica: options.replica,
			hard: image.hard,
			snapshot: image.snapshot,
			entries: image.entries,
			nowMs: options.clock.monotonicMs(),
			random: options.random,
			timing: options.timing,
		});
		this.#appliedIndex = image.snapshot.index;
		if (image.snapshot.data.length > 0) {
			stateMachine.restore(image.snapshot.data);
		}

		this.#pool = new ConnectionPool(message => {
			if (message.type === 'consensus') {
				this.#onMessage(message);
			}
		});
		this.#timer = setInterval(() => {
			this.#step({type: 'tick'});
		}, TICK_MS);
	}

	get replica(): Replica {
		return this.#replica;
	}

	get appliedIndex(): number {
		return this.#appliedIndex;
	}

	/** The member that leads, if it is known. */
	findLeader(): Member | undefined {
		const {configuration, leader} = this.#replica;
		return [...configuration.voters, ...configuration.outgoing].find(member => member.replica === leader);
	}

	/** Monotonic time until which this replica is surely the only leader. */
	getLeaseExpiryMs(): number {
		return this.#replica.getLeaseExpiryMs(this.#options.clock.monotonicMs());
	}

	/** Takes a message that arrived on an accepted connection; replies go back on it. */
	receive(message: ConsensusMessage, connection: Connection): void {
		if (message.to !== this.#options.replica || this.#isClosed) {
			return;
		}

		this.#inbound.set(message.from, connection);
		this.#step({type: 'message', from: message.from, body: message.body});
	}

	/** Tells that a write is on disk. */
	markSynced(sequence: number): void {
		this.#step({type: 'synced', sequence});
	}

	/**
	 * Proposes a command and waits until it is committed and applied.
	 *
	 * @example
	 * ```ts
	 * const result = await node.propose(encodeValue(command));
	 * ```
	 */
	async propose(data: Uint8Array): Promise<Either.Either<Problem, CommitResult>> {
		if (this.#replica.role !== 'leader') {
			return Either.left(createProblem('notLeader'));
		}

		return new Promise(resolve => {
			const timer = setTimeout(() => {
				resolve(Either.left(createProblem('proposalUnknown')));
			}, PROPOSAL_TIMEOUT_MS);
			const settle = (result: Either.Either<Problem, CommitResult>) => {
				clearTimeout(timer);
				resolve(result);
			};

			if (this.#queue.length === 0) {
				setImmediate(() => {
					this.#flushQueue();
				});
			}

			this.#queue.push({data, settle});
		});
	}

	/** Waits until this replica is known to lead and to have applied all that was committed before the call. */
	async awaitReadIndex(): Promise<Either.Either<Problem, number>> {
		return new Promise(resolve => {
			const id = this.#nextRead++;
			const timer = setTimeout(() => {
				this.#reads.delete(id);
				resolve(Either.left(createProblem('noQuorum')));
			}, PROPOSAL_TIMEOUT_MS);
			this.#reads.set(id, result => {
				clearTimeout(timer);
				resolve(result);
			});
			this.#step({type: 'read', id});
		});
	}

	proposeConfiguration(configuration: Configuration): void {
		this.#step({type: 'propose-configuration', configuration});
	}

	/** Hands leadership over, if this replica leads. */
	transferLeadership(): void {
		this.#step({type: 'transfer-leadership'});
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		clearInterval(this.#timer);
		this.#pool.close();
		for (const pending of this.#pending.values()) {
			pending.settle(Either.left(createProblem('proposalUnknown')));
		}

		await this.#options.storage.close();
	}

	#flushQueue(): void {
		const queue = this.#queue;
		this.#queue = [];
		const first = this.#replica.lastIndex + 1;
		if (this.#replica.role !== 'leader' || this.#isClosed) {
			for (const {settle} of queue) {
				settle(Either.left(createProblem('notLeader')));
			}

			return;
		}

		for (const [offset, {settle}] of queue.entries()) {
			this.#pending.set(first + offset, {term: this.#replica.term, settle});
		}

		const data = queue.map(entry => entry.data);
		for (const group of this.#options.batchProposals === false ? data.map(one => [one]) : [data]) {
			this.#step({type: 'propose', data: group});
		}
	}

	#onMessage(message: ConsensusMessage): void {
		if (message.to === this.#options.replica && !this.#isClosed) {
			this.#heardMs.set(message.from, this.#options.clock.monotonicMs());
			this.#step({type: 'message', from: message.from, body: message.body});
		}
	}

	#step(event: ReplicaEvent): void {
		if (this.#isClosed) {
			return;
		}

		for (const effect of this.#replica.step(event, this.#options.clock.monotonicMs())) {
			this.#run(effect);
		}

		this.#compactIfLong();
	}

	#run(effect: ReplicaEffect): void {
		switch (effect.type) {
			case 'write': {
				this.#write(effect.sequence, effect.records);
				break;
			}

			case 'send': {
				this.#send(effect.to, effect.body);
				break;
			}

			case 'commit': {
				this.#apply(effect.entries);
				break;
			}

			case 'restore': {
				this.#options.stateMachine.restore(effect.snapshot.data);
				this.#appliedIndex = effect.snapshot.index;
				this.#options.onApplied();
				break;
			}

			case 'role': {
				this.#onRole(effect);
				break;
			}

			case 'read': {
				this.#settleRead(effect.id, Either.right(effect.index));
				break;
			}

			case 'read-refused': {
				this.#settleRead(effect.id, Either.left(createProblem('notLeader')));
				break;
			}
		}
	}

	#write(sequence: number, records: readonly LogRecord[]): void {
		this.#options.storage.write(sequence, records);
	}

	#send(to: Member, body: ConsensusBody): void {
		const message: ConsensusMessage = {
			type: 'consensus', from: this.#options.replica, to: to.replica, body,
		};
		const inbound = this.#inbound.get(to.replica);
		if (body.type.endsWith('-reply')) {
			inbound?.send(message);
			return;
		}

		this.#resetIfSilent(to);
		this.#pool.send(to, message);
	}

	/** A connection on which requests get no replies may have gone silent for good; a new one may work. */
	#resetIfSilent(member: Member): void {
		const nowMs = this.#options.clock.monotonicMs();
		const limitMs = this.#replica.timing.electionMs;
		const heardMs = this.#heardMs.get(member.replica) ?? Number.NEGATIVE_INFINITY;
		const resetMs = this.#resetMs.get(member.replica) ?? Number.NEGATIVE_INFINITY;
		if (nowMs - Math.max(heardMs, resetMs) > limitMs) {
			this.#resetMs.set(member.replica, nowMs);
			this.#pool.reset(member);
		}
	}

	#apply(entries: readonly Entry[]): void {
		for (const entry of entries) {
			const outcome = entry.type === 'command' ? this.#options.stateMachine.apply(entry) : undefined;
			if (entry.type !== 'command') {
				this.#options.stateMachine.skip(entry.index);
			}

			this.#appliedIndex = entry.index;
			this.#settleProposal(entry, outcome);
		}

		this.#options.onApplied();
	}

	#settleProposal(entry: Entry, outcome: unknown): void {
		const pending = this.#pending.get(entry.index);
		this.#pending.delete(entry.index);
		// Another leader's entry took the place of ours, which can thus never be committed.
		pending?.settle(pending.term === entry.term
			? Either.right({index: entry.index, outcome})
			: Either.left(createProblem('notLeader')));
	}

	#settleRead(id: number, result: Either.Either<Problem, number>): void {
		const settle = this.#reads.get(id);
		this.#reads.delete(id);
		settle?.(result);
	}

	#onRole(effect: Leadership): void {
		const {role, term, leader} = effect;
		this.#options.logger.info(`Is ${role} in term ${term}.`, {role, term, leader});
		this.#options.onLeadershipChange({role, term, leader});
	}

	#compactIfLong(): void {
		const limit = this.#options.compactAfterEntries ?? DEFAULT_COMPACT_AFTER_ENTRIES;
		if (this.#appliedIndex - this.#replica.snapshotIndex >= limit) {
			this.#step({type: 'compact', index: this.#appliedIndex, data: this.#options.stateMachine.createSnapshot()});
		}
	}
}
