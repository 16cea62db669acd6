/**
 * Chooses the entry hosts that keep copies of the origins of streams.
 *
 * Performs no I/O; the caller passes the current time.
 *
 * @module
 */
import {crc32} from 'node:zlib';
import type {Peer} from '../generated/types.js';

/**
 * Number of entry hosts that keep copies. It bounds the connections of every host for this purpose, however many hosts there are; at
 * 3,000 streams a second each of these hosts receives 375 copies a second.
 */
export const HOLDER_COUNT = 16;
/** Spreads similar checksums over all numbers (Fibonacci hashing). Without it some hosts would be first in rank far too often. */
const HASH_MULTIPLIER = 0x9E_37_79_B1;
/** Time after which an entry host that no control host lists any more is removed. */
const RETENTION_MS = 60_000;

/**
 * Formats the address by which a holder is identified.
 *
 * @example
 * ```ts
 * formatHolderKey({host: 'h1', address: '10.1.0.5', port: 7380}); // '10.1.0.5:7380'
 * ```
 */
export function formatHolderKey({address, port}: Peer): string {
	return `${address}:${port}`;
}

/**
 * Selects the entry hosts that keep copies, by rendezvous hashing: when a host joins or leaves, the others stay selected but for one.
 *
 * @example
 * ```ts
 * selectHolders([{host: 'h1', address: '10.1.0.5', port: 7380}]); // the same host
 * ```
 */
export function selectHolders(hosts: Iterable<Peer>): Peer[] {
	return rank(hosts, 'holder').slice(0, HOLDER_COUNT);
}

/** The entry hosts that the control hosts have listed as keeping copies. */
export class HolderTable {
	readonly #holders = new Map<string, {readonly peer: Peer; readonly listedMs: number}>();

	/**
	 * Merges the list of one control host. A control host that has just started lists only the few hosts that have reached it, so the
	 * others are kept for a minute.
	 */
	merge(peers: readonly Peer[], nowMs: number): void {
		for (const peer of peers) {
			this.#holders.set(formatHolderKey(peer), {peer, listedMs: nowMs});
		}

		for (const [key, {listedMs}] of this.#holders) {
			if (nowMs - listedMs > RETENTION_MS) {
				this.#holders.delete(key);
			}
		}
	}

	/** Whether a holder is still known, by its key. */
	has(key: string): boolean {
		return this.#holders.has(key);
	}

	/**
	 * Ranks the holders to which copies of one stream are sent. All hosts that know the same holders rank them alike, so that a copy is
	 * found by the ID of the attempt that brought the first event.
	 */
	rankFor(attempt: string): Peer[] {
		return rank(selectHolders(this.#listPeers()), attempt);
	}

	/** Ranks the hosts that may have copies of one stream: also those that were holders a moment ago. */
	rankKnown(attempt: string): Peer[] {
		return rank(this.#listPeers(), attempt);
	}

	#listPeers(): Peer[] {
		return [...this.#holders.values()].map(({peer}) => peer);
	}
}

function rank(hosts: Iterable<Peer>, key: string): Peer[] {
	return [...hosts]
		.map(peer => ({peer, score: Math.imul(crc32(`${key} ${formatHolderKey(peer)}`), HASH_MULTIPLIER)}))
		.toSorted((a, b) => b.score - a.score)
		.map(({peer}) => peer);
}
