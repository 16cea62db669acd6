/**
 * Connections from one replica to another.
 *
 * @module
 */
import type {Clock} from '../base/clock.js';
import type {ConsensusMessage, Member} from '../generated/types.js';
import {connect, type Connection} from '../wire/connection.js';
import {CHANNELS, type Channel} from './effects.js';

export type PeerLinkOptions = {
	readonly peer: Member;
	readonly clock: Clock;
	/** Time without a message from the peer after which a connection is replaced, milliseconds. */
	readonly silenceMs: number;
	/** Messages on the log channel are dropped, as if lost, while more than this is buffered there, bytes. */
	readonly maxBufferedBytes: number;
	readonly onMessage: (message: ConsensusMessage) => void;
	/** Called when the log channel's connection has closed, so that what was in transit may be lost. */
	readonly onLogChannelClosed: () => void;
	readonly onReplaced: (channel: Channel) => void;
};

/** The timeout of the log channel doubles with each replacement in a row, up to this multiple of the silence allowed. */
const MAX_LOG_TIMEOUT_FACTOR = 8;

/**
 * One connection for votes and heartbeats, and one for entries and snapshots, so that the former never wait behind the latter. Its
 * creator must close it.
 */
export class PeerLink {
	readonly #options: PeerLinkOptions;
	readonly #connections = new Map<Channel, Connection>();
	/** When the connection of the liveness channel was opened, milliseconds. */
	#livenessOpenedMs = Number.NEGATIVE_INFINITY;
	#livenessHeardMs = Number.NEGATIVE_INFINITY;
	/** When the first message was sent on the log channel after the last one that was received there, milliseconds. */
	#unansweredSinceMs: number | undefined;
	#logTimeoutFactor = 1;
	#isClosed = false;

	constructor(options: PeerLinkOptions) {
		this.#options = options;
	}

	/** Bytes sent on the log channel that have not been handed to the operating system. */
	get logBufferedBytes(): number {
		return this.#connections.get(CHANNELS.log)?.bufferedBytes ?? 0;
	}

	/** Records that the peer has acknowledged everything that was sent on the log channel, whichever channel said so. */
	recordAcknowledged(): void {
		this.#unansweredSinceMs = undefined;
	}

	/** Sends a message, on a new connection if the one before has closed or its peer does not respond. */
	send(channel: Channel, message: ConsensusMessage): void {
		const nowMs = this.#options.clock.monotonicMs();
		this.#replaceUnresponsive(nowMs);
		if (channel === CHANNELS.log) {
			if (this.logBufferedBytes > this.#options.maxBufferedBytes) {
				return;
			}

			// A request to take over the lead has no reply.
			this.#unansweredSinceMs ??= message.body.type === 'timeout-now' ? undefined : nowMs;
		}

		this.#getConnection(channel, nowMs).send(message);
	}

	close(): void {
		this.#isClosed = true;
		for (const connection of this.#connections.values()) {
			connection.close();
		}
	}

	#getConnection(channel: Channel, nowMs: number): Connection {
		const existing = this.#connections.get(channel);
		if (existing?.isOpen) {
			return existing;
		}

		const connection = connect(this.#options.peer, message => {
			if (message.type === 'consensus') {
				this.#recordMessage(channel);
				this.#options.onMessage(message);
			}
		});
		this.#connections.set(channel, connection);
		if (channel === CHANNELS.liveness) {
			this.#livenessOpenedMs = nowMs;
			return connection;
		}

		connection.onClose(() => {
			if (!this.#isClosed) {
				this.#unansweredSinceMs = undefined;
				this.#options.onLogChannelClosed();
			}
		});
		return connection;
	}

	#recordMessage(channel: Channel): void {
		if (channel === CHANNELS.liveness) {
			this.#livenessHeardMs = this.#options.clock.monotonicMs();
			return;
		}

		this.#unansweredSinceMs = undefined;
		this.#logTimeoutFactor = 1;
	}

	#replaceUnresponsive(nowMs: number): void {
		if (nowMs - Math.max(this.#livenessHeardMs, this.#livenessOpenedMs) > this.#options.silenceMs) {
			this.#replace(CHANNELS.liveness);
		}

		// A peer that does not answer heartbeats either is slow, down or cut off, and another connection would not help.
		const timeoutMs = this.#options.silenceMs * this.#logTimeoutFactor;
		if (this.#unansweredSinceMs !== undefined && this.#livenessHeardMs - this.#unansweredSinceMs > timeoutMs) {
			this.#logTimeoutFactor = Math.min(this.#logTimeoutFactor * 2, MAX_LOG_TIMEOUT_FACTOR);
			this.#unansweredSinceMs = undefined;
			this.#replace(CHANNELS.log);
		}
	}

	#replace(channel: Channel): void {
		const connection = this.#connections.get(channel);
		this.#connections.delete(channel);
		if (connection?.isOpen) {
			connection.close();
			this.#options.onReplaced(channel);
		}
	}
}
