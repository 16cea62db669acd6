/** Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
import process from 'node:process';
import {Record} from './record.js';

const LIMIT_MS = 110_000;

/** @param play - Plays the case and returns whether the rule was broken; what it registers with `onEnd` is stopped in any case. */
export async function runCase(folder, play) {
	const record = new Record(folder);
	const cleanups = [];
	const hasTrouble = process.env.TROUBLE !== '0';
	record.note(hasTrouble ? 'with the disruption' : 'without the disruption');
	let verdict;
	const timer = setTimeout(async () => {
		verdict = 'The case takes too long.';
		await cleanUp(cleanups);
	}, LIMIT_MS);
	try {
		const isBroken = await play({
			record,
			hasTrouble,
			onEnd(cleanup) {
				cleanups.unshift(cleanup);
			},
		});
		process.exitCode = isBroken ? 1 : 0;
		verdict ??= isBroken ? 'The rule was broken.' : 'The rule held.';
	} catch (error) {
		process.exitCode = 2;
		verdict ??= `The case couldn't run: ${error.message}`;
	}

	clearTimeout(timer);
	await cleanUp(cleanups);
	record.note(verdict);
}

async function cleanUp(cleanups) {
	for (const cleanup of cleanups.splice(0)) {
		await cleanup();
	}
}
