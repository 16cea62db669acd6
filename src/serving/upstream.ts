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
const IDLE_MOST_MS = 30_000;
/** Margin between a server's announced idle time and ours. */
const IDLE_MARGIN_MS = 1000;
/** Largest head of an answer, bytes. */
const HEAD_BYTES = 32_768;

/** The connections of one host to all backend servers. Whoever created it closes it. */
export class Upstream {
	readonly #pools = new Map<string, Pool>();

	/** Sends a request and reports what comes back. */
	send(request: UpstreamRequest, sink: ResponseHandler): Exchange {
		const exchange = new UpstreamExchange(sink);
		const options: LineOptions = {
			method: request.method,
			path: request.path,
			headers: request.headers,
			body: request.body,
			onLine(line) {
				exchange.line = line;
			},
		};
		this.#poolOf(request).dispatch(options, exchange.handler);
		exchange.awaitSending();
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

	#poolOf({address, maxConnections}: UpstreamRequest): Pool {
		const key = `${address.address}:${address.port}`;
		let pool = this.#pools.get(key);
		if (!pool) {
			pool = new Pool(`http://${key}`, {
				factory: (origin, options) => new Line(origin, options),
				connections: maxConnections,
				pipelining: 1,
				headersTimeout: 0,
				bodyTimeout: 0,
				keepAliveTimeout: IDLE_MS,
				keepAliveMaxTimeout: IDLE_MOST_MS,
				keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
				maxHeaderSize: HEAD_BYTES,
				strictContentLength: true,
			});
			this.#pools.set(key, pool);
		}

		return pool;
	}
}

type LineOptions = Dispatcher.DispatchOptions & {
	/** Called with the line that takes the request. */
	readonly onLine: (line: Line) => void;
};

/**
 * One connection to a server. It knows whether the connection was reset, which the library does not tell: an answer
 * without a length that is cut off by a reset would look whole.
 */
class Line extends Client {
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
		(options as LineOptions).onLine(this);
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
	line: Line | undefined;
	readonly handler: Dispatcher.DispatchHandler;
	readonly #sink: ResponseHandler;
	#controller: Dispatcher.DispatchController | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isOver = false;

	constructor(sink: ResponseHandler) {
		this.#sink = sink;
		this.handler = {
			onRequestStart: controller => {
				this.#start(controller);
			},
			onResponseStart: (_controller, status, headers) => {
				if (!this.#isOver && status >= 200) {
					sink.onHead(status, headers);
				}
			},
			onResponseData: (_controller, chunk) => {
				if (!this.#isOver) {
					sink.onData(chunk);
				}
			},
			onResponseEnd: () => {
				if (this.line?.isReset) {
					this.#fail(new Error('The connection was reset before the answer ended.'));
				} else if (this.#finish()) {
					sink.onEnd();
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
	awaitSending(): void {
		if (!this.#controller && !this.#isOver) {
			this.#timer = setTimeout(() => {
				this.#fail(new Error('No connection took the request in time.'));
			}, CONNECT_TIMEOUT_MS);
		}
	}

	cancel(): void {
		if (this.#finish()) {
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
		if (this.#isOver) {
			controller.abort(new Error('Cancelled before it was sent.'));
			return;
		}

		this.#controller = controller;
	}

	#fail(error: Error): void {
		const failure = this.isSent ? ATTEMPT_FAILURES.broken : ATTEMPT_FAILURES.unsent;
		if (this.#finish()) {
			this.#sink.onFailure(failure, error);
		}
	}

	#finish(): boolean {
		clearTimeout(this.#timer);
		const isFirst = !this.#isOver;
		this.#isOver = true;
		return isFirst;
	}
}
