/**
 * Starts the project's own programs as the deploy file says, on loopback addresses, with settings that are filled in like those of the
 * platform.
 *
 * @module
 */
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const ROLES = {entry: 'entry', control: 'control'};
/** Each machine has an address of its own, and the ports are the same on all machines. */
const FRONT_PORT = 18_149;
const READY_PORT = 18_141;
const CONTROL_PORT = 18_144;
const PEER_PORT = 17_380;
/** The bounds of the smallest deployment in the pages. */
const BOUNDS = {
	'contact-ms': 3000,
	'grace-s': 8,
	'lease-ms': 3000,
	'retry-budget-ratio': 0.2,
	'budget-window-s': 10,
	'retry-budget-slack': 116,
	'catch-up-s': 4,
};
const ENTRY_LIMITS = {'memory-mb': 272, 'max-fds': 2870};
const CONTROL_LIMITS = {'memory-mb': 346, 'max-fds': 4096, 'disk-mb': 128};

/** Waits for a time in milliseconds. */
export async function sleep(ms) {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** The processes and the temporary folder of one case. */
export class Deployment {
	constructor({controls, entries}) {
		this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'carawayhoist-case-'));
		// The process number keeps cases apart that run at the same time.
		this.network = `127.${20 + (process.pid % 200)}.${Math.trunc(process.pid / 200) % 250}`;
		this.processes = new Map();
		/** Other programs that the case has started, such as clients. */
		this.programs = new Set();
		this.isClosed = false;
		this.machines = new Map();
		for (let index = 1; index <= controls; index++) {
			this.machines.set(`control-${index}`, {role: ROLES.control, ip: `${this.network}.${index}`, zone: `z${index}`});
		}

		for (let index = 1; index <= entries; index++) {
			this.machines.set(`entry-${index}`, {role: ROLES.entry, ip: `${this.network}.${50 + index}`, zone: `z${((index - 1) % 3) + 1}`});
		}

		this.commands = readCommands();
	}

	/** Address and port at which clients reach an entry machine. */
	front(name) {
		return {host: this.machines.get(name).ip, port: FRONT_PORT};
	}

	/** Address and port of the readiness check of an entry machine. */
	ready(name) {
		return {host: this.machines.get(name).ip, port: READY_PORT};
	}

	/** Address and port at which servers and the operator reach a control machine. */
	control(name) {
		return {host: this.machines.get(name).ip, port: CONTROL_PORT};
	}

	/** Another loopback address, for a server. */
	serverIp(index) {
		return `${this.network}.${150 + index}`;
	}

	listControls() {
		return [...this.machines].filter(([, {role}]) => role === ROLES.control).map(([name]) => name);
	}

	listEntries() {
		return [...this.machines].filter(([, {role}]) => role === ROLES.entry).map(([name]) => name);
	}

	/** Starts one machine's process and notes how it ends. */
	start(name, {isFirst = true} = {}) {
		if (this.isClosed) {
			return;
		}

		const {role} = this.machines.get(name);
		const file = path.join(this.folder, `${name}.json`);
		fs.writeFileSync(file, fillTemplate(fs.readFileSync(path.join(ROOT, 'deploy', `${role}.json`), 'utf8'), this.createSettings(name, isFirst)));
		const log = fs.openSync(path.join(this.folder, `${name}.log`), 'a');
		const [command, ...args] = this.commands.get(role);
		const child = spawn(command, args, {
			cwd: ROOT,
			stdio: ['ignore', log, log],
			env: {
				PATH: process.env.PATH, HOME: this.folder, LANG: 'C.UTF-8', CARAWAYHOIST_NODE_FILE: file,
			},
		});
		fs.closeSync(log);
		const running = {child, isStopped: false, end: undefined};
		child.once('exit', (code, signal) => {
			running.end = {code, signal, isOwn: !running.isStopped};
		});
		this.processes.set(name, running);
	}

	startAll() {
		for (const name of this.machines.keys()) {
			this.start(name);
		}
	}

	/** Kills a machine's process. */
	kill(name) {
		const running = this.processes.get(name);
		running.isStopped = true;
		running.child.kill('SIGKILL');
	}

	/** Text that a machine's processes have logged. */
	readLog(name) {
		return fs.readFileSync(path.join(this.folder, `${name}.log`), 'utf8');
	}

	/** Ends all processes and removes the temporary folder. */
	async close() {
		this.isClosed = true;
		for (const program of this.programs) {
			program.kill('SIGKILL');
		}

		for (const running of this.processes.values()) {
			running.isStopped = true;
			if (running.end === undefined) {
				running.child.kill('SIGKILL');
			}
		}

		for (let tries = 0; tries < 100 && [...this.processes.values()].some(({end}) => end === undefined); tries++) {
			await sleep(20);
		}

		fs.rmSync(this.folder, {recursive: true, force: true});
	}

	createSettings(name, isFirst) {
		const {role, ip, zone} = this.machines.get(name);
		const dataFolder = path.join(this.folder, `${name}-data`);
		fs.mkdirSync(dataFolder, {recursive: true});
		return {
			'node-name': name,
			role,
			ip,
			zone,
			'internal-ports': [PEER_PORT, PEER_PORT + 15],
			seeds: this.listControls().slice(0, 3).map(seed => `${this.machines.get(seed).ip}:${CONTROL_PORT}`),
			bootstrap: isFirst,
			'heartbeat-ms': 1200,
			'data-dir': dataFolder,
			listen: {front: `${ip}:${FRONT_PORT}`, 'ready-addr': `${ip}:${READY_PORT}`, control: `${ip}:${CONTROL_PORT}`},
			limits: role === ROLES.entry ? ENTRY_LIMITS : CONTROL_LIMITS,
			bounds: BOUNDS,
		};
	}
}

/** Reads the command of each role from the deploy file. */
function readCommands() {
	const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
	return new Map(Object.values(ROLES).map(role => {
		const section = text.split(`[roles.${role}]`)[1].split('[roles.')[0];
		return [role, /^run = "(?<command>.*)"$/mv.exec(section).groups.command.split(' ')];
	}));
}

/** Fills in the placeholders that the project's templates use. */
function fillTemplate(template, settings) {
	return template.replaceAll(/\{\{(?<name>[\w.\-]+)\|json\}\}/gv, (_match, name) => {
		let value = settings;
		for (const key of name.split('.')) {
			value = value?.[key];
		}

		return value === undefined ? '' : JSON.stringify(value);
	});
}
