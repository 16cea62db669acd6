/**
 * The receiving side of the feed: a host's connections to all control hosts.
 *
 * @module
 */
import {inflateRawSync} from 'node:zlib';
import {Buffer} from 'node:buffer';
import * as Either from 'fp-ts/lib/Either.js';
import type {Clock} from '../base/clock.js';
import type {Logger} from '../base/logger.js';
import {createProblem, type Problem} from '../base/problem.js';
import type {
	Feed, Message, RelayingState, Watch,
} from '../generated/types.js';
import {
	connect, sendSeparately, type Address, type Connection,
} from '../wire/connection.js';
import {FEED_INTERVAL_MS, HEARTBEAT_TIMEOUT_MS} from './feed.js';

export type FeedSubscriptionOptions = {
	readonly host: string;
	readonly dataCentre: string;
	readonly role: Watch['role'];
	/** Control hosts from the settings. They are never removed. */
	readonly seeds: readonly Address[];
	readonly clock: Clock;
	readonly logger: Logger;
	/** Returns the version of the publication held. */
	readonly readVersion: () => number;
	readonly onFeed: (feed: Feed, control: string) => void;
	/** Returns whether the subscriber needs relays or is one; absent for control hosts. */
	readonly readRelaying?: () => RelayingState;
	/** Called with every message from a control host that is not a feed. */
	readonly onMessage?: (message: Message, control: string) => void;
	readonly onDisconnect?: (control: string) => void;
};

/** A control host to subscribe to. */
type Source = {
	readonly address: Address;
	connection: Connection | undefined;
	connectStartedMs: number;
	lastReceivedMs: number;
	hasQuorum: boolean;
	isWarm: boolean;
	/** Monotonic time at which a feed or the settings last listed this control host, milliseconds. */
	lastListedMs: number;
};

/** Time after which a control host that no feed lists any more is removed. */
const SOURCE_RETENTION_MS = 60_000;

/** Subscribes to the feeds of all known control hosts, one connection each. Its creator must close it. */
export class FeedSubscription {
	readonly #options: FeedSubscriptionOptions;
	readonly #sources = new Map<string, Source>();
	readonly #seedKeys = new Set<string>();
	readonly #timer: NodeJS.Timeout;
	#isClosed = false;

