/**
 * Raft replica as a state machine without I/O: it takes an event and the current time, and returns the effects that the
 * caller must execute.
 *
 * Beyond basic Raft it implements pre-vote, leader leases (measured from the time at which a round of append requests
 * is sent), read index, learners, joint configurations and leadership transfer.
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
import {
	CHANNELS, DEFAULT_REPLICA_TIMING, REPLICA_ROLES, ROLE_REASONS, type HardState, type LogRecord, type ReplicaEffect, type ReplicaEvent, type ReplicaRole, type ReplicaTiming, type RoleReason, type SendEffect,
} from './effects.js';
import {LeadershipReclaim} from './reclaim.js';
import {DEFAULT_REPLICATION_LIMITS, type ReplicationLimits} from './limits.js';
import {Log} from './log.js';
import {isAcknowledgement, PeerProgress} from './progress.js';
import {SilenceDetector} from './silence.js';
import {ALL_SAFEGUARDS, type Safeguards} from './safeguards.js';

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
	readonly limits?: Pick<ReplicationLimits, 'appendBytes' | 'unacknowledgedBytes'>;
};

/** A read that waits until a quorum has acknowledged a round. */
type PendingRead = {
	readonly id: number;
	readonly round: number;
	readonly index: number;
};

const DEFAULT_ENTRIES_PER_APPEND = 512;
const NO_REPLICA = '';

/** State machine of one Raft replica. */
export class Replica {
	readonly id: string;
	readonly timing: ReplicaTiming;
	readonly #safeguards: Safeguards;
	readonly #random: Random;
	readonly #maxEntriesPerAppend: number;
	readonly #limits: Pick<ReplicationLimits, 'appendBytes' | 'unacknowledgedBytes'>;
	readonly #log: Log;
	#term: number;
	#vote: string;
	#role: ReplicaRole = REPLICA_ROLES.follower;
	#leader = NO_REPLICA;
	#commitIndex: number;
	#configuration: Configuration;
	#configurationIndex: number;
	readonly #silence: SilenceDetector;
	#electionDeadlineMs = 0;
	/** When this replica last heard its leader, milliseconds. */
	#leaderHeardMs = 0;
	/** Until this time the current leader's lease may be valid, so votes are denied. */
	#denyVotesUntilMs: number;
	#heartbeatDueMs = 0;
	#electedMs = 0;
	/** Sequence number of the write that stores this candidate's own vote. */
	#selfVoteSequence = Number.POSITIVE_INFINITY;
	#isPreVoting = false;
	readonly #reclaim: LeadershipReclaim;
	#votes = new Set<string>();
	#peers = new Map<string, PeerProgress>();
	#round = 0;
	#roundSentMs = new Map<number, number>();
	#pendingReads: PendingRead[] = [];
	/** Time at which a leadership transfer began; infinite if none is in progress. */
	#transferStartedMs = Number.POSITIVE_INFINITY;
	#writeSequence = 0;
	#syncedSequence = 0;
	#syncedIndex: number;
	/** Sequence number of the last write of the hard state. */
	#hardStateSequence = 0;
	readonly #pendingWrites: Array<{sequence: number; lastIndex: number}> = [];
	/** Messages that wait until a write is synced. */
	#deferredSends: Array<{readonly sequence: number; effect: SendEffect}> = [];
	#effects: ReplicaEffect[] = [];

	constructor(options: ReplicaOptions) {
		this.id = options.replica;
		this.timing = options.timing ?? DEFAULT_REPLICA_TIMING;
		this.#safeguards = options.safeguards ?? ALL_SAFEGUARDS;
		this.#silence = new SilenceDetector(this.timing, options.nowMs);
		this.#random = options.random;
		this.#maxEntriesPerAppend = options.maxEntriesPerAppend ?? DEFAULT_ENTRIES_PER_APPEND;
		this.#limits = options.limits ?? DEFAULT_REPLICATION_LIMITS;
		this.#log = new Log(options.snapshot, options.entries);
		this.#term = options.hard.term;
		this.#vote = options.hard.vote;
		this.#commitIndex = options.snapshot.index;
		this.#syncedIndex = this.#log.lastIndex;
		const {index, configuration} = this.#log.findLatestConfiguration();
		this.#configuration = configuration;
		this.#configurationIndex = index;
		// Before its restart this replica may have extended a leader's lease, which is not stored.
		this.#denyVotesUntilMs = options.nowMs + this.timing.electionMs;
		const hasLed = this.#safeguards.reclaimOnlyAfterLeading ? options.hard.hasLed === true : this.#vote === this.id;
		this.#reclaim = new LeadershipReclaim(hasLed, this.timing, options.nowMs);
		this.#resetElectionTimer(options.nowMs);
	}

