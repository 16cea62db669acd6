/**
 * A caller's connection whose bytes the test writes and reads itself.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import type {Address} from '../src/wire/connection.js';

/** A connection to a host. */
export class CallerConnection {
	/** What has arrived when the connection is closed. */
	readonly closed: Promise<string>;
	readonly #socket: net.Socket;
	readonly #chunks: Buffer[] = [];
	#isClosed = false;

	constructor({address, port}: Address) {
		this.#socket = net.connect({host: address, port});
		this.#socket.on('data', chunk => {
			this.#chunks.push(chunk);
		});
		// A reset shows as a response that is missing or ends early.
		this.#socket.on('error', () => undefined);
		this.closed = new Promise(resolve => {
			this.#socket.once('close', () => {
				this.#isClosed = true;
				resolve(this.text);
			});
		});
	}

	/** What has arrived so far. */
	get text(): string {
		return Buffer.concat(this.#chunks).toString();
	}

	get isClosed(): boolean {
		return this.#isClosed;
	}

	write(text: string): void {
		this.#socket.write(text);
	}

	/** Sends a request of the platform. */
	send(target: string, id: string, headers = ''): void {
		this.write(`GET ${target} HTTP/1.1\r\nhost: a.example\r\ncarawayhoist-attempt-id: ${id}\r\n${headers}\r\n`);
	}

	disconnect(): void {
		this.#socket.destroy();
	}

	/** Reads nothing until `resume` is called. */
	pause(): void {
		this.#socket.pause();
	}

	resume(): void {
		this.#socket.resume();
	}
}

/** Sends bytes on a new connection. */
export function sendBytes(address: Address, text: string): CallerConnection {
	const connection = new CallerConnection(address);
	connection.write(text);
	return connection;
}

/** Whether a host accepts connections. */
export async function accepts({address, port}: Address): Promise<boolean> {
	return new Promise(resolve => {
		const socket = net.connect({host: address, port});
		socket.once('connect', () => {
			socket.destroy();
			resolve(true);
		});
		socket.once('error', () => {
			resolve(false);
		});
	});
}
