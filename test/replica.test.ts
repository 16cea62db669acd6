import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRandom} from '../src/base/random.js';
import {hasQuorum, findQuorumValue} from '../src/consensus/configuration.js';
import {ALL_SAFEGUARDS, type Safeguards} from '../src/consensus/safeguards.js';
import {Replica, type ReplicaEffect, type ReplicaEvent} from '../src/consensus/replica.js';
import {EMPTY_PERSISTENT_STATE, EMPTY_SNAPSHOT} from '../src/consensus/storage.js';
import type {Configuration, ConsensusBody, Member} from '../src/generated/types.js';

const [a, b, c, d] = ['a', 'b', 'c', 'd'].map(name => createMember(name)) as [Member, Member, Member, Member];
const THREE: Configuration = {voters: [a, b, c], outgoing: [], learners: []};

/** Replicas joined by a perfect network; what a test wants lost it leaves out. */
class Cluster {
	readonly replicas = new Map<string, Replica>();
	readonly committed = new Map<string, string[]>();
	readonly cut = new Set<string>();
	nowMs = 0;

	constructor(configuration: Configuration, names: readonly string[], mechanisms: Safeguards = ALL_SAFEGUARDS) {
		for (const [index, name] of names.entries()) {
			this.committed.set(name, []);
			this.replicas.set(name, new Replica({
				replica: name,
				hard: EMPTY_PERSISTENT_STATE.hard,
				snapshot: {...EMPTY_SNAPSHOT, configuration},
				entries: [],
				nowMs: 0,
				random: createRandom(index + 1),
				safeguards: mechanisms,
			}));
		}
	}

	get leader(): Replica | undefined {
		return [...this.replicas.values()].find(replica => replica.role === 'leader' && !this.cut.has(replica.id));
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

		if (effect.type === 'send' && !this.cut.has(name) && !this.cut.has(effect.to.replica) && this.replicas.has(effect.to.replica)) {
			this.step(effect.to.replica, {type: 'message', from: name, body: effect.body});
		}
	}
}

test('one replica, three, five and seven elect one leader and commit', () => {
	for (const count of [1, 3, 5, 7]) {
		const members = Array.from({length: count}, (_, index) => createMember(`r${index}`));
		const cluster = new Cluster({voters: members, outgoing: [], learners: []}, members.map(member => member.replica));
		cluster.advance(3000);
		const leader = cluster.leader!;
		cluster.step(leader.id, propose('x'));
		cluster.advance(300);
		for (const texts of cluster.committed.values()) {
			assert.deepEqual(texts, ['x'], `${count} replicas`);
		}
	}
});

test('a leader that hears no majority steps down, and another follows', () => {
	const cluster = new Cluster(THREE, ['a', 'b', 'c']);
	cluster.advance(3000);
	const old = cluster.leader!;
	cluster.cut.add(old.id);
	cluster.advance(700);
	assert.notEqual(old.role, 'leader');
	cluster.advance(2500);
	assert.ok(cluster.leader);
	assert.notEqual(cluster.leader.id, old.id);
});

test('a leader has no authority once its lease is over, even before it notices', () => {
	const cluster = new Cluster(THREE, ['a', 'b', 'c']);
	cluster.advance(3000);
	const leader = cluster.leader!;
	assert.ok(leader.getLeaseExpiryMs(cluster.nowMs) > cluster.nowMs);
	// A paused process runs no timer: only the time is later.
	assert.ok(leader.getLeaseExpiryMs(cluster.nowMs) < cluster.nowMs + leader.timing.electionMs);
});

test('a cut-off replica that comes back does not depose the leader (pre-vote)', () => {
	const cluster = new Cluster(THREE, ['a', 'b', 'c']);
	cluster.advance(3000);
	const leader = cluster.leader!;
	const {term} = leader;
	const other = ['a', 'b', 'c'].find(name => name !== leader.id)!;
	cluster.cut.add(other);
	cluster.advance(5000);
	cluster.cut.delete(other);
	cluster.advance(2000);
	assert.equal(cluster.leader?.id, leader.id);
	assert.equal(leader.term, term);
});

