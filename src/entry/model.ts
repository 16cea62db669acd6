/**
 * Serves completions: admission, choice of an engine, attempts, resuming, and the final answer.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import net from 'node:net';
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
	/** Tells every entry host at once. */
	readonly broadcast: (fact: Fact) => void;
	/** Called for each finished request, for the capture of traces. */
	readonly onFinished?: (record: FinishedRequest) => void;
};

/** Sizes and times of a finished request. */
export type FinishedRequest = {
	readonly startedAt: number;
	readonly model: string;
	readonly team: string;
	readonly promptTokens: number;
	readonly outputTokens: number;
	readonly outcome: string;
};

const DEFAULT_DEADLINE_MS = 120_000;
const DEFAULT_START_WITHIN_MS = 10_000;
const LONGEST_FIRST_EVENT_MS = 30_000;
const SHORTEST_FIRST_EVENT_MS = 3000;
const FIRST_EVENT_FACTOR = 6;
const MAX_ATTEMPTS = 12;
const RETRY_PAUSE_MS = 50;
const QUARANTINE_PAUSE_MS = 60;
/** Tokens beyond the point of the crash after which a suspect counts as innocent. */
const CLEARING_TOKENS = 4;
const DEFAULT_OUTPUT_TOKENS = 200;
const LIKELY_SHARE_OF_LIMIT = 0.6;
const PROBE_TIMEOUT_MS = 400;
/** A dying process may accept a connection for some milliseconds more; one that keeps it open this long is alive. */
const PROBE_HOLD_MS = 100;
/** When an engine whose connection broke is looked at once more: a crash may show late, or as a new start. */
const SECOND_LOOK_MS = 500;
const PUMP_MS = 250;
const PRIORITY = {interactive: 1, background: 0} as const;
const ENGINE_PATHS = {chat: '/v1/chat/completions', text: '/v1/completions'} as const;

/** Serves the requests for models of one entry host. Whoever created it closes it. */
export class ModelHandler {
	readonly #options: ModelHandlerOptions;
	readonly #budget = new RetryBudget();
	/** Margins of work that is mostly prompt and of other work. */
	readonly #margins = {prefill: new AdmissionMargin(), decode: new AdmissionMargin()};
	readonly #admissions = new Map<string, AdmissionController>();
	readonly #waiting = new Map<string, (event: AdmissionEvent) => void>();
	readonly #timer: NodeJS.Timeout;

	constructor(options: ModelHandlerOptions) {
		this.#options = options;
		this.#timer = setInterval(() => {
			this.#pumpAll();
		}, PUMP_MS);
	}

	get options(): ModelHandlerOptions {
		return this.#options;
	}

	selectMargin(shape: RequestShape): AdmissionMargin {
		return isPrefillWork(shape) ? this.#margins.prefill : this.#margins.decode;
	}

	get retryBudget(): RetryBudget {
		return this.#budget;
	}

	/** Serves one request to its end. */
	async handle(api: Api, exchange: Exchange, body: Buffer): Promise<void> {
		const request = Either.flatMap((parsed: Record<string, unknown>) => parseCompletionRequest(api, parsed))(parseJson(body));
		if (Either.isLeft(request)) {
			sendProblem(exchange, request.left);
			return;
		}

		const run = new ModelRun(this, exchange, request.right);
		await run.serve();
	}

	/** Waits for admission; the problem says why it was refused. */
	async admit(id: string, request: CompletionRequest, shape: RequestShape, limits: {team: string; startByMs: number}): Promise<Problem | undefined> {
		const {view, pool, clock} = this.#options;
		const team = view.get('team', limits.team)?.specification as TeamSpecification | undefined;
		const offer = {
			id,
			team: limits.team,
			weight: team?.weight ?? 1,
			tokens: shape.promptTokens + shape.outputTokens,
			teamTokenLimit: team?.tokensInFlight ?? Number.POSITIVE_INFINITY,
			latestStartMs: limits.startByMs,
		};
		const event = await new Promise<AdmissionEvent>(resolve => {
			this.#waiting.set(id, resolve);
			const admission = this.#admissionOf(request.model);
			this.#dispatch(admission.submit(offer, pool.computeCapacityTokens(request.model), clock.monotonicMs()));
		});
		if (event.type === 'start') {
			return undefined;
		}

		return createProblem(event.reason === 'team' ? 'teamLimit' : 'noCapacity', undefined, event.retryAfterSeconds);
	}

	/** Ends a request's share of the admission. */
	release(id: string, model: string): void {
		const {pool, clock} = this.#options;
		this.#dispatch([{
			type: 'refuse', id, reason: 'capacity', retryAfterSeconds: 1,
		}]);
		this.#dispatch(this.#admissionOf(model).complete(id, pool.computeCapacityTokens(model), clock.monotonicMs()));
	}

	close(): void {
		clearInterval(this.#timer);
	}

	#pumpAll(): void {
		let waiting = 0;
		let running = 0;
		for (const [model, admission] of this.#admissions) {
			this.#dispatch(admission.dispatch(this.#options.pool.computeCapacityTokens(model), this.#options.clock.monotonicMs()));
			waiting += admission.waitingCount;
			running += admission.runningCount;
		}

		this.#options.metrics.waiting.set(waiting);
		this.#options.metrics.running.set(running);
	}

	#dispatch(events: readonly AdmissionEvent[]): void {
		for (const event of events) {
			const settle = this.#waiting.get(event.id);
			this.#waiting.delete(event.id);
			settle?.(event);
		}
	}

	#admissionOf(model: string): AdmissionController {
		let admission = this.#admissions.get(model);
		if (!admission) {
			admission = new AdmissionController();
			this.#admissions.set(model, admission);
		}

		return admission;
	}
}

