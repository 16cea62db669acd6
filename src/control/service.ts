/**
 * Control role of a process: runs the replica and its control state, handles control messages, and runs the controller
 * while this replica leads.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import type {Clock} from '../base/clock.js';
import type {Logger, LoggerFactory} from '../base/logger.js';
import {createProblem, type Problem} from '../base/problem.js';
import type {Random} from '../base/random.js';
import {isVoter, listMembers} from '../consensus/configuration.js';
import {
	ConsensusNode, type CommitResult, type ConsensusEvent, type Leadership, type StateMachine,
} from '../consensus/node.js';
import type {ReplicationLimits} from '../consensus/limits.js';
import type {ReplicaTiming} from '../consensus/effects.js';
import {
	EMPTY_SNAPSHOT, loadOrCreateIdentity, Storage,
} from '../consensus/storage.js';
import type {
	Announcement, Command, CommandEntry, Configuration, Member, MembersRequest, MembersReply, Message, CommandOutcome, Peer, ProposeRequest, ReadRequest, RenewRequest, Welcome,
} from '../generated/types.js';
import {decodeCbor, encodeCbor} from '../wire/frame.js';
import {
	connect, type Address, type Connection,
} from '../wire/connection.js';
import {findInitialConfiguration, createInitialConfiguration, type BootstrapReply} from './bootstrap.js';
import {
	Controller, type LeaseClock, type ControllerEffect, type ControllerTiming, type OrderSafeguards, type OrderReport,
} from './controller.js';
import {describeReconfiguration, type ConfigurationStatus, type Reconfiguration} from './reconfiguration.js';
import {JoinRequester} from './join.js';
import {HttpOrderTransport, type OrderTransport} from './order.js';
import {Reconfigurator, type ReconfigurationTiming} from './reconfigurator.js';
import {PendingPublication} from './publications.js';
import {ControlState, PUBLICATION_NAME, type ControlStateSnapshot} from './state.js';

export type ControlServiceOptions = {
	readonly host: string;
	readonly folder: string;
	readonly peers: readonly Peer[];
	readonly clock: Clock;
	readonly random: Random;
	readonly loggers: LoggerFactory;
	readonly timing?: ReplicaTiming;
	readonly limits?: ReplicationLimits;
	readonly reconfigurationTiming?: ReconfigurationTiming;
	readonly onCommit?: () => void;
	/** Called for elections and replaced connections. */
	readonly onConsensusEvent?: (event: ConsensusEvent) => void;
	/** Called after committed commands have been applied or a snapshot has been restored. */
	readonly onApplied?: () => void;
	/** Returns the engines that are currently announced, for planning role changes. */
	readonly listEngines?: () => Announcement[];
	/** Transport for orders to engines; by default the HTTP interface of the project's own engines. */
	readonly orderTransport?: OrderTransport;
	readonly controllerTiming?: ControllerTiming;
	readonly orderSafeguards?: OrderSafeguards;
	/** Returns all control hosts discovered so far; `peers` if absent. */
	readonly listPeers?: () => readonly Address[];
	/** Address of this host. If present, the host asks the control hosts to add it as a voter. */
	readonly self?: Peer;
	/** Whether this is the first start of the deployment, so that an initial configuration may be created; true if absent. */
	readonly canBootstrap?: boolean;
};

/** The leadership of this replica. */
export type LeaderLease = {
	/** Increases with each leader, and no two leaders share one. */
	readonly term: number;
	/** When this replica was elected in this term, monotonic, milliseconds. */
	readonly electedMs: number;
	/** Until when no other leader can exist, monotonic, milliseconds; minus infinity after a jump of a clock. */
	readonly leaseUntilMs: number;
};

/** An entry host's connection and the version of the last view update sent on it. */
type ViewSubscriber = {
	connection: Connection;
	sentVersion: number;
};

/** No view is pushed while this much is unsent on the connection; a slow entry host then gets only the newest. */
const MAX_BUFFERED_VIEW_BYTES = 32 * 1024;

