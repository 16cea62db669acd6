/**
 * The background task that exchanges facts between entry hosts.
 *
 * @module
 */
import type {Clock} from '../base/clock.js';
import type {Logger} from '../base/logger.js';
import {shuffle, type Random} from '../base/random.js';
import type {
	Endpoint, Fact, GossipMessage, HostFact, Peer,
} from '../generated/types.js';
import {ConnectionPool} from '../wire/connection.js';
import {FACT_MERGE_RESULTS, type Directory} from './directory.js';

export type GossipOptions = {
	readonly directory: Directory;
	readonly self: Peer;
	/** HTTP endpoint of this host for callers and operators. */
	readonly http: Endpoint;
	readonly dataCentre: string;
	/** Increases with each start of this host. */
	readonly incarnation: number;
	readonly seeds: readonly Peer[];
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	/** Called for each new fact received from another host. */
	readonly onFact?: (fact: Fact) => void;
};

export const ROUND_INTERVAL_MS = 200;
/** Number of hosts that receive facts in each round. */
export const FANOUT = 2;
/** Largest size of one message's facts. Five rounds per second to two hosts stay below 5 KB/s. */
export const MAX_RUMOR_BYTES = 480;
const DIGEST_EVERY_ROUNDS = 15;
const ANNOUNCE_EVERY_ROUNDS = 300;

/** Runs the gossip protocol of one host. Its creator must close it. */
export class GossipTask {
	readonly #options: GossipOptions;
	readonly #pool: ConnectionPool;
	readonly #timer: NodeJS.Timeout;
	#round = 0;
	#sequence = 0;

	constructor(options: GossipOptions) {
		this.#options = options;
		this.#pool = new ConnectionPool(message => {
			if (message.type === 'gossip') {
				this.receive(message);
			}
		});
		this.#announceSelf(false);
		this.#timer = setInterval(() => {
			this.#tick();
		}, ROUND_INTERVAL_MS);
		this.#sendDigest(this.#choosePeers(FANOUT));
	}

	/** Merges a local fact, which is forwarded in the next rounds. With `toAll`, an urgent one is also sent to all hosts at once. */
	publish(fact: Fact, toAll = false): void {
		const result = this.#options.directory.merge(fact, this.#options.clock.monotonicMs());
		if (toAll && result === FACT_MERGE_RESULTS.urgent) {
			this.#send(this.#listAllPeers(), {facts: [fact]});
		}
	}

	/** Merges the facts of a message. If it has a digest that differs from the local one, both hosts exchange all facts. */
	receive(message: GossipMessage): void {
		const {directory, clock} = this.#options;
		const nowMs = clock.monotonicMs();
		for (const fact of message.facts) {
			if (directory.merge(fact, nowMs) !== FACT_MERGE_RESULTS.none) {
				this.#options.onFact?.(fact);
			}
		}

		if (message.digest !== undefined && message.digest !== directory.digest()) {
			this.#send([message.from], {facts: directory.listFacts(), request: true});
			return;
		}

		if (message.request) {
			this.#send([message.from], {facts: directory.listFacts()});
		}
	}

	/** Tells every host that this one is leaving. */
	leave(): void {
		this.#announceSelf(true);
	}

	close(): void {
		clearInterval(this.#timer);
		this.#pool.close();
	}

	#tick(): void {
		this.#round++;
		const {directory, clock} = this.#options;
		if (this.#round % ANNOUNCE_EVERY_ROUNDS === 0) {
			this.#announceSelf(false);
			directory.expire(clock.monotonicMs());
		}

		if (this.#round % DIGEST_EVERY_ROUNDS === 0) {
			this.#sendDigest(this.#choosePeers(1));
		}

		for (const peer of this.#choosePeers(FANOUT)) {
			const facts = directory.takeRumors(MAX_RUMOR_BYTES);
			if (facts.length > 0) {
				this.#send([peer], {facts});
			}
		}
	}

	#sendDigest(peers: readonly Peer[]): void {
		this.#send(peers, {facts: [], digest: this.#options.directory.digest()});
	}

	#announceSelf(leaving: boolean): void {
		this.#sequence++;
		const fact: HostFact = {
			type: 'host',
			peer: this.#options.self,
			http: this.#options.http,
			dataCentre: this.#options.dataCentre,
			incarnation: this.#options.incarnation,
			sequence: this.#sequence,
			leaving,
		};
		this.publish(fact, leaving);
	}

	#choosePeers(count: number): Peer[] {
		return shuffle(this.#listAllPeers(), this.#options.random).slice(0, count);
	}

	#listAllPeers(): Peer[] {
		const peers = this.#options.directory.listPeers();
		const knownHosts = new Set(this.#options.directory.listHosts().map(fact => fact.peer.host));
		const seeds = this.#options.seeds.filter(seed => seed.host !== this.#options.self.host && !knownHosts.has(seed.host));
		return [...peers, ...seeds];
	}

	#send(peers: readonly Peer[], message: Omit<GossipMessage, 'type' | 'from'>): void {
		for (const peer of peers) {
			this.#pool.send(peer, {type: 'gossip', from: this.#options.self, ...message});
		}
	}
}
