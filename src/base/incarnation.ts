/**
 * Names of server incarnations: one start of a server.
 *
 * @module
 */

export type ServerIncarnation = {
	readonly server: string;
	/** Start time or counter, which increases with every start. */
	readonly incarnation: number;
};

/**
 * Formats the name of a server incarnation.
 *
 * @example
 * ```ts
 * formatIncarnation({server: 'e1', incarnation: 7}); // 'e1#7'
 * ```
 */
export function formatIncarnation({server, incarnation}: ServerIncarnation): string {
	return `${server}#${incarnation}`;
}