const CONTROLLER_TICK_MS = 50;
const BOOTSTRAP_RETRY_MS = 100;
const HELLO_TIMEOUT_MS = 500;
/** A larger change of the offset between the wall clock and the monotonic clock means a suspended machine or a clock step. */
const CLOCK_JUMP_THRESHOLD_MS = 100;

/** The running control role of a process. The caller must close it. */
export class ControlService {
	readonly #options: ControlServiceOptions;
	readonly #logger: Logger;
	readonly #replica: string;
	readonly #storage: Storage;
	readonly #orderTransport: OrderTransport;
	readonly #subscribers = new Map<string, ViewSubscriber>();
	/** Connections with a handler that pushes views after a drain. */
	readonly #observedConnections = new WeakSet<Connection>();
	readonly #pendingPublication = new PendingPublication<Either.Either<Problem, CommitResult>>();
	#state = new ControlState();
	#node: ConsensusNode | undefined;
	#controller: Controller | undefined;
	#reconfigurator: Reconfigurator;
	#timer: NodeJS.Timeout | undefined;
	#joinRequester: JoinRequester | undefined;
	#leaderTerm = 0;
	#electedMs = Number.POSITIVE_INFINITY;
	#isDiskFailing = false;
	#clockOffsetMs: number | undefined;
	#distrustLeaseUntilMs = Number.NEGATIVE_INFINITY;
	#isClosed = false;

	private constructor(options: ControlServiceOptions, replica: string, storage: Storage) {
		this.#options = options;
		this.#logger = options.loggers('control');
		this.#replica = replica;
		this.#storage = storage;
		this.#reconfigurator = new Reconfigurator(options.reconfigurationTiming);
		this.#orderTransport = options.orderTransport ?? new HttpOrderTransport(options.clock);
	}

	/**
	 * Opens the data folder and starts the replica. Without stored state it waits to be bootstrapped or added as a voter.
	 *
	 * @example
	 * ```ts
	 * const service = await ControlService.start(options); // Either.left for a damaged folder
	 * ```
	 */
	static async start(options: ControlServiceOptions): Promise<Either.Either<Problem, ControlService>> {
		const replica = await loadOrCreateIdentity(options.folder);
		if (Either.isLeft(replica)) {
			return replica;
		}

		// The storage calls back into the service, which does not exist yet.
		const holder: {service?: ControlService} = {};
		const storage = await Storage.open(options.folder, {
			onSynced: sequence => holder.service?.markSynced(sequence),
			onWriteFailure: problem => holder.service?.reportDiskFailure(problem),
		});
		if (Either.isLeft(storage)) {
			return storage;
		}

		const service = new ControlService(options, replica.right, storage.right);
		holder.service = service;
		service.#start();
		return Either.right(service);
	}

	get replica(): string {
		return this.#replica;
	}

	get isLeader(): boolean {
		return this.#node?.replica.role === 'leader';
	}

	get commitIndex(): number {
		return this.#node?.replica.commitIndex ?? 0;
	}

	/** Approximate memory of the log entries that no snapshot covers, bytes. */
	get logBytes(): number {
		return this.#node?.replica.logBytes ?? 0;
	}

	/** Approximate memory of the log entries that are not synced to disk yet, bytes. */
	get unsyncedBytes(): number {
		return this.#node?.unsyncedBytes ?? 0;
	}

	/** Longest recent time for which this process did not run its timers although they were due, milliseconds. */
	get eventLoopDelayMs(): number {
		return this.#node?.getEventLoopDelayMs() ?? 0;
	}

	/** Whether this replica leads with a valid lease, or has heard from the leader within an election timeout. */
	get hasQuorum(): boolean {
		return this.#node?.replica.hasQuorumContact(this.#options.clock.monotonicMs()) ?? false;
	}

	/** Whether this replica leads, has the current commit index, and no other leader can exist yet. */
	get holdsLeaderLease(): boolean {
		return this.#holdsLeaderLease();
	}

