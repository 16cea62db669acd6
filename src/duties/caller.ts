/**
 * Calls to the external service that this deployment has duties at.
 *
 * @module
 */
import type {Clock} from '../base/clock.js';
import type {Logger} from '../base/logger.js';
import type {LeaderLease} from '../control/service.js';
import type {DutyMetrics} from './metrics.js';
import {CallRate} from './rate.js';

/** Makes calls to the external service while this host holds the duties. */
export interface DutyCaller {
	/** Whether this host holds the duties now: it leads the replicated log, holds its lease and has waited out its predecessor. */
	readonly isHolder: boolean;
	/**
	 * Makes one call, without a retry. Never rejects.
	 *
	 * @returns The status of the response; undefined if this host does not hold the duties, the rate limit is reached, or no response came.
	 */
	call(path: string, body: unknown): Promise<number | undefined>;
}

/** One call to the external service. */
export type DutyRequest = {
	readonly path: string;
	readonly body: unknown;
	/** Fencing token. */
	readonly token: number;
	/** Whether the call may still be written; called once the connection is established. */
	readonly mayWrite: () => boolean;
};

/** Sends calls in the format of the external service. */
export interface DutyTransport {
	/** Sends a call; returns its status, or undefined if no response came. Never rejects. */
	send(request: DutyRequest): Promise<number | undefined>;
	/** Creates the call that reports the counts of a window. */
	createUsageCall(window: number, counts: unknown): Pick<DutyRequest, 'path' | 'body'>;
}

/** How a call ended. */
export type CallOutcome
	= | {readonly type: 'response'; readonly status: number}
		/** The call was not written, or was written and brought no response. */
		| {readonly type: 'no-response'}
		/** The call was not written, since this host does not hold the duties. */
		| {readonly type: 'not-holder'}
		/** The call was not written, since the rate limit is reached. */
		| {readonly type: 'rate-limited'};

export type LeaderDutyCallerOptions = {
	readonly clock: Pick<Clock, 'monotonicMs'>;
	readonly logger: Logger;
	readonly metrics: DutyMetrics;
	readonly transport: DutyTransport;
	readonly readLeaderLease: () => LeaderLease | undefined;
	/** Time from the election of a leader to its first call: calls of the leader before it have arrived by then, milliseconds. */
	readonly takeoverMs: number;
	/** Calls a second that the external service accepts. */
	readonly callsPerSecond: number;
};

/** Makes calls while this host leads the replicated log. */
export class LeaderDutyCaller implements DutyCaller {
	readonly #options: LeaderDutyCallerOptions;
	readonly #rate: CallRate;

	constructor(options: LeaderDutyCallerOptions) {
		this.#options = options;
		this.#rate = new CallRate(options.callsPerSecond);
	}

	get isHolder(): boolean {
		return this.#findToken() !== undefined;
	}

	async call(path: string, body: unknown): Promise<number | undefined> {
		const outcome = await this.tryCall(path, body);
		return outcome.type === 'response' ? outcome.status : undefined;
	}

	/** Makes one call and tells why there is no response. */
	async tryCall(path: string, body: unknown): Promise<CallOutcome> {
		const token = this.#findToken();
		const outcome = token === undefined ? {type: 'not-holder' as const} : await this.#send(path, body, token);
		this.#options.metrics.calls.inc({path, outcome: outcome.type === 'response' ? String(outcome.status) : outcome.type});
		return outcome;
	}

	async #send(path: string, body: unknown, token: number): Promise<CallOutcome> {
		const {clock, logger, transport} = this.#options;
		const startedMs = clock.monotonicMs();
		if (!this.#rate.take(path, startedMs)) {
			return {type: 'rate-limited'};
		}

		let isForbidden = false;
		const status = await transport.send({
			path,
			body,
			token,
			mayWrite: () => {
				isForbidden = this.#findToken() !== token;
				return !isForbidden;
			},
		});
		const outcome = findOutcome(status, isForbidden);
		logger.info(`Called the external service: ${status ?? outcome.type}.`, {
			path, token, status, outcome: outcome.type, tookMs: Math.round(clock.monotonicMs() - startedMs),
		});
		return outcome;
	}

	/** Returns the fencing token; undefined if this host does not hold the duties. */
	#findToken(): number | undefined {
		const {clock, readLeaderLease, takeoverMs} = this.#options;
		const lease = readLeaderLease();
		const nowMs = clock.monotonicMs();
		return lease && nowMs < lease.leaseUntilMs && nowMs >= lease.electedMs + takeoverMs ? lease.term : undefined;
	}
}

function findOutcome(status: number | undefined, isForbidden: boolean): CallOutcome {
	if (isForbidden) {
		return {type: 'not-holder'};
	}

	return status === undefined ? {type: 'no-response'} : {type: 'response', status};
}
