/**
 * Starts the platform's program as processes with the settings and flags of the deploy file: control hosts with data
 * folders, and entry hosts, each at a loopback address of its own.
 *
 * @module
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {
	mkdir, mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {request} from 'undici';
import {PATHS, SETTINGS_VARIABLE} from '../platform/names.js';
import type {PlatformSettings} from '../src/generated/types.js';
import {waitUntil} from './fleet.js';
import {findPort} from './ports.js';

const PROGRAM = path.resolve(import.meta.dirname, '../platform/main.js');
/** Flags of the roles in `deploy/system.toml`. */
const FLAGS = {
	control: ['--max-old-space-size=180', '--max-semi-space-size=4'],
	entry: ['--max-old-space-size=140', '--max-semi-space-size=4'],
} as const;
/** Resources of the machines that control hosts run on at the users' sites. */
const CONTROL_RESOURCES = {memoryMb: 346, diskMb: 128};
const BOUNDS = {
	graceMs: 8000, leaseMs: 3000, repeatRatio: 0.2, repeatWindowMs: 10_000, repeatAllowance: 116, announceMs: 1200, catchUpMs: 4000,
};
const SEEDS = 3;
const FIRST_CONTROL_OCTET = 2;
const FIRST_ENTRY_OCTET = 64;
const BYTES_PER_KB = 1024;
/** Clock ticks a second in /proc/PID/stat. */
const TICKS_PER_SECOND = 100;

export type SiteOptions = {
	readonly controlHosts: number;
	readonly entryHosts: number;
	/** Second octet of the hosts' loopback addresses, so that several sites run on one machine. */
	readonly network?: number;
};

/** A log line of a host. */
export type LogLine = {
	readonly msg: string;
	readonly time: string;
	readonly [field: string]: unknown;
};

/** A host of the site. `child` is its current process. */
export type SiteHost = {
	readonly name: string;
	readonly address: string;
	readonly folder: string;
	readonly role: 'control' | 'entry';
	child: ChildProcess | undefined;
	/** Whether it was stopped on purpose, so that its end is no fault. */
	isStopped: boolean;
	readonly log: LogLine[];
	/** Ends of its processes that nobody asked for. */
	readonly ownEnds: string[];
};

/** The processes of one site. The caller that starts it must stop it. */
export class Site {
	readonly controls: SiteHost[];
	readonly entries: SiteHost[];
	readonly #folder: string;
	readonly #ports: {readonly peer: number; readonly operators: number; readonly metrics: number; readonly callers: number; readonly readiness: number};

	private constructor(folder: string, ports: {peer: number; operators: number; metrics: number; callers: number; readiness: number}, {controlHosts, entryHosts, network = 0}: SiteOptions) {
		this.#folder = folder;
		this.#ports = ports;
		const create = (role: SiteHost['role'], index: number, firstOctet: number): SiteHost => ({
			name: `${role}-${index}`, address: `127.${network}.1.${firstOctet + index}`, folder: path.join(folder, `${role}-${index}`), role, child: undefined, isStopped: false, log: [], ownEnds: [],
		});
		this.controls = Array.from({length: controlHosts}, (_, index) => create('control', index, FIRST_CONTROL_OCTET));
		this.entries = Array.from({length: entryHosts}, (_, index) => create('entry', index, FIRST_ENTRY_OCTET));
	}

	/** Starts all hosts and waits until a control host leads. */
	static async start(options: SiteOptions): Promise<Site> {
		const folder = await mkdtemp(path.join(os.tmpdir(), 'site-'));
		const ports = {
			peer: await findPort(), operators: await findPort(), metrics: await findPort(), callers: await findPort(), readiness: await findPort(),
		};
		const site = new Site(folder, ports, options);
		for (const host of [...site.controls, ...site.entries]) {
			await site.startHost(host, {firstStart: true});
		}

		await waitUntil(async () => await site.findLeader() !== undefined, 'a control host leads');
		return site;
	}

