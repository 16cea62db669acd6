/**
 * One run of the fuzzer: a small fleet, a random schedule of work and faults, then healing.
 *
 * @module
 */
import {
	createRandom, pick, shuffle, type Random,
} from '../../src/base/random.js';
import {DEFAULT_CONTROLLER_TIMING, type ControllerTiming} from '../../src/control/controller.js';
import type {
	Configuration, Member, CommandOutcome, Specification,
} from '../../src/generated/types.js';
import {EngineProcess, PlainServerProcess} from './backend.js';
import {InvariantChecker} from './invariants.js';
import {ControlProcess, type ControlContext} from './control.js';
import {EntryProcess} from './entry.js';
import type {Mutation} from './mutations.js';
import {Simulator, type FaultCounts, type SimulatedProcess} from './simulator.js';

export type RunResult = {
	readonly seed: number;
	readonly steps: number;
	readonly faults: FaultCounts;
	readonly commits: number;
	readonly keys: number;
	readonly orders: number;
	readonly violation: string | undefined;
	readonly trace: readonly string[];
};

/** Short waits let orders follow each other closely. */
const QUICK_TIMING: ControllerTiming = {
	...DEFAULT_CONTROLLER_TIMING, orderTransitMs: 200, orderRetryMs: 200, claimGraceMs: 1000,
};
const TROUBLE_MS = 12_000;
const HEALING_MS = 19_000;
const LONGEST_PAUSE_MS = 9000;
const LIVENESS_GRACE_MS = 17_000;

/**
 * Runs one schedule.
 *
 * @example
 * ```ts
 * runSchedule(7, undefined).violation; // undefined
 * ```
 */
export function runSchedule(seed: number, mutation: Mutation | undefined): RunResult {
	const run = new Run(seed, mutation);
	return run.execute();
}

/** What a run is like: some fault kinds are more frequent in some runs. */
type Temper = {
	readonly controls: number;
	readonly faultEveryMs: number;
	readonly kills: number;
	readonly wipes: number;
	readonly pauses: number;
	readonly cuts: number;
	readonly storms: number;
	readonly handOvers: number;
	readonly entriesPerAppend: number;
	/** Share of new leaders that are killed right away. */
	readonly coups: number;
	/** Share of new leaders that reach only a few others from the start. */
	readonly isolations: number;
	/** Share of looks at an open order that find its leader about to be paused for long. */
	readonly orderPauses: number;
	readonly timing: ControllerTiming;
	/** Longest delay of a message in a storm, milliseconds. */
	readonly stormDelayMs: number;
};

class Run {
	readonly #seed: number;
	readonly #random: Random;
	readonly #simulator: Simulator;
	readonly #checker: InvariantChecker;
	readonly #temper: Temper;
	readonly #controls = new Map<string, ControlProcess>();
	readonly #engines = new Map<string, EngineProcess>();
	readonly #plains: PlainServerProcess[] = [];
	readonly #entries: EntryProcess[] = [];
	readonly #unanswered = new Set<string>();
	/** Leaders that have been cut off since their election. */
	readonly #isolated = new Set<ControlProcess>();
	#nextKey = 1;
	#nextPut = 1;
	#nextModel = 1;
	#isHealed = false;

	constructor(seed: number, mutation: Mutation | undefined) {
		this.#seed = seed;
		this.#random = createRandom((seed * 7919) + 13);
		this.#simulator = new Simulator(this.#random);
		this.#temper = this.#drawTemper();
		const configuration = createConfiguration(this.#temper.controls);
		this.#checker = new InvariantChecker(configuration, mutation);
		const context = {
			simulator: this.#simulator, checker: this.#checker, mutation, controls: this.#controls, engines: this.#engines, plains: this.#plains, maxEntriesPerAppend: this.#temper.entriesPerAppend, timing: this.#temper.timing, onLeader: (control: ControlProcess) => {
				this.#onLeader(control);
			},
			onCommit: (control: ControlProcess) => {
				this.#killAtCommit(control);
			},
			onOrderAbsent: (control: ControlProcess, server: string, order: number) => {
				this.#pauseBeforeOrder(control, server, order);
			},
		};
		this.#startProcesses(context, configuration);
	}

