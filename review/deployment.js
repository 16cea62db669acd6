/**
 * A small deployment on loopback addresses: the project's own programs as separate processes, started with the commands and
 * settings templates of the deploy file. One address stands for one machine.
 */
import {spawn} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';
import {
	mkdir, mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fetchText, findFreePort} from './network.js';

const ROOT = path.resolve(import.meta.dirname, '..');
const START_TIMEOUT_MS = 10_000;

/** Bounds of the Hrafnsvik deployment, as DEPLOY shows them in a settings file. */
export const BOUNDS = {
	'contact-ms': 3000,
	'catch-up-s': 4,
	'drain-ms': 2000,
	'grace-s': 8,
	'loss-slack-ms': 200,
	'config-apply-ms': 2000,
	'retry-budget-ratio': 0.2,
	'budget-window-s': 10,
	'retry-budget-slack': 116,
	'recover-s': 12,
	'lease-ms': 3000,
	'thaw-ms': 300,
};
const HEARTBEAT_MS = 1200;
const ZONES = ['selfoss', 'hella', 'vik'];

/** One machine: its address, its role and the process that runs there. */
class Machine {
	constructor({name, role, address, command, settingsFile, dataFolder, record}) {
		this.name = name;
		this.role = role;
		this.address = address;
		this.dataFolder = dataFolder;
		this.child = undefined;
		this.command = command;
		this.settingsFile = settingsFile;
		this.logFile = `${settingsFile}.log`;
		this.record = record;
	}

	start() {
		const [program, ...parameters] = this.command.split(' ');
		const environment = {CARAWAYHOIST_NODE_FILE: this.settingsFile};
		for (const key of ['PATH', 'HOME', 'LANG']) {
			if (process.env[key] !== undefined) {
				environment[key] = process.env[key];
			}
		}

		const log = openSync(this.logFile, 'a');
		const child = spawn(program === 'node' ? process.execPath : program, parameters, {cwd: ROOT, env: environment, stdio: ['ignore', log, log]});
		closeSync(log);
		this.child = child;
		this.exited = new Promise(resolve => {
			child.once('exit', resolve);
		});
	}

	/** Sends a signal to the process. */
	signal(name) {
		this.record.note(`${name} to ${this.name}`);
		this.child.kill(name);
	}

	/** Kills the process and waits until it has ended. */
	async kill() {
		this.signal('SIGKILL');
		await this.exited;
	}

	async stop() {
		if (this.child && this.child.exitCode === null && this.child.signalCode === null) {
			this.child.kill('SIGCONT');
			this.child.kill('SIGKILL');
			await this.exited;
		}
	}
}

/** Control hosts and entry hosts. Whoever starts it must stop it. */
export class Deployment {
	constructor({folder, ports, network, seeds, commands, templates, record}) {
		this.folder = folder;
		this.seeds = seeds;
		this.ports = ports;
		this.network = network;
		this.commands = commands;
		this.templates = templates;
		this.record = record;
		this.controls = [];
		this.entries = [];
		this.count = 0;
	}

	/** Starts all hosts for the first time, and waits until a configuration is acknowledged. */
	static async start({controls, entries, record, config}) {
		const folder = await mkdtemp(path.join(os.tmpdir(), 'review-'));
		const network = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
		const ports = {};
		for (const use of ['internal', 'front', 'ready', 'control', 'server']) {
			ports[use] = await findFreePort(`${network}.1`);
		}

		const deploy = await readFile(path.join(ROOT, 'deploy/system.toml'), 'utf8');
		const commands = {};
		const templates = {};
		for (const [, role, body] of deploy.matchAll(/^\[roles\.(\w+)\]\n((?:.+\n?)*)/gmv)) {
			commands[role] = /^run = "(.+)"$/mv.exec(body)[1];
			templates[role] = await readFile(path.join(ROOT, /^template = "(.+)"$/mv.exec(body)[1]), 'utf8');
		}

		const seeds = [1, 2, 3].slice(0, controls).map(last => `${network}.${last}:${ports.control}`);
		const deployment = new Deployment({
			folder, ports, network, seeds, commands, templates, record,
		});
		try {
			for (let index = 0; index < controls; index++) {
				deployment.controls.push(await deployment.createMachine('control', index));
			}

			for (let index = 0; index < entries; index++) {
				deployment.entries.push(await deployment.createMachine('entry', index));
			}

			for (const machine of deployment.machines) {
				machine.start();
			}

			await deployment.publish(config);
		} catch (error) {
			await deployment.stop();
			throw error;
		}

		return deployment;
	}

