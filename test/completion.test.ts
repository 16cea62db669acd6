import assert from 'node:assert/strict';
import net from 'node:net';
import {after, before, test} from 'node:test';
import OpenAI from 'openai';
import {DEFAULT_COMPLETION_TOKENS, generateCompletion} from '../fakes/completion.js';
import {FakeEngine} from '../fakes/engine.js';
import {startFixture, type Fixture} from './fixture.js';

let fixture: Fixture;
let client: OpenAI;

before(async () => {
	fixture = await startFixture({
		limits: {
			bodyBytes: 65_536, headerBytes: 8192, bodyTimeoutMs: 300, shutdownMs: 1000,
		},
	});
	await fixture.add(entries => new FakeEngine({
		name: 'e1', entries, announceIntervalMs: 50, stepMs: 1,
	}));
	client = new OpenAI({apiKey: 'unused', baseURL: `${fixture.url}/v1`, maxRetries: 0});
});

after(async () => {
	await fixture.stop();
});

test('the openai client gets a complete chat response with usage', async () => {
	const answer = await client.chat.completions.create({model: 'summary-1', messages: [{role: 'user', content: 'Hello'}]});
	assert.equal(answer.object, 'chat.completion');
	assert.equal(answer.choices[0]?.message.content, generateCompletion('user: Hello', DEFAULT_COMPLETION_TOKENS['summary-1']!));
	assert.equal(answer.choices[0]?.finish_reason, 'length');
	assert.equal(answer.usage?.completion_tokens, DEFAULT_COMPLETION_TOKENS['summary-1']);
});

test('the openai client gets a streamed chat response, with usage on request', async () => {
	const stream = await client.chat.completions.create({
		model: 'chat-1', messages: [{role: 'user', content: 'Compare'}], stream: true, stream_options: {include_usage: true},
	});
	let text = '';
	let usage: unknown;
	for await (const chunk of stream) {
		assert.equal(chunk.object, 'chat.completion.chunk');
		text += chunk.choices[0]?.delta.content ?? '';
		usage = chunk.usage ?? usage;
	}

	assert.equal(text, generateCompletion('user: Compare', DEFAULT_COMPLETION_TOKENS['chat-1']!));
	assert.deepEqual(usage, {prompt_tokens: 4, completion_tokens: 120, total_tokens: 124});
});

test('the openai client gets text completions, complete and streamed', async () => {
	const answer = await client.completions.create({model: 'summary-1', prompt: 'Once', max_tokens: 5});
	assert.equal(answer.choices[0]?.text, generateCompletion('Once', 5));
	let text = '';
	for await (const chunk of await client.completions.create({
		model: 'summary-1', prompt: 'Once', max_tokens: 5, stream: true,
	})) {
		text += chunk.choices[0]?.text ?? '';
	}

	assert.equal(text, generateCompletion('Once', 5));
});

test('the openai client lists models', async () => {
	const ids: string[] = [];
	for await (const model of client.models.list()) {
		ids.push(model.id);
	}

	assert.deepEqual(ids, ['chat-1', 'summary-1']);
});

test('the openai client gets errors in its own format, with our error code', async () => {
	await assert.rejects(client.chat.completions.create({model: 'none', messages: [{role: 'user', content: 'x'}]}), (error: unknown) => {
		assert.ok(error instanceof OpenAI.NotFoundError);
		assert.equal(Number(error.code), 2004);
		assert.equal(error.headers.get('carawayhoist-outcome'), 'not-run');
		return true;
	});
});

test('invalid requests get an error code', async () => {
	const invalid: ReadonlyArray<readonly [string, string, number]> = [
		['not JSON', '{"model"', 2001],
		['an array', '[]', 2001],
		['no model', '{"messages": []}', 2001],
		['no messages', '{"model": "chat-1"}', 2001],
		['messages that are not objects', '{"model": "chat-1", "messages": [1]}', 2001],
		['max_tokens below 1', '{"model": "chat-1", "messages": [{"role": "user", "content": "x"}], "max_tokens": 0}', 2001],
		['two choices', '{"model": "chat-1", "messages": [{"role": "user", "content": "x"}], "n": 2}', 2001],
		['too large', JSON.stringify({model: 'x'.repeat(70_000)}), 2002],
	];
	for (const [title, body, code] of invalid) {
		const response = await fetch(`${fixture.url}/v1/chat/completions`, {method: 'POST', body});
		const {error} = await response.json() as {error: {code: number}};
		assert.equal(error.code, code, title);
		assert.equal(response.headers.get('carawayhoist-code'), String(code), title);
	}

	assert.equal((await fetch(`${fixture.url}/nowhere`)).status, 404);
});

test('a slow request body, input that is not HTTP and long headers close only their own connection', async () => {
	const slow = exchangeRaw('POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{"mo');
	const noise = exchangeRaw('this is not HTTP\r\n\r\n');
	const long = exchangeRaw(`GET /v1/models HTTP/1.1\r\nhost: x\r\nx-long: ${'y'.repeat(9000)}\r\n\r\n`);
	const answer = client.chat.completions.create({model: 'summary-1', messages: [{role: 'user', content: 'beside'}]});
	assert.match(await slow, /^HTTP\/1\.1 408 [\s\S]*"code":2003/v);
	assert.match(await noise, /^HTTP\/1\.1 400 [\s\S]*"code":2001/v);
	assert.match(await long, /^HTTP\/1\.1 431 [\s\S]*"code":2006/v);
	assert.equal((await answer).choices[0]?.message.content, generateCompletion('user: beside', 24));
});

test('when the caller disconnects, the request is cancelled at the engine', async () => {
	const engine = await fixture.add(entries => new FakeEngine({
		name: 'slow', entries, announceIntervalMs: 50, stepMs: 50, models: ['slow-1'],
	}));
	const abort = new AbortController();
	const response = await fetch(`${fixture.url}/v1/chat/completions`, {
		method: 'POST', signal: abort.signal, body: JSON.stringify({model: 'slow-1', stream: true, messages: [{role: 'user', content: 'x'}]}),
	});
	assert.equal(response.status, 200);
	assert.equal(engine.runningCount, 1);
	abort.abort();
	while (engine.runningCount > 0) {
		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}
});

/** Sends raw bytes and returns everything received until the connection closes. */
async function exchangeRaw(bytes: string): Promise<string> {
	const {port} = new URL(fixture.url);
	return new Promise((resolve, reject) => {
		let text = '';
		const socket = net.connect({host: '127.0.0.1', port: Number(port)}, () => socket.write(bytes));
		socket.setEncoding('utf8');
		socket.on('data', (chunk: string) => {
			text += chunk;
		});
		socket.on('error', reject);
		socket.on('close', () => {
			resolve(text);
		});
	});
}
