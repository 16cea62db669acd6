import assert from 'node:assert/strict';
import {test} from 'node:test';
import {waitUntil} from '../dev/fleet.js';
import {PlatformProtocol} from '../platform/protocol.js';
import {RateLimitTable} from '../src/membership/ratelimits.js';
import type {StubBackend, StubBackendOptions} from './stub.js';
import {startSystem} from './system.js';

const SHORT_PROMPT = {'carawayhoist-model': 'm', 'carawayhoist-token-counts': '30,80', 'carawayhoist-prompt-prefix': 'aa:10,bb:20'};
const SERVER = {server: 's1', incarnation: 1};

for (const [name, path, headers, stage] of [
	['plain servers', '/read/1', {}, undefined],
	['engines', '/ask/1', SHORT_PROMPT, 'decode'],
] as const) {
	test(`a server that limits its rate gets no more than that from all hosts together (${name})`, async t => {
		const limit: Record<string, string> = {};
		const kind = stage ? {service: 'llm', stage} : {service: 'plain'};
		const system = await startSystem(t, ['s0', 's1'].map((id): StubBackendOptions => ({id, ...kind, ...(id === 's0' && {responseHeaders: limit})})));
		const limited = system.servers[0]!;
		const callers = [system.call, await system.addEntry(), await system.addEntry()];
		const callAll = async () => {
			await system.announceServers();
			const responses = await Promise.all(callers.flatMap(call => [1, 2, 3, 4].map(async () => call(path, headers))));
			assert.deepEqual(new Set(responses.map(({status}) => status)), new Set([200]));
		};

		limit['server-limit'] = '2.5';
		await waitUntil(async () => {
			await callAll();
			return limited.receivedRequests.length > 0;
		}, 's0 has responded');
		await waitUntil(async () => system.entries.every(entry => entry.findRateLimit('s0') === 2.5), 'every host knows the limit');
		const startedMs = Date.now();
		const before = limited.receivedRequests.length;
		for (let round = 0; round < 30; round++) {
			await callAll();
		}

		const allowed = (2.5 * (Date.now() - startedMs) / 1000) + 5;
		const count = limited.receivedRequests.length - before;
		assert.ok(count <= allowed, `${count} requests, ${allowed} allowed`);
	});
}

for (const [name, path, headers] of [['servers', '/book/1', {}], ['engines', '/ask/1', SHORT_PROMPT]] as const) {
	test(`callers of ${name} that are all at their limit are refused at once and told when to come back`, async t => {
		const kind = path.startsWith('/ask') ? {service: 'llm', stage: 'decode' as const} : {service: 'plain'};
		const system = await startSystem(t, ['s1', 's2'].map(id => ({id, ...kind, responseHeaders: {'server-limit': '0.1'}})));
		const callSecond = await system.addEntry();
		await waitUntil(async () => {
			await system.announceServers();
			await Promise.all([1, 2, 3, 4].map(async () => system.call(path, headers, 'body')));
			return system.servers.every(({receivedRequests}) => receivedRequests.length > 0);
		}, 'every server has responded');
		await waitUntil(async () => system.entries.every(entry => ['s1', 's2'].every(id => entry.findRateLimit(id) === 0.1)), 'every host knows the limits');
		const startedMs = Date.now();
		const before = countRequests(system.servers);
		const responses = await Promise.all([system.call, callSecond].flatMap(call => Array.from({length: 10}, async () => call(path, headers, 'body'))));
		const allowed = (2 * 0.1 * (Date.now() - startedMs) / 1000) + 5;
		assert.ok(countRequests(system.servers) - before <= allowed, 'the limits are kept');
		const refused = responses.filter(({status}) => status === 503);
		assert.ok(refused.length >= 20 - allowed, `${refused.length} refused`);
		assert.ok(refused.every(({headers: {'retry-after': seconds, 'carawayhoist-outcome': outcome}}) => Number(seconds) > 0 && outcome === 'not-run'));
		assert.ok(new Set(refused.map(({headers: {'retry-after': seconds}}) => seconds)).size > 1, 'callers are told different times');
	});
}

for (const [name, others] of [['there is no other one', []], ['the other one is at its rate limit', ['s2']]] as const) {
	test(`a repeatable request waits for its slow server when ${name}`, async t => {
		const system = await startSystem(t, ['s1', ...others].map((id): StubBackendOptions => ({
			id, service: 'plain', intercept(request, response) {
				const headers = {'carawayhoist-attempt-id': String(request.headers['carawayhoist-attempt-id']), ...(id === 's2' && {'server-limit': '0.1'})};
				setTimeout(() => {
					response.writeHead(200, headers).end('slow');
				}, id === 's1' ? 400 : 0);
				return true;
			},
		})));
		if (others.length > 0) {
			await waitUntil(async () => {
				await Promise.all([1, 2, 3, 4].map(async () => system.call('/read/1')));
				await system.announceServers();
				return system.entry.findRateLimit('s2') !== undefined;
			}, 's2 is known to be limited');
			await Promise.all([1, 2, 3, 4].map(async () => system.call('/read/1')));
		}

		await system.announceServers();
		const responses = await Promise.all([1, 2, 3, 4].map(async () => system.call('/read/1')));
		assert.deepEqual(responses.map(({status}) => status), [200, 200, 200, 200]);
	});
}

