// A faulty server may write an earlier response again on a kept connection, where the response to the next request is due. These
// tests guard against believing it: the request that it seems to answer is run all the same.
import assert from 'node:assert/strict';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {test} from 'node:test';
import {waitUntil} from '../dev/fleet.js';
import {publishAttempts} from './attempts.js';
import {createResponseHeaders, type StubBackendOptions} from './stub.js';
import {startSystem} from './system.js';

const SHORT_PROMPT = {'carawayhoist-model': 'm', 'carawayhoist-token-counts': '30,80', 'carawayhoist-prompt-prefix': 'aa:10,bb:20'};
const REFUSAL = {status: 503, headers: {'carawayhoist-not-executed': '1'}};
const WRONG_SERVER = {status: 421, headers: {'carawayhoist-not-executed': '1'}};

type Repetition = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
};

for (const {name, status, headers} of [
	{name: 'a refusal', ...REFUSAL},
	{name: 'a refusal for a wrong server', ...WRONG_SERVER},
	{name: 'a rejection with 429', status: 429, headers: {}},
	{name: 'a failure', status: 500, headers: {'carawayhoist-server-stamp': 'p0.other'}},
]) {
	test(`${name} without a request ID on a kept connection is not taken for the response to a booking`, async t => {
		const ran: string[] = [];
		const refused = new Set<Socket>();
		const system = await startSystem(t, ['p1', 'p2'].map(id => ({
			id, service: 'plain', intercept(request, response) {
				if (!refused.has(request.socket)) {
					refused.add(request.socket);
					refuse(request, response);
					return true;
				}

				ran.push(readId(request));
				repeat(response, {status, headers});
				return false;
			},
		})));
		let answer = await system.call('/book/1', {}, 'seat');
		await waitUntil(async () => {
			answer = await system.call('/book/1', {}, 'seat');
			return ran.length > 0;
		}, 'a kept connection is used');
		assert.deepEqual(ran, [answer.id]);
		assert.equal(answer.status, 502);
		assert.equal(answer.headers['carawayhoist-server-stamp'], undefined);
	});
}

test('a booking that may be tried twice does not run at a second server after a repeated refusal', async t => {
	const ran: string[] = [];
	const refused = new Set<Socket>();
	const system = await startSystem(t, ['p1', 'p2'].map(id => ({
		id, service: 'plain', intercept(request, response) {
			if (!refused.has(request.socket)) {
				refused.add(request.socket);
				refuse(request, response);
				return true;
			}

			ran.push(readId(request));
			repeat(response, REFUSAL);
			return false;
		},
	})));
	await publishAttempts(system, 2);
	await waitUntil(async () => {
		await system.call('/book/1', {}, 'seat');
		return ran.length > 0;
	}, 'a kept connection is used');
	assert.equal(ran.length, new Set(ran).size);
});

test('a stream that may run once does not run at a second engine after a repeated refusal', async t => {
	const ran: string[] = [];
	const refused = new Set<Socket>();
	const system = await startSystem(t, ['e1', 'e2'].map(id => ({
		id, service: 'llm', stage: 'decode' as const, intercept(request, response) {
			if (!refused.has(request.socket)) {
				refused.add(request.socket);
				refuse(request, response);
				return true;
			}

			ran.push(readId(request));
			repeat(response, REFUSAL);
			return false;
		},
	})));
	let answer = await system.call('/tell/1', SHORT_PROMPT, 'body');
	await waitUntil(async () => {
		await system.announceServers();
		answer = await system.call('/tell/1', SHORT_PROMPT, 'body');
		return ran.length > 0;
	}, 'a kept connection is used');
	assert.deepEqual(ran, [answer.id]);
	assert.equal(answer.status, 502);
});

test('a refusal of another request is not taken for the response to a booking', async t => {
	const ran: string[] = [];
	let refusedId: string | undefined;
	const system = await startSystem(t, [{
		id: 'p1', service: 'plain', intercept(request, response) {
			if (refusedId === undefined) {
				refusedId = readId(request);
				refuse(request, response);
				return true;
			}

			ran.push(readId(request));
			repeat(response, REFUSAL, refusedId);
			return false;
		},
	}]);
	assert.equal((await system.call('/book/1', {}, 'seat')).status, 503);
	const answer = await system.call('/book/1', {}, 'seat');
	assert.deepEqual(ran, [answer.id]);
	assert.equal(answer.status, 502);
});

test('a booking that its caller sends again under the same ID is not answered with the refusal of the first time', async t => {
	const sockets: Socket[] = [];
	const system = await startSystem(t, [{
		id: 'p1', service: 'plain', intercept(request, response) {
			const isKept = sockets.includes(request.socket);
			sockets.push(request.socket);
			if (sockets.length === 1) {
				refuse(request, response);
				return true;
			}

			if (isKept) {
				repeat(response, REFUSAL, readId(request));
			}

			return false;
		},
	}]);
	const book = async () => system.call('/book/1', {'carawayhoist-attempt-id': 'same'}, 'seat');
	assert.equal((await book()).status, 503);
	assert.equal((await book()).status, 200);
	assert.equal(sockets.length, 2);
});

