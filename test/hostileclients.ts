/**
 * Clients that don't keep to the limits, and the processes that they are sent to: a control host and an entry host of the platform's
 * program on loopback addresses.
 *
 * @module
 */
import assert from 'node:assert/strict';
import type {Buffer} from 'node:buffer';
import {spawn, type ChildProcess} from 'node:child_process';
import {
	mkdtemp, readdir, readFile, rm, writeFile,
} from 'node:fs/promises';
import net, {type Socket} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fetch} from 'undici';
import {waitUntil} from '../dev/fleet.js';
import {findPort} from '../dev/ports.js';
import {StubBackend, type StubBackendOptions} from './stub.js';
import {ROUTES, SERVICES} from './system.js';

/** Size of the smallest machines of the deployments, except for the descriptors: fewer need fewer connections in the test. */
export const ENTRY_MACHINE = {memoryMb: 202, maxFds: 400};
export const CONTROL_MACHINE = {memoryMb: 346, diskMb: 128, maxFds: 400};
export const MIB = 1024 * 1024;
/** Published limit of a body. */
export const MAX_BODY_BYTES = 2 * MIB;
const PROGRAM = path.resolve(import.meta.dirname, '../platform/main.js');
const ENTRY_FLAGS = ['--max-old-space-size=140', '--max-semi-space-size=4'];
const CONTROL_FLAGS = ['--max-old-space-size=180', '--max-semi-space-size=4'];
const BYTES_PER_MB = 1e6;
const BYTES_PER_KB = 1024;
/** Ends a test whose process hangs. */
const HANG_MS = 60_000;
const POLL_MS = 100;
/** Polls without a byte sent after which a crowd counts as sent. */
const QUIET_POLLS = 10;
const MAX_CROWD_POLLS = 80;

type TestContext = {
	after(handler: () => Promise<void>): void;
};

/** A process of the product and its machine. */
export type Machine = {
	readonly child: ChildProcess;
	readonly memoryMb: number;
	readonly maxFds: number;
};

export type MachinesOptions = {
	/** Options of the plain server. */
	readonly stub?: Partial<StubBackendOptions>;
	/** Published limits of clients. */
	readonly limits?: Record<string, number>;
	/** An engine that is started as well. */
	readonly engine?: StubBackendOptions;
	readonly entryMachine?: typeof ENTRY_MACHINE;
};

/** Starts a control host, an entry host and the servers, and waits until the plain server answers a request. All are stopped after the test. */
export async function startMachines(t: TestContext, {stub, limits, engine, entryMachine = ENTRY_MACHINE}: MachinesOptions = {}) {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'hostile-'));
	const children: ChildProcess[] = [];
	const server = new StubBackend({id: 'p1', service: 'plain', ...stub});
	const servers = engine ? [server, new StubBackend(engine)] : [server];
	t.after(async () => {
		for (const started of servers) {
			started.stop();
		}

		for (const child of children) {
			child.kill('SIGKILL');
		}

		await rm(folder, {recursive: true, force: true});
	});
	const [peerPort, callers, readiness, operators] = [await findPort(), await findPort(), await findPort(), await findPort()];
	const shared = {
		dataCentre: 'a', peerPort, seeds: [`127.0.0.1:${operators}`], firstStart: true,
		bounds: {
			graceMs: 2000, leaseMs: 500, repeatRatio: 0.2, repeatWindowMs: 10_000, repeatAllowance: 100, announceMs: 400,
		},
	};
	const start = async (name: string, flags: string[], settings: Record<string, unknown>) => {
		const file = path.join(folder, `${name}.json`);
		await writeFile(file, JSON.stringify({host: name, ...shared, ...settings}));
		const child = spawn(process.execPath, [...flags, PROGRAM], {env: {CARAWAYHOIST_NODE_FILE: file}, stdio: ['ignore', 'ignore', 'inherit']});
		children.push(child);
		return child;
	};

	const control = await start('c1', CONTROL_FLAGS, {
		role: 'control', address: '127.0.0.1', operators: `127.0.0.1:${operators}`, dataFolder: path.join(folder, 'data'), resources: {memoryMb: [CONTROL_MACHINE.memoryMb], diskMb: [CONTROL_MACHINE.diskMb], maxFds: [CONTROL_MACHINE.maxFds]},
	});
	const entry = await start('h1', ENTRY_FLAGS, {
		role: 'entry', address: '127.0.0.2', callers: `127.0.0.2:${callers}`, readiness: `127.0.0.2:${readiness}`, resources: {memoryMb: [entryMachine.memoryMb], maxFds: [entryMachine.maxFds]},
	});
	await Promise.all(servers.map(async started => started.start()));
	const announce = () => {
		for (const started of servers) {
			void started.announce(`127.0.0.1:${operators}`).catch(() => undefined);
		}
	};

	const timer = setInterval(announce, 300);
	t.after(async () => {
		clearInterval(timer);
	});
	const publication = JSON.stringify({
		version: 1, routes: ROUTES.map(route => ({...route, 'timeout-ms': HANG_MS})), services: SERVICES, limits: {'max-body-bytes': MAX_BODY_BYTES, ...limits},
	});
	await waitUntil(async () => {
		const response = await fetch(`http://127.0.0.1:${operators}/-/config`, {method: 'PUT', body: publication}).catch(() => undefined);
		return response?.status === 200;
	}, 'the configuration is acknowledged');
	const machines = {
		server,
		entry: {child: entry, ...entryMachine},
		control: {child: control, memoryMb: CONTROL_MACHINE.memoryMb, maxFds: CONTROL_MACHINE.maxFds},
		callers: {host: '127.0.0.2', port: callers},
		readiness: {host: '127.0.0.2', port: readiness},
		operators: {host: '127.0.0.1', port: operators},
		/** Sends ordinary requests until one is answered. */
		async callOnce() {
			await waitForResponse(`http://127.0.0.2:${callers}/read/1`, {host: 'a.example', 'carawayhoist-attempt-id': 'ordinary'});
		},
		async readConfiguration() {
			await waitForResponse(`http://127.0.0.1:${operators}/-/config`);
		},
		async checkReadiness() {
			await waitForResponse(`http://127.0.0.2:${readiness}/-/ready`);
		},
	};
	await machines.callOnce();
	return machines;
}

