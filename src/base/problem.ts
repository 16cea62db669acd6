/**
 * Numbered errors. `Problem` is the only error type that functions of one module return to another.
 *
 * @module
 */
import {CODES} from '../generated/codes.js';

export type ProblemName = keyof typeof CODES;

/** Whether the requested work ran: `not-run`, `failed` or `unknown`. */
export type ProblemOutcome = (typeof CODES)[ProblemName]['says'];

export type Problem = {
	readonly type: 'problem';
	readonly name: ProblemName;
	readonly code: number;
	/** HTTP status sent to callers and operators; 0 for problems that never leave the process. */
	readonly status: number;
	readonly outcome: ProblemOutcome;
	readonly text: string;
	readonly retryAfterSeconds?: number;
};

/**
 * Creates a problem from the error table (`schema/errors.json`, documented in `docs/ERRORS.md`).
 *
 * @param name - Name of the row in the table.
 * @param detail - What failed in this case; appended to the text of the row.
 * @param retryAfterSeconds - Delay after which a retry may succeed, in seconds.
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
 * Returns the name of a numeric code that was received from another process, or `internal` if the code is unknown.
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
