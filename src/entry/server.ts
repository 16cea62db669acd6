/**
 * The HTTP server of an entry host, for callers, backend servers' announcements, operators, and health checks and
 * metrics of the platform.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import https from 'node:https';
import type {AddressInfo, Socket} from 'node:net';
import * as Either from 'fp-ts/lib/Either.js';
import type {Clock} from '../base/clock.js';
import type {Logger} from '../base/logger.js';
import {createProblem, type Problem} from '../base/problem.js';
import {formatValidationErrors, validate} from '../base/validate.js';
import type {Announcement, Endpoint} from '../generated/types.js';
import {CallerConnections} from '../wire/callers.js';
import {
	createErrorBody, parseJson, readBody, readHeader, sendJson, sendProblem, type BodyLimits, type Exchange,
} from './exchange.js';
import type {ServerPool} from './pool.js';
import type {Metrics} from './metrics.js';
import {readDeclaredDeadline, type ModelHandler} from './model.js';
import {OPERATOR_PATH_PREFIX, type OperatorHandler} from './operator.js';
import type {ServiceHandler} from './service.js';

export type EntryServerOptions = {
	readonly host: string;
	readonly boot: string;
	readonly limits: BodyLimits & {readonly headerBytes: number};
	readonly tls?: {readonly cert: Buffer; readonly key: Buffer};
	readonly operatorKeys?: readonly string[];
	readonly callerKeys?: readonly string[];
	readonly models: ModelHandler;
	readonly services: ServiceHandler;
	readonly operators: OperatorHandler;
	readonly pool: ServerPool;
	readonly metrics: Metrics;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly isReady: () => boolean;
	readonly onAnnouncement: (announcement: Announcement) => void;
};

const KEEP_ALIVE_MS = 65_000;
/** A request without a deadline that arrives at a host that stops is refused if less time is left, in milliseconds. */
const MIN_SERVING_MS = 1000;
const ANNOUNCE_PATH = '/backends/announce';

/** The HTTP server of an entry host. Its creator must close it. */
export class EntryServer {
	readonly #options: EntryServerOptions;
	readonly #server: http.Server;
	readonly #connections: CallerConnections;
	#nextRequestNumber = 1;
	#isStopping = false;
	/** The requests in progress, and whether they have been received completely. */
	readonly #requests = new Map<Exchange, {isReceived: boolean}>();
	/** Monotonic time at which the requests in progress are aborted, milliseconds; undefined while connections are accepted. */
	#abortMs: number | undefined;

