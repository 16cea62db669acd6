/**
 * Keeps the demand for the engines of each service in the last minute, from the reports of all control hosts.
 *
 * Performs no I/O; the caller passes the current time.
 *
 * @module
 */
import type {PoolDemand} from '../generated/types.js';

/** Window over which the peak is taken, milliseconds. */
export const DEMAND_WINDOW_MS = 60_000;
export const SAMPLE_MS = 1000;
const SAMPLES = DEMAND_WINDOW_MS / SAMPLE_MS;
/** A report is not counted any more after this time, milliseconds: two reports of a host may be late or lost. */
const REPORT_TIMEOUT_MS = 3500;
/** The measurement starts anew after a pause of this length, milliseconds: what came meanwhile is not known. */
const MAX_GAP_MS = 3000;
/** Without a request for this long the service counts as idle, milliseconds. */
const IDLE_MS = 10_000;
/** Number of samples that are averaged for the trend: a burst of a few seconds is no trend. */
const TREND_SAMPLES = 10;
/** Number of samples over which the share of late requests is taken. */
const LATE_SAMPLES = 5;
/** Time after the start of a server that the trend is projected beyond, milliseconds: decisions, calls and announcements take as long. */
const TREND_MARGIN_MS = 4000;
const MAX_GROWTH = 2;
const MAX_HOSTS = 32;

/** Load at a time or on average, in the units of `PoolDemand`. */
export type PoolLoad = Pick<PoolDemand, 'prefillLoad' | 'decodeLoad' | 'inFlight' | 'contextTokens'>;

/** Demand of the last minute at all control hosts. */
export type DemandSummary = {
	readonly current: PoolDemand;
	/** Highest load of the window, and average of the last seconds. */
	readonly peak: PoolLoad;
	readonly sustained: PoolLoad;
	/** Factor by which the load will exceed the peak by the time that a new server serves, if the trend goes on; at least 1. */
	readonly growth: number;
	/** Share of the requests of the last seconds that miss their objective or are rejected. */
	readonly lateShare: number;
	/** Whether requests have been measured for the whole window. */
	readonly isComplete: boolean;
	/** Whether requests came in the last seconds. */
	readonly isActive: boolean;
};

/** The demand of the last minute, from the reports of all control hosts. */
export class DemandHistory {
	readonly #reports = new Map<string, {readonly pools: readonly PoolDemand[]; readonly receivedMs: number}>();
	readonly #samples = new Map<string, PoolDemand[]>();
	/** When the first request of the measurement of each service was seen, and the last one. */
	readonly #seenMs = new Map<string, {readonly firstMs: number; lastMs: number}>();
	#advancedMs = Number.NEGATIVE_INFINITY;

	/** Replaces the report of a host. */
	merge(host: string, pools: readonly PoolDemand[], nowMs: number): void {
		if (this.#reports.has(host) || this.#reports.size < MAX_HOSTS) {
			this.#reports.set(host, {pools, receivedMs: nowMs});
		}
	}

