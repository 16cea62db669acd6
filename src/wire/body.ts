/**
 * Reads request bodies within the memory that a process has for its clients.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import * as Either from 'fp-ts/lib/Either.js';
import type {BufferPool} from '../base/bufferpool.js';
import {ByteCollector} from '../base/bytes.js';
import {createProblem, type Problem} from '../base/problem.js';
import {SMALL_BYTES, type MemoryShare} from './clientmemory.js';
import {PausableRequest} from './pausable.js';
import type {TurnTaker} from './turns.js';

export type BodyOptions = {
	readonly maxBytes: number;
	/** Time without any byte after which the body is refused, milliseconds. */
	readonly stallMs: number;
	/** Time after which a body is refused that is not complete, milliseconds. */
	readonly maxMs: number;
	readonly share: MemoryShare;
	readonly turn: TurnTaker;
	readonly pool: BufferPool;
	readonly nowMs: () => number;
	/** Registers a handler for the end of the request, however it ends. */
	readonly onEnd: (handler: () => void) => void;
};

/** First reservation of a body of unknown length; most bodies are smaller. */
const FIRST_BYTES = 16 * 1024;
/** Bytes behind the limit that are read and dropped, so that a client that sends slightly too much before it reads gets the response. */
const DROPPED_BYTES = 256 * 1024;
/** What a request takes beside its body. */
const REQUEST_BYTES = 4096;

/** The connection of a request is held as long as there is a reason for it. */
class Holds {
	readonly #request: IncomingMessage;
	readonly #reasons = new Set<string>();

	constructor(request: IncomingMessage) {
		this.#request = request;
	}

	get isHeld(): boolean {
		return this.#reasons.size > 0;
	}

	add(reason: string): void {
		this.#reasons.add(reason);
		if (this.#request instanceof PausableRequest) {
			this.#request.hold();
		}
	}

	remove(reason: string): void {
		if (this.#reasons.delete(reason) && !this.isHeld && this.#request instanceof PausableRequest) {
			this.#request.unhold();
		}
	}
}

/**
 * Reads a whole body; null without a body, undefined if the request has ended before.
 *
 * A body that is declared or found to be too long is refused at once. Beyond 64 KiB, all the memory that the body may need is reserved
 * before more of it is read; until then, and between reads of many small pieces, its connection is not read.
 *
 * @example
 * ```ts
 * const body = await readBody(request, {maxBytes, stallMs, maxMs, share, turn, nowMs, onEnd});
 * ```
 */
export async function readBody(request: IncomingMessage, options: BodyOptions): Promise<Either.Either<Problem, Buffer | null> | undefined> {
	const {'content-length': declared, 'transfer-encoding': encoding} = request.headers;
	if (declared === undefined && encoding === undefined) {
		return Either.right(null);
	}

	const {maxBytes} = options;
	const length = encoding === undefined ? Number(declared) : undefined;
	if (length !== undefined && length > maxBytes) {
		if (request instanceof PausableRequest) {
			request.hold();
		}

		return Either.left(createProblem('bodyTooLarge', `${maxBytes} bytes at most.`));
	}

	return new Promise(resolve => {
		new BodyReader(request, options, length ?? maxBytes, resolve).start(length ?? FIRST_BYTES);
	});
}

/** Reads and drops the rest of a body that has been refused, up to a bound, and then reads no more. */
function dropBody(request: IncomingMessage, turn: TurnTaker): void {
	const holds = new Holds(request);
	let droppedBytes = 0;
	request.removeAllListeners('data');
	request.on('data', (piece: Buffer) => {
		droppedBytes += piece.length;
		if (droppedBytes > DROPPED_BYTES) {
			holds.add('refused');
		} else if (turn.count(piece.length, () => {
			holds.remove('turn');
		})) {
			holds.add('turn');
		}
	});
}

type Result = Either.Either<Problem, Buffer | null> | undefined;

class BodyReader {
	readonly #request: IncomingMessage;
	readonly #options: BodyOptions;
	/** Length of the body, or the limit if that is unknown. */
	readonly #fullBytes: number;
	readonly #resolve: (result: Result) => void;
	readonly #body: ByteCollector;
	readonly #holds: Holds;
	readonly #startedMs: number;
	#movedMs: number;
	#reservedBytes = 0;
	#timer: NodeJS.Timeout | undefined;
	#isSettled = false;

