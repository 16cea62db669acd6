/**
 * What fake backend servers share: HTTP, announcements, counting.
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
	/** Entry hosts, such as `http://127.0.0.1:8080`; announcements go to each in turn, as through a balancer. */
	readonly entries: readonly string[];
	readonly announceIntervalMs?: number;
	/** Port to announce instead of the own one: that of something between the two ends. */
	readonly announcedPort?: number;
	/** Rises with each start. */
	readonly incarnation?: number;
};

const ANNOUNCE_EVERY_MS = 300;
const ANNOUNCE_TIMEOUT_MS = 1000;

/** A fake backend server. Whoever started it stops it. */
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
			void this.#serve(request, response);
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
		}, this.options.announceIntervalMs ?? ANNOUNCE_EVERY_MS);
		this.announce();
		return this.#port;
	}

	/** Announces that no new work is taken. */
	announceLeaving(): void {
		this.#isLeaving = true;
		for (const _entry of this.options.entries) {
			this.announce();
		}
	}

	/** Breaks every open connection; new ones are still accepted. */
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

	/** What the announcement says beyond name and address. */
	protected abstract describeAnnouncement(): Pick<Announcement, 'kind'> & Partial<Announcement>;

	protected abstract handleRequest(request: http.IncomingMessage, response: http.ServerResponse, body: string): Promise<void> | void;

	async #serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
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
 * Answers with JSON.
 *
 * @example
 * ```ts
 * replyJson(response, 200, {ok: true});
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
