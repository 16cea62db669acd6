/**
 * Control host of the platform.
 *
 * It keeps the replicated control state and the registry of backend servers, feeds both to the entry hosts, and schedules
 * streamed requests for them.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import type {Clock} from '../base/clock.js';
import type {Logger, LoggerFactory} from '../base/logger.js';
import {createProblem, type Problem} from '../base/problem.js';
import {StandstillDetector} from '../base/standstill.js';
import type {Random} from '../base/random.js';
import {CapacityController, type ScalingOptions} from '../capacity/controller.js';
import {createReplicationLimits, DEFAULT_RESOURCES, type MachineResources} from '../consensus/limits.js';
import {hasIdentity} from '../consensus/storage.js';
import {ControlClient} from '../control/client.js';
import {
	ALL_ORDER_SAFEGUARDS, createRoleChange, DEFAULT_CONTROLLER_TIMING,
} from '../control/controller.js';
import type {OrderTransport} from '../control/order.js';
import type {ControlMetrics} from '../control/metrics.js';
import {createReconfigurationTiming} from '../control/reconfigurator.js';
import {ControlService} from '../control/service.js';
import {PublicationQueue} from '../control/publications.js';
import {excludesServer, PUBLICATION_NAME} from '../control/state.js';
import type {
	Announcement, Fact, Message, Publication, Resync, ViewUpdate,
} from '../generated/types.js';
import type {DutyCaller} from '../duties/caller.js';
import {ControlDuties, type DutySettings} from '../duties/duties.js';
import {CrashTable, mergeCrashFacts} from '../membership/crashes.js';
import {DepartureConfirmation} from '../membership/departures.js';
import {FeedPublisher} from '../membership/feed.js';
import {RateLimitTable} from '../membership/ratelimits.js';
import {DEFAULT_REGISTRY_TIMING, ServerRegistry, type MergeResult} from '../membership/registry.js';
import {FeedSubscription} from '../membership/subscription.js';
import {createGrantingLimiter} from '../routing/limiter.js';
import {RouteTable, type RoutingConfig} from '../routing/routes.js';
import {Scheduler} from '../routing/scheduler.js';
import {RolePlanner} from '../routing/planner.js';
import {listEngines, listServerVersions} from '../serving/engines.js';
import type {ProtocolAdapter} from '../serving/protocol.js';
import {
	deliver, Listener, type Address, type Connection,
} from '../wire/connection.js';

export type ControlHostOptions = {
	readonly host: string;
	readonly dataCentre: string;
	/** Address at which the other hosts reach this one. */
	readonly peerAddress: Address;
	readonly dataFolder: string;
	/** Control hosts to contact first. */
	readonly seeds: readonly Address[];
	/** Whether the whole system starts for the first time, so that the initial configuration may be created. */
	readonly firstStart: boolean;
	readonly clock: Clock;
	readonly random: Random;
	readonly loggers: LoggerFactory;
	readonly metrics: ControlMetrics;
	readonly protocol: Pick<ProtocolAdapter, 'parseRoutingConfig'>;
	readonly createOrderTransport: (findServer: (server: string) => Announcement | undefined) => OrderTransport;
	/** Minimum time between orders of two different control hosts, in milliseconds. */
	readonly leaseMs: number;
	/** Interval between two announcements of a backend server, in milliseconds. */
	readonly announceIntervalMs: number;
	/** Time from the start of a control host until it must vote in place of one that is lost, in milliseconds; has a default. */
	readonly catchUpMs?: number | undefined;
	/** Memory and disk of this host, from which the sizes of the log and its queues are derived; has a default. */
	readonly resources?: MachineResources;
	/** Duties at an external service; none if absent. */
	readonly duties?: DutySettings | undefined;
	/** Calls the external service in place of the one that `duties` names. */
	readonly dutyCaller?: DutyCaller;
	/** Adapts the number of servers to the demand; absent if the settings do not list this duty. */
	readonly scaling?: ScalingOptions | undefined;
};

