import assert from 'node:assert/strict';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {after, before, test} from 'node:test';
import {streamCompletion} from '../dev/client.js';
import {findPort} from '../dev/ports.js';
import {FakeEngine} from '../fakes/engine.js';
import {generateToken} from '../fakes/completion.js';
import {sendJson} from '../fakes/backend.js';
import {startFixture, type Fixture} from './fixture.js';

let fixture: Fixture;

before(async () => {
	fixture = await startFixture();
});

after(async () => {
	await fixture.stop();
});

/** Creates one event of a faulty response; undefined for no event. */
type Fault = (id: string, offset: number, prompt: string) => object | undefined;

/**
 * A TCP proxy between the entry host and an engine. It can stop forwarding on its open connections without closing
 * them, like a middlebox that has lost its connection table, while new connections work.
 */
class FreezableProxy {
	readonly port: number;
	readonly #server: net.Server;
	readonly #pairs = new Set<readonly [net.Socket, net.Socket]>();

	private constructor(port: number, target: () => number) {
		this.port = port;
		this.#server = net.createServer(downstream => {
			const upstream = net.connect({host: '127.0.0.1', port: target()});
			this.#pairs.add([downstream, upstream]);
			downstream.on('error', () => upstream.destroy());
			upstream.on('error', () => downstream.destroy());
			downstream.pipe(upstream);
			upstream.pipe(downstream);
		});
	}

	static async start(target: () => number): Promise<FreezableProxy> {
		const proxy = new FreezableProxy(await findPort(), target);
		await new Promise<void>(resolve => {
			proxy.#server.listen(proxy.port, '127.0.0.1', resolve);
		});
		return proxy;
	}

	/** Stops forwarding on all open connections without closing them. */
	freeze(): void {
		for (const [downstream, upstream] of this.#pairs) {
			downstream.unpipe(upstream);
			upstream.unpipe(downstream);
			downstream.pause();
			upstream.pause();
		}
	}

	stop(): void {
		this.#server.close();
		for (const [downstream, upstream] of this.#pairs) {
			downstream.destroy();
			upstream.destroy();
		}
	}
}

test('a connection that freezes in the middle of a stream is replaced by a new one to the same engine', async t => {
	const holder: {engine?: FakeEngine} = {};
	const proxy = await FreezableProxy.start(() => holder.engine!.port);
	t.after(() => {
		proxy.stop();
	});
	const engine = await fixture.add(entries => {
		holder.engine = new FakeEngine({
			name: 'behind', entries, announceIntervalMs: 50, stepMs: 5, models: ['chat-1'], announcedPort: proxy.port,
		});
		return holder.engine;
	});
	const answer = await streamCompletion(fixture.url, {
		model: 'chat-1',
		content: 'silent',
		onToken(count) {
			if (count === 20) {
				proxy.freeze();
			}
		},
	});
	assert.ok(answer.isComplete);
	const {requests} = await (await fetch(`${engine.url}/runs`)).json() as {requests: Record<string, number>};
	assert.equal(requests['user: silent'], 2);
});

test('responses that belong to another request, skip or repeat a token, or end early never reach a caller', async t => {
	const faults: Fault[] = [
		(_id, offset) => ({id: 'somebody-else', offset, choices: [{delta: {content: 'WRONG '}}]}),
		(id, offset) => ({id, offset: offset + 1, choices: [{delta: {content: 'WRONG '}}]}),
		(id, offset, prompt) => ({id, offset: 0, choices: [{delta: {content: offset === 0 ? generateToken(prompt, 0) : 'WRONG '}}]}),
		() => undefined,
	];
	for (const [index, fault] of faults.entries()) {
		const model = `odd-${index}`;
		const faultyEngine = await startFaultyEngine(model, fault);
		t.after(() => {
			faultyEngine.close();
			faultyEngine.closeAllConnections();
		});
		await fixture.add(entries => new FakeEngine({
			name: `sound-${index}`, entries, announceIntervalMs: 50, stepMs: 1, models: [model],
		}));
		for (let send = 0; send < 6; send++) {
			const answer = await streamCompletion(fixture.url, {model, content: `whole ${send}`});
			assert.ok(answer.isComplete, `fault ${index}: ${answer.text.slice(0, 80)}`);
		}
	}
});

/** Starts and announces an engine whose responses all have the same fault. */
async function startFaultyEngine(model: string, fault: Fault): Promise<http.Server> {
	const server = http.createServer((request, response) => {
		if (request.method !== 'POST') {
			sendJson(response, 404, {});
			return;
		}

		let body = '';
		request.setEncoding('utf8');
		request.on('data', (chunk: string) => {
			body += chunk;
		});
		request.on('end', () => {
			const {messages} = JSON.parse(body) as {messages: Array<{content: string}>};
			sendFaultyResponse(response, fault, String(request.headers['x-request-id']), `user: ${messages[0]!.content}`);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	await fetch(`${fixture.url}/backends/announce`, {
		method: 'POST',
		body: JSON.stringify({
			server: `${model}-engine`, kind: 'engine', address: '127.0.0.1', port: (server.address() as AddressInfo).port, incarnation: 1, sequence: 1, models: [model],
		}),
	});
	return server;
}

function sendFaultyResponse(response: http.ServerResponse, fault: Fault, id: string, prompt: string): void {
	response.writeHead(200, {'content-type': 'text/event-stream'});
	for (let offset = 0; offset < 5; offset++) {
		const event = fault(id, offset, prompt);
		if (event) {
			response.write(`data: ${JSON.stringify(event)}\n\n`);
		}
	}

	const end = `data: ${JSON.stringify({id, choices: [{delta: {}, finish_reason: 'stop'}]})}\n\ndata: [DONE]\n\n`;
	response.end(fault(id, 0, prompt) ? end : '');
}
