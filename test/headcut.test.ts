import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import net, {type AddressInfo, type Socket} from 'node:net';
import {test} from 'node:test';
import {waitUntil} from '../dev/fleet.js';
import {PlainClient} from '../src/entry/plain.js';
import type {Announcement} from '../src/generated/types.js';
import {Upstream} from '../src/serving/upstream.js';
import {HostNetwork} from './network.js';
import {startSystem} from './system.js';

/** Lines of the head behind the status line and the ID, and the body, by how the end of the body is marked. */
const FRAMINGS = {
	length: {lines: 'content-length: 4\r\n', body: 'done'},
	chunks: {lines: 'transfer-encoding: chunked\r\n', body: '4\r\ndone\r\n0\r\n\r\n'},
	neither: {lines: 'connection: close\r\n', body: 'done'},
} as const;

const ENDS = {
	finished(socket: Socket, bytes: string) {
		socket.end(bytes);
	},
	reset(socket: Socket, bytes: string) {
		socket.write(bytes, () => {
			setTimeout(() => socket.resetAndDestroy(), 5);
		});
	},
} as const;

type TestContext = {
	after(handler: () => Promise<void> | void): void;
};

/** Sends requests to servers; returns the bodies of the responses that count as successful. */
type Client = {
	send(port: number, id: string): Promise<string | undefined>;
	close(): Promise<void> | void;
};

const CLIENTS: Record<string, () => Client> = {
	'the platform\'s servers': createUpstreamClient,
	'plain servers of the own door': createPlainClient,
};

// Guards against a success with an empty or short body, framed as whole, after a server stopped in the middle of a head.
for (const [name, createClient] of Object.entries(CLIENTS)) {
	for (const [framing, {lines, body}] of Object.entries(FRAMINGS)) {
		for (const [end, cut] of Object.entries(ENDS)) {
			test(`a response of ${name} whose head is cut is no success: ${framing}, connection ${end}`, async t => {
				for (const isKept of [false, true]) {
					for (let length = 0; length < createHead('id-0', lines).length; length++) {
						const server = await startServer(t, (socket, id, index) => {
							if (isKept && index === 0) {
								socket.write(`HTTP/1.1 200 OK\r\n${nameRequest(id)}content-length: 2\r\n\r\nok`);
							} else {
								cut(socket, createHead(id, lines).slice(0, length));
							}
						});
						const client = createClient();
						if (isKept) {
							assert.equal(await client.send(server.port, 'id-1'), 'ok');
						}

						assert.equal(await client.send(server.port, 'id-2'), undefined, `${isKept ? 'kept' : 'new'} connection, after ${length} bytes`);
						await client.close();
						server.stop();
					}
				}

				const whole = await startServer(t, (socket, id) => socket.end(createHead(id, lines) + body));
				const client = createClient();
				assert.equal(await client.send(whole.port, 'id-3'), 'done');
				await client.close();
			});
		}
	}
}

test('a response whose head is cut is not passed on, by the host itself and through a relay', async t => {
	const {lines} = FRAMINGS.neither;
	let length = 0;
	const networks = [await HostNetwork.start(), await HostNetwork.start()];
	t.after(async () => {
		for (const network of networks) {
			network.stop();
		}
	});
	const system = await startSystem(t, ['plain', 'plain', 'llm'].map((service, index) => ({
		id: `${service}-${index}`, service, ...(service === 'llm' && {stage: 'decode' as const}), intercept(request, response) {
			if (request.url === '/read/whole') {
				return false;
			}

			response.socket?.end(createHead(String(request.headers['carawayhoist-attempt-id']), `content-type: text/event-stream\r\n${lines}`).slice(0, length));
			return true;
		},
	})), {connectServers: networks.map(({connect}) => connect)});
	const callRelay = await system.addEntry();
	const prompt = {'carawayhoist-model': 'm', 'carawayhoist-token-counts': '30,80', 'carawayhoist-prompt-prefix': 'aa:10,bb:20'};
	const assertNoSuccess = async (call: typeof system.call) => {
		const count = createHead('id-100', `content-type: text/event-stream\r\n${lines}`).length;
		for (length = 0; length < count; length += 3) {
			await system.announceServers();
			for (const [path, headers, body] of [['/read/1', {}, undefined], ['/book/1', {}, 'seat'], ['/tell/1', prompt, 'prompt']] as const) {
				const {status, text} = await call(path, headers, body);
				assert.ok(status >= 500, `${path} after ${length} bytes: ${status} ${text}`);
			}
		}
	};

	await assertNoSuccess(system.call);
	networks[1]!.cut({open: 'reset', fresh: 'refused'});
	await waitUntil(async () => {
		await system.announceServers();
		return (await callRelay('/read/whole')).status === 200 && system.entryLines.some(({message}) => message.startsWith('This host reaches no server'));
	}, 'the cut host has a relay');
	await assertNoSuccess(callRelay);
	assert.equal((await callRelay('/read/whole')).status, 200);
});

function nameRequest(id: string): string {
	return `x-request-id: ${id}\r\ncarawayhoist-attempt-id: ${id}\r\n`;
}

function createHead(id: string, lines: string): string {
	return `HTTP/1.1 200 OK\r\n${nameRequest(id)}${lines}\r\n`;
}

/** Starts a server that hands each request's socket, its ID and its number to a function. */
async function startServer(t: TestContext, respond: (socket: Socket, id: string, index: number) => void) {
	const sockets = new Set<Socket>();
	let count = 0;
	const server = net.createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', data => {
			const id = /x-request-id: (.+)\r\n/iv.exec(data.toString())?.[1];
			if (id !== undefined) {
				respond(socket, id, count++);
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const stop = () => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	};

	t.after(stop);
	return {port: (server.address() as AddressInfo).port, stop};
}

function createUpstreamClient(): Client {
	const upstream = new Upstream();
	return {
		send: async (port, id) => new Promise(resolve => {
			let body = '';
			let status = 0;
			upstream.send({
				server: 's1', service: 'plain', request: id, echoId: id, address: {address: '127.0.0.1', port}, method: 'POST', path: '/', headers: ['x-request-id', id], body: Buffer.from('x'), maxConnections: 1,
			}, {
				onHead(received) {
					status = received;
				},
				onData(chunk) {
					body += chunk.toString();
				},
				onEnd() {
					resolve(status === 200 ? body : undefined);
				},
				onFailure() {
					resolve(undefined);
				},
			});
		}),
		close() {
			upstream.close();
		},
	};
}

function createPlainClient(): Client {
	const client = new PlainClient();
	return {
		async send(port, id) {
			const server: Announcement = {
				server: 's1', kind: 'plain', address: '127.0.0.1', port, incarnation: 1, sequence: 1,
			};
			const result = await client.send(server, {
				id, method: 'POST', path: '/', headers: {}, body: Buffer.from('x'), timeoutMs: 5000, usesNewConnection: false,
			});
			return result.type === 'response' && result.response.status === 200 ? result.response.body.toString() : undefined;
		},
		close: async () => client.close(),
	};
}
