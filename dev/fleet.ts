/**
 * Starts a fleet of real processes on 127.0.0.1 for the demo, the benchmarks and the tests that start processes.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import {type ChildProcess, spawn} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import type {Peer, Settings} from '../src/generated/types.js';
import {findPort} from './ports.js';

const DIST = path.resolve(import.meta.dirname, '..');
const DAEMON = path.join(DIST, 'src/daemon/carawayhoistd.js');
const FAKE_BACKEND = path.join(DIST, 'fakes/main.js');
const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 50;

/** A running host (entry, or control and entry) or fake backend server. */
export type FleetProcess = {
	readonly name: string;
	readonly role: string;
	readonly url: string;
	readonly child: ChildProcess;
	readonly settingsFile?: string;
	readonly settings?: Settings;
};

export type FleetOptions = {
	readonly controlHosts: number;
	readonly entryHosts: number;
	readonly engines: number;
	readonly plainServers: number;
	/** HTTP port of the first host; 0 selects a free one. */
	readonly firstPort?: number;
	readonly engineArguments?: readonly string[];
	readonly plainServerArguments?: readonly string[];
	readonly logLevel?: Settings['logLevel'];
};

/** A running fleet. The caller that starts it must stop it. */
export class ProcessFleet {
	readonly hosts: FleetProcess[] = [];
	readonly backends: FleetProcess[] = [];
	readonly folder: string;
	#isStopped = false;

	private constructor(folder: string) {
		this.folder = folder;
	}

	/**
	 * Starts every process and waits until all hosts are ready and list all backend servers. Throws if a host exits or is
	 * not ready in time; no process is left running then.
	 */
	static async start(options: FleetOptions): Promise<ProcessFleet> {
		const fleet = new ProcessFleet(await mkdtemp(path.join(os.tmpdir(), 'carawayhoist-')));
		try {
			await fleet.#startAll(options);
		} catch (error) {
			await fleet.stop();
			throw error;
		}

		return fleet;
	}

	async startHost(settings: Settings): Promise<FleetProcess> {
		const settingsFile = path.join(this.folder, `${settings.host}.json`);
		await writeFile(settingsFile, JSON.stringify(settings, undefined, '\t'));
		const child = this.#spawn(settings.host, [DAEMON, '--settings', settingsFile]);
		return {
			name: settings.host, role: settings.roles.join('+'), url: `http://127.0.0.1:${settings.http.port}`, child, settingsFile, settings,
		};
	}

	startBackend(options: {kind: string; name: string; port: number; entries: readonly string[]; extra: readonly string[]}): FleetProcess {
		const {kind, name, port, entries, extra} = options;
		const baseArguments = ['--kind', kind, '--name', name, '--port', String(port)];
		const child = this.#spawn(name, [FAKE_BACKEND, ...baseArguments, ...entries.flatMap(entry => ['--entry', entry]), ...extra]);
		return {
			name, role: kind, url: `http://127.0.0.1:${port}`, child,
		};
	}

	/** Kills a host and starts it again; `wipe` deletes its data folder in between. */
	async restartHost(host: FleetProcess, options: {readonly wipe: boolean}): Promise<FleetProcess> {
		await killProcess(host);
		if (options.wipe && host.settings?.dataFolder !== undefined) {
			await rm(host.settings.dataFolder, {recursive: true, force: true});
		}

		const restarted = await this.startHost(host.settings!);
		this.hosts[this.hosts.indexOf(host)] = restarted;
		await waitUntil(async () => (await fetch(`${restarted.url}/healthz`)).status === 200, `${restarted.name} listens`);
		return restarted;
	}

	/**
	 * Kills every process of the fleet by its process id and deletes the fleet's folder. With `KEEP_FLEET_LOGS` in the
	 * environment, the folder with the logs is kept and its path printed.
	 */
	async stop(): Promise<void> {
		if (this.#isStopped) {
			return;
		}

		this.#isStopped = true;
		await Promise.all([...this.hosts, ...this.backends].map(async target => killProcess(target)));
		if (process.env.KEEP_FLEET_LOGS === undefined) {
			await rm(this.folder, {recursive: true, force: true});
		} else {
			process.stderr.write(`Logs of the fleet: ${this.folder}\n`);
		}
	}

	async #startAll(options: FleetOptions): Promise<void> {
		const settings = await createSettings(this.folder, options);
		for (const hostSettings of settings) {
			this.hosts.push(await this.startHost(hostSettings));
		}

		const entries = this.hosts.map(host => host.url);
		for (let index = 1; index <= options.engines; index++) {
			this.backends.push(this.startBackend({
				kind: 'engine', name: `engine-${index}`, port: await findPort(), entries, extra: options.engineArguments ?? [],
			}));
		}

