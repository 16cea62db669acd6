/**
 * Health of backend servers as one host observes it, and a budget for retries.
 *
 * @module
 */
type ServerHealth = {
	failures: number;
	suspectedUntilMs: number;
};

const INITIAL_SUSPICION_MS = 500;
const MAX_SUSPICION_MS = 10_000;

/**
 * Suspects servers that failed recently, with exponential backoff. Performs no I/O; the caller passes the current time.
 */
export class HealthTracker {
	readonly #servers = new Map<string, ServerHealth>();

	/** Records that a new connection to a server could not be established. */
	recordFailure(server: string, nowMs: number): void {
		const known = this.#servers.get(server) ?? {failures: 0, suspectedUntilMs: 0};
		const durationMs = Math.min(MAX_SUSPICION_MS, INITIAL_SUSPICION_MS * (2 ** known.failures));
		this.#servers.set(server, {failures: known.failures + 1, suspectedUntilMs: nowMs + durationMs});
	}

	recordSuccess(server: string): void {
		this.#servers.delete(server);
	}

	isSuspected(server: string, nowMs: number): boolean {
		return (this.#servers.get(server)?.suspectedUntilMs ?? 0) > nowMs;
	}
}

/** Token bucket that limits retries to a share of the requests, so that retries cannot amplify an overload. */
export class RetryBudget {
	readonly #share: number;
	readonly #reserve: number;
	#tokens: number;

	constructor(share = 0.1, reserve = 20) {
		this.#share = share;
		this.#reserve = reserve;
		this.#tokens = reserve;
	}

	recordRequest(): void {
		this.#tokens = Math.min(this.#reserve, this.#tokens + this.#share);
	}

	/** Consumes one retry; returns false if the budget is exhausted. */
	tryAcquire(): boolean {
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}
}

/** Tracks the typical gap between two events of a server's streams, and derives a stall timeout from it. */
export class StreamGapTracker {
	readonly #servers = new Map<string, {gapMs: number}>();

	recordGap(server: string, gapMs: number): void {
		const known = this.#servers.get(server);
		if (!known) {
			this.#servers.set(server, {gapMs});
			return;
		}

		// Adapts quickly to longer gaps and slowly to shorter ones.
		const weight = gapMs > known.gapMs ? 0.3 : 0.02;
		known.gapMs += (gapMs - known.gapMs) * weight;
	}

	/** Time without an event after which a stream counts as stalled, milliseconds. */
	stallTimeoutMs(server: string): number {
		const typicalMs = this.#servers.get(server)?.gapMs ?? 100;
		return Math.min(10_000, Math.max(1000, typicalMs * 20));
	}
}
