/**
 * Copies of the origins of streams at other entry hosts.
 *
 * Callers resume a stream after its entry host has ended, and the control hosts may have been killed meanwhile. So the host that forwards
 * the first event of a stream tells two other entry hosts which software version began it, and a host that does not know the origin of
 * a resumed stream asks them.
 *
 * @module
 */
import type {Clock} from '../base/clock.js';
import type {Logger} from '../base/logger.js';
import type {Fact, Message, Peer} from '../generated/types.js';
import {formatHolderKey, HolderTable} from '../routing/holders.js';
import {StreamOrigins} from '../routing/origins.js';
import {connect, type Address, type Connection} from '../wire/connection.js';
import type {ServingMetrics} from './metrics.js';

export type OriginCopiesOptions = {
	/** Where this host listens for other entry hosts. */
	readonly self: Address;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Pick<ServingMetrics, 'originLookups'>;
	/** Finds the software version that began a stream which this host has served. */
	readonly findServed: (attempt: string) => string | undefined;
};

/** Another host that keeps copies, and what is on its way to it. */
type Holder = {
	connection: Connection | undefined;
	/** Monotonic time before which this host does not connect to it again, milliseconds. */
	avoidedUntilMs: number;
	/** Origins that go out with the next message, by software version. */
	readonly unsent: Map<string, string[]>;
	readonly lookups: Map<number, (software: string | undefined) => void>;
};

/** Two copies, so that one of the hosts that keep them may be killed with the one that serves the stream. */
const COPIES = 2;
/** Hosts that are asked: those that keep the copies, and those that take their place on hosts with other lists of holders. */
const MAX_ASKED = 4;
/** Holders respond within some milliseconds. One that has not is overloaded, hung or disconnected. */
const LOOKUP_TIMEOUT_MS = 400;
/** How long a holder that cannot be reached, or is of an older version, is left out. */
const HOLDER_BACKOFF_MS = 2000;
/** IDs beyond this size are not copied: 50,000 of them would take more memory than a host has for copies. */
const MAX_ATTEMPT_LENGTH = 128;

/** Sends copies of origins to other entry hosts, keeps those of others and looks them up. Its creator must close it. */
export class OriginCopies {
	readonly #options: OriginCopiesOptions;
	readonly #table = new HolderTable();
	readonly #copies = new StreamOrigins();
	readonly #holders = new Map<string, Holder>();
	#flush: NodeJS.Immediate | undefined;
	#lastId = 0;
	#isClosed = false;

	constructor(options: OriginCopiesOptions) {
		this.#options = options;
	}

	/** Takes over the holders that a control host lists. */
	updateHolders(facts: readonly Fact[]): void {
		const peers = facts.flatMap(fact => fact.type === 'host' ? [fact.peer] : []);
		if (peers.length === 0) {
			return;
		}

		this.#table.merge(peers, this.#options.clock.monotonicMs());
		for (const [key, {connection}] of this.#holders) {
			if (!this.#table.has(key)) {
				this.#holders.delete(key);
				connection?.close();
			}
		}
	}

