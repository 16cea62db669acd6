/**
 * Bounded memory for responses that are kept until they are complete.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import {BufferPool} from '../base/bufferpool.js';
import {ByteCollector} from '../base/bytes.js';
import type {Caller, ResponseStore} from './caller.js';

/** Default limit of one response. Larger ones are streamed, and a server that sends more is more likely broken. */
export const DEFAULT_MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
/** Limit of all buffered responses of a host: a third of the memory of the smallest entry hosts. */
export const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;

/** Buffers that are kept for further responses. */
const POOL_SHARE = 1 / 4;
/** Time without progress after which a client counts as one that does not read, milliseconds; only if others need the memory. */
const STALL_MS = 250;

/** A response that its client has not read. */
type UnreadResponse = {
	readonly caller: Pick<Caller, 'writeProgress' | 'onClose' | 'cut'>;
	readonly bytes: number;
};

/** The memory for the buffered responses of one host. */
export class ResponseMemory implements ResponseStore {
	readonly #maxResponseBytes: number;
	readonly #maxTotalBytes: number;
	readonly #onCut: () => void;
	/** Calls whose response has been sent and whose clients have not read it. */
	readonly #unread = new Set<UnreadResponse>();
	/** The buffers that a response has outgrown. */
	readonly #pool: BufferPool;
	#usedBytes = 0;

	/** @param onCut - Called when a response is cut because its client does not read it. */
	constructor(maxResponseBytes = DEFAULT_MAX_RESPONSE_BYTES, maxTotalBytes = MAX_BUFFERED_BYTES, onCut: () => void = () => undefined) {
		this.#maxResponseBytes = maxResponseBytes;
		this.#maxTotalBytes = maxTotalBytes;
		this.#onCut = onCut;
		this.#pool = new BufferPool(maxTotalBytes * POOL_SHARE);
	}

	/** Limit of one response, bytes. */
	get maxResponseBytes(): number {
		return this.#maxResponseBytes;
	}

	/** Memory in use, bytes. */
	get usedBytes(): number {
		return this.#usedBytes;
	}

	/**
	 * Counts a response that has been sent until its client has read it. If there is no memory for further responses, the one is cut
	 * whose client has read nothing for the longest time.
	 */
	keepUnread(caller: UnreadResponse['caller'], body: Buffer): void {
		if (caller.writeProgress === undefined) {
			return;
		}

		const unread = {caller, bytes: body.buffer.byteLength};
		this.#unread.add(unread);
		this.#usedBytes += unread.bytes;
		caller.onClose(() => {
			this.#forget(unread);
		});
	}

	/** Creates the buffer of one response. Its creator must release it. */
	createBuffer(): ResponseBuffer {
		const collector = new ByteCollector(this.#pool);
		return {
			append: chunk => {
				const addedBytes = collector.getCapacityWith(chunk.length) - collector.capacity;
				if (collector.length + chunk.length > this.#maxResponseBytes) {
					return false;
				}

				while (this.#usedBytes + addedBytes > this.#maxTotalBytes) {
					if (!this.#cutSlowest()) {
						return false;
					}
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

	#cutSlowest(): boolean {
		let slowest: UnreadResponse | undefined;
		for (const unread of this.#unread) {
			if (performance.now() - getMovedMs(unread) > STALL_MS && (!slowest || getMovedMs(unread) < getMovedMs(slowest))) {
				slowest = unread;
			}
		}

		if (!slowest) {
			return false;
		}

		this.#forget(slowest);
		this.#onCut();
		slowest.caller.cut();
		return true;
	}

	#forget(unread: UnreadResponse): void {
		if (this.#unread.delete(unread)) {
			this.#usedBytes -= unread.bytes;
		}
	}
}

function getMovedMs({caller}: UnreadResponse): number {
	return caller.writeProgress?.movedMs ?? 0;
}

/** The bytes of one response. */
export type ResponseBuffer = {
	/** Adds bytes; returns false if a limit would be exceeded, and keeps what was added before. */
	append(chunk: Buffer): boolean;
	read(): Buffer;
	/** Drops the bytes. Further calls have no effect. */
	release(): void;
};
