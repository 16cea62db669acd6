import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {MAX_BODY_BYTES, MIB, startMachines} from './hostileclients.js';

const HEAD = 'POST /read/1 HTTP/1.1\r\nhost: a.example\r\ncarawayhoist-attempt-id: legal\r\nconnection: close\r\n';
const MAX_HEAD_BYTES = 16_384;

/** Sends pieces, each after the one before has left, and returns the response. */
async function send(target: {host: string; port: number}, pieces: Iterable<Buffer | string>, pauseMs = 0): Promise<string> {
	const socket = net.connect(target);
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
	});
	const closed = new Promise<void>((resolve, reject) => {
		socket.once('close', () => {
			resolve();
		});
		socket.once('error', reject);
	});
	for (const piece of pieces) {
		await new Promise(resolve => {
			socket.write(piece, resolve);
		});
		await sleep(pauseMs);
	}

	await closed;
	return text;
}

function * repeat(head: string, piece: Buffer | string, count: number, end = ''): Generator<Buffer | string> {
	yield head;
	for (let index = 0; index < count; index++) {
		yield piece;
	}

	yield end;
}

// Guards against limits for hostile clients that refuse requests within the published limits.
test('requests within the limits are served, in any framing and at any speed', async t => {
	const maxBytes = 2 * MAX_BODY_BYTES;
	const machines = await startMachines(t, {limits: {'max-body-bytes': maxBytes}});
	const chunked = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
	const {callers, server} = machines;
	const check = async (name: string, bytes: number, response: Promise<string>) => {
		assert.match(await response, /^HTTP\/1\.1 200 /v, name);
		assert.equal(server.receivedRequests.at(-1)!.body.length, bytes, name);
	};

	const piece = '1\r\nx\r\n'.repeat(4096);
	await check('in chunks of one byte', maxBytes, send(callers, repeat(chunked, piece, maxBytes / 4096, '0\r\n\r\n')));
	await check('in one chunk', maxBytes, send(callers, repeat(`${chunked}${maxBytes.toString(16)}\r\n`, Buffer.alloc(MIB, 'x'), maxBytes / MIB, '\r\n0\r\n\r\n')));
	await check('with a length', maxBytes, send(callers, repeat(`${HEAD}content-length: ${maxBytes}\r\n\r\n`, Buffer.alloc(MIB, 'x'), maxBytes / MIB)));
	await check('slowly', 20, send(callers, repeat(`${HEAD}content-length: 20\r\n\r\n`, 'x', 20), 200));
	await check('after a pause', 100_001, send(callers, repeat(`${HEAD}content-length: 100001\r\n\r\nx`, Buffer.alloc(50_000, 'x'), 2), 3000));

	const lines = 'a:b\r\n'.repeat(Math.floor((MAX_HEAD_BYTES - HEAD.length - 2) / 5));
	assert.match(await send(callers, [`${HEAD.replace('POST', 'GET')}${lines}\r\n`]), /^HTTP\/1\.1 200 /v, 'with short header lines');
	const values = String(server.receivedRequests.at(-1)!.headers.a).split(', ');
	assert.deepEqual([values.length, new Set(values)], [lines.length / 5, new Set(['b'])]);
});

// A refusal promises that the request has not run. It was lost if the connection was reset because of unread bytes.
test('a body that is too long is refused with 413 before it is read, whether its length is declared or found', async t => {
	const machines = await startMachines(t);
	const declared = await send(machines.callers, [`${HEAD}content-length: 1000000000000\r\n\r\n`]);
	assert.match(declared, /^HTTP\/1\.1 413 /v);
	const found = await send(machines.callers, repeat(`${HEAD}transfer-encoding: chunked\r\n\r\n`, Buffer.from(`100000\r\n${'x'.repeat(MIB)}\r\n`), 2 + 1, '0\r\n\r\n'));
	assert.match(found, /^HTTP\/1\.1 413 /v);
	const operators = await send(machines.operators, ['PUT /-/config HTTP/1.1\r\nhost: control\r\ncontent-length: 1000000000000\r\n\r\n']);
	assert.match(operators, /^HTTP\/1\.1 413 /v);
	assert.ok(machines.server.receivedRequests.every(({method}) => method === 'GET'));
});

// A body that stops must not hold memory and a connection for ever; the limit is the one of idle connections.
test('a body without a byte for the idle timeout is refused with 408', async t => {
	const machines = await startMachines(t, {limits: {'idle-timeout-ms': 500}});
	assert.match(await send(machines.callers, [`${HEAD}content-length: 9\r\n\r\nhalf`]), /^HTTP\/1\.1 408 /v);
});
