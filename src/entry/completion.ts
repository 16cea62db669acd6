/**
 * Completions in the format of OpenAI's API: parses requests, writes responses as one document or as a stream.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import * as Either from 'fp-ts/lib/Either.js';
import {createProblem, type Problem} from '../base/problem.js';

export const APIS = {chat: 'chat', text: 'text'} as const;
export type Api = keyof typeof APIS;

/** A valid request for a completion. */
export type CompletionRequest = {
	readonly api: Api;
	readonly model: string;
	readonly isStream: boolean;
	readonly includesUsage: boolean;
	readonly maxTokens: number | undefined;
	/** The prompt as one string, for estimates and prefix hashes. */
	readonly prompt: string;
	/** Hash of the request. It is the same on every entry host. */
	readonly fingerprint: string;
	/** The body for the engine, which always streams with usage, whatever the caller asked for. */
	readonly body: Readonly<Record<string, unknown>>;
};

export type Usage = {
	readonly prompt_tokens: number;
	readonly completion_tokens: number;
	readonly total_tokens: number;
};

/**
 * Parses and checks the body of a request.
 *
 * @example
 * ```ts
 * parseCompletionRequest('chat', {model: 'chat-1', messages: [{role: 'user', content: 'Hello'}]});
 * ```
 */
export function parseCompletionRequest(api: Api, body: Readonly<Record<string, unknown>>): Either.Either<Problem, CompletionRequest> {
	const reject = (text: string) => Either.left(createProblem('badRequest', text));
	const {model, stream, n} = body;
	if (typeof model !== 'string' || model === '') {
		return reject('model must be a string.');
	}

	if (stream !== undefined && stream !== null && typeof stream !== 'boolean') {
		return reject('stream must be true or false.');
	}

	if (n !== undefined && n !== null && n !== 1) {
		return reject('n must be 1.');
	}

	const maxTokens = body.max_completion_tokens ?? body.max_tokens ?? undefined;
	if (maxTokens !== undefined && (typeof maxTokens !== 'number' || !Number.isInteger(maxTokens) || maxTokens < 1)) {
		return reject('max_tokens must be a whole number of at least 1.');
	}

	const prompt = api === APIS.chat ? joinMessages(body.messages) : parsePrompt(body.prompt);
	if (prompt === undefined) {
		return reject(api === APIS.chat ? 'messages must be a non-empty list of {role, content}.' : 'prompt must be a string or a list of one.');
	}

	const {stream: _stream, stream_options: options, ...rest} = body;
	const includesUsage = (options as {include_usage?: unknown} | undefined)?.include_usage === true;
	return Either.right({
		api,
		model,
		isStream: stream === true,
		includesUsage,
		maxTokens,
		prompt,
		fingerprint: createHash('sha256').update(JSON.stringify(rest)).digest('base64url').slice(0, 24),
		body: {...rest, stream: true, stream_options: {include_usage: true}},
	});
}

/** Writes the response to the caller while tokens arrive from the engine. */
export interface ResponseWriter {
	/** Buffers one token. */
	writeToken(text: string): void;
	/** Sends the buffered tokens. Returns false if the caller reads too slowly. */
	flush(): boolean;
	/** Sends what is left of the response and ends it. */
	complete(finishReason: string, usage: Usage): void;
}

export type WriterOptions = {
	readonly id: string;
	readonly request: CompletionRequest;
	readonly createdSeconds: number;
	readonly response: ServerResponse;
};

/** A stream with more unsent data than this has a caller that reads too slowly. */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;

/** Writes the response as one JSON document. */
export class JsonWriter implements ResponseWriter {
	readonly #options: WriterOptions;
	#text = '';

	constructor(options: WriterOptions) {
		this.#options = options;
	}

	writeToken(text: string): void {
		this.#text += text;
	}

	flush(): boolean {
		return true;
	}

