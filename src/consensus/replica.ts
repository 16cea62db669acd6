/**
 * One replica of the log as a step machine: events in, effects out; no clock, socket, file or timer.
 *
 * Leader-based replication after Raft, with pre-vote, leader leases measured from the sending of a round,
 * read index, learners, joint configurations and handing over of leadership.
 *
 * @module
 */
import type {
	AppendReply, AppendRequest, Configuration, ConsensusBody, Entry, InstallRequest, Member, Snapshot, VoteReply, VoteRequest,
} from '../generated/types.js';
import type {Random} from '../base/random.js';
import {
	hasQuorum, isVoter, listMembers, findQuorumValue,
} from './configuration.js';
import {Log} from './log.js';
import {ALL_SAFEGUARDS, type Safeguards} from './safeguards.js';

export const REPLICA_ROLES = {follower: 'follower', candidate: 'candidate', leader: 'leader'} as const;
export type ReplicaRole = keyof typeof REPLICA_ROLES;

/** Durations in milliseconds of monotonic time. */
export type ReplicaTiming = {
	readonly heartbeatMs: number;
	/** Shortest election timeout; also the length of the leader's lease. */
	readonly electionMs: number;
	/** Share of a lease that is given up to clocks that run at different speeds. */
	readonly clockDrift: number;
};

export const DEFAULT_REPLICA_TIMING: ReplicaTiming = {heartbeatMs: 100, electionMs: 600, clockDrift: 0.05};

/** What must be on disk before a replica may answer for it. */
export type HardState = {
	readonly term: number;
	readonly vote: string;
};

/** One change to the files of a replica. */
export type LogRecord
	= | {readonly type: 'hard'; readonly state: HardState}
		| {readonly type: 'truncate'; readonly from: number}
		| {readonly type: 'entries'; readonly entries: readonly Entry[]}
		| {readonly type: 'snapshot'; readonly snapshot: Snapshot};

export type ReplicaEffect
	= | {readonly type: 'write'; readonly sequence: number; readonly records: readonly LogRecord[]}
		| {readonly type: 'send'; readonly to: Member; readonly body: ConsensusBody}
		| {readonly type: 'commit'; readonly entries: readonly Entry[]}
		| {readonly type: 'restore'; readonly snapshot: Snapshot}
		| {readonly type: 'role'; readonly role: ReplicaRole; readonly term: number; readonly leader: string}
		| {readonly type: 'read'; readonly id: number; readonly index: number}
		| {readonly type: 'read-refused'; readonly id: number};

export type ReplicaEvent
	= | {readonly type: 'tick'}
		| {readonly type: 'synced'; readonly sequence: number}
		| {readonly type: 'message'; readonly from: string; readonly body: ConsensusBody}
		| {readonly type: 'propose'; readonly data: readonly Uint8Array[]}
		| {readonly type: 'propose-configuration'; readonly configuration: Configuration}
		| {readonly type: 'read'; readonly id: number}
		| {readonly type: 'compact'; readonly index: number; readonly data: Uint8Array}
		| {readonly type: 'transfer-leadership'};

export type ReplicaOptions = {
	readonly replica: string;
	readonly hard: HardState;
	readonly snapshot: Snapshot;
	readonly entries: readonly Entry[];
	readonly nowMs: number;
	readonly random: Random;
	readonly timing?: ReplicaTiming;
	readonly safeguards?: Safeguards;
	readonly maxEntriesPerAppend?: number;
};

type PeerProgress = {
	nextIndex: number;
	matchIndex: number;
	/** Highest round that the peer has confirmed. */
	round: number;
	/** When that round was sent. */
	confirmedMs: number;
	/** An install request is on its way until this time. */
	installUntilMs: number;
};

type PendingRead = {
	readonly id: number;
	readonly round: number;
	readonly index: number;
};

const DEFAULT_ENTRIES_PER_APPEND = 512;
const INSTALL_RETRY_MS = 2000;
const NOBODY = '';

