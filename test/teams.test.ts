// Guards against requests that run although no configuration holds their key, and against refusals of requests whose key is in
// force. The tests check at their end that no server and no log line has received a key.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {deflateRawSync} from 'node:zlib';
import * as Either from 'fp-ts/lib/Either.js';
import {waitUntil} from '../dev/fleet.js';
import {Listener} from '../src/wire/connection.js';
import {CallerConnection, sendBytes} from './caller.js';
import {SERVICES} from './system.js';
import {
	AS_BLUE, AS_RED, assertNoKeys, BLUE, listReceived, listTeams, PLAIN_SERVERS, publish, publishAndWait, RED, ROUTES, SHORT_PROMPT, startTeams, TENANTS, type System,
} from './teamsystem.js';

test('a request without the key of a team gets 401 and reaches no server; one with a key names its team to the server', async t => {
	const system = await startTeams(t, PLAIN_SERVERS);
	const wrong: Array<Record<string, string>> = [
		{}, {authorization: 'Token key-wrong'}, {authorization: 'key-red-1'}, {authorization: 'Bearer key-red-1'}, {authorization: 'Token key-red'}, {authorization: 'Token key-red-1x'}, {authorization: 'Token KEY-RED-1'},
	];
	for (const headers of wrong) {
		for (const target of ['/read/1', '/book/1', '/ask/1']) {
			const answer = await system.call(target, {...headers, ...SHORT_PROMPT, 'carawayhoist-tenant': 'red'}, 'body');
			assert.deepEqual([answer.status, answer.headers['carawayhoist-code'], answer.headers['carawayhoist-outcome']], [401, '2007', 'not-run']);
			assert.equal(answer.headers['www-authenticate'], 'Token');
		}
	}

	assert.deepEqual(system.servers.map(({receivedRequests}) => receivedRequests.length), [0, 0]);
	for (const [authorization, team] of [['Token key-red-1', 'red'], ['token  key-red-2', 'red'], ['Token key-blue', 'blue']]) {
		const answer = await system.call(`/read/${team}`, {authorization: authorization!, 'Carawayhoist-Tenant': 'forged', connection: 'carawayhoist-tenant'});
		assert.equal(answer.status, 200);
	}

	assert.deepEqual(listTeams(system, '/read/red'), ['red', 'red']);
	assert.deepEqual(listTeams(system, '/read/blue'), ['blue']);
	const lines = system.entryLines.filter(({fields}) => 'status' in fields && fields.route === 'read').map(({fields}) => fields.team);
	assert.deepEqual(lines, ['red', 'red', 'blue']);
	const counts = await listCounts(system);
	assert.deepEqual(counts, {
		'red answered': 2, 'blue answered': 1, missing: 3 * 3, unknown: 4 * 3,
	});
	assertNoKeys(system);
});

test('two headers with keys are refused, and neither reaches a server of a public route', async t => {
	const system = await startTeams(t, PLAIN_SERVERS);
	await publishAndWait(system, 3, {routes: [{...ROUTES[0], public: true}, ...ROUTES.slice(1)]});
	const headers = 'Authorization: Token key-red-1\r\nAUTHORIZATION: Token key-blue\r\nCarawayhoist-Tenant: a\r\ncarawayhoist-tenant: b\r\n';
	const connection = new CallerConnection(system.callers);
	connection.send('/book/1', 'x-1', headers);
	await waitUntil(async () => connection.text.includes('HTTP/1.1 401 '), 'the request is refused');
	connection.send('/read/1', 'x-2', headers);
	await waitUntil(async () => connection.text.includes('plain x-2'), 'the request on the public route is served');
	connection.disconnect();
	assert.deepEqual(listTeams(system, '/read/1'), [undefined]);
	assert.equal(listReceived(system, '/book/1').length, 0);
	assertNoKeys(system);
});

test('the route is looked up before the key', async t => {
	const system = await startTeams(t, PLAIN_SERVERS);
	for (const headers of [{}, AS_RED, {authorization: 'Token key-wrong'}]) {
		assert.equal((await system.call('/none/1', headers)).status, 404);
	}
});

test('a public route needs no key, and names a team to the server only for a known one', async t => {
	const system = await startTeams(t, PLAIN_SERVERS);
	await publishAndWait(system, 3, {routes: [{...ROUTES[0], public: true}, ...ROUTES.slice(1)]});
	for (const [path, headers] of [['/read/none', {}], ['/read/wrong', {authorization: 'Token key-wrong'}], ['/read/basic', {authorization: 'Basic eDp5'}], ['/read/red', AS_RED]] as const) {
		assert.equal((await system.call(path, {...headers, 'carawayhoist-tenant': 'forged'})).status, 200);
	}

	assert.deepEqual(['none', 'wrong', 'basic', 'red'].map(path => listTeams(system, `/read/${path}`)), [[undefined], [undefined], [undefined], ['red']]);
	assert.equal((await system.call('/book/1', {}, 'seat')).status, 401);
	assertNoKeys(system);
});

