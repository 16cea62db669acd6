/**
 * Simulated entry host of the fuzzer: the production resource view, with a simplified version of the entry host's
 * requests to control hosts and backend servers.
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
	readonly plainServers: readonly PlainServerProcess[];
};

const RESPONSE_TIMEOUT_MS = 1000;
const RETRY_DELAY_MS = 60;
const RENEW_INTERVAL_MS = 200;
const CLAIM_DEADLINE_MS = 3000;
const SETTLE_DEADLINE_MS = 60_000;
const PLAIN_SERVER_TIMEOUT_MS = 600;
const CLAIM_POLL_INTERVAL_MS = 150;
const MAX_CLAIM_POLLS = 20;

/** An entry host. */
export class EntryProcess {
	readonly process: SimulatedProcess;
	readonly host: string;
	view: ResourceView;
	readonly #context: EntryContext;
	readonly #announcements = new Map<string, Announcement>();
	readonly #running = new Map<string, number>();
	/** Identifies this start of the host; also prefixes the names of its attempts. */
	#boot = '';
	#starts = 0;
	#nextAttempt = 1;
	#leader: string | undefined;
	#leaseUntilMs = 0;
	#hasInitialView = false;

	constructor(context: EntryContext, host: string) {
		this.#context = context;
		this.host = host;
		this.process = context.simulator.addProcess(host);
		this.view = this.#createResourceView();
		this.#start();
	}

	get isReady(): boolean {
		return this.process.isAlive && this.#hasInitialView;
	}

	kill(): void {
		this.#context.simulator.kill(this.process);
	}

	restart(): void {
		if (!this.process.isAlive) {
			this.process.isAlive = true;
			this.view = this.#createResourceView();
			this.#hasInitialView = false;
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

	/** Serves a non-repeatable request. */
	bookSeat(key: string, reply: (outcome: BookingOutcome) => void): void {
		this.#claim(key, {attempt: `${this.#boot}/${this.#nextAttempt++}`, polls: 0}, (attempt, outcome) => {
			this.#context.checker.recordBookingOutcome(key, attempt, outcome);
			reply(outcome);
		});
	}

