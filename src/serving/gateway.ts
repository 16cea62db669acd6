/**
 * The HTTP side towards callers: finds a request's route, runs it, and logs how it ended.
 *
 * @module
 */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import * as Either from 'fp-ts/lib/Either.js';
import {createProblem, type Problem} from '../base/problem.js';
import {
	chooseService, ROUTE_KINDS, type CallerLimits, type RouteTable,
} from '../routing/routes.js';
import type {Address} from '../wire/connection.js';
import {Caller, type CallOutcome} from './caller.js';
import {PlainCall} from './plaincall.js';
import type {Call, ServingContext} from './context.js';
import {StreamCall} from './streamcall.js';

export type GatewayOptions = {
	readonly context: ServingContext;
	/** The routes in force; undefined before the first publication. */
	readonly getRouteTable: () => RouteTable | undefined;
};

/** Limits until operators have published theirs. */
const DEFAULT_LIMITS: CallerLimits = {
	headerBytes: 16_384, bodyBytes: 4 * 1024 * 1024, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};
/** Largest head that is parsed at all; what operators allow is checked behind it. */
const PARSER_HEADER_BYTES = 65_536;
const BACKLOG = 1024;
/** Time from a start of all hosts at once until callers are served again: an election and a round of announcements. */
const RECOVERY_MS = 1600;
const LEAST_RETRY_MS = 500;
/** A caller that gives no deadline is not kept longer than its route says. */
const NO_DEADLINE_MS = Number.POSITIVE_INFINITY;

/** The listening server. Whoever started it closes it. */
export class Gateway {
	readonly #options: GatewayOptions;
	readonly #server: http.Server;
	readonly #startedMs: number;
	#active = 0;
	#isStopping = false;

