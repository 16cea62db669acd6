/**
 * Frames on a TCP connection between the system's processes: four bytes of length, then CBOR.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {Encoder} from 'cbor-x';
import * as Either from 'fp-ts/lib/Either.js';
import {validate, formatValidationErrors} from '../base/validate.js';
import {createProblem, type Problem} from '../base/problem.js';
import type {Message} from '../generated/types.js';

export const LENGTH_PREFIX_BYTES = 4;
export const MAX_FRAME_BYTES = 256 * 1024 * 1024;

const codec = new Encoder({useRecords: false, tagUint8Array: false});

/**
 * Encodes any value as CBOR.
 *
 * @example
 * ```ts
 * decodeValue(encodeValue({a: 1})); // {a: 1}
 * ```
 */
export function encodeCbor(value: unknown): Uint8Array {
	return codec.encode(value);
}

/**
 * Decodes a CBOR value; the caller vouches for its shape.
 *
 * @example
 * ```ts
 * decodeValue(encodeValue([1, 2])); // [1, 2]
 * ```
 */
export function decodeCbor(bytes: Uint8Array): unknown {
	return codec.decode(bytes);
}

/**
 * Encodes a message as one frame.
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

/** Collects bytes into messages. */
export class FrameDecoder {
	#chunks: Uint8Array[] = [];
	#length = 0;

	/**
	 * Adds bytes and returns the messages that became whole; a left side means the connection must be closed.
	 *
	 * @example
	 * ```ts
	 * const reader = new FrameReader();
	 * reader.add(encodeFrame({type: 'hello', id: 1})); // Either.right([{type: 'hello', id: 1}])
	 * ```
	 */
	push(bytes: Uint8Array): Either.Either<Problem, Message[]> {
		this.#chunks.push(bytes);
		this.#length += bytes.length;
		const messages: Message[] = [];
		for (;;) {
			const size = this.#frameSize();
			if (size === undefined) {
				return Either.right(messages);
			}

			if (size > MAX_FRAME_BYTES) {
				return Either.left(createProblem('badRequest', `Frame of ${size} bytes.`));
			}

			if (this.#length < size + LENGTH_PREFIX_BYTES) {
				return Either.right(messages);
			}

			const message = parseMessage(this.#take(size + LENGTH_PREFIX_BYTES).subarray(LENGTH_PREFIX_BYTES));
			if (Either.isLeft(message)) {
				return message;
			}

			messages.push(message.right);
		}
	}

	#frameSize(): number | undefined {
		if (this.#length < LENGTH_PREFIX_BYTES) {
			return undefined;
		}

		if (this.#chunks[0]!.length < LENGTH_PREFIX_BYTES) {
			this.#chunks = [Buffer.concat(this.#chunks)];
		}

		const head = this.#chunks[0]!;
		return new DataView(head.buffer, head.byteOffset, LENGTH_PREFIX_BYTES).getUint32(0);
	}

	#take(size: number): Uint8Array {
		const whole = this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks);
		const rest = whole.subarray(size);
		this.#chunks = rest.length > 0 ? [rest] : [];
		this.#length = rest.length;
		return whole.subarray(0, size);
	}
}

function parseMessage(bytes: Uint8Array): Either.Either<Problem, Message> {
	const decoded = Either.tryCatch(() => decodeCbor(bytes), () => createProblem('badRequest', 'Not CBOR.'));
	if (Either.isLeft(decoded)) {
		return decoded;
	}

	const checked = validate('Message', decoded.right);
	return Either.isLeft(checked) ? Either.left(createProblem('badRequest', formatValidationErrors(checked.left))) : checked;
}
