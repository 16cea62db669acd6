import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRandom} from '../src/base/random.js';
import type {ReplicaEvent} from '../src/consensus/effects.js';
import {Replica} from '../src/consensus/replica.js';
import {applyRecords, EMPTY_PERSISTENT_STATE, EMPTY_SNAPSHOT} from '../src/consensus/storage.js';
import type {Configuration, ConsensusBody} from '../src/generated/types.js';

const NAMES = ['a', 'b', 'c', 'd', 'e'];
const CONFIGURATION: Configuration = {
	voters: NAMES.map(replica => ({
		replica, host: replica, address: '127.0.0.1', port: 1,
	})), outgoing: [], learners: [],
};
const TICK_MS = 20;
const ELECTION_MS = 600;
/** Time in which a former leader asks each replica at least once, with a margin. */
const RECLAIM_MS = 200;

/** Replicas whose disks sync at once and whose messages arrive with the next tick. */
class Cluster {
	readonly replicas = new Map<string, Replica>();
	readonly leaders: string[] = [];
	nowMs = 0;
	readonly #states = new Map(NAMES.map(name => [name, {...EMPTY_PERSISTENT_STATE, snapshot: {...EMPTY_SNAPSHOT, configuration: CONFIGURATION}}]));
	#messages: Array<{readonly from: string; readonly to: string; readonly body: ConsensusBody}> = [];

	start(...names: readonly string[]): void {
		for (const name of names) {
			const {hard, snapshot, entries} = this.#states.get(name)!;
			this.replicas.set(name, new Replica({
				replica: name, hard, snapshot, entries, nowMs: this.nowMs, random: createRandom(NAMES.indexOf(name) + 1),
			}));
		}
	}

	stop(...names: readonly string[]): void {
		for (const name of names) {
			this.replicas.delete(name);
		}
	}

	advance(durationMs: number): void {
		const untilMs = this.nowMs + durationMs;
		while (this.nowMs < untilMs) {
			this.nowMs += TICK_MS;
			const messages = this.#messages;
			this.#messages = [];
			for (const {from, to, body} of messages) {
				this.#step(to, {type: 'message', from, body});
			}

			for (const name of this.replicas.keys()) {
				this.#step(name, {type: 'tick'});
			}
		}
	}

	/** Stores a hard state as a process leaves it behind. */
	setHardState(name: string, term: number, vote: string): void {
		this.#states.set(name, {...this.#states.get(name)!, hard: {term, vote}});
	}

	#step(name: string, event: ReplicaEvent): void {
		for (const effect of this.replicas.get(name)?.step(event, this.nowMs) ?? []) {
			if (effect.type === 'role' && effect.role === 'leader') {
				this.leaders.push(name);
			} else if (effect.type === 'write') {
				this.#states.set(name, applyRecords(this.#states.get(name)!, effect.records));
				this.#step(name, {type: 'synced', sequence: effect.sequence});
			} else if (effect.type === 'send') {
				this.#messages.push({from: name, to: effect.to.replica, body: effect.body});
			}
		}
	}
}

// Guards against an outage that lasts an election timeout longer than it must after all control hosts were killed or lost power.
test('after all replicas have restarted, the former leader leads again before an election timeout has passed', () => {
	const cluster = startCluster();
	cluster.stop(...NAMES);
	cluster.advance(400);
	// They start one after the other, the former leader first.
	cluster.start('a');
	cluster.start(...NAMES.filter(name => name === cluster.leaders[0]));
	cluster.advance(100);
	cluster.start(...NAMES.filter(name => !cluster.replicas.has(name)));
	cluster.advance(RECLAIM_MS);
	assert.deepEqual(cluster.leaders, [cluster.leaders[0], cluster.leaders[0]]);
});

// Guards against two leaders with a lease at the same time: one that others still follow must not lose their votes.
test('a replica that voted for itself but did not lead does not pass over the lease of a leader when it restarts', () => {
	const cluster = startCluster();
	const [leader] = cluster.leaders;
	const other = NAMES.find(name => name !== leader)!;
	cluster.stop(other);
	cluster.setHardState(other, cluster.replicas.get(leader!)!.term, other);
	cluster.start(other);
	cluster.advance(ELECTION_MS * 2);
	assert.deepEqual(cluster.leaders, [leader]);
});

// Guards against a former leader that deposes its successor.
test('a former leader that restarts while another one leads follows it', () => {
	const cluster = startCluster();
	const [former] = cluster.leaders;
	cluster.stop(former!);
	cluster.advance(3000);
	assert.equal(cluster.leaders.length, 2);
	const {term} = cluster.replicas.get(cluster.leaders[1]!)!;
	cluster.start(former!);
	cluster.advance(ELECTION_MS * 2);
	assert.equal(cluster.leaders.length, 2);
	assert.deepEqual({leader: cluster.replicas.get(former!)!.leader, term: cluster.replicas.get(former!)!.term}, {leader: cluster.leaders[1], term});
});

/** Starts all replicas and waits until they have elected their first leader. */
function startCluster(): Cluster {
	const cluster = new Cluster();
	cluster.start(...NAMES);
	cluster.advance(3000);
	assert.equal(cluster.leaders.length, 1);
	return cluster;
}
