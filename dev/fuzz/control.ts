/**
 * A control host in the fuzzer: the real replica, state and controller, with a disk and a network that fail.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import {createRandom} from '../../src/base/random.js';
import {Replica, type ReplicaEffect, type LogRecord} from '../../src/consensus/replica.js';
import {applyRecords, EMPTY_PERSISTENT_STATE, type PersistentState} from '../../src/consensus/storage.js';
import {
	Controller, type ControllerEffect, type ControllerTiming, type OrderReport,
} from '../../src/control/controller.js';
import {
	validateReconfiguration, isReconfigurationComplete, planNextConfiguration, type ConfigurationStatus, type Reconfiguration,
} from '../../src/control/reconfiguration.js';
import {ControlState, type ControlStateSnapshot} from '../../src/control/state.js';
import type {
	Command, CommandEntry, Configuration, ConsensusBody, Entry, Member, CommandOutcome, RenewRequest, ViewUpdate,
} from '../../src/generated/types.js';
import {decodeCbor, encodeCbor} from '../../src/wire/frame.js';
import type {EngineProcess} from './backend.js';
import type {InvariantChecker} from './invariants.js';
import {createConsensusMechanisms, createOrderMechanisms, type Mutation} from './mutations.js';
import type {SimulatedProcess, Simulator} from './simulator.js';

export type ReplyCallback<Answer> = (answer: Either.Either<'not-leader' | 'unknown', Answer>) => void;

export type ControlContext = {
	readonly simulator: Simulator;
	readonly checker: InvariantChecker;
	readonly mutation: Mutation | undefined;
	readonly controls: Map<string, ControlProcess>;
	readonly engines: Map<string, EngineProcess>;
	readonly maxEntriesPerAppend: number;
	readonly timing: ControllerTiming;
	/** Called when a replica's commit index rises. */
	readonly onCommit?: (control: ControlProcess) => void;
	/** Called when a leader has learned that an order of its was not sent, just before it sends it. */
	readonly onOrderAbsent?: (control: ControlProcess, server: string, order: number) => void;
	readonly onLeader: (control: ControlProcess) => void;
};

type PendingWrite = {
	readonly sequence: number;
	readonly records: readonly LogRecord[];
};

const TICK_MS = 40;
const SYNC_MS = 4;
const COMPACT_AFTER_ENTRIES = 25;
const LATE_ORDER_SHARE = 0.3;
const LATEST_ORDER_MS = 9000;

/** One control host. */
export class ControlProcess {
	readonly process: SimulatedProcess;
	readonly host: string;
	readonly #context: ControlContext;
	replica: Replica | undefined;
	identity: string;
	state = new ControlState();
	controller: Controller | undefined;
	repair: Reconfiguration | undefined;
	#image: PersistentState;
	#writes: PendingWrite[] = [];
	#isSyncing = false;
	readonly #pending = new Map<number, {readonly term: number; readonly reply: ReplyCallback<CommandOutcome>}>();
	readonly #reads = new Map<number, ReplyCallback<ControlState>>();
	#nextRead = 1;
	#incarnation = 1;
	readonly #subscribers = new Map<string, {process: SimulatedProcess; push: (view: ViewUpdate) => void; sentVersion: number}>();

	constructor(context: ControlContext, host: string, first: Configuration | undefined) {
		this.#context = context;
		this.host = host;
		this.identity = `${host}.1`;
		this.process = context.simulator.addProcess(host);
		this.#image = first ? {...EMPTY_PERSISTENT_STATE, snapshot: {...EMPTY_PERSISTENT_STATE.snapshot, configuration: first}} : EMPTY_PERSISTENT_STATE;
		context.controls.set(host, this);
		this.#boot();
	}

	get isLeader(): boolean {
		return this.replica?.role === 'leader' && this.process.isAlive;
	}

	/** Whether it leads, knows all that is committed, and can have no successor yet. */
	get holdsLeaderLease(): boolean {
		const {nowMs} = this.#context.simulator;
		return this.isLeader && this.replica!.isLeaderReady && this.replica!.getLeaseExpiryMs(nowMs) > nowMs;
	}

