/**
 * Serves completions: admits requests, chooses engines, retries and resumes failed attempts, and writes the response.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import * as Either from 'fp-ts/lib/Either.js';
import {sleep, type Clock} from '../base/clock.js';
import type {Logger} from '../base/logger.js';
import {createProblem, type Problem} from '../base/problem.js';
import {shuffle, type Random} from '../base/random.js';
import type {
	Announcement, Fact, ModelSpecification, TeamSpecification,
} from '../generated/types.js';
import type {Directory} from '../membership/directory.js';
import {
	chooseEngine, DEFAULT_LATENCY_TARGETS, isPrefillWork, meetsTargets, type Candidate, type EngineChoice, type RequestShape,
} from '../routing/choice.js';
import {placeContinuation, placeRequest} from '../routing/handoff.js';
import {RetryBudget} from '../routing/health.js';
import {AdmissionController, AdmissionMargin, type AdmissionEvent} from '../routing/admission.js';
import {classifyRequest, POISON_STATES, type CrashRecord} from '../routing/poison.js';
import {hashBlocks} from '../routing/prefix.js';
import {formatIncarnation} from '../base/incarnation.js';
import {probe, PROBE_RESULTS} from '../wire/probe.js';
import {
	APIS, parseCompletionRequest, EventStreamWriter, JsonWriter, type ResponseWriter, type Api, type CompletionRequest,
} from './completion.js';
import type {AttemptResult, EngineClient} from './engine.js';
import {
	parseJson, readHeader, sendProblem, type Exchange,
} from './exchange.js';
import {CHARACTERS_PER_TOKEN, TOKENS_PER_PREFIX_BLOCK, type ServerPool} from './pool.js';
import type {RequestJournal} from './journal.js';
import type {Metrics} from './metrics.js';
import type {QuarantineLock, Quarantine} from './quarantine.js';
import type {ResourceView} from './view.js';

export type ModelHandlerOptions = {
	readonly dataCentre: string;
	readonly directory: Directory;
	readonly view: ResourceView;
	readonly pool: ServerPool;
	readonly engineClient: EngineClient;
	readonly quarantine: Quarantine;
	readonly journal: RequestJournal;
	readonly metrics: Metrics;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	/** Sends a fact to every entry host at once. */
	readonly broadcast: (fact: Fact) => void;
	/** Called for each finished request, to capture traces. */
	readonly onFinished?: (record: FinishedRequest) => void;
};

/** Start, sizes and outcome of a finished request, as written to the capture file. */
export type FinishedRequest = {
	readonly startedAt: number;
	readonly model: string;
	readonly team: string;
	readonly promptTokens: number;
	readonly outputTokens: number;
	readonly outcome: string;
};

/** Longest time that a completion may take, in milliseconds. */
const MAX_DEADLINE_MS = 120_000;
const MAX_ADMISSION_WAIT_MS = 10_000;
const MAX_FIRST_EVENT_TIMEOUT_MS = 30_000;
const MIN_FIRST_EVENT_TIMEOUT_MS = 3000;
const FIRST_EVENT_TIMEOUT_FACTOR = 6;
const MAX_ATTEMPTS = 12;
const RETRY_PAUSE_MS = 50;
const QUARANTINE_RETRY_PAUSE_MS = 60;
/** A suspected request is cleared once it has produced this many tokens more than it had at the crash. */
const CLEARING_TOKENS = 4;
const DEFAULT_OUTPUT_TOKENS = 200;
const EXPECTED_SHARE_OF_MAX_TOKENS = 0.6;
/** Delay before an engine whose connection broke is probed again: a crash may show late, or only as a restart. */
const SECOND_PROBE_DELAY_MS = 500;
const DISPATCH_INTERVAL_MS = 250;
const PRIORITY = {interactive: 1, background: 0} as const;
const ENGINE_PATHS = {chat: '/v1/chat/completions', text: '/v1/completions'} as const;

