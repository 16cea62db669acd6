/**
 * Connections of callers to an HTTP server, which are closed one after the other at a shutdown without cutting a response.
 *
 * @module
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

type ConnectionState = {
	/** Responses that have not been handed to the operating system completely, in the order of their requests. */
	readonly open: Set<ServerResponse>;
	/** Serve the requests that wait for the responses before them, in order. */
	readonly waiting: Array<() => void>;
	/** Bytes received when the last response ended; undefined before the first one. */
	receivedBytes: number | undefined;
	/** Whether the connection ends with the last open response; requests behind it are not served. */
	isEnding: boolean;
};

/** Requests of one connection that wait for the responses before them. The connection ends with the last of them. */
const MAX_WAITING_REQUESTS = 64;

/**
 * Tracks the connections of one HTTP server and serves the requests of each one after the other: a response may end its connection,
 * and a request behind it would have run for nothing.
 *
 * Node's server counts a connection as idle once its response has ended, even if the caller has not taken all bytes yet, and
 * does not tell a caller whose request it has already received that the connection is about to be closed.
 */
export class CallerConnections {
	readonly #connections = new Map<Socket, ConnectionState>();
	#openCount = 0;
	#isDraining = false;

	/**
	 * Replaces the server's notion of an idle connection. `http.Server.close` closes idle connections as well.
	 *
	 * @example
	 * ```ts
	 * const connections = new CallerConnections(server);
	 * server.on('request', (request, response) => {
	 * 	connections.accept(request, response, () => {
	 * 		response.end('served');
	 * 	});
	 * });
	 * ```
	 */
	constructor(server: Pick<Server, 'closeIdleConnections'>) {
		server.closeIdleConnections = () => {
			this.#closeIdle();
		};
	}

	/** Number of requests whose response has not been handed to the operating system completely. */
	get openCount(): number {
		return this.#openCount;
	}

	/**
	 * From now on each connection ends with the response in progress. If that has begun already, or there is none, its caller expects
	 * the connection to stay open, so that it ends with the next response.
	 */
	startDraining(): void {
		this.#isDraining = true;
		for (const state of this.#connections.values()) {
			const last = [...state.open].at(-1);
			if (last && !last.headersSent) {
				end(state, last);
			}
		}
	}

	/**
	 * Registers a request and calls `serve` once the responses before it on its connection have ended, or not at all if the connection
	 * ends with one of them.
	 */
	accept({socket}: IncomingMessage, response: ServerResponse, serve: () => void): void {
		const state = this.#track(socket);
		if (state.isEnding) {
			return;
		}

		state.open.add(response);
		this.#openCount++;
		if (this.#isDraining || state.waiting.length === MAX_WAITING_REQUESTS) {
			end(state, response);
		}

		response.once('close', () => {
			this.#remove(socket, state, response);
		});
		if (state.open.size === 1) {
			serve();
		} else {
			state.waiting.push(serve);
		}
	}

	/**
	 * Ends a connection with its open responses, for example because the bytes behind their requests cannot be read. Returns false if
	 * it has none.
	 */
	endAfterResponses(socket: Socket): boolean {
		const state = this.#connections.get(socket);
		if (!state || state.open.size === 0) {
			return false;
		}

		end(state, [...state.open].at(-1)!);
		return true;
	}

	#track(socket: Socket): ConnectionState {
		const known = this.#connections.get(socket);
		if (known) {
			return known;
		}

		const state: ConnectionState = {
			open: new Set(), waiting: [], receivedBytes: undefined, isEnding: false,
		};
		this.#connections.set(socket, state);
		socket.once('close', () => {
			this.#connections.delete(socket);
			// Node does not report the end of a response that waits for an earlier one.
			for (const response of state.open) {
				this.#remove(socket, state, response);
			}
		});
		return state;
	}

	#remove(socket: Socket, state: ConnectionState, response: ServerResponse): void {
		if (!state.open.delete(response)) {
			return;
		}

		this.#openCount--;
		state.receivedBytes = socket.bytesRead;
		if (state.isEnding && state.open.size === 0) {
			socket.destroySoon();
		} else if (!socket.destroyed && !socket.writableEnded) {
			state.waiting.shift()?.();
		}
	}

	/** Closes the connections that have received nothing since their last response. */
	#closeIdle(): void {
		for (const [socket, {open, receivedBytes}] of this.#connections) {
			if (open.size === 0 && receivedBytes === socket.bytesRead) {
				socket.destroy();
			}
		}
	}
}

function end(state: ConnectionState, response: ServerResponse): void {
	state.isEnding = true;
	if (!response.headersSent) {
		response.setHeader('connection', 'close');
	}
}
