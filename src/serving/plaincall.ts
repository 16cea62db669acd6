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
		| {readonly type: 'notRun'; readonly isWrongServer: boolean}
		/** No byte left for the server. */
		| {readonly type: 'unsent'}
		/** It may have run; no whole answer came. */
		| {readonly type: 'broken'}
		/** Given up on for being silent, though it may have run. */
		| {readonly type: 'silent'};

/** Backend servers that a request is tried at without a byte having left. */
const MAX_UNSENT_ATTEMPTS = 3;
/** A repeatable request is tried elsewhere after this multiple of its objective without an answer. */
const SILENCE_FACTOR = 2.5;
/** How long callers wait after all servers had refused. */
const FULL_RETRY_SECONDS = 0.3;

/** Runs one call to its end. */
export class PlainCall {
	readonly #context: ServingContext;
	readonly #call: Call;
	readonly #tried = new Set<string>();
	#sentCount = 0;
	#unsentCount = 0;
	#mayHaveRun = false;
	#exchange: Exchange | undefined;

	constructor(context: ServingContext, call: Call) {
		this.#context = context;
		this.#call = call;
		call.caller.onEnd(() => {
			this.#exchange?.cancel();
		});
	}

	async run(): Promise<void> {
		const {caller} = this.#call;
		let last: Outcome | undefined;
		while (!caller.isEnded) {
			const server = this.#selectServer();
			if (!server) {
				this.#endCall(last);
				return;
			}

			last = await this.#attempt(server);
			if (caller.isEnded || this.#handleOutcome(last)) {
				return;
			}
		}
	}

	/** Delivers an answer, or a failure that must not be repeated; false to try again. */
	#handleOutcome(outcome: Outcome): boolean {
		const isGood = outcome.type === 'answer' && !isServerError(outcome.head);
		if (!isGood && this.#mayRetry(outcome)) {
			return false;
		}

		this.#endCall(outcome);
		return true;
	}

	#deliver(head: ResponseHead, body: Buffer): void {
		this.#call.caller.respond(head.status, this.#context.protocol.buildResponseHeaders(head.headers), body, head.framing);
	}

	#mayRetry(outcome: Outcome): boolean {
		const {route} = this.#call;
		if (outcome.type === 'unsent' || (outcome.type === 'notRun' && outcome.isWrongServer)) {
			this.#unsentCount++;
			return this.#unsentCount < MAX_UNSENT_ATTEMPTS && !this.#isPastDeadline();
		}

		const isSafe = outcome.type === 'notRun' ? !this.#mayHaveRun : route.kind === ROUTE_KINDS.repeatable;
		return isSafe && this.#sentCount < route.maxAttempts && !this.#isPastDeadline() && this.#hasOtherServer() && tryAcquireRetry(this.#context, this.#call.service);
	}

	#isPastDeadline(): boolean {
		return this.#context.clock.monotonicMs() >= this.#call.deadlineMs;
	}

	#hasOtherServer(): boolean {
		return this.#selectServer() !== undefined;
	}

	/** Ends the call with the last outcome: a whole answer as it is, otherwise what is true about it. */
	#endCall(outcome: Outcome | undefined): void {
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
	#selectServer(): Announcement | undefined {
		const {clock, health, listServers, loadTracker, random, dataCentre} = this.#context;
		const nowMs = clock.monotonicMs();
		const all = listServers().filter(server => server.services?.includes(this.#call.service) && !this.#tried.has(server.server));
		const trusted = all.filter(server => !health.isSuspected(server.server, nowMs));
		let chosen: Announcement | undefined;
		let lowest = Number.POSITIVE_INFINITY;
		for (const server of trusted.length > 0 ? trusted : all) {
			const load = loadTracker.estimate(server.server).requests / (server.capacity ?? 1);
			const score = load + (server.dataCentre === dataCentre ? 0 : LOCALITY_WEIGHT) + (random() * LOCALITY_WEIGHT);
			if (score < lowest) {
				lowest = score;
				chosen = server;
			}
		}

		return chosen;
	}

	async #attempt(server: Announcement): Promise<Outcome> {
		const {loadTracker, clock} = this.#context;
		const {head, logFields} = this.#call;
		const attemptId = `${head.id} ${this.#tried.size}`;
		this.#tried.add(server.server);
		logFields.servers.push(server.server);
		loadTracker.startRequest(server.server, attemptId, {prefillTokens: 0, outputTokens: 0, promptTokens: 0}, clock.monotonicMs());
		const outcome = await this.#awaitOutcome(server);
		loadTracker.endRequest(server.server, attemptId);
		if (outcome.type !== 'unsent') {
			this.#sentCount++;
		}

		this.#mayHaveRun ||= outcome.type === 'broken' || outcome.type === 'silent';
		return outcome;
	}

	async #awaitOutcome(server: Announcement): Promise<Outcome> {
		return new Promise(resolve => {
			const settle = (outcome: Outcome) => {
				clearTimeout(timer);
				resolve(outcome);
			};

			const timer = this.#createSilenceTimer(() => {
				this.#context.health.recordFailure(server.server, this.#context.clock.monotonicMs());
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
		const context = this.#context;
		const chunks: Buffer[] = [];
		let head: ResponseHead | undefined;
		const deadlineMs = this.#call.deadlineMs - context.clock.monotonicMs();
		return sendAttempt(context, this.#call, {server, phase: 'full', deadlineMs}, {
			onHead: (status, headers) => {
				head = context.protocol.parseResponse(status, headers);
				this.#noteLoad(server, head);
				const mismatch = findResponseMismatch(this.#call, head);
				if (mismatch !== undefined) {
					context.logger.warn(`Dropped an answer of ${server.server}: ${mismatch}.`, {request: this.#call.head.id, server: server.server});
					this.#exchange?.cancel();
					settle({type: 'broken'});
				}
			},
			onData(chunk) {
				chunks.push(chunk);
			},
			onEnd() {
				context.health.recordSuccess(server.server);
				settle(head!.isNotExecuted || head!.isWrongServer
					? {type: 'notRun', isWrongServer: head!.isWrongServer}
					: {type: 'answer', head: head!, body: Buffer.concat(chunks)});
			},
			onFailure(failure, error) {
				recordAttemptFailure(context, server, failure, error);
				settle({type: failure});
			},
		});
	}

	#noteLoad(server: Announcement, {load}: ResponseHead): void {
		if (load) {
			const {running, waiting} = load;
			this.#context.loadTracker.recordReport(server.server, {
				running, waiting, prefillTokens: 0, decodeTokens: 0,
			}, this.#context.clock.monotonicMs());
		}
	}

	#createSilenceTimer(onSilence: () => void): NodeJS.Timeout | undefined {
		const {route} = this.#call;
		const mayRetryElsewhere = route.kind === ROUTE_KINDS.repeatable && this.#sentCount + 1 < route.maxAttempts;
		return mayRetryElsewhere ? setTimeout(onSilence, route.objectiveMs * SILENCE_FACTOR) : undefined;
	}
}

/** Weight of standing in the same data centre against load; also spreads servers that look alike. */
const LOCALITY_WEIGHT = 0.02;

function isServerError({status}: ResponseHead): boolean {
	return status >= 500;
}
