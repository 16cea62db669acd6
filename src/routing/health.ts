/**
 * Which backend servers to keep away from for a while, and how many retries may be spent.
 *
 * @module
 */
type ServerHealth = {
	failures: number;
	suspectedUntilMs: number;
};

const FIRST_SUSPICION_MS = 500;
const LONGEST_SUSPICION_MS = 10_000;

/** Suspicion of servers by one host's own experience. A step machine: time is handed in. */
export class HealthTracker {
	readonly #servers = new Map<string, ServerHealth>();

	/** Notes that even a new connection to a server failed. */
	recordFailure(server: string, nowMs: number): void {
		const known = this.#servers.get(server) ?? {failures: 0, suspectedUntilMs: 0};
		const durationMs = Math.min(LONGEST_SUSPICION_MS, FIRST_SUSPICION_MS * (2 ** known.failures));
		this.#servers.set(server, {failures: known.failures + 1, suspectedUntilMs: nowMs + durationMs});
	}

	recordSuccess(server: string): void {
		this.#servers.delete(server);
	}

	isSuspected(server: string, nowMs: number): boolean {
		return (this.#servers.get(server)?.suspectedUntilMs ?? 0) > nowMs;
	}
}

/** Lets retries be at most a share of the requests, so that they never amplify an overload. */
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

	/** Takes one retry if the budget allows it. */
	tryAcquire(): boolean {
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}
}

/** Typical durations of a server's answers, and from them when silence becomes suspicious. */
export class StreamGapTracker {
	readonly #servers = new Map<string, {gapMs: number}>();

	recordGap(server: string, gapMs: number): void {
		const known = this.#servers.get(server);
		if (!known) {
			this.#servers.set(server, {gapMs});
			return;
		}

		// Follows a longer gap quickly and a shorter one slowly.
		const weight = gapMs > known.gapMs ? 0.3 : 0.02;
		known.gapMs += (gapMs - known.gapMs) * weight;
	}

	/** Longest silence between two events of a stream, milliseconds. */
	stallTimeoutMs(server: string): number {
		const typicalMs = this.#servers.get(server)?.gapMs ?? 100;
		return Math.min(10_000, Math.max(1000, typicalMs * 20));
	}
}
