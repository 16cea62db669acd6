/**
 * The control role of a process: the replica, the state it drives, and what the leader answers and does.
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
	ConsensusNode, type CommitResult, type Leadership, type StateMachine,
} from '../consensus/node.js';
import type {ReplicaTiming} from '../consensus/replica.js';
import {
	EMPTY_SNAPSHOT, loadOrCreateIdentity, Storage,
} from '../consensus/storage.js';
import type {
	Announcement, Command, CommandEntry, Configuration, Member, MembersRequest, MembersReply, Message, CommandOutcome, Peer, ProposeRequest, ReadRequest, RenewRequest, Welcome,
} from '../generated/types.js';
import {decodeCbor, encodeCbor} from '../wire/frame.js';
import {
	connect, ConnectionPool, type Address, type Connection,
} from '../wire/connection.js';
import {findInitialConfiguration, createInitialConfiguration, type BootstrapReply} from './bootstrap.js';
import {
	Controller, type LeaseClock, type ControllerEffect, type ControllerTiming, type OrderSafeguards, type OrderReport,
} from './controller.js';
import {describeReconfiguration, type ConfigurationStatus, type Reconfiguration} from './reconfiguration.js';
import {HttpOrderTransport, type OrderTransport} from './order.js';
import {Reconfigurator} from './reconfigurator.js';
import {ControlState, type ControlStateSnapshot} from './state.js';

export type ControlServiceOptions = {
	readonly host: string;
	readonly folder: string;
	readonly peers: readonly Peer[];
	readonly clock: Clock;
	readonly random: Random;
	readonly loggers: LoggerFactory;
	readonly timing?: ReplicaTiming;
	readonly onCommit?: () => void;
	/** Called when committed commands were applied, or a snapshot took their place. */
	readonly onApplied?: () => void;
	/** Engines that are announced now, for the choice of roles. */
	readonly listEngines?: () => Announcement[];
	/** How orders reach engines; the project's own form if absent. */
	readonly orderTransport?: OrderTransport;
	readonly controllerTiming?: ControllerTiming;
	readonly orderSafeguards?: OrderSafeguards;
	/** Every control host heard of so far; `peers` if absent. */
	readonly listPeers?: () => readonly Address[];
	/** Where this host is reached, if it asks to be taken in by itself; `peers` are asked. */
	readonly self?: Peer;
	/** Whether the whole fleet starts for the first time; otherwise nobody forms a first configuration. */
	readonly canBootstrap?: boolean;
};

type Subscriber = {
	connection: Connection;
	sentVersion: number;
};

const CONTROLLER_TICK_MS = 50;
const BOOTSTRAP_RETRY_MS = 100;
const HELLO_TIMEOUT_MS = 500;
const JOIN_INTERVAL_MS = 500;
/** Drift between the steady clock and the time of day, from one look to the next, that means a sleep or a step. */
const CLOCK_JUMP_MS = 100;

/** The running control role. Whoever started it closes it. */
export class ControlService {
	readonly #options: ControlServiceOptions;
	readonly #logger: Logger;
	readonly #replica: string;
	readonly #storage: Storage;
	readonly #orders: OrderTransport;
	readonly #subscribers = new Map<string, Subscriber>();
	#state = new ControlState();
	#node: ConsensusNode | undefined;
	#controller: Controller | undefined;
	#repairs = new Reconfigurator();
	#timer: NodeJS.Timeout | undefined;
	#joinTimer: NodeJS.Timeout | undefined;
	#joinPool: ConnectionPool | undefined;
	#leaderTerm = 0;
	#isDiskFailing = false;
	#clockOffsetMs: number | undefined;
	#distrustUntilMs = Number.NEGATIVE_INFINITY;
	#isClosed = false;

	private constructor(options: ControlServiceOptions, replica: string, storage: Storage) {
		this.#options = options;
		this.#logger = options.loggers('control');
		this.#replica = replica;
		this.#storage = storage;
		this.#orders = options.orderTransport ?? new HttpOrderTransport(options.clock);
	}

	/**
	 * Opens the data folder and starts the replica, or waits to be bootstrapped or admitted.
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

		// The storage reports to a service that is made after it.
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
		service.#begin();
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

	/** Whether a majority was in touch with this replica a moment ago. */
	get hasQuorum(): boolean {
		return this.#node?.replica.hasQuorumContact(this.#options.clock.monotonicMs()) ?? false;
	}