	/** Reads the clocks and returns this replica's leadership; undefined unless it leads and has applied all that was committed before. */
	readLeaderLease(): LeaderLease | undefined {
		const {leaseUntilMs} = this.#readLeaseClock();
		return this.#node?.replica.isLeaderReady ? {term: this.#leaderTerm, electedMs: this.#electedMs, leaseUntilMs} : undefined;
	}

	/** The leader with which this replica is in contact, or this replica if it leads with a valid lease. */
	findLeader(): Member | undefined {
		return this.hasQuorum ? this.#node?.findLeader() : undefined;
	}

	/** The control state after the last entry that this replica has applied. */
	get state(): ControlState {
		return this.#state;
	}

	/** Returns all replicas of the current configuration; empty before there is one. */
	listMembers(): Member[] {
		return this.#node ? listMembers(this.#node.replica.configuration) : [];
	}

	/** Returns the voters of the current configuration, with those that a change still replaces; empty before there is one. */
	listVoters(): Member[] {
		const {configuration} = this.#node?.replica ?? {};
		return configuration ? listMembers({...configuration, learners: []}) : [];
	}

	/** Proposes a command on this replica; fails with `notLeader` unless it leads. */
	async propose(command: Command): Promise<Either.Either<Problem, CommitResult>> {
		return this.#node ? this.#node.propose(encodeCbor(command)) : Either.left(createProblem('notLeader'));
	}

	/** Logs the first of a series of failed disk writes. The replica keeps running as if its writes were slow. */
	reportDiskFailure(problem: Problem): void {
		if (!this.#isDiskFailing) {
			this.#isDiskFailing = true;
			this.#logger.error('Writing to the data folder fails; retrying.', {code: problem.code, reason: problem.text});
		}
	}

	markSynced(sequence: number): void {
		if (this.#isDiskFailing) {
			this.#isDiskFailing = false;
			this.#logger.info('Writing to the data folder works again.');
		}

		if (sequence > 0) {
			this.#node?.markSynced(sequence);
		}
	}

	/** Handles a message of the control protocol. Returns false for a message of another protocol. */
	receive(message: Message, connection: Connection): boolean {
		switch (message.type) {
			case 'hello': {
				connection.send(this.#createWelcome(message.id));
				return true;
			}

			case 'consensus': {
				this.#startNode();
				this.#node?.receive(message, connection);
				return true;
			}

			case 'propose': {
				void this.#onPropose(message, connection);
				return true;
			}

			case 'read': {
				void this.#onRead(message, connection);
				return true;
			}

			case 'renew': {
				this.#onRenew(message, connection);
				return true;
			}

			case 'members': {
				void this.#onMembers(message, connection);
				return true;
			}

			case 'join': {
				this.#onJoin(message.member);
				return true;
			}

			default: {
				return false;
			}
		}
	}

	/** Transfers leadership before a planned stop, so that the others need not wait for an election timeout. */
	transferLeadership(): void {
		this.#node?.transferLeadership();
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		clearInterval(this.#timer);
		this.#joinRequester?.close();
		await (this.#node ? this.#node.close() : this.#storage.close());
	}

	#start(): void {
		const {snapshot, entries} = this.#storage.persistentState;
		this.#timer = setInterval(() => {
			this.#tick();
		}, CONTROLLER_TICK_MS);
		if (this.#options.self) {
			this.#joinRequester = new JoinRequester({
				member: {replica: this.#replica, ...this.#options.self},
				clock: this.#options.clock,
				listTargets: () => this.#options.listPeers?.() ?? this.#options.peers,
				isJoined: () => this.#isVoterInContact(),
			});
		}

		if (snapshot.configuration.voters.length > 0 || entries.length > 0) {
			this.#startNode();
			return;
		}

