/**
 * One HTTP exchange with a caller or operator: reads the request body within limits, sends responses and errors.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import * as Either from 'fp-ts/lib/Either.js';
import {ByteCollector} from '../base/bytes.js';
import {createProblem, type Problem} from '../base/problem.js';

/** A request and its response. */
export type Exchange = {
	readonly id: string;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly method: string;
	readonly path: string;
	readonly query: URLSearchParams;
};

export type BodyLimits = {
	readonly bodyBytes: number;
	readonly bodyTimeoutMs: number;
};

/**
 * Reads the body of a request. Fails if it exceeds the size or time limit.
 *
 * @example
 * ```ts
 * const body = await readBody(request, {bodyBytes: 1024, bodyTimeoutMs: 1000});
 * ```
 */
export async function readBody(request: IncomingMessage, limits: BodyLimits): Promise<Either.Either<Problem, Buffer>> {
	const declaredLength = Number(request.headers['content-length'] ?? 0);
	if (declaredLength > limits.bodyBytes) {
		return Either.left(createProblem('bodyTooLarge', `At most ${limits.bodyBytes} bytes.`));
	}

	return new Promise(resolve => {
		const body = new ByteCollector();
		const timer = setTimeout(() => {
			finish(Either.left(createProblem('requestTimeout')));
		}, limits.bodyTimeoutMs);
		const finish = (result: Either.Either<Problem, Buffer>) => {
			clearTimeout(timer);
			request.off('data', onData);
			resolve(result);
		};

		const onData = (chunk: Buffer) => {
			if (body.length + chunk.length > limits.bodyBytes) {
				finish(Either.left(createProblem('bodyTooLarge', `At most ${limits.bodyBytes} bytes.`)));
				return;
			}

			body.append(chunk);
		};

		request.on('data', onData);
		request.once('end', () => {
			finish(Either.right(body.view()));
		});
		request.once('error', () => {
			finish(Either.left(createProblem('badRequest', 'The body broke off.')));
		});
		request.once('close', () => {
			finish(Either.left(createProblem('badRequest', 'The body broke off.')));
		});
	});
}

/**
 * Parses a JSON object.
 *
 * @example
 * ```ts
 * parseJson(Buffer.from('{"a": 1}')); // Either.right({a: 1})
 * ```
 */
export function parseJson(body: Buffer): Either.Either<Problem, Record<string, unknown>> {
	const parsed = Either.tryCatch((): unknown => JSON.parse(body.toString('utf8')), () => createProblem('badRequest', 'The body is not JSON.'));
	if (Either.isLeft(parsed)) {
		return parsed;
	}

	const value = parsed.right;
	return typeof value === 'object' && value !== null && !Array.isArray(value)
		? Either.right(value as Record<string, unknown>)
		: Either.left(createProblem('badRequest', 'The body is not a JSON object.'));
}

/**
 * Sends a JSON response, unless a response was sent already.
 *
 * @example
 * ```ts
 * sendJson(exchange, 200, {ok: true});
 * ```
 */
export function sendJson(exchange: Exchange, status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): void {
	const body = JSON.stringify(value);
	if (exchange.response.headersSent || exchange.response.destroyed) {
		return;
	}

	exchange.response.writeHead(status, {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(body),
		'x-request-id': exchange.id,
		...headers,
	});
	exchange.response.end(body);
}

/**
 * Sends an error: its code and outcome in headers, and a body in the format of OpenAI's API.
 *
 * @example
 * ```ts
 * sendProblem(exchange, createProblem('noQuorum', undefined, 1));
 * ```
 */
export function sendProblem(exchange: Exchange, problem: Problem): void {
	const headers: Record<string, string> = {
		'carawayhoist-code': String(problem.code),
		'carawayhoist-outcome': problem.outcome,
	};
	if (problem.retryAfterSeconds !== undefined) {
		headers['retry-after'] = String(problem.retryAfterSeconds);
	}

	// The unread rest of the body must not be parsed as the next request.
	if (!exchange.request.complete) {
		headers.connection = 'close';
	}

	sendJson(exchange, problem.status, createErrorBody(problem), headers);
	if (!exchange.request.complete) {
		exchange.request.resume();
	}
}

/**
 * Creates the body of an error response.
 *
 * @example
 * ```ts
 * createErrorBody(createProblem('poisoned')).error.code; // 3003
 * ```
 */
export function createErrorBody(problem: Problem) {
	return {
		error: {
			message: problem.text,
			type: problem.status >= 500 ? 'server_error' : 'invalid_request_error',
			param: null,
			code: problem.code,
			name: problem.name,
			outcome: problem.outcome,
		},
	};
}

/**
 * Returns the value of a header; the first one if it is repeated.
 *
 * @example
 * ```ts
 * readHeader(request, 'idempotency-key');
 * ```
 */
export function readHeader(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name.toLowerCase()];
	return Array.isArray(value) ? value[0] : value;
}
