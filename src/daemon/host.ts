/**
 * One host of the daemon: creates, connects, starts and stops the roles that its settings name.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {createWriteStream, type WriteStream} from 'node:fs';
import {readFile} from 'node:fs/promises';
import * as Either from 'fp-ts/lib/Either.js';
import {createClock, sleep, type Clock} from '../base/clock.js';
import type {LoggerFactory} from '../base/logger.js';
import {createProblem, type Problem} from '../base/problem.js';
import {createRandom, type Random} from '../base/random.js';
import {ControlClient} from '../control/client.js';
import {ControlService} from '../control/service.js';
import {EngineClient} from '../entry/engine.js';
import {ServerPool} from '../entry/pool.js';
import {RequestJournal} from '../entry/journal.js';
import {createMetrics, type Metrics} from '../entry/metrics.js';
import {ModelHandler, type FinishedRequest} from '../entry/model.js';
import {OperatorHandler} from '../entry/operator.js';
import {PlainClient} from '../entry/plain.js';
import {Quarantine} from '../entry/quarantine.js';
import {EntryServer} from '../entry/server.js';
import {ServiceHandler} from '../entry/service.js';
import {ResourceView, ViewTask} from '../entry/view.js';
import type {Announcement, Message, Settings} from '../generated/types.js';
import {Directory} from '../membership/directory.js';
import {GossipTask} from '../membership/gossip.js';
import {Listener, type Connection} from '../wire/connection.js';

export type HostOptions = {
	readonly settings: Settings;
	readonly loggers: LoggerFactory;
};

export type HostPorts = {
	readonly httpPort: number;
	readonly peerPort: number;
};

const DEFAULT_BODY_BYTES = 4 * 1024 * 1024;
const DEFAULT_HEADER_BYTES = 16_384;
const DEFAULT_BODY_TIMEOUT_MS = 10_000;
const DEFAULT_SHUTDOWN_MS = 600_000;
/** Time that the load balancer may need to notice that this host is not ready. */
const LOAD_BALANCER_DELAY_MS = 1000;
/** Time within which the responses of aborted requests are handed to the operating system, in milliseconds. */
const FLUSH_MS = 200;
const POLL_MS = 50;

/** A running host. Whoever starts it must stop it. */
export class Host {
	readonly #options: HostOptions;
	readonly #boot = randomUUID();
	readonly #clock: Clock = createClock();
	readonly #random: Random = createRandom(Math.floor(Math.random() * 0xFF_FF_FF_FF));
	readonly #metrics: Metrics = createMetrics(() => this.#entry?.viewAgeMs ?? 0);
	readonly #listener: Listener;
	#control: ControlService | undefined;
	#entry: EntryRole | undefined;

	constructor(options: HostOptions) {
		this.#options = options;
		this.#listener = new Listener((message, connection) => {
			this.#receive(message, connection);
		});
	}

	/** Starts the roles. If one of them fails to start, everything started before is closed. */
	async start(): Promise<Either.Either<Problem, HostPorts>> {
		const {settings, loggers} = this.#options;
		const peerPort = await this.#listener.listen(settings.peer);
		if (Either.isLeft(peerPort)) {
			return peerPort;
		}

		if (settings.roles.includes('control')) {
			const control = await ControlService.start({
				host: settings.host,
				folder: settings.dataFolder ?? '',
				peers: settings.control ?? [],
				clock: this.#clock,
				random: this.#random,
				loggers,
				listEngines: () => this.#entry?.listEngines() ?? [],
				onCommit: () => {
					this.#metrics.commits.inc();
				},
			});
			if (Either.isLeft(control)) {
				this.#listener.close();
				return control;
			}

			this.#control = control.right;
		}

		return this.#startEntry(peerPort.right);
	}

	/** Shuts down gracefully: transfers leadership, drains the entry role within `limits.shutdownMs`, then closes. */
	async stop(): Promise<void> {
		const logger = this.#options.loggers('daemon');
		logger.info('Shutting down: reporting not ready.');
		this.#control?.transferLeadership();
		await this.#entry?.drain(this.#options.settings.limits?.shutdownMs ?? DEFAULT_SHUTDOWN_MS);
		await this.close();
		logger.info('Shutdown complete.');
	}

	async close(): Promise<void> {
		await this.#entry?.close();
		await this.#control?.close();
		this.#listener.close();
	}

	async #startEntry(peerPort: number): Promise<Either.Either<Problem, HostPorts>> {
		const {settings, loggers} = this.#options;
		const entry = await EntryRole.start({
			settings,
			boot: this.#boot,
			clock: this.#clock,
			random: this.#random,
			metrics: this.#metrics,
			loggers,
			peerPort,
		});
		if (Either.isLeft(entry)) {
			await this.close();
			return entry;
		}

		this.#entry = entry.right;
		return Either.right({httpPort: entry.right.port, peerPort});
	}

	#receive(message: Message, connection: Connection): void {
		if (message.type === 'gossip') {
			this.#entry?.receive(message);
			return;
		}

		if (this.#control) {
			this.#control.receive(message, connection);
			return;
		}

		if ('id' in message && typeof message.id === 'number') {
			const {code, text} = createProblem('notLeader', 'This host keeps no replica.');
			connection.send({
				type: 'refused', id: message.id, code, text,
			});
		}
	}
}

