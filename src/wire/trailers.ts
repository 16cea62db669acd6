/**
 * Estimates how much of a chunked body may be a trailer that has not ended, which the HTTP parser keeps as strings without telling anybody.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

/** Least bytes of a chunk beside its data: a digit and two line ends. */
const CHUNK_BYTES = 5;

/** The trailer of one request. */
export class TrailerEstimate {
	readonly #request: IncomingMessage;
	/** Bytes received from the connection up to the read before the latest one that contained data of the body. */
	#previousBytes: number;
	/** The same up to that latest read. */
	#readBytes: number;
	/** Data in that read, with its framing. */
	#dataBytes = 0;

	/**
	 * Counts the data of a body from now on; must be created before anything else reads it.
	 *
	 * @param startBytes - Bytes received from the connection up to the end of the head.
	 */
	constructor(request: IncomingMessage, startBytes: number) {
		this.#request = request;
		this.#previousBytes = startBytes;
		this.#readBytes = startBytes;
		request.on('data', (piece: Buffer) => {
			this.#record(piece.length);
		});
	}

	/** Bytes received that are neither data nor its least framing. A trailer comes after the last data. */
	get bytes(): number {
		return Math.max(0, this.#request.socket.bytesRead - this.#previousBytes - this.#dataBytes);
	}

	#record(length: number): void {
		const {bytesRead} = this.#request.socket;
		if (bytesRead !== this.#readBytes) {
			this.#previousBytes = this.#readBytes;
			this.#readBytes = bytesRead;
			this.#dataBytes = 0;
		}

		this.#dataBytes += length + CHUNK_BYTES;
	}
}
