import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {startFixture, type Fixture} from './fixture.js';

type Update = {version: number; resources: Array<{name: string}>; removed: string[]};

const KEY = 'an-operator-key';
let fixture: Fixture;

before(async () => {
	fixture = await startFixture({operatorKeys: [KEY]});
});

after(async () => {
	await fixture.stop();
});

test('operators without a key are rejected, callers are not', async () => {
	const refused = await fetch(`${fixture.url}/api/v1/resources`);
	assert.deepEqual([refused.status, refused.headers.get('carawayhoist-code')], [401, '2005']);
	assert.equal((await fetch(`${fixture.url}/v1/models`)).status, 200);
});

test('of concurrent puts with the same version one wins; the others get the winner\'s version', async () => {
	const first = await put('team', 'x', {kind: 'team'}, {seen: 0});
	const {version} = await first.json() as {version: number};
	const answers = await Promise.all([1, 2, 3].map(async weight => put('team', 'x', {kind: 'team', weight}, {seen: version})));
	const winners = answers.filter(({status}) => status === 200);
	const losers = answers.filter(({status}) => status === 409);
	assert.deepEqual([winners.length, losers.length], [1, 2]);
	const winner = await winners[0]!.json() as {version: number};
	const {error} = await losers[0]!.json() as {error: {code: number; version: number; outcome: string}};
	assert.deepEqual([error.code, error.version, error.outcome], [5001, winner.version, 'not-run']);
});

test('a put that is retried with the same idempotency key gets the first response', async () => {
	const send = async () => (await put('team', 'again', {kind: 'team'}, {seen: 0, key: 'one-intent'})).json();
	assert.deepEqual(await send(), await send());
});

test('invalid resources are rejected with the names of the invalid fields', async () => {
	const response = await put('service', 'bad', {kind: 'service', routes: [{method: 'FETCH', path: 'x', repeatable: true}]}, {});
	const {error} = await response.json() as {error: {code: number; message: string}};
	assert.equal(error.code, 5002);
	assert.match(error.message, /\/routes\/0\/method must be one of/v);
	assert.equal((await put('service', 'x', {kind: 'team'}, {})).status, 422);
	assert.equal((await call('GET', 'resources/nonsense')).status, 404);
});

test('a watch reports every change in order and can be resumed from a version', async () => {
	const abort = new AbortController();
	const seen: Update[] = [];
	const versions: number[] = [];
	const response = await call('GET', 'watch?from=0', abort.signal);
	const reading = readUpdates(response, seen);
	for (let index = 0; index < 5; index++) {
		const {version} = await (await put('team', `w${index}`, {kind: 'team'}, {})).json() as {version: number};
		versions.push(version);
	}

	await call('DELETE', 'resources/team/w0');
	while (!seen.some(({removed}) => removed.includes('team/w0'))) {
		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}

	abort.abort();
	await reading;
	assert.deepEqual(seen.map(({version}) => version), seen.map(({version}) => version).toSorted((a, b) => a - b));
	const names = new Set(seen.flatMap(({resources}) => resources.map(({name}) => name)));
	assert.ok(['w1', 'w2', 'w3', 'w4'].every(name => names.has(name)));
	const resumed: Update[] = [];
	const resumedAbort = new AbortController();
	const reader = readUpdates(await call('GET', `watch?from=${versions[2]!}`, resumedAbort.signal), resumed, 1);
	await reader;
	resumedAbort.abort();
	assert.deepEqual(resumed[0]?.resources.map(({name}) => name).toSorted(), ['w3', 'w4']);
	assert.deepEqual(resumed[0]?.removed, ['team/w0']);
});

async function put(kind: string, name: string, specification: unknown, {seen, key}: {seen?: number; key?: string}): Promise<Response> {
	return fetch(`${fixture.url}/api/v1/resources/${kind}/${name}`, {
		method: 'PUT',
		headers: {authorization: `Bearer ${KEY}`, ...(key === undefined ? {} : {'idempotency-key': key})},
		body: JSON.stringify({specification, ...(seen === undefined ? {} : {seen})}),
	});
}

async function call(method: string, path: string, signal?: AbortSignal): Promise<Response> {
	return fetch(`${fixture.url}/api/v1/${path}`, {method, signal, headers: {authorization: `Bearer ${KEY}`}});
}

/** Collects updates until the watch ends or enough have arrived. */
async function readUpdates(response: Response, updates: Update[], enough = Number.POSITIVE_INFINITY): Promise<void> {
	let rest = '';
	try {
		for await (const chunk of response.body ?? []) {
			const lines = (rest + new TextDecoder().decode(chunk as Uint8Array)).split('\n');
			rest = lines.pop() ?? '';
			updates.push(...lines.map(line => JSON.parse(line) as Update));
			if (updates.length >= enough) {
				return;
			}
		}
	} catch {
		// The test has aborted the watch.
	}
}
