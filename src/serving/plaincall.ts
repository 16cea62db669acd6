/**
 * A request to a plain service. The response is buffered completely before it is forwarded, so that a failed attempt can
 * be retried.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import * as Either from 'fp-ts/lib/Either.js';
import {createProblem} from '../base/problem.js';
import {showsStart} from '../duties/starts.js';
import type {Announcement} from '../generated/types.js';
import {ROUTE_KINDS} from '../routing/routes.js';
import {
	estimateRetrySeconds, findResponseMismatch, createNoServerProblem, recordAttemptFailure, sendAttempt, tryAcquireRetry, type Call, type ServingContext,
} from './context.js';
import type {ResponseBuffer} from './buffer.js';
import {endsInsideEvent, isUnframedStream} from './events.js';
import type {ResponseHead} from './protocol.js';
import {findResumedSoftware} from './resumption.js';
import type {Exchange} from './upstream.js';

type Outcome
	= | {readonly type: 'response'; readonly head: ResponseHead; readonly body: Buffer}
		/** The server states that it did not execute the request. */
		| {readonly type: 'notExecuted'; readonly isWrongServer: boolean}
		/** No byte was sent to the server. */
		| {readonly type: 'unsent'}
		/** The server may have executed the request, but sent no complete response. */
		| {readonly type: 'broken'}
		/** The server did not respond in time, and another one was found; it may have executed the request. */
		| {readonly type: 'timedOut'};

/** What an attempt uses to collect its response and to report its outcome. */
type AttemptTools = {
	readonly buffer: ResponseBuffer;
	readonly settle: (outcome: Outcome) => void;
	readonly onSilence: () => void;
};

/** Maximum number of attempts in which no byte was sent to a server. */
const MAX_UNSENT_ATTEMPTS = 3;
/** A repeatable request is retried at another server after this multiple of its objective without a response. */
const RESPONSE_TIMEOUT_FACTOR = 2.5;
/** Retry time for callers after all servers have refused, seconds. */
const REFUSED_RETRY_SECONDS = 0.3;

/** Runs one request, with retries, to its end. */
export class PlainCall {
	readonly #context: ServingContext;
	readonly #call: Call;
	readonly #triedServers = new Set<string>();
	/** Servers for which a permit was denied. */
	readonly #atLimit = new Set<string>();
	/** When the caller should come back if all servers are at their rate limits, milliseconds from now. */
	#retryAfterMs: number | undefined;
	#permitCount = 0;
	#sentCount = 0;
	#unsentCount = 0;
	#mayHaveRun = false;
	#exchange: Exchange | undefined;
	/** Software version that started the stream that the request resumes; undefined if it resumes none. */
	#software: string | undefined;
	/** The server of the next attempt, if it was chosen before the current attempt was given up. */
	#nextServer: Announcement | undefined;

	constructor(context: ServingContext, call: Call) {
		this.#context = context;
		this.#call = call;
		call.caller.onEnd(() => {
			this.#exchange?.cancel();
		});
	}

	async run(): Promise<void> {
		const {caller} = this.#call;
		if (this.#call.head.lastEventId !== undefined) {
			const software = await findResumedSoftware(this.#context, this.#call);
			if (Either.isLeft(software)) {
				caller.fail(software.left);
				return;
			}

			this.#software = software.right;
		}

		let last: Outcome | undefined;
		while (!caller.isEnded) {
			const nextServer = this.#nextServer;
			this.#nextServer = undefined;
			const server = nextServer ?? this.#selectServer();
			if (!server) {
				this.#endCall(last);
				return;
			}

			if (!nextServer && !await this.#mayUse(server)) {
				continue;
			}

			if (caller.isEnded) {
				return;
			}

			last = await this.#attempt(server);
			if (caller.isEnded || this.#handleOutcome(last)) {
				return;
			}
		}
	}

	/** Whether a request may be sent to a server now. One that is at its rate limit is not selected again. */
	async #mayUse(server: Announcement): Promise<boolean> {
		const {placement, rateLimits} = this.#context;
		const {head, priority, service, logFields} = this.#call;
		if (rateLimits.findLimit(server) === undefined) {
			return true;
		}

		const permit = await placement.requestPermit(service, server, {id: `${head.key} ${++this.#permitCount}`, priority});
		if (permit.waitMs === 0) {
			return true;
		}

		this.#atLimit.add(server.server);
		this.#retryAfterMs = Math.min(this.#retryAfterMs ?? Number.POSITIVE_INFINITY, permit.retryAfterMs ?? permit.waitMs);
		logFields.note = `server ${server.server} is at its rate limit for ${Math.round(permit.waitMs)} ms`;
		return false;
	}

	/** Ends the call with a response or a failure that must not be retried; returns false to retry. */
	#handleOutcome(outcome: Outcome): boolean {
		const isSuccess = outcome.type === 'response' && !isServerError(outcome.head);
		if (!isSuccess && this.#mayRetry(outcome)) {
			return false;
		}

