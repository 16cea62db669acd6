/**
 * HTTP client for backend servers: connection pools, and exchanges of one request and its response.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import {Pool, type Dispatcher} from 'undici';
import type {Address} from '../wire/connection.js';
import {connectServer, type ServerConnector} from '../wire/connector.js';
import {isFinalStatus, isInterimStatus} from '../wire/status.js';
import {joinRepeatedHeaders} from './headers.js';
import {
	CONNECT_TIMEOUT_MS, ServerConnection, type ConnectionObserver, type ServerDispatchOptions,
} from './serverconnection.js';

export type UpstreamRequest = {
	/** The server to send the request to, and the service that it offers. */
	readonly server: string;
	readonly service: string;
	readonly address: Address;
	/** ID of the caller's request. */
	readonly request: string;
	/** ID that the request carries and its response repeats; undefined if it carries none. A connection carries each ID once. */
	readonly echoId: string | undefined;
	readonly method: string;
	readonly path: string;
	/** Alternating names and values. */
	readonly headers: string[];
	readonly body: Buffer | null;
	/** Maximum number of connections from this host to the server. */
	readonly maxConnections: number;
	/**
	 * Asked when a connection is ready to send the request, since a server may have refused further requests while this one
	 * waited for a connection. If false, the request fails as not sent.
	 */
	readonly maySend?: () => boolean;
	/**
	 * Called while this host reaches no server and the request's connection has been silent for some time, possibly more than once.
	 * The server may just have paused, so the request goes on unless the callback cancels it.
	 */
	readonly onSilence?: (() => void) | undefined;
	/** Called with the address of each host through which the request is sent. */
	readonly onRelay?: (relay: string) => void;
};

/** How far an exchange came before it failed. */
export const ATTEMPT_FAILURES = {
	/** No byte of the request was sent. */
	unsent: 'unsent',
	/** The request may have reached the server; no complete response was received. */
	broken: 'broken',
} as const;
export type AttemptFailure = keyof typeof ATTEMPT_FAILURES;

/**
 * Receives the events of one exchange. Exactly one of `onEnd` and `onFailure` is called, unless the exchange is
 * cancelled.
 */
export interface ResponseHandler {
	/** @param isFirst - Whether its connection is known to have carried no earlier request, whose response could be repeated. */
	onHead(status: number, headers: IncomingHttpHeaders, isFirst: boolean): void;
	onData(chunk: Buffer): void;
	onEnd(): void;
	onFailure(failure: AttemptFailure, error: Error): void;
}

export type Exchange = {
	/**
	 * Aborts the exchange and closes its connection; the handler is not called any more. Returns false if the exchange
	 * has already ended.
	 */
	cancel(): boolean;
	/** Stops reading the response, for backpressure. */
	pause(): void;
	/** Continues reading the response. */
	resume(): void;
};

/** Sends requests to backend servers. */
export interface Transport {
	/** Sends a request; the response is passed to the handler. */
	send(request: UpstreamRequest, handler: ResponseHandler): Exchange;
	/** Whether a request to a server can be sent on an open connection. */
	hasIdleConnection(address: Address): boolean;
}

/** Idle connections are closed after this time, which is shorter than the idle timeout of either user's servers. */
const IDLE_MS = 4000;
/** Upper bound of the idle timeout that a server may announce. */
const MAX_IDLE_MS = 30_000;
/** How much earlier than a server's announced idle timeout its connections are closed. */
const IDLE_MARGIN_MS = 1000;
/** Maximum size of a response's headers, bytes. */
const MAX_HEAD_BYTES = 32_768;
/** Maximum number of interim (1xx) responses before the final one. */
const MAX_INTERIM_HEADS = 8;
/** Maximum bytes of a response besides its body: all heads, and what a socket holds that is not parsed yet. */
const MAX_FRAMING_BYTES = 1_048_576;
/** What each piece of a body may add to that: the size of a chunk, its extensions and line ends. */
const MAX_FRAMING_BYTES_PER_PIECE = 256;
/** Pieces that a body may have whatever their size. Beyond that they must not be tiny, since each one costs processing time. */
const MAX_TINY_PIECES = 131_072;
/** A body whose pieces are shorter on average consists of tiny ones. */
const MIN_MEAN_PIECE_BYTES = 16;
/** A connection is closed after this number of requests, which bounds the IDs that it remembers. */
const MAX_REQUESTS_PER_CONNECTION = 1000;

/** The connection pools of one host to all backend servers. Must be closed by its creator. */
export class Upstream implements Transport {
	readonly #pools = new Map<string, Pool>();
	readonly #connect: ServerConnector;
	readonly #observer: ConnectionObserver | undefined;

	constructor(connect: ServerConnector = connectServer, observer?: ConnectionObserver) {
		this.#connect = connect;
		this.#observer = observer;
	}

	send(request: UpstreamRequest, responseHandler: ResponseHandler): Exchange {
		const exchange = new UpstreamExchange(responseHandler, request);
		const options: ServerDispatchOptions = {
			method: request.method,
			path: request.path,
			headers: request.headers,
			body: request.body,
			echoId: request.echoId,
			onConnection(connection) {
				exchange.connection = connection;
			},
		};
		this.#getPool(request).dispatch(options, exchange.handler);
		exchange.startSendTimeout();
		return exchange;
	}

