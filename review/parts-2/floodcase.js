/**
 * Plays a flood of one kind of request at one entry machine, beside ordinary callers.
 *
 * @module
 */
import {sleep} from './deployment.js';
import {call, publish, waitUntilReady} from './platform.js';
import {createConfiguration, startPlainServer} from './configuration.js';
import {
	readMemoryMb, Restarter, sendOrdinary, startProgram,
} from './watch.js';

const ENTRY = 'entry-1';
/** Ordinary requests end this long before the flood, so that each has its whole time. */
const LAST_MS = 3500;

/** Returns the processes that ended by themselves, and the ordinary requests that were sent once the flood had been sent. */
export async function playFlood(deployment, note, {intervalMs, ...flood}) {
	const {server, announcer} = await startPlainServer(deployment, 1);
	deployment.startAll();
	await sleep(2500);
	announcer.start();
	await publish(deployment, createConfiguration());
	await waitUntilReady(deployment, [ENTRY]);
	const restarter = new Restarter(deployment, note);
	const calm = await sendOrdinary(deployment.front(ENTRY));
	note(`ordinary request ${calm.id} in calm: ${calm.status} after ${calm.tookMs} ms`);
	if (!calm.isServed) {
		throw new Error('An ordinary request is not served in calm.');
	}

	const client = await startFlood(deployment, note, flood);
	const ordinary = [];
	const untilMs = Date.now() + flood.holdMs - LAST_MS;
	while (Date.now() < untilMs) {
		ordinary.push(noteOrdinary(deployment, note));
		noteReadiness(deployment, note);
		await sleep(intervalMs);
	}

	const results = await Promise.all(ordinary);
	restarter.close();
	client.kill();
	announcer.stop();
	server.close();
	return {ends: restarter.ends, results};
}

/** Starts the flood and waits until all of it has been sent. */
async function startFlood(deployment, note, flood) {
	return new Promise(resolve => {
		const client = startProgram(deployment, 'flood.js', {...deployment.front(ENTRY), ...flood}, line => {
			note(`flood on ${flood.connections} connections: ${line}`);
			if (line === 'sent') {
				resolve(client);
			}
		});
	});
}

async function noteOrdinary(deployment, note) {
	const result = await sendOrdinary(deployment.front(ENTRY));
	note(`ordinary request ${result.id}: ${result.status} after ${result.tookMs} ms`);
	return result;
}

async function noteReadiness(deployment, note) {
	const {status, error} = await call(deployment.ready(ENTRY), {path: '/-/ready'});
	note(`readiness: ${status ?? error}; ${ENTRY} holds ${readMemoryMb(deployment.processes.get(ENTRY))} MB`);
}
