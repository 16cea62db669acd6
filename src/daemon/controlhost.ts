/**
 * A control host: the replicated state, the register of backend servers, the feed of both, and the placing of streams.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import type {Clock} from '../base/clock.js';
import type {Logger, LoggerFactory} from '../base/logger.js';
import {createProblem, type Problem} from '../base/problem.js';
import type {Random} from '../base/random.js';
import {ControlClient} from '../control/client.js';
import {
	ALL_ORDER_SAFEGUARDS, createRoleChange, DEFAULT_CONTROLLER_TIMING,
} from '../control/controller.js';
import type {OrderTransport} from '../control/order.js';
import type {ControlMetrics} from '../control/metrics.js';
import {ControlService} from '../control/service.js';
import {ANY_VERSION, excludesServer, PUBLICATION_NAME} from '../control/state.js';
import type {
	Announcement, Message, Publication, PutCommand, ViewUpdate,
} from '../generated/types.js';
import {FeedPublisher, FeedSubscription} from '../membership/feed.js';
import {DEFAULT_REGISTRY_TIMING, ServerRegistry, type MergeResult} from '../membership/registry.js';
import {RouteTable, type RoutingConfig} from '../routing/routes.js';
import {Scheduler} from '../routing/scheduler.js';
import {RolePlanner} from '../routing/planner.js';
import {listEngines} from '../serving/engines.js';
import type {ProtocolAdapter} from '../serving/protocol.js';
import {Listener, type Address, type Connection} from '../wire/connection.js';

export type ControlHostOptions = {
	readonly host: string;
	readonly dataCentre: string;
	/** Where the system's own processes reach this host. */
	readonly peerAddress: Address;
	readonly dataFolder: string;
	readonly seeds: readonly Address[];
	readonly firstStart: boolean;
	readonly clock: Clock;
	readonly random: Random;
	readonly loggers: LoggerFactory;
	readonly metrics: ControlMetrics;
	readonly protocol: Pick<ProtocolAdapter, 'parseRoutingConfig'>;
	readonly createOrderTransport: (findServer: (server: string) => Announcement | undefined) => OrderTransport;
	/** Time between the orders of two control hosts, milliseconds. */
	readonly leaseMs: number;
	/** Interval of announcements, milliseconds. */
	readonly announceIntervalMs: number;
};

/** Operators turn to another host after a second without an answer. */
const PUBLISH_DEADLINE_MS = 3000;
const READ_DEADLINE_MS = 900;
const TICK_MS = 250;
/** Announcements are missed for this many intervals before a server counts as silent. */
const SILENT_INTERVALS = 5;
/** A host that has run for this many intervals has heard every live server. */
const WARM_INTERVALS = 2.5;
/** Margin on the time between the orders of two control hosts, milliseconds: transit of the last one. */
const SUCCESSION_MARGIN_MS = 1000;
/** Pause after a role change before the next one is planned, milliseconds. */
const ROLE_DWELL_MS = 6000;
/** A system that starts for the first time counts as new for this long, milliseconds: before its callers come. */
const NEW_MS = 10_000;

/** A running control host. Whoever started it stops it. */
export class ControlHost {
	readonly registry: ServerRegistry;
	readonly #options: ControlHostOptions;
	readonly #logger: Logger;
	readonly #service: ControlService;
	readonly #client: ControlClient;
	readonly #publisher: FeedPublisher;
	readonly #subscription: FeedSubscription;
	readonly #listener: Listener;
	readonly #placer = new Scheduler();
	readonly #roles = new RolePlanner();
	readonly #timer: NodeJS.Timeout;
	readonly #startedMs: number;
	#table: RouteTable | undefined;
	#roleChangedMs = Number.NEGATIVE_INFINITY;