	/** Whether this replica leads, knows all that is committed, and has no successor yet. */
	get holdsLeaderLease(): boolean {
		return this.#holdsLeaderLease();
	}

	/** The state as far as this replica has applied the log. */
	get state(): ControlState {
		return this.#state;
	}

	/** Every replica of the configuration in force; empty before the first one. */
	listMembers(): Member[] {
		return this.#node ? listMembers(this.#node.replica.configuration) : [];
	}

	/** Proposes a command here; refused unless this replica leads. */
	async propose(command: Command): Promise<Either.Either<Problem, CommitResult>> {
		return this.#node ? this.#node.propose(encodeCbor(command)) : Either.left(createProblem('notLeader'));
	}

	/** Notes that the disk takes no writes; the replica goes on as one whose writes are slow. */
	reportDiskFailure(problem: Problem): void {
		if (!this.#isDiskFailing) {
			this.#isDiskFailing = true;
			this.#logger.error('The disk takes no writes.', {code: problem.code, reason: problem.text});
		}
	}

	markSynced(sequence: number): void {
		if (this.#isDiskFailing) {
			this.#isDiskFailing = false;
			this.#logger.info('The disk takes writes again.');
		}

		if (sequence > 0) {
			this.#node?.markSynced(sequence);
		}
	}

	/** Takes a message of the control protocol; true if it was one. */
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

	/** Hands leadership over, so that a planned stop costs no election. */
	transferLeadership(): void {
		this.#node?.transferLeadership();
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		clearInterval(this.#timer);
		clearInterval(this.#joinTimer);
		this.#joinPool?.close();
		await (this.#node ? this.#node.close() : this.#storage.close());
	}

	#begin(): void {
		const {snapshot, entries} = this.#storage.persistentState;
		this.#timer = setInterval(() => {
			this.#tick();
		}, CONTROLLER_TICK_MS);
		this.#askToJoin();
		if (snapshot.configuration.voters.length > 0 || entries.length > 0) {
			this.#startNode();
			return;
		}

		if (this.#options.canBootstrap !== false) {
			void this.#bootstrap();
		}
	}

	/** Asks to be taken in until this replica votes; the leader alone answers, by doing it. */
	#askToJoin(): void {
		const {self} = this.#options;
		if (!self) {
			return;
		}

