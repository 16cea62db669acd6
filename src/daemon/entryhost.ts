/**
 * An entry host: serves callers by what the control hosts feed it.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import {sleep, type Clock} from '../base/clock.js';
import type {Logger, LoggerFactory} from '../base/logger.js';
import type {Problem} from '../base/problem.js';
import type {Random} from '../base/random.js';
import type {Feed} from '../generated/types.js';
import {FeedSubscription, inflatePublication} from '../membership/feed.js';
import {ServerDiscovery} from '../membership/discovery.js';
import {ServiceRetryBudget, type RetryBudgetLimits} from '../routing/budget.js';
import {RouteTable} from '../routing/routes.js';
import {HealthTracker} from '../routing/health.js';
import {LoadTracker} from '../routing/load.js';
import {Scheduler} from '../routing/scheduler.js';
import type {ServingContext} from '../serving/context.js';
import type {ProtocolAdapter} from '../serving/protocol.js';
import {listEngines} from '../serving/engines.js';
import {Gateway} from '../serving/gateway.js';
import type {ServingMetrics} from '../serving/metrics.js';
import {PlacementClient} from '../serving/placement.js';
import {Upstream} from '../serving/upstream.js';
import type {Address} from '../wire/connection.js';

export type EntryHostOptions = {
	readonly host: string;
	readonly dataCentre: string;
	readonly callerAddress: Address;
	readonly seeds: readonly Address[];
	readonly clock: Clock;
	readonly random: Random;
	readonly loggers: LoggerFactory;
	readonly protocol: ProtocolAdapter;
	readonly metrics: ServingMetrics;
	readonly retryBudget: RetryBudgetLimits;
	/** Time from the signal to stop to the end of the process, milliseconds. */
	readonly graceMs: number;
};

/** The balancer asks once a second and turns away after two answers that are not ready. */
const LOAD_BALANCER_DELAY_MS = 2500;
/** What is left of the time to stop when the last requests are broken off, milliseconds. */
const STOP_MARGIN_MS = 400;
const POLL_MS = 50;

/** A running entry host. Whoever started it stops it. */
export class EntryHost {
	readonly #options: EntryHostOptions;
	readonly #logger: Logger;
	readonly #upstream = new Upstream();
	readonly #localScheduler = new Scheduler();
	readonly #subscription: FeedSubscription;
	readonly #discovery: ServerDiscovery;
	readonly #retryBudget: ServiceRetryBudget;
	readonly #gateway: Gateway;
	readonly #placementClient: PlacementClient;
	#routeTable: RouteTable | undefined;
	#hostCount = 1;
	#isStopping = false;

	private constructor(options: EntryHostOptions) {
		this.#options = options;
		this.#logger = options.loggers('entry');
		const {clock, random, dataCentre, protocol, metrics} = options;
		this.#retryBudget = new ServiceRetryBudget(options.retryBudget);
		this.#subscription = new FeedSubscription({
			host: options.host,
			dataCentre,
			role: 'entry',
			seeds: options.seeds,
			clock,
			logger: options.loggers('membership'),
			readVersion: () => this.#routeTable?.config.version ?? 0,
			onFeed: (feed, control) => {
				this.#handleFeed(feed, control);
			},
			onMessage: (message, control) => {
				this.#placementClient.receive(message, control);
			},
		});
		this.#discovery = new ServerDiscovery(this.#subscription);
		this.#placementClient = new PlacementClient(this.#subscription, this.#localScheduler, clock);
		const context: ServingContext = {
			dataCentre,
			clock,
			random,
			protocol,
			metrics,
			logger: options.loggers('routing'),
			upstream: this.#upstream,
			health: new HealthTracker(),
			loadTracker: new LoadTracker(),
			retryBudget: this.#retryBudget,
			placement: this.#placementClient,
			listServers: () => this.#discovery.listUsable(),
			findServer: server => this.#discovery.findServer(server),
			countHosts: () => this.#hostCount,
		};
		this.#gateway = new Gateway({context, getRouteTable: () => this.#routeTable});
	}

	/** Listens for callers and subscribes to the control hosts. */
	static async start(options: EntryHostOptions): Promise<Either.Either<Problem, EntryHost>> {
		const host = new EntryHost(options);
		const listening = await host.#gateway.listen(options.callerAddress);
		if (Either.isLeft(listening)) {
			host.close();
			return listening;
		}

		return Either.right(host);
	}

	/** Whether callers should come here. */
	get isReady(): boolean {
		return !this.#isStopping && this.#routeTable !== undefined && this.#discovery.listUsable().length > 0;
	}

	/** Takes what may change while it runs: control hosts to know, and the budget of repeats. */
	applySettings({seeds, retryBudget}: Pick<EntryHostOptions, 'seeds' | 'retryBudget'>): void {
		this.#subscription.addSeeds(seeds);
		this.#retryBudget.updateLimits(retryBudget);
	}

	/** Names of the servers that take new work, as this host sees it. */
	listServers(): string[] {
		return this.#discovery.listUsable().map(({server}) => server);
	}

	/** Takes no new callers, finishes what runs, and stops; cuts nothing within its time. */
	async stop(): Promise<void> {
		const {clock, graceMs} = this.#options;
		const startedMs = clock.monotonicMs();
		this.#isStopping = true;
		this.#logger.info('Stops: not ready any more.', {active: this.#gateway.activeCount});
		this.#gateway.startDraining();
		await sleep(Math.min(LOAD_BALANCER_DELAY_MS, graceMs / 2));
		this.#gateway.stopAccepting();
		while (this.#gateway.activeCount > 0 && clock.monotonicMs() - startedMs < graceMs - STOP_MARGIN_MS) {
			await sleep(POLL_MS);
		}

		this.#logger.info('Stopped.', {active: this.#gateway.activeCount});
		this.close();
	}

	close(): void {
		this.#gateway.close();
		this.#subscription.close();
		this.#upstream.close();
	}

	#handleFeed(feed: Feed, control: string): void {
		const hasChanges = this.#discovery.merge(feed, control, this.#options.clock.monotonicMs());
		if (feed.entries > 0) {
			this.#hostCount = feed.entries;
			this.#retryBudget.setHostCount(feed.entries);
		}

		const isNewer = feed.version > (this.#routeTable?.config.version ?? 0);
		if (feed.publication && isNewer) {
			this.#applyPublication(feed.publication, feed.version, control);
		}

		if (hasChanges || (feed.publication && isNewer)) {
			this.#localScheduler.updateEngines(listEngines(this.#discovery.listUsable(), this.#routeTable));
		}
	}

	#applyPublication(bytes: Uint8Array, version: number, control: string): void {
		const text = inflatePublication(bytes);
		const config = Either.isLeft(text) ? text : this.#options.protocol.parseRoutingConfig(text.right);
		if (Either.isLeft(config)) {
			this.#logger.error(`Publication ${version} cannot be read.`, {version, control, reason: config.left.text});
			return;
		}

		this.#routeTable = new RouteTable(config.right);
		this.#gateway.applyLimits(config.right.limits);
		this.#logger.info(`Publication ${version} is in force here.`, {version, control, routes: config.right.routes.length});
	}
}
