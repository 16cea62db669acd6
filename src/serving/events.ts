/**
 * Splits a stream into whole events, so that another server can go on after any of them.
 *
 * @module
 */
import {Buffer} from 'node:buffer';

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/** Collects bytes and hands out whole events. */
export class EventSplitter {
	#rest: Buffer = Buffer.alloc(0);
	#lastId: string | undefined;

	/** Identity of the last whole event that was handed out. */
	get lastEventId(): string | undefined {
		return this.#lastId;
	}

	/**
	 * Adds bytes and returns the events that became whole.
	 *
	 * @example
	 * ```ts
	 * splitter.add(Buffer.from('id: 3\ndata: a\n\nid: 4')); // 'id: 3\ndata: a\n\n'
	 * ```
	 */
	push(chunk: Buffer): Buffer {
		const bytes = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
		const end = findLastBoundary(bytes);
		this.#rest = bytes.subarray(end);
		const whole = bytes.subarray(0, end);
		this.#noteIds(whole);
		return whole;
	}

	/** Takes out the part of an event that has come so far. */
	takeIncomplete(): Buffer {
		const rest = this.#rest;
		this.#rest = Buffer.alloc(0);
		return rest;
	}

	#noteIds(whole: Buffer): void {
		if (whole.length === 0) {
			return;
		}

		for (const [, id] of whole.toString('latin1').matchAll(/^id: ?([^\r\n]*)/gmv)) {
			this.#lastId = id;
		}
	}
}

/** Offset behind the last blank line; 0 without one. */
function findLastBoundary(bytes: Buffer): number {
	for (let index = bytes.length - 1; index > 0; index--) {
		if (bytes[index] !== LINE_FEED) {
			continue;
		}

		const before = bytes[index - 1];
		if (before === LINE_FEED || (before === CARRIAGE_RETURN && bytes[index - 2] === LINE_FEED)) {
			return index + 1;
		}
	}

	return 0;
}