test('a stream that returns to an engine that has refused it is not answered with that refusal', async t => {
	const carried = new Map<Socket, string[]>();
	let runs = 0;
	const system = await startSystem(t, ['e1', 'e2'].map(id => ({
		id, service: 'llm', stage: 'decode' as const, intercept(request, response) {
			const ids = carried.get(request.socket) ?? [];
			const isRepeated = ids.includes(readId(request));
			carried.set(request.socket, [...ids, readId(request)]);
			switch (runs++) {
				case 0: {
					refuse(request, response);
					return true;
				}

				case 1: {
					response.writeHead(500, {...createResponseHeaders(request), 'content-length': 0}).end();
					return true;
				}

				default: {
					if (isRepeated) {
						repeat(response, REFUSAL, readId(request));
					}

					return false;
				}
			}
		},
	})));
	await publishAttempts(system, 3);
	const answer = await system.call('/ask/1', SHORT_PROMPT, 'body');
	assert.equal(answer.status, 200);
	assert.equal(runs, 3);
});

test('a response that no request waits for closes its connection', async t => {
	let kept: Socket | undefined;
	const system = await startSystem(t, [{
		id: 'p1', service: 'plain', intercept(request, response) {
			if (kept) {
				return false;
			}

			kept = request.socket;
			refuse(request, response);
			return true;
		},
	}]);
	assert.equal((await system.call('/book/1', {}, 'seat')).status, 503);
	kept!.write(formatResponse(REFUSAL));
	await waitUntil(async () => kept!.destroyed, 'the connection is closed');
	assert.equal((await system.call('/book/1', {}, 'seat')).status, 200);
});

test('a repeated refusal does not take its server out of use again', async t => {
	let refusedId: string | undefined;
	const system = await startSystem(t, [{
		id: 'p1', service: 'plain', intercept(request, response) {
			if (refusedId === undefined) {
				refusedId = readId(request);
				refuse(request, response, {'retry-after': '0.1'});
				return true;
			}

			if (request.url === '/book/repeated') {
				repeat(response, {...REFUSAL, headers: {...REFUSAL.headers, 'retry-after': '100'}}, refusedId);
			}

			return false;
		},
	}]);
	await system.call('/book/1', {}, 'seat');
	await waitUntil(async () => (await system.call('/book/1', {}, 'seat')).status === 200, 'the server takes requests again');
	assert.equal((await system.call('/book/repeated', {}, 'seat')).status, 502);
	assert.equal((await system.call('/book/1', {}, 'seat')).status, 200);
});

test('refusals that name their requests are believed on kept connections: callers are told when to return, and no connection is opened for them', async t => {
	const sockets = new Set<Socket>();
	const system = await startSystem(t, [{id: 'p1', service: 'plain', intercept: refuseAll(sockets)}]);
	for (let index = 0; index < 20; index++) {
		const answer = await system.call(`/book/${index}`, {}, 'seat');
		assert.equal(answer.status, 503);
		assert.ok(Number(answer.headers['retry-after']) > 0);
	}

	assert.equal(sockets.size, 1);
});

test('requests whose refusals name them are served by another server', async t => {
	const sockets = new Set<Socket>();
	const system = await startSystem(t, [{id: 'p1', service: 'plain', intercept: refuseAll(sockets)}, {id: 'p2', service: 'plain'}]);
	await publishAttempts(system, 2);
	await waitUntil(async () => {
		for (const path of ['/book/1', '/read/1']) {
			assert.equal((await system.call(path, {}, 'body')).status, 200);
		}

		return system.servers[0]!.receivedRequests.length >= 10;
	}, 'p1 has refused ten requests');
	assert.ok(sockets.size <= 2);
});

function refuseAll(sockets: Set<Socket>): StubBackendOptions['intercept'] {
	return (request, response) => {
		sockets.add(request.socket);
		refuse(request, response);
		return true;
	};
}

function refuse(request: IncomingMessage, response: ServerResponse, headers: Record<string, string> = {}): void {
	response.writeHead(REFUSAL.status, {
		...createResponseHeaders(request), ...REFUSAL.headers, 'content-length': 0, ...headers,
	}).end();
}

/** Writes a response to another exchange before the one that is due. */
function repeat(response: ServerResponse, repetition: Repetition, id?: string): void {
	response.socket!.write(formatResponse(repetition, id));
}

function formatResponse({status, headers}: Repetition, id?: string): string {
	const fields = Object.entries({...headers, ...(id !== undefined && {'carawayhoist-attempt-id': id}), 'content-length': '0'});
	return `HTTP/1.1 ${status} Repeated\r\n${fields.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`;
}

function readId(request: IncomingMessage): string {
	return String(request.headers['carawayhoist-attempt-id']);
}
