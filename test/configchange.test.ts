import assert from 'node:assert/strict';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import net from 'node:net';
import {test} from 'node:test';
import {waitUntil} from '../dev/fleet.js';
import {sleep} from '../src/base/clock.js';
import {createResponseHeaders, type StubBackendOptions} from './stub.js';
import {ROUTES, SERVICES, startSystem} from './system.js';

type TestContext = Parameters<typeof startSystem>[0];

const PROMPT = {'carawayhoist-model': 'm', 'carawayhoist-token-counts': '30,80', 'carawayhoist-prompt-prefix': 'aa:10,bb:20'};
const LONG_TIMEOUT_MS = 20_000;
/** Longer than all times of the configuration that comes while requests are in progress. */
const WAIT_MS = 700;
const SHORT_MS = 100;
/** Less than the time that a response promises, but well over the shortened one. */
const IDLE_MS = 3000;
const LONG_ROUTES = ROUTES.map(route => ({...route, 'timeout-ms': LONG_TIMEOUT_MS, 'slo-ms': LONG_TIMEOUT_MS}));
const LONG_LIMITS = {
	'max-header-bytes': 16_384, 'max-body-bytes': 100_000, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
};

/** Starts a system whose routes have long timeouts and whose servers hold requests for paths that end with `slow`. */
async function startHoldingSystem(t: TestContext) {
	const held: ServerResponse[] = [];
	const intercept = (request: IncomingMessage, response: ServerResponse) => {
		if (request.url?.endsWith('/slow') !== true) {
			return false;
		}

		response.writeHead(200, createResponseHeaders(request)).write('first ');
		held.push(response);
		return true;
	};

	const servers: StubBackendOptions[] = [{id: 'p1', service: 'plain', intercept}, {
		id: 'd1', service: 'llm', stage: 'decode', intercept,
	}];
	const system = await startSystem(t, servers);
	let version = 1;
	const publish = async (configuration: {routes: readonly object[]; services: readonly object[]; limits: object}) => {
		const body = JSON.stringify({version: ++version, ...configuration});
		assert.equal((await fetch(`http://${system.control}/-/config`, {method: 'PUT', body})).status, 200);
		await waitUntil(async () => system.entryLines.some(({message}) => message === `Applied publication ${version}.`), 'the configuration is in force');
	};

	await publish({routes: LONG_ROUTES, services: SERVICES, limits: LONG_LIMITS});
	return {system, held, publish};
}

test('requests in progress and half-read bodies outlive a configuration that takes away their routes, times, servers and limits', async t => {
	const {system, held, publish} = await startHoldingSystem(t);
	const calls = [system.call('/book/slow', {}, 'seat'), system.call('/ask/slow', PROMPT), system.call('/tell/slow', PROMPT)];
	await waitUntil(async () => held.length === calls.length, 'the requests are at servers');
	const upload = net.connect({host: system.callers.address, port: system.callers.port});
	t.after(async () => {
		upload.destroy();
	});
	let received = '';
	upload.on('data', bytes => {
		received += String(bytes);
	});
	upload.write(`POST /read/upload HTTP/1.1\r\nhost: a.example\r\ncarawayhoist-attempt-id: up\r\ncontent-length: ${2 * SHORT_MS}\r\n\r\n${'a'.repeat(SHORT_MS)}`);
	await waitUntil(async () => (await system.metrics.active.get()).values[0]!.value === calls.length + 1, 'the host reads the body');
	const [read, tell] = ['read', 'tell'].map(name => LONG_ROUTES.find(route => route.name === name));
	await publish({
		routes: [read!, {
			...tell, type: 'safe', 'timeout-ms': SHORT_MS, service: 'plain', resumable: false, sticky: false, 'itl-target-ms': undefined,
		}],
		services: [{name: 'plain', 'health-path': '/health', 'max-conns': 1}],
		limits: {
			'max-header-bytes': SHORT_MS, 'max-body-bytes': SHORT_MS, 'header-timeout-ms': SHORT_MS, 'idle-timeout-ms': SHORT_MS,
		},
	});
	await sleep(WAIT_MS);
	upload.write('a'.repeat(SHORT_MS));
	for (const response of held) {
		response.end('last');
	}

	assert.deepEqual((await Promise.all(calls)).map(({status, text}) => [status, text]), calls.map(() => [200, 'first last']));
	await waitUntil(async () => received.includes('\r\n\r\n'), 'the upload is answered');
	assert.match(received, /^HTTP\/1.1 200 OK\r\n[\s\S]*plain up$/v);
});

test('requests in progress outlive the announcements of their servers, whose addresses other servers announce', async t => {
	const {system, held} = await startHoldingSystem(t);
	const calls = [system.call('/book/slow', {}, 'seat'), system.call('/ask/slow', PROMPT), system.call('/tell/slow', PROMPT)];
	await waitUntil(async () => held.length === calls.length, 'the requests are at servers');
	for (const server of system.servers) {
		assert.equal(await server.announce(system.control, 'draining'), 200);
		assert.equal((await fetch(`http://${system.control}/-/instances/${server.id}`, {method: 'DELETE'})).status, 200);
		const successor = {
			service: 'plain', address: server.address, zone: 'a', version: 'v1', slots: 8, state: 'ready', 'cold-remaining-ms': 0, sequence: 1, born: Date.now(),
		};
		assert.equal((await fetch(`http://${system.control}/-/instances/${server.id}-successor`, {method: 'PUT', body: JSON.stringify(successor)})).status, 200);
	}

	await waitUntil(async () => system.entry.listServers().toSorted().join(' ') === 'd1-successor p1-successor', 'the host knows the other servers');
	await sleep(WAIT_MS);
	for (const response of held) {
		response.end('last');
	}

	assert.deepEqual((await Promise.all(calls)).map(({status, text}) => [status, text]), calls.map(() => [200, 'first last']));
});

test('a connection stays open for the time that its last response has promised, although the idle timeout has been shortened since', async t => {
	const {system, held, publish} = await startHoldingSystem(t);
	const agent = new http.Agent({keepAlive: true, maxSockets: 1});
	t.after(async () => {
		agent.destroy();
	});
	let response: IncomingMessage | undefined;
	let isClosed = false;
	const request = http.get({
		agent, host: system.callers.address, port: system.callers.port, path: '/tell/slow', headers: {host: 'a.example', 'carawayhoist-attempt-id': 'id', ...PROMPT},
	}, received => {
		response = received;
		received.resume();
		received.socket.once('close', () => {
			isClosed = true;
		});
	});
	request.on('error', () => undefined);
	await waitUntil(async () => response !== undefined, 'the stream has started');
	assert.equal(response!.headers['keep-alive'], `timeout=${LONG_LIMITS['idle-timeout-ms'] / 1000}`);
	await publish({routes: LONG_ROUTES, services: SERVICES, limits: {...LONG_LIMITS, 'idle-timeout-ms': SHORT_MS}});
	held[0]!.end('last');
	await waitUntil(async () => response!.complete, 'the stream has ended');
	await sleep(IDLE_MS);
	assert.equal(isClosed, false);
});
