import assert from 'node:assert/strict';
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {test} from 'node:test';
import {waitUntil} from '../dev/fleet.js';
import type {StubBackendOptions} from './stub.js';
import {ROUTES, SERVICES, startSystem} from './system.js';

const ROOT = path.resolve(import.meta.dirname, '../..');
const LONG_PROMPT = {
	'carawayhoist-model': 'm', 'carawayhoist-token-counts': '20000,80', 'carawayhoist-prompt-prefix': 'aa:15000,bb:5000',
};

test('a repeatable request reaches the server with the caller\'s headers, but without headers reserved for this system', async t => {
	const system = await startSystem(t, [{id: 'p1', service: 'plain'}]);
	const answer = await system.call('/read/1?x=%20y', {'carawayhoist-kv-hold': 'mine', 'x-other': 'kept', 'carawayhoist-deadline-ms': '500'});
	assert.deepEqual({status: answer.status, text: answer.text}, {status: 200, text: `plain ${answer.id}`});
	const {path: requestTarget, headers} = system.servers[0]!.receivedRequests[0]!;
	assert.equal(requestTarget, '/read/1?x=%20y');
	assert.equal(headers['carawayhoist-kv-hold'], undefined);
	assert.equal(headers['x-other'], 'kept');
	assert.equal(headers['carawayhoist-expect-instance'], 'p1');
	assert.ok(Number(headers['carawayhoist-deadline-ms']) <= 500);
});

// Guards against an acknowledged configuration that is never in force: hosts took version 0 for none.
test('a first configuration with version 0 is in force', async t => {
	const system = await startSystem(t, [{id: 'p1', service: 'plain'}], {configVersion: 0});
	assert.equal((await system.call('/read/1')).status, 200);
	const callSecond = await system.addEntry();
	assert.equal((await callSecond('/read/1')).status, 200);
});

test('a long prompt is prefilled by one engine and decoded by another', async t => {
	const system = await startSystem(t, [{id: 'e1', service: 'llm', stage: 'prefill'}, {id: 'e2', service: 'llm', stage: 'decode'}]);
	const answer = await system.call('/ask/1', LONG_PROMPT, 'prompt');
	assert.equal(answer.status, 200);
	assert.equal(answer.text.match(/^id: /gmv)?.length, 4);
	const [prefillEngine, decodeEngine] = system.servers;
	assert.equal(prefillEngine!.receivedRequests[0]?.headers['carawayhoist-serving-stage'], 'prefill');
	assert.equal(decodeEngine!.receivedRequests[0]?.headers['carawayhoist-kv-source'], `${prefillEngine!.address}/h1`);
	assert.equal(decodeEngine!.receivedRequests[0]?.body, 'prompt');
});

// Operators search logs by these fields. Renaming a variable that is written in shorthand would rename its field.
test('the log line of a request has the fields that docs/OPERATIONS.md explains', async t => {
	const system = await startSystem(t, [{id: 'e1', service: 'llm', stage: 'prefill'}, {id: 'e2', service: 'llm', stage: 'decode'}]);
	const answer = await system.call('/ask/1', LONG_PROMPT, 'prompt');
	const findLine = () => system.entryLines.find(({fields}) => fields.request === answer.id && 'status' in fields);
	await waitUntil(async () => findLine() !== undefined, 'the log line is written');
	const line = findLine()!;
	const present = Object.entries(line.fields).filter(([, value]) => value !== undefined).map(([name]) => name);
	assert.deepEqual(present.toSorted(), [
		'cachedTokens', 'expectedMs', 'firstMs', 'isLate', 'placedBy', 'placedMs', 'promptTokens', 'readMs', 'reader', 'request', 'route', 'servers', 'service', 'software', 'status', 'tookMs', 'version',
	]);
	assert.equal(line.message, 'Request answered.');
});

test('a resumable stream that breaks off inside an event continues at another engine, without missing or repeated events', async t => {
	let broken = 0;
	const breakOnce: StubBackendOptions['intercept'] = (request, response) => {
		if (broken > 0 || request.headers['last-event-id'] !== undefined) {
			return false;
		}

		broken++;
		const id = String(request.headers['carawayhoist-attempt-id']);
		response.writeHead(200, {'carawayhoist-attempt-id': id, 'content-type': 'text/event-stream'});
		response.write(`id: 1\ndata: ${id} 1\n\nid: 2\ndata: ${id}`, () => {
			setTimeout(() => response.socket?.resetAndDestroy(), 20);
		});
		return true;
	};

	const system = await startSystem(t, ['e1', 'e2'].map(id => ({
		id, service: 'llm', stage: 'decode' as const, intercept: breakOnce,
	})));
	const answer = await system.call('/ask/1', {...LONG_PROMPT, 'carawayhoist-token-counts': '10,80', 'carawayhoist-prompt-prefix': 'aa:10'}, 'prompt');
	assert.deepEqual([...answer.text.matchAll(/^id: (\d)/gmv)].map(([, id]) => id), ['1', '2', '3', '4']);
	assert.equal(broken, 1);
});

