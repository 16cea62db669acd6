/**
 * Tells a reset of a connection from its end.
 *
 * @module
 */
import type net from 'node:net';

/** Whether and how the peer of a connection has closed it. */
export type PeerClose = {
	/** Whether the connection was reset or broke off, so that bytes of the peer may be missing. */
	readonly isReset: boolean;
};

/**
 * Watches how the peer closes a connection. Must be called once the connection is established, before anything else reads the address of
 * its peer.
 *
 * Node reports a reset that arrives together with the last bytes like an end: no error follows, and the bytes of a message that ends with
 * its connection would look complete. The operating system does not know the peer of a connection that was reset any more, whereas it
 * knows the one of a connection that the peer has ended.
 *
 * @example
 * ```ts
 * const close = watchPeerClose(socket);
 * socket.once('close', () => {
 * 	console.log(close.isReset);
 * });
 * ```
 */
export function watchPeerClose(socket: net.Socket): PeerClose {
	const close = {isReset: false};
	let hasEnded = false;
	// Node answers an end with one of its own, after which the peer of a connection is unknown in any case.
	socket.prependOnceListener('end', () => {
		hasEnded = socket.remoteAddress !== undefined;
		close.isReset ||= !hasEnded;
	});
	socket.on('error', () => {
		close.isReset = true;
	});
	socket.prependOnceListener('close', () => {
		close.isReset ||= !hasEnded;
	});
	return close;
}
