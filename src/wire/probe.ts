/**
 * Checks whether a process still accepts connections.
 *
 * @module
 */
import type {Address} from './connection.js';
import {connectServer, type ServerConnector} from './connector.js';

export const PROBE_RESULTS = {
	accepted: 'accepted',
	/** The connection was refused, or closed at once. */
	refused: 'refused',
	/** Nothing came back: the process may be alive behind a network failure. */
	silent: 'silent',
} as const;
export type ProbeResult = keyof typeof PROBE_RESULTS;

const PROBE_TIMEOUT_MS = 400;
/** A process is alive if it keeps a connection open this long. A dying one may still accept for some milliseconds. */
const PROBE_HOLD_MS = 100;

/**
 * Opens a connection to a process and closes it again.
 *
 * @example
 * ```ts
 * await probe({address: '10.0.0.4', port: 8080}); // 'accepted'
 * ```
 */
export async function probe(address: Address, connect: ServerConnector = connectServer): Promise<ProbeResult> {
	return new Promise(resolve => {
		const socket = connect(address);
		const timer = setTimeout(() => {
			finish(PROBE_RESULTS.silent);
		}, PROBE_TIMEOUT_MS);
		const finish = (result: ProbeResult) => {
			clearTimeout(timer);
			socket.destroy();
			resolve(result);
		};

		socket.once('connect', () => {
			setTimeout(() => {
				finish(PROBE_RESULTS.accepted);
			}, PROBE_HOLD_MS);
		});
		socket.once('close', () => {
			finish(PROBE_RESULTS.refused);
		});
		socket.once('error', () => {
			finish(PROBE_RESULTS.refused);
		});
		// Without reading, the end of the connection would not be noticed.
		socket.resume();
	});
}
