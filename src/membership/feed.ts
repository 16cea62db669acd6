/**
 * What control hosts know, pushed to every host that subscribes: the publication, backend servers, control hosts.
 *
 * Every entry host subscribes to every control host, so that a server that leaves or a new publication is known
 * everywhere one network trip after any control host learned of it, whichever of them is down or cut off.
 *
 * @module
 */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {Buffer} from 'node:buffer';
import * as Either from 'fp-ts/lib/Either.js';
import type {Clock} from '../base/clock.js';
import type {Logger} from '../base/logger.js';
import {createProblem, type Problem} from '../base/problem.js';
import type {
	Feed, Member, Message, Watch,
} from '../generated/types.js';
import {connect, type Address, type Connection} from '../wire/connection.js';
import type {ServerRegistry} from './registry.js';

/** Sign of life; a subscriber gives a connection up after four missed ones. */
export const FEED_INTERVAL_MS = 300;
const SILENCE_LIMIT_MS = 1200;
/** Changes within this time share one feed. */
const COALESCE_MS = 5;
/** A publication waits while this much is on its way, so that a storm of them sends only the last. */
const MAX_BUFFERED_BYTES = 32 * 1024;

export type PublicationText = {
	readonly version: number;
	readonly body: string;
};

export type FeedPublisherOptions = {
	readonly host: string;
	readonly registry: ServerRegistry;
	readonly clock: Clock;
	readonly readPublication: () => PublicationText | undefined;
	readonly listMembers: () => Member[];
	readonly hasQuorum: () => boolean;
	readonly isWarm: () => boolean;
};

type Subscriber = {
	readonly host: string;
	readonly role: Watch['role'];
	version: number;
	revision: number;
	isNew: boolean;
	heardMs: number;
};

/** The publishing side, on a control host. Whoever created it closes it. */
export class FeedPublisher {
	readonly #options: FeedPublisherOptions;
	readonly #subscribers = new Map<Connection, Subscriber>();
	readonly #timer: NodeJS.Timeout;
	#pending: NodeJS.Timeout | undefined;
	#deflated: {readonly version: number; readonly bytes: Uint8Array} | undefined;

	constructor(options: FeedPublisherOptions) {
		this.#options = options;
		this.#timer = setInterval(() => {
			this.#publish(true);
		}, FEED_INTERVAL_MS);
	}

	/** Entry hosts that are subscribed. */
	get entryHostCount(): number {
		const hosts = new Set<string>();
		for (const {host, role} of this.#subscribers.values()) {
			if (role === 'entry') {
				hosts.add(host);
			}
		}

		return hosts.size;
	}

	handleWatch(message: Watch, connection: Connection): void {
		const known = this.#subscribers.get(connection);
		if (known) {
			known.version = Math.max(known.version, message.version);
			known.heardMs = this.#options.clock.monotonicMs();
			return;
		}

		this.#subscribers.set(connection, {
			host: message.host, role: message.role, version: message.version, revision: 0, isNew: true, heardMs: this.#options.clock.monotonicMs(),
		});
		connection.onClose(() => {
			this.#subscribers.delete(connection);
		});
		this.notify();
	}

	/** Tells that something has changed; it is pushed within a few milliseconds. */
	notify(): void {
		this.#pending ??= setTimeout(() => {
			this.#pending = undefined;
			this.#publish(false);
		}, COALESCE_MS);
	}

	close(): void {
		clearInterval(this.#timer);
		clearTimeout(this.#pending);
	}

	#publish(isDue: boolean): void {
		const nowMs = this.#options.clock.monotonicMs();
		for (const [connection, subscriber] of this.#subscribers) {
			if (nowMs - subscriber.heardMs > SILENCE_LIMIT_MS * 2) {
				connection.close();
				continue;
			}

			const feed = this.#createFeed(connection, subscriber);
			if (isDue || feed.whole || feed.publication !== undefined || feed.sightings.length > 0) {
				connection.send(feed);
			}
		}
	}

	#createFeed(connection: Connection, subscriber: Subscriber): Feed {
		const {host, registry, readPublication, hasQuorum, isWarm, listMembers} = this.#options;
		const publication = readPublication();
		const feed: Feed = {
			type: 'feed',
			host,
			whole: subscriber.isNew,
			hasQuorum: hasQuorum(),
			isWarm: isWarm(),
			version: publication?.version ?? 0,
			sightings: registry.listChangedSince(subscriber.revision, subscriber.role === 'control'),
			members: listMembers(),
			entries: this.entryHostCount,
		};
		subscriber.revision = registry.revision;
		subscriber.isNew = false;
		if (publication && publication.version > subscriber.version && connection.bufferedBytes < MAX_BUFFERED_BYTES) {
			subscriber.version = publication.version;
			return {...feed, publication: this.#deflate(publication)};
		}

		return feed;
	}

	#deflate({version, body}: PublicationText): Uint8Array {
		if (this.#deflated?.version !== version) {
			this.#deflated = {version, bytes: deflateRawSync(body)};
		}

		return this.#deflated.bytes;
	}
}

/**
 * Unpacks the publication of a feed.
 *
 * @example
 * ```ts
 * inflatePublication(feed.publication); // Either.right('{"version":7,…}')
 * ```
 */
