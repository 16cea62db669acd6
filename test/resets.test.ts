import assert from 'node:assert/strict';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {waitUntil} from '../dev/fleet.js';
import {startMachines} from './hostileclients.js';
import {formatRequest, sendRaw} from './rawclient.js';
import {READERS, startServer} from './readers.js';
import {startRelaySystem, WHOLE_PATH} from './relaysystem.js';
import type {StubBackendOptions} from './stub.js';
import {startSystem} from './system.js';

const PROMPT = {'carawayhoist-model': 'm', 'carawayhoist-token-counts': '30,80', 'carawayhoist-prompt-prefix': 'aa:10,bb:20'};
const BEGUN = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
const FREEZE_MS = 300;

/** How a server ends a response without a length, and whether it is complete then. */
const ENDS = {
	'a reset with the last bytes': {isComplete: false, end: (socket: Socket) => socket.resetAndDestroy()},
	'a reset after the last bytes': {
		isComplete: false, end(socket: Socket) {
			setTimeout(() => socket.resetAndDestroy(), 20);
		},
	},
	'an end with the last bytes': {isComplete: true, end: (socket: Socket) => socket.end()},
} as const;

// Guards against a part of a response that counts as whole: Node reports a reset that arrives with the last bytes as an end, and the HTTP
// client takes any other one for an end as well. Calls of duties read the head only.
for (const [name, createReader] of Object.entries(READERS).filter(([reader]) => reader !== 'duties')) {
	for (const [how, {isComplete, end}] of Object.entries(ENDS)) {
		test(`a response without a length is ${isComplete ? 'complete' : 'broken'} after ${how} (${name})`, async t => {
			const server = await startServer(t, (socket, id) => {
				socket.write(`HTTP/1.1 503 Service Unavailable\r\nx-request-id: ${id}\r\nconnection: close\r\n\r\n{}`);
				end(socket);
			});
			const reader = createReader();
			assert.equal(await reader.send(server, 'r1.1'), isComplete);
			await reader.close();
		});
	}
}

// Guards against a success that ends properly for callers although the server has reset its response in the middle.
test('a response that is reset with its last bytes is no success, plain and streamed, by the host itself and through a relay', async t => {
	const {system, cutSecond} = await startRelaySystem(t, (request, response) => {
		if (request.url === WHOLE_PATH) {
			return false;
		}

		writeAndReset(request, response);
		return true;
	});
	const assertBroken = async (index: number) => {
		const {address, port} = system.callerAddresses[index]!;
		for (const [path, headers, body] of [['/read/1', {}, undefined], ['/book/1', {}, 'seat'], ['/tell/1', PROMPT, 'prompt'], ['/tell/1', {}, undefined]] as const) {
			await system.announceServers();
			const {status, isComplete, head} = await sendRaw({host: address, port}, formatRequest(path, {'carawayhoist-attempt-id': `${path}-${index}-${Object.keys(headers).length}`, ...headers}, {...(body !== undefined && {body})}));
			assert.ok(status === 502 || (status === 200 && !isComplete), `${path}: ${head}, ${isComplete ? 'complete' : 'incomplete'}`);
		}
	};

	await assertBroken(0);
	await cutSecond();
	await assertBroken(1);
});

// Guards against a stream that ends as complete after a part of its events: it was not taken up at another engine.
test('a stream that is reset with its last bytes goes on at another engine', async t => {
	const engines: StubBackendOptions[] = ['d1', 'd2'].map(id => ({
		id, service: 'llm', stage: 'decode', intercept(request, response) {
			if (request.headers['last-event-id'] !== undefined) {
				return false;
			}

			writeAndReset(request, response);
			return true;
		},
	}));
	const system = await startSystem(t, engines);
	const {status, text} = await system.call('/ask/1', PROMPT, 'prompt');
	assert.deepEqual([status, [...text.matchAll(/^id: (\d)/gmv)].map(([, id]) => id)], [200, ['1', '2', '3', '4']]);
});

// Guards against streams that end as complete after a part of their events when their entry process stood still while the server reset them.
test('streams that are reset while their entry process stands still are incomplete for their clients', async t => {
	const responses = new Set<ServerResponse>();
	const machines = await startMachines(t, {
		engine: {
			id: 'd1', service: 'llm', stage: 'decode', intercept(request, response) {
				responses.add(response);
				response.socket?.write(formatHead(request));
				response.socket?.write(BEGUN);
				return true;
			},
		},
	});
	const send = async (id: string) => sendRaw(machines.callers, formatRequest('/tell/1', {'carawayhoist-attempt-id': id, ...PROMPT}));
	await waitUntil(async () => {
		void send(`probe-${performance.now()}`);
		await sleep(FREEZE_MS);
		return responses.size > 0;
	}, 'a stream is served');
	responses.clear();
	const results = Array.from({length: 10}, async (_, index) => send(`id-${index}`));
	await waitUntil(async () => responses.size === results.length, 'all streams have begun');
	await sleep(FREEZE_MS);
	machines.entry.child.kill('SIGSTOP');
	await sleep(FREEZE_MS);
	for (const {socket} of responses) {
		socket?.write('id: 3\ndata: c\n\n');
		socket?.resetAndDestroy();
	}

	machines.entry.child.kill('SIGCONT');
	for (const {status, isComplete, body} of await Promise.all(results)) {
		assert.deepEqual([status, isComplete], [200, false], body);
	}
});

function writeAndReset(request: IncomingMessage, response: ServerResponse): void {
	response.socket?.write(formatHead(request) + BEGUN);
	response.socket?.resetAndDestroy();
}

function formatHead(request: IncomingMessage): string {
	return `HTTP/1.1 200 OK\r\ncarawayhoist-attempt-id: ${String(request.headers['carawayhoist-attempt-id'])}\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n`;
}