	hasIdleConnection({address, port}: Address): boolean {
		return (this.#pools.get(`${address}:${port}`)?.stats.free ?? 0) > 0;
	}

	/** Closes the connections to a server that no longer exists. */
	closeServer({address, port}: Address): void {
		const key = `${address}:${port}`;
		const pool = this.#pools.get(key);
		this.#pools.delete(key);
		void pool?.close();
	}

	close(): void {
		for (const pool of this.#pools.values()) {
			void pool.destroy();
		}

		this.#pools.clear();
	}

	#getPool({address, maxConnections}: UpstreamRequest): Pool {
		const key = `${address.address}:${address.port}`;
		let pool = this.#pools.get(key);
		if (!pool) {
			pool = new Pool(`http://${key}`, {
				factory: (origin, options) => new ServerConnection(origin, options, {connect: this.#connect, observer: this.#observer}),
				connections: maxConnections,
				pipelining: 1,
				headersTimeout: 0,
				bodyTimeout: 0,
				keepAliveTimeout: IDLE_MS,
				keepAliveMaxTimeout: MAX_IDLE_MS,
				keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
				maxHeaderSize: MAX_HEAD_BYTES,
				maxRequestsPerClient: MAX_REQUESTS_PER_CONNECTION,
				strictContentLength: true,
			});
			this.#pools.set(key, pool);
		}

		return pool;
	}
}

class UpstreamExchange implements Exchange {
	connection: ServerConnection | undefined;
	readonly handler: Dispatcher.DispatchHandler;
	readonly #responseHandler: ResponseHandler;
	readonly #request: UpstreamRequest;
	#controller: Dispatcher.DispatchController | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isEnded = false;
	#isFirst = false;
	#interimHeads = 0;
	/** Bytes that the connection had received before this exchange. */
	#previousBytes = 0;
	#bodyBytes = 0;
	#bodyPieces = 0;

	constructor(responseHandler: ResponseHandler, request: UpstreamRequest) {
		this.#responseHandler = responseHandler;
		this.#request = request;
		this.handler = {
			onRequestStart: controller => {
				this.#start(controller);
			},
			onResponseStart: (_controller, status, headers) => {
				if (this.#isEnded) {
					return;
				}

				if (isFinalStatus(status)) {
					responseHandler.onHead(status, joinRepeatedHeaders(headers), this.#isFirst);
				} else if (!isInterimStatus(status)) {
					this.#breakOff(`The server sent a response with the invalid status ${status}.`);
				} else if (++this.#interimHeads > MAX_INTERIM_HEADS) {
					this.#breakOff(`The server sent more than ${MAX_INTERIM_HEADS} interim responses.`);
				}
			},
			onResponseData: (_controller, chunk) => {
				// After a pause, the library passes on an empty piece first; a handler that pauses again would stay paused.
				if (chunk.length === 0) {
					return;
				}

				this.#bodyBytes += chunk.length;
				this.#bodyPieces++;
				if (this.#isEnded) {
					return;
				}

				if (this.#bodyPieces > MAX_TINY_PIECES && this.#bodyBytes < this.#bodyPieces * MIN_MEAN_PIECE_BYTES) {
					this.#breakOff(`The server sent ${this.#bodyBytes} bytes of body in ${this.#bodyPieces} pieces.`);
					return;
				}

				responseHandler.onData(chunk);
			},
			onResponseEnd: () => {
				if (this.connection?.isReset) {
					this.#fail(new Error('The connection was reset before the response was complete.'));
				} else if (this.#end()) {
					responseHandler.onEnd();
				}
			},
			onResponseError: (_controller, error) => {
				this.#fail(error);
			},
		};
	}

	/** Starts the timeout within which a connection must accept the request. */
	startSendTimeout(): void {
		if (!this.#controller && !this.#isEnded) {
			this.#timer = setTimeout(() => {
				this.#fail(new Error('No connection to the server became available in time.'));
			}, CONNECT_TIMEOUT_MS);
		}
	}

	/** Breaks the exchange if the server sends too much besides the body, which the parser discards without a limit. */
	checkFraming(): void {
		const framingBytes = (this.connection?.receivedBytes ?? 0) - this.#previousBytes - this.#bodyBytes;
		if (!this.#isEnded && framingBytes > MAX_FRAMING_BYTES + (this.#bodyPieces * MAX_FRAMING_BYTES_PER_PIECE)) {
			this.#breakOff(`The server sent ${framingBytes} bytes besides ${this.#bodyBytes} bytes of body.`);
		}
	}

	cancel(): boolean {
		const isFirst = this.#end();
		if (isFirst) {
			this.#controller?.abort(new Error('The exchange was cancelled.'));
		}

		return isFirst;
	}

	pause(): void {
		this.#controller?.pause();
	}

	resume(): void {
		this.#controller?.resume();
	}

	#start(controller: Dispatcher.DispatchController): void {
		clearTimeout(this.#timer);
		if (this.#isEnded) {
			controller.abort(new Error('The exchange was cancelled before the request was sent.'));
			return;
		}

		if (this.#request.maySend?.() === false) {
			const error = new Error('The server takes no requests now.');
			this.#fail(error);
			controller.abort(error);
			return;
		}

		this.#controller = controller;
		if (this.connection) {
			this.connection.exchange = this;
			this.#isFirst = this.connection.recordRequest(this.#request.echoId);
			this.#previousBytes = this.connection.receivedBytes;
		}
	}

	#breakOff(reason: string): void {
		const error = new Error(reason);
		this.#fail(error);
		this.#controller?.abort(error);
	}

	#fail(error: Error): void {
		const failure = this.#controller ? ATTEMPT_FAILURES.broken : ATTEMPT_FAILURES.unsent;
		if (this.#end()) {
			this.#responseHandler.onFailure(failure, error);
		}
	}

	/** Marks the exchange as ended; returns false if it has already ended. */
	#end(): boolean {
		clearTimeout(this.#timer);
		if (this.connection?.exchange === this) {
			this.connection.exchange = undefined;
		}

		const isFirst = !this.#isEnded;
		this.#isEnded = true;
		return isFirst;
	}
}
