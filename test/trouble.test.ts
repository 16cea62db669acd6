import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import http, {type IncomingMessage} from 'node:http';
import net from 'node:net';
import {test} from 'node:test';
import {waitUntil} from '../dev/fleet.js';
import {PlatformProtocol} from '../platform/protocol.js';
import {AvailabilityTracker} from '../src/routing/availability.js';
import {ResponseMemory} from '../src/serving/buffer.js';
import type {Address} from '../src/wire/connection.js';
import {connectServer} from '../src/wire/connector.js';
import type {StubBackendOptions} from './stub.js';
import {startSystem} from './system.js';

const SHORT_PROMPT = {'carawayhoist-model': 'm', 'carawayhoist-token-counts': '30,80', 'carawayhoist-prompt-prefix': 'aa:10,bb:20'};
const LONG_PROMPT = {...SHORT_PROMPT, 'carawayhoist-token-counts': '20000,80', 'carawayhoist-prompt-prefix': 'aa:15000,bb:5000'};
const LEAVING = {'server-leaving': '1'};

for (const [name, path, headers] of [['plain server', '/read/1', {}], ['engine', '/ask/1', SHORT_PROMPT]] as const) {
	test(`a server (${name}) whose response says that it is leaving gets no further requests from any host until it starts anew`, async t => {
		const kind = path.startsWith('/ask') ? {service: 'llm', stage: 'decode' as const} : {service: 'plain'};
		const system = await startSystem(t, ['s1', 's2'].map(id => ({id, ...kind, ...(id === 's1' && {responseHeaders: LEAVING})})));
		const callSecond = await system.addEntry();
		const [leaving] = system.servers;
		await waitUntil(async () => {
			await Promise.all([1, 2, 3, 4].map(async () => system.call(path, headers)));
			await system.announceServers();
			return leaving!.receivedRequests.length > 0;
		}, 's1 has responded');
		const count = leaving!.receivedRequests.length;
		for (let index = 0; index < 10; index++) {
			assert.equal((await system.call(path, headers)).status, 200);
		}

		assert.equal(leaving!.receivedRequests.length, count);
		await waitUntil(async () => system.entries.every(entry => !entry.listServers().includes('s1')), 'every host knows that s1 is leaving');
		for (let index = 0; index < 10; index++) {
			assert.equal((await callSecond(path, headers)).status, 200);
		}

		assert.equal(leaving!.receivedRequests.length, count);
		const {port} = leaving!;
		leaving!.stop();
		const restarted = await system.addServer({id: 's1', ...kind}, port);
		system.servers[1]!.stop();
		for (const call of [system.call, callSecond]) {
			await system.announceServers();
			assert.equal((await call(path, headers)).status, 200);
		}

		assert.equal(restarted.receivedRequests.length, 2);
	});
}

test('an engine whose response to a prefill says that it is leaving is out of use', async t => {
	const system = await startSystem(t, [
		{
			id: 'r1', service: 'llm', stage: 'prefill', responseHeaders: LEAVING,
		},
		{id: 'r2', service: 'llm', stage: 'prefill'},
		{id: 'd1', service: 'llm', stage: 'decode'},
	]);
	const [leaving] = system.servers;
	let sent = 0;
	const ask = async () => system.call('/ask/1', {...LONG_PROMPT, 'carawayhoist-prompt-prefix': `aa${++sent}:15000,bb:5000`});
	await waitUntil(async () => {
		await Promise.all(Array.from({length: 8}, async () => ask()));
		await system.announceServers();
		return leaving!.receivedRequests.length > 0;
	}, 'r1 has responded');
	await waitUntil(async () => {
		await system.announceServers();
		return !system.entry.listServers().includes('r1');
	}, 'r1 is out of use');
});