type EntryRoleOptions = {
	readonly settings: Settings;
	readonly boot: string;
	readonly clock: Clock;
	readonly random: Random;
	readonly metrics: Metrics;
	readonly loggers: LoggerFactory;
	readonly peerPort: number;
};

/** The entry role of a host: serves callers, operators and announcements of backend servers over HTTP. */
class EntryRole {
	readonly #options: EntryRoleOptions;
	readonly #engineClient = new EngineClient();
	readonly #plainClient = new PlainClient();
	readonly #controlClient: ControlClient;
	readonly #viewTask: ViewTask;
	readonly #modelHandler: ModelHandler;
	readonly #server: EntryServer;
	readonly #directory: Directory;
	readonly #pool: ServerPool;
	readonly #captureStream: WriteStream | undefined;
	readonly #countedRoleChanges = new Set<string>();
	#gossip: GossipTask | undefined;
	#port = 0;

	private constructor(options: EntryRoleOptions, tls: {cert: Buffer; key: Buffer} | undefined) {
		this.#options = options;
		const {settings, boot, clock, random, metrics, loggers} = options;
		const {host, dataCentre} = settings;
		const view = new ResourceView();
		const journal = new RequestJournal();
		this.#directory = new Directory(host);
		this.#controlClient = new ControlClient({
			seeds: settings.control ?? [], clock, onViewPushed: message => {
				this.#viewTask.receivePush(message);
			},
		});
		this.#pool = new ServerPool({directory: this.#directory, view, clock});
		this.#captureStream = settings.captureFile === undefined ? undefined : createWriteStream(settings.captureFile, {flags: 'a'});
		this.#viewTask = new ViewTask({
			host,
			boot,
			view,
			client: this.#controlClient,
			clock,
			logger: loggers('entry'),
			countRunning: server => this.#pool.loads.countInFlight(server),
			readDemand: () => this.#pool.readDemand(),
			findAnnouncement: server => this.#directory.findServer(server),
			onChange: () => {
				metrics.viewVersion.set(view.version);
				this.#countRoleChanges(view);
			},
		});
		this.#modelHandler = new ModelHandler({
			dataCentre,
			directory: this.#directory,
			view,
			pool: this.#pool,
			engineClient: this.#engineClient,
			quarantine: new Quarantine({
				client: this.#controlClient, clock, host, boot,
			}),
			journal,
			metrics,
			clock,
			random,
			logger: loggers('routing'),
			broadcast: fact => this.#gossip?.publish(fact, true),
			onFinished: record => {
				this.#writeCapture(record);
			},
		});
		this.#server = new EntryServer({
			host,
			boot,
			limits: {
				bodyBytes: settings.limits?.bodyBytes ?? DEFAULT_BODY_BYTES,
				bodyTimeoutMs: settings.limits?.bodyTimeoutMs ?? DEFAULT_BODY_TIMEOUT_MS,
				headerBytes: settings.limits?.headerBytes ?? DEFAULT_HEADER_BYTES,
			},
			tls,
			operatorKeys: settings.operatorKeys,
			callerKeys: settings.callerKeys,
			models: this.#modelHandler,
			services: new ServiceHandler({
				host, boot, view, pool: this.#pool, client: this.#controlClient, plainClient: this.#plainClient, journal, metrics, clock, random, logger: loggers('routing'),
			}),
			operators: new OperatorHandler({
				host, client: this.#controlClient, view, viewTask: this.#viewTask, directory: this.#directory, journal, clock,
			}),
			pool: this.#pool,
			metrics,
			clock,
			logger: loggers('entry'),
			isReady: () => this.#viewTask.isReady,
			onAnnouncement: announcement => {
				const fact = {type: 'server', announcement} as const;
				this.#gossip?.publish(fact);
				this.#pool.handleFact(fact);
			},
		});
	}

	static async start(options: EntryRoleOptions): Promise<Either.Either<Problem, EntryRole>> {
		const tls = await readTls(options.settings);
		if (Either.isLeft(tls)) {
			return tls;
		}

		const role = new EntryRole(options, tls.right);
		const port = await role.#server.listen(options.settings.http);
		if (Either.isLeft(port)) {
			await role.close();
			return port;
		}

		role.#port = port.right;
		role.#startGossip(port.right);
		return Either.right(role);
	}

	get port(): number {
		return this.#port;
	}

	get viewAgeMs(): number {
		return this.#viewTask.ageMs;
	}

	/** Announced engines that take new work. */
	listEngines(): Announcement[] {
		return this.#directory.listServers(this.#options.clock.monotonicMs())
			.filter(({kind, leaving}) => kind === 'engine' && leaving !== true);
	}

	receive(message: Extract<Message, {type: 'gossip'}>): void {
		this.#gossip?.receive(message);
	}

	/** Reports not ready, tells the other hosts that it leaves, waits for the running requests and releases the view lease. */
	async drain(timeoutMs: number): Promise<void> {
		const {clock} = this.#options;
		const endMs = clock.monotonicMs() + timeoutMs;
		this.#server.beginStop();
		this.#gossip?.leave();
		await sleep(LOAD_BALANCER_DELAY_MS);
		this.#server.stopAccepting(endMs - FLUSH_MS);
		await this.#waitUntilIdle(endMs - FLUSH_MS);
		this.#server.abort();
		await this.#waitUntilIdle(Math.max(endMs, clock.monotonicMs() + FLUSH_MS));
		await this.#viewTask.releaseLease();
	}

	async close(): Promise<void> {
		this.#server.close();
		this.#modelHandler.close();
		this.#viewTask.close();
		this.#controlClient.close();
		this.#gossip?.close();
		this.#captureStream?.end();
		await this.#engineClient.close();
		await this.#plainClient.close();
	}

	/** Waits until no request is in progress, or a monotonic time has come. */
	async #waitUntilIdle(untilMs: number): Promise<void> {
		while (this.#server.activeCount > 0 && this.#options.clock.monotonicMs() < untilMs) {
			await sleep(POLL_MS);
		}
	}

	#countRoleChanges(view: ResourceView): void {
		for (const {name, specification, status} of view.list('change')) {
			const isRoleDone = specification.kind === 'change' && specification.action === 'role' && status?.phase === 'done';
			if (isRoleDone && !this.#countedRoleChanges.has(name)) {
				this.#countedRoleChanges.add(name);
				this.#options.metrics.roleChanges.inc();
			}
		}
	}

	#startGossip(httpPort: number): void {
		const {settings, clock, random, loggers, peerPort} = this.#options;
		this.#gossip = new GossipTask({
			directory: this.#directory,
			self: {host: settings.host, address: settings.peer.address, port: peerPort},
			http: {address: settings.http.address, port: httpPort},
			dataCentre: settings.dataCentre,
			incarnation: clock.wallMs(),
			seeds: settings.peers ?? [],
			clock,
			random,
			logger: loggers('membership'),
			onFact: fact => {
				this.#pool.handleFact(fact);
			},
		});
	}

	/** Appends a finished request to the capture file, if there is one. */
	#writeCapture(record: FinishedRequest): void {
		this.#captureStream?.write(`${JSON.stringify(record)}\n`);
	}
}

async function readTls(settings: Settings): Promise<Either.Either<Problem, {cert: Buffer; key: Buffer} | undefined>> {
	if (!settings.tls) {
		return Either.right(undefined);
	}

	try {
		const [cert, key] = await Promise.all([readFile(settings.tls.certificateFile), readFile(settings.tls.keyFile)]);
		return Either.right({cert, key});
	} catch (error) {
		return Either.left(createProblem('settingsInvalid', `/tls ${String(error)}`));
	}
}
