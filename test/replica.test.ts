import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRandom} from '../src/base/random.js';
import {hasQuorum, findQuorumValue} from '../src/consensus/configuration.js';
import {ALL_SAFEGUARDS, type Safeguards} from '../src/consensus/safeguards.js';
import type {ReplicaEffect, ReplicaEvent} from '../src/consensus/effects.js';
import {Replica} from '../src/consensus/replica.js';
import {EMPTY_PERSISTENT_STATE, EMPTY_SNAPSHOT} from '../src/consensus/storage.js';
import type {Configuration, ConsensusBody, Member} from '../src/generated/types.js';

const [a, b, c, d] = ['a', 'b', 'c', 'd'].map(name => createMember(name)) as [Member, Member, Member, Member];
const THREE: Configuration = {voters: [a, b, c], outgoing: [], learners: []};

/** Replicas on a network that delivers every message immediately, except to and from disconnected replicas. */
class Cluster {
	readonly replicas = new Map<string, Replica>();
	readonly committed = new Map<string, string[]>();
	readonly disconnected = new Set<string>();
	nowMs = 0;

	constructor(configuration: Configuration, names: readonly string[], safeguards: Safeguards = ALL_SAFEGUARDS) {
		for (const [index, name] of names.entries()) {
			this.committed.set(name, []);
			this.replicas.set(name, new Replica({
				replica: name,
				hard: EMPTY_PERSISTENT_STATE.hard,
				snapshot: {...EMPTY_SNAPSHOT, configuration},
				entries: [],
				nowMs: 0,
				random: createRandom(index + 1),
				safeguards,
			}));
		}
	}

	get leader(): Replica | undefined {
		return [...this.replicas.values()].find(replica => replica.role === 'leader' && !this.disconnected.has(replica.id));
	}

	step(name: string, event: ReplicaEvent): ReplicaEffect[] {
		const effects = this.replicas.get(name)!.step(event, this.nowMs);
		for (const effect of effects) {
			this.#run(name, effect);
		}

		return effects;
	}

	advance(durationMs: number): void {
		const untilMs = this.nowMs + durationMs;
		while (this.nowMs < untilMs) {
			this.nowMs += 20;
			for (const name of this.replicas.keys()) {
				this.step(name, {type: 'tick'});
			}
		}
	}

	#run(name: string, effect: ReplicaEffect): void {
		if (effect.type === 'write') {
			this.step(name, {type: 'synced', sequence: effect.sequence});
		}

		if (effect.type === 'commit') {
			const texts = effect.entries.flatMap(entry => entry.type === 'command' ? [new TextDecoder().decode(entry.data)] : []);
			this.committed.get(name)!.push(...texts);
		}

		if (effect.type === 'send' && !this.disconnected.has(name) && !this.disconnected.has(effect.to.replica) && this.replicas.has(effect.to.replica)) {
			this.step(effect.to.replica, {type: 'message', from: name, body: effect.body});
		}
	}
}

test('clusters of one, three, five and seven replicas elect a leader and commit', () => {
	for (const count of [1, 3, 5, 7]) {
		const members = Array.from({length: count}, (_, index) => createMember(`r${index}`));
		const cluster = new Cluster({voters: members, outgoing: [], learners: []}, members.map(member => member.replica));
		cluster.advance(3000);
		const leader = cluster.leader!;
		cluster.step(leader.id, createProposal('x'));
		cluster.advance(300);
		for (const texts of cluster.committed.values()) {
			assert.deepEqual(texts, ['x'], `${count} replicas`);
		}
	}
});

test('a leader without contact to a majority steps down, and another one is elected', () => {
	const cluster = new Cluster(THREE, ['a', 'b', 'c']);
	cluster.advance(3000);
	const previous = cluster.leader!;
	cluster.disconnected.add(previous.id);
	cluster.advance(700);
	assert.notEqual(previous.role, 'leader');
	cluster.advance(2500);
	assert.ok(cluster.leader);
	assert.notEqual(cluster.leader.id, previous.id);
});

