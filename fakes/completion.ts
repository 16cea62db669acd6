/**
 * The known answer of the fake models: a function of the prompt, so that a wrong, cut or crossed one shows.
 *
 * @module
 */
import {createHash} from 'node:crypto';

/**
 * Returns one token of the answer to a prompt.
 *
 * @example
 * ```ts
 * answerToken('user: Hello', 0); // 'k3f9 '
 * ```
 */
export function generateToken(prompt: string, offset: number): string {
	return `${createHash('sha1').update(`${offset}\n`).update(prompt).digest('hex').slice(0, 4)} `;
}

/**
 * Returns the whole answer.
 *
 * @example
 * ```ts
 * expectedAnswer('user: Hello', 2); // 'k3f9 01ab '
 * ```
 */
export function generateCompletion(prompt: string, tokens: number): string {
	return Array.from({length: tokens}, (_, offset) => generateToken(prompt, offset)).join('');
}

/** Tokens of an answer without a limit, by model. */
export const DEFAULT_COMPLETION_TOKENS: Readonly<Record<string, number>> = {'summary-1': 24, 'chat-1': 120};
