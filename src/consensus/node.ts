/**
 * Runs a replica: feeds it timer ticks, messages and proposals, and executes the effects that it returns.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import type {Clock} from '../base/clock.js';
import type {Logger} from '../base/logger.js';
import {RecentMaximum} from '../base/maximum.js';
import {createProblem, type Problem} from '../base/problem.js';
import type {Random} from '../base/random.js';
import type {
	CommandEntry, Configuration, ConsensusMessage, ConsensusBody, Entry, Member,
} from '../generated/types.js';
import type {Connection} from '../wire/connection.js';
import {listMembers} from './configuration.js';
import {
	type Channel, type LogRecord, type ReplicaEffect, type ReplicaEvent, type ReplicaRole, type ReplicaTiming, type RoleReason,
} from './effects.js';
import {DEFAULT_REPLICATION_LIMITS, type ReplicationLimits} from './limits.js';
import {PeerLink} from './link.js';
import {getEntryBytes} from './log.js';
import {Replica} from './replica.js';
import type {PersistentState, Storage} from './storage.js';

/** The replicated state machine that committed entries are applied to. */
export interface StateMachine {
	/** Applies a committed command and returns its outcome for the proposer. */
	apply(entry: CommandEntry): unknown;
	/** Advances past a committed entry that carries no command. */
	skip(index: number): void;
	createSnapshot(): Uint8Array;
	restore(data: Uint8Array): void;
}

/** Index of a committed command and the result of applying it. */
export type CommitResult = {
	readonly index: number;
	readonly outcome: unknown;
};

/** Role of this replica, and the current term and leader. */
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
	readonly limits?: ReplicationLimits;
	/** Whether waiting proposals are appended in one write (the default). The benchmark's baseline writes each on its own. */
	readonly batchProposals?: boolean;
	readonly onLeadershipChange: (leadership: Leadership) => void;
	readonly onApplied: () => void;
	readonly onEvent?: (event: ConsensusEvent) => void;
};

/** Something that happens rarely unless the host, its network or its peers are overloaded. */
export type ConsensusEvent
	= | {readonly type: 'election'; readonly reason: RoleReason}
		| {readonly type: 'connection-replaced'; readonly peer: Member; readonly channel: Channel};

type PendingProposal = {
	readonly term: number;
	readonly settle: (result: Either.Either<Problem, CommitResult>) => void;
};

type QueuedProposal = {
	readonly data: Uint8Array;
	readonly settle: (result: Either.Either<Problem, CommitResult>) => void;
};

const TICK_MS = 20;
const PROPOSAL_TIMEOUT_MS = 4000;
const EVENT_LOOP_WINDOW_MS = 2000;
const DEFAULT_COMPACT_AFTER_ENTRIES = 2000;

/** A running replica. The caller must close it. */
export class ConsensusNode {
	readonly #options: NodeOptions;
	readonly #limits: ReplicationLimits;
	readonly #replica: Replica;
	readonly #links = new Map<string, PeerLink>();
	/** The connections on which the peers last sent a request, by replica. */
	readonly #inboundConnections = new Map<string, Connection>();
	readonly #pendingProposals = new Map<number, PendingProposal>();
	readonly #pendingReads = new Map<number, (result: Either.Either<Problem, number>) => void>();
	readonly #timer: NodeJS.Timeout;
	/** Sizes of the writes that are not synced, by sequence number. */
	readonly #unsyncedWrites = new Map<number, number>();
	#unsyncedBytes = 0;
	#syncedSequence = 0;
	/** Sequence number of the last write of a snapshot. */
	#snapshotSequence = 0;
	/** Approximate memory of the entries that were applied since the last snapshot, bytes. */
	#appliedBytes = 0;
	#proposalQueue: QueuedProposal[] = [];
	#queuedBytes = 0;
	readonly #eventLoopDelay = new RecentMaximum(EVENT_LOOP_WINDOW_MS);
	#lastTickMs: number;
	#nextReadId = 1;
	#appliedIndex: number;
	#isClosed = false;