test('a non-repeatable request is not retried after its server closed the connection', async t => {
	const system = await startSystem(t, ['p1', 'p2'].map(id => ({
		id, service: 'plain', intercept(_request, response) {
			response.socket?.resetAndDestroy();
			return true;
		},
	})));
	const answer = await system.call('/book/1', {}, 'seat');
	assert.equal(answer.status, 502);
	assert.equal(system.servers.reduce((sum, server) => sum + server.receivedRequests.length, 0), 1);
});

test('a response that says the request was not executed is passed on with its status and a retry-after header', async t => {
	const system = await startSystem(t, [{
		id: 'p1', service: 'plain', intercept(_request, response) {
			response.writeHead(503, {'carawayhoist-not-executed': '1'}).end();
			return true;
		},
	}]);
	const answer = await system.call('/book/1', {}, 'seat');
	assert.equal(answer.status, 503);
	assert.ok(Number(answer.headers['retry-after']) > 0);
});

test('a response to another request is not passed on', async t => {
	const system = await startSystem(t, [{
		id: 'p1', service: 'plain', intercept(_request, response) {
			response.writeHead(200, {'carawayhoist-attempt-id': 'another'}).end('secret');
			return true;
		},
	}]);
	const answer = await system.call('/book/1', {}, 'seat');
	assert.equal(answer.status, 502);
	assert.doesNotMatch(answer.text, /secret/v);
});

// Guards against a part of a response that looks like a whole one: its entry process ended while it was sent without a length.
test('a response delimited by the end of its connection is passed on with its length and ends the connection of its caller', async t => {
	const system = await startSystem(t, [{
		id: 'p1', service: 'plain', intercept(request, response) {
			response.socket?.end(`HTTP/1.1 200 OK\r\ncarawayhoist-attempt-id: ${String(request.headers['carawayhoist-attempt-id'])}\r\n\r\nwhole`);
			return true;
		},
	}]);
	const answer = await system.call('/book/1', {}, 'seat');
	assert.equal(answer.text, 'whole');
	assert.equal(answer.headers['content-length'], '5');
	assert.equal(answer.headers['transfer-encoding'], undefined);
	assert.equal(answer.headers.connection, 'close');
});

test('a repeatable request is retried at another server after the first one fails', async t => {
	const system = await startSystem(t, ['p1', 'p2'].map(id => ({
		id, service: 'plain', intercept(_request, response) {
			const isFirst = system.servers.reduce((sum, server) => sum + server.receivedRequests.length, 0) === 1;
			if (isFirst) {
				response.socket?.resetAndDestroy();
			}

			return isFirst;
		},
	})));
	assert.equal((await system.call('/read/1')).status, 200);
});

test('a successful response uses none of the retry budget', async t => {
	const system = await startSystem(t, [{id: 'p1', service: 'plain'}, {id: 'p2', service: 'plain'}]);
	for (let index = 0; index < 10; index++) {
		assert.equal((await system.call('/read/1')).status, 200);
	}

	const {values} = await system.metrics.retries.get();
	assert.equal(values.reduce((sum, {value}) => sum + value, 0), 0);
});

test('a request is answered at the timeout of its route, and the connection to its server is closed', async t => {
	let isClosed = false;
	const system = await startSystem(t, [{
		id: 'p1', service: 'plain', intercept(request) {
			request.socket.once('close', () => {
				isClosed = true;
			});
			return true;
		},
	}]);
	assert.equal((await system.call('/book/1', {'carawayhoist-deadline-ms': '5000'}, 'seat')).status, 504);
	await waitUntil(async () => isClosed, 'the connection to the server is closed');
});

test('a draining server gets no new requests once its announcement is acknowledged and has reached the entry host', async t => {
	const system = await startSystem(t, [{id: 'p1', service: 'plain'}, {id: 'p2', service: 'plain'}]);
	assert.equal(await system.servers[0]!.announce(system.control, 'draining'), 200);
	await waitUntil(async () => !system.entry.listServers().includes('p1'), 'p1 is out of use');
	system.servers[0]!.receivedRequests.length = 0;
	for (let index = 0; index < 20; index++) {
		assert.equal((await system.call('/read/1')).status, 200);
	}

	assert.equal(system.servers[0]!.receivedRequests.length, 0);
});

