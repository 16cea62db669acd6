import assert from 'node:assert/strict';
import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {test, type TestContext} from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import {Registry} from 'prom-client';
import {waitUntil} from '../dev/fleet.js';
import {findPort} from '../dev/ports.js';
import {PlatformOrderTransport} from '../platform/orders.js';
import {PlatformProtocol} from '../platform/protocol.js';
import {createClock, sleep} from '../src/base/clock.js';
import {createSilentLoggers} from '../src/base/logger.js';
import {createRandom} from '../src/base/random.js';
import {createControlMetrics} from '../src/control/metrics.js';
import {ControlHost} from '../src/daemon/controlhost.js';
import type {Message} from '../src/generated/types.js';
import type {Address, Connection} from '../src/wire/connection.js';
import {createRequest} from './pool.js';

const VOTERS = 5;
/** The platform counts on a successor after this time, as on the users' sites. */
const CATCH_UP_MS = 4000;
const ANNOUNCE_MS = 1200;

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

/** Starts control hosts in this process and waits until all are members. */
async function startCore(t: TestContext) {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'core-'));
	const hosts = new Map<number, ControlHost>();
	const metrics = Array.from({length: VOTERS + 1}, () => createControlMetrics(new Registry()));
	const addresses: Address[] = [];
	const port = await findPort();
	// Each control host has an address of its own, by which the others recognize it at the first start.
	for (let index = 0; index <= VOTERS; index++) {
		addresses.push({address: `127.0.0.${index + 1}`, port});
	}

	const clock = createClock();
	const start = async (index: number) => {
		const host = await ControlHost.start({
			host: `c${index}`,
			dataCentre: 'a',
			peerAddress: addresses[index]!,
			dataFolder: path.join(folder, `c${index}`),
			seeds: addresses.slice(0, 3),
			firstStart: index < VOTERS,
			clock,
			random: createRandom(index),
			loggers: createSilentLoggers(),
			metrics: metrics[index]!,
			protocol: new PlatformProtocol(),
			createOrderTransport: findServer => new PlatformOrderTransport(`c${index}`, clock, findServer),
			leaseMs: 500,
			announceIntervalMs: ANNOUNCE_MS,
			catchUpMs: CATCH_UP_MS,
		});
		assert.ok(Either.isRight(host));
		hosts.set(index, host.right);
		return addresses[index]!;
	};

	const stop = async (index: number) => {
		await hosts.get(index)?.close();
		hosts.delete(index);
	};

	t.after(async () => {
		await Promise.all([...hosts.keys()].map(async index => stop(index)));
		await rm(folder, {recursive: true, force: true});
	});
	for (let index = 0; index < VOTERS; index++) {
		await start(index);
	}

	const listVoters = (index: number) => hosts.get(index)!.listVoters().map(({address}) => address);
	await waitUntil(async () => [...hosts.keys()].every(index => listVoters(index).length === VOTERS && hosts.get(index)!.hasQuorum), 'all control hosts are members');
	const findLeader = async () => {
		let leader = -1;
		await waitUntil(async () => {
			const gauges = await Promise.all(metrics.map(async ({isLeader}) => isLeader.get()));
			leader = gauges.findIndex(({values}) => values[0]?.value === 1);
			return leader !== -1;
		}, 'a control host leads');
		return leader;
	};

	return {
		addresses, start, stop, listVoters, findLeader, getHost: (index: number) => hosts.get(index)!,
	};
}
