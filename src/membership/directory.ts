/**
 * The facts that entry hosts share by gossip: backend servers, entry hosts, and requests that crash engines.
 *
 * The result of merging facts does not depend on the order in which they arrive. Facts spread by rumor mongering: each
 * host forwards a fact that is new to it a limited number of times. Urgent facts are sent first, and load reports fill
 * the rest of a message.
 *
 * @module
 */
import {crc32} from 'node:zlib';
import type {
	Announcement, Fact, HostFact, Peer, PoisonFact,
} from '../generated/types.js';
import {CrashTable} from './crashes.js';

/**
 * The result of merging a fact: `none` if it was known or outdated, `refresh` if only its sequence number or load
 * report is new, `urgent` if anything else changed.
 */
export const FACT_MERGE_RESULTS = {none: 'none', refresh: 'refresh', urgent: 'urgent'} as const;
export type FactMergeResult = keyof typeof FACT_MERGE_RESULTS;

export type ServerRecord = {
	readonly announcement: Announcement;
	/** Monotonic time at which the latest announcement was received, milliseconds. */
	readonly receivedMs: number;
};

/** A fact that is still being forwarded. */
type Rumor = {
	readonly fact: Fact;
	readonly urgent: boolean;
	/** Number of messages that will still carry the fact. */
	remainingSends: number;
};

/** Servers without a newer announcement for this long are no longer listed. */
export const SERVER_TIMEOUT_MS = 180_000;
/** Urgent facts are forwarded this many times for each doubling of the number of hosts, other facts once. */
const URGENT_SENDS_PER_DOUBLING = 2;
/** Encoded size of a gossip message without its facts. */
const MESSAGE_OVERHEAD_BYTES = 90;

/** The facts held by one host. A state machine without I/O: the caller passes the current time. */
export class Directory {
	readonly #servers = new Map<string, ServerRecord>();
	readonly #hosts = new Map<string, HostFact>();
	readonly #crashes = new CrashTable();
	readonly #rumors = new Map<string, Rumor>();
	readonly #ownHost: string;

	constructor(ownHost: string) {
		this.#ownHost = ownHost;
	}

	/** Lists the backend servers announced within the timeout, including those that are leaving. */
	listServers(nowMs: number): Announcement[] {
		const result: Announcement[] = [];
		for (const {announcement, receivedMs} of this.#servers.values()) {
			if (nowMs - receivedMs < SERVER_TIMEOUT_MS) {
				result.push(announcement);
			}
		}

		return result;
	}

	findServer(server: string): Announcement | undefined {
		return this.#servers.get(server)?.announcement;
	}

	/** Lists the other entry hosts, except those that are leaving. */
	listPeers(): Peer[] {
		const peers: Peer[] = [];
		for (const fact of this.#hosts.values()) {
			if (!fact.leaving && fact.peer.host !== this.#ownHost) {
				peers.push(fact.peer);
			}
		}

		return peers;
	}

