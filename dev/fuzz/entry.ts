/**
 * An entry host in the fuzzer: the real view, and the protocol of its tasks in small.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import {pick} from '../../src/base/random.js';
import {isNewerAnnouncement} from '../../src/control/controller.js';
import type {
	Announcement, Command, LedgerOutcome, CommandOutcome, RenewRequest, ViewUpdate,
} from '../../src/generated/types.js';
import {ResourceView} from '../../src/entry/view.js';
import type {EngineProcess, PlainServerProcess} from './backend.js';
import type {InvariantChecker, BookingOutcome} from './invariants.js';
import type {ControlProcess, ReplyCallback} from './control.js';
import type {Mutation} from './mutations.js';
import type {SimulatedProcess, Simulator} from './simulator.js';

export type EntryContext = {
	readonly simulator: Simulator;
	readonly checker: InvariantChecker;
	readonly mutation: Mutation | undefined;
	readonly controls: Map<string, ControlProcess>;
	readonly engines: Map<string, EngineProcess>;
	readonly plains: readonly PlainServerProcess[];
};

const ANSWER_TIMEOUT_MS = 1000;
const RETRY_MS = 60;
const RENEW_MS = 200;
const CLAIM_DEADLINE_MS = 3000;
const SETTLE_DEADLINE_MS = 60_000;
const PLAIN_TIMEOUT_MS = 600;
const POLL_MS = 150;
const MAX_POLLS = 20;

/** One entry host. */
export class EntryProcess {
	readonly process: SimulatedProcess;
	readonly host: string;
	view: ResourceView;
	readonly #context: EntryContext;
	readonly #announcements = new Map<string, Announcement>();
	readonly #running = new Map<string, number>();
	#boot = '';
	#starts = 0;
	#nextAttempt = 1;
	#leader: string | undefined;
	#leaseUntilMs = 0;
	#hasRead = false;

	constructor(context: EntryContext, host: string) {
		this.#context = context;
		this.host = host;
		this.process = context.simulator.addProcess(host);
		this.view = this.#createView();
		this.#start();
	}

	get isReady(): boolean {
		return this.process.isAlive && this.#hasRead;
	}

	kill(): void {
		this.#context.simulator.kill(this.process);
	}

	restart(): void {
		if (!this.process.isAlive) {
			this.process.isAlive = true;
			this.view = this.#createView();
			this.#hasRead = false;
			this.#leaseUntilMs = 0;
			this.#running.clear();
			this.#start();
		}
	}

	recordAnnouncement(announcement: Announcement): void {
		const known = this.#announcements.get(announcement.server);
		if (!known || isNewerAnnouncement(announcement, known)) {
			this.#announcements.set(announcement.server, announcement);
		}
	}