	constructor(options: FeedSubscriptionOptions) {
		this.#options = options;
		this.addSeeds(options.seeds);
		this.#timer = setInterval(() => {
			this.#tick();
		}, FEED_INTERVAL_MS);
		this.#tick();
	}

	/** Adds control hosts from the settings. Earlier seeds are kept. */
	addSeeds(seeds: readonly Address[]): void {
		for (const seed of seeds) {
			this.#seedKeys.add(formatKey(seed));
			this.#addSource(seed);
		}
	}

	/** Lists the addresses of all known control hosts, reachable or not. */
	listAddresses(): Address[] {
		return [...this.#sources.values()].map(source => source.address);
	}

	/** Lists the control hosts that recently sent a feed and had a majority then, in the same order on every host. */
	listLive(): string[] {
		const nowMs = this.#options.clock.monotonicMs();
		const live: string[] = [];
		for (const [key, source] of this.#sources) {
			if (source.connection?.isOpen && source.hasQuorum && nowMs - source.lastReceivedMs < HEARTBEAT_TIMEOUT_MS) {
				live.push(key);
			}
		}

		return live.toSorted();
	}

	/** Whether a control host has run long enough to have received an announcement of every live server. */
	isWarm(control: string): boolean {
		return this.#sources.get(control)?.isWarm ?? false;
	}

	/** Sends a message to one control host. Returns false if there is no open connection to it. */
	send(control: string, message: Message): boolean {
		const connection = this.#sources.get(control)?.connection;
		if (!connection?.isOpen) {
			return false;
		}

		connection.send(message);
		return true;
	}

	/** Sends a message to one control host on a connection of its own. */
	sendSeparately(control: string, message: Message): void {
		const source = this.#sources.get(control);
		if (source) {
			sendSeparately(source.address, message);
		}
	}

	/** Sends a message to all control hosts to which a connection is open. */
	broadcast(message: Message): void {
		for (const key of this.#sources.keys()) {
			this.send(key, message);
		}
	}

	/** Tells the control hosts at once whether this host needs relays or is one. */
	announceRelaying(): void {
		this.broadcast(this.#createFirstWatch());
	}

	close(): void {
		this.#isClosed = true;
		clearInterval(this.#timer);
		for (const {connection} of this.#sources.values()) {
			connection?.close();
		}
	}

	#tick(): void {
		const nowMs = this.#options.clock.monotonicMs();
		for (const [key, source] of this.#sources) {
			const isTimedOut = nowMs - Math.max(source.lastReceivedMs, source.connectStartedMs) > HEARTBEAT_TIMEOUT_MS;
			if (source.connection?.isOpen && !isTimedOut) {
				source.connection.send(this.#createWatch());
				continue;
			}

			source.connection?.close();
			if (nowMs - source.lastListedMs > SOURCE_RETENTION_MS && !this.#seedKeys.has(key)) {
				this.#sources.delete(key);
				continue;
			}

			this.#connect(key, source, nowMs);
		}
	}

	#connect(key: string, source: Source, nowMs: number): void {
		source.connectStartedMs = nowMs;
		const connection = connect(source.address, message => {
			if (source.connection === connection) {
				this.#onMessage(message, key, source);
			}
		});
		source.connection = connection;
		connection.onClose(() => {
			if (source.connection === connection && !this.#isClosed) {
				if (source.hasQuorum) {
					this.#options.logger.warn(`Connection to control host ${key} closed.`, {control: key});
				}

				source.hasQuorum = false;
				this.#options.onDisconnect?.(key);
			}
		});
		connection.send(this.#createFirstWatch());
	}

	#onMessage(message: Message, key: string, source: Source): void {
		if (message.type !== 'feed') {
			this.#options.onMessage?.(message, key);
			return;
		}

		const nowMs = this.#options.clock.monotonicMs();
		source.lastReceivedMs = nowMs;
		if (source.hasQuorum !== message.hasQuorum) {
			this.#options.logger.info(`Control host ${key} ${message.hasQuorum ? 'is' : 'is no longer'} connected to a majority of the control hosts.`, {control: key});
		}

		source.hasQuorum = message.hasQuorum;
		source.isWarm = message.isWarm;
		for (const member of message.members) {
			this.#addSource(member);
		}

		this.#options.onFeed(message, key);
	}

	#addSource(address: Address): void {
		const key = formatKey(address);
		const nowMs = this.#options.clock.monotonicMs();
		const known = this.#sources.get(key);
		if (known) {
			known.lastListedMs = nowMs;
			return;
		}

		this.#sources.set(key, {
			address: {address: address.address, port: address.port},
			connection: undefined,
			connectStartedMs: Number.NEGATIVE_INFINITY,
			lastReceivedMs: Number.NEGATIVE_INFINITY,
			hasQuorum: false,
			isWarm: false,
			lastListedMs: nowMs,
		});
	}

	#createWatch(): Watch {
		const {host, dataCentre, role, readVersion} = this.#options;
		return {
			type: 'watch', host, dataCentre, role, version: readVersion(),
		};
	}

	/** Creates a message with the state that the following heartbeats on the connection leave out. */
	#createFirstWatch(): Watch {
		const {readRelaying} = this.#options;
		return {...this.#createWatch(), ...(readRelaying && {relaying: readRelaying()})};
	}
}

function formatKey({address, port}: Address): string {
	return `${address}:${port}`;
}

/**
 * Decompresses the publication in a feed message.
 *
 * @example
 * ```ts
 * inflatePublication(feed.publication); // Either.right('{"version":7,…}')
 * ```
 */
export function inflatePublication(bytes: Uint8Array): Either.Either<Problem, string> {
	return Either.tryCatch(() => Buffer.from(inflateRawSync(bytes)).toString('utf8'), error => createProblem('badRequest', String(error)));
}