/** Deadlines of operator requests. Operators try another host after one second without a response. */
const PUBLISH_DEADLINE_MS = 3000;
const READ_DEADLINE_MS = 900;
const TICK_MS = 250;
/** Number of announcement intervals without an announcement after which a server counts as silent. */
const SILENT_INTERVALS = 5;
/** Number of announcement intervals after which a newly started host has received an announcement of every live server. */
const WARM_INTERVALS = 2.5;
/** Added to the minimum time between orders of two control hosts, because the last order may still be in transit. */
const TAKEOVER_MARGIN_MS = 1000;
/** Minimum time between a planned role change and the next one, in milliseconds. */
const ROLE_CHANGE_COOLDOWN_MS = 6000;
/** Duration of the startup phase of a system that starts for the first time, in milliseconds. Callers arrive later. */
const STARTUP_MS = 10_000;

/**
 * A control host that stood still, or was without a majority, for this long may have missed servers, milliseconds. Servers announce
 * themselves about once a second, and the feeds of other control hosts end without a heartbeat for as long.
 */
const MAX_OUT_OF_CONTACT_MS = 1000;
/** Number of servers in a log line. */
const LOGGED_SERVERS = 10;

/** What `ControlHost.start` has started before. */
type ControlHostParts = {
	readonly service: ControlService;
	readonly registry: ServerRegistry;
	readonly listener: Listener;
	/** Whether the whole system starts for the first time. */
	readonly isNewSystem: boolean;
};

/** A running control host. Whoever starts it must stop it. */
export class ControlHost {
	readonly registry: ServerRegistry;
	readonly #options: ControlHostOptions;
	readonly #logger: Logger;
	readonly #controlService: ControlService;
	readonly #controlClient: ControlClient;
	readonly #publications: PublicationQueue;
	readonly #publisher: FeedPublisher;
	readonly #subscription: FeedSubscription;
	readonly #departures: DepartureConfirmation;
	readonly #duties: ControlDuties | undefined;
	readonly #listener: Listener;
	readonly #rateLimits = new RateLimitTable();
	readonly #limiter = createGrantingLimiter(server => this.#rateLimits.findLimit(server));
	readonly #scheduler: Scheduler;
	readonly #crashes = new CrashTable();
	readonly #rolePlanner = new RolePlanner();
	readonly #capacity: CapacityController | undefined;
	readonly #timer: NodeJS.Timeout;
	readonly #startedMs: number;
	readonly #standstill: StandstillDetector;
	/** When this host last had a majority, milliseconds of the monotonic clock. */
	#lastQuorumMs: number;
	#routeTable: RouteTable | undefined;
	#pendingApply: NodeJS.Immediate | undefined;
	/** The last publication that an operator sent to this host, with its parsed form. */
	#received: {readonly text: string; readonly config: RoutingConfig} | undefined;
	/** When this host first had a majority, without which it refuses announcements, milliseconds of the monotonic clock. */
	#acceptingSinceMs: number | undefined;
	#lastRoleChangeMs = Number.NEGATIVE_INFINITY;

