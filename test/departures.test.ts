import assert from 'node:assert/strict';
import net from 'node:net';
import {test} from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import {waitUntil} from '../dev/fleet.js';
import {sleep} from '../src/base/clock.js';
import type {ServerStatus} from '../src/generated/types.js';
import {DepartureConfirmation} from '../src/membership/departures.js';
import {deliver, Listener} from '../src/wire/connection.js';
import {startSystem} from './system.js';

/** An entry host has heard a restarted control host after this time, and has sent what it knows. */
const RESYNC_MS = 1200;

// Guards against work for a server that has left: the control hosts were killed together, and a late announcement of the
// server reached them first.
for (const {name, state, leave} of [
	{name: 'deregistered', state: {gone: true, isLeaving: false}, leave: async (system: System) => fetch(`http://${system.control}/-/instances/p1`, {method: 'DELETE'})},
	{name: 'announced that it leaves', state: {gone: false, isLeaving: true}, leave: async (system: System) => system.servers[0]!.announce(system.control, 'draining')},
]) {
	test(`a late announcement does not bring back a server that has ${name}, also after the control host was killed`, async t => {
		const system = await startSystem(t, [{id: 'p1', service: 'plain'}, {id: 'p2', service: 'plain'}]);
		const [server] = system.servers;
		const late = server!.createAnnouncement();
		await leave(system);
		await sleep(RESYNC_MS);
		await system.restartControl();
		await system.announceOnly('p2');
		await sleep(RESYNC_MS);
		await server!.sendAnnouncement(system.control, late);
		const status = system.findRegistered('p1');
		assert.deepEqual({gone: status?.gone, isLeaving: status?.announcement.leaving === true}, state);
		await system.addEntry();
		assert.deepEqual(system.entries.at(-1)!.listServers(), ['p2']);
	});
}

// Guards against an acknowledged end that no host remembers: a late announcement would bring the server back.
test('a control host that has just started does not acknowledge the end of a server that it does not know', async t => {
	const system = await startSystem(t, [{id: 'p1', service: 'plain'}]);
	await system.restartControl();
	const deregister = async () => (await fetch(`http://${system.control}/-/instances/p1`, {method: 'DELETE'})).status;
	assert.equal(await deregister(), 503);
	await system.announceOnly('p1');
	assert.equal(await deregister(), 200);
	assert.equal(system.findRegistered('p1')?.gone, true);
});

test('a control host that has heard all servers acknowledges the end of one that it does not know', async t => {
	const system = await startSystem(t, []);
	await waitUntil(async () => (await fetch(`http://${system.control}/-/instances/p1`, {method: 'DELETE'})).status === 200, 'the control host has heard all servers');
});

// Guards against a departure that is lost with the control host that has just acknowledged it.
for (const {name, isKnown, leave} of [
	{name: 'end', isKnown: (status?: ServerStatus) => status?.gone === true, leave: async (system: System) => fetch(`http://${system.control}/-/instances/p1`, {method: 'DELETE'})},
	{name: 'drain', isKnown: (status?: ServerStatus) => status?.announcement.leaving === true, leave: async (system: System) => ({status: await system.servers[0]!.announce(system.control, 'draining')})},
]) {
	test(`the ${name} of a server is acknowledged once another control host knows of it`, async t => {
		const system = await startSystem(t, [{id: 'p1', service: 'plain'}, {id: 'p2', service: 'plain'}]);
		const other = await system.addControl();
		await waitUntil(async () => system.listControlPorts().includes(other.port), 'the control hosts know each other');
		await waitUntil(async () => other.findRegistered('p1') !== undefined, 'the other control host knows the server');
		await waitUntil(async () => (await leave(system)).status === 200, 'the report is acknowledged');
		assert.ok(isKnown(other.findRegistered('p1')));
	});
}

test('a departure that no other control host confirms is not acknowledged', async () => {
	const delivered: string[] = [];
	let isReachable = false;
	const confirmation = new DepartureConfirmation({
		host: 'c1',
		listPeers: () => [{address: '10.0.0.2', port: 1}, {address: '10.0.0.3', port: 1}],
		async deliver({address}) {
			delivered.push(address);
			return isReachable && address === '10.0.0.3';
		},
	});
	const status: ServerStatus = {
		announcement: {
			server: 's1', kind: 'plain', address: '10.0.0.9', port: 1, incarnation: 1, sequence: 1,
		}, gone: true, silent: false,
	};
	assert.ok(Either.isLeft(await confirmation.confirm(status)));
	isReachable = true;
	assert.ok(Either.isRight(await confirmation.confirm(status)));
	assert.ok(Either.isRight(await confirmation.confirm(status)));
	assert.deepEqual(delivered, ['10.0.0.2', '10.0.0.3', '10.0.0.2', '10.0.0.3']);
});

test('a message counts as delivered only if a process has read it', async t => {
	const received: string[] = [];
	const listener = new Listener(({type}) => {
		received.push(type);
	});
	t.after(() => {
		listener.close();
	});
	const port = await listener.listen({address: '127.0.0.1', port: 0});
	assert.ok(Either.isRight(port));
	const message = {
		type: 'resync' as const, host: 'c1', servers: [], origins: [],
	};
	assert.ok(await deliver({address: '127.0.0.1', port: port.right}, message, 1000));
	assert.deepEqual(received, ['resync']);
	// A process that accepts connections and reads nothing.
	const frozen = net.createServer({pauseOnConnect: true});
	t.after(() => {
		frozen.close();
	});
	await new Promise<void>(resolve => {
		frozen.listen(0, '127.0.0.1', resolve);
	});
	assert.ok(!await deliver({address: '127.0.0.1', port: (frozen.address() as net.AddressInfo).port}, message, 200));
	frozen.close();
	listener.close();
	assert.ok(!await deliver({address: '127.0.0.1', port: port.right}, message, 200));
});

type System = Awaited<ReturnType<typeof startSystem>>;
