/**
 * A request to a plain service: one answer, read whole before it goes on to the caller.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createProblem} from '../base/problem.js';
import type {Announcement} from '../generated/types.js';
import {ROUTE_KINDS} from '../routing/routes.js';
import {
	findResponseMismatch, createNoServerProblem, recordAttemptFailure, sendAttempt, tryAcquireRetry, type Call, type ServingContext,
} from './context.js';
import type {ResponseHead} from './protocol.js';
import type {Exchange} from './upstream.js';

type Outcome
	= | {readonly type: 'answer'; readonly head: ResponseHead; readonly body: Buffer}
		/** The server says that it did not run the request. */
		| {readonly type: 'notRun'; readonly isOtherServer: boolean}
		/** No byte left for the server. */
		| {readonly type: 'unsent'}
		/** It may have run; no whole answer came. */
		| {readonly type: 'broken'}
		/** Given up on for being silent, though it may have run. */
		| {readonly type: 'silent'};

/** Backend servers that a request is tried at without a byte having left. */
const MAX_UNSENT = 3;
/** A repeatable request is tried elsewhere after this multiple of its objective without an answer. */
const SILENCE_FACTOR = 2.5;
/** How long callers wait after all servers had refused. */
const FULL_RETRY_SECONDS = 0.3;

/** Runs one call to its end. */
export class PlainCall {
	readonly #core: ServingContext;
	readonly #call: Call;
	readonly #tried = new Set<string>();
	#sent = 0;
	#unsent = 0;
	#mayHaveRun = false;
	#exchange: Exchange | undefined;

	constructor(core: ServingContext, call: Call) {
		this.#core = core;
		this.#call = call;
		call.caller.onEnd(() => {
			this.#exchange?.cancel();
		});
	}

	async run(): Promise<void> {
		const {caller} = this.#call;
		let last: Outcome | undefined;
		while (!caller.isEnded) {
			const server = this.#choose();
			if (!server) {
				this.#finish(last);
				return;
			}

			last = await this.#attempt(server);
			if (caller.isEnded || this.#settle(last)) {
				return;
			}
		}
	}

	/** Delivers an answer, or a failure that must not be repeated; false to try again. */
	#settle(outcome: Outcome): boolean {
		const isGood = outcome.type === 'answer' && !isServerFault(outcome.head);
		if (!isGood && this.#mayTryAgain(outcome)) {
			return false;
		}