	private constructor(options: ControlHostOptions, {service, registry, listener, isNewSystem}: ControlHostParts) {
		this.#options = options;
		this.#logger = options.loggers('control');
		this.#controlService = service;
		this.registry = registry;
		this.#listener = listener;
		this.#startedMs = options.clock.monotonicMs();
		this.#lastQuorumMs = this.#startedMs;
		this.#standstill = new StandstillDetector(options.clock, MAX_OUT_OF_CONTACT_MS);
		// Servers that left before this host started may have begun streams, unless there was no system yet.
		this.#scheduler = new Scheduler({limiter: this.#limiter, versionsKnownSinceMs: isNewSystem ? Number.NEGATIVE_INFINITY : this.#startedMs});
		const {clock, host, dataCentre, seeds} = options;
		this.#controlClient = new ControlClient({
			seeds: [options.peerAddress, ...seeds.filter(seed => !isSameAddress(seed, options.peerAddress))], clock, findLeader: () => service.findLeader(), onViewPushed: () => undefined,
		});
		this.#publications = new PublicationQueue({
			propose: (getCommand, timeoutMs) => this.#controlClient.proposeNewest(getCommand, timeoutMs),
			wallMs: () => clock.wallMs(),
			timeoutMs: PUBLISH_DEADLINE_MS,
			maxWaitingBytes: createReplicationLimits(options.resources ?? DEFAULT_RESOURCES).pendingBytes,
		});
		this.#publisher = new FeedPublisher({
			host,
			registry,
			clock,
			readPublication: () => service.state.publication,
			listMembers: () => service.listMembers(),
			hasQuorum: () => service.hasQuorum,
			isWarm: () => this.#isWarm(),
			crashes: this.#crashes,
			rateLimits: this.#rateLimits,
			self: {host, ...options.peerAddress},
		});
		this.#subscription = new FeedSubscription({
			host,
			dataCentre,
			role: 'control',
			seeds: seeds.filter(seed => !isSameAddress(seed, options.peerAddress)),
			clock,
			logger: options.loggers('membership'),
			readVersion: () => Number.MAX_SAFE_INTEGER,
			onMessage: message => {
				this.#mergeCrashes(message);
				this.#mergeRateLimits(message);
			},
			onFeed: feed => {
				// A host that is warm when it is first heard ran before this one: the system is not new, though the data folder was empty.
				if (feed.whole && feed.isWarm && feed.host !== host) {
					this.#scheduler.limitVersionKnowledge(this.#startedMs);
				}

				for (const status of feed.sightings) {
					this.#handleMergeResult(this.registry.mergeStatus(status, clock.monotonicMs()), status.announcement);
				}
			},
		});
		this.#duties = options.duties && new ControlDuties({
			...options.duties, clock, service, logger: options.loggers('control'), takeoverMs: options.leaseMs + TAKEOVER_MARGIN_MS,
		});
		const caller = options.dutyCaller ?? this.#duties?.caller;
		this.#capacity = caller && options.scaling && new CapacityController({
			...options.scaling,
			caller,
			host,
			clock,
			logger: this.#logger,
			listStatuses: () => registry.listStatuses(),
			listServices: () => this.#routeTable?.config.services ?? [],
			listEngines: () => this.#scheduler.engines,
			listPeers: () => this.#listPeers(),
			isReady: () => service.holdsLeaderLease && this.#hasHeardAllServers(),
			isNewSystem,
		});
		this.#departures = new DepartureConfirmation({host, listPeers: () => this.#listPeers(), deliver});
		this.#timer = setInterval(() => {
			this.#tick();
		}, TICK_MS);
		this.#applyState();
	}

	/** Starts the control service on the data folder and listens for the other hosts. */
	static async start(options: ControlHostOptions): Promise<Either.Either<Problem, ControlHost>> {
		const registry = new ServerRegistry({...DEFAULT_REGISTRY_TIMING, silentAfterMs: options.announceIntervalMs * SILENT_INTERVALS});
		const holder: {host?: ControlHost} = {};
		const listener = new Listener((message, connection) => {
			holder.host?.receive(message, connection);
		});
		const {peerAddress} = options;
		const isNewSystem = options.firstStart && !await hasIdentity(options.dataFolder);
		const service = await ControlService.start({
			host: peerAddress.address,
			folder: options.dataFolder,
			peers: options.seeds.map(seed => ({host: seed.address, ...seed})),
			self: {host: peerAddress.address, ...peerAddress},
			listPeers: () => holder.host?.listControlAddresses() ?? options.seeds,
			canBootstrap: options.firstStart,
			...(options.resources && {limits: createReplicationLimits(options.resources)}),
			...(options.catchUpMs !== undefined && {reconfigurationTiming: createReconfigurationTiming(options.catchUpMs)}),
			clock: options.clock,
			random: options.random,
			loggers: options.loggers,
			orderTransport: options.createOrderTransport(server => registry.findStatus(server)?.announcement),
			controllerTiming: {...DEFAULT_CONTROLLER_TIMING, minTakeoverMs: options.leaseMs + TAKEOVER_MARGIN_MS},
			// Engines finish running requests themselves before they change their role, so orders need not wait for that.
			orderSafeguards: {...ALL_ORDER_SAFEGUARDS, awaitViewAcknowledgements: false, awaitIdle: false},
			listEngines: () => registry.listUsable().filter(({kind}) => kind === 'engine'),
			onApplied() {
				holder.host?.handleStateChange();
			},
			onConsensusEvent(event) {
				if (event.type === 'election') {
					options.metrics.elections.inc({reason: event.reason});
				} else {
					options.metrics.replacedConnections.inc();
				}
			},
		});
		if (Either.isLeft(service)) {
			return service;
		}

		const listening = await listener.listen(peerAddress);
		if (Either.isLeft(listening)) {
			await service.right.close();
			return listening;
		}

		holder.host = new ControlHost(options, {
			service: service.right, registry, listener, isNewSystem,
		});
		return Either.right(holder.host);
	}

	/** Whether this host was recently in contact with a majority of the control hosts. */
	get hasQuorum(): boolean {
		return this.#controlService.hasQuorum;
	}

	/** Makes calls to the external service; undefined if the settings name none. */
	get dutyCaller(): DutyCaller | undefined {
		return this.#duties?.caller;
	}

	/** Addresses of all known control hosts: those that the feed reported and the members of the replicated log. */
	listControlAddresses(): Address[] {
		const members = this.#controlService.listMembers().map(({address, port}) => ({address, port}));
		return [...this.#subscription.listAddresses(), ...members];
	}

	/** Addresses of the control hosts that vote, as far as this host knows. */
	listVoters(): Address[] {
		return this.#controlService.listVoters().map(({address, port}) => ({address, port}));
	}

	/** Applies changed settings: adds the control hosts that they name. */
	applySettings({seeds}: Pick<ControlHostOptions, 'seeds'>): void {
		this.#subscription.addSeeds(seeds.filter(seed => !isSameAddress(seed, this.#options.peerAddress)));
	}

	/** Merges an announcement into the registry. Refuses it without a majority, so that the server tries another host. */
	handleAnnouncement(announcement: Announcement): Either.Either<Problem, void> {
		if (!this.#controlService.hasQuorum) {
			this.#options.metrics.announcements.inc({outcome: 'refused'});
			return Either.left(createProblem('noQuorum', undefined, 1));
		}

		const result = this.registry.merge(announcement, this.#options.clock.monotonicMs());
		this.#options.metrics.announcements.inc({outcome: result});
		this.#handleMergeResult(result, announcement);
		return Either.right(undefined);
	}

	/**
	 * Removes a server that stops for good. Refuses without a majority, like `handleAnnouncement`, and a server that this host may not
	 * have heard of yet: an end that is not recorded would not outlast a delayed announcement.
	 */
	deregister(server: string): Either.Either<Problem, void> {
		if (!this.#controlService.hasQuorum) {
			return Either.left(createProblem('noQuorum', undefined, 1));
		}

		if (!this.#hasHeardAllServers() && !this.registry.findStatus(server)) {
			return Either.left(createProblem('notStarted', `Server ${server} is not known yet.`, 1));
		}

		if (this.registry.deregister(server)) {
			this.#logger.info(`Server ${server} deregistered.`, {server});
			this.#publisher.notify();
			this.#updateEngines();
		}

		return Either.right(undefined);
	}

	/**
	 * Waits until another control host knows that a server has left or is leaving, if it does. Its report must not be acknowledged before:
	 * this process may end at any moment.
	 */
	async confirmDeparture(server: string): Promise<Either.Either<Problem, void>> {
		const status = this.registry.findStatus(server);
		if (!status || !(status.gone || status.announcement.leaving === true)) {
			return Either.right(undefined);
		}

		const confirmation = await this.#departures.confirm(status);
		if (Either.isLeft(confirmation)) {
			this.#logger.warn(`The departure of server ${server} is not acknowledged: no other control host has confirmed it.`, {server, gone: status.gone});
		}

		return confirmation;
	}

	/**
	 * Commits a publication to the replicated log, unless the one in force has the same or a higher version. Returns once it
	 * is committed, so that it cannot be lost any more.
	 */
	async publish(text: string): Promise<Either.Either<Problem, void>> {
		const {protocol, metrics} = this.#options;
		const config = protocol.parseRoutingConfig(text);
		if (Either.isLeft(config)) {
			metrics.publications.inc({outcome: 'invalid'});
			this.#logger.warn(`Rejected an invalid publication: ${config.left.text}`, {bytes: text.length});
			return config;
		}

		const {version} = config.right;
		this.#received = {text, config: config.right};
		const current = this.#controlService.state.publication;
		if (current && current.version >= version) {
			metrics.publications.inc({outcome: 'superseded'});
			return Either.right(undefined);
		}

		const result = await this.#publications.publish({kind: 'publication', version, body: text});
		metrics.publications.inc({outcome: Either.isRight(result) ? 'accepted' : 'unanswered'});
		this.#logger.info(`Publication ${version} is ${Either.isRight(result) ? 'accepted' : 'not accepted'}.`, {
			version, bytes: text.length, reason: Either.isLeft(result) ? result.left.text : undefined,
		});
		return result;
	}

	/** Returns the publication in force. The read is linearizable: a majority confirms it. */
	async readPublication(): Promise<Either.Either<Problem, string>> {
		const {state} = this.#controlService;
		const listing = await this.#controlClient.readResources(state.viewVersion, READ_DEADLINE_MS)();
		this.#options.metrics.publicationReads.inc({outcome: Either.isRight(listing) ? 'answered' : 'unanswered'});
		if (Either.isLeft(listing)) {
			return listing;
		}

		const newest = findPublication(listing.right.view) ?? state.publication;
		return newest ? Either.right(newest.body) : Either.left(createProblem('notPublished'));
	}

	/** Handles a message from another host. */
	receive(message: Message, connection: Connection): void {
		switch (message.type) {
			case 'watch': {
				this.#publisher.handleWatch(message, connection);
				break;
			}

			case 'gossip': {
				this.#mergeCrashes(message);
				this.#mergeServers(message.facts);
				break;
			}

			case 'rateLimits': {
				this.#mergeRateLimits(message);
				break;
			}

			case 'resync': {
				this.#takeOver(message);
				break;
			}

			case 'usageCounts': {
				this.#duties?.receive(message, connection);
				break;
			}

			case 'permitRequest': {
				const {id, priority} = message;
				connection.send({type: 'permit', id, ...this.#limiter.request(message, priority, this.#options.clock.monotonicMs())});
				break;
			}

			case 'permitCopy': {
				this.#limiter.consume(message, this.#options.clock.monotonicMs());
				break;
			}

			case 'offer': {
				const {bodyBytes = 0, connected = []} = message;
				this.#limitVersionInference();
				const decision = this.#scheduler.place({...message, bodyBytes, connected}, this.#options.clock.monotonicMs());
				this.#capacity?.recordDecision(message, decision);
				this.#options.metrics.placementDecisions.inc({decision: decision.type});
				connection.send(decision);
				break;
			}

			case 'shadow': {
				const {type: _type, reader, runner, ...request} = message;
				this.#scheduler.recordPlacement(request, reader, runner, this.#options.clock.monotonicMs());
				break;
			}

			case 'milestone': {
				const {id, stage, server, connected} = message;
				this.#capacity?.recordMilestone(id, stage);
				const decision = this.#scheduler.recordMilestone(id, stage, {server, connected}, this.#options.clock.monotonicMs());
				if (decision) {
					connection.send(decision);
				}

				break;
			}

			case 'poolDemands': {
				this.#capacity?.mergeDemands(message);
				break;
			}

			default: {
				this.#controlService.receive(message, connection);
			}
		}
	}

	/** Applies the control state after entries of the replicated log were applied to it, once for all that arrive together. */
	handleStateChange(): void {
		this.#pendingApply ??= setImmediate(() => {
			this.#pendingApply = undefined;
			this.#applyState();
		});
	}

	/**
	 * Transfers leadership to another control host, then closes. Requests that are still pending fail.
	 *
	 * @param finishRequests - Waits for the requests in progress, before this host closes.
	 */
	async stop(finishRequests: () => Promise<void>): Promise<void> {
		this.#controlService.transferLeadership();
		await finishRequests();
		await this.close();
	}

	async close(): Promise<void> {
		clearInterval(this.#timer);
		clearImmediate(this.#pendingApply);
		this.#duties?.close();
		this.#controlClient.close();
		this.#publisher.close();
		this.#subscription.close();
		await this.#controlService.close();
		this.#listener.close();
	}

	/** Lists the addresses of the other control hosts, each once. */
	#listPeers(): Address[] {
		const peers = this.listControlAddresses().filter(address => !isSameAddress(address, this.#options.peerAddress));
		return peers.filter((peer, index) => peers.findIndex(other => isSameAddress(other, peer)) === index);
	}

	#mergeCrashes(message: Message): void {
		if (message.type === 'gossip' && mergeCrashFacts(this.#crashes, message.facts, this.#options.clock.monotonicMs())) {
			this.#publisher.notify();
		}
	}

	#mergeRateLimits(message: Message): void {
		if (message.type === 'rateLimits' && this.#rateLimits.mergeAll(message.facts, this.#options.clock.monotonicMs())) {
			this.#publisher.notify();
		}
	}

	/** Takes over what an entry host still knows and this host may have lost with its last process. */
	#takeOver({host, servers, origins}: Resync): void {
		const nowMs = this.#options.clock.monotonicMs();
		const streams = origins.reduce((count, {attempts}) => count + attempts.length, 0);
		this.#logger.info(`Host ${host} reports ${servers.length} servers that have left and ${streams} streams.`, {from: host, servers: servers.slice(0, LOGGED_SERVERS).map(({announcement}) => announcement.server)});
		for (const status of servers) {
			this.#handleMergeResult(this.registry.mergeStatus(status, nowMs), status.announcement);
		}

		for (const {software, attempts} of origins) {
			for (const attempt of attempts) {
				this.#scheduler.recordOrigin(attempt, software, nowMs);
			}
		}
	}

	/** Merges servers that told an entry host in a response that they are leaving. Unknown ones are left to their announcements. */
	#mergeServers(facts: readonly Fact[]): void {
		for (const fact of facts) {
			if (fact.type === 'server' && this.registry.findStatus(fact.announcement.server)) {
				this.#handleMergeResult(this.registry.merge(fact.announcement, this.#options.clock.monotonicMs()), fact.announcement);
			}
		}
	}

	#isWarm(): boolean {
		return this.#options.clock.monotonicMs() - this.#startedMs > this.#options.announceIntervalMs * WARM_INTERVALS;
	}

	/** Infers no software version for a minute if servers may have come and begun streams unseen, while this host stood still or was cut off from the other control hosts. */
	#limitVersionInference(): void {
		const nowMs = this.#options.clock.monotonicMs();
		const isOutOfContact = nowMs - this.#lastQuorumMs > MAX_OUT_OF_CONTACT_MS && this.#acceptingSinceMs !== undefined;
		if (this.#standstill.hasStoodStill() || isOutOfContact) {
			this.#scheduler.limitVersionKnowledge(nowMs);
		}

		if (this.#controlService.hasQuorum) {
			this.#lastQuorumMs = nowMs;
			this.#acceptingSinceMs ??= nowMs;
		}
	}

	/** Whether this host has accepted announcements long enough to have received one of every live server. */
	#hasHeardAllServers(): boolean {
		const {clock, announceIntervalMs} = this.#options;
		return this.#acceptingSinceMs !== undefined && clock.monotonicMs() - this.#acceptingSinceMs > announceIntervalMs * WARM_INTERVALS;
	}

	#isStartup(): boolean {
		const {firstStart, clock} = this.#options;
		return firstStart && clock.monotonicMs() - this.#startedMs < STARTUP_MS;
	}

	#handleMergeResult(result: MergeResult, {server, incarnation, sequence, role, leaving, software}: Announcement): void {
		if (result === 'change') {
			this.#logger.info(`Server ${server} announced a change.`, {
				server, incarnation, sequence, role, leaving, software,
			});
			this.#publisher.notify();
			this.#updateEngines();
		}
	}

	#applyState(): void {
		this.#updateEngines();
		const {publication} = this.#controlService.state;
		if (!publication || publication.version === this.#routeTable?.config.version) {
			return;
		}

		const config = this.#received?.text === publication.body
			? Either.right(this.#received.config)
			: this.#options.protocol.parseRoutingConfig(publication.body);
		if (Either.isLeft(config)) {
			this.#logger.error(`Publication ${publication.version} is not a valid routing configuration.`, {version: publication.version, reason: config.left.text});
			return;
		}

		this.#useRoutingConfig(config.right);
	}

	#useRoutingConfig(config: RoutingConfig): void {
		this.#routeTable = new RouteTable(config);
		this.#publisher.notify();
		this.#updateEngines();
	}

	#updateEngines(): void {
		const changes = this.#controlService.state.listOpenChanges();
		const usable = this.registry.listUsable().filter(({server}) => !changes.some(change => excludesServer(change, server)));
		this.#scheduler.updateEngines(listEngines(usable, this.#routeTable));
		this.#updateVersions();
	}

	#updateVersions(): void {
		this.#scheduler.updateVersions(listServerVersions(this.registry.listStatuses()), this.#options.clock.monotonicMs());
	}

	#tick(): void {
		this.#limitVersionInference();

		this.#crashes.expire(this.#options.clock.monotonicMs());
		const silentServers = this.registry.expire(this.#options.clock.monotonicMs());
		if (silentServers.length > 0) {
			this.#logger.warn(`Servers stopped announcing themselves: ${silentServers.join(', ')}.`, {servers: silentServers});
			this.#publisher.notify();
			this.#updateEngines();
		}

		// Servers that are forgotten are not reported by `expire`.
		this.#updateVersions();
		this.#controlClient.updateMembers(this.#controlService.listMembers());
		this.#updateGauges();
		this.#capacity?.tick();
		void this.#planRoles();
	}

	#updateGauges(): void {
		const {metrics} = this.#options;
		metrics.openPlacements.set(this.#scheduler.openCount);
		for (const [service, counts] of this.#scheduler.listReuseCounts()) {
			for (const [outcome, count] of counts) {
				metrics.reuse.set({service, outcome}, count);
			}
		}

		metrics.usableServers.set(this.registry.listUsable().length);
		metrics.feedEntryHosts.set(this.#publisher.entryHostCount);
		metrics.isLeader.set(this.#controlService.holdsLeaderLease ? 1 : 0);
		metrics.hasMajority.set(this.#controlService.hasQuorum ? 1 : 0);
		metrics.publicationVersion.set(this.#routeTable?.config.version ?? 0);
		metrics.logBytes.set(this.#controlService.logBytes);
		metrics.unsyncedBytes.set(this.#controlService.unsyncedBytes);
		metrics.eventLoopDelayMs.set(this.#controlService.eventLoopDelayMs);
	}

	async #planRoles(): Promise<void> {
		const {clock} = this.#options;
		const nowMs = clock.monotonicMs();
		const {state} = this.#controlService;
		const isDue = this.#controlService.holdsLeaderLease && this.#isWarm() && nowMs - this.#lastRoleChangeMs > ROLE_CHANGE_COOLDOWN_MS;
		if (!isDue || state.listOpenChanges().length > 0) {
			return;
		}

		const changes = this.#rolePlanner.plan(listEngines(this.registry.listUsable(), this.#routeTable), {nowMs, isStartup: this.#isStartup()});
		if (changes.length > 0) {
			this.#lastRoleChangeMs = nowMs;
		}

		for (const change of changes) {
			const command = createRoleChange(`${change.server}-${state.version}`, change, {nowMs, wallMs: clock.wallMs(), leaseUntilMs: nowMs});
			this.#logger.info(`Planned a role change: server ${change.server} becomes ${change.role}.`, change);
			this.#options.metrics.roleChanges.inc({role: change.role});
			await this.#controlService.propose(command);
		}
	}
}

function findPublication(view: ViewUpdate): Publication | undefined {
	const specification = view.resources.find(({name}) => name === PUBLICATION_NAME)?.specification;
	return specification?.kind === 'publication' ? specification : undefined;
}

function isSameAddress(a: Address, b: Address): boolean {
	return a.address === b.address && a.port === b.port;
}
