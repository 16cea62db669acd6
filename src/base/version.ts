/**
 * Version of the programs, as `--version` prints it.
 *
 * @module
 */
export const VERSION = '0.1.0';
