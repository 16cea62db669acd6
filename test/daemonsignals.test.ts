import assert from 'node:assert/strict';
import {execFile, spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtemp, open, rm, writeFile,
} from 'node:fs/promises';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {test} from 'node:test';
import {promisify} from 'node:util';
import {waitUntil} from '../dev/fleet.js';
import {findPort} from '../dev/ports.js';

type TestContext = {after(clean: () => Promise<void>): void};

const PROGRAM = path.resolve(import.meta.dirname, '../src/daemon/carawayhoistd.js');

async function createFolder(t: TestContext): Promise<string> {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'daemonsignals-'));
	t.after(async () => rm(folder, {recursive: true}));
	return folder;
}

async function createSettings(folder: string) {
	const peer = {address: '127.0.0.1', port: await findPort()};
	return {
		host: 'h1',
		dataCentre: 'a',
		roles: ['control', 'entry'],
		http: {address: '127.0.0.1', port: await findPort()},
		peer,
		dataFolder: path.join(folder, 'data'),
		control: [{host: 'h1', ...peer}],
	};
}

/** Starts carawayhoistd; it is killed after the test. */
function startDaemon(t: TestContext, file: string): {child: ChildProcess; has: (text: string) => boolean; exit: Promise<unknown[]>} {
	const child = spawn(process.execPath, [PROGRAM, '--settings', file], {stdio: ['ignore', 'pipe', 'inherit']});
	let output = '';
	child.stdout.on('data', (chunk: Uint8Array) => {
		output += String(chunk);
	});
	t.after(async () => {
		child.kill('SIGKILL');
	});
	return {child, has: text => output.includes(text) || child.signalCode !== null, exit: once(child, 'exit')};
}

// A signal without a handler ends the process, and with it the requests that it finishes.
test('carawayhoistd goes on at SIGHUP, and answers the request in progress when SIGHUP follows SIGTERM', async t => {
	const folder = await createFolder(t);
	const file = path.join(folder, 'settings.json');
	const settings = await createSettings(folder);
	await writeFile(file, JSON.stringify(settings));
	const {child, has, exit} = startDaemon(t, file);
	await waitUntil(async () => has('Listening on'), 'the daemon listens');
	child.kill('SIGHUP');
	await waitUntil(async () => has('Ignored SIGHUP'), 'SIGHUP is logged');
	assert.equal(child.signalCode, null);
	const socket = net.connect({host: settings.http.address, port: settings.http.port});
	let response = '';
	socket.on('data', chunk => {
		response += String(chunk);
	});
	// A reset shows as a missing response.
	socket.on('error', () => undefined);
	socket.write('GET /v1/models HTTP/1.1\r\nhost: a.example\r\ncontent-length: 8\r\n\r\nhalf');
	await fetch(`http://${settings.http.address}:${settings.http.port}/healthz`);
	child.kill('SIGTERM');
	await waitUntil(async () => has('Shutting down'), 'the daemon is stopping');
	child.kill('SIGHUP');
	child.kill('SIGTERM');
	child.kill('SIGINT');
	await fetch(`http://${settings.http.address}:${settings.http.port}/healthz`).catch(() => undefined);
	socket.write('rest');
	assert.deepEqual(await exit, [0, null]);
	assert.match(response, /^HTTP\/1\.1 200 /v);
});

for (const signal of ['SIGTERM', 'SIGHUP'] as const) {
	test(`carawayhoistd that gets ${signal} before it has read its settings starts, and stops as requested`, async t => {
		const folder = await createFolder(t);
		const file = path.join(folder, 'settings.json');
		// The program waits until the test writes to the pipe.
		await promisify(execFile)('mkfifo', [file]);
		const {child, has, exit} = startDaemon(t, file);
		const pipe = await open(file, 'w');
		child.kill(signal);
		await pipe.writeFile(JSON.stringify(await createSettings(folder))).catch(() => undefined);
		await pipe.close();
		await waitUntil(async () => has('Listening on'), 'the daemon listens');
		if (signal === 'SIGHUP') {
			await waitUntil(async () => has('Ignored SIGHUP'), 'SIGHUP is logged');
			child.kill('SIGTERM');
		}

		assert.deepEqual(await exit, [0, null]);
	});
}
