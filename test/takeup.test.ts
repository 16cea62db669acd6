import assert from 'node:assert/strict';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {test} from 'node:test';
import type {Address} from '../src/wire/connection.js';
import type {StubBackendOptions} from './stub.js';
import {startSystem} from './system.js';

const EVENT_STREAM = 'text/event-stream';
const REST = 'id: 3\ndata: rest\n\nid: 4\ndata: rest\n\n';
const BEGUN = 'id: 1\ndata: begun\n\nid: 2\ndata: begun\n\n';
/** Time for the events before a reset to arrive. */
const BREAK_DELAY_MS = 20;

type Framing = 'length' | 'chunks' | 'neither';

type TakeUpResponse = {
	readonly status: number;
	readonly type: string | undefined;
	readonly body: string;
};

const NOT_THE_REST: Record<string, TakeUpResponse> = {
	'an error page with status 200': {status: 200, type: 'text/html', body: '<h1>oops</h1>'},
	'an error object with status 200': {status: 200, type: 'application/json', body: '{"error":"oops"}'},
	'text without a type': {status: 200, type: undefined, body: 'oops'},
	'events under another type': {status: 200, type: 'text/plain', body: REST},
	'nothing, without a type': {status: 200, type: undefined, body: ''},
	'nothing, as JSON': {status: 200, type: 'application/json', body: ''},
	'text that is no event': {status: 200, type: EVENT_STREAM, body: 'oops'},
	'an end inside an event': {status: 200, type: EVENT_STREAM, body: 'id: 3\ndata: rest\n\nid: 4\nda'},
	'an event without an ID': {status: 200, type: EVENT_STREAM, body: 'event: error\ndata: oops\n\n'},
	'the stream from its beginning': {status: 200, type: EVENT_STREAM, body: BEGUN + REST},
	'an error event behind a comment': {status: 200, type: EVENT_STREAM, body: ': wait\n\nevent: error\ndata: oops\n\n'},
	'nothing, as events': {status: 200, type: EVENT_STREAM, body: ''},
	...Object.fromEntries([201, 202, 204, 206, 302, 304, 400, 404, 408, 416, 421, 429, 500, 502, 503, 504].map(status => [`status ${status}`, {status, type: EVENT_STREAM, body: REST}])),
};

// Guards against an error of the next server that reaches the caller in the middle of its stream, or ends it as complete.
for (const framing of ['length', 'chunks', 'neither'] as const) {
	test(`a stream that broke off is not continued with what is not its rest, framed by ${framing}`, async t => {
		const failures: string[] = [];
		for (const [name, response] of Object.entries(NOT_THE_REST)) {
			const {text, isComplete} = await takeUp(t, response, framing);
			if (isComplete || text.includes('oops') || text.replace(/: wait\n\n|id: 3\ndata: rest\n\n/v, '') !== BEGUN) {
				failures.push(`${name}: ${isComplete ? 'complete' : 'incomplete'} ${JSON.stringify(text)}`);
			}
		}

		assert.deepEqual(failures, []);
	});

	test(`a stream that broke off goes on with its rest, framed by ${framing}`, async t => {
		for (const rest of [REST, `: wait\n\n${REST}`, `${REST}data: [DONE]\n\n`, 'id: 9\ndata: rest\n\n']) {
			assert.deepEqual(await takeUp(t, {status: 200, type: `${EVENT_STREAM}; charset=utf-8`, body: rest}, framing), {text: BEGUN + rest, isComplete: true});
		}
	});
}

/** Lets a stream break off after two events and answers the attempt to go on; returns what the caller has received. */
async function takeUp(t: Parameters<typeof startSystem>[0], response: TakeUpResponse, framing: Framing) {
	const intercept: StubBackendOptions['intercept'] = (request, stream) => {
		if (request.headers['last-event-id'] === undefined) {
			breakOff(request, stream);
		} else {
			respond(request, stream, response, framing);
		}

		return true;
	};

	const system = await startSystem(t, ['e1', 'e2'].map(id => ({
		id, service: 'llm', stage: 'decode' as const, intercept,
	})));
	return readStream(system.callers);
}

function breakOff(request: IncomingMessage, response: ServerResponse): void {
	response.writeHead(200, {'carawayhoist-attempt-id': String(request.headers['carawayhoist-attempt-id']), 'content-type': EVENT_STREAM});
	response.write(BEGUN, () => {
		setTimeout(() => response.socket?.resetAndDestroy(), BREAK_DELAY_MS);
	});
}

function respond(request: IncomingMessage, response: ServerResponse, {status, type, body}: TakeUpResponse, framing: Framing): void {
	const lines = [`HTTP/1.1 ${status} Answer`, `carawayhoist-attempt-id: ${String(request.headers['carawayhoist-attempt-id'])}`];
	const hasBody = status !== 204 && status !== 304;
	if (type !== undefined) {
		lines.push(`content-type: ${type}`);
	}

	if (hasBody && framing === 'length') {
		lines.push(`content-length: ${body.length}`);
	} else if (hasBody && framing === 'chunks') {
		lines.push('transfer-encoding: chunked');
	}

	const chunk = body.length === 0 ? '' : `${body.length.toString(16)}\r\n${body}\r\n`;
	response.socket?.end(`${lines.join('\r\n')}\r\n\r\n${hasBody ? (framing === 'chunks' ? `${chunk}0\r\n\r\n` : body) : ''}`);
}

async function readStream({address, port}: Address) {
	return new Promise<{text: string; isComplete: boolean}>((resolve, reject) => {
		const request = http.request({
			host: address, port, path: '/ask/1', method: 'POST', headers: {
				host: 'a.example', 'carawayhoist-attempt-id': 'a', 'carawayhoist-model': 'm', 'carawayhoist-token-counts': '30,80', 'carawayhoist-prompt-prefix': 'aa:10,bb:20',
			},
		}, response => {
			let text = '';
			response.on('data', chunk => {
				text += String(chunk);
			});
			response.on('error', () => undefined);
			response.once('close', () => {
				resolve({text, isComplete: response.complete});
			});
		});
		request.once('error', reject);
		request.end('body');
	});
}