export function inflatePublication(bytes: Uint8Array): Either.Either<Problem, string> {
	return Either.tryCatch(() => Buffer.from(inflateRawSync(bytes)).toString('utf8'), error => createProblem('badRequest', String(error)));
}

export type FeedSubscriptionOptions = {
	readonly host: string;
	readonly dataCentre: string;
	readonly role: Watch['role'];
	/** Control hosts told at the start; they are never forgotten. */
	readonly seeds: readonly Address[];
	readonly clock: Clock;
	readonly logger: Logger;
	/** Version of the publication held. */
	readonly readVersion: () => number;
	readonly onFeed: (feed: Feed, control: string) => void;
	/** Called with any other message that a control host sends. */
	readonly onMessage?: (message: Message, control: string) => void;
	readonly onDisconnect?: (control: string) => void;
};

type Source = {
	readonly address: Address;
	connection: Connection | undefined;
	openedMs: number;
	heardMs: number;
	hasQuorum: boolean;
	isWarm: boolean;
	/** When it was last named as a control host, or told at the start. */
	namedMs: number;
};

/** A control host that is not named any more is forgotten after this time. */
const FORGET_MS = 60_000;

/** The subscribing side: one connection to every control host heard of. Whoever created it closes it. */
export class FeedSubscription {
	readonly #options: FeedSubscriptionOptions;
	readonly #sources = new Map<string, Source>();
	readonly #told = new Set<string>();
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

	/** Takes control hosts that the settings name now; earlier ones stay known. */
	addSeeds(seeds: readonly Address[]): void {
		for (const seed of seeds) {
			this.#told.add(toKey(seed));
			this.#learn(seed);
		}
	}

	/** Control hosts heard of, live or not. */
	listAddresses(): Address[] {
		return [...this.#sources.values()].map(source => source.address);
	}

	/** Control hosts that were heard a moment ago and had a majority then, in the same order on every host. */
	listLive(): string[] {
		const nowMs = this.#options.clock.monotonicMs();
		const live: string[] = [];
		for (const [key, source] of this.#sources) {
			if (source.connection?.isOpen && source.hasQuorum && nowMs - source.heardMs < SILENCE_LIMIT_MS) {
				live.push(key);
			}
		}

		return live.toSorted();
	}

	isWarm(control: string): boolean {
		return this.#sources.get(control)?.isWarm ?? false;
	}

	/** Sends a message to one control host; false if there is no connection to it. */
	send(control: string, message: Message): boolean {
		const connection = this.#sources.get(control)?.connection;
		if (!connection?.isOpen) {
			return false;
		}

		connection.send(message);
		return true;
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
			const isSilent = nowMs - Math.max(source.heardMs, source.openedMs) > SILENCE_LIMIT_MS;
			if (source.connection?.isOpen && !isSilent) {
				source.connection.send(this.#createWatch());
				continue;
			}

			source.connection?.close();
			if (nowMs - source.namedMs > FORGET_MS && !this.#told.has(key)) {
				this.#sources.delete(key);
				continue;
			}

			this.#open(key, source, nowMs);
		}
	}

	#open(key: string, source: Source, nowMs: number): void {
		source.openedMs = nowMs;
		const connection = connect(source.address, message => {
			if (source.connection === connection) {
				this.#onMessage(message, key, source);
			}
		});
		source.connection = connection;
		connection.onClose(() => {
			if (source.connection === connection && !this.#isClosed) {
				if (source.hasQuorum) {
					this.#options.logger.warn(`Lost control host ${key}.`, {control: key});
				}

				source.hasQuorum = false;
				this.#options.onDisconnect?.(key);
			}
		});
		connection.send(this.#createWatch());
	}

	#onMessage(message: Message, key: string, source: Source): void {
		if (message.type !== 'feed') {
			this.#options.onMessage?.(message, key);
			return;
		}

		const nowMs = this.#options.clock.monotonicMs();
		source.heardMs = nowMs;
		if (source.hasQuorum !== message.hasQuorum) {
			this.#options.logger.info(`Control host ${key} ${message.hasQuorum ? 'has' : 'has lost'} its majority.`, {control: key});
		}

		source.hasQuorum = message.hasQuorum;
		source.isWarm = message.isWarm;
		for (const member of message.members) {
			this.#learn(member);
		}

		this.#options.onFeed(message, key);
	}

	#learn(address: Address): void {
		const key = toKey(address);
		const nowMs = this.#options.clock.monotonicMs();
		const known = this.#sources.get(key);
		if (known) {
			known.namedMs = nowMs;
			return;
		}

		this.#sources.set(key, {
			address: {address: address.address, port: address.port},
			connection: undefined,
			openedMs: Number.NEGATIVE_INFINITY,
			heardMs: Number.NEGATIVE_INFINITY,
			hasQuorum: false,
			isWarm: false,
			namedMs: nowMs,
		});
	}

	#createWatch(): Watch {
		const {host, dataCentre, role, readVersion} = this.#options;
		return {
			type: 'watch', host, dataCentre, role, version: readVersion(),
		};
	}
}

function toKey({address, port}: Address): string {
	return `${address}:${port}`;
}
