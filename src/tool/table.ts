/**
 * Plain-text tables for terminal output.
 *
 * @module
 */

/**
 * Formats rows as left-aligned columns below a header line.
 *
 * @example
 * ```ts
 * formatTable(['NAME', 'VERSION'], [['chat-1', '12']]); // 'NAME    VERSION\nchat-1  12\n'
 * ```
 */
export function formatTable(headers: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const widths = headers.map((header, column) => Math.max(header.length, ...rows.map(row => (row[column] ?? '').length)));
	const lines = [headers, ...rows].map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd());
	return `${lines.join('\n')}\n`;
}
