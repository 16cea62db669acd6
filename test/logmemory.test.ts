import assert from 'node:assert/strict';
import {type ChildProcess, spawn} from 'node:child_process';
import {
	mkdir, mkdtemp, readdir, readFile, rm, stat, writeFile,
} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {test, type TestContext} from 'node:test';
import {killProcess, waitUntil} from '../dev/fleet.js';
import {findPort} from '../dev/ports.js';
import {ROUTES, SERVICES} from './system.js';

const PROGRAM = path.resolve(import.meta.dirname, '../platform/main.js');
const SETTINGS_VARIABLE = 'CARAWAYHOIST_NODE_FILE';
/** Flags of the control role in `deploy/system.toml`. */
const FLAGS = ['--max-old-space-size=180', '--max-semi-space-size=4'];
/** Resources of the machines that control hosts run on at the users' sites. */
const RESOURCES = {memoryMb: 346, diskMb: 128};
const BYTES_PER_KB = 1024;
const BOUNDS = {
	graceMs: 2000, leaseMs: 500, repeatRatio: 0.2, repeatWindowMs: 10_000, repeatAllowance: 100, announceMs: 1200, catchUpMs: 4000,
};
/** Makes a configuration of about 280 KB, as after four additions of 370 routes. */
const ROUTE_COUNT = 1500;
const VERSIONS = 250;
/** The test is about memory; beside load, hosts take many times as long. */
const CATCH_UP_TIMEOUT_MS = 60_000;

// Guards against control hosts that run out of memory or disk: the log held every configuration several times, and a host
// with an empty disk was sent hundreds of them in one message.
test('control hosts keep within their memory and disk over hundreds of large configurations, and one that lost its disk catches up', async t => {
	const core = await startCore(t);
	for (let version = 1; version <= VERSIONS; version++) {
		await core.publish(version);
	}

	const leader = await core.findLeader();
	const lost = core.hosts.find(host => host !== leader)!;
	await core.wipe(lost);
	await waitUntil(async () => await core.readGauge(lost, 'carawayhoist_publication_version') === VERSIONS, 'the host that lost its disk has caught up', CATCH_UP_TIMEOUT_MS);
	await core.publish(VERSIONS + 1);
	for (const host of core.hosts) {
		const peakMb = await readPeakMb(host.child!);
		assert.ok(peakMb < RESOURCES.memoryMb, `${host.name}: ${peakMb} MB of memory`);
		const diskMb = await measureFolder(host.folder) / 1e6;
		assert.ok(diskMb < RESOURCES.diskMb / 2, `${host.name}: ${diskMb} MB of disk`);
	}
});

type CoreHost = {
	readonly name: string;
	readonly address: string;
	readonly folder: string;
	child: ChildProcess | undefined;
};

/** Starts three control hosts as processes, each at an address of its own. */
async function startCore(t: TestContext) {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'logmemory-'));
	const [peerPort, operatorPort, metricsPort] = [await findPort(), await findPort(), await findPort()];
	const hosts: CoreHost[] = ['127.0.0.2', '127.0.0.3', '127.0.0.4'].map((address, index) => ({
		name: `c${index}`, address, folder: path.join(folder, `c${index}`), child: undefined,
	}));
	const stop = async (host: CoreHost) => {
		if (host.child) {
			await killProcess({
				name: host.name, role: 'control', url: '', child: host.child,
			});
		}
	};

	const start = async (host: CoreHost, firstStart: boolean) => {
		await mkdir(host.folder, {recursive: true});
		const file = path.join(folder, `${host.name}.json`);
		await writeFile(file, JSON.stringify({
			host: host.name,
			dataCentre: 'a',
			role: 'control',
			address: host.address,
			peerPort,
			metricsPort,
			operators: `${host.address}:${operatorPort}`,
			dataFolder: host.folder,
			seeds: hosts.map(({address}) => `${address}:${operatorPort}`),
			firstStart,
			resources: {memoryMb: [RESOURCES.memoryMb], diskMb: [RESOURCES.diskMb]},
			bounds: BOUNDS,
		}));
		host.child = spawn(process.execPath, [...FLAGS, PROGRAM], {env: {[SETTINGS_VARIABLE]: file}, stdio: ['ignore', 'ignore', 'inherit']});
	};

	t.after(async () => {
		await Promise.all(hosts.map(async host => stop(host)));
		await rm(folder, {recursive: true, force: true});
	});
	for (const host of hosts) {
		await start(host, true);
	}

	const readGauge = async (host: CoreHost, name: string) => {
		const text = await (await fetch(`http://${host.address}:${metricsPort}/metrics`)).text();
		return Number(new RegExp(String.raw`^${name} (.*)$`, 'mv').exec(text)?.[1]);
	};

	return {
		hosts,
		readGauge,
		async findLeader() {
			let leader: CoreHost | undefined;
			await waitUntil(async () => {
				for (const host of hosts) {
					leader = await readGauge(host, 'carawayhoist_leads') === 1 ? host : leader;
				}

				return leader !== undefined;
			}, 'a control host leads');
			return leader!;
		},
		async publish(version: number) {
			const body = createConfiguration(version);
			const {address} = hosts[version % hosts.length]!;
			await waitUntil(async () => (await fetch(`http://${address}:${operatorPort}/-/config`, {method: 'PUT', body})).status === 200, `version ${version} is accepted`);
		},
		async wipe(host: CoreHost) {
			await stop(host);
			await rm(host.folder, {recursive: true});
			await start(host, false);
		},
	};
}

function createConfiguration(version: number): string {
	const [route] = ROUTES;
	const routes = Array.from({length: ROUTE_COUNT}, (_, index) => ({...route, name: `read-${index}`, 'path-prefix': `/read-${version}-${index}/`}));
	return JSON.stringify({version, routes, services: SERVICES});
}

/** Returns the most memory that a process has had resident, millions of bytes. Throws if it has exited. */
async function readPeakMb({pid}: ChildProcess): Promise<number> {
	const status = await readFile(`/proc/${pid}/status`, 'utf8');
	return Number(/^VmHWM:\s+(\d+) kB$/mv.exec(status)![1]) * BYTES_PER_KB / 1e6;
}

async function measureFolder(folder: string): Promise<number> {
	const names = await readdir(folder);
	const sizes = await Promise.all(names.map(async name => (await stat(path.join(folder, name))).size));
	return sizes.reduce((sum, size) => sum + size, 0);
}