test('a leader\'s lease expires within an election timeout, even if the leader runs no timer', () => {
	const cluster = new Cluster(THREE, ['a', 'b', 'c']);
	cluster.advance(3000);
	const leader = cluster.leader!;
	assert.ok(leader.getLeaseExpiryMs(cluster.nowMs) > cluster.nowMs);
	// A paused process runs no timer, so only the current time tells that the lease has expired.
	assert.ok(leader.getLeaseExpiryMs(cluster.nowMs) < cluster.nowMs + leader.timing.electionMs);
});

test('a reconnected replica does not depose the leader (pre-vote)', () => {
	const cluster = new Cluster(THREE, ['a', 'b', 'c']);
	cluster.advance(3000);
	const leader = cluster.leader!;
	const {term} = leader;
	const follower = ['a', 'b', 'c'].find(name => name !== leader.id)!;
	cluster.disconnected.add(follower);
	cluster.advance(5000);
	cluster.disconnected.delete(follower);
	cluster.advance(2000);
	assert.equal(cluster.leader?.id, leader.id);
	assert.equal(leader.term, term);
});

test('a reply waits for the sync to disk; without the safeguard it does not', () => {
	const request: ConsensusBody = {
		type: 'append-request', term: 1, round: 1, previousIndex: 0, previousTerm: 0, commitIndex: 0, entries: [{type: 'noop', index: 1, term: 1}],
	};
	for (const syncBeforeReply of [true, false]) {
		const replica = createReplica('a', {...ALL_SAFEGUARDS, syncBeforeReply});
		const effects = replica.step({type: 'message', from: 'b', body: request}, 10);
		assert.equal(effects.some(effect => effect.type === 'send'), !syncBeforeReply);
		const released = replica.step({type: 'synced', sequence: 99}, 20);
		assert.equal(released.some(effect => effect.type === 'send' && effect.body.type === 'append-reply'), syncBeforeReply);
	}
});

test('a restarted replica remembers its vote', () => {
	const replica = createReplica('a');
	const effects = replica.step({type: 'message', from: 'b', body: createVoteRequest(1)}, 5000);
	const writes = effects.flatMap(effect => effect.type === 'write' ? effect.records : []);
	const hard = writes.findLast(record => record.type === 'hard')!;
	assert.deepEqual(hard.state, {term: 1, vote: 'b'});
	const restarted = createReplica('a', ALL_SAFEGUARDS, hard.state);
	assert.deepEqual(requestVote(restarted, 'c', 5000), [false]);
	assert.deepEqual(requestVote(restarted, 'b', 5000), [true]);
});

test('a restarted replica grants no vote for one election timeout, because it may have extended a lease', () => {
	for (const respectLease of [true, false]) {
		const replica = createReplica('a', {...ALL_SAFEGUARDS, respectLease});
		assert.deepEqual(requestVote(replica, 'b', 100), [!respectLease]);
	}
});

test('a replica outside the configuration starts no election and gets no vote', () => {
	const stranger = createReplica('stranger');
	assert.deepEqual(stranger.step({type: 'tick'}, 60_000), []);
	assert.deepEqual(requestVote(createReplica('a'), 'stranger', 5000), []);
	assert.deepEqual(requestVote(createReplica('a'), 'b', 5000), [true]);
});

// Guards against a group that has a majority and elects no leader, because a voter that was away does not know the newest one.
test('a replica that lags grants its vote to a candidate that it does not know yet, if that one is ahead', () => {
	assert.deepEqual(requestVote(createReplica('a'), 'stranger', 5000, 1), [true]);
	assert.deepEqual(requestVote(createReplica('a'), 'stranger', 100, 1), [false]);
});