/** Waits until a request is answered with status 200. A new connection is used for each attempt. */
async function waitForResponse(url: string, headers: Record<string, string> = {}): Promise<void> {
	await waitUntil(async () => {
		try {
			const response = await getOnce(url, headers);
			return response.startsWith('HTTP/1.1 200');
		} catch {
			// The test waits until a request is answered; a refusal or a closed connection is no failure.
			return false;
		}
	}, 'an ordinary request is answered', HANG_MS);
}

async function getOnce(url: string, headers: Record<string, string>): Promise<string> {
	const {hostname, port, pathname, host} = new URL(url);
	const lines = Object.entries({host, ...headers, connection: 'close'}).map(([name, value]) => `${name}: ${value}\r\n`);
	return new Promise((resolve, reject) => {
		let text = '';
		const socket = net.connect({host: hostname, port: Number(port)}, () => {
			socket.write(`GET ${pathname} HTTP/1.1\r\n${lines.join('')}\r\n`);
		});
		socket.setTimeout(5000, () => socket.destroy(new Error('No response.')));
		socket.on('data', chunk => {
			text += String(chunk);
		});
		socket.on('error', reject);
		socket.on('close', () => {
			resolve(text);
		});
	});
}

/** What one client sends, piece by piece; it sends no more once its connection is closed. */
export type Script = (index: number) => Iterable<Buffer | string>;

export type CrowdOptions = {
	readonly count: number;
	readonly script: Script;
	readonly isReading?: boolean;
};

/** Clients that send what their scripts say and leave their connections open. */
export class Crowd {
	readonly sockets: Socket[] = [];
	#sentBytes = 0;

	/**
	 * Connects the clients and sends; returns once nothing is sent any more, or after some seconds.
	 *
	 * The clients read their responses unless `isReading` is false.
	 */
	static async send(t: TestContext, target: {host: string; port: number}, {count, script, isReading = true}: CrowdOptions): Promise<Crowd> {
		const crowd = new Crowd();
		t.after(async () => {
			crowd.close();
		});
		for (let index = 0; index < count; index++) {
			crowd.#start(target, script(index)[Symbol.iterator](), isReading);
		}

		let quietPolls = 0;
		for (let polls = 0; polls < MAX_CROWD_POLLS && quietPolls < QUIET_POLLS; polls++) {
			const sentBytes = crowd.#sentBytes;
			await sleep(POLL_MS);
			quietPolls = crowd.#sentBytes === sentBytes ? quietPolls + 1 : 0;
		}

		return crowd;
	}

	close(): void {
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	#start(target: {host: string; port: number}, pieces: Iterator<Buffer | string, unknown>, isReading: boolean): void {
		const socket = net.connect(target);
		this.sockets.push(socket);
		// A refusal may close the connection while the client is sending.
		socket.on('error', () => undefined);
		if (isReading) {
			socket.resume();
		}

		const sendNext = () => {
			const next = pieces.next();
			if (next.done !== true && !socket.destroyed && socket.writable) {
				socket.write(next.value, () => {
					this.#sentBytes += next.value.length;
					setImmediate(sendNext);
				});
			}
		};

		socket.once('connect', sendNext);
	}
}

/** Checks that a process lives and stays within the memory and the descriptors of its machine; returns the figures. */
export async function checkMachine(name: string, {child, memoryMb, maxFds}: Machine): Promise<string> {
	assert.deepEqual([child.exitCode, child.signalCode], [null, null], `${name} runs`);
	const status = await readFile(`/proc/${child.pid}/status`, 'utf8');
	const peakMb = Number(/^VmHWM:\s+(\d+) kB$/mv.exec(status)![1]) * BYTES_PER_KB / BYTES_PER_MB;
	const descriptors = (await readdir(`/proc/${child.pid}/fd`)).length;
	const figures = `${name}: ${Math.round(peakMb)} MB of ${memoryMb}, ${descriptors} descriptors of ${maxFds}`;
	assert.ok(peakMb <= memoryMb && descriptors <= maxFds, figures);
	return figures;
}