test('requests that wait for a connection are not sent to a server that has refused further requests meanwhile', async t => {
	let isSlow = false;
	let refuseFirst: (() => void) | undefined;
	const system = await startSystem(t, [{
		id: 'p1',
		service: 'plain',
		intercept(request, response) {
			const refuseRequest = () => {
				response.writeHead(503, {'carawayhoist-attempt-id': request.headers['carawayhoist-attempt-id'], 'carawayhoist-not-executed': '1', 'retry-after': '100'}).end();
			};

			if (request.url === '/book/first') {
				refuseFirst = refuseRequest;
				return true;
			}

			return false;
		},
	}], {
		connectServers: [address => {
			if (!isSlow) {
				return connectServer(address);
			}

			// Connects once the first request has been refused.
			const socket = new net.Socket();
			void (async () => {
				await waitUntil(async () => system.entryLines.some(({message}) => message.includes('refuses requests for')), 'the refusal has arrived');
				socket.connect({host: address.address, port: address.port});
			})();

			return socket;
		}],
	});
	const [server] = system.servers;
	const first = system.call('/book/first', {}, 'seat');
	await waitUntil(async () => refuseFirst !== undefined, 'the first request is at the server');
	isSlow = true;
	const others = [1, 2, 3].map(async index => system.call(`/book/${index}`, {}, 'seat'));
	await waitUntil(async () => (await system.metrics.active.get()).values[0]!.value === 4, 'the other requests wait for a connection');
	refuseFirst!();
	const responses = await Promise.all([first, ...others]);
	assert.deepEqual(responses.map(({status}) => status), [503, 503, 503, 503]);
	assert.ok(responses.every(({headers}) => Number(headers['retry-after']) > 1));
	assert.deepEqual(server!.receivedRequests.map(({path}) => path), ['/book/first']);
});

test('a server that refuses with a retry time gets no further requests from that host meanwhile; another one serves them', async t => {
	const system = await startSystem(t, ['p1', 'p2'].map(id => ({
		id, service: 'plain', intercept: id === 'p1' ? refuse('1000') : undefined,
	})));
	const [refusing] = system.servers;
	await waitUntil(async () => {
		const answers = await Promise.all([1, 2, 3, 4].map(async () => system.call('/read/1')));
		await system.announceServers();
		assert.ok(answers.every(({status}) => status === 200));
		return refusing!.receivedRequests.length > 0;
	}, 'p1 has refused');
	const count = refusing!.receivedRequests.length;
	for (let index = 0; index < 10; index++) {
		await Promise.all([1, 2, 3, 4].map(async () => system.call('/read/1')));
	}

	assert.equal(refusing!.receivedRequests.length, count);
});

for (const [name, path, headers] of [['servers', '/book/1', {}], ['engines', '/ask/1', SHORT_PROMPT]] as const) {
	test(`callers of ${name} that all refuse with a retry time are told at once when to come back, without another request there`, async t => {
		const kind = path.startsWith('/ask') ? {service: 'llm', stage: 'decode' as const} : {service: 'plain'};
		const system = await startSystem(t, ['s1', 's2'].map(id => ({id, ...kind, intercept: refuse('30.5')})));
		const countRequests = () => system.servers.reduce((sum, server) => sum + server.receivedRequests.length, 0);
		const readRetrySeconds = async () => {
			const {status, headers: answered} = await system.call(path, headers, 'body');
			assert.equal(status, 503);
			return Number(answered['retry-after']);
		};

		await readRetrySeconds();
		await readRetrySeconds();
		const count = countRequests();
		const seconds = await Promise.all(Array.from({length: 8}, readRetrySeconds));
		assert.equal(countRequests(), count);
		assert.ok(seconds.every(value => value > 20 && value <= 40), seconds.join(' '));
		assert.ok(new Set(seconds).size > 1, 'callers are told different times');
	});
}

test('the retry time of a server is read in seconds with fractions, and reported if it cannot be read', () => {
	const protocol = new PlatformProtocol();
	const read = (status: number, value: string | undefined) => protocol.parseResponse(status, value === undefined ? {} : {'retry-after': value}).retryAfter;
	assert.deepEqual(read(503, '0.25'), {type: 'delay', ms: 250});
	assert.deepEqual(read(503, '99999999999'), {type: 'delay', ms: 99_999_999_999_000});
	for (const value of ['-1', 'Fri, 04 Dec 2026 11:00:00 GMT', '', 'soon', 'Infinity']) {
		assert.deepEqual(read(503, value), {type: 'unreadable', text: value});
	}

	assert.equal(read(503, undefined), undefined);
	assert.equal(read(429, '3'), undefined);
});