	kill(options: {readonly wipe: boolean}): void {
		const {simulator, mutation} = this.#context;
		simulator.kill(this.process);
		// Writes that were not synced are lost, or some of the first of them are on disk after all.
		const kept = Math.floor(simulator.random() * (this.#writes.length + 1));
		this.#image = applyRecords(this.#image, this.#writes.slice(0, kept).flatMap(write => write.records));
		this.#writes = [];
		this.#isSyncing = false;
		this.replica = undefined;
		this.controller = undefined;
		this.repair = undefined;
		this.#pending.clear();
		this.#reads.clear();
		if (options.wipe) {
			this.#image = EMPTY_PERSISTENT_STATE;
			if (mutation === 'wiped-replica-votes') {
				// The identity is taken from the settings, and so is the first configuration.
				this.#image = {...EMPTY_PERSISTENT_STATE, snapshot: {...EMPTY_PERSISTENT_STATE.snapshot, configuration: this.#context.checker.initialConfiguration}};
			} else {
				this.#incarnation++;
				this.identity = `${this.host}.${this.#incarnation}`;
			}
		}
	}

	restart(): void {
		if (!this.process.isAlive) {
			this.process.isAlive = true;
			this.#boot();
		}
	}

	/** Whether it waits to be admitted by the others. */
	get isAwaitingAdmission(): boolean {
		return this.replica?.configuration.voters.length === 0;
	}

	receive(from: string, to: string, body: ConsensusBody): void {
		if (to === this.identity && this.replica) {
			this.#run(this.replica.step({type: 'message', from, body}, this.#context.simulator.nowMs));
		}
	}

	propose(command: Command, reply: ReplyCallback<CommandOutcome>): void {
		const {replica} = this;
		if (!replica?.isLeaderReady) {
			reply(Either.left('not-leader'));
			return;
		}

		this.#pending.set(replica.lastIndex + 1, {term: replica.term, reply});
		this.#run(replica.step({type: 'propose', data: [encodeCbor(command)]}, this.#context.simulator.nowMs));
	}

	read(reply: ReplyCallback<ControlState>): void {
		const id = this.#nextRead++;
		this.#reads.set(id, reply);
		if (this.replica) {
			this.#run(this.replica.step({type: 'read', id}, this.#context.simulator.nowMs));
		}
	}

	/** Renews a view lease; later views are pushed to the subscriber as they come. */
	renew(message: RenewRequest, subscriber: {readonly process: SimulatedProcess; push(view: ViewUpdate): void}, reply: ReplyCallback<{readonly leaseMs: number; readonly view: ViewUpdate}>): void {
		if (this.controller === undefined || !this.holdsLeaderLease) {
			reply(Either.left('not-leader'));
			return;
		}

		const leaseMs = this.controller.renewViewLease(message, this.#context.simulator.nowMs);
		this.#subscribers.set(message.host, {
			...subscriber, push(view) {
				subscriber.push(view);
			}, sentVersion: this.state.viewVersion,
		});
		reply(Either.right({leaseMs, view: this.state.createViewUpdate(message.version)}));
	}

	beginRepair(repair: Reconfiguration): boolean {
		if (!this.replica?.isLeaderReady || Either.isLeft(validateReconfiguration(repair, this.#membersView(), this.repair))) {
			return false;
		}

		this.repair = repair;
		this.#context.simulator.log(`${this.host} begins repair ${JSON.stringify({add: repair.add?.replica, remove: repair.remove})}`);
		return true;
	}

	transferLeadership(): void {
		if (this.replica) {
			this.#run(this.replica.step({type: 'transfer-leadership'}, this.#context.simulator.nowMs));
		}
	}

	#boot(): void {
		const {simulator, mutation} = this.#context;
		this.state = this.#image.snapshot.data.length > 0 ? this.#restoreState(this.#image.snapshot.data) : this.#createState();
		this.replica = new Replica({
			replica: this.identity,
			hard: this.#image.hard,
			snapshot: this.#image.snapshot,
			entries: this.#image.entries,
			nowMs: simulator.nowMs,
			random: createRandom(Math.floor(simulator.random() * 1e9)),
			safeguards: createConsensusMechanisms(mutation),
			maxEntriesPerAppend: this.#context.maxEntriesPerAppend,
		});
		const tick = () => {
			this.#tick();
			simulator.scheduleOn(this.process, TICK_MS * (0.5 + simulator.random()), tick);
		};

		const tickController = () => {
			this.#tickController();
			simulator.scheduleOn(this.process, TICK_MS * (0.5 + simulator.random()), tickController);
		};

		simulator.scheduleOn(this.process, simulator.random() * TICK_MS, tick);
		simulator.scheduleOn(this.process, simulator.random() * TICK_MS, tickController);
	}

	#createState(image?: ControlStateSnapshot): ControlState {
		return new ControlState(image, this.#context.mutation !== 'no-claim-before-send');
	}

	#restoreState(data: Uint8Array): ControlState {
		return this.#createState(decodeCbor(data) as ControlStateSnapshot);
	}

	#tick(): void {
		const {simulator} = this.#context;
		const replica = this.replica!;
		this.#run(replica.step({type: 'tick'}, simulator.nowMs));
		const applied = this.state.version;
		if (applied - replica.snapshotIndex > COMPACT_AFTER_ENTRIES) {
			this.#run(replica.step({type: 'compact', index: applied, data: encodeCbor(this.state.createSnapshot())}, simulator.nowMs));
		}
	}

