/**
 * Buffers that are used again.
 *
 * @module
 */
import {Buffer} from 'node:buffer';

/** Smaller buffers are collected by the garbage collector. */
const MIN_POOLED_BYTES = 64 * 1024;

/**
 * Keeps buffers that are no longer needed for those who need some next. The garbage collector frees large buffers only after some
 * 64 MB of them have been dropped, which is a third of the memory of the smallest machines.
 *
 * @example
 * ```ts
 * const pool = new BufferPool(16e6);
 * const buffer = pool.take(100_000); // 131_072 bytes
 * pool.give(buffer);
 * ```
 */
export class BufferPool {
	readonly #maxBytes: number;
	readonly #buffers = new Map<number, Buffer[]>();
	#pooledBytes = 0;

	constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	/** Returns the size of the buffer that `take` returns. */
	getSize(bytes: number): number {
		return bytes < MIN_POOLED_BYTES ? bytes : 2 ** Math.ceil(Math.log2(bytes));
	}

	/** Returns a buffer with at least a number of bytes, which may hold any content. */
	take(bytes: number): Buffer {
		const size = this.getSize(bytes);
		const pooled = this.#buffers.get(size)?.pop();
		if (!pooled) {
			return Buffer.allocUnsafeSlow(size);
		}

		this.#pooledBytes -= size;
		return pooled;
	}

	/** Takes a buffer back that nobody else refers to. */
	give(buffer: Buffer): void {
		const size = buffer.length;
		if (size < MIN_POOLED_BYTES || this.getSize(size) !== size || this.#pooledBytes + size > this.#maxBytes) {
			return;
		}

		this.#pooledBytes += size;
		const buffers = this.#buffers.get(size) ?? [];
		buffers.push(buffer);
		this.#buffers.set(size, buffers);
	}
}
