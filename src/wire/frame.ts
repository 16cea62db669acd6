/**
 * Framing of messages on a TCP connection: a 4-byte big-endian length prefix, then a CBOR body.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {Encoder} from 'cbor-x';
import * as Either from 'fp-ts/lib/Either.js';
import {formatValidationErrors, validateMessage} from '../base/validate.js';
import {createProblem, type Problem} from '../base/problem.js';
import type {Message} from '../generated/types.js';

export const LENGTH_PREFIX_BYTES = 4;
export const MAX_FRAME_BYTES = 256 * 1024 * 1024;

// Decoded bytes are copied: a view of the received bytes would keep all of them in memory.
const codec = new Encoder({useRecords: false, tagUint8Array: false, copyBuffers: true});

/**
 * Encodes any value as CBOR. The result has memory of its own and may be kept: the encoder returns a view of a buffer that it shares
 * between many values.
 *
 * @example
 * ```ts
 * decodeCbor(encodeCbor({a: 1})); // {a: 1}
 * ```
 */
export function encodeCbor(value: unknown): Uint8Array {
	return new Uint8Array(codec.encode(value));
}

/**
 * Decodes a CBOR value. The result is not validated.
 *
 * @example
 * ```ts
 * decodeCbor(encodeCbor([1, 2])); // [1, 2]
 * ```
 */
export function decodeCbor(bytes: Uint8Array): unknown {
	return codec.decode(bytes);
}

/**
 * Encodes a message as one frame, including the length prefix.
 *
 * @example
 * ```ts
 * socket.write(encodeFrame({type: 'hello', id: 1}));
 * ```
 */
export function encodeFrame(message: Message): Uint8Array {
	const body = codec.encode(message);
	const frame = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES + body.length);
	frame.writeUInt32BE(body.length, 0);
	frame.set(body, LENGTH_PREFIX_BYTES);
	return frame;
}

/** Decodes the frames in a stream of bytes. */
export class FrameDecoder {
	#chunks: Uint8Array[] = [];
	#bufferedBytes = 0;

	/**
	 * Adds received bytes and returns the messages that are now complete. After an error the stream is out of sync, and the
	 * connection must be closed.
	 *
	 * @example
	 * ```ts
	 * const decoder = new FrameDecoder();
	 * decoder.push(encodeFrame({type: 'hello', id: 1})); // Either.right([{type: 'hello', id: 1}])
	 * ```
	 */
	push(bytes: Uint8Array): Either.Either<Problem, Message[]> {
		this.#chunks.push(bytes);
		this.#bufferedBytes += bytes.length;
		const messages: Message[] = [];
		for (;;) {
			const bodyLength = this.#readBodyLength();
			if (bodyLength === undefined) {
				return Either.right(messages);
			}

			if (bodyLength > MAX_FRAME_BYTES) {
				return Either.left(createProblem('badRequest', `Frame of ${bodyLength} bytes.`));
			}

			if (this.#bufferedBytes < bodyLength + LENGTH_PREFIX_BYTES) {
				return Either.right(messages);
			}

			const message = decodeMessage(this.#consume(bodyLength + LENGTH_PREFIX_BYTES).subarray(LENGTH_PREFIX_BYTES));
			if (Either.isLeft(message)) {
				return message;
			}

			messages.push(message.right);
		}
	}

	#readBodyLength(): number | undefined {
		if (this.#bufferedBytes < LENGTH_PREFIX_BYTES) {
			return undefined;
		}

		if (this.#chunks[0]!.length < LENGTH_PREFIX_BYTES) {
			this.#chunks = [Buffer.concat(this.#chunks)];
		}

		const first = this.#chunks[0]!;
		return new DataView(first.buffer, first.byteOffset, LENGTH_PREFIX_BYTES).getUint32(0);
	}

	#consume(size: number): Uint8Array {
		const buffered = this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks);
		const rest = buffered.subarray(size);
		this.#chunks = rest.length > 0 ? [rest] : [];
		this.#bufferedBytes = rest.length;
		return buffered.subarray(0, size);
	}
}

function decodeMessage(bytes: Uint8Array): Either.Either<Problem, Message> {
	const decoded = Either.tryCatch(() => decodeCbor(bytes), () => createProblem('badRequest', 'Not CBOR.'));
	if (Either.isLeft(decoded)) {
		return decoded;
	}

	const checked = validateMessage(decoded.right);
	return Either.isLeft(checked) ? Either.left(createProblem('badRequest', formatValidationErrors(checked.left))) : checked;
}
