/**
 * One run of the soak: changes, lost disks, and what callers and logs saw.
 *
 * @module
 */
import {type ChildProcess, spawn} from 'node:child_process';
import process from 'node:process';
import {sleep} from '../../src/base/clock.js';
import {createRandom} from '../../src/base/random.js';
import {waitUntil} from '../fleet.js';
import {
	readUsage, Site, type LogLine, type SiteHost, type SiteOptions,
} from '../site.js';

export type SoakOptions = SiteOptions & {
	/** Routes of each configuration; 744 make 136 KB. */
	readonly routes: number;
	/** Time for which configurations are sent, milliseconds. */
	readonly durationMs: number;
	/** Time between two configurations, milliseconds. */
	readonly gapMs: number;
	/** Number of hosts that lose their disk right after they have acknowledged a configuration. */
	readonly wipes: number;
	/** Whether only leaders lose their disk. */
	readonly wipesLeader: boolean;
	/** Whether the disks are lost while configurations are sent, not after them. */
	readonly wipesDuringChanges: boolean;
	/** Number of times that the leader stands still while configurations are sent. */
	readonly freezes: number;
	readonly seed: number;
};

export type SoakReport = {
	readonly sent: number;
	readonly acknowledged: number;
	readonly medianMs: number;
	readonly longestMs: number;
	/** Changes of the leader outside the time around a fault, as seconds from the first configuration. */
	readonly unexpectedLeaders: number[];
	readonly leaders: number;
	/** Role changes outside the time around a fault, by reason. */
	readonly reasons: Readonly<Record<string, number>>;
	/** Longest delays of an event loop at such a role change, milliseconds. */
	readonly eventLoopDelaysMs: number[];
	/** Connections between control hosts that were replaced because they were silent. */
	readonly replacedConnections: number;
	/** The highest term at the end. */
	readonly term: number;
	/** Time from the restart of each host that lost its disk until it had the newest configuration, milliseconds. */
	readonly catchUpsMs: number[];
	/** Time that each of these hosts took to start, milliseconds; part of the time above. */
	readonly startsMs: number[];
	readonly peakMb: number;
	readonly processorSeconds: {readonly control: number; readonly entry: number};
	/** What must never be seen. */
	readonly violations: string[];
};

/** An operator sends a change again to another host after this time without a response. */
const SEND_TIMEOUT_MS = 4000;
const MAX_SENDS = 12;
const READ_TIMEOUT_MS = 1000;
/** Time for which the operator asks a host for the configuration at the end. */
const READ_BACK_MS = 6000;
const DOWN_MS = 1000;
const FREEZE_MS = 2000;
const FREEZE_INTERVAL_MS = 6000;
/** The next disk is lost this long after the one before. */
const WIPE_INTERVAL_MS = 10_000;
/** The users' pages expect the control hosts to work again this long after a fault has ended. */
const CONTACT_MS = 3000;
/** Changes of the leader in this time after the start of a fault are expected. */
const SETTLING_MS = Math.max(DOWN_MS, FREEZE_MS) + CONTACT_MS;
const BUSY_MS = 600_000;
const CATCH_UP_TIMEOUT_MS = 60_000;
const STARTUP_MS = 3000;
const LISTED_DELAYS = 10;

/** Starts processes that only use the processor. Whoever starts them must stop them; they also end with this process. */
export function startBusyProcesses(count: number): {stop(): void} {
	const script = `while (performance.now() < ${BUSY_MS} && process.ppid === ${process.pid});`;
	const children: ChildProcess[] = Array.from({length: count}, () => spawn(process.execPath, ['-e', script], {stdio: 'ignore'}));
	return {
		stop() {
			for (const child of children) {
				child.kill('SIGKILL');
			}
		},
	};
}

