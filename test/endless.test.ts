import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import net from 'node:net';
import process from 'node:process';
import {test, type TestContext} from 'node:test';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {waitUntil} from '../dev/fleet.js';
import {ByteCollector} from '../src/base/bytes.js';
import {ResponseMemory} from '../src/serving/buffer.js';
import {EventSplitter} from '../src/serving/events.js';
import {HostNetwork} from './network.js';
import {createResponseHeaders} from './stub.js';
import {startSystem} from './system.js';

const PROMPT = {'carawayhoist-model': 'm', 'carawayhoist-token-counts': '30,80', 'carawayhoist-prompt-prefix': 'aa:10,bb:20'};
const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
const PIECES = 300_000;
/** A list of pieces takes some 100 bytes for each. */
const MAX_RETAINED_BYTES_PER_PIECE = 8;
const MAX_SPLIT_CPU_MS = 1500;
const MAX_RESPONSE_BYTES = 1_048_576;
/** Read by a host at the most before it breaks a response of tiny pieces off, with what sockets hold. */
const MAX_SENT_BYTES = 8 * 1_048_576;
/** Time after which a slow caller reads a response, milliseconds. */
const LATE_READ_MS = 300;
const REFUSAL = /^HTTP\/1\.1 413 [\s\S]*connection: close\r\n/iv;
const ONE_BYTE_CHUNK = Buffer.from('1\r\nx\r\n');
/** Whatever would fill the memory of a host, sent as fast as it is read. */
const ENDLESS_STREAMS = {
	'blank lines': Buffer.alloc(65_536, '\n'),
	comments: Buffer.from(': ping\n\n'.repeat(8192)),
	'lines of one event': Buffer.from('data: x\n'.repeat(8192)),
	'a line without end': Buffer.alloc(65_536, 'x'),
};

// Guards against an entry host that runs out of memory on a response in short pieces, each of which was kept as an object.
test('a response in pieces of one byte takes little more memory than its bytes', () => {
	const buffer = new ResponseMemory().createBuffer();
	const before = readRetainedBytes();
	for (let count = 0; count < PIECES; count++) {
		assert.ok(buffer.append(Buffer.from('x')));
	}

	const retained = readRetainedBytes() - before;
	assert.equal(buffer.read().length, PIECES);
	assert.ok(retained < PIECES * MAX_RETAINED_BYTES_PER_PIECE, `${retained} bytes`);
	buffer.release();
});

test('collected bytes keep no piece alive and stay readable after further ones and a clear', () => {
	const collector = new ByteCollector();
	collector.append(Buffer.alloc(65_536, 'a').subarray(0, 3));
	assert.ok(collector.view().buffer.byteLength < 100);
	const view = collector.view();
	collector.append(Buffer.from('bc'));
	collector.clear();
	assert.equal(view.toString(), 'aaa');
	assert.deepEqual([collector.length, collector.capacity], [0, 0]);
});

// Guards against an event loop that stands still: each piece was joined with all that came before, and searched again.
test('an event in pieces of one byte takes processing time in proportion to its length', () => {
	const splitter = new EventSplitter();
	const piece = Buffer.from('x');
	const startedMs = readCpuMs();
	for (let count = 0; count < PIECES; count++) {
		splitter.push(piece);
	}

	const tookMs = readCpuMs() - startedMs;
	assert.equal(splitter.bytesSinceEvent, PIECES);
	assert.ok(tookMs < MAX_SPLIT_CPU_MS, `${tookMs} ms`);
});

for (const [name, bytes] of Object.entries(ENDLESS_STREAMS)) {
	test(`a stream that goes on with ${name} continues at another engine, long before its deadline`, async t => {
		const system = await startSystem(t, ['e1', 'e2'].map(id => ({
			id, service: 'llm', stage: 'decode' as const, intercept(request, response) {
				if (request.headers['last-event-id'] !== undefined) {
					return false;
				}

				response.writeHead(200, {...createResponseHeaders(request), 'content-type': 'text/event-stream'});
				response.write(EVENTS);
				sendForever(response, bytes);
				return true;
			},
		})), {routeTimeoutMs: 60_000});
		const answer = await system.call('/ask/1', PROMPT, 'body');
		assert.deepEqual([...answer.text.matchAll(/^id: (\d)/gmv)].map(([, id]) => id), ['1', '2', '3', '4']);
	});
}