/** Serves the requests for models on one entry host. Its creator must close it. */
export class ModelHandler {
	readonly #options: ModelHandlerOptions;
	readonly #retryBudget = new RetryBudget();
	/** Margins for requests that are mostly prefill work and for all others. */
	readonly #margins = {prefill: new AdmissionMargin(), decode: new AdmissionMargin()};
	readonly #admissions = new Map<string, AdmissionController>();
	readonly #waiting = new Map<string, (event: AdmissionEvent) => void>();
	readonly #timer: NodeJS.Timeout;

	constructor(options: ModelHandlerOptions) {
		this.#options = options;
		this.#timer = setInterval(() => {
			this.#dispatchAll();
		}, DISPATCH_INTERVAL_MS);
	}

	get options(): ModelHandlerOptions {
		return this.#options;
	}

	selectMargin(shape: RequestShape): AdmissionMargin {
		return isPrefillWork(shape) ? this.#margins.prefill : this.#margins.decode;
	}

	get retryBudget(): RetryBudget {
		return this.#retryBudget;
	}

	/** Serves one request. */
	async handle(api: Api, exchange: Exchange, body: Buffer): Promise<void> {
		const request = Either.flatMap((parsed: Record<string, unknown>) => parseCompletionRequest(api, parsed))(parseJson(body));
		if (Either.isLeft(request)) {
			sendProblem(exchange, request.left);
			return;
		}

		const run = new ModelRun(this, exchange, request.right);
		await run.serve();
	}

	/** Waits for admission. Returns a problem if it is refused. */
	async admit(id: string, request: CompletionRequest, shape: RequestShape, limits: {team: string; latestStartMs: number}): Promise<Problem | undefined> {
		const {view, pool, clock} = this.#options;
		const team = view.get('team', limits.team)?.specification as TeamSpecification | undefined;
		const admissionRequest = {
			id,
			team: limits.team,
			weight: team?.weight ?? 1,
			tokens: shape.promptTokens + shape.outputTokens,
			teamTokenLimit: team?.tokensInFlight ?? Number.POSITIVE_INFINITY,
			latestStartMs: limits.latestStartMs,
		};
		const event = await new Promise<AdmissionEvent>(resolve => {
			this.#waiting.set(id, resolve);
			const admission = this.#getAdmission(request.model);
			this.#notifyWaiting(admission.submit(admissionRequest, pool.computeCapacityTokens(request.model), clock.monotonicMs()));
		});
		if (event.type === 'start') {
			return undefined;
		}

		return createProblem(event.reason === 'team' ? 'teamLimit' : 'noCapacity', undefined, event.retryAfterSeconds);
	}

	/** Ends the admission of a request: it stops waiting, or its capacity is freed. */
	release(id: string, model: string): void {
		const {pool, clock} = this.#options;
		this.#notifyWaiting([{
			type: 'refuse', id, reason: 'capacity', retryAfterSeconds: 1,
		}]);
		this.#notifyWaiting(this.#getAdmission(model).complete(id, pool.computeCapacityTokens(model), clock.monotonicMs()));
	}

	close(): void {
		clearInterval(this.#timer);
	}

	#dispatchAll(): void {
		let waiting = 0;
		let running = 0;
		for (const [model, admission] of this.#admissions) {
			this.#notifyWaiting(admission.dispatch(this.#options.pool.computeCapacityTokens(model), this.#options.clock.monotonicMs()));
			waiting += admission.waitingCount;
			running += admission.runningCount;
		}

		this.#options.metrics.waiting.set(waiting);
		this.#options.metrics.running.set(running);
	}

	#notifyWaiting(events: readonly AdmissionEvent[]): void {
		for (const event of events) {
			const resolve = this.#waiting.get(event.id);
			this.#waiting.delete(event.id);
			resolve?.(event);
		}
	}

	#getAdmission(model: string): AdmissionController {
		let admission = this.#admissions.get(model);
		if (!admission) {
			admission = new AdmissionController();
			this.#admissions.set(model, admission);
		}

		return admission;
	}
}

