/**
 * A configuration and servers like those of the small deployments.
 *
 * @module
 */
import {Announcer, RawServer} from './platform.js';

export const HOST = 'a.example';

/** A configuration with a streaming route to model servers and a safe route to plain servers. */
export function createConfiguration({streamTimeoutMs = 6000} = {}) {
	return {
		version: 1,
		routes: [
			{
				name: 'r-stream',
				host: HOST,
				'path-prefix': '/g/',
				type: 'streaming',
				'timeout-ms': streamTimeoutMs,
				'slo-ms': 600,
				priority: 1,
				service: 'llm',
				'max-attempts': 1,
				sticky: true,
				resumable: false,
				'itl-target-ms': 300,
			},
			{
				name: 'r-read',
				host: HOST,
				'path-prefix': '/s/',
				type: 'safe',
				'timeout-ms': 3000,
				'slo-ms': 600,
				priority: 1,
				service: 'api',
				'max-attempts': 2,
				sticky: false,
				resumable: false,
			},
		],
		services: [
			{
				name: 'llm',
				'health-path': '/health',
				'max-conns': 643,
				protocol: 'h1',
				tls: false,
				engine: {
					slots: 48,
					'kv-capacity': 444_000,
					'kv-bytes': 131_072,
					'link-mbps': 1_500_000,
					moves: true,
					backups: true,
					stride: 10,
					most: 12,
					'handle-ttl-s': 5,
					'switch-s': 3,
					'pin-ms': 4000,
					'hold-ms': 2000,
					models: [{name: 'm'}],
				},
			},
			{
				name: 'api',
				'health-path': '/health',
				'max-conns': 214,
				protocol: 'h1',
				tls: false,
			},
		],
		limits: {
			'max-header-bytes': 16_384,
			'max-body-bytes': 4_194_304,
			'header-timeout-ms': 3000,
			'idle-timeout-ms': 15_000,
		},
	};
}

/** The head of a server's answer to an attempt, without its framing. */
export function formatHead(attempt, type) {
	return `HTTP/1.1 200 OK\r\nContent-Type: ${type}\r\nCarawayhoist-Attempt-Id: ${attempt}\r\nCarawayhoist-Server-Stamp: stamp.${attempt}\r\n`;
}

/** Formats an answer of a server itself: a refusal, or to a call that is no run. */
function formatReply(status, {attempt, text = '', isNotExecuted = false} = {}) {
	const lines = [
		`HTTP/1.1 ${status} Status`,
		...(attempt === undefined ? [] : [`Carawayhoist-Attempt-Id: ${attempt}`]),
		...(isNotExecuted ? ['Carawayhoist-Not-Executed: 1'] : []),
		'Content-Type: application/json',
		`Content-Length: ${text.length}`,
	];
	return `${lines.join('\r\n')}\r\n\r\n${text}`;
}

/** Starts a plain server that answers each request at once. */
export async function startPlainServer(deployment, index) {
	const id = `i-plain-${index}`;
	const server = new RawServer(({headers}, socket) => {
		const attempt = headers['carawayhoist-attempt-id'];
		const isForThis = headers['carawayhoist-expect-instance'] === id;
		socket.write(attempt !== undefined && isForThis
			? `${formatHead(attempt, 'text/plain')}Content-Length: 2\r\n\r\nok`
			: formatReply(isForThis ? 400 : 421, {attempt, isNotExecuted: true}));
	});
	const ip = deployment.serverIp(index);
	const port = await server.listen(ip);
	const announcer = new Announcer(deployment, {
		id, ip, port, service: 'api', slots: 6,
	});
	return {server, announcer};
}

/** Starts a model server whose runs are written by a function of the attempt and its connection. */
export async function startModelServer(deployment, index, write) {
	const model = new ModelServer(deployment, index, write);
	await model.listen();
	return model;
}

class ModelServer {
	constructor(deployment, index, write) {
		this.deployment = deployment;
		this.index = index;
		this.write = write;
		this.id = `i-model-${index}`;
		this.stage = 'decode';
		this.lastHandle = 0;
		this.server = new RawServer((request, socket) => {
			this.answer(request, socket);
		});
	}

	async listen() {
		const ip = this.deployment.serverIp(this.index);
		const port = await this.server.listen(ip);
		this.announcer = new Announcer(this.deployment, {
			id: this.id, ip, port, service: 'llm', stage: this.stage, models: [{name: 'm', version: 1, adapters: []}],
		});
	}

	answer({path, headers, body}, socket) {
		const attempt = headers['carawayhoist-attempt-id'];
		if (path.startsWith('/-/kv-handle/')) {
			socket.write(formatReply(200, {text: '{}'}));
		} else if (headers['carawayhoist-expect-instance'] !== this.id) {
			socket.write(formatReply(421, {attempt, isNotExecuted: true}));
		} else if (path === '/-/order') {
			socket.write(formatReply(this.takeOrder(JSON.parse(body.toString('utf8'))), {text: '{}'}));
		} else if (attempt === undefined) {
			socket.write(formatReply(400, {isNotExecuted: true}));
		} else if (headers['carawayhoist-serving-stage'] === 'prefill') {
			this.lastHandle++;
			socket.write(formatReply(200, {attempt, text: JSON.stringify({handle: `${this.index}f${this.lastHandle}`, tokens: 1460, version: 1})}));
		} else if (this.stage === 'prefill') {
			socket.write(formatReply(421, {attempt, isNotExecuted: true}));
		} else {
			this.write(attempt, socket);
		}
	}

	/** Takes an order to change the stage, which is done a moment later; returns the status. */
	takeOrder({stage}) {
		if (stage === this.stage) {
			return 200;
		}

		setTimeout(() => {
			this.stage = stage;
			this.announcer.fields.stage = stage;
		}, 500);
		return 202;
	}
}

/** Headers of a client's request to model servers. */
export function createPromptHeaders(id, deadlineMs = 5000) {
	return {
		'Carawayhoist-Attempt-Id': id,
		'Carawayhoist-Model': 'm',
		'Carawayhoist-Token-Counts': '1460,80',
		'Carawayhoist-Prompt-Prefix': '5c1e07a2:800,91bd3f06:410,e4402b7d:250',
		'Carawayhoist-Deadline-Ms': String(deadlineMs),
	};
}