		for (let index = 1; index <= options.plainServers; index++) {
			this.backends.push(this.startBackend({
				kind: 'plain', name: `plain-${index}`, port: await findPort(), entries, extra: options.plainServerArguments ?? [],
			}));
		}

		await Promise.all(this.hosts.map(async host => this.#waitUntilStarted(host, async () => (await fetch(`${host.url}/readyz`)).status === 200, 'is ready')));
		await Promise.all(this.hosts.map(async host => this.#waitUntilStarted(host, async () => this.#listsAllBackends(host), 'lists the backend servers')));
	}

	/** Waits until a condition holds. Throws as soon as the host's process has exited. */
	async #waitUntilStarted(host: FleetProcess, condition: () => Promise<boolean>, description: string): Promise<void> {
		const exit = new Promise<boolean>(resolve => {
			host.child.once('exit', () => {
				resolve(true);
			});
		});
		await waitUntil(async () => !isRunning(host) || Promise.race([condition(), exit]), `${host.name} ${description}`);
		if (!isRunning(host)) {
			throw new Error(`${host.name} exited with code ${host.child.exitCode ?? 'none'}, signal ${host.child.signalCode ?? 'none'} before it was ready.`);
		}
	}

	async #listsAllBackends(host: FleetProcess): Promise<boolean> {
		const status = await (await fetch(`${host.url}/api/v1/status`)).json() as {servers: unknown[]};
		return status.servers.length >= this.backends.length;
	}

	#spawn(name: string, commandLine: readonly string[]): ChildProcess {
		const log = path.join(this.folder, `${name}.log`);
		const child = spawn(process.execPath, commandLine, {stdio: ['ignore', 'pipe', 'pipe']});
		const append = (chunk: Buffer) => {
			void writeFile(log, chunk, {flag: 'a'}).catch(() => undefined);
		};

		child.stdout.on('data', append);
		child.stderr.on('data', append);
		return child;
	}
}

/** Returns whether a process has not exited. */
export function isRunning({child}: FleetProcess): boolean {
	return child.exitCode === null && child.signalCode === null;
}

/** Kills a process with SIGKILL and waits until it has exited. */
export async function killProcess(target: FleetProcess): Promise<void> {
	if (isRunning(target)) {
		await new Promise<void>(resolve => {
			target.child.once('exit', () => {
				resolve();
			});
			target.child.kill('SIGKILL');
		});
	}
}

/** Polls a condition until it holds; a rejection counts as false. Throws after the timeout, also if the condition is pending. */
export async function waitUntil(condition: () => Promise<boolean>, description: string, timeoutMs = READY_TIMEOUT_MS): Promise<void> {
	const deadlineMs = performance.now() + timeoutMs;
	for (;;) {
		if (await holdsInTime(condition, deadlineMs - performance.now())) {
			return;
		}

		if (performance.now() > deadlineMs) {
			throw new Error(`Timed out after ${timeoutMs} ms while waiting for: ${description}`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, POLL_MS);
		});
	}
}

async function holdsInTime(condition: () => Promise<boolean>, timeoutMs: number): Promise<boolean> {
	return new Promise(resolve => {
		const timer = setTimeout(() => {
			resolve(false);
		}, timeoutMs);
		void condition().catch(() => false).then(holds => {
			clearTimeout(timer);
			resolve(holds);
		});
	});
}

async function createSettings(folder: string, options: FleetOptions): Promise<Settings[]> {
	const count = options.controlHosts + options.entryHosts;
	const dataCentres = ['a', 'b', 'c'];
	const hosts: Array<{host: string; dataCentre: string; httpPort: number; peerPort: number}> = [];
	for (let index = 0; index < count; index++) {
		const httpPort = index === 0 && options.firstPort ? options.firstPort : await findPort();
		const peerPort = await findPort();
		hosts.push({
			host: `host-${index + 1}`, dataCentre: dataCentres[index % 3]!, httpPort, peerPort,
		});
	}

	const peers: Peer[] = hosts.map(({host, peerPort}) => ({host, address: '127.0.0.1', port: peerPort}));
	return hosts.map(({host, dataCentre, httpPort, peerPort}, index) => ({
		host,
		dataCentre,
		roles: index < options.controlHosts ? ['control', 'entry'] : ['entry'],
		http: {address: '127.0.0.1', port: httpPort},
		peer: {address: '127.0.0.1', port: peerPort},
		...(index < options.controlHosts ? {dataFolder: path.join(folder, host)} : {}),
		control: peers.slice(0, options.controlHosts),
		peers,
		logLevel: options.logLevel ?? 'info',
	}));
}
