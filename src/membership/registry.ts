/**
 * The backend servers, as their announcements tell.
 *
 * Announcements arrive late, twice and out of order, so merging does not depend on their order: a later start of a
 * server replaces an earlier one, within a start the higher sequence wins, and leaving is for good. A step machine:
 * time is handed in.
 *
 * @module
 */
import type {Announcement, ServerStatus} from '../generated/types.js';

export const MERGE_RESULTS = {none: 'none', refresh: 'refresh', change: 'change'} as const;
export type MergeResult = keyof typeof MERGE_RESULTS;

export type RegistryTiming = {
	/** Silence after which a server counts as silent, milliseconds. */
	readonly silentAfterMs: number;
	/** Silence after which a server is forgotten, milliseconds. */
	readonly forgetAfterMs: number;
};

/** Five intervals of 1.2 s: announcements may be seconds late. A leave must outlive every delayed announcement. */
export const DEFAULT_REGISTRY_TIMING: RegistryTiming = {silentAfterMs: 6000, forgetAfterMs: 60_000};

type Row = {
	announcement: Announcement;
	gone: boolean;
	silent: boolean;
	heardMs: number;
	/** Revision of the last change of substance. */
	changed: number;
	/** Revision of the last announcement. */
	refreshed: number;
};

/** What one host knows of the backend servers. */
export class ServerRegistry {
	readonly #rows = new Map<string, Row>();
	readonly #timing: RegistryTiming;
	#revision = 0;

	constructor(timing = DEFAULT_REGISTRY_TIMING) {
		this.#timing = timing;
	}

	/** Rises with every merge that was news. */
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

	/** Servers that take new work. */
	listUsable(): Announcement[] {
		const usable: Announcement[] = [];
		for (const {announcement, gone, silent} of this.#rows.values()) {
			if (!gone && !silent && announcement.leaving !== true) {
				usable.push(announcement);
			}
		}

		return usable;
	}

	/** What changed after a revision; with `refreshes`, also servers that only announced themselves again. */
	listChangedSince(revision: number, refreshes: boolean): ServerStatus[] {
		const result: ServerStatus[] = [];
		for (const row of this.#rows.values()) {
			if ((refreshes ? Math.max(row.changed, row.refreshed) : row.changed) > revision) {
				result.push(toSighting(row));
			}
		}

		return result;
	}

	/** Takes an announcement, from the server itself or from another host. */
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

	/** Takes what another host knows; its silence counts for nothing here, its goodbye does. */
	mergeStatus({announcement, gone, silent}: ServerStatus, nowMs: number): MergeResult {
		const merge = silent ? MERGE_RESULTS.none : this.merge(announcement, nowMs);
		const known = this.#rows.get(announcement.server);
		if (gone && known?.announcement.incarnation === announcement.incarnation && this.deregister(announcement.server)) {
			return MERGE_RESULTS.change;
		}

		return merge;
	}

	/** Notes that a server takes its leave; true if it was known and had not. */
	deregister(server: string): boolean {
		const known = this.#rows.get(server);
		if (!known || known.gone) {
			return false;
		}

		known.gone = true;
		known.changed = ++this.#revision;
		return true;
	}

	/** Marks servers that have been silent for long and forgets the ones that stay away; returns the newly silent. */
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

	/** An address belongs to the server that started there last; false if that is another one. */
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

/** Whether two announcements differ in nothing that decides where work goes. */
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
