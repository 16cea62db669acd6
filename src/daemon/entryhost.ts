/**
 * Entry host of the platform: serves callers with the configuration and the servers that the control hosts feed to it.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import {sleep, type Clock} from '../base/clock.js';
import type {Logger, LoggerFactory} from '../base/logger.js';
import type {Problem} from '../base/problem.js';
import type {Random} from '../base/random.js';
import type {
	Fact, Feed, Message, RelayingState, Resync,
} from '../generated/types.js';
import {ReferenceClock} from '../duties/reference.js';
import {UsageReporter} from '../duties/reporter.js';
import {StartCounter} from '../duties/starts.js';
import {CrashTable, mergeCrashFacts} from '../membership/crashes.js';
import {ServerDiscovery} from '../membership/discovery.js';
import {NO_PUBLICATION} from '../membership/feed.js';
import {RateLimitTable} from '../membership/ratelimits.js';
import {Resynchronizer} from '../membership/resync.js';
import {FeedSubscription, inflatePublication} from '../membership/subscription.js';
import {AvailabilityTracker} from '../routing/availability.js';
import {ServiceRetryBudget, type RetryBudgetLimits} from '../routing/budget.js';
import {createFallbackLimiter, type RateLimiter} from '../routing/limiter.js';
import {RouteTable} from '../routing/routes.js';
import {HealthTracker} from '../routing/health.js';
import {LoadTracker} from '../routing/load.js';
import {Scheduler} from '../routing/scheduler.js';
import type {ServingContext} from '../serving/context.js';
import {ResponseMemory} from '../serving/buffer.js';
import {CrashMonitor} from '../serving/crashes.js';
import type {ProtocolAdapter} from '../serving/protocol.js';
import {listEngines} from '../serving/engines.js';
import {Gateway} from '../serving/gateway.js';
import {OriginCopies} from '../serving/origincopies.js';
import type {ServingMetrics} from '../serving/metrics.js';
import {PlacementClient} from '../serving/placement.js';
import {RelayClient} from '../serving/relayclient.js';
import {RelayService} from '../serving/relayservice.js';
import {ConfigurationConfirmation} from '../teams/confirmation.js';
import {ServerTransport} from '../serving/transport.js';
import {ClientGuard} from '../wire/clientguard.js';
import {createClientLimits, DEFAULT_CLIENT_RESOURCES} from '../wire/clientlimits.js';
import {Listener, type Address} from '../wire/connection.js';
import {connectServer, type ServerConnector} from '../wire/connector.js';
import {probe, PROBE_RESULTS, type ProbeResult} from '../wire/probe.js';

export type EntryHostOptions = {
	readonly host: string;
	readonly dataCentre: string;
	/** Address to listen on for callers. */
	readonly callerAddress: Address;
	/** Address to listen on for other entry hosts. */
	readonly peerAddress: Address;
	/** Control hosts to contact first. */
	readonly seeds: readonly Address[];
	readonly clock: Clock;
	readonly random: Random;
	readonly loggers: LoggerFactory;
	readonly protocol: ProtocolAdapter;
	readonly metrics: ServingMetrics;
	readonly retryBudget: RetryBudgetLimits;
	/** Time from SIGTERM until the process must have exited, in milliseconds. */
	readonly graceMs: number;
	/** Bounds what is held for callers; assumes a small machine by default. Closed together with the host. */
	readonly clients?: ClientGuard;
	/** Largest response of a plain service, bytes; has a default. */
	readonly maxResponseBytes?: number | undefined;
	/** Opens connections to backend servers; over this host's network by default. */
	readonly connectServer?: ServerConnector;
	/** Length of the windows of usage reports, milliseconds; nothing is counted if absent. */
	readonly usageWindowMs?: number | undefined;
};

/** The load balancer checks readiness once per second and sends no more callers after two failed checks. */
const LOAD_BALANCER_DELAY_MS = 2500;
/** Time before the end of the grace period at which the remaining requests are aborted, in milliseconds. */
const STOP_MARGIN_MS = 400;
/** Time within which the responses of aborted requests are handed to the operating system, in milliseconds. */
const FLUSH_MS = 200;
const POLL_MS = 50;

