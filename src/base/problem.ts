/**
 * Numbered problems: the one error type that crosses module borders.
 *
 * @module
 */
import {CODES} from '../generated/codes.js';

export type ProblemName = keyof typeof CODES;

/** What a problem says about the work: whether it ran. */
export type ProblemOutcome = (typeof CODES)[ProblemName]['says'];

export type Problem = {
	readonly type: 'problem';
	readonly name: ProblemName;
	readonly code: number;
	/** HTTP status towards callers and operators; 0 for problems of a process. */
	readonly status: number;
	readonly outcome: ProblemOutcome;
	readonly text: string;
	readonly retryAfterSeconds?: number;
};

/**
 * Creates a problem from the table in `docs/ERRORS.md`.
 *
 * @param name - The row of the table.
 * @param detail - What happened here; added to the row's text.
 * @param retryAfterSeconds - When coming back makes sense, seconds.
 * @example
 * ```ts
 * createProblem('noQuorum', 'two of three control hosts do not answer', 1).code; // 4003
 * ```
 */
export function createProblem(name: ProblemName, detail?: string, retryAfterSeconds?: number): Problem {
	const row = CODES[name];
	const text = detail === undefined ? row.text : `${row.text} ${detail}`;
	return {
		type: 'problem', name, code: row.code, status: row.status, outcome: row.says, text, retryAfterSeconds,
	};
}

/**
 * Finds a problem's name by its number, for problems that arrive from another process.
 *
 * @example
 * ```ts
 * findProblemName(4003); // 'noQuorum'
 * ```
 */
export function findProblemName(code: number): ProblemName {
	const names = Object.keys(CODES) as ProblemName[];
	return names.find(name => CODES[name].code === code) ?? 'internal';
}
