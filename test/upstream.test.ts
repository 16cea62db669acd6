import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {EventEmitter, once} from 'node:events';
import net, {type AddressInfo, type Socket} from 'node:net';
import {test} from 'node:test';
import {waitUntil} from '../dev/fleet.js';
import {Upstream, type Exchange, type UpstreamRequest} from '../src/serving/upstream.js';

/** Limit on what is read of a response besides its body, with the socket buffers of both sides and one write. */
const MAX_SENT_BYTES = 16 * 1024 * 1024;

/** More than the buffers of both sides of a connection hold. */
const UPLOAD_BYTES = 16 * 1024 * 1024;

type Result = {
	readonly outcome: 'complete' | 'unsent' | 'broken';
	readonly body: string;
};

test('a response without a content length is complete when its connection ends', async t => {
	const {ask} = await startServer(t, socket => {
		socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nall of it');
	});
	assert.deepEqual(await ask(), {outcome: 'complete', body: 'all of it'});
});

test('a response without a content length is broken if its connection is reset', async t => {
	const {ask} = await startServer(t, socket => {
		socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf', () => {
			setTimeout(() => socket.resetAndDestroy(), 20);
		});
	});
	assert.equal((await ask()).outcome, 'broken');
});

// Guards against a part of a response that counts as whole: Node reports a reset that arrives with the last bytes as an end.
for (const [name, body] of [['', undefined], [' while the request is still being sent', Buffer.alloc(UPLOAD_BYTES)]] as const) {
	test(`a response without a content length is broken if its last bytes arrive together with a reset${name}`, async t => {
		const {ask, port} = await startServer(t, respondOnce(socket => {
			socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf');
			socket.resetAndDestroy();
		}));
		for (let index = 0; index < 20; index++) {
			assert.equal((await ask({...createRequest(port), ...(body && {body})})).outcome, 'broken');
		}
	});

	test(`a response without a content length is complete if its last bytes arrive together with the end of the connection${name}`, async t => {
		const {ask, port} = await startServer(t, respondOnce(socket => {
			socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nall of it');
		}), {allowHalfOpen: true});
		for (let index = 0; index < 20; index++) {
			assert.deepEqual(await ask({...createRequest(port), ...(body && {body})}), {outcome: 'complete', body: 'all of it'});
		}
	});
}

// Guards against a process that ends by itself: the HTTP client asserts that a response is not paused when its connection ends, and nothing
// catches the error.
for (const [how, outcome, end] of [
	['has ended', 'complete', (socket: Socket) => socket.end()],
	['is reset later', 'broken', (socket: Socket) => {
		setTimeout(() => socket.resetAndDestroy(), 20);
	}],
	['is reset at once', 'broken', (socket: Socket) => socket.resetAndDestroy()],
] as const) {
	test(`a response without a content length that its reader has paused is ${outcome} if its connection ${how}`, async t => {
		const {upstream, port} = await startServer(t, respondOnce(socket => {
			socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nall of it');
			end(socket);
		}));
		const result = await new Promise<Result>(resolve => {
			let body = '';
			const exchange = upstream.send(createRequest(port), {
				onHead: () => undefined,
				onData(chunk) {
					body += chunk.toString();
					exchange.pause();
				},
				onEnd() {
					resolve({outcome: 'complete', body});
				},
				onFailure(failure) {
					resolve({outcome: failure, body});
				},
			});
		});
		assert.deepEqual(result, {outcome, body: 'all of it'});
	});
}

test('a response that is shorter than its content length is broken', async t => {
	const {ask} = await startServer(t, socket => {
		socket.end('HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf');
	});
	assert.equal((await ask()).outcome, 'broken');
});

test('a chunked response without its last chunk is broken', async t => {
	const {ask} = await startServer(t, socket => {
		socket.end('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n');
	});
	assert.equal((await ask()).outcome, 'broken');
});

test('bytes after a complete response are not used for the next request', async t => {
	const {ask, countConnections} = await startServer(t, socket => {
		const response = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';
		socket.write(`${response}${response}`);
	});
	assert.deepEqual(await ask(), {outcome: 'complete', body: 'ok'});
	assert.deepEqual(await ask(), {outcome: 'complete', body: 'ok'});
	assert.equal(countConnections(), 2);
});

test('a request whose ID its connection has carried before is sent on a new connection; others are not', async t => {
	const {ask, port, upstream, countConnections} = await startServer(t, socket => {
		socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
	});
	const connections: number[] = [];
	for (const echoId of ['first', 'second', undefined, undefined, 'second', 'first', 'second']) {
		await waitUntil(async () => countConnections() === 0 || upstream.hasIdleConnection({address: '127.0.0.1', port}), 'the connection is idle');
		assert.deepEqual(await ask({...createRequest(port), echoId}), {outcome: 'complete', body: 'ok'});
		connections.push(countConnections());
	}

	assert.deepEqual(connections, [1, 1, 1, 1, 2, 2, 3]);
});

