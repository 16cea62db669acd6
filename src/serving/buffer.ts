/**
 * Bounded memory for responses that are kept until they are complete.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import {ByteCollector} from '../base/bytes.js';

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

	/** Limit of one response, bytes. */
	get maxResponseBytes(): number {
		return this.#maxResponseBytes;
	}

	/** Memory in use, bytes. */
	get usedBytes(): number {
		return this.#usedBytes;
	}

	/** Creates the buffer of one response. Its creator must release it. */
	createBuffer(): ResponseBuffer {
		const collector = new ByteCollector();
		return {
			append: chunk => {
				const addedBytes = collector.getCapacityWith(chunk.length) - collector.capacity;
				if (collector.length + chunk.length > this.#maxResponseBytes || this.#usedBytes + addedBytes > this.#maxTotalBytes) {
					return false;
				}

				collector.append(chunk);
				this.#usedBytes += addedBytes;
				return true;
			},
			read: () => collector.view(),
			release: () => {
				this.#usedBytes -= collector.capacity;
				collector.clear();
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
