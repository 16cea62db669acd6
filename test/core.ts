/**
 * Five control hosts in one process, each at a loopback address of its own.
 *
 * @module
 */
import assert from 'node:assert/strict';
import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import type {TestContext} from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import {Registry} from 'prom-client';
import {waitUntil} from '../dev/fleet.js';
import {findPort} from '../dev/ports.js';
import {PlatformOrderTransport} from '../platform/orders.js';
import {PlatformProtocol} from '../platform/protocol.js';
import {createClock} from '../src/base/clock.js';
import {createSilentLoggers} from '../src/base/logger.js';
import {createRandom} from '../src/base/random.js';
import type {MachineResources} from '../src/consensus/limits.js';
import {createControlMetrics} from '../src/control/metrics.js';
import {ControlHost, type ControlHostOptions} from '../src/daemon/controlhost.js';
import type {Address} from '../src/wire/connection.js';

export const VOTERS = 5;
/** The platform counts on a successor after this time, as on the users' sites. */
export const CATCH_UP_MS = 4000;
const ANNOUNCE_MS = 1200;

/** Starts control hosts in this process and waits until all are members. They are stopped after the test. */
export async function startCore(t: TestContext, resources?: MachineResources, getOptions: (index: number) => Partial<ControlHostOptions> = () => ({})) {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'core-'));
	const getFolder = (index: number) => path.join(folder, `c${index}`);
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
			dataFolder: getFolder(index),
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
			...(resources && {resources}),
			...getOptions(index),
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
		addresses, start, stop, listVoters, findLeader, getFolder, getHost: (index: number) => hosts.get(index)!,
	};
}