	listHosts(): HostFact[] {
		return [...this.#hosts.values()];
	}

	findPoison(fingerprint: string): PoisonFact | undefined {
		return this.#crashes.findFact(fingerprint);
	}

	/** Merges a fact and, if it is new, queues it for forwarding. */
	merge(fact: Fact, nowMs: number): FactMergeResult {
		const result = this.#mergeByType(fact, nowMs);
		if (result !== FACT_MERGE_RESULTS.none) {
			this.#enqueue(fact, result);
		}

		return result;
	}

	/**
	 * Dequeues the facts for one message, urgent ones first, up to a size in bytes. An urgent fact that exceeds the
	 * size on its own is still returned, so that it cannot get stuck.
	 */
	takeRumors(maxBytes: number): Fact[] {
		const rumors = [...this.#rumors].toSorted(([, a], [, b]) => Number(b.urgent) - Number(a.urgent) || b.remainingSends - a.remainingSends);
		const facts: Fact[] = [];
		let bytes = MESSAGE_OVERHEAD_BYTES;
		for (const [key, rumor] of rumors) {
			bytes += estimateBytes(rumor.fact);
			if (bytes > maxBytes && (facts.length > 0 || !rumor.urgent)) {
				break;
			}

			facts.push(rumor.fact);
			rumor.remainingSends--;
			if (rumor.remainingSends <= 0) {
				this.#rumors.delete(key);
			}
		}

		return facts;
	}

	/** Computes a checksum over all facts. Load reports and sequence numbers are left out. */
	digest(): number {
		let sum = 0;
		for (const fact of this.listFacts()) {
			sum = (sum + crc32(serializeFact(fact))) % 0x1_00_00_00_00;
		}

		return sum;
	}

	listFacts(): Fact[] {
		const servers = [...this.#servers.values()].map(({announcement}): Fact => ({type: 'server', announcement}));
		return [...servers, ...this.#hosts.values(), ...this.#crashes.listFacts()];
	}

	/** Removes servers without a newer announcement for twice the timeout. */
	expire(nowMs: number): void {
		for (const [server, {receivedMs}] of this.#servers) {
			if (nowMs - receivedMs > SERVER_TIMEOUT_MS * 2) {
				this.#servers.delete(server);
			}
		}
	}

	#mergeByType(fact: Fact, nowMs: number): FactMergeResult {
		switch (fact.type) {
			case 'server': {
				return this.#mergeServer(fact.announcement, nowMs);
			}

			case 'host': {
				return this.#mergeHost(fact);
			}

			case 'poison': {
				return this.#crashes.merge(fact, nowMs) ? FACT_MERGE_RESULTS.urgent : FACT_MERGE_RESULTS.none;
			}
		}
	}

	#mergeServer(announcement: Announcement, nowMs: number): FactMergeResult {
		const known = this.#servers.get(announcement.server)?.announcement;
		if (known && !isNewer(announcement, known)) {
			return FACT_MERGE_RESULTS.none;
		}

		this.#servers.set(announcement.server, {announcement, receivedMs: nowMs});
		const isSame = known && serializeServer(known) === serializeServer(announcement);
		return isSame ? FACT_MERGE_RESULTS.refresh : FACT_MERGE_RESULTS.urgent;
	}

	#mergeHost(fact: HostFact): FactMergeResult {
		const known = this.#hosts.get(fact.peer.host);
		if (known && !isNewer(fact, known)) {
			return FACT_MERGE_RESULTS.none;
		}

		this.#hosts.set(fact.peer.host, fact);
		return known && serializeHost(known) === serializeHost(fact) ? FACT_MERGE_RESULTS.refresh : FACT_MERGE_RESULTS.urgent;
	}

	#enqueue(fact: Fact, result: FactMergeResult): void {
		const key = createFactKey(fact);
		const pending = this.#rumors.get(key);
		const urgent = result === FACT_MERGE_RESULTS.urgent || (pending?.urgent ?? false);
		const doublings = Math.ceil(Math.log2(this.#hosts.size + 2));
		const stored = fact.type === 'poison' ? this.#crashes.findFact(fact.fingerprint)! : fact;
		this.#rumors.set(key, {fact: stored, urgent, remainingSends: urgent ? doublings * URGENT_SENDS_PER_DOUBLING : doublings});
	}
}

type Version = {
	readonly incarnation: number;
	readonly sequence: number;
};

function isNewer(candidate: Version, known: Version): boolean {
	return candidate.incarnation === known.incarnation
		? candidate.sequence > known.sequence
		: candidate.incarnation > known.incarnation;
}

function createFactKey(fact: Fact): string {
	switch (fact.type) {
		case 'server': {
			return `server/${fact.announcement.server}`;
		}

		case 'host': {
			return `host/${fact.peer.host}`;
		}

		case 'poison': {
			return `poison/${fact.fingerprint}`;
		}
	}
}

/** Serializes a fact without its load report and sequence number. */
function serializeFact(fact: Fact): string {
	switch (fact.type) {
		case 'server': {
			return serializeServer(fact.announcement);
		}

		case 'host': {
			return serializeHost(fact);
		}

		case 'poison': {
			return `${fact.fingerprint} ${fact.servers.join(' ')} / ${(fact.acquitted ?? []).join(' ')}`;
		}
	}
}

function serializeServer(announcement: Announcement): string {
	const {load, sequence, ...fields} = announcement;
	return JSON.stringify(fields);
}

function serializeHost(fact: HostFact): string {
	const {sequence, ...fields} = fact;
	return JSON.stringify(fields);
}

// Messages are encoded as CBOR, but JSON is cheaper to produce here and only slightly longer.
function estimateBytes(fact: Fact): number {
	return JSON.stringify(fact).length;
}