/** The step machine of one replica. */
export class Replica {
	readonly id: string;
	readonly timing: ReplicaTiming;
	readonly #safeguards: Safeguards;
	readonly #random: Random;
	readonly #maxEntriesPerAppend: number;
	readonly #log: Log;
	#term: number;
	#vote: string;
	#role: ReplicaRole = REPLICA_ROLES.follower;
	#leader = NOBODY;
	#commitIndex: number;
	#configuration: Configuration;
	#configurationIndex: number;
	#electionDeadlineMs = 0;
	#quietUntilMs: number;
	#heartbeatDueMs = 0;
	#electedMs = 0;
	#ownVoteSequence = Number.POSITIVE_INFINITY;
	#preVoting = false;
	#votes = new Set<string>();
	#peers = new Map<string, PeerProgress>();
	#round = 0;
	#roundSentMs = new Map<number, number>();
	#reads: PendingRead[] = [];
	/** When leadership was handed over; infinite if it was not. */
	#handedOverMs = Number.POSITIVE_INFINITY;
	#writeSequence = 0;
	#syncedSequence = 0;
	#syncedIndex: number;
	readonly #pendingWrites: Array<{sequence: number; lastIndex: number}> = [];
	#held: Array<{sequence: number; effect: ReplicaEffect}> = [];
	#effects: ReplicaEffect[] = [];

	constructor(options: ReplicaOptions) {
		this.id = options.replica;
		this.timing = options.timing ?? DEFAULT_REPLICA_TIMING;
		this.#safeguards = options.safeguards ?? ALL_SAFEGUARDS;
		this.#random = options.random;
		this.#maxEntriesPerAppend = options.maxEntriesPerAppend ?? DEFAULT_ENTRIES_PER_APPEND;
		this.#log = new Log(options.snapshot, options.entries);
		this.#term = options.hard.term;
		this.#vote = options.hard.vote;
		this.#commitIndex = options.snapshot.index;
		this.#syncedIndex = this.#log.lastIndex;
		const {index, configuration} = this.#log.findLatestConfiguration();
		this.#configuration = configuration;
		this.#configurationIndex = index;
		// A restarted replica may have promised a leader its lease and not remember it.
		this.#quietUntilMs = options.nowMs + this.timing.electionMs;
		this.#resetElection(options.nowMs);
	}

	get role(): ReplicaRole {
		return this.#role;
	}

	get term(): number {
		return this.#term;
	}

	/** Identity of the leader last heard of; empty if there is none. */
	get leader(): string {
		return this.#leader;
	}

	get commitIndex(): number {
		return this.#commitIndex;
	}

	get lastIndex(): number {
		return this.#log.lastIndex;
	}

	get logLength(): number {
		return this.#log.length;
	}

	get snapshotIndex(): number {
		return this.#log.snapshot.index;
	}

	get configuration(): Configuration {
		return this.#configuration;
	}

	/** Whether the configuration in force is committed. */
	get isConfigurationCommitted(): boolean {
		return this.#commitIndex >= this.#configurationIndex;
	}

	/** Whether the leader has committed an entry of its own term, so that it knows all that is committed. */
	get isLeaderReady(): boolean {
		return this.#role === REPLICA_ROLES.leader && this.#log.getTerm(this.#commitIndex) === this.#term;
	}

	/** Whether a majority follows this leader, or this follower has heard its leader, within an election timeout. */
	hasQuorumContact(nowMs: number): boolean {
		return this.#role === REPLICA_ROLES.leader
			? this.getLeaseExpiryMs(nowMs) > nowMs
			: this.#leader !== NOBODY && nowMs < this.#quietUntilMs;
	}

	/** Term of an entry that is still in the log. */
	getTerm(index: number): number | undefined {
		return this.#log.getTerm(index);
	}

