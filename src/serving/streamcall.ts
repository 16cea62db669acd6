/**
 * A streamed request: placed, its prompt read where that is quickest, and its events passed on as they come.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createProblem, type Problem} from '../base/problem.js';
import type {Announcement} from '../generated/types.js';
import {LATE_PRIORITY, type PlacementRequest} from '../routing/scheduler.js';
import {
	findResponseMismatch, recordAttemptFailure, sendAttempt, tryAcquireRetry, type Call, type ServingContext,
} from './context.js';
import type {
	ResponseHead, Prompt, KvCacheHandle,
} from './protocol.js';
import {EventSplitter} from './events.js';
import type {Exchange} from './upstream.js';

type PrefillOutcome
	= | {readonly type: 'read'; readonly kvCache: KvCacheHandle}
		| {readonly type: 'failed'};

type RunOutcome
	= | {readonly type: 'done'; readonly isServerError: boolean}
		| {readonly type: 'notRun'}
		| {readonly type: 'unsent'}
		| {readonly type: 'broken'}
		/** Not sent: the budget of repeats is used up. */
		| {readonly type: 'denied'};

/** Callers give a stream up after two seconds, or four times its objective, without an event. */
const MIN_PATIENCE_MS = 2000;
const PATIENCE_FACTOR = 4;
/** Placings of one request before it is given up. */
const MAX_PLACEMENTS = 4;
/** A reader that needs this multiple of what was expected is given up, but not before this time, milliseconds. */
const PREFILL_TIMEOUT_FACTOR = 3;
const MIN_PREFILL_TIMEOUT_MS = 700;
const FAILED_RETRY_SECONDS = 0.5;
const HTTP_OK = 200;
const HTTP_SERVER_ERROR = 500;

/** Runs one call to its end. */
export class StreamCall {
	readonly #context: ServingContext;
	readonly #call: Call;
	readonly #prompt: Prompt;
	readonly #excluded = new Set<string>();
	readonly #splitter: EventSplitter | undefined;
	#exchange: Exchange | undefined;
	#kvCache: KvCacheHandle | undefined;
	#placementCount = 0;
	#prefillCount = 0;
	#runCount = 0;
	#hasFirstEvent = false;
	#mayHaveRun = false;
	#kvSource: Announcement | undefined;

	constructor(context: ServingContext, call: Call, prompt: Prompt) {
		this.#context = context;
		this.#call = call;
		this.#prompt = prompt;
		this.#splitter = call.route.isResumable ? new EventSplitter() : undefined;
		call.caller.onEnd(() => {
			this.#exchange?.cancel();
			this.#releaseKvCache();
		});
	}

	async run(): Promise<void> {
		const {caller} = this.#call;
		while (!caller.isEnded) {
			const runner = await this.#place();
			if (!runner || caller.isEnded) {
				break;
			}

			const outcome = await this.#runAt(runner);
			if (outcome.type === 'done') {
				this.#context.placement.reportMilestone(this.#call.head.id, outcome.isServerError ? 'failed' : 'done', outcome.isServerError ? runner.server : undefined);
				return;
			}

			if (caller.isEnded) {
				break;
			}

			this.#mayHaveRun ||= outcome.type === 'broken';
			this.#context.placement.reportMilestone(this.#call.head.id, outcome.type === 'notRun' ? 'refused' : 'failed', runner.server);
			this.#excluded.add(runner.server);
			const problem = this.#findFinalProblem(outcome);
			if (problem) {
				caller.fail(problem);
				return;
			}
		}

		this.#context.placement.reportMilestone(this.#call.head.id, 'failed', undefined);
	}

