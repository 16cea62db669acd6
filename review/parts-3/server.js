/** Stand-in of a plain backend server that announces itself as the pages say, and of the operator. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {call} from './system.js';

const HEARTBEAT_MS = 1200;
const MAX_HEAD_BYTES = 65_536;

/** A server of a service without engines. Its creator must close it. */
export class PlainServer {
	/** Requests that it began to run. */
	runs = [];
	/** Whether all answers say that the server leaves. */
	isLeaving = false;
	#options;
	#server;
	#timer;
	#sequence = 0;
	#born = Date.now();

	/** @param options - `host`, `id`, `service` and `listControls`; `respond` replaces the usual response. */
	constructor(options) {
		this.#options = {
			workMs: 20, slots: 6, ...options,
		};
	}

	get address() {
		const {address, port} = this.#server.address();
		return `${address}:${port}`;
	}

	async start() {
		this.#server = http.createServer({maxHeaderSize: MAX_HEAD_BYTES}, (request, response) => {
			this.#handle(request, response);
		});
		this.#server.keepAliveTimeout = 15_000;
		await new Promise(resolve => {
			this.#server.listen({host: this.#options.host, port: this.#options.port ?? 0}, resolve);
		});
		this.#timer = setInterval(() => {
			this.announce();
		}, HEARTBEAT_MS);
		await this.announce();
	}

	/** Sends a heartbeat to the first control host that acknowledges it. */
	async announce() {
		const {id, listControls} = this.#options;
		await sendToControls(listControls(), `/-/instances/${id}`, this.createHeartbeat());
	}

	/** Creates the body of the next heartbeat. */
	createHeartbeat() {
		const {service, slots} = this.#options;
		return JSON.stringify({
			service, address: this.address, zone: 'selfoss', version: 'v1', slots, state: 'ready', 'cold-remaining-ms': 0, sequence: ++this.#sequence, born: this.#born,
		});
	}

	stopAnnouncing() {
		clearInterval(this.#timer);
	}

	async close() {
		clearInterval(this.#timer);
		this.#server.closeAllConnections();
		await new Promise(resolve => {
			this.#server.close(resolve);
		});
	}

	async #handle(request, response) {
		const body = await readBody(request);
		if (body === undefined) {
			return;
		}

		const {id, workMs, respond} = this.#options;
		const attempt = request.headers['carawayhoist-attempt-id'];
		const expected = request.headers['carawayhoist-expect-instance'];
		if (expected !== undefined && expected !== id) {
			response.writeHead(421, {'carawayhoist-instance-id': id, 'carawayhoist-not-executed': '1', 'carawayhoist-attempt-id': attempt});
			response.end();
			return;
		}

		this.runs.push({atMs: performance.now(), attempt, path: request.url});
		if (respond) {
			respond(request, response, body);
			return;
		}

		setTimeout(() => {
			response.writeHead(200, {
				'carawayhoist-attempt-id': attempt, 'carawayhoist-server-stamp': `stamp-${id}-${attempt}`, 'content-type': 'text/plain', ...(this.isLeaving && {'server-leaving': '1'}),
			});
			response.end(`answer of ${id} to ${attempt}`);
		}, workMs);
	}
}

/** Reads a body; undefined if its connection has closed before the end. */
export async function readBody(request) {
	const pieces = [];
	try {
		for await (const piece of request) {
			pieces.push(piece);
		}
	} catch {
		// The caller has closed the connection.
		return undefined;
	}

	return Buffer.concat(pieces);
}

/** Sends a call to the control hosts in turn until one acknowledges it; returns whether one did. */
export async function sendToControls(controls, path, body) {
	for (const control of controls) {
		const {status} = await call({
			...control, path, method: 'PUT', body, headers: {'content-type': 'application/json'}, timeoutMs: 1000,
		});
		if (status === 200) {
			return true;
		}
	}

	return false;
}

/** Sends a configuration until a control host acknowledges it. */
export async function publish(controls, config) {
	for (let round = 0; round < 50; round++) {
		if (await sendToControls(controls, '/-/config', JSON.stringify(config))) {
			return;
		}
	}

	throw new Error('No control host acknowledged the configuration.');
}

export const LIMITS = {
	'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
};

/** Creates a configuration with one route to one service without engines. */
export function createConfig(version, {type = 'unsafe', service = 'ops', timeoutMs = 3000, attempts = 1} = {}) {
	const route = {
		name: 'r-1', host: 'review.example', 'path-prefix': '/work/', type, 'timeout-ms': timeoutMs, 'slo-ms': 500, priority: 1, service, 'max-attempts': attempts, sticky: false, resumable: false, 'itl-target-ms': 300,
	};
	const plain = {
		name: service, 'health-path': '/health', 'max-conns': 214, protocol: 'h1', tls: false,
	};
	return {
		version, routes: [route], services: [plain], limits: LIMITS,
	};
}
