/**
 * Server discovery of an entry host: merges the feeds of all control hosts.
 *
 * @module
 */
import type {Announcement, Feed} from '../generated/types.js';
import {ServerRegistry, type IncarnationState} from './registry.js';

/** Servers never expire here: feeds carry only changes, and the control hosts report which servers are silent. */
const NO_EXPIRY = {silentAfterMs: Number.POSITIVE_INFINITY, forgetAfterMs: Number.POSITIVE_INFINITY};

/** State of the connections to the control hosts. */
export type ControlHostStatus = {
	listLive(): string[];
	isWarm(control: string): boolean;
};

/** The backend servers, merged from all feeds. */
export class ServerDiscovery {
	readonly #registry = new ServerRegistry(NO_EXPIRY);
	/** For each control host, the servers it lists and whether they are up, that is, neither silent nor gone. */
	readonly #reports = new Map<string, Map<string, boolean>>();
	readonly #controlHosts: ControlHostStatus;

	constructor(controlHosts: ControlHostStatus) {
		this.#controlHosts = controlHosts;
	}

	/** Merges a feed. Returns whether it contained server statuses or replaced all earlier ones. */
	merge(feed: Feed, control: string, nowMs: number): boolean {
		let reports = this.#reports.get(control);
		if (!reports || feed.whole) {
			reports = new Map();
			this.#reports.set(control, reports);
		}

		for (const status of feed.sightings) {
			reports.set(status.announcement.server, !status.silent && !status.gone);
			this.#registry.mergeStatus(status, nowMs);
		}

		return feed.whole || feed.sightings.length > 0;
	}

	/** Lists the servers that accept new work and are up according to at least one live, warm control host. */
	listUsable(): Announcement[] {
		const reports = this.#controlHosts.listLive()
			.filter(control => this.#controlHosts.isWarm(control))
			.map(control => this.#reports.get(control))
			.filter(report => report !== undefined);
		const usable = this.#registry.listUsable();
		// While no control host is both live and warm, the last known servers stay in use.
		return reports.length === 0 ? usable : usable.filter(({server}) => reports.some(report => report.get(server) === true));
	}

	/** Finds what has become of a server that was announced before. */
	findIncarnationState(server: Announcement): IncarnationState {
		return this.#registry.findIncarnationState(server);
	}

	findServer(server: string): Announcement | undefined {
		return this.#registry.findStatus(server)?.announcement;
	}
}