test('a server is available again when its retry time has passed, after ten minutes at most, or when it starts anew', () => {
	const availability = new AvailabilityTracker();
	const server = {server: 's1', incarnation: 1};
	availability.recordRefusal(server, 1000, 5000);
	availability.recordRefusal(server, 10, 5001);
	assert.ok(!availability.isAvailable(server, 5999));
	assert.deepEqual(availability.listRefusing(5500), [{...server, untilMs: 6000}]);
	assert.ok(availability.isAvailable({...server, incarnation: 2}, 5500));
	assert.ok(availability.isAvailable(server, 6000));
	assert.deepEqual(availability.listUnavailable(6000), []);
	availability.recordRefusal(server, 99_999_999_999_000, 6000);
	assert.ok(!availability.isAvailable(server, 605_999));
	assert.ok(availability.isAvailable(server, 606_000));
});

test('a server is considered for a growing share of the requests after a refusal of two seconds or more', () => {
	const server = {server: 's1', incarnation: 1};
	const measureShare = (availability: AvailabilityTracker, nowMs: number) => {
		const draws = Array.from({length: 100}, (_, index) => availability.drawHeldBack(nowMs, () => index / 100));
		return draws.filter(({length}) => length === 0).length / 100;
	};

	const long = new AvailabilityTracker();
	long.recordRefusal(server, 2000, 0);
	assert.deepEqual([2000, 3000, 4000, 5000].map(nowMs => measureShare(long, nowMs)), [0.25, 0.5, 0.75, 1]);
	const short = new AvailabilityTracker();
	short.recordRefusal(server, 1999, 0);
	assert.equal(measureShare(short, 1999), 1);
	const repeated = new AvailabilityTracker();
	for (let nowMs = 0; nowMs < 3000; nowMs += 500) {
		repeated.recordRefusal(server, 400, nowMs);
	}

	assert.equal(measureShare(repeated, 2900), 0.25);
});

for (const [name, path, headers] of [['plain server', '/read/1', {}], ['engine', '/ask/1', SHORT_PROMPT]] as const) {
	test(`the only server (${name}) gets all requests right after a long refusal`, async t => {
		let hasRefused = false;
		const kind = path.startsWith('/ask') ? {service: 'llm', stage: 'decode' as const} : {service: 'plain'};
		const system = await startSystem(t, [{
			id: 's1', ...kind, intercept(request, response, body) {
				const refuses = !hasRefused;
				hasRefused = true;
				return refuses && refuse('2')!(request, response, body);
			},
		}]);
		assert.equal((await system.call(path, headers, 'body')).status, 503);
		await waitUntil(async () => {
			await system.announceServers();
			return (await system.call(path, headers, 'body')).status === 200;
		}, 's1 takes requests again');
		for (let index = 0; index < 10; index++) {
			assert.equal((await system.call(path, headers, 'body')).status, 200);
		}
	});
}

const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';

for (const [name, headers] of [['with a prompt', SHORT_PROMPT], ['without a prompt', {}]] as const) {
	test(`a stream ${name} that ends with its connection inside an event never looks complete to the caller`, async t => {
		let length = 0;
		const system = await startSystem(t, [{
			id: 's1', service: 'llm', stage: 'decode', intercept(request, response) {
				response.socket?.end(startUnframedResponse(request) + EVENTS.slice(0, length));
				return true;
			},
		}]);
		for (length = 1; length <= EVENTS.length; length++) {
			await system.announceServers();
			assert.equal(await isAnsweredCompletely(system.callers, `/tell/${length}`, headers), EVENTS.slice(0, length).endsWith('\n\n'), `${length} bytes`);
		}
	});
}

test('a resumable stream that ends with its connection inside an event continues at another engine', async t => {
	const system = await startSystem(t, ['e1', 'e2'].map(id => ({
		id, service: 'llm', stage: 'decode' as const, intercept(request, response) {
			if (request.headers['last-event-id'] !== undefined) {
				return false;
			}

			response.socket?.end(`${startUnframedResponse(request)}${EVENTS}id: 3\nda`);
			return true;
		},
	})));
	const answer = await system.call('/ask/1', SHORT_PROMPT, 'body');
	assert.deepEqual([...answer.text.matchAll(/^id: (\d)/gmv)].map(([, id]) => id), ['1', '2', '3', '4']);
});

