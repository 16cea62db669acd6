/**
 * Per-service retry budget. In every time window, the retries of all hosts together stay within a ratio of the
 * requests plus a fixed allowance, so that retries cannot overload a service. Each host enforces its own share.
 *
 * @module
 */
export type RetryBudgetLimits = {
	/** Retries allowed per request. */
	readonly ratio: number;
	/** Additional retries that all hosts together may send in one window. */
	readonly allowance: number;
	readonly windowMs: number;
};

/** Share of the budget that is granted. The rest is a margin for windows that are not aligned with those of the hosts. */
const SAFE_SHARE = 0.5;

type SlidingWindow = {
	readonly requests: number[];
	readonly retries: number[];
};

/** Counts requests and retries by service in a sliding window. Performs no I/O; the caller passes the current time. */
export class ServiceRetryBudget {
	#limits: RetryBudgetLimits;
	readonly #services = new Map<string, SlidingWindow>();
	#hosts = 1;

	constructor(limits: RetryBudgetLimits) {
		this.#limits = limits;
	}

	/** Replaces the limits and keeps the counts. */
	updateLimits(limits: RetryBudgetLimits): void {
		this.#limits = limits;
	}

	/** Sets the number of hosts among which the allowance is divided. */
	setHostCount(hosts: number): void {
		this.#hosts = Math.max(1, hosts);
	}

	recordRequest(service: string, nowMs: number): void {
		this.#getWindow(service, nowMs).requests.push(nowMs);
	}

	/** Consumes one retry; returns false if the budget is exhausted. */
	tryAcquire(service: string, nowMs: number): boolean {
		const {requests, retries} = this.#getWindow(service, nowMs);
		const {ratio, allowance} = this.#limits;
		const limit = ((requests.length * ratio) + (allowance / this.#hosts)) * SAFE_SHARE;
		if (retries.length + 1 > limit) {
			return false;
		}

		retries.push(nowMs);
		return true;
	}

	#getWindow(service: string, nowMs: number): SlidingWindow {
		let window = this.#services.get(service);
		if (!window) {
			window = {requests: [], retries: []};
			this.#services.set(service, window);
		}

		const startMs = nowMs - this.#limits.windowMs;
		for (const times of [window.requests, window.retries]) {
			while (times.length > 0 && times[0]! <= startMs) {
				times.shift();
			}
		}

		return window;
	}
}
