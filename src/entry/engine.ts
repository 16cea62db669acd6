/**
 * One attempt at a model engine: sends the request, checks every event of the response, and reports the result.
 *
 * The connection of an attempt that did not complete is destroyed, so that a late response cannot be read as the
 * response to another request.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import {createParser} from 'eventsource-parser';
import type {Dispatcher} from 'undici';
import type {Announcement} from '../generated/types.js';
import type {ServerConnection} from '../serving/serverconnection.js';
import {isFinalStatus, isInterimStatus} from '../wire/status.js';
import {isConnectError, ServerAgent, type ServerHandler} from './agent.js';

/** How an attempt ended. */
export type AttemptResult
	= | {readonly type: 'complete'; readonly finishReason: string; readonly promptTokens: number; readonly cachedTokens: number | undefined; readonly handoff: string | undefined}
	/** The engine refused the request before running it. */
		| {readonly type: 'refused'; readonly status: number; readonly text: string}
	/** The request itself is invalid. */
		| {readonly type: 'rejected'; readonly status: number; readonly text: string}
	/** No connection could be opened. */
		| {readonly type: 'unreachable'}
	/** No event arrived in time. */
		| {readonly type: 'silent'}
	/** The connection closed before the response was complete. */
		| {readonly type: 'broken'}
	/** The response belongs to another request, skips or repeats a token, or cannot be parsed. */
		| {readonly type: 'mismatch'; readonly text: string}
		| {readonly type: 'cancelled'};

export type AttemptOptions = {
	/** Sent as the request ID. The engine must repeat it in every event. */
	readonly id: string;
	readonly path: string;
	readonly body: Readonly<Record<string, unknown>>;
	/** Number of tokens that the caller already has. */
	readonly offset: number;
	/** Maximum wait for the first event, milliseconds. */
	readonly firstEventTimeoutMs: number;
	/** Maximum wait between two events, milliseconds. */
	readonly eventTimeoutMs: number;
	/** Whether to open a new connection instead of using a pooled one. */
	readonly usesNewConnection: boolean;
	readonly priority: number;
	readonly onToken: (text: string) => void;
	/** Called after all events that arrived together were processed. */
	readonly onBatchEnd: () => void;
	/** Called with the engine's load, which is in the headers of its response. */
	readonly onLoad: (load: string) => void;
};

type EngineEvent = {
	readonly id?: string;
	readonly offset?: number;
	readonly choices?: ReadonlyArray<{
		readonly delta?: {readonly content?: string};
		readonly text?: string;
		readonly finish_reason?: string | null;
	}>;
	readonly usage?: {readonly prompt_tokens?: number; readonly prompt_tokens_details?: {readonly cached_tokens?: number}} | null;
	/** Handle of the KV cache, for the engine that imports it. */
	readonly handoff?: string;
};

export type RunningAttempt = {
	readonly result: Promise<AttemptResult>;
	cancel(): void;
};

const MAX_ERROR_CHARACTERS = 2000;
/** Most bytes of a stream without a complete event. */
const MAX_EVENT_BYTES = 1024 * 1024;
const REFUSED_STATUSES = new Set([409, 429, 503]);

/** HTTP client for engines, with a connection pool. Its creator must close it. */
export class EngineClient {
	readonly #agent = new ServerAgent();

	/**
	 * Starts an attempt.
	 *
	 * @example
	 * ```ts
	 * const attempt = client.start(server, {id: 'r1.1', path: '/v1/chat/completions', …});
	 * const result = await attempt.result;
	 * ```
	 */
	start(server: Announcement, attempt: AttemptOptions): RunningAttempt {
		const handler = new AttemptHandler(attempt);
		const finish = this.#agent.send(server, {
			id: attempt.id,
			path: attempt.path,
			method: 'POST',
			headers: {'content-type': 'application/json', 'x-priority': String(attempt.priority)},
			body: JSON.stringify(attempt.body),
			usesNewConnection: attempt.usesNewConnection,
		}, handler);
		const result = handler.result.then(settled => {
			void finish();
			return settled;
		});
		return {
			result, cancel() {
				handler.finish({type: 'cancelled'});
			},
		};
	}

	async close(): Promise<void> {
		await this.#agent.close();
	}
}

