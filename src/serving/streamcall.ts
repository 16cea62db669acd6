/**
 * A streamed request. It is placed by a scheduler, prefilled and decoded at one engine or two, and its events are
 * forwarded as they arrive.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import type {ServerIncarnation} from '../base/incarnation.js';
import {createProblem, type Problem} from '../base/problem.js';
import type {Announcement} from '../generated/types.js';
import {LATE_PRIORITY, type PlacementDecision, type PlacementRequest} from '../routing/request.js';
import {
	createQuarantineProblem, estimateRetrySeconds, findResponseMismatch, recordAttemptFailure, sendAttempt, tryAcquireRetry, type Call, type ServingContext,
} from './context.js';
import type {
	ResponseHead, Prompt, KvCacheHandle,
} from './protocol.js';
import {listReaders} from './engines.js';
import {EventSplitter, isEventStream, isUnframedStream} from './events.js';
import type {PlacementResult} from './placement.js';
import {sendPrefill} from './prefill.js';
import {releaseKvCache} from './release.js';
import type {Exchange} from './upstream.js';

type RunOutcome
	= | {readonly type: 'done'; readonly isServerError: boolean}
		| {readonly type: 'notExecuted'}
		| {readonly type: 'unsent'}
		| {readonly type: 'broken'; readonly hasResponded: boolean}
		/** Not sent because the retry budget is exhausted. */
		| {readonly type: 'retryDenied'};

/** Callers abandon a stream after two seconds without an event, or four times its objective if that is longer. */
const MIN_PATIENCE_MS = 2000;
const PATIENCE_FACTOR = 4;
/** Maximum number of placements of one request. */
const MAX_PLACEMENTS = 4;
/** Retry time for callers whose request failed before any engine ran it, seconds. */
const FAILED_RETRY_SECONDS = 0.5;
/** Largest event of a stream, and most bytes of comments and blank lines between two. */
const MAX_EVENT_BYTES = 1024 * 1024;
const HTTP_OK = 200;
const HTTP_SERVER_ERROR = 500;

/** Runs one request, with retries, to its end. */
export class StreamCall {
	readonly #context: ServingContext;
	readonly #call: Call;
	readonly #prompt: Prompt;
	readonly #excluded = new Set<string>();
	/** Forwards whole events; undefined if a part of an event may be forwarded. */
	#splitter: EventSplitter | undefined;
	#exchange: Exchange | undefined;
	#kvCache: KvCacheHandle | undefined;
	#placementCount = 0;
	#prefillCount = 0;
	#runCount = 0;
	#hasFirstEvent = false;
	/** Software version of the servers whose events the stream holds, once it is known. */
	#software: string | undefined;
	#isOriginRecorded = false;
	/** Whether a retry has been acquired for the next run. */
	#hasRetry = false;
	#mayHaveRun = false;
	/** Whether the engine that failed last sent a response, so that it may be used again if there is no other. */
	#mayReuseExcluded = false;
	/** Engines that return from a long refusal and are left out of this request unless no other engine can serve it. */
	#heldBack: readonly string[] | undefined;
	#kvFetchSource: Announcement | undefined;

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
			const runner = this.#failQuarantined() ? undefined : await this.#place();
			if (!runner || caller.isEnded || this.#failQuarantined()) {
				break;
			}

			const outcome = await this.#runAt(runner);
			if (outcome.type === 'done') {
				this.#context.placement.reportMilestone(this.#call.head.key, outcome.isServerError ? 'failed' : 'done', outcome.isServerError ? runner.server : undefined);
				return;
			}

			if (caller.isEnded) {
				break;
			}

