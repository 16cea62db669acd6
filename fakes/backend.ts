/**
 * Base class of the fake backend servers: an HTTP server that announces itself to entry hosts.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Announcement} from '../src/generated/types.js';

export type FakeBackendOptions = {
	readonly name: string;
	readonly port?: number;
	readonly dataCentre?: string;
	/** Base URLs of entry hosts, such as `http://127.0.0.1:8080`. Announcements go to them in turn, as through a load balancer. */
	readonly entries: readonly string[];
	readonly announceIntervalMs?: number;
	/** Port to announce instead of the port listened on, for tests that put a proxy in front of the server. */
	readonly announcedPort?: number;
	/** Must increase with each start of a server of the same name; defaults to the current time. */
	readonly incarnation?: number;
};

const DEFAULT_ANNOUNCE_INTERVAL_MS = 300;
const ANNOUNCE_TIMEOUT_MS = 1000;

/** A fake backend server. Whoever starts it must stop it. */
export abstract class FakeBackend {
	readonly options: FakeBackendOptions;
	readonly #server: http.Server;
	readonly #incarnation: number;
	#timer: NodeJS.Timeout | undefined;
	#sequence = 0;
	#port = 0;
	#isLeaving = false;

	constructor(options: FakeBackendOptions) {
		this.options = options;
		this.#incarnation = options.incarnation ?? Date.now();
		this.#server = http.createServer((request, response) => {
			void this.#readAndHandle(request, response);
		});
		this.#server.keepAliveTimeout = 10_000;
	}

	get port(): number {
		return this.#port;
	}

	get url(): string {
		return `http://127.0.0.1:${this.#port}`;
	}

	get incarnation(): number {
		return this.#incarnation;
	}

	async start(): Promise<number> {
		await new Promise<void>(resolve => {
			this.#server.listen({host: '127.0.0.1', port: this.options.port ?? 0}, resolve);
		});
		this.#port = (this.#server.address() as AddressInfo).port;
		this.#timer = setInterval(() => {
			this.announce();
		}, this.options.announceIntervalMs ?? DEFAULT_ANNOUNCE_INTERVAL_MS);
		this.announce();
		return this.#port;
	}

	/** Announces to every entry host that this server takes no new work. */
	announceLeaving(): void {
		this.#isLeaving = true;
		for (const _entry of this.options.entries) {
			this.announce();
		}
	}

	/** Closes every open connection; new ones are still accepted. */
	closeConnections(): void {
		this.#server.closeAllConnections();
	}

	stop(): void {
		clearInterval(this.#timer);
		this.#server.close();
		this.#server.closeAllConnections();
	}

	announce(): void {
		this.#sequence++;
		const {name, dataCentre, entries} = this.options;
		const announcement: Announcement = {
			server: name,
			address: '127.0.0.1',
			port: this.options.announcedPort ?? this.#port,
			incarnation: this.#incarnation,
			sequence: this.#sequence,
			...(dataCentre === undefined ? {} : {dataCentre}),
			...(this.#isLeaving ? {leaving: true} : {}),
			...this.describeAnnouncement(),
		};
		const entry = entries[this.#sequence % entries.length];
		if (entry !== undefined) {
			postJson(`${entry}/backends/announce`, announcement);
		}
	}

	/** Returns the fields of the announcement that depend on the kind of server. */
	protected abstract describeAnnouncement(): Pick<Announcement, 'kind'> & Partial<Announcement>;

	/** Answers one request, whose body was read completely. */
	protected abstract handleRequest(request: http.IncomingMessage, response: http.ServerResponse, body: string): Promise<void> | void;

	async #readAndHandle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		const chunks: Buffer[] = [];
		try {
			for await (const chunk of request) {
				chunks.push(chunk as Buffer);
			}
		} catch {
			return;
		}

		await this.handleRequest(request, response, Buffer.concat(chunks).toString('utf8'));
	}
}

/**
 * Sends a JSON response.
 *
 * @example
 * ```ts
 * sendJson(response, 200, {ok: true});
 * ```
 */
export function sendJson(response: http.ServerResponse, status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): void {
	const body = JSON.stringify(value);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...headers});
	response.end(body);
}

function postJson(url: string, value: unknown): void {
	const body = JSON.stringify(value);
	const request = http.request(url, {
		method: 'POST', timeout: ANNOUNCE_TIMEOUT_MS, headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)},
	}, response => response.resume());
	request.on('timeout', () => request.destroy());
	request.on('error', () => undefined);
	request.end(body);
}
