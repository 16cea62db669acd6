/**
 * Starts a fleet of real processes on 127.0.0.1 for the demo, the benches and the tests with processes.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import {type ChildProcess, spawn} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import type {Peer, Settings} from '../src/generated/types.js';

const DIST = path.resolve(import.meta.dirname, '..');
const DAEMON = path.join(DIST, 'src/daemon/carawayhoistd.js');
const FAKE = path.join(DIST, 'fakes/main.js');
const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 50;

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
	/** Port of the first entry host; 0 takes a free one. */
	readonly firstPort?: number;
	readonly engineArguments?: readonly string[];
	readonly plainServerArguments?: readonly string[];
	readonly logLevel?: Settings['logLevel'];
};

/** A running fleet. Whoever started it stops it. */
export class ProcessFleet {
	readonly hosts: FleetProcess[] = [];
	readonly backends: FleetProcess[] = [];
	readonly folder: string;
	#isStopped = false;

	private constructor(folder: string) {
		this.folder = folder;
	}

	/** Starts every process and waits until the entry hosts are ready. */
	static async start(plan: FleetOptions): Promise<ProcessFleet> {
		const fleet = new ProcessFleet(await mkdtemp(path.join(os.tmpdir(), 'carawayhoist-')));
		const settings = await createSettings(fleet.folder, plan);
		for (const one of settings) {
			fleet.hosts.push(await fleet.startHost(one));
		}

		const entries = fleet.hosts.map(host => host.url);
		for (let index = 1; index <= plan.engines; index++) {
			fleet.backends.push(fleet.startBackend({
				kind: 'engine', name: `engine-${index}`, port: await findPort(), entries, extra: plan.engineArguments ?? [],
			}));
		}

		for (let index = 1; index <= plan.plainServers; index++) {
			fleet.backends.push(fleet.startBackend({
				kind: 'plain', name: `plain-${index}`, port: await findPort(), entries, extra: plan.plainServerArguments ?? [],
			}));
		}

		await Promise.all(fleet.hosts.map(async host => waitUntil(async () => (await fetch(`${host.url}/readyz`)).status === 200, `${host.name} ready`)));
		await Promise.all(fleet.hosts.map(async host => waitUntil(async () => fleet.#knowsBackends(host), `${host.name} knows the backend servers`)));
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
		const own = ['--kind', kind, '--name', name, '--port', String(port)];
		const child = this.#spawn(name, [FAKE, ...own, ...entries.flatMap(entry => ['--entry', entry]), ...extra]);
		return {
			name, role: kind, url: `http://127.0.0.1:${port}`, child,
		};
	}

	/** Kills a host and starts it again, with or without what its disk held. */
	async restartHost(record: FleetProcess, options: {readonly wipe: boolean}): Promise<FleetProcess> {
		await killProcess(record);
		if (options.wipe && record.settings?.dataFolder !== undefined) {
			await rm(record.settings.dataFolder, {recursive: true, force: true});
		}

		const fresh = await this.startHost(record.settings!);
		this.hosts[this.hosts.indexOf(record)] = fresh;
		await waitUntil(async () => (await fetch(`${fresh.url}/healthz`)).status === 200, `${fresh.name} listens`);
		return fresh;
	}

	/** Ends every process of the fleet, by its id. */
	async stop(): Promise<void> {
		if (this.#isStopped) {
			return;
		}

		this.#isStopped = true;
		await Promise.all([...this.hosts, ...this.backends].map(async record => killProcess(record)));
		await rm(this.folder, {recursive: true, force: true});
	}

	async #knowsBackends(host: FleetProcess): Promise<boolean> {
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

/** Tells whether a process has not ended. */
export function isRunning({child}: FleetProcess): boolean {
	return child.exitCode === null && child.signalCode === null;
}

/** Kills a process and waits until it is gone. */
export async function killProcess(record: FleetProcess): Promise<void> {
	if (isRunning(record)) {
		await new Promise<void>(resolve => {
			record.child.once('exit', () => {
				resolve();
			});
			record.child.kill('SIGKILL');
		});
	}
}

/** Waits for a condition; a failed check counts as not yet. */
export async function waitUntil(condition: () => Promise<boolean>, what: string, withinMs = READY_TIMEOUT_MS): Promise<void> {
	const untilMs = performance.now() + withinMs;
	for (;;) {
		if (await condition().catch(() => false)) {
			return;
		}

		if (performance.now() > untilMs) {
			throw new Error(`Not within ${withinMs} ms: ${what}`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, POLL_MS);
		});
	}
}

/** Finds a free port. */
export async function findPort(): Promise<number> {
	return new Promise((resolve, reject) => {
		const server = net.createServer();
		server.once('error', reject);
		server.listen(0, '127.0.0.1', () => {
			const {port} = server.address() as net.AddressInfo;
			server.close(() => {
				resolve(port);
			});
		});
	});
}

async function createSettings(folder: string, plan: FleetOptions): Promise<Settings[]> {
	const count = plan.controlHosts + plan.entryHosts;
	const dataCentres = ['a', 'b', 'c'];
	const hosts: Array<{host: string; dataCentre: string; httpPort: number; peerPort: number}> = [];
	for (let index = 0; index < count; index++) {
		const httpPort = index === 0 && plan.firstPort ? plan.firstPort : await findPort();
		const peerPort = await findPort();
		hosts.push({
			host: `host-${index + 1}`, dataCentre: dataCentres[index % 3]!, httpPort, peerPort,
		});
	}

	const peers: Peer[] = hosts.map(({host, peerPort}) => ({host, address: '127.0.0.1', port: peerPort}));
	return hosts.map(({host, dataCentre, httpPort, peerPort}, index) => ({
		host,
		dataCentre,
		roles: index < plan.controlHosts ? ['control', 'entry'] : ['entry'],
		http: {address: '127.0.0.1', port: httpPort},
		peer: {address: '127.0.0.1', port: peerPort},
		...(index < plan.controlHosts ? {dataFolder: path.join(folder, host)} : {}),
		control: peers.slice(0, plan.controlHosts),
		peers,
		logLevel: plan.logLevel ?? 'info',
	}));
}