	/** Monotonic time until which no other leader can exist; in the past without authority. */
	getLeaseExpiryMs(nowMs: number): number {
		if (this.#role !== REPLICA_ROLES.leader || this.#handedOverMs <= nowMs) {
			return Number.NEGATIVE_INFINITY;
		}

		const confirmedMs = findQuorumValue(this.#configuration, replica => this.#confirmedMs(replica, nowMs));
		return confirmedMs + (this.timing.electionMs * (1 - this.timing.clockDrift));
	}

	/** How far a peer has got, for the leader's report. */
	getProgress(replica: string, nowMs: number): {readonly matchIndex: number; readonly alive: boolean} {
		if (replica === this.id) {
			return {matchIndex: this.#syncedIndex, alive: true};
		}

		const peer = this.#peers.get(replica);
		return {
			matchIndex: peer?.matchIndex ?? 0,
			alive: peer !== undefined && nowMs - peer.confirmedMs < this.timing.electionMs,
		};
	}

	/** Takes one event and returns what must be done, in order. */
	step(event: ReplicaEvent, nowMs: number): ReplicaEffect[] {
		this.#effects = [];
		this.#handle(event, nowMs);
		return this.#effects;
	}

	#handle(event: ReplicaEvent, nowMs: number): void {
		switch (event.type) {
			case 'tick': {
				this.#tick(nowMs);
				break;
			}

			case 'synced': {
				this.#onSynced(event.sequence, nowMs);
				break;
			}

			case 'message': {
				this.#onMessage(event.from, event.body, nowMs);
				break;
			}

			case 'propose': {
				this.#onPropose(event.data, nowMs);
				break;
			}

			case 'propose-configuration': {
				this.#onConfigure(event.configuration, nowMs);
				break;
			}

			case 'read': {
				this.#onRead(event.id, nowMs);
				break;
			}

			case 'compact': {
				this.#onCompact(event.index, event.data);
				break;
			}

			case 'transfer-leadership': {
				this.#handOver(nowMs);
				break;
			}
		}
	}

	#tick(nowMs: number): void {
		if (this.#role === REPLICA_ROLES.leader) {
			this.#tickLeader(nowMs);
			return;
		}

		if (nowMs >= this.#electionDeadlineMs && isVoter(this.#configuration, this.id)) {
			this.#startElection(nowMs, {preVote: true, transfer: false});
		}
	}

	#tickLeader(nowMs: number): void {
		const heardMs = findQuorumValue(this.#configuration, replica => this.#confirmedMs(replica, nowMs));
		const isCutOff = nowMs - Math.max(heardMs, this.#electedMs) >= this.timing.electionMs;
		// A hand-over that came to nothing leaves a leader without a lease: an election must follow.
		const isHandOverOver = nowMs - this.#handedOverMs >= this.timing.electionMs;
		if (isCutOff || isHandOverOver) {
			this.#becomeFollower(this.#term, NOBODY, nowMs);
			return;
		}

		if (nowMs >= this.#heartbeatDueMs) {
			this.#broadcast(nowMs);
		}
	}

	#startElection(nowMs: number, options: {preVote: boolean; transfer: boolean}): void {
		this.#resetElection(nowMs);
		this.#leader = NOBODY;
		this.#preVoting = options.preVote;
		this.#votes = new Set([this.id]);
		if (!options.preVote) {
			this.#setTerm(this.#term + 1, this.id);
			this.#setRole(REPLICA_ROLES.candidate, NOBODY);
			this.#holdOwnVote();
		}

		const request: VoteRequest = {
			type: 'vote-request',
			term: options.preVote ? this.#term + 1 : this.#term,
			preVote: options.preVote,
			transfer: options.transfer,
			lastIndex: this.#log.lastIndex,
			lastTerm: this.#log.lastTerm,
		};
		for (const member of this.#others()) {
			if (isVoter(this.#configuration, member.replica)) {
				this.#sendDurable(member, request);
			}
		}

		this.#countVotes(nowMs);
	}

	/** A replica's vote for itself counts like any other: once it is on disk. */
	#holdOwnVote(): void {
		if (this.#safeguards.syncBeforeReply) {
			this.#votes.clear();
			this.#ownVoteSequence = this.#writeSequence;
		}
	}

