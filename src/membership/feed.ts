/**
 * The feed: control hosts push the publication, the status of backend servers, the list of control hosts, the requests
 * that were in flight at servers that crashed, and the servers' rate limits to every subscribed host.
 *
 * Every entry host subscribes to every control host. A new publication or a server that deregisters thus reaches all
 * entry hosts within one network round after any control host learns of it, even if other control hosts are down or
 * partitioned.
 *
 * @module
 */
import {deflateRawSync} from 'node:zlib';
import type {Clock} from '../base/clock.js';
import type {
	Feed, HostFact, Member, Peer, RelayingState, Watch,
} from '../generated/types.js';
import {formatHolderKey, selectHolders} from '../routing/holders.js';
import type {Connection} from '../wire/connection.js';
import type {CrashTable} from './crashes.js';
import {selectRelays, type RelayCandidate} from './relays.js';
import type {RateLimitTable} from './ratelimits.js';
import type {ServerRegistry} from './registry.js';

/** Interval of heartbeats in both directions. A subscriber drops a connection after four missed ones. */
export const FEED_INTERVAL_MS = 300;
export const HEARTBEAT_TIMEOUT_MS = 1200;
/** Version in feeds and watches without a publication, whose versions begin with 0. Hosts of older versions send 0. */
export const NO_PUBLICATION = -1;
/** Changes within this time are sent in one feed message. */
const COALESCE_DELAY_MS = 5;
/** Interval at which the hosts that keep copies are listed again, so that a host which is no longer listed is forgotten, milliseconds. */
const HOLDERS_INTERVAL_MS = 20_000;
/**
 * No publication is sent while this much unsent data is buffered on the connection. When publications arrive in quick
 * succession, a slow subscriber thus receives only the latest.
 */
const MAX_BUFFERED_BYTES = 32 * 1024;

/** A publication in its published form: JSON text. */
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
	/** Requests that were in flight at servers that crashed. */
	readonly crashes: CrashTable;
	/** Rates of requests that servers accept. */
	readonly rateLimits: RateLimitTable;
	/** This host, as sender of crash facts. */
	readonly self: Peer;
};

type Subscriber = {
	readonly host: string;
	readonly dataCentre: string;
	readonly role: Watch['role'];
	relaying: RelayingState;
	/** Version of the latest publication it holds or was sent. */
	version: number;
	/** Revision of the server registry up to which changes were sent. */
	revision: number;
	/** Revision of the crash table up to which changes were sent. */
	crashRevision: number;
	/** Revision of the table of rate limits up to which changes were sent. */
	rateLimitRevision: number;
	/** The hosts that keep copies of the origins of streams, as they were sent last, and when. */
	holders: string;
	holdersSentMs: number;
	isNew: boolean;
	lastReceivedMs: number;
};

/** Publishes the feed of a control host. Its creator must close it. */
export class FeedPublisher {
	readonly #options: FeedPublisherOptions;
	readonly #subscribers = new Map<Connection, Subscriber>();
	readonly #timer: NodeJS.Timeout;
	#pending: NodeJS.Timeout | undefined;
	#compressed: {readonly version: number; readonly bytes: Uint8Array} | undefined;

