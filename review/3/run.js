/** Clients take streams up again after the core was killed and came back. */
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../case.js';
import {Stream} from '../client.js';
import {createConfiguration, HOST} from '../configuration.js';
import {BOUNDS, Deployment} from '../deployment.js';
import {Server} from '../server.js';

const STREAMS = 24;
const EVENTS = 55;
const STREAM_TIMEOUT_MS = 6000;
/** The processes of the core are back this long after they were killed: within a second. */
const DOWN_MS = 400;
const MARGIN_MS = 400;
const MIN_STREAMS = 12;

await runCase(import.meta.dirname, async ({record, hasTrouble, onEnd}) => {
	const deployment = await Deployment.start({
		controls: 5, entries: 3, record, config: createConfiguration(1, {streamTimeoutMs: STREAM_TIMEOUT_MS}),
	});
	onEnd(async () => deployment.stop());
	for (let index = 0; index < 2; index++) {
		const server = new Server({
			id: `i-lm${index}`, service: 'lm', stage: 'decode', version: 'v1', address: deployment.allocateAddress(), port: deployment.ports.server, controls: deployment.controlAddresses, record,
		});
		onEnd(() => {
			server.stop();
		});
		await server.start();
	}

	await deployment.waitUntilReady();
	await sleep(BOUNDS['contact-ms'] + 1000);

	const [first, ...others] = deployment.entries;
	const beganMs = performance.now();
	const remainingMs = () => STREAM_TIMEOUT_MS - (performance.now() - beganMs);
	const open = (entry, attempt, resumes, deadlineMs = STREAM_TIMEOUT_MS) => new Stream({
		address: entry.address, port: deployment.ports.front, host: HOST, path: `/note/${EVENTS}`, attempt, deadlineMs, resumes, record,
	});
	const streams = Array.from({length: STREAMS}, (_, index) => open(first, `a0${index}`));
	await sleep(500);
	if (hasTrouble) {
		await Promise.all(deployment.controls.map(async control => control.kill()));
		await sleep(DOWN_MS);
		for (const control of deployment.controls) {
			control.start();
		}
	} else {
		await sleep(DOWN_MS);
	}

	// From here on the core is stable and the other entry hosts are in touch.
	await sleep(BOUNDS['contact-ms'] + MARGIN_MS);
	await first.kill();
	await Promise.all(streams.map(async stream => stream.done));
	const taken = streams.filter(({events}) => events.length > 0 && events.at(-1) < EVENTS);
	const resumed = taken.map(async (stream, index) => takeUp(stream, (attempt, resumes) => open(others[index % others.length], `${attempt}${index}`, resumes, remainingMs()), remainingMs));
	const fresh = taken.map((_, index) => open(others[index % others.length], `d0${index}`));
	const goOn = (await Promise.all(resumed)).filter(Boolean).length;
	await sleep(500);
	const begin = fresh.filter(({events}) => events[0] === 1).length;
	record.note(`Of ${taken.length} streams that clients took up again, ${goOn} went on; of ${fresh.length} new streams, ${begin} began.`);
	if (taken.length < MIN_STREAMS || begin === 0) {
		throw new Error('Too few streams were taken up again or began.');
	}

	return goOn / taken.length < (begin / fresh.length) / 2;
});

/** Takes a stream up again, with one retry after the time that the answer names, a third of the remaining time at most. */
async function takeUp(stream, send, remainingMs) {
	const resumes = {origin: stream.origin, lastEvent: stream.lastEvent};
	for (const attempt of ['b0', 'c0']) {
		const next = send(attempt, resumes);
		await next.done;
		if (next.events.length > 0) {
			return next.events[0] === stream.lastEvent + 1;
		}

		await sleep(Math.max(0, Math.min(next.retryAfterMs ?? 0, remainingMs() / 3)));
	}

	return false;
}
