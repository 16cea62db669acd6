/**
 * Whether the configuration of this host is confirmed by a control host, so that removed keys are refused.
 *
 * A host that stood still processes the requests that arrived meanwhile before the configurations that did, and a host that has
 * just started may get an old configuration first, from a control host that has just restarted as well. Both wait for a
 * confirmation for a limited time; after that the host has lost contact, and serves with the configuration it has.
 *
 * @module
 */
import type {Clock} from '../base/clock.js';
import {StandstillDetector} from '../base/standstill.js';

/** Less than the time within which removed keys must be refused, more than the heartbeat timeout of the feeds. */
const STANDSTILL_MS = 2000;
const CHECK_INTERVAL_MS = 250;
/** Feeds that arrive sooner after a standstill may have been sent during it. */
const SETTLE_MS = 20;
/** Time for a new connection to a control host and its first feed. */
const STANDSTILL_WAIT_MS = 1000;
/** Time for an election and the first entry of the new leader. */
const START_WAIT_MS = 3000;

/** Tracks the confirmation of one host's configuration. Its creator must close it. */
export class ConfigurationConfirmation {
	readonly #clock: Clock;
	readonly #standstill: StandstillDetector;
	readonly #timer: NodeJS.Timeout;
	readonly #waiters = new Set<() => void>();
	/** Monotonic times, milliseconds. */
	#awaitedUntilMs = Number.NEGATIVE_INFINITY;
	#settledMs = Number.NEGATIVE_INFINITY;
	#isFirst = false;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#standstill = new StandstillDetector(clock, STANDSTILL_MS);
		this.#timer = setInterval(() => {
			this.#checkStandstill();
		}, CHECK_INTERVAL_MS);
	}

	/** Whether the first configuration of this host is not confirmed yet. */
	get isFirstAwaited(): boolean {
		return this.#isFirst && this.#remainingMs() > 0;
	}

	/** Records that this host has got its first configuration. */
	startFirst(): void {
		this.#isFirst = true;
		this.#awaitedUntilMs = this.#clock.monotonicMs() + START_WAIT_MS;
	}

	/** @param isCurrent - Whether the control host that sent the feed is in contact with a majority and has no newer configuration. */
	recordFeed(isCurrent: boolean): void {
		this.#checkStandstill();
		if (isCurrent && this.#clock.monotonicMs() >= this.#settledMs) {
			this.#isFirst = false;
			this.#awaitedUntilMs = Number.NEGATIVE_INFINITY;
			for (const release of this.#waiters) {
				release();
			}
		}
	}

	/** Waits until the configuration is confirmed, if it has to be, for a limited time. */
	async wait(): Promise<void> {
		this.#checkStandstill();
		const remainingMs = this.#remainingMs();
		if (remainingMs <= 0) {
			return;
		}

		await new Promise<void>(resolve => {
			const release = () => {
				clearTimeout(timer);
				this.#waiters.delete(release);
				resolve();
			};

			const timer = setTimeout(release, remainingMs);
			this.#waiters.add(release);
		});
	}

	close(): void {
		clearInterval(this.#timer);
		for (const release of this.#waiters) {
			release();
		}
	}

	#checkStandstill(): void {
		if (this.#standstill.hasStoodStill()) {
			const nowMs = this.#clock.monotonicMs();
			this.#settledMs = nowMs + SETTLE_MS;
			this.#awaitedUntilMs = Math.max(this.#awaitedUntilMs, nowMs + STANDSTILL_WAIT_MS);
		}
	}

	#remainingMs(): number {
		return this.#awaitedUntilMs - this.#clock.monotonicMs();
	}
}
