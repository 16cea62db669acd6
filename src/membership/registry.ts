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

type Row = {
	announcement: Announcement;
	gone: boolean;
	silent: boolean;
	heardMs: number;
	/** Revision of the last change that affects routing. */
	changed: number;
	/** Revision of the last merged announcement. */
	refreshed: number;
};

/** The backend servers known to one host. */
export class ServerRegistry {
	readonly #rows = new Map<string, Row>();
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
		const row = this.#rows.get(server);
		return row && toSighting(row);
	}

	listStatuses(): ServerStatus[] {
		return [...this.#rows.values()].map(row => toSighting(row));
	}

	/** Lists the servers that accept new work. */
	listUsable(): Announcement[] {
		const usable: Announcement[] = [];
		for (const {announcement, gone, silent} of this.#rows.values()) {
			if (!gone && !silent && announcement.leaving !== true) {
				usable.push(announcement);
			}
		}

		return usable;
	}

	/** Lists the servers that changed after a revision and, with `refreshes`, those that only announced themselves again. */
	listChangedSince(revision: number, refreshes: boolean): ServerStatus[] {
		const result: ServerStatus[] = [];
		for (const row of this.#rows.values()) {
			if ((refreshes ? Math.max(row.changed, row.refreshed) : row.changed) > revision) {
				result.push(toSighting(row));
			}
		}

		return result;
	}

	/** Merges an announcement that came from the server itself or from another host. */
	merge(announcement: Announcement, nowMs: number): MergeResult {
		const known = this.#rows.get(announcement.server);
		if (known && !isNewer(announcement, known.announcement)) {
			return MERGE_RESULTS.none;
		}

		if (known?.gone && known.announcement.incarnation === announcement.incarnation) {
			return MERGE_RESULTS.none;
		}

		if (!this.#claimAddress(announcement)) {
			return MERGE_RESULTS.none;
		}

		this.#revision++;
		const isSameStart = known?.announcement.incarnation === announcement.incarnation;
		const leaving = announcement.leaving === true || (isSameStart && known?.announcement.leaving === true);
		const merged = leaving ? {...announcement, leaving} : announcement;
		const isChange = !known || known.silent || !isSameEssence(known.announcement, merged);
		this.#rows.set(announcement.server, {
			announcement: merged,
			gone: false,
			silent: false,
			heardMs: nowMs,
			changed: isChange ? this.#revision : known.changed,
			refreshed: this.#revision,
		});
		return isChange ? MERGE_RESULTS.change : MERGE_RESULTS.refresh;
	}

	/**
	 * Merges the status of a server on another host. That the server is silent there is ignored, because its
	 * announcements may still arrive here; that it has deregistered counts here, too.
	 */
	mergeStatus({announcement, gone, silent}: ServerStatus, nowMs: number): MergeResult {
		const merge = silent ? MERGE_RESULTS.none : this.merge(announcement, nowMs);
		const known = this.#rows.get(announcement.server);
		if (gone && known?.announcement.incarnation === announcement.incarnation && this.deregister(announcement.server)) {
			return MERGE_RESULTS.change;
		}

		return merge;
	}

	/** Marks a server as gone. Returns false if it is unknown or already gone. */
	deregister(server: string): boolean {
		const known = this.#rows.get(server);
		if (!known || known.gone) {
			return false;
		}

		known.gone = true;
		known.changed = ++this.#revision;
		return true;
	}

	/** Marks servers as silent or removes them, by the time since their last announcement. Returns the newly silent ones. */
	expire(nowMs: number): string[] {
		const silenced: string[] = [];
		for (const [server, row] of this.#rows) {
			const silenceMs = nowMs - row.heardMs;
			if (silenceMs > this.#timing.forgetAfterMs) {
				this.#rows.delete(server);
			} else if (!row.silent && !row.gone && silenceMs > this.#timing.silentAfterMs) {
				row.silent = true;
				row.changed = ++this.#revision;
				silenced.push(server);
			}
		}

		return silenced;
	}

	/**
	 * Assigns the announced address to its server and deregisters older servers at that address. Returns false if a
	 * server with a higher incarnation has the address.
	 */
	#claimAddress(announcement: Announcement): boolean {
		for (const row of this.#rows.values()) {
			const other = row.announcement;
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
function isSameEssence(a: Announcement, b: Announcement): boolean {
	return a.incarnation === b.incarnation
		&& a.address === b.address
		&& a.port === b.port
		&& a.role === b.role
		&& a.leaving === b.leaving
		&& a.capacity === b.capacity
		&& a.services?.join(',') === b.services?.join(',')
		&& a.models?.join(',') === b.models?.join(',');
}

function toSighting({announcement, gone, silent}: Row): ServerStatus {
	return {announcement, gone, silent};
}
