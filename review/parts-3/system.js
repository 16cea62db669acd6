/** Starts the project's programs on loopback addresses as a small deployment does, with settings from the templates of the deploy file. */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const START_TIMEOUT_MS = 30_000;
const LOG_BYTES = 400_000;

/** Bounds and machines of a small site. */
const BOUNDS = {
	'grace-s': 8, 'lease-ms': 3000, 'retry-budget-ratio': 0.2, 'budget-window-s': 10, 'retry-budget-slack': 116, 'catch-up-s': 4, 'drain-ms': 2000,
};
const MACHINES = {
	edge: {'memory-mb': 272, 'max-fds': 2069, 'disk-mb': 0},
	core: {'memory-mb': 346, 'max-fds': 4096, 'disk-mb': 128},
};
const ROLES = {edge: 'entry', core: 'control'};
const ZONES = ['selfoss', 'hella', 'vik'];
const FIRST_ADDRESS = {edge: 11, core: 101};

/** A deployment of entry and control processes. Its creator must close it. */
export class System {
	/** The machines by name, each with its process. */
	machines = new Map();
	#folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
	#network = `127.${100 + Math.floor(Math.random() * 100)}.${Math.floor(Math.random() * 250)}`;
	#ports;

	/** Finds ports, which are the same on all machines. */
	static async create() {
		const system = new System();
		const host = system.address(1);
		system.#ports = {
			front: await findPort(host),
			ready: await findPort(host),
			control: await findPort(host),
			internal: await findPort(host),
		};
		return system;
	}

	/** Starts all machines at the same time, as at the first start of a system. */
	async start({edges, cores}) {
		const list = [...this.#createMachines('core', cores), ...this.#createMachines('edge', edges)];
		this.seeds = list.slice(0, Math.min(3, cores)).map(({address}) => `${address}:${this.#ports.control}`);
		for (const machine of list) {
			this.machines.set(machine.name, machine);
			this.launch(machine.name, true);
		}

		await Promise.all(this.list('core').map(async ({address}) => waitUntil(async () => canConnect(address, this.#ports.control))));
	}

	list(type) {
		return [...this.machines.values()].filter(machine => machine.type === type);
	}

	controlOf({address}) {
		return {host: address, port: this.#ports.control};
	}

	frontOf({address}) {
		return {host: address, port: this.#ports.front};
	}

	/** An address of the network of this system. */
	address(last) {
		return `${this.#network}.${last}`;
	}

	/** Starts the process of a machine. */
	launch(name, isFirst) {
		const machine = this.machines.get(name);
		const settings = path.join(this.#folder, `${name}.json`);
		fs.writeFileSync(settings, this.#renderSettings(machine, isFirst));
		const child = spawn(process.execPath, readArguments(ROLES[machine.type]), {
			cwd: ROOT,
			env: {
				PATH: process.env.PATH, HOME: process.env.HOME, LANG: 'C.UTF-8', CARAWAYHOIST_NODE_FILE: settings,
			},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		machine.child = child;
		for (const stream of [child.stdout, child.stderr]) {
			stream.on('data', bytes => {
				machine.log = (machine.log + bytes).slice(-LOG_BYTES);
			});
		}

		child.once('exit', (code, signal) => {
			machine.ends.push({code, signal});
		});
	}

	/** Sends a signal to the process of a machine. */
	signal(name, signal) {
		this.machines.get(name).child.kill(signal);
	}

	async isReady({address}) {
		const {status} = await call({host: address, port: this.#ports.ready, path: '/-/ready'});
		return status === 200;
	}

	async waitUntilReady() {
		await Promise.all(this.list('edge').map(async machine => waitUntil(async () => this.isReady(machine))));
	}

	/** Ends all processes and removes their files. */
	async close() {
		await Promise.all([...this.machines.values()].map(async ({child}) => {
			if (child && child.exitCode === null && child.signalCode === null) {
				const ended = new Promise(resolve => {
					child.once('exit', resolve);
				});
				child.kill('SIGKILL');
				await ended;
			}
		}));
		fs.rmSync(this.#folder, {recursive: true, force: true});
	}

	#createMachines(type, count) {
		return Array.from({length: count}, (_, index) => ({
			name: `${type}-${index + 1}`,
			type,
			address: this.address(FIRST_ADDRESS[type] + index),
			zone: ZONES[index % ZONES.length],
			ends: [],
			log: '',
		}));
	}

	#renderSettings({
		name, type, address, zone,
	}, isFirst) {
		const {
			front, ready, control, internal,
		} = this.#ports;
		const dataFolder = path.join(this.#folder, name);
		fs.mkdirSync(dataFolder, {recursive: true});
		const template = fs.readFileSync(path.join(ROOT, 'deploy', `${ROLES[type]}.json`), 'utf8');
		return render(template, {
			'node-name': name,
			zone,
			ip: address,
			'internal-ports': [internal, internal],
			seeds: this.seeds,
			bootstrap: isFirst,
			'data-dir': dataFolder,
			'heartbeat-ms': 1200,
			listen: {front: `${address}:${front}`, 'ready-addr': `${address}:${ready}`, control: `${address}:${control}`},
			limits: MACHINES[type],
			bounds: BOUNDS,
		});
	}
}

/** Reads the words of `run` of a role in the deploy file, after the program. */
function readArguments(role) {
	const text = fs.readFileSync(path.join(ROOT, 'deploy', 'system.toml'), 'utf8');
	const section = text.slice(text.indexOf(`[roles.${role}]`));
	return /^run = "node ([^"]+)"/mv.exec(section)[1].split(' ');
}

/** Fills a template that uses only JSON placeholders. */
function render(template, values) {
	return template.replaceAll(/\{\{([\w.\-]+)\|json\}\}/gv, (_, name) => {
		let value = values;
		for (const key of name.split('.')) {
			value = value?.[key];
		}

		return value === undefined ? 'null' : JSON.stringify(value);
	});
}

/** Sends one HTTP request on a new connection. Never rejects: without a response the status is 0. */
export async function call({
	host, port, path: target, method = 'GET', headers = {}, body, timeoutMs = 3000,
}) {
	const length = body === undefined ? {} : {'content-length': Buffer.byteLength(body)};
	return new Promise(resolve => {
		const fail = error => {
			resolve({status: 0, error: error.code ?? error.message});
		};

		const request = http.request({
			host, port, path: target, method, headers: {...headers, ...length}, agent: false, timeout: timeoutMs,
		}, response => {
			const pieces = [];
			response.on('data', piece => {
				pieces.push(piece);
			});
			response.once('end', () => {
				resolve({status: response.statusCode, headers: response.headers, body: Buffer.concat(pieces).toString('latin1')});
			});
			response.once('error', fail);
		});
		request.once('timeout', () => {
			request.destroy(new Error('timeout'));
		});
		request.once('error', fail);
		request.end(body);
	});
}

/** Waits until a condition holds; rejects after a time. */
export async function waitUntil(test, timeoutMs = START_TIMEOUT_MS) {
	const untilMs = performance.now() + timeoutMs;
	while (performance.now() < untilMs) {
		if (await test()) {
			return;
		}

		await sleep(100);
	}

	throw new Error('A condition did not come true in time.');
}

async function canConnect(host, port) {
	return new Promise(resolve => {
		const socket = net.connect({host, port}, () => {
			socket.destroy();
			resolve(true);
		});
		socket.once('error', () => {
			resolve(false);
		});
	});
}

async function findPort(host) {
	const server = net.createServer();
	await new Promise(resolve => {
		server.listen({host, port: 0}, resolve);
	});
	const {port} = server.address();
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}
