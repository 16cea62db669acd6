/**
 * Simulated control host of the fuzzer: the production replica, state and controller on a simulated disk and network.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import {createRandom} from '../../src/base/random.js';
import type {ReplicationLimits} from '../../src/consensus/limits.js';
import type {LogRecord, ReplicaEffect} from '../../src/consensus/effects.js';
import {Replica} from '../../src/consensus/replica.js';
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
import {createConsensusSafeguards, createOrderSafeguards, type Mutation} from './mutations.js';
import type {SimulatedProcess, Simulator} from './simulator.js';

export type ReplyCallback<Result> = (result: Either.Either<'not-leader' | 'unknown', Result>) => void;

export type ControlContext = {
	readonly simulator: Simulator;
	readonly checker: InvariantChecker;
	readonly mutation: Mutation | undefined;
	readonly controls: Map<string, ControlProcess>;
	readonly engines: Map<string, EngineProcess>;
	readonly maxEntriesPerAppend: number;
	readonly appendLimits: Pick<ReplicationLimits, 'appendBytes' | 'unacknowledgedBytes'>;
	readonly timing: ControllerTiming;
	/** Called when a replica's commit index rises. */
	readonly onCommit?: (control: ControlProcess) => void;
	/** Called when a leader has learned that a server never received one of its orders, before it sends that order. */
	readonly onOrderAbsent?: (control: ControlProcess, server: string, order: number) => void;
	readonly onLeader: (control: ControlProcess) => void;
};

type PendingWrite = {
	readonly sequence: number;
	readonly records: readonly LogRecord[];
};

const TICK_MS = 40;
const MAX_SYNC_MS = 4;
const COMPACT_AFTER_ENTRIES = 25;
const LATE_ORDER_PROBABILITY = 0.3;
const MAX_LATE_ORDER_MS = 9000;

/** A control host. */
export class ControlProcess {
	readonly process: SimulatedProcess;
	readonly host: string;
	readonly #context: ControlContext;
	replica: Replica | undefined;
	identity: string;
	state = new ControlState();
	controller: Controller | undefined;
	reconfiguration: Reconfiguration | undefined;
	#persistentState: PersistentState;
	#unsyncedWrites: PendingWrite[] = [];
	#isSyncing = false;
	readonly #pendingProposals = new Map<number, {readonly term: number; readonly reply: ReplyCallback<CommandOutcome>}>();
	readonly #pendingReads = new Map<number, ReplyCallback<ControlState>>();
	#nextRead = 1;
	#incarnation = 1;
	readonly #subscribers = new Map<string, {process: SimulatedProcess; push: (view: ViewUpdate) => void; sentVersion: number}>();

	constructor(context: ControlContext, host: string, initialConfiguration: Configuration | undefined) {
		this.#context = context;
		this.host = host;
		this.identity = `${host}.1`;
		this.process = context.simulator.addProcess(host);
		this.#persistentState = initialConfiguration ? {...EMPTY_PERSISTENT_STATE, snapshot: {...EMPTY_PERSISTENT_STATE.snapshot, configuration: initialConfiguration}} : EMPTY_PERSISTENT_STATE;
		context.controls.set(host, this);
		this.#start();
	}

	get isLeader(): boolean {
		return this.replica?.role === 'leader' && this.process.isAlive;
	}

	/** Whether it is the leader, knows all committed entries, and no other leader can exist yet. */
	get holdsLeaderLease(): boolean {
		const {nowMs} = this.#context.simulator;
		return this.isLeader && this.replica!.isLeaderReady && this.replica!.getLeaseExpiryMs(nowMs) > nowMs;
	}

