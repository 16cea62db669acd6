/**
 * Opens connections to backend servers.
 *
 * @module
 */
import net from 'node:net';
import type {Address} from './connection.js';

/** Opens a connection to a backend server. The socket may still be connecting. */
export type ServerConnector = (address: Address) => net.Socket;

/**
 * Opens a connection to a backend server over this host's network.
 *
 * @example
 * ```ts
 * const socket = connectServer({address: '10.1.64.3', port: 8080});
 * ```
 */
export const connectServer: ServerConnector = ({address, port}) => net.connect({host: address, port, noDelay: true});
