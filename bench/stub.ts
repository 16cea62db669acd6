/**
 * Stub servers for `bench:entry`: an engine that streams tokens without computing anything, and a minimal reverse proxy
 * from `http` to `undici` as a baseline for the entry host.
 *
 * @example
 * ```sh
 * node dist/bench/stub.js engine 9000
 * node dist/bench/stub.js passthrough 9001 http://127.0.0.1:9000
 * ```
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import process from 'node:process';
import {pipeline} from 'node:stream/promises';
import {Agent, request as undiciRequest} from 'undici';

const [kind, port, target] = process.argv.slice(2);
const ANNOUNCE_INTERVAL_MS = 500;

if (kind === 'engine') {
	startEngine(Number(port), process.argv.slice(4));
} else {
	startPassthrough(Number(port), target!);
}

/** Streams `max_tokens` events without delay; the model `slow-1` sends one event per second. */
function startEngine(listenPort: number, entries: readonly string[]): void {
	let sequence = 0;
	const server = http.createServer((request, response) => {
		const chunks: Buffer[] = [];
		request.on('data', (chunk: Buffer) => chunks.push(chunk));
		request.on('end', () => {
			const body = JSON.parse(Buffer.concat(chunks).toString('utf8')) as {model: string; max_tokens?: number};
			streamCompletion(response, {id: String(request.headers['x-request-id']), tokens: body.max_tokens ?? 20, isSlow: body.model === 'slow-1'});
		});
	});
	server.keepAliveTimeout = 60_000;
	server.listen(listenPort, '127.0.0.1');
	setInterval(() => {
		sequence++;
		for (const entry of entries) {
			void announce(entry, listenPort, sequence);
		}
	}, ANNOUNCE_INTERVAL_MS);
}

async function announce(entry: string, listenPort: number, sequence: number): Promise<void> {
	const {body} = await undiciRequest(`${entry}/backends/announce`, {
		method: 'POST',
		body: JSON.stringify({
			server: `stub-${listenPort}`, kind: 'engine', address: '127.0.0.1', port: listenPort, incarnation: 1, sequence, models: ['fast-1', 'slow-1'], capacity: 100_000,
		}),
	}).catch(() => ({body: undefined}));
	await body?.dump();
}

function streamCompletion(response: http.ServerResponse, {id, tokens, isSlow}: {id: string; tokens: number; isSlow: boolean}): void {
	response.writeHead(200, {'content-type': 'text/event-stream'});
	let offset = 0;
	const sendNext = () => {
		if (response.destroyed) {
			return;
		}

		if (offset < tokens) {
			response.write(`data: {"id":"${id}","choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}],"offset":${offset}}\n\n`);
			offset++;
			(isSlow ? setTimeout : setImmediate)(sendNext, isSlow ? 1000 : undefined);
			return;
		}

		response.write(`data: {"id":"${id}","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}\n\n`);
		response.end(`data: {"id":"${id}","choices":[],"usage":{"prompt_tokens":10,"completion_tokens":${tokens}}}\n\ndata: [DONE]\n\n`);
	};

	sendNext();
}

function startPassthrough(listenPort: number, origin: string): void {
	const agent = new Agent({keepAliveTimeout: 4000, headersTimeout: 0, bodyTimeout: 0});
	http.createServer((request, response) => {
		void forward(request, response);
	}).listen(listenPort, '127.0.0.1');

	async function forward(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		try {
			const {statusCode, headers, body} = await undiciRequest(`${origin}${request.url ?? '/'}`, {
				dispatcher: agent, method: 'POST', headers: {'content-type': 'application/json', 'x-request-id': 'p'}, body: request,
			});
			response.writeHead(statusCode, {'content-type': String(headers['content-type'])});
			await pipeline(body, response);
		} catch {
			response.destroy();
		}
	}
}
