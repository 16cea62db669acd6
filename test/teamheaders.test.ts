// Guards against keys that reach servers, and against attempts that lack the team or its priority: each kind of attempt is built in
// another place, and a relayed or repeated one may meet another configuration than the first.
import assert from 'node:assert/strict';
import type {ServerResponse} from 'node:http';
import {test} from 'node:test';
import {waitUntil} from '../dev/fleet.js';
import type {Call, ServingContext} from '../src/serving/context.js';
import {PlainCall} from '../src/serving/plaincall.js';
import {connect} from '../src/wire/connection.js';
import {HostNetwork} from './network.js';
import {createResponseHeaders, type StubBackendOptions} from './stub.js';
import {startSystem} from './system.js';
import {
	AS_BLUE, AS_RED, assertNoKeys, listReceived, listTeams, LONG_PROMPT, PLAIN_SERVERS, publishAndWait, RED, SHORT_PROMPT, startTeams,
} from './teamsystem.js';

test('without teams a caller\'s Authorization reaches the server as before, but a forged team does not', async t => {
	const system = await startSystem(t, PLAIN_SERVERS);
	await publishAndWait(system, 2, {tenants: undefined});
	assert.equal((await system.call('/read/1', {authorization: 'Token own', 'carawayhoist-tenant': 'forged'})).status, 200);
	const [received] = listReceived(system, '/read/1');
	assert.equal(received?.headers.authorization, 'Token own');
	assert.equal(received.headers['carawayhoist-tenant'], undefined);
});

test('prefill and decoding carry the team and its priority, which replaces that of the route', async t => {
	const system = await startTeams(t, [{id: 'e1', service: 'llm', stage: 'prefill'}, {id: 'e2', service: 'llm', stage: 'decode'}]);
	for (const [path, headers, team, priority] of [['/ask/1', AS_BLUE, 'blue', '7'], ['/ask/2', AS_RED, 'red', '1']] as const) {
		// Each prompt is new, so that it is prefilled.
		const prompt = {...LONG_PROMPT, 'carawayhoist-prompt-prefix': `${team}:15000,own:5000`};
		assert.equal((await system.call(path, {...prompt, ...headers, 'carawayhoist-tenant': 'forged'}, 'prompt')).status, 200);
		const received = listReceived(system, path);
		assert.deepEqual(received.map(request => request.headers['carawayhoist-serving-stage']), ['prefill', undefined]);
		for (const request of received) {
			assert.equal(request.headers['carawayhoist-tenant'], team);
			assert.equal(request.headers['carawayhoist-request-priority'], priority);
		}
	}

	assertNoKeys(system);
});

test('a rate-limit permit is requested with the priority of the team', async () => {
	for (const priority of [2, 7]) {
		const requested: unknown[] = [];
		const context = {
			clock: {monotonicMs: () => 0},
			random: () => 0,
			listServers: () => [{server: 'p1', services: ['plain']}],
			rateLimits: {findLimit: () => 10},
			placement: {
				async requestPermit(_service: string, _server: unknown, options: {readonly priority: number}) {
					requested.push(options.priority);
					return {waitMs: 100};
				},
			},
			health: {isSuspected: () => false},
			availability: {drawHeldBack: () => []},
			transport: {hasIdleConnection: () => false},
			loadTracker: {estimate: () => ({requests: 0})},
		} as unknown as ServingContext;
		const caller = {isEnded: false, onEnd: () => undefined, fail: () => undefined};
		const call = {
			caller, priority, head: {id: 'a'}, service: 'plain', route: {priority: 2}, logFields: {servers: []},
		} as unknown as Call;
		await new PlainCall(context, call).run();
		assert.deepEqual(requested, [priority]);
	}
});