/** A running entry host. Whoever starts it must stop it. */
export class EntryHost {
	readonly #options: EntryHostOptions;
	readonly #logger: Logger;
	readonly #relayClient: RelayClient;
	readonly #transport: ServerTransport;
	readonly #relayService: RelayService;
	readonly #originCopies: OriginCopies;
	readonly #listener: Listener;
	readonly #localLimiter: RateLimiter;
	readonly #localScheduler: Scheduler;
	readonly #availability = new AvailabilityTracker();
	readonly #rateLimits = new RateLimitTable();
	readonly #crashTable = new CrashTable();
	readonly #crashMonitor: CrashMonitor;
	readonly #subscription: FeedSubscription;
	readonly #discovery: ServerDiscovery;
	readonly #resynchronizer: Resynchronizer;
	readonly #retryBudget: ServiceRetryBudget;
	readonly #gateway: Gateway;
	readonly #placementClient: PlacementClient;
	readonly #confirmation: ConfigurationConfirmation;
	readonly #usageReporter: UsageReporter | undefined;
	readonly #clients: ClientGuard;
	#routeTable: RouteTable | undefined;
	#hostCount = 1;
	#isStopping = false;

	private constructor(options: EntryHostOptions) {
		this.#options = options;
		this.#logger = options.loggers('entry');
		const {clock, random, dataCentre, protocol, metrics} = options;
		this.#clients = options.clients ?? new ClientGuard({limits: createClientLimits(DEFAULT_CLIENT_RESOURCES), nowMs: () => clock.monotonicMs()});
		const connect = options.connectServer ?? connectServer;
		this.#confirmation = new ConfigurationConfirmation(clock);
		this.#localLimiter = createFallbackLimiter(server => this.#rateLimits.findLimit(server), {countHosts: () => this.#hostCount, random});
		this.#localScheduler = new Scheduler({limiter: this.#localLimiter});
		this.#retryBudget = new ServiceRetryBudget(options.retryBudget);
		this.#relayClient = new RelayClient({clock, logger: options.loggers('routing'), metrics});
		this.#transport = new ServerTransport({
			clock,
			logger: options.loggers('routing'),
			random,
			metrics,
			connect,
			relays: this.#relayClient,
			listServers: () => this.#discovery.listUsable(),
			onChange: () => {
				this.#subscription.announceRelaying();
			},
		});
		this.#subscription = new FeedSubscription({
			host: options.host,
			dataCentre,
			role: 'entry',
			seeds: options.seeds,
			clock,
			logger: options.loggers('membership'),
			readVersion: () => this.#routeTable?.config.version ?? NO_PUBLICATION,
			readRelaying: () => this.#readRelaying(),
			onFeed: (feed, control) => {
				this.#handleFeed(feed, control);
			},
			onMessage: (message, control) => {
				this.#receive(message, control);
			},
		});
		this.#discovery = new ServerDiscovery(this.#subscription);
		this.#resynchronizer = new Resynchronizer({
			random,
			collect: control => this.#collectLostFacts(control),
			send: (control, message) => {
				this.#subscription.sendSeparately(control, message);
			},
		});
		this.#originCopies = new OriginCopies({
			self: options.peerAddress, clock, logger: options.loggers('routing'), metrics, findServed: attempt => this.#placementClient.findOrigin(attempt),
		});
		this.#placementClient = new PlacementClient({
			hosts: this.#subscription, localScheduler: this.#localScheduler, localLimiter: this.#localLimiter, clock, originStore: this.#originCopies,
		});
		this.#crashMonitor = new CrashMonitor({
			host: options.host,
			clock,
			logger: options.loggers('routing'),
			metrics,
			table: this.#crashTable,
			probe: async address => this.#probeServer(address),
			publish: facts => {
				this.#subscription.broadcast(this.#createFactMessage(facts));
			},
		});
		const reference = new ReferenceClock();
		const starts = options.usageWindowMs === undefined
			? undefined
			: new StartCounter(options.usageWindowMs, () => reference.read({nowMs: clock.monotonicMs(), wallMs: clock.wallMs()}));
		this.#usageReporter = starts && new UsageReporter({
			host: options.host,
			incarnation: `${clock.wallMs()}-${random()}`,
			windowMs: options.usageWindowMs!,
			clock,
			logger: options.loggers('entry'),
			starts,
			reference,
			listControls: () => this.#subscription.listAddresses(),
		});
		const context: ServingContext = {
			...(starts && {starts}),
			dataCentre,
			clock,
			random,
			protocol,
			metrics,
			logger: options.loggers('routing'),
			transport: this.#transport,
			health: new HealthTracker(),
			loadTracker: new LoadTracker(),
			retryBudget: this.#retryBudget,
			placement: this.#placementClient,
			responseMemory: new ResponseMemory(options.maxResponseBytes, this.#clients.limits.responseBytes, () => {
				this.#clients.recordRefusal('unread');
			}),
			clients: this.#clients,
			crashes: this.#crashMonitor,
			availability: this.#availability,
			rateLimits: this.#rateLimits,
			announceLeaving: server => {
				this.#subscription.broadcast(this.#createFactMessage([{type: 'server', announcement: {...server, leaving: true}}]));
			},
			announceRateLimit: fact => {
				this.#subscription.broadcast({type: 'rateLimits', facts: [fact]});
			},
			hasTeams: () => this.#routeTable?.teams !== undefined,
			listServers: () => this.#discovery.listUsable().filter(server => this.#availability.isAvailable(server, clock.monotonicMs())),
			findServer: server => this.#discovery.findServer(server),
			countHosts: () => this.#hostCount,
		};
		this.#gateway = new Gateway({context, getRouteTable: () => this.#servedRouteTable, waitForConfirmation: async () => this.#confirmation.wait()});
		this.#relayService = new RelayService({context, getRouteTable: () => this.#routeTable});
		this.#listener = new Listener((message, connection) => {
			this.#relayService.receive(message, connection);
			this.#originCopies.receive(message, connection);
		});
	}

	/** Starts listening for callers and subscribes to the feeds of the control hosts. */
	static async start(options: EntryHostOptions): Promise<Either.Either<Problem, EntryHost>> {
		const host = new EntryHost(options);
		const peerPort = await host.#listener.listen(options.peerAddress);
		const listening = Either.isLeft(peerPort) ? peerPort : await host.#gateway.listen(options.callerAddress);
		if (Either.isLeft(listening)) {
			host.close();
			return listening;
		}

		return Either.right(host);
	}

	/** Whether this host can serve callers: it knows the routes and at least one usable server, and is not stopping. */
	get isReady(): boolean {
		return !this.#isStopping && this.#servedRouteTable !== undefined && this.#discovery.listUsable().length > 0;
	}

	/** The routes by which callers are served; undefined while teams are known only from a first configuration that is not confirmed. */
	get #servedRouteTable(): RouteTable | undefined {
		return this.#routeTable?.teams && this.#confirmation.isFirstAwaited ? undefined : this.#routeTable;
	}

	/** Applies the settings that may change at run time: additional control hosts and the retry budget. */
	applySettings({seeds, retryBudget}: Pick<EntryHostOptions, 'seeds' | 'retryBudget'>): void {
		this.#subscription.addSeeds(seeds);
		this.#retryBudget.updateLimits(retryBudget);
	}

	/** Ids of the servers that take new requests, as far as this host knows. */
	listServers(): string[] {
		return this.#discovery.listUsable().map(({server}) => server);
	}

	/** Requests a second that a server accepts from all hosts together, as far as this host knows; undefined without a limit. */
	findRateLimit(server: string): number | undefined {
		const announced = this.#discovery.findServer(server);
		return announced && this.#rateLimits.findLimit(announced);
	}

	/** Stops accepting callers, waits for the running requests until shortly before the grace period ends, then closes. */
	async stop(): Promise<void> {
		const {clock, graceMs} = this.#options;
		const abortMs = clock.monotonicMs() + graceMs - STOP_MARGIN_MS;
		this.#isStopping = true;
		this.#logger.info('Shutting down: reporting not ready.', {active: this.#gateway.activeCount});
		this.#gateway.startDraining();
		this.#relayService.startDraining();
		this.#subscription.announceRelaying();
		await sleep(Math.min(LOAD_BALANCER_DELAY_MS, graceMs / 2));
		this.#gateway.stopAccepting(abortMs);
		await this.#waitUntilIdle(abortMs);
		this.#gateway.abort();
		await this.#waitUntilIdle(abortMs + FLUSH_MS);
		this.#usageReporter?.report();
		await this.#listener.finish(Math.max(0, abortMs + FLUSH_MS - clock.monotonicMs()));
		this.#logger.info('Shutdown complete.', {unsent: this.#gateway.activeCount, relayed: this.#relayService.activeCount});
		this.close();
	}

	close(): void {
		this.#gateway.close();
		this.#confirmation.close();
		this.#usageReporter?.close();
		this.#clients.close();
		this.#resynchronizer.close();
		this.#subscription.close();
		this.#originCopies.close();
		this.#listener.close();
		this.#relayClient.close();
		this.#transport.close();
	}

	/** Waits until no request is in progress, or a monotonic time has come. */
	async #waitUntilIdle(untilMs: number): Promise<void> {
		while (this.#gateway.activeCount + this.#relayService.activeCount > 0 && this.#options.clock.monotonicMs() < untilMs) {
			await sleep(POLL_MS);
		}
	}

	#receive(message: Message, control: string): void {
		switch (message.type) {
			case 'gossip': {
				mergeCrashFacts(this.#crashTable, message.facts, this.#options.clock.monotonicMs());
				this.#crashMonitor.refresh();
				this.#originCopies.updateHolders(message.facts);
				break;
			}

			case 'rateLimits': {
				this.#rateLimits.mergeAll(message.facts, this.#options.clock.monotonicMs());
				break;
			}

			default: {
				this.#placementClient.receive(message, control);
			}
		}
	}

	#handleFeed(feed: Feed, control: string): void {
		const hasChanges = this.#discovery.merge(feed, control, this.#options.clock.monotonicMs());
		if (feed.entries > 0) {
			this.#hostCount = feed.entries;
			this.#retryBudget.setHostCount(feed.entries);
		}

		if (hasChanges) {
			this.#crashMonitor.checkServers(server => this.#discovery.findIncarnationState(server));
		}

		// A control host that has restarted, or was disconnected, lacks what was reported meanwhile.
		if (feed.whole && !this.#crashTable.isEmpty) {
			this.#subscription.send(control, this.#createFactMessage(this.#crashTable.listFacts()));
		}

		if (feed.whole && !this.#rateLimits.isEmpty) {
			this.#subscription.send(control, {type: 'rateLimits', facts: [...this.#rateLimits.listFacts()]});
		}

		if (feed.whole) {
			this.#resynchronizer.schedule(control);
		}

		// A control host that has just started may know no other entry host yet.
		if (feed.relays && feed.relays.length > 0) {
			this.#relayClient.update(feed.relays);
		}

		const isNewer = feed.version > (this.#routeTable?.config.version ?? NO_PUBLICATION);
		if (feed.publication && isNewer) {
			this.#applyPublication(feed.publication, feed.version, control);
		}

		this.#confirmation.recordFeed(feed.hasQuorum && feed.version <= (this.#routeTable?.config.version ?? NO_PUBLICATION));

		if (hasChanges || (feed.publication && isNewer)) {
			this.#localScheduler.updateEngines(listEngines(this.#discovery.listUsable(), this.#routeTable));
		}
	}

	/** Probes a server. A refusal counts only if this host reaches another server; otherwise its own network may be cut. */
	async #probeServer(address: Address): Promise<ProbeResult> {
		const result = await probe(address, this.#options.connectServer);
		return result === PROBE_RESULTS.refused && !await this.#transport.canReachServers() ? PROBE_RESULTS.silent : result;
	}

	/** Returns whether this host reaches the servers, and where it takes requests of hosts that do not. */
	#readRelaying(): RelayingState {
		const {isCutOff} = this.#transport;
		return isCutOff || this.#isStopping ? {isCutOff} : {isCutOff, relay: this.#options.peerAddress};
	}

	/** Collects what a control host lacks that has restarted or was disconnected, besides crashes and rate limits. */
	#collectLostFacts(control: string): Resync | undefined {
		const servers = this.#discovery.listUnreportedDepartures(control, this.#options.clock.monotonicMs());
		const origins = this.#placementClient.listOrigins();
		if (servers.length === 0 && origins.length === 0) {
			return undefined;
		}

		return {
			type: 'resync', host: this.#options.host, servers, origins,
		};
	}

	#createFactMessage(facts: readonly Fact[]): Message {
		const {host, callerAddress} = this.#options;
		return {type: 'gossip', from: {host, ...callerAddress}, facts: [...facts]};
	}

	#applyPublication(bytes: Uint8Array, version: number, control: string): void {
		const text = inflatePublication(bytes);
		const config = Either.isLeft(text) ? text : this.#options.protocol.parseRoutingConfig(text.right);
		if (Either.isLeft(config)) {
			this.#logger.error(`Publication ${version} is not a valid routing configuration.`, {version, control, reason: config.left.text});
			return;
		}

		if (!this.#routeTable) {
			this.#confirmation.startFirst();
		}

		this.#routeTable = new RouteTable(config.right);
		this.#gateway.applyLimits(config.right.limits);
		this.#options.metrics.teams.updateTeams(this.#routeTable.teams?.names ?? []);
		this.#logger.info(`Applied publication ${version}.`, {
			version, control, routes: config.right.routes.length, teams: config.right.teams?.length,
		});
	}
}
