import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRandom} from '../src/base/random.js';
import type {ReplicaEffect, ReplicaEvent} from '../src/consensus/effects.js';
import {Replica} from '../src/consensus/replica.js';
import {EMPTY_PERSISTENT_STATE, EMPTY_SNAPSHOT} from '../src/consensus/storage.js';
import type {
	Configuration, ConsensusBody, Entry, Member,
} from '../src/generated/types.js';

const NAMES = ['a', 'b', 'c', 'd', 'e'] as const;
const CONFIGURATION: Configuration = {voters: NAMES.map(name => createMember(name)), outgoing: [], learners: []};
const TICK_MS = 20;
const ELECTION_MS = 600;

type Conditions = {
	/** Time that a message with entries or a snapshot is on its way; later messages of its channel wait behind it. */
	bulkTransitMs: number;
	/** Time from a write to its sync. */
	syncMs: number;
};

/** Replicas on a network and on disks that are slow for large data only. */
class SlowCluster {
	readonly replicas = new Map<string, Replica>();
	readonly conditions: Conditions = {bulkTransitMs: 0, syncMs: 0};
	readonly stopped = new Set<string>();
	/** Every change of the leader. */
	readonly leaders: string[] = [];
	readonly sent: Array<{readonly to: string; readonly body: ConsensusBody}> = [];
	nowMs = 0;
	readonly #due: Array<{atMs: number; sequence: number; run: () => void}> = [];
	readonly #channelFreeMs = new Map<string, number>();
	#sequence = 0;

	constructor() {
		for (const [index, name] of NAMES.entries()) {
			this.replicas.set(name, new Replica({
				replica: name,
				hard: EMPTY_PERSISTENT_STATE.hard,
				snapshot: {...EMPTY_SNAPSHOT, configuration: CONFIGURATION},
				entries: [],
				nowMs: 0,
				random: createRandom(index + 1),
			}));
		}
	}

	get leader(): Replica {
		return this.replicas.get(this.leaders.at(-1)!)!;
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
			this.nowMs += TICK_MS;
			this.#deliver();
			for (const name of NAMES.filter(other => !this.stopped.has(other))) {
				this.step(name, {type: 'tick'});
			}
		}
	}

	/** Proposes a change each 80 ms. */
	propose(count: number): void {
		for (let change = 0; change < count; change++) {
			this.step(this.leader.id, {type: 'propose', data: [new Uint8Array(1000)]});
			this.advance(80);
		}
	}

	#deliver(): void {
		this.#due.sort((a, b) => a.atMs - b.atMs || a.sequence - b.sequence);
		while (this.#due[0] && this.#due[0].atMs <= this.nowMs) {
			this.#due.shift()!.run();
		}
	}

	#schedule(atMs: number, run: () => void): void {
		this.#due.push({atMs, sequence: this.#sequence++, run});
	}

	#run(name: string, effect: ReplicaEffect): void {
		if (effect.type === 'role' && effect.role === 'leader') {
			this.leaders.push(name);
		}

		if (effect.type === 'write') {
			// What is small, as a vote, is synced at once.
			const delayMs = effect.records.some(({type}) => type === 'entries' || type === 'snapshot') ? this.conditions.syncMs : 0;
			this.#schedule(this.nowMs + delayMs, () => {
				this.step(name, {type: 'synced', sequence: effect.sequence});
			});
		}

		if (effect.type === 'send') {
			const {body, to, channel} = effect;
			this.sent.push({to: to.replica, body});
			const key = `${name}>${to.replica} ${channel}`;
			const isBulk = body.type === 'install-request' || (body.type === 'append-request' && body.entries.length > 0);
			const startMs = Math.max(this.nowMs, this.#channelFreeMs.get(key) ?? 0);
			const atMs = startMs + (isBulk ? this.conditions.bulkTransitMs : 0);
			this.#channelFreeMs.set(key, atMs);
			this.#schedule(atMs, () => {
				if (!this.stopped.has(to.replica)) {
					this.step(to.replica, {type: 'message', from: name, body});
				}
			});
		}
	}
}

// Guards against a leader that gives up because its heartbeats wait behind large entries on the way to its followers.
test('a leader stays while its entries are on their way for longer than an election timeout', () => {
	const cluster = startCluster();
	cluster.conditions.bulkTransitMs = ELECTION_MS * 2;
	cluster.propose(50);
	cluster.advance(3000);
	assert.deepEqual(cluster.leaders.slice(1), []);
});