	constructor(request: IncomingMessage, options: BodyOptions, fullBytes: number, resolve: (result: Result) => void) {
		this.#request = request;
		this.#options = options;
		this.#fullBytes = fullBytes;
		this.#resolve = resolve;
		this.#body = new ByteCollector(options.pool);
		this.#holds = new Holds(request);
		this.#startedMs = options.nowMs();
		this.#movedMs = this.#startedMs;
	}

	start(firstBytes: number): void {
		const request = this.#request;
		this.#startTimer();
		this.#reserve(Math.min(firstBytes, SMALL_BYTES, this.#fullBytes));
		request.on('data', (piece: Buffer) => {
			this.#add(piece);
		});
		request.once('end', () => {
			this.#finish();
		});
		request.once('error', () => {
			this.#settle(undefined);
		});
		this.#options.onEnd(() => {
			this.#settle(undefined);
		});
	}

	#add(piece: Buffer): void {
		if (this.#isSettled) {
			return;
		}

		const {share, turn, nowMs, maxBytes} = this.#options;
		const neededBytes = this.#body.length + piece.length;
		if (neededBytes > maxBytes) {
			this.#refuse(createProblem('bodyTooLarge', `${maxBytes} bytes at most.`));
			return;
		}

		if (neededBytes > this.#reservedBytes && !share.isHeld) {
			this.#reserve(neededBytes <= SMALL_BYTES ? Math.min(SMALL_BYTES, this.#fullBytes) : this.#fullBytes);
		}

		// While the body waits for memory, what had been read from the connection before still arrives, 64 KiB at most.
		this.#body.append(piece);
		this.#movedMs = nowMs();
		share.recordProgress(piece.length, this.#movedMs);
		if (turn.count(piece.length, () => {
			this.#holds.remove('turn');
			share.restartWindow(nowMs());
		})) {
			this.#holds.add('turn');
		}
	}

	#reserve(bytes: number): void {
		const {share, nowMs} = this.#options;
		const use = () => {
			this.#reservedBytes = bytes;
			if (bytes > SMALL_BYTES) {
				this.#body.reserve(bytes);
			}
		};

		if (share.tryReserve(REQUEST_BYTES + bytes, nowMs())) {
			use();
			return;
		}

		this.#holds.add('memory');
		share.waitFor(REQUEST_BYTES + bytes, nowMs(), () => {
			use();
			this.#movedMs = nowMs();
			this.#holds.remove('memory');
		});
	}

	#finish(): void {
		if (this.#isSettled) {
			return;
		}

		const view = this.#body.view();
		// A body of unknown length has reserved as much as it might have needed.
		const isMuchLarger = this.#body.capacity > 2 * Math.max(view.length, FIRST_BYTES);
		const body = isMuchLarger ? Buffer.from(view) : view;
		const {share, nowMs} = this.#options;
		share.isArriving = false;
		share.shrink(REQUEST_BYTES + body.length, nowMs());
		if (isMuchLarger) {
			this.#body.recycle();
		}

		this.#settle(Either.right(body));
	}

	#startTimer(): void {
		const {stallMs, maxMs, nowMs} = this.#options;
		this.#timer = setTimeout(() => {
			const currentMs = nowMs();
			if (this.#holds.isHeld) {
				this.#movedMs = currentMs;
			}

			if (currentMs - this.#movedMs >= stallMs || currentMs - this.#startedMs >= maxMs) {
				this.#refuse(createProblem('requestTimeout'));
			} else {
				this.#startTimer();
			}
		}, Math.max(1, Math.min(this.#movedMs + stallMs, this.#startedMs + maxMs) - nowMs()));
	}

	#refuse(problem: Problem): void {
		dropBody(this.#request, this.#options.turn);
		this.#settle(Either.left(problem));
	}

	#settle(result: Result): void {
		if (!this.#isSettled) {
			this.#isSettled = true;
			clearTimeout(this.#timer);
			if (result === undefined || Either.isLeft(result)) {
				this.#body.recycle();
			}

			if (result === undefined) {
				this.#holds.add('ended');
			}

			this.#resolve(result);
		}
	}
}
