/**
 * The caller's side of one request: its body, its answer, and whether it is still there.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, OutgoingHttpHeaders, ServerResponse} from 'node:http';
import * as Either from 'fp-ts/lib/Either.js';
import {createProblem, type Problem} from '../base/problem.js';

export const CALL_OUTCOMES = {
	/** Answered whole. */
	answered: 'answered',
	/** Refused or failed with an answer of our own. */
	refused: 'refused',
	/** Broken off after the answer had begun. */
	broken: 'broken',
	/** The caller closed its connection. */
	gone: 'gone',
} as const;
export type CallOutcome = keyof typeof CALL_OUTCOMES;

export const FRAMINGS = {
	/** The end of the answer is marked. */
	closed: 'closed',
	/** The answer ends with its connection. */
	open: 'open',
} as const;
export type Framing = keyof typeof FRAMINGS;

/** One request of a caller; it ends exactly once. */
export class Caller {
	readonly request: IncomingMessage;
	readonly #response: ServerResponse;
	readonly #onEnd: Array<(end: CallOutcome) => void> = [];
	#end: CallOutcome | undefined;
	#problem: Problem | undefined;

	constructor(request: IncomingMessage, response: ServerResponse) {
		this.request = request;
		this.#response = response;
		response.once('close', () => {
			this.#finish(CALL_OUTCOMES.gone);
		});
	}

	get isEnded(): boolean {
		return this.#end !== undefined;
	}

	/** Whether the head of an answer has gone out. */
	get hasStartedResponse(): boolean {
		return this.#response.headersSent;
	}

	/** What the caller was told if the request failed. */
	get problem(): Problem | undefined {
		return this.#problem;
	}

	get status(): number {
		return this.#response.statusCode;
	}

	onEnd(handler: (end: CallOutcome) => void): void {
		this.#onEnd.push(handler);
	}

	/** Reads the whole body; undefined if the caller has left. */
	async readBody(maxBytes: number): Promise<Either.Either<Problem, Buffer | null> | undefined> {
		const {request} = this;
		const hasBody = request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined;
		if (!hasBody) {
			return Either.right(null);
		}

		return new Promise(resolve => {
			const chunks: Buffer[] = [];
			let size = 0;
			request.on('data', (chunk: Buffer) => {
				size += chunk.length;
				if (size > maxBytes) {
					request.removeAllListeners('data');
					resolve(Either.left(createProblem('bodyTooLarge', `${maxBytes} bytes at most.`)));
					return;
				}

				chunks.push(chunk);
			});
			request.once('end', () => {
				resolve(Either.right(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)));
			});
			request.once('error', () => {
				resolve(undefined);
			});
			this.onEnd(() => {
				resolve(undefined);
			});
		});
	}

	/**
	 * Answers whole.
	 *
	 * @param framing - An open answer ends with its connection, as it came: nobody can tell whether it is whole.
	 */
	respond(status: number, headers: OutgoingHttpHeaders, body: Buffer, framing: Framing = FRAMINGS.closed): void {
		if (this.isEnded) {
			return;
		}

		this.#open(framing);
		this.#response.writeHead(status, framing === FRAMINGS.open ? headers : {...headers, 'content-length': body.length});
		this.#response.end(body);
		this.#finish(CALL_OUTCOMES.answered);
	}

	/** Begins an answer that is passed on as it comes. */
	startResponse(status: number, headers: OutgoingHttpHeaders, framing: Framing = FRAMINGS.closed): void {
		if (!this.isEnded) {
			this.#open(framing);
			this.#response.writeHead(status, headers);
			this.#response.flushHeaders();
		}
	}

	/** Passes a piece on; false if the caller does not keep up, `onDrain` is called once it does. */
	write(chunk: Buffer, onDrain: () => void): boolean {
		if (this.isEnded || this.#response.write(chunk)) {
			return true;
		}

		this.#response.once('drain', onDrain);
		return false;
	}

	/** Ends an answer that was passed on whole. */
	endResponse(): void {
		if (!this.isEnded) {
			this.#response.end();
			this.#finish(CALL_OUTCOMES.answered);
		}
	}

	/** Ends the request with a problem; an answer that has begun is broken off so that it does not look whole. */
	fail(problem: Problem, headers: OutgoingHttpHeaders = {}): void {
		if (this.isEnded) {
			return;
		}

		this.#problem = problem;
		if (this.hasStartedResponse) {
			this.#response.destroy();
			this.#finish(CALL_OUTCOMES.broken);
			return;
		}

		const body = Buffer.from(JSON.stringify({error: {code: problem.code, name: problem.name, message: problem.text}}));
		const retryAfter = problem.retryAfterSeconds === undefined ? {} : {'retry-after': String(problem.retryAfterSeconds)};
		// Bytes of a body that was not read would be taken for the next request.
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
		this.#response.end(body);
		this.#finish(CALL_OUTCOMES.refused);
	}

	#open(framing: Framing): void {
		if (framing === FRAMINGS.open) {
			this.#response.useChunkedEncodingByDefault = false;
			this.#response.shouldKeepAlive = false;
		}
	}

	#finish(end: CallOutcome): void {
		if (this.isEnded) {
			return;
		}

		this.#end = end;
		for (const handler of this.#onEnd) {
			handler(end);
		}
	}
}