for (const [target, headers] of [['/book/', {}], ['/tell/', PROMPT]] as const) {
	test(`a response to ${target} in pieces of one byte without end is broken off, and other requests are served`, async t => {
		let opened = 0;
		const sent: number[] = [];
		const intercept = (request: IncomingMessage, response: ServerResponse) => {
			if (!request.url?.includes('endless')) {
				return false;
			}

			const {socket} = response;
			response.writeHead(200, {...createResponseHeaders(request), 'transfer-encoding': 'chunked', 'content-type': target === '/tell/' ? 'text/event-stream' : 'text/plain'});
			response.flushHeaders();
			opened++;
			socket!.once('close', () => {
				sent.push(socket!.bytesWritten);
			});
			// Written around the response, which would join the pieces.
			sendForever(socket!, Buffer.concat(Array.from({length: 8192}, () => ONE_BYTE_CHUNK)));
			return true;
		};

		const system = await startSystem(t, [{id: 'p1', service: 'plain', intercept}, {
			id: 'd1', service: 'llm', stage: 'decode', intercept,
		}], {routeTimeoutMs: 60_000});
		// A response that has begun is cut; a request that comes after the server has failed may be refused.
		const statuses = await Promise.all(Array.from({length: 6}, async (_, index) => system.call(`${target}endless/${index}`, headers, 'body').then(({status}) => status, () => 'cut')));
		assert.ok(opened > 0 && statuses.every(status => status !== 200), statuses.join(', '));
		await waitUntil(async () => sent.length === opened, 'the connections are closed');
		assert.ok(sent.every(bytes => bytes < MAX_SENT_BYTES), sent.join(', '));
		await waitUntil(async () => {
			await system.announceServers();
			return (await system.call(`${target}1`, headers, 'body')).status === 200;
		}, 'another request is served');
	});
}

// An error page of that size is no answer; it would be passed on until the route's timeout.
test('an error body without end on a route for streams is broken off', async t => {
	const system = await startSystem(t, [{
		id: 'd1', service: 'llm', stage: 'decode', intercept(request, response) {
			response.writeHead(302, createResponseHeaders(request));
			sendForever(response, Buffer.alloc(65_536, 'x'));
			return true;
		},
	}], {routeTimeoutMs: 60_000, maxResponseBytes: MAX_RESPONSE_BYTES});
	await assert.rejects(system.call('/tell/1', PROMPT, 'body'));
});

// A server that announces itself with a body without end would otherwise be read until it stops.
test('an announcement without end is refused, and its connection is closed', async t => {
	assert.match(await announceWithoutEnd(t, 0), REFUSAL);
});

// Guards against a refusal that is lost because the connection is closed, and thereby reset, with bytes of the caller unread.
test('a caller that is refused in the middle of its body and reads late gets the refusal', async t => {
	assert.match(await announceWithoutEnd(t, LATE_READ_MS), REFUSAL);
});

test('a response in pieces of one byte without end, through a relay, is broken off there, and other requests are served', async t => {
	const networks = [await HostNetwork.start(), await HostNetwork.start()];
	t.after(async () => {
		for (const network of networks) {
			network.stop();
		}
	});
	let open = 0;
	const system = await startSystem(t, ['p1', 'p2'].map(id => ({
		id, service: 'plain', intercept(request, response) {
			if (!request.url?.includes('endless')) {
				return false;
			}

			const {socket} = response;
			open++;
			socket!.once('close', () => {
				open--;
			});
			response.writeHead(200, {...createResponseHeaders(request), 'transfer-encoding': 'chunked'});
			response.flushHeaders();
			sendForever(socket!, Buffer.concat(Array.from({length: 8192}, () => ONE_BYTE_CHUNK)));
			return true;
		},
	})), {routeTimeoutMs: 60_000, connectServers: networks.map(({connect}) => connect)});
	await system.addEntry();
	networks[0]!.cut({open: 'reset', fresh: 'refused'});
	await waitUntil(async () => {
		await system.announceServers();
		return (await system.call('/read/1')).status === 200 && system.entryLines.some(({message}) => message.startsWith('This host reaches no server'));
	}, 'the host sends requests through its relay');
	const endless = await Promise.all([1, 2, 3].map(async index => system.call(`/book/endless/${index}`, {}, 'body')));
	assert.deepEqual(endless.map(({status}) => status), [502, 502, 502]);
	await waitUntil(async () => open === 0, 'the connections are closed');
	await waitUntil(async () => {
		await system.announceServers();
		return (await system.call('/book/1', {}, 'body')).status === 200;
	}, 'another request is served');
});

/** Writes the same bytes until the connection is closed, as fast as they are read. */
/** Sends an announcement without end, reads the response after some time, and returns it once the connection has closed. */
async function announceWithoutEnd(t: TestContext, readAfterMs: number): Promise<string> {
	const system = await startSystem(t, []);
	const [address, port] = system.control.split(':');
	const socket = net.connect({host: address!, port: Number(port)});
	let received = '';
	let isClosed = false;
	socket.on('data', bytes => {
		received += String(bytes);
	});
	socket.once('close', () => {
		isClosed = true;
	});
	socket.pause();
	setTimeout(() => {
		socket.resume();
	}, readAfterMs);
	socket.write('PUT /-/instances/s1 HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\n');
	sendForever(socket, Buffer.from(`10000\r\n${'x'.repeat(65_536)}\r\n`));
	await waitUntil(async () => isClosed, 'the connection is closed');
	return received;
}

function sendForever(target: ServerResponse | net.Socket, bytes: Buffer): void {
	const send = () => {
		while (!target.destroyed && target.write(bytes)) {
			// Writes until the buffer is full.
		}
	};

	target.on('drain', send);
	target.on('error', () => undefined);
	send();
}

function readCpuMs(): number {
	const {user, system} = process.cpuUsage();
	return (user + system) / 1000;
}

/** Returns the memory that is in use after a garbage collection, bytes. */
function readRetainedBytes(): number {
	setFlagsFromString('--expose-gc');
	(runInNewContext('gc') as () => void)();
	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
}