test('the configuration with the highest version stays in force, and a second body under the same version is acknowledged but ignored', async t => {
	const system = await startSystem(t, []);
	const put = async (text: string) => (await fetch(`http://${system.control}/-/config`, {method: 'PUT', body: text})).status;
	const get = async () => (await fetch(`http://${system.control}/-/config`)).text();
	const five = JSON.stringify({version: 5, routes: ROUTES, services: SERVICES});
	const other = JSON.stringify({version: 5, routes: [], services: SERVICES});
	const three = JSON.stringify({version: 3, routes: [], services: SERVICES});
	assert.equal(await put(five), 200);
	assert.equal(await put(five), 200);
	assert.equal(await put(other), 200);
	assert.equal(await put(three), 200);
	assert.equal(await put(five.slice(0, -2)), 400);
	assert.equal(await get(), five);
});

test('engines are ordered to the prefill role with a new fencing token each, and each order is known to have ended', async t => {
	const engines = Array.from({length: 5}, (_, index) => ({
		id: `e${index}`, service: 'llm', stage: 'decode' as const,
	}));
	const system = await startSystem(t, engines);
	await waitUntil(async () => {
		for (const server of system.servers) {
			await server.announce(system.control);
		}

		return system.servers.filter(server => server.stage === 'prefill').length === 3;
	}, 'three of five engines have the prefill role', 20_000);
	const fencingTokens = system.servers.flatMap(({orders}) => orders as Array<{'fencing-token': number; holder: string}>).map(order => order['fencing-token']);
	assert.equal(new Set(fencingTokens).size, 3);
});

test('a resumable stream is retried at another engine when the first one fails', async t => {
	let failures = 0;
	const failOnce: StubBackendOptions['intercept'] = (request, response) => {
		if (request.headers['carawayhoist-serving-stage'] !== undefined || failures > 0) {
			return false;
		}

		failures++;
		response.writeHead(500, {'carawayhoist-attempt-id': String(request.headers['carawayhoist-attempt-id']), 'content-length': 0});
		response.end();
		return true;
	};

	const system = await startSystem(t, ['d1', 'd2', 'd3'].map(id => ({
		id, service: 'llm', stage: 'decode' as const, intercept: failOnce,
	})));
	const answer = await system.call('/ask/1', {...LONG_PROMPT, 'carawayhoist-deadline-ms': '2000'});
	assert.equal(failures, 1);
	assert.equal(answer.status, 200);
});

test('a resumable stream is retried at the only engine that decodes when that engine fails once', async t => {
	let failures = 0;
	const system = await startSystem(t, [{
		id: 'd1', service: 'llm', stage: 'decode', intercept(request, response) {
			if (failures > 0) {
				return false;
			}

			failures++;
			response.writeHead(500, {'carawayhoist-attempt-id': String(request.headers['carawayhoist-attempt-id']), 'content-length': 0}).end();
			return true;
		},
	}]);
	assert.equal((await system.call('/ask/1', LONG_PROMPT, 'prompt')).status, 200);
	assert.equal(failures, 1);
});

test('names on the platform\'s wire are used only in platform/ and deploy/', async () => {
	// The interface of carawayhoistd has its own header with a name that begins alike.
	const exceptions = new Set(['src/entry/model.ts: carawayhoist-deadline']);
	const names = /carawayhoist-(?:attempt|deadline|expect|kv|prompt|token|server|not-|duty|fencing)|\/-\/(?:order|report|instances|config|kv)/giv;
	const violations: string[] = [];
	for (const folder of ['src', 'bench', 'dev', 'fakes']) {
		const files = await readdir(path.join(ROOT, folder), {recursive: true});
		for (const file of files.filter(name => name.endsWith('.ts'))) {
			const text = await readFile(path.join(ROOT, folder, file), 'utf8');
			violations.push(...[...text.matchAll(names)].map(([name]) => `${folder}/${file}: ${name}`).filter(place => !exceptions.has(place)));
		}
	}

	assert.deepEqual(violations, []);
});

test('a control host counts publications and announcements by outcome', async t => {
	const system = await startSystem(t, [{id: 'p1', service: 'plain'}]);
	const put = async (body: string) => (await fetch(`http://${system.control}/-/config`, {method: 'PUT', body})).status;
	assert.equal(await put('{"version": 2, "routes": ['), 400);
	assert.equal(await put(JSON.stringify({version: 1, routes: ROUTES, services: SERVICES})), 200);
	const text = await system.controlRegistry.metrics();
	assert.match(text, /^carawayhoist_publications_total\{outcome="accepted"\} 1$/mv);
	assert.match(text, /^carawayhoist_publications_total\{outcome="invalid"\} 1$/mv);
	assert.match(text, /^carawayhoist_publications_total\{outcome="superseded"\} 1$/mv);
	assert.match(text, /^carawayhoist_announcements_total\{outcome="change"\} [1-9]/mv);
});