test('an empty list of teams refuses every key', async t => {
	const system = await startTeams(t, PLAIN_SERVERS);
	await publishAndWait(system, 3, {tenants: []});
	assert.equal((await system.call('/read/1', AS_RED)).status, 401);
	assert.equal(listReceived(system, '/read/1').length, 0);
});

test('keys that a new version removes or adds count from the next request on open connections', async t => {
	const system = await startTeams(t, PLAIN_SERVERS);
	const connection = new CallerConnection(system.callers);
	const answers = async () => connection.text.match(/HTTP\/1\.1 \d+/gv)?.map(line => Number(line.slice(-3))) ?? [];
	const send = async (id: string, key: string) => {
		const count = (await answers()).length;
		connection.send('/read/1', id, `authorization: Token ${key}\r\n`);
		await waitUntil(async () => (await answers()).length > count, 'the request is answered');
		return (await answers()).at(-1);
	};

	assert.equal(await send('a-1', 'key-red-1'), 200);
	assert.equal(await send('a-2', 'key-new'), 401);
	await publishAndWait(system, 3, {tenants: [{...RED, 'api-keys': ['key-red-2', 'key-new']}, BLUE]});
	assert.equal(await send('a-3', 'key-red-1'), 401);
	assert.equal(await send('a-4', 'key-new'), 200);
	assert.equal(await send('a-5', 'key-red-2'), 200);
	// A key may move to another team.
	await publishAndWait(system, 4, {tenants: [{...RED, 'api-keys': []}, {...BLUE, 'api-keys': ['key-new']}]});
	assert.equal(await send('a-6', 'key-new'), 200);
	assert.equal(await send('a-7', 'key-red-2'), 401);
	connection.disconnect();
	assert.deepEqual(listTeams(system, '/read/1').map(String).toSorted(), ['blue', 'red', 'red', 'red']);
	assertNoKeys(system);
});

test('a request is checked against the configuration in force when its body has been received', async t => {
	const system = await startTeams(t, PLAIN_SERVERS);
	const head = (id: string, key: string) => `POST /book/1 HTTP/1.1\r\nhost: a.example\r\ncarawayhoist-attempt-id: ${id}\r\nauthorization: Token ${key}\r\ncontent-length: 4\r\n\r\nse`;
	const removed = sendBytes(system.callers, head('b-1', 'key-red-1'));
	const added = sendBytes(system.callers, head('b-2', 'key-new'));
	// The heads have been received before the version once a later request is answered.
	assert.equal((await system.call('/read/1', AS_RED)).status, 200);
	await publishAndWait(system, 3, {tenants: [{...RED, 'api-keys': ['key-new']}]});
	removed.write('at');
	added.write('at');
	await waitUntil(async () => /HTTP\/1\.1 \d/v.test(removed.text) && /HTTP\/1\.1 \d/v.test(added.text), 'both are answered');
	removed.disconnect();
	added.disconnect();
	assert.match(removed.text, /^HTTP\/1\.1 401 /v);
	assert.match(added.text, /^HTTP\/1\.1 200 /v);
	assert.deepEqual(listTeams(system, '/book/1'), ['red']);
	assertNoKeys(system);
});

test('an invalid list of teams is rejected as a whole, and the configuration before it stays in force', async t => {
	const system = await startTeams(t, PLAIN_SERVERS);
	const added = {...ROUTES[0], name: 'added', 'path-prefix': '/added/'};
	const invalid = [
		[RED, {name: 'blue', 'api-keys': ['key-red-1']}],
		[RED, {name: 'red', 'api-keys': ['key-new']}],
		[RED, {name: 'blue', 'api-keys': ['']}],
		[RED, {name: '', 'api-keys': ['key-new']}],
	];
	for (const tenants of invalid) {
		assert.equal(await publish(system, 3, {tenants, routes: [...ROUTES, added]}), 400);
	}

	assert.equal((await system.call('/added/1', AS_RED)).status, 404);
	assert.equal((await system.call('/read/1', AS_RED)).status, 200);
	assert.equal((await system.call('/read/1', AS_BLUE)).status, 200);
	// The version that was rejected can still be published.
	await publishAndWait(system, 3, {tenants: [{...RED, 'api-keys': ['key-red-1', 'key-red-1']}], routes: [...ROUTES, added]});
	assert.equal((await system.call('/added/1', AS_RED)).status, 200);
	assertNoKeys(system);
});

