/**
 * Remembers which software version of a service started each stream, so that a stream is resumed only at that version.
 *
 * Performs no I/O; the caller passes the current time.
 *
 * @module
 */

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

	findSoftware(attempt: string, nowMs: number): string | undefined {
		const origin = this.#origins.get(attempt);
		return origin && nowMs - origin.atMs <= RETENTION_MS ? origin.software : undefined;
	}
}

/** The software versions of a service that serve, or served a moment ago. */
export class SoftwareVersions {
	readonly #current = new Map<string, Set<string>>();
	/** When each former version was found to be gone; undefined until the next call of `recordTime`. */
	readonly #former = new Map<string, Map<string, number | undefined>>();
	#isChanged = false;

	/** Replaces the versions that serve. */
	update(servers: ReadonlyArray<{readonly service: string; readonly software: string}>): void {
		for (const [service, versions] of this.#current) {
			const former = this.#former.get(service) ?? new Map<string, number | undefined>();
			this.#former.set(service, former);
			for (const version of versions) {
				former.set(version, undefined);
			}
		}

		this.#isChanged = true;
		this.#current.clear();
		for (const {service, software} of servers) {
			const versions = this.#current.get(service) ?? new Set();
			versions.add(software);
			this.#current.set(service, versions);
			this.#former.get(service)?.delete(software);
		}
	}

	/** Notes the time at which the versions that were replaced by `update` are gone. */
	recordTime(nowMs: number): void {
		if (!this.#isChanged) {
			return;
		}

		this.#isChanged = false;
		for (const former of this.#former.values()) {
			for (const [version, goneMs = nowMs] of former) {
				former.set(version, goneMs);
			}
		}
	}

	/** Finds the only version that can have started a stream; undefined if there were several, or none. */
	findOnly(service: string, nowMs: number): string | undefined {
		this.recordTime(nowMs);
		const versions = new Set(this.#current.get(service));
		const former = this.#former.get(service) ?? new Map<string, number | undefined>();
		for (const [version, goneMs = nowMs] of former) {
			if (nowMs - goneMs > RETENTION_MS) {
				former.delete(version);
			} else {
				versions.add(version);
			}
		}

		const [only] = versions;
		return versions.size === 1 ? only : undefined;
	}
}
