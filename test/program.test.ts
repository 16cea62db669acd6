import assert from 'node:assert/strict';
import {execFile, spawn} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {before, test} from 'node:test';
import {promisify} from 'node:util';
import * as Either from 'fp-ts/lib/Either.js';
import {waitUntil} from '../dev/fleet.js';
import {findPort} from '../dev/ports.js';
import {Listener} from '../src/wire/connection.js';

const ROOT = path.resolve(import.meta.dirname, '../..');
const PROGRAM = path.join(ROOT, 'target/carawayhoist-platform.cjs');
const SETTINGS_VARIABLE = 'CARAWAYHOIST_NODE_FILE';
const BOUNDS = {
	graceMs: 2000, leaseMs: 500, repeatRatio: 0.2, repeatWindowMs: 10_000, repeatAllowance: 100, announceMs: 400,
};

before(async () => {
	await promisify(execFile)(process.execPath, ['deploy/build.js'], {cwd: ROOT});
});

test('an invalid setting is reported with its JSON pointer', async () => {
	const run = promisify(execFile)(process.execPath, [PROGRAM], {env: {[SETTINGS_VARIABLE]: path.join(ROOT, 'package.json')}});
	await assert.rejects(run, (error: {code?: number; stderr?: string}) => error.code === 2 && (error.stderr ?? '').includes('/host is required'));
});

test('the program starts with compiled code, and compiles the bundle again if that code is damaged', async () => {
	const flags = ['--max-old-space-size=140'];
	const runProgram = async () => {
		const run = promisify(execFile)(process.execPath, [...flags, PROGRAM], {env: {[SETTINGS_VARIABLE]: path.join(ROOT, 'package.json')}});
		const failure = await run.catch((error: unknown) => error as {code?: number; stderr?: string});
		return failure.stderr ?? '';
	};

	const cacheFile = path.join(ROOT, `target/carawayhoist-bundle.cjs${flags.join('')}.cache`);
	await rm(cacheFile, {force: true});
	assert.match(await runProgram(), /No compiled code[\s\S]*\/host is required/v);
	// Guards against code that is stored without what serves requests, because the requests of the build no longer fit the program.
	const {stderr} = await promisify(execFile)(process.execPath, [...flags, 'deploy/compile.js'], {cwd: ROOT});
	assert.equal(stderr, '');
	assert.doesNotMatch(await runProgram(), /ompiled code/v);
	await writeFile(cacheFile, 'damaged');
	assert.match(await runProgram(), /compiled code is damaged[\s\S]*\/host is required/v);
	await rm(cacheFile);
});

test('an entry host contacts control hosts added to its settings, with and without SIGHUP, and exits with 0 on SIGTERM', async t => {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'program-'));
	const file = path.join(folder, 'settings.json');
	const peerPort = await findPort();
	const contacted = new Set<string>();
	const listeners: Listener[] = [];
	for (const address of ['127.0.0.2', '127.0.0.3', '127.0.0.4']) {
		const listener = new Listener(message => {
			if (message.type === 'watch') {
				contacted.add(address);
			}
		});
		assert.ok(Either.isRight(await listener.listen({address, port: peerPort})));
		listeners.push(listener);
	}

	const settings = {
		host: 'h1', dataCentre: 'a', role: 'entry', address: '127.0.0.1', peerPort, callers: `127.0.0.1:${await findPort()}`, readiness: `127.0.0.1:${await findPort()}`, firstStart: true, bounds: BOUNDS,
	};
	const writeSeeds = async (...seeds: string[]) => writeFile(file, JSON.stringify({...settings, seeds}));
	await writeSeeds('127.0.0.2:80');
	const child = spawn(process.execPath, [PROGRAM], {env: {[SETTINGS_VARIABLE]: file}, stdio: ['ignore', 'pipe', 'inherit']});
	const lines: string[] = [];
	child.stdout.on('data', (chunk: Uint8Array) => {
		lines.push(String(chunk));
	});
	t.after(async () => {
		child.kill('SIGKILL');
		for (const listener of listeners) {
			listener.close();
		}

		await rm(folder, {recursive: true});
	});

	await waitUntil(async () => contacted.has('127.0.0.2'), 'the first control host is contacted');
	await writeSeeds('127.0.0.3:80');
	child.kill('SIGHUP');
	await waitUntil(async () => contacted.has('127.0.0.3'), 'the second control host is contacted after SIGHUP');
	await writeFile(file, '{"host": ');
	child.kill('SIGHUP');
	await waitUntil(async () => lines.some(line => line.includes('Keeping the current settings')), 'unreadable settings are reported');
	await writeSeeds('127.0.0.4:80');
	await waitUntil(async () => contacted.has('127.0.0.4'), 'the third control host is contacted without a signal');

	const exitCode = new Promise<number | null>(resolve => {
		child.once('exit', resolve);
	});
	child.kill('SIGTERM');
	assert.equal(await exitCode, 0);
});

// Guards against requests that are cut by a second signal, or by SIGINT, which ended the process at once.
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
	test(`a second SIGTERM does not cut the requests that a host finishes after a first ${signal}`, async t => {
		const folder = await mkdtemp(path.join(os.tmpdir(), 'program-'));
		const file = path.join(folder, 'settings.json');
		const callerPort = await findPort();
		await writeFile(file, JSON.stringify({
			host: 'h1', dataCentre: 'a', role: 'entry', address: '127.0.0.1', peerPort: await findPort(), callers: `127.0.0.1:${callerPort}`, readiness: `127.0.0.1:${await findPort()}`, seeds: ['127.0.0.2:80'], firstStart: true, bounds: BOUNDS,
		}));
		const child = spawn(process.execPath, [PROGRAM], {env: {[SETTINGS_VARIABLE]: file}, stdio: ['ignore', 'pipe', 'inherit']});
		let output = '';
		child.stdout.on('data', (chunk: Uint8Array) => {
			output += String(chunk);
		});
		t.after(async () => {
			child.kill('SIGKILL');
			await rm(folder, {recursive: true});
		});
		await waitUntil(async () => output.includes('Started as entry host'), 'the host has started');
		const socket = net.connect({host: '127.0.0.1', port: callerPort});
		let response = '';
		socket.on('data', chunk => {
			response += String(chunk);
		});
		// A reset shows as a missing response.
		socket.on('error', () => undefined);
		socket.write('POST /book/1 HTTP/1.1\r\nhost: a.example\r\ncarawayhoist-attempt-id: half\r\ncontent-length: 8\r\n\r\nhalf');
		await fetch(`http://127.0.0.1:${callerPort}/`);
		child.kill(signal);
		await waitUntil(async () => output.includes(`Received ${signal}`), 'the first signal is received');
		child.kill('SIGTERM');
		child.kill('SIGHUP');
		await fetch(`http://127.0.0.1:${callerPort}/`).catch(() => undefined);
		socket.write('rest');
		await waitUntil(async () => child.exitCode !== null || child.signalCode !== null, 'the process exits');
		assert.deepEqual([child.exitCode, child.signalCode], [0, null]);
		assert.match(response, /^HTTP\/1\.1 503 /v);
	});
}
