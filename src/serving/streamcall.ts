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

type ReadOutcome
	= | {readonly type: 'read'; readonly reading: KvCacheHandle}
		| {readonly type: 'failed'};

type RunOutcome
	= | {readonly type: 'done'; readonly isServerFault: boolean}
		| {readonly type: 'notRun'}
		| {readonly type: 'unsent'}
		| {readonly type: 'broken'}
		/** Not sent: the budget of repeats is used up. */
		| {readonly type: 'denied'};

/** Callers give a stream up after two seconds, or four times its objective, without an event. */
const LEAST_PATIENCE_MS = 2000;
const PATIENCE_FACTOR = 4;
/** Placings of one request before it is given up. */
const MAX_PLACINGS = 4;
/** A reader that needs this multiple of what was expected is given up, but not before this time, milliseconds. */
const READ_TIMEOUT_FACTOR = 3;
const LEAST_READ_TIMEOUT_MS = 700;
const FAILED_RETRY_SECONDS = 0.5;
const HTTP_OK = 200;
const SERVER_FAULT = 500;

/** Runs one call to its end. */
export class StreamCall {
	readonly #core: ServingContext;
	readonly #call: Call;
	readonly #prompt: Prompt;
	readonly #excluded = new Set<string>();
	readonly #splitter: EventSplitter | undefined;
	#exchange: Exchange | undefined;
	#reading: KvCacheHandle | undefined;
	#placings = 0;
	#reads = 0;
	#runs = 0;
	#hasFirst = false;
	#mayHaveRun = false;
	#partSource: Announcement | undefined;

	constructor(core: ServingContext, call: Call, prompt: Prompt) {
		this.#core = core;
		this.#call = call;
		this.#prompt = prompt;
		this.#splitter = call.route.isResumable ? new EventSplitter() : undefined;
		call.caller.onEnd(() => {
			this.#exchange?.cancel();
			this.#release();
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
				this.#core.placement.reportMilestone(this.#call.head.id, outcome.isServerFault ? 'failed' : 'done', outcome.isServerFault ? runner.server : undefined);
				return;
			}

			if (caller.isEnded) {
				break;
			}

			this.#mayHaveRun ||= outcome.type === 'broken';
			this.#core.placement.reportMilestone(this.#call.head.id, outcome.type === 'notRun' ? 'refused' : 'failed', runner.server);
			this.#excluded.add(runner.server);
			const problem = this.#judge(outcome);
			if (problem) {
				caller.fail(problem);
				return;
			}
		}

		this.#core.placement.reportMilestone(this.#call.head.id, 'failed', undefined);
	}

