/**
 * The caller's side of one request: reads the body, writes the response, and reports how the request ended.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, OutgoingHttpHeaders, ServerResponse} from 'node:http';
import * as Either from 'fp-ts/lib/Either.js';
import type {Problem} from '../base/problem.js';
import {endAfterLinger, writeInPieces, type WriteProgress} from './responses.js';

/** How a caller's request ended. */
export const CALL_OUTCOMES = {
	/** A complete response was sent. */
	answered: 'answered',
	/** An error response of this system was sent. */
	refused: 'refused',
	/** The connection was closed after the response had started. */
	broken: 'broken',
	/** The caller closed its connection. */
	gone: 'gone',
} as const;
export type CallOutcome = keyof typeof CALL_OUTCOMES;

/** How the end of a response body is marked. */
export const FRAMINGS = {
	/** By a content length or chunked encoding. */
	closed: 'closed',
	/** By closing the connection. */
	open: 'open',
} as const;
export type Framing = keyof typeof FRAMINGS;

/** One request of a caller and the response to it. It ends exactly once. */
export class Caller {
	readonly request: IncomingMessage;
	readonly #response: ServerResponse;
	readonly #endHandlers: Array<(outcome: CallOutcome) => void> = [];
	#outcome: CallOutcome | undefined;
	#problem: Problem | undefined;
	#framing: Framing = FRAMINGS.closed;
	#writeProgress: WriteProgress | undefined;

	constructor(request: IncomingMessage, response: ServerResponse) {
		this.request = request;
		this.#response = response;
		const handleClose = () => {
			this.#end(CALL_OUTCOMES.gone);
		};

		response.once('close', handleClose);
		// Node does not report the end of a response that waits for an earlier one on its connection.
		request.socket.once('close', handleClose);
		this.onEnd(() => {
			request.socket.off('close', handleClose);
		});
	}

	get isEnded(): boolean {
		return this.#outcome !== undefined;
	}

	/** Whether the head of a response has been sent. */
	get hasStartedResponse(): boolean {
		return this.#response.headersSent;
	}

	/** The problem that was reported to the caller if the request failed. */
	get problem(): Problem | undefined {
		return this.#problem;
	}

	get status(): number {
		return this.#response.statusCode;
	}

	/** How far the client has read a complete response; undefined before there is one, or if it is small. */
	get writeProgress(): WriteProgress | undefined {
		return this.#writeProgress;
	}

	/** Registers a handler that is called once the response has been handed to the operating system, or the connection has closed. */
	onClose(handler: () => void): void {
		if (this.#response.closed || this.#response.destroyed || this.request.socket.destroyed) {
			handler();
			return;
		}

		let isClosed = false;
		const handleClose = () => {
			if (!isClosed) {
				isClosed = true;
				this.request.socket.off('close', handleClose);
				handler();
			}
		};

		this.#response.once('close', handleClose);
		this.request.socket.once('close', handleClose);
	}

	/** Closes the connection without ending the response, whose client does not read it. */
	cut(): void {
		this.#breakOff();
		this.request.socket.destroy();
	}

	/** Registers a handler that is called once the request has ended. */
	onEnd(handler: (outcome: CallOutcome) => void): void {
		this.#endHandlers.push(handler);
	}

	/**
	 * Sends a complete response.
	 *
	 * @param framing - With `open`, the response has no content length and closes the connection, like the server's
	 * response; nobody can tell whether it is complete.
	 */
	respond(status: number, headers: OutgoingHttpHeaders, body: Buffer, framing: Framing = FRAMINGS.closed): void {
		if (this.isEnded) {
			return;
		}

		this.#applyFraming(framing);
		this.#response.writeHead(status, framing === FRAMINGS.open ? headers : {...headers, 'content-length': body.length});
		this.#writeProgress = writeInPieces(this.#response, body);
		this.#end(CALL_OUTCOMES.answered);
	}

	/** Sends the head of a response that is streamed. */
	startResponse(status: number, headers: OutgoingHttpHeaders, framing: Framing = FRAMINGS.closed): void {
		if (!this.isEnded) {
			this.#applyFraming(framing);
			this.#response.writeHead(status, headers);
			this.#response.flushHeaders();
		}
	}

	/** Writes a chunk. Returns false if the send buffer is full; `onDrain` is called once it has drained. */
	write(chunk: Buffer, onDrain: () => void): boolean {
		if (this.isEnded || this.#response.write(chunk)) {
			return true;
		}

		this.#response.once('drain', onDrain);
		return false;
	}

	/** Ends a streamed response that is complete. */
	endResponse(): void {
		if (!this.isEnded) {
			this.#response.end();
			this.#end(CALL_OUTCOMES.answered);
		}
	}

	/**
	 * Ends the request with an error response. If a response has started, closes the connection so that it cannot look
	 * complete.
	 */
	fail(problem: Problem, headers: OutgoingHttpHeaders = {}): void {
		if (this.isEnded) {
			return;
		}

		this.#problem = problem;
		if (this.hasStartedResponse) {
			this.#breakOff();
			this.#end(CALL_OUTCOMES.broken);
			return;
		}

		const body = Buffer.from(JSON.stringify({error: {code: problem.code, name: problem.name, message: problem.text}}));
		const retryAfter = problem.retryAfterSeconds === undefined ? {} : {'retry-after': String(problem.retryAfterSeconds)};
		// An unread rest of the body would be parsed as the next request on this connection.
		const close = this.request.complete ? {} : {connection: 'close'};
		this.#response.writeHead(problem.status, {
			...headers,
			...retryAfter,
			...close,
			'content-type': 'application/json',
			'content-length': body.length,
			'carawayhoist-code': problem.code,
			'carawayhoist-outcome': problem.outcome,
		});
		endAfterLinger(this.#response, body);
		this.#end(CALL_OUTCOMES.refused);
	}

	/** Closes the connection. A response without a length would look complete, unless its connection is reset. */
	#breakOff(): void {
		if (this.#framing === FRAMINGS.open) {
			this.#response.socket?.resetAndDestroy();
		}

		this.#response.destroy();
	}

	#applyFraming(framing: Framing): void {
		this.#framing = framing;
		if (framing === FRAMINGS.open) {
			this.#response.useChunkedEncodingByDefault = false;
			this.#response.shouldKeepAlive = false;
		}
	}

	#end(outcome: CallOutcome): void {
		if (this.isEnded) {
			return;
		}

		this.#outcome = outcome;
		for (const handler of this.#endHandlers) {
			handler(outcome);
		}
	}
}
