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
import {listMembers} from '../consensus/configuration.js';
import {ConsensusNode, type Leadership, type Machine} from '../consensus/node.js';
import type {Timing} from '../consensus/replica.js';
import {
	EMPTY_SNAPSHOT, readIdentity, Storage,
} from '../consensus/storage.js';
import type {
	Announcement, Command, CommandEntry, Configuration, Member, Members, MembersReply, Message, Outcome, Peer, Propose, Read, Renew, Welcome,
} from '../generated/types.js';
import {decodeValue, encodeValue} from '../wire/frame.js';
import {connect, type Connection} from '../wire/connection.js';
import {adoptConfiguration, formConfiguration, type BootstrapAnswer} from './bootstrap.js';
import {
	Controller, type Authority, type ControllerEffect, type OrderReport,
} from './controller.js';
import {
	checkRepair, describeRepair, isRepaired, nextConfiguration, type MembersView, type Repair,
} from './members.js';
import {readBack, sendOrder} from './order.js';
import {ControlState, type StateImage} from './state.js';

export type ServiceOptions = {
	readonly host: string;
	readonly folder: string;
	readonly peers: readonly Peer[];
	readonly clock: Clock;
	readonly random: Random;
	readonly loggers: LoggerFactory;
	readonly timing?: Timing;
	readonly onFatal: (problem: Problem) => void;
	readonly onCommit?: () => void;
	/** Engines that are announced now, for the choice of roles. */
	readonly listEngines?: () => Announcement[];
};

type Subscriber = {
	connection: Connection;
	sentVersion: number;
};

const CONTROLLER_TICK_MS = 50;
const BOOTSTRAP_RETRY_MS = 100;
const HELLO_TIMEOUT_MS = 500;

/** The running control role. Whoever started it closes it. */
export class ControlService {
	readonly #options: ServiceOptions;
	readonly #logger: Logger;
	readonly #replica: string;
	readonly #storage: Storage;
	readonly #subscribers = new Map<string, Subscriber>();
	#state = new ControlState();
	#node: ConsensusNode | undefined;
	#controller: Controller | undefined;
	#repair: Repair | undefined;
	#timer: NodeJS.Timeout | undefined;
	#leaderTerm = 0;
	#isClosed = false;

	private constructor(options: ServiceOptions, replica: string, storage: Storage) {
		this.#options = options;
		this.#logger = options.loggers('control');
		this.#replica = replica;
		this.#storage = storage;
	}

