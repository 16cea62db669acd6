import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {test} from 'node:test';
import {waitUntil} from '../dev/fleet.js';
import type {Address} from '../src/wire/connection.js';
import {startSystem} from './system.js';

test('a request that has not ended when the grace period does is answered and logged', async t => {
	const system = await startSystem(t, [{id: 'p1', service: 'plain', intercept: () => true}], {graceMs: 1000});
	const caller = await connectCaller(system.callers);
	caller.send('/book/1', 'cut');
	await waitUntil(async () => system.servers[0]!.receivedRequests.length === 1, 'the server has the request');
	await system.entry.stop();
	await waitUntil(async () => caller.isClosed, 'the connection is closed');
	assert.match(caller.text, /^HTTP\/1\.1 502 [\s\S]*carawayhoist-code: 3009\r\ncarawayhoist-outcome: unknown\r\n/v);
	const line = system.entryLines.find(({fields}) => fields.request === 'cut' && 'status' in fields);
	assert.deepEqual([line?.message, line?.fields.code], ['Request refused.', 3009]);
	assert.ok(Number(line?.fields.arrivedAfterStopMs) <= 0);
});

/** Opens a connection as a caller that sends several requests on it. */
async function connectCaller({address, port}: Address) {
	const socket = net.connect({host: address, port});
	const chunks: Buffer[] = [];
	let isClosed = false;
	socket.on('data', chunk => {
		chunks.push(chunk);
	});
	// A reset shows as a response that ends early.
	socket.on('error', () => undefined);
	socket.once('close', () => {
		isClosed = true;
	});
	await new Promise(resolve => {
		socket.once('connect', resolve);
	});
	return {
		get text() {
			return Buffer.concat(chunks).toString();
		},
		get isClosed() {
			return isClosed;
		},
		write(text: string) {
			socket.write(text);
		},
		send(target: string, id: string, headers = '') {
			socket.write(`GET ${target} HTTP/1.1\r\nhost: a.example\r\ncarawayhoist-attempt-id: ${id}\r\n${headers}\r\n`);
		},
		pause() {
			socket.pause();
		},
		resume() {
			socket.resume();
		},
	};
}
