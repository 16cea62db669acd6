/**
 * Collects bytes that arrive in pieces.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {BufferPool} from './bufferpool.js';

const EMPTY = Buffer.alloc(0);

/**
 * Collects bytes that arrive in pieces in one contiguous buffer. A list of short pieces would take many times the memory of
 * its bytes, and each piece would keep the buffer alive in which it was received.
 */
export class ByteCollector {
	readonly #pool: BufferPool | undefined;
	#memory: Buffer = EMPTY;
	#length = 0;

	/** @param pool - Where large buffers come from, and are returned to unless a view of them exists. */
	constructor(pool?: BufferPool) {
		this.#pool = pool;
	}

	get length(): number {
		return this.#length;
	}

	/** Memory in use, bytes: at most twice the length, or what was reserved. */
	get capacity(): number {
		return this.#memory.length;
	}

	/** Returns the capacity after a number of bytes is added. */
	getCapacityWith(bytes: number): number {
		const needed = this.#length + bytes;
		if (needed <= this.#memory.length) {
			return this.#memory.length;
		}

		const capacity = Math.max(needed, this.#memory.length * 2);
		return this.#pool?.getSize(capacity) ?? capacity;
	}

	/**
	 * Adds a copy of a piece.
	 *
	 * @example
	 * ```ts
	 * const collector = new ByteCollector();
	 * collector.append(Buffer.from('ab'));
	 * collector.view().toString(); // 'ab'
	 * ```
	 */
	append(piece: Uint8Array): void {
		const capacity = this.getCapacityWith(piece.length);
		if (capacity !== this.#memory.length) {
			this.#grow(capacity);
		}

		this.#memory.set(piece, this.#length);
		this.#length += piece.length;
	}

	/** Makes room for a total number of bytes, so that adding up to that takes no further memory. */
	reserve(capacity: number): void {
		if (capacity > this.#memory.length) {
			this.#grow(capacity);
		}
	}

	/** Returns the collected bytes without a copy. Bytes that are added later are not part of it. */
	view(): Buffer {
		return this.#memory.subarray(0, this.#length);
	}

	/** Drops the bytes and their memory. Views stay valid. */
	clear(): void {
		this.#memory = EMPTY;
		this.#length = 0;
	}

	/** Drops the bytes. Views become invalid: the memory is used again. */
	recycle(): void {
		this.#pool?.give(this.#memory);
		this.clear();
	}

	#grow(capacity: number): void {
		const memory = this.#pool?.take(capacity) ?? Buffer.allocUnsafeSlow(capacity);
		this.#memory.copy(memory, 0, 0, this.#length);
		this.#pool?.give(this.#memory);
		this.#memory = memory;
	}
}