	/** Serves a call that may not be repeated. */
	bookSeat(key: string, reply: (told: BookingOutcome) => void): void {
		this.#claim(key, {attempt: `${this.#boot}/${this.#nextAttempt++}`, polls: 0}, (attempt, told) => {
			this.#context.checker.recordBookingOutcome(key, attempt, told);
			reply(told);
		});
	}

	/** Reads the configuration as an operator does; it must contain everything that was accepted before. */
	readConfiguration(): void {
		const {checker} = this.#context;
		const floor = checker.highestAcceptedVersion;
		this.#ask<number>(3000, (control, answer) => {
			control.read(state => {
				answer(Either.map((found: {viewVersion: number}) => found.viewVersion)(state));
			});
		}, version => {
			if (version !== undefined) {
				checker.recordRead(this.host, version, floor);
			}
		});
	}

	/** Sends a repeatable request to an engine that the view allows. */
	sendModelRequest(request: string): void {
		const {engines, simulator} = this.#context;
		const allowed = [...engines.values()].filter(engine => !this.view.findExclusion(engine.name));
		const engine = pick(allowed, simulator.random);
		if (!engine) {
			return;
		}

		const {name} = engine;
		const {generation} = this.process;
		const isEntitled = simulator.nowMs < this.#leaseUntilMs;
		const end = () => {
			if (this.process.generation === generation) {
				this.#running.set(name, Math.max(0, (this.#running.get(name) ?? 0) - 1));
			}
		};

		this.#running.set(name, (this.#running.get(name) ?? 0) + 1);
		simulator.send(this.process, engine.process, () => {
			engine.runRequest(request, isEntitled, () => {
				simulator.send(engine.process, this.process, end);
			});
		});
		simulator.scheduleOn(this.process, 2000, end);
	}

	/** Proposes an idempotent command until it is answered or the deadline has passed. */
	propose(command: Command, deadlineMs: number, reply: (outcome: CommandOutcome | undefined) => void): void {
		this.#ask<CommandOutcome>(deadlineMs, (control, answer) => {
			control.propose(command, answer);
		}, reply);
	}

	#createView(): ResourceView {
		if (this.#context.mutation !== 'stale-view-applied') {
			return new ResourceView();
		}

		// A view that takes every update to be newer.
		const view = new ResourceView();
		const apply = view.apply.bind(view);
		view.apply = update => update.version < view.version ? replaceView(view, update) : apply(update);
		return view;
	}

	#start(): void {
		this.#starts++;
		this.#boot = `${this.host}#${this.#starts}`;
		this.#nextAttempt = 1;
		this.#readFirst();
	}

	#readFirst(): void {
		this.#ask<ViewUpdate>(5000, (control, answer) => {
			control.read(state => {
				answer(Either.map((found: {createViewUpdate: (from: number) => ViewUpdate}) => found.createViewUpdate(-1))(state));
			});
		}, update => {
			if (!update) {
				this.#readFirst();
				return;
			}

			this.#hasRead = true;
			this.#apply(update);
			this.#renew();
		});
	}

	#renew(): void {
		const {simulator} = this.#context;
		const askedMs = simulator.nowMs;
		const servers = this.view.listChangingServers();
		const message: RenewRequest = {
			type: 'renew',
			id: 1,
			host: this.host,
			boot: this.#boot,
			version: this.view.version,
			running: servers.map(server => ({server, count: this.#running.get(server) ?? 0})),
			announcements: [...this.#announcements.values()].filter(({server}) => servers.includes(server)),
			leaving: false,
		};
		this.#ask<{leaseMs: number; view: ViewUpdate}>(ANSWER_TIMEOUT_MS, (control, answer) => {
			control.renew(message, {
				process: this.process, push: view => {
					this.#apply(view);
				},
			}, answer);
		}, renewed => {
			if (renewed) {
				this.#apply(renewed.view);
				this.#leaseUntilMs = Math.max(this.#leaseUntilMs, askedMs + renewed.leaseMs);
			}

			simulator.scheduleOn(this.process, RENEW_MS * (0.5 + simulator.random()), () => {
				this.#renew();
			});
		});
	}

	#apply(update: ViewUpdate): void {
		if (this.view.apply(update)) {
			this.#context.checker.recordView(this.host, this.view.version, this.view.list());
		}
	}

	#claim(key: string, {attempt, polls}: {attempt: string; polls: number}, reply: (attempt: string, told: BookingOutcome) => void): void {
		const {simulator} = this.#context;
		const command: Command = {
			type: 'claim', at: Math.floor(simulator.nowMs), key, fingerprint: key, attempt, host: this.host,
		};
		this.propose(command, CLAIM_DEADLINE_MS, outcome => {
			const answer = outcome as LedgerOutcome | undefined;
			if (!answer) {
				this.#settle(key, attempt, {type: 'not-run'});
				reply(attempt, {type: 'not-run'});
				return;
			}

			this.#onClaim({key, attempt, polls}, answer, reply);
		});
	}

	#onClaim(claim: {key: string; attempt: string; polls: number}, answer: LedgerOutcome, reply: (attempt: string, told: BookingOutcome) => void): void {
		const {key, attempt, polls} = claim;
		switch (answer.state) {
			case 'granted': {
				this.#runOnce(key, attempt, told => {
					reply(attempt, told);
				});
				break;
			}

			case 'in-flight': {
				if (polls >= MAX_POLLS) {
					this.#settle(key, attempt, {type: 'not-run'});
					reply(attempt, {type: 'unknown'});
					return;
				}

				this.#context.simulator.scheduleOn(this.process, POLL_MS, () => {
					this.#claim(key, {attempt, polls: polls + 1}, reply);
				});
				break;
			}

			case 'done': {
				reply(attempt, {type: 'done', booking: new TextDecoder().decode(answer.answer?.body)});
				break;
			}

			case 'not-run':
			case 'unknown':
			case 'reused': {
				this.#settle(key, attempt, {type: 'not-run'});
				reply(attempt, {type: answer.state === 'not-run' ? 'not-run' : 'unknown'});
				break;
			}
		}
	}

	#runOnce(key: string, attempt: string, reply: (told: BookingOutcome) => void): void {
		const {simulator, plains, mutation} = this.#context;
		let isSettled = false;
		const finish = (told: BookingOutcome) => {
			if (!isSettled) {
				isSettled = true;
				this.#settle(key, attempt, told, () => {
					reply(told);
				});
			}
		};

		const send = () => {
			const plain = pick(plains, simulator.random)!;
			if (!plain.process.isAlive) {
				finish({type: 'not-run'});
				return;
			}

			simulator.send(this.process, plain.process, () => {
				plain.runBooking(key, attempt, booking => {
					simulator.send(plain.process, this.process, () => {
						finish({type: 'done', booking});
					});
				});
			}, {once: true});
		};

		send();
		simulator.scheduleOn(this.process, PLAIN_TIMEOUT_MS, () => {
			if (mutation === 'retry-non-repeatable' && !isSettled) {
				send();
			}
		});
		simulator.scheduleOn(this.process, PLAIN_TIMEOUT_MS * 2, () => {
			finish({type: 'unknown'});
		});
	}

	#settle(key: string, attempt: string, told: BookingOutcome, reply: () => void = () => undefined): void {
		const answer = told.type === 'done' ? {answer: {status: 200, contentType: 'text/plain', body: new TextEncoder().encode(told.booking)}} : {};
		let isReplied = false;
		const once = () => {
			if (!isReplied) {
				isReplied = true;
				reply();
			}
		};

		this.propose({
			type: 'settle', at: Math.floor(this.#context.simulator.nowMs), key, attempt, outcome: told.type, ...answer,
		}, SETTLE_DEADLINE_MS, once);
		// The caller waits for the ledger only for a while.
		this.#context.simulator.scheduleOn(this.process, 2000, once);
	}

	/** Asks control hosts in turn until one answers or the deadline has passed. */
	#ask<Answer>(deadlineMs: number, question: (control: ControlProcess, answer: ReplyCallback<Answer>) => void, reply: (answer: Answer | undefined) => void): void {
		const {simulator, controls} = this.#context;
		const untilMs = simulator.nowMs + deadlineMs;
		const turn = () => {
			if (simulator.nowMs >= untilMs) {
				reply(undefined);
				return;
			}

			const control = controls.get(this.#leader ?? '') ?? pick([...controls.values()], simulator.random)!;
			let isAnswered = false;
			const onAnswer = (answer: Either.Either<string, Answer> | undefined) => {
				if (isAnswered) {
					return;
				}

				isAnswered = true;
				if (answer && Either.isRight(answer)) {
					this.#leader = control.host;
					reply(answer.right);
					return;
				}

				this.#leader = undefined;
				simulator.scheduleOn(this.process, RETRY_MS, turn);
			};

			simulator.send(this.process, control.process, () => {
				question(control, answer => {
					simulator.send(control.process, this.process, () => {
						onAnswer(answer);
					});
				});
			});
			simulator.scheduleOn(this.process, ANSWER_TIMEOUT_MS, () => {
				onAnswer(undefined);
			});
		};

		turn();
	}
}

/** Applies an older update as if it were whole and new. */
function replaceView(view: ResourceView, update: ViewUpdate): boolean {
	const fresh = new ResourceView();
	fresh.apply({...update, from: -1});
	Object.defineProperty(view, 'version', {get: () => fresh.version, configurable: true});
	view.list = fresh.list.bind(fresh);
	view.findExclusion = fresh.findExclusion.bind(fresh);
	return true;
}
