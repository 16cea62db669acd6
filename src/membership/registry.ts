/**
 * The registry of backend servers, built from their announcements.
 *
 * Announcements may arrive late, twice or out of order, so the result of a merge does not depend on their order: a
 * higher incarnation replaces a lower one, within an incarnation the higher sequence number wins, and within an
 * incarnation a server that is leaving stays so. A state machine without I/O: the caller passes the current time.
 *
 * @module
 */
import type {Announcement, ServerStatus} from '../generated/types.js';

/**
 * The result of merging an announcement: `none` if it was outdated, `refresh` if only its sequence number or load is
 * new, `change` if anything that affects routing changed.
 */
export const MERGE_RESULTS = {none: 'none', refresh: 'refresh', change: 'change'} as const;
export type MergeResult = keyof typeof MERGE_RESULTS;

/** What has become of a server incarnation. */
export const INCARNATION_STATES = {
	present: 'present',
	/** Another incarnation has started at its address or under its id. */
	replaced: 'replaced',
	/** It has deregistered, and nothing else has started in its place. */
	left: 'left',
} as const;
export type IncarnationState = keyof typeof INCARNATION_STATES;

export type RegistryTiming = {
	/** Time without an announcement after which a server is silent, milliseconds. */
	readonly silentAfterMs: number;
	/** Time without an announcement after which a server is removed, milliseconds. */
	readonly forgetAfterMs: number;
};

/**
 * A server is silent after five announcement intervals of 1.2 s, because announcements may be seconds late. Entries of
 * deregistered servers must outlive every delayed announcement, which would otherwise revive the server.
 */
export const DEFAULT_REGISTRY_TIMING: RegistryTiming = {silentAfterMs: 6000, forgetAfterMs: 60_000};

type RegistryEntry = {
	announcement: Announcement;
	gone: boolean;
	silent: boolean;
	receivedMs: number;
	/** Revision of the last change that affects routing. */
	changedRevision: number;
	/** Revision of the last merged announcement. */
	refreshedRevision: number;
};

/** The backend servers known to one host. */
export class ServerRegistry {
	readonly #entries = new Map<string, RegistryEntry>();
	readonly #timing: RegistryTiming;
	#revision = 0;

	constructor(timing = DEFAULT_REGISTRY_TIMING) {
		this.#timing = timing;
	}

	/** Increases with every merged announcement and every change of a status. */
	get revision(): number {
		return this.#revision;
	}

	findStatus(server: string): ServerStatus | undefined {
		const entry = this.#entries.get(server);
		return entry && toStatus(entry);
	}

