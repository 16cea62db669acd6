import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import {createClock} from '../src/base/clock.js';
import {createSilentLoggers} from '../src/base/logger.js';
import {createRandom} from '../src/base/random.js';
import {createReplicationLimits, type ReplicationLimits} from '../src/consensus/limits.js';
import {getEntryBytes} from '../src/consensus/log.js';
import {ConsensusNode} from '../src/consensus/node.js';
import type {ReplicaEffect} from '../src/consensus/effects.js';
import {Replica} from '../src/consensus/replica.js';
import {EMPTY_PERSISTENT_STATE, EMPTY_SNAPSHOT} from '../src/consensus/storage.js';
import type {AppendRequest, Configuration, Member} from '../src/generated/types.js';
import {waitUntil} from '../dev/fleet.js';

const COMMAND_BYTES = 1000;
const APPEND_LIMITS = {appendBytes: 5000, unacknowledgedBytes: 12_000};

// Guards against a leader, and a follower that comes with an empty disk, that run out of memory on a log of large entries.
test('append requests, and the entries sent ahead of replies, are bounded in bytes', () => {
	const leader = startLeader();
	const requests = [
		...leader.propose(100),
		// The peer does not reply, so each heartbeat could carry further entries.
		...Array.from({length: 20}, (_, index) => leader.tick(1000 + (index * 100))).flat(),
	];
	const sizes = requests.map(({entries}) => sumEntries(entries)).filter(bytes => bytes > 0);
	assert.ok(sizes.length > 1);
	assert.ok(sizes.every(bytes => bytes <= APPEND_LIMITS.appendBytes), sizes.join(', '));
	const total = sizes.reduce((sum, bytes) => sum + bytes, 0);
	assert.ok(total <= APPEND_LIMITS.unacknowledgedBytes + APPEND_LIMITS.appendBytes, `${total}`);

	let replicated = 0;
	for (let request = requests.findLast(({entries}) => entries.length > 0); request; request = leader.acknowledge(request).find(({entries}) => entries.length > 0)) {
		replicated = request.previousIndex + request.entries.length;
	}

	assert.equal(replicated, 101);
});

test('an entry that is larger than a request may be is sent alone', () => {
	const leader = startLeader();
	const [request] = leader.propose(3, APPEND_LIMITS.appendBytes * 2);
	assert.equal(request!.entries.length, 1);
});

// Guards against a leader that sends the same entries once for each request of which a reply is still to come.
test('entries that were lost are sent again once, however many later requests the peer rejects', () => {
	const leader = startLeader();
	const lost = [...leader.propose(4), ...leader.tick(1000), ...leader.tick(1100), ...leader.tick(1200)];
	assert.ok(lost.length >= 4);
	const resent = lost.flatMap(({round}) => leader.reject(round, 1)).filter(({entries}) => entries.length > 0);
	assert.deepEqual(resent.map(({previousIndex, entries}) => [previousIndex, entries.length]), [[1, 4]]);
});

// Guards against a log that is compacted only by the number of its entries, which may have any size.
test('the log is compacted before its entries exceed their limit, whatever their number', async t => {
	const limits = createReplicationLimits({memoryBytes: 64e6, diskBytes: 32e6});
	const {node, sync} = await startNode(t, limits);
	const data = new Uint8Array(limits.logBytes / 10);
	for (let count = 0; count < 100; count++) {
		const result = node.propose(data);
		await sync();
		assert.ok(Either.isRight(await result));
		assert.ok(node.replica.logBytes <= limits.logBytes + (data.length * 2), `${node.replica.logBytes} bytes after ${count + 1} proposals`);
	}
});

// Guards against a process that keeps all that waits for a disk that is full or stands still.
test('proposals are refused as not run while the disk does not take the records, and accepted once it does', async t => {
	const limits = createReplicationLimits({memoryBytes: 64e6, diskBytes: 32e6});
	const {node, sync} = await startNode(t, limits);
	const data = new Uint8Array(limits.pendingBytes / 20);
	const results: Array<ReturnType<typeof node.propose>> = [];
	for (let count = 0; count < 100; count++) {
		results.push(node.propose(data));
		await new Promise(setImmediate);
		assert.ok(node.unsyncedBytes <= limits.pendingBytes + (data.length * 2));
	}

	const refused = await results.at(-1)!;
	assert.ok(Either.isLeft(refused) && refused.left.name === 'logBusy' && refused.left.outcome === 'not-run');
	await sync();
	assert.ok(Either.isRight(await results[0]!));
	const accepted = node.propose(data);
	await sync();
	assert.ok(Either.isRight(await accepted));
});