	/** Has a timer of its own, as in the daemon: after a pause it may fire before the replica's. */
	#tickController(): void {
		const replica = this.replica!;
		if (this.controller && replica.isLeaderReady) {
			for (const effect of this.controller.tick(this.state, this.#authority())) {
				this.#runController(effect);
			}

			this.#tickRepair();
		}
	}

	#tickRepair(): void {
		const view = this.#membersView();
		if (!this.repair) {
			return;
		}

		if (isReconfigurationComplete(this.repair, view)) {
			this.#context.simulator.log(`${this.host} finished the repair`);
			this.repair = undefined;
			return;
		}

		const next = planNextConfiguration(this.repair, view);
		if (next) {
			const configuration = this.#context.mutation === 'swap-in-one-step' ? {...next, outgoing: []} : next;
			this.#run(this.replica!.step({type: 'propose-configuration', configuration}, this.#context.simulator.nowMs));
		}
	}

	#membersView(): ConfigurationStatus {
		const {nowMs} = this.#context.simulator;
		const replica = this.replica!;
		return {
			configuration: replica.configuration,
			isCommitted: replica.isConfigurationCommitted,
			commitIndex: replica.commitIndex,
			getProgress: name => replica.getProgress(name, nowMs),
		};
	}

	#authority() {
		const {nowMs} = this.#context.simulator;
		return {nowMs, wallMs: Math.floor(nowMs), leaseUntilMs: this.replica!.getLeaseExpiryMs(nowMs)};
	}

	#runController(effect: ControllerEffect): void {
		const {simulator, engines, checker} = this.#context;
		if (effect.type === 'propose') {
			this.propose(effect.command, () => undefined);
			return;
		}

		const engine = engines.get(effect.server.server);
		const {order} = effect;
		let isAnswered = false;
		const answer = (report: OrderReport) => {
			if (!isAnswered) {
				isAnswered = true;
				this.#onReport(report);
			}
		};

		simulator.scheduleOn(this.process, this.#context.timing.orderTransitMs * 0.8, () => {
			answer({type: 'lost', server: order.server, order: order.order});
		});
		if (!engine) {
			return;
		}

		if (effect.type === 'send-order') {
			checker.recordOrderSent(order.server, order.order);
			simulator.log(`${this.host} sends order ${order.order} to ${order.server}`);
			if (engine.checksFence && simulator.random() < LATE_ORDER_SHARE) {
				// The process was paused between its last check and the write; the fence must hold against that.
				simulator.schedule(simulator.random() * LATEST_ORDER_MS, () => {
					if (engine.process.isAlive) {
						engine.receiveOrder(order, () => undefined);
					}
				});
			}

			simulator.send(this.process, engine.process, () => {
				engine.receiveOrder(order, report => {
					simulator.send(engine.process, this.process, () => {
						answer(report);
					});
				});
			}, {once: !engine.checksFence, withinMs: this.#context.timing.orderTransitMs});
			return;
		}

		simulator.send(this.process, engine.process, () => {
			const report = engine.readBack(order);
			simulator.send(engine.process, this.process, () => {
				answer(report);
			});
		});
	}

	#onReport(report: OrderReport): void {
		if (report.type === 'absent') {
			this.#context.onOrderAbsent?.(this, report.server, report.order);
		}

		if (this.controller && this.replica?.isLeaderReady) {
			for (const effect of this.controller.handleReport(report, this.#authority())) {
				this.#runController(effect);
			}
		}
	}

	#run(effects: readonly ReplicaEffect[]): void {
		const {generation} = this.process;
		for (const effect of effects) {
			// A process that is killed in the middle of a step does not do the rest of it.
			if (this.process.isAlive && this.process.generation === generation) {
				this.#runOne(effect);
			}
		}
	}

	#runOne(effect: ReplicaEffect): void {
		const {simulator, checker, mutation} = this.#context;
		switch (effect.type) {
			case 'write': {
				this.#writes.push(effect);
				this.#sync();
				break;
			}

			case 'send': {
				this.#send(effect.to, effect.body);
				break;
			}

			case 'commit': {
				this.#context.onCommit?.(this);
				this.#apply(effect.entries);
				break;
			}

			case 'restore': {
				this.state = this.#restoreState(effect.snapshot.data);
				checker.recordRestore(this.host, effect.snapshot);
				break;
			}

			case 'role': {
				if (effect.role === 'leader') {
					simulator.log(`${this.host} (${this.identity}) leads in term ${effect.term}`);
					checker.recordLeader(effect.term, this.identity);
				}

				if (effect.role === 'leader') {
					this.#context.onLeader(this);
				}

				this.#subscribers.clear();
				this.controller = effect.role === 'leader' ? new Controller(simulator.nowMs, this.#context.timing, createOrderMechanisms(mutation)) : undefined;
				this.repair = effect.role === 'leader' ? this.repair : undefined;
				break;
			}

			case 'read': {
				this.#settleRead(effect.id, Either.right(this.state));
				break;
			}

			case 'read-refused': {
				this.#settleRead(effect.id, Either.left('not-leader'));
				break;
			}
		}
	}

	#settleRead(id: number, answer: Either.Either<'not-leader' | 'unknown', ControlState>): void {
		const reply = this.#reads.get(id);
		this.#reads.delete(id);
		reply?.(answer);
	}

	#send(to: Member, body: ConsensusBody): void {
		const {simulator, controls} = this.#context;
		const target = [...controls.values()].find(control => control.identity === to.replica);
		const from = this.identity;
		if (target) {
			simulator.send(this.process, target.process, () => {
				target.receive(from, to.replica, body);
			});
		}
	}

	#sync(): void {
		if (this.#isSyncing || this.#writes.length === 0) {
			return;
		}

		this.#isSyncing = true;
		const {simulator} = this.#context;
		const count = this.#writes.length;
		simulator.scheduleOn(this.process, 0.2 + (simulator.random() * SYNC_MS), () => {
			const batch = this.#writes.splice(0, count);
			this.#isSyncing = false;
			this.#image = applyRecords(this.#image, batch.flatMap(write => write.records));
			this.#run(this.replica!.step({type: 'synced', sequence: batch.at(-1)!.sequence}, simulator.nowMs));
			this.#sync();
		});
	}

	#apply(entries: readonly Entry[]): void {
		const {checker} = this.#context;
		for (const entry of entries) {
			checker.recordCommit(this.host, entry);
			const outcome = entry.type === 'command' ? this.#applyCommand(entry) : undefined;
			if (entry.type !== 'command') {
				this.state.skip(entry.index);
			}

			const pending = this.#pending.get(entry.index);
			this.#pending.delete(entry.index);
			pending?.reply(pending.term === entry.term && outcome ? Either.right(outcome) : Either.left('not-leader'));
		}

		this.#pushViews();
	}

	#pushViews(): void {
		const {simulator} = this.#context;
		for (const subscriber of this.holdsLeaderLease ? this.#subscribers.values() : []) {
			if (subscriber.sentVersion < this.state.viewVersion) {
				const view = this.state.createViewUpdate(subscriber.sentVersion);
				subscriber.sentVersion = this.state.viewVersion;
				simulator.send(this.process, subscriber.process, () => {
					subscriber.push(view);
				});
			}
		}
	}

	#applyCommand(entry: CommandEntry): CommandOutcome {
		const command = decodeCbor(entry.data) as Command;
		const isJudgedAnew = this.#context.mutation === 'no-request-memory' && command.type === 'put';
		return this.state.apply(isJudgedAnew ? {...command, requestId: `${command.requestId}@${entry.index}`} : command, entry.index);
	}
}