	execute(): RunResult {
		const simulator = this.#simulator;
		this.#scheduleWork();
		this.#scheduleFault();
		const check = () => {
			this.#checker.checkSingleLeaseHolder(this.#controls.values());
			if (this.#checker.violations.length > 0) {
				throw new Stop();
			}
		};

		try {
			simulator.runUntil(TROUBLE_MS, check);
			this.#heal();
			simulator.runUntil(TROUBLE_MS + HEALING_MS, check);
			this.#checkLiveness();
		} catch (error) {
			if (!(error instanceof Stop)) {
				throw error;
			}
		}

		return {
			seed: this.#seed,
			steps: simulator.steps,
			faults: simulator.faults,
			commits: this.#checker.committedEntryCount,
			keys: this.#checker.executedKeyCount,
			orders: this.#checker.sentOrderCount,
			violation: this.#checker.violations[0],
			trace: simulator.trace,
		};
	}

	#drawTemper(): Temper {
		const draw = (most: number) => Math.floor(this.#random() * (most + 1));
		// In some runs little happens beside orders and long pauses of the leader that has one open.
		const isOrderRun = this.#random() < 0.25;
		// In some runs leaders follow each other quickly, with entries of many terms on few replicas each.
		const isDuelRun = !isOrderRun && this.#random() < 0.25;
		return {
			controls: this.#random() < 0.6 && !isDuelRun ? 3 : 5,
			faultEveryMs: (isOrderRun ? 3000 : 150) + draw(900),
			kills: draw(4),
			wipes: draw(2),
			pauses: draw(3),
			cuts: draw(4),
			storms: draw(2),
			handOvers: draw(2),
			coups: this.#random() < 0.3 ? this.#random() * 0.8 : 0,
			isolations: isDuelRun ? 0.8 : 0,
			orderPauses: isOrderRun ? 0.3 : 0,
			timing: this.#random() < 0.5 && !isOrderRun ? DEFAULT_CONTROLLER_TIMING : QUICK_TIMING,
			entriesPerAppend: isDuelRun ? 1 : (this.#random() < 0.5 ? 1 + draw(3) : 512),
			stormDelayMs: this.#random() < 0.3 ? 1500 : 250,
		};
	}

	#startProcesses(context: ControlContext & {plains: readonly PlainServerProcess[]}, configuration: Configuration): void {
		for (const member of configuration.voters) {
			new ControlProcess(context, member.host, configuration); // eslint-disable-line no-new
		}

		for (const name of ['plain1', 'plain2']) {
			this.#plains.push(new PlainServerProcess(name, this.#simulator, this.#checker));
		}

		for (const host of ['entry1', 'entry2']) {
			this.#entries.push(new EntryProcess(context, host));
		}

		for (const [name, checksFence] of [['fenced', true], ['unfenced', false], ['unfenced2', false]] as const) {
			const engine: EngineProcess = new EngineProcess({
				name,
				checksFence,
				simulator: this.#simulator,
				checker: this.#checker,
				mutation: context.mutation,
				announce: announcement => {
					this.#announce(announcement);
				},
			});
			this.#engines.set(name, engine);
		}
	}

