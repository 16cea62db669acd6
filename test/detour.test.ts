import assert from 'node:assert/strict';
import {test} from 'node:test';
import {waitUntil} from '../dev/fleet.js';
import {HostNetwork, type NetworkCut} from './network.js';
import {startSystem} from './system.js';

const PROMPT = {'carawayhoist-model': 'm', 'carawayhoist-token-counts': '30,80', 'carawayhoist-prompt-prefix': 'aa:10,bb:20'};
const CUTS: Record<string, NetworkCut> = {
	'connections hang': {open: 'hang', fresh: 'hang'},
	'connections are reset and new ones refused': {open: 'reset', fresh: 'refused'},
	'open connections work and new ones are refused': {open: 'work', fresh: 'refused'},
	'open connections work and new ones hang': {open: 'work', fresh: 'hang'},
};
const SERVERS = [
	{id: 'p1', service: 'plain'},
	{id: 'p2', service: 'plain'},
	{id: 'd1', service: 'llm', stage: 'decode' as const},
	{id: 'd2', service: 'llm', stage: 'decode' as const},
];

for (const [name, cut] of Object.entries(CUTS)) {
	test(`a host that loses all servers serves requests of every kind through another host (${name})`, async t => {
		const network = await HostNetwork.start();
		t.after(() => {
			network.stop();
		});
		const system = await startSystem(t, SERVERS, {connectServers: [network.connect]});
		await system.addEntry();
		const keepAnnouncing = setInterval(() => {
			void system.announceServers();
		}, 300);
		t.after(async () => {
			clearInterval(keepAnnouncing);
		});
		const callAll = async () => Promise.all([system.call('/read/1'), system.call('/book/1', {}, 'seat'), system.call('/ask/1', PROMPT), system.call('/tell/1', PROMPT)]);
		await callAll();
		network.cut(cut);
		await waitUntil(async () => (await callAll()).every(({status}) => status === 200), 'the host serves again');
		for (let round = 0; round < 5; round++) {
			const responses = await Promise.all([callAll(), callAll()]);
			assert.deepEqual(responses.flat().map(({status}) => status), Array.from({length: 8}, () => 200));
		}

		const ids = system.servers.flatMap(({receivedRequests}) => receivedRequests.filter(({path}) => path === '/book/1').map(({headers}) => headers['carawayhoist-attempt-id']));
		assert.equal(ids.length, new Set(ids).size);
		network.heal();
		await waitUntil(async () => (await callAll()).every(({status}) => status === 200), 'the host serves over its own network');
	});
}
