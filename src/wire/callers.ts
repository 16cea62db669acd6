/**
 * Connections of callers to an HTTP server, which are closed one after the other at a shutdown without cutting a response.
 *
 * @module
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

type ConnectionState = {
	/** Requests whose response has not been handed to the operating system completely. */
	openCount: number;
	/** Whether the connection is closed without another response. */
	isEnding: boolean;
};

/**
 * Tracks the connections of one HTTP server.
 *
 * Node's server keeps a connection open if its response began before the server was told to stop.
 */
export class CallerConnections {
	readonly #connections = new Map<Socket, ConnectionState>();
	#isDraining = false;

	/** From now on each connection is closed after its current response, or after the next one if it is idle. */
	startDraining(): void {
		this.#isDraining = true;
	}

	/** Registers a request. Returns false if its connection is being closed, so that it must not be served. */
	accept({socket}: IncomingMessage, response: ServerResponse): boolean {
		const state = this.#track(socket);
		if (state.isEnding) {
			return false;
		}

		if (this.#isDraining) {
			response.setHeader('connection', 'close');
		}

		state.openCount++;
		response.once('close', () => {
			state.openCount--;
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

		const state: ConnectionState = {openCount: 0, isEnding: false};
		this.#connections.set(socket, state);
		socket.once('close', () => {
			this.#connections.delete(socket);
		});
		return state;
	}
}