// Guards against a leader that gives up because its followers answer heartbeats only once their disks have taken earlier entries.
test('a leader stays while the disks of its followers take longer than an election timeout', () => {
	const cluster = startCluster();
	cluster.conditions.syncMs = ELECTION_MS * 3;
	cluster.propose(50);
	assert.deepEqual(cluster.leaders.slice(1), []);
	cluster.advance(20_000);
	assert.equal(cluster.leader.commitIndex, cluster.leader.lastIndex);
});

// Guards against a follower that gets no heartbeat, and counts as lost, while a snapshot is on its way to it.
test('a follower to which a snapshot is on its way counts as alive, and the snapshot is sent once', () => {
	const cluster = startCluster();
	const lagging = NAMES.find(name => name !== cluster.leader.id)!;
	cluster.stopped.add(lagging);
	cluster.propose(10);
	cluster.step(cluster.leader.id, {type: 'compact', index: cluster.leader.commitIndex, data: new Uint8Array(1)});
	cluster.stopped.delete(lagging);
	cluster.conditions.bulkTransitMs = 1500;
	cluster.sent.length = 0;
	for (let waitedMs = 200; waitedMs < 1500; waitedMs += 100) {
		cluster.advance(100);
		assert.ok(waitedMs < 500 || cluster.leader.getProgress(lagging, cluster.nowMs).alive, `alive after ${waitedMs} ms`);
	}

	cluster.advance(1500);
	assert.equal(cluster.replicas.get(lagging)!.lastIndex, cluster.leader.lastIndex);
	assert.equal(cluster.sent.filter(({to, body}) => to === lagging && body.type === 'install-request').length, 1);
	assert.deepEqual(cluster.leaders.slice(1), []);
});

// Guards against a reply that acknowledges entries, or a snapshot, before the disk has taken them.
test('an early reply confirms the leader, but no entry that is not synced', () => {
	const cluster = startCluster();
	cluster.advance(500);
	const follower = NAMES.find(name => name !== cluster.leader.id)!;
	const {lastIndex} = cluster.leader;
	cluster.conditions.syncMs = 5000;
	cluster.sent.length = 0;
	cluster.step(cluster.leader.id, {type: 'propose', data: [new Uint8Array(10)]});
	cluster.advance(1000);
	const replies = cluster.sent.flatMap(({to, body}) => to === cluster.leader.id && body.type === 'append-reply' ? [body.matchIndex] : []);
	assert.ok(replies.length > 0);
	assert.ok(replies.every(matchIndex => matchIndex <= lastIndex), replies.join(', '));
	assert.equal(cluster.leader.getProgress(follower, cluster.nowMs).alive, true);
	assert.equal(cluster.leader.commitIndex, lastIndex);
});

// Guards against a process that ran late and starts an election before it has read the heartbeats that wait in its sockets.
test('a follower that ran late first reads what has arrived', () => {
	const cluster = startCluster();
	const follower = NAMES.find(name => name !== cluster.leader.id)!;
	cluster.nowMs += ELECTION_MS * 2;
	const isRequest = (effect: ReplicaEffect) => effect.type === 'send' && effect.body.type === 'vote-request';
	assert.equal(cluster.replicas.get(follower)!.step({type: 'tick'}, cluster.nowMs).some(effect => isRequest(effect)), false);
	const {nowMs: resumedMs} = cluster;
	let hasRequested = false;
	while (!hasRequested && cluster.nowMs < resumedMs + ELECTION_MS) {
		cluster.nowMs += TICK_MS;
		hasRequested = cluster.replicas.get(follower)!.step({type: 'tick'}, cluster.nowMs).some(effect => isRequest(effect));
	}

	assert.ok(hasRequested);
});

