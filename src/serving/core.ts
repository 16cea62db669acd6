/**
 * What all requests of one host share: the way to the servers, what is known of them, and the budget of repeats.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import type {Clock} from '../base/clock.js';
import type {Logger} from '../base/logger.js';
import {createProblem, type Problem} from '../base/problem.js';
import type {Random} from '../base/random.js';
import type {Announcement} from '../generated/types.js';
import type {RepeatBudget} from '../routing/budget.js';
import type {Rule, RuleTable} from '../routing/catalogue.js';
import type {HealthTracker} from '../routing/health.js';
import type {LoadTracker} from '../routing/load.js';
import type {Caller} from './caller.js';
import type {
	AnswerHead, Attempt, CallHead, Dialect,
} from './dialect.js';
import type {ServingMetrics} from './metrics.js';
import type {PlacingClient} from './placing.js';
import type {
	AnswerSink, Exchange, Failure, Upstream,
} from './upstream.js';

export type ServingCore = {
	readonly dataCentre: string;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly dialect: Dialect;
	readonly upstream: Upstream;
	readonly health: HealthTracker;
	readonly loads: LoadTracker;
	readonly budget: RepeatBudget;
	readonly placing: PlacingClient;
	readonly metrics: ServingMetrics;
	/** Servers that take new work. */
	readonly listServers: () => readonly Announcement[];
	readonly findServer: (server: string) => Announcement | undefined;
	/** Entry hosts, this one included. */
	readonly countHosts: () => number;
};

/** One request on its way through this host. */
export type Call = {
	readonly caller: Caller;
	readonly head: CallHead;
	readonly rule: Rule;
	readonly table: RuleTable;
	readonly service: string;
	readonly body: Buffer | null;
	/** Monotonic times, milliseconds. */
	readonly arrivedMs: number;
	readonly deadlineMs: number;
	/** Notes for the line that the log gets when the request has ended. */
	readonly trail: Trail;
};

/** One sending to a server that was announced. */
export type Sending = Omit<Attempt, 'server'> & {
	readonly server: Announcement;
};

/** How a request fared, for the log. */
export type Trail = {
	readonly servers: string[];
	placedBy?: string;
	reader?: string;
	/** Engine from which shared parts were fetched. */
	source?: string;
	placedMs?: number;
	/** Tokens of the prompt, and those that the placer took for held. */
	promptTokens?: number;
	cachedTokens?: number;
	/** What the placer expected until the prompt is read, milliseconds. */
	expectedMs?: number;
	/** Whether the placer put it behind what can still be in time. */
	isLate?: boolean;
	readMs?: number;
	firstMs?: number;
	note?: string;
};

/** Connections that every host may open to a server whatever the number of hosts. */
const LEAST_CONNECTIONS = 4;
/** Share of a server's connections that the hosts divide; the rest is for hosts that come and go. */
const CONNECTION_SHARE = 0.8;
const MOST_CONNECTIONS = 64;
/** How long callers wait when no server is known: announcements come every second or so. */
const NO_SERVER_RETRY_SECONDS = 1;

/**
 * Sends a call to a server.
 *
 * @example
 * ```ts
 * const exchange = sendAttempt(core, call, {server, phase: 'whole', deadlineMs: 800}, sink);
 * ```
 */
export function sendAttempt(core: ServingCore, call: Call, {server, ...attempt}: Sending, sink: AnswerSink): Exchange {
	const {request} = call.caller;
	const cap = call.table.findService(call.service)?.maxConnections ?? MOST_CONNECTIONS;
	const share = Math.floor((cap * CONNECTION_SHARE) / core.countHosts());
	return core.upstream.send({
		address: {address: server.address, port: server.port},
		method: request.method ?? 'GET',
		path: request.url ?? '/',
		headers: core.dialect.writeAttempt(request, {...attempt, server: server.server}),
		body: call.body,
		maxConnections: Math.max(LEAST_CONNECTIONS, Math.min(MOST_CONNECTIONS, share)),
	}, sink);
}

/**
 * Tells why an answer does not belong to a call; undefined if it does.
 *
 * @example
 * ```ts
 * findMismatch(call, head); // 'it answers request 9c41'
 * ```
 */
export function findMismatch(call: Call, head: AnswerHead): string | undefined {
	if (head.echoedId !== undefined && head.echoedId !== call.head.id) {
		return `it answers request ${head.echoedId}`;
	}

	const isSuccess = head.status >= 200 && head.status < 300;
	if (isSuccess && head.echoedId === undefined) {
		return 'it names no request';
	}

	return head.headers['content-encoding'] === undefined ? undefined : 'its body is encoded';
}

/**
 * The problem of a call for which no server is in use.
 *
 * @example
 * ```ts
 * call.caller.fail(noServer(call));
 * ```
 */
export function noServer(call: Call): Problem {
	return createProblem('noServer', `Service ${call.service}.`, NO_SERVER_RETRY_SECONDS);
}

/**
 * Takes one repeat of a service's budget; false if none is left.
 *
 * @example
 * ```ts
 * if (!takeRepeat(core, call.service)) { … }
 * ```
 */
export function takeRepeat(core: ServingCore, service: string): boolean {
	const isGranted = core.budget.take(service, core.clock.monotonicMs());
	if (isGranted) {
		core.metrics.repeats.inc({service});
	}

	return isGranted;
}

/** Notes what a failed exchange says about its server. */
export function noteFailure(core: ServingCore, server: Announcement, failure: Failure, error: Error): void {
	core.metrics.failures.inc({failure});
	if (failure === 'unsent') {
		core.health.noteFailure(server.server, core.clock.monotonicMs());
	}

	core.logger.warn(`Server ${server.server} failed: ${error.message}`, {server: server.server, failure});
}
