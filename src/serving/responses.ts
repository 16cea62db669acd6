/**
 * Writes responses to clients that may not read them.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {PausableRequest} from '../wire/pausable.js';

/** How far a client has read a response. */
export type WriteProgress = {
	/** Bytes that have not been handed to the operating system. */
	unwrittenBytes: number;
	/** Monotonic time of the last piece that was handed over, milliseconds. */
	movedMs: number;
};

/** Large enough for a fast client, small enough to tell whether a slow one reads at all. */
const PIECE_BYTES = 64 * 1024;
/** Time for a client that is still sending to read a refusal, milliseconds. */
const LINGER_MS = 500;

/**
 * Writes a body and ends the response. The next piece is written once the one before has been handed to the operating system, which
 * shows whether the client reads. Returns undefined if there is only one piece.
 *
 * @example
 * ```ts
 * response.writeHead(200, {'content-length': body.length});
 * writeInPieces(response, body);
 * ```
 */
export function writeInPieces(response: ServerResponse, body: Buffer): WriteProgress | undefined {
	if (body.length <= PIECE_BYTES) {
		response.end(body);
		return undefined;
	}

	const progress = {unwrittenBytes: body.length, movedMs: performance.now()};
	const writeNext = () => {
		const start = body.length - progress.unwrittenBytes;
		const piece = body.subarray(start, start + PIECE_BYTES);
		if (piece.length === progress.unwrittenBytes) {
			response.end(piece);
			return;
		}

		response.write(piece, error => {
			if (!error) {
				progress.unwrittenBytes -= piece.length;
				progress.movedMs = performance.now();
				writeNext();
			}
		});
	};

	writeNext();
	return progress;
}

/**
 * Writes the body of a refusal, whose head has been written, and ends the response. A connection that is closed with unread bytes is
 * reset, and its client loses the response; one that is still sending therefore gets time to read it.
 *
 * @example
 * ```ts
 * response.writeHead(413, {'content-length': body.length, connection: 'close'});
 * endAfterLinger(response, body);
 * ```
 */
export function endAfterLinger(response: ServerResponse, body: Buffer): void {
	const {req: request} = response;
	if (request.complete) {
		response.end(body);
		return;
	}

	response.write(body);
	const end = () => {
		response.end();
	};

	const timer = setTimeout(end, LINGER_MS);
	if (request.listenerCount('data') === 0 && request instanceof PausableRequest) {
		request.hold();
	}

	request.once('end', end);
	response.once('close', () => {
		clearTimeout(timer);
		request.off('end', end);
	});
}
