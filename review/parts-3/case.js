/** Runs one case: starts a system, writes the record and ends with the status that the result asks for. */
import fs from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {System} from './system.js';

const EXIT = {held: 0, broken: 1, failed: 2};
const LIMIT_MS = 112_000;

/** What a case writes to its record. */
class Protocol {
	#lines = [];
	#startedMs = performance.now();

	write(text) {
		const line = `${((performance.now() - this.#startedMs) / 1000).toFixed(3)} ${text}`;
		this.#lines.push(line);
		process.stdout.write(`${line}\n`);
	}

	save(folder) {
		fs.writeFileSync(path.join(folder, 'record.txt'), `${this.#lines.join('\n')}\n`);
	}
}

/**
 * Runs a case and ends the process: with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 *
 * @param url - The module of the case.
 * @param run - Gets `system`, `record` and `hasTrouble`; returns whether the rule was broken.
 */
export async function runCase(url, run) {
	const folder = path.dirname(fileURLToPath(url));
	const hasTrouble = process.env.TROUBLE !== '0';
	const protocol = new Protocol();
	const record = text => {
		protocol.write(text);
	};

	const system = await System.create();
	const finish = async status => {
		await system.close();
		protocol.save(folder);
		// Connections of stand-ins may still be open.
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(status);
	};

	const timer = setTimeout(() => {
		record('The case took too long.');
		finish(EXIT.failed);
	}, LIMIT_MS);
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, () => {
			finish(EXIT.failed);
		});
	}

	let status = EXIT.failed;
	try {
		record(hasTrouble ? 'With the disruption.' : 'Without the disruption.');
		status = await run({system, record, hasTrouble}) ? EXIT.broken : EXIT.held;
		record(status === EXIT.broken ? 'The rule was broken.' : 'The rule held.');
	} catch (error) {
		record(`The case could not run: ${error.stack}`);
	}

	clearTimeout(timer);
	await finish(status);
}

/** Records the processes that ended by themselves; returns their number. */
export function recordEnds(system, record) {
	let count = 0;
	for (const {name, ends, log} of system.machines.values()) {
		for (const {code, signal} of ends) {
			count++;
			const reason = log.split('\n').findLast(line => line.includes('FATAL ERROR'));
			record(`The process of ${name} ended by itself: ${signal ?? `status ${code}`}${reason === undefined ? '' : `, ${reason}`}`);
		}
	}

	return count;
}

/** Reads the resident memory of a process, MB; undefined if it has ended. */
export function readMemoryMb({child}) {
	try {
		const text = fs.readFileSync(`/proc/${child.pid}/status`, 'utf8');
		return Math.round(Number(/VmRSS:\s+(\d+)/v.exec(text)?.[1]) / 1000);
	} catch {
		// The process has ended, or this system has no such file.
		return undefined;
	}
}
