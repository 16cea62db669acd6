/**
 * Server discovery of an entry host: merges the feeds of all control hosts.
 *
 * @module
 */
import type {Announcement, Feed, ServerStatus} from '../generated/types.js';
import {
	DEFAULT_REGISTRY_TIMING, MERGE_RESULTS, ServerRegistry, type IncarnationState,
} from './registry.js';

/** Servers never expire here: feeds carry only changes, and the control hosts report which servers are silent. */
const NO_EXPIRY = {silentAfterMs: Number.POSITIVE_INFINITY, forgetAfterMs: Number.POSITIVE_INFINITY};

/** State of the connections to the control hosts. */
export type ControlHostStatus = {
	listLive(): string[];
	isWarm(control: string): boolean;
};

/** What a control host has reported about a server. */
type ServerReport = {
	readonly incarnation: number;
	/** Neither silent nor gone. */
	readonly isUp: boolean;
	readonly isLeaving: boolean;
	readonly isGone: boolean;
};

/** A delayed announcement may arrive this long after its server has left, milliseconds. */
const DEPARTURE_RETENTION_MS = DEFAULT_REGISTRY_TIMING.forgetAfterMs;

/** The backend servers, merged from all feeds. */
export class ServerDiscovery {
	readonly #registry = new ServerRegistry(NO_EXPIRY);
	/** For each control host, what it reports about the servers that it lists. */
	readonly #reports = new Map<string, Map<string, ServerReport>>();
	/** When this host first heard that a server has deregistered or is leaving, oldest first, milliseconds of the monotonic clock. */
	readonly #departures = new Map<string, number>();
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
			const {announcement: {server, incarnation, leaving}, gone, silent} = status;
			reports.set(server, {
				incarnation, isUp: !silent && !gone, isLeaving: leaving === true, isGone: gone,
			});
			const result = this.#registry.mergeStatus(status, nowMs);
			if (result === MERGE_RESULTS.change && (gone || leaving === true)) {
				this.#departures.delete(server);
				this.#departures.set(server, nowMs);
			}
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
		return reports.length === 0 ? usable : usable.filter(({server}) => reports.some(report => report.get(server)?.isUp === true));
	}

	/** Lists the servers that have deregistered or are leaving, which a control host has not reported as such. */
	listUnreportedDepartures(control: string, nowMs: number): ServerStatus[] {
		const reports = this.#reports.get(control);
		const unreported: ServerStatus[] = [];
		for (const [server, departedMs] of this.#departures) {
			const status = this.#registry.findStatus(server);
			if (!status || nowMs - departedMs > DEPARTURE_RETENTION_MS) {
				this.#departures.delete(server);
			} else if (isUnreported(status, reports?.get(server))) {
				unreported.push(status);
			}
		}

		return unreported;
	}

	/** Finds what has become of a server that was announced before. */
	findIncarnationState(server: Announcement): IncarnationState {
		return this.#registry.findIncarnationState(server);
	}

	findServer(server: string): Announcement | undefined {
		return this.#registry.findStatus(server)?.announcement;
	}
}

/** Whether a control host may still take a server that has left for one that serves. */
function isUnreported({announcement: {incarnation, leaving}, gone}: ServerStatus, report: ServerReport | undefined): boolean {
	if (!gone && leaving !== true) {
		return false;
	}

	if (!report || report.incarnation < incarnation) {
		return true;
	}

	return report.incarnation === incarnation && !report.isGone && (gone || !report.isLeaving);
}
