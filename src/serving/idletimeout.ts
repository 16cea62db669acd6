/**
 * Idle timeout of callers' connections.
 *
 * @module
 */
import type http from 'node:http';

/**
 * Keeps the connection of a request open, once the response has been sent, for at least the idle timeout that is in force now: the
 * response announces this one. Node.js would apply the one in force at the end of the response.
 *
 * @example
 * ```ts
 * http.createServer((request, response) => {
 *   keepAnnouncedTimeout(server, request, response);
 *   …
 * });
 * ```
 */
export function keepAnnouncedTimeout(server: http.Server, request: http.IncomingMessage, response: http.ServerResponse): void {
	const {socket} = request;
	const announcedMs = server.keepAliveTimeout;
	response.once('finish', () => {
		const missingMs = announcedMs - server.keepAliveTimeout;
		// The timeout is set unless another request has arrived on the connection, or the connection is to be closed.
		if (missingMs > 0 && socket.timeout !== undefined && socket.timeout > 0) {
			socket.setTimeout(socket.timeout + missingMs);
		}
	});
}
