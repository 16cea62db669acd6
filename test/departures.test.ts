import assert from 'node:assert/strict';
import {test} from 'node:test';
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

type System = Awaited<ReturnType<typeof startSystem>>;