	kill(options: {readonly wipe: boolean}): void {
		const {simulator, mutation} = this.#context;
		simulator.kill(this.process);
		// A crash persists an arbitrary prefix of the writes that were not synced; the rest is lost.
		const persistedCount = Math.floor(simulator.random() * (this.#unsyncedWrites.length + 1));
		this.#persistentState = applyRecords(this.#persistentState, this.#unsyncedWrites.slice(0, persistedCount).flatMap(write => write.records));
		this.#unsyncedWrites = [];
		this.#isSyncing = false;
		this.replica = undefined;
		this.controller = undefined;
		this.reconfiguration = undefined;
		this.#pendingProposals.clear();
		this.#pendingReads.clear();
		if (options.wipe) {
			this.#persistentState = EMPTY_PERSISTENT_STATE;
			if (mutation === 'wiped-replica-votes') {
				// The replica keeps its identity and starts from the initial configuration, as if both came from its settings.
				this.#persistentState = {...EMPTY_PERSISTENT_STATE, snapshot: {...EMPTY_PERSISTENT_STATE.snapshot, configuration: this.#context.checker.initialConfiguration}};
			} else {
				this.#incarnation++;
				this.identity = `${this.host}.${this.#incarnation}`;
			}
		}
	}

	restart(): void {
		if (!this.process.isAlive) {
			this.process.isAlive = true;
			this.#start();
		}
	}

	/** Whether the replica has no configuration and waits for the others to add it. */
	get isAwaitingAdmission(): boolean {
		return this.replica?.configuration.voters.length === 0;
	}

	receive(from: string, to: string, body: ConsensusBody): void {
		if (to === this.identity && this.replica) {
			this.#execute(this.replica.step({type: 'message', from, body}, this.#context.simulator.nowMs));
		}
	}

	propose(command: Command, reply: ReplyCallback<CommandOutcome>): void {
		const {replica} = this;
		if (!replica?.isLeaderReady) {
			reply(Either.left('not-leader'));
			return;
		}

		this.#pendingProposals.set(replica.lastIndex + 1, {term: replica.term, reply});
		this.#execute(replica.step({type: 'propose', data: [encodeCbor(command)]}, this.#context.simulator.nowMs));
	}

	read(reply: ReplyCallback<ControlState>): void {
		const id = this.#nextRead++;
		this.#pendingReads.set(id, reply);
		if (this.replica) {
			this.#execute(this.replica.step({type: 'read', id}, this.#context.simulator.nowMs));
		}
	}

	/** Renews a view lease and subscribes the entry host to later updates of the resource view. */
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

	beginReconfiguration(reconfiguration: Reconfiguration): boolean {
		if (!this.replica?.isLeaderReady || Either.isLeft(validateReconfiguration(reconfiguration, this.#getConfigurationStatus(), this.reconfiguration))) {
			return false;
		}

		this.reconfiguration = reconfiguration;
		this.#context.simulator.log(`${this.host} begins a reconfiguration: ${JSON.stringify({add: reconfiguration.add?.replica, remove: reconfiguration.remove})}`);
		return true;
	}

	transferLeadership(): void {
		if (this.replica) {
			this.#execute(this.replica.step({type: 'transfer-leadership'}, this.#context.simulator.nowMs));
		}
	}

	#start(): void {
		const {simulator, mutation} = this.#context;
		this.state = this.#persistentState.snapshot.data.length > 0 ? this.#restoreState(this.#persistentState.snapshot.data) : this.#createState();
		this.replica = new Replica({
			replica: this.identity,
			hard: this.#persistentState.hard,
			snapshot: this.#persistentState.snapshot,
			entries: this.#persistentState.entries,
			nowMs: simulator.nowMs,
			random: createRandom(Math.floor(simulator.random() * 1e9)),
			safeguards: createConsensusSafeguards(mutation),
			maxEntriesPerAppend: this.#context.maxEntriesPerAppend,
			limits: this.#context.appendLimits,
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
		this.#execute(replica.step({type: 'tick'}, simulator.nowMs));
		const applied = this.state.version;
		if (applied - replica.snapshotIndex > COMPACT_AFTER_ENTRIES) {
			this.#execute(replica.step({type: 'compact', index: applied, data: encodeCbor(this.state.createSnapshot())}, simulator.nowMs));
		}
	}

	/** Runs on a separate timer, as in the daemon: after a pause it may fire before the replica's timer. */
	#tickController(): void {
		const replica = this.replica!;
		if (this.controller && replica.isLeaderReady) {
			for (const effect of this.controller.tick(this.state, this.#getLeaderLease())) {
				this.#executeControllerEffect(effect);
			}

			this.#tickReconfiguration();
		}
	}

	#tickReconfiguration(): void {
		const status = this.#getConfigurationStatus();
		if (!this.reconfiguration) {
			return;
		}

		if (isReconfigurationComplete(this.reconfiguration, status)) {
			this.#context.simulator.log(`${this.host} finished the reconfiguration`);
			this.reconfiguration = undefined;
			return;
		}

		const next = planNextConfiguration(this.reconfiguration, status);
		if (next) {
			const configuration = this.#context.mutation === 'swap-in-one-step' ? {...next, outgoing: []} : next;
			this.#execute(this.replica!.step({type: 'propose-configuration', configuration}, this.#context.simulator.nowMs));
		}
	}

	#getConfigurationStatus(): ConfigurationStatus {
		const {nowMs} = this.#context.simulator;
		const replica = this.replica!;
		return {
			configuration: replica.configuration,
			isCommitted: replica.isConfigurationCommitted,
			commitIndex: replica.commitIndex,
			getProgress: name => replica.getProgress(name, nowMs),
		};
	}

	#getLeaderLease() {
		const {nowMs} = this.#context.simulator;
		return {nowMs, wallMs: Math.floor(nowMs), leaseUntilMs: this.replica!.getLeaseExpiryMs(nowMs)};
	}

	#executeControllerEffect(effect: ControllerEffect): void {
		const {simulator, engines, checker} = this.#context;
		if (effect.type === 'propose') {
			this.propose(effect.command, () => undefined);
			return;
		}

		const engine = engines.get(effect.server.server);
		const {order} = effect;
		let isReported = false;
		const reportOnce = (report: OrderReport) => {
			if (!isReported) {
				isReported = true;
				this.#onOrderReport(report);
			}
		};

		simulator.scheduleOn(this.process, this.#context.timing.orderTransitMs * 0.8, () => {
			reportOnce({type: 'lost', server: order.server, order: order.order});
		});
		if (!engine) {
			return;
		}

		if (effect.type === 'send-order') {
			checker.recordOrderSent(order.server, order.order);
			simulator.log(`${this.host} sends order ${order.order} to ${order.server}`);
			if (engine.checksFence && simulator.random() < LATE_ORDER_PROBABILITY) {
				// Simulates a pause between the leader's last lease check and the write: fencing must reject the late order.
				simulator.schedule(simulator.random() * MAX_LATE_ORDER_MS, () => {
					if (engine.process.isAlive) {
						engine.receiveOrder(order, () => undefined);
					}
				});
			}

			simulator.send(this.process, engine.process, () => {
				engine.receiveOrder(order, report => {
					simulator.send(engine.process, this.process, () => {
						reportOnce(report);
					});
				});
			}, {once: !engine.checksFence, withinMs: this.#context.timing.orderTransitMs});
			return;
		}

		simulator.send(this.process, engine.process, () => {
			const report = engine.queryOrder(order);
			simulator.send(engine.process, this.process, () => {
				reportOnce(report);
			});
		});
	}

	#onOrderReport(report: OrderReport): void {
		if (report.type === 'absent') {
			this.#context.onOrderAbsent?.(this, report.server, report.order);
		}

		if (this.controller && this.replica?.isLeaderReady) {
			for (const effect of this.controller.handleReport(report, this.#getLeaderLease())) {
				this.#executeControllerEffect(effect);
			}
		}
	}

	#execute(effects: readonly ReplicaEffect[]): void {
		const {generation} = this.process;
		for (const effect of effects) {
			// A process that is killed in the middle of a step does not execute the remaining effects.
			if (this.process.isAlive && this.process.generation === generation) {
				this.#executeEffect(effect);
			}
		}
	}

	#executeEffect(effect: ReplicaEffect): void {
		const {simulator, checker, mutation} = this.#context;
		switch (effect.type) {
			case 'write': {
				this.#unsyncedWrites.push(effect);
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
				this.controller = effect.role === 'leader' ? new Controller(simulator.nowMs, this.#context.timing, createOrderSafeguards(mutation)) : undefined;
				this.reconfiguration = effect.role === 'leader' ? this.reconfiguration : undefined;
				break;
			}

			case 'read': {
				this.#completeRead(effect.id, Either.right(this.state));
				break;
			}

			case 'read-refused': {
				this.#completeRead(effect.id, Either.left('not-leader'));
				break;
			}
		}
	}

	#completeRead(id: number, result: Either.Either<'not-leader' | 'unknown', ControlState>): void {
		const reply = this.#pendingReads.get(id);
		this.#pendingReads.delete(id);
		reply?.(result);
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
		if (this.#isSyncing || this.#unsyncedWrites.length === 0) {
			return;
		}

		this.#isSyncing = true;
		const {simulator} = this.#context;
		const count = this.#unsyncedWrites.length;
		simulator.scheduleOn(this.process, 0.2 + (simulator.random() * MAX_SYNC_MS), () => {
			const batch = this.#unsyncedWrites.splice(0, count);
			this.#isSyncing = false;
			this.#persistentState = applyRecords(this.#persistentState, batch.flatMap(write => write.records));
			this.#execute(this.replica!.step({type: 'synced', sequence: batch.at(-1)!.sequence}, simulator.nowMs));
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

			const pending = this.#pendingProposals.get(entry.index);
			this.#pendingProposals.delete(entry.index);
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
		const isEvaluatedAgain = this.#context.mutation === 'no-request-memory' && command.type === 'put';
		return this.state.apply(isEvaluatedAgain ? {...command, requestId: `${command.requestId}@${entry.index}`} : command, entry.index);
	}
}