/** What an attempt's end means for the next one. */
type NextStep
	= | {readonly type: 'done'}
		| {readonly type: 'fail'; readonly problem: Problem}
		| {readonly type: 'again'; readonly sameServer: boolean; readonly reason: string; readonly pauseMs: number};

/** One request on its way through attempts. */
class ModelRun {
	readonly #handler: ModelHandler;
	readonly #exchange: Exchange;
	readonly #request: CompletionRequest;
	readonly #writer: ResponseWriter;
	readonly #shape: RequestShape;
	readonly #startedMs: number;
	readonly #deadlineMs: number;
	readonly #excluded = new Set<string>();
	/** Engines whose connection broke while they stayed alive. */
	readonly #brokenAt = new Set<string>();
	readonly #team: string;
	#delivered = '';
	#tokens = 0;
	#lastTokenMs = 0;
	#attempts = 0;
	#isGone = false;
	#cancel: (() => void) | undefined;
	#quarantineLock: QuarantineLock | undefined;
	#crashTokens = 0;
	#fresh: string | undefined;
	/** Target to the first token that the caller set, milliseconds. */
	readonly #firstTokenMs: number | undefined;
	/** Time to the first token that counts as on time, milliseconds. */
	readonly #targetMs: number;
	#handsOff = false;
	#isFirstOfAttempt = true;
	#import: {readonly address: string; readonly port: number; readonly handle: string} | undefined;

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
			outputTokens: request.maxTokens === undefined ? DEFAULT_OUTPUT_TOKENS : Math.ceil(request.maxTokens * LIKELY_SHARE_OF_LIMIT),
			dataCentre,
		};
		this.#startedMs = clock.monotonicMs();
		this.#deadlineMs = this.#startedMs + this.#readDeadline();
		const firstTokenMs = Number(readHeader(exchange.request, 'carawayhoist-first-token-ms'));
		this.#firstTokenMs = firstTokenMs > 0 ? firstTokenMs : undefined;
		const model = handler.options.view.get('model', request.model)?.specification as ModelSpecification | undefined;
		this.#targetMs = this.#firstTokenMs ?? model?.firstTokenMs ?? DEFAULT_LATENCY_TARGETS.firstTokenMs;
		this.#team = readHeader(exchange.request, 'carawayhoist-team') ?? 'default';
		exchange.response.once('close', () => {
			this.#onCallerGone();
		});
	}

	async serve(): Promise<void> {
		const {journal, clock, metrics} = this.#handler.options;
		const {id} = this.#exchange;
		journal.begin(id, `A request for model ${this.#request.model} with about ${this.#shape.promptTokens} prompt tokens`, clock.wallMs());
		const startByMs = Math.min(this.#deadlineMs, this.#startedMs + DEFAULT_START_WITHIN_MS);
		const refusal = this.#judgePoison() ?? this.#judgeModel() ?? await this.#handler.admit(id, this.#request, this.#shape, {team: this.#team, startByMs});
		const problem = refusal ?? await this.#runAttempts();
		this.#quarantineLock?.release();
		this.#handler.release(id, this.#request.model);
		const outcome = this.#isGone ? 'cancelled' : (problem ? problem.name : 'done');
		metrics.requests.inc({kind: 'model', outcome});
		journal.end(id, this.#describeEnd(outcome, problem), clock.wallMs());
		this.#handler.options.onFinished?.({
			startedAt: clock.wallMs() - (clock.monotonicMs() - this.#startedMs),
			model: this.#request.model,
			team: this.#team,
			promptTokens: this.#shape.promptTokens,
			outputTokens: this.#tokens,
			outcome,
		});
		if (problem && !this.#isGone) {
			this.#refuse(problem);
		}
	}

	#readDeadline(): number {
		const header = Number(readHeader(this.#exchange.request, 'carawayhoist-deadline-ms'));
		return Number.isFinite(header) && header > 0 ? Math.min(header, DEFAULT_DEADLINE_MS) : DEFAULT_DEADLINE_MS;
	}

	#judgePoison(): Problem | undefined {
		return this.#verdict() === POISON_STATES.poisoned ? createProblem('poisoned') : undefined;
	}

	#judgeModel(): Problem | undefined {
		const {view, pool} = this.#handler.options;
		const isKnown = view.get('model', this.#request.model) !== undefined || pool.listModels().includes(this.#request.model);
		return isKnown ? undefined : createProblem('notFound', `No model ${this.#request.model}.`);
	}

	#verdict() {
		return classifyRequest(this.#listCrashes());
	}

	#listCrashes(): CrashRecord {
		return this.#handler.options.directory.findPoison(this.#request.fingerprint) ?? {servers: []};
	}

	async #runAttempts(): Promise<Problem | undefined> {
		const {clock, metrics} = this.#handler.options;
		this.#handler.retryBudget.recordRequest();
		this.#handler.options.pool.recordDemand(this.#request.model, this.#shape);
		let last = createProblem('noServer', undefined, 1);
		while (!this.#isGone && clock.monotonicMs() < this.#deadlineMs) {
			const step = await this.#runOne();
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

	async #runOne(): Promise<NextStep> {
		const verdict = this.#verdict();
		if (verdict === POISON_STATES.poisoned) {
			return {type: 'fail', problem: createProblem('poisoned')};
		}

		if (verdict === POISON_STATES.suspect && !this.#quarantineLock) {
			const isHeld = await this.#acquireQuarantineLock();
			return isHeld
				? this.#runOne()
				: {
					type: 'again', sameServer: false, reason: 'quarantine', pauseMs: QUARANTINE_PAUSE_MS,
				};
		}

		const decision = this.#choose();
		const server = decision && this.#handler.options.pool.findServer(decision.server);
		if (!decision || !server) {
			return this.#onNoServer();
		}

		const problem = this.#judgePromise(decision);
		if (problem) {
			return {type: 'fail', problem};
		}

		this.#attempts++;
		this.#logDecision(decision);
		const result = await this.#attempt(server, decision);
		return this.#judgeEnd(result, server);
	}

	#choose(): EngineChoice | undefined {
		const {pool, random} = this.#handler.options;
		const {model, prompt} = this.#request;
		const fresh = this.#fresh;
		const candidates = pool.listEngines(model, prompt, this.#excluded);
		const lock = this.#quarantineLock;
		const wanted = lock ? candidates.filter(candidate => candidate.server === lock.server) : candidates;
		const repeated = fresh === undefined ? undefined : wanted.find(candidate => candidate.server === fresh);
		if (repeated) {
			return chooseEngine(this.#shape, [repeated], random);
		}

		return this.#tokens === 0 ? this.#place(wanted) : placeContinuation(this.#shape, wanted, random);
	}

	#place(candidates: readonly Candidate[]): EngineChoice | undefined {
		const placement = placeRequest(this.#shape, candidates, this.#handler.options.random);
		this.#handsOff = placement?.handsOff ?? false;
		return placement?.first;
	}

	/** Work that will surely come late is refused at once, if the caller has said what late is. */
	#judgePromise(decision: EngineChoice): Problem | undefined {
		if (this.#firstTokenMs === undefined || this.#tokens > 0) {
			return undefined;
		}

		const targets = {...DEFAULT_LATENCY_TARGETS, firstTokenMs: this.#firstTokenMs - (this.#now() - this.#startedMs)};
		const isPromised = meetsTargets(decision.cost, targets, this.#handler.selectMargin(this.#shape).share);
		return isPromised ? undefined : createProblem('noCapacity', 'The first token would come too late.', 1);
	}

	#onNoServer(): NextStep {
		if (this.#quarantineLock) {
			this.#quarantineLock.release();
			this.#quarantineLock = undefined;
		}

		if (this.#excluded.size > 0) {
			this.#excluded.clear();
			return {
				type: 'again', sameServer: false, reason: 'no-server', pauseMs: RETRY_PAUSE_MS * Math.max(1, this.#attempts),
			};
		}

		return {type: 'fail', problem: createProblem('noServer', undefined, 1)};
	}

	async #acquireQuarantineLock(): Promise<boolean> {
		const {pool, quarantine, random} = this.#handler.options;
		const servers = pool.listEngines(this.#request.model, this.#request.prompt, this.#excluded).map(({server}) => server);
		this.#note('An engine crashed while it ran this request; it waits to be tried alone.');
		this.#quarantineLock = await quarantine.tryLock(shuffle(servers, random));
		this.#crashTokens = this.#tokens;
		return this.#quarantineLock !== undefined;
	}

	#logDecision(decision: EngineChoice): void {
		const {logger} = this.#handler.options;
		const considered = decision.considered.map(({server, totalMs}) => `${server}:${Math.round(totalMs)}`);
		logger.info(`Sends request to ${decision.server}.`, {
			request: this.#exchange.id, server: decision.server, reason: decision.reason, attempt: this.#attempts, considered,
		});
		this.#note(`Attempt ${this.#attempts} goes to engine ${decision.server} (${decision.reason}; ${considered.length} engines compared, expected first token in ${Math.round(decision.cost.firstTokenMs)} ms).`);
	}

	async #attempt(server: Announcement, decision: EngineChoice): Promise<AttemptResult> {
		const {engineClient, pool, clock} = this.#handler.options;
		const id = `${this.#exchange.id}.${this.#attempts}`;
		this.#isFirstOfAttempt = true;
		const resume = this.#tokens > 0 ? {resume: {offset: this.#tokens, text: this.#delivered}} : {};
		const handoff = this.#handsOff ? {handoff: true} : {};
		const imported = this.#import ? {kv: this.#import} : {};
		const cachedTokens = pool.prefixes.countCached(server.server, hashBlocks(this.#request.prompt)) * TOKENS_PER_PREFIX_BLOCK;
		pool.loads.startRequest(server.server, id, {
			prefillTokens: Math.max(0, this.#shape.promptTokens - (this.#import ? this.#shape.promptTokens : cachedTokens)),
			outputTokens: this.#shape.outputTokens,
			promptTokens: this.#shape.promptTokens,
		}, clock.monotonicMs());
		const attempt = engineClient.start(server, {
			id,
			path: ENGINE_PATHS[this.#request.api],
			body: {
				...this.#request.body, ...resume, ...handoff, ...imported,
			},
			offset: this.#tokens,
			firstEventTimeoutMs: this.#firstEventLimit(decision),
			eventTimeoutMs: pool.progress.stallTimeoutMs(server.server),
			usesNewConnection: this.#fresh === server.server,
			priority: readHeader(this.#exchange.request, 'carawayhoist-priority') === 'background' ? PRIORITY.background : PRIORITY.interactive,
			onToken: text => {
				this.#onToken(text, server.server, id);
			},
			onBatchEnd: () => {
				this.#flush();
			},
			onLoad: load => {
				this.#noteLoad(server.server, load);
			},
		});
		this.#cancel = () => {
			attempt.cancel();
		};

		if (this.#isGone) {
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

	#firstEventLimit(decision: EngineChoice): number {
		const expected = decision.cost.firstTokenMs * FIRST_EVENT_FACTOR;
		return Math.min(LONGEST_FIRST_EVENT_MS, Math.max(SHORTEST_FIRST_EVENT_MS, expected));
	}

	#onToken(text: string, server: string, attempt: string): void {
		const {pool, clock, metrics} = this.#handler.options;
		const nowMs = clock.monotonicMs();
		if (this.#isFirstOfAttempt) {
			this.#isFirstOfAttempt = false;
			pool.loads.recordFirstToken(server, attempt);
		}

		if (this.#tokens === 0) {
			const firstMs = nowMs - this.#startedMs;
			metrics.firstToken.observe(firstMs / 1000);
			this.#handler.selectMargin(this.#shape).record(firstMs <= this.#targetMs);
		} else {
			metrics.betweenTokens.observe((nowMs - this.#lastTokenMs) / 1000);
			pool.progress.recordGap(server, nowMs - this.#lastTokenMs);
		}

		this.#lastTokenMs = nowMs;
		this.#tokens++;
		this.#delivered += text;
		if (this.#quarantineLock && this.#tokens >= this.#crashTokens + CLEARING_TOKENS) {
			this.#clearSuspicion();
		}

		this.#writer.writeToken(text);
	}

	#flush(): void {
		if (!this.#writer.flush()) {
			this.#note('The caller does not read; the request is cancelled.');
			this.#exchange.response.destroy();
		}
	}

	#clearSuspicion(): void {
		const {servers} = this.#listCrashes();
		this.#publishPoison({servers, acquitted: servers});
		this.#quarantineLock?.release();
		this.#quarantineLock = undefined;
	}

	async #judgeEnd(result: AttemptResult, server: Announcement): Promise<NextStep> {
		const {pool} = this.#handler.options;
		const wasFresh = this.#fresh === server.server;
		this.#fresh = undefined;
		this.#import = undefined;
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
				this.#note(`Engine ${server.server} refused it (${result.status}).`);
				this.#excluded.add(server.server);
				if (result.status === 429 && !this.#handler.retryBudget.tryAcquire()) {
					return {type: 'fail', problem: createProblem('noCapacity', undefined, 1)};
				}

				return {
					type: 'again', sameServer: false, reason: 'refused', pauseMs: 0,
				};
			}

			case 'silent':
			case 'mismatch': {
				return this.#onSilent(server, wasFresh, result.type);
			}

			case 'unreachable': {
				pool.health.recordFailure(server.server, this.#now());
				this.#excluded.add(server.server);
				this.#note(`Engine ${server.server} could not be reached.`);
				return {
					type: 'again', sameServer: false, reason: 'unreachable', pauseMs: 0,
				};
			}

			case 'broken': {
				return this.#onBroken(server);
			}
		}
	}

	/** The prompt is computed; another engine takes its KV cache and goes on. */
	#onHandoff(handle: string, server: Announcement): NextStep {
		this.#handsOff = false;
		this.#import = {address: server.address, port: server.port, handle};
		this.#handler.options.pool.prefixes.record(server.server, hashBlocks(this.#request.prompt));
		this.#note(`Engine ${server.server} has computed the prompt; its KV cache is handed over.`);
		return {
			type: 'again', sameServer: false, reason: 'handoff', pauseMs: 0,
		};
	}

	#noteLoad(server: string, header: string): void {
		const load = parseLoad(header);
		if (load) {
			this.#handler.options.pool.loads.recordReport(server, load, this.#now());
		}
	}

	/** A connection may have gone silent while the server is well: a new one to the same server goes first. */
	#onSilent(server: Announcement, wasFresh: boolean, reason: string): NextStep {
		this.#note(`Nothing usable came from engine ${server.server} on ${wasFresh ? 'a new' : 'an open'} connection (${reason}).`);
		if (wasFresh) {
			this.#handler.options.pool.health.recordFailure(server.server, this.#now());
			this.#excluded.add(server.server);
		} else {
			this.#fresh = server.server;
		}

		return {
			type: 'again', sameServer: !wasFresh, reason, pauseMs: 0,
		};
	}

	async #onBroken(server: Announcement): Promise<NextStep> {
		const {pool} = this.#handler.options;
		const isAlive = await probe(server);
		if (isAlive) {
			this.#note(`The connection to engine ${server.server} broke; the engine is alive.`);
			this.#blameRepeatedBreaks(server);
			void this.#lookAgain(server);
			return {
				type: 'again', sameServer: true, reason: 'broken', pauseMs: 0,
			};
		}

		this.#note(`Engine ${server.server} died while it ran this request.`);
		pool.health.recordFailure(server.server, this.#now());
		this.#excluded.add(server.server);
		this.#quarantineLock?.release();
		this.#quarantineLock = undefined;
		this.#publishCrash(server);
		return {
			type: 'again', sameServer: false, reason: 'died', pauseMs: 0,
		};
	}

	/** A second look at an engine that seemed to be alive after its connection broke. */
	async #lookAgain(server: Announcement): Promise<void> {
		await sleep(SECOND_LOOK_MS);
		const current = this.#handler.options.pool.findServer(server.server) ?? server;
		if (current.incarnation !== server.incarnation || !(await probe(server))) {
			this.#note(`Engine ${server.server} has died since its connection broke.`);
			this.#publishCrash(server);
		}
	}

	#publishCrash({server, incarnation}: Announcement): void {
		this.#publishPoison({servers: [`${server}#${incarnation}`]});
	}

	/** Tells every entry host what is known of the servers that died while they ran this request. */
	#publishPoison({servers, acquitted = []}: CrashRecord): void {
		const {broadcast, clock} = this.#handler.options;
		broadcast({
			type: 'poison', fingerprint: this.#request.fingerprint, servers: [...servers], acquitted: [...acquitted], at: clock.wallMs(),
		});
	}

	/** One broken connection may be the network's fault; a second one at the same engine is held against it. */
	#blameRepeatedBreaks(server: Announcement): void {
		if (this.#brokenAt.has(server.server)) {
			this.#excluded.add(server.server);
			this.#handler.options.pool.health.recordFailure(server.server, this.#now());
		}

		this.#brokenAt.add(server.server);
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

		const promptTokens = result.promptTokens || this.#shape.promptTokens;
		this.#writer.complete(result.finishReason, {
			prompt_tokens: promptTokens, completion_tokens: this.#tokens, total_tokens: promptTokens + this.#tokens,
		});
	}

	#refuse(problem: Problem): void {
		const {response} = this.#exchange;
		if (!response.headersSent) {
			sendProblem(this.#exchange, problem);
			return;
		}

		this.#writer.flush();
		// The stream has begun: an error event, and no end marker, tell that the answer is not whole.
		response.end(`data: ${JSON.stringify({error: {message: problem.text, type: 'server_error', code: problem.code}})}\n\n`);
	}

	#onCallerGone(): void {
		if (!this.#exchange.response.writableFinished) {
			this.#isGone = true;
			this.#cancel?.();
			this.#handler.release(this.#exchange.id, this.#request.model);
		}
	}

	#describeEnd(outcome: string, problem: Problem | undefined): string {
		const durationMs = Math.round(this.#now() - this.#startedMs);
		if (outcome === 'cancelled') {
			return `The caller went away after ${durationMs} ms; the engine was told to stop.`;
		}

		return problem
			? `Refused after ${durationMs} ms with code ${problem.code}: ${problem.text}`
			: `Answered whole after ${durationMs} ms: ${this.#tokens} tokens in ${this.#attempts} attempt(s).`;
	}

	#note(text: string): void {
		this.#handler.options.journal.addStep(this.#exchange.id, text, this.#handler.options.clock.wallMs());
	}

	#now(): number {
		return this.#handler.options.clock.monotonicMs();
	}
}

/** Tells whether a server accepts a connection and keeps it. */
async function probe(server: Announcement): Promise<boolean> {
	return new Promise(resolve => {
		const socket = net.connect({host: server.address, port: server.port});
		const timer = setTimeout(() => {
			finish(false);
		}, PROBE_TIMEOUT_MS);
		const finish = (isAlive: boolean) => {
			clearTimeout(timer);
			socket.destroy();
			resolve(isAlive);
		};

		socket.once('connect', () => {
			setTimeout(() => {
				finish(true);
			}, PROBE_HOLD_MS);
		});
		socket.once('close', () => {
			finish(false);
		});
		socket.once('error', () => {
			finish(false);
		});
		// Data flows only so that the end of the connection is seen.
		socket.resume();
	});
}

function parseLoad(header: string) {
	const [running, waiting, prefillTokens, decodeTokens] = header.split(',').map(Number);
	return running === undefined || waiting === undefined || Number.isNaN(running) || Number.isNaN(waiting)
		? undefined
		: {
			running, waiting, prefillTokens: prefillTokens ?? 0, decodeTokens: decodeTokens ?? 0,
		};
}