test('entries of an older term are not committed by counting replicas; without the safeguard they are', () => {
	for (const commitOwnTermOnly of [true, false]) {
		const replica = new Replica({
			replica: 'a',
			hard: {term: 1, vote: ''},
			snapshot: {...EMPTY_SNAPSHOT, configuration: THREE},
			entries: [{type: 'noop', index: 1, term: 1}],
			nowMs: 0,
			random: createRandom(1),
			safeguards: {...ALL_SAFEGUARDS, commitOwnTermOnly},
		});
		replica.step({type: 'tick'}, 5000);
		for (const preVote of [true, false]) {
			replica.step({type: 'synced', sequence: 99}, 5000);
			replica.step({
				type: 'message', from: 'b', body: {
					type: 'vote-reply', term: 2, preVote, granted: true,
				},
			}, 5000);
		}

		assert.equal(replica.role, 'leader');
		replica.step({type: 'synced', sequence: 99}, 5000);
		const reply = (matchIndex: number) => replica.step({
			type: 'message', from: 'b', body: {
				type: 'append-reply', term: 2, round: 1, success: true, matchIndex,
			},
		}, 5000);
		reply(1);
		assert.equal(replica.commitIndex, commitOwnTermOnly ? 0 : 1);
		reply(2);
		assert.equal(replica.commitIndex, 2);
	}
});

test('a read waits until a majority has confirmed the leader; without the safeguard it does not', () => {
	for (const confirmReads of [true, false]) {
		const cluster = new Cluster(THREE, ['a', 'b', 'c'], {...ALL_SAFEGUARDS, confirmReads});
		cluster.advance(3000);
		const leader = cluster.leader!;
		cluster.disconnected.add(leader.id);
		const isAnswered = cluster.step(leader.id, {type: 'read', id: 1}).some(effect => effect.type === 'read');
		assert.equal(isAnswered, !confirmReads);
	}
});

test('leadership is transferred within a round trip', () => {
	const cluster = new Cluster(THREE, ['a', 'b', 'c']);
	cluster.advance(3000);
	const previous = cluster.leader!;
	cluster.step(previous.id, {type: 'transfer-leadership'});
	assert.ok(cluster.leader);
	assert.notEqual(cluster.leader.id, previous.id);
	assert.equal(previous.getLeaseExpiryMs(cluster.nowMs), Number.NEGATIVE_INFINITY);
});

test('a failed leadership transfer ends in an election', () => {
	// Fuzzer seed 16: a leader whose transfer message was lost stayed leader forever without a lease.
	const cluster = new Cluster(THREE, ['a', 'b', 'c']);
	cluster.advance(3000);
	const previous = cluster.leader!;
	const target = previous.step({type: 'transfer-leadership'}, cluster.nowMs).find(effect => effect.type === 'send');
	assert.equal(target?.body.type, 'timeout-now');
	cluster.advance(5000);
	const leader = cluster.leader!;
	assert.ok(leader.getLeaseExpiryMs(cluster.nowMs) > cluster.nowMs);
});

test('a lagging replica catches up by a snapshot', () => {
	const cluster = new Cluster(THREE, ['a', 'b', 'c']);
	cluster.advance(3000);
	const leader = cluster.leader!;
	const follower = ['a', 'b', 'c'].find(name => name !== leader.id)!;
	cluster.disconnected.add(follower);
	for (let index = 0; index < 20; index++) {
		cluster.step(leader.id, createProposal(`x${index}`));
	}

	cluster.step(leader.id, {type: 'compact', index: leader.commitIndex, data: new Uint8Array([7])});
	assert.equal(leader.logLength, 0);
	cluster.disconnected.delete(follower);
	cluster.advance(4000);
	assert.equal(cluster.replicas.get(follower)!.snapshotIndex, leader.snapshotIndex);
	assert.equal(cluster.replicas.get(follower)!.commitIndex, leader.commitIndex);
});

