/**
 * TCP connections that carry messages between the processes of this system.
 *
 * @module
 */
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import * as Either from 'fp-ts/lib/Either.js';
import type {Message} from '../generated/types.js';
import {createProblem, type Problem} from '../base/problem.js';
import {encodeFrame, FrameDecoder} from './frame.js';

export type Address = {
	readonly address: string;
	readonly port: number;
};

export type MessageHandler = (message: Message, connection: Connection) => void;

const CONNECT_TIMEOUT_MS = 1000;
/** Longest time for which a connection for a single message stays open, milliseconds. */
const SEPARATE_SEND_TIMEOUT_MS = 5000;
const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;

/** A connection to another process. The creator must close it. */
export class Connection {
	readonly #socket: net.Socket;
	readonly #closeHandlers: Array<() => void> = [];
	#wasEstablished: boolean;

	constructor(socket: net.Socket, onMessage: MessageHandler) {
		this.#socket = socket;
		this.#wasEstablished = !socket.connecting;
		socket.once('connect', () => {
			this.#wasEstablished = true;
		});
		const decoder = new FrameDecoder();
		socket.setNoDelay(true);
		socket.on('data', bytes => {
			const messages = decoder.push(bytes);
			if (Either.isLeft(messages)) {
				socket.destroy();
				return;
			}

			for (const message of messages.right) {
				onMessage(message, this);
			}
		});
		socket.on('error', () => socket.destroy());
		socket.on('close', () => {
			for (const handler of this.#closeHandlers) {
				handler();
			}
		});
	}

	get isOpen(): boolean {
		return !this.#socket.destroyed;
	}

	/** Whether the connection was ever established; if not, no message has reached the peer. */
	get wasEstablished(): boolean {
		return this.#wasEstablished;
	}

	/** Bytes written but not yet handed to the operating system. */
	get bufferedBytes(): number {
		return this.#socket.writableLength;
	}

	/**
	 * Sends a message. Closes the connection if more than 64 MiB are buffered because the peer does not read.
	 *
	 * @param onWritten - Called once the message has been handed to the operating system, or the connection has closed.
	 */
	send(message: Message, onWritten?: () => void): void {
		if (this.isOpen && this.#socket.writableLength > MAX_BUFFERED_BYTES) {
			this.#socket.destroy();
		}

		if (!this.#socket.writable) {
			onWritten?.();
			return;
		}

		this.#socket.write(encodeFrame(message), onWritten);
	}

	onClose(handler: () => void): void {
		this.#closeHandlers.push(handler);
	}

	/** Registers a handler that is called whenever all buffered bytes have been handed to the operating system. */
	onDrain(handler: () => void): void {
		this.#socket.on('drain', handler);
	}

	/** Closes the connection once the peer has received everything and closed its side. Nothing can be sent any more. */
	finish(): void {
		this.#socket.end();
	}

	close(): void {
		this.#socket.destroy();
	}
}

/**
 * Connects to another process. Messages can be sent at once; they are buffered until the connection is established.
 *
 * @example
 * ```ts
 * const connection = connect({address: '10.0.0.4', port: 7400}, message => console.log(message.type));
 * connection.send({type: 'hello', id: 1});
 * ```
 */
export function connect(target: Address, onMessage: MessageHandler): Connection {
	const socket = net.connect({host: target.address, port: target.port});
	socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
		if (socket.connecting) {
			socket.destroy();
		}
	});
	socket.once('connect', () => socket.setTimeout(0));
	return new Connection(socket, onMessage);
}

/**
 * Sends one message on a connection of its own. A process of an older version closes a connection on which it gets a message
 * that it does not know; other connections to it are not affected.
 *
 * @example
 * ```ts
 * sendSeparately({address: '10.0.0.4', port: 7400}, {type: 'hello', id: 1});
 * ```
 */
export function sendSeparately(target: Address, message: Message): void {
	const connection = connect(target, () => undefined);
	const timer = setTimeout(() => {
		connection.close();
	}, SEPARATE_SEND_TIMEOUT_MS).unref();
	connection.onClose(() => {
		clearTimeout(timer);
	});
	connection.send(message);
	connection.finish();
}

/**
 * Sends one message on a connection of its own. Returns whether the peer has received it: it closes its side of the connection once it has
 * read everything, in an orderly way.
 *
 * @example
 * ```ts
 * await deliver({address: '10.0.0.4', port: 7400}, {type: 'hello', id: 1}, 600); // true
 * ```
 */
export async function deliver(target: Address, message: Message, timeoutMs: number): Promise<boolean> {
	return new Promise(resolve => {
		const socket = net.connect({host: target.address, port: target.port});
		const timer = setTimeout(() => {
			socket.destroy();
		}, timeoutMs);
		let isReceived = false;
		socket.once('end', () => {
			isReceived = socket.writableFinished;
		});
		socket.on('error', () => socket.destroy());
		socket.once('close', hasError => {
			clearTimeout(timer);
			resolve(isReceived && !hasError);
		});
		socket.resume();
		socket.end(encodeFrame(message));
	});
}

/** Accepts connections. Closing the listener also closes the connections that it accepted. */
export class Listener {
	readonly #server: net.Server;
	readonly #connections = new Set<Connection>();

	constructor(onMessage: MessageHandler) {
		this.#server = net.createServer(socket => {
			const connection = new Connection(socket, onMessage);
			this.#connections.add(connection);
			connection.onClose(() => this.#connections.delete(connection));
		});
	}

	/** Starts listening and returns the port, which the operating system chooses if `target.port` is 0. */
	async listen(target: Address): Promise<Either.Either<Problem, number>> {
		return new Promise(resolve => {
			this.#server.once('error', error => {
				resolve(Either.left(createProblem('listenFailed', error.message)));
			});
			this.#server.listen({host: target.address, port: target.port}, () => {
				resolve(Either.right((this.#server.address() as net.AddressInfo).port));
			});
		});
	}

	/**
	 * Stops accepting connections and waits until the peers have received everything, but no longer than a time. A connection that is
	 * closed at once, with bytes of the peer unread, is reset, and what the peer has not received is lost.
	 */
	async finish(timeoutMs: number): Promise<void> {
		this.#server.close();
		const closed = [...this.#connections].map(async connection => new Promise<void>(resolve => {
			connection.onClose(resolve);
			connection.finish();
		}));
		const timeout = new AbortController();
		await Promise.race([Promise.all(closed), sleep(timeoutMs, undefined, {signal: timeout.signal}).catch(() => undefined)]);
		timeout.abort();
	}

	close(): void {
		this.#server.close();
		for (const connection of this.#connections) {
			connection.close();
		}
	}
}

/** Keeps one connection per target and reconnects when the next message is sent after a connection closed. */
export class ConnectionPool {
	readonly #connections = new Map<string, Connection>();
	readonly #onMessage: MessageHandler;

	constructor(onMessage: MessageHandler) {
		this.#onMessage = onMessage;
	}

	send(target: Address, message: Message): void {
		const key = `${target.address}:${target.port}`;
		let connection = this.#connections.get(key);
		if (!connection?.isOpen) {
			connection = connect(target, this.#onMessage);
			this.#connections.set(key, connection);
		}

		connection.send(message);
	}

	close(): void {
		for (const connection of this.#connections.values()) {
			connection.close();
		}

		this.#connections.clear();
	}
}
