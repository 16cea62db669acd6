/**
 * Connections to the backend servers of the project's own interface.
 *
 * @module
 */
import {
	Agent, Pool, type Client, type Dispatcher,
} from 'undici';
import type {Announcement} from '../generated/types.js';
import {ServerConnection, type ServerDispatchOptions} from '../serving/serverconnection.js';
import {connectServer} from '../wire/connector.js';

export type ServerRequest = {
	/** ID that the request carries and its response repeats. */
	readonly id: string;
	readonly method: Dispatcher.HttpMethod;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array | string | null;
	/** Whether to open a new connection instead of using a pooled one. */
	readonly usesNewConnection: boolean;
};

/** Handles a response, and is told on which connection the request is sent. */
export type ServerHandler = Dispatcher.DispatchHandler & {
	connection: ServerConnection | undefined;
};

const IDLE_CONNECTION_MS = 4000;
const CONNECT_TIMEOUT_MS = 1000;
const CONNECT_ERRORS = new Set(['ECONNREFUSED', 'ETIMEDOUT', 'EHOSTUNREACH', 'ENETUNREACH']);
const UNLIMITED: Client.Options = {headersTimeout: 0, bodyTimeout: 0};

/** A pool of connections to backend servers. Its creator must close it. */
export class ServerAgent {
	readonly #agent = new Agent({
		...UNLIMITED,
		pipelining: 1,
		keepAliveTimeout: IDLE_CONNECTION_MS,
		keepAliveMaxTimeout: IDLE_CONNECTION_MS,
		factory: (origin, options) => new Pool(origin, {...options as Pool.Options, factory: createConnection}),
	});

	/**
	 * Sends a request; returns a function that closes the connection if it is a new one, to be called after the response.
	 *
	 * @example
	 * ```ts
	 * const finish = agent.send(server, {id: 'r1', method: 'GET', path: '/', headers: {}, body: null, usesNewConnection: true}, handler);
	 * await handler.result;
	 * await finish();
	 * ```
	 */
	send(server: Announcement, {id, usesNewConnection, ...request}: ServerRequest, handler: ServerHandler): () => Promise<void> {
		const origin = `http://${formatUrlHost(server.address)}:${server.port}`;
		const options: ServerDispatchOptions = {
			...request,
			origin,
			headers: {...request.headers, 'x-request-id': id},
			reset: usesNewConnection,
			echoId: id,
			onConnection(connection) {
				handler.connection = connection;
			},
		};
		if (!usesNewConnection) {
			this.#agent.dispatch(options, handler);
			return async () => undefined;
		}

		const connection = createConnection(origin, UNLIMITED);
		connection.dispatch(options, handler);
		return async () => connection.destroy();
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}
}

/**
 * Whether an error shows that no connection could be opened.
 *
 * @example
 * ```ts
 * isConnectError({code: 'ECONNREFUSED'}); // true
 * ```
 */
export function isConnectError({code = ''}: {readonly code?: string}): boolean {
	return CONNECT_ERRORS.has(code);
}

/**
 * Formats an IP address as the host of a URL.
 *
 * @example
 * ```ts
 * formatUrlHost('::1'); // '[::1]'
 * ```
 */
export function formatUrlHost(address: string): string {
	return address.includes(':') ? `[${address}]` : address;
}

function createConnection(origin: string | URL, options: object): ServerConnection {
	return new ServerConnection(origin, options, {connect: connectServer, connectTimeoutMs: CONNECT_TIMEOUT_MS});
}