test('replacing a voter in one step allows disjoint quorums; a joint configuration does not', () => {
	const previous: Configuration = THREE;
	const swapped: Configuration = {voters: [a, c, d], outgoing: [], learners: []};
	const joint: Configuration = {...swapped, outgoing: THREE.voters};
	const oldMajority = new Set(['a', 'b']);
	const newMajority = new Set(['c', 'd']);
	assert.ok(hasQuorum(previous, name => oldMajority.has(name)) && hasQuorum(swapped, name => newMajority.has(name)));
	assert.ok(!hasQuorum(joint, name => newMajority.has(name)));
	assert.equal(findQuorumValue(joint, name => ({
		a: 9, b: 9, c: 1, d: 1,
	})[name] ?? 0), 1);
});

test('a voter is replaced through a learner and a joint configuration', () => {
	const {cluster, leader, voters} = startReplacement();
	cluster.step(leader.id, {type: 'propose-configuration', configuration: {voters, outgoing: THREE.voters, learners: []}});
	cluster.advance(500);
	assert.deepEqual(leader.configuration, {voters, outgoing: [], learners: []});
	assert.equal(cluster.replicas.get('d')!.commitIndex, leader.commitIndex);
});

// Guards against a joint configuration that stands for good, so that no other replica can be replaced any more.
test('a joint configuration is left when its new voter is lost before it has replicated it', () => {
	const {cluster, leader, voters} = startReplacement();
	cluster.disconnected.add('d');
	cluster.step(leader.id, {type: 'propose-configuration', configuration: {voters, outgoing: THREE.voters, learners: []}});
	cluster.advance(leader.timing.electionMs);
	assert.deepEqual(leader.configuration.outgoing, THREE.voters);
	cluster.advance(leader.timing.electionMs * 2);
	assert.deepEqual(leader.configuration, {voters, outgoing: [], learners: []});
	assert.ok(leader.isConfigurationCommitted);
});

/** Lets a fourth replica, which starts without a configuration, catch up as a learner; returns the voters with it in place of another one. */
function startReplacement() {
	const cluster = new Cluster(THREE, ['a', 'b', 'c', 'd']);
	cluster.replicas.set('d', new Replica({
		replica: 'd', hard: EMPTY_PERSISTENT_STATE.hard, snapshot: EMPTY_SNAPSHOT, entries: [], nowMs: 0, random: createRandom(4),
	}));
	cluster.advance(3000);
	const leader = cluster.leader!;
	const removed = THREE.voters.find(member => member.replica !== leader.id)!;
	cluster.step(leader.id, {type: 'propose-configuration', configuration: {...THREE, learners: [d]}});
	cluster.advance(500);
	return {cluster, leader, voters: [...THREE.voters.filter(member => member !== removed), d]};
}

function createMember(replica: string): Member {
	return {
		replica, host: replica, address: '127.0.0.1', port: 1,
	};
}

function createReplica(replica: string, safeguards: Safeguards = ALL_SAFEGUARDS, hard = EMPTY_PERSISTENT_STATE.hard): Replica {
	return new Replica({
		replica, hard, snapshot: {...EMPTY_SNAPSHOT, configuration: THREE}, entries: [], nowMs: 0, random: createRandom(1), safeguards,
	});
}

function createProposal(text: string): ReplicaEvent {
	return {type: 'propose', data: [new TextEncoder().encode(text)]};
}

function createVoteRequest(term: number, lastIndex = 0): ConsensusBody {
	return {
		type: 'vote-request', term, preVote: false, transfer: false, lastIndex, lastTerm: 0,
	};
}

function requestVote(replica: Replica, from: string, nowMs: number, lastIndex = 0): boolean[] {
	const effects = [
		...replica.step({type: 'message', from, body: createVoteRequest(1, lastIndex)}, nowMs),
		...replica.step({type: 'synced', sequence: 99}, nowMs),
	];
	return effects.flatMap(effect => effect.type === 'send' && effect.body.type === 'vote-reply' ? [effect.body.granted] : []);
}