	/** Reads the resources as an operator does; the result must include everything that was accepted before. */
	readConfiguration(): void {
		const {checker} = this.#context;
		const floor = checker.highestAcceptedVersion;
		this.#askControl<number>(3000, (control, respond) => {
			control.read(state => {
				respond(Either.map((found: {viewVersion: number}) => found.viewVersion)(state));
			});
		}, version => {
			if (version !== undefined) {
				checker.recordRead(this.host, version, floor);
			}
		});
	}

	/** Sends a repeatable request to an engine that the resource view does not exclude. */
	sendModelRequest(request: string): void {
		const {engines, simulator} = this.#context;
		const allowed = [...engines.values()].filter(engine => !this.view.findExclusion(engine.name));
		const engine = pick(allowed, simulator.random);
		if (!engine) {
			return;
		}

		const {name} = engine;
		const {generation} = this.process;
		const hasLease = simulator.nowMs < this.#leaseUntilMs;
		const end = () => {
			if (this.process.generation === generation) {
				this.#running.set(name, Math.max(0, (this.#running.get(name) ?? 0) - 1));
			}
		};

		this.#running.set(name, (this.#running.get(name) ?? 0) + 1);
		simulator.send(this.process, engine.process, () => {
			engine.runRequest(request, hasLease, () => {
				simulator.send(engine.process, this.process, end);
			});
		});
		simulator.scheduleOn(this.process, 2000, end);
	}

	/** Proposes an idempotent command again and again until it gets an outcome or the deadline passes. */
	propose(command: Command, deadlineMs: number, reply: (outcome: CommandOutcome | undefined) => void): void {
		this.#askControl<CommandOutcome>(deadlineMs, (control, respond) => {
			control.propose(command, respond);
		}, reply);
	}

	#createResourceView(): ResourceView {
		if (this.#context.mutation !== 'stale-view-applied') {
			return new ResourceView();
		}

		// Under this mutation the view also applies older updates.
		const view = new ResourceView();
		const apply = view.apply.bind(view);
		view.apply = update => update.version < view.version ? replaceView(view, update) : apply(update);
		return view;
	}

	#start(): void {
		this.#starts++;
		this.#boot = `${this.host}#${this.#starts}`;
		this.#nextAttempt = 1;
		this.#readInitialView();
	}

	/** Reads the first resource view from a control host, then starts to renew the view lease. */
	#readInitialView(): void {
		this.#askControl<ViewUpdate>(5000, (control, respond) => {
			control.read(state => {
				respond(Either.map((found: {createViewUpdate: (from: number) => ViewUpdate}) => found.createViewUpdate(-1))(state));
			});
		}, update => {
			if (!update) {
				this.#readInitialView();
				return;
			}

			this.#hasInitialView = true;
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
		this.#askControl<{leaseMs: number; view: ViewUpdate}>(RESPONSE_TIMEOUT_MS, (control, respond) => {
			control.renew(message, {
				process: this.process, push: view => {
					this.#apply(view);
				},
			}, respond);
		}, renewed => {
			if (renewed) {
				this.#apply(renewed.view);
				this.#leaseUntilMs = Math.max(this.#leaseUntilMs, askedMs + renewed.leaseMs);
			}

			simulator.scheduleOn(this.process, RENEW_INTERVAL_MS * (0.5 + simulator.random()), () => {
				this.#renew();
			});
		});
	}

	#apply(update: ViewUpdate): void {
		if (this.view.apply(update)) {
			this.#context.checker.recordView(this.host, this.view.version, this.view.list());
		}
	}

	/** Claims the idempotency key in the ledger. */
	#claim(key: string, {attempt, polls}: {attempt: string; polls: number}, reply: (attempt: string, outcome: BookingOutcome) => void): void {
		const {simulator} = this.#context;
		const command: Command = {
			type: 'claim', at: Math.floor(simulator.nowMs), key, fingerprint: key, attempt, host: this.host,
		};
		this.propose(command, CLAIM_DEADLINE_MS, outcome => {
			const claimOutcome = outcome as LedgerOutcome | undefined;
			if (!claimOutcome) {
				this.#settle(key, attempt, {type: 'not-run'});
				reply(attempt, {type: 'not-run'});
				return;
			}

			this.#onClaimOutcome({key, attempt, polls}, claimOutcome, reply);
		});
	}

	#onClaimOutcome(claim: {key: string; attempt: string; polls: number}, claimOutcome: LedgerOutcome, reply: (attempt: string, outcome: BookingOutcome) => void): void {
		const {key, attempt, polls} = claim;
		switch (claimOutcome.state) {
			case 'granted': {
				this.#sendBooking(key, attempt, outcome => {
					reply(attempt, outcome);
				});
				break;
			}

			case 'in-flight': {
				if (polls >= MAX_CLAIM_POLLS) {
					this.#settle(key, attempt, {type: 'not-run'});
					reply(attempt, {type: 'unknown'});
					return;
				}

				this.#context.simulator.scheduleOn(this.process, CLAIM_POLL_INTERVAL_MS, () => {
					this.#claim(key, {attempt, polls: polls + 1}, reply);
				});
				break;
			}

			case 'done': {
				reply(attempt, {type: 'done', booking: new TextDecoder().decode(claimOutcome.answer?.body)});
				break;
			}

			case 'not-run':
			case 'unknown':
			case 'reused': {
				this.#settle(key, attempt, {type: 'not-run'});
				reply(attempt, {type: claimOutcome.state === 'not-run' ? 'not-run' : 'unknown'});
				break;
			}
		}
	}

	/** Sends the booking to a plain server once, and settles the claim with its outcome. */
	#sendBooking(key: string, attempt: string, reply: (outcome: BookingOutcome) => void): void {
		const {simulator, plainServers, mutation} = this.#context;
		let isSettled = false;
		const finish = (outcome: BookingOutcome) => {
			if (!isSettled) {
				isSettled = true;
				this.#settle(key, attempt, outcome, () => {
					reply(outcome);
				});
			}
		};

		const send = () => {
			const plainServer = pick(plainServers, simulator.random)!;
			if (!plainServer.process.isAlive) {
				finish({type: 'not-run'});
				return;
			}

			simulator.send(this.process, plainServer.process, () => {
				plainServer.runBooking(key, attempt, booking => {
					simulator.send(plainServer.process, this.process, () => {
						finish({type: 'done', booking});
					});
				});
			}, {once: true});
		};

		send();
		simulator.scheduleOn(this.process, PLAIN_SERVER_TIMEOUT_MS, () => {
			if (mutation === 'retry-non-repeatable' && !isSettled) {
				send();
			}
		});
		simulator.scheduleOn(this.process, PLAIN_SERVER_TIMEOUT_MS * 2, () => {
			finish({type: 'unknown'});
		});
	}

	/** Records the outcome of an attempt in the ledger. */
	#settle(key: string, attempt: string, outcome: BookingOutcome, reply: () => void = () => undefined): void {
		const storedResponse = outcome.type === 'done' ? {answer: {status: 200, contentType: 'text/plain', body: new TextEncoder().encode(outcome.booking)}} : {};
		let isReplied = false;
		const once = () => {
			if (!isReplied) {
				isReplied = true;
				reply();
			}
		};

		this.propose({
			type: 'settle', at: Math.floor(this.#context.simulator.nowMs), key, attempt, outcome: outcome.type, ...storedResponse,
		}, SETTLE_DEADLINE_MS, once);
		// The caller waits for the ledger for a limited time only.
		this.#context.simulator.scheduleOn(this.process, 2000, once);
	}

	/** Asks the last known leader or a random control host until one responds or the deadline passes. */
	#askControl<Result>(deadlineMs: number, request: (control: ControlProcess, respond: ReplyCallback<Result>) => void, reply: (response: Result | undefined) => void): void {
		const {simulator, controls} = this.#context;
		const untilMs = simulator.nowMs + deadlineMs;
		const tryNext = () => {
			if (simulator.nowMs >= untilMs) {
				reply(undefined);
				return;
			}

			const control = controls.get(this.#leader ?? '') ?? pick([...controls.values()], simulator.random)!;
			let hasResponse = false;
			const onResponse = (response: Either.Either<string, Result> | undefined) => {
				if (hasResponse) {
					return;
				}

				hasResponse = true;
				if (response && Either.isRight(response)) {
					this.#leader = control.host;
					reply(response.right);
					return;
				}

				this.#leader = undefined;
				simulator.scheduleOn(this.process, RETRY_DELAY_MS, tryNext);
			};

			simulator.send(this.process, control.process, () => {
				request(control, response => {
					simulator.send(control.process, this.process, () => {
						onResponse(response);
					});
				});
			});
			simulator.scheduleOn(this.process, RESPONSE_TIMEOUT_MS, () => {
				onResponse(undefined);
			});
		};

		tryNext();
	}
}

/** Replaces the content of a view with an older update, as if the update were complete and newer. */
function replaceView(view: ResourceView, update: ViewUpdate): boolean {
	const replacement = new ResourceView();
	replacement.apply({...update, from: -1});
	Object.defineProperty(view, 'version', {get: () => replacement.version, configurable: true});
	view.list = replacement.list.bind(replacement);
	view.findExclusion = replacement.findExclusion.bind(replacement);
	return true;
}