/** What to do after an attempt. */
type NextStep
	= | {readonly type: 'done'}
		| {readonly type: 'fail'; readonly problem: Problem}
		| {readonly type: 'retry'; readonly sameServer: boolean; readonly reason: string; readonly pauseMs: number};

/** Runs one request, in as many attempts as needed. */
class ModelRun {
	readonly #handler: ModelHandler;
	readonly #exchange: Exchange;
	readonly #request: CompletionRequest;
	readonly #writer: ResponseWriter;
	readonly #shape: RequestShape;
	readonly #startedMs: number;
	readonly #deadlineMs: number;
	/** Engines that failed or refused this request. They are tried again only when no others are left. */
	readonly #excluded = new Set<string>();
	/** Engines that stayed alive although a connection to them broke. */
	readonly #enginesWithBrokenConnection = new Set<string>();
	readonly #team: string;
	#deliveredText = '';
	#tokenCount = 0;
	#lastTokenMs = 0;
	#attempts = 0;
	#isCallerGone = false;
	/** Whether this run has ended its response; the server ends that of an aborted request. */
	#hasEnded = false;
	#cancel: (() => void) | undefined;
	#quarantineLock: QuarantineLock | undefined;
	/** Number of tokens produced when the quarantine lock was acquired. */
	#tokensAtCrash = 0;
	/** Engine that the next attempt uses again, over a new connection. */
	#reconnectServer: string | undefined;
	/** Time to first token that the caller demands, milliseconds. */
	readonly #requestedFirstTokenMs: number | undefined;
	/** Time to first token up to which the request counts as on time, milliseconds. */
	readonly #firstTokenTargetMs: number;
	#usesHandoff = false;
	#isFirstTokenOfAttempt = true;
	/** Engine that holds the KV cache of the prefilled prompt, for the next attempt to import. */
	#importSource: {readonly address: string; readonly port: number; readonly handle: string} | undefined;

