/**
 * A connection to a backend server.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import type net from 'node:net';
import {Client, type Dispatcher} from 'undici';
import type {Address} from '../wire/connection.js';
import type {ServerConnector} from '../wire/connector.js';
import {watchPeerClose, type PeerClose} from '../wire/reset.js';

/** Receives whether connections to servers could be established. */
export interface ConnectionObserver {
	onConnected(address: Address): void;
	onConnectFailed(address: Address): void;
}

/** A server that does not accept a connection within this time counts as unreachable. */
export const CONNECT_TIMEOUT_MS = 600;
/** Bytes of a request ID's hash that are remembered; two IDs with the same hash cost a connection. */
const ID_HASH_BYTES = 6;

export type ServerDispatchOptions = Dispatcher.DispatchOptions & {
	/** ID that the request carries and its response repeats; undefined if it carries none. */
	readonly echoId: string | undefined;
	/** Called with the connection on which the request is sent. */
	readonly onConnection: (connection: ServerConnection) => void;
};

/** What a connection asks of its exchange. */
export type ConnectionExchange = {
	checkFraming(): void;
	/** Continues reading the response. */
	resume(): void;
};

export type ServerConnectionOptions = {
	readonly connect: ServerConnector;
	readonly observer?: ConnectionObserver | undefined;
	/** Milliseconds; has a default. */
	readonly connectTimeoutMs?: number;
};

type ConnectCallback = (...result: [null, net.Socket] | [Error, null]) => void;

/**
 * A connection to a server that knows whether it was reset, and which requests it has carried. The library does not report a
 * reset, and a response without a content length that is cut off by one would look complete. An earlier response that a server
 * repeats is recognized by its request ID, so a request whose ID the connection has carried already goes to a new connection.
 */
export class ServerConnection extends Client {
	/** The exchange that the received bytes belong to. */
	exchange: ConnectionExchange | undefined;
	#socket: net.Socket | undefined;
	#peerClose: PeerClose | undefined;
	#requestCount = 0;
	readonly #idHashes = new Set<number>();
	readonly #connectTimeoutMs: number;

	constructor(origin: string | URL, options: Client.Options, {connect, observer, connectTimeoutMs = CONNECT_TIMEOUT_MS}: ServerConnectionOptions) {
		super(origin, {
			...options,
			connect: ({hostname, port}: {hostname: string; port: string}, callback: ConnectCallback) => {
				const address = {address: hostname, port: Number(port)};
				this.#handshake(connect(address), (error, socket) => {
					if (error) {
						observer?.onConnectFailed(address);
						callback(error, null);
						return;
					}

					observer?.onConnected(address);
					callback(null, socket);
				});
			},
		});
		this.#connectTimeoutMs = connectTimeoutMs;
	}

	get isReset(): boolean {
		return this.#peerClose?.isReset ?? false;
	}

	/** Bytes received since the connection was established. */
	get receivedBytes(): number {
		return this.#socket?.bytesRead ?? 0;
	}

	/** Records that a request is about to be written; returns whether it is the first one since the connection was established. */
	recordRequest(echoId: string | undefined): boolean {
		if (echoId !== undefined) {
			this.#idHashes.add(hashId(echoId));
		}

		return this.#requestCount++ === 0;
	}

	override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		const {echoId, onConnection} = options as ServerDispatchOptions;
		if (echoId !== undefined && this.#idHashes.has(hashId(echoId))) {
			// The pool selects idle connections only. The client connects anew before it sends the request.
			this.#socket?.destroy();
		}

		onConnection(this);
		return super.dispatch(options, handler);
	}

	/**
	 * Handles the end and the reset of a connection before the library does. An assertion of the library fails, and nothing catches it, if
	 * the response is paused then. When the connection ends, all bytes have been passed on, so that only the end of the response is left.
	 */
	#prepareEnd(socket: net.Socket): void {
		socket.once('end', () => {
			this.exchange?.resume();
		});
		socket.on('error', renameReset);
	}

	/** Waits until a connection is established. */
	#handshake(socket: net.Socket, callback: ConnectCallback): void {
		const timer = setTimeout(() => {
			socket.destroy(Object.assign(new Error('Connecting to the server timed out.'), {code: 'ETIMEDOUT'}));
		}, this.#connectTimeoutMs);
		const fail = (error: Error) => {
			clearTimeout(timer);
			callback(error, null);
		};

		socket.once('error', fail);
		socket.once('connect', () => {
			clearTimeout(timer);
			socket.removeListener('error', fail);
			this.#peerClose = watchPeerClose(socket);
			this.#prepareEnd(socket);
			this.#socket = socket;
			this.#requestCount = 0;
			this.#idHashes.clear();
			socket.on('readable', () => {
				this.exchange?.checkFraming();
			});
			callback(null, socket);
		});
	}
}

/** Replaces the code of a reset, by which the library takes it for the end of a response. */
function renameReset(error: NodeJS.ErrnoException): void {
	if (error.code === 'ECONNRESET') {
		error.code = 'ERR_PEER_RESET';
	}
}

function hashId(id: string): number {
	return createHash('sha256').update(id).digest().readUIntLE(0, ID_HASH_BYTES);
}
