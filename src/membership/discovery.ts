/**
 * The backend servers as an entry host sees them: what all control hosts it hears say, taken together.
 *
 * @module
 */
import type {Announcement, Feed} from '../generated/types.js';
import {ServerRegistry} from './registry.js';

/** An entry host hears changes only, so silence towards itself means nothing. */
const TIMING = {silentAfterMs: Number.POSITIVE_INFINITY, forgetAfterMs: Number.POSITIVE_INFINITY};

/** Which control hosts may be asked about silent servers now. */
export type ControlHostStatus = {
	listLive(): string[];
	isWarm(control: string): boolean;
};

/** The merged view of all feeds. */
export class ServerDiscovery {
	readonly #registry = new ServerRegistry(TIMING);
	/** For each control host, the servers it lists, and whether it hears them. */
	readonly #claims = new Map<string, Map<string, boolean>>();
	readonly #live: ControlHostStatus;

	constructor(live: ControlHostStatus) {
		this.#live = live;
	}

	/** Takes a feed; true if it told something new. */
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

	/** Servers that take new work. */
	listUsable(): Announcement[] {
		const claims = this.#live.listLive()
			.filter(control => this.#live.isWarm(control))
			.map(control => this.#claims.get(control))
			.filter(claim => claim !== undefined);
		const usable = this.#registry.listUsable();
		// Without a control host that knows, the last view goes on.
		return claims.length === 0 ? usable : usable.filter(({server}) => claims.some(claim => claim.get(server) === true));
	}

	findServer(server: string): Announcement | undefined {
		return this.#registry.findStatus(server)?.announcement;
	}
}