	async startHost(host: SiteHost, {firstStart}: {readonly firstStart: boolean}): Promise<void> {
		await mkdir(host.folder, {recursive: true});
		const file = path.join(this.#folder, `${host.name}.json`);
		await writeFile(file, JSON.stringify(this.#createSettings(host, firstStart)));
		const child = spawn(process.execPath, [...FLAGS[host.role], PROGRAM], {env: {[SETTINGS_VARIABLE]: file}, stdio: ['ignore', 'pipe', 'inherit']});
		host.child = child;
		host.isStopped = false;
		createInterface(child.stdout).on('line', line => {
			if (line.startsWith('{')) {
				host.log.push(JSON.parse(line) as LogLine);
			}
		});
		child.once('exit', (code, signal) => {
			if (!host.isStopped) {
				host.ownEnds.push(`${host.name}: ${signal ?? `exit code ${code}`}`);
			}
		});
	}

	/** Kills a host's process. */
	async kill(host: SiteHost): Promise<void> {
		const {child} = host;
		host.isStopped = true;
		if (child?.exitCode === null && child.signalCode === null) {
			await new Promise(resolve => {
				child.once('exit', resolve);
				child.kill('SIGKILL');
			});
		}
	}

	/** Deletes the data folder of a stopped host. */
	async wipe(host: SiteHost): Promise<void> {
		await rm(host.folder, {recursive: true, force: true});
	}

	/** Sends a configuration to a control host and returns the response's status. Throws without a response in time. */
	async publish(host: SiteHost, body: string, timeoutMs: number): Promise<number> {
		const response = await request(this.#getConfigurationUrl(host), {
			method: 'PUT', body, headersTimeout: timeoutMs, signal: AbortSignal.timeout(timeoutMs),
		});
		await response.body.dump();
		return response.statusCode;
	}

	/** Reads the version of the configuration in force; undefined if the host refuses or does not respond in time. */
	async readVersion(host: SiteHost, timeoutMs: number): Promise<number | undefined> {
		try {
			const response = await request(this.#getConfigurationUrl(host), {signal: AbortSignal.timeout(timeoutMs)});
			const text = await response.body.text();
			return response.statusCode === 200 ? (JSON.parse(text) as {version: number}).version : undefined;
		} catch {
			return undefined;
		}
	}

	async readGauge(host: SiteHost, name: string): Promise<number> {
		const response = await request(`http://${host.address}:${this.#ports.metrics}/metrics`);
		return Number(new RegExp(String.raw`^${name} (.*)$`, 'mv').exec(await response.body.text())?.[1]);
	}

	async findLeader(): Promise<SiteHost | undefined> {
		for (const host of this.controls) {
			const leads = await this.readGauge(host, 'carawayhoist_leads').catch(() => 0);
			if (leads === 1) {
				return host;
			}
		}

		return undefined;
	}

	/** Kills all processes and deletes the site's folder. */
	async stop(): Promise<void> {
		await Promise.all([...this.controls, ...this.entries].map(async host => this.kill(host)));
		await rm(this.#folder, {recursive: true, force: true});
	}

	#getConfigurationUrl({address}: SiteHost): string {
		return `http://${address}:${this.#ports.operators}${PATHS.publication}`;
	}

	#createSettings(host: SiteHost, firstStart: boolean): PlatformSettings {
		const {peer, operators, metrics, callers, readiness} = this.#ports;
		const common = {
			host: host.name,
			dataCentre: 'a',
			role: host.role,
			address: host.address,
			peerPort: peer,
			metricsPort: metrics,
			seeds: this.controls.slice(0, SEEDS).map(({address}) => `${address}:${operators}`),
			firstStart,
			bounds: BOUNDS,
		};
		return host.role === 'entry'
			? {...common, callers: `${host.address}:${callers}`, readiness: `${host.address}:${readiness}`}
			: {
				...common, operators: `${host.address}:${operators}`, dataFolder: host.folder, resources: {memoryMb: [CONTROL_RESOURCES.memoryMb], diskMb: [CONTROL_RESOURCES.diskMb]},
			};
	}
}

/** Returns the most memory that a host's process has had resident, millions of bytes, and the processor time that it has used, seconds. */
export async function readUsage({child}: SiteHost): Promise<{readonly peakMb: number; readonly processorSeconds: number}> {
	const status = await readFile(`/proc/${child!.pid}/status`, 'utf8');
	const stat = await readFile(`/proc/${child!.pid}/stat`, 'utf8');
	const [user, system] = stat.slice(stat.lastIndexOf(')') + 2).split(' ').slice(11, 13).map(Number) as [number, number];
	return {
		peakMb: Number(/^VmHWM:\s+(\d+) kB$/mv.exec(status)![1]) * BYTES_PER_KB / 1e6,
		processorSeconds: (user + system) / TICKS_PER_SECOND,
	};
}
