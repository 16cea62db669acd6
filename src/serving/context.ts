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
import type {ServiceRetryBudget} from '../routing/budget.js';
import type {Route, RouteTable} from '../routing/routes.js';
import type {HealthTracker} from '../routing/health.js';
import type {LoadTracker} from '../routing/load.js';
import type {Caller} from './caller.js';
import type {
	ResponseHead, Attempt, RequestHead, ProtocolAdapter,
} from './protocol.js';
import type {ServingMetrics} from './metrics.js';
import type {PlacementClient} from './placement.js';
import type {
	ResponseHandler, Exchange, AttemptFailure, Upstream,
} from './upstream.js';

export type ServingContext = {
	readonly dataCentre: string;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly protocol: ProtocolAdapter;
	readonly upstream: Upstream;
	readonly health: HealthTracker;
	readonly loadTracker: LoadTracker;
	readonly retryBudget: ServiceRetryBudget;
	readonly placement: PlacementClient;
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
	readonly head: RequestHead;
	readonly route: Route;
	readonly routeTable: RouteTable;
	readonly service: string;
	readonly body: Buffer | null;
	/** Monotonic times, milliseconds. */
	readonly arrivedMs: number;
	readonly deadlineMs: number;
	/** Notes for the line that the log gets when the request has ended. */
	readonly logFields: RequestLogFields;
};

/** One sending to a server that was announced. */
export type AttemptOptions = Omit<Attempt, 'server'> & {
	readonly server: Announcement;
};

/** How a request fared, for the log. */
export type RequestLogFields = {
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
 * const exchange = sendAttempt(core, call, {server, phase: 'full', deadlineMs: 800}, sink);
 * ```
 */
export function sendAttempt(context: ServingContext, call: Call, {server, ...attempt}: AttemptOptions, sink: ResponseHandler): Exchange {
	const {request} = call.caller;
	const cap = call.routeTable.findService(call.service)?.maxConnections ?? MOST_CONNECTIONS;
	const share = Math.floor((cap * CONNECTION_SHARE) / context.countHosts());
	return context.upstream.send({
		address: {address: server.address, port: server.port},
		method: request.method ?? 'GET',
		path: request.url ?? '/',
		headers: context.protocol.buildRequestHeaders(request, {...attempt, server: server.server}),
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
export function findResponseMismatch(call: Call, head: ResponseHead): string | undefined {
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
export function createNoServerProblem(call: Call): Problem {
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
export function tryAcquireRetry(context: ServingContext, service: string): boolean {
	const isGranted = context.retryBudget.tryAcquire(service, context.clock.monotonicMs());
	if (isGranted) {
		context.metrics.retries.inc({service});
	}

	return isGranted;
}

/** Notes what a failed exchange says about its server. */
export function recordAttemptFailure(context: ServingContext, server: Announcement, failure: AttemptFailure, error: Error): void {
	context.metrics.failures.inc({failure});
	if (failure === 'unsent') {
		context.health.recordFailure(server.server, context.clock.monotonicMs());
	}

	context.logger.warn(`Server ${server.server} failed: ${error.message}`, {server: server.server, failure});
}