	listStatuses(): ServerStatus[] {
		return [...this.#entries.values()].map(entry => toStatus(entry));
	}

	/** Lists the servers that accept new work. */
	listUsable(): Announcement[] {
		const usable: Announcement[] = [];
		for (const {announcement, gone, silent} of this.#entries.values()) {
			if (!gone && !silent && announcement.leaving !== true) {
				usable.push(announcement);
			}
		}

		return usable;
	}

	/** Lists the servers that changed after a revision. With `refreshes`, a repeated announcement counts as a change. */
	listChangedSince(revision: number, refreshes: boolean): ServerStatus[] {
		const result: ServerStatus[] = [];
		for (const entry of this.#entries.values()) {
			if ((refreshes ? Math.max(entry.changedRevision, entry.refreshedRevision) : entry.changedRevision) > revision) {
				result.push(toStatus(entry));
			}
		}

		return result;
	}

	/** Merges an announcement that came from the server itself or from another host. */
	merge(announcement: Announcement, nowMs: number): MergeResult {
		const known = this.#entries.get(announcement.server);
		if (known && !isNewer(announcement, known.announcement)) {
			return this.#mergeLeaving(announcement, known);
		}

		if (known?.gone && known.announcement.incarnation === announcement.incarnation) {
			return MERGE_RESULTS.none;
		}

		if (!this.#assignAddress(announcement)) {
			return MERGE_RESULTS.none;
		}

		this.#revision++;
		const isSameIncarnation = known?.announcement.incarnation === announcement.incarnation;
		const leaving = announcement.leaving === true || (isSameIncarnation && known?.announcement.leaving === true);
		const merged = leaving ? {...announcement, leaving} : announcement;
		const isChange = !known || known.silent || !isEquivalent(known.announcement, merged);
		this.#entries.set(announcement.server, {
			announcement: merged,
			gone: false,
			silent: false,
			receivedMs: nowMs,
			changedRevision: isChange ? this.#revision : known.changedRevision,
			refreshedRevision: this.#revision,
		});
		return isChange ? MERGE_RESULTS.change : MERGE_RESULTS.refresh;
	}

	/**
	 * Merges an announcement that is not newer than the known one: a server that is leaving never returns, so this
	 * holds in any order.
	 */
	#mergeLeaving({leaving, incarnation}: Announcement, known: RegistryEntry): MergeResult {
		if (leaving !== true || known.announcement.leaving === true || known.announcement.incarnation !== incarnation) {
			return MERGE_RESULTS.none;
		}

		known.announcement = {...known.announcement, leaving};
		known.changedRevision = ++this.#revision;
		known.refreshedRevision = this.#revision;
		return MERGE_RESULTS.change;
	}

	/**
	 * Merges the status of a server from another host. A server that is silent there may still announce itself here, so
	 * only a deregistration is taken over.
	 */
	mergeStatus({announcement, gone, silent}: ServerStatus, nowMs: number): MergeResult {
		const result = silent ? MERGE_RESULTS.none : this.merge(announcement, nowMs);
		const known = this.#entries.get(announcement.server);
		if (gone && known?.announcement.incarnation === announcement.incarnation && this.deregister(announcement.server)) {
			return MERGE_RESULTS.change;
		}

		return result;
	}

	/** Finds what has become of a server incarnation that was announced before. */
	findIncarnationState({server, incarnation, address, port}: Announcement): IncarnationState {
		const known = this.#entries.get(server);
		if (known && known.announcement.incarnation > incarnation) {
			return INCARNATION_STATES.replaced;
		}

		if (!known?.gone) {
			return INCARNATION_STATES.present;
		}

		const isReplaced = [...this.#entries.values()].some(({announcement}) => announcement.server !== server
			&& announcement.address === address && announcement.port === port && announcement.incarnation > incarnation);
		return isReplaced ? INCARNATION_STATES.replaced : INCARNATION_STATES.left;
	}

	/** Marks a server as gone. Returns false if it is unknown or already gone. */
	deregister(server: string): boolean {
		const known = this.#entries.get(server);
		if (!known || known.gone) {
			return false;
		}

		known.gone = true;
		known.changedRevision = ++this.#revision;
		return true;
	}

	/** Marks servers as silent or removes them, by the time since their last announcement. Returns the newly silent ones. */
	expire(nowMs: number): string[] {
		const newlySilent: string[] = [];
		for (const [server, entry] of this.#entries) {
			const silenceMs = nowMs - entry.receivedMs;
			if (silenceMs > this.#timing.forgetAfterMs) {
				this.#entries.delete(server);
			} else if (!entry.silent && !entry.gone && silenceMs > this.#timing.silentAfterMs) {
				entry.silent = true;
				entry.changedRevision = ++this.#revision;
				newlySilent.push(server);
			}
		}

		return newlySilent;
	}

	/**
	 * Assigns the announced address to its server and deregisters older servers at that address. Returns false if a
	 * server with a higher incarnation has the address.
	 */
	#assignAddress(announcement: Announcement): boolean {
		for (const entry of this.#entries.values()) {
			const other = entry.announcement;
			if (other.server === announcement.server || other.address !== announcement.address || other.port !== announcement.port) {
				continue;
			}

			if (other.incarnation > announcement.incarnation) {
				return false;
			}

			this.deregister(other.server);
		}

		return true;
	}
}

function isNewer(announcement: Announcement, known: Announcement): boolean {
	return announcement.incarnation > known.incarnation
		|| (announcement.incarnation === known.incarnation && announcement.sequence > known.sequence);
}

/** Whether two announcements agree in all fields that affect routing. */
function isEquivalent(a: Announcement, b: Announcement): boolean {
	return a.incarnation === b.incarnation
		&& a.address === b.address
		&& a.port === b.port
		&& a.role === b.role
		&& a.software === b.software
		&& a.leaving === b.leaving
		&& a.spot === b.spot
		&& a.capacity === b.capacity
		&& a.services?.join(',') === b.services?.join(',')
		&& a.models?.join(',') === b.models?.join(',');
}

function toStatus({announcement, gone, silent}: RegistryEntry): ServerStatus {
	return {announcement, gone, silent};
}
