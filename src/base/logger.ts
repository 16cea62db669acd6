/**
 * Structured logs: a short sentence behind the fixed prefix of its part, and typed fields.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {pino} from 'pino';

/** The parts of the system; each has a fixed prefix. */
export const COMPONENTS = {
	daemon: 'daemon',
	consensus: 'consensus',
	control: 'control',
	membership: 'membership',
	routing: 'routing',
	entry: 'entry',
} as const;

export type Component = keyof typeof COMPONENTS;
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';
export type LogFields = Readonly<Record<string, unknown>>;

export interface Logger {
	debug(sentence: string, fields?: LogFields): void;
	info(sentence: string, fields?: LogFields): void;
	warn(sentence: string, fields?: LogFields): void;
	error(sentence: string, fields?: LogFields): void;
}

/** Creates the logger of one part. */
export type LoggerFactory = (part: Component) => Logger;

/**
 * Creates a factory of loggers that write JSON lines to standard output.
 *
 * @example
 * ```ts
 * const log = createLoggers('info', {host: 'a1'})('routing');
 * log.info('Sent to engine e3.', {request: 'r1', reason: 'shortest'}); // "routing: Sent to engine e3."
 * ```
 */
export function createLoggers(level: LogLevel, base: LogFields): LoggerFactory {
	const destination = pino.destination({fd: 1, sync: false});
	const root = pino({level, base: {...base}, timestamp: pino.stdTimeFunctions.isoTime}, destination);
	return part => {
		const prefix = `${COMPONENTS[part]}: `;
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

/** Lines a second that one process writes in the long run, and at once. */
export const LOG_LINES_PER_SECOND = 60;
export const LOG_BURST_LINES = 300;
const COUNT_INTERVAL_MS = 5000;

/**
 * Creates loggers whose volume is bounded: lines over the bound are counted and the count is logged.
 *
 * @param onDropped - Called for each line that is left out.
 * @example
 * ```ts
 * const loggers = createBoundedLoggers('info', {host: 'a1'}, () => metrics.dropped.inc());
 * ```
 */
export function createRateLimitedLoggers(level: LogLevel, base: LogFields, onDropped: () => void): LoggerFactory {
	const loggers = createLoggers(level, base);
	let tokens = LOG_BURST_LINES;
	let atMs = performance.now();
	let dropped = 0;
	let countedMs = atMs;
	const mayWrite = () => {
		const nowMs = performance.now();
		tokens = Math.min(LOG_BURST_LINES, tokens + ((nowMs - atMs) * LOG_LINES_PER_SECOND / 1000));
		atMs = nowMs;
		if (dropped > 0 && nowMs - countedMs > COUNT_INTERVAL_MS) {
			loggers('daemon').warn(`Left out ${dropped} log lines.`, {dropped});
			countedMs = nowMs;
			dropped = 0;
		}

		if (tokens < 1) {
			dropped++;
			onDropped();
			return false;
		}

		tokens--;
		return true;
	};

	return part => {
		const logger = loggers(part);
		const bound = (write: Logger['info']): Logger['info'] => (sentence, fields) => {
			if (mayWrite()) {
				write(sentence, fields);
			}
		};

		return {
			debug: bound(logger.debug), info: bound(logger.info), warn: bound(logger.warn), error: bound(logger.error),
		};
	};
}
