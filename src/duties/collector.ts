/**
 * Collects the counts of all entry hosts at a control host.
 *
 * @module
 */
import type {UsageCounts} from '../generated/types.js';
import {COUNTED_WINDOWS, findWindow} from './starts.js';

/** What an entry host has last reported about its clock. */
type HostClock = {
	/** Wall clock of the entry host, milliseconds. */
	readonly atMs: number;
	/** When this host received it, monotonic, milliseconds. */
	readonly receivedMs: number;
	/**
	 * Highest differences of its wall clock to this host's monotonic clock, in the current interval and the one before: a message that
	 * was under way for long, or waited while this host stood still, shows a lower one.
	 */
	readonly offsets: readonly [current: number, previous: number];
	readonly intervalSinceMs: number;
};

/** Readings of this host's clocks. */
export type ClockReading = {
	readonly nowMs: number;
	readonly wallMs: number;
};

/** Interval over which the highest difference of the clocks is taken, milliseconds: a clock that jumps back is followed after two. */
const OFFSET_INTERVAL_MS = 5000;
/** Hosts that have not reported for this number of windows are not waited for, and their clocks not considered. */
const LIVE_WINDOWS = 2;
/** Interval at which the time is estimated again: with 380 hosts an estimate for each message would take 4% of a core, milliseconds. */
const ESTIMATE_INTERVAL_MS = 100;
/** Number of incarnations of entry hosts of which counts of one window are kept. */
const MAX_INCARNATIONS = 4000;
/** Number of counts of one window that are kept: at 3,000 starts a second there are no more in 5 s, with a reserve for bursts. */
const MAX_COUNTS = 100_000;

type WindowCounts = {
	/** Counts by team, by host and incarnation. */
	readonly hosts: Map<string, Map<string, number>>;
	size: number;
};

/** Keeps the highest count of each host, incarnation, window and team. */
export class UsageCollector {
	readonly #windowMs: number;
	readonly #windows = new Map<number, WindowCounts>();
	readonly #clocks = new Map<string, HostClock>();
	/** The last estimate of the time: its difference to the monotonic clock, when it was made and for how many hosts. */
	#estimate = {offsetMs: 0, madeMs: Number.NEGATIVE_INFINITY, hosts: 0};

	constructor(windowMs: number) {
		this.#windowMs = windowMs;
	}

	/**
	 * Merges a report. Counts of windows that are closed are ignored, and those that are far from the time of the hosts.
	 *
	 * @returns The number of counts that were dropped for lack of space or a faulty clock.
	 */
	merge({host, incarnation, at, windows}: UsageCounts, clock: ClockReading, isClosed: (window: number) => boolean): number {
		this.#recordClock(host, at, clock.nowMs);
		const current = findWindow(this.estimateWallMs(clock), this.#windowMs);
		let dropped = 0;
		for (const {window, teams, counts} of windows) {
			if (isClosed(window)) {
				continue;
			}

			if (window <= current - COUNTED_WINDOWS || window > current + 1) {
				dropped += teams.length;
				continue;
			}

			for (const [index, team] of teams.entries()) {
				dropped += this.#mergeCount(window, `${incarnation} ${host}`, team, counts[index] ?? 0) ? 0 : 1;
			}
		}

		for (const window of this.#windows.keys()) {
			if (isClosed(window) || window <= current - COUNTED_WINDOWS) {
				this.#windows.delete(window);
			}
		}

		return dropped;
	}

	/**
	 * Estimates the time by the median of the clocks of the live entry hosts, and of this host's if their number is even, so that one clock
	 * that jumps closes no window.
	 */
	estimateWallMs({nowMs, wallMs}: ClockReading): number {
		if (nowMs - this.#estimate.madeMs >= ESTIMATE_INTERVAL_MS || this.#estimate.hosts !== this.#clocks.size) {
			const offsetMs = this.#findMedianMs(nowMs, wallMs) - nowMs;
			this.#estimate = {offsetMs, madeMs: nowMs, hosts: this.#clocks.size};
		}

		return nowMs + this.#estimate.offsetMs;
	}

	/** Whether all live entry hosts have reported after the end of a window. */
	isComplete(window: number, nowMs: number): boolean {
		return this.#listLive(nowMs).every(({atMs}) => findWindow(atMs, this.#windowMs) > window);
	}

	/** The first window of which counts were received and are not dropped yet. */
	get firstWindow(): number | undefined {
		return this.#windows.size > 0 ? Math.min(...this.#windows.keys()) : undefined;
	}

	/** Adds up the counts of a window, in the order of the teams' names. */
	sum(window: number): Array<[team: string, count: number]> {
		const totals = new Map<string, number>();
		for (const counts of this.#windows.get(window)?.hosts.values() ?? []) {
			for (const [team, count] of counts) {
				totals.set(team, (totals.get(team) ?? 0) + count);
			}
		}

		return [...totals].toSorted(([a], [b]) => a < b ? -1 : 1);
	}

	#recordClock(host: string, atMs: number, nowMs: number): void {
		const known = this.#clocks.get(host);
		const offsetMs = atMs - nowMs;
		const {offsets: [current, previous], intervalSinceMs} = known ?? {offsets: [offsetMs, offsetMs], intervalSinceMs: nowMs};
		const isNext = nowMs - intervalSinceMs >= OFFSET_INTERVAL_MS;
		this.#clocks.delete(host);
		this.#clocks.set(host, {
			atMs,
			receivedMs: nowMs,
			offsets: isNext ? [offsetMs, current] : [Math.max(current, offsetMs), previous],
			intervalSinceMs: isNext ? nowMs : intervalSinceMs,
		});
		if (this.#clocks.size > MAX_INCARNATIONS) {
			const [first] = this.#clocks.keys();
			this.#clocks.delete(first!);
		}
	}

	#findMedianMs(nowMs: number, wallMs: number): number {
		const estimates = this.#listLive(nowMs).map(({offsets}) => nowMs + Math.max(...offsets));
		// Of an odd number of clocks one is in the middle.
		const clocks = estimates.length % 2 === 0 ? [wallMs, ...estimates] : estimates;
		return clocks.toSorted((a, b) => a - b)[(clocks.length - 1) / 2]!;
	}

	#listLive(nowMs: number): HostClock[] {
		return [...this.#clocks.values()].filter(({receivedMs}) => nowMs - receivedMs <= this.#windowMs * LIVE_WINDOWS);
	}

	#mergeCount(window: number, incarnation: string, team: string, count: number): boolean {
		const entry: WindowCounts = this.#windows.get(window) ?? {hosts: new Map(), size: 0};
		this.#windows.set(window, entry);
		const counts = entry.hosts.get(incarnation) ?? new Map<string, number>();
		const known = counts.get(team);
		if (known === undefined && (entry.size >= MAX_COUNTS || (counts.size === 0 && entry.hosts.size >= MAX_INCARNATIONS))) {
			return false;
		}

		entry.size += known === undefined ? 1 : 0;
		entry.hosts.set(incarnation, counts.set(team, Math.max(known ?? 0, count)));
		return true;
	}
}
