/**
 * What the entry hosts know together: backend servers, each other, and requests that crash servers.
 *
 * Facts are merged by rules that do not depend on the order of arrival, and spread as rumors: what is urgent first,
 * load reports as far as the budget of bytes allows.
 *
 * @module
 */
import {crc32} from 'node:zlib';
import type {
	Announcement, Fact, HostFact, Peer, PoisonFact,
} from '../generated/types.js';

/** How a merge changed what is known. */
export const FACT_MERGE_RESULTS = {none: 'none', refresh: 'refresh', urgent: 'urgent'} as const;
export type FactMergeResult = keyof typeof FACT_MERGE_RESULTS;

export type ServerRecord = {
	readonly announcement: Announcement;
	/** Monotonic time of the last newer announcement, milliseconds. */
	readonly receivedMs: number;
};

type Rumor = {
	readonly fact: Fact;
	readonly urgent: boolean;
	remaining: number;
};

export const SERVER_TIMEOUT_MS = 180_000;
const POISON_RETENTION_MS = 3_600_000;
const MAX_POISON_FACTS = 2000;
const REPEATS_PER_DOUBLING = 2;
/** Bytes around the facts of one gossip message. */
const MESSAGE_OVERHEAD_BYTES = 90;

/** The facts one host knows. A step machine: time is handed in. */
export class Directory {
	readonly #servers = new Map<string, ServerRecord>();
	readonly #hosts = new Map<string, HostFact>();
	readonly #poison = new Map<string, PoisonFact>();
	readonly #rumors = new Map<string, Rumor>();
	readonly #ownHost: string;

	constructor(ownHost: string) {
		this.#ownHost = ownHost;
	}

	/** Backend servers that are not silent for long; leaving ones are listed too. */
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

	/** Entry hosts to gossip with. */
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
		return this.#poison.get(fingerprint);
	}

	/** Takes a fact in; what is news is spread further. */
	merge(fact: Fact, nowMs: number): FactMergeResult {
		const result = this.#mergeByType(fact, nowMs);
		if (result !== FACT_MERGE_RESULTS.none) {
			this.#spread(fact, result);
		}

		return result;
	}

	/** Takes the rumors for one message, urgent ones first, up to a number of bytes. */
	takeRumors(maxBytes: number): Fact[] {
		const rumors = [...this.#rumors].toSorted(([, a], [, b]) => Number(b.urgent) - Number(a.urgent) || b.remaining - a.remaining);
		const facts: Fact[] = [];
		let bytes = MESSAGE_OVERHEAD_BYTES;
		for (const [key, rumor] of rumors) {
			bytes += estimateBytes(rumor.fact);
			if (bytes > maxBytes && (facts.length > 0 || !rumor.urgent)) {
				break;
			}

			facts.push(rumor.fact);
			rumor.remaining--;
			if (rumor.remaining <= 0) {
				this.#rumors.delete(key);
			}
		}

		return facts;
	}

	/** Checksum over what matters of all facts; load reports do not count. */
	digest(): number {
		let sum = 0;
		for (const fact of this.listFacts()) {
			sum = (sum + crc32(describeEssence(fact))) % 0x1_00_00_00_00;
		}

		return sum;
	}

	listFacts(): Fact[] {
		const servers = [...this.#servers.values()].map(({announcement}): Fact => ({type: 'server', announcement}));
		return [...servers, ...this.#hosts.values(), ...this.#poison.values()];
	}

	/** Forgets servers that have been silent for long. */
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
				return this.#mergePoison(fact);
			}
		}
	}

	#mergeServer(announcement: Announcement, nowMs: number): FactMergeResult {
		const known = this.#servers.get(announcement.server)?.announcement;
		if (known && !isLater(announcement, known)) {
			return FACT_MERGE_RESULTS.none;
		}

		this.#servers.set(announcement.server, {announcement, receivedMs: nowMs});
		const isSame = known && describeServer(known) === describeServer(announcement);
		return isSame ? FACT_MERGE_RESULTS.refresh : FACT_MERGE_RESULTS.urgent;
	}

	#mergeHost(fact: HostFact): FactMergeResult {
		const known = this.#hosts.get(fact.peer.host);
		if (known && !isLater(fact, known)) {
			return FACT_MERGE_RESULTS.none;
		}

		this.#hosts.set(fact.peer.host, fact);
		return known && describeHost(known) === describeHost(fact) ? FACT_MERGE_RESULTS.refresh : FACT_MERGE_RESULTS.urgent;
	}

	#mergePoison(fact: PoisonFact): FactMergeResult {
		const known = this.#poison.get(fact.fingerprint);
		const servers = unite(known?.servers, fact.servers);
		const acquitted = unite(known?.acquitted, fact.acquitted);
		if (known?.servers.length === servers.length && (known.acquitted ?? []).length === acquitted.length) {
			return FACT_MERGE_RESULTS.none;
		}

		this.#poison.set(fact.fingerprint, {
			...fact, servers, acquitted, at: Math.max(fact.at, known?.at ?? 0),
		});
		for (const [fingerprint, {at}] of this.#poison) {
			if (fact.at - at > POISON_RETENTION_MS || this.#poison.size > MAX_POISON_FACTS) {
				this.#poison.delete(fingerprint);
			}
		}

		return FACT_MERGE_RESULTS.urgent;
	}

	#spread(fact: Fact, result: FactMergeResult): void {
		const key = factKey(fact);
		const pending = this.#rumors.get(key);
		const urgent = result === FACT_MERGE_RESULTS.urgent || (pending?.urgent ?? false);
		const doublings = Math.ceil(Math.log2(this.#hosts.size + 2));
		const stored = fact.type === 'poison' ? this.#poison.get(fact.fingerprint)! : fact;
		this.#rumors.set(key, {fact: stored, urgent, remaining: urgent ? doublings * REPEATS_PER_DOUBLING : doublings});
	}
}

type Ordered = {
	readonly incarnation: number;
	readonly sequence: number;
};

function isLater(candidate: Ordered, known: Ordered): boolean {
	return candidate.incarnation === known.incarnation
		? candidate.sequence > known.sequence
		: candidate.incarnation > known.incarnation;
}

function unite(first: readonly string[] = [], second: readonly string[] = []): string[] {
	return [...new Set([...first, ...second])].toSorted();
}

function factKey(fact: Fact): string {
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

function describeEssence(fact: Fact): string {
	switch (fact.type) {
		case 'server': {
			return describeServer(fact.announcement);
		}

		case 'host': {
			return describeHost(fact);
		}

		case 'poison': {
			return `${fact.fingerprint} ${fact.servers.join(' ')} / ${(fact.acquitted ?? []).join(' ')}`;
		}
	}
}

function describeServer(announcement: Announcement): string {
	const {load, sequence, ...essence} = announcement;
	return JSON.stringify(essence);
}

function describeHost(fact: HostFact): string {
	const {sequence, ...essence} = fact;
	return JSON.stringify(essence);
}

// CBOR without records is close to JSON in size; JSON is cheaper to measure and slightly longer.
function estimateBytes(fact: Fact): number {
	return JSON.stringify(fact).length;
}