	get role(): ReplicaRole {
		return this.#role;
	}

	get term(): number {
		return this.#term;
	}

	/** Replica identity of the current leader; empty if it is unknown. */
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

	/** Approximate memory of the entries that no snapshot covers, bytes. */
	get logBytes(): number {
		return this.#log.bytes;
	}

	get snapshotIndex(): number {
		return this.#log.snapshot.index;
	}

	get configuration(): Configuration {
		return this.#configuration;
	}

	/** Whether the current configuration is committed. */
	get isConfigurationCommitted(): boolean {
		return this.#commitIndex >= this.#configurationIndex;
	}

	/** Whether this replica leads and has committed an entry of its own term, so that its commit index is current. */
	get isLeaderReady(): boolean {
		return this.#role === REPLICA_ROLES.leader && this.#log.getTerm(this.#commitIndex) === this.#term;
	}

	/** Whether a leader has a valid lease, or a follower has received a message of its leader within an election timeout. */
	hasQuorumContact(nowMs: number): boolean {
		return this.#role === REPLICA_ROLES.leader
			? this.getLeaseExpiryMs(nowMs) > nowMs
			: this.#leader !== NO_REPLICA && nowMs < this.#denyVotesUntilMs;
	}

	/** Returns the term of an entry, or undefined if the log does not contain it. */
	getTerm(index: number): number | undefined {
		return this.#log.getTerm(index);
	}

	/** Returns the monotonic time until which no other leader can exist; in the past if this replica has no lease. */
	getLeaseExpiryMs(nowMs: number): number {
		if (this.#role !== REPLICA_ROLES.leader || this.#transferStartedMs <= nowMs) {
			return Number.NEGATIVE_INFINITY;
		}

		return this.#getQuorumContactMs(nowMs) + (this.timing.electionMs * (1 - this.timing.clockDrift));
	}

	/** Returns how far a replica has replicated the log and whether it responds, as seen by the leader. */
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

	/** Processes one event and returns the effects to execute, in order. */
	step(event: ReplicaEvent, nowMs: number): ReplicaEffect[] {
		this.#effects = [];
		this.#handleEvent(event, nowMs);
		return this.#effects;
	}

