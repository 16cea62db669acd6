import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import http from 'node:http';
import type net from 'node:net';
import {test} from 'node:test';
import {waitUntil} from '../dev/fleet.js';
import {sleep} from '../src/base/clock.js';
import {HostNetwork} from './network.js';
import type {StubBackendOptions} from './stub.js';
import {startSystem} from './system.js';

type TestContext = Parameters<typeof startSystem>[0];

/** Starts a system whose first host is cut off from all servers, and waits until it knows its relays. */
async function startCutSystem(t: TestContext, servers: readonly StubBackendOptions[], {relays = 1, cutRelays = 0} = {}) {
	const networks = await Promise.all(Array.from({length: 1 + relays}, async () => HostNetwork.start()));
	t.after(async () => {
		for (const network of networks) {
			network.stop();
		}
	});
	const system = await startSystem(t, servers, {connectServers: networks.map(({connect}) => connect)});
	const callRelays: Array<typeof system.call> = [];
	for (let index = 0; index < relays; index++) {
		callRelays.push(await system.addEntry());
	}

	const cutHosts = [system.call, ...callRelays].slice(0, 1 + cutRelays);
	for (const [index] of cutHosts.entries()) {
		networks[index]!.cut({open: 'reset', fresh: 'refused'});
	}

	await waitUntil(async () => {
		await system.announceServers();
		await Promise.all(cutHosts.map(async call => call('/read/warm-up')));
		return system.entryLines.filter(({message}) => message.startsWith('This host reaches no server')).length === cutHosts.length;
	}, 'the hosts have noticed the cut');
	await waitUntil(async () => cutRelays === relays || (await system.call('/read/warm-up')).status === 200, 'the host has a relay');
	const countReceived = (path: string) => system.servers.flatMap(({receivedRequests}) => receivedRequests).filter(received => received.path === path).length;
	return {
		system, callRelays, countReceived, network: networks[0]!,
	};
}

/** Time in which a host that is cut off checks its network more than once. */
const CHECKS_MS = 700;

const PLAIN_SERVERS = ['p1', 'p2'].map(id => ({id, service: 'plain'}));

test('a booking in flight at a relay that stops working is not sent again', async t => {
	const {system, countReceived} = await startCutSystem(t, PLAIN_SERVERS.map(server => ({...server, intercept: ({url}) => url === '/book/1'})), {relays: 2});
	const booking = system.call('/book/1', {}, 'seat');
	await waitUntil(async () => countReceived('/book/1') === 1, 'the booking has reached a server');
	for (const relay of system.entries.slice(1)) {
		relay.close();
	}

	assert.equal((await booking).status, 502);
	assert.equal(countReceived('/book/1'), 1);
});

test('a request whose caller leaves is cancelled at the server behind a relay', async t => {
	let closedCount = 0;
	const {system, countReceived} = await startCutSystem(t, PLAIN_SERVERS.map(server => ({
		...server,
		intercept(request, response) {
			response.once('close', () => {
				closedCount += request.url === '/read/1' ? 1 : 0;
			});
			return request.url === '/read/1';
		},
	})));
	const request = http.get({
		host: system.callers.address, port: system.callers.port, path: '/read/1', headers: {host: 'a.example', 'carawayhoist-attempt-id': 'leaving'},
	});
	request.on('error', () => undefined);
	await waitUntil(async () => countReceived('/read/1') > 0, 'the request has reached a server');
	request.destroy();
	await waitUntil(async () => closedCount === countReceived('/read/1'), 'every server has lost the connection');
});

test('a large response passes a relay whole', async t => {
	const body = Buffer.alloc(4 * 1024 * 1024, 'response ');
	const {system} = await startCutSystem(t, PLAIN_SERVERS.map(server => ({
		...server,
		intercept(request, response) {
			response.writeHead(200, {'carawayhoist-attempt-id': request.headers['carawayhoist-attempt-id'], 'x-list': ['a', 'b']}).end(request.url === '/read/large' ? body : 'small');
			return true;
		},
	})));
	const response = await system.call('/read/large');
	assert.equal(response.status, 200);
	assert.ok(response.text === body.toString());
	assert.deepEqual(response.headers['x-list'], ['a', 'b']);
});

// Guards against an entry process that ends by itself, and against lost responses: repeated headers were read as one string.
test('responses with repeated headers are passed on, by the host itself and through a relay', async t => {
	const intercept: StubBackendOptions['intercept'] = (request, response) => {
		const lines = [
			'connection: x-hop', 'connection: close', 'x-hop: 1', 'content-type: text/event-stream', 'content-type: text/plain', 'retry-after: 1', 'retry-after: 2', 'x-list: a', 'x-list: b', 'content-length: 15',
		];
		response.socket?.end(`HTTP/1.1 200 OK\r\ncarawayhoist-attempt-id: ${String(request.headers['carawayhoist-attempt-id'])}\r\n${lines.join('\r\n')}\r\n\r\nid: 1\ndata: a\n\n`);
		return true;
	};

	const {system, callRelays} = await startCutSystem(t, [...PLAIN_SERVERS.map(server => ({...server, intercept})), {
		id: 'd1', service: 'llm', stage: 'decode', intercept,
	}]);
	const prompt = {'carawayhoist-model': 'm', 'carawayhoist-token-counts': '30,80', 'carawayhoist-prompt-prefix': 'aa:10,bb:20'};
	for (const call of [system.call, callRelays[0]!]) {
		for (const [path, headers] of [['/read/1', {}], ['/tell/1', prompt]] as const) {
			await system.announceServers();
			const response = await call(path, headers);
			assert.deepEqual([response.status, response.text], [200, 'id: 1\ndata: a\n\n'], path);
			assert.deepEqual([response.headers['x-list'], response.headers['content-type'], response.headers['x-hop']], [['a', 'b'], 'text/event-stream', undefined], path);
		}
	}
});