/** Runs one site through a soak and reports what was seen. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
	const site = await Site.start(options);
	const run = new SoakRun(site, options);
	try {
		return await run.run();
	} finally {
		await site.stop();
	}
}

class SoakRun {
	readonly #site: Site;
	readonly #options: SoakOptions;
	readonly #random: () => number;
	readonly #latencies: number[] = [];
	readonly #catchUpsMs: number[] = [];
	readonly #violations: string[] = [];
	/** Wall-clock times of faults, milliseconds. */
	readonly #faultsMs: number[] = [];
	#startedMs = 0;
	#nextVersion = 1;
	#acknowledgedVersion = 0;
	#peakMb = 0;

	constructor(site: Site, options: SoakOptions) {
		this.#site = site;
		this.#options = options;
		this.#random = createRandom(options.seed);
	}

	async run(): Promise<SoakReport> {
		await sleep(STARTUP_MS);
		this.#startedMs = Date.now();
		const {wipesDuringChanges} = this.#options;
		await Promise.all([this.#sendChanges(), this.#freezeLeaders(), ...(wipesDuringChanges ? [this.#loseDisks()] : [])]);
		if (!wipesDuringChanges) {
			await this.#loseDisks();
		}

		await this.#readBack();
		return this.#createReport();
	}

	async #sendChanges(): Promise<void> {
		const sends: Array<Promise<SiteHost | undefined>> = [];
		const untilMs = Date.now() + this.#options.durationMs;
		while (Date.now() < untilMs) {
			const version = this.#nextVersion++;
			sends.push(this.#sendChange(version, version));
			await sleep(this.#options.gapMs);
		}

		await Promise.all(sends);
	}

	/** Sends one configuration until it is acknowledged, to one host after the other. */
	async #sendChange(version: number, firstHost: number): Promise<SiteHost | undefined> {
		const {controls} = this.#site;
		const body = createConfiguration(version, this.#options.routes);
		const startedMs = performance.now();
		for (let send = 0; send < MAX_SENDS; send++) {
			const host = controls[(firstHost + send) % controls.length]!;
			const status = await this.#site.publish(host, body, SEND_TIMEOUT_MS).catch(() => 0);
			if (status === 200) {
				this.#latencies.push(performance.now() - startedMs);
				this.#acknowledgedVersion = Math.max(this.#acknowledgedVersion, version);
				return host;
			}

			if (status >= 400 && status < 500) {
				this.#violations.push(`version ${version} was refused with ${status}`);
				return undefined;
			}

			await sleep(this.#options.gapMs);
		}

		return undefined;
	}

	async #freezeLeaders(): Promise<void> {
		for (let freeze = 0; freeze < this.#options.freezes; freeze++) {
			await sleep(FREEZE_INTERVAL_MS);
			const leader = await this.#site.findLeader();
			this.#faultsMs.push(Date.now());
			leader?.child?.kill('SIGSTOP');
			await sleep(FREEZE_MS);
			leader?.child?.kill('SIGCONT');
		}
	}

	async #loseDisks(): Promise<void> {
		for (let wipe = 0; wipe < this.#options.wipes; wipe++) {
			const startedMs = performance.now();
			await this.#loseDisk();
			await sleep(WIPE_INTERVAL_MS - (performance.now() - startedMs));
		}
	}

	async #loseDisk(): Promise<void> {
		const firstHost = Math.floor(this.#random() * this.#site.controls.length);
		const acknowledging = await this.#sendChange(this.#nextVersion++, firstHost);
		const lost = this.#options.wipesLeader ? await this.#site.findLeader() : acknowledging;
		if (!lost) {
			this.#violations.push('no host acknowledged a change, so no disk was lost');
			return;
		}

		this.#faultsMs.push(Date.now());
		await this.#recordUsage([lost]);
		await this.#site.kill(lost);
		await this.#site.wipe(lost);
		await sleep(DOWN_MS);
		const version = this.#acknowledgedVersion;
		const startedMs = performance.now();
		await this.#site.startHost(lost, {firstStart: false});
		const hasCaughtUp = async () => await this.#site.readGauge(lost, 'carawayhoist_publication_version') >= version;
		await waitUntil(hasCaughtUp, `${lost.name} has caught up`, CATCH_UP_TIMEOUT_MS).catch((error: unknown) => {
			this.#violations.push(String(error));
		});
		this.#catchUpsMs.push(Math.round(performance.now() - startedMs));
	}

	async #readBack(): Promise<void> {
		await Promise.all(this.#site.controls.map(async host => {
			const untilMs = Date.now() + READ_BACK_MS;
			let version: number | undefined;
			while (version === undefined && Date.now() < untilMs) {
				version = await this.#site.readVersion(host, READ_TIMEOUT_MS);
				await sleep(this.#options.gapMs);
			}

			if (version === undefined || version < this.#acknowledgedVersion) {
				this.#violations.push(`${host.name} returns version ${version ?? 'none'}, ${this.#acknowledgedVersion} was acknowledged`);
			}
		}));
	}

	async #recordUsage(hosts: readonly SiteHost[]): Promise<number> {
		let processorSeconds = 0;
		for (const host of hosts) {
			const usage = await readUsage(host).catch(() => ({peakMb: 0, processorSeconds: 0}));
			this.#peakMb = Math.max(this.#peakMb, host.role === 'control' ? usage.peakMb : 0);
			processorSeconds += usage.processorSeconds;
		}

		return processorSeconds;
	}

	async #createReport(): Promise<SoakReport> {
		const {controls, entries} = this.#site;
		const control = await this.#recordUsage(controls);
		const entry = await this.#recordUsage(entries);
		const elections = controls.flatMap(({log}) => log.filter(line => isElection(line)));
		const leadersMs = elections.map(({time}) => Date.parse(time) - this.#startedMs).filter(atMs => atMs > 0);
		const isExpected = (atMs: number) => this.#faultsMs.some(faultMs => atMs + this.#startedMs >= faultMs && atMs + this.#startedMs < faultMs + SETTLING_MS);
		const roleChanges = controls.flatMap(({log}) => log.filter(line => line.msg.includes('Role is') && Date.parse(line.time) > this.#startedMs && !isExpected(Date.parse(line.time) - this.#startedMs)));
		const replaced = await Promise.all(controls.map(async host => this.#site.readGauge(host, 'carawayhoist_peer_connections_replaced_total')));
		const latencies = this.#latencies.toSorted((a, b) => a - b);
		return {
			sent: this.#nextVersion - 1,
			acknowledged: latencies.length,
			medianMs: Math.round(latencies[Math.floor(latencies.length / 2)] ?? Number.NaN),
			longestMs: Math.round(latencies.at(-1) ?? Number.NaN),
			unexpectedLeaders: leadersMs.filter(atMs => !isExpected(atMs)).map(atMs => atMs / 1000).toSorted((a, b) => a - b),
			leaders: leadersMs.length,
			reasons: countBy(roleChanges, ({role, reason}) => `${String(role)}: ${String(reason)}`),
			eventLoopDelaysMs: roleChanges.map(({eventLoopDelayMs}) => Number(eventLoopDelayMs)).toSorted((a, b) => b - a).slice(0, LISTED_DELAYS),
			replacedConnections: replaced.reduce((sum, count) => sum + count, 0),
			term: Math.max(0, ...elections.map(({term}) => Number(term))),
			catchUpsMs: this.#catchUpsMs,
			startsMs: controls.flatMap(({log}) => log.filter(({msg}) => msg.includes('Started as')).slice(1).map(({tookMs}) => Number(tookMs))),
			peakMb: Math.round(this.#peakMb),
			processorSeconds: {control: Math.round(control), entry: Math.round(entry)},
			violations: [...this.#violations, ...[...controls, ...entries].flatMap(({ownEnds}) => ownEnds)],
		};
	}
}

function countBy<Item>(items: readonly Item[], getKey: (item: Item) => string): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const item of items) {
		const key = getKey(item);
		counts[key] = (counts[key] ?? 0) + 1;
	}

	return counts;
}

function isElection({role, msg}: LogLine): boolean {
	return role === 'leader' && msg.includes('Role is leader');
}

/** Creates a valid configuration with a number of routes. */
function createConfiguration(version: number, routeCount: number): string {
	const routes = Array.from({length: routeCount}, (_, index) => ({
		name: `r-${index}`, host: 'a.example', 'path-prefix': `/read-${version}-${index}/`, type: 'safe', 'timeout-ms': 800, 'slo-ms': 100, priority: 2, service: 'plain', 'max-attempts': 2,
	}));
	return JSON.stringify({version, routes, services: [{name: 'plain', 'health-path': '/health', 'max-conns': 100}]});
}