test('plain responses without end are broken off at the limit, many at once, and other requests are served', async t => {
	let open = 0;
	const system = await startSystem(t, [{
		id: 'p1', service: 'plain', intercept(request, response) {
			if (!request.url?.includes('endless')) {
				return false;
			}

			open++;
			response.once('close', () => {
				open--;
			});
			response.writeHead(200, {'carawayhoist-attempt-id': String(request.headers['carawayhoist-attempt-id'])});
			sendForever(response);
			return true;
		},
	}], {maxResponseBytes: 65_536});
	const answers = await Promise.all(Array.from({length: 30}, async (_, index) => system.call(`/book/endless/${index}`, {}, 'seat')));
	assert.deepEqual(new Set(answers.map(({status}) => status)), new Set([502]));
	await waitUntil(async () => open === 0, 'the connections are closed');
	assert.equal((await system.call('/book/1', {}, 'seat')).status, 200);
});

test('a stream with an event without end continues at another engine', async t => {
	const system = await startSystem(t, ['e1', 'e2'].map(id => ({
		id, service: 'llm', stage: 'decode' as const, intercept(request, response) {
			if (request.headers['last-event-id'] !== undefined) {
				return false;
			}

			response.writeHead(200, {'carawayhoist-attempt-id': String(request.headers['carawayhoist-attempt-id']), 'content-type': 'text/event-stream'});
			response.write(EVENTS);
			sendForever(response);
			return true;
		},
	})));
	const answer = await system.call('/ask/1', SHORT_PROMPT, 'body');
	assert.deepEqual([...answer.text.matchAll(/^id: (\d)/gmv)].map(([, id]) => id), ['1', '2', '3', '4']);
});

test('buffered responses stay within the limits of one and of all', () => {
	const memory = new ResponseMemory(100, 250);
	const buffers = Array.from({length: 4}, () => memory.createBuffer());
	assert.ok(buffers.slice(0, 2).every(buffer => buffer.append(Buffer.alloc(100))));
	assert.ok(!buffers[0]!.append(Buffer.alloc(1)));
	assert.ok(buffers[2]!.append(Buffer.alloc(50)));
	assert.ok(!buffers[3]!.append(Buffer.alloc(1)));
	assert.equal(memory.usedBytes, 250);
	buffers[0]!.release();
	buffers[0]!.release();
	assert.ok(buffers[3]!.append(Buffer.alloc(100)));
	assert.equal(memory.usedBytes, 250);
});

/** Writes bytes without a line feed until the connection is closed, as fast as they are read. */
function sendForever(response: http.ServerResponse): void {
	const chunk = Buffer.alloc(64 * 1024, 'x');
	const send = () => {
		while (!response.destroyed && response.write(chunk)) {
			// Writes until the buffer is full.
		}
	};

	response.on('drain', send);
	response.on('error', () => undefined);
	send();
}

/** Whether a request is answered with 200 and a connection that is closed in order; undici does not tell this from a reset. */
async function isAnsweredCompletely({address, port}: Address, path: string, headers: http.OutgoingHttpHeaders): Promise<boolean> {
	return new Promise(resolve => {
		const request = http.request({
			host: address, port, path, method: 'POST', headers: {host: 'a.example', 'carawayhoist-attempt-id': path, ...headers},
		}, response => {
			response.resume();
			response.once('end', () => {
				resolve(response.statusCode === 200);
			});
			response.once('error', () => {
				resolve(false);
			});
		});
		request.once('error', () => {
			resolve(false);
		});
		request.end('body');
	});
}

function startUnframedResponse(request: IncomingMessage): string {
	return `HTTP/1.1 200 OK\r\ncarawayhoist-attempt-id: ${String(request.headers['carawayhoist-attempt-id'])}\r\ncontent-type: text/event-stream\r\n\r\n`;
}

function refuse(retryAfter: string): StubBackendOptions['intercept'] {
	return (_request, response) => {
		response.writeHead(503, {'carawayhoist-not-executed': '1', 'retry-after': retryAfter}).end();
		return true;
	};
}
