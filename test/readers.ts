/**
 * All parts of the product that read the responses of backend servers, behind one interface.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import net, {type AddressInfo, type Socket} from 'node:net';
import {sendHttpRequest} from '../src/control/order.js';
import {EngineClient} from '../src/entry/engine.js';
import {PlainClient} from '../src/entry/plain.js';
import type {Announcement} from '../src/generated/types.js';
import {Upstream} from '../src/serving/upstream.js';

export type Reader = {
	/** Sends one request; returns whether its response, which the server marks as a refusal, counts as complete. */
	send(server: Announcement, id: string): Promise<boolean>;
	close(): Promise<void> | void;
};

/** Creates the reader of each kind of server. Those with a connection pool use a connection again. */
export const READERS: Readonly<Record<string, () => Reader>> = {
	'published routes': createUpstreamReader,
	'plain servers of the own interface': () => createPlainReader(false),
	'plain servers of the own interface, on new connections': () => createPlainReader(true),
	'engines of the own interface': createEngineReader,
	orders: () => createOrderReader(false),
	duties: () => createOrderReader(true),
};

type TestContext = {
	after(handler: () => Promise<void> | void): void;
};

/** Starts a server that hands each request's socket and ID to a function. */
export async function startServer(t: TestContext, respond: (socket: Socket, id: string) => void): Promise<Announcement> {
	const sockets = new Set<Socket>();
	const server = net.createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', data => {
			respond(socket, /x-request-id: (.+)\r\n/iv.exec(data.toString())?.[1] ?? '');
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.after(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return {
		server: 's1', kind: 'plain', address: '127.0.0.1', port: (server.address() as AddressInfo).port, incarnation: 1, sequence: 1,
	};
}

function createUpstreamReader(): Reader {
	const upstream = new Upstream();
	return {
		send: async ({address, port}, id) => new Promise(resolve => {
			upstream.send({
				server: 's1', service: 'plain', request: id, echoId: id, address: {address, port}, method: 'POST', path: '/', headers: ['x-request-id', id], body: Buffer.from('{}'), maxConnections: 1,
			}, {
				onHead: () => undefined,
				onData: () => undefined,
				onEnd() {
					resolve(true);
				},
				onFailure() {
					resolve(false);
				},
			});
		}),
		close() {
			upstream.close();
		},
	};
}

function createPlainReader(usesNewConnection: boolean): Reader {
	const client = new PlainClient();
	return {
		async send(server, id) {
			const {type} = await client.send(server, {
				id, method: 'POST', path: '/', headers: {}, body: Buffer.from('{}'), timeoutMs: 5000, usesNewConnection,
			});
			return type === 'response';
		},
		close: async () => client.close(),
	};
}

function createEngineReader(): Reader {
	const client = new EngineClient();
	return {
		async send(server, id) {
			const {result} = client.start(server, {
				id, path: '/v1/completions', body: {}, offset: 0, firstEventTimeoutMs: 5000, eventTimeoutMs: 5000, usesNewConnection: false, priority: 1, onToken: () => undefined, onBatchEnd: () => undefined, onLoad: () => undefined,
			});
			const {type} = await result;
			return type === 'refused' || type === 'rejected';
		},
		close: async () => client.close(),
	};
}

function createOrderReader(ignoresBody: boolean): Reader {
	return {
		async send(server, id) {
			const reply = await sendHttpRequest(server, {
				method: 'POST', path: '/-/order', headers: {'x-request-id': id}, body: '{}', mayWrite: () => true, ignoresBody,
			});
			return reply !== undefined;
		},
		close: () => undefined,
	};
}
