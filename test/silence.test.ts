import assert from 'node:assert/strict';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {after, before, test} from 'node:test';
import {streamCompletion} from '../dev/client.js';
import {findPort} from '../dev/fleet.js';
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

/** One event of a wrong answer; undefined: none. */
type Fault = (id: string, offset: number, prompt: string) => object | undefined;

/** Stands between the host and a server; can lose track of the connections it has while new ones work. */
class Middle {
	readonly port: number;
	readonly #server: net.Server;
	readonly #pairs = new Set<readonly [net.Socket, net.Socket]>();

	private constructor(port: number, target: () => number) {
		this.port = port;
		this.#server = net.createServer(near => {
			const far = net.connect({host: '127.0.0.1', port: target()});
			this.#pairs.add([near, far]);
			near.on('error', () => far.destroy());
			far.on('error', () => near.destroy());
			near.pipe(far);
			far.pipe(near);
		});
	}

	static async start(target: () => number): Promise<Middle> {
		const middle = new Middle(await findPort(), target);
		await new Promise<void>(resolve => {
			middle.#server.listen(middle.port, '127.0.0.1', resolve);
		});
		return middle;
	}

	/** Forwards nothing more on the connections that are open now, and closes none of them. */
	loseTrack(): void {
		for (const [near, far] of this.#pairs) {
			near.unpipe(far);
			far.unpipe(near);
			near.pause();
			far.pause();
		}
	}

	stop(): void {
		this.#server.close();
		for (const [near, far] of this.#pairs) {
			near.destroy();
			far.destroy();
		}
	}
}

test('a connection that goes silent in the middle of a stream is replaced by a new one to the same engine', async t => {
	const holder: {engine?: FakeEngine} = {};
	const middle = await Middle.start(() => holder.engine!.port);
	t.after(() => {
		middle.stop();
	});
	const engine = await fixture.add(entries => {
		holder.engine = new FakeEngine({
			name: 'behind', entries, announceIntervalMs: 50, stepMs: 5, models: ['chat-1'], announcedPort: middle.port,
		});
		return holder.engine;
	});
	const answer = await streamCompletion(fixture.url, {
		model: 'chat-1',
		content: 'silent',
		onToken(count) {
			if (count === 20) {
				middle.loseTrack();
			}
		},
	});
	assert.ok(answer.isComplete);
	const {requests} = await (await fetch(`${engine.url}/runs`)).json() as {requests: Record<string, number>};
	assert.equal(requests['user: silent'], 2);
});

test('answers that belong to another request, have a gap, repeat or end early never reach a caller', async t => {
	const faults: Fault[] = [
		(_id, offset) => ({id: 'somebody-else', offset, choices: [{delta: {content: 'WRONG '}}]}),
		(id, offset) => ({id, offset: offset + 1, choices: [{delta: {content: 'WRONG '}}]}),
		(id, offset, prompt) => ({id, offset: 0, choices: [{delta: {content: offset === 0 ? generateToken(prompt, 0) : 'WRONG '}}]}),
		() => undefined,
	];
	for (const [index, fault] of faults.entries()) {
		const model = `odd-${index}`;
		const odd = await startOddEngine(model, fault);
		t.after(() => {
			odd.close();
			odd.closeAllConnections();
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

/** An engine whose answers are wrong in one way. */
async function startOddEngine(model: string, fault: Fault): Promise<http.Server> {
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
			answerWrongly(response, fault, String(request.headers['x-request-id']), `user: ${messages[0]!.content}`);
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

function answerWrongly(response: http.ServerResponse, fault: Fault, id: string, prompt: string): void {
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