test('a server that stops stating a limit is known to every host as unlimited', async t => {
	const limit: Record<string, string> = {'server-limit': '5'};
	const system = await startSystem(t, [{id: 's1', service: 'plain', responseHeaders: limit}]);
	await system.addEntry();
	const hasLimit = (perSecond: number | undefined) => system.entries.every(entry => entry.findRateLimit('s1') === perSecond);
	const callUntil = async (perSecond: number | undefined) => waitUntil(async () => {
		await system.announceServers();
		await system.call('/read/1');
		return hasLimit(perSecond);
	}, `every host knows the limit ${perSecond}`);
	await callUntil(5);
	limit['server-limit'] = '3.5';
	await callUntil(3.5);
	delete limit['server-limit'];
	await callUntil(undefined);
});

test('a response to a request that was sent before the limit was known does not end the limit', () => {
	const table = new RateLimitTable();
	table.record({...SERVER, perSecond: 4, sentMs: 0}, 100);
	assert.equal(table.record({...SERVER, perSecond: undefined, sentMs: 90}, 120), undefined);
	assert.equal(table.findLimit(SERVER), 4);
	assert.deepEqual(table.record({...SERVER, perSecond: undefined, sentMs: 101}, 120), {...SERVER, revision: 2});
	assert.equal(table.record({...SERVER, perSecond: 4, sentMs: 110}, 130), undefined);
	assert.equal(table.findLimit(SERVER), undefined);
});

test('a response that belongs to another request does not end the limit', async t => {
	const system = await startSystem(t, [{
		id: 's1', service: 'plain', intercept(request, response) {
			const isLate = request.url?.includes('late') === true;
			response.writeHead(200, isLate ? {'carawayhoist-attempt-id': 'earlier'} : {'carawayhoist-attempt-id': String(request.headers['carawayhoist-attempt-id']), 'server-limit': '50'}).end();
			return true;
		},
	}]);
	assert.equal((await system.call('/read/1')).status, 200);
	assert.equal(system.entry.findRateLimit('s1'), 50);
	assert.equal((await system.call('/book/late')).status, 502);
	assert.equal(system.entry.findRateLimit('s1'), 50);
});

test('a limit ends with the incarnation that stated it', () => {
	const table = new RateLimitTable();
	table.record({
		...SERVER, incarnation: 2, perSecond: 4, sentMs: 0,
	}, 100);
	assert.equal(table.findLimit({...SERVER, incarnation: 3}), undefined);
	assert.equal(table.record({...SERVER, perSecond: 3, sentMs: 200}, 210), undefined);
	assert.equal(table.findLimit({...SERVER, incarnation: 2}), 4);
});

test('facts about rate limits that arrive twice, late or in any order have the same result', () => {
	const facts = [
		{...SERVER, revision: 1, perSecond: 4}, {...SERVER, revision: 2, perSecond: 3}, {...SERVER, revision: 2}, {...SERVER, revision: 3}, {...SERVER, revision: 3, perSecond: 5},
	];
	const states = [facts, facts.toReversed(), [...facts.slice(2), ...facts], [facts[4]!, facts[0]!, facts[3]!, facts[2]!]].map(order => {
		const table = new RateLimitTable();
		for (const fact of order) {
			table.merge(fact, 0);
		}

		return table.listFacts();
	});
	assert.deepEqual(states, states.map(() => [{...SERVER, revision: 3, perSecond: 5}]));
});

test('the table of rate limits is bounded and forgets servers without a limit first', () => {
	const table = new RateLimitTable();
	for (let index = 0; index < 2500; index++) {
		table.merge({server: `ended-${index}`, incarnation: 1, revision: 1}, 0);
		if (index < 1000) {
			table.merge({
				server: `s${index}`, incarnation: 1, revision: 1, perSecond: 2,
			}, 0);
		}
	}

	assert.equal(table.listFacts().length, 2000);
	assert.equal(table.listFacts().filter(({perSecond}) => perSecond === 2).length, 1000);
});

test('the rate limit of a server is read as requests a second with fractions, and reported if it cannot be read', () => {
	const protocol = new PlatformProtocol();
	const read = (value: string | undefined) => protocol.parseResponse(200, value === undefined ? {} : {'server-limit': value}).rateLimit;
	assert.deepEqual(read('3.8'), {type: 'rate', perSecond: 3.8});
	assert.deepEqual(read('0'), {type: 'rate', perSecond: 0});
	for (const value of ['-1', '', 'few', '1e9', '4, 5']) {
		assert.deepEqual(read(value), {type: 'unreadable', text: value});
	}

	assert.equal(read(undefined), undefined);
});

function countRequests(servers: readonly StubBackend[]): number {
	return servers.reduce((sum, {receivedRequests}) => sum + receivedRequests.length, 0);
}