	#handleEvent(event: ReplicaEvent, nowMs: number): void {
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
				this.#onProposeConfiguration(event.configuration, nowMs);
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
				this.#transferLeadership(nowMs);
				break;
			}

			case 'log-channel-closed': {
				this.#onLogChannelClosed(event.peer, nowMs);
				break;
			}
		}
	}

	#tick(nowMs: number): void {
		this.#silence.recordTick(nowMs);
		if (this.#role === REPLICA_ROLES.leader) {
			this.#tickLeader(nowMs);
			return;
		}

		const isReclaiming = this.#reclaim.takeDue(nowMs);
		if (isReclaiming && this.#role === REPLICA_ROLES.candidate) {
			this.#requestVotes({preVote: false, transfer: true});
		} else if (isVoter(this.#configuration, this.id) && (isReclaiming || this.#silence.hasPassed(this.#electionDeadlineMs, nowMs))) {
			this.#startElection(nowMs, {preVote: !isReclaiming, transfer: isReclaiming});
		}
	}

	#tickLeader(nowMs: number): void {
		const quorumContactMs = Math.max(this.#getQuorumContactMs(nowMs), this.#electedMs);
		const hasLostQuorum = this.#silence.hasPassed(quorumContactMs + this.#silence.getTimeoutMs(nowMs), nowMs);
		// After a failed leadership transfer the leader has no lease, so it steps down to trigger an election.
		const isTransferTimedOut = nowMs - this.#transferStartedMs >= this.timing.electionMs;
		if (hasLostQuorum || isTransferTimedOut) {
			this.#becomeFollower(this.#term, nowMs, hasLostQuorum ? ROLE_REASONS.quorumLost : ROLE_REASONS.transferFailed);
			return;
		}

		if (nowMs >= this.#heartbeatDueMs) {
			this.#broadcast(nowMs);
		}
	}

	#startElection(nowMs: number, options: {preVote: boolean; transfer: boolean}): void {
		this.#resetElectionTimer(nowMs);
		this.#leader = NO_REPLICA;
		this.#isPreVoting = options.preVote;
		this.#votes = new Set([this.id]);
		if (!options.preVote) {
			this.#setTerm(this.#term + 1, this.id);
			this.#setRole(REPLICA_ROLES.candidate, NO_REPLICA, ROLE_REASONS.electionTimeout);
			this.#deferSelfVote();
		}

		this.#requestVotes(options);
		this.#countVotes(nowMs);
	}

	#requestVotes({preVote, transfer}: {preVote: boolean; transfer: boolean}): void {
		const request: VoteRequest = {
			type: 'vote-request',
			term: preVote ? this.#term + 1 : this.#term,
			preVote,
			transfer,
			lastIndex: this.#log.lastIndex,
			lastTerm: this.#log.lastTerm,
		};
		for (const member of this.#listPeers()) {
			if (isVoter(this.#configuration, member.replica)) {
				this.#sendAfterSync(member, request);
			}
		}
	}

	/** A candidate's own vote counts only once it is synced to disk, like any other vote. */
	#deferSelfVote(): void {
		if (this.#safeguards.syncBeforeReply) {
			this.#votes.clear();
			this.#selfVoteSequence = this.#writeSequence;
		}
	}

	#countVotes(nowMs: number): void {
		if (!hasQuorum(this.#configuration, replica => this.#votes.has(replica))) {
			return;
		}

		if (this.#isPreVoting) {
			this.#startElection(nowMs, {preVote: false, transfer: false});
			return;
		}

		if (this.#role === REPLICA_ROLES.candidate) {
			this.#becomeLeader(nowMs);
		}
	}

	#becomeLeader(nowMs: number): void {
		this.#peers = new Map();
		this.#pendingReads = [];
		this.#transferStartedMs = Number.POSITIVE_INFINITY;
		this.#electedMs = nowMs;
		this.#round = 0;
		this.#roundSentMs = new Map();
		this.#setRole(REPLICA_ROLES.leader, this.id, ROLE_REASONS.elected);
		this.#reclaim.stop();
		this.#setTerm(this.#term, this.id, true);
		this.#appendAsLeader([{type: 'noop', index: this.#log.lastIndex + 1, term: this.#term}]);
		this.#broadcast(nowMs);
	}

	/** Becomes a follower that does not know a leader. */
	#becomeFollower(term: number, nowMs: number, reason: RoleReason): void {
		if (term > this.#term) {
			this.#setTerm(term, NO_REPLICA);
		}

		this.#refuseReads();
		this.#reclaim.stop();
		this.#isPreVoting = false;
		this.#resetElectionTimer(nowMs);
		this.#setRole(REPLICA_ROLES.follower, NO_REPLICA, reason);
	}

	#onMessage(from: string, body: ConsensusBody, nowMs: number): void {
		if (body.type === 'vote-request') {
			this.#onVoteRequest(from, body, nowMs);
			return;
		}

		// A granted pre-vote carries the requested term, which no replica has entered yet.
		const isPreVoteGrant = body.type === 'vote-reply' && body.preVote && body.granted;
		if (body.term > this.#term && !isPreVoteGrant) {
			this.#becomeFollower(body.term, nowMs, ROLE_REASONS.higherTerm);
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
		// A replica that lags may not know the newest voters. A removed replica is never ahead of the remaining ones.
		const order = this.#log.compare(request);
		const member = this.#findMember(from) ?? (order > 0 ? createUnknownMember(from) : undefined);
		if (!member) {
			return;
		}

		const mayLeaseBeValid = this.#safeguards.respectLease && nowMs < this.#denyVotesUntilMs && !request.transfer;
		const isActiveLeader = this.#role === REPLICA_ROLES.leader && request.term <= this.#term + 1 && request.preVote;
		if (mayLeaseBeValid || isActiveLeader) {
			this.#sendAfterSync(member, {
				type: 'vote-reply', term: this.#term, preVote: request.preVote, granted: false,
			});
			return;
		}

		if (!request.preVote && request.term > this.#term) {
			this.#becomeFollower(request.term, nowMs, ROLE_REASONS.higherTerm);
		}

		const isCurrent = request.preVote ? request.term > this.#term : request.term === this.#term;
		const isVoteAvailable = request.preVote || this.#vote === NO_REPLICA || this.#vote === from;
		const granted = isCurrent && isVoteAvailable && order >= 0;
		if (granted && !request.preVote) {
			this.#setTerm(this.#term, from);
			this.#resetElectionTimer(nowMs);
		}

		const term = granted ? request.term : this.#term;
		this.#sendAfterSync(member, {
			type: 'vote-reply', term, preVote: request.preVote, granted,
		});
	}

	#onVoteReply(from: string, reply: VoteReply, nowMs: number): void {
		const expectedTerm = reply.preVote ? this.#term + 1 : this.#term;
		const isCurrentElection = reply.preVote === this.#isPreVoting && (this.#isPreVoting || this.#role === REPLICA_ROLES.candidate);
		if (!reply.granted || !isCurrentElection || reply.term !== expectedTerm) {
			return;
		}

		this.#votes.add(from);
		this.#countVotes(nowMs);
	}

	#onAppendRequest(from: string, request: AppendRequest, nowMs: number): void {
		const member = this.#findMember(from) ?? createUnknownMember(from);
		const reply = (success: boolean, matchIndex: number): AppendReply => ({
			type: 'append-reply', term: this.#term, round: request.round, success, matchIndex,
		});
		if (request.term < this.#term) {
			this.#sendAfterSync(member, reply(false, 0));
			return;
		}

		this.#followLeader(from, nowMs);
		if (request.previousIndex < this.#log.snapshot.index) {
			// Entries that the snapshot covers are committed and therefore identical.
			const skipped = this.#log.snapshot.index - request.previousIndex;
			this.#appendNewEntries(request.entries.slice(skipped));
		} else if (this.#safeguards.checkLogMatching && this.#log.getTerm(request.previousIndex) !== request.previousTerm) {
			this.#sendAfterSync(member, reply(false, this.#findRetryIndex(request.previousIndex)));
			return;
		} else {
			this.#appendNewEntries(request.entries);
		}

		const matchIndex = Math.max(request.previousIndex + request.entries.length, this.#log.snapshot.index);
		this.#advanceCommit(Math.min(request.commitIndex, matchIndex));
		const isSynced = this.#syncedSequence >= this.#hardStateSequence && matchIndex <= this.#syncedIndex;
		if (isSynced) {
			this.#send(member, reply(true, matchIndex));
			return;
		}

		if (request.entries.length > 0 && this.#syncedSequence >= this.#hardStateSequence) {
			// Confirms the leader, and that the request has arrived, before the disk has taken its entries.
			this.#send(member, reply(true, this.#syncedIndex));
		}

		this.#sendAfterSync(member, reply(true, matchIndex));
	}

	#onInstallRequest(from: string, request: InstallRequest, nowMs: number): void {
		const member = this.#findMember(from) ?? createUnknownMember(from);
		if (request.term < this.#term) {
			this.#sendAfterSync(member, {
				type: 'append-reply', term: this.#term, round: request.round, success: false, matchIndex: 0,
			});
			return;
		}

		this.#followLeader(from, nowMs);
		const {snapshot} = request;
		if (snapshot.index > this.#commitIndex) {
			this.#limitSynced(this.#commitIndex);
			this.#log.compact(snapshot);
			this.#commitIndex = snapshot.index;
			this.#updateConfiguration();
			this.#write([{type: 'snapshot', snapshot}]);
			this.#effects.push({type: 'restore', snapshot});
		}

		this.#sendAfterSync(member, {
			type: 'append-reply', term: this.#term, round: request.round, success: true, matchIndex: snapshot.index,
		});
	}

	#followLeader(leader: string, nowMs: number): void {
		if (this.#leader === leader) {
			this.#silence.recordSilence(nowMs - this.#leaderHeardMs, nowMs);
		}

		this.#leaderHeardMs = nowMs;
		this.#denyVotesUntilMs = nowMs + this.timing.electionMs;
		this.#resetElectionTimer(nowMs);
		this.#isPreVoting = false;
		this.#reclaim.stop();
		if (this.#role !== REPLICA_ROLES.follower || this.#leader !== leader) {
			this.#setRole(REPLICA_ROLES.follower, leader, ROLE_REASONS.leaderHeard);
		}
	}

	#appendNewEntries(entries: readonly Entry[]): void {
		const start = entries.findIndex(entry => this.#log.getTerm(entry.index) !== entry.term);
		if (start === -1) {
			return;
		}

		const newEntries = entries.slice(start);
		const from = newEntries[0]!.index;
		const records: LogRecord[] = [];
		if (from <= this.#log.lastIndex) {
			this.#truncate(from);
			records.push({type: 'truncate', from});
		}

		this.#log.append(newEntries);
		records.push({type: 'entries', entries: newEntries});
		this.#updateConfiguration();
		this.#write(records);
	}

	#truncate(from: number): void {
		this.#log.truncate(from);
		this.#limitSynced(from - 1);
	}

	/** Excludes entries after an index, which are replaced, from those that are synced or will be. */
	#limitSynced(index: number): void {
		this.#syncedIndex = Math.min(this.#syncedIndex, index);
		for (const write of this.#pendingWrites) {
			write.lastIndex = Math.min(write.lastIndex, index);
		}
	}

	/**
	 * Finds the last index that may match the leader's log: the end of the log, or the entry before the conflicting term.
	 * The leader retries with the entry after it.
	 */
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

		const peer = this.#getPeerProgress(from);
		this.#recordContact(peer, reply.round, nowMs);
		const isRejectedAnew = !reply.success && reply.round >= peer.resentRound;
		if (reply.success) {
			peer.recordMatch(reply.matchIndex);
		} else if (isRejectedAnew) {
			peer.setBack(reply.matchIndex);
			this.#startResendRound(peer, nowMs);
		}

		this.#completeReads();
		this.#advanceCommitByQuorum(nowMs);
		this.#leaveJointConfiguration(nowMs);
		const member = this.#findMember(from);
		if (member && this.#role === REPLICA_ROLES.leader && peer.nextIndex <= this.#log.lastIndex) {
			this.#sendEntries(member, nowMs);
		}
	}

	#recordContact(peer: PeerProgress, round: number, nowMs: number): void {
		const previousContactMs = this.#getQuorumContactMs(nowMs);
		peer.round = Math.max(peer.round, round);
		peer.confirmedMs = Math.max(peer.confirmedMs, this.#roundSentMs.get(round) ?? Number.NEGATIVE_INFINITY);
		if (previousContactMs > this.#electedMs && this.#getQuorumContactMs(nowMs) > previousContactMs) {
			this.#silence.recordSilence(nowMs - previousContactMs, nowMs);
		}
	}

	/** Starts a round that distinguishes replies to entries that are sent again from replies to earlier requests. */
	#startResendRound(peer: PeerProgress, nowMs: number): void {
		this.#startRound(nowMs);
		peer.resentRound = this.#round;
	}

	/** Schedules what may be lost for the next heartbeat; an immediate retransmission to a peer that is down would be repeated at once. */
	#onLogChannelClosed(replica: string, nowMs: number): void {
		const peer = this.#peers.get(replica);
		if (this.#role === REPLICA_ROLES.leader && peer?.recordLoss()) {
			this.#startResendRound(peer, nowMs);
		}
	}

	#advanceCommitByQuorum(nowMs: number): void {
		const quorumIndex = findQuorumValue(this.#configuration, replica => this.#getMatchIndex(replica));
		const isOwnTerm = this.#log.getTerm(quorumIndex) === this.#term || !this.#safeguards.commitOwnTermOnly;
		if (quorumIndex <= this.#commitIndex || !isOwnTerm) {
			return;
		}

		this.#advanceCommit(quorumIndex);
		this.#heartbeatDueMs = Math.min(this.#heartbeatDueMs, nowMs + (this.timing.heartbeatMs / 4));
		if (this.isConfigurationCommitted && !isVoter(this.#configuration, this.id)) {
			// This last broadcast tells the others that the configuration without this replica is committed.
			this.#broadcast(nowMs);
			this.#becomeFollower(this.#term, nowMs, ROLE_REASONS.removed);
		}
	}

	/** Proposes the final configuration once the joint one is committed and every new voter has replicated it or is lost. */
	#leaveJointConfiguration(nowMs: number): void {
		const {voters, outgoing, learners} = this.#configuration;
		const isReady = (member: Member) => outgoing.some(previous => previous.replica === member.replica)
			|| this.#getMatchIndex(member.replica) >= this.#configurationIndex
			|| this.#isLost(member.replica, nowMs);
		if (this.#role === REPLICA_ROLES.leader && outgoing.length > 0 && this.isConfigurationCommitted && voters.every(member => isReady(member))) {
			this.#appendConfiguration({voters, outgoing: [], learners}, nowMs);
		}
	}

	/** Whether a replica has not responded to this leader for two election timeouts. */
	#isLost(replica: string, nowMs: number): boolean {
		return nowMs - Math.max(this.#getConfirmedMs(replica, nowMs), this.#electedMs) > this.timing.electionMs * 2;
	}

	#onPropose(data: readonly Uint8Array[], nowMs: number): void {
		if (this.#role !== REPLICA_ROLES.leader) {
			return;
		}

		const firstIndex = this.#log.lastIndex + 1;
		this.#appendAsLeader(data.map((bytes, offset) => ({
			type: 'command', index: firstIndex + offset, term: this.#term, data: bytes,
		})));
		this.#startRound(nowMs);
		for (const member of this.#listPeers()) {
			this.#sendEntries(member, nowMs);
		}
	}

	#onProposeConfiguration(configuration: Configuration, nowMs: number): void {
		if (this.#role === REPLICA_ROLES.leader && this.isConfigurationCommitted && this.#configuration.outgoing.length === 0) {
			this.#appendConfiguration(configuration, nowMs);
		}
	}

	#appendConfiguration(configuration: Configuration, nowMs: number): void {
		this.#appendAsLeader([{
			type: 'configuration', index: this.#log.lastIndex + 1, term: this.#term, configuration,
		}]);
		this.#broadcast(nowMs);
	}

	#appendAsLeader(entries: readonly Entry[]): void {
		this.#log.append(entries);
		this.#updateConfiguration();
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

		this.#pendingReads.push({id, round: this.#round + 1, index: this.#commitIndex});
		this.#broadcast(nowMs);
		this.#completeReads();
	}

	#completeReads(): void {
		const round = findQuorumValue(this.#configuration, replica => this.#getConfirmedRound(replica));
		const ready = this.#pendingReads.filter(read => read.round <= round);
		this.#pendingReads = this.#pendingReads.filter(read => read.round > round);
		for (const {id, index} of ready) {
			this.#effects.push({type: 'read', id, index});
		}
	}

	#refuseReads(): void {
		for (const {id} of this.#pendingReads) {
			this.#effects.push({type: 'read-refused', id});
		}

		this.#pendingReads = [];
	}

	#onCompact(index: number, data: Uint8Array): void {
		const term = this.#log.getTerm(index);
		if (term === undefined || index <= this.#log.snapshot.index || index > this.#commitIndex) {
			return;
		}

		const snapshot: Snapshot = {
			index, term, configuration: this.#log.getConfigurationAt(index), data,
		};
		this.#log.compact(snapshot);
		this.#write([{type: 'snapshot', snapshot}]);
	}

	/** Asks the reachable voter with the highest match index to start an election. */
	#transferLeadership(nowMs: number): void {
		if (this.#role !== REPLICA_ROLES.leader) {
			return;
		}

		const candidates = this.#listPeers().filter(member => isVoter(this.#configuration, member.replica)
			&& this.getProgress(member.replica, nowMs).alive);
		candidates.sort((a, b) => this.#getMatchIndex(b.replica) - this.#getMatchIndex(a.replica));
		const successor = candidates[0];
		if (successor) {
			// The successor's election ignores the lease, so this leader must not rely on it any longer.
			this.#transferStartedMs = nowMs;
			// Behind the entries that are on their way: without them the successor may not be elected.
			this.#effects.push({
				type: 'send', to: successor, body: {type: 'timeout-now', term: this.#term}, channel: CHANNELS.log,
			});
		}
	}

	#startRound(nowMs: number): void {
		this.#round++;
		this.#roundSentMs.set(this.#round, nowMs);
		this.#removeOldRounds(nowMs);
	}

	#broadcast(nowMs: number): void {
		this.#startRound(nowMs);
		this.#heartbeatDueMs = nowMs + this.timing.heartbeatMs;
		for (const member of this.#listPeers()) {
			this.#sendHeartbeat(member);
			if (this.#getPeerProgress(member.replica).matchIndex < this.#log.lastIndex) {
				this.#sendEntries(member, nowMs, {probe: true});
			}
		}
	}

	/** Sends an append request that the peer accepts whatever is still in transit: it refers to entries that the peer is known to have. */
	#sendHeartbeat(member: Member): void {
		const {matchIndex} = this.#getPeerProgress(member.replica);
		const matchTerm = this.#log.getTerm(matchIndex);
		this.#send(member, this.#createAppendRequest(matchTerm === undefined ? 0 : matchIndex, matchTerm ?? 0, []));
	}

	#createAppendRequest(previousIndex: number, previousTerm: number, entries: Entry[]): AppendRequest {
		return {
			type: 'append-request', term: this.#term, round: this.#round, previousIndex, previousTerm, commitIndex: this.#commitIndex, entries,
		};
	}

	#removeOldRounds(nowMs: number): void {
		for (const [round, sentMs] of this.#roundSentMs) {
			if (nowMs - sentMs < this.timing.electionMs * 2) {
				return;
			}

			this.#roundSentMs.delete(round);
		}
	}

	/**
	 * Sends the entries that the peer lacks, as far as the limits allow, or the snapshot. Entries are assumed to arrive. If they are lost,
	 * the peer rejects the next request on the log channel; with `probe`, a request is sent for that even if it is empty.
	 */
	#sendEntries(member: Member, nowMs: number, {probe = false} = {}): void {
		const peer = this.#getPeerProgress(member.replica);
		const previousIndex = peer.nextIndex - 1;
		const previousTerm = this.#log.getTerm(previousIndex);
		if (previousTerm === undefined) {
			this.#sendSnapshot(member, peer, nowMs);
			return;
		}

		const entries = this.#takeEntries(peer);
		if (probe || entries.length > 0) {
			this.#effects.push({
				type: 'send', to: member, channel: CHANNELS.log, body: this.#createAppendRequest(previousIndex, previousTerm, entries),
			});
		}
	}

	/** Takes the entries of the next append request; none while too much that was sent to the peer is not acknowledged. */
	#takeEntries(peer: PeerProgress): Entry[] {
		const {appendBytes, unacknowledgedBytes} = this.#limits;
		if (peer.unacknowledgedBytes >= unacknowledgedBytes) {
			return [];
		}

		const entries = this.#log.takeBatch(peer.nextIndex, this.#maxEntriesPerAppend, appendBytes);
		peer.recordSent(entries);
		return entries;
	}

	#sendSnapshot(member: Member, peer: PeerProgress, nowMs: number): void {
		if (nowMs < peer.installUntilMs) {
			return;
		}

		const {snapshot} = this.#log;
		peer.recordInstall(snapshot.index, nowMs);
		this.#effects.push({
			type: 'send', to: member, channel: CHANNELS.log, body: {
				type: 'install-request', term: this.#term, round: this.#round, snapshot,
			},
		});
	}

	#onSynced(sequence: number, nowMs: number): void {
		this.#syncedSequence = Math.max(this.#syncedSequence, sequence);
		while (this.#pendingWrites.length > 0 && this.#pendingWrites[0]!.sequence <= sequence) {
			this.#syncedIndex = this.#pendingWrites.shift()!.lastIndex;
		}

		const released = this.#deferredSends.filter(deferred => deferred.sequence <= sequence);
		this.#deferredSends = this.#deferredSends.filter(deferred => deferred.sequence > sequence);
		for (const {effect} of released) {
			this.#effects.push(effect);
		}

		if (this.#role === REPLICA_ROLES.candidate && sequence >= this.#selfVoteSequence) {
			this.#votes.add(this.id);
			this.#countVotes(nowMs);
		}

		if (this.#role === REPLICA_ROLES.leader) {
			this.#advanceCommitByQuorum(nowMs);
		}
	}

	#write(records: readonly LogRecord[]): void {
		this.#writeSequence++;
		this.#pendingWrites.push({sequence: this.#writeSequence, lastIndex: this.#log.lastIndex});
		this.#effects.push({type: 'write', sequence: this.#writeSequence, records});
	}

	#send(to: Member, body: ConsensusBody): void {
		this.#effects.push({
			type: 'send', to, body, channel: CHANNELS.liveness,
		});
	}

	#sendAfterSync(to: Member, body: ConsensusBody): void {
		const effect: SendEffect = {
			type: 'send', to, body, channel: CHANNELS.liveness,
		};
		if (this.#safeguards.syncBeforeReply && this.#writeSequence > this.#syncedSequence) {
			this.#deferSend(effect);
			return;
		}

		this.#effects.push(effect);
	}

	/** Keeps a message until the last write is synced. One acknowledgement replaces another that waits for the same write. */
	#deferSend(effect: SendEffect): void {
		const sequence = this.#writeSequence;
		const last = this.#deferredSends.at(-1);
		const waiting = last?.sequence === sequence && last.effect.to.replica === effect.to.replica ? last.effect.body : undefined;
		const {body} = effect;
		if (last && waiting && isAcknowledgement(waiting) && isAcknowledgement(body)) {
			last.effect = {...effect, body: {...body, matchIndex: Math.max(waiting.matchIndex, body.matchIndex)}};
			return;
		}

		this.#deferredSends.push({sequence, effect});
	}

	#advanceCommit(index: number): void {
		if (index <= this.#commitIndex) {
			return;
		}

		const entries = this.#log.slice(this.#commitIndex + 1, index);
		this.#commitIndex = index;
		this.#effects.push({type: 'commit', entries});
	}

	#setTerm(term: number, vote: string, hasLed = false): void {
		this.#term = term;
		this.#vote = vote;
		this.#write(this.#safeguards.persistHardState ? [{type: 'hard', state: {term, vote, ...(hasLed && {hasLed})}}] : []);
		this.#hardStateSequence = this.#writeSequence;
	}

	#setRole(role: ReplicaRole, leader: string, reason: RoleReason): void {
		this.#role = role;
		this.#leader = leader;
		this.#effects.push({
			type: 'role', role, term: this.#term, leader, reason,
		});
	}

	#resetElectionTimer(nowMs: number): void {
		this.#electionDeadlineMs = nowMs + this.#silence.getTimeoutMs(nowMs) + (this.timing.electionMs * this.#random());
	}

	#updateConfiguration(): void {
		const {index, configuration} = this.#log.findLatestConfiguration();
		this.#configuration = configuration;
		this.#configurationIndex = index;
	}

	#listPeers(): Member[] {
		return listMembers(this.#configuration).filter(member => member.replica !== this.id);
	}

	#findMember(replica: string): Member | undefined {
		return listMembers(this.#configuration).find(member => member.replica === replica);
	}

	#getPeerProgress(replica: string): PeerProgress {
		let peer = this.#peers.get(replica);
		if (!peer) {
			peer = new PeerProgress(this.#log.lastIndex + 1);
			this.#peers.set(replica, peer);
		}

		return peer;
	}

	#getMatchIndex(replica: string): number {
		if (replica === this.id) {
			return this.#safeguards.syncBeforeReply ? this.#syncedIndex : this.#log.lastIndex;
		}

		return this.#peers.get(replica)?.matchIndex ?? 0;
	}

	#getConfirmedMs(replica: string, nowMs: number): number {
		return replica === this.id ? nowMs : this.#peers.get(replica)?.confirmedMs ?? Number.NEGATIVE_INFINITY;
	}

	/** Returns when the latest round was sent that a quorum has acknowledged. */
	#getQuorumContactMs(nowMs: number): number {
		return findQuorumValue(this.#configuration, replica => this.#getConfirmedMs(replica, nowMs));
	}

	#getConfirmedRound(replica: string): number {
		return replica === this.id ? this.#round : this.#peers.get(replica)?.round ?? 0;
	}
}

/** Creates the recipient of a reply to a replica that is not in the configuration; replies need no address. */
function createUnknownMember(replica: string): Member {
	return {
		replica, host: '', address: '', port: 0,
	};
}
