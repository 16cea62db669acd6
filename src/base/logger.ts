/**
 * Structured logs: a short sentence behind the fixed prefix of its part, and typed fields.
 *
 * @module
 */
import {pino} from 'pino';

/** The parts of the system; each has a fixed prefix. */
export const PARTS = {
	daemon: 'daemon',
	consensus: 'consensus',
	control: 'control',
	membership: 'membership',
	routing: 'routing',
	entry: 'entry',
} as const;

export type Part = keyof typeof PARTS;
export type Level = 'debug' | 'info' | 'warn' | 'error' | 'silent';
export type Fields = Readonly<Record<string, unknown>>;

export interface Logger {
	debug(sentence: string, fields?: Fields): void;
	info(sentence: string, fields?: Fields): void;
	warn(sentence: string, fields?: Fields): void;
	error(sentence: string, fields?: Fields): void;
}

/** Creates the logger of one part. */
export type LoggerFactory = (part: Part) => Logger;

/**
 * Creates a factory of loggers that write JSON lines to standard output.
 *
 * @example
 * ```ts
 * const log = createLoggers('info', {host: 'a1'})('routing');
 * log.info('Sent to engine e3.', {request: 'r1', reason: 'shortest'}); // "routing: Sent to engine e3."
 * ```
 */
export function createLoggers(level: Level, base: Fields): LoggerFactory {
	const destination = pino.destination({fd: 1, sync: false});
	const root = pino({level, base: {...base}, timestamp: pino.stdTimeFunctions.isoTime}, destination);
	return part => {
		const prefix = `${PARTS[part]}: `;
		return {
			debug(sentence, fields = {}) {
				root.debug(fields, prefix + sentence);
			},
			info(sentence, fields = {}) {
				root.info(fields, prefix + sentence);
			},
			warn(sentence, fields = {}) {
				root.warn(fields, prefix + sentence);
			},
			error(sentence, fields = {}) {
				root.error(fields, prefix + sentence);
			},
		};
	};
}

/**
 * Creates loggers that write nothing, for tests and benches.
 *
 * @example
 * ```ts
 * createSilentLoggers()('entry').info('Nobody reads this.');
 * ```
 */
export function createSilentLoggers(): LoggerFactory {
	const ignore = () => undefined;
	const logger: Logger = {
		debug: ignore, info: ignore, warn: ignore, error: ignore,
	};
	return () => logger;
}
