/**
 * Connections to backend servers, and one exchange on one of them.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import net from 'node:net';
import {Client, Pool, type Dispatcher} from 'undici';
import type {Address} from '../wire/connection.js';

export type UpstreamRequest = {
	readonly address: Address;
	readonly method: string;
	readonly path: string;
	/** Alternating names and values. */
	readonly headers: string[];
	readonly body: Buffer | null;
	/** Connections that may be open to this server from here. */
	readonly maxConnections: number;
};

export const ATTEMPT_FAILURES = {
	/** No byte of the request left. */
	unsent: 'unsent',
	/** The request may have reached the server; no whole answer came. */
	broken: 'broken',
} as const;
export type AttemptFailure = keyof typeof ATTEMPT_FAILURES;

/** What becomes of one exchange; exactly one of `onEnd` and `onFailure` is called, unless it is cancelled. */
export interface ResponseHandler {
	onHead(status: number, headers: IncomingHttpHeaders): void;
	onData(chunk: Buffer): void;
	onEnd(): void;
	onFailure(failure: AttemptFailure, error: Error): void;
}

export type Exchange = {
	/** Ends the exchange and its connection; the sink hears nothing more. */
	cancel(): void;
	/** Stops and goes on with reading the answer. */
	pause(): void;
	resume(): void;
	readonly isSent: boolean;
};

/** A server that does not take a connection within this time is not reached. */
export const CONNECT_TIMEOUT_MS = 600;
/** Idle connections are given up before the servers of either user do. */
const IDLE_MS = 4000;
const MAX_IDLE_MS = 30_000;
/** Margin between a server's announced idle time and ours. */
const IDLE_MARGIN_MS = 1000;
/** Largest head of an answer, bytes. */
const MAX_HEAD_BYTES = 32_768;

/** The connections of one host to all backend servers. Whoever created it closes it. */
export class Upstream {
	readonly #pools = new Map<string, Pool>();

	/** Sends a request and reports what comes back. */
	send(request: UpstreamRequest, responseHandler: ResponseHandler): Exchange {
		const exchange = new UpstreamExchange(responseHandler);
		const options: TrackedDispatchOptions = {
			method: request.method,
			path: request.path,
			headers: request.headers,
			body: request.body,
			onConnection(connection) {
				exchange.connection = connection;
			},
		};
		this.#getPool(request).dispatch(options, exchange.handler);
		exchange.startSendTimeout();
		return exchange;
	}

	/** Closes the connections to a server that is gone. */
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
				factory: (origin, options) => new TrackedConnection(origin, options),
				connections: maxConnections,
				pipelining: 1,
				headersTimeout: 0,
				bodyTimeout: 0,
				keepAliveTimeout: IDLE_MS,
				keepAliveMaxTimeout: MAX_IDLE_MS,
				keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
				maxHeaderSize: MAX_HEAD_BYTES,
				strictContentLength: true,
			});
			this.#pools.set(key, pool);
		}

		return pool;
	}
}

type TrackedDispatchOptions = Dispatcher.DispatchOptions & {
	/** Called with the line that takes the request. */
	readonly onConnection: (connection: TrackedConnection) => void;
};

/**
 * One connection to a server. It knows whether the connection was reset, which the library does not tell: an answer
 * without a length that is cut off by a reset would look whole.
 */
class TrackedConnection extends Client {
	#isReset = false;

	constructor(origin: string | URL, options: Client.Options) {
		super(origin, {
			...options,
			connect: (target: {hostname: string; port: string}, callback: (...result: [null, net.Socket] | [Error, null]) => void) => {
				this.#connect(target, callback);
			},
		});
	}

	get isReset(): boolean {
		return this.#isReset;
	}

	override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		(options as TrackedDispatchOptions).onConnection(this);
		return super.dispatch(options, handler);
	}

	#connect({hostname, port}: {hostname: string; port: string}, callback: (...result: [null, net.Socket] | [Error, null]) => void): void {
		this.#isReset = false;
		const socket = net.connect({host: hostname, port: Number(port), noDelay: true});
		const timer = setTimeout(() => {
			socket.destroy(new Error('No connection in time.'));
		}, CONNECT_TIMEOUT_MS);
		const fail = (error: Error) => {
			clearTimeout(timer);
			callback(error, null);
		};

		socket.once('error', fail);
		socket.once('connect', () => {
			clearTimeout(timer);
			socket.removeListener('error', fail);
			socket.on('error', () => {
				this.#isReset = true;
			});
			callback(null, socket);
		});
	}
}

class UpstreamExchange implements Exchange {
	connection: TrackedConnection | undefined;
	readonly handler: Dispatcher.DispatchHandler;
	readonly #responseHandler: ResponseHandler;
	#controller: Dispatcher.DispatchController | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isEnded = false;

	constructor(responseHandler: ResponseHandler) {
		this.#responseHandler = responseHandler;
		this.handler = {
			onRequestStart: controller => {
				this.#start(controller);
			},
			onResponseStart: (_controller, status, headers) => {
				if (!this.#isEnded && status >= 200) {
					responseHandler.onHead(status, headers);
				}
			},
			onResponseData: (_controller, chunk) => {
				if (!this.#isEnded) {
					responseHandler.onData(chunk);
				}
			},
			onResponseEnd: () => {
				if (this.connection?.isReset) {
					this.#fail(new Error('The connection was reset before the answer ended.'));
				} else if (this.#end()) {
					responseHandler.onEnd();
				}
			},
			onResponseError: (_controller, error) => {
				this.#fail(error);
			},
		};
	}

	get isSent(): boolean {
		return this.#controller !== undefined;
	}

	/** Gives up if no connection takes the request in time. */
	startSendTimeout(): void {
		if (!this.#controller && !this.#isEnded) {
			this.#timer = setTimeout(() => {
				this.#fail(new Error('No connection took the request in time.'));
			}, CONNECT_TIMEOUT_MS);
		}
	}

	cancel(): void {
		if (this.#end()) {
			this.#controller?.abort(new Error('Cancelled.'));
		}
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
			controller.abort(new Error('Cancelled before it was sent.'));
			return;
		}

		this.#controller = controller;
	}

	#fail(error: Error): void {
		const failure = this.isSent ? ATTEMPT_FAILURES.broken : ATTEMPT_FAILURES.unsent;
		if (this.#end()) {
			this.#responseHandler.onFailure(failure, error);
		}
	}

	#end(): boolean {
		clearTimeout(this.#timer);
		const isFirst = !this.#isEnded;
		this.#isEnded = true;
		return isFirst;
	}
}
