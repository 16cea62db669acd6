/** One part of long prompts crashes each model server that begins to write an answer on it. */
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../parts-3/case.js';
import {DeadlyPrompts, MAX_LATE} from '../parts-3/deadly.js';

const SHARED_PARTS = 75;
const DEADLY_EVERY = 12;
const SECONDS = 40;

await runCase(import.meta.url, async ({system, record, hasTrouble}) => {
	const prompts = new DeadlyPrompts({system, record}, {sharedParts: SHARED_PARTS, deadlyEvery: DEADLY_EVERY, isDeadly: hasTrouble});
	await prompts.start();
	await sleep(SECONDS * 1000);
	return await prompts.finish() > MAX_LATE;
});
