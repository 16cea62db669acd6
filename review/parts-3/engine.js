/** Stand-in of a model server that announces itself, streams answers and takes orders as the pages say. */
import http from 'node:http';
import {LIMITS, readBody, sendToControls} from './server.js';

const HEARTBEAT_MS = 1200;
const SWITCH_MS = 3000;
const FIRST_EVENT_MS = 30;
const EVENT_GAP_MS = 20;
const MAX_HEAD_BYTES = 65_536;
let lastHandle = 0;

/** A model server. Its creator must close it. */
export class Engine {
	/** Requests that reached it, except those that it rejected. */
	requests = [];
	#options;
	#server;
	#timer;
	#id;
	#born;
	#stage;
	#sequence = 0;
	#isBusy = false;
	#isUp = false;
	#isEnded = false;
	#port = 0;

	/** @param options - `host`, `name`, `service` and `listControls`; `crashes` tells whether a request crashes the server. */
	constructor(options) {
		this.#options = {
			stage: 'decode', backMs: 2000, events: 4, crashes: () => false, onCrash: () => undefined, ...options,
		};
	}

	async start() {
		this.#born = Date.now();
		this.#id = `${this.#options.name}-${this.#born.toString(36)}`;
		this.#sequence = 0;
		this.#isBusy = false;
		this.#stage = this.#options.stage;
		this.#server = http.createServer({maxHeaderSize: MAX_HEAD_BYTES}, (request, response) => {
			this.#handle(request, response);
		});
		await new Promise(resolve => {
			this.#server.listen({host: this.#options.host, port: this.#port}, resolve);
		});
		this.#port = this.#server.address().port;
		this.#isUp = true;
		this.#timer = setInterval(() => {
			this.#announce();
		}, HEARTBEAT_MS);
		await this.#announce();
	}

	async close() {
		this.#isEnded = true;
		await this.#stop();
	}

	async #stop() {
		if (!this.#isUp) {
			return;
		}

		this.#isUp = false;
		clearInterval(this.#timer);
		this.#server.closeAllConnections();
		await new Promise(resolve => {
			this.#server.close(resolve);
		});
	}

	async #announce() {
		const {host, service, listControls} = this.#options;
		const body = JSON.stringify({
			service, address: `${host}:${this.#port}`, zone: 'selfoss', version: 'v1', slots: 48, state: 'ready', 'cold-remaining-ms': 0, stage: this.#stage, models: [{name: 'm', version: 1, adapters: []}], sequence: ++this.#sequence, born: this.#born,
		});
		await sendToControls(listControls(), `/-/instances/${this.#id}`, body);
	}

	/** Ends this incarnation; the next one starts at the same address some seconds later. */
	async #crash() {
		if (!this.#isUp) {
			return;
		}

		this.#options.onCrash();
		await this.#stop();
		setTimeout(() => {
			if (!this.#isEnded) {
				this.start();
			}
		}, this.#options.backMs);
	}

	async #handle(request, response) {
		const {headers, url, method} = request;
		const body = await readBody(request);
		if (body === undefined) {
			return;
		}

		if (url === '/-/order') {
			this.#takeOrder(headers, JSON.parse(body), response);
			return;
		}

		if (method === 'DELETE') {
			response.end('{}');
			return;
		}

		const attempt = headers['carawayhoist-attempt-id'];
		const isPrefill = headers['carawayhoist-serving-stage'] === 'prefill';
		const isWrong = headers['carawayhoist-expect-instance'] !== this.#id || isPrefill !== (this.#stage === 'prefill');
		if (isWrong || this.#isBusy) {
			response.writeHead(isWrong ? 421 : 503, {'carawayhoist-not-executed': '1', 'carawayhoist-attempt-id': attempt, 'carawayhoist-instance-id': this.#id});
			response.end();
			return;
		}

		this.requests.push({atMs: performance.now(), attempt, prefix: headers['carawayhoist-prompt-prefix']});
		if (isPrefill) {
			response.writeHead(200, {'carawayhoist-attempt-id': attempt, 'content-type': 'application/json'});
			response.end(JSON.stringify({handle: `h${++lastHandle}`, tokens: 100, version: 1}));
			return;
		}

		setTimeout(() => {
			if (this.#options.crashes(headers)) {
				this.#crash();
			} else {
				this.#stream(attempt, response);
			}
		}, FIRST_EVENT_MS);
	}

	#takeOrder(headers, order, response) {
		const expected = headers['carawayhoist-expect-instance'] ?? this.#id;
		const isDone = order.stage === this.#stage;
		if (expected !== this.#id) {
			response.writeHead(421);
		} else if (isDone) {
			response.writeHead(200, {'content-type': 'application/json'});
		} else if (this.#isBusy) {
			response.writeHead(409, {'content-type': 'application/json'});
		} else {
			response.writeHead(202, {'content-type': 'application/json'});
			this.#isBusy = true;
			const id = this.#id;
			setTimeout(() => {
				if (this.#id === id) {
					this.#stage = order.stage;
					this.#isBusy = false;
				}
			}, SWITCH_MS);
		}

		response.end('{}');
	}

	#stream(attempt, response) {
		response.writeHead(200, {'carawayhoist-attempt-id': attempt, 'carawayhoist-server-stamp': `stamp-${this.#id}-${attempt}`, 'content-type': 'text/event-stream'});
		let event = 0;
		const timer = setInterval(() => {
			response.write(`id: ${event}\ndata: token ${event}\n\n`);
			if (++event === this.#options.events) {
				clearInterval(timer);
				response.end();
			}
		}, EVENT_GAP_MS);
		response.once('close', () => {
			clearInterval(timer);
		});
	}
}

/** Creates a configuration with one route to one service of model servers. */
export function createEngineConfig(version, {attempts = 2, isResumable = true, service = 'llm'} = {}) {
	const route = {
		name: 'r-llm', host: 'review.example', 'path-prefix': '/chat/', type: 'streaming', 'timeout-ms': 5000, 'slo-ms': 600, priority: 1, service, 'max-attempts': attempts, sticky: true, resumable: isResumable, 'itl-target-ms': 300,
	};
	const engine = {
		slots: 48, 'kv-capacity': 444_000, 'kv-bytes': 131_072, 'link-mbps': 1_500_000, moves: true, backups: true, stride: 10, most: 12, 'handle-ttl-s': 5, 'switch-s': 3, 'pin-ms': 4000, 'hold-ms': 2000, models: [{name: 'm'}],
	};
	const pool = {
		name: service, 'health-path': '/health', 'max-conns': 643, protocol: 'h1', tls: false, engine,
	};
	return {
		version, routes: [route], services: [pool], limits: LIMITS,
	};
}