		const pool = new ConnectionPool(() => undefined);
		const member: Member = {replica: this.#replica, ...self};
		this.#joinPool = pool;
		this.#joinTimer = setInterval(() => {
			const {configuration} = this.#node?.replica ?? {};
			if (configuration && isVoter(configuration, this.#replica)) {
				pool.close();
				return;
			}

			for (const target of this.#options.listPeers?.() ?? this.#options.peers) {
				if (target.address !== self.address || target.port !== self.port) {
					pool.send(target, {type: 'join', member});
				}
			}
		}, JOIN_INTERVAL_MS);
	}

	async #bootstrap(): Promise<void> {
		while (!this.#node && !this.#isClosed) {
			const answers = await this.#askPeers();
			const self = {host: this.#options.host, replica: this.#replica};
			const configuration = createInitialConfiguration(self, this.#options.peers, answers)
				?? findInitialConfiguration(this.#replica, this.#options.peers, answers);
			if (configuration && !this.#node) {
				this.#logger.info('Starts from the first configuration.', {voters: configuration.voters.map(({host}) => host)});
				this.#startNode(configuration);
				return;
			}

			await new Promise(resolve => {
				setTimeout(resolve, BOOTSTRAP_RETRY_MS);
			});
		}
	}

	async #askPeers(): Promise<BootstrapReply[]> {
		const others = this.#options.peers.filter(peer => peer.host !== this.#options.host);
		const answers = await Promise.all(others.map(async peer => {
			const welcome = await askHello(peer);
			return welcome && {peer, welcome};
		}));
		return answers.filter(answer => answer !== undefined);
	}

	#startNode(first?: Configuration): void {
		if (this.#node !== undefined || this.#isClosed) {
			return;
		}

		const {hard, snapshot, entries} = this.#storage.persistentState;
		const machine: StateMachine = {
			apply: entry => this.#apply(entry),
			skip: index => {
				this.#state.skip(index);
			},
			createSnapshot: () => encodeCbor(this.#state.createSnapshot()),
			restore: data => {
				this.#state = new ControlState(decodeCbor(data) as ControlStateSnapshot);
			},
		};
		const configured = first ? {...EMPTY_SNAPSHOT, configuration: first} : snapshot;
		if (first) {
			this.#storage.write(0, [{type: 'snapshot', snapshot: configured}]);
		}

		this.#node = new ConsensusNode({
			replica: this.#replica,
			persistentState: {hard, snapshot: configured, entries},
			storage: this.#storage,
			stateMachine: machine,
			clock: this.#options.clock,
			random: this.#options.random,
			logger: this.#options.loggers('consensus'),
			timing: this.#options.timing,
			onLeadershipChange: leadership => {
				this.#onLeadership(leadership);
			},
			onApplied: () => {
				this.#onApplied();
			},
		});
	}

	#apply(entry: CommandEntry): CommandOutcome {
		return this.#state.apply(decodeCbor(entry.data) as Command, entry.index);
	}

	#onLeadership({role, term}: Leadership): void {
		if (role === 'leader') {
			this.#leaderTerm = term;
			this.#controller = new Controller(this.#options.clock.monotonicMs(), this.#options.controllerTiming, this.#options.orderSafeguards);
			this.#repairs = new Reconfigurator();
			return;
		}

		this.#controller = undefined;
		this.#repairs = new Reconfigurator();
		this.#subscribers.clear();
	}

	#onApplied(): void {
		this.#options.onCommit?.();
		this.#options.onApplied?.();
		if (!this.#controller || !this.#holdsLeaderLease()) {
			return;
		}

		for (const subscriber of this.#subscribers.values()) {
			if (subscriber.sentVersion < this.#state.viewVersion) {
				this.#sendView(subscriber, 0, 0);
			}
		}
	}

	/** Whether this replica leads, knows all that is committed and can have no successor yet. */
	#holdsLeaderLease(): boolean {
		const node = this.#node;
		return node !== undefined && node.replica.isLeaderReady && node.getLeaseExpiryMs() > this.#options.clock.monotonicMs();
	}

	#tick(): void {
		const node = this.#node;
		if (!this.#controller || !node?.replica.isLeaderReady) {
			return;
		}

		const authority = this.#authority();
		const engines = this.#options.listEngines?.() ?? [];
		for (const engine of engines) {
			this.#controller.observe(engine, authority.nowMs);
		}

		const effects = [
			...this.#controller.tick(this.#state, authority),
			...this.#controller.planRoleChanges(this.#state, engines, authority),
		];
		for (const effect of effects) {
			void this.#run(effect);
		}

		this.#tickRepair(node);
	}

	#authority(): LeaseClock {
		const nowMs = this.#options.clock.monotonicMs();
		const wallMs = this.#options.clock.wallMs();
		this.#watchClocks(nowMs, wallMs);
		const leaseUntilMs = nowMs < this.#distrustUntilMs ? Number.NEGATIVE_INFINITY : this.#node?.getLeaseExpiryMs() ?? Number.NEGATIVE_INFINITY;
		return {nowMs, wallMs, leaseUntilMs};
	}

	/** A machine that slept has a steady clock that stood still: its lease is over though it does not look so. */
	#watchClocks(nowMs: number, wallMs: number): void {
		const offsetMs = wallMs - nowMs;
		if (Math.abs(offsetMs - (this.#clockOffsetMs ?? offsetMs)) > CLOCK_JUMP_MS) {
			this.#distrustUntilMs = nowMs + (this.#node?.replica.timing.electionMs ?? 0);
		}

		this.#clockOffsetMs = offsetMs;
	}

	async #run(effect: ControllerEffect): Promise<void> {
		if (effect.type === 'propose') {
			this.#logProposal(effect.command);
			await this.#node?.propose(encodeCbor(effect.command));
			return;
		}

		const term = this.#leaderTerm;
		const {server, order} = effect;
		this.#logger.info(effect.type === 'send-order' ? `Sends order ${order.order} to ${order.server}.` : `Reads back order ${order.order} from ${order.server}.`, {
			order: order.order, server: order.server, action: order.action, checksFence: server.checksFence ?? false,
		});
		const report = effect.type === 'send-order'
			? await this.#orders.send(effect)
			: await this.#orders.queryOrder(server, order, effect.isOwn);
		this.#onReport(report, term);
	}

	#onReport(report: OrderReport, term: number): void {
		if (!this.#controller || term !== this.#leaderTerm) {
			return;
		}

		this.#logger.info(`Order ${report.order} at ${report.server} is ${report.type}.`, {...report});
		for (const effect of this.#controller.handleReport(report, this.#authority())) {
			void this.#run(effect);
		}
	}

	#logProposal(command: Command): void {
		if (command.type === 'advance') {
			this.#logger.info(`Change ${command.change} becomes ${command.phase}.`, {change: command.change, phase: command.phase, reason: command.note});
		}

		if (command.type === 'put' && command.specification.kind === 'change') {
			this.#logger.info(`Chooses the change ${command.name}.`, {change: command.specification, reason: command.specification.reason});
		}

		if (command.type === 'settle') {
			this.#logger.warn('Closes a claim whose host is gone.', {key: command.key, attempt: command.attempt});
		}
	}

	async #onPropose(message: ProposeRequest, connection: Connection): Promise<void> {
		const node = this.#node;
		if (!node?.replica.isLeaderReady) {
			this.#refuse(message.id, createProblem('notLeader'), connection);
			return;
		}

		const command = {...message.command, at: this.#options.clock.wallMs()};
		const result = await node.propose(encodeCbor(command));
		if (Either.isLeft(result)) {
			this.#refuse(message.id, result.left, connection);
			return;
		}

		const {index, outcome} = result.right;
		connection.send({
			type: 'proposed', id: message.id, index, outcome: outcome as CommandOutcome,
		});
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
		const subscriber: Subscriber = {connection, sentVersion: message.version};
		this.#subscribers.set(message.host, subscriber);
		this.#sendView(subscriber, message.id, leaseMs);
		if (message.leaving) {
			this.#subscribers.delete(message.host);
		}
	}

	#sendView(subscriber: Subscriber, id: number, leaseMs: number): void {
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
			const repair = await this.#planRepair(message);
			const begun = Either.isLeft(repair) ? repair : this.#beginRepair(repair.right, node);
			if (Either.isLeft(begun)) {
				this.#refuse(message.id, begun.left, connection);
				return;
			}
		}

		connection.send(this.#createMembersReply(message.id, node));
	}

	async #planRepair(message: MembersRequest): Promise<Either.Either<Problem, Reconfiguration>> {
		if (message.action === 'remove') {
			return Either.right({remove: message.replica ?? ''});
		}

		if (!message.member) {
			return Either.left(createProblem('membershipRefused', 'No host was named.'));
		}

		const welcome = await askHello(message.member);
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

		const repair = this.#repairs.planJoin(member, this.#membersView(node), this.#options.clock.monotonicMs());
		if (repair) {
			this.#beginRepair(repair, node);
		}
	}

	#beginRepair(repair: Reconfiguration, node: ConsensusNode): Either.Either<Problem, Reconfiguration> {
		const begun = this.#repairs.start(repair, this.#membersView(node), this.#options.clock.monotonicMs());
		if (Either.isRight(begun)) {
			this.#logger.info(`Begins a repair: ${describeReconfiguration(repair)}.`);
			this.#tickRepair(node);
		}

		return begun;
	}

	#tickRepair(node: ConsensusNode): void {
		const event = this.#repairs.tick(this.#membersView(node), this.#options.clock.monotonicMs());
		if (event?.type === 'propose-configuration') {
			node.proposeConfiguration(event.configuration);
		} else if (event) {
			this.#logger.info(`Repair ${event.type}: ${describeReconfiguration(event.reconfiguration)}.`);
		}
	}

	#membersView(node: ConsensusNode): ConfigurationStatus {
		const nowMs = this.#options.clock.monotonicMs();
		return {
			configuration: node.replica.configuration,
			isCommitted: node.replica.isConfigurationCommitted,
			commitIndex: node.replica.commitIndex,
			getProgress: replica => node.replica.getProgress(replica, nowMs),
		};
	}

	#createMembersReply(id: number, node: ConsensusNode): MembersReply {
		const view = this.#membersView(node);
		const progress = listMembers(view.configuration).map(({replica}) => ({replica, ...view.getProgress(replica)}));
		const {current} = this.#repairs;
		const repair = current ? {repair: describeReconfiguration(current)} : {};
		return {
			type: 'members-reply',
			id,
			configuration: view.configuration,
			leader: this.#replica,
			term: node.replica.term,
			commitIndex: view.commitIndex,
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

/** Asks a control host who it is; undefined if it does not answer. */
async function askHello(peer: Peer): Promise<Welcome | undefined> {
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
