/**
 * One exchange with a plain backend server; tells exactly whether the work can have run.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {Agent, Client, type Dispatcher} from 'undici';
import type {Announcement} from '../generated/types.js';
import {formatUrlHost} from './engine.js';

export type PlainRequest = {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Buffer;
	readonly timeoutMs: number;
	/** Whether it must go out on a connection opened for it. */
	readonly usesNewConnection: boolean;
};

export type PlainResponse = {
	readonly status: number;
	readonly contentType: string;
	readonly body: Buffer;
};

export type PlainResult
	= | {readonly type: 'answer'; readonly answer: PlainResponse}
	/** No byte left, or the server says that it did not run it. */
		| {readonly type: 'not-run'; readonly text: string}
	/** It may have run. */
		| {readonly type: 'unknown'; readonly text: string};

const CONNECT_TIMEOUT_MS = 1000;
const IDLE_CONNECTION_MS = 4000;
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
const CONNECT_ERRORS = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH']);

/** Connections to plain servers. Whoever created it closes it. */
export class PlainClient {
	readonly #agent = new Agent({
		pipelining: 1,
		keepAliveTimeout: IDLE_CONNECTION_MS,
		keepAliveMaxTimeout: IDLE_CONNECTION_MS,
		connect: {timeout: CONNECT_TIMEOUT_MS},
		headersTimeout: 0,
		bodyTimeout: 0,
	});

	/**
	 * Sends a request once and reports how it ended.
	 *
	 * @example
	 * ```ts
	 * const end = await client.exchange(server, request);
	 * end.type; // 'answer', 'not-run' or 'unknown'
	 * ```
	 */
	async send(server: Announcement, request: PlainRequest): Promise<PlainResult> {
		const origin = `http://${formatUrlHost(server.address)}:${server.port}`;
		const dispatcher = request.usesNewConnection ? new Client(origin, {connect: {timeout: CONNECT_TIMEOUT_MS}, headersTimeout: 0, bodyTimeout: 0}) : this.#agent;
		const handler = new PlainHandler(request);
		dispatcher.dispatch({
			origin,
			path: request.path,
			method: request.method,
			headers: {...request.headers, 'x-request-id': request.id},
			body: request.body.length > 0 ? request.body : null,
			reset: request.usesNewConnection,
		}, handler);
		const result = await handler.result;
		if (request.usesNewConnection) {
			await dispatcher.destroy();
		}

		return result;
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}
}

class PlainHandler implements Dispatcher.DispatchHandler {
	readonly result: Promise<PlainResult>;
	readonly #request: PlainRequest;
	readonly #chunks: Buffer[] = [];
	readonly #timer: NodeJS.Timeout;
	#resolve: (result: PlainResult) => void = () => undefined;
	#controller: Dispatcher.DispatchController | undefined;
	#isFinished = false;
	#hasStarted = false;
	#status = 0;
	#contentType = '';
	#length = 0;
	#refusal: string | undefined;

	constructor(request: PlainRequest) {
		this.#request = request;
		this.result = new Promise(resolve => {
			this.#resolve = resolve;
		});
		this.#timer = setTimeout(() => {
			this.#fail('No whole answer came in time.');
		}, request.timeoutMs);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		this.#hasStarted = true;
		if (this.#isFinished) {
			controller.abort(new Error('finished'));
		}
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
		this.#status = status;
		this.#contentType = String(headers['content-type'] ?? 'application/octet-stream');
		const echoed = headers['x-request-id'];
		if (echoed !== undefined && echoed !== this.#request.id) {
			this.#fail('The answer belongs to another request.');
			return;
		}

		if (headers['carawayhoist-outcome'] === 'not-run') {
			this.#refusal = `The server refused with status ${status} before running it.`;
		}
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
		this.#length += chunk.length;
		if (this.#length > MAX_ANSWER_BYTES) {
			this.#fail('The answer is too large.');
			return;
		}

		this.#chunks.push(Buffer.from(chunk));
	}

	onResponseEnd(): void {
		if (this.#refusal !== undefined) {
			this.#finish({type: 'not-run', text: this.#refusal});
			return;
		}

		const answer = {status: this.#status, contentType: this.#contentType, body: Buffer.concat(this.#chunks)};
		this.#finish({type: 'answer', answer});
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error & {code?: string}): void {
		if (!this.#hasStarted || CONNECT_ERRORS.has(error.code ?? '')) {
			this.#finish({type: 'not-run', text: 'No connection could be made.'});
			return;
		}

		this.#fail('The connection broke.');
	}

	#fail(text: string): void {
		const type = this.#hasStarted ? 'unknown' : 'not-run';
		this.#finish({type, text});
		this.#controller?.abort(new Error(text));
	}

	#finish(result: PlainResult): void {
		if (!this.#isFinished) {
			this.#isFinished = true;
			clearTimeout(this.#timer);
			this.#resolve(result);
		}
	}
}