/** Elects a leader of three, one of whose peers is lost, and returns what it sends to the other one, `b`. */
function startLeader() {
	const configuration: Configuration = {voters: ['a', 'b', 'c'].map(name => createMember(name)), outgoing: [], learners: []};
	const replica = new Replica({
		replica: 'a', hard: EMPTY_PERSISTENT_STATE.hard, snapshot: {...EMPTY_SNAPSHOT, configuration}, entries: [], nowMs: 0, random: createRandom(1), limits: APPEND_LIMITS, timing: {heartbeatMs: 100, electionMs: 10_000, clockDrift: 0.05},
	});
	let nowMs = 20_000;
	const run = (effects: readonly ReplicaEffect[]): AppendRequest[] => effects.flatMap(effect => {
		if (effect.type === 'write') {
			return run(replica.step({type: 'synced', sequence: effect.sequence}, nowMs));
		}

		return effect.type === 'send' && effect.to.replica === 'b' && effect.body.type === 'append-request' ? [effect.body] : [];
	});
	const reply = (round: number, success: boolean, matchIndex: number) => run(replica.step({
		type: 'message', from: 'b', body: {
			type: 'append-reply', term: 1, round, success, matchIndex,
		},
	}, nowMs));
	const acknowledge = ({round, previousIndex, entries}: AppendRequest) => reply(round, true, previousIndex + entries.length);
	for (let tickMs = 100; tickMs <= nowMs; tickMs += 100) {
		run(replica.step({type: 'tick'}, tickMs));
	}

	const grant = (preVote: boolean) => run(replica.step({
		type: 'message', from: 'b', body: {
			type: 'vote-reply', term: 1, preVote, granted: true,
		},
	}, nowMs));
	grant(true);
	const first = grant(false);
	assert.equal(replica.role, 'leader');
	for (const request of first) {
		acknowledge(request);
	}

	return {
		acknowledge,
		propose: (count: number, bytes = COMMAND_BYTES) => run(replica.step({type: 'propose', data: Array.from({length: count}, () => new Uint8Array(bytes))}, nowMs)),
		tick(afterMs: number) {
			nowMs = 20_000 + afterMs;
			return run(replica.step({type: 'tick'}, nowMs));
		},
		reject: (round: number, matchIndex: number) => reply(round, false, matchIndex),
	};
}

/** Starts the only voter of a group, whose disk syncs what was written when it is told to. */
async function startNode(t: TestContext, limits: ReplicationLimits) {
	let written = 0;
	const node = new ConsensusNode({
		replica: 'a',
		persistentState: {...EMPTY_PERSISTENT_STATE, snapshot: {...EMPTY_SNAPSHOT, configuration: {voters: [createMember('a')], outgoing: [], learners: []}}},
		storage: {
			write(sequence) {
				written = sequence;
			},
			close: async () => undefined,
		},
		stateMachine: {
			apply: () => undefined, skip: () => undefined, createSnapshot: () => new Uint8Array(10), restore: () => undefined,
		},
		clock: createClock(),
		random: createRandom(1),
		logger: createSilentLoggers()('consensus'),
		limits,
		timing: {heartbeatMs: 20, electionMs: 40, clockDrift: 0.05},
		onLeadershipChange: () => undefined,
		onApplied: () => undefined,
	});
	t.after(async () => node.close());
	const sync = async () => {
		await new Promise(setImmediate);
		node.markSynced(written);
	};

	await waitUntil(async () => {
		await sync();
		return node.replica.isLeaderReady;
	}, 'the node leads');
	return {node, sync};
}

function sumEntries(entries: AppendRequest['entries']): number {
	return entries.reduce((sum, entry) => sum + getEntryBytes(entry), 0);
}

function createMember(replica: string): Member {
	return {
		replica, host: replica, address: '127.0.0.1', port: 1,
	};
}
