/**
 * HTTP server for callers: finds each request's route, serves it, and logs its outcome.
 *
 * @module
 */
import http, {type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import * as Either from 'fp-ts/lib/Either.js';
import {createProblem, type Problem} from '../base/problem.js';
import {
	chooseService, ROUTE_KINDS, type CallerLimits, type Route, type RouteTable,
} from '../routing/routes.js';
import {CallerConnections} from '../wire/callers.js';
import {digestKey} from '../teams/digest.js';
import type {Team} from '../teams/table.js';
import type {MemoryShare} from '../wire/clientmemory.js';
import type {Address} from '../wire/connection.js';
import {PausableRequest} from '../wire/pausable.js';
import {Caller, type CallOutcome} from './caller.js';
import {PlainCall} from './plaincall.js';
import {createQuarantineProblem, type Call, type ServingContext} from './context.js';
import {fingerprintRequest} from './fingerprint.js';
import {keepAnnouncedTimeout} from './idletimeout.js';
import {StreamCall} from './streamcall.js';

export type GatewayOptions = {
	readonly context: ServingContext;
	/** Returns the current routes; undefined before the first publication. */
	readonly getRouteTable: () => RouteTable | undefined;
	/** Waits until the routes are confirmed, see `ConfigurationConfirmation`. */
	readonly waitForConfirmation?: () => Promise<void>;
};

/** Limits that apply until operators have published theirs. */
const DEFAULT_LIMITS: CallerLimits = {
	headerBytes: 16_384, bodyBytes: 4 * 1024 * 1024, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};
/** Maximum header size of the HTTP parser, which does not count all bytes. The operators' limit is checked after parsing. */
const PARSER_HEADER_BYTES = 65_536;
/** A header line without its name and value: a colon and the line end. The space behind the colon is optional. */
const LINE_BYTES = 3;
/** Shortest time after which a body is refused that is not complete; the longest timeout of a route if that is longer: no route serves it then. */
const MIN_BODY_MS = 60_000;
/** Time after which a client that was refused for others may try again: slow clients are refused after that time. */
const OVERLOAD_RETRY_SECONDS = 1;
const BACKLOG = 1024;
/** Time until callers are served after all hosts have started at once: an election and a round of announcements. */
const RECOVERY_MS = 1600;
const MIN_RETRY_MS = 500;
/** Deadline of a request without one; the timeout of its route still applies. */
const NO_DEADLINE_MS = Number.POSITIVE_INFINITY;

/** The HTTP server for callers. Must be closed by its creator. */
export class Gateway {
	readonly #options: GatewayOptions;
	readonly #server: http.Server;
	readonly #startedMs: number;
	readonly #connections: CallerConnections;
	/** The requests in progress; one without a call has not been received completely. */
	readonly #requests = new Map<Caller, {call?: Call}>();
	/** Monotonic time at which this host began to shut down, milliseconds. */
	#stoppedMs: number | undefined;
	/** Monotonic time at which the requests in progress are aborted, milliseconds; undefined unless this host shuts down. */
	#abortMs: number | undefined;

	constructor(options: GatewayOptions) {
		this.#options = options;
		this.#startedMs = options.context.clock.monotonicMs();
		this.#server = http.createServer({maxHeaderSize: PARSER_HEADER_BYTES, noDelay: true, IncomingMessage: PausableRequest}, (request, response) => {
			const arrivedMs = options.context.clock.monotonicMs();
			let caller: Caller | undefined;
			const share = options.context.clients.admit(request, response, () => {
				caller?.fail(createProblem('overloaded', undefined, OVERLOAD_RETRY_SECONDS));
			});
			// Requests that wait for the one before are refused with their connection.
			if (!share && this.#connections.endAfterResponses(request.socket)) {
				request.socket.pause();
				return;
			}

			this.#connections.accept(request, response, () => {
				keepAnnouncedTimeout(this.#server, request, response);
				caller = new Caller(request, response, options.context.responseMemory);
				void this.#serve(caller, share, arrivedMs);
			});
		});
		options.context.clients.watch(this.#server, options.context.clients.limits.connections);
		this.#connections = new CallerConnections(this.#server);
		this.#server.requestTimeout = 0;
		this.applyLimits(DEFAULT_LIMITS);
		this.#server.on('clientError', (error, socket) => {
			if (!this.#connections.endAfterResponses(socket as Socket)) {
				rejectMalformed(error, socket as Socket);
			}
		});
	}

	/** Number of requests in progress, including those whose response has not been handed to the operating system completely. */
	get activeCount(): number {
		return this.#connections.openCount;
	}

	/** Applies the time limits of connections. */
	applyLimits(limits: CallerLimits): void {
		this.#server.headersTimeout = limits.headerTimeoutMs;
		this.#server.keepAliveTimeout = limits.idleTimeoutMs;
		// The parser drops further lines without an error; a head with more of them exceeds the limit of bytes.
		this.#server.maxHeadersCount = Math.ceil(limits.headerBytes / (LINE_BYTES + 1)) + 1;
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

	/** Ends each connection with the response in progress, or with the next one. */
	startDraining(): void {
		this.#stoppedMs = this.#options.context.clock.monotonicMs();
		this.#connections.startDraining();
	}

	/**
	 * Stops accepting connections and closes idle ones. Requests that still arrive are refused unless they end in time.
	 *
	 * @param abortMs - Monotonic time at which the requests in progress are aborted, milliseconds.
	 */
	stopAccepting(abortMs: number): void {
		this.#abortMs = abortMs;
		this.#server.close();
	}

	/** Ends all requests: with an error response, or by closing the connection if a response has started. */
	abort(): void {
		for (const [caller, {call}] of this.#requests) {
			caller.fail(call ? createProblem('aborted') : createProblem('shuttingDown', undefined, 0));
		}
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #serve(caller: Caller, share: MemoryShare | undefined, arrivedMs: number): Promise<void> {
		const {context} = this.#options;
		const served: {call?: Call} = {};
		this.#requests.set(caller, served);
		context.metrics.active.set(this.#requests.size);
		caller.onEnd(outcome => {
			this.#requests.delete(caller);
			context.metrics.active.set(this.#requests.size);
			this.#logEnd(caller, served.call, outcome, arrivedMs);
		});
		const found = share
			? await this.#createCall(caller, share, arrivedMs)
			: Either.left(createProblem('overloaded', undefined, OVERLOAD_RETRY_SECONDS));
		if (found === undefined || caller.isEnded) {
			return;
		}

		if (Either.isLeft(found)) {
			caller.fail(found.left, found.left.name === 'keyRefused' ? context.protocol.keyChallenge : {});
			return;
		}

		served.call = found.right;
		await this.#run(found.right);
	}

	async #run(call: Call): Promise<void> {
		const {context} = this.#options;
		const {caller, route, head, service, routeTable} = call;
		context.retryBudget.recordRequest(service, context.clock.monotonicMs());
		caller.onEnd(() => {
			context.crashes.endRequest(call.suspect);
		});
		const admission = await context.crashes.admit(call.suspect);
		if (caller.isEnded) {
			context.crashes.endRequest(call.suspect);
			return;
		}

		if (!admission.isAdmitted) {
			caller.fail(createQuarantineProblem(call, admission.retryMs));
			return;
		}

		const timer = setTimeout(() => {
			caller.fail(createProblem('deadlineExceeded'));
		}, Math.max(0, call.deadlineMs - context.clock.monotonicMs()));
		caller.onEnd(() => {
			clearTimeout(timer);
		});
		const isScheduled = route.kind === ROUTE_KINDS.stream && head.prompt !== undefined && routeTable.findService(service)?.engines !== undefined;
		try {
			await (isScheduled ? new StreamCall(context, call, head.prompt) : new PlainCall(context, call)).run();
		} catch (error) {
			context.logger.error('Unexpected error while serving a request.', {request: head.id, error: String(error), stack: (error as Error).stack});
			caller.fail(createProblem('internal', `Request ${head.id}.`));
		}
	}

	/** Parses a request and finds its route; undefined if its caller has disconnected. */
	async #createCall(caller: Caller, share: MemoryShare, arrivedMs: number): Promise<Either.Either<Problem, Call> | undefined> {
		const {context, getRouteTable, waitForConfirmation} = this.#options;
		const {request} = caller;
		const config = getRouteTable()?.config;
		const limits = config?.limits ?? DEFAULT_LIMITS;
		if (countHeadBytes(request.rawHeaders) > limits.headerBytes) {
			return Either.left(createProblem('headersInvalid', `${limits.headerBytes} bytes at most.`));
		}

		const head = context.protocol.parseRequest(request);
		if (Either.isLeft(head)) {
			return head;
		}

		const body = await context.clients.readBody(request, {
			maxBytes: limits.bodyBytes,
			stallMs: limits.idleTimeoutMs,
			maxMs: Math.max(MIN_BODY_MS, ...config?.routes.map(({timeoutMs}) => timeoutMs) ?? []),
			share,
			onEnd(handler) {
				caller.onEnd(handler);
			},
		});
		share.isArriving = false;
		if (body === undefined || Either.isLeft(body)) {
			return body;
		}

		if (getRouteTable()?.teams) {
			await waitForConfirmation?.();
		}

		// The route is looked up last because the routes may have changed while the body arrived.
		return this.#findRoute(caller, {head: head.right, body: body.right, arrivedMs});
	}

	#findRoute(caller: Caller, received: Pick<Call, 'head' | 'body' | 'arrivedMs'>): Either.Either<Problem, Call> {
		const routeTable = this.#options.getRouteTable();
		if (!routeTable) {
			return Either.left(createProblem('notPublished', undefined, this.#estimateRecoverySeconds()));
		}

		const {request} = caller;
		const route = routeTable.match(request.headers.host ?? '', request.url ?? '/');
		if (!route) {
			return Either.left(createProblem('notFound', `No route for ${request.headers.host ?? ''}${request.url ?? ''}.`));
		}

		const team = this.#findTeam(request, route, routeTable);
		if (Either.isLeft(team)) {
			return team;
		}

		const deadlineMs = received.arrivedMs + Math.min(route.timeoutMs, received.head.timeoutMs ?? NO_DEADLINE_MS);
		if (this.#abortMs !== undefined && deadlineMs > this.#abortMs) {
			return Either.left(createProblem('shuttingDown', undefined, 0));
		}

		if (deadlineMs <= this.#options.context.clock.monotonicMs()) {
			return Either.left(createProblem('tooLate', 'The requests before it on its connection took too long.', 0));
		}

		let fingerprint: string | undefined;
		return Either.right({
			...received,
			caller,
			route,
			routeTable,
			team: team.right?.name,
			priority: team.right?.priority ?? route.priority,
			service: chooseService(route, this.#options.context.random),
			deadlineMs,
			suspect: {
				id: received.head.id,
				getFingerprint() {
					fingerprint ??= fingerprintRequest({
						method: request.method ?? 'GET', host: request.headers.host ?? '', target: request.url ?? '/', body: received.body,
					});
					return fingerprint;
				},
				sharedParts: received.head.sharedParts,
			},
			logFields: {servers: [], resumes: received.head.resumedAttempt},
		});
	}

	/** Finds the team that holds a request's key; undefined if the request needs none and no team holds its key. */
	#findTeam(request: IncomingMessage, route: Route, {teams}: RouteTable): Either.Either<Problem, Team | undefined> {
		if (!teams) {
			return Either.right(undefined);
		}

		const {protocol, metrics} = this.#options.context;
		const key = protocol.parseKey(request);
		const result = teams.check(key && digestKey(key), route.isPublic);
		if (result.type === 'refused') {
			metrics.teams.recordRefusal(result.reason);
			return Either.left(createProblem('keyRefused', `Route ${route.name}, key ${result.reason}.`));
		}

		return Either.right(result.type === 'team' ? result.team : undefined);
	}

	/** Estimates when a host without routes will have them: it, or all hosts, started a moment ago. */
	#estimateRecoverySeconds(): number {
		const upMs = this.#options.context.clock.monotonicMs() - this.#startedMs;
		return Math.ceil(Math.max(MIN_RETRY_MS, RECOVERY_MS - upMs) / 100) / 10;
	}

	#logEnd(caller: Caller, call: Call | undefined, outcome: CallOutcome, arrivedMs: number): void {
		const {logger, clock, metrics} = this.#options.context;
		const durationMs = Math.round(clock.monotonicMs() - arrivedMs);
		const route = call?.route.name ?? 'none';
		metrics.requests.inc({route, outcome});
		metrics.duration.observe({route}, durationMs);
		if (call?.routeTable.teams) {
			metrics.teams.recordRequest(call.team, outcome);
		}

		if (call?.logFields.firstMs !== undefined) {
			metrics.firstByte.observe({route}, call.logFields.firstMs);
		}

		const {problem, status} = caller;
		const arrivedAfterStopMs = this.#stoppedMs === undefined ? undefined : Math.round(arrivedMs - this.#stoppedMs);
		logger.info(`Request ${outcome}.`, {
			request: call?.head.id, route, service: call?.service, team: call?.team, version: call?.routeTable.config.version, status, tookMs: durationMs, arrivedAfterStopMs, ...call?.logFields, code: problem?.code, reason: problem?.text,
		});
	}
}

/** Counts the least bytes that header lines may have had on the wire, so that a head within the limit is not refused. */
function countHeadBytes(rawHeaders: readonly string[]): number {
	return rawHeaders.reduce((sum, text) => sum + text.length, 0) + (rawHeaders.length / 2 * LINE_BYTES);
}

/** Responds to malformed HTTP and to headers that are too large or too slow, and closes the connection. */
function rejectMalformed(error: Error & {code?: string}, socket: Socket): void {
	if (error.code === 'ECONNRESET' || !socket.writable) {
		socket.destroy();
		return;
	}

	const isSlow = error.code === 'ERR_HTTP_REQUEST_TIMEOUT';
	const isLarge = error.code === 'HPE_HEADER_OVERFLOW';
	const problem = createProblem(isSlow ? 'requestTimeout' : (isLarge ? 'headersInvalid' : 'badRequest'));
	socket.end(`HTTP/1.1 ${problem.status} ${http.STATUS_CODES[problem.status] ?? 'Error'}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
}

