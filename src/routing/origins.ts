/**
 * Remembers which software version of a service started each stream, so that a stream is resumed only at that version.
 *
 * Performs no I/O; the caller passes the current time.
 *
 * @module
 */

import type {StreamOrigin} from '../generated/types.js';

/** A stream that was started before and is resumed. */
export type Resumption = {
	/** Software version that started it, if it is known. */
	readonly software?: string;
	/** ID of the attempt that brought its first event, if its caller named it. */
	readonly attempt?: string;
};

type Origin = {
	readonly software: string;
	readonly atMs: number;
};

/** Callers resume a stream within its deadline, which is a few seconds. */
const RETENTION_MS = 60_000;
/** Streams that one host places in the time of a deadline at several thousand a second. */
const MAX_ORIGINS = 50_000;

/** The software versions that started streams, by the ID of the attempt. */
export class StreamOrigins {
	readonly #origins = new Map<string, Origin>();

	record(attempt: string, software: string, nowMs: number): void {
		// Keeps the entries in the order of their last change, for eviction.
		this.#origins.delete(attempt);
		this.#origins.set(attempt, {software, atMs: nowMs});
		for (const [oldest, {atMs}] of this.#origins) {
			if (nowMs - atMs <= RETENTION_MS && this.#origins.size <= MAX_ORIGINS) {
				return;
			}

			this.#origins.delete(oldest);
		}
	}

	/** Removes an attempt that no server started. */
	delete(attempt: string): void {
		this.#origins.delete(attempt);
	}

	/** Lists the recorded attempts, grouped by software version. */
	list(nowMs: number): StreamOrigin[] {
		const groups = new Map<string, string[]>();
		for (const [attempt, {software, atMs}] of this.#origins) {
			if (nowMs - atMs <= RETENTION_MS) {
				const attempts = groups.get(software) ?? [];
				groups.set(software, attempts);
				attempts.push(attempt);
			}
		}

		return [...groups].map(([software, attempts]) => ({software, attempts}));
	}

	findSoftware(attempt: string, nowMs: number): string | undefined {
		const origin = this.#origins.get(attempt);
		return origin && nowMs - origin.atMs <= RETENTION_MS ? origin.software : undefined;
	}
}

/** The software version of a server. */
export type ServerVersion = {
	readonly service: string;
	readonly software: string;
	/** Whether the server has left for good. One that is leaving or silent may still serve. */
	readonly isGone: boolean;
};

/** The software versions of each service that serve, or served a moment ago. */
export class SoftwareVersions {
	/** When each version was last seen, by service; infinite while it serves. */
	readonly #services = new Map<string, Map<string, number>>();
	#knownSinceMs: number;

	/** @param knownSinceMs - Time since which the owner has seen all servers; infinite if it may always miss some. */
	constructor(knownSinceMs: number) {
		this.#knownSinceMs = knownSinceMs;
	}

	/** Notes that servers may have been missed before a time. */
	limitKnowledge(knownSinceMs: number): void {
		this.#knownSinceMs = Math.max(this.#knownSinceMs, knownSinceMs);
	}

	/** Replaces the known servers. The version of one that has left may be new: it may have come and left between two updates. */
	update(servers: readonly ServerVersion[], nowMs: number): void {
		const reported = groupByService(servers);
		for (const [service, serving] of reported) {
			const versions = this.#services.get(service) ?? new Map<string, number>();
			this.#services.set(service, versions);
			for (const [software, isServing] of serving) {
				versions.set(software, isServing ? Number.POSITIVE_INFINITY : Math.min(nowMs, versions.get(software) ?? nowMs));
			}
		}

		for (const [service, versions] of this.#services) {
			for (const [software, lastMs] of versions) {
				const isReported = reported.get(service)?.has(software) === true;
				if (!isReported && lastMs === Number.POSITIVE_INFINITY) {
					versions.set(software, nowMs);
				} else if (!isReported && nowMs - lastMs > RETENTION_MS) {
					versions.delete(software);
				}
			}

			if (versions.size === 0) {
				this.#services.delete(service);
			}
		}
	}

	/** Finds the only version that can have started a stream; undefined if there were several or none, or others may have been missed. */
	findOnly(service: string, nowMs: number): string | undefined {
		if (!(nowMs - this.#knownSinceMs > RETENTION_MS)) {
			return undefined;
		}

		const versions = [...this.#services.get(service) ?? []].filter(([, lastMs]) => nowMs - lastMs <= RETENTION_MS);
		return versions.length === 1 ? versions[0]![0] : undefined;
	}
}

/** Groups the versions by service, with whether any of their servers may still serve. */
function groupByService(servers: readonly ServerVersion[]): Map<string, Map<string, boolean>> {
	const services = new Map<string, Map<string, boolean>>();
	for (const {service, software, isGone} of servers) {
		const versions = services.get(service) ?? new Map<string, boolean>();
		services.set(service, versions);
		versions.set(software, !isGone || versions.get(software) === true);
	}

	return services;
}
