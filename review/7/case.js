/**
 * A stream whose end is marked only by the end of its connection passes through an entry machine whose process is killed.
 *
 * @module
 */
import {sleep} from '../parts-2/deployment.js';
import {
	createId, publish, send, waitUntilReady,
} from '../parts-2/platform.js';
import {runCase} from '../parts-2/case.js';
import {
	createConfiguration, createPromptHeaders, formatHead, HOST, startModelServer,
} from '../parts-2/configuration.js';

const CLIENTS = 10;
const EVENTS = 20;
const EVENT_INTERVAL_MS = 100;
const KILL_AFTER_MS = 1000;

await runCase(new URL('.', import.meta.url), {controls: 3, entries: 5}, async (deployment, note, isTroubled) => {
	const {server, announcer} = await startModelServer(deployment, 1, (attempt, socket) => {
		note(`server runs ${attempt}`);
		writeStream(attempt, socket, () => {
			note(`server has sent all ${EVENTS} events of ${attempt}`);
		});
	});
	deployment.startAll();
	await sleep(2500);
	announcer.start();
	await publish(deployment, createConfiguration());
	await waitUntilReady(deployment, deployment.listEntries());
	const answers = Array.from({length: CLIENTS}, async () => {
		const id = createId();
		note(`client sends ${id}`);
		return {id, ...await send(deployment.front('entry-1'), {path: '/g/x', hostName: HOST, headers: createPromptHeaders(id)})};
	});
	await sleep(KILL_AFTER_MS);
	if (isTroubled) {
		note('SIGKILL to entry-1');
		deployment.kill('entry-1');
	}

	const reasons = [];
	for (const answer of await Promise.all(answers)) {
		const {looksComplete, events} = judge(answer);
		note(`client of ${answer.id}: ${answer.text.split('\r\n')[0] || 'no answer'}, ${events} of ${EVENTS} events, connection ${answer.how}, looks ${looksComplete ? 'complete' : 'incomplete'}`);
		if (looksComplete && events < EVENTS) {
			reasons.push(`${answer.id} got a success that looks complete with ${events} of ${EVENTS} events.`);
		}

		if (!isTroubled && (!looksComplete || events < EVENTS)) {
			throw new Error(`Without trouble, ${answer.id} did not get its whole answer.`);
		}
	}

	announcer.stop();
	server.close();
	return reasons;
});

/** Writes a stream with neither a length nor chunks, which ends with its connection. */
function writeStream(attempt, socket, onEnd) {
	socket.write(`${formatHead(attempt, 'text/event-stream')}Connection: close\r\n\r\n`);
	let count = 0;
	const timer = setInterval(() => {
		count++;
		socket.write(`id: ${count}\ndata: piece ${count} of ${attempt}\n\n`);
		if (count === EVENTS) {
			clearInterval(timer);
			socket.end();
			onEnd();
		}
	}, EVENT_INTERVAL_MS);
	socket.once('close', () => {
		clearInterval(timer);
	});
}

/** Whether an answer is a success that looks complete: a reset, a missing last chunk or missing bytes of a length tell that it is not. */
function judge({how, text}) {
	const end = text.indexOf('\r\n\r\n');
	const head = text.slice(0, Math.max(0, end)).toLowerCase();
	const body = text.slice(end + 4);
	const isSuccess = head.startsWith('http/1.1 200') && head.includes('carawayhoist-server-stamp: ');
	const hasEnded = head.includes('transfer-encoding: chunked') ? body.endsWith('0\r\n\r\n') : !head.includes('content-length: ');
	return {looksComplete: isSuccess && how === 'end' && hasEnded, events: body.match(/^id: /gmv)?.length ?? 0};
}
