import assert from 'node:assert/strict';
import {test} from 'node:test';
import {sleep} from '../src/base/clock.js';
import {EARLY_TRIAL_DELAY_MS, TRIAL_DELAYS_MS} from '../src/routing/trials.js';
import type {StubBackendOptions} from './stub.js';
import {startSystem} from './system.js';

const REFUSED_CODE = '3008';
const CHUNKED = 'transfer-encoding: chunked\r\n';
/** Time that a server takes for a request whose target contains `beside`. */
const BESIDE_MS = 150;
/** Far more than hosts need to learn of a crash: a probe and two messages on loopback connections. */
const PROPAGATION_MS = 500;
/** Time in which hosts learn of each other's facts on the platform; sound prompts must be served after twice this. */
const CONTACT_MS = 3000;

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

/** Options of an engine that crashes in the first event of a response to a prompt with the part `bad`; one with the part `held` has no end. */
const createFragileEngine = (framing: string) => (id: string, crashed: Set<string>, stop: (id: string) => void): StubBackendOptions => ({
	id, service: 'llm', stage: 'decode', intercept(request, response) {
		const prefix = String(request.headers['carawayhoist-prompt-prefix']);
		if (prefix.includes('held:')) {
			response.writeHead(200, {'carawayhoist-attempt-id': String(request.headers['carawayhoist-attempt-id']), 'content-type': 'text/event-stream'}).write('id: 1\ndata: a\n\n');
			return true;
		}

		if (!prefix.includes('bad:')) {
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

/** Headers of a prompt, of which the last part is its own. */
function createPrompt(...parts: string[]): Record<string, string> {
	return {'carawayhoist-model': 'm', 'carawayhoist-token-counts': `${parts.length * 10},80`, 'carawayhoist-prompt-prefix': parts.map(part => `${part}:10`).join(',')};
}

/** Starts engines that crash under prompts with the part `bad` and start again at once, with another entry host. */
async function startRestartingSystem(t: Parameters<typeof startSystem>[0], count: number, framing = CHUNKED) {
	const crashed = new Set<string>();
	const restart = (id: string) => {
		const server = system.servers.find(other => other.id === id)!;
		if (!server.isRunning) {
			return;
		}

		const {port} = server;
		server.stop();
		// It may crash again before all hosts list it.
		void Promise.allSettled([system.addServer(createFragileEngine(framing)(`${id}+`, crashed, restart), port)]);
	};

	const system = await startSystem(t, Array.from({length: count}, (_, index) => createFragileEngine(framing)(`e${index + 1}`, crashed, restart)));
	return {
		system, crashed, restart, calls: [system.call, await system.addEntry()],
	};
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
	await assertPartIsRefused(t, CHUNKED);
});

test('a prompt part that crashes engines in responses that end with their connection is refused', async t => {
	await assertPartIsRefused(t, '');
});

// Guards against sound prompts that stay refused because prompts with the same parts crashed servers before any of them was served again.
test('prompts that share parts with several that crashed engines at the same moment are served', async t => {
	const {system, crashed, calls} = await startRestartingSystem(t, 5);
	const ask = async (index: number, second: string) => calls[index % 2]!(`/ask/${second}/${index}`, createPrompt('first', 'shared', second, `own${index}`), 'prompt');
	for (let index = 0; index < 6; index++) {
		assert.equal((await ask(index, 'good')).status, 200);
	}

	await Promise.allSettled(Array.from({length: 6}, async (_, index) => ask(100 + index, 'bad')));
	assert.ok(crashed.size >= 4, `${crashed.size} engines crashed`);
	await sleep(PROPAGATION_MS);
	await system.announceServers();
	const {status, headers} = await ask(200, 'bad');
	assert.deepEqual({status, code: headers['carawayhoist-code']}, {status: 503, code: REFUSED_CODE});
	for (let index = 300; index < 310; index++) {
		assert.equal((await ask(index, 'good')).status, 200);
		assert.equal((await ask(index, 'other')).status, 200);
	}
});

// Guards against a route whose prompts stay refused after all its engines crashed at once for a reason that is no request.
for (const [name, isServedBefore] of [['were served before', true], ['were never served', false]] as const) {
	test(`prompts are served again after all engines crashed at the same moment, if their parts ${name}`, async t => {
		const {system, restart, calls} = await startRestartingSystem(t, 5);
		const ask = async (index: number, second: string) => calls[index % 2]!(`/ask/${second}/${index}`, createPrompt('first', 'shared', second, `own${index}`), 'prompt');
		if (isServedBefore) {
			for (let index = 0; index < 6; index++) {
				assert.equal((await ask(index, 'good')).status, 200);
			}
		}

		const streams = Promise.allSettled(Array.from({length: 20}, async (_, index) => ask(100 + index, 'held')));
		await sleep(BESIDE_MS);
		const startedMs = Date.now();
		for (const id of system.servers.map(server => server.id)) {
			restart(id);
		}

		await streams;
		let index = 200;
		while (Date.now() - startedMs < CONTACT_MS * 2) {
			await system.announceServers();
			await ask(index++, 'good');
			await sleep(50);
		}

		for (const lastIndex = index + 10; index < lastIndex; index++) {
			assert.equal((await ask(index, 'good')).status, 200);
		}
	});
}

// Guards against trials that reach several servers: one that prefills, or one that prefills again after another has crashed.
test('a request that crashes engines reaches one server in a trial', async t => {
	const crashed = new Set<string>();
	const stop = (id: string) => {
		system.servers.find(server => server.id === id)!.stop();
	};

	const system = await startSystem(t, [
		{id: 'p1', service: 'llm', stage: 'prefill'},
		...['e1', 'e2', 'e3', 'e4'].map(id => createFragileEngine(CHUNKED)(id, crashed, stop)),
	]);
	const ask = async () => Promise.allSettled([system.call('/ask/bad', {
		'carawayhoist-model': 'm', 'carawayhoist-token-counts': '20000,80', 'carawayhoist-prompt-prefix': 'first:15000,bad:10,own:4990',
	}, 'prompt')]);
	await ask();
	assert.equal(crashed.size, 2);
	const reader = system.servers[0]!;
	const prefillCount = reader.receivedRequests.length;
	assert.ok(prefillCount > 0);
	for (const startedMs = Date.now(); Date.now() - startedMs < TRIAL_DELAYS_MS[0] + PROPAGATION_MS;) {
		await sleep(PROPAGATION_MS);
		await system.announceServers();
	}

	await ask();
	assert.deepEqual({crashes: crashed.size, prefills: reader.receivedRequests.length}, {crashes: 3, prefills: prefillCount});
});

// Guards against a part that crashes servers and is never found, because prompts have more parts than hosts used to look at.
test('a part that crashes engines is refused wherever it stands in a prompt of very many parts', async t => {
	const {system, crashed, calls} = await startRestartingSystem(t, 5);
	const startedMs = Date.now();
	const shared = Array.from({length: 600}, (_, index) => `shared${index}`);
	const ask = async (index: number, second: string) => calls[index % 2]!(`/ask/${second}/${index}`, createPrompt(...shared, second, `own${index}`), 'prompt');
	for (let index = 0; index < 8; index++) {
		await Promise.allSettled([ask(index, 'bad')]);
		await sleep(PROPAGATION_MS);
		await system.announceServers();
		assert.equal((await ask(index, 'good')).status, 200);
	}

	const trialCount = [EARLY_TRIAL_DELAY_MS, ...TRIAL_DELAYS_MS].filter(delayMs => Date.now() - startedMs >= delayMs).length;
	assert.ok(crashed.size >= 3 && crashed.size <= 4 + trialCount, `${crashed.size} engines crashed`);
});

/** Sends prompts with a part that crashes engines, in responses with the given framing header, and sound ones beside them. */
async function assertPartIsRefused(t: Parameters<typeof startSystem>[0], framing: string): Promise<void> {
	const {system, crashed, calls} = await startRestartingSystem(t, 4, framing);
	const ask = async (index: number, second: string) => calls[index % 2]!(`/ask/${second}/${index}`, createPrompt('shared', second, `own${index}`), 'prompt');
	let refusedCount = 0;
	const startedMs = Date.now();
	// A response that has started ends with its connection.
	const askBad = async (index: number) => {
		const [result] = await Promise.allSettled([ask(index, 'bad')]);
		refusedCount += result.status === 'fulfilled' && result.value.status === 503 && result.value.headers['carawayhoist-code'] === REFUSED_CODE ? 1 : 0;
	};

	for (let index = 0; index < 8; index++) {
		await askBad(index);
		await sleep(PROPAGATION_MS);
		await system.announceServers();
		assert.equal((await ask(index, 'good')).status, 200);
	}

	for (const index of [8, 9]) {
		await askBad(index);
		assert.equal((await ask(index, 'other')).status, 200);
	}

	// Three crashes or four with a retry, in two or three requests; then one for each trial.
	const trialCount = [EARLY_TRIAL_DELAY_MS, ...TRIAL_DELAYS_MS].filter(delayMs => Date.now() - startedMs >= delayMs).length;
	assert.ok(crashed.size >= 3 && crashed.size <= 4 + trialCount, `${crashed.size} engines crashed`);
	assert.ok(refusedCount >= 7 - trialCount, `${refusedCount} prompts were refused`);
}
