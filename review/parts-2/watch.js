/**
 * What a case sees of the system's processes from outside: their memory, their ends, and whether they answer.
 *
 * @module
 */
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {createId, send} from './platform.js';
import {HOST} from './configuration.js';

const RESTART_DELAY_MS = 1000;
const POLL_MS = 50;
/** Deadline of an ordinary request. */
const ORDINARY_MS = 3000;

/** Resident memory of a process in MB; 0 if it has ended. */
export function readMemoryMb({child, end}) {
	if (end !== undefined) {
		return 0;
	}

	try {
		const status = fs.readFileSync(`/proc/${child.pid}/status`, 'utf8');
		return Math.round(Number(/VmRSS:\s+(?<kilobytes>\d+)/v.exec(status)?.groups.kilobytes ?? 0) / 1024);
	} catch {
		return 0;
	}
}

/** Starts a program of this folder with one JSON argument; its output goes line by line to a function. */
export function startProgram(deployment, name, options, onLine) {
	const child = spawn(process.execPath, [fileURLToPath(new URL(name, import.meta.url)), JSON.stringify(options)], {stdio: ['ignore', 'pipe', 'inherit']});
	deployment.programs.add(child);
	child.stdout.setEncoding('utf8');
	child.stdout.on('data', text => {
		for (const line of text.trim().split('\n')) {
			onLine(line);
		}
	});
	return child;
}

/** Sends an ordinary read and tells its status, or how it ended without one, and the time it took. */
export async function sendOrdinary(front) {
	const startedMs = Date.now();
	const id = createId();
	const {how, text} = await send(front, {
		method: 'GET',
		path: '/s/x',
		hostName: HOST,
		headers: {'Carawayhoist-Attempt-Id': id, 'Carawayhoist-Deadline-Ms': String(ORDINARY_MS), Connection: 'close'},
		timeoutMs: ORDINARY_MS,
	});
	const status = /^HTTP\/1\.1 (?<status>\d{3})/v.exec(text)?.groups.status ?? how;
	return {
		id, status, isServed: status === '200', tookMs: Date.now() - startedMs,
	};
}

/** Notes each process that ends by itself, and starts it again after a second, as the platform does. */
export class Restarter {
	constructor(deployment, note) {
		this.deployment = deployment;
		this.note = note;
		this.ends = [];
		this.timer = setInterval(() => {
			for (const [name, running] of deployment.processes) {
				if (running.end?.isOwn && !running.isNoted) {
					running.isNoted = true;
					this.handleEnd(name, running.end);
				}
			}
		}, POLL_MS);
	}

	handleEnd(name, {code, signal}) {
		const error = /FATAL ERROR: .*|AssertionError.*/v.exec(this.deployment.readLog(name))?.[0] ?? '';
		this.ends.push(name);
		this.note(`${name} ended by itself: ${signal ?? `exit code ${code}`}. ${error}`);
		setTimeout(() => {
			if (!this.isClosed) {
				this.deployment.start(name, {isFirst: false});
			}
		}, RESTART_DELAY_MS);
	}

	close() {
		this.isClosed = true;
		clearInterval(this.timer);
	}
}