test('a stream that is resumed carries the team and no key, also if the key is removed while it runs', async t => {
	const held: ServerResponse[] = [];
	const intercept: StubBackendOptions['intercept'] = (request, response) => {
		if (request.headers['last-event-id'] !== undefined) {
			return false;
		}

		response.writeHead(200, {...createResponseHeaders(request), 'content-type': 'text/event-stream'}).write('id: 1\ndata: first\n\n');
		held.push(response);
		return true;
	};

	const system = await startTeams(t, ['d1', 'd2'].map(id => ({
		id, service: 'llm', stage: 'decode' as const, intercept,
	})));
	const stream = system.call('/ask/1', {...SHORT_PROMPT, ...AS_BLUE}, 'prompt');
	await waitUntil(async () => held.length === 1, 'the stream has started');
	await publishAndWait(system, 3, {tenants: [RED]});
	held[0]!.socket?.resetAndDestroy();
	const answer = await stream;
	assert.equal(answer.status, 200);
	assert.equal(answer.text.match(/^id: /gmv)?.length, 4);
	const received = listReceived(system, '/ask/1');
	assert.deepEqual(received.map(({headers}) => [headers['carawayhoist-tenant'], headers['carawayhoist-request-priority']]), [['blue', '7'], ['blue', '7']]);
	assert.equal(received[1]?.headers['last-event-id'], '1');
	assertNoKeys(system);
});

test('a retry after the first configuration with teams does not send the key that its caller has sent before', async t => {
	const held: ServerResponse[] = [];
	const system = await startSystem(t, ['p1', 'p2'].map(id => ({
		id, service: 'plain', intercept(_request, response) {
			if (held.length > 0) {
				return false;
			}

			held.push(response);
			return true;
		},
	})));
	await publishAndWait(system, 2, {tenants: undefined});
	const call = system.call('/read/1', AS_RED);
	await waitUntil(async () => held.length === 1, 'the first attempt runs');
	await publishAndWait(system, 3);
	held[0]!.socket?.resetAndDestroy();
	assert.equal((await call).status, 200);
	const received = listReceived(system, '/read/1');
	assert.deepEqual(received.map(({headers}) => headers.authorization), ['Token key-red-1', undefined]);
});

test('a request through a relay carries the team and never the key', async t => {
	const networks = await Promise.all([HostNetwork.start(), HostNetwork.start()]);
	t.after(async () => {
		for (const network of networks) {
			network.stop();
		}
	});
	const servers: readonly StubBackendOptions[] = [...PLAIN_SERVERS, {id: 'd1', service: 'llm', stage: 'decode'}];
	const system = await startSystem(t, servers, {connectServers: networks.map(network => network.connect)});
	await system.addEntry();
	await publishAndWait(system, 2);
	networks[0].cut({open: 'reset', fresh: 'refused'});
	await waitUntil(async () => {
		await system.announceServers();
		await system.call('/read/warm-up', AS_RED);
		return system.entryLines.some(({message}) => message.startsWith('This host reaches no server'));
	}, 'the host has noticed the cut');
	await waitUntil(async () => (await system.call('/read/warm-up', AS_RED)).status === 200, 'the host has a relay');
	await system.announceServers();
	assert.equal((await system.call('/book/1', {...AS_RED, 'carawayhoist-tenant': 'forged'}, 'seat')).status, 200);
	assert.equal((await system.call('/ask/1', {...AS_BLUE, ...SHORT_PROMPT}, 'prompt')).status, 200);
	assert.equal((await system.call('/book/2', {authorization: 'Token key-wrong'}, 'seat')).status, 401);
	const relayed = new Set(system.entryLines.filter(({fields}) => Array.isArray(fields.relays)).map(({fields}) => fields.route));
	assert.ok(relayed.has('book') && relayed.has('ask'));
	assert.deepEqual([listTeams(system, '/book/1'), listTeams(system, '/ask/1'), listTeams(system, '/book/2')], [['red'], ['blue'], []]);
	assertNoKeys(system);
});

// A host whose configuration is older than that of its relay may forward what its caller has sent.
test('a relay with teams removes a key that another host still sends', async t => {
	const system = await startTeams(t, PLAIN_SERVERS);
	const sendRelayed = async (path: string) => {
		const connection = connect(system.peerAddresses[0]!, () => undefined);
		connection.send({
			type: 'relayRequest', id: 1, request: 'r-1', server: 'p1', service: 'plain', method: 'GET', path, headers: ['carawayhoist-attempt-id', 'r-1', 'Authorization', 'Token key-red-1', 'x-other', 'kept'],
		});
		await waitUntil(async () => listReceived(system, path).length === 1, 'the server has received the request');
		connection.close();
		return listReceived(system, path)[0]!.headers;
	};

	const headers = await sendRelayed('/read/1');
	assert.equal(headers['x-other'], 'kept');
	assertNoKeys(system);
	await publishAndWait(system, 3, {tenants: undefined});
	assert.equal((await sendRelayed('/read/2')).authorization, 'Token key-red-1');
});