		if (this.#options.canBootstrap !== false) {
			void this.#bootstrap();
		}
	}

	#isVoterInContact(): boolean {
		const {configuration} = this.#node?.replica ?? {};
		return configuration !== undefined && isVoter(configuration, this.#replica) && this.hasQuorum;
	}

	async #bootstrap(): Promise<void> {
		while (!this.#node && !this.#isClosed) {
			const replies = await this.#requestWelcomes();
			const self = {host: this.#options.host, replica: this.#replica};
			const configuration = createInitialConfiguration(self, this.#options.peers, replies)
				?? findInitialConfiguration(this.#replica, this.#options.peers, replies);
			if (configuration && !this.#node) {
				this.#logger.info('Starting with the initial configuration.', {voters: configuration.voters.map(({host}) => host)});
				this.#startNode(configuration);
				return;
			}

			await new Promise(resolve => {
				setTimeout(resolve, BOOTSTRAP_RETRY_MS);
			});
		}
	}

	async #requestWelcomes(): Promise<BootstrapReply[]> {
		const others = this.#options.peers.filter(peer => peer.host !== this.#options.host);
		const replies = await Promise.all(others.map(async peer => {
			const welcome = await requestWelcome(peer);
			return welcome && {peer, welcome};
		}));
		return replies.filter(reply => reply !== undefined);
	}

	#startNode(initialConfiguration?: Configuration): void {
		if (this.#node !== undefined || this.#isClosed) {
			return;
		}

		const {hard, snapshot, entries} = this.#storage.persistentState;
		const stateMachine: StateMachine = {
			apply: entry => this.#apply(entry),
			skip: index => {
				this.#state.skip(index);
			},
			createSnapshot: () => encodeCbor(this.#state.createSnapshot()),
			restore: data => {
				this.#state = new ControlState(decodeCbor(data) as ControlStateSnapshot);
			},
		};
		const initialSnapshot = initialConfiguration ? {...EMPTY_SNAPSHOT, configuration: initialConfiguration} : snapshot;
		if (initialConfiguration) {
			this.#storage.write(0, [{type: 'snapshot', snapshot: initialSnapshot}]);
		}

		this.#node = new ConsensusNode({
			replica: this.#replica,
			persistentState: {hard, snapshot: initialSnapshot, entries},
			storage: this.#storage,
			stateMachine,
			clock: this.#options.clock,
			random: this.#options.random,
			logger: this.#options.loggers('consensus'),
			timing: this.#options.timing,
			...(this.#options.limits && {limits: this.#options.limits}),
			onLeadershipChange: leadership => {
				this.#onLeadership(leadership);
			},
			onApplied: () => {
				this.#onApplied();
			},
			onEvent: event => {
				this.#options.onConsensusEvent?.(event);
			},
		});
	}

	#apply(entry: CommandEntry): CommandOutcome {
		return this.#state.apply(decodeCbor(entry.data) as Command, entry.index);
	}

	#onLeadership({role, term}: Leadership): void {
		if (role === 'leader') {
			this.#leaderTerm = term;
			this.#electedMs = this.#options.clock.monotonicMs();
			this.#controller = new Controller(this.#options.clock.monotonicMs(), this.#options.controllerTiming, this.#options.orderSafeguards);
			this.#reconfigurator = new Reconfigurator(this.#options.reconfigurationTiming);
			return;
		}

		this.#controller = undefined;
		this.#reconfigurator = new Reconfigurator(this.#options.reconfigurationTiming);
		this.#subscribers.clear();
	}

	#onApplied(): void {
		this.#options.onCommit?.();
		this.#options.onApplied?.();
		if (!this.#controller || !this.#holdsLeaderLease()) {
			return;
		}

		for (const subscriber of this.#subscribers.values()) {
			this.#pushView(subscriber);
		}
	}

	/** Pushes the newest view to the subscribers of a connection whenever it has sent what was buffered. */
	#pushAfterDrain(connection: Connection): void {
		if (this.#observedConnections.has(connection)) {
			return;
		}

		this.#observedConnections.add(connection);
		connection.onDrain(() => {
			for (const subscriber of this.#subscribers.values()) {
				if (subscriber.connection === connection && this.#holdsLeaderLease()) {
					this.#pushView(subscriber);
				}
			}
		});
	}

	#pushView(subscriber: ViewSubscriber): void {
		if (subscriber.sentVersion < this.#state.viewVersion && subscriber.connection.bufferedBytes < MAX_BUFFERED_VIEW_BYTES) {
			this.#sendView(subscriber, 0, 0);
		}
	}

	/** Whether this replica leads, has the current commit index, and no other leader can exist yet. */
	#holdsLeaderLease(): boolean {
		const node = this.#node;
		return node !== undefined && node.replica.isLeaderReady && node.getLeaseExpiryMs() > this.#options.clock.monotonicMs();
	}

	#tick(): void {
		const node = this.#node;
		if (!this.#controller || !node?.replica.isLeaderReady) {
			return;
		}

		const leaseClock = this.#readLeaseClock();
		const engines = this.#options.listEngines?.() ?? [];
		for (const engine of engines) {
			this.#controller.observe(engine, leaseClock.nowMs);
		}

		const effects = [
			...this.#controller.tick(this.#state, leaseClock),
			...this.#controller.planRoleChanges(this.#state, engines, leaseClock),
		];
		for (const effect of effects) {
			void this.#runEffect(effect);
		}

		this.#tickReconfiguration(node);
	}

	#readLeaseClock(): LeaseClock {
		const nowMs = this.#options.clock.monotonicMs();
		const wallMs = this.#options.clock.wallMs();
		this.#detectClockJump(nowMs, wallMs);
		const leaseUntilMs = nowMs < this.#distrustLeaseUntilMs ? Number.NEGATIVE_INFINITY : this.#node?.getLeaseExpiryMs() ?? Number.NEGATIVE_INFINITY;
		return {nowMs, wallMs, leaseUntilMs};
	}

	/**
	 * Ignores the lease for one election timeout after a clock jump. The monotonic clock stands still while a machine is
	 * suspended, so a lease that has expired meanwhile would still look valid.
	 */
	#detectClockJump(nowMs: number, wallMs: number): void {
		const offsetMs = wallMs - nowMs;
		if (Math.abs(offsetMs - (this.#clockOffsetMs ?? offsetMs)) > CLOCK_JUMP_THRESHOLD_MS) {
			this.#distrustLeaseUntilMs = nowMs + (this.#node?.replica.timing.electionMs ?? 0);
		}

		this.#clockOffsetMs = offsetMs;
	}

	async #runEffect(effect: ControllerEffect): Promise<void> {
		if (effect.type === 'propose') {
			this.#logProposal(effect.command);
			await this.#node?.propose(encodeCbor(effect.command));
			return;
		}

		const term = this.#leaderTerm;
		const {server, order} = effect;
		this.#logger.info(effect.type === 'send-order' ? `Sending order ${order.order} to ${order.server}.` : `Querying order ${order.order} at ${order.server}.`, {
			order: order.order, server: order.server, action: order.action, checksFence: server.checksFence ?? false,
		});
		const report = effect.type === 'send-order'
			? await this.#orderTransport.send(effect)
			: await this.#orderTransport.queryOrder(server, order, effect.isOwn);
		this.#onReport(report, term);
	}

	#onReport(report: OrderReport, term: number): void {
		if (!this.#controller || term !== this.#leaderTerm) {
			return;
		}

		this.#logger.info(`Status of order ${report.order} at ${report.server}: ${report.type}.`, {...report});
		for (const effect of this.#controller.handleReport(report, this.#readLeaseClock())) {
			void this.#runEffect(effect);
		}
	}

	#logProposal(command: Command): void {
		if (command.type === 'advance') {
			this.#logger.info(`Proposing phase ${command.phase} for change ${command.change}.`, {change: command.change, phase: command.phase, reason: command.note});
		}

		if (command.type === 'put' && command.specification.kind === 'change') {
			this.#logger.info(`Proposing change ${command.name}.`, {change: command.specification, reason: command.specification.reason});
		}

		if (command.type === 'settle') {
			this.#logger.warn('Settling a claim whose entry host has failed.', {key: command.key, attempt: command.attempt});
		}
	}

	async #onPropose(message: ProposeRequest, connection: Connection): Promise<void> {
		const node = this.#node;
		if (!node?.replica.isLeaderReady) {
			this.#refuse(message.id, createProblem('notLeader'), connection);
			return;
		}

		const result = await this.#proposeOnce(message.command, node);
		if (Either.isLeft(result)) {
			this.#refuse(message.id, result.left, connection);
			return;
		}

		const {index, outcome} = result.right;
		connection.send({
			type: 'proposed', id: message.id, index, outcome: outcome as CommandOutcome,
		});
	}

	/** Proposes a command, unless it is a publication that a stored one or one on its way has overtaken. */
	async #proposeOnce(command: Command, node: ConsensusNode): Promise<Either.Either<Problem, CommitResult>> {
		const propose = async () => node.propose(encodeCbor({...command, at: this.#options.clock.wallMs()}));
		if (command.type !== 'put' || command.specification.kind !== 'publication') {
			return propose();
		}

		const {version} = command.specification;
		const stored = this.#state.findResource('publication', PUBLICATION_NAME);
		if (stored?.specification.kind === 'publication' && stored.specification.version >= version) {
			const outcome: CommandOutcome = {type: 'accepted', version: stored.version};
			return Either.right({index: stored.version, outcome});
		}

		return this.#pendingPublication.findResult(version) ?? this.#pendingPublication.track(version, propose());
	}

	async #onRead(message: ReadRequest, connection: Connection): Promise<void> {
		const read = this.#node ? await this.#node.awaitReadIndex() : Either.left(createProblem('notLeader'));
		if (Either.isLeft(read)) {
			this.#refuse(message.id, read.left, connection);
			return;
		}

		connection.send({type: 'listing', id: message.id, view: this.#state.createViewUpdate(message.from)});
	}

	#onRenew(message: RenewRequest, connection: Connection): void {
		if (!this.#controller || !this.#holdsLeaderLease()) {
			this.#refuse(message.id, createProblem('notLeader'), connection);
			return;
		}

		const leaseMs = this.#controller.renewViewLease(message, this.#options.clock.monotonicMs());
		const subscriber: ViewSubscriber = {connection, sentVersion: message.version};
		this.#subscribers.set(message.host, subscriber);
		this.#pushAfterDrain(connection);
		this.#sendView(subscriber, message.id, leaseMs);
		if (message.leaving) {
			this.#subscribers.delete(message.host);
		}
	}

	#sendView(subscriber: ViewSubscriber, id: number, leaseMs: number): void {
		const view = this.#state.createViewUpdate(subscriber.sentVersion);
		subscriber.sentVersion = view.version;
		subscriber.connection.send({
			type: 'renewed', id, leaseMs, view, members: listMembers(this.#node!.replica.configuration),
		});
	}

	async #onMembers(message: MembersRequest, connection: Connection): Promise<void> {
		const node = this.#node;
		if (!node?.replica.isLeaderReady) {
			this.#refuse(message.id, createProblem('notLeader'), connection);
			return;
		}

		if (message.action !== 'list') {
			const reconfiguration = await this.#planReconfiguration(message);
			const started = Either.isLeft(reconfiguration) ? reconfiguration : this.#startReconfiguration(reconfiguration.right, node);
			if (Either.isLeft(started)) {
				this.#refuse(message.id, started.left, connection);
				return;
			}
		}

		connection.send(this.#createMembersReply(message.id, node));
	}

	async #planReconfiguration(message: MembersRequest): Promise<Either.Either<Problem, Reconfiguration>> {
		if (message.action === 'remove') {
			return Either.right({remove: message.replica ?? ''});
		}

		if (!message.member) {
			return Either.left(createProblem('membershipRefused', 'No host was named.'));
		}

		const welcome = await requestWelcome(message.member);
		if (!welcome) {
			return Either.left(createProblem('membershipRefused', `Host ${message.member.host} does not answer.`));
		}

		const add: Member = {replica: welcome.replica, ...message.member};
		return Either.right(message.action === 'replace' ? {add, remove: message.replica ?? ''} : {add});
	}

	#onJoin(member: Member): void {
		const node = this.#node;
		if (!node?.replica.isLeaderReady) {
			return;
		}

		const reconfiguration = this.#reconfigurator.planJoin(member, this.#getConfigurationStatus(node), this.#options.clock.monotonicMs());
		if (reconfiguration) {
			this.#startReconfiguration(reconfiguration, node);
		}
	}

	#startReconfiguration(reconfiguration: Reconfiguration, node: ConsensusNode): Either.Either<Problem, Reconfiguration> {
		const started = this.#reconfigurator.start(reconfiguration, this.#getConfigurationStatus(node), this.#options.clock.monotonicMs());
		if (Either.isRight(started)) {
			this.#logger.info(`Starting reconfiguration: ${describeReconfiguration(reconfiguration)}.`);
			this.#tickReconfiguration(node);
		}

		return started;
	}

	#tickReconfiguration(node: ConsensusNode): void {
		const event = this.#reconfigurator.tick(this.#getConfigurationStatus(node), this.#options.clock.monotonicMs());
		if (event?.type === 'propose-configuration') {
			node.proposeConfiguration(event.configuration);
		} else if (event) {
			this.#logger.info(`Reconfiguration ${event.type}: ${describeReconfiguration(event.reconfiguration)}.`);
		}
	}

	#getConfigurationStatus(node: ConsensusNode): ConfigurationStatus {
		const nowMs = this.#options.clock.monotonicMs();
		return {
			configuration: node.replica.configuration,
			isCommitted: node.replica.isConfigurationCommitted,
			commitIndex: node.replica.commitIndex,
			getProgress: replica => node.replica.getProgress(replica, nowMs),
		};
	}

	#createMembersReply(id: number, node: ConsensusNode): MembersReply {
		const status = this.#getConfigurationStatus(node);
		const progress = listMembers(status.configuration).map(({replica}) => ({replica, ...status.getProgress(replica)}));
		const {current} = this.#reconfigurator;
		const repair = current ? {repair: describeReconfiguration(current)} : {};
		return {
			type: 'members-reply',
			id,
			configuration: status.configuration,
			leader: this.#replica,
			term: node.replica.term,
			commitIndex: status.commitIndex,
			progress,
			...repair,
		};
	}

	#createWelcome(id: number): Welcome {
		const welcome: Welcome = {
			type: 'welcome', id, host: this.#options.host, replica: this.#replica,
		};
		return this.#node ? {...welcome, configuration: this.#node.replica.configuration} : welcome;
	}

	#refuse(id: number, problem: Problem, connection: Connection): void {
		const leader = this.#node?.findLeader();
		const refusal = {
			type: 'refused', id, code: problem.code, text: problem.text,
		} as const;
		connection.send(leader ? {...refusal, leader} : refusal);
	}
}

/** Requests a control host's identity and configuration; undefined if it does not reply in time. */
async function requestWelcome(peer: Peer): Promise<Welcome | undefined> {
	return new Promise(resolve => {
		const connection = connect(peer, message => {
			if (message.type === 'welcome') {
				finish(message);
			}
		});
		const timer = setTimeout(() => {
			finish();
		}, HELLO_TIMEOUT_MS);
		const finish = (welcome?: Welcome) => {
			clearTimeout(timer);
			connection.close();
			resolve(welcome);
		};

		connection.onClose(() => {
			finish();
		});
		connection.send({type: 'hello', id: 1});
	});
}