			this.#mayHaveRun ||= outcome.type === 'broken';
			this.#mayReuseExcluded = outcome.type === 'broken' && outcome.hasResponded;
			this.#context.placement.reportMilestone(this.#call.head.key, outcome.type === 'notExecuted' || !this.#isAvailable(runner) ? 'refused' : 'failed', runner.server);
			this.#excluded.add(runner.server);
			const problem = this.#findFinalProblem(outcome);
			if (problem) {
				caller.fail(problem);
				return;
			}
		}

		this.#context.placement.reportMilestone(this.#call.head.key, 'failed', undefined);
	}

	/** Fails the request if engines have crashed meanwhile under it, or under what its prompt contains; returns whether they have. */
	#failQuarantined(): boolean {
		const isQuarantined = this.#context.crashes.isQuarantined(this.#call.suspect);
		if (isQuarantined) {
			this.#call.caller.fail(this.#mayHaveRun ? createProblem('serverFailed') : createQuarantineProblem(this.#call));
		}

		return isQuarantined;
	}

	/**
	 * Places the request and prefills it at the reader, if there is one; returns the runner, or undefined if the call
	 * has ended.
	 */
	async #place(): Promise<Announcement | undefined> {
		const {caller, logFields} = this.#call;
		while (!caller.isEnded) {
			if (this.#placementCount++ >= MAX_PLACEMENTS) {
				caller.fail(this.#createFailureProblem());
				return undefined;
			}

			let placed: PlacementResult | undefined = await this.#context.placement.place(this.#createRequest());
			this.#logPlacement(placed);
			this.#noteOrigin(placed.decision);
			if (placed.decision.type === 'assignment' && placed.decision.reader !== undefined) {
				if (this.#failQuarantined()) {
					return undefined;
				}

				placed = await this.#prefill(placed.decision.reader, placed.decision.expectedMs ?? 0);
			}

			if (!placed) {
				continue;
			}

			const {decision, by} = placed;
			this.#context.metrics.placements.inc({by});
			if (decision.type === 'rejection') {
				if (this.#readmitHeldBack() || this.#readmitExcluded()) {
					continue;
				}

				this.#failRejected(decision);
				return undefined;
			}

			const runner = decision.runner === undefined ? undefined : this.#findEngine(decision.runner);
			if (runner && this.#isAvailable(runner)) {
				this.#context.placement.notifyBackup(this.#createRequest(), logFields.reader, runner.server);
				return runner;
			}
		}

		return undefined;
	}

	#logPlacement({decision, by}: PlacementResult): void {
		const {logFields} = this.#call;
		logFields.placedBy = by;
		logFields.placedMs = this.#elapsedMs();
		logFields.promptTokens = this.#prompt.promptTokens;
		this.#kvFetchSource = decision.type === 'assignment' && decision.source !== undefined ? this.#context.findServer(decision.source) : undefined;
		logFields.source = this.#kvFetchSource?.server;
		if (decision.type === 'assignment') {
			logFields.cachedTokens = decision.cachedTokens;
			logFields.expectedMs = decision.expectedMs;
			logFields.isLate = decision.isLate;
		}
	}

	/** Prefills the prompt at a reader and requests a runner; undefined if the request has to be placed again, or has ended. */
	async #prefill(server: string, expectedMs: number): Promise<PlacementResult | undefined> {
		const {placement} = this.#context;
		const {caller, head, logFields} = this.#call;
		const reader = this.#findEngine(server);
		if (reader && !this.#isAvailable(reader)) {
			placement.reportMilestone(head.key, 'refused', undefined);
			this.#placementCount--;
			return undefined;
		}

		const kvCache = reader && !caller.isEnded ? await this.#prefillAt(reader, expectedMs) : undefined;
		if (caller.isEnded) {
			return undefined;
		}

		if (!kvCache) {
			placement.reportMilestone(head.key, reader && !this.#isAvailable(reader) ? 'refused' : 'failed', server);
			this.#excluded.add(server);
			return undefined;
		}

		this.#kvCache = kvCache;
		logFields.readMs = this.#elapsedMs();
		return placement.chooseRunner(this.#createRequest(), server);
	}

	#isAvailable(engine: Announcement): boolean {
		return this.#context.availability.isAvailable(engine, this.#context.clock.monotonicMs());
	}

	/** Lists the engines that have told this host that they take no further requests, and those that are held back. */
	#listUnavailable(): string[] {
		const {availability, clock, random} = this.#context;
		this.#heldBack ??= this.#listNames(availability.drawHeldBack(clock.monotonicMs(), random));
		return [...this.#listNames(availability.listUnavailable(clock.monotonicMs())), ...this.#heldBack];
	}

	#listNames(servers: readonly ServerIncarnation[]): string[] {
		return servers.filter(({server, incarnation}) => this.#context.findServer(server)?.incarnation === incarnation).map(({server}) => server);
	}

	/** Allows the engines that are held back; returns false if there are none. */
	#readmitHeldBack(): boolean {
		const isReadmitted = this.#heldBack !== undefined && this.#heldBack.length > 0;
		this.#heldBack = [];
		if (isReadmitted) {
			this.#placementCount--;
			this.#releaseKvCache();
		}

		return isReadmitted;
	}

	/** Allows the engines that failed this request again, if the last one sent a response. Returns false otherwise. */
	#readmitExcluded(): boolean {
		const isReadmitted = this.#mayReuseExcluded;
		this.#mayReuseExcluded = false;
		if (isReadmitted) {
			this.#excluded.clear();
			this.#releaseKvCache();
		}

		return isReadmitted;
	}

	#failRejected({reason, retryAfterMs}: Extract<PlacementDecision, {type: 'rejection'}>): void {
		const seconds = estimateRetrySeconds(this.#context, this.#call, Math.ceil(retryAfterMs / 100) / 10);
		this.#call.logFields.note = reason;
		this.#call.caller.fail(this.#mayHaveRun ? createProblem('serverFailed') : createProblem('tooLate', reason, seconds));
	}

	#createRequest(): PlacementRequest {
		const {head, route, service, arrivedMs, deadlineMs, priority} = this.#call;
		const nowMs = this.#context.clock.monotonicMs();
		const patienceMs = Math.max(MIN_PATIENCE_MS, route.objectiveMs * PATIENCE_FACTOR);
		return {
			id: head.key,
			service,
			dataCentre: this.#context.dataCentre,
			bodyBytes: this.#call.body?.length ?? 0,
			connected: this.#context.listServers().filter(server => this.#context.transport.hasIdleConnection(server)).map(({server}) => server),
			parts: this.#prompt.parts,
			promptTokens: this.#prompt.promptTokens,
			outputTokens: this.#prompt.outputTokens,
			priority,
			objectiveMs: Math.max(0, arrivedMs + route.objectiveMs - nowMs),
			patienceMs: Math.max(0, Math.min(deadlineMs, arrivedMs + patienceMs) - nowMs),
			excluded: [...this.#excluded, ...this.#listUnavailable(), ...(this.#context.crashes.isProbe(this.#call.suspect) ? listReaders(this.#context.listServers()) : [])],
			...this.#createResumption(),
		};
	}

	/** Describes the stream to resume: events of it have been forwarded, or its caller has some from an earlier attempt. */
	#createResumption(): Pick<PlacementRequest, 'resumption'> {
		const {head: {lastEventId, resumedAttempt}} = this.#call;
		if (this.#software !== undefined) {
			return {resumption: {software: this.#software}};
		}

		return lastEventId === undefined ? {} : {resumption: resumedAttempt === undefined ? {} : {attempt: resumedAttempt}};
	}

	/** Notes the software version by which a scheduler has resolved the origin of a resumed stream. */
	#noteOrigin(decision: PlacementDecision): void {
		if (this.#call.head.lastEventId === undefined) {
			return;
		}

		// Older scheduler hosts do not report the version.
		const server = decision.type === 'assignment' ? this.#context.findServer(decision.reader ?? decision.runner ?? '') : undefined;
		this.#software ??= decision.software ?? (server && (server.software ?? ''));
	}

	/** Finds an engine; undefined if it is not known, or has started again with another software version than the one of the stream. */
	#findEngine(server: string): Announcement | undefined {
		const engine = this.#context.findServer(server);
		const software = engine?.software ?? '';
		return software === (this.#software ?? software) ? engine : undefined;
	}

	/** Prefills the prompt at a reader; undefined if that failed. */
	async #prefillAt(server: Announcement, expectedMs: number): Promise<KvCacheHandle | undefined> {
		const {caller, logFields, service} = this.#call;
		if (this.#prefillCount > 0 && !tryAcquireRetry(this.#context, service)) {
			return undefined;
		}

		this.#prefillCount++;
		logFields.reader = server.server;
		return new Promise(resolve => {
			caller.onEnd(() => {
				resolve(undefined);
			});
			this.#exchange = sendPrefill(this.#context, this.#call, {
				server, expectedMs, deadlineMs: this.#remainingMs(), priority: this.#priority(), kvFetchSource: this.#kvFetchSource,
			}, resolve);
		});
	}

	async #runAt(server: Announcement): Promise<RunOutcome> {
		const context = this.#context;
		const {caller, logFields} = this.#call;
		if (this.#runCount > 0 && !this.#hasRetry && !tryAcquireRetry(this.#context, this.#call.service)) {
			return {type: 'retryDenied'};
		}

		this.#hasRetry = false;
		this.#runCount++;
		logFields.servers.push(server.server);
		(logFields.software ??= []).push(server.software ?? '');
		const kvCache = this.#kvCache;
		this.#kvCache = undefined;
		this.#splitter?.startNextServer();
		const isContinued = caller.hasStartedResponse;
		const lastEventId = this.#splitter?.lastEventId ?? this.#call.head.lastEventId;
		return new Promise(resolve => {
			let head: ResponseHead | undefined;
			let otherBytes = 0;
			let isCounted = false;
			caller.onEnd(() => {
				resolve({type: 'broken', hasResponded: false});
			});
			const breakOff = (reason: string) => {
				this.#exchange?.cancel();
				recordAttemptFailure(context, this.#call, server, {failure: 'broken', error: new Error(reason)});
				resolve({type: 'broken', hasResponded: true});
			};

			this.#exchange = sendAttempt(context, this.#call, {
				server,
				phase: kvCache ? 'decode' : 'full',
				deadlineMs: this.#remainingMs(),
				kvCache,
				lastEventId,
				priority: this.#priority(),
				kvFetchSource: kvCache ? undefined : this.#kvFetchSource,
				onSilence: () => {
					if (this.#prepareResumption(server)) {
						this.#exchange?.cancel();
						resolve({type: 'broken', hasResponded: false});
					}
				},
			}, {
				onHead: (status, headers, isFirst) => {
					head = context.protocol.parseResponse(status, headers);
					const mismatch = findResponseMismatch(this.#call, head, isFirst);
					if (mismatch !== undefined) {
						context.logger.warn(`Discarded a response from server ${server.server}: ${mismatch}.`, {request: this.#call.head.id, server: server.server});
						this.#exchange?.cancel();
						resolve({type: 'broken', hasResponded: true});
						return;
					}

					if (head.isNotExecuted || head.isWrongServer) {
						return;
					}

					if (status >= HTTP_SERVER_ERROR && this.#mayResume()) {
						this.#exchange?.cancel();
						resolve({type: 'broken', hasResponded: true});
						return;
					}

					if (isUnframedStream(head)) {
						this.#splitter ??= new EventSplitter();
					}

					if (!caller.hasStartedResponse) {
						caller.startResponse(status, context.protocol.buildResponseHeaders(headers), head.framing);
					} else if (!isEventStream(head)) {
						breakOff(`The response has status ${status} and type ${headers['content-type'] ?? 'none'}, so it does not continue the stream.`);
					}
				},
				onData: chunk => {
					otherBytes += head && isEventStream(head) ? 0 : chunk.length;
					if (otherBytes > context.responseMemory.maxResponseBytes) {
						breakOff(`The response is no stream and exceeds ${context.responseMemory.maxResponseBytes} bytes.`);
						return;
					}

					if (head && !head.isNotExecuted && !head.isWrongServer) {
						const hasForwarded = this.#forward(chunk, server, head.status === HTTP_OK);
						if (hasForwarded && !isCounted && head.status === HTTP_OK) {
							isCounted = true;
							context.starts?.record(this.#call.team, context.starts.readMs());
						}
					}

					if (this.#splitter?.isOutOfOrder) {
						breakOff('The response does not go on after the last event of the stream.');
						return;
					}

					if ((this.#splitter?.bytesSinceEvent ?? 0) > MAX_EVENT_BYTES) {
						this.#exchange?.cancel();
						recordAttemptFailure(context, this.#call, server, {failure: 'broken', error: new Error(`No event ended within ${MAX_EVENT_BYTES} bytes.`)});
						context.health.recordFailure(server.server, context.clock.monotonicMs());
						resolve({type: 'broken', hasResponded: false});
					}
				},
				onEnd: () => {
					if (!head || head.isNotExecuted || head.isWrongServer) {
						resolve({type: 'notExecuted'});
						return;
					}

					const incompleteEvent = this.#splitter?.takeIncomplete();
					const hasIncompleteEvent = incompleteEvent !== undefined && incompleteEvent.length > 0;
					if (hasIncompleteEvent && (isContinued || isUnframedStream(head))) {
						breakOff('The response ended inside an event.');
						return;
					}

					if (isContinued && this.#splitter?.hasEvents === false) {
						breakOff('The response has no events, so it does not continue the stream.');
						return;
					}

					context.health.recordSuccess(server.server);
					if (hasIncompleteEvent) {
						caller.write(incompleteEvent, () => undefined);
					}

					caller.endResponse();
					resolve({type: 'done', isServerError: head.status >= HTTP_SERVER_ERROR});
				},
				onFailure: (failure, error) => {
					recordAttemptFailure(context, this.#call, server, {failure, error});
					resolve(failure === 'unsent' ? {type: failure} : {type: failure, hasResponded: false});
				},
			});
		});
	}

	/** Forwards the events that a chunk completes; returns whether there are any. */
	#forward(chunk: Buffer, server: Announcement, isStream: boolean): boolean {
		const {caller, head, route, logFields} = this.#call;
		if (!this.#hasFirstEvent && isStream) {
			this.#hasFirstEvent = true;
			logFields.firstMs = this.#elapsedMs();
			this.#context.placement.reportMilestone(head.key, 'first', undefined);
		}

		const events = this.#splitter && isStream ? this.#splitter.push(chunk) : chunk;
		if (isStream && events.length > 0 && !this.#isOriginRecorded) {
			this.#isOriginRecorded = true;
			this.#software ??= server.software ?? '';
			const beganWith = head.lastEventId === undefined ? head.key : head.resumedAttempt ?? head.key;
			this.#context.placement.recordOrigin(beganWith, this.#software, route);
		}

		const exchange = this.#exchange;
		const hasCapacity = events.length === 0 || caller.write(events, () => {
			exchange?.resume();
		});
		if (!hasCapacity) {
			exchange?.pause();
		}

		return events.length > 0;
	}

	/** Finds the problem to report after a failed run; undefined to retry. */
	#findFinalProblem(outcome: RunOutcome): Problem | undefined {
		const {route} = this.#call;
		switch (outcome.type) {
			case 'unsent': {
				this.#runCount--;
				return undefined;
			}

			case 'notExecuted': {
				return this.#runCount <= route.maxAttempts ? undefined : this.#createFailureProblem();
			}

			case 'retryDenied': {
				return this.#createFailureProblem();
			}

			default: {
				return this.#mayResume() ? undefined : this.#createFailureProblem();
			}
		}
	}

	/** Acquires a retry for a stream that a relay can resume at another engine. Without one, the engine that is silent may still go on. */
	#prepareResumption(silent: Announcement): boolean {
		const {listServers, transport} = this.#context;
		const hasOtherEngine = listServers().some(({server, services, software = ''}) => server !== silent.server
			&& !this.#excluded.has(server)
			&& services?.includes(this.#call.service)
			&& software === (this.#software ?? software));
		this.#hasRetry ||= transport.usesRelays && hasOtherEngine && this.#mayResume() && tryAcquireRetry(this.#context, this.#call.service);
		return this.#hasRetry;
	}

	/** Whether another engine may resume after a failed run. */
	#mayResume(): boolean {
		const {route} = this.#call;
		return route.isResumable && this.#runCount < route.maxAttempts;
	}

	/** Creates the problem to report: that the request was not started, if no engine may have run it. */
	#createFailureProblem(): Problem {
		return this.#mayHaveRun ? createProblem('serverFailed') : createProblem('notStarted', undefined, estimateRetrySeconds(this.#context, this.#call, FAILED_RETRY_SECONDS));
	}

	/** Releases a prefilled KV cache that no engine will decode from. */
	#releaseKvCache(): void {
		const kvCache = this.#kvCache;
		this.#kvCache = undefined;
		if (kvCache) {
			releaseKvCache(this.#context, {kvCache, service: this.#call.service, request: this.#call.head.id});
		}
	}

	/** Late requests are served after all others. */
	#priority(): number {
		return this.#call.logFields.isLate === true ? LATE_PRIORITY : this.#call.priority;
	}

	#remainingMs(): number {
		return this.#call.deadlineMs - this.#context.clock.monotonicMs();
	}

	#elapsedMs(): number {
		return Math.round(this.#context.clock.monotonicMs() - this.#call.arrivedMs);
	}
}
