import assert from 'node:assert/strict';
import type {IncomingMessage, ServerResponse} from 'node:http';
import net from 'node:net';
import {test} from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import {waitUntil} from '../dev/fleet.js';
import type {Message} from '../src/generated/types.js';
import type {Address} from '../src/wire/connection.js';
import {encodeFrame, FrameDecoder} from '../src/wire/frame.js';
import {HostNetwork} from './network.js';
import {accepts} from './caller.js';
import {createResponseHeaders} from './stub.js';
import {ROUTES, SERVICES, startSystem} from './system.js';

const PROMPT = {'carawayhoist-model': 'm', 'carawayhoist-token-counts': '30,80', 'carawayhoist-prompt-prefix': 'aa:10,bb:20'};
const GRACE_MS = 4000;
/** Size of a header that fills the connection to a peer, bytes. A relay sends heads on even while its peer does not read. */
const HEADER_BYTES = 24_000;
/** Together more than the operating system buffers on a connection. */
const RESPONSES = 1200;
const RESPONSES_AT_A_TIME = 20;

/** Another host that sends requests to a relay. */
class Peer {
	readonly socket: net.Socket;
	readonly received: Message[] = [];

	constructor({address, port}: Address) {
		const decoder = new FrameDecoder();
		this.socket = net.connect({host: address, port});
		this.socket.on('error', () => undefined);
		this.socket.on('data', bytes => {
			const messages = decoder.push(bytes);
			this.received.push(...(Either.isRight(messages) ? messages.right : []));
		});
	}

	/** Sends a message about a request that has ended; the relay ignores it. */
	sendControl(id: number): void {
		this.socket.write(encodeFrame({type: 'relayControl', id, action: 'resume'}));
	}

	sendRequest(id: number, server: string): void {
		const request = `relayed-${id}`;
		this.socket.write(encodeFrame({
			type: 'relayRequest', id, request, server, service: 'plain', method: 'GET', path: '/read/1', headers: ['host', 'a.example', 'carawayhoist-attempt-id', request],
		}));
	}
}

for (const [peerName, hasMore] of [['a peer', false], ['a peer that sends more meanwhile', true]] as const) {
	test(`a relay that stops sends the responses that ${peerName} has not read yet`, async t => {
		const system = await startSystem(t, [{
			id: 'p1',
			service: 'plain',
			intercept(request, response) {
				response.writeHead(200, {...createResponseHeaders(request), 'x-fill': 'x'.repeat(HEADER_BYTES)}).end();
				return true;
			},
		}], {graceMs: GRACE_MS});
		const peer = new Peer(system.peerAddresses[0]!);
		t.after(async () => {
			peer.socket.destroy();
		});
		peer.socket.pause();
		const countAnswered = () => system.entryLines.filter(({message}) => message === 'Relayed request answered.').length;
		for (let sent = 0; sent < RESPONSES;) {
			for (const last = sent + RESPONSES_AT_A_TIME; sent < last;) {
				peer.sendRequest(++sent, 'p1');
			}

			await waitUntil(async () => countAnswered() === sent, 'the server has responded');
		}

		const stopping = system.entry.stop();
		await waitUntil(async () => !await accepts(system.callers), 'the host accepts no callers');
		peer.socket.on('data', () => {
			if (hasMore) {
				peer.sendControl(1);
			}
		});
		peer.socket.resume();
		await stopping;
		await waitUntil(async () => peer.socket.closed, 'the peer has read what was sent');
		assert.equal(peer.received.filter(({type}) => type === 'relayEnd').length, RESPONSES);
	});
}

test('a host that reaches no server and its relay are stopped together: requests in progress are answered in full', async t => {
	const network = await HostNetwork.start();
	t.after(async () => {
		network.stop();
	});
	const held: ServerResponse[] = [];
	const intercept = (request: IncomingMessage, response: ServerResponse) => {
		if (request.url?.endsWith('/slow') === true) {
			response.writeHead(200, createResponseHeaders(request)).write('first ');
			held.push(response);
			return true;
		}

		return false;
	};

	const system = await startSystem(t, [
		{id: 'p1', service: 'plain', intercept},
		{
			id: 'd1', service: 'llm', stage: 'decode', intercept,
		},
	], {connectServers: [network.connect], graceMs: GRACE_MS});
	const body = JSON.stringify({version: 2, routes: ROUTES.map(route => ({...route, 'timeout-ms': 2 * GRACE_MS})), services: SERVICES});
	assert.equal((await fetch(`http://${system.control}/-/config`, {method: 'PUT', body})).status, 200);
	await waitUntil(async () => system.entryLines.some(({message}) => message === 'Applied publication 2.'), 'the configuration is in force');
	await system.addEntry();
	network.cut({open: 'reset', fresh: 'refused'});
	await waitUntil(async () => {
		await system.announceServers();
		const responses = await Promise.all([system.call('/read/1'), system.call('/ask/1', PROMPT)]);
		return responses.every(({status}) => status === 200);
	}, 'the host sends requests through its relay');
	const calls = [system.call('/book/slow', {}, 'seat'), system.call('/tell/slow', PROMPT), system.call('/ask/slow', PROMPT)];
	await waitUntil(async () => held.length === calls.length, 'the requests are at servers');
	const stops = system.entries.map(async entry => entry.stop());
	await waitUntil(async () => (await Promise.all(system.callerAddresses.map(async address => accepts(address)))).every(accepts => !accepts), 'the hosts accept no callers');
	for (const response of held) {
		response.end('last');
	}

	assert.deepEqual((await Promise.all(calls)).map(({status, text}) => [status, text]), calls.map(() => [200, 'first last']));
	await Promise.all(stops);
});
