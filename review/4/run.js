/** A server has deregistered; a heartbeat of it that arrives late, after the core and an entry host were killed, brings it back. */
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../case.js';
import {createConfiguration, HOST} from '../configuration.js';
import {BOUNDS, Deployment} from '../deployment.js';
import {fetchText} from '../network.js';
import {Server} from '../server.js';

const SERVERS = 3;
const ROUNDS = 20;
/** Requests at the same time. */
const CLIENTS = 9;
const DEADLINE_MS = 1400;
const WORK_MS = 60;
/** The server that has deregistered exits in this round, while requests run. */
const EXIT_ROUND = 12;
const EXIT_DELAY_MS = 30;
/** The killed processes are back this long after they were killed. */
const DOWN_MS = 400;
/** When the late heartbeat arrives, after the processes are back. */
const LATE_MS = 1500;
const MARGIN_MS = 400;

await runCase(import.meta.dirname, async ({record, hasTrouble, onEnd}) => {
	const deployment = await Deployment.start({
		controls: 3, entries: 5, record, config: createConfiguration(1),
	});
	onEnd(async () => deployment.stop());
	const servers = [];
	for (let index = 0; index < SERVERS; index++) {
		const server = new Server({
			id: `i-ops${index}`, service: 'ops', slots: 6, address: deployment.allocateAddress(), port: deployment.ports.server, controls: deployment.controlAddresses, record, respond(_request, response, {attempt}) {
				setTimeout(() => {
					response.end(`answer to ${attempt}`);
				}, WORK_MS);
			},
		});
		onEnd(() => {
			server.stop();
		});
		await server.start();
		servers.push(server);
	}

	await deployment.waitUntilReady();
	await sleep(BOUNDS['contact-ms'] + 1000);
	const [leaving] = servers;
	const entry = deployment.entries[0];
	const late = leaving.createHeartbeat();
	if (!await leaving.deregister()) {
		throw new Error('The end of the registration was not acknowledged.');
	}

	const acknowledgedMs = performance.now();
	record.note(`the end of ${leaving.id} is acknowledged; it goes on serving`);
	await sleep(200);
	if (hasTrouble) {
		const killed = [...deployment.controls, entry];
		await Promise.all(killed.map(async machine => machine.kill()));
		await sleep(DOWN_MS);
		for (const machine of killed) {
			machine.start();
		}
	} else {
		await sleep(DOWN_MS);
	}

	const backMs = performance.now();
	await sleep(LATE_MS);
	const isAcknowledged = await leaving.send(late);
	record.note(`a heartbeat of ${leaving.id} from before its end arrives late, ${isAcknowledged ? 'acknowledged' : 'refused'}`);
	await deployment.waitUntilReady();
	// From here on the core is stable, the entry host is in touch, and `drain-ms` is over.
	await sleep(Math.max(0, backMs + BOUNDS['contact-ms'] + MARGIN_MS - performance.now()));
	const runsBefore = leaving.runs.size;
	const startMs = performance.now();
	const isOver = startMs - acknowledgedMs > BOUNDS['drain-ms'];
	let answered = 0;
	let lost = 0;
	for (let round = 0; round < ROUNDS; round++) {
		const attempts = Array.from({length: CLIENTS}, (_, client) => `a${client}r${round}`);
		if (round === EXIT_ROUND) {
			setTimeout(() => {
				record.note(`${leaving.id} exits`);
				leaving.stop();
			}, EXIT_DELAY_MS);
		}

		const answers = await Promise.all(attempts.map(async attempt => fetchText(`http://${entry.address}:${deployment.ports.front}/insert/1`, {
			method: 'POST', headers: {Host: HOST, 'Carawayhoist-Attempt-Id': attempt, 'Carawayhoist-Deadline-Ms': String(DEADLINE_MS)}, body: 'booking', timeoutMs: DEADLINE_MS,
		})));
		answered += answers.filter(({status}) => status === 200).length;
		lost += attempts.filter((attempt, client) => leaving.runs.has(attempt) && answers[client].status !== 200).length;
	}

	const arrived = leaving.runs.size - runsBefore;
	record.note(`Of ${ROUNDS * CLIENTS} bookings to ${entry.name}, ${answered} were answered; ${arrived} reached ${leaving.id}, the first over ${Math.round(startMs - acknowledgedMs)} ms after its end was acknowledged; ${lost} of these were cut when it exited.`);
	if (!isOver || answered === 0) {
		throw new Error('The entry host served nothing, or too early.');
	}

	return arrived > 0;
});
