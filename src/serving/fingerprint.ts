/**
 * Fingerprints of requests, by which a request is recognized when its caller sends it again.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import type {Buffer} from 'node:buffer';

/** The parts of a request that are the same whenever it is sent. */
export type RequestContent = {
	readonly method: string;
	readonly host: string;
	/** Path with query. */
	readonly target: string;
	readonly body: Buffer | null;
};

const FINGERPRINT_LENGTH = 24;

/**
 * Computes the fingerprint of a request. Headers are left out: request IDs and deadlines change with every attempt.
 *
 * @example
 * ```ts
 * fingerprintRequest({method: 'GET', host: 'a.example', target: '/read/1', body: null}); // 24 characters of base64url
 * ```
 */
export function fingerprintRequest({method, host, target, body}: RequestContent): string {
	const hash = createHash('sha256').update(`${method}\n${host.toLowerCase()}\n${target}\n`);
	if (body) {
		hash.update(body);
	}

	return hash.digest('base64url').slice(0, FINGERPRINT_LENGTH);
}
