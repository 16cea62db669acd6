/**
 * Collects bytes that arrive in pieces.
 *
 * @module
 */
import {Buffer} from 'node:buffer';

const EMPTY = Buffer.alloc(0);

/**
 * Collects bytes that arrive in pieces in one contiguous buffer. A list of short pieces would take many times the memory of
 * its bytes, and each piece would keep the buffer alive in which it was received.
 */
export class ByteCollector {
	#memory: Buffer = EMPTY;
	#length = 0;

	get length(): number {
		return this.#length;
	}

	/** Memory in use, bytes: at most twice the length. */
	get capacity(): number {
		return this.#memory.length;
	}

	/** Returns the capacity after a number of bytes is added. */
	getCapacityWith(bytes: number): number {
		const needed = this.#length + bytes;
		return needed <= this.#memory.length ? this.#memory.length : Math.max(needed, this.#memory.length * 2);
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
			const memory = Buffer.allocUnsafeSlow(capacity);
			this.#memory.copy(memory, 0, 0, this.#length);
			this.#memory = memory;
		}

		this.#memory.set(piece, this.#length);
		this.#length += piece.length;
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
}
