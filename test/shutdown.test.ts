import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {EventEmitter} from 'node:events';
import type {ServerResponse} from 'node:http';
import {test} from 'node:test';
import {waitUntil} from '../dev/fleet.js';
import {sleep} from '../src/base/clock.js';
import {FakeEngine} from '../fakes/engine.js';
import {accepts, CallerConnection} from './caller.js';
import {startFixture} from './fixture.js';
import {createResponseHeaders, type StubBackendOptions} from './stub.js';
import {startSystem} from './system.js';

const SHORT_PROMPT = 'carawayhoist-model: m\r\ncarawayhoist-token-counts: 10,80\r\ncarawayhoist-prompt-prefix: aa:10\r\n';

test('a request behind a stream that began before the shutdown is answered, and not cut', async t => {
	const streams: ServerResponse[] = [];
	const system = await startSystem(t, [{
		id: 'e1', service: 'llm', stage: 'decode', intercept(request, response) {
			response.writeHead(200, {...createResponseHeaders(request), 'content-type': 'text/event-stream'});
			response.write('id: 1\ndata: first\n\n');
			streams.push(response);
			return true;
		},
	}], {graceMs: 3000});
	const caller = new CallerConnection(system.callers);
	caller.send('/tell/1', 'kept-1', SHORT_PROMPT);
	await waitUntil(async () => caller.text.includes('data: first'), 'the stream has begun');
	const other = new CallerConnection(system.callers);
	other.send('/tell/1', 'other', SHORT_PROMPT);
	await waitUntil(async () => other.text.includes('data: first'), 'the other stream has begun');
	const stopped = system.entry.stop();
	await waitUntil(async () => !await accepts(system.callers), 'the host accepts no further connection');
	streams[0]!.end();
	await waitUntil(async () => caller.text.endsWith('0\r\n\r\n') || caller.isClosed, 'the stream has ended');
	caller.send('/tell/1', 'kept-2', SHORT_PROMPT);
	await waitUntil(async () => caller.isClosed, 'the connection is closed');
	streams[1]!.end();
	await waitUntil(async () => other.isClosed, 'the other connection is closed');
	await stopped;
	assert.match(caller.text, /0\r\n\r\nHTTP\/1\.1 503 [\s\S]*connection: close\r\n[\s\S]*carawayhoist-code: 3005\r\ncarawayhoist-outcome: not-run\r\n[\s\S]*\}$/v);
	assert.ok(other.text.endsWith('0\r\n\r\n'));
	assert.deepEqual(system.servers[0]!.receivedRequests.map(({headers}) => headers['carawayhoist-attempt-id']), ['kept-1', 'other']);
});

test('a response that its caller reads slowly is delivered whole at a shutdown', async t => {
	const body = Buffer.alloc(32 * 1024 * 1024, 'x');
	const system = await startSystem(t, [{
		id: 'p1', service: 'plain', intercept(request, response) {
			response.writeHead(200, createResponseHeaders(request)).end(body);
			return true;
		},
	}], {graceMs: 20_000, maxResponseBytes: body.length});
	const caller = new CallerConnection(system.callers);
	caller.pause();
	caller.send('/book/1', 'slow');
	await waitUntil(async () => system.entryLines.some(({fields}) => fields.request === 'slow' && 'status' in fields), 'the response has ended');
	let hasStopped = false;
	const stopped = (async () => {
		await system.entry.stop();
		hasStopped = true;
	})();
	await waitUntil(async () => !await accepts(system.callers), 'the host accepts no further connection');
	assert.ok(!hasStopped);
	caller.resume();
	await waitUntil(async () => caller.isClosed, 'the connection is closed');
	await stopped;
	assert.equal(caller.text.length - caller.text.indexOf('\r\n\r\n') - 4, body.length);
});

test('the response to a request from before the shutdown tells its caller that the connection ends', async t => {
	const held = new EventEmitter();
	const system = await startSystem(t, [{
		id: 'p1', service: 'plain', intercept(request, response) {
			held.once('release', () => {
				response.writeHead(200, createResponseHeaders(request)).end('held');
			});
			return true;
		},
	}], {graceMs: 3000});
	const caller = new CallerConnection(system.callers);
	caller.send('/book/1', 'before');
	await waitUntil(async () => held.listenerCount('release') === 1, 'the server has the request');
	const stopped = system.entry.stop();
	held.emit('release');
	await waitUntil(async () => caller.isClosed, 'the connection is closed');
	await stopped;
	assert.match(caller.text, /^HTTP\/1\.1 200 OK\r\n[\s\S]*connection: close\r\n[\s\S]*held$/iv);
});