// Guards against an election timeout that is shorter than the silences that a busy machine causes without any fault.
test('the election timeout follows the silences that were measured, within a bound', () => {
	const measure = (gapMs: number) => {
		const cluster = startCluster();
		const follower = cluster.replicas.get(NAMES.find(name => name !== cluster.leader.id)!)!;
		let {nowMs} = cluster;
		const run = (event: ReplicaEvent) => {
			for (const effect of follower.step(event, nowMs)) {
				if (effect.type === 'send' && effect.body.type === 'vote-request') {
					return true;
				}
			}

			return false;
		};

		for (let heartbeat = 0; heartbeat < 5; heartbeat++) {
			run({
				type: 'message', from: cluster.leader.id, body: {
					type: 'append-request', term: follower.term, round: 1000 + heartbeat, previousIndex: 0, previousTerm: 0, commitIndex: 0, entries: [],
				},
			});
			for (let waitedMs = 0; waitedMs < gapMs; waitedMs += TICK_MS) {
				nowMs += TICK_MS;
				run({type: 'tick'});
			}
		}

		const silentSinceMs = nowMs;
		do {
			nowMs += TICK_MS;
		} while (!run({type: 'tick'}));

		return nowMs - silentSinceMs;
	};

	const calmMs = measure(100);
	const busyMs = measure(400);
	assert.ok(calmMs <= ELECTION_MS * 2, `${calmMs} ms`);
	assert.ok(busyMs > ELECTION_MS * 1.2, `${busyMs} ms`);
	assert.ok(busyMs <= ELECTION_MS * 3.5, `${busyMs} ms`);
});

// Guards against entries that a closed connection has lost and that are never retransmitted.
test('what a closed connection may have lost is sent again from the first entry that is not acknowledged', () => {
	const cluster = startCluster();
	const follower = NAMES.find(name => name !== cluster.leader.id)!;
	cluster.advance(500);
	const {lastIndex} = cluster.leader;
	cluster.conditions.bulkTransitMs = 100_000;
	cluster.propose(3);
	cluster.sent.length = 0;
	cluster.step(cluster.leader.id, {type: 'log-channel-closed', peer: follower});
	cluster.advance(200);
	const resent = cluster.sent.flatMap(({to, body}) => to === follower && body.type === 'append-request' && body.entries.length > 0 ? [body] : []);
	assert.deepEqual(resent.map(({previousIndex, entries}) => [previousIndex, entries.length]), [[lastIndex, 3]]);
});

// Guards against a transfer that fails at a planned stop, because the successor lacks entries that are still on their way to it.
test('a successor is asked to take over behind the entries that are on their way to it', () => {
	const cluster = startCluster();
	cluster.conditions.bulkTransitMs = 200;
	const {leader: previous} = cluster;
	cluster.step(previous.id, {type: 'propose', data: [new Uint8Array(1000)]});
	const {lastIndex} = previous;
	cluster.step(previous.id, {type: 'transfer-leadership'});
	cluster.advance(180);
	assert.deepEqual(cluster.leaders.slice(1), []);
	cluster.advance(200);
	assert.equal(cluster.leaders.length, 2);
	assert.ok(cluster.leader.lastIndex > lastIndex);
});

// Guards against a follower that keeps a reply for every request of a leader while its disk does not respond.
test('a follower whose disk does not respond keeps one reply, which acknowledges all that the disk takes later', () => {
	const follower = new Replica({
		replica: 'b', hard: {term: 1, vote: ''}, snapshot: {...EMPTY_SNAPSHOT, configuration: CONFIGURATION}, entries: [], nowMs: 0, random: createRandom(1),
	});
	const receive = (round: number, previousIndex: number, entries: Entry[]) => follower.step({
		type: 'message', from: 'a', body: {
			type: 'append-request', term: 1, round, previousIndex, previousTerm: previousIndex === 0 ? 0 : 1, commitIndex: 0, entries,
		},
	}, round);
	const write = receive(1, 0, [{type: 'noop', index: 1, term: 1}]).find(effect => effect.type === 'write');
	for (let round = 2; round < 1000; round++) {
		receive(round, 1, []);
	}

	const replies = follower.step({type: 'synced', sequence: write!.sequence}, 1000).flatMap(effect => effect.type === 'send' ? [effect.body] : []);
	assert.deepEqual(replies, [{
		type: 'append-reply', term: 1, round: 999, success: true, matchIndex: 1,
	}]);
});

/** Starts a cluster that has elected its first leader. */
function startCluster(): SlowCluster {
	const cluster = new SlowCluster();
	cluster.advance(3000);
	assert.equal(cluster.leaders.length, 1);
	return cluster;
}

function createMember(replica: string): Member {
	return {
		replica, host: replica, address: '127.0.0.1', port: 1,
	};
}
