// Guards against keys that are looked up wrongly or slowly, against configurations in which a key is ambiguous, and against keys
// in what this system writes: headers to servers, error messages, metrics.
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {test} from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import {Registry} from 'prom-client';
import {PlatformProtocol} from '../platform/protocol.js';
import {decodeRoutingConfig} from '../platform/routes.js';
import type {Attempt} from '../src/serving/protocol.js';
import {digestKey} from '../src/teams/digest.js';
import {TeamMetrics} from '../src/teams/metrics.js';
import {findTeamError, TeamTable, type Team} from '../src/teams/table.js';
import {ROUTES, SERVICES} from './system.js';

const ATTEMPT: Attempt = {phase: 'full', deadlineMs: 100, server: 'p1'};

test('a key determines its team, and a request without the key of a team runs only on public routes', () => {
	const table = createTable([{name: 'red', keys: ['k1', 'k2']}, {name: 'blue', keys: ['k3']}, {name: 'grey', keys: []}]);
	for (const isPublic of [false, true]) {
		for (const [key, name] of [['k1', 'red'], ['k2', 'red'], ['k3', 'blue']] as const) {
			const result = table.check(digestKey(key), isPublic);
			assert.equal(result.type === 'team' && result.team.name, name);
		}
	}

	assert.deepEqual(table.check(undefined, false), {type: 'refused', reason: 'missing'});
	assert.deepEqual(table.check(digestKey('k'), false), {type: 'refused', reason: 'unknown'});
	assert.deepEqual(table.check(undefined, true), {type: 'public'});
	assert.deepEqual(table.check(digestKey('k'), true), {type: 'public'});
	assert.deepEqual(new TeamTable([]).check(digestKey('k1'), false), {type: 'refused', reason: 'unknown'});
});

// The work is counted instead of timed: look-ups in maps, and reads of the teams' own fields, as a search over all teams would need.
test('under load, a look-up among 1,100 teams does the same work as one among 10, for known and unknown keys', t => {
	const countWork = (teamCount: number) => {
		let reads = 0;
		const teams = Array.from({length: teamCount}, (_, index): Team => {
			const keyDigests = [0, 1, 2].map(key => digestKey(`k${index}-${key}`));
			return {
				get name() {
					reads++;
					return `team-${index}`;
				},
				get keyDigests() {
					reads++;
					return keyDigests;
				},
			};
		});
		const table = new TeamTable(teams);
		const digests = Array.from({length: 3000}, (_, index) => index % 2 === 0 ? digestKey(`k${index % teamCount}-${index % 3}`) : digestKey(`wrong-${index}`));
		const get = t.mock.method(Map.prototype, 'get');
		reads = 0;
		const found = digests.map(digest => table.check(digest, false).type);
		const lookups = get.mock.callCount();
		get.mock.restore();
		assert.ok(found.every((type, index) => type === (index % 2 === 0 ? 'team' : 'refused')));
		return {reads, lookups};
	};

	assert.deepEqual(countWork(1100), {reads: 0, lookups: 3000});
	assert.deepEqual(countWork(10), {reads: 0, lookups: 3000});
});

test('a configuration is invalid if two teams share a key or a name, or if a key or a name is empty', () => {
	const red = {name: 'red', 'api-keys': ['k1', 'k1']};
	const invalid: Record<string, unknown> = {
		'a shared key': [red, {name: 'blue', 'api-keys': ['k2', 'k1']}],
		'the same name twice': [red, {name: 'red', 'api-keys': ['k2']}],
		'the same name and keys twice': [red, red],
		'an empty key': [{name: 'red', 'api-keys': ['']}],
		'an empty name': [{name: '', 'api-keys': ['k1']}],
		'no name': [{'api-keys': ['k1']}],
		'no keys': [{name: 'red'}],
		'one key instead of a list': [{name: 'red', 'api-keys': 'k1'}],
		'a key that is a number': [{name: 'red', 'api-keys': [1]}],
		'a priority that is a text': [{...red, priority: 'high'}],
		'a name that ends a header': [{name: 'red\r\nx: y', 'api-keys': ['k1']}],
		'a name that servers would trim': [{name: 'red ', 'api-keys': ['k1']}],
		'a long name': [{name: 'x'.repeat(257), 'api-keys': ['k1']}],
		'a team that is no object': ['red'],
		'teams that are no list': {red},
	};
	for (const [name, tenants] of Object.entries(invalid)) {
		assert.ok(Either.isLeft(decode({tenants})), name);
	}

	const {teams} = decodeValid({tenants: [red, {name: 'équipe', 'api-keys': [], priority: 4}]});
	assert.deepEqual(teams, [
		{name: 'red', keyDigests: [digestKey('k1'), digestKey('k1')], priority: undefined},
		{name: 'équipe', keyDigests: [], priority: 4},
	]);
	assert.equal(decodeValid({}).teams, undefined);
	assert.equal(decodeValid({tenants: null}).teams, undefined);
	assert.deepEqual(decodeValid({tenants: []}).teams, []);
	assert.deepEqual(decodeValid({tenants: [], routes: [{...ROUTES[0], public: true}, ROUTES[1]]}).routes.map(({isPublic}) => isPublic), [true, false]);
	assert.ok(Either.isLeft(decode({tenants: [], routes: [{...ROUTES[0], public: 'yes'}]})));
	// Without teams the field has no meaning, and configurations that contain something else there stay valid.
	assert.ok(Either.isRight(decode({routes: [{...ROUTES[0], public: 'yes'}]})));
});