	complete(finishReason: string, usage: Usage): void {
		const {id, request, createdSeconds, response} = this.#options;
		if (response.writableEnded) {
			return;
		}

		const choice = request.api === APIS.chat
			? {
				index: 0, message: {role: 'assistant', content: this.#text, refusal: null}, logprobs: null, finish_reason: finishReason,
			}
			: {
				index: 0, text: this.#text, logprobs: null, finish_reason: finishReason,
			};
		const object = request.api === APIS.chat ? 'chat.completion' : 'text_completion';
		const body = JSON.stringify({
			id, object, created: createdSeconds, model: request.model, choices: [choice], usage,
		});
		response.writeHead(200, {
			'content-type': 'application/json', 'content-length': Buffer.byteLength(body), 'x-request-id': id,
		});
		response.end(body);
	}
}

/** Writes the response as server-sent events. */
export class EventStreamWriter implements ResponseWriter {
	readonly #options: WriterOptions;
	readonly #eventPrefix: string;
	#hasStarted = false;
	/** Events that are sent in one write, because each write is expensive compared to an event. */
	#batch = '';

	constructor(options: WriterOptions) {
		this.#options = options;
		const {id, request, createdSeconds} = options;
		const object = request.api === APIS.chat ? 'chat.completion.chunk' : 'text_completion';
		// All events share this part, so it is serialized only once.
		this.#eventPrefix = `data: ${JSON.stringify({
			id, object, created: createdSeconds, model: request.model,
		}).slice(0, -1)},"choices":[`;
	}

	writeToken(text: string): void {
		const {request} = this.#options;
		const content = JSON.stringify(text);
		const choice = request.api === APIS.chat
			? `{"index":0,"delta":{"content":${content}},"logprobs":null,"finish_reason":null}`
			: `{"index":0,"text":${content},"logprobs":null,"finish_reason":null}`;
		this.#batch += `${this.#eventPrefix}${choice}]}\n\n`;
	}

	flush(): boolean {
		const {response} = this.#options;
		if (this.#batch !== '' && !response.destroyed && !response.writableEnded) {
			this.#writeHead();
			response.write(this.#batch);
			this.#batch = '';
		}

		return response.writableLength < MAX_BUFFERED_BYTES;
	}

	complete(finishReason: string, usage: Usage): void {
		const {request, response} = this.#options;
		if (response.writableEnded) {
			return;
		}

		const reason = JSON.stringify(finishReason);
		const choice = request.api === APIS.chat
			? `{"index":0,"delta":{},"logprobs":null,"finish_reason":${reason}}`
			: `{"index":0,"text":"","logprobs":null,"finish_reason":${reason}}`;
		this.#writeHead();
		const remaining = this.#batch;
		this.#batch = '';
		const usageEvent = request.includesUsage ? `${this.#eventPrefix}],"usage":${JSON.stringify(usage)}}\n\n` : '';
		response.end(`${remaining}${this.#eventPrefix}${choice}]}\n\n${usageEvent}data: [DONE]\n\n`);
	}

	#writeHead(): void {
		if (this.#hasStarted) {
			return;
		}

		this.#hasStarted = true;
		const {id, request, response} = this.#options;
		response.writeHead(200, {
			'content-type': 'text/event-stream; charset=utf-8', 'cache-control': 'no-cache', 'x-request-id': id,
		});
		if (request.api === APIS.chat) {
			response.write(`${this.#eventPrefix}{"index":0,"delta":{"role":"assistant","content":""},"logprobs":null,"finish_reason":null}]}\n\n`);
		}
	}
}

function joinMessages(messages: unknown): string | undefined {
	if (!Array.isArray(messages) || messages.length === 0) {
		return undefined;
	}

	const parts: string[] = [];
	for (const message of messages as unknown[]) {
		const {role, content} = (message ?? {}) as {role?: unknown; content?: unknown};
		const isValidContent = typeof content === 'string' || Array.isArray(content) || content === null;
		if (typeof role !== 'string' || !isValidContent) {
			return undefined;
		}

		parts.push(`${role}: ${typeof content === 'string' ? content : JSON.stringify(content)}`);
	}

	return parts.join('\n');
}

function parsePrompt(prompt: unknown): string | undefined {
	if (typeof prompt === 'string') {
		return prompt;
	}

	return Array.isArray(prompt) && prompt.length === 1 && typeof prompt[0] === 'string' ? prompt[0] : undefined;
}
