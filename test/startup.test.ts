import assert from 'node:assert/strict';
import {EventEmitter, once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import process from 'node:process';
import {test} from 'node:test';
import {ProcessFleet, waitUntil} from '../dev/fleet.js';
import {findPort, PortRange} from '../dev/ports.js';
import {startFixture} from './fixture.js';
import {startSystem} from './system.js';

const RANGE = 7;

test('two owners of port ranges that prefer the same range find different ports', async t => {
	const ranges = [await PortRange.claim(RANGE), await PortRange.claim(RANGE)];
	t.after(async () => Promise.all(ranges.map(async range => range.release())));
	const ports = new Set<number>();
	for (let index = 0; index < 20; index++) {
		for (const range of ranges) {
			ports.add(await range.findPort());
		}
	}

	assert.equal(ports.size, 40);
});

test('a range that was released can be claimed again', async () => {
	const first = await PortRange.claim(RANGE);
	const port = await first.findPort();
	await first.release();
	const second = await PortRange.claim(RANGE);
	assert.equal(await second.findPort(), port);
	await second.release();
});

test('a port in use is not returned', async t => {
	const range = await PortRange.claim(RANGE);
	const server = net.createServer();
	const taken = await range.findPort() + 1;
	t.after(async () => {
		server.close();
		await range.release();
	});
	await listen(server, taken);
	assert.equal(await range.findPort(), taken + 1);
});

test('a system whose control host starts but whose operator port is in use is stopped', async t => {
	const {port: taken} = await occupyPort(t);
	const ports: number[] = [];
	const cleanups: Array<() => Promise<void>> = [];
	const after = (handler: () => Promise<void>) => {
		cleanups.push(handler);
	};

	await assert.rejects(startSystem({after}, [], {
		async findPort() {
			ports.push(ports.length === 1 ? taken : await findPort());
			return ports.at(-1)!;
		},
	}), /EADDRINUSE/v);
	for (const cleanUp of cleanups) {
		await cleanUp();
	}

	assert.deepEqual([ports.length, await isInUse(ports[0]!)], [2, false]);
});

test('a fixture whose HTTP port is in use is stopped', async t => {
	const {port: taken} = await occupyPort(t);
	const peer = {address: '127.0.0.1', port: await findPort()};
	await assert.rejects(startFixture({http: {address: '127.0.0.1', port: taken}, peer}), /EADDRINUSE/v);
	assert.equal(await isInUse(peer.port), false);
});

test('a fleet of processes whose first host cannot listen is stopped', async t => {
	const {port: taken} = await occupyPort(t);
	await assert.rejects(ProcessFleet.start({
		controlHosts: 1, entryHosts: 1, engines: 1, plainServers: 0, firstPort: taken,
	}), /host-1 exited with code 1/v);
	assert.ok(!process.getActiveResourcesInfo().includes('ProcessWrap'));
});

test('waiting for a condition that never settles ends at its timeout', async () => {
	const emitter = new EventEmitter();
	const waitForEvent = async () => {
		await once(emitter, 'never');
		return true;
	};

	await assert.rejects(waitUntil(waitForEvent, 'the event', 20), /Timed out after 20 ms while waiting for: the event/v);
});

/** Listens on a port, without responding to requests. */
async function occupyPort(t: {after(handler: () => void): void}): Promise<{port: number}> {
	const server = http.createServer();
	t.after(() => {
		server.close();
		server.closeAllConnections();
	});
	const port = await findPort();
	await listen(server, port);
	return {port};
}

async function listen(server: net.Server, port: number): Promise<void> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, '127.0.0.1', resolve);
	});
}

async function isInUse(port: number): Promise<boolean> {
	return new Promise(resolve => {
		const socket = net.connect(port, '127.0.0.1');
		socket.once('connect', () => {
			socket.destroy();
			resolve(true);
		});
		socket.once('error', () => {
			resolve(false);
		});
	});
}