	#countVotes(nowMs: number): void {
		if (!hasQuorum(this.#configuration, replica => this.#votes.has(replica))) {
			return;
		}

		if (this.#preVoting) {
			this.#startElection(nowMs, {preVote: false, transfer: false});
			return;
		}

		if (this.#role === REPLICA_ROLES.candidate) {
			this.#becomeLeader(nowMs);
		}
	}

	#becomeLeader(nowMs: number): void {
		this.#peers = new Map();
		this.#reads = [];
		this.#handedOverMs = Number.POSITIVE_INFINITY;
		this.#electedMs = nowMs;
		this.#round = 0;
		this.#roundSentMs = new Map();
		this.#setRole(REPLICA_ROLES.leader, this.id);
		this.#appendOwn([{type: 'noop', index: this.#log.lastIndex + 1, term: this.#term}]);
		this.#broadcast(nowMs);
	}

	#becomeFollower(term: number, leader: string, nowMs: number): void {
		if (term > this.#term) {
			this.#setTerm(term, NOBODY);
		}

		this.#refuseReads();
		this.#preVoting = false;
		this.#resetElection(nowMs);
		this.#setRole(REPLICA_ROLES.follower, leader);
	}

	#onMessage(from: string, body: ConsensusBody, nowMs: number): void {
		if (body.type === 'vote-request') {
			this.#onVoteRequest(from, body, nowMs);
			return;
		}

		// A granted pre-vote carries the term it asks for, which nobody has reached yet.
		const isPreVoteGrant = body.type === 'vote-reply' && body.preVote && body.granted;
		if (body.term > this.#term && !isPreVoteGrant) {
			this.#becomeFollower(body.term, NOBODY, nowMs);
		}

		switch (body.type) {
			case 'vote-reply': {
				this.#onVoteReply(from, body, nowMs);
				break;
			}

			case 'append-request': {
				this.#onAppendRequest(from, body, nowMs);
				break;
			}

			case 'append-reply': {
				this.#onAppendReply(from, body, nowMs);
				break;
			}

			case 'install-request': {
				this.#onInstallRequest(from, body, nowMs);
				break;
			}

			case 'timeout-now': {
				if (body.term === this.#term && isVoter(this.#configuration, this.id)) {
					this.#startElection(nowMs, {preVote: false, transfer: true});
				}

				break;
			}
		}
	}

	#onVoteRequest(from: string, request: VoteRequest, nowMs: number): void {
		const member = this.#findMember(from);
		if (!member) {
			return;
		}

		const leaseHolds = this.#safeguards.respectLease && nowMs < this.#quietUntilMs && !request.transfer;
		const leads = this.#role === REPLICA_ROLES.leader && request.term <= this.#term + 1 && request.preVote;
		if (leaseHolds || leads) {
			this.#sendDurable(member, {
				type: 'vote-reply', term: this.#term, preVote: request.preVote, granted: false,
			});
			return;
		}

		if (!request.preVote && request.term > this.#term) {
			this.#becomeFollower(request.term, NOBODY, nowMs);
		}

		const isCurrent = request.preVote ? request.term > this.#term : request.term === this.#term;
		const isFree = request.preVote || this.#vote === NOBODY || this.#vote === from;
		const isUpToDate = request.lastTerm > this.#log.lastTerm
			|| (request.lastTerm === this.#log.lastTerm && request.lastIndex >= this.#log.lastIndex);
		const granted = isCurrent && isFree && isUpToDate;
		if (granted && !request.preVote) {
			this.#setTerm(this.#term, from);
			this.#resetElection(nowMs);
		}

		const term = granted ? request.term : this.#term;
		this.#sendDurable(member, {
			type: 'vote-reply', term, preVote: request.preVote, granted,
		});
	}

	#onVoteReply(from: string, reply: VoteReply, nowMs: number): void {
		const expectedTerm = reply.preVote ? this.#term + 1 : this.#term;
		const isExpected = reply.preVote === this.#preVoting && (this.#preVoting || this.#role === REPLICA_ROLES.candidate);
		if (!reply.granted || !isExpected || reply.term !== expectedTerm) {
			return;
		}

		this.#votes.add(from);
		this.#countVotes(nowMs);
	}

	#onAppendRequest(from: string, request: AppendRequest, nowMs: number): void {
		const member = this.#findMember(from) ?? {
			replica: from, host: '', address: '', port: 0,
		};
		const reply = (success: boolean, matchIndex: number): AppendReply => ({
			type: 'append-reply', term: this.#term, round: request.round, success, matchIndex,
		});
		if (request.term < this.#term) {
			this.#sendDurable(member, reply(false, 0));
			return;
		}

		this.#follow(from, nowMs);
		if (request.previousIndex < this.#log.snapshot.index) {
			// What lies before the snapshot is committed, thus equal.
			const skipped = this.#log.snapshot.index - request.previousIndex;
			this.#appendFrom(request.entries.slice(skipped));
		} else if (this.#safeguards.checkLogMatching && this.#log.getTerm(request.previousIndex) !== request.previousTerm) {
			this.#sendDurable(member, reply(false, this.#findRetryIndex(request.previousIndex)));
			return;
		} else {
			this.#appendFrom(request.entries);
		}

		const matchIndex = Math.max(request.previousIndex + request.entries.length, this.#log.snapshot.index);
		this.#advanceCommit(Math.min(request.commitIndex, matchIndex));
		this.#sendDurable(member, reply(true, matchIndex));
	}

	#onInstallRequest(from: string, request: InstallRequest, nowMs: number): void {
		const member = this.#findMember(from) ?? {
			replica: from, host: '', address: '', port: 0,
		};
		if (request.term < this.#term) {
			this.#sendDurable(member, {
				type: 'append-reply', term: this.#term, round: request.round, success: false, matchIndex: 0,
			});
			return;
		}

		this.#follow(from, nowMs);
		const {snapshot} = request;
		if (snapshot.index > this.#commitIndex) {
			this.#log.compact(snapshot);
			this.#commitIndex = snapshot.index;
			this.#readConfiguration();
			this.#write([{type: 'snapshot', snapshot}]);
			this.#effects.push({type: 'restore', snapshot});
		}

		this.#sendDurable(member, {
			type: 'append-reply', term: this.#term, round: request.round, success: true, matchIndex: snapshot.index,
		});
	}

	#follow(leader: string, nowMs: number): void {
		this.#quietUntilMs = nowMs + this.timing.electionMs;
		this.#resetElection(nowMs);
		this.#preVoting = false;
		if (this.#role !== REPLICA_ROLES.follower || this.#leader !== leader) {
			this.#setRole(REPLICA_ROLES.follower, leader);
		}
	}

	#appendFrom(entries: readonly Entry[]): void {
		const start = entries.findIndex(entry => this.#log.getTerm(entry.index) !== entry.term);
		if (start === -1) {
			return;
		}

		const added = entries.slice(start);
		const from = added[0]!.index;
		const records: LogRecord[] = [];
		if (from <= this.#log.lastIndex) {
			this.#truncate(from);
			records.push({type: 'truncate', from});
		}

		this.#log.append(added);
		records.push({type: 'entries', entries: added});
		this.#readConfiguration();
		this.#write(records);
	}

	#truncate(from: number): void {
		this.#log.truncate(from);
		this.#syncedIndex = Math.min(this.#syncedIndex, from - 1);
		for (const write of this.#pendingWrites) {
			write.lastIndex = Math.min(write.lastIndex, from - 1);
		}
	}

	/** The leader may try right after the last index that could match: the end, or before the conflicting term. */
	#findRetryIndex(previousIndex: number): number {
		if (previousIndex > this.#log.lastIndex) {
			return this.#log.lastIndex;
		}

		const conflictingTerm = this.#log.getTerm(previousIndex);
		let index = previousIndex - 1;
		while (index > this.#commitIndex && this.#log.getTerm(index) === conflictingTerm) {
			index--;
		}

		return index;
	}

	#onAppendReply(from: string, reply: AppendReply, nowMs: number): void {
		if (this.#role !== REPLICA_ROLES.leader || reply.term !== this.#term) {
			return;
		}

		const peer = this.#peerOf(from);
		peer.round = Math.max(peer.round, reply.round);
		peer.confirmedMs = Math.max(peer.confirmedMs, this.#roundSentMs.get(reply.round) ?? Number.NEGATIVE_INFINITY);
		if (reply.success) {
			peer.matchIndex = Math.max(peer.matchIndex, reply.matchIndex);
			peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
			peer.installUntilMs = 0;
		} else {
			peer.nextIndex = Math.max(peer.matchIndex + 1, Math.min(reply.matchIndex + 1, peer.nextIndex - 1));
		}

		this.#answerReads();
		this.#commitByQuorum(nowMs);
		this.#leaveJointConfiguration(nowMs);
		const member = this.#findMember(from);
		const hasMore = peer.nextIndex <= this.#log.lastIndex;
		if (member && this.#role === REPLICA_ROLES.leader && (!reply.success || hasMore)) {
			this.#sendEntries(member, nowMs);
		}
	}

	#commitByQuorum(nowMs: number): void {
		const reached = findQuorumValue(this.#configuration, replica => this.#matchIndexOf(replica));
		const isOwnTerm = this.#log.getTerm(reached) === this.#term || !this.#safeguards.commitOwnTermOnly;
		if (reached <= this.#commitIndex || !isOwnTerm) {
			return;
		}

		this.#advanceCommit(reached);
		this.#heartbeatDueMs = Math.min(this.#heartbeatDueMs, nowMs + (this.timing.heartbeatMs / 4));
		if (this.isConfigurationCommitted && !isVoter(this.#configuration, this.id)) {
			// The last message tells the others that the configuration without this replica is committed.
			this.#broadcast(nowMs);
			this.#becomeFollower(this.#term, NOBODY, nowMs);
		}
	}

	/** Leaves a joint configuration once it is committed and every new voter holds it. */
	#leaveJointConfiguration(nowMs: number): void {
		const {voters, outgoing, learners} = this.#configuration;
		const isHeld = voters.every(member => outgoing.some(old => old.replica === member.replica)
			|| this.#matchIndexOf(member.replica) >= this.#configurationIndex);
		if (this.#role === REPLICA_ROLES.leader && outgoing.length > 0 && this.isConfigurationCommitted && isHeld) {
			this.#appendConfiguration({voters, outgoing: [], learners}, nowMs);
		}
	}

	#onPropose(data: readonly Uint8Array[], nowMs: number): void {
		if (this.#role !== REPLICA_ROLES.leader) {
			return;
		}

		const first = this.#log.lastIndex + 1;
		this.#appendOwn(data.map((bytes, offset) => ({
			type: 'command', index: first + offset, term: this.#term, data: bytes,
		})));
		this.#broadcast(nowMs);
	}

	#onConfigure(configuration: Configuration, nowMs: number): void {
		if (this.#role === REPLICA_ROLES.leader && this.isConfigurationCommitted && this.#configuration.outgoing.length === 0) {
			this.#appendConfiguration(configuration, nowMs);
		}
	}

	#appendConfiguration(configuration: Configuration, nowMs: number): void {
		this.#appendOwn([{
			type: 'configuration', index: this.#log.lastIndex + 1, term: this.#term, configuration,
		}]);
		this.#broadcast(nowMs);
	}

	#appendOwn(entries: readonly Entry[]): void {
		this.#log.append(entries);
		this.#readConfiguration();
		this.#write([{type: 'entries', entries}]);
	}

	#onRead(id: number, nowMs: number): void {
		if (!this.isLeaderReady) {
			this.#effects.push({type: 'read-refused', id});
			return;
		}

		if (!this.#safeguards.confirmReads) {
			this.#effects.push({type: 'read', id, index: this.#commitIndex});
			return;
		}

		this.#reads.push({id, round: this.#round + 1, index: this.#commitIndex});
		this.#broadcast(nowMs);
		this.#answerReads();
	}

	#answerReads(): void {
		const round = findQuorumValue(this.#configuration, replica => this.#confirmedRound(replica));
		const ready = this.#reads.filter(read => read.round <= round);
		this.#reads = this.#reads.filter(read => read.round > round);
		for (const {id, index} of ready) {
			this.#effects.push({type: 'read', id, index});
		}
	}

	#refuseReads(): void {
		for (const {id} of this.#reads) {
			this.#effects.push({type: 'read-refused', id});
		}

		this.#reads = [];
	}

	#onCompact(index: number, data: Uint8Array): void {
		const term = this.#log.getTerm(index);
		if (term === undefined || index <= this.#log.snapshot.index || index > this.#commitIndex) {
			return;
		}

		const snapshot: Snapshot = {
			index, term, configuration: this.#configurationAt(index), data,
		};
		this.#log.compact(snapshot);
		this.#write([{type: 'snapshot', snapshot}]);
	}

	/** Hands leadership to the peer that is furthest ahead. */
	#handOver(nowMs: number): void {
		if (this.#role !== REPLICA_ROLES.leader) {
			return;
		}

		const candidates = this.#others().filter(member => isVoter(this.#configuration, member.replica)
			&& this.getProgress(member.replica, nowMs).alive);
		candidates.sort((a, b) => this.#matchIndexOf(b.replica) - this.#matchIndexOf(a.replica));
		const best = candidates[0];
		if (best) {
			// The successor does not wait for the lease to run out, so the lease ends here.
			this.#handedOverMs = nowMs;
			this.#effects.push({type: 'send', to: best, body: {type: 'timeout-now', term: this.#term}});
		}
	}

	#broadcast(nowMs: number): void {
		this.#round++;
		this.#roundSentMs.set(this.#round, nowMs);
		this.#forgetOldRounds(nowMs);
		this.#heartbeatDueMs = nowMs + this.timing.heartbeatMs;
		for (const member of this.#others()) {
			this.#sendEntries(member, nowMs);
		}
	}

	#forgetOldRounds(nowMs: number): void {
		for (const [round, sentMs] of this.#roundSentMs) {
			if (nowMs - sentMs < this.timing.electionMs * 2) {
				return;
			}

			this.#roundSentMs.delete(round);
		}
	}

	#sendEntries(member: Member, nowMs: number): void {
		const peer = this.#peerOf(member.replica);
		const previousIndex = peer.nextIndex - 1;
		const previousTerm = this.#log.getTerm(previousIndex);
		if (previousTerm === undefined) {
			this.#sendSnapshot(member, peer, nowMs);
			return;
		}

		const entries = this.#log.slice(peer.nextIndex, this.#log.lastIndex, this.#maxEntriesPerAppend);
		this.#effects.push({
			type: 'send',
			to: member,
			body: {
				type: 'append-request',
				term: this.#term,
				round: this.#round,
				previousIndex,
				previousTerm,
				commitIndex: this.#commitIndex,
				entries,
			},
		});
		// Sent entries are taken as received; a lost one shows as a refused append.
		peer.nextIndex += entries.length;
	}

	#sendSnapshot(member: Member, peer: PeerProgress, nowMs: number): void {
		if (nowMs < peer.installUntilMs) {
			return;
		}

		peer.installUntilMs = nowMs + INSTALL_RETRY_MS;
		const {snapshot} = this.#log;
		this.#effects.push({
			type: 'send', to: member, body: {
				type: 'install-request', term: this.#term, round: this.#round, snapshot,
			},
		});
	}

	#onSynced(sequence: number, nowMs: number): void {
		this.#syncedSequence = Math.max(this.#syncedSequence, sequence);
		while (this.#pendingWrites.length > 0 && this.#pendingWrites[0]!.sequence <= sequence) {
			this.#syncedIndex = this.#pendingWrites.shift()!.lastIndex;
		}

		const released = this.#held.filter(held => held.sequence <= sequence);
		this.#held = this.#held.filter(held => held.sequence > sequence);
		for (const {effect} of released) {
			this.#effects.push(effect);
		}

		if (this.#role === REPLICA_ROLES.candidate && sequence >= this.#ownVoteSequence) {
			this.#votes.add(this.id);
			this.#countVotes(nowMs);
		}

		if (this.#role === REPLICA_ROLES.leader) {
			this.#commitByQuorum(nowMs);
		}
	}

	#write(records: readonly LogRecord[]): void {
		this.#writeSequence++;
		this.#pendingWrites.push({sequence: this.#writeSequence, lastIndex: this.#log.lastIndex});
		this.#effects.push({type: 'write', sequence: this.#writeSequence, records});
	}

	#sendDurable(to: Member, body: ConsensusBody): void {
		const effect: ReplicaEffect = {type: 'send', to, body};
		if (this.#safeguards.syncBeforeReply && this.#writeSequence > this.#syncedSequence) {
			this.#held.push({sequence: this.#writeSequence, effect});
			return;
		}

		this.#effects.push(effect);
	}

	#advanceCommit(index: number): void {
		if (index <= this.#commitIndex) {
			return;
		}

		const entries = this.#log.slice(this.#commitIndex + 1, index);
		this.#commitIndex = index;
		this.#effects.push({type: 'commit', entries});
	}

	#setTerm(term: number, vote: string): void {
		this.#term = term;
		this.#vote = vote;
		this.#write(this.#safeguards.persistHardState ? [{type: 'hard', state: {term, vote}}] : []);
	}

	#setRole(role: ReplicaRole, leader: string): void {
		this.#role = role;
		this.#leader = leader;
		this.#effects.push({
			type: 'role', role, term: this.#term, leader,
		});
	}

	#resetElection(nowMs: number): void {
		this.#electionDeadlineMs = nowMs + (this.timing.electionMs * (1 + this.#random()));
	}

	#readConfiguration(): void {
		const {index, configuration} = this.#log.findLatestConfiguration();
		this.#configuration = configuration;
		this.#configurationIndex = index;
	}

	#configurationAt(index: number): Configuration {
		for (let at = index; at > this.#log.snapshot.index; at--) {
			const entry = this.#log.getEntry(at);
			if (entry?.type === 'configuration') {
				return entry.configuration;
			}
		}

		return this.#log.snapshot.configuration;
	}

	#others(): Member[] {
		return listMembers(this.#configuration).filter(member => member.replica !== this.id);
	}

	#findMember(replica: string): Member | undefined {
		return listMembers(this.#configuration).find(member => member.replica === replica);
	}

	#peerOf(replica: string): PeerProgress {
		let peer = this.#peers.get(replica);
		if (!peer) {
			peer = {
				nextIndex: this.#log.lastIndex + 1, matchIndex: 0, round: 0, confirmedMs: Number.NEGATIVE_INFINITY, installUntilMs: 0,
			};
			this.#peers.set(replica, peer);
		}

		return peer;
	}

	#matchIndexOf(replica: string): number {
		if (replica === this.id) {
			return this.#safeguards.syncBeforeReply ? this.#syncedIndex : this.#log.lastIndex;
		}

		return this.#peers.get(replica)?.matchIndex ?? 0;
	}

	#confirmedMs(replica: string, nowMs: number): number {
		return replica === this.id ? nowMs : this.#peers.get(replica)?.confirmedMs ?? Number.NEGATIVE_INFINITY;
	}

	#confirmedRound(replica: string): number {
		return replica === this.id ? this.#round : this.#peers.get(replica)?.round ?? 0;
	}
}