test('of the pipelined requests of a caller that disconnects the one in progress is cancelled, the others do not run, and no shutdown waits for them', async t => {
	let isCancelled = false;
	const system = await startSystem(t, [{
		id: 'p1', service: 'plain', intercept(_request, response) {
			response.once('close', () => {
				isCancelled = true;
			});
			return true;
		},
	}], {graceMs: 60_000});
	const {receivedRequests} = system.servers[0]!;
	const caller = new CallerConnection(system.callers);
	caller.send('/book/1', 'gone-1');
	caller.send('/book/1', 'gone-2');
	await waitUntil(async () => receivedRequests.length === 1, 'the server has the first request');
	caller.disconnect();
	await waitUntil(async () => isCancelled, 'the request is cancelled');
	assert.deepEqual(receivedRequests.map(({headers}) => headers['carawayhoist-attempt-id']), ['gone-1']);
	await waitUntil(async () => (await system.metrics.active.get()).values[0]?.value === 0, 'no request is in progress');
	await system.entry.stop();
	assert.equal(system.entryLines.find(({message}) => message === 'Shutdown complete.')?.fields.unsent, 0);
});

for (const {title, target, headers, first, expected} of [
	{
		title: 'a booking that runs', target: '/book/1', headers: '', first: '', expected: /^HTTP\/1\.1 200 OK\r\n[\s\S]*connection: close\r\n[\s\S]*last$/iv,
	},
	{
		title: 'a stream', target: '/tell/1', headers: SHORT_PROMPT, first: 'id: 1\ndata: first\n\n', expected: /^HTTP\/1\.1 200 OK\r\n[\s\S]*data: first\n\n\r\n4\r\nlast\r\n0\r\n\r\n$/v,
	},
]) {
	test(`bytes that are no request behind ${title} do not answer it`, async t => {
		const held = new EventEmitter();
		const intercept: StubBackendOptions['intercept'] = (request, response) => {
			response.writeHead(200, createResponseHeaders(request));
			if (first !== '') {
				response.write(first);
			}

			held.once('release', () => {
				response.end('last');
			});
			return true;
		};

		const system = await startSystem(t, [{id: 'p1', service: 'plain', intercept}, {
			id: 'e1', service: 'llm', stage: 'decode', intercept,
		}]);
		const caller = new CallerConnection(system.callers);
		caller.send(target, 'ahead', headers);
		await waitUntil(async () => held.listenerCount('release') === 1 && caller.text.endsWith(first === '' ? '' : `${first}\r\n`), 'the server has the request');
		caller.write('GARBAGE\r\n\r\n');
		await system.call('/read/unrelated', {'carawayhoist-deadline-ms': '50'});
		held.emit('release');
		await waitUntil(async () => caller.isClosed, 'the connection is closed');
		assert.match(caller.text, expected);
	});
}

test('a request behind one that ends its connection does not reach a server', async t => {
	const system = await startSystem(t, [{id: 'p1', service: 'plain'}], {graceMs: 1000});
	const caller = new CallerConnection(system.callers);
	const stopped = system.entry.stop();
	caller.send('/book/1', 'pipelined-1');
	caller.send('/book/1', 'pipelined-2');
	await waitUntil(async () => caller.isClosed, 'the connection is closed');
	await stopped;
	assert.match(caller.text, /^HTTP\/1\.1 200 OK\r\n/v);
	assert.match(caller.text, /plain pipelined-1/v);
	assert.deepEqual(system.servers[0]!.receivedRequests.map(({headers}) => headers['carawayhoist-attempt-id']), ['pipelined-1']);
});