		this.#endCall(outcome);
		return true;
	}

	#respond(head: ResponseHead, body: Buffer): void {
		this.#call.caller.respond(head.status, this.#context.protocol.buildResponseHeaders(head.headers), body, head.framing);
	}

	#mayRetry(outcome: Outcome): boolean {
		const {route} = this.#call;
		if (outcome.type === 'timedOut') {
			return this.#nextServer !== undefined;
		}

		if (outcome.type === 'unsent' || (outcome.type === 'notExecuted' && outcome.isWrongServer)) {
			this.#unsentCount++;
			return this.#unsentCount < MAX_UNSENT_ATTEMPTS && !this.#isPastDeadline();
		}

		if (this.#context.crashes.isQuarantined(this.#call.suspect)) {
			return false;
		}

		const isSafe = outcome.type === 'notExecuted' ? !this.#mayHaveRun : route.kind === ROUTE_KINDS.repeatable;
		return isSafe && this.#sentCount < route.maxAttempts && !this.#isPastDeadline() && this.#hasOtherServer() && tryAcquireRetry(this.#context, this.#call.service);
	}

	#isPastDeadline(): boolean {
		return this.#context.clock.monotonicMs() >= this.#call.deadlineMs;
	}

	#hasOtherServer(): boolean {
		return this.#selectServer() !== undefined;
	}

	/**
	 * Ends the call with the last outcome: a complete response is forwarded, otherwise the caller learns whether the
	 * request may have run.
	 */
	#endCall(outcome: Outcome | undefined): void {
		const {caller} = this.#call;
		if (outcome?.type === 'response') {
			this.#respond(outcome.head, outcome.body);
			return;
		}

		if (this.#mayHaveRun) {
			caller.fail(createProblem('serverFailed'));
			return;
		}

		if (this.#retryAfterMs !== undefined) {
			const seconds = Math.max(REFUSED_RETRY_SECONDS, Math.ceil(this.#retryAfterMs / 100) / 10);
			caller.fail(createProblem('notStarted', 'The servers are at their rate limits.', seconds));
			return;
		}

		caller.fail(outcome?.type === 'notExecuted' ? createProblem('notStarted', undefined, estimateRetrySeconds(this.#context, this.#call, REFUSED_RETRY_SECONDS)) : createNoServerProblem(this.#context, this.#call));
	}

	/**
	 * Selects the server with the lowest load for its capacity; between similar ones, one with an idle connection, then one
	 * in this data centre.
	 */
	#selectServer(): Announcement | undefined {
		const {availability, clock, health, listServers, loadTracker, random, dataCentre, transport} = this.#context;
		const nowMs = clock.monotonicMs();
		const all = listServers().filter(server => server.services?.includes(this.#call.service) && !this.#triedServers.has(server.server) && !this.#atLimit.has(server.server)
			&& (this.#software === undefined || (server.software ?? '') === this.#software));
		const healthy = all.filter(server => !health.isSuspected(server.server, nowMs));
		const heldBack = availability.drawHeldBack(nowMs, random);
		const preferred = healthy.filter(({server, incarnation}) => !heldBack.some(other => other.server === server && other.incarnation === incarnation));
		let chosen: Announcement | undefined;
		let lowest = Number.POSITIVE_INFINITY;
		for (const server of [preferred, healthy].find(({length}) => length > 0) ?? all) {
			const load = loadTracker.estimate(server.server).requests / (server.capacity ?? 1);
			const connectionCost = transport.hasIdleConnection(server) ? 0 : CONNECTION_WEIGHT;
			const score = load + connectionCost + (server.dataCentre === dataCentre ? 0 : LOCALITY_WEIGHT) + (random() * LOCALITY_WEIGHT);
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
		const attemptId = `${head.key} ${this.#triedServers.size}`;
		this.#triedServers.add(server.server);
		logFields.servers.push(server.server);
		loadTracker.startRequest(server.server, attemptId, {prefillTokens: 0, outputTokens: 0, promptTokens: 0}, clock.monotonicMs());
		const outcome = await this.#awaitOutcome(server);
		loadTracker.endRequest(server.server, attemptId);
		if (outcome.type !== 'unsent') {
			this.#sentCount++;
		}

		this.#mayHaveRun ||= outcome.type === 'broken' || outcome.type === 'timedOut';
		return outcome;
	}

	async #awaitOutcome(server: Announcement): Promise<Outcome> {
		return new Promise(resolve => {
			const buffer = this.#context.responseMemory.createBuffer();
			let isSettled = false;
			const settle = (outcome: Outcome) => {
				isSettled = true;
				clearTimeout(timer);
				buffer.release();
				resolve(outcome);
			};

			let isPreparing = false;
			const retryElsewhere = async () => {
				if (isPreparing || !this.#mayRetryElsewhere()) {
					return;
				}

				isPreparing = true;
				const nextServer = await this.#prepareRetry();
				isPreparing = false;
				if (nextServer && !isSettled) {
					this.#nextServer = nextServer;
					this.#exchange?.cancel();
					settle({type: 'timedOut'});
				}
			};

			const timer = this.#startResponseTimer(() => {
				this.#context.health.recordFailure(server.server, this.#context.clock.monotonicMs());
				void retryElsewhere();
			});
			this.#call.caller.onEnd(() => {
				settle({type: 'broken'});
			});
			this.#exchange = this.#send(server, {
				buffer,
				settle,
				onSilence: () => {
					if (this.#context.transport.usesRelays) {
						void retryElsewhere();
					}
				},
			});
		});
	}

	/**
	 * Finds another server for a request whose server does not respond, and acquires a retry and a permit. Undefined if there is none: the
	 * request then waits, since the server may still respond.
	 */
	async #prepareRetry(): Promise<Announcement | undefined> {
		const {crashes} = this.#context;
		const {caller, service, suspect} = this.#call;
		for (let server = this.#selectServer(); server && !caller.isEnded && !crashes.isQuarantined(suspect); server = this.#selectServer()) {
			if (await this.#mayUse(server)) {
				return tryAcquireRetry(this.#context, service) ? server : undefined;
			}
		}

		return undefined;
	}

	#send(server: Announcement, {buffer, settle, onSilence}: AttemptTools): Exchange {
		const context = this.#context;
		let head: ResponseHead | undefined;
		const sentMs = context.starts?.readMs() ?? 0;
		const deadlineMs = this.#call.deadlineMs - context.clock.monotonicMs();
		const {lastEventId} = this.#call.head;
		return sendAttempt(context, this.#call, {
			server, phase: 'full', deadlineMs, onSilence, ...(lastEventId !== undefined && {lastEventId}),
		}, {
			onHead: (status, headers, isFirst) => {
				head = context.protocol.parseResponse(status, headers);
				this.#recordLoad(server, head);
				const mismatch = findResponseMismatch(this.#call, head, isFirst);
				if (mismatch !== undefined) {
					context.logger.warn(`Discarded a response from server ${server.server}: ${mismatch}.`, {request: this.#call.head.id, server: server.server});
					this.#exchange?.cancel();
					settle({type: 'broken'});
				} else if (showsStart(head)) {
					context.starts?.record(this.#call.team, sentMs);
				}
			},
			onData: chunk => {
				if (!buffer.append(chunk)) {
					this.#exchange?.cancel();
					recordAttemptFailure(context, this.#call, server, {failure: 'broken', error: new Error('The response is too large to buffer.')});
					context.health.recordFailure(server.server, context.clock.monotonicMs());
					settle({type: 'broken'});
				}
			},
			onEnd: () => {
				const body = buffer.read();
				if (isUnframedStream(head!) && endsInsideEvent(body)) {
					recordAttemptFailure(context, this.#call, server, {failure: 'broken', error: new Error('The connection ended inside an event.')});
					settle({type: 'broken'});
					return;
				}

				context.health.recordSuccess(server.server);
				settle(head!.isNotExecuted || head!.isWrongServer
					? {type: 'notExecuted', isWrongServer: head!.isWrongServer}
					: {type: 'response', head: head!, body});
			},
			onFailure: (failure, error) => {
				recordAttemptFailure(context, this.#call, server, {failure, error});
				settle({type: failure});
			},
		});
	}

	#recordLoad(server: Announcement, {load}: ResponseHead): void {
		if (load) {
			const {running, waiting} = load;
			this.#context.loadTracker.recordReport(server.server, {
				running, waiting, prefillTokens: 0, decodeTokens: 0,
			}, this.#context.clock.monotonicMs());
		}
	}

	#startResponseTimer(onTimeout: () => void): NodeJS.Timeout | undefined {
		return this.#mayRetryElsewhere() ? setTimeout(onTimeout, this.#call.route.objectiveMs * RESPONSE_TIMEOUT_FACTOR) : undefined;
	}

	/** Whether another attempt may follow the one in progress. */
	#mayRetryElsewhere(): boolean {
		const {route} = this.#call;
		return route.kind === ROUTE_KINDS.repeatable && this.#sentCount + 1 < route.maxAttempts;
	}
}

/**
 * Weight of the same data centre relative to load; also the range of the random term that spreads requests over equal
 * servers.
 */
const LOCALITY_WEIGHT = 0.02;

/** Weight of a new connection relative to load. Below 1, a server with an idle connection is left before it is full. */
const CONNECTION_WEIGHT = 0.4;

function isServerError({status}: ResponseHead): boolean {
	return status >= 500;
}
