/** A sound backend server: it announces itself, and runs plain requests and streams. */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import http from 'node:http';
import {fetchText} from './network.js';

const HEARTBEAT_MS = 1200;
const RETRY_MS = 100;

export class Server {
	/**
	 * @param options.controls - Addresses (IP:PORT) of the control hosts, which get the heartbeats in turn.
	 * @param options.respond - Answers a request; by default a stream or a short text, as the stage says.
	 */
	constructor({id, service, address, port, controls, record, stage, version = 'v1', slots = 48, gapMs = 100, respond}) {
		Object.assign(this, {
			id, service, address, port, controls, record, stage, version, slots, gapMs, respond,
		});
		this.sequence = 0;
		this.state = 'ready';
		this.running = new Set();
		/** Numbers of the requests that began to run, by attempt. */
		this.runs = new Map();
		this.server = http.createServer((request, response) => {
			const chunks = [];
			request.on('data', chunk => chunks.push(chunk));
			request.on('end', () => {
				this.handle(request, response, Buffer.concat(chunks));
			});
		});
		this.server.keepAliveTimeout = 20_000;
	}

	async start() {
		this.born = Date.now();
		await new Promise((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen({host: this.address, port: this.port}, resolve);
		});
		await this.announce();
		this.timer = setInterval(async () => {
			await this.announce();
		}, HEARTBEAT_MS);
	}

	stop() {
		clearInterval(this.timer);
		this.server.close();
		this.server.closeAllConnections();
	}

	/** Sends a heartbeat; the next control host is called if one doesn't acknowledge it within a second. */
	async announce() {
		return this.send(this.createHeartbeat());
	}

	/** Deregisters without having reported `draining`, and goes on serving. Returns whether that was acknowledged. */
	async deregister() {
		clearInterval(this.timer);
		return this.send(undefined);
	}

	/** The next heartbeat, which may also be delivered later. */
	createHeartbeat() {
		return JSON.stringify({
			service: this.service,
			address: `${this.address}:${this.port}`,
			zone: 'selfoss',
			version: this.version,
			slots: this.slots,
			state: this.state,
			'cold-remaining-ms': 0,
			sequence: ++this.sequence,
			born: this.born,
			...(this.stage !== undefined && {stage: this.stage, models: [{name: 'm', version: 1, adapters: []}]}),
		});
	}

	/** Sends a heartbeat, or without one the end of the registration. */
	async send(body) {
		for (const [index] of this.controls.entries()) {
			const control = this.controls[(this.sequence + index) % this.controls.length];
			const answer = await fetchText(`http://${control}/-/instances/${this.id}`, {method: body === undefined ? 'DELETE' : 'PUT', body, timeoutMs: 1000});
			if (answer.status >= 200 && answer.status < 300) {
				return true;
			}

			await new Promise(resolve => {
				setTimeout(resolve, RETRY_MS);
			});
		}

		return false;
	}

	handle(request, response, body) {
		const attempt = request.headers['carawayhoist-attempt-id'];
		const expected = request.headers['carawayhoist-expect-instance'];
		response.setHeader('Carawayhoist-Instance-Id', this.id);
		if (attempt !== undefined) {
			response.setHeader('Carawayhoist-Attempt-Id', attempt);
		}

		if (expected !== undefined && expected !== this.id) {
			response.writeHead(421, {'Carawayhoist-Not-Executed': '1', 'content-length': 0});
			response.end();
			return;
		}

		if (request.url.startsWith('/-/') || request.url === '/health') {
			response.writeHead(200, {'content-type': 'application/json'});
			response.end('{}');
			return;
		}

		if (attempt === undefined) {
			response.writeHead(400, {'Carawayhoist-Not-Executed': '1', 'content-length': 0});
			response.end();
			return;
		}

		if (request.headers['carawayhoist-serving-stage'] === 'prefill') {
			response.writeHead(200, {'content-type': 'application/json'});
			response.end(JSON.stringify({handle: randomBytes(6).toString('hex'), tokens: 100, version: 1}));
			return;
		}

		this.runs.set(attempt, (this.runs.get(attempt) ?? 0) + 1);
		this.record.note(`${this.id} runs ${attempt} ${request.method} ${request.url}`);
		response.setHeader('Carawayhoist-Server-Stamp', `${this.id}.${attempt}`);
		response.setHeader('Carawayhoist-Instance-Load', `${this.running.size},0,${this.slots}`);
		this.running.add(response);
		response.once('close', () => {
			this.running.delete(response);
		});
		if (this.respond) {
			this.respond(request, response, {attempt, body});
		} else if (this.stage === undefined) {
			response.end(`answer to ${attempt}`);
		} else {
			this.stream(request, response, attempt);
		}
	}

	/** Sends the events of a stream; the path ends with their number. A resumed stream goes on after `Last-Event-Id`. */
	stream(request, response, attempt) {
		const count = Number(request.url.split('/').at(-1));
		let event = Number(request.headers['last-event-id'] ?? 0);
		response.writeHead(200, {'content-type': 'text/event-stream', 'Carawayhoist-Weight-Versions': '1'});
		const timer = setInterval(() => {
			event++;
			response.write(`id: ${event}\ndata: ${this.version} ${attempt}\n\n`);
			if (event >= count) {
				clearInterval(timer);
				response.end();
			}
		}, this.gapMs);
		response.once('close', () => {
			clearInterval(timer);
		});
	}
}
