/**
 * How loaded each engine is, as one entry host can know it: the last report, which lags, and its own work since.
 *
 * @module
 */

/** What an engine reports of itself. */
export type LoadReport = {
	readonly running: number;
	readonly waiting: number;
	readonly prefillTokens: number;
	readonly decodeTokens: number;
	readonly freePieces?: number;
};

/** Work that one request puts on an engine. */
export type WorkSize = {
	/** Prompt tokens that are not in the engine's prefix cache. */
	readonly prefillTokens: number;
	/** Expected tokens of the answer. */
	readonly outputTokens: number;
	/** Prompt tokens, cached or not. */
	readonly promptTokens: number;
};

/** The load that a new request would meet. */
export type LoadEstimate = {
	readonly requests: number;
	readonly prefillTokens: number;
	readonly decodeTokens: number;
};

type Flight = {
	readonly size: WorkSize;
	readonly sentMs: number;
	hasFirstToken: boolean;
};

type EngineLoad = {
	report: LoadReport;
	reportMs: number;
	readonly flights: Map<string, Flight>;
};

const EMPTY_REPORT: LoadReport = {
	running: 0, waiting: 0, prefillTokens: 0, decodeTokens: 0,
};

/** Tracks the load of engines. A step machine: time is handed in. */
export class LoadTracker {
	readonly #engines = new Map<string, EngineLoad>();
	/** How old the content of a report is when it arrives, milliseconds. */
	readonly #reportLagMs: number;

	constructor(reportLagMs = 100) {
		this.#reportLagMs = reportLagMs;
	}

	recordReport(server: string, report: LoadReport, nowMs: number): void {
		const engine = this.#engineOf(server);
		engine.report = report;
		engine.reportMs = nowMs;
	}

	/** Notes a request that was sent. */
	startRequest(server: string, id: string, size: WorkSize, nowMs: number): void {
		this.#engineOf(server).flights.set(id, {size, sentMs: nowMs, hasFirstToken: false});
	}

	/** Notes that a request's prefill is over. */
	recordFirstToken(server: string, id: string): void {
		const flight = this.#engines.get(server)?.flights.get(id);
		if (flight) {
			flight.hasFirstToken = true;
		}
	}

	endRequest(server: string, id: string): void {
		this.#engines.get(server)?.flights.delete(id);
	}

	/** This host's own requests in flight at a server. */
	countInFlight(server: string): number {
		return this.#engines.get(server)?.flights.size ?? 0;
	}

	/** Estimates the load that a new request meets: the report, plus own requests that it cannot contain yet. */
	estimate(server: string): LoadEstimate {
		const engine = this.#engines.get(server);
		if (!engine) {
			return {requests: 0, prefillTokens: 0, decodeTokens: 0};
		}

		const own = {requests: 0, prefillTokens: 0, decodeTokens: 0};
		const unseen = {requests: 0, prefillTokens: 0, decodeTokens: 0};
		for (const flight of engine.flights.values()) {
			addFlight(own, flight);
			if (flight.sentMs > engine.reportMs - this.#reportLagMs) {
				addFlight(unseen, flight);
			}
		}

		const {report} = engine;
		return {
			requests: Math.max(own.requests, report.running + report.waiting + unseen.requests),
			prefillTokens: Math.max(own.prefillTokens, report.prefillTokens + unseen.prefillTokens),
			decodeTokens: Math.max(own.decodeTokens, report.decodeTokens + unseen.decodeTokens),
		};
	}

	#engineOf(server: string): EngineLoad {
		let engine = this.#engines.get(server);
		if (!engine) {
			engine = {report: EMPTY_REPORT, reportMs: Number.NEGATIVE_INFINITY, flights: new Map()};
			this.#engines.set(server, engine);
		}

		return engine;
	}
}

function addFlight(sum: {requests: number; prefillTokens: number; decodeTokens: number}, flight: Flight): void {
	sum.requests++;
	sum.prefillTokens += flight.hasFirstToken ? 0 : flight.size.prefillTokens;
	sum.decodeTokens += flight.size.promptTokens + flight.size.outputTokens;
}
