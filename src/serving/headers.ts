/**
 * Headers of servers' responses.
 *
 * @module
 */
import type {IncomingHttpHeaders} from 'node:http';

/** Headers with one value, of which the first counts if they are repeated. */
const SINGLE_HEADERS = ['content-type', 'content-length', 'retry-after'] as const;
/** Headers with a list that may be spread over several lines. */
const LIST_HEADERS = ['connection', 'transfer-encoding'] as const;

/**
 * Converts received headers to the form that Node gives to its own: the HTTP client and relays pass on each repeated header as a list,
 * also those that are read as one string.
 *
 * @example
 * ```ts
 * joinRepeatedHeaders({connection: ['close', 'x-hop'], 'x-list': ['a', 'b']}); // {connection: 'close, x-hop', 'x-list': ['a', 'b']}
 * ```
 */
export function joinRepeatedHeaders(received: Readonly<Record<string, string | string[] | undefined>>): IncomingHttpHeaders {
	const headers: IncomingHttpHeaders = {...received};
	for (const name of SINGLE_HEADERS) {
		const value = received[name];
		if (Array.isArray(value)) {
			headers[name] = value[0];
		}
	}

	for (const name of LIST_HEADERS) {
		const value = received[name];
		if (Array.isArray(value)) {
			headers[name] = value.join(', ');
		}
	}

	return headers;
}