	/** Finds the engine that runs the request, with its prompt read ahead where that is quicker. */
	async #place(): Promise<Announcement | undefined> {
		const {caller, logFields: trail} = this.#call;
		while (!caller.isEnded) {
			if (this.#placings++ >= MAX_PLACINGS) {
				caller.fail(this.#createFailure());
				return undefined;
			}

			let {decision, by} = await this.#core.placement.place(this.#createRequest());
			trail.placedBy = by;
			trail.placedMs = this.#elapsedMs();
			this.#partSource = decision.type === 'assignment' && decision.source !== undefined ? this.#core.findServer(decision.source) : undefined;
			trail.source = this.#partSource?.server;
			if (decision.type === 'assignment') {
				trail.cachedTokens = decision.cachedTokens;
				trail.expectedMs = decision.expectedMs;
				trail.isLate = decision.isLate;
			}

			trail.promptTokens = this.#prompt.promptTokens;
			if (decision.type === 'assignment' && decision.reader !== undefined) {
				const reader = this.#core.findServer(decision.reader);
				const outcome = reader && !caller.isEnded ? await this.#readAt(reader, decision.expectedMs ?? 0) : undefined;
				if (caller.isEnded) {
					return undefined;
				}

				if (outcome?.type !== 'read') {
					this.#core.placement.reportMilestone(this.#call.head.id, 'failed', decision.reader);
					this.#excluded.add(decision.reader);
					continue;
				}

				this.#reading = outcome.reading;
				trail.readMs = this.#elapsedMs();
				({decision, by} = await this.#core.placement.chooseRunner(this.#createRequest(), decision.reader));
			}

			this.#core.metrics.placements.inc({by});
			if (decision.type === 'rejection') {
				const seconds = Math.ceil(decision.retryAfterMs / 100) / 10;
				trail.note = decision.reason;
				caller.fail(this.#mayHaveRun ? createProblem('serverFailed') : createProblem('tooLate', decision.reason, seconds));
				return undefined;
			}

			const runner = decision.runner === undefined ? undefined : this.#core.findServer(decision.runner);
			if (runner) {
				this.#core.placement.notifyBackup(this.#createRequest(), trail.reader, runner.server);
				return runner;
			}
		}

		return undefined;
	}

	#createRequest(): PlacementRequest {
		const {head, route: rule, service, arrivedMs, deadlineMs} = this.#call;
		const nowMs = this.#core.clock.monotonicMs();
		const patienceMs = Math.max(LEAST_PATIENCE_MS, rule.objectiveMs * PATIENCE_FACTOR);
		return {
			id: head.id,
			service,
			dataCentre: this.#core.dataCentre,
			parts: this.#prompt.parts,
			promptTokens: this.#prompt.promptTokens,
			outputTokens: this.#prompt.outputTokens,
			priority: rule.priority,
			objectiveMs: Math.max(0, arrivedMs + rule.objectiveMs - nowMs),
			patienceMs: Math.max(0, Math.min(deadlineMs, arrivedMs + patienceMs) - nowMs),
			excluded: [...this.#excluded],
		};
	}

	/** Has the prompt read ahead of the run. */
	async #readAt(server: Announcement, expectedMs: number): Promise<ReadOutcome> {
		const core = this.#core;
		if (this.#reads > 0 && !tryAcquireRetry(this.#core, this.#call.service)) {
			return {type: 'failed'};
		}

		this.#reads++;
		this.#call.logFields.reader = server.server;
		return new Promise(resolve => {
			const chunks: Buffer[] = [];
			let head: ResponseHead | undefined;
			// Reading may be repeated, so a reader that is long overdue is given up.
			const timer = setTimeout(() => {
				core.logger.warn(`Server ${server.server} is overdue with a prompt.`, {request: this.#call.head.id, server: server.server, expectedMs});
				this.#exchange?.cancel();
				resolve({type: 'failed'});
			}, Math.max(LEAST_READ_TIMEOUT_MS, expectedMs * READ_TIMEOUT_FACTOR));
			this.#call.caller.onEnd(() => {
				clearTimeout(timer);
				resolve({type: 'failed'});
			});
			this.#exchange = sendAttempt(core, this.#call, {
				server, phase: 'prefill', deadlineMs: this.#leftMs(), priority: this.#priority(), kvSource: this.#partSource,
			}, {
				onHead: (status, headers) => {
					head = core.protocol.parseResponse(status, headers);
					const mismatch = findResponseMismatch(this.#call, head);
					if (mismatch !== undefined) {
						core.logger.warn(`Dropped an answer of ${server.server}: ${mismatch}.`, {request: this.#call.head.id, server: server.server});
						this.#exchange?.cancel();
						resolve({type: 'failed'});
					}
				},
				onData(chunk) {
					chunks.push(chunk);
				},
				onEnd() {
					clearTimeout(timer);
					const handle = head?.status === 200 ? core.protocol.parseKvHandle(Buffer.concat(chunks)) : undefined;
					if (handle === undefined) {
						core.logger.warn(`Server ${server.server} did not read a prompt.`, {server: server.server, status: head?.status});
						resolve({type: 'failed'});
						return;
					}

					core.health.recordSuccess(server.server);
					resolve({type: 'read', reading: {address: {address: server.address, port: server.port}, handle}});
				},
				onFailure(failure, error) {
					clearTimeout(timer);
					recordAttemptFailure(core, server, failure, error);
					resolve({type: 'failed'});
				},
			});
		});
	}

	async #runAt(server: Announcement): Promise<RunOutcome> {
		const core = this.#core;
		const {caller, logFields: trail} = this.#call;
		if (this.#runs > 0 && !tryAcquireRetry(this.#core, this.#call.service)) {
			return {type: 'denied'};
		}

		this.#runs++;
		trail.servers.push(server.server);
		const reading = this.#reading;
		this.#reading = undefined;
		this.#splitter?.takeIncomplete();
		const lastEventId = this.#splitter?.lastEventId ?? this.#call.head.lastEventId;
		return new Promise(resolve => {
			let head: ResponseHead | undefined;
			caller.onEnd(() => {
				resolve({type: 'broken'});
			});
			this.#exchange = sendAttempt(core, this.#call, {
				server,
				phase: reading ? 'decode' : 'full',
				deadlineMs: this.#leftMs(),
				kvCache: reading,
				lastEventId,
				priority: this.#priority(),
				kvSource: reading ? undefined : this.#partSource,
			}, {
				onHead: (status, headers) => {
					head = core.protocol.parseResponse(status, headers);
					const mismatch = findResponseMismatch(this.#call, head);
					if (mismatch !== undefined) {
						core.logger.warn(`Dropped an answer of ${server.server}: ${mismatch}.`, {request: this.#call.head.id, server: server.server});
						this.#exchange?.cancel();
						resolve({type: 'broken'});
						return;
					}

					if (head.isNotExecuted || head.isWrongServer) {
						return;
					}

					if (status >= SERVER_FAULT && this.#mayRepeat()) {
						this.#exchange?.cancel();
						resolve({type: 'broken'});
						return;
					}

					if (!caller.hasStartedResponse) {
						caller.startResponse(status, core.protocol.buildResponseHeaders(headers), head.framing);
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

					core.health.recordSuccess(server.server);
					const rest = this.#splitter?.takeIncomplete();
					if (rest && rest.length > 0) {
						caller.write(rest, () => undefined);
					}

					caller.endResponse();
					resolve({type: 'done', isServerFault: head.status >= SERVER_FAULT});
				},
				onFailure(failure, error) {
					recordAttemptFailure(core, server, failure, error);
					resolve({type: failure});
				},
			});
		});
	}

	#forward(chunk: Buffer, isStream: boolean): void {
		const {caller, head, logFields: trail} = this.#call;
		if (!this.#hasFirst && isStream) {
			this.#hasFirst = true;
			trail.firstMs = this.#elapsedMs();
			this.#core.placement.reportMilestone(head.id, 'first', undefined);
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
	#judge(outcome: RunOutcome): Problem | undefined {
		const {route: rule} = this.#call;
		switch (outcome.type) {
			case 'unsent': {
				this.#runs--;
				return undefined;
			}

			case 'notRun': {
				return this.#runs <= rule.maxAttempts ? undefined : this.#createFailure();
			}

			case 'denied': {
				return this.#createFailure();
			}

			default: {
				return this.#mayRepeat() ? undefined : this.#createFailure();
			}
		}
	}

	/** Whether a run that failed may go on at another engine. */
	#mayRepeat(): boolean {
		const {route: rule} = this.#call;
		return rule.isResumable && this.#runs < rule.maxAttempts;
	}

	/** What the caller is told: that nothing ran, if that is sure. */
	#createFailure(): Problem {
		return this.#mayHaveRun ? createProblem('serverFailed') : createProblem('notStarted', undefined, FAILED_RETRY_SECONDS);
	}

	/** Frees a read prompt that nobody will take. */
	#release(): void {
		const reading = this.#reading;
		this.#reading = undefined;
		if (!reading) {
			return;
		}

		const ignore = () => undefined;
		this.#core.upstream.send({
			address: reading.address, ...this.#core.protocol.buildReleaseRequest(reading), headers: [], body: null, maxConnections: 1,
		}, {
			onHead: ignore, onData: ignore, onEnd: ignore, onFailure: (failure, error) => {
				this.#core.logger.warn(`Could not free a read prompt: ${error.message}`, {failure});
			},
		});
	}

	/** What is late already goes behind everything else. */
	#priority(): number {
		return this.#call.logFields.isLate === true ? LATE_PRIORITY : this.#call.route.priority;
	}

	#leftMs(): number {
		return this.#call.deadlineMs - this.#core.clock.monotonicMs();
	}

	#elapsedMs(): number {
		return Math.round(this.#core.clock.monotonicMs() - this.#call.arrivedMs);
	}
}
