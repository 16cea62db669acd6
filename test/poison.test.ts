import assert from 'node:assert/strict';
import {test} from 'node:test';
import {sleep} from '../src/base/clock.js';
import type {StubBackendOptions} from './stub.js';
import {startSystem} from './system.js';

const REFUSED_CODE = '3008';
/** Time that a server takes for a request whose target contains `beside`. */
const BESIDE_MS = 150;
/** Far more than hosts need to learn of a crash: a probe and two messages on loopback connections. */
const PROPAGATION_MS = 500;

/** Options of a server that crashes as soon as it receives a request whose target or body contains `poison`. */
function createFragileServer(id: string, crashed: Set<string>, stop: (id: string) => void): StubBackendOptions {
	return {
		id, service: 'plain', intercept(request, response, body) {
			const content = `${request.url ?? ''} ${body.toString()}`;
			if (content.includes('beside')) {
				setTimeout(() => {
					response.writeHead(200, {'carawayhoist-attempt-id': String(request.headers['carawayhoist-attempt-id'])}).end();
				}, BESIDE_MS);
				return true;
			}

			if (!content.includes('poison')) {
				return false;
			}

			crashed.add(id);
			stop(id);
			return true;
		},
	};
}

/** Options of an engine that crashes in the first event of a response to a prompt with the part `bad`. */
const createFragileEngine = (framing: string) => (id: string, crashed: Set<string>, stop: (id: string) => void): StubBackendOptions => ({
	id, service: 'llm', stage: 'decode', intercept(request, response) {
		if (!String(request.headers['carawayhoist-prompt-prefix']).includes('bad:')) {
			return false;
		}

		const head = `HTTP/1.1 200 OK\r\ncarawayhoist-attempt-id: ${String(request.headers['carawayhoist-attempt-id'])}\r\ncontent-type: text/event-stream\r\n`;
		response.socket?.end(`${head}${framing}\r\n`, () => {
			crashed.add(id);
			stop(id);
		});
		return true;
	},
});

/** Headers of a prompt of three parts, of which the last is its own. */
function createPrompt(first: string, second: string, own: string): Record<string, string> {
	return {'carawayhoist-model': 'm', 'carawayhoist-token-counts': '30,80', 'carawayhoist-prompt-prefix': `${first}:10,${second}:10,${own}:10`};
}

async function startFragileSystem(t: Parameters<typeof startSystem>[0], ids: readonly string[], createOptions = createFragileServer) {
	const crashed = new Set<string>();
	const stop = (id: string) => {
		system.servers.find(server => server.id === id)!.stop();
	};

	const system = await startSystem(t, ids.map(id => createOptions(id, crashed, stop)));
	return {system, crashed};
}

test('a repeatable request under which two servers crashed is refused at every host, without reaching a third server', async t => {
	const {system, crashed} = await startFragileSystem(t, ['p1', 'p2', 'p3', 'p4']);
	const callSecond = await system.addEntry();
	assert.equal((await system.call('/read/poison')).status, 502);
	assert.equal(crashed.size, 2);
	await sleep(PROPAGATION_MS);
	for (const call of [callSecond, system.call]) {
		const {status, headers} = await call('/read/poison');
		assert.deepEqual({status, code: headers['carawayhoist-code'], hasRetryTime: Number(headers['retry-after']) > 0}, {status: 503, code: REFUSED_CODE, hasRetryTime: true});
		assert.equal((await call('/read/sound')).status, 200);
	}

	assert.equal(crashed.size, 2);
});

test('a non-repeatable request under which two servers crashed is refused at a host that joins later', async t => {
	const {system, crashed} = await startFragileSystem(t, ['p1', 'p2', 'p3', 'p4']);
	const callSecond = await system.addEntry();
	assert.equal((await system.call('/book/1', {}, 'poison')).status, 502);
	assert.equal((await callSecond('/book/1', {}, 'poison')).status, 502);
	assert.equal(crashed.size, 2);
	await sleep(PROPAGATION_MS);
	const callThird = await system.addEntry();
	const {status, headers} = await callThird('/book/1', {}, 'poison');
	assert.deepEqual({status, code: headers['carawayhoist-code']}, {status: 503, code: REFUSED_CODE});
	assert.equal((await callThird('/book/1', {}, 'seat')).status, 200);
	assert.equal(crashed.size, 2);
});

test('a request is not refused after several servers closed connections without an answer but stayed alive', async t => {
	let isBroken = true;
	const system = await startSystem(t, ['p1', 'p2', 'p3', 'p4'].map(id => ({
		id, service: 'plain', intercept(_request, response) {
			if (isBroken) {
				response.socket?.resetAndDestroy();
			}

			return isBroken;
		},
	})));
	for (let index = 0; index < 12; index++) {
		assert.equal((await system.call('/book/1', {}, 'seat')).status, 502);
	}

	assert.ok(system.servers.filter(server => server.receivedRequests.length > 0).length > 1);
	await sleep(PROPAGATION_MS);
	isBroken = false;
	assert.equal((await system.call('/book/1', {}, 'seat')).status, 200);
});

test('sound requests that ran beside one that crashes servers are served, also when they are sent again', async t => {
	const {system, crashed} = await startFragileSystem(t, ['p1', 'p2', 'p3', 'p4', 'p5', 'p6']);
	const callSecond = await system.addEntry();
	const calls = [system.call, callSecond];
	const beside = Array.from({length: 12}, async (_, index) => calls[index % 2]!(`/read/beside/${index}`));
	await sleep(BESIDE_MS / 3);
	assert.equal((await system.call('/read/poison')).status, 502);
	assert.equal(crashed.size, 2);
	await Promise.all(beside);
	for (let index = 0; index < 12; index++) {
		await system.announceServers();
		const {status, text} = await calls[index % 2]!(`/read/beside/${index}`);
		assert.equal(status, 200, text);
	}
});

test('a prompt part under which engines crashed in different requests is refused at every host; prompts that share its other parts are served', async t => {
	await assertPartIsRefused(t, 'transfer-encoding: chunked\r\n');
});

test('a prompt part that crashes engines in responses that end with their connection is refused', async t => {
	await assertPartIsRefused(t, '');
});

/** Sends prompts with a part that crashes engines, in responses with the given framing header, and sound ones beside them. */
async function assertPartIsRefused(t: Parameters<typeof startSystem>[0], framing: string): Promise<void> {
	const crashed = new Set<string>();
	const restart = (id: string) => {
		const server = system.servers.find(other => other.id === id)!;
		const {port} = server;
		server.stop();
		void system.addServer(createFragileEngine(framing)(`${id}+`, crashed, restart), port);
	};

	const system = await startSystem(t, ['e1', 'e2', 'e3', 'e4'].map(id => createFragileEngine(framing)(id, crashed, restart)));
	const calls = [system.call, await system.addEntry()];
	const ask = async (index: number, second: string) => calls[index % 2]!(`/ask/${second}/${index}`, createPrompt('shared', second, `own${index}`), 'prompt');
	for (let index = 0; index < 8; index++) {
		// A response that has started ends with its connection.
		await Promise.allSettled([ask(index, 'bad')]);
		await sleep(PROPAGATION_MS);
		await system.announceServers();
		assert.equal((await ask(index, 'good')).status, 200);
	}

	assert.ok(crashed.size >= 3 && crashed.size <= 4, `${crashed.size} engines crashed`);
	for (const index of [8, 9]) {
		const {status, headers} = await ask(index, 'bad');
		assert.deepEqual({status, code: headers['carawayhoist-code']}, {status: 503, code: REFUSED_CODE});
		assert.equal((await ask(index, 'other')).status, 200);
	}
}
