// Guards against a removed key that runs a request at a host that was frozen: when it resumes, the requests that arrived meanwhile
// are in its sockets, but the configuration is not, since control hosts close the connections to silent hosts.
import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {test} from 'node:test';
import {waitUntil} from '../dev/fleet.js';
import {findPort} from '../dev/ports.js';
import {sleep} from '../src/base/clock.js';
import {CallerConnection} from './caller.js';
import {startSystem} from './system.js';
import {
	assertNoKeys, BLUE, listReceived, PLAIN_SERVERS, publish, publishAndWait,
} from './teamsystem.js';

const PROGRAM = path.resolve(import.meta.dirname, '../platform/main.js');
/** Longer than the time after which a control host closes the connection to a host that is silent. */
const FREEZE_MS = 3500;

test('a key that was removed while a host was frozen is refused when it resumes', async t => {
	const system = await startSystem(t, PLAIN_SERVERS);
	await publishAndWait(system, 2);
	const host = await startProcess(t, system.controlPeer.port);
	const kept = new CallerConnection(host.callers);
	const fresh = new CallerConnection(host.callers);
	const send = (connection: CallerConnection, id: string) => {
		connection.send(`/read/${id}`, id, 'authorization: Token key-red-1\r\n');
	};

	await waitUntil(async () => {
		await system.announceServers();
		const response = await fetch(`http://127.0.0.1:${host.readinessPort}/-/ready`);
		return response.status === 200;
	}, 'the host is ready');
	send(kept, 'first');
	await waitUntil(async () => kept.text.includes('plain first'), 'the host serves the key');
	const answered = kept.text.length;
	host.child.kill('SIGSTOP');
	await sleep(FREEZE_MS);
	await system.announceServers();
	assert.equal(await publish(system, 3, {tenants: [BLUE]}), 200);
	send(kept, 'second');
	send(fresh, 'third');
	host.child.kill('SIGCONT');
	await waitUntil(async () => [kept.text.slice(answered), fresh.text].every(text => /^HTTP\/1\.1 \d/v.test(text)), 'both requests are answered');
	assert.deepEqual([kept.text.slice(answered), fresh.text].map(text => text.slice(0, 12)), ['HTTP/1.1 401', 'HTTP/1.1 401']);
	assert.deepEqual([listReceived(system, '/read/second'), listReceived(system, '/read/third')], [[], []]);
	kept.disconnect();
	fresh.disconnect();
	assertNoKeys(system);
});

/** Starts an entry host as a process of its own. */
async function startProcess(t: Parameters<typeof startSystem>[0], peerPort: number) {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'freeze-'));
	const file = path.join(folder, 'settings.json');
	const callers = {address: '127.0.0.1', port: await findPort()};
	const readinessPort = await findPort();
	// Hosts use one peer port, so this one needs an address of its own.
	await writeFile(file, JSON.stringify({
		host: 'frozen', dataCentre: 'a', role: 'entry', address: '127.0.0.9', peerPort, callers: `${callers.address}:${callers.port}`, readiness: `127.0.0.1:${readinessPort}`, seeds: ['127.0.0.1:80'], firstStart: true,
		bounds: {
			graceMs: 2000, leaseMs: 500, repeatRatio: 0.2, repeatWindowMs: 10_000, repeatAllowance: 100, announceMs: 400,
		},
	}));
	const child = spawn(process.execPath, [PROGRAM], {env: {CARAWAYHOIST_NODE_FILE: file}, stdio: ['ignore', 'pipe', 'inherit']});
	let output = '';
	child.stdout.on('data', (chunk: Uint8Array) => {
		output += String(chunk);
	});
	t.after(async () => {
		child.kill('SIGKILL');
		await rm(folder, {recursive: true});
	});
	await waitUntil(async () => output.includes('Started as entry host'), 'the host has started');
	return {child, callers, readinessPort};
}