	constructor(options: GatewayOptions) {
		this.#options = options;
		this.#startedMs = options.context.clock.monotonicMs();
		this.#server = http.createServer({maxHeaderSize: PARSER_HEADER_BYTES, noDelay: true}, (request, response) => {
			void this.#serve(request, response);
		});
		this.#server.requestTimeout = 0;
		this.applyLimits(DEFAULT_LIMITS);
		this.#server.on('clientError', (error, socket) => {
			refuseMalformed(error, socket as Socket);
		});
	}

	/** Requests that are being served. */
	get activeCount(): number {
		return this.#active;
	}

	/** Applies limits that concern connections. */
	applyLimits(limits: CallerLimits): void {
		this.#server.headersTimeout = limits.headerTimeoutMs;
		this.#server.keepAliveTimeout = limits.idleTimeoutMs;
	}

	async listen({address, port}: Address): Promise<Either.Either<Problem, void>> {
		return new Promise(resolve => {
			this.#server.once('error', error => {
				resolve(Either.left(createProblem('listenFailed', error.message)));
			});
			this.#server.listen({host: address, port, backlog: BACKLOG}, () => {
				resolve(Either.right(undefined));
			});
		});
	}

	/** From now on every answer ends its connection. */
	startDraining(): void {
		this.#isStopping = true;
	}

	/** Accepts no connection any more and ends idle ones. */
	stopAccepting(): void {
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {context} = this.#options;
		const arrivedMs = context.clock.monotonicMs();
		const caller = new Caller(request, response);
		if (this.#isStopping) {
			response.setHeader('connection', 'close');
		}

		this.#active++;
		context.metrics.active.set(this.#active);
		const served: {call?: Call} = {};
		caller.onEnd(end => {
			this.#active--;
			context.metrics.active.set(this.#active);
			this.#logEnd(caller, served.call, end, arrivedMs);
		});
		const found = await this.#createCall(caller, arrivedMs);
		if (found === undefined || caller.isEnded) {
			return;
		}

		if (Either.isLeft(found)) {
			caller.fail(found.left);
			return;
		}

		served.call = found.right;
		await this.#run(found.right);
	}

	async #run(call: Call): Promise<void> {
		const {context} = this.#options;
		const {caller, route: rule, head, service, routeTable: table} = call;
		context.retryBudget.recordRequest(service, context.clock.monotonicMs());
		const timer = setTimeout(() => {
			caller.fail(createProblem('deadlineExceeded'));
		}, Math.max(0, call.deadlineMs - context.clock.monotonicMs()));
		caller.onEnd(() => {
			clearTimeout(timer);
		});
		const isPlaced = rule.kind === ROUTE_KINDS.stream && head.prompt !== undefined && table.findService(service)?.engines !== undefined;
		try {
			await (isPlaced ? new StreamCall(context, call, head.prompt) : new PlainCall(context, call)).run();
		} catch (error) {
			context.logger.error('An unexpected fault.', {request: head.id, error: String(error), stack: (error as Error).stack});
			caller.fail(createProblem('internal', `Request ${head.id}.`));
		}
	}

	/** Reads what a request asks for; undefined if its caller left meanwhile. */
	async #createCall(caller: Caller, arrivedMs: number): Promise<Either.Either<Problem, Call> | undefined> {
		const {context, getRouteTable} = this.#options;
		const {request} = caller;
		const limits = getRouteTable()?.config.limits ?? DEFAULT_LIMITS;
		if (request.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0) > limits.headerBytes) {
			return Either.left(createProblem('headersInvalid', `${limits.headerBytes} bytes at most.`));
		}

		const head = context.protocol.parseRequest(request);
		if (Either.isLeft(head)) {
			return head;
		}

		const body = await caller.readBody(limits.bodyBytes);
		if (body === undefined || Either.isLeft(body)) {
			return body;
		}

		// Routes may have changed while the body arrived.
		return this.#findRoute(caller, {head: head.right, body: body.right, arrivedMs});
	}

	#findRoute(caller: Caller, parts: Pick<Call, 'head' | 'body' | 'arrivedMs'>): Either.Either<Problem, Call> {
		const routeTable = this.#options.getRouteTable();
		if (!routeTable) {
			return Either.left(createProblem('notPublished', undefined, this.#recoverySeconds()));
		}

		const {request} = caller;
		const route = routeTable.match(request.headers.host ?? '', request.url ?? '/');
		if (!route) {
			return Either.left(createProblem('notFound', `No route for ${request.headers.host ?? ''}${request.url ?? ''}.`));
		}

		const waitMs = Math.min(route.timeoutMs, parts.head.timeoutMs ?? NO_DEADLINE_MS);
		return Either.right({
			...parts,
			caller,
			route,
			routeTable,
			service: chooseService(route, this.#options.context.random),
			deadlineMs: parts.arrivedMs + waitMs,
			logFields: {servers: []},
		});
	}

	/** When to come back to a host that knows no routes: it, or all of them, started a moment ago. */
	#recoverySeconds(): number {
		const upMs = this.#options.context.clock.monotonicMs() - this.#startedMs;
		return Math.ceil(Math.max(LEAST_RETRY_MS, RECOVERY_MS - upMs) / 100) / 10;
	}

	#logEnd(caller: Caller, call: Call | undefined, end: CallOutcome, arrivedMs: number): void {
		const {logger, clock, metrics} = this.#options.context;
		const tookMs = Math.round(clock.monotonicMs() - arrivedMs);
		const route = call?.route.name ?? 'none';
		metrics.requests.inc({route, outcome: end});
		metrics.duration.observe({route}, tookMs);
		if (call?.logFields.firstMs !== undefined) {
			metrics.firstByte.observe({route}, call.logFields.firstMs);
		}

		const {problem, status} = caller;
		logger.info(`Request ${end}.`, {
			request: call?.head.id, route, service: call?.service, version: call?.routeTable.config.version, status, tookMs, ...call?.logFields, code: problem?.code, reason: problem?.text,
		});
	}
}

/** Answers bytes that are not HTTP, or heads that are too long or too slow, and closes only that connection. */
function refuseMalformed(error: Error & {code?: string}, socket: Socket): void {
	if (error.code === 'ECONNRESET' || !socket.writable) {
		socket.destroy();
		return;
	}

	const isSlow = error.code === 'ERR_HTTP_REQUEST_TIMEOUT';
	const isLarge = error.code === 'HPE_HEADER_OVERFLOW';
	const problem = createProblem(isSlow ? 'requestTimeout' : (isLarge ? 'headersInvalid' : 'badRequest'));
	socket.end(`HTTP/1.1 ${problem.status} ${http.STATUS_CODES[problem.status] ?? 'Error'}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
}