	private constructor(options: ControlHostOptions, service: ControlService, registry: ServerRegistry, listener: Listener) {
		this.#options = options;
		this.#logger = options.loggers('control');
		this.#service = service;
		this.registry = registry;
		this.#listener = listener;
		this.#startedMs = options.clock.monotonicMs();
		const {clock, host, dataCentre, seeds} = options;
		this.#client = new ControlClient({seeds: [options.peerAddress, ...seeds.filter(seed => !isSame(seed, options.peerAddress))], clock, onViewPushed: () => undefined});
		this.#publisher = new FeedPublisher({
			host,
			registry,
			clock,
			readPublication: () => service.state.publication,
			listMembers: () => service.listMembers(),
			hasQuorum: () => service.hasQuorum,
			isWarm: () => this.#isWarm(),
		});
		this.#subscription = new FeedSubscription({
			host,
			dataCentre,
			role: 'control',
			seeds: seeds.filter(seed => !isSame(seed, options.peerAddress)),
			clock,
			logger: options.loggers('membership'),
			readVersion: () => Number.MAX_SAFE_INTEGER,
			onFeed: feed => {
				for (const sighting of feed.sightings) {
					this.#noteMerge(this.registry.mergeStatus(sighting, clock.monotonicMs()), sighting.announcement);
				}
			},
		});
		this.#timer = setInterval(() => {
			this.#tick();
		}, TICK_MS);
		this.#onApplied();
	}

	/** Opens the data folder and starts. */
	static async start(options: ControlHostOptions): Promise<Either.Either<Problem, ControlHost>> {
		const registry = new ServerRegistry({...DEFAULT_REGISTRY_TIMING, silentAfterMs: options.announceIntervalMs * SILENT_INTERVALS});
		const holder: {host?: ControlHost} = {};
		const listener = new Listener((message, connection) => {
			holder.host?.receive(message, connection);
		});
		const {peerAddress: peer} = options;
		const service = await ControlService.start({
			host: peer.address,
			folder: options.dataFolder,
			peers: options.seeds.map(seed => ({host: seed.address, ...seed})),
			self: {host: peer.address, ...peer},
			listPeers: () => holder.host?.listControlAddresses() ?? options.seeds,
			canBootstrap: options.firstStart,
			clock: options.clock,
			random: options.random,
			loggers: options.loggers,
			orderTransport: options.createOrderTransport(server => registry.findStatus(server)?.announcement),
			controllerTiming: {...DEFAULT_CONTROLLER_TIMING, minTakeoverMs: options.leaseMs + SUCCESSION_MARGIN_MS},
			// Engines finish what runs before they change their role.
			orderSafeguards: {...ALL_ORDER_SAFEGUARDS, awaitViewAcknowledgements: false, awaitIdle: false},
			listEngines: () => registry.listUsable().filter(({kind}) => kind === 'engine'),
			onApplied() {
				holder.host?.handleStateChange();
			},
		});
		if (Either.isLeft(service)) {
			return service;
		}

		const listening = await listener.listen(peer);
		if (Either.isLeft(listening)) {
			await service.right.close();
			return listening;
		}

		holder.host = new ControlHost(options, service.right, registry, listener);
		return Either.right(holder.host);
	}

	/** Whether a majority of the control hosts was in touch a moment ago. */
	get hasQuorum(): boolean {
		return this.#service.hasQuorum;
	}

	listControlAddresses(): Address[] {
		const own = this.#service.listMembers().map(({address, port}) => ({address, port}));
		return [...this.#subscription.listAddresses(), ...own];
	}

	/** Takes control hosts that the settings name now. */
	applySettings({seeds}: Pick<ControlHostOptions, 'seeds'>): void {
		this.#subscription.addSeeds(seeds.filter(seed => !isSame(seed, this.#options.peerAddress)));
	}

	/** Takes an announcement; refused without a majority, so that the server turns to another host. */
	handleAnnouncement(announcement: Announcement): Either.Either<Problem, void> {
		if (!this.#service.hasQuorum) {
			this.#options.metrics.announcements.inc({outcome: 'refused'});
			return Either.left(createProblem('noQuorum', undefined, 1));
		}

		const merge = this.registry.merge(announcement, this.#options.clock.monotonicMs());
		this.#options.metrics.announcements.inc({outcome: merge});
		this.#noteMerge(merge, announcement);
		return Either.right(undefined);
	}

	/** Takes a server's leave. */
	deregister(server: string): Either.Either<Problem, void> {
		if (!this.#service.hasQuorum) {
			return Either.left(createProblem('noQuorum', undefined, 1));
		}

		if (this.registry.deregister(server)) {
			this.#logger.info(`Server ${server} leaves.`, {server});
			this.#publisher.notify();
			this.#updateEngines();
		}

		return Either.right(undefined);
	}

	/** Puts a publication in force, unless a later one is; returns once it cannot be lost any more. */
	async publish(text: string): Promise<Either.Either<Problem, void>> {
		const {protocol: dialect, metrics} = this.#options;
		const catalogue = dialect.parseRoutingConfig(text);
		if (Either.isLeft(catalogue)) {
			metrics.publications.inc({outcome: 'invalid'});
			this.#logger.warn(`Refused a publication: ${catalogue.left.text}`, {bytes: text.length});
			return catalogue;
		}

		const {version} = catalogue.right;
		const current = this.#service.state.publication;
		if (current && current.version >= version) {
			metrics.publications.inc({outcome: 'superseded'});
			return Either.right(undefined);
		}

		const command: PutCommand = {
			type: 'put',
			at: this.#options.clock.wallMs(),
			requestId: `publish-${version}`,
			name: PUBLICATION_NAME,
			seen: ANY_VERSION,
			specification: {kind: 'publication', version, body: text},
		};
		const proposed = await this.#client.propose(command, PUBLISH_DEADLINE_MS)();
		metrics.publications.inc({outcome: Either.isRight(proposed) ? 'accepted' : 'unanswered'});
		this.#logger.info(`Publication ${version} is ${Either.isRight(proposed) ? 'accepted' : 'not accepted'}.`, {
			version, bytes: text.length, reason: Either.isLeft(proposed) ? proposed.left.text : undefined,
		});
		return Either.isLeft(proposed) ? proposed : Either.right(undefined);
	}

	/** Reads the publication in force now; a majority confirms it. */
	async readPublication(): Promise<Either.Either<Problem, string>> {
		const {state} = this.#service;
		const listing = await this.#client.readResources(state.viewVersion, READ_DEADLINE_MS)();
		this.#options.metrics.publicationReads.inc({outcome: Either.isRight(listing) ? 'answered' : 'unanswered'});
		if (Either.isLeft(listing)) {
			return listing;
		}

		const newest = findPublication(listing.right.view) ?? state.publication;
		return newest ? Either.right(newest.body) : Either.left(createProblem('notPublished'));
	}

	receive(message: Message, connection: Connection): void {
		switch (message.type) {
			case 'watch': {
				this.#publisher.handleWatch(message, connection);
				break;
			}

			case 'offer': {
				const decision = this.#placer.place(message, this.#options.clock.monotonicMs());
				this.#options.metrics.placementDecisions.inc({decision: decision.type});
				connection.send(decision);
				break;
			}

			case 'shadow': {
				const {type: _type, reader, runner, ...request} = message;
				this.#placer.recordPlacement(request, reader, runner, this.#options.clock.monotonicMs());
				break;
			}

			case 'milestone': {
				const decision = this.#placer.recordMilestone(message.id, message.stage, message.server, this.#options.clock.monotonicMs());
				if (decision) {
					connection.send(decision);
				}

				break;
			}

			default: {
				this.#service.receive(message, connection);
			}
		}
	}

	/** Follows the state that the log drives. */
	handleStateChange(): void {
		this.#onApplied();
	}

	/** Hands leadership over, then stops. */
	async stop(): Promise<void> {
		this.#service.transferLeadership();
		await this.close();
	}

	async close(): Promise<void> {
		clearInterval(this.#timer);
		this.#client.close();
		this.#publisher.close();
		this.#subscription.close();
		await this.#service.close();
		this.#listener.close();
	}

	#isWarm(): boolean {
		return this.#options.clock.monotonicMs() - this.#startedMs > this.#options.announceIntervalMs * WARM_INTERVALS;
	}

	#isNew(): boolean {
		const {firstStart, clock} = this.#options;
		return firstStart && clock.monotonicMs() - this.#startedMs < NEW_MS;
	}

	#noteMerge(merge: MergeResult, {server, incarnation, sequence, role, leaving}: Announcement): void {
		if (merge === 'change') {
			this.#logger.info(`Server ${server} has news.`, {
				server, incarnation, sequence, role, leaving,
			});
			this.#publisher.notify();
			this.#updateEngines();
		}
	}

	#onApplied(): void {
		this.#updateEngines();
		const {publication} = this.#service.state;
		if (!publication || publication.version === this.#table?.config.version) {
			return;
		}

		const catalogue = this.#options.protocol.parseRoutingConfig(publication.body);
		if (Either.isLeft(catalogue)) {
			this.#logger.error(`Publication ${publication.version} cannot be read.`, {version: publication.version, reason: catalogue.left.text});
			return;
		}

		this.#useCatalogue(catalogue.right);
	}

	#useCatalogue(catalogue: RoutingConfig): void {
		this.#table = new RouteTable(catalogue);
		this.#publisher.notify();
		this.#updateEngines();
	}

	#updateEngines(): void {
		const changes = this.#service.state.listOpenChanges();
		const usable = this.registry.listUsable().filter(({server}) => !changes.some(change => excludesServer(change, server)));
		this.#placer.updateEngines(listEngines(usable, this.#table));
	}

	#tick(): void {
		const silenced = this.registry.expire(this.#options.clock.monotonicMs());
		if (silenced.length > 0) {
			this.#logger.warn(`Servers are silent: ${silenced.join(', ')}.`, {servers: silenced});
			this.#publisher.notify();
			this.#updateEngines();
		}

		this.#client.updateMembers(this.#service.listMembers());
		this.#updateGauges();
		void this.#planRoles();
	}

	#updateGauges(): void {
		const {metrics} = this.#options;
		metrics.openPlacements.set(this.#placer.openCount);
		metrics.usableServers.set(this.registry.listUsable().length);
		metrics.feedEntryHosts.set(this.#publisher.entryHostCount);
		metrics.isLeader.set(this.#service.holdsLeaderLease ? 1 : 0);
		metrics.hasMajority.set(this.#service.hasQuorum ? 1 : 0);
		metrics.publicationVersion.set(this.#table?.config.version ?? 0);
	}

	async #planRoles(): Promise<void> {
		const {clock} = this.#options;
		const nowMs = clock.monotonicMs();
		const {state} = this.#service;
		const isDue = this.#service.holdsLeaderLease && this.#isWarm() && nowMs - this.#roleChangedMs > ROLE_DWELL_MS;
		if (!isDue || state.listOpenChanges().length > 0) {
			return;
		}

		const changes = this.#roles.plan(listEngines(this.registry.listUsable(), this.#table), {nowMs, isStartup: this.#isNew()});
		if (changes.length > 0) {
			this.#roleChangedMs = nowMs;
		}

		for (const change of changes) {
			const command = createRoleChange(`${change.server}-${state.version}`, change, {nowMs, wallMs: clock.wallMs(), leaseUntilMs: nowMs});
			this.#logger.info(`Plans that ${change.server} becomes ${change.role}.`, change);
			this.#options.metrics.roleChanges.inc({role: change.role});
			await this.#service.propose(command);
		}
	}
}

function findPublication(view: ViewUpdate): Publication | undefined {
	const specification = view.resources.find(({name}) => name === PUBLICATION_NAME)?.specification;
	return specification?.kind === 'publication' ? specification : undefined;
}

function isSame(a: Address, b: Address): boolean {
	return a.address === b.address && a.port === b.port;
}
