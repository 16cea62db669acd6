/**
 * Stub of a backend server that speaks the platform's protocol: an engine that prefills or decodes, or a plain server.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

export type StubBackendOptions = {
	readonly id: string;
	readonly service: string;
	readonly stage?: 'prefill' | 'decode';
	/** Version of the stub's software, `v1` by default. */
	readonly software?: string;
	/** Headers that the stub adds to its responses. */
	readonly responseHeaders?: Record<string, string>;
	/** Handles a request instead of the stub; returns false to let the stub respond as usual. */
	readonly intercept?: (request: IncomingMessage, response: ServerResponse, body: Buffer) => boolean;
};

/** A request that the stub has received. */
export type ReceivedRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: http.IncomingHttpHeaders;
	readonly body: string;
};

const EVENTS_PER_STREAM = 4;

/** A stub backend server. The caller that starts it must stop it. */
export class StubBackend {
	readonly receivedRequests: ReceivedRequest[] = [];
	readonly orders: unknown[] = [];
	stage: string | undefined;
	readonly #options: StubBackendOptions;
	readonly #server: http.Server;
	readonly #handles = new Set<string>();
	#sequence = 0;
	readonly #startedAtMs = Date.now();

	constructor(options: StubBackendOptions) {
		this.#options = options;
		this.stage = options.stage;
		this.#server = http.createServer((request, response) => {
			const chunks: Buffer[] = [];
			request.on('data', (chunk: Buffer) => chunks.push(chunk));
			request.on('end', () => {
				this.#handle(request, response, Buffer.concat(chunks));
			});
		});
		// By default, Node drops header lines beyond the 1,000th, and a test could not tell who dropped them.
		this.#server.maxHeadersCount = 0;
	}

	get id(): string {
		return this.#options.id;
	}

	get isRunning(): boolean {
		return this.#server.listening;
	}

	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	get address(): string {
		return `127.0.0.1:${this.port}`;
	}

	/** Number of KV cache handles that were issued and not deleted. */
	get openHandleCount(): number {
		return this.#handles.size;
	}

	/** Starts listening, on any free port unless one is given. */
	async start(port = 0): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(port, '127.0.0.1', resolve);
		});
	}

	stop(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Announces the server to a control host and returns the status code of the response. */
	async announce(control: string, state = 'ready'): Promise<number> {
		return this.sendAnnouncement(control, this.createAnnouncement(state));
	}

	/** Creates the body of the next announcement. */
	createAnnouncement(state = 'ready'): string {
		const engine = this.stage === undefined ? {} : {stage: this.stage, models: [{name: 'm', version: 1, adapters: []}]};
		return JSON.stringify({
			service: this.#options.service, address: this.address, zone: 'a', version: this.#options.software ?? 'v1', slots: 8, state, 'cold-remaining-ms': 0, sequence: ++this.#sequence, born: this.#startedAtMs, ...engine,
		});
	}

	/** Sends an announcement, which may have been created long before; returns the status of the response. */
	async sendAnnouncement(control: string, body: string): Promise<number> {
		const response = await fetch(`http://${control}/-/instances/${this.#options.id}`, {method: 'PUT', body});
		return response.status;
	}

	/** Handles orders, handle deletions and attempts; rejects attempts that expect another instance. */
	#handle(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
		const {method = '', url = ''} = request;
		if (url === '/-/order') {
			const order = JSON.parse(body.toString()) as {stage: string};
			this.orders.push(order);
			this.stage = order.stage;
			response.writeHead(202).end();
			return;
		}

		if (url.startsWith('/-/kv-handle/')) {
			this.#handles.delete(url.slice('/-/kv-handle/'.length));
			response.writeHead(200).end();
			return;
		}

		const expected = request.headers['carawayhoist-expect-instance'];
		if (expected !== undefined && expected !== this.#options.id) {
			response.writeHead(421, {'carawayhoist-instance-id': this.#options.id}).end();
			return;
		}

		this.receivedRequests.push({
			method, path: url, headers: request.headers, body: body.toString(),
		});
		if (this.#options.intercept?.(request, response, body) !== true) {
			this.#respond(request, response);
		}
	}

	/** Responds to an attempt as the current stage does. */
	#respond(request: IncomingMessage, response: ServerResponse): void {
		const id = String(request.headers['carawayhoist-attempt-id']);
		const headers = {'carawayhoist-attempt-id': id, 'carawayhoist-server-stamp': `${this.#options.id}.${id}`, ...this.#options.responseHeaders};
		if (this.stage === undefined) {
			response.writeHead(200, headers).end(`plain ${id}`);
			return;
		}

		if (request.headers['carawayhoist-serving-stage'] === 'prefill') {
			const handle = `h${this.receivedRequests.length}`;
			this.#handles.add(handle);
			response.writeHead(200, {...headers, 'content-type': 'application/json'}).end(JSON.stringify({handle, tokens: 1, version: 1}));
			return;
		}

		if (this.stage === 'prefill') {
			response.writeHead(421, headers).end();
			return;
		}

		const from = Number(request.headers['last-event-id'] ?? 0);
		response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
		for (let event = from + 1; event <= EVENTS_PER_STREAM; event++) {
			response.write(`id: ${event}\ndata: ${id} ${event}\n\n`);
		}

		response.end();
	}
}

/** Creates the headers with which a server marks a response as the one to a request. */
export function createResponseHeaders(request: IncomingMessage): Record<string, string> {
	return {'carawayhoist-attempt-id': String(request.headers['carawayhoist-attempt-id'])};
}
