import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import {waitUntil} from '../dev/fleet.js';
import {sleep} from '../src/base/clock.js';
import type {Message} from '../src/generated/types.js';
import type {Connection} from '../src/wire/connection.js';
import {CATCH_UP_MS, startCore, VOTERS} from './core.js';
import {createRequest} from './pool.js';

// Guards against an acknowledged configuration that is lost with two disks after a control host was replaced: until the
// successor votes, the lost voter still counts, and two more losses leave no majority.
for (const {lost, delayMs} of [{lost: 'follower', delayMs: 0}, {lost: 'leader', delayMs: 1000}]) {
	test(`a successor at another address takes the seat of a lost ${lost} within the catch-up time`, async t => {
		const core = await startCore(t);
		const leader = await core.findLeader();
		const index = lost === 'leader' ? leader : (leader + 1) % VOTERS;
		await core.stop(index);
		await sleep(delayMs);
		const startedMs = performance.now();
		const successor = await core.start(VOTERS);
		const witness = (index + 1) % VOTERS;
		await waitUntil(async () => core.listVoters(witness).includes(successor.address) && core.listVoters(witness).length === VOTERS, 'the successor votes', CATCH_UP_MS * 3);
		const tookMs = performance.now() - startedMs;
		assert.ok(tookMs < CATCH_UP_MS, `${Math.round(tookMs)} ms`);
	});
}

// Guards against a control host that never votes again: it was replaced while it was unreachable, so its own log still
// names it as a voter.
test('a control host that was replaced while it was away takes the seat of the next one that is lost', async t => {
	const core = await startCore(t);
	const leader = await core.findLeader();
	const [replaced, lost, witness] = [1, 2, 3].map(offset => (leader + offset) % VOTERS) as [number, number, number];
	const awaitVoters = async (...indices: number[]) => waitUntil(async () => {
		const voters = core.listVoters(witness);
		return voters.length === VOTERS && indices.every(index => voters.includes(core.addresses[index]!.address));
	}, `${indices.join(' and ')} vote`, CATCH_UP_MS * 2);
	await core.stop(replaced);
	await core.start(VOTERS);
	await awaitVoters(VOTERS);
	await core.start(replaced);
	await core.stop(lost);
	await awaitVoters(VOTERS, replaced);
	await waitUntil(async () => core.listVoters(replaced).includes(core.addresses[VOTERS]!.address), 'the host that has come back knows who votes');
});

// Guards against streams that are joined from two versions: a version may have come and begun them behind the cut.
test('a control host that was without a majority does not take the only version that it knows for the one that began a stream', async t => {
	const core = await startCore(t);
	const [witness, ...others] = [0, 1, 2, 3] as const;
	const host = core.getHost(witness);
	const isOriginUnknown = () => {
		const replies: Message[] = [];
		const connection = {send: (message: Message) => replies.push(message)} as unknown as Connection;
		host.receive({...createRequest('next', 100, {resumption: {}}), type: 'offer'} as Message, connection);
		return replies.some(reply => reply.type === 'rejection' && reply.isOriginUnknown === true);
	};

	assert.ok(Either.isRight(host.handleAnnouncement({
		server: 'e1', kind: 'engine', services: ['llm'], software: 'v1', address: '10.0.0.1', port: 80, incarnation: 1, sequence: 1,
	})));
	assert.equal(isOriginUnknown(), false);
	for (const index of others) {
		await core.stop(index);
	}

	await waitUntil(async () => !host.hasQuorum, 'the majority is lost');
	await sleep(1500);
	for (const index of others) {
		await core.start(index);
	}

	await waitUntil(async () => host.hasQuorum, 'the majority is back');
	assert.equal(isOriginUnknown(), true);
});