	constructor(options: FeedPublisherOptions) {
		this.#options = options;
		this.#timer = setInterval(() => {
			this.#publish(true);
		}, FEED_INTERVAL_MS);
	}

	/** Number of subscribed entry hosts. */
	get entryHostCount(): number {
		const hosts = new Set<string>();
		for (const {host, role} of this.#subscribers.values()) {
			if (role === 'entry') {
				hosts.add(host);
			}
		}

		return hosts.size;
	}

	/** Subscribes the connection, or records a heartbeat of an existing subscriber. */
	handleWatch(message: Watch, connection: Connection): void {
		const known = this.#subscribers.get(connection);
		const {host, dataCentre, role, version, relaying} = message;
		if (known) {
			known.version = Math.max(known.version, version);
			known.lastReceivedMs = this.#options.clock.monotonicMs();
			if (relaying) {
				known.relaying = relaying;
				this.notify();
			}

			return;
		}

		this.#subscribers.set(connection, {
			host, dataCentre, role, relaying: relaying ?? {isCutOff: false}, version, revision: 0, crashRevision: 0, rateLimitRevision: 0, holders: '', holdersSentMs: Number.NEGATIVE_INFINITY, isNew: true, lastReceivedMs: this.#options.clock.monotonicMs(),
		});
		connection.onClose(() => {
			this.#subscribers.delete(connection);
		});
		this.notify();
	}

	/** Schedules a push of what has changed, within a few milliseconds. */
	notify(): void {
		this.#pending ??= setTimeout(() => {
			this.#pending = undefined;
			this.#publish(false);
		}, COALESCE_DELAY_MS);
	}

	close(): void {
		clearInterval(this.#timer);
		clearTimeout(this.#pending);
	}

	#publish(isHeartbeat: boolean): void {
		const nowMs = this.#options.clock.monotonicMs();
		const holders = this.#listHolders();
		for (const [connection, subscriber] of this.#subscribers) {
			if (nowMs - subscriber.lastReceivedMs > HEARTBEAT_TIMEOUT_MS * 2) {
				connection.close();
				continue;
			}

			this.#sendCrashes(connection, subscriber);
			this.#sendRateLimits(connection, subscriber);
			this.#sendHolders(connection, subscriber, holders, nowMs);
			const feed = this.#createFeed(connection, subscriber);
			if (isHeartbeat || feed.whole || feed.publication !== undefined || feed.sightings.length > 0 || feed.relays !== undefined) {
				connection.send(feed);
			}
		}
	}

	#sendCrashes(connection: Connection, subscriber: Subscriber): void {
		const {crashes, self} = this.#options;
		if (subscriber.crashRevision < crashes.revision) {
			connection.send({type: 'gossip', from: self, facts: [...crashes.listChangedSince(subscriber.crashRevision)]});
			subscriber.crashRevision = crashes.revision;
		}
	}

	#sendRateLimits(connection: Connection, subscriber: Subscriber): void {
		const {rateLimits} = this.#options;
		if (subscriber.rateLimitRevision < rateLimits.revision) {
			connection.send({type: 'rateLimits', facts: [...rateLimits.listChangedSince(subscriber.rateLimitRevision)]});
			subscriber.rateLimitRevision = rateLimits.revision;
		}
	}

	/** Lists the hosts that keep copies, as facts that hosts of older versions pass over. */
	#sendHolders(connection: Connection, subscriber: Subscriber, facts: HostFact[], nowMs: number): void {
		if (subscriber.role !== 'entry') {
			return;
		}

		const holders = facts.map(({peer}) => formatHolderKey(peer)).join(' ');
		if (facts.length > 0 && (subscriber.holders !== holders || nowMs - subscriber.holdersSentMs > HOLDERS_INTERVAL_MS)) {
			connection.send({type: 'gossip', from: this.#options.self, facts});
			subscriber.holders = holders;
			subscriber.holdersSentMs = nowMs;
		}
	}

	#listHolders(): HostFact[] {
		const candidates = this.#listRelayCandidates();
		const dataCentres = new Map(candidates.map(({host, dataCentre}) => [host, dataCentre]));
		return selectHolders(candidates.flatMap(({host, relay}) => relay ? [{host, ...relay}] : [])).map(peer => ({
			type: 'host', peer, dataCentre: dataCentres.get(peer.host) ?? '', incarnation: 0, sequence: 0, leaving: false,
		}));
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
			version: publication?.version ?? NO_PUBLICATION,
			sightings: registry.listChangedSince(subscriber.revision, subscriber.role === 'control'),
			members: listMembers(),
			entries: this.entryHostCount,
			...(subscriber.relaying.isCutOff && {relays: selectRelays(subscriber, this.#listRelayCandidates())}),
		};
		subscriber.revision = registry.revision;
		subscriber.isNew = false;
		if (publication && publication.version > subscriber.version && connection.bufferedBytes < MAX_BUFFERED_BYTES) {
			subscriber.version = publication.version;
			return {...feed, publication: this.#compress(publication)};
		}

		return feed;
	}

	#listRelayCandidates(): RelayCandidate[] {
		return [...this.#subscribers.values()].filter(({role}) => role === 'entry').map(({host, dataCentre, relaying}) => ({host, dataCentre, ...relaying}));
	}

	#compress({version, body}: PublicationText): Uint8Array {
		if (this.#compressed?.version !== version) {
			this.#compressed = {version, bytes: deflateRawSync(body)};
		}

		return this.#compressed.bytes;
	}
}