test('a relay that stops finishes the requests that it has and declines others', async t => {
	let finish: (() => void) | undefined;
	const {system, countReceived} = await startCutSystem(t, PLAIN_SERVERS.map(server => ({
		...server,
		intercept(request, response) {
			if (request.url !== '/book/slow') {
				return false;
			}

			finish = () => {
				response.writeHead(200, {'carawayhoist-attempt-id': request.headers['carawayhoist-attempt-id']}).end('booked');
			};

			return true;
		},
	})));
	const booking = system.call('/book/slow', {}, 'seat');
	await waitUntil(async () => finish !== undefined, 'the booking has reached a server');
	const stopping = system.entries[1]!.stop();
	await waitUntil(async () => (await system.call('/read/other')).status === 503, 'the relay declines');
	const received = countReceived('/read/other');
	assert.equal((await system.call('/read/other')).status, 503);
	assert.equal(countReceived('/read/other'), received);
	finish!();
	assert.equal((await booking).status, 200);
	await stopping;
});

test('hosts that all reach no server do not send requests to each other', async t => {
	const {system, callRelays, countReceived} = await startCutSystem(t, PLAIN_SERVERS, {relays: 2, cutRelays: 2});
	const countRelayed = async () => (await system.metrics.relayed.get()).values.find(({labels}) => labels.direction === 'received')?.value;
	// Hosts may have relayed requests of each other before they noticed that they were cut off themselves.
	const relayed = await countRelayed();
	for (const call of [system.call, ...callRelays]) {
		assert.equal((await call('/book/lost', {}, 'seat')).status, 503);
	}

	assert.equal(countReceived('/book/lost'), 0);
	assert.equal(await countRelayed(), relayed);
});

test('a server that refuses requests from a relay for some time gets none from it, for whichever host', async t => {
	const {system, callRelays, countReceived} = await startCutSystem(t, PLAIN_SERVERS.map(server => ({
		...server,
		intercept(request, response) {
			if (request.url !== '/read/refused') {
				return false;
			}

			response.writeHead(503, {'carawayhoist-attempt-id': request.headers['carawayhoist-attempt-id'], 'carawayhoist-not-executed': '1', 'retry-after': '100'}).end();
			return true;
		},
	})));
	assert.equal((await system.call('/read/refused')).status, 503);
	await waitUntil(async () => (await system.call('/read/refused')).status === 503 && countReceived('/read/refused') === 2, 'both servers have refused');
	for (const call of [system.call, ...callRelays]) {
		assert.equal((await call('/read/refused')).status, 503);
	}

	assert.equal(countReceived('/read/refused'), 2);
});

test('a refusal without a request ID that comes through a relay is not taken for the response to a booking', async t => {
	const ran: string[] = [];
	const {system} = await startCutSystem(t, PLAIN_SERVERS.map(server => ({
		...server,
		intercept(request, response) {
			if (request.url === '/book/1') {
				ran.push(String(request.headers['carawayhoist-attempt-id']));
				response.socket!.write('HTTP/1.1 503 Repeated\r\ncarawayhoist-not-executed: 1\r\ncontent-length: 0\r\n\r\n');
			}

			return false;
		},
	})));
	const answer = await system.call('/book/1', {}, 'seat');
	assert.deepEqual(ran, [answer.id]);
	assert.equal(answer.status, 502);
});

test('a booking that its caller sends again under the same ID through a relay is not answered with the refusal of the first time', async t => {
	const carried = new Map<net.Socket, number>();
	const {system} = await startCutSystem(t, PLAIN_SERVERS.map(server => ({
		...server,
		intercept(request, response) {
			if (request.url !== '/book/same') {
				return false;
			}

			const headers = {'carawayhoist-attempt-id': String(request.headers['carawayhoist-attempt-id']), 'carawayhoist-not-executed': '1'};
			const count = carried.get(request.socket) ?? 0;
			carried.set(request.socket, count + 1);
			if (count === 0) {
				response.writeHead(503, headers).end();
				return true;
			}

			response.socket!.write(`HTTP/1.1 503 Repeated\r\ncarawayhoist-attempt-id: ${headers['carawayhoist-attempt-id']}\r\ncarawayhoist-not-executed: 1\r\ncontent-length: 0\r\n\r\n`);
			return false;
		},
	})));
	for (let index = 0; index < 8; index++) {
		assert.equal((await system.call('/book/same', {'carawayhoist-attempt-id': 'same'}, 'seat')).status, 503);
	}

	assert.equal(carried.size, 8);
});

test('a host that is cut off goes on using its relays after all servers have been silent and are announced again, until it reaches them', async t => {
	const {system, network} = await startCutSystem(t, PLAIN_SERVERS);
	await waitUntil(async () => system.entry.listServers().length === 0, 'the servers count as silent');
	await sleep(CHECKS_MS);
	await system.announceServers();
	await waitUntil(async () => system.entries.every(entry => entry.listServers().length === PLAIN_SERVERS.length), 'every host lists the servers again');
	assert.equal((await system.call('/book/1', {}, 'seat')).status, 200);
	assert.deepEqual(system.entryLines.filter(({message}) => message.startsWith('This host reaches servers')), []);
	network.heal();
	await waitUntil(async () => system.entryLines.some(({message}) => message.startsWith('This host reaches servers')), 'the host has noticed that it reaches servers');
});
