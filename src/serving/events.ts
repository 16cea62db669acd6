/**
 * Splits a stream of server-sent events at event boundaries, so that another server can resume it after any event.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {ByteCollector} from '../base/bytes.js';
import {FRAMINGS, type ResponseHead} from './protocol.js';

const HTTP_OK = 200;
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
/** Bytes of a boundary before its last one. */
const MAX_BOUNDARY_BYTES = 2;
const EVENT_FIELD = /^(?:data|event|id):/mv;

/** Buffers the bytes of a stream and returns complete events. */
export class EventSplitter {
	readonly #incomplete = new ByteCollector();
	/** Bytes of comments and blank lines since the last event. */
	#idleBytes = 0;
	#lastId: string | undefined;
	/** ID after which the next event must come; undefined if any event may come. */
	#previousId: string | undefined;
	#isOutOfOrder = false;
	#hasEvents = false;

	/** ID of the last complete event that was returned. */
	get lastEventId(): string | undefined {
		return this.#lastId;
	}

	/** Whether any event has come from the current server. */
	get hasEvents(): boolean {
		return this.#hasEvents;
	}

	/** Whether the current server does not go on after the last event of the server before it. Its events are not returned. */
	get isOutOfOrder(): boolean {
		return this.#isOutOfOrder;
	}

	/** Removes an incomplete event. The events of the next server must go on after the last one that was returned. */
	startNextServer(): void {
		this.#incomplete.clear();
		this.#idleBytes = 0;
		this.#previousId = this.#lastId;
		this.#isOutOfOrder = false;
		this.#hasEvents = false;
	}

	/**
	 * Appends bytes and returns the events that they complete.
	 *
	 * @example
	 * ```ts
	 * splitter.push(Buffer.from('id: 3\ndata: a\n\nid: 4')); // 'id: 3\ndata: a\n\n'
	 * ```
	 */
	push(chunk: Buffer): Buffer {
		const whole = this.#takeWhole(chunk);
		this.#checkOrder(whole);
		if (this.#isOutOfOrder) {
			return Buffer.alloc(0);
		}

		this.#noteIds(whole);
		return whole;
	}

	/** Bytes received since the last event: comments, blank lines and the incomplete event that is buffered. */
	get bytesSinceEvent(): number {
		return this.#idleBytes + this.#incomplete.length;
	}

	/** Bytes of the incomplete event that are buffered. */
	get incompleteBytes(): number {
		return this.#incomplete.length;
	}

	/** Removes and returns the buffered bytes of an incomplete event. */
	takeIncomplete(): Buffer {
		const incomplete = this.#incomplete.view();
		this.#incomplete.clear();
		return incomplete;
	}

	/** Returns the bytes up to the last event boundary and keeps the rest. Only the new bytes are searched. */
	#takeWhole(chunk: Buffer): Buffer {
		const tail = this.#incomplete.view().subarray(-MAX_BOUNDARY_BYTES);
		const end = findLastBoundary(tail.length === 0 ? chunk : Buffer.concat([tail, chunk])) - tail.length;
		if (end <= 0) {
			this.#incomplete.append(chunk);
			return Buffer.alloc(0);
		}

		const completing = chunk.subarray(0, end);
		const whole = this.#incomplete.length === 0 ? completing : Buffer.concat([this.#incomplete.view(), completing]);
		this.#incomplete.clear();
		this.#incomplete.append(chunk.subarray(end));
		return whole;
	}

	/** Checks the first event of a server. Comments, which keep a connection open, are no events. */
	#checkOrder(whole: Buffer): void {
		if (this.#hasEvents || whole.length === 0) {
			return;
		}

		const first = findFirstEvent(whole.toString('latin1'));
		if (first === undefined) {
			return;
		}

		this.#hasEvents = true;
		const id = /^id: ?([^\r\n]*)/mv.exec(first)?.[1];
		this.#isOutOfOrder = this.#previousId !== undefined && !(id !== undefined && isAfter(id, this.#previousId));
	}

	#noteIds(whole: Buffer): void {
		if (whole.length === 0) {
			return;
		}

		const text = whole.toString('latin1');
		this.#idleBytes = EVENT_FIELD.test(text) ? 0 : this.#idleBytes + whole.length;
		for (const [, id] of text.matchAll(/^id: ?([^\r\n]*)/gmv)) {
			this.#lastId = id;
		}
	}
}

/**
 * Whether a response is a stream of events whose end is marked only by the end of its connection. If it ends inside an
 * event, it was broken off.
 *
 * @example
 * ```ts
 * isUnframedStream(head) && splitter.takeIncomplete().length > 0; // the server broke it off
 * ```
 */
export function isUnframedStream(head: ResponseHead): boolean {
	return head.framing === FRAMINGS.open && isEventStream(head);
}

/**
 * Whether a response is a stream of events.
 *
 * @example
 * ```ts
 * isEventStream(head); // false for an error page with status 200
 * ```
 */
export function isEventStream({status, headers}: ResponseHead): boolean {
	return status === HTTP_OK && (headers['content-type'] ?? '').startsWith('text/event-stream');
}

/**
 * Whether the bytes of a stream end inside an event.
 *
 * @example
 * ```ts
 * endsInsideEvent(Buffer.from('id: 3\ndata: a\n\nid: 4')); // true
 * ```
 */
export function endsInsideEvent(bytes: Buffer): boolean {
	return findLastBoundary(bytes) < bytes.length;
}

/** Finds the text of the first event, from its first field on; undefined if there are only comments and blank lines. */
function findFirstEvent(text: string): string | undefined {
	const field = EVENT_FIELD.exec(text);
	if (!field) {
		return undefined;
	}

	const rest = text.slice(field.index);
	const end = /\r?\n\r?\n/v.exec(rest);
	return end ? rest.slice(0, end.index) : rest;
}

/** Finds the offset after the last blank line; 0 without one. */
function findLastBoundary(bytes: Buffer): number {
	for (let index = bytes.lastIndexOf(LINE_FEED); index > 0; index = bytes.lastIndexOf(LINE_FEED, index - 1)) {
		const before = bytes[index - 1];
		if (before === LINE_FEED || (before === CARRIAGE_RETURN && bytes[index - 2] === LINE_FEED)) {
			return index + 1;
		}
	}

	return 0;
}

/** Whether an event ID comes after another one. IDs that are no numbers have no known order, so they only must differ. */
function isAfter(id: string, previous: string): boolean {
	const [next, last] = [Number(id), Number(previous)];
	return Number.isNaN(next) || Number.isNaN(last) ? id !== previous : next > last;
}