	get machines() {
		return [...this.controls, ...this.entries];
	}

	/** The addresses at which the control hosts take heartbeats and orders of the operator. */
	get controlAddresses() {
		return this.controls.map(({address}) => `${address}:${this.ports.control}`);
	}

	/** An address for a stand-in, which no host uses. */
	allocateAddress() {
		this.count++;
		return `${this.network}.${100 + this.count}`;
	}

	async createMachine(role, index) {
		const address = `${this.network}.${(role === 'control' ? 1 : 50) + index}`;
		const name = `${role}-${index + 1}`;
		const dataFolder = path.join(this.folder, `data-${name}`);
		await mkdir(dataFolder, {recursive: true});
		const fields = {
			'node-name': name,
			zone: ZONES[index % ZONES.length],
			ip: address,
			'internal-ports': [this.ports.internal, this.ports.internal + 15],
			'data-dir': dataFolder,
			seeds: this.seeds,
			bootstrap: true,
			'heartbeat-ms': HEARTBEAT_MS,
			listen: {front: `${address}:${this.ports.front}`, 'ready-addr': `${address}:${this.ports.ready}`, control: `${address}:${this.ports.control}`},
			bounds: BOUNDS,
		};
		const settingsFile = path.join(this.folder, `${name}.json`);
		await writeFile(settingsFile, fillTemplate(this.templates[role], fields));
		return new Machine({
			name, role, address, command: this.commands[role], settingsFile, dataFolder, record: this.record,
		});
	}

	/** Sends a configuration to the control hosts in turn until one acknowledges it, as the operator does. */
	async publish(config, {timeoutMs = START_TIMEOUT_MS} = {}) {
		const body = JSON.stringify(config);
		const untilMs = Date.now() + timeoutMs;
		for (let index = 0; Date.now() < untilMs; index++) {
			const {address} = this.controls[index % this.controls.length];
			const answer = await fetchText(`http://${address}:${this.ports.control}/-/config`, {method: 'PUT', body, timeoutMs: 1500});
			if (answer.status === 200) {
				this.record.note(`configuration ${config.version} acknowledged by ${address}`);
				return;
			}

			await sleep(100);
		}

		throw new Error(`Configuration ${config.version} was not acknowledged in ${timeoutMs} ms.`);
	}

	/** Waits until the readiness address of every entry host answers with 200. */
	async waitUntilReady(entries = this.entries) {
		const untilMs = Date.now() + START_TIMEOUT_MS;
		for (const {address, name} of entries) {
			while ((await fetchText(`http://${address}:${this.ports.ready}/-/ready`, {timeoutMs: 1000})).status !== 200) {
				if (Date.now() > untilMs) {
					throw new Error(`${name} is not ready.`);
				}

				await sleep(100);
			}
		}
	}

	async stop() {
		await Promise.all(this.machines.map(async machine => machine.stop()));
		await rm(this.folder, {recursive: true, force: true});
	}
}

/** Fills in placeholders of the form `{{a.b|json}}`, the only one that the project's templates use. */
function fillTemplate(template, fields) {
	return template.replaceAll(/\{\{([\w\-.]+)\|json\}\}/gv, (_match, name) => {
		let value = fields;
		for (const key of name.split('.')) {
			value = value?.[key];
		}

		return value === undefined ? '' : JSON.stringify(value);
	});
}
