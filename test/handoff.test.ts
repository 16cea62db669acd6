import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {streamCompletion} from '../dev/client.js';
import {waitUntil} from '../dev/fleet.js';
import {FakeEngine} from '../fakes/engine.js';
import {startFixture, type Fixture} from './fixture.js';

let fixture: Fixture;
let prefill: FakeEngine;
let decode: FakeEngine;

before(async () => {
	fixture = await startFixture();
	const add = async (name: string, role: 'prefill' | 'decode') => fixture.add(entries => new FakeEngine({
		name, entries, role, announceIntervalMs: 50, stepMs: 2, orderDurationMs: 50,
	}));
	prefill = await add('p1', 'prefill');
	decode = await add('d1', 'decode');
});

after(async () => {
	await fixture.stop();
});

test('a long prompt is prefilled at the prefill engine, and the decode engine continues from its KV cache', async () => {
	const content = 'a long track about barley. '.repeat(400);
	const answer = await streamCompletion(fixture.url, {model: 'summary-1', content});
	assert.ok(answer.isComplete);
	assert.equal(await countImports(decode), 1);
	assert.equal(await countImports(prefill), 0);
});

test('a short prompt is sent directly to the decode engine', async () => {
	const answer = await streamCompletion(fixture.url, {model: 'chat-1', content: 'compare'});
	assert.ok(answer.isComplete);
	assert.equal(await countImports(decode), 1);
});

test('a request is rejected at once if its first token is expected later than the caller demands', async () => {
	const response = await fetch(`${fixture.url}/v1/chat/completions`, {
		method: 'POST',
		headers: {'carawayhoist-first-token-ms': '1'},
		body: JSON.stringify({model: 'summary-1', messages: [{role: 'user', content: 'x'}]}),
	});
	assert.equal(response.status, 429);
	assert.equal(response.headers.get('carawayhoist-code'), '3001');
	assert.equal(response.headers.get('carawayhoist-outcome'), 'not-run');
	assert.ok(Number(response.headers.get('retry-after')) >= 1);
});

test('an engine gets the role that the operators declare', async () => {
	await fixture.put('engine', 'd1', {kind: 'engine', role: 'mixed'});
	await waitUntil(async () => {
		const {role} = await (await fetch(`${decode.url}/runs`)).json() as {role: string};
		return role === 'mixed';
	}, 'the declared role');
	await fixture.put('engine', 'd1', {kind: 'engine', role: 'decode'});
	await waitUntil(async () => {
		const {role} = await (await fetch(`${decode.url}/runs`)).json() as {role: string};
		return role === 'decode';
	}, 'the declared role again');
});

test('with automatic roles the leader changes an engine\'s role when the demand shifts, and records the reason', async () => {
	await fixture.add(entries => new FakeEngine({
		name: 'd2', entries, role: 'decode', announceIntervalMs: 50, stepMs: 2, orderDurationMs: 50,
	}));
	await fixture.put('policy', 'roles', {
		kind: 'policy', profile: 'tallgrass', automaticRoles: true, changeWeight: 0,
	});
	let count = 0;
	const requestTimer = setInterval(() => {
		count++;
		void streamCompletion(fixture.url, {model: 'summary-1', content: `${count} ${'a long track about oats. '.repeat(4000)}`}).catch(() => undefined);
	}, 40);
	await waitUntil(async () => {
		const {resources} = await (await fetch(`${fixture.url}/api/v1/resources/change`)).json() as {resources: Array<{name: string; status: {phase: string}}>};
		return resources.some(({name, status}) => name.startsWith('auto-') && status.phase === 'done');
	}, 'an automatic role change', 30_000);
	clearInterval(requestTimer);
	const {resources} = await (await fetch(`${fixture.url}/api/v1/resources/change`)).json() as {resources: Array<{name: string; specification: {role: string}}>};
	const automatic = resources.find(({name}) => name.startsWith('auto-'))!;
	assert.equal(automatic.specification.role, 'prefill');
	const explanation = await (await fetch(`${fixture.url}/api/v1/explain/${automatic.name}`)).json() as {steps: Array<{text: string}>};
	assert.match(explanation.steps[0]!.text, /because prefill needs/v);
});

async function countImports(engine: FakeEngine): Promise<number> {
	const {imported} = await (await fetch(`${engine.url}/runs`)).json() as {imported: number};
	return imported;
}
