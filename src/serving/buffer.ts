/**
 * Bounded memory for responses that are kept until they are complete.
 *
 * @module
 */
import {Buffer} from 'node:buffer';

/** Default limit of one response. Larger ones are streamed, and a server that sends more is more likely broken. */
export const DEFAULT_MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
/** Limit of all buffered responses of a host: a third of the memory of the smallest entry hosts. */
export const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;

/** The memory for the buffered responses of one host. */
export class ResponseMemory {
	readonly #maxResponseBytes: number;
	readonly #maxTotalBytes: number;
	#usedBytes = 0;

	constructor(maxResponseBytes = DEFAULT_MAX_RESPONSE_BYTES, maxTotalBytes = MAX_BUFFERED_BYTES) {
		this.#maxResponseBytes = maxResponseBytes;
		this.#maxTotalBytes = maxTotalBytes;
	}

	/** Bytes that are buffered now. */
	get usedBytes(): number {
		return this.#usedBytes;
	}

	/** Creates the buffer of one response. Its creator must release it. */
	createBuffer(): ResponseBuffer {
		const chunks: Buffer[] = [];
		let size = 0;
		return {
			append: chunk => {
				if (size + chunk.length > this.#maxResponseBytes || this.#usedBytes + chunk.length > this.#maxTotalBytes) {
					return false;
				}

				chunks.push(chunk);
				size += chunk.length;
				this.#usedBytes += chunk.length;
				return true;
			},
			read: () => Buffer.concat(chunks),
			release: () => {
				chunks.length = 0;
				this.#usedBytes -= size;
				size = 0;
			},
		};
	}
}

/** The bytes of one response. */
export type ResponseBuffer = {
	/** Adds bytes; returns false if a limit would be exceeded, and keeps what was added before. */
	append(chunk: Buffer): boolean;
	read(): Buffer;
	/** Drops the bytes. Further calls have no effect. */
	release(): void;
};
