/**
 * Deterministic completions of the fake models.
 *
 * The text is a function of the prompt, so that a test notices a completion that is wrong, truncated or meant for another
 * request.
 *
 * @module
 */
import {createHash} from 'node:crypto';

/**
 * Returns the token at one offset of the completion of a prompt.
 *
 * @example
 * ```ts
 * generateToken('user: Hello', 0); // '8669 '
 * ```
 */
export function generateToken(prompt: string, offset: number): string {
	return `${createHash('sha1').update(`${offset}\n`).update(prompt).digest('hex').slice(0, 4)} `;
}

/**
 * Returns the first tokens of the completion of a prompt.
 *
 * @example
 * ```ts
 * generateCompletion('user: Hello', 2); // '8669 594f '
 * ```
 */
export function generateCompletion(prompt: string, tokens: number): string {
	return Array.from({length: tokens}, (_, offset) => generateToken(prompt, offset)).join('');
}

/** Completion length in tokens for requests without a token limit, by model. */
export const DEFAULT_COMPLETION_TOKENS: Readonly<Record<string, number>> = {'summary-1': 24, 'chat-1': 120};
