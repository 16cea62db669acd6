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
import type {FakeEngineProcess, FakePlainProcess} from './backend.js';
import type {Checks, Told} from './checks.js';
import type {ControlProcess, Reply} from './control.js';
import type {Mutation} from './mutations.js';
import type {Process, World} from './world.js';

export type EntryContext = {
	readonly world: World;
	readonly checks: Checks;
	readonly mutation: Mutation | undefined;
	readonly controls: Map<string, ControlProcess>;
	readonly engines: Map<string, FakeEngineProcess>;
	readonly plains: readonly FakePlainProcess[];
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
	readonly process: Process;
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
		this.process = context.world.addProcess(host);
		this.view = this.#createView();
		this.#start();
	}

	get isReady(): boolean {
		return this.process.isAlive && this.#hasRead;
	}

	kill(): void {
		this.#context.world.kill(this.process);
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

	noteAnnouncement(announcement: Announcement): void {
		const known = this.#announcements.get(announcement.server);
		if (!known || isNewerAnnouncement(announcement, known)) {
			this.#announcements.set(announcement.server, announcement);
		}
	}

	/** Serves a call that may not be repeated. */
	book(key: string, reply: (told: Told) => void): void {
		this.#claim(key, {attempt: `${this.#boot}/${this.#nextAttempt++}`, polls: 0}, (attempt, told) => {
			this.#context.checks.noteTold(key, attempt, told);
			reply(told);
		});
	}

	/** Reads the configuration as an operator does; it must contain everything that was accepted before. */
	readState(): void {
		const {checks} = this.#context;
		const floor = checks.acceptedVersion;
		this.#ask<number>(3000, (control, answer) => {
			control.read(state => {
				answer(Either.map((found: {viewVersion: number}) => found.viewVersion)(state));
			});
		}, version => {
			if (version !== undefined) {
				checks.noteRead(this.host, version, floor);
			}
		});
	}

	/** Sends a repeatable request to an engine that the view allows. */
	runModel(request: string): void {
		const {engines, world} = this.#context;
		const allowed = [...engines.values()].filter(engine => !this.view.findExclusion(engine.name));
		const engine = pick(allowed, world.random);
		if (!engine) {
			return;
		}

		const {name} = engine;
		const {start} = this.process;
		const isEntitled = world.nowMs < this.#leaseUntilMs;
		const end = () => {
			if (this.process.start === start) {
				this.#running.set(name, Math.max(0, (this.#running.get(name) ?? 0) - 1));
			}
		};

		this.#running.set(name, (this.#running.get(name) ?? 0) + 1);
		world.send(this.process, engine.process, () => {
			engine.run(request, isEntitled, () => {
				world.send(engine.process, this.process, end);
			});
		});
		world.scheduleIn(this.process, 2000, end);
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
		const {world} = this.#context;
		const askedMs = world.nowMs;
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

			world.scheduleIn(this.process, RENEW_MS * (0.5 + world.random()), () => {
				this.#renew();
			});
		});
	}

	#apply(update: ViewUpdate): void {
		if (this.view.apply(update)) {
			this.#context.checks.noteView(this.host, this.view.version, this.view.list());
		}
	}

	#claim(key: string, {attempt, polls}: {attempt: string; polls: number}, reply: (attempt: string, told: Told) => void): void {
		const {world} = this.#context;
		const command: Command = {
			type: 'claim', at: Math.floor(world.nowMs), key, fingerprint: key, attempt, host: this.host,
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

	#onClaim(claim: {key: string; attempt: string; polls: number}, answer: LedgerOutcome, reply: (attempt: string, told: Told) => void): void {
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

				this.#context.world.scheduleIn(this.process, POLL_MS, () => {
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

	#runOnce(key: string, attempt: string, reply: (told: Told) => void): void {
		const {world, plains, mutation} = this.#context;
		let isSettled = false;
		const finish = (told: Told) => {
			if (!isSettled) {
				isSettled = true;
				this.#settle(key, attempt, told, () => {
					reply(told);
				});
			}
		};

		const send = () => {
			const plain = pick(plains, world.random)!;
			if (!plain.process.isAlive) {
				finish({type: 'not-run'});
				return;
			}

			world.send(this.process, plain.process, () => {
				plain.run(key, attempt, booking => {
					world.send(plain.process, this.process, () => {
						finish({type: 'done', booking});
					});
				});
			}, {once: true});
		};

		send();
		world.scheduleIn(this.process, PLAIN_TIMEOUT_MS, () => {
			if (mutation === 'retry-non-repeatable' && !isSettled) {
				send();
			}
		});
		world.scheduleIn(this.process, PLAIN_TIMEOUT_MS * 2, () => {
			finish({type: 'unknown'});
		});
	}

	#settle(key: string, attempt: string, told: Told, reply: () => void = () => undefined): void {
		const answer = told.type === 'done' ? {answer: {status: 200, contentType: 'text/plain', body: new TextEncoder().encode(told.booking)}} : {};
		let isReplied = false;
		const once = () => {
			if (!isReplied) {
				isReplied = true;
				reply();
			}
		};

		this.propose({
			type: 'settle', at: Math.floor(this.#context.world.nowMs), key, attempt, outcome: told.type, ...answer,
		}, SETTLE_DEADLINE_MS, once);
		// The caller waits for the ledger only for a while.
		this.#context.world.scheduleIn(this.process, 2000, once);
	}

	/** Asks control hosts in turn until one answers or the deadline has passed. */
	#ask<Answer>(deadlineMs: number, question: (control: ControlProcess, answer: Reply<Answer>) => void, reply: (answer: Answer | undefined) => void): void {
		const {world, controls} = this.#context;
		const untilMs = world.nowMs + deadlineMs;
		const turn = () => {
			if (world.nowMs >= untilMs) {
				reply(undefined);
				return;
			}

			const control = controls.get(this.#leader ?? '') ?? pick([...controls.values()], world.random)!;
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
				world.scheduleIn(this.process, RETRY_MS, turn);
			};

			world.send(this.process, control.process, () => {
				question(control, answer => {
					world.send(control.process, this.process, () => {
						onAnswer(answer);
					});
				});
			});
			world.scheduleIn(this.process, ANSWER_TIMEOUT_MS, () => {
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