	constructor(handler: ModelHandler, exchange: Exchange, request: CompletionRequest) {
		this.#handler = handler;
		this.#exchange = exchange;
		this.#request = request;
		const {clock, dataCentre} = handler.options;
		const options = {
			id: exchange.id, request, createdSeconds: Math.floor(clock.wallMs() / 1000), response: exchange.response,
		};
		this.#writer = request.isStream ? new EventStreamWriter(options) : new JsonWriter(options);
		this.#shape = {
			promptTokens: Math.ceil(request.prompt.length / CHARACTERS_PER_TOKEN),
			outputTokens: request.maxTokens === undefined ? DEFAULT_OUTPUT_TOKENS : Math.ceil(request.maxTokens * EXPECTED_SHARE_OF_MAX_TOKENS),
			dataCentre,
		};
		this.#startedMs = clock.monotonicMs();
		this.#deadlineMs = this.#startedMs + this.#readDeadline();
		const firstTokenMs = Number(readHeader(exchange.request, 'carawayhoist-first-token-ms'));
		this.#requestedFirstTokenMs = firstTokenMs > 0 ? firstTokenMs : undefined;
		const model = handler.options.view.get('model', request.model)?.specification as ModelSpecification | undefined;
		this.#firstTokenTargetMs = this.#requestedFirstTokenMs ?? model?.firstTokenMs ?? DEFAULT_LATENCY_TARGETS.firstTokenMs;
		this.#team = readHeader(exchange.request, 'carawayhoist-team') ?? 'default';
		exchange.response.once('close', () => {
			this.#onCallerGone();
		});
	}

	async serve(): Promise<void> {
		const {journal, clock, metrics} = this.#handler.options;
		const {id} = this.#exchange;
		journal.begin(id, `A request for model ${this.#request.model} with about ${this.#shape.promptTokens} prompt tokens`, clock.wallMs());
		const latestStartMs = Math.min(this.#deadlineMs, this.#startedMs + MAX_ADMISSION_WAIT_MS);
		const refusal = this.#checkPoison() ?? this.#checkModel() ?? await this.#handler.admit(id, this.#request, this.#shape, {team: this.#team, latestStartMs});
		const problem = refusal ?? await this.#runAttempts();
		this.#quarantineLock?.release();
		this.#handler.release(id, this.#request.model);
		const outcome = this.#isCallerGone ? 'cancelled' : (problem ? problem.name : 'done');
		metrics.requests.inc({kind: 'model', outcome});
		journal.end(id, this.#describeOutcome(outcome, problem), clock.wallMs());
		this.#handler.options.onFinished?.({
			startedAt: clock.wallMs() - (clock.monotonicMs() - this.#startedMs),
			model: this.#request.model,
			team: this.#team,
			promptTokens: this.#shape.promptTokens,
			outputTokens: this.#tokenCount,
			outcome,
		});
		if (problem && !this.#isCallerGone) {
			this.#sendError(problem);
		}
	}

	#readDeadline(): number {
		return readDeclaredDeadline(this.#exchange.request) ?? MAX_DEADLINE_MS;
	}

	#checkPoison(): Problem | undefined {
		return this.#classifyRequest() === POISON_STATES.poisoned ? createProblem('poisoned') : undefined;
	}

	#checkModel(): Problem | undefined {
		const {view, pool} = this.#handler.options;
		const isKnownModel = view.get('model', this.#request.model) !== undefined || pool.listModels().includes(this.#request.model);
		return isKnownModel ? undefined : createProblem('notFound', `No model ${this.#request.model}.`);
	}

	#classifyRequest() {
		return classifyRequest(this.#readCrashRecord());
	}

	#readCrashRecord(): CrashRecord {
		return this.#handler.options.directory.findPoison(this.#request.fingerprint) ?? {servers: []};
	}

	async #runAttempts(): Promise<Problem | undefined> {
		const {clock, metrics} = this.#handler.options;
		this.#handler.retryBudget.recordRequest();
		this.#handler.options.pool.recordDemand(this.#request.model, this.#shape);
		let last = createProblem('noServer', undefined, 1);
		while (!this.#isCallerGone && clock.monotonicMs() < this.#deadlineMs) {
			const step = await this.#runAttempt();
			if (step.type === 'done') {
				return undefined;
			}

			if (step.type === 'fail') {
				return step.problem;
			}

			last = createProblem('serverFailed', step.reason, 1);
			metrics.retries.inc({reason: step.reason});
			if (this.#attempts >= MAX_ATTEMPTS) {
				return last;
			}

			await sleep(step.pauseMs);
		}

		return clock.monotonicMs() >= this.#deadlineMs ? createProblem('deadlineExceeded') : last;
	}

	async #runAttempt(): Promise<NextStep> {
		const poisonState = this.#classifyRequest();
		if (poisonState === POISON_STATES.poisoned) {
			return {type: 'fail', problem: createProblem('poisoned')};
		}

		if (poisonState === POISON_STATES.suspect && !this.#quarantineLock) {
			const isLocked = await this.#acquireQuarantineLock();
			return isLocked
				? this.#runAttempt()
				: {
					type: 'retry', sameServer: false, reason: 'quarantine', pauseMs: QUARANTINE_RETRY_PAUSE_MS,
				};
		}

		const choice = this.#chooseEngine();
		const server = choice && this.#handler.options.pool.findServer(choice.server);
		if (!choice || !server) {
			return this.#onNoServer();
		}

		const problem = this.#checkFirstTokenTarget(choice);
		if (problem) {
			return {type: 'fail', problem};
		}

		this.#attempts++;
		this.#logChoice(choice);
		const result = await this.#sendAttempt(server, choice);
		return this.#handleResult(result, server);
	}

	#chooseEngine(): EngineChoice | undefined {
		const {pool, random} = this.#handler.options;
		const {model, prompt} = this.#request;
		const reconnectServer = this.#reconnectServer;
		const candidates = pool.listEngines(model, prompt, this.#excluded);
		const lock = this.#quarantineLock;
		const allowed = lock ? candidates.filter(candidate => candidate.server === lock.server) : candidates;
		const sameEngine = reconnectServer === undefined ? undefined : allowed.find(candidate => candidate.server === reconnectServer);
		if (sameEngine) {
			return chooseEngine(this.#shape, [sameEngine], random);
		}

		return this.#tokenCount === 0 ? this.#place(allowed) : placeContinuation(this.#shape, allowed, random);
	}

	#place(candidates: readonly Candidate[]): EngineChoice | undefined {
		const placement = placeRequest(this.#shape, candidates, this.#handler.options.random);
		this.#usesHandoff = placement?.handsOff ?? false;
		return placement?.first;
	}

	/** Rejects a request whose first token is expected later than the caller demands. */
	#checkFirstTokenTarget(choice: EngineChoice): Problem | undefined {
		if (this.#requestedFirstTokenMs === undefined || this.#tokenCount > 0) {
			return undefined;
		}

		const targets = {...DEFAULT_LATENCY_TARGETS, firstTokenMs: this.#requestedFirstTokenMs - (this.#now() - this.#startedMs)};
		const isOnTime = meetsTargets(choice.cost, targets, this.#handler.selectMargin(this.#shape).share);
		return isOnTime ? undefined : createProblem('noCapacity', 'The first token would come too late.', 1);
	}

	#onNoServer(): NextStep {
		if (this.#quarantineLock) {
			this.#quarantineLock.release();
			this.#quarantineLock = undefined;
		}

		if (this.#excluded.size > 0) {
			this.#excluded.clear();
			return {
				type: 'retry', sameServer: false, reason: 'no-server', pauseMs: RETRY_PAUSE_MS * Math.max(1, this.#attempts),
			};
		}

		return {type: 'fail', problem: createProblem('noServer', undefined, 1)};
	}

	async #acquireQuarantineLock(): Promise<boolean> {
		const {pool, quarantine, random} = this.#handler.options;
		const servers = pool.listEngines(this.#request.model, this.#request.prompt, this.#excluded).map(({server}) => server);
		this.#addStep('An engine crashed while it ran this request; it waits to be tried alone.');
		this.#quarantineLock = await quarantine.tryLock(shuffle(servers, random));
		this.#tokensAtCrash = this.#tokenCount;
		return this.#quarantineLock !== undefined;
	}

	#logChoice(choice: EngineChoice): void {
		const {logger} = this.#handler.options;
		const considered = choice.considered.map(({server, totalMs}) => `${server}:${Math.round(totalMs)}`);
		logger.info(`Sending request to ${choice.server}.`, {
			request: this.#exchange.id, server: choice.server, reason: choice.reason, attempt: this.#attempts, considered,
		});
		this.#addStep(`Attempt ${this.#attempts} goes to engine ${choice.server} (${choice.reason}; ${considered.length} engines compared, expected first token in ${Math.round(choice.cost.firstTokenMs)} ms).`);
	}

	async #sendAttempt(server: Announcement, choice: EngineChoice): Promise<AttemptResult> {
		const {engineClient, pool, clock} = this.#handler.options;
		const id = `${this.#exchange.id}.${this.#attempts}`;
		this.#isFirstTokenOfAttempt = true;
		const resume = this.#tokenCount > 0 ? {resume: {offset: this.#tokenCount, text: this.#deliveredText}} : {};
		const handoff = this.#usesHandoff ? {handoff: true} : {};
		const imported = this.#importSource ? {kv: this.#importSource} : {};
		const cachedTokens = pool.prefixes.countCached(server.server, hashBlocks(this.#request.prompt)) * TOKENS_PER_PREFIX_BLOCK;
		pool.loads.startRequest(server.server, id, {
			prefillTokens: Math.max(0, this.#shape.promptTokens - (this.#importSource ? this.#shape.promptTokens : cachedTokens)),
			outputTokens: this.#shape.outputTokens,
			promptTokens: this.#shape.promptTokens,
		}, clock.monotonicMs());
		const attempt = engineClient.start(server, {
			id,
			path: ENGINE_PATHS[this.#request.api],
			body: {
				...this.#request.body, ...resume, ...handoff, ...imported,
			},
			offset: this.#tokenCount,
			firstEventTimeoutMs: this.#computeFirstEventTimeout(choice),
			eventTimeoutMs: pool.streamGaps.stallTimeoutMs(server.server),
			usesNewConnection: this.#reconnectServer === server.server,
			priority: readHeader(this.#exchange.request, 'carawayhoist-priority') === 'background' ? PRIORITY.background : PRIORITY.interactive,
			onToken: text => {
				this.#onToken(text, server.server, id);
			},
			onBatchEnd: () => {
				this.#flush();
			},
			onLoad: load => {
				this.#recordLoad(server.server, load);
			},
		});
		this.#cancel = () => {
			attempt.cancel();
		};

		if (this.#isCallerGone) {
			attempt.cancel();
		}

		const deadline = setTimeout(() => {
			attempt.cancel();
		}, Math.max(0, this.#deadlineMs - clock.monotonicMs()));
		const result = await attempt.result;
		clearTimeout(deadline);
		this.#cancel = undefined;
		pool.loads.endRequest(server.server, id);
		return result;
	}

	#computeFirstEventTimeout(choice: EngineChoice): number {
		const expected = choice.cost.firstTokenMs * FIRST_EVENT_TIMEOUT_FACTOR;
		return Math.min(MAX_FIRST_EVENT_TIMEOUT_MS, Math.max(MIN_FIRST_EVENT_TIMEOUT_MS, expected));
	}

	#onToken(text: string, server: string, attempt: string): void {
		const {pool, clock, metrics} = this.#handler.options;
		const nowMs = clock.monotonicMs();
		if (this.#isFirstTokenOfAttempt) {
			this.#isFirstTokenOfAttempt = false;
			pool.loads.recordFirstToken(server, attempt);
		}

		if (this.#tokenCount === 0) {
			const firstMs = nowMs - this.#startedMs;
			metrics.firstToken.observe(firstMs / 1000);
			this.#handler.selectMargin(this.#shape).record(firstMs <= this.#firstTokenTargetMs);
		} else {
			metrics.betweenTokens.observe((nowMs - this.#lastTokenMs) / 1000);
			pool.streamGaps.recordGap(server, nowMs - this.#lastTokenMs);
		}

		this.#lastTokenMs = nowMs;
		this.#tokenCount++;
		this.#deliveredText += text;
		if (this.#quarantineLock && this.#tokenCount >= this.#tokensAtCrash + CLEARING_TOKENS) {
			this.#clearSuspicion();
		}

		this.#writer.writeToken(text);
	}

	#flush(): void {
		if (!this.#writer.flush()) {
			this.#addStep('The caller does not read; the request is cancelled.');
			this.#exchange.response.destroy();
		}
	}

	#clearSuspicion(): void {
		const {servers} = this.#readCrashRecord();
		this.#broadcastPoison({servers, acquitted: servers});
		this.#quarantineLock?.release();
		this.#quarantineLock = undefined;
	}

	async #handleResult(result: AttemptResult, server: Announcement): Promise<NextStep> {
		const {pool} = this.#handler.options;
		const usedNewConnection = this.#reconnectServer === server.server;
		this.#reconnectServer = undefined;
		this.#importSource = undefined;
		switch (result.type) {
			case 'complete': {
				if (result.handoff !== undefined) {
					return this.#onHandoff(result.handoff, server);
				}

				this.#onComplete(result, server);
				return {type: 'done'};
			}

			case 'cancelled': {
				return {type: 'fail', problem: createProblem('deadlineExceeded')};
			}

			case 'rejected': {
				return {type: 'fail', problem: createProblem('badRequest', `The engine says: ${result.text}`)};
			}

			case 'refused': {
				this.#addStep(`Engine ${server.server} refused it (${result.status}).`);
				this.#excluded.add(server.server);
				if (result.status === 429 && !this.#handler.retryBudget.tryAcquire()) {
					return {type: 'fail', problem: createProblem('noCapacity', undefined, 1)};
				}

				return {
					type: 'retry', sameServer: false, reason: 'refused', pauseMs: 0,
				};
			}

			case 'silent':
			case 'mismatch': {
				return this.#retryOnNewConnection(server, usedNewConnection, result.type);
			}

			case 'unreachable': {
				pool.health.recordFailure(server.server, this.#now());
				this.#excluded.add(server.server);
				this.#addStep(`Engine ${server.server} could not be reached.`);
				return {
					type: 'retry', sameServer: false, reason: 'unreachable', pauseMs: 0,
				};
			}

			case 'broken': {
				return this.#onBroken(server);
			}
		}
	}

	/** Prepares the next attempt, at an engine that imports the KV cache of the prefilled prompt and decodes. */
	#onHandoff(handle: string, server: Announcement): NextStep {
		this.#usesHandoff = false;
		this.#importSource = {address: server.address, port: server.port, handle};
		this.#handler.options.pool.prefixes.record(server.server, hashBlocks(this.#request.prompt));
		this.#addStep(`Engine ${server.server} has computed the prompt; its KV cache is handed over.`);
		return {
			type: 'retry', sameServer: false, reason: 'handoff', pauseMs: 0,
		};
	}

	#recordLoad(server: string, header: string): void {
		const load = parseLoad(header);
		if (load) {
			this.#handler.options.pool.loads.recordReport(server, load, this.#now());
		}
	}

	/** Retries at the same engine over a new connection, as the old one may be dead while the engine is healthy. If that was tried, excludes the engine. */
	#retryOnNewConnection(server: Announcement, usedNewConnection: boolean, reason: string): NextStep {
		this.#addStep(`Nothing usable came from engine ${server.server} on ${usedNewConnection ? 'a new' : 'an open'} connection (${reason}).`);
		if (usedNewConnection) {
			this.#handler.options.pool.health.recordFailure(server.server, this.#now());
			this.#excluded.add(server.server);
		} else {
			this.#reconnectServer = server.server;
		}

		return {
			type: 'retry', sameServer: !usedNewConnection, reason, pauseMs: 0,
		};
	}

	async #onBroken(server: Announcement): Promise<NextStep> {
		const {pool} = this.#handler.options;
		const isAlive = await probe(server) === PROBE_RESULTS.accepted;
		if (isAlive) {
			this.#addStep(`The connection to engine ${server.server} broke; the engine is alive.`);
			this.#excludeAfterSecondBreak(server);
			void this.#probeAgain(server);
			return {
				type: 'retry', sameServer: true, reason: 'broken', pauseMs: 0,
			};
		}

		this.#addStep(`Engine ${server.server} died while it ran this request.`);
		pool.health.recordFailure(server.server, this.#now());
		this.#excluded.add(server.server);
		this.#quarantineLock?.release();
		this.#quarantineLock = undefined;
		this.#broadcastCrash(server);
		return {
			type: 'retry', sameServer: false, reason: 'died', pauseMs: 0,
		};
	}

	/** Probes an engine again after a delay, and broadcasts a crash if it has died since its connection broke. */
	async #probeAgain(server: Announcement): Promise<void> {
		await sleep(SECOND_PROBE_DELAY_MS);
		const current = this.#handler.options.pool.findServer(server.server) ?? server;
		if (current.incarnation !== server.incarnation || await probe(server) !== PROBE_RESULTS.accepted) {
			this.#addStep(`Engine ${server.server} has died since its connection broke.`);
			this.#broadcastCrash(server);
		}
	}

	#broadcastCrash(server: Announcement): void {
		this.#broadcastPoison({servers: [formatIncarnation(server)]});
	}

	/** Tells every entry host which engines crashed while running this request, and of which crashes it was cleared. */
	#broadcastPoison({servers, acquitted = []}: CrashRecord): void {
		const {broadcast, clock} = this.#handler.options;
		broadcast({
			type: 'poison', fingerprint: this.#request.fingerprint, servers: [...servers], acquitted: [...acquitted], at: clock.wallMs(),
		});
	}

	/** Excludes an engine at its second broken connection. The first one may be a network failure. */
	#excludeAfterSecondBreak(server: Announcement): void {
		if (this.#enginesWithBrokenConnection.has(server.server)) {
			this.#excluded.add(server.server);
			this.#handler.options.pool.health.recordFailure(server.server, this.#now());
		}

		this.#enginesWithBrokenConnection.add(server.server);
	}

	#onComplete(result: Extract<AttemptResult, {type: 'complete'}>, server: Announcement): void {
		const {pool} = this.#handler.options;
		const hashes = hashBlocks(this.#request.prompt);
		pool.health.recordSuccess(server.server);
		if (result.cachedTokens !== undefined) {
			pool.prefixes.recordHits(server.server, pool.prefixes.countSeen(hashes), result.cachedTokens / TOKENS_PER_PREFIX_BLOCK);
		}

		pool.prefixes.record(server.server, hashes);

		if (this.#quarantineLock) {
			this.#clearSuspicion();
		}

		this.#hasEnded = true;
		const promptTokens = result.promptTokens || this.#shape.promptTokens;
		this.#writer.complete(result.finishReason, {
			prompt_tokens: promptTokens, completion_tokens: this.#tokenCount, total_tokens: promptTokens + this.#tokenCount,
		});
	}

	#sendError(problem: Problem): void {
		const {response} = this.#exchange;
		this.#hasEnded = true;
		if (response.writableEnded) {
			return;
		}

		if (!response.headersSent) {
			sendProblem(this.#exchange, problem);
			return;
		}

		this.#writer.flush();
		// The stream has started, so an error event without an end marker tells the caller that it is incomplete.
		response.end(`data: ${JSON.stringify({error: {message: problem.text, type: 'server_error', code: problem.code}})}\n\n`);
	}

	#onCallerGone(): void {
		if (!this.#hasEnded || !this.#exchange.response.writableFinished) {
			this.#isCallerGone = true;
			this.#cancel?.();
			this.#handler.release(this.#exchange.id, this.#request.model);
		}
	}

	#describeOutcome(outcome: string, problem: Problem | undefined): string {
		const durationMs = Math.round(this.#now() - this.#startedMs);
		if (outcome === 'cancelled') {
			return `The caller went away after ${durationMs} ms; the engine was told to stop.`;
		}

		return problem
			? `Refused after ${durationMs} ms with code ${problem.code}: ${problem.text}`
			: `Answered whole after ${durationMs} ms: ${this.#tokenCount} tokens in ${this.#attempts} attempt(s).`;
	}

	#addStep(text: string): void {
		this.#handler.options.journal.addStep(this.#exchange.id, text, this.#handler.options.clock.wallMs());
	}

	#now(): number {
		return this.#handler.options.clock.monotonicMs();
	}
}

function parseLoad(header: string) {
	const [running, waiting, prefillTokens, decodeTokens] = header.split(',').map(Number);
	return running === undefined || waiting === undefined || Number.isNaN(running) || Number.isNaN(waiting)
		? undefined
		: {
			running, waiting, prefillTokens: prefillTokens ?? 0, decodeTokens: decodeTokens ?? 0,
		};
}

/**
 * Returns the deadline that a caller has declared for its request, at most `MAX_DEADLINE_MS`; undefined without one.
 *
 * @example
 * ```ts
 * readDeclaredDeadline(request) ?? MAX_DEADLINE_MS;
 * ```
 */
export function readDeclaredDeadline(request: IncomingMessage): number | undefined {
	const deadlineMs = Number(readHeader(request, 'carawayhoist-deadline-ms'));
	return Number.isFinite(deadlineMs) && deadlineMs > 0 ? Math.min(deadlineMs, MAX_DEADLINE_MS) : undefined;
}