test('a connection carries about a thousand requests at most, so that it does not remember IDs without limit', async t => {
	const carried = new Map<Socket, number>();
	const {ask, port} = await startServer(t, socket => {
		carried.set(socket, (carried.get(socket) ?? 0) + 1);
		socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
	});
	for (let index = 0; index < 1500; index++) {
		assert.equal((await ask({...createRequest(port), maxConnections: 1})).outcome, 'complete');
	}

	assert.ok(Math.max(...carried.values()) <= 1001, [...carried.values()].join(' '));
});

test('a server that sends interim responses without end breaks the exchange', async t => {
	const {ask} = await startServer(t, socket => {
		sendWithoutEnd(socket, 'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n');
	});
	assert.equal((await ask()).outcome, 'broken');
});

for (const [name, head, part] of [
	['chunk extension', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;', 'x'.repeat(1024)],
	['trailer section', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n', `name: ${'x'.repeat(1000)}\r\n`],
	['header section', 'HTTP/1.1 200 OK\r\n', `name: ${'x'.repeat(1000)}\r\n`],
] as const) {
	test(`a response whose ${name} does not end breaks the exchange`, async t => {
		let sentBytes = 0;
		const {ask} = await startServer(t, socket => {
			socket.write(head);
			sendWithoutEnd(socket, part, size => {
				sentBytes += size;
			});
		});
		assert.equal((await ask()).outcome, 'broken');
		assert.ok(sentBytes <= MAX_SENT_BYTES, `The server sent ${sentBytes} bytes.`);
	});
}

test('a response of many small chunks is complete', async t => {
	const {ask} = await startServer(t, socket => {
		socket.end(`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${'0001;name=value\r\nx\r\n'.repeat(100_000)}0\r\n\r\n`);
	});
	assert.equal((await ask()).body.length, 100_000);
});

test('a request whose connection is refused is unsent', async t => {
	const {ask, stop} = await startServer(t, () => undefined);
	await stop();
	assert.equal((await ask()).outcome, 'unsent');
});

test('cancelling an exchange closes its connection and stops its events', async t => {
	const closed = new EventEmitter();
	const {upstream, port} = await startServer(t, socket => {
		socket.once('close', () => closed.emit('closed'));
		exchange.cancel();
	});
	const isClosed = once(closed, 'closed');
	const exchange: Exchange = upstream.send(createRequest(port), {
		onHead: unexpected, onData: unexpected, onEnd: unexpected, onFailure: unexpected,
	});
	await isClosed;
});

/** Responds to the first bytes on each connection. */
function respondOnce(respond: (socket: Socket) => void): (socket: Socket) => void {
	const answered = new WeakSet<Socket>();
	return socket => {
		if (!answered.has(socket)) {
			answered.add(socket);
			respond(socket);
		}
	};
}

/** Writes a text again and again, as fast as it is read, until the socket is closed. */
function sendWithoutEnd(socket: Socket, text: string, onWritten?: (size: number) => void): void {
	const send = () => {
		let hasRoom = true;
		while (hasRoom && !socket.destroyed) {
			hasRoom = socket.write(text);
			onWritten?.(text.length);
		}
	};

	socket.on('drain', send);
	send();
}

function unexpected(): void {
	assert.fail('The handler of a cancelled exchange was called.');
}

type TestContext = {
	after(handler: () => void): void;
};

async function startServer(t: TestContext, onRequest: (socket: Socket) => void, options: net.ServerOpts = {}) {
	let connections = 0;
	const server = net.createServer(options, socket => {
		connections++;
		socket.on('error', () => undefined);
		socket.on('data', () => {
			onRequest(socket);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const upstream = new Upstream();
	const stop = async () => new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
	t.after(() => {
		upstream.close();
		server.close();
	});
	return {
		upstream,
		port,
		stop,
		countConnections: () => connections,
		ask: async (request = createRequest(port)) => new Promise<Result>(resolve => {
			let body = '';
			upstream.send(request, {
				onHead: () => undefined,
				onData(chunk) {
					body += chunk.toString();
				},
				onEnd() {
					resolve({outcome: 'complete', body});
				},
				onFailure(failure) {
					resolve({outcome: failure, body});
				},
			});
		}),
	};
}

let lastId = 0;

function createRequest(port: number): UpstreamRequest {
	return {
		server: 's1', service: 'plain', request: 'id-1', echoId: `id-${++lastId}`, address: {address: '127.0.0.1', port}, method: 'POST', path: '/', headers: [], body: Buffer.from('x'), maxConnections: 2,
	};
}
