import assert from 'node:assert/strict';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {test} from 'node:test';
import {waitUntil} from '../dev/fleet.js';
import {sleep} from '../src/base/clock.js';
import {HostNetwork} from './network.js';
import {createResponseHeaders} from './stub.js';
import {ROUTES, SERVICES, startSystem} from './system.js';

type TestContext = Parameters<typeof startSystem>[0];

const PROMPT = {'carawayhoist-model': 'm', 'carawayhoist-token-counts': '30,80', 'carawayhoist-prompt-prefix': 'aa:10,bb:20'};
/** Longer than any silence in these tests. */
const TIMEOUT_MS = 15_000;
/** Time that servers stay silent after the host has noticed it. */
const FURTHER_SILENCE_MS = 400;
const EVENTS = ['id: 1\ndata: first\n\n', 'id: 2\ndata: last\n\n'] as const;

/**
 * Starts a system whose routes have long timeouts and whose servers fall silent on the paths that contain `slow`, after the first
 * event of a stream. The first host reaches the servers over a network that can be cut.
 */
async function startSilentSystem(t: TestContext, {maxAttempts}: {maxAttempts: number}) {
	const network = await HostNetwork.start();
	t.after(async () => {
		network.stop();
	});
	const held: ServerResponse[] = [];
	const intercept = (request: IncomingMessage, response: ServerResponse) => {
		if (request.url?.includes('slow') !== true || request.headers['last-event-id'] !== undefined) {
			return false;
		}

		held.push(response);
		if (request.url.startsWith('/ask/')) {
			response.writeHead(200, {...createResponseHeaders(request), 'content-type': 'text/event-stream'}).write(EVENTS[0]);
		}

		return true;
	};

	const system = await startSystem(t, [
		{id: 'p1', service: 'plain', intercept},
		{id: 'p2', service: 'plain', intercept},
		{
			id: 'd1', service: 'llm', stage: 'decode', intercept,
		},
		{
			id: 'd2', service: 'llm', stage: 'decode', intercept,
		},
	], {connectServers: [network.connect]});
	const routes = ROUTES.map(route => ({
		...route, 'timeout-ms': TIMEOUT_MS, 'slo-ms': TIMEOUT_MS, 'max-attempts': maxAttempts,
	}));
	const body = JSON.stringify({version: 2, routes, services: SERVICES});
	assert.equal((await fetch(`http://${system.control}/-/config`, {method: 'PUT', body})).status, 200);
	await waitUntil(async () => system.entryLines.some(({message}) => message === 'Applied publication 2.'), 'the configuration is in force');
	return {
		system,
		held,
		/** Cuts the first host off for new connections, while the open ones are silent, until it has noticed, and some time longer. */
		async cutUntilNoticed() {
			network.cut({open: 'work', fresh: 'hang'});
			await waitUntil(async () => {
				await system.announceServers();
				return system.entryLines.some(({message}) => message.startsWith('This host reaches no server'));
			}, 'the host has noticed that it reaches no server');
			await sleep(FURTHER_SILENCE_MS);
		},
		heal() {
			network.heal();
		},
	};
}

test('a stream goes on after a silence of all servers that no other host could have bridged', async t => {
	const {system, held, cutUntilNoticed, heal} = await startSilentSystem(t, {maxAttempts: 2});
	const stream = system.call('/ask/slow', PROMPT);
	await waitUntil(async () => held.length === 1, 'the stream has started');
	await cutUntilNoticed();
	heal();
	held[0]!.end(EVENTS[1]);
	const {status, text} = await stream;
	assert.equal(status, 200);
	assert.equal(text, EVENTS.join(''));
	assert.equal(held.length, 1);
});

test('a repeatable request is not given up while all servers are silent if it has no attempt left', async t => {
	const {system, held, cutUntilNoticed, heal} = await startSilentSystem(t, {maxAttempts: 1});
	await system.addEntry();
	const calls = [system.call('/read/slow'), system.call('/ask/slow', PROMPT)];
	await waitUntil(async () => held.length === 2, 'the requests are at servers');
	await cutUntilNoticed();
	heal();
	for (const response of held) {
		if (!response.headersSent) {
			response.writeHead(200, createResponseHeaders(response.req));
		}

		response.end(EVENTS[1]);
	}

	const [read, stream] = await Promise.all(calls);
	assert.equal(read!.status, 200);
	assert.equal(stream!.text, EVENTS.join(''));
	assert.equal(held.length, 2);
});

test('a stream that has an attempt left goes on through another host when its engine is silent and none can be reached', async t => {
	const {system, held, cutUntilNoticed} = await startSilentSystem(t, {maxAttempts: 2});
	await system.addEntry();
	const stream = system.call('/ask/slow', PROMPT);
	await waitUntil(async () => held.length === 1, 'the stream has started');
	await cutUntilNoticed();
	const {id, text} = await stream;
	assert.equal(text, `${EVENTS[0]}${[2, 3, 4].map(event => `id: ${event}\ndata: ${id} ${event}\n\n`).join('')}`);
	assert.deepEqual(system.servers.map(({receivedRequests}) => receivedRequests.filter(({path}) => path === '/ask/slow').length), [0, 0, 1, 1]);
});
