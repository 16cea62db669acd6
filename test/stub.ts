/**
 * A backend server as the platform describes it, for tests: an engine that reads or makes tokens, or a plain service.
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
	/** Takes over the answer to a request; false to answer as usual. */
	readonly intercept?: (request: IncomingMessage, response: ServerResponse, body: Buffer) => boolean;
};

/** A request that reached the server. */
export type ReceivedRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: http.IncomingHttpHeaders;
	readonly body: string;
};

const EVENTS = 4;

/** A running stand-in. Whoever started it stops it. */
export class StubBackend {
	readonly receivedRequests: ReceivedRequest[] = [];
	readonly orders: unknown[] = [];
	stage: string | undefined;
	readonly #options: StubBackendOptions;
	readonly #server: http.Server;
	readonly #handles = new Set<string>();
	#sequence = 0;
	readonly #born = Date.now();

	constructor(options: StubBackendOptions) {
		this.#options = options;
		this.stage = options.stage;
		this.#server = http.createServer((request, response) => {
			const chunks: Buffer[] = [];
			request.on('data', (chunk: Buffer) => chunks.push(chunk));
			request.on('end', () => {
				this.#answer(request, response, Buffer.concat(chunks));
			});
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Read prompts that were not taken or freed. */
	get openHandleCount(): number {
		return this.#handles.size;
	}

	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	stop(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Announces itself; returns the status of the answer. */
	async announce(control: string, state = 'ready'): Promise<number> {
		const engine = this.stage === undefined ? {} : {stage: this.stage, models: [{name: 'm', version: 1, adapters: []}]};
		const response = await fetch(`http://${control}/-/instances/${this.#options.id}`, {
			method: 'PUT',
			body: JSON.stringify({
				service: this.#options.service, address: this.address, zone: 'a', version: 'v1', slots: 8, state, 'cold-remaining-ms': 0, sequence: ++this.#sequence, born: this.#born, ...engine,
			}),
		});
		return response.status;
	}

	#answer(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
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
			this.#serve(request, response);
		}
	}

	#serve(request: IncomingMessage, response: ServerResponse): void {
		const id = String(request.headers['carawayhoist-attempt-id']);
		const headers = {'carawayhoist-attempt-id': id, 'carawayhoist-server-stamp': `${this.#options.id}.${id}`};
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
		for (let event = from + 1; event <= EVENTS; event++) {
			response.write(`id: ${event}\ndata: ${id} ${event}\n\n`);
		}

		response.end();
	}
}
