/**
 * Tables for people.
 *
 * @module
 */

/**
 * Lays rows out in columns.
 *
 * @example
 * ```ts
 * formatTable(['NAME', 'VERSION'], [['chat-1', '12']]); // 'NAME    VERSION\nchat-1  12\n'
 * ```
 */
export function formatTable(heads: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const widths = heads.map((head, column) => Math.max(head.length, ...rows.map(row => (row[column] ?? '').length)));
	const lines = [heads, ...rows].map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd());
	return `${lines.join('\n')}\n`;
}