	/**
	 * Opens the data folder and starts the replica, or waits to be bootstrapped or admitted.
	 *
	 * @example
	 * ```ts
	 * const service = await ControlService.start(options); // Either.left for a damaged folder
	 * ```
	 */
	static async start(options: ServiceOptions): Promise<Either.Either<Problem, ControlService>> {
		const replica = await readIdentity(options.folder);
		if (Either.isLeft(replica)) {
			return replica;
		}

		// The storage reports to a service that is made after it.
		const holder: {service?: ControlService} = {};
		const storage = await Storage.open(options.folder, {
			onSynced: sequence => holder.service?.synced(sequence),
			onFailed: options.onFatal,
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

	synced(sequence: number): void {
		if (sequence > 0) {
			this.#node?.synced(sequence);
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

			default: {
				return false;
			}
		}
	}

	/** Hands leadership over, so that a planned stop costs no election. */
	handOver(): void {
		this.#node?.handOver();
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		clearInterval(this.#timer);
		await (this.#node ? this.#node.close() : this.#storage.close());
	}

	#begin(): void {
		const {snapshot, entries} = this.#storage.image;
		this.#timer = setInterval(() => {
			this.#tick();
		}, CONTROLLER_TICK_MS);
		if (snapshot.configuration.voters.length > 0 || entries.length > 0) {
			this.#startNode();
			return;
		}

		void this.#bootstrap();
	}

	async #bootstrap(): Promise<void> {
		while (!this.#node && !this.#isClosed) {
			const answers = await this.#askPeers();
			const self = {host: this.#options.host, replica: this.#replica};
			const configuration = formConfiguration(self, this.#options.peers, answers)
				?? adoptConfiguration(this.#replica, this.#options.peers, answers);
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

	async #askPeers(): Promise<BootstrapAnswer[]> {
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

		const {hard, snapshot, entries} = this.#storage.image;
		const machine: Machine = {
			apply: entry => this.#apply(entry),
			skip: index => {
				this.#state.skip(index);
			},
			save: () => encodeValue(this.#state.save()),
			restore: data => {
				this.#state = new ControlState(decodeValue(data) as StateImage);
			},
		};
		const configured = first ? {...EMPTY_SNAPSHOT, configuration: first} : snapshot;
		if (first) {
			this.#storage.write(0, [{type: 'snapshot', snapshot: configured}]);
		}

		this.#node = new ConsensusNode({
			replica: this.#replica,
			image: {hard, snapshot: configured, entries},
			storage: this.#storage,
			machine,
			clock: this.#options.clock,
			random: this.#options.random,
			logger: this.#options.loggers('consensus'),
			timing: this.#options.timing,
			onLeadership: leadership => {
				this.#onLeadership(leadership);
			},
			onApplied: () => {
				this.#onApplied();
			},
		});
	}

	#apply(entry: CommandEntry): Outcome {
		return this.#state.apply(decodeValue(entry.data) as Command, entry.index);
	}

	#onLeadership({role, term}: Leadership): void {
		if (role === 'leader') {
			this.#leaderTerm = term;
			this.#controller = new Controller(this.#options.clock.monotonicMs());
			return;
		}

		this.#controller = undefined;
		this.#repair = undefined;
		this.#subscribers.clear();
	}

	#onApplied(): void {
		this.#options.onCommit?.();
		if (!this.#controller || !this.#hasAuthority()) {
			return;
		}

		for (const subscriber of this.#subscribers.values()) {
			if (subscriber.sentVersion < this.#state.viewVersion) {
				this.#sendView(subscriber, 0, 0);
			}
		}
	}

	/** Whether this replica leads, knows all that is committed and can have no successor yet. */
	#hasAuthority(): boolean {
		const node = this.#node;
		return node !== undefined && node.replica.isLeaderReady && node.leaseUntilMs() > this.#options.clock.monotonicMs();
	}

	#tick(): void {
		const node = this.#node;
		if (!this.#controller || !node?.replica.isLeaderReady) {
			return;
		}

		const authority = this.#authority();
		const effects = [
			...this.#controller.tick(this.#state, authority),
			...this.#controller.tickRoles(this.#state, this.#options.listEngines?.() ?? [], authority),
		];
		for (const effect of effects) {
			void this.#run(effect);
		}

