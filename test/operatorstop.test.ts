import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {test} from 'node:test';
import {waitUntil} from '../dev/fleet.js';
import {findPort} from '../dev/ports.js';
import {sleep} from '../src/base/clock.js';
import {sendBytes} from './caller.js';

const PROGRAM = path.resolve(import.meta.dirname, '../platform/main.js');
const CONFIG = JSON.stringify({version: 1, routes: [], services: []});
const CLOSE = 'connection: close';
/** Time until the program has read a request, milliseconds. */
const READ_MS = 300;

function createPut(target: string, body: string): string {
	return `PUT ${target} HTTP/1.1\r\nhost: a.example\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

function summarize(response: string) {
	return {status: Number(response.split(' ', 2)[1]), isClosing: response.toLowerCase().includes(CLOSE)};
}

// Requests wait for a majority that the host cannot reach. They were cut when the process ended.
test('a control host that stops answers the requests that it has begun to read', async t => {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'operatorstop-'));
	const file = path.join(folder, 'settings.json');
	const port = await findPort();
	const operators = `127.0.0.1:${port}`;
	await writeFile(file, JSON.stringify({
		host: 'c1',
		dataCentre: 'a',
		role: 'control',
		address: '127.0.0.1',
		peerPort: await findPort(),
		operators,
		dataFolder: path.join(folder, 'data'),
		seeds: [operators, '127.0.0.2:80', '127.0.0.3:80'],
		firstStart: false,
		bounds: {
			graceMs: 5000, leaseMs: 500, repeatRatio: 0.2, repeatWindowMs: 10_000, repeatAllowance: 100, announceMs: 400,
		},
	}));
	const child = spawn(process.execPath, [PROGRAM], {env: {CARAWAYHOIST_NODE_FILE: file}, stdio: ['ignore', 'pipe', 'inherit']});
	const exit = once(child, 'exit');
	let output = '';
	child.stdout.on('data', (chunk: Uint8Array) => {
		output += String(chunk);
	});
	t.after(async () => {
		child.kill('SIGKILL');
		await rm(folder, {recursive: true});
	});
	await waitUntil(async () => output.includes('Started as control host'), 'the program has started');
	const address = {address: '127.0.0.1', port};
	const put = sendBytes(address, createPut('/-/config', CONFIG));
	const get = sendBytes(address, 'GET /-/config HTTP/1.1\r\nhost: a.example\r\n\r\n');
	const partial = sendBytes(address, createPut('/-/config', CONFIG).slice(0, -4));
	const announcement = createPut('/-/instances/s1', '{}');
	const late = sendBytes(address, announcement.slice(0, -1));
	await sleep(READ_MS);
	child.kill('SIGTERM');
	await waitUntil(async () => output.includes('Received SIGTERM'), 'the program is stopping');
	late.write(announcement.slice(-1));
	const [forPut, forGet, forPartial, forLate] = await Promise.all([put, get, partial, late].map(async ({closed}) => summarize(await closed)));
	const expected = {
		// The change was sent to hosts that did not reply.
		forPut: {status: 504, isClosing: true},
		forGet: {status: 503, isClosing: true},
		forPartial: {status: 503, isClosing: true},
		// Not an announcement.
		forLate: {status: 400, isClosing: true},
	};
	assert.deepEqual([forPut, forGet, forPartial, forLate], Object.values(expected));
	assert.deepEqual(await exit, [0, null]);
});