		this.#finish(outcome);
		return true;
	}

	#deliver(head: ResponseHead, body: Buffer): void {
		this.#call.caller.respond(head.status, this.#core.protocol.buildResponseHeaders(head.headers), body, head.framing);
	}

	#mayTryAgain(outcome: Outcome): boolean {
		const {route: rule} = this.#call;
		if (outcome.type === 'unsent' || (outcome.type === 'notRun' && outcome.isOtherServer)) {
			this.#unsent++;
			return this.#unsent < MAX_UNSENT && !this.#isLate();
		}

		const isSafe = outcome.type === 'notRun' ? !this.#mayHaveRun : rule.kind === ROUTE_KINDS.repeatable;
		return isSafe && this.#sent < rule.maxAttempts && !this.#isLate() && this.#hasOther() && tryAcquireRetry(this.#core, this.#call.service);
	}

	#isLate(): boolean {
		return this.#core.clock.monotonicMs() >= this.#call.deadlineMs;
	}

	#hasOther(): boolean {
		return this.#choose() !== undefined;
	}

	/** Ends the call with the last outcome: a whole answer as it is, otherwise what is true about it. */
	#finish(outcome: Outcome | undefined): void {
		const {caller} = this.#call;
		if (outcome?.type === 'answer') {
			this.#deliver(outcome.head, outcome.body);
			return;
		}

		if (this.#mayHaveRun) {
			caller.fail(createProblem('serverFailed'));
			return;
		}

		caller.fail(outcome?.type === 'notRun' ? createProblem('notStarted', undefined, FULL_RETRY_SECONDS) : createNoServerProblem(this.#call));
	}

	/** The server with the least work for its size; the nearer one of two alike. */
	#choose(): Announcement | undefined {
		const {clock, health, listServers, loadTracker: loads, random, dataCentre} = this.#core;
		const nowMs = clock.monotonicMs();
		const all = listServers().filter(server => server.services?.includes(this.#call.service) && !this.#tried.has(server.server));
		const trusted = all.filter(server => !health.isSuspected(server.server, nowMs));
		let chosen: Announcement | undefined;
		let lowest = Number.POSITIVE_INFINITY;
		for (const server of trusted.length > 0 ? trusted : all) {
			const load = loads.estimate(server.server).requests / (server.capacity ?? 1);
			const score = load + (server.dataCentre === dataCentre ? 0 : NEARNESS) + (random() * NEARNESS);
			if (score < lowest) {
				lowest = score;
				chosen = server;
			}
		}

		return chosen;
	}

	async #attempt(server: Announcement): Promise<Outcome> {
		const {loadTracker: loads, clock} = this.#core;
		const {head, logFields: trail} = this.#call;
		const flight = `${head.id} ${this.#tried.size}`;
		this.#tried.add(server.server);
		trail.servers.push(server.server);
		loads.startRequest(server.server, flight, {prefillTokens: 0, outputTokens: 0, promptTokens: 0}, clock.monotonicMs());
		const outcome = await this.#exchangeWith(server);
		loads.endRequest(server.server, flight);
		if (outcome.type !== 'unsent') {
			this.#sent++;
		}

		this.#mayHaveRun ||= outcome.type === 'broken' || outcome.type === 'silent';
		return outcome;
	}

	async #exchangeWith(server: Announcement): Promise<Outcome> {
		return new Promise(resolve => {
			const settle = (outcome: Outcome) => {
				clearTimeout(timer);
				resolve(outcome);
			};

			const timer = this.#createSilenceTimer(() => {
				this.#core.health.recordFailure(server.server, this.#core.clock.monotonicMs());
				this.#exchange?.cancel();
				settle({type: 'silent'});
			});
			this.#call.caller.onEnd(() => {
				settle({type: 'broken'});
			});
			this.#exchange = this.#send(server, settle);
		});
	}

	#send(server: Announcement, settle: (outcome: Outcome) => void): Exchange {
		const core = this.#core;
		const chunks: Buffer[] = [];
		let head: ResponseHead | undefined;
		const deadlineMs = this.#call.deadlineMs - core.clock.monotonicMs();
		return sendAttempt(core, this.#call, {server, phase: 'full', deadlineMs}, {
			onHead: (status, headers) => {
				head = core.protocol.parseResponse(status, headers);
				this.#noteLoad(server, head);
				const mismatch = findResponseMismatch(this.#call, head);
				if (mismatch !== undefined) {
					core.logger.warn(`Dropped an answer of ${server.server}: ${mismatch}.`, {request: this.#call.head.id, server: server.server});
					this.#exchange?.cancel();
					settle({type: 'broken'});
				}
			},
			onData(chunk) {
				chunks.push(chunk);
			},
			onEnd() {
				core.health.recordSuccess(server.server);
				settle(head!.isNotExecuted || head!.isWrongServer
					? {type: 'notRun', isOtherServer: head!.isWrongServer}
					: {type: 'answer', head: head!, body: Buffer.concat(chunks)});
			},
			onFailure(failure, error) {
				recordAttemptFailure(core, server, failure, error);
				settle({type: failure});
			},
		});
	}

	#noteLoad(server: Announcement, {load}: ResponseHead): void {
		if (load) {
			const {running, waiting} = load;
			this.#core.loadTracker.recordReport(server.server, {
				running, waiting, prefillTokens: 0, decodeTokens: 0,
			}, this.#core.clock.monotonicMs());
		}
	}

	#createSilenceTimer(onSilence: () => void): NodeJS.Timeout | undefined {
		const {route: rule} = this.#call;
		const mayGoElsewhere = rule.kind === ROUTE_KINDS.repeatable && this.#sent + 1 < rule.maxAttempts;
		return mayGoElsewhere ? setTimeout(onSilence, rule.objectiveMs * SILENCE_FACTOR) : undefined;
	}
}

/** Weight of standing in the same data centre against load; also spreads servers that look alike. */
const NEARNESS = 0.02;

function isServerFault({status}: ResponseHead): boolean {
	return status >= 500;
}