	constructor(options: EntryServerOptions) {
		this.#options = options;
		const listener: http.RequestListener = (request, response) => {
			this.#connections.accept(request, response, () => {
				void this.#serve(request, response);
			});
		};

		const serverOptions = {maxHeaderSize: options.limits.headerBytes, keepAliveTimeout: KEEP_ALIVE_MS};
		this.#server = options.tls ? https.createServer({...serverOptions, ...options.tls}, listener) : http.createServer(serverOptions, listener);
		this.#connections = new CallerConnections(this.#server);
		this.#server.requestTimeout = 0;
		this.#server.headersTimeout = options.limits.bodyTimeoutMs;
		this.#server.on('clientError', (error: Error & {code?: string}, socket) => {
			if (!this.#connections.endAfterResponses(socket as Socket)) {
				rejectMalformed(error, socket as Socket);
			}
		});
	}

	/** Number of requests in progress, including those whose response has not been handed to the operating system completely. */
	get activeCount(): number {
		return this.#connections.openCount;
	}

	/** Starts listening and returns the port. */
	async listen({address, port}: Endpoint): Promise<Either.Either<Problem, number>> {
		return new Promise(resolve => {
			this.#server.once('error', error => {
				resolve(Either.left(createProblem('listenFailed', error.message)));
			});
			this.#server.listen({host: address, port, backlog: 1024}, () => {
				resolve(Either.right((this.#server.address() as AddressInfo).port));
			});
		});
	}

	/** Reports not ready from now on. Requests are still served, the last one on each connection. */
	beginStop(): void {
		this.#isStopping = true;
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

	/** Ends the requests without a response with an error response. The others are cut by `close`. */
	abort(): void {
		for (const [exchange, {isReceived}] of this.#requests) {
			sendProblem(exchange, isReceived ? createProblem('aborted') : createProblem('shuttingDown', undefined, 0));
		}
	}

	/** Stops listening and closes all connections. */
	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		const url = URL.parse(request.url ?? '/', 'http://entry');
		const exchange: Exchange = {
			id: `${this.#options.host}_${this.#options.boot.slice(0, 8)}_${this.#nextRequestNumber++}`,
			request,
			response,
			method: request.method ?? 'GET',
			path: url?.pathname ?? '/',
			query: url?.searchParams ?? new URLSearchParams(),
		};
		const received = {isReceived: false};
		this.#requests.set(exchange, received);
		response.once('close', () => {
			this.#requests.delete(exchange);
		});
		try {
			await this.#dispatch(exchange, received);
		} catch (error) {
			this.#options.logger.error('Unexpected error while serving a request.', {request: exchange.id, error: String(error), stack: (error as Error).stack});
			sendProblem(exchange, createProblem('internal', `Request ${exchange.id}.`));
		}
	}

	async #dispatch(exchange: Exchange, received: {isReceived: boolean}): Promise<void> {
		if (exchange.method === 'GET' && await this.#serveHealthOrMetrics(exchange)) {
			return;
		}

		const isOperator = exchange.path.startsWith(OPERATOR_PATH_PREFIX);
		const problem = this.#authorize(exchange, isOperator);
		if (problem) {
			sendProblem(exchange, problem);
			return;
		}

		const body = await readBody(exchange.request, this.#options.limits);
		if (Either.isLeft(body)) {
			sendProblem(exchange, body.left);
			return;
		}

		if (exchange.response.writableEnded) {
			return;
		}

		if (this.#endsTooLate(exchange)) {
			sendProblem(exchange, createProblem('shuttingDown', undefined, 0));
			return;
		}

		received.isReceived = true;
		await (isOperator ? this.#options.operators.handle(exchange, body.right) : this.#serveCaller(exchange, body.right));
	}

	/** Whether a request may not end before the requests in progress are aborted. */
	#endsTooLate({request, method, path}: Exchange): boolean {
		if (this.#abortMs === undefined) {
			return false;
		}

		const deadlineMs = this.#options.services.matchRoute(method, path)?.route.deadlineMs ?? readDeclaredDeadline(request) ?? MIN_SERVING_MS;
		return this.#options.clock.monotonicMs() + deadlineMs > this.#abortMs;
	}

	/** Answers health checks and metrics requests of the platform. Returns false for any other request. */
	async #serveHealthOrMetrics(exchange: Exchange): Promise<boolean> {
		const {metrics, isReady} = this.#options;
		switch (exchange.path) {
			case '/healthz': {
				sendJson(exchange, 200, {status: 'ok'});
				return true;
			}

			case '/readyz': {
				const ready = isReady() && !this.#isStopping;
				sendJson(exchange, ready ? 200 : 503, {status: ready ? 'ready' : 'not ready'});
				return true;
			}

			case '/metrics': {
				const text = await metrics.registry.metrics();
				exchange.response.writeHead(200, {'content-type': metrics.registry.contentType});
				exchange.response.end(text);
				return true;
			}

			default: {
				return false;
			}
		}
	}

	#authorize(exchange: Exchange, isOperator: boolean): Problem | undefined {
		const {operatorKeys, callerKeys} = this.#options;
		const keys = isOperator ? operatorKeys : callerKeys;
		if (keys === undefined || exchange.path === ANNOUNCE_PATH) {
			return undefined;
		}

		const key = readHeader(exchange.request, 'authorization')?.replace(/^Bearer /v, '') ?? '';
		return keys.includes(key) ? undefined : createProblem('unauthorized');
	}

	async #serveCaller(exchange: Exchange, body: Buffer): Promise<void> {
		const {models, services} = this.#options;
		const {method, path} = exchange;
		if (method === 'POST' && path === ANNOUNCE_PATH) {
			this.#handleAnnouncement(exchange, body);
			return;
		}

		if (method === 'POST' && path === '/v1/chat/completions') {
			await models.handle('chat', exchange, body);
			return;
		}

		if (method === 'POST' && path === '/v1/completions') {
			await models.handle('text', exchange, body);
			return;
		}

		if (method === 'GET' && path === '/v1/models') {
			this.#sendModels(exchange);
			return;
		}

		const match = services.matchRoute(method, path);
		if (match) {
			await services.handle(exchange, body, match);
			return;
		}

		sendProblem(exchange, createProblem('notFound', `${method} ${path}`));
	}

	#handleAnnouncement(exchange: Exchange, body: Buffer): void {
		const parsed = parseJson(body);
		if (Either.isLeft(parsed)) {
			sendProblem(exchange, parsed.left);
			return;
		}

		const checked = validate('Announcement', parsed.right);
		if (Either.isLeft(checked)) {
			sendProblem(exchange, createProblem('badRequest', formatValidationErrors(checked.left)));
			return;
		}

		this.#options.onAnnouncement(checked.right);
		sendJson(exchange, 200, {accepted: true});
	}

	#sendModels(exchange: Exchange): void {
		const data = this.#options.pool.listModels().map(id => ({
			id, object: 'model', created: 0, owned_by: 'carawayhoist',
		}));
		sendJson(exchange, 200, {object: 'list', data});
	}
}

/** Sends an error for input that is not HTTP, or headers that are too long or too slow, and closes only that connection. */
function rejectMalformed(error: Error & {code?: string}, socket: Socket): void {
	if (error.code === 'ECONNRESET' || !socket.writable) {
		socket.destroy();
		return;
	}

	const isTimeout = error.code === 'ERR_HTTP_REQUEST_TIMEOUT';
	const isHeaderOverflow = error.code === 'HPE_HEADER_OVERFLOW';
	const problem = createProblem(isTimeout ? 'requestTimeout' : (isHeaderOverflow ? 'headersInvalid' : 'badRequest'));
	const body = JSON.stringify(createErrorBody(problem));
	const head = [
		`HTTP/1.1 ${problem.status} ${http.STATUS_CODES[problem.status] ?? 'Error'}`,
		'connection: close',
		'content-type: application/json',
		`carawayhoist-code: ${problem.code}`,
		`carawayhoist-outcome: ${problem.outcome}`,
		`content-length: ${Buffer.byteLength(body)}`,
	];
	socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
}
