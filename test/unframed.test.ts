import assert from 'node:assert/strict';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {waitUntil} from '../dev/fleet.js';
import {startMachines} from './hostileclients.js';
import {formatRequest, sendRaw, type RawResponse} from './rawclient.js';
import type {StubBackendOptions} from './stub.js';
import {startSystem} from './system.js';

const PROMPT = {'carawayhoist-model': 'm', 'carawayhoist-token-counts': '30,80', 'carawayhoist-prompt-prefix': 'aa:10,bb:20'};
const EVENTS = 40;
const EVENT_INTERVAL_MS = 50;
const CLIENTS = 5;
const BEGUN_EVENTS = 5;
const FREEZE_MS = 300;

type TestContext = Parameters<typeof startMachines>[0];

/** Starts the processes and an engine that writes slow streams with neither a length nor chunks, and begins a stream for each client. */
async function startStreams(t: TestContext) {
	const responses = new Set<ServerResponse>();
	const engine: StubBackendOptions = {
		id: 'd1', service: 'llm', stage: 'decode', intercept(request, response) {
			responses.add(response);
			void writeSlowly(request, response);
			return true;
		},
	};
	const machines = await startMachines(t, {engine});
	await waitUntil(async () => {
		const probe = sendRaw(machines.callers, formatRequest('/tell/0', {'carawayhoist-attempt-id': 'probe', ...PROMPT}));
		const isBegun = await Promise.race([probe.then(({status}) => status === 200), sleep(FREEZE_MS, 'begun')]);
		return isBegun !== false && responses.size > 0;
	}, 'a stream is served');
	responses.clear();
	const results = Array.from({length: CLIENTS}, async (_, index) => sendRaw(machines.callers, formatRequest('/tell/1', {'carawayhoist-attempt-id': `id-${index}`, ...PROMPT})));
	await waitUntil(async () => responses.size === CLIENTS, 'all streams have begun');
	await sleep(BEGUN_EVENTS * EVENT_INTERVAL_MS);
	return {entry: machines.entry.child, responses, results: Promise.all(results)};
}

// Guards against a success that looks complete after SIGKILL to the entry process: a response without a length was passed on without one, and
// the operating system ends the connections of a killed process in the ordinary way.
test('a stream without a length is incomplete for its clients if their entry process is killed', async t => {
	const {entry, results} = await startStreams(t);
	entry.kill('SIGKILL');
	for (const result of await results) {
		assertBegunOnly(result);
	}
});

// A chunk marks the end for clients, so an end of the server's connection must still be passed on as one.
test('a stream without a length is complete for its clients when its server has ended it, also while the entry process stood still', async t => {
	const {entry, responses, results} = await startStreams(t);
	entry.kill('SIGSTOP');
	await sleep(FREEZE_MS);
	for (const response of responses) {
		response.socket?.end();
	}

	entry.kill('SIGCONT');
	for (const result of await results) {
		assert.equal(result.status, 200);
		assert.ok(result.isComplete, result.head);
	}
});

// Guards against a stream that looks complete to a client of HTTP/1.0, which cannot read chunks, after its server or entry process has failed.
test('a client of HTTP/1.0 gets a stream with its length once it is complete, and a failure if it is broken off', async t => {
	let isBroken = false;
	const intercept = (request: IncomingMessage, response: ServerResponse) => {
		response.socket?.write(`${formatHead(request)}id: 1\ndata: a\n\n`);
		setTimeout(() => {
			if (isBroken) {
				response.socket?.resetAndDestroy();
			} else {
				response.socket?.end('id: 2\ndata: b\n\n');
			}
		}, EVENT_INTERVAL_MS);
		return true;
	};

	const system = await startSystem(t, [{
		id: 'd1', service: 'llm', stage: 'decode', intercept,
	}]);
	const target = {host: system.callers.address, port: system.callers.port};
	const send = async (id: string) => sendRaw(target, formatRequest('/tell/1', {'carawayhoist-attempt-id': id, ...PROMPT}, {version: '1.0'}));
	const whole = await send('id-1');
	assert.deepEqual([whole.status, whole.isComplete, whole.body], [200, true, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n']);
	assert.match(whole.head, /content-length: 30/v);
	isBroken = true;
	assert.equal((await send('id-2')).status, 502);
});

// A response that HTTP allows no body must get neither a length nor chunks.
test('a response without a body is passed on without a length', async t => {
	const system = await startSystem(t, [{
		id: 'p1', service: 'plain', intercept(request, response) {
			response.socket?.end(formatHead(request).replace('200 OK', request.method === 'HEAD' ? '200 OK' : '204 No Content'));
			return true;
		},
	}]);
	const target = {host: system.callers.address, port: system.callers.port};
	const request = formatRequest('/read/1', {'carawayhoist-attempt-id': 'id-1', connection: 'close'});
	for (const sent of [request, request.replace('GET', 'HEAD').replace('id-1', 'id-2')]) {
		const {status, head, body} = await sendRaw(target, sent);
		assert.ok(status === 200 || status === 204, head);
		assert.equal(body, '');
		assert.doesNotMatch(head, /content-length|transfer-encoding/v);
	}
});

function assertBegunOnly({status, body, isComplete}: RawResponse): void {
	const events = body.match(/^id: /gmv)?.length ?? 0;
	assert.ok(status === 200 && events > 0 && events < EVENTS, `status ${status}, ${events} events`);
	assert.ok(!isComplete, `looks complete after ${events} of ${EVENTS} events`);
}

async function writeSlowly(request: IncomingMessage, response: ServerResponse): Promise<void> {
	const {socket} = response;
	socket?.on('error', () => undefined);
	socket?.write(formatHead(request));
	for (let event = 1; event <= EVENTS && socket?.writable; event++) {
		await sleep(EVENT_INTERVAL_MS);
		if (socket.writable) {
			socket.write(`id: ${event}\ndata: ${event}\n\n`);
		}
	}

	socket?.end();
}

function formatHead(request: IncomingMessage): string {
	return `HTTP/1.1 200 OK\r\ncarawayhoist-attempt-id: ${String(request.headers['carawayhoist-attempt-id'])}\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n`;
}
