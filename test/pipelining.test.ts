import assert from 'node:assert/strict';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {test} from 'node:test';
import {waitUntil} from '../dev/fleet.js';
import {sleep} from '../src/base/clock.js';
import {CallerConnection} from './caller.js';
import {createResponseHeaders, type StubBackendOptions} from './stub.js';
import {startSystem} from './system.js';

const PROMPT = 'carawayhoist-model: m\r\ncarawayhoist-token-counts: 30,80\r\ncarawayhoist-prompt-prefix: aa:10,bb:20\r\n';
const HELD_MS = 100;

test('pipelined requests are run and answered one after the other', async t => {
	let running = 0;
	let mostRunning = 0;
	const system = await startSystem(t, [{
		id: 'p1', service: 'plain', intercept(request, response) {
			mostRunning = Math.max(mostRunning, ++running);
			setTimeout(() => {
				running--;
				response.writeHead(200, createResponseHeaders(request)).end(`plain ${String(request.headers['carawayhoist-attempt-id'])}`);
			}, HELD_MS);
			return true;
		},
	}]);
	const caller = new CallerConnection(system.callers);
	for (const id of ['first', 'second', 'third']) {
		caller.send('/book/1', id);
	}

	await waitUntil(async () => caller.text.includes('plain third'), 'all are answered');
	assert.deepEqual([...caller.text.matchAll(/plain (first|second|third)/gv)].map(([, id]) => id), ['first', 'second', 'third']);
	assert.equal(mostRunning, 1);
	caller.disconnect();
});

// Guards against bookings that run and are not answered: the response before theirs ended the connection.
for (const {title, target, headers, respond} of [
	{
		title: 'a response without a length', target: '/book/1', headers: '', respond(request, response) {
			response.useChunkedEncodingByDefault = false;
			response.shouldKeepAlive = false;
			response.writeHead(200, createResponseHeaders(request)).end('whole');
		},
	},
	{
		title: 'a stream that is broken off', target: '/tell/1', headers: PROMPT, respond(request, response) {
			response.writeHead(200, {...createResponseHeaders(request), 'content-type': 'text/event-stream'}).write('id: 1\ndata: a\n\n');
			setTimeout(() => response.destroy(), HELD_MS);
		},
	},
] satisfies Array<{title: string; target: string; headers: string; respond: (request: IncomingMessage, response: ServerResponse) => void}>) {
	test(`a request behind ${title} does not reach a server`, async t => {
		const intercept: StubBackendOptions['intercept'] = (request, response) => {
			if (request.headers['carawayhoist-attempt-id'] !== 'ahead') {
				return false;
			}

			setTimeout(() => {
				respond(request, response);
			}, HELD_MS);
			return true;
		};

		const system = await startSystem(t, [{id: 'p1', service: 'plain', intercept}, {
			id: 'e1', service: 'llm', stage: 'decode', intercept,
		}]);
		const caller = new CallerConnection(system.callers);
		caller.send(target, 'ahead', headers);
		caller.send('/book/1', 'behind');
		await waitUntil(async () => caller.isClosed, 'the connection is closed');
		await sleep(HELD_MS);
		const ids = system.servers.flatMap(({receivedRequests}) => receivedRequests.map(request => request.headers['carawayhoist-attempt-id']));
		assert.deepEqual(ids, ['ahead']);
	});
}

test('a request whose time is over before its turn comes is refused, not run', async t => {
	const system = await startSystem(t, [{
		id: 'p1', service: 'plain', intercept(request, response) {
			setTimeout(() => {
				response.writeHead(200, createResponseHeaders(request)).end('slow');
			}, HELD_MS * 2);
			return true;
		},
	}]);
	const caller = new CallerConnection(system.callers);
	caller.send('/book/1', 'slow');
	caller.send('/book/1', 'short', `carawayhoist-deadline-ms: ${HELD_MS}\r\n`);
	await waitUntil(async () => caller.text.includes('503'), 'the second request is refused');
	assert.match(caller.text, /slowHTTP\/1\.1 503 [\s\S]*carawayhoist-outcome: not-run\r\n/v);
	assert.equal(system.servers[0]!.receivedRequests.length, 1);
	caller.disconnect();
});
