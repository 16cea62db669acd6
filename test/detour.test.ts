import assert from 'node:assert/strict';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {test} from 'node:test';
import {waitUntil} from '../dev/fleet.js';
import {sleep} from '../src/base/clock.js';
import {HostNetwork, type NetworkCut} from './network.js';
import {startSystem} from './system.js';

const PROMPT = {'carawayhoist-model': 'm', 'carawayhoist-token-counts': '30,80', 'carawayhoist-prompt-prefix': 'aa:10,bb:20'};
const CUTS: Record<string, NetworkCut> = {
	'connections hang': {open: 'hang', fresh: 'hang'},
	'connections are reset and new ones refused': {open: 'reset', fresh: 'refused'},
	'open connections work and new ones are refused': {open: 'work', fresh: 'refused'},
	'open connections work and new ones hang': {open: 'work', fresh: 'hang'},
};
/** Longer than ten rounds of requests take beside load. */
const SLOW_TIMEOUT_MS = 20_000;
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
		const callAll = async () => Promise.all([system.call('/read/1'), system.call('/book/1', {}, 'seat'), system.call('/ask/1', PROMPT), system.call('/tell/1', PROMPT)]);
		// More requests at a time than there are open connections.
		const callMany = async () => {
			await system.announceServers();
			return (await Promise.all([callAll(), callAll(), callAll(), callAll()])).flat().map(({status}) => status);
		};

		await callAll();
		network.cut(cut);
		await waitUntil(async () => {
			const statuses = await callMany();
			return system.entryLines.some(({message}) => message.startsWith('This host reaches no server')) && statuses.every(status => status === 200);
		}, 'the host has noticed the cut and serves again');
		for (let round = 0; round < 5; round++) {
			assert.deepEqual(await callMany(), Array.from({length: 16}, () => 200));
		}

		const ids = system.servers.flatMap(({receivedRequests}) => receivedRequests.filter(({path}) => path === '/book/1').map(({headers}) => headers['carawayhoist-attempt-id']));
		assert.equal(ids.length, new Set(ids).size);
		network.heal();
		await waitUntil(async () => {
			const statuses = await callMany();
			return system.entryLines.some(({message}) => message.startsWith('This host reaches servers')) && statuses.every(status => status === 200);
		}, 'the host serves over its own network');
	});
}

test('requests that are in flight when a host loses its servers are not taken for the cause of crashes', async t => {
	const network = await HostNetwork.start();
	t.after(() => {
		network.stop();
	});
	let isHolding = true;
	const system = await startSystem(t, SERVERS.map(server => ({...server, intercept: () => isHolding})), {connectServers: [network.connect]});
	const callSecond = await system.addEntry();
	const calls = ['/book/1', '/book/2', '/book/3', '/book/4'].map(async path => system.call(path, {}, 'seat'));
	await waitUntil(async () => system.servers.flatMap(({receivedRequests}) => receivedRequests).length === 4, 'the requests have arrived');
	network.cut({open: 'reset', fresh: 'refused'});
	assert.deepEqual((await Promise.all(calls)).map(({status}) => status), [502, 502, 502, 502]);
	await waitUntil(async () => system.entryLines.some(({message}) => message.startsWith('This host reaches no server') || message.includes('crashed')), 'the host has an explanation');
	isHolding = false;
	await system.announceServers();
	assert.equal((await callSecond('/book/1', {}, 'seat')).status, 200);
	assert.deepEqual(system.entryLines.filter(({message}) => message.includes('crashed')), []);
});

test('a request in flight on a connection that still works is not sent again when new connections are refused', async t => {
	const network = await HostNetwork.start();
	t.after(() => {
		network.stop();
	});
	const held: ServerResponse[] = [];
	const system = await startSystem(t, SERVERS.map(server => ({
		...server,
		intercept(request: IncomingMessage, response: ServerResponse) {
			if (request.url !== '/ask/slow') {
				return false;
			}

			held.push(response);
			return true;
		},
	})), {connectServers: [network.connect], routeTimeoutMs: SLOW_TIMEOUT_MS});
	await system.addEntry();
	const callMany = async () => Promise.all([1, 2, 3, 4].flatMap(index => [system.call(`/read/${index}`), system.call(`/ask/${index}`, PROMPT)]));
	await callMany();
	const slow = system.call('/ask/slow', PROMPT);
	await waitUntil(async () => held.length === 1, 'the slow request has reached an engine');
	network.cut({open: 'work', fresh: 'refused'});
	await waitUntil(async () => {
		await system.announceServers();
		await Promise.all([callMany(), callMany(), callMany()]);
		return system.entryLines.some(({message}) => message.startsWith('This host reaches no server'));
	}, 'the host has noticed the cut');
	for (let round = 0; round < 10; round++) {
		await system.announceServers();
		await callMany();
		await sleep(60);
	}

	assert.equal(held.length, 1);
	held[0]!.writeHead(200, {'carawayhoist-attempt-id': held[0]!.req.headers['carawayhoist-attempt-id']!, 'content-type': 'text/event-stream'}).end('id: 1\ndata: late\n\n');
	assert.equal((await slow).status, 200);
});
