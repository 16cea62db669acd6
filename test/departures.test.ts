import assert from 'node:assert/strict';
import {test} from 'node:test';
import {waitUntil} from '../dev/fleet.js';
import {sleep} from '../src/base/clock.js';
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

type System = Awaited<ReturnType<typeof startSystem>>;
