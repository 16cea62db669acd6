/**
 * Structured logging: each line is a JSON object with a message, prefixed by the component, and fields.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {pino} from 'pino';

/** Components that write logs. The name is the prefix of every message of the component. */
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
	debug(message: string, fields?: LogFields): void;
	info(message: string, fields?: LogFields): void;
	warn(message: string, fields?: LogFields): void;
	error(message: string, fields?: LogFields): void;
}

/** Returns the logger of one component. */
export type LoggerFactory = (component: Component) => Logger;

/**
 * Creates a logger factory that writes JSON lines to standard output.
 *
 * @param base - Fields that every line has.
 * @example
 * ```ts
 * const log = createLoggers('info', {host: 'a1'})('routing');
 * log.info('Sent to engine e3.', {request: 'r1', reason: 'shortest'}); // {…, "msg": "routing: Sent to engine e3."}
 * ```
 */
export function createLoggers(level: LogLevel, base: LogFields): LoggerFactory {
	const destination = pino.destination({fd: 1, sync: false});
	const root = pino({level, base: {...base}, timestamp: pino.stdTimeFunctions.isoTime}, destination);
	return component => {
		const prefix = `${COMPONENTS[component]}: `;
		return {
			debug(message, fields = {}) {
				root.debug(fields, prefix + message);
			},
			info(message, fields = {}) {
				root.info(fields, prefix + message);
			},
			warn(message, fields = {}) {
				root.warn(fields, prefix + message);
			},
			error(message, fields = {}) {
				root.error(fields, prefix + message);
			},
		};
	};
}

/**
 * Creates a logger factory that discards all lines, for tests and benchmarks.
 *
 * @example
 * ```ts
 * createSilentLoggers()('entry').info('This line is discarded.');
 * ```
 */
export function createSilentLoggers(): LoggerFactory {
	const ignore = () => undefined;
	const logger: Logger = {
		debug: ignore, info: ignore, warn: ignore, error: ignore,
	};
	return () => logger;
}

/** Sustained rate of log lines of one process. */
export const LOG_LINES_PER_SECOND = 60;
/** Log lines that one process may write in a burst. */
export const LOG_BURST_LINES = 300;
/** Shortest interval between two reports of dropped lines, in milliseconds. */
const DROP_REPORT_INTERVAL_MS = 5000;

/**
 * Creates a logger factory that limits the rate of lines with a token bucket shared by all components.
 *
 * Lines over the limit are dropped. Their number is logged at most every 5 s, when a component logs again.
 *
 * @param onDropped - Called for each dropped line.
 * @example
 * ```ts
 * const loggers = createRateLimitedLoggers('info', {host: 'a1'}, () => metrics.dropped.inc());
 * ```
 */
export function createRateLimitedLoggers(level: LogLevel, base: LogFields, onDropped: () => void): LoggerFactory {
	const loggers = createLoggers(level, base);
	let tokens = LOG_BURST_LINES;
	let refilledMs = performance.now();
	let dropped = 0;
	let reportedMs = refilledMs;
	const takeToken = () => {
		const nowMs = performance.now();
		tokens = Math.min(LOG_BURST_LINES, tokens + ((nowMs - refilledMs) * LOG_LINES_PER_SECOND / 1000));
		refilledMs = nowMs;
		if (dropped > 0 && nowMs - reportedMs > DROP_REPORT_INTERVAL_MS) {
			loggers('daemon').warn(`Rate limit exceeded: dropped ${dropped} log lines.`, {dropped});
			reportedMs = nowMs;
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

	return component => {
		const logger = loggers(component);
		const limit = (write: Logger['info']): Logger['info'] => (message, fields) => {
			if (takeToken()) {
				write(message, fields);
			}
		};

		return {
			debug: limit(logger.debug), info: limit(logger.info), warn: limit(logger.warn), error: limit(logger.error),
		};
	};
}