	constructor(options: NodeOptions) {
		this.#options = options;
		this.#limits = options.limits ?? DEFAULT_REPLICATION_LIMITS;
		const {persistentState, stateMachine} = options;
		this.#replica = new Replica({
			replica: options.replica,
			hard: persistentState.hard,
			snapshot: persistentState.snapshot,
			entries: persistentState.entries,
			nowMs: options.clock.monotonicMs(),
			random: options.random,
			timing: options.timing,
			limits: this.#limits,
		});
		this.#appliedIndex = persistentState.snapshot.index;
		if (persistentState.snapshot.data.length > 0) {
			stateMachine.restore(persistentState.snapshot.data);
		}

		this.#lastTickMs = options.clock.monotonicMs();
		this.#timer = setInterval(() => {
			this.#recordEventLoopDelay();
			this.#step({type: 'tick'});
		}, TICK_MS);
	}

	get replica(): Replica {
		return this.#replica;
	}

	get appliedIndex(): number {
		return this.#appliedIndex;
	}

	/** Approximate memory of the entries that are not synced to disk yet, bytes. */
	get unsyncedBytes(): number {
		return this.#unsyncedBytes;
	}

	/** Returns the current leader, or undefined if it is not known. */
	findLeader(): Member | undefined {
		const {configuration, leader} = this.#replica;
		return [...configuration.voters, ...configuration.outgoing].find(member => member.replica === leader);
	}

	/** Returns the monotonic time at which this replica's leader lease expires. */
	getLeaseExpiryMs(): number {
		return this.#replica.getLeaseExpiryMs(this.#options.clock.monotonicMs());
	}

	/** Longest recent time for which this process did not run its timers although they were due, milliseconds. */
	getEventLoopDelayMs(): number {
		return this.#eventLoopDelay.get(this.#options.clock.monotonicMs());
	}

	/** Handles a message from an accepted connection. Replies to its sender go back on the same connection. */
	receive(message: ConsensusMessage, connection: Connection): void {
		if (message.to !== this.#options.replica || this.#isClosed) {
			return;
		}

		this.#inboundConnections.set(message.from, connection);
		this.#step({type: 'message', from: message.from, body: message.body});
	}

	/** Reports that a write, and all writes before it, are synced to disk. */
	markSynced(sequence: number): void {
		this.#syncedSequence = sequence;
		for (const [write, bytes] of this.#unsyncedWrites) {
			if (write > sequence) {
				break;
			}

			this.#unsyncedWrites.delete(write);
			this.#unsyncedBytes -= bytes;
		}

		this.#step({type: 'synced', sequence});
	}

	/**
	 * Proposes a command and waits until it is committed and applied. Fails with `logBusy` while too much waits to be committed or
	 * written to disk.
	 *
	 * @example
	 * ```ts
	 * const result = await node.propose(encodeCbor(command));
	 * ```
	 */
	async propose(data: Uint8Array): Promise<Either.Either<Problem, CommitResult>> {
		if (this.#replica.role !== 'leader') {
			return Either.left(createProblem('notLeader'));
		}

		if (this.#isBusy()) {
			return Either.left(createProblem('logBusy'));
		}

		return new Promise(resolve => {
			const timer = setTimeout(() => {
				resolve(Either.left(createProblem('proposalUnknown')));
			}, PROPOSAL_TIMEOUT_MS);
			const settle = (result: Either.Either<Problem, CommitResult>) => {
				clearTimeout(timer);
				resolve(result);
			};

			if (this.#proposalQueue.length === 0) {
				setImmediate(() => {
					this.#flushProposals();
				});
			}

			this.#proposalQueue.push({data, settle});
			this.#queuedBytes += data.length;
		});
	}

	/**
	 * Waits until a majority has confirmed that this replica is the leader. All commands that were committed before the
	 * call are applied by then, so a read of the state machine is linearizable. Returns the read index.
	 */
	async awaitReadIndex(): Promise<Either.Either<Problem, number>> {
		return new Promise(resolve => {
			const id = this.#nextReadId++;
			const timer = setTimeout(() => {
				this.#pendingReads.delete(id);
				resolve(Either.left(createProblem('noQuorum')));
			}, PROPOSAL_TIMEOUT_MS);
			this.#pendingReads.set(id, result => {
				clearTimeout(timer);
				resolve(result);
			});
			this.#step({type: 'read', id});
		});
	}

	proposeConfiguration(configuration: Configuration): void {
		this.#step({type: 'propose-configuration', configuration});
	}

	/** Transfers leadership to another voter. Does nothing if this replica is not the leader. */
	transferLeadership(): void {
		this.#step({type: 'transfer-leadership'});
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		clearInterval(this.#timer);
		for (const link of this.#links.values()) {
			link.close();
		}

		for (const pending of this.#pendingProposals.values()) {
			pending.settle(Either.left(createProblem('proposalUnknown')));
		}

		await this.#options.storage.close();
	}

	#recordEventLoopDelay(): void {
		const nowMs = this.#options.clock.monotonicMs();
		this.#eventLoopDelay.record(Math.max(0, nowMs - this.#lastTickMs - TICK_MS), nowMs);
		this.#lastTickMs = nowMs;
	}

	/** Whether proposals must wait until more is committed and synced. */
	#isBusy(): boolean {
		const uncommittedBytes = this.#replica.logBytes - this.#appliedBytes;
		return Math.max(uncommittedBytes + this.#queuedBytes, this.#unsyncedBytes) > this.#limits.pendingBytes;
	}

	#flushProposals(): void {
		const queue = this.#proposalQueue;
		this.#proposalQueue = [];
		this.#queuedBytes = 0;
		const firstIndex = this.#replica.lastIndex + 1;
		if (this.#replica.role !== 'leader' || this.#isClosed) {
			for (const {settle} of queue) {
				settle(Either.left(createProblem('notLeader')));
			}

			return;
		}

		for (const [offset, {settle}] of queue.entries()) {
			this.#pendingProposals.set(firstIndex + offset, {term: this.#replica.term, settle});
		}

		const data = queue.map(entry => entry.data);
		for (const group of this.#options.batchProposals === false ? data.map(command => [command]) : [data]) {
			this.#step({type: 'propose', data: group});
		}
	}

	#onMessage(message: ConsensusMessage): void {
		if (message.to !== this.#options.replica || this.#isClosed) {
			return;
		}

		this.#step({type: 'message', from: message.from, body: message.body});
		const {matchIndex} = this.#replica.getProgress(message.from, this.#options.clock.monotonicMs());
		if (matchIndex >= this.#replica.lastIndex) {
			this.#links.get(message.from)?.recordAcknowledged();
		}
	}

	#step(event: ReplicaEvent): void {
		if (this.#isClosed) {
			return;
		}

		for (const effect of this.#replica.step(event, this.#options.clock.monotonicMs())) {
			this.#runEffect(effect);
		}

		this.#compactIfNeeded();
	}

	#runEffect(effect: ReplicaEffect): void {
		switch (effect.type) {
			case 'write': {
				this.#write(effect.sequence, effect.records);
				break;
			}

			case 'send': {
				this.#send(effect.to, effect.body, effect.channel);
				break;
			}

			case 'commit': {
				this.#applyEntries(effect.entries);
				break;
			}

			case 'restore': {
				this.#options.stateMachine.restore(effect.snapshot.data);
				this.#appliedIndex = effect.snapshot.index;
				this.#appliedBytes = 0;
				this.#options.onApplied();
				break;
			}

			case 'role': {
				this.#onRoleChange(effect);
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
		const bytes = records.reduce((sum, record) => sum + getRecordBytes(record), 0);
		this.#unsyncedWrites.set(sequence, bytes);
		this.#unsyncedBytes += bytes;
		if (records.some(({type}) => type === 'snapshot')) {
			this.#snapshotSequence = sequence;
		}

		this.#options.storage.write(sequence, records);
	}

	#send(to: Member, body: ConsensusBody, channel: Channel): void {
		const message: ConsensusMessage = {
			type: 'consensus', from: this.#options.replica, to: to.replica, body,
		};
		if (body.type.endsWith('-reply')) {
			this.#inboundConnections.get(to.replica)?.send(message);
			return;
		}

		this.#getLink(to).send(channel, message);
	}

	#getLink(peer: Member): PeerLink {
		const existing = this.#links.get(peer.replica);
		if (existing) {
			return existing;
		}

		this.#closeFormerLinks();
		const link = new PeerLink({
			peer,
			clock: this.#options.clock,
			silenceMs: this.#replica.timing.electionMs,
			maxBufferedBytes: this.#limits.unacknowledgedBytes,
			onMessage: message => {
				this.#onMessage(message);
			},
			onLogChannelClosed: () => {
				this.#step({type: 'log-channel-closed', peer: peer.replica});
			},
			onReplaced: channel => {
				this.#options.onEvent?.({type: 'connection-replaced', peer, channel});
			},
		});
		this.#links.set(peer.replica, link);
		return link;
	}

	/** Closes the links to replicas that are not members any more, and forgets their connections to this one. */
	#closeFormerLinks(): void {
		const members = new Set(listMembers(this.#replica.configuration).map(({replica}) => replica));
		for (const [replica, link] of this.#links) {
			if (!members.has(replica)) {
				link.close();
				this.#links.delete(replica);
			}
		}

		for (const [replica, connection] of this.#inboundConnections) {
			if (!members.has(replica) && !connection.isOpen) {
				this.#inboundConnections.delete(replica);
			}
		}
	}

	#applyEntries(entries: readonly Entry[]): void {
		for (const entry of entries) {
			const outcome = entry.type === 'command' ? this.#options.stateMachine.apply(entry) : undefined;
			if (entry.type !== 'command') {
				this.#options.stateMachine.skip(entry.index);
			}

			this.#appliedIndex = entry.index;
			this.#appliedBytes += getEntryBytes(entry);
			this.#settleProposal(entry, outcome);
		}

		this.#options.onApplied();
	}

	#settleProposal(entry: Entry, outcome: unknown): void {
		const pending = this.#pendingProposals.get(entry.index);
		this.#pendingProposals.delete(entry.index);
		// An entry of another leader was committed at this index, so the proposed entry can never be committed.
		pending?.settle(pending.term === entry.term
			? Either.right({index: entry.index, outcome})
			: Either.left(createProblem('notLeader')));
	}

	#settleRead(id: number, result: Either.Either<Problem, number>): void {
		const settle = this.#pendingReads.get(id);
		this.#pendingReads.delete(id);
		settle?.(result);
	}

	#onRoleChange({role, term, leader, reason}: Leadership & {readonly reason: RoleReason}): void {
		this.#options.logger.info(`Role is ${role} in term ${term}: ${reason}.`, {
			role, term, leader, reason, eventLoopDelayMs: Math.round(this.getEventLoopDelayMs()), unsyncedBytes: this.#unsyncedBytes,
		});
		if (role === 'leader') {
			// What was sent in an earlier term is not acknowledged any more.
			for (const link of this.#links.values()) {
				link.recordAcknowledged();
			}
		}

		if (role !== 'follower') {
			this.#options.onEvent?.({type: 'election', reason});
		}

		this.#options.onLeadershipChange({role, term, leader});
	}

	/** Compacts a log that is long enough, unless the snapshot before waits for the disk: snapshots would pile up in memory. */
	#compactIfNeeded(): void {
		if (this.#snapshotSequence > this.#syncedSequence) {
			return;
		}

		const maxEntries = this.#options.compactAfterEntries ?? DEFAULT_COMPACT_AFTER_ENTRIES;
		if (this.#appliedIndex - this.#replica.snapshotIndex >= maxEntries || this.#appliedBytes >= this.#limits.logBytes) {
			this.#appliedBytes = 0;
			this.#step({type: 'compact', index: this.#appliedIndex, data: this.#options.stateMachine.createSnapshot()});
		}
	}
}

function getRecordBytes(record: LogRecord): number {
	return record.type === 'entries' ? record.entries.reduce((sum, entry) => sum + getEntryBytes(entry), 0) : 0;
}