test('the errors of an invalid configuration name teams, but contain no key and no digest of one', () => {
	const texts = [
		JSON.stringify({
			version: 1, routes: [], services: [], tenants: [{name: 'red', 'api-keys': ['secret-1']}, {name: 'blue', 'api-keys': ['secret-1']}],
		}),
		JSON.stringify({
			version: 1, routes: [], services: [], tenants: [{name: 'red', 'api-keys': ['secret-1', 5]}],
		}),
		'{"tenants":[{"name":"red","api-keys":["secret-1",secret-2]}]}',
		'{"a":"secret-1',
		'secret-1',
	];
	for (const text of texts) {
		const result = decodeRoutingConfig(text);
		assert.ok(Either.isLeft(result));
		assert.doesNotMatch(result.left.text, /secret/v);
		assert.ok(!result.left.text.includes(digestKey('secret-1')));
	}

	assert.equal(findTeamError([{name: 'red', keyDigests: ['x']}, {name: 'blue', keyDigests: ['y', 'x']}]), 'Teams red and blue share a key.');
});

test('a key is parsed from one header with the scheme Token, and compared by its bytes', () => {
	const parse = (...values: string[]) => new PlatformProtocol().parseKey(createRequest(values.flatMap(value => ['Authorization', value])))?.toString();
	assert.equal(parse('Token k1'), 'k1');
	assert.equal(parse('token   k1 2'), 'k1 2');
	for (const values of [[], ['k1'], ['Token'], ['Token '], ['Tokenk1'], ['Bearer k1'], ['Basic Token k1'], ['Token k1', 'Token k1'], ['Token k1', 'Basic x']]) {
		assert.equal(parse(...values), undefined, String(values));
	}

	const bytes = new PlatformProtocol().parseKey(createRequest(['authorization', `Token ${Buffer.from('clé').toString('latin1')}`]));
	assert.equal(digestKey(bytes!), digestKey('clé'));
});

test('a server receives the name of the team instead of the key, and never a name from the caller', () => {
	const request = createRequest(['AUTHORIZATION', 'Token k1', 'authorization', 'Token k2', 'Carawayhoist-Tenant', 'forged', 'CARAWAYHOIST-TENANT', 'forged', 'x-other', 'kept']);
	const protocol = new PlatformProtocol();
	for (const phase of ['full', 'prefill', 'decode'] as const) {
		const withTeam = protocol.buildRequestHeaders(request, {...ATTEMPT, phase, team: 'équipe'});
		assert.deepEqual(listValues(withTeam, 'carawayhoist-tenant'), [Buffer.from('équipe').toString('latin1')]);
		assert.deepEqual(listValues(withTeam, 'authorization'), []);
		assert.deepEqual(listValues(withTeam, 'x-other'), ['kept']);
		const withoutTeam = protocol.buildRequestHeaders(request, {...ATTEMPT, phase});
		assert.deepEqual(listValues(withoutTeam, 'carawayhoist-tenant'), []);
		assert.deepEqual(listValues(withoutTeam, 'authorization'), []);
	}

	const withoutTeams = protocol.buildRequestHeaders(request, {...ATTEMPT, forwardsAuthorization: true});
	assert.deepEqual(listValues(withoutTeams, 'carawayhoist-tenant'), []);
	assert.deepEqual(listValues(withoutTeams, 'authorization'), ['Token k1', 'Token k2']);
});

test('a relay removes the key from headers whatever the case of their names, and nothing else', () => {
	const headers = ['Authorization', 'Token k1', 'x', 'authorization', 'AUTHORIZATION', 'Token k2', 'y', 'z'];
	assert.deepEqual(new PlatformProtocol().removeKey(headers), ['x', 'authorization', 'y', 'z']);
});

test('teams beyond the first 200 of the configuration share a label, also after the teams have changed', async () => {
	const registry = new Registry();
	const metrics = new TeamMetrics(registry, ['answered', 'refused']);
	const names = Array.from({length: 1100}, (_, index) => `team-${index}`);
	const countLabels = async () => new Set((await registry.metrics()).match(/(?<=team=")[^"]+/gv)).size;
	for (const list of [names, names.toReversed(), names.slice(500)]) {
		metrics.updateTeams(list);
		for (const name of names) {
			metrics.recordRequest(name, 'answered');
			metrics.recordRequest(name, 'refused');
		}

		metrics.recordRequest(undefined, 'answered');
		// 200 teams, the others, and none.
		assert.equal(await countLabels(), 202);
	}

	assert.match(await registry.metrics(), /team="team-500",outcome="answered"\} 1\n/v);
	assert.match(await registry.metrics(), /team="other",outcome="answered"\} 2700\n/v);
});

function createTable(teams: ReadonlyArray<{name: string; keys: readonly string[]}>): TeamTable {
	return new TeamTable(teams.map(({name, keys}) => ({name, keyDigests: keys.map(key => digestKey(key))})));
}

function decode(fields: Record<string, unknown>) {
	return decodeRoutingConfig(JSON.stringify({
		version: 1, routes: ROUTES, services: SERVICES, ...fields,
	}));
}

function decodeValid(fields: Record<string, unknown>) {
	const config = decode(fields);
	assert.ok(Either.isRight(config));
	return config.right;
}

function createRequest(rawHeaders: string[]): IncomingMessage {
	const headersDistinct: Record<string, string[]> = {};
	for (let index = 0; index < rawHeaders.length; index += 2) {
		(headersDistinct[rawHeaders[index]!.toLowerCase()] ??= []).push(rawHeaders[index + 1]!);
	}

	return {headers: {}, rawHeaders, headersDistinct} as unknown as IncomingMessage;
}

function listValues(headers: readonly string[], name: string): string[] {
	return headers.filter((_text, index) => index % 2 === 1 && headers[index - 1]!.toLowerCase() === name);
}
