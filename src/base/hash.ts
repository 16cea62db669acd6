/**
 * Short hashes of texts, for sets of keys that are kept or sent in large numbers, and short forms of identities from outside.
 *
 * @module
 */
import {createHash} from 'node:crypto';

/** Bytes of a hash. */
export const HASH_BYTES = 6;

const FIRST_BASIS = 0x81_1C_9D_C5;
const FIRST_PRIME = 0x01_00_01_93;
const SECOND_BASIS = 0x9E_37_79_B9;
const SECOND_PRIME = 0x85_EB_CA_6B;
const MIXER = 0xC2_B2_AE_35;

/* eslint-disable no-bitwise -- the hash is defined with bitwise operations */
/**
 * Hashes a text to an integer of 48 bits. Not for secrets: texts with the same hash can be constructed.
 *
 * @example
 * ```ts
 * hashText('91bd3f06') === hashText('91bd3f06'); // true
 * ```
 */
export function hashText(text: string): number {
	let first = FIRST_BASIS;
	let second = SECOND_BASIS;
	for (let index = 0; index < text.length; index++) {
		// UTF-16 code units are as good as code points here, and the key may be long.
		const unit = text.charCodeAt(index); // eslint-disable-line unicorn/prefer-code-point
		first = Math.imul(first ^ unit, FIRST_PRIME);
		second = Math.imul(second ^ unit, SECOND_PRIME);
	}

	return (mix(first) * 0x1_00_00) + (mix(second) >>> 16);
}

/** Spreads the differences of similar texts over all bits. */
function mix(value: number): number {
	const mixed = Math.imul(value ^ (value >>> 16), MIXER);
	return (mixed ^ (mixed >>> 15)) >>> 0;
}
/* eslint-enable no-bitwise */

/** Identities up to this length are kept as they are. */
const MAX_ID_LENGTH = 64;

/**
 * Returns an identity, or the hash of a long one, which hosts would otherwise keep and send in full.
 *
 * @example
 * ```ts
 * shortenId('9c41d07be2a35f68'); // '9c41d07be2a35f68'
 * shortenId('x'.repeat(15_000)).length; // 43
 * ```
 */
export function shortenId(id: string): string {
	return id.length > MAX_ID_LENGTH ? createHash('sha256').update(id).digest('base64url') : id;
}
