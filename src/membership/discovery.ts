/**
 * Server discovery of an entry host: merges the feeds of all control hosts.
 *
 * @module
 */
import type {Announcement, Feed} from '../generated/types.js';
import {ServerRegistry} from './registry.js';

/** Feeds carry only changes, so that an entry host receives nothing for a server is no sign that it is silent. */
const TIMING = {silentAfterMs: Number.POSITIVE_INFINITY, forgetAfterMs: Number.POSITIVE_INFINITY};

/** State of the connections to the control hosts. */
export type ControlHostStatus = {
	listLive(): string[];
	isWarm(control: string): boolean;
};

/** The backend servers, merged from all feeds. */
export class ServerDiscovery {
	readonly #registry = new ServerRegistry(TIMING);
	/** For each control host, the servers it lists and whether they are up there: neither silent nor gone. */
	readonly #claims = new Map<string, Map<string, boolean>>();
	readonly #live: ControlHostStatus;

	constructor(live: ControlHostStatus) {
		this.#live = live;
	}

	/** Merges a feed. Returns whether it contained server statuses or replaced all earlier ones. */
	merge(feed: Feed, control: string, nowMs: number): boolean {
		let claims = this.#claims.get(control);
		if (!claims || feed.whole) {
			claims = new Map();
			this.#claims.set(control, claims);
		}

		for (const sighting of feed.sightings) {
			claims.set(sighting.announcement.server, !sighting.silent && !sighting.gone);
			this.#registry.mergeStatus(sighting, nowMs);
		}

		return feed.whole || feed.sightings.length > 0;
	}

	/** Lists the servers that accept new work and are up according to at least one live, warm control host. */
	listUsable(): Announcement[] {
		const claims = this.#live.listLive()
			.filter(control => this.#live.isWarm(control))
			.map(control => this.#claims.get(control))
			.filter(claim => claim !== undefined);
		const usable = this.#registry.listUsable();
		// While no control host is both live and warm, the last known servers stay in use.
		return claims.length === 0 ? usable : usable.filter(({server}) => claims.some(claim => claim.get(server) === true));
	}

	findServer(server: string): Announcement | undefined {
		return this.#registry.findStatus(server)?.announcement;
	}
}
