/**
 * HTTP client for plain backend servers. Its results tell whether the server may have run the request.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import {ByteCollector} from '../base/bytes.js';
import type {Announcement} from '../generated/types.js';
import type {ServerConnection} from '../serving/serverconnection.js';
import {isFinalStatus, isInterimStatus} from '../wire/status.js';
import {isConnectError, ServerAgent, type ServerHandler} from './agent.js';

export type PlainRequest = {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Buffer;
	readonly timeoutMs: number;
	/** Whether to open a new connection instead of using a pooled one. */
	readonly usesNewConnection: boolean;
};

export type PlainResponse = {
	readonly status: number;
	readonly contentType: string;
	readonly body: Buffer;
};

export type PlainResult
	= | {readonly type: 'response'; readonly response: PlainResponse}
	/** The server did not run the request: no byte of it was sent, or the server says so. */
		| {readonly type: 'not-run'; readonly text: string}
	/** The server may have run the request. */
		| {readonly type: 'unknown'; readonly text: string};

const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** Sends requests to plain servers over a connection pool. Its creator must close it. */
export class PlainClient {
	readonly #agent = new ServerAgent();

	/**
	 * Sends a request once and returns its result.
	 *
	 * @example
	 * ```ts
	 * const result = await client.send(server, request);
	 * result.type; // 'response', 'not-run' or 'unknown'
	 * ```
	 */
	async send(server: Announcement, request: PlainRequest): Promise<PlainResult> {
		const handler = new PlainHandler(request);
		const finish = this.#agent.send(server, {
			id: request.id,
			path: request.path,
			method: request.method,
			headers: request.headers,
			body: request.body.length > 0 ? request.body : null,
			usesNewConnection: request.usesNewConnection,
		}, handler);
		const result = await handler.result;
		await finish();
		return result;
	}

	async close(): Promise<void> {
		await this.#agent.close();
	}
}

/** Handles the response to one request as undici delivers it. */
class PlainHandler implements ServerHandler {
	connection: ServerConnection | undefined;
	readonly result: Promise<PlainResult>;
	readonly #request: PlainRequest;
	readonly #body = new ByteCollector();
	readonly #timer: NodeJS.Timeout;
	#resolve: (result: PlainResult) => void = () => undefined;
	#controller: Dispatcher.DispatchController | undefined;
	#isFinished = false;
	#hasRequestStarted = false;
	#status = 0;
	#contentType = '';
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
		this.#hasRequestStarted = true;
		if (this.#isFinished) {
			controller.abort(new Error('finished'));
		}
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
		if (isInterimStatus(status)) {
			return;
		}

		if (!isFinalStatus(status)) {
			this.#fail(`The answer has the invalid status ${status}.`);
			return;
		}

		this.#status = status;
		this.#contentType = String(headers['content-type'] ?? 'application/octet-stream');
		const echoedId = headers['x-request-id'];
		if (echoedId !== undefined && echoedId !== this.#request.id) {
			this.#fail('The answer belongs to another request.');
			return;
		}

		if (headers['carawayhoist-outcome'] === 'not-run') {
			this.#refusal = `The server refused with status ${status} before running it.`;
		}
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
		if (this.#body.length + chunk.length > MAX_ANSWER_BYTES) {
			this.#fail('The answer is too large.');
			return;
		}

		this.#body.append(chunk);
	}

	onResponseEnd(): void {
		if (this.connection?.isReset) {
			this.#fail('The connection was reset before the answer was complete.');
			return;
		}

		if (this.#refusal !== undefined) {
			this.#finish({type: 'not-run', text: this.#refusal});
			return;
		}

		const response = {status: this.#status, contentType: this.#contentType, body: this.#body.view()};
		this.#finish({type: 'response', response});
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error & {code?: string}): void {
		if (!this.#hasRequestStarted || isConnectError(error)) {
			this.#finish({type: 'not-run', text: 'No connection could be made.'});
			return;
		}

		this.#fail('The connection broke.');
	}

	#fail(text: string): void {
		const type = this.#hasRequestStarted ? 'unknown' : 'not-run';
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
