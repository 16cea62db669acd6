/**
 * One run of the fuzzer: a small simulated fleet that executes a random schedule of work and faults, followed by a
 * recovery phase without faults.
 *
 * @module
 */
import {
	createRandom, pick, shuffle, type Random,
} from '../../src/base/random.js';
import {DEFAULT_REPLICATION_LIMITS} from '../../src/consensus/limits.js';
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

/** Controller timing with short waits, so that orders follow each other closely. */
const SHORT_TIMING: ControllerTiming = {
	...DEFAULT_CONTROLLER_TIMING, orderTransitMs: 200, orderRetryMs: 200, claimGraceMs: 1000,
};
/** A few entries at a time, so that requests are split and replies awaited. */
const SMALL_APPEND_LIMITS = {appendBytes: 1500, unacknowledgedBytes: 3000};
const FAULT_PHASE_MS = 12_000;
const RECOVERY_MS = 19_000;
const MAX_PAUSE_MS = 9000;
/** New work stops this long before the end of the recovery phase, so that running work can finish. */
const WORK_DRAIN_MS = 17_000;

/**
 * Runs the schedule of a seed and returns its counters, its trace and the first violation, if any.
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

/** Size of the fleet and frequency of each kind of fault in a run; drawn at random for each run. */
type FaultProfile = {
	readonly controlCount: number;
	readonly meanFaultIntervalMs: number;
	readonly killWeight: number;
	readonly wipeWeight: number;
	readonly pauseWeight: number;
	readonly partitionWeight: number;
	readonly degradationWeight: number;
	readonly transferWeight: number;
	readonly entriesPerAppend: number;
	readonly appendLimits: ControlContext['appendLimits'];
	/** Probability that a new leader is killed right after its election. */
	readonly leaderKillProbability: number;
	/** Probability that a new leader can reach at most half of the others from its election on. */
	readonly leaderIsolationProbability: number;
	/** Probability of a long pause of the leader each time it is found with an open order or sends one. */
	readonly orderPauseProbability: number;
	/** Whether running replicas are replaced by a spare one. */
	readonly replacesReplicas: boolean;
	readonly timing: ControllerTiming;
	/** Longest delay of a message while the network is degraded, milliseconds. */
	readonly degradedMaxDelayMs: number;
};

class Run {
	readonly #seed: number;
	readonly #random: Random;
	readonly #simulator: Simulator;
	readonly #checker: InvariantChecker;
	readonly #profile: FaultProfile;
	readonly #controls = new Map<string, ControlProcess>();
	readonly #engines = new Map<string, EngineProcess>();
	readonly #plainServers: PlainServerProcess[] = [];
	readonly #entries: EntryProcess[] = [];
	/** Idempotency keys of bookings whose callers have no definite response. */
	readonly #unansweredKeys = new Set<string>();
	/** Leaders that have been partitioned from at least half of the others since their election. */
	readonly #isolatedLeaders = new Set<ControlProcess>();
	/** Control hosts that are no voters: the spare one, and those that were replaced. */
	readonly #spares = new Set<ControlProcess>();
	/** The replacement of a running replica that is in progress. */
	#replacement: {readonly spare: ControlProcess; readonly replica: string} | undefined;
	#nextKey = 1;
	#nextPut = 1;
	#nextModel = 1;
	#isRecovering = false;

