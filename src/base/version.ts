/**
 * The version of the programs.
 *
 * @module
 */
export const VERSION = '0.1.0';
