/**
 * Stand-ins of the platform: the operator, servers that announce themselves, and clients.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import net from 'node:net';
import process from 'node:process';
import {sleep} from './deployment.js';

const CALL_TIMEOUT_MS = 1000;
const HEARTBEAT_MS = 1200;
const START_TIMEOUT_MS = 20_000;

/** Sends one request on a connection of its own; resolves to its status and body, or to an error. */
export async function call({host, port}, {method = 'GET', path, body}) {
	return new Promise(resolve => {
		const text = body === undefined ? '' : JSON.stringify(body);
		const headers = body === undefined ? {} : {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)};
		const request = http.request({
			host, port, method, path, headers, agent: false,
		}, response => {
			const chunks = [];
			response.on('data', chunk => chunks.push(chunk));
			response.once('end', () => {
				finish({status: response.statusCode, text: Buffer.concat(chunks).toString('utf8')});
			});
			response.once('error', error => {
				finish({error: String(error)});
			});
		});
		const timer = setTimeout(() => {
			request.destroy(new Error('No response in time.'));
		}, CALL_TIMEOUT_MS);
		const finish = result => {
			clearTimeout(timer);
			resolve(result);
		};

		request.once('error', error => {
			finish({error: String(error)});
		});
		request.end(text);
	});
}

/** The operator: sends a configuration to one control machine after the other until one acknowledges it. */
export async function publish(deployment, configuration) {
	const controls = deployment.listControls();
	const untilMs = Date.now() + START_TIMEOUT_MS;
	for (let turn = 0; Date.now() < untilMs; turn++) {
		const {status} = await call(deployment.control(controls[turn % controls.length]), {method: 'PUT', path: '/-/config', body: configuration});
		if (status === 200) {
			return;
		}

		await sleep(100);
	}

	throw new Error('The configuration was not acknowledged.');
}

/** Waits until entry machines say that they are ready. */
export async function waitUntilReady(deployment, names) {
	const untilMs = Date.now() + START_TIMEOUT_MS;
	for (const name of names) {
		while ((await call(deployment.ready(name), {path: '/-/ready'})).status !== 200) {
			if (Date.now() > untilMs) {
				throw new Error(`Machine ${name} is not ready.`);
			}

			await sleep(100);
		}
	}
}

/** Announces a server. After a failure it calls the next control machine. */
export class Announcer {
	constructor(deployment, {id, ip, port, ...fields}) {
		this.deployment = deployment;
		this.id = id;
		this.sequence = 0;
		this.turn = 0;
		this.fields = {
			address: `${ip}:${port}`,
			zone: 'z1',
			version: 'v1',
			slots: 48,
			state: 'ready',
			'cold-remaining-ms': 0,
			born: Date.now(),
			...fields,
		};
	}

	start() {
		const beat = async () => {
			await this.announce();
			if (!this.isStopped) {
				this.timer = setTimeout(beat, HEARTBEAT_MS);
			}
		};

		beat();
	}

	stop() {
		this.isStopped = true;
		clearTimeout(this.timer);
	}

	async announce() {
		this.sequence++;
		const controls = this.deployment.listControls();
		for (let tries = 0; tries < controls.length; tries++) {
			const target = this.deployment.control(controls[this.turn % controls.length]);
			const {status} = await call(target, {method: 'PUT', path: `/-/instances/${this.id}`, body: {...this.fields, sequence: this.sequence}});
			if (status === 200) {
				return;
			}

			this.turn++;
		}
	}
}

/** A server that hands each request, once its body is there, to a function with its connection. */
export class RawServer {
	constructor(onRequest) {
		this.sockets = new Set();
		this.server = net.createServer({noDelay: true}, socket => {
			this.sockets.add(socket);
			socket.on('error', () => socket.destroy());
			socket.once('close', () => this.sockets.delete(socket));
			let buffered = Buffer.alloc(0);
			socket.on('data', bytes => {
				buffered = Buffer.concat([buffered, bytes]);
				for (let request = parseRequest(buffered); request; request = parseRequest(buffered)) {
					buffered = buffered.subarray(request.length);
					onRequest(request, socket);
				}
			});
		});
	}

	/** Listens on a free port of an address and returns the port. */
	async listen(host) {
		await new Promise((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen({host, port: 0}, resolve);
		});
		return this.server.address().port;
	}

	close() {
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}
}

/** Parses a request with a length or without a body; undefined while it is not complete. */
function parseRequest(bytes) {
	const end = bytes.indexOf('\r\n\r\n');
	if (end === -1) {
		return undefined;
	}

	const [line, ...lines] = bytes.subarray(0, end).toString('latin1').split('\r\n');
	const [method, path] = line.split(' ');
	const headers = Object.fromEntries(lines.map(text => {
		const colon = text.indexOf(':');
		return [text.slice(0, colon).toLowerCase(), text.slice(colon + 1).trim()];
	}));
	const length = end + 4 + Number(headers['content-length'] ?? 0);
	const body = bytes.subarray(end + 4, length);
	if (bytes.length < length) {
		return undefined;
	}

	return {
		method, path, headers, body, length,
	};
}

let lastId = 0;

/** Creates the id of a client attempt. */
export function createId() {
	lastId++;
	return `a${process.pid}-${lastId}`;
}

/**
 * Sends one request as a client on a connection of its own, and reads until the connection ends: `end` if the other side closed it,
 * `reset`, `refused`, or `timeout`.
 */
export async function send({host, port}, {method = 'POST', path, hostName, headers, timeoutMs = 10_000}) {
	return new Promise(resolve => {
		const chunks = [];
		const socket = net.connect({host, port, noDelay: true});
		const finish = how => {
			clearTimeout(timer);
			socket.destroy();
			resolve({how, text: Buffer.concat(chunks).toString('latin1')});
		};

		const timer = setTimeout(finish, timeoutMs, 'timeout');
		socket.once('connect', () => {
			socket.write(formatRequest(`${method} ${path}`, {Host: hostName, ...headers}));
		});
		socket.on('data', bytes => chunks.push(bytes));
		socket.once('end', () => finish('end'));
		socket.once('error', ({code}) => finish(code === 'ECONNREFUSED' ? 'refused' : 'reset'));
	});
}

/** Formats a request without a body. */
export function formatRequest(start, headers) {
	const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
	return [`${start} HTTP/1.1`, ...lines, 'Content-Length: 0', '', ''].join('\r\n');
}
