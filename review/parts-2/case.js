/**
 * Runs one case: keeps its record, ends its processes, and sets the exit code.
 *
 * @module
 */
import fs from 'node:fs';
import process from 'node:process';
import {Deployment} from './deployment.js';

const EXIT = {held: 0, broken: 1, notRun: 2};
/** A case that takes longer could not run. */
const MAX_MS = 115_000;

/**
 * Runs a case in a new deployment. `play` gets the deployment, a function that adds a line to the record and whether there is trouble, and returns the reasons
 * why the rule is broken; none if it held.
 */
export async function runCase(folder, size, play) {
	const startedMs = Date.now();
	const lines = [];
	const note = text => {
		lines.push(`${((Date.now() - startedMs) / 1000).toFixed(2)} s  ${text}`);
	};

	let deployment;
	let isFinishing = false;
	const finish = async exitCode => {
		if (isFinishing) {
			return;
		}

		isFinishing = true;
		await deployment?.close();
		fs.writeFileSync(new URL('record.txt', folder), `${lines.join('\n')}\n`);
		// Connections of stand-ins may still be open.
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(exitCode);
	};

	const stop = text => {
		note(text);
		finish(EXIT.notRun);
	};

	const isTroubled = process.env.TROUBLE !== '0';
	setTimeout(stop, MAX_MS, 'The case took too long.');
	process.once('SIGTERM', () => stop('The case was stopped.'));
	process.once('SIGINT', () => stop('The case was stopped.'));
	process.once('uncaughtException', error => stop(`The case could not run: ${error.stack}`));
	note(`Trouble: ${isTroubled ? 'yes' : 'no'}.`);
	try {
		deployment = new Deployment(size);
		const reasons = await play(deployment, note, isTroubled);
		for (const reason of reasons) {
			note(`BROKEN: ${reason}`);
		}

		const isBroken = reasons.length > 0;
		note(isBroken ? 'The rule was broken.' : 'The rule held.');
		await finish(isBroken ? EXIT.broken : EXIT.held);
	} catch (error) {
		note(`The case could not run: ${error.stack}`);
		await finish(EXIT.notRun);
	}
}
