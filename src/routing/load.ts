/**
 * Load of each engine as one entry host estimates it, from the engine's last report, which lags, and the host's own
 * requests since.
 *
 * @module
 */

/** Load that an engine reports about itself. */
export type LoadReport = {
	readonly running: number;
	readonly waiting: number;
	readonly prefillTokens: number;
	readonly decodeTokens: number;
	readonly freePieces?: number;
};

/** Work that one request causes at an engine. */
export type WorkSize = {
	/** Prompt tokens that are not in the engine's prefix cache. */
	readonly prefillTokens: number;
	/** Expected number of output tokens. */
	readonly outputTokens: number;
	/** All prompt tokens, cached or not. */
	readonly promptTokens: number;
};

/** Estimated load at an engine when a new request arrives. */
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

/** Tracks the load of engines. Performs no I/O; the caller passes the current time. */
export class LoadTracker {
	readonly #engines = new Map<string, EngineLoad>();
	/** Age of a report's content when it arrives, milliseconds. */
	readonly #reportLagMs: number;

	constructor(reportLagMs = 100) {
		this.#reportLagMs = reportLagMs;
	}

	recordReport(server: string, report: LoadReport, nowMs: number): void {
		const engine = this.#getEngine(server);
		engine.report = report;
		engine.reportMs = nowMs;
	}

	/** Records that a request was sent to a server. */
	startRequest(server: string, id: string, size: WorkSize, nowMs: number): void {
		this.#getEngine(server).inFlight.set(id, {size, sentMs: nowMs, hasFirstToken: false});
	}

	/** Records that a request's prefill has completed. */
	recordFirstToken(server: string, id: string): void {
		const request = this.#engines.get(server)?.inFlight.get(id);
		if (request) {
			request.hasFirstToken = true;
		}
	}

	endRequest(server: string, id: string): void {
		this.#engines.get(server)?.inFlight.delete(id);
	}

	/** Counts this host's requests in flight at a server. */
	countInFlight(server: string): number {
		return this.#engines.get(server)?.inFlight.size ?? 0;
	}

	/**
	 * Estimates the load at a server: its last report plus this host's requests that are too recent to be in the report.
	 */
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