	/** Adds up the reports of the last second. */
	advance(nowMs: number): void {
		if (nowMs - this.#advancedMs < SAMPLE_MS) {
			return;
		}

		if (nowMs - this.#advancedMs > MAX_GAP_MS) {
			this.#seenMs.clear();
		}

		this.#advancedMs = nowMs;
		const totals = new Map<string, PoolDemand>();
		for (const [host, {pools, receivedMs}] of this.#reports) {
			if (nowMs - receivedMs > REPORT_TIMEOUT_MS) {
				this.#reports.delete(host);
				continue;
			}

			for (const pool of pools) {
				totals.set(pool.service, addDemands(totals.get(pool.service), pool));
			}
		}

		for (const service of new Set([...totals.keys(), ...this.#samples.keys()])) {
			this.#addSample(service, totals.get(service) ?? createEmptyDemand(service), nowMs);
		}
	}

	/** Returns the demand for a service; undefined if no request came within the window. */
	summarize(service: string, bootMs: number, nowMs: number): DemandSummary | undefined {
		const samples = this.#samples.get(service);
		const seen = this.#seenMs.get(service);
		const current = samples?.at(-1);
		if (!samples || !seen || !current) {
			return undefined;
		}

		const recent = samples.slice(-LATE_SAMPLES);
		const requests = sumOf(recent, demand => demand.requests);
		// Rejected requests put no load on the engines, but would if there were more of them.
		const rejectedShare = Math.min(0.5, requests > 0 ? sumOf(recent, ({rejected}) => rejected) / requests : 0);
		const scale = (load: PoolLoad): PoolLoad => mapLoad(read => read(load) / (1 - rejectedShare));
		const last = samples.slice(-TREND_SAMPLES);
		return {
			current,
			peak: scale(mapLoad(read => Math.max(...samples.map(demand => read(demand))))),
			sustained: scale(mapLoad(read => sumOf(last, read) / last.length)),
			growth: Math.max(projectGrowth(samples.map(({prefillLoad}) => prefillLoad), bootMs), projectGrowth(samples.map(({inFlight}) => inFlight), bootMs)),
			lateShare: requests > 0 ? Math.min(1, sumOf(recent, ({late, rejected}) => late + rejected) / requests) : 0,
			isComplete: nowMs - seen.firstMs >= DEMAND_WINDOW_MS,
			isActive: nowMs - seen.lastMs < IDLE_MS,
		};
	}

	#addSample(service: string, demand: PoolDemand, nowMs: number): void {
		const seen = this.#seenMs.get(service);
		if (demand.requests > 0) {
			this.#seenMs.set(service, {firstMs: seen?.firstMs ?? nowMs, lastMs: nowMs});
		} else if (!seen || nowMs - seen.lastMs > DEMAND_WINDOW_MS) {
			this.#seenMs.delete(service);
			this.#samples.delete(service);
			return;
		}

		this.#samples.set(service, [...this.#samples.get(service) ?? [], demand].slice(-SAMPLES));
	}
}

function mapLoad(compute: (read: (load: PoolLoad) => number) => number): PoolLoad {
	return {
		prefillLoad: compute(load => load.prefillLoad), decodeLoad: compute(load => load.decodeLoad), inFlight: compute(load => load.inFlight), contextTokens: compute(load => load.contextTokens),
	};
}

function sumOf(demands: readonly PoolDemand[], read: (demand: PoolDemand) => number): number {
	return demands.map(demand => read(demand)).reduce((total, value) => total + value, 0);
}

/** Projects the linear trend of the last samples to the time when a new server serves, relative to the peak. */
function projectGrowth(values: readonly number[], bootMs: number): number {
	const peak = Math.max(0, ...values);
	if (values.length < TREND_SAMPLES * 2 || peak === 0) {
		return 1;
	}

	const average = (part: readonly number[]) => part.reduce((total, value) => total + value, 0) / part.length;
	const last = average(values.slice(-TREND_SAMPLES));
	const slope = (last - average(values.slice(-TREND_SAMPLES * 2, -TREND_SAMPLES))) / TREND_SAMPLES;
	// The average of the last samples is that of their middle.
	const projected = last + (slope * (((bootMs + TREND_MARGIN_MS) / SAMPLE_MS) + (TREND_SAMPLES / 2)));
	return Math.min(MAX_GROWTH, Math.max(1, projected / peak));
}

function addDemands(total: PoolDemand | undefined, demand: PoolDemand): PoolDemand {
	if (!total) {
		return demand;
	}

	return {
		service: demand.service,
		requests: total.requests + demand.requests,
		promptTokens: total.promptTokens + demand.promptTokens,
		uncachedTokens: total.uncachedTokens + demand.uncachedTokens,
		inFlight: total.inFlight + demand.inFlight,
		waiting: total.waiting + demand.waiting,
		contextTokens: total.contextTokens + demand.contextTokens,
		prefillLoad: total.prefillLoad + demand.prefillLoad,
		decodeLoad: total.decodeLoad + demand.decodeLoad,
		late: total.late + demand.late,
		rejected: total.rejected + demand.rejected,
	};
}

function createEmptyDemand(service: string): PoolDemand {
	return {
		service, requests: 0, promptTokens: 0, uncachedTokens: 0, inFlight: 0, waiting: 0, contextTokens: 0, prefillLoad: 0, decodeLoad: 0, late: 0, rejected: 0,
	};
}
