import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {EventEmitter, once} from 'node:events';
import net, {type AddressInfo, type Socket} from 'node:net';
import {test} from 'node:test';
import {Upstream, type Exchange} from '../src/serving/upstream.js';

type Result = {
	readonly end: 'whole' | 'unsent' | 'broken';
	readonly body: string;
};

test('an answer without a length that ends with its connection is whole', async t => {
	const {ask} = await startServer(t, socket => {
		socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nall of it');
	});
	assert.deepEqual(await ask(), {end: 'whole', body: 'all of it'});
});

test('an answer without a length that is reset on the way is broken', async t => {
	const {ask} = await startServer(t, socket => {
		socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf', () => {
			setTimeout(() => socket.resetAndDestroy(), 20);
		});
	});
	assert.equal((await ask()).end, 'broken');
});

test('an answer that ends before its length is broken', async t => {
	const {ask} = await startServer(t, socket => {
		socket.end('HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf');
	});
	assert.equal((await ask()).end, 'broken');
});

test('a chunked answer that ends without its last chunk is broken', async t => {
	const {ask} = await startServer(t, socket => {
		socket.end('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n');
	});
	assert.equal((await ask()).end, 'broken');
});

test('bytes behind a whole answer belong to no request', async t => {
	const {ask, countConnections} = await startServer(t, socket => {
		const answer = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';
		socket.write(`${answer}${answer}`);
	});
	assert.deepEqual(await ask(), {end: 'whole', body: 'ok'});
	assert.deepEqual(await ask(), {end: 'whole', body: 'ok'});
	assert.equal(countConnections(), 2);
});

test('a connection that is refused has sent nothing', async t => {
	const {ask, stop} = await startServer(t, () => undefined);
	await stop();
	assert.equal((await ask()).end, 'unsent');
});

test('a request that was cancelled ends its connection and hears nothing more', async t => {
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

function unexpected(): void {
	assert.fail('A cancelled exchange heard something.');
}

type TestContext = {
	after(handler: () => void): void;
};

async function startServer(t: TestContext, onRequest: (socket: Socket) => void) {
	let connections = 0;
	const server = net.createServer(socket => {
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
		ask: async () => new Promise<Result>(resolve => {
			let body = '';
			upstream.send(createRequest(port), {
				onHead: () => undefined,
				onData(chunk) {
					body += chunk.toString();
				},
				onEnd() {
					resolve({end: 'whole', body});
				},
				onFailure(failure) {
					resolve({end: failure, body});
				},
			});
		}),
	};
}

function createRequest(port: number) {
	return {
		address: {address: '127.0.0.1', port}, method: 'POST', path: '/', headers: [], body: Buffer.from('x'), maxConnections: 2,
	};
}