test('a host without a configuration answers 503, whatever the key and the route', async t => {
	const system = await startTeams(t, PLAIN_SERVERS);
	await system.stopControl();
	const call = await system.addUnawaitedEntry();
	for (const target of ['/read/1', '/none/1']) {
		for (const headers of [{}, AS_RED, {authorization: 'Token key-wrong'}]) {
			const answer = await call(target, headers);
			assert.deepEqual([answer.status, answer.headers['carawayhoist-outcome']], [503, 'not-run']);
		}
	}

	assert.equal(listReceived(system, '/read/1').length, 0);
});

test('a host that has lost contact keeps its teams, and refuses a key that was removed meanwhile once it is connected again', async t => {
	const system = await startTeams(t, PLAIN_SERVERS);
	await system.stopControl();
	assert.equal((await system.call('/read/1', AS_RED)).status, 200);
	assert.equal((await system.call('/read/1', {authorization: 'Token key-wrong'})).status, 401);
	await system.restartControl();
	await publishAndWait(system, 3, {tenants: [BLUE]});
	assert.equal((await system.call('/read/1', AS_RED)).status, 401);
	await waitUntil(async () => {
		await system.announceServers();
		return (await system.call('/read/2', AS_BLUE)).status === 200;
	}, 'the servers are known again');
	assert.deepEqual(listTeams(system, '/read/1'), ['red']);
	assertNoKeys(system);
});

// Control hosts that have restarted know only their snapshots until a leader commits.
test('a host that has just started answers 503 until a control host with a majority confirms its first teams', async t => {
	const system = await startTeams(t, PLAIN_SERVERS);
	await system.stopControl();
	let version = 5;
	let hasQuorum = false;
	const publication = deflateRawSync(JSON.stringify({
		version: 5, routes: ROUTES, services: [...SERVICES], tenants: TENANTS,
	}));
	const control = new Listener((message, connection) => {
		if (message.type === 'watch') {
			connection.send({
				type: 'feed', host: 'c1', whole: true, hasQuorum, isWarm: true, version, sightings: [], members: [], entries: 1, ...(message.version < 5 && {publication}),
			});
		}
	});
	assert.ok(Either.isRight(await control.listen(system.controlPeer)));
	t.after(async () => {
		control.close();
	});
	const call = await system.addUnawaitedEntry();
	const hasApplied = async () => system.entryLines.some(({message}) => message === 'Applied publication 5.');
	await waitUntil(hasApplied, 'the first configuration has arrived');
	for (const headers of [{}, AS_RED]) {
		const answer = await call('/read/1', headers);
		assert.deepEqual([answer.status, answer.headers['carawayhoist-code']], [503, '3006']);
	}

	hasQuorum = true;
	await waitUntil(async () => (await call('/read/1')).status === 401, 'the configuration is confirmed');
	// Later a majority that knows of a newer version takes nothing back.
	version = 6;
	assert.equal((await call('/read/1')).status, 401);
});

test('under load, requests of 1,100 teams at two hosts carry the team of their key, and wrong keys reach no server', async t => {
	const system = await startTeams(t, PLAIN_SERVERS);
	const callOther = await system.addEntry();
	const listTenants = (round: number) => Array.from({length: 1100}, (_, index) => ({name: `team-${index}`, 'api-keys': [`key-${index}-a`, `key-${index}-${round}`]}));
	for (const round of [3, 4]) {
		await publish(system, round, {tenants: listTenants(round)});
		const message = `Applied publication ${round}.`;
		await waitUntil(async () => system.entryLines.filter(line => line.message === message).length === 2, 'the teams are in force');
		await system.announceServers();
		const results = await Promise.all(Array.from({length: 200}, async (_, index) => {
			const team = (index * 7) % 1100;
			// The keys of the round before are no longer in force.
			const [suffix, isKnown] = ([['a', true], [round, true], [round - 1, false], ['x', false]] as const)[index % 4]!;
			const path = `/read/${round}-${index}`;
			const answer = await (index % 3 === 0 ? callOther : system.call)(path, {authorization: `Token key-${team}-${suffix}`});
			return {
				path, status: answer.status, expected: isKnown ? 200 : 401, teams: isKnown ? [`team-${team}`] : [],
			};
		}));
		for (const {path, status, expected, teams} of results) {
			assert.equal(status, expected, path);
			assert.deepEqual(listTeams(system, path), teams);
		}
	}

	assertNoKeys(system);
	assert.doesNotMatch(JSON.stringify(system.entryLines), /key-\d/v);
});

/** Counts of requests by team and outcome, and of refusals by reason. */
async function listCounts({registry}: System): Promise<Record<string, number>> {
	const counts: Record<string, number> = {};
	for (const [, team, outcome, reason, value] of (await registry.metrics()).matchAll(/^carawayhoist_(?:team_requests|key_refusals)_total\{(?:team="(.+)",outcome="(.+)"|reason="(.+)")\} (\d+)$/gmv)) {
		counts[reason ?? `${team} ${outcome}`] = Number(value);
	}

	return counts;
}