	/** Finds the engine that runs the request, with its prompt read ahead where that is quicker. */
	async #place(): Promise<Announcement | undefined> {
		const {caller, logFields} = this.#call;
		while (!caller.isEnded) {
			if (this.#placementCount++ >= MAX_PLACEMENTS) {
				caller.fail(this.#createFailureProblem());
				return undefined;
			}

			let {decision, by} = await this.#context.placement.place(this.#createRequest());
			logFields.placedBy = by;
			logFields.placedMs = this.#elapsedMs();
			this.#kvSource = decision.type === 'assignment' && decision.source !== undefined ? this.#context.findServer(decision.source) : undefined;
			logFields.source = this.#kvSource?.server;
			if (decision.type === 'assignment') {
				logFields.cachedTokens = decision.cachedTokens;
				logFields.expectedMs = decision.expectedMs;
				logFields.isLate = decision.isLate;
			}

			logFields.promptTokens = this.#prompt.promptTokens;
			if (decision.type === 'assignment' && decision.reader !== undefined) {
				const reader = this.#context.findServer(decision.reader);
				const outcome = reader && !caller.isEnded ? await this.#prefillAt(reader, decision.expectedMs ?? 0) : undefined;
				if (caller.isEnded) {
					return undefined;
				}

				if (outcome?.type !== 'read') {
					this.#context.placement.reportMilestone(this.#call.head.id, 'failed', decision.reader);
					this.#excluded.add(decision.reader);
					continue;
				}

				this.#kvCache = outcome.kvCache;
				logFields.readMs = this.#elapsedMs();
				({decision, by} = await this.#context.placement.chooseRunner(this.#createRequest(), decision.reader));
			}

			this.#context.metrics.placements.inc({by});
			if (decision.type === 'rejection') {
				const seconds = Math.ceil(decision.retryAfterMs / 100) / 10;
				logFields.note = decision.reason;
				caller.fail(this.#mayHaveRun ? createProblem('serverFailed') : createProblem('tooLate', decision.reason, seconds));
				return undefined;
			}

			const runner = decision.runner === undefined ? undefined : this.#context.findServer(decision.runner);
			if (runner) {
				this.#context.placement.notifyBackup(this.#createRequest(), logFields.reader, runner.server);
				return runner;
			}
		}

		return undefined;
	}

	#createRequest(): PlacementRequest {
		const {head, route, service, arrivedMs, deadlineMs} = this.#call;
		const nowMs = this.#context.clock.monotonicMs();
		const patienceMs = Math.max(MIN_PATIENCE_MS, route.objectiveMs * PATIENCE_FACTOR);
		return {
			id: head.id,
			service,
			dataCentre: this.#context.dataCentre,
			parts: this.#prompt.parts,
			promptTokens: this.#prompt.promptTokens,
			outputTokens: this.#prompt.outputTokens,
			priority: route.priority,
			objectiveMs: Math.max(0, arrivedMs + route.objectiveMs - nowMs),
			patienceMs: Math.max(0, Math.min(deadlineMs, arrivedMs + patienceMs) - nowMs),
			excluded: [...this.#excluded],
		};
	}

	/** Has the prompt read ahead of the run. */
	async #prefillAt(server: Announcement, expectedMs: number): Promise<PrefillOutcome> {
		const context = this.#context;
		if (this.#prefillCount > 0 && !tryAcquireRetry(this.#context, this.#call.service)) {
			return {type: 'failed'};
		}

		this.#prefillCount++;
		this.#call.logFields.reader = server.server;
		return new Promise(resolve => {
			const chunks: Buffer[] = [];
			let head: ResponseHead | undefined;
			// Reading may be repeated, so a reader that is long overdue is given up.
			const timer = setTimeout(() => {
				context.logger.warn(`Server ${server.server} is overdue with a prompt.`, {request: this.#call.head.id, server: server.server, expectedMs});
				this.#exchange?.cancel();
				resolve({type: 'failed'});
			}, Math.max(MIN_PREFILL_TIMEOUT_MS, expectedMs * PREFILL_TIMEOUT_FACTOR));
			this.#call.caller.onEnd(() => {
				clearTimeout(timer);
				resolve({type: 'failed'});
			});
			this.#exchange = sendAttempt(context, this.#call, {
				server, phase: 'prefill', deadlineMs: this.#remainingMs(), priority: this.#priority(), kvSource: this.#kvSource,
			}, {
				onHead: (status, headers) => {
					head = context.protocol.parseResponse(status, headers);
					const mismatch = findResponseMismatch(this.#call, head);
					if (mismatch !== undefined) {
						context.logger.warn(`Dropped an answer of ${server.server}: ${mismatch}.`, {request: this.#call.head.id, server: server.server});
						this.#exchange?.cancel();
						resolve({type: 'failed'});
					}
				},
				onData(chunk) {
					chunks.push(chunk);
				},
				onEnd() {
					clearTimeout(timer);
					const handle = head?.status === 200 ? context.protocol.parseKvHandle(Buffer.concat(chunks)) : undefined;
					if (handle === undefined) {
						context.logger.warn(`Server ${server.server} did not read a prompt.`, {server: server.server, status: head?.status});
						resolve({type: 'failed'});
						return;
					}

					context.health.recordSuccess(server.server);
					resolve({type: 'read', kvCache: {address: {address: server.address, port: server.port}, handle}});
				},
				onFailure(failure, error) {
					clearTimeout(timer);
					recordAttemptFailure(context, server, failure, error);
					resolve({type: 'failed'});
				},
			});
		});
	}

	async #runAt(server: Announcement): Promise<RunOutcome> {
		const context = this.#context;
		const {caller, logFields} = this.#call;
		if (this.#runCount > 0 && !tryAcquireRetry(this.#context, this.#call.service)) {
			return {type: 'denied'};
		}

		this.#runCount++;
		logFields.servers.push(server.server);
		const kvCache = this.#kvCache;
		this.#kvCache = undefined;
		this.#splitter?.takeIncomplete();
		const lastEventId = this.#splitter?.lastEventId ?? this.#call.head.lastEventId;
		return new Promise(resolve => {
			let head: ResponseHead | undefined;
			caller.onEnd(() => {
				resolve({type: 'broken'});
			});
			this.#exchange = sendAttempt(context, this.#call, {
				server,
				phase: kvCache ? 'decode' : 'full',
				deadlineMs: this.#remainingMs(),
				kvCache,
				lastEventId,
				priority: this.#priority(),
				kvSource: kvCache ? undefined : this.#kvSource,
			}, {
				onHead: (status, headers) => {
					head = context.protocol.parseResponse(status, headers);
					const mismatch = findResponseMismatch(this.#call, head);
					if (mismatch !== undefined) {
						context.logger.warn(`Dropped an answer of ${server.server}: ${mismatch}.`, {request: this.#call.head.id, server: server.server});
						this.#exchange?.cancel();
						resolve({type: 'broken'});
						return;
					}

					if (head.isNotExecuted || head.isWrongServer) {
						return;
					}

					if (status >= HTTP_SERVER_ERROR && this.#mayResume()) {
						this.#exchange?.cancel();
						resolve({type: 'broken'});
						return;
					}

					if (!caller.hasStartedResponse) {
						caller.startResponse(status, context.protocol.buildResponseHeaders(headers), head.framing);
					} else if (status !== HTTP_OK) {
						this.#exchange?.cancel();
						resolve({type: 'broken'});
					}
				},
				onData: chunk => {
					if (head && !head.isNotExecuted && !head.isWrongServer) {
						this.#forward(chunk, head.status === HTTP_OK);
					}
				},
				onEnd: () => {
					if (!head || head.isNotExecuted || head.isWrongServer) {
						resolve({type: 'notRun'});
						return;
					}

					context.health.recordSuccess(server.server);
					const rest = this.#splitter?.takeIncomplete();
					if (rest && rest.length > 0) {
						caller.write(rest, () => undefined);
					}

					caller.endResponse();
					resolve({type: 'done', isServerError: head.status >= HTTP_SERVER_ERROR});
				},
				onFailure(failure, error) {
					recordAttemptFailure(context, server, failure, error);
					resolve({type: failure});
				},
			});
		});
	}

	#forward(chunk: Buffer, isStream: boolean): void {
		const {caller, head, logFields} = this.#call;
		if (!this.#hasFirstEvent && isStream) {
			this.#hasFirstEvent = true;
			logFields.firstMs = this.#elapsedMs();
			this.#context.placement.reportMilestone(head.id, 'first', undefined);
		}

		const whole = this.#splitter && isStream ? this.#splitter.push(chunk) : chunk;
		const exchange = this.#exchange;
		const isTaken = whole.length === 0 || caller.write(whole, () => {
			exchange?.resume();
		});
		if (!isTaken) {
			exchange?.pause();
		}
	}

	/** The problem to end with after a run that failed; undefined to try again. */
	#findFinalProblem(outcome: RunOutcome): Problem | undefined {
		const {route} = this.#call;
		switch (outcome.type) {
			case 'unsent': {
				this.#runCount--;
				return undefined;
			}

			case 'notRun': {
				return this.#runCount <= route.maxAttempts ? undefined : this.#createFailureProblem();
			}

			case 'denied': {
				return this.#createFailureProblem();
			}

			default: {
				return this.#mayResume() ? undefined : this.#createFailureProblem();
			}
		}
	}