for (const {title, graceMs, expected} of [
	{title: 'is refused, not run, if its timeout ends after the grace period', graceMs: 2000, expected: /^HTTP\/1\.1 503 [\s\S]*carawayhoist-code: 3005\r\ncarawayhoist-outcome: not-run\r\n/v},
	{title: 'is served if its timeout ends within the grace period', graceMs: 3000, expected: /^HTTP\/1\.1 200 OK\r\n[\s\S]*data: half 4\n/v},
]) {
	test(`a request whose body arrives during a shutdown ${title}`, async t => {
		const system = await startSystem(t, [{id: 'e1', service: 'llm', stage: 'decode'}], {graceMs});
		const caller = new CallerConnection(system.callers);
		caller.write('POST /tell/1 HTTP/1.1\r\nhost: a.example\r\ncarawayhoist-attempt-id: half\r\ncontent-length: 8\r\n\r\nhalf');
		await waitUntil(async () => (await system.metrics.active.get()).values[0]?.value === 1, 'the head has been read');
		const stopped = system.entry.stop();
		await waitUntil(async () => !await accepts(system.callers), 'the host accepts no further connection');
		caller.write('rest');
		await waitUntil(async () => caller.isClosed, 'the connection is closed');
		await stopped;
		assert.match(caller.text, expected);
		assert.equal(system.servers[0]!.receivedRequests.length, graceMs === 3000 ? 1 : 0);
	});
}

// Guards against requests that are taken late in a shutdown, passed on, and cut at its end.
for (const {target, headers} of [{target: '/book/late', headers: ''}, {target: '/tell/late', headers: SHORT_PROMPT}]) {
	test(`a request to ${target} late in the grace period, on a connection from before it, is refused and not run`, async t => {
		const graceMs = 5000;
		const hold = () => true;
		const system = await startSystem(t, [{id: 'p1', service: 'plain', intercept: hold}, {
			id: 'e1', service: 'llm', stage: 'decode', intercept: hold,
		}], {graceMs, routeTimeoutMs: graceMs});
		const caller = new CallerConnection(system.callers);
		// A host that has nothing to do ends before the grace period does.
		const busy = system.call('/book/busy', {}, 'body');
		await waitUntil(async () => system.servers[0]!.receivedRequests.length === 1, 'a request is in progress');
		const stopped = system.entry.stop();
		await sleep(graceMs * 0.7);
		caller.send(target, 'late', headers);
		await waitUntil(async () => caller.isClosed, 'the connection is closed');
		await stopped;
		assert.equal((await busy).status, 502);
		assert.match(caller.text, /^HTTP\/1\.1 503 [\s\S]*carawayhoist-code: 3005\r\ncarawayhoist-outcome: not-run\r\n/v);
		assert.deepEqual(system.servers.flatMap(({receivedRequests}) => receivedRequests.map(({path: target}) => target)), ['/book/busy']);
	});
}

test('a request that has not ended when the grace period does is answered and logged', async t => {
	const system = await startSystem(t, [{id: 'p1', service: 'plain', intercept: () => true}], {graceMs: 1000});
	const caller = new CallerConnection(system.callers);
	caller.send('/book/1', 'cut');
	await waitUntil(async () => system.servers[0]!.receivedRequests.length === 1, 'the server has the request');
	await system.entry.stop();
	await waitUntil(async () => caller.isClosed, 'the connection is closed');
	assert.match(caller.text, /^HTTP\/1\.1 502 [\s\S]*carawayhoist-code: 3009\r\ncarawayhoist-outcome: unknown\r\n/v);
	const line = system.entryLines.find(({fields}) => fields.request === 'cut' && 'status' in fields);
	assert.deepEqual([line?.message, line?.fields.code], ['Request refused.', 3009]);
	assert.ok(Number(line?.fields.arrivedAfterStopMs) <= 0);
});

test('the declared services and models: the response to a request from before the shutdown tells its caller that the connection ends', async t => {
	const fixture = await startFixture();
	t.after(async () => fixture.stop());
	const engine = await fixture.add(entries => new FakeEngine({
		name: 'slow-1', entries, announceIntervalMs: 50, models: ['chat-1'], stepMs: 20,
	}));
	const {port} = new URL(fixture.url);
	const caller = new CallerConnection({address: '127.0.0.1', port: Number(port)});
	const body = JSON.stringify({model: 'chat-1', messages: [{role: 'user', content: 'hello'}], max_tokens: 100});
	caller.write(`POST /v1/chat/completions HTTP/1.1\r\nhost: a.example\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
	await waitUntil(async () => engine.runningCount === 1, 'the request runs');
	const stopped = fixture.host.stop();
	await waitUntil(async () => caller.isClosed, 'the connection is closed');
	await stopped;
	assert.match(caller.text, /^HTTP\/1\.1 200 OK\r\n[\s\S]*connection: close\r\n[\s\S]*\}$/iv);
});
