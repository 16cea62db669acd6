/**
 * Statuses of HTTP responses.
 *
 * @module
 */

const MIN_STATUS = 100;
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

/**
 * Whether HTTP knows a status as that of a final response. Parsers let any three digits pass, also 000.
 *
 * @example
 * ```ts
 * isFinalStatus(404); // true
 * isFinalStatus(999); // false
 * ```
 */
export function isFinalStatus(status: number): boolean {
	return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
}

/**
 * Whether HTTP knows a status as that of a response that precedes the final one.
 *
 * @example
 * ```ts
 * isInterimStatus(103); // true
 * ```
 */
export function isInterimStatus(status: number): boolean {
	return status >= MIN_STATUS && status < MIN_FINAL_STATUS;
}
