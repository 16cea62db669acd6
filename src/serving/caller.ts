/**
 * The caller's side of one request: reads the body, writes the response, and reports how the request ended.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, OutgoingHttpHeaders, ServerResponse} from 'node:http';
import {createProblem, type Problem} from '../base/problem.js';
import type {ResponseBuffer} from './buffer.js';
import {FRAMINGS, type Framing} from './protocol.js';
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

/** Statuses of responses that have no body. */
const BODILESS_STATUSES = new Set([204, 304]);

/** The memory for responses that a host keeps whole. */
export type ResponseStore = {
	createBuffer(): ResponseBuffer;
	/** Counts a response that has been sent until its client has read it. */
	keepUnread(caller: Caller, body: Buffer): void;
};

/** A streamed response that is kept until it is complete. */
type HeldResponse = {
	readonly headers: OutgoingHttpHeaders;
	readonly framing: Framing;
	readonly buffer: ResponseBuffer;
};

/** One request of a caller and the response to it. It ends exactly once. */
export class Caller {
	readonly request: IncomingMessage;
	readonly #response: ServerResponse;
	readonly #store: ResponseStore;
	readonly #endHandlers: Array<(outcome: CallOutcome) => void> = [];
	#outcome: CallOutcome | undefined;
	#problem: Problem | undefined;
	#hasStartedResponse = false;
	/** The response to a client that cannot read chunks, and to which only a length can tell that a response is complete. */
	#held: HeldResponse | undefined;
	#writeProgress: WriteProgress | undefined;

	constructor(request: IncomingMessage, response: ServerResponse, store: ResponseStore) {
		this.request = request;
		this.#response = response;
		this.#store = store;
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

	/** Whether there is a head of a response, which may be held back until the response is complete. */
	get hasStartedResponse(): boolean {
		return this.#hasStartedResponse;
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
		this.#response.destroy();
		this.request.socket.destroy();
	}

	/** Registers a handler that is called once the request has ended. */
	onEnd(handler: (outcome: CallOutcome) => void): void {
		this.#endHandlers.push(handler);
	}

	/**
	 * Sends a complete response, with its length.
	 *
	 * @param framing - With `open`, the connection ends with the response, like that of the server.
	 */
	respond(status: number, headers: OutgoingHttpHeaders, body: Buffer, framing: Framing = FRAMINGS.closed): void {
		if (this.isEnded) {
			return;
		}

		this.#hasStartedResponse = true;
		this.#applyFraming(framing);
		const isBodiless = this.request.method === 'HEAD' || BODILESS_STATUSES.has(status);
		this.#response.writeHead(status, isBodiless ? headers : {...headers, 'content-length': body.length});
		this.#writeProgress = writeInPieces(this.#response, body);
		this.#end(CALL_OUTCOMES.answered);
		this.#store.keepUnread(this, body);
	}

	/**
	 * Sends the head of a response that is streamed. The body is sent in chunks, whose last one tells that it is complete: the operating
	 * system closes the connections of a process that ends in the same way as that of a response without a length. A client that cannot
	 * read chunks gets the response with its length once it is complete.
	 *
	 * @param framing - With `open`, the connection ends with the response, like that of the server.
	 */
	startResponse(status: number, headers: OutgoingHttpHeaders, framing: Framing = FRAMINGS.closed): void {
		if (this.isEnded) {
			return;
		}

		this.#hasStartedResponse = true;
		if (this.#response.useChunkedEncodingByDefault) {
			this.#applyFraming(framing);
			this.#response.writeHead(status, headers);
			this.#response.flushHeaders();
			return;
		}

		const buffer = this.#store.createBuffer();
		this.#response.statusCode = status;
		this.#held = {headers, framing, buffer};
		this.onEnd(() => {
			buffer.release();
		});
	}

	/** Writes a chunk. Returns false if the send buffer is full; `onDrain` is called once it has drained. */
	write(chunk: Buffer, onDrain: () => void): boolean {
		if (this.isEnded) {
			return true;
		}

		if (this.#held) {
			if (!this.#held.buffer.append(chunk)) {
				this.fail(createProblem('serverFailed', 'The response is too large for a client that cannot read chunks.'));
			}

			return true;
		}

		if (this.#response.write(chunk)) {
			return true;
		}

		this.#response.once('drain', onDrain);
		return false;
	}

	/** Ends a streamed response that is complete. */
	endResponse(): void {
		if (this.isEnded) {
			return;
		}

		if (this.#held) {
			this.respond(this.#response.statusCode, this.#held.headers, this.#held.buffer.read(), this.#held.framing);
			return;
		}

		this.#response.end();
		this.#end(CALL_OUTCOMES.answered);
	}

	/**
	 * Ends the request with an error response. If a head has been sent, closes the connection so that the response cannot look
	 * complete.
	 */
	fail(problem: Problem, headers: OutgoingHttpHeaders = {}): void {
		if (this.isEnded) {
			return;
		}

		this.#problem = problem;
		if (this.#response.headersSent) {
			this.#response.destroy();
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

	/** Ends the connection with the response if that of the server ended with it: its caller may read on until then. */
	#applyFraming(framing: Framing): void {
		if (framing === FRAMINGS.open) {
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
