import assert from 'node:assert/strict';
import {execFile, spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {
	copyFile, mkdtemp, open, rename, rm, writeFile,
} from 'node:fs/promises';
import type {ServerResponse} from 'node:http';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {test} from 'node:test';
import {promisify} from 'node:util';
import {request} from 'undici';
import {waitUntil} from '../dev/fleet.js';
import {findPort} from '../dev/ports.js';
import {createResponseHeaders} from './stub.js';
import {ROUTES, SERVICES, startSystem} from './system.js';

type TestContext = Parameters<typeof startSystem>[0];

const ROOT = path.resolve(import.meta.dirname, '../..');
const PROGRAM = path.resolve(import.meta.dirname, '../platform/main.js');
const SETTINGS_VARIABLE = 'CARAWAYHOIST_NODE_FILE';
const GRACE_MS = 6000;
/** The control host of the test listens on 127.0.0.1, on the same port. */
const ADDRESS = '127.0.0.2';

async function createSettings(peerPort: number) {
	return {
		host: 'h9',
		dataCentre: 'a',
		role: 'entry',
		address: ADDRESS,
		peerPort,
		callers: `${ADDRESS}:${await findPort()}`,
		readiness: `${ADDRESS}:${await findPort()}`,
		seeds: ['127.0.0.1:80'],
		firstStart: false,
		bounds: {
			graceMs: GRACE_MS, leaseMs: 500, repeatRatio: 0.2, repeatWindowMs: 10_000, repeatAllowance: 100, announceMs: 400,
		},
	};
}

async function createFolder(t: TestContext): Promise<string> {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'signals-'));
	t.after(async () => rm(folder, {recursive: true}));
	return folder;
}

/** Starts the program; it is killed after the test. */
function startProgram(t: TestContext, file: string, program = PROGRAM): {child: ChildProcess; lines: string[]; exit: Promise<unknown[]>} {
	const child = spawn(process.execPath, [program], {env: {[SETTINGS_VARIABLE]: file}, stdio: ['ignore', 'pipe', 'inherit']});
	const lines: string[] = [];
	child.stdout.on('data', (chunk: Uint8Array) => {
		lines.push(String(chunk));
	});
	t.after(async () => {
		child.kill('SIGKILL');
	});
	return {child, lines, exit: once(child, 'exit')};
}

async function isReady(address: string): Promise<boolean> {
	const response = await request(`http://${address}/-/ready`);
	await response.body.dump();
	return response.statusCode === 200;
}

test('a host that stops answers the requests in progress although further signals arrive', async t => {
	const ports: number[] = [];
	const held: ServerResponse[] = [];
	const system = await startSystem(t, [{
		id: 'p1',
		service: 'plain',
		intercept(received, response) {
			held.push(response);
			response.writeHead(200, createResponseHeaders(received)).write('first ');
			return true;
		},
	}], {
		async findPort() {
			ports.push(await findPort());
			return ports.at(-1)!;
		},
	});
	const body = JSON.stringify({version: 2, routes: ROUTES.map(route => ({...route, 'timeout-ms': 2 * GRACE_MS})), services: SERVICES});
	assert.equal((await fetch(`http://${system.control}/-/config`, {method: 'PUT', body})).status, 200);
	const settings = await createSettings(ports[0]!);
	const file = path.join(await createFolder(t), 'settings.json');
	await writeFile(file, JSON.stringify(settings));
	const {child, lines, exit} = startProgram(t, file);
	await waitUntil(async () => lines.some(line => line.includes('Applied publication 2.')), 'the program has the configuration');
	await waitUntil(async () => {
		await system.announceServers();
		return isReady(settings.readiness);
	}, 'the program is ready');
	const booking = request(`http://${settings.callers}/book/1`, {method: 'POST', body: 'seat', headers: {host: 'a.example', 'carawayhoist-attempt-id': 'id-1'}});
	await waitUntil(async () => held.length === 1, 'the booking is at the server');
	child.kill('SIGTERM');
	await waitUntil(async () => !await isReady(settings.readiness), 'the program is stopping');
	child.kill('SIGTERM');
	child.kill('SIGHUP');
	await waitUntil(async () => child.signalCode !== null || lines.some(line => line.includes('Reloaded the settings.')), 'the signals have arrived');
	held[0]!.end('last');
	const response = await booking;
	assert.deepEqual([response.statusCode, await response.body.text()], [200, 'first last']);
	assert.deepEqual(await exit, [0, null]);
});

test('a program that gets SIGHUP before it has read its settings starts, and reads them again', async t => {
	const folder = await createFolder(t);
	const file = path.join(folder, 'settings.json');
	const text = JSON.stringify(await createSettings(await findPort()));
	// The program waits until the test writes to the pipe. What it reads later is in a file of that name.
	await promisify(execFile)('mkfifo', [file]);
	const {child, lines, exit} = startProgram(t, file);
	const pipe = await open(file, 'w');
	child.kill('SIGHUP');
	await writeFile(path.join(folder, 'new.json'), text);
	await rename(path.join(folder, 'new.json'), file);
	await pipe.writeFile(text).catch(() => undefined);
	await pipe.close();
	await waitUntil(async () => child.signalCode !== null || lines.some(line => line.includes('Reloaded the settings.')), 'the program has reloaded its settings');
	assert.equal(child.signalCode, null);
	child.kill('SIGTERM');
	assert.deepEqual(await exit, [0, null]);
});

test('a program that gets SIGHUP before its code is loaded starts', async t => {
	const folder = await createFolder(t);
	const bundle = path.join(folder, 'carawayhoist-bundle.cjs');
	await copyFile(path.join(ROOT, 'deploy/start.cjs'), path.join(folder, 'start.cjs'));
	await promisify(execFile)('mkfifo', [bundle]);
	const {child, lines, exit} = startProgram(t, '', path.join(folder, 'start.cjs'));
	const pipe = await open(bundle, 'w');
	child.kill('SIGHUP');
	await pipe.writeFile('process.stdout.write("loaded");').catch(() => undefined);
	await pipe.close();
	assert.deepEqual(await exit, [0, null]);
	assert.deepEqual(lines, ['loaded']);
});
