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

type Window = {
	readonly requests: number[];
	readonly repeats: number[];
};

/** Counts requests and repeats by service. A step machine: time is handed in. */
export class ServiceRetryBudget {
	#limits: RetryBudgetLimits;
	readonly #services = new Map<string, Window>();
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
		this.#windowOf(service, nowMs).requests.push(nowMs);
	}

	/** Takes one repeat if the budget allows it. */
	tryAcquire(service: string, nowMs: number): boolean {
		const {requests, repeats} = this.#windowOf(service, nowMs);
		const {ratio, allowance} = this.#limits;
		const limit = ((requests.length * ratio) + (allowance / this.#hosts)) * SAFE_SHARE;
		if (repeats.length + 1 > limit) {
			return false;
		}

		repeats.push(nowMs);
		return true;
	}

	#windowOf(service: string, nowMs: number): Window {
		let window = this.#services.get(service);
		if (!window) {
			window = {requests: [], repeats: []};
			this.#services.set(service, window);
		}

		const fromMs = nowMs - this.#limits.windowMs;
		for (const times of [window.requests, window.repeats]) {
			while (times.length > 0 && times[0]! <= fromMs) {
				times.shift();
			}
		}

		return window;
	}
}