/** Handles the response to one attempt as undici delivers it. */
class AttemptHandler implements ServerHandler {
	connection: ServerConnection | undefined;
	readonly result: Promise<AttemptResult>;
	readonly #attempt: AttemptOptions;
	readonly #decoder = new TextDecoder();
	readonly #parser = createParser({
		onEvent: event => {
			this.#onEvent(event.data);
		},
	});

	#resolve: (result: AttemptResult) => void = () => undefined;
	#controller: Dispatcher.DispatchController | undefined;
	#timer: NodeJS.Timeout;
	#isFinished = false;
	#hasEvent = false;
	#bytesSinceEvent = 0;
	#status = 0;
	#errorText = '';
	#offset: number;
	#finishReason: string | undefined;
	#promptTokens = 0;
	#cachedTokens: number | undefined;
	#handoff: string | undefined;
	#isDone = false;

	constructor(attempt: AttemptOptions) {
		this.#attempt = attempt;
		this.#offset = attempt.offset;
		this.result = new Promise(resolve => {
			this.#resolve = resolve;
		});
		this.#timer = setTimeout(() => {
			this.finish({type: 'silent'});
		}, attempt.firstEventTimeoutMs);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#isFinished) {
			controller.abort(new Error('finished'));
		}
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
		if (isInterimStatus(status)) {
			return;
		}

		if (!isFinalStatus(status)) {
			this.finish({type: 'mismatch', text: `The response has the invalid status ${status}.`});
			return;
		}

		this.#status = status;
		const load = headers['carawayhoist-load'];
		if (typeof load === 'string') {
			this.#attempt.onLoad(load);
		}

		// Events name their request. Another response may be one to an earlier request that the engine repeats on this connection.
		const echoedId = headers['x-request-id'];
		const isOwn = echoedId === undefined ? this.#attempt.usesNewConnection : echoedId === this.#attempt.id;
		if (status !== 200 && !isOwn) {
			this.finish({type: 'mismatch', text: `The response with status ${status} does not name the request.`});
		}
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
		if (this.#isFinished) {
			return;
		}

		if (this.#status !== 200) {
			this.#errorText = (this.#errorText + chunk.toString('utf8')).slice(0, MAX_ERROR_CHARACTERS);
			return;
		}

		this.#bytesSinceEvent += chunk.length;
		if (this.#bytesSinceEvent > MAX_EVENT_BYTES) {
			this.finish({type: 'broken'});
			return;
		}

		this.#restartTimeout();
		this.#parser.feed(this.#decoder.decode(chunk, {stream: true}));
		this.#attempt.onBatchEnd();
	}

	onResponseEnd(): void {
		if (this.#status !== 200 && this.connection?.isReset) {
			this.finish({type: 'broken'});
			return;
		}

		if (this.#status !== 200) {
			const type = REFUSED_STATUSES.has(this.#status) || this.#status >= 500 ? 'refused' : 'rejected';
			this.finish({type, status: this.#status, text: this.#errorText});
			return;
		}

		if (this.#isDone && this.#finishReason !== undefined) {
			this.finish({
				type: 'complete', finishReason: this.#finishReason, promptTokens: this.#promptTokens, cachedTokens: this.#cachedTokens, handoff: this.#handoff,
			});
			return;
		}

		this.finish({type: 'broken'});
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error & {code?: string}): void {
		this.finish({type: isConnectError(error) ? 'unreachable' : 'broken'});
	}

	finish(result: AttemptResult): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		clearTimeout(this.#timer);
		if (result.type !== 'complete' && result.type !== 'refused' && result.type !== 'rejected') {
			this.#controller?.abort(new Error(result.type));
		}

		this.#resolve(result);
	}

	#restartTimeout(): void {
		if (this.#hasEvent) {
			this.#timer.refresh();
			return;
		}

		this.#hasEvent = true;
		clearTimeout(this.#timer);
		this.#timer = setTimeout(() => {
			this.finish({type: 'silent'});
		}, this.#attempt.eventTimeoutMs);
	}

	#onEvent(data: string): void {
		this.#bytesSinceEvent = 0;
		if (this.#isFinished) {
			return;
		}

		if (data === '[DONE]') {
			this.#isDone = true;
			return;
		}

		let event: EngineEvent;
		try {
			event = JSON.parse(data) as EngineEvent;
		} catch {
			this.finish({type: 'mismatch', text: 'An event is not valid JSON.'});
			return;
		}

		this.#handleEvent(event);
	}

	#handleEvent(event: EngineEvent): void {
		if (event.id !== this.#attempt.id) {
			this.finish({type: 'mismatch', text: `The response belongs to request ${event.id ?? '(none)'}.`});
			return;
		}

		this.#promptTokens = event.usage?.prompt_tokens ?? this.#promptTokens;
		this.#cachedTokens = event.usage?.prompt_tokens_details?.cached_tokens ?? this.#cachedTokens;
		this.#handoff = event.handoff ?? this.#handoff;
		const choice = event.choices?.[0];
		if (!choice) {
			return;
		}

		const text = choice.delta?.content ?? choice.text;
		if (text !== undefined && text !== '') {
			if (event.offset !== this.#offset) {
				this.finish({type: 'mismatch', text: `Expected token ${this.#offset}, got ${event.offset ?? 'none'}.`});
				return;
			}

			this.#offset++;
			this.#attempt.onToken(text);
		}

		this.#finishReason = choice.finish_reason ?? this.#finishReason;
	}
}