	/** Sends the origin of a stream that has begun to the hosts that keep its copies. */
	copy(attempt: string, software: string): void {
		if (attempt.length > MAX_ATTEMPT_LENGTH) {
			return;
		}

		for (const holder of this.#takeReachable(this.#table.rankFor(attempt), COPIES)) {
			const attempts = holder.unsent.get(software) ?? [];
			holder.unsent.set(software, attempts);
			attempts.push(attempt);
			// Streams whose first events arrive together share a message.
			this.#flush ??= setImmediate(() => {
				this.#flush = undefined;
				this.#sendAll();
			});
		}
	}

	/** Finds the software version that began a stream at the hosts that keep its copies; undefined if none of them knows. */
	async lookUp(attempt: string): Promise<string | undefined> {
		const {clock, logger, metrics} = this.#options;
		const startedMs = clock.monotonicMs();
		const holders = this.#takeReachable(this.#table.rankKnown(attempt), MAX_ASKED);
		const software = this.#copies.findSoftware(attempt, startedMs) ?? await this.#askAll(holders, attempt);
		metrics.originLookups.inc({outcome: software === undefined ? 'unknown' : 'found'});
		logger.info(`The origin of a resumed stream is ${software === undefined ? 'not known to the hosts that keep copies' : 'known from a copy'}.`, {
			attempt: attempt.slice(0, MAX_ATTEMPT_LENGTH), software, asked: holders.length, tookMs: Math.round(clock.monotonicMs() - startedMs),
		});
		return software;
	}

	/** Handles a message of another entry host. */
	receive(message: Message, connection: Connection): void {
		const nowMs = this.#options.clock.monotonicMs();
		if (message.type === 'streamOrigins') {
			for (const {software, attempts} of message.origins) {
				for (const attempt of attempts) {
					this.#copies.record(attempt, software, nowMs);
				}
			}
		} else if (message.type === 'originRequest') {
			const software = this.#copies.findSoftware(message.attempt, nowMs) ?? this.#options.findServed(message.attempt);
			connection.send({type: 'originReply', id: message.id, ...(software !== undefined && {software})});
		}
	}

	close(): void {
		this.#isClosed = true;
		clearImmediate(this.#flush);
		for (const {connection} of this.#holders.values()) {
			connection?.close();
		}
	}

	/** Returns the first of the hosts, without this one and those that could not be reached a moment ago. */
	#takeReachable(peers: readonly Peer[], count: number): Holder[] {
		const {self, clock} = this.#options;
		const nowMs = clock.monotonicMs();
		const reachable: Holder[] = [];
		for (const peer of this.#isClosed ? [] : peers) {
			const isSelf = peer.address === self.address && peer.port === self.port;
			const holder = isSelf || reachable.length === count ? undefined : this.#connect(peer, nowMs);
			if (holder?.connection?.isOpen) {
				reachable.push(holder);
			}
		}

		return reachable;
	}

	#connect(peer: Peer, nowMs: number): Holder {
		const key = formatHolderKey(peer);
		const holder: Holder = this.#holders.get(key) ?? {
			connection: undefined, avoidedUntilMs: Number.NEGATIVE_INFINITY, unsent: new Map(), lookups: new Map(),
		};
		this.#holders.set(key, holder);
		const isOpen = holder.connection?.isOpen ?? false;
		if (isOpen || holder.avoidedUntilMs > nowMs) {
			return holder;
		}

		const connection = connect(peer, message => {
			if (message.type === 'originReply') {
				holder.lookups.get(message.id)?.(message.software);
			}
		});
		holder.connection = connection;
		connection.onClose(() => {
			holder.avoidedUntilMs = this.#options.clock.monotonicMs() + HOLDER_BACKOFF_MS;
			for (const settle of holder.lookups.values()) {
				settle(undefined);
			}
		});
		return holder;
	}

	/** Asks all holders; the first one that knows decides. */
	async #askAll(holders: readonly Holder[], attempt: string): Promise<string | undefined> {
		const answers = holders.map(async holder => this.#ask(holder, attempt));
		return new Promise(resolve => {
			for (const answer of answers) {
				void answer.then(software => {
					if (software !== undefined) {
						resolve(software);
					}
				});
			}

			void Promise.all(answers).then(() => {
				resolve(undefined);
			});
		});
	}

	async #ask(holder: Holder, attempt: string): Promise<string | undefined> {
		return new Promise(resolve => {
			const id = ++this.#lastId;
			const settle = (software: string | undefined) => {
				clearTimeout(timer);
				holder.lookups.delete(id);
				resolve(software);
			};

			const timer = setTimeout(settle, LOOKUP_TIMEOUT_MS, undefined);
			holder.lookups.set(id, settle);
			holder.connection?.send({type: 'originRequest', id, attempt});
		});
	}

	#sendAll(): void {
		for (const {connection, unsent} of this.#holders.values()) {
			if (unsent.size > 0) {
				connection?.send({type: 'streamOrigins', origins: [...unsent].map(([software, attempts]) => ({software, attempts}))});
				unsent.clear();
			}
		}
	}
}
