/**
 * Digests of keys.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import type {Buffer} from 'node:buffer';

/**
 * Computes the digest by which a key is kept and compared. Text is digested as UTF-8.
 *
 * @example
 * ```ts
 * digestKey('k-1') === digestKey(Buffer.from('k-1')); // true
 * ```
 */
export function digestKey(key: string | Buffer): string {
	return createHash('sha256').update(key).digest('base64');
}