	/** Whether a run that failed may go on at another engine. */
	#mayResume(): boolean {
		const {route} = this.#call;
		return route.isResumable && this.#runCount < route.maxAttempts;
	}

	/** What the caller is told: that nothing ran, if that is sure. */
	#createFailureProblem(): Problem {
		return this.#mayHaveRun ? createProblem('serverFailed') : createProblem('notStarted', undefined, FAILED_RETRY_SECONDS);
	}

	/** Frees a read prompt that nobody will take. */
	#releaseKvCache(): void {
		const kvCache = this.#kvCache;
		this.#kvCache = undefined;
		if (!kvCache) {
			return;
		}

		const ignore = () => undefined;
		this.#context.upstream.send({
			address: kvCache.address, ...this.#context.protocol.buildReleaseRequest(kvCache), headers: [], body: null, maxConnections: 1,
		}, {
			onHead: ignore, onData: ignore, onEnd: ignore, onFailure: (failure, error) => {
				this.#context.logger.warn(`Could not free a read prompt: ${error.message}`, {failure});
			},
		});
	}

	/** What is late already goes behind everything else. */
	#priority(): number {
		return this.#call.logFields.isLate === true ? LATE_PRIORITY : this.#call.route.priority;
	}

	#remainingMs(): number {
		return this.#call.deadlineMs - this.#context.clock.monotonicMs();
	}

	#elapsedMs(): number {
		return Math.round(this.#context.clock.monotonicMs() - this.#call.arrivedMs);
	}
}
