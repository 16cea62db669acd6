/**
 * Connections of callers to an HTTP server, which are closed one after the other at a shutdown without cutting a response.
 *
 * @module
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

type ConnectionState = {
	/** Requests whose response has not been handed to the operating system completely. */
	openCount: number;
	/** Bytes received when the last response ended; undefined before the first one. */
	receivedBytes: number | undefined;
	/** Whether the connection ends with a response that is in progress; requests behind it are not served. */
	isEnding: boolean;
};

/**
 * Tracks the connections of one HTTP server.
 *
 * Node's server counts a connection as idle once its response has ended, even if the caller has not taken all bytes yet, and
 * keeps a connection open if its response began before the server was told to stop.
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
	 * 	if (connections.accept(request, response)) {
	 * 		response.end('served');
	 * 	}
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

	/** From now on each connection is closed after its current response, or after the next one if it is idle. */
	startDraining(): void {
		this.#isDraining = true;
	}

	/** Registers a request. Returns false if its connection is closed after an earlier one, so that it must not be served. */
	accept({socket}: IncomingMessage, response: ServerResponse): boolean {
		const state = this.#track(socket);
		if (state.isEnding) {
			return false;
		}

		if (this.#isDraining) {
			response.setHeader('connection', 'close');
			state.isEnding = true;
		}

		state.openCount++;
		this.#openCount++;
		response.once('close', () => {
			state.openCount--;
			this.#openCount--;
			state.receivedBytes = socket.bytesRead;
			if (this.#isDraining && state.openCount === 0) {
				state.isEnding = true;
				socket.destroySoon();
			}
		});
		return true;
	}

	#track(socket: Socket): ConnectionState {
		const known = this.#connections.get(socket);
		if (known) {
			return known;
		}

		const state: ConnectionState = {openCount: 0, receivedBytes: undefined, isEnding: false};
		this.#connections.set(socket, state);
		socket.once('close', () => {
			this.#connections.delete(socket);
		});
		return state;
	}

	/** Closes the connections that have received nothing since their last response. */
	#closeIdle(): void {
		for (const [socket, {openCount, receivedBytes}] of this.#connections) {
			if (openCount === 0 && receivedBytes === socket.bytesRead) {
				socket.destroy();
			}
		}
	}
}
