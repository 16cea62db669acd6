/**
 * This host's share of the repeats that a service bears: what all hosts send beyond the first of each request stays
 * within a share of the requests and a fixed allowance, in every window.
 *
 * @module
 */
export type RetryBudgetLimits = {
	/** Repeats for each request. */
	readonly ratio: number;
	/** Repeats that all hosts together may send beside that in one window. */
	readonly allowance: number;
	readonly windowMs: number;
};

/** Part of the budget that is given out; the rest covers windows that are cut differently. */
const SAFE_SHARE = 0.5;

type SlidingWindow = {
	readonly requests: number[];
	readonly retries: number[];
};

/** Counts requests and repeats by service. A step machine: time is handed in. */
export class ServiceRetryBudget {
	#limits: RetryBudgetLimits;
	readonly #services = new Map<string, SlidingWindow>();
	#hosts = 1;

	constructor(limits: RetryBudgetLimits) {
		this.#limits = limits;
	}

	/** Replaces the limits; what was counted stays counted. */
	updateLimits(limits: RetryBudgetLimits): void {
		this.#limits = limits;
	}

	/** Takes the number of hosts that share the allowance. */
	setHostCount(hosts: number): void {
		this.#hosts = Math.max(1, hosts);
	}

	recordRequest(service: string, nowMs: number): void {
		this.#getWindow(service, nowMs).requests.push(nowMs);
	}

	/** Takes one repeat if the budget allows it. */
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