	#announce(announcement: Parameters<EntryProcess['recordAnnouncement']>[0]): void {
		const engine = this.#engines.get(announcement.server);
		for (const entry of this.#entries) {
			if (engine) {
				this.#simulator.send(engine.process, entry.process, () => {
					entry.recordAnnouncement(announcement);
				});
			}
		}
	}

	#scheduleWork(): void {
		this.#every(120, () => {
			this.#bookSomething();
		});
		this.#every(90, () => {
			this.#runModel();
		});
		this.#every(200, () => {
			this.#raceOperators();
		});
		this.#every(400, () => {
			this.#declareChange();
		});
		this.#every(500, () => {
			this.#deleteFinishedChanges();
		});
		this.#every(500, () => {
			this.#repairReplicas();
		});
		this.#every(25, () => {
			this.#readState();
		});
		this.#every(100, () => {
			this.#pauseDuringOrder();
		});
	}

	#every(meanMs: number, work: () => void): void {
		const again = () => {
			if (this.#simulator.nowMs < TROUBLE_MS + (HEALING_MS - LIVENESS_GRACE_MS)) {
				work();
				this.#simulator.schedule(meanMs * (0.4 + (this.#random() * 1.2)), again);
			}
		};

		this.#simulator.schedule(meanMs * this.#random(), again);
	}

	#bookSomething(): void {
		const key = `key${this.#nextKey++}`;
		this.#unanswered.add(key);
		this.#sendBooking(key);
		if (this.#random() < 0.4) {
			this.#simulator.schedule(this.#random() * 400, () => {
				this.#sendBooking(key);
			});
		}
	}

	/** A caller sends a booking, and sends it again through any host when no answer or no certainty comes. */
	#sendBooking(key: string): void {
		const entry = pick(this.#entries.filter(one => one.isReady), this.#random);
		let isAnswered = false;
		let isSentAgain = false;
		const again = () => {
			if (this.#unanswered.has(key) && !isSentAgain) {
				isSentAgain = true;
				this.#sendBooking(key);
			}
		};

		entry?.bookSeat(key, told => {
			isAnswered = true;
			if (told.type === 'not-run') {
				this.#simulator.schedule(200, again);
			} else {
				this.#unanswered.delete(key);
			}
		});
		this.#simulator.schedule(entry ? 2500 : 200, () => {
			if (!isAnswered) {
				again();
			}
		});
	}

	#readState(): void {
		pick(this.#entries.filter(entry => entry.isReady), this.#random)?.readConfiguration();
	}

	/** A leader is paused while an order of its is open: the hardest moment for engines that check no fences. */
	#pauseDuringOrder(): void {
		const leader = [...this.#controls.values()].find(control => control.isLeader && !control.process.isPaused);
		const isOpen = leader?.state.listOpenOrders().some(order => order.server.startsWith('unfenced')) ?? false;
		if (leader && isOpen && !this.#isHealed && !this.#isControlPaused() && this.#random() < this.#temper.orderPauses) {
			this.#fault('pause', `${leader.host} during an order`);
			this.#simulator.pause(leader.process);
			this.#simulator.schedule(4500 + (this.#random() * 4000), () => {
				this.#simulator.resume(leader.process);
			});
		}
	}

	/** While one control host is paused its successor is left to work. */
	#isControlPaused(): boolean {
		return [...this.#controls.values()].some(({process}) => process.isPaused);
	}

	/** A leader is paused right before it sends an order, until its successor has had another one carried out there. */
	#pauseBeforeOrder({process, host}: ControlProcess, server: string, order: number): void {
		const isHardest = server.startsWith('unfenced') && !this.#isHealed && !this.#isControlPaused();
		if (!isHardest || this.#random() >= this.#temper.orderPauses) {
			return;
		}

		this.#fault('pause', `${host} before order ${order} to ${server}`);
		this.#simulator.pause(process);
		const untilMs = this.#simulator.nowMs + LONGEST_PAUSE_MS;
		const look = () => {
			if (this.#checker.findHighestExecutedOrder(server) > order || this.#simulator.nowMs > untilMs || this.#isHealed) {
				this.#simulator.resume(process);
				return;
			}

			this.#simulator.schedule(20 + (this.#random() * 100), look);
		};

		look();
	}

	/**
	 * Some leaders reach only a few others from the moment of their election, and die or are reached again a moment
	 * later: entries of many terms come to lie on few replicas each.
	 */
	#isolateLeader(control: ControlProcess): void {
		const others = [...this.#controls.values()].filter(other => other !== control);
		const reached = Math.floor(this.#random() * ((others.length / 2) + 1));
		const left = shuffle(others, this.#random).slice(reached);
		this.#fault('cut', `${control.host}, just elected, from ${left.map(({host}) => host).join(' ')}`);
		for (const {host} of left) {
			this.#simulator.blockLink(control.host, host);
			this.#simulator.blockLink(host, control.host);
		}

		this.#isolated.add(control);
		this.#simulator.schedule(10 + (this.#random() * 200), () => {
			this.#simulator.unblockLinks();
			if (this.#isolated.delete(control) && control.process.isAlive && this.#random() < 0.7) {
				this.#killForAMoment(control, 'cut off since its election');
			}
		});
	}

	/** A leader that reaches few others dies at the moment of its first commit. */
	#killAtCommit(control: ControlProcess): void {
		if (this.#isolated.has(control) && control.isLeader && !this.#isHealed) {
			this.#isolated.delete(control);
			this.#killForAMoment(control, 'at its first commit');
		}
	}

	#killForAMoment(control: ControlProcess, detail: string): void {
		this.#fault('kill', `${control.host}, ${detail}`);
		control.kill({wipe: false});
		this.#simulator.schedule(50 + (this.#random() * 1500), () => {
			control.restart();
		});
	}

	/** Some leaders die before anybody has heard of them. */
	#onLeader(control: ControlProcess): void {
		if (!this.#isHealed && this.#random() < this.#temper.isolations) {
			this.#isolateLeader(control);
			return;
		}

		if (!this.#isHealed && this.#random() < this.#temper.coups) {
			this.#simulator.schedule(this.#random() * 25, () => {
				if (control.process.isAlive) {
					this.#killForAMoment(control, 'just elected');
				}
			});
		}
	}

	#runModel(): void {
		pick(this.#entries.filter(entry => entry.isReady), this.#random)?.sendModelRequest(`model${this.#nextModel++}`);
	}

	/** Two operators see the same version and both write; one of them sends again after a lost answer. */
	#raceOperators(): void {
		const name = `team${1 + Math.floor(this.#random() * 2)}`;
		const entry = pick(this.#entries.filter(one => one.isReady), this.#random);
		const seen = entry?.view.get('team', name)?.version ?? 0;
		for (let racer = 0; racer < 2; racer++) {
			const requestId = `put${this.#nextPut++}`;
			const specification: Specification = {kind: 'team', weight: 1 + this.#nextPut};
			const send = () => {
				const through = pick(this.#entries.filter(one => one.isReady), this.#random);
				through?.propose({
					type: 'put', at: Math.floor(this.#simulator.nowMs), requestId, name, seen, specification,
				}, 3000, outcome => {
					this.#onPut(requestId, name, seen, outcome);
				});
			};

			send();
			if (this.#random() < 0.3) {
				this.#simulator.schedule(this.#random() * 1000, send);
			}
		}
	}

	#onPut(requestId: string, name: string, seen: number, outcome: CommandOutcome | undefined): void {
		if (outcome) {
			this.#checker.recordPut(requestId, name, seen, outcome);
		}
	}

	#declareChange(): void {
		const server = pick([...this.#engines.keys()], this.#random)!;
		const specification: Specification = this.#random() < 0.2
			? {kind: 'change', action: 'drain', server}
			: {
				kind: 'change', action: 'role', server, role: this.#random() < 0.5 ? 'prefill' : 'decode',
			};
		pick(this.#entries.filter(one => one.isReady), this.#random)?.propose({
			type: 'put', at: Math.floor(this.#simulator.nowMs), requestId: `change${this.#nextPut}`, name: `change${this.#nextPut++}`, seen: 0, specification,
		}, 3000, () => undefined);
	}

	#deleteFinishedChanges(): void {
		const entry = pick(this.#entries.filter(one => one.isReady), this.#random);
		for (const resource of entry?.view.list('change') ?? []) {
			const isFinished = ['done', 'drained', 'failed'].includes(resource.status?.phase ?? '');
			if (isFinished && this.#random() < 0.6) {
				entry?.propose({
					type: 'remove', at: Math.floor(this.#simulator.nowMs), requestId: `remove${this.#nextPut++}`, kind: 'change', name: resource.name, seen: resource.version,
				}, 3000, () => undefined);
			}
		}
	}

	/** The operator replaces replicas that came back without their disk. */
	#repairReplicas(): void {
		const leader = [...this.#controls.values()].find(control => control.isLeader && control.replica!.isLeaderReady);
		const {voters} = leader?.replica?.configuration ?? {voters: []};
		for (const control of this.#controls.values()) {
			const old = voters.find(member => member.host === control.host);
			const isForeign = control.process.isAlive && !voters.some(member => member.replica === control.identity);
			if (leader && isForeign) {
				const add = createMember(control.host, control.identity);
				if (leader.beginRepair(old ? {add, remove: old.replica} : {add})) {
					return;
				}
			}
		}
	}

	#scheduleFault(): void {
		if (this.#isHealed) {
			return;
		}

		this.#simulator.schedule(this.#temper.faultEveryMs * (0.3 + (this.#random() * 1.4)), () => {
			if (!this.#isHealed) {
				this.#injectFault();
				if (this.#random() < 0.25) {
					this.#injectFault();
				}

				this.#scheduleFault();
			}
		});
	}

	#injectFault(): void {
		const {kills, wipes, pauses, cuts, storms, handOvers} = this.#temper;
		const weighted = [
			...Array.from({length: kills}, () => () => {
				this.#killSomething();
			}),
			...Array.from({length: wipes}, () => () => {
				this.#wipeControl();
			}),
			...Array.from({length: pauses}, () => () => {
				this.#pauseSomething();
			}),
			...Array.from({length: cuts}, () => () => {
				this.#cutSomething();
			}),
			...Array.from({length: storms}, () => () => {
				this.#stormNetwork();
			}),
			...Array.from({length: handOvers}, () => () => {
				this.#handOver();
			}),
		];
		pick(weighted, this.#random)?.();
	}

	#killSomething(): void {
		const {process, kill, restart} = pick(this.#listKillable(), this.#random)!;
		if (!process.isAlive) {
			return;
		}

		this.#fault('kill', process.name);
		kill();
		this.#simulator.schedule(50 + (this.#random() * 2500), restart);
	}

	#listKillable(): Array<{process: SimulatedProcess; kill: () => void; restart: () => void}> {
		const controls = [...this.#controls.values()].map(control => ({
			process: control.process, kill() {
				control.kill({wipe: false});
			}, restart() {
				control.restart();
			},
		}));
		const others = [...this.#engines.values(), ...this.#plains, ...this.#entries].map(one => ({
			process: one.process, kill() {
				one.kill();
			}, restart() {
				one.restart();
			},
		}));
		return [...controls, ...controls, ...others];
	}

	/** A disk is lost, but not before the repair of an earlier loss is finished. */
	#wipeControl(): void {
		const voters = this.#findVoters();
		const intact = [...this.#controls.values()].filter(control => voters.has(control.identity));
		const control = pick(intact, this.#random);
		const isRepairing = [...this.#controls.values()].some(one => !voters.has(one.identity) || one.repair);
		if (control?.process.isAlive && !isRepairing && voters.size === this.#controls.size) {
			this.#fault('wipe', control.host);
			control.kill({wipe: true});
			this.#simulator.schedule(50 + (this.#random() * 1000), () => {
				control.restart();
			});
		}
	}

	#findVoters(): Set<string> {
		const configurations = [...this.#controls.values()]
			.filter(control => control.replica && control.replica.configuration.voters.length > 0)
			.toSorted((a, b) => b.replica!.commitIndex - a.replica!.commitIndex);
		const best = configurations[0]?.replica;
		const isFinished = best?.isConfigurationCommitted && best.configuration.outgoing.length === 0;
		return new Set(isFinished ? best.configuration.voters.map(member => member.replica) : []);
	}

	#pauseSomething(): void {
		const target = pick([...this.#simulator.processes.values()].filter(process => process.isAlive && !process.isPaused), this.#random);
		const leader = [...this.#controls.values()].find(control => control.isLeader);
		const process = this.#random() < 0.4 && leader && !leader.process.isPaused ? leader.process : target;
		if (process) {
			this.#fault('pause', process.name);
			this.#simulator.pause(process);
			const long = this.#random() < 0.3 ? LONGEST_PAUSE_MS : 1500;
			this.#simulator.schedule(50 + (this.#random() * long), () => {
				this.#simulator.log(`${process.name} goes on`);
				this.#simulator.resume(process);
			});
		}
	}

	#cutSomething(): void {
		const names = [...this.#simulator.processes.keys()];
		const isOneWay = this.#random() < 0.4;
		const target = this.#random() < 0.5 ? [...this.#controls.values()].find(control => control.isLeader)?.host : undefined;
		const victim = target ?? pick(names, this.#random)!;
		const others = names.filter(name => name !== victim && this.#random() < 0.8);
		this.#fault(isOneWay ? 'cut one way' : 'cut', `${victim} from ${others.join(' ')}`);
		for (const other of others) {
			this.#simulator.blockLink(victim, other);
			if (!isOneWay) {
				this.#simulator.blockLink(other, victim);
			}
		}

		this.#simulator.schedule(100 + (this.#random() * 3500), () => {
			this.#simulator.log('cuts heal');
			this.#simulator.unblockLinks();
		});
	}

	#handOver(): void {
		const leader = [...this.#controls.values()].find(control => control.isLeader && !control.process.isPaused);
		if (leader) {
			this.#fault('hand over', leader.host);
			leader.transferLeadership();
		}
	}

	#stormNetwork(): void {
		this.#fault('storm', 'drops, duplicates and delays');
		const {network} = this.#simulator;
		network.dropProbability = this.#random() * 0.25;
		network.duplicateProbability = this.#random() * 0.2;
		network.maxDelayMs = 5 + (this.#random() * this.#temper.stormDelayMs);
		this.#simulator.schedule(200 + (this.#random() * 2000), () => {
			this.#calmNetwork();
		});
	}

	#calmNetwork(): void {
		Object.assign(this.#simulator.network, {dropProbability: 0, duplicateProbability: 0, maxDelayMs: 3});
	}

	#fault(kind: string, detail: string): void {
		this.#simulator.countFault(kind);
		this.#simulator.log(`FAULT ${kind}: ${detail}`);
	}

	#heal(): void {
		this.#isHealed = true;
		this.#simulator.log('everything heals');
		this.#calmNetwork();
		this.#simulator.unblockLinks();
		for (const process of this.#simulator.processes.values()) {
			this.#simulator.resume(process);
		}

		for (const {restart} of this.#listKillable()) {
			restart();
		}
	}

	/** After healing everything must come to an end. */
	#checkLiveness(): void {
		const {referenceState} = this.#checker;
		const leaders = [...this.#controls.values()].filter(control => control.holdsLeaderLease);
		if (leaders.length !== 1) {
			this.#checker.reportViolation(`${leaders.length} leaders with authority after healing`);
			return;
		}

		const open = referenceState.ledger.listOpenClaims();
		if (open.length > 0) {
			this.#checker.reportViolation(`claims stay open after healing: ${open.map(({key, attempt}) => `${key} ${attempt}`).join(', ')}`);
		}

		const changes = referenceState.listOpenChanges();
		if (changes.length > 0) {
			this.#checker.reportViolation(`changes stay open after healing: ${changes.map(({name, status}) => `${name} ${status?.phase}`).join(', ')}`);
		}

		for (const entry of this.#entries) {
			if (entry.view.version !== referenceState.viewVersion) {
				this.#checker.reportViolation(`${entry.host} has configuration ${entry.view.version} after healing, not ${referenceState.viewVersion}`);
			}
		}

		if (this.#unanswered.size > 0) {
			this.#checker.reportViolation(`callers have no answer after healing: ${[...this.#unanswered].join(' ')}`);
		}
	}
}

/** Ends a run at its first violation. */
class Stop extends Error {
	constructor() {
		super('A check failed.');
	}
}

function createConfiguration(count: number): Configuration {
	const voters = Array.from({length: count}, (_, index) => createMember(`control${index + 1}`, `control${index + 1}.1`));
	return {voters, outgoing: [], learners: []};
}

function createMember(host: string, replica: string): Member {
	return {
		replica, host, address: '127.0.0.1', port: 1,
	};
}