		this.#tickRepair(node);
	}

	#authority(): Authority {
		return {
			nowMs: this.#options.clock.monotonicMs(),
			wallMs: this.#options.clock.wallMs(),
			leaseUntilMs: this.#node?.leaseUntilMs() ?? Number.NEGATIVE_INFINITY,
		};
	}

	async #run(effect: ControllerEffect): Promise<void> {
		if (effect.type === 'propose') {
			this.#logProposal(effect.command);
			await this.#node?.propose(encodeValue(effect.command));
			return;
		}

		const term = this.#leaderTerm;
		const {server, order} = effect;
		this.#logger.info(effect.type === 'send-order' ? `Sends order ${order.order} to ${order.server}.` : `Reads back order ${order.order} from ${order.server}.`, {
			order: order.order, server: order.server, action: order.action, checksFence: server.checksFence ?? false,
		});
		const report = effect.type === 'send-order'
			? await sendOrder(effect, this.#options.clock)
			: await readBack(server, order);
		this.#onReport(report, term);
	}

	#onReport(report: OrderReport, term: number): void {
		if (!this.#controller || term !== this.#leaderTerm) {
			return;
		}

		this.#logger.info(`Order ${report.order} at ${report.server} is ${report.type}.`, {...report});
		for (const effect of this.#controller.report(report, this.#authority())) {
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

	async #onPropose(message: Propose, connection: Connection): Promise<void> {
		const node = this.#node;
		if (!node?.replica.isLeaderReady) {
			this.#refuse(message.id, createProblem('notLeader'), connection);
			return;
		}

		const command = {...message.command, at: this.#options.clock.wallMs()};
		const result = await node.propose(encodeValue(command));
		if (Either.isLeft(result)) {
			this.#refuse(message.id, result.left, connection);
			return;
		}

		const {index, outcome} = result.right;
		connection.send({
			type: 'proposed', id: message.id, index, outcome: outcome as Outcome,
		});
	}

	async #onRead(message: Read, connection: Connection): Promise<void> {
		const read = this.#node ? await this.#node.read() : Either.left(createProblem('notLeader'));
		if (Either.isLeft(read)) {
			this.#refuse(message.id, read.left, connection);
			return;
		}

		connection.send({type: 'listing', id: message.id, view: this.#state.updateSince(message.from)});
	}

	#onRenew(message: Renew, connection: Connection): void {
		if (!this.#controller || !this.#hasAuthority()) {
			this.#refuse(message.id, createProblem('notLeader'), connection);
			return;
		}

		const leaseMs = this.#controller.renew(message, this.#options.clock.monotonicMs());
		const subscriber: Subscriber = {connection, sentVersion: message.version};
		this.#subscribers.set(message.host, subscriber);
		this.#sendView(subscriber, message.id, leaseMs);
		if (message.leaving) {
			this.#subscribers.delete(message.host);
		}
	}

	#sendView(subscriber: Subscriber, id: number, leaseMs: number): void {
		const view = this.#state.updateSince(subscriber.sentVersion);
		subscriber.sentVersion = view.version;
		subscriber.connection.send({
			type: 'renewed', id, leaseMs, view, members: listMembers(this.#node!.replica.configuration),
		});
	}

	async #onMembers(message: Members, connection: Connection): Promise<void> {
		const node = this.#node;
		if (!node?.replica.isLeaderReady) {
			this.#refuse(message.id, createProblem('notLeader'), connection);
			return;
		}

		if (message.action !== 'list') {
			const repair = await this.#planRepair(message);
			const checked = Either.isLeft(repair) ? repair : checkRepair(repair.right, this.#membersView(node), this.#repair);
			if (Either.isLeft(checked)) {
				this.#refuse(message.id, checked.left, connection);
				return;
			}

			this.#repair = checked.right;
			this.#logger.info(`Begins a repair: ${describeRepair(checked.right)}.`);
			this.#tickRepair(node);
		}

		connection.send(this.#createMembersReply(message.id, node));
	}

	async #planRepair(message: Members): Promise<Either.Either<Problem, Repair>> {
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

	#tickRepair(node: ConsensusNode): void {
		if (!this.#repair) {
			return;
		}

		const view = this.#membersView(node);
		if (isRepaired(this.#repair, view)) {
			this.#logger.info(`Repair finished: ${describeRepair(this.#repair)}.`);
			this.#repair = undefined;
			return;
		}

		const next = nextConfiguration(this.#repair, view);
		if (next) {
			node.configure(next);
		}
	}

	#membersView(node: ConsensusNode): MembersView {
		const nowMs = this.#options.clock.monotonicMs();
		return {
			configuration: node.replica.configuration,
			isCommitted: node.replica.isConfigurationCommitted,
			commitIndex: node.replica.commitIndex,
			progressOf: replica => node.replica.progressOf(replica, nowMs),
		};
	}

	#createMembersReply(id: number, node: ConsensusNode): MembersReply {
		const view = this.#membersView(node);
		const progress = listMembers(view.configuration).map(({replica}) => ({replica, ...view.progressOf(replica)}));
		const repair = this.#repair ? {repair: describeRepair(this.#repair)} : {};
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
