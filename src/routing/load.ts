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

type InFlightRequest = {
	readonly size: WorkSize;
	readonly sentMs: number;
	hasFirstToken: boolean;
};

type EngineLoad = {
	report: LoadReport;
	reportMs: number;
	readonly inFlight: Map<string, InFlightRequest>;
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
		const engine = this.#getEngine(server);
		engine.report = report;
		engine.reportMs = nowMs;
	}

	/** Notes a request that was sent. */
	startRequest(server: string, id: string, size: WorkSize, nowMs: number): void {
		this.#getEngine(server).inFlight.set(id, {size, sentMs: nowMs, hasFirstToken: false});
	}

	/** Notes that a request's prefill is over. */
	recordFirstToken(server: string, id: string): void {
		const request = this.#engines.get(server)?.inFlight.get(id);
		if (request) {
			request.hasFirstToken = true;
		}
	}

	endRequest(server: string, id: string): void {
		this.#engines.get(server)?.inFlight.delete(id);
	}

	/** This host's own requests in flight at a server. */
	countInFlight(server: string): number {
		return this.#engines.get(server)?.inFlight.size ?? 0;
	}

	/** Estimates the load that a new request meets: the report, plus own requests that it cannot contain yet. */
	estimate(server: string): LoadEstimate {
		const engine = this.#engines.get(server);
		if (!engine) {
			return {requests: 0, prefillTokens: 0, decodeTokens: 0};
		}

		const own = {requests: 0, prefillTokens: 0, decodeTokens: 0};
		const unreported = {requests: 0, prefillTokens: 0, decodeTokens: 0};
		for (const request of engine.inFlight.values()) {
			addToEstimate(own, request);
			if (request.sentMs > engine.reportMs - this.#reportLagMs) {
				addToEstimate(unreported, request);
			}
		}

		const {report} = engine;
		return {
			requests: Math.max(own.requests, report.running + report.waiting + unreported.requests),
			prefillTokens: Math.max(own.prefillTokens, report.prefillTokens + unreported.prefillTokens),
			decodeTokens: Math.max(own.decodeTokens, report.decodeTokens + unreported.decodeTokens),
		};
	}

	#getEngine(server: string): EngineLoad {
		let engine = this.#engines.get(server);
		if (!engine) {
			engine = {report: EMPTY_REPORT, reportMs: Number.NEGATIVE_INFINITY, inFlight: new Map()};
			this.#engines.set(server, engine);
		}

		return engine;
	}
}

function addToEstimate(sum: {requests: number; prefillTokens: number; decodeTokens: number}, request: InFlightRequest): void {
	sum.requests++;
	sum.prefillTokens += request.hasFirstToken ? 0 : request.size.prefillTokens;
	sum.decodeTokens += request.size.promptTokens + request.size.outputTokens;
}