	constructor(seed: number, mutation: Mutation | undefined) {
		this.#seed = seed;
		this.#random = createRandom((seed * 7919) + 13);
		this.#simulator = new Simulator(this.#random);
		this.#profile = this.#drawFaultProfile();
		const configuration = createConfiguration(this.#profile.controlCount);
		this.#checker = new InvariantChecker(configuration, mutation);
		const context = {
			simulator: this.#simulator, checker: this.#checker, mutation, controls: this.#controls, engines: this.#engines, plainServers: this.#plainServers, maxEntriesPerAppend: this.#profile.entriesPerAppend, appendLimits: this.#profile.appendLimits, timing: this.#profile.timing, onLeader: (control: ControlProcess) => {
				this.#onLeader(control);
			},
			onCommit: (control: ControlProcess) => {
				this.#killIsolatedLeader(control);
			},
			onOrderAbsent: (control: ControlProcess, server: string, order: number) => {
				this.#pauseLeaderBeforeOrder(control, server, order);
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
				throw new ViolationFound();
			}
		};

		try {
			simulator.runUntil(FAULT_PHASE_MS, check);
			this.#startRecovery();
			simulator.runUntil(FAULT_PHASE_MS + RECOVERY_MS, check);
			this.#checkLiveness();
		} catch (error) {
			if (!(error instanceof ViolationFound)) {
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

	#drawFaultProfile(): FaultProfile {
		const draw = (max: number) => Math.floor(this.#random() * (max + 1));
		// These runs have few other faults than long pauses of a leader with an open order.
		const isOrderRun = this.#random() < 0.25;
		// In these runs leaders change quickly, which leaves entries of many terms on a few replicas each.
		const isElectionRun = !isOrderRun && this.#random() < 0.25;
		return {
			controlCount: this.#random() < 0.6 && !isElectionRun ? 3 : 5,
			meanFaultIntervalMs: (isOrderRun ? 3000 : 150) + draw(900),
			killWeight: draw(4),
			wipeWeight: draw(2),
			pauseWeight: draw(3),
			partitionWeight: draw(4),
			degradationWeight: draw(2),
			transferWeight: draw(2),
			leaderKillProbability: this.#random() < 0.3 ? this.#random() * 0.8 : 0,
			leaderIsolationProbability: isElectionRun ? 0.8 : 0,
			orderPauseProbability: isOrderRun ? 0.3 : 0,
			// Has a random source of its own, so that the schedules of the other runs do not depend on it.
			replacesReplicas: createRandom(this.#seed * 31)() < 0.3,
			appendLimits: createRandom(this.#seed * 37)() < 0.5 ? SMALL_APPEND_LIMITS : DEFAULT_REPLICATION_LIMITS,
			timing: this.#random() < 0.5 && !isOrderRun ? DEFAULT_CONTROLLER_TIMING : SHORT_TIMING,
			entriesPerAppend: isElectionRun ? 1 : (this.#random() < 0.5 ? 1 + draw(3) : 512),
			degradedMaxDelayMs: this.#random() < 0.3 ? 1500 : 250,
		};
	}

	#startProcesses(context: ControlContext & {plainServers: readonly PlainServerProcess[]}, configuration: Configuration): void {
		for (const member of configuration.voters) {
			new ControlProcess(context, member.host, configuration); // eslint-disable-line no-new
		}

		if (this.#profile.replacesReplicas) {
			this.#spares.add(new ControlProcess(context, `control${configuration.voters.length + 1}`, undefined));
		}

		for (const name of ['plain1', 'plain2']) {
			this.#plainServers.push(new PlainServerProcess(name, this.#simulator, this.#checker));
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
		this.#repeat(120, () => {
			this.#submitBooking();
		});
		this.#repeat(90, () => {
			this.#sendModelRequest();
		});
		this.#repeat(200, () => {
			this.#submitConflictingPuts();
		});
		this.#repeat(400, () => {
			this.#submitChange();
		});
		this.#repeat(500, () => {
			this.#deleteFinishedChanges();
		});
		this.#repeat(500, () => {
			this.#replaceWipedReplicas();
		});
		if (this.#profile.replacesReplicas) {
			this.#repeat(300, () => {
				this.#replaceRunningReplica();
			});
		}

		this.#repeat(25, () => {
			this.#readConfiguration();
		});
		this.#repeat(100, () => {
			this.#pauseLeaderDuringOrder();
		});
	}

	/** Calls a function at random intervals until new work stops. */
	#repeat(meanMs: number, submit: () => void): void {
		const runAndReschedule = () => {
			if (this.#simulator.nowMs < FAULT_PHASE_MS + (RECOVERY_MS - WORK_DRAIN_MS)) {
				submit();
				this.#simulator.schedule(meanMs * (0.4 + (this.#random() * 1.2)), runAndReschedule);
			}
		};

		this.#simulator.schedule(meanMs * this.#random(), runAndReschedule);
	}

	#submitBooking(): void {
		const key = `key${this.#nextKey++}`;
		this.#unansweredKeys.add(key);
		this.#sendBooking(key);
		if (this.#random() < 0.4) {
			this.#simulator.schedule(this.#random() * 400, () => {
				this.#sendBooking(key);
			});
		}
	}

	/** Sends a booking as a caller, and sends it again through any host after a timeout or if it did not run. */
	#sendBooking(key: string): void {
		const entry = pick(this.#entries.filter(host => host.isReady), this.#random);
		let hasResponse = false;
		let isRetried = false;
		const retry = () => {
			if (this.#unansweredKeys.has(key) && !isRetried) {
				isRetried = true;
				this.#sendBooking(key);
			}
		};

		entry?.bookSeat(key, outcome => {
			hasResponse = true;
			if (outcome.type === 'not-run') {
				this.#simulator.schedule(200, retry);
			} else {
				this.#unansweredKeys.delete(key);
			}
		});
		this.#simulator.schedule(entry ? 2500 : 200, () => {
			if (!hasResponse) {
				retry();
			}
		});
	}

	#readConfiguration(): void {
		pick(this.#entries.filter(host => host.isReady), this.#random)?.readConfiguration();
	}

	/** Pauses a leader that has an open order for an engine without fencing, where a late order does the most harm. */
	#pauseLeaderDuringOrder(): void {
		const leader = [...this.#controls.values()].find(control => control.isLeader && !control.process.isPaused);
		const isOpen = leader?.state.listOpenOrders().some(order => order.server.startsWith('unfenced')) ?? false;
		if (leader && isOpen && !this.#isRecovering && !this.#isControlPaused() && this.#random() < this.#profile.orderPauseProbability) {
			this.#recordFault('pause', `${leader.host} during an order`);
			this.#simulator.pause(leader.process);
			this.#simulator.schedule(4500 + (this.#random() * 4000), () => {
				this.#simulator.resume(leader.process);
			});
		}
	}

	/** Whether a control host is paused; the others are not paused for orders meanwhile, so that one can take over. */
	#isControlPaused(): boolean {
		return [...this.#controls.values()].some(({process}) => process.isPaused);
	}

	/** Pauses a leader right before it sends an order, until the server has executed a later order of the next leader. */
	#pauseLeaderBeforeOrder({process, host}: ControlProcess, server: string, order: number): void {
		const isEligible = server.startsWith('unfenced') && !this.#isRecovering && !this.#isControlPaused();
		if (!isEligible || this.#random() >= this.#profile.orderPauseProbability) {
			return;
		}

		this.#recordFault('pause', `${host} before order ${order} to ${server}`);
		this.#simulator.pause(process);
		const untilMs = this.#simulator.nowMs + MAX_PAUSE_MS;
		const resumeWhenSuperseded = () => {
			if (this.#checker.findHighestExecutedOrder(server) > order || this.#simulator.nowMs > untilMs || this.#isRecovering) {
				this.#simulator.resume(process);
				return;
			}

			this.#simulator.schedule(20 + (this.#random() * 100), resumeWhenSuperseded);
		};

		resumeWhenSuperseded();
	}

	/**
	 * Partitions a new leader from at least half of the others, and later ends the partition or kills the leader.
	 * This leaves entries of many terms on a few replicas each.
	 */
	#isolateLeader(control: ControlProcess): void {
		const others = [...this.#controls.values()].filter(other => other !== control);
		const reachableCount = Math.floor(this.#random() * ((others.length / 2) + 1));
		const unreachable = shuffle(others, this.#random).slice(reachableCount);
		this.#recordFault('cut', `${control.host}, just elected, from ${unreachable.map(({host}) => host).join(' ')}`);
		for (const {host} of unreachable) {
			this.#simulator.blockLink(control.host, host);
			this.#simulator.blockLink(host, control.host);
		}

		this.#isolatedLeaders.add(control);
		this.#simulator.schedule(10 + (this.#random() * 200), () => {
			this.#simulator.unblockLinks();
			if (this.#isolatedLeaders.delete(control) && control.process.isAlive && this.#random() < 0.7) {
				this.#killAndRestart(control, 'isolated since its election');
			}
		});
	}

	/** Kills an isolated leader at its first commit. */
	#killIsolatedLeader(control: ControlProcess): void {
		if (this.#isolatedLeaders.has(control) && control.isLeader && !this.#isRecovering) {
			this.#isolatedLeaders.delete(control);
			this.#killAndRestart(control, 'at its first commit');
		}
	}

	#killAndRestart(control: ControlProcess, detail: string): void {
		this.#recordFault('kill', `${control.host}, ${detail}`);
		control.kill({wipe: false});
		this.#simulator.schedule(50 + (this.#random() * 1500), () => {
			control.restart();
		});
	}

	/** Isolates some new leaders and kills others before the other hosts learn of them. */
	#onLeader(control: ControlProcess): void {
		if (!this.#isRecovering && this.#random() < this.#profile.leaderIsolationProbability) {
			this.#isolateLeader(control);
			return;
		}

		if (!this.#isRecovering && this.#random() < this.#profile.leaderKillProbability) {
			this.#simulator.schedule(this.#random() * 25, () => {
				if (control.process.isAlive) {
					this.#killAndRestart(control, 'just elected');
				}
			});
		}
	}

	#sendModelRequest(): void {
		pick(this.#entries.filter(host => host.isReady), this.#random)?.sendModelRequest(`model${this.#nextModel++}`);
	}

	/** Writes a resource twice with the same expected version, as two operators do; some writes are sent again. */
	#submitConflictingPuts(): void {
		const name = `team${1 + Math.floor(this.#random() * 2)}`;
		const entry = pick(this.#entries.filter(host => host.isReady), this.#random);
		const seen = entry?.view.get('team', name)?.version ?? 0;
		for (let operator = 0; operator < 2; operator++) {
			const requestId = `put${this.#nextPut++}`;
			const specification: Specification = {kind: 'team', weight: 1 + this.#nextPut};
			const send = () => {
				const host = pick(this.#entries.filter(host => host.isReady), this.#random);
				host?.propose({
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

	#submitChange(): void {
		const server = pick([...this.#engines.keys()], this.#random)!;
		const specification: Specification = this.#random() < 0.2
			? {kind: 'change', action: 'drain', server}
			: {
				kind: 'change', action: 'role', server, role: this.#random() < 0.5 ? 'prefill' : 'decode',
			};
		pick(this.#entries.filter(host => host.isReady), this.#random)?.propose({
			type: 'put', at: Math.floor(this.#simulator.nowMs), requestId: `change${this.#nextPut}`, name: `change${this.#nextPut++}`, seen: 0, specification,
		}, 3000, () => undefined);
	}

	#deleteFinishedChanges(): void {
		const entry = pick(this.#entries.filter(host => host.isReady), this.#random);
		for (const resource of entry?.view.list('change') ?? []) {
			const isFinished = ['done', 'drained', 'failed'].includes(resource.status?.phase ?? '');
			if (isFinished && this.#random() < 0.6) {
				entry?.propose({
					type: 'remove', at: Math.floor(this.#simulator.nowMs), requestId: `remove${this.#nextPut++}`, kind: 'change', name: resource.name, seen: resource.version,
				}, 3000, () => undefined);
			}
		}
	}

	/** Replaces, as an operator does, a replica that restarted with a wiped disk. */
	#replaceWipedReplicas(): void {
		const leader = [...this.#controls.values()].find(control => control.isLeader && control.replica!.isLeaderReady);
		const {voters} = leader?.replica?.configuration ?? {voters: []};
		for (const control of this.#controls.values()) {
			const old = voters.find(member => member.host === control.host);
			// The operator who replaces a replica by a spare does not add it again; its host is stopped and emptied next.
			const isReplaced = this.#spares.has(control) || control.identity === this.#replacement?.replica;
			const isMissing = control.process.isAlive && !isReplaced && !voters.some(member => member.replica === control.identity);
			if (leader && isMissing) {
				const add = createMember(control.host, control.identity);
				if (leader.beginReconfiguration(old ? {add, remove: old.replica} : {add})) {
					return;
				}
			}
		}
	}

	/** Replaces, as an operator does, a replica that works by a spare one; the host that was replaced becomes the next spare. */
	#replaceRunningReplica(): void {
		const voters = this.#listVoters();
		if (this.#replacement) {
			this.#continueReplacement(this.#replacement, voters);
			return;
		}

		const spare = [...this.#spares].find(control => control.process.isAlive && control.isAwaitingAdmission);
		const replica = pick([...voters], this.#random);
		const isComplete = voters.size === this.#profile.controlCount && [...this.#controls.values()].every(control => voters.has(control.identity) || this.#spares.has(control));
		if (spare && replica !== undefined && isComplete && !this.#isRecovering) {
			this.#replacement = {spare, replica};
			this.#continueReplacement(this.#replacement, voters);
		}
	}

	#continueReplacement({spare, replica}: {readonly spare: ControlProcess; readonly replica: string}, voters: ReadonlySet<string>): void {
		if (voters.has(spare.identity) && !voters.has(replica)) {
			this.#replacement = undefined;
			this.#spares.delete(spare);
			this.#retire([...this.#controls.values()].find(control => control.identity === replica)!);
			return;
		}

		const leader = [...this.#controls.values()].find(control => control.isLeader);
		const hasBegun = leader?.beginReconfiguration({add: createMember(spare.host, spare.identity), remove: replica}) ?? false;
		if (hasBegun && !this.#isRecovering && this.#random() < 0.7) {
			this.#simulator.schedule(this.#random() * 400, () => {
				this.#partitionReplacement(leader!, spare);
			});
		}
	}

	/** Cuts the leader and the spare replica off from the others, so that the old and the new voters may each have a majority. */
	#partitionReplacement(leader: ControlProcess, spare: ControlProcess): void {
		if (this.#isRecovering) {
			return;
		}

		this.#recordFault('cut', `${leader.host} and ${spare.host} from the other control hosts`);
		for (const other of [...this.#controls.values()].filter(control => control !== leader && control !== spare)) {
			for (const {host} of [leader, spare]) {
				this.#simulator.blockLink(host, other.host);
				this.#simulator.blockLink(other.host, host);
			}
		}

		this.#simulator.schedule(500 + (this.#random() * 4000), () => {
			this.#simulator.unblockLinks();
		});
	}

	/** Stops a host that was replaced; it comes back with an empty disk. */
	#retire(control: ControlProcess): void {
		this.#spares.add(control);
		this.#simulator.schedule(this.#random() * 2000, () => {
			control.kill({wipe: true});
			this.#simulator.schedule(50 + (this.#random() * 1000), () => {
				control.restart();
			});
		});
	}

	#scheduleFault(): void {
		if (this.#isRecovering) {
			return;
		}

		this.#simulator.schedule(this.#profile.meanFaultIntervalMs * (0.3 + (this.#random() * 1.4)), () => {
			if (!this.#isRecovering) {
				this.#injectFault();
				if (this.#random() < 0.25) {
					this.#injectFault();
				}

				this.#scheduleFault();
			}
		});
	}

	/** Injects a fault of a random kind; each kind is listed as often as its weight in the profile. */
	#injectFault(): void {
		const {killWeight, wipeWeight, pauseWeight, partitionWeight, degradationWeight, transferWeight} = this.#profile;
		const faults = [
			...Array.from({length: killWeight}, () => () => {
				this.#killProcess();
			}),
			...Array.from({length: wipeWeight}, () => () => {
				this.#wipeControlHost();
			}),
			...Array.from({length: pauseWeight}, () => () => {
				this.#pauseProcess();
			}),
			...Array.from({length: partitionWeight}, () => () => {
				this.#partitionProcess();
			}),
			...Array.from({length: degradationWeight}, () => () => {
				this.#degradeNetwork();
			}),
			...Array.from({length: transferWeight}, () => () => {
				this.#transferLeadership();
			}),
		];
		pick(faults, this.#random)?.();
	}

	#killProcess(): void {
		const {process, kill, restart} = pick(this.#listKillableProcesses(), this.#random)!;
		if (!process.isAlive) {
			return;
		}

		this.#recordFault('kill', process.name);
		kill();
		this.#simulator.schedule(50 + (this.#random() * 2500), restart);
	}

	#listKillableProcesses(): Array<{process: SimulatedProcess; kill: () => void; restart: () => void}> {
		const controls = [...this.#controls.values()].map(control => ({
			process: control.process, kill() {
				control.kill({wipe: false});
			}, restart() {
				control.restart();
			},
		}));
		const others = [...this.#engines.values(), ...this.#plainServers, ...this.#entries].map(target => ({
			process: target.process, kill() {
				target.kill();
			}, restart() {
				target.restart();
			},
		}));
		return [...controls, ...controls, ...others];
	}

	/** Kills a control host and wipes its disk, unless a replica that was wiped earlier is still being replaced. */
	#wipeControlHost(): void {
		const voters = this.#listVoters();
		const intact = [...this.#controls.values()].filter(control => voters.has(control.identity));
		const control = pick(intact, this.#random);
		const isReconfiguring = this.#replacement !== undefined || [...this.#controls.values()].some(other => (!voters.has(other.identity) && !this.#spares.has(other)) || other.reconfiguration);
		if (control?.process.isAlive && !isReconfiguring && voters.size === this.#profile.controlCount) {
			this.#recordFault('wipe', control.host);
			control.kill({wipe: true});
			this.#simulator.schedule(50 + (this.#random() * 1000), () => {
				control.restart();
			});
		}
	}

	/** Lists the voters of the latest configuration; empty while a reconfiguration is not committed. */
	#listVoters(): Set<string> {
		const replicasByCommit = [...this.#controls.values()]
			.filter(control => control.replica && control.replica.configuration.voters.length > 0)
			.toSorted((a, b) => b.replica!.commitIndex - a.replica!.commitIndex);
		const latest = replicasByCommit[0]?.replica;
		const isStable = latest?.isConfigurationCommitted && latest.configuration.outgoing.length === 0;
		return new Set(isStable ? latest.configuration.voters.map(member => member.replica) : []);
	}

	#pauseProcess(): void {
		const target = pick([...this.#simulator.processes.values()].filter(process => process.isAlive && !process.isPaused), this.#random);
		const leader = [...this.#controls.values()].find(control => control.isLeader);
		const process = this.#random() < 0.4 && leader && !leader.process.isPaused ? leader.process : target;
		if (process) {
			this.#recordFault('pause', process.name);
			this.#simulator.pause(process);
			const maxPauseMs = this.#random() < 0.3 ? MAX_PAUSE_MS : 1500;
			this.#simulator.schedule(50 + (this.#random() * maxPauseMs), () => {
				this.#simulator.log(`${process.name} resumes`);
				this.#simulator.resume(process);
			});
		}
	}

	#partitionProcess(): void {
		const names = [...this.#simulator.processes.keys()];
		const isOneWay = this.#random() < 0.4;
		const target = this.#random() < 0.5 ? [...this.#controls.values()].find(control => control.isLeader)?.host : undefined;
		const isolated = target ?? pick(names, this.#random)!;
		const others = names.filter(name => name !== isolated && this.#random() < 0.8);
		this.#recordFault(isOneWay ? 'cut one way' : 'cut', `${isolated} from ${others.join(' ')}`);
		for (const other of others) {
			this.#simulator.blockLink(isolated, other);
			if (!isOneWay) {
				this.#simulator.blockLink(other, isolated);
			}
		}

		this.#simulator.schedule(100 + (this.#random() * 3500), () => {
			this.#simulator.log('partitions end');
			this.#simulator.unblockLinks();
		});
	}

	#transferLeadership(): void {
		const leader = [...this.#controls.values()].find(control => control.isLeader && !control.process.isPaused);
		if (leader) {
			this.#recordFault('hand over', leader.host);
			leader.transferLeadership();
		}
	}

	#degradeNetwork(): void {
		this.#recordFault('storm', 'drops, duplicates and delays');
		const {network} = this.#simulator;
		network.dropProbability = this.#random() * 0.25;
		network.duplicateProbability = this.#random() * 0.2;
		network.maxDelayMs = 5 + (this.#random() * this.#profile.degradedMaxDelayMs);
		this.#simulator.schedule(200 + (this.#random() * 2000), () => {
			this.#restoreNetwork();
		});
	}

	#restoreNetwork(): void {
		Object.assign(this.#simulator.network, {dropProbability: 0, duplicateProbability: 0, maxDelayMs: 3});
	}

	#recordFault(kind: string, detail: string): void {
		this.#simulator.countFault(kind);
		this.#simulator.log(`FAULT ${kind}: ${detail}`);
	}

	#startRecovery(): void {
		this.#isRecovering = true;
		this.#simulator.log('recovery phase starts');
		this.#restoreNetwork();
		this.#simulator.unblockLinks();
		for (const process of this.#simulator.processes.values()) {
			this.#simulator.resume(process);
		}

		for (const {restart} of this.#listKillableProcesses()) {
			restart();
		}
	}

	/** Checks that after recovery there is one leader, no work is open and all resource views are up to date. */
	#checkLiveness(): void {
		const {referenceState} = this.#checker;
		const leaders = [...this.#controls.values()].filter(control => control.holdsLeaderLease);
		if (leaders.length !== 1) {
			this.#checker.reportViolation(`${leaders.length} replicas hold the leader lease after recovery`);
			return;
		}

		const open = referenceState.ledger.listOpenClaims();
		if (open.length > 0) {
			this.#checker.reportViolation(`claims still open after recovery: ${open.map(({key, attempt}) => `${key} ${attempt}`).join(', ')}`);
		}

		const changes = referenceState.listOpenChanges();
		if (changes.length > 0) {
			this.#checker.reportViolation(`changes still open after recovery: ${changes.map(({name, status}) => `${name} ${status?.phase}`).join(', ')}`);
		}

		for (const entry of this.#entries) {
			if (entry.view.version !== referenceState.viewVersion) {
				this.#checker.reportViolation(`resource view of ${entry.host} has version ${entry.view.version} after recovery instead of ${referenceState.viewVersion}`);
			}
		}

		if (this.#unansweredKeys.size > 0) {
			this.#checker.reportViolation(`callers without a response after recovery: ${[...this.#unansweredKeys].join(' ')}`);
		}
	}
}

/** Ends a run at its first violation. */
class ViolationFound extends Error {
	constructor() {
		super('An invariant is violated.');
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