test('a reply waits for the disk, and does not without the mechanism', () => {
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

test('a restarted replica keeps its vote', () => {
	const replica = createReplica('a');
	const effects = replica.step({type: 'message', from: 'b', body: voteRequest(1)}, 5000);
	const writes = effects.flatMap(effect => effect.type === 'write' ? effect.records : []);
	const hard = writes.findLast(record => record.type === 'hard')!;
	assert.deepEqual(hard.state, {term: 1, vote: 'b'});
	const again = createReplica('a', ALL_SAFEGUARDS, hard.state);
	assert.deepEqual(grantsOf(again, 'c', 5000), [false]);
	assert.deepEqual(grantsOf(again, 'b', 5000), [true]);
});

test('a restarted replica grants no vote for one election timeout: it may have promised a lease', () => {
	for (const respectLease of [true, false]) {
		const replica = createReplica('a', {...ALL_SAFEGUARDS, respectLease});
		assert.deepEqual(grantsOf(replica, 'b', 100), [!respectLease]);
	}
});

test('a replica that is in no configuration starts no election and is granted no vote', () => {
	const stranger = createReplica('stranger');
	assert.deepEqual(stranger.step({type: 'tick'}, 60_000), []);
	assert.deepEqual(grantsOf(createReplica('a'), 'stranger', 5000), []);
	assert.deepEqual(grantsOf(createReplica('a'), 'b', 5000), [true]);
});

test('entries of an older term are not committed by counting, and are without the mechanism', () => {
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

test('a read waits for a majority that confirms the leader after it came in, and does not without the mechanism', () => {
	for (const confirmReads of [true, false]) {
		const cluster = new Cluster(THREE, ['a', 'b', 'c'], {...ALL_SAFEGUARDS, confirmReads});
		cluster.advance(3000);
		const leader = cluster.leader!;
		cluster.cut.add(leader.id);
		const isAnswered = cluster.step(leader.id, {type: 'read', id: 1}).some(effect => effect.type === 'read');
		assert.equal(isAnswered, !confirmReads);
	}
});

test('leadership is handed over within a round trip', () => {
	const cluster = new Cluster(THREE, ['a', 'b', 'c']);
	cluster.advance(3000);
	const old = cluster.leader!;
	cluster.step(old.id, {type: 'transfer-leadership'});
	assert.ok(cluster.leader);
	assert.notEqual(cluster.leader.id, old.id);
	assert.equal(old.getLeaseExpiryMs(cluster.nowMs), Number.NEGATIVE_INFINITY);
});

test('a hand-over that came to nothing ends in an election', () => {
	// Found by the fuzzer, seed 16: a leader whose hand-over was lost led on for ever without a lease.
	const cluster = new Cluster(THREE, ['a', 'b', 'c']);
	cluster.advance(3000);
	const old = cluster.leader!;
	const target = old.step({type: 'transfer-leadership'}, cluster.nowMs).find(effect => effect.type === 'send');
	assert.equal(target?.body.type, 'timeout-now');
	cluster.advance(5000);
	const leader = cluster.leader!;
	assert.ok(leader.getLeaseExpiryMs(cluster.nowMs) > cluster.nowMs);
});

test('a lagging replica is brought up by a snapshot', () => {
	const cluster = new Cluster(THREE, ['a', 'b', 'c']);
	cluster.advance(3000);
	const leader = cluster.leader!;
	const other = ['a', 'b', 'c'].find(name => name !== leader.id)!;
	cluster.cut.add(other);
	for (let index = 0; index < 20; index++) {
		cluster.step(leader.id, propose(`x${index}`));
	}

	cluster.step(leader.id, {type: 'compact', index: leader.commitIndex, data: new Uint8Array([7])});
	assert.equal(leader.logLength, 0);
	cluster.cut.delete(other);
	cluster.advance(4000);
	assert.equal(cluster.replicas.get(other)!.snapshotIndex, leader.snapshotIndex);
	assert.equal(cluster.replicas.get(other)!.commitIndex, leader.commitIndex);
});

test('a swap in one step has quorums that do not meet; a joint configuration has none such', () => {
	const old: Configuration = THREE;
	const swapped: Configuration = {voters: [a, c, d], outgoing: [], learners: []};
	const joint: Configuration = {...swapped, outgoing: THREE.voters};
	const left = new Set(['a', 'b']);
	const right = new Set(['c', 'd']);
	assert.ok(hasQuorum(old, name => left.has(name)) && hasQuorum(swapped, name => right.has(name)));
	assert.ok(!hasQuorum(joint, name => right.has(name)));
	assert.equal(findQuorumValue(joint, name => ({
		a: 9, b: 9, c: 1, d: 1,
	})[name] ?? 0), 1);
});

test('a new voter takes over through learner and joint configuration', () => {
	const cluster = new Cluster(THREE, ['a', 'b', 'c', 'd']);
	// The fourth replica starts blank.
	cluster.replicas.set('d', new Replica({
		replica: 'd', hard: EMPTY_PERSISTENT_STATE.hard, snapshot: EMPTY_SNAPSHOT, entries: [], nowMs: 0, random: createRandom(4),
	}));
	cluster.advance(3000);
	const leader = cluster.leader!;
	const removed = THREE.voters.find(member => member.replica !== leader.id)!;
	cluster.step(leader.id, {type: 'propose-configuration', configuration: {...THREE, learners: [d]}});
	cluster.advance(500);
	const voters = [...THREE.voters.filter(member => member !== removed), d];
	cluster.step(leader.id, {type: 'propose-configuration', configuration: {voters, outgoing: THREE.voters, learners: []}});
	cluster.advance(500);
	assert.deepEqual(leader.configuration, {voters, outgoing: [], learners: []});
	assert.equal(cluster.replicas.get('d')!.commitIndex, leader.commitIndex);
});

function createMember(replica: string): Member {
	return {
		replica, host: replica, address: '127.0.0.1', port: 1,
	};
}

function createReplica(replica: string, mechanisms: Safeguards = ALL_SAFEGUARDS, hard = EMPTY_PERSISTENT_STATE.hard): Replica {
	return new Replica({
		replica, hard, snapshot: {...EMPTY_SNAPSHOT, configuration: THREE}, entries: [], nowMs: 0, random: createRandom(1), safeguards: mechanisms,
	});
}

function propose(text: string): ReplicaEvent {
	return {type: 'propose', data: [new TextEncoder().encode(text)]};
}

function voteRequest(term: number): ConsensusBody {
	return {
		type: 'vote-request', term, preVote: false, transfer: false, lastIndex: 0, lastTerm: 0,
	};
}

function grantsOf(replica: Replica, from: string, nowMs: number): boolean[] {
	const effects = [
		...replica.step({type: 'message', from, body: voteRequest(1)}, nowMs),
		...replica.step({type: 'synced', sequence: 99}, nowMs),
	];
	return effects.flatMap(effect => effect.type === 'send' && effect.body.type === 'vote-reply' ? [effect.body.granted] : []);
}
