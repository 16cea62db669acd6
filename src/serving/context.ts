/**
 * Dependencies and helpers that all requests of one entry host share, and the state of a single request.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import type {Clock} from '../base/clock.js';
import type {Logger} from '../base/logger.js';
import {createProblem, type Problem} from '../base/problem.js';
import type {Random} from '../base/random.js';
import type {StartCounter} from '../duties/starts.js';
import type {Announcement, RateLimitFact} from '../generated/types.js';
import type {RateLimitTable} from '../membership/ratelimits.js';
import type {AvailabilityTracker} from '../routing/availability.js';
import type {ServiceRetryBudget} from '../routing/budget.js';
import type {Route, RouteTable} from '../routing/routes.js';
import type {HealthTracker} from '../routing/health.js';
import type {LoadTracker} from '../routing/load.js';
import type {ClientGuard} from '../wire/clientguard.js';
import type {ResponseMemory} from './buffer.js';
import type {Caller} from './caller.js';
import type {CrashMonitor, SuspectRequest, TrackedAttempt} from './crashes.js';
import {
	ATTEMPT_PHASES, type ResponseHead, type Attempt, type RequestHead, type ProtocolAdapter,
} from './protocol.js';
import type {ServingMetrics} from './metrics.js';
import type {PlacementClient} from './placement.js';
import {observeResponse} from './statements.js';
import type {ServerTransport} from './transport.js';
import type {
	ResponseHandler, Exchange, AttemptFailure,
} from './upstream.js';

/** Dependencies that all requests of an entry host share. */
export type ServingContext = {
	readonly dataCentre: string;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly protocol: ProtocolAdapter;
	readonly transport: ServerTransport;
	readonly health: HealthTracker;
	readonly loadTracker: LoadTracker;
	readonly retryBudget: ServiceRetryBudget;
	readonly placement: PlacementClient;
	readonly metrics: ServingMetrics;
	readonly responseMemory: ResponseMemory;
	/** Bounds what is held for callers. */
	readonly clients: ClientGuard;
	readonly crashes: CrashMonitor;
	readonly availability: AvailabilityTracker;
	readonly rateLimits: RateLimitTable;
	/** Counts the runs of requests for usage reports; absent in deployments without them. */
	readonly starts?: StartCounter;
	/** Tells the other hosts that a server has said that it is leaving. */
	readonly announceLeaving: (server: Announcement) => void;
	/** Tells the other hosts what a server has said about its rate limit. */
	readonly announceRateLimit: (fact: RateLimitFact) => void;
	/** Whether the configuration in force has teams. */
	readonly hasTeams: () => boolean;
	/** Lists the servers that accept new work. */
	readonly listServers: () => readonly Announcement[];
	readonly findServer: (server: string) => Announcement | undefined;
	/** Number of entry hosts, including this one. */
	readonly countHosts: () => number;
};

/** One request that this host is serving. */
export type Call = {
	readonly caller: Caller;
	readonly head: RequestHead;
	readonly route: Route;
	readonly routeTable: RouteTable;
	readonly service: string;
	/** Team whose key the request carries; undefined if the configuration has no teams, or without a known key on a public route. */
	readonly team?: string | undefined;
	/** Priority of the team, or else of the route; 0 is the most urgent. */
	readonly priority: number;
	readonly body: Buffer | null;
	/** Monotonic time, milliseconds. */
	readonly arrivedMs: number;
	/** Monotonic time, milliseconds. */
	readonly deadlineMs: number;
	/** Identifies the request if servers crash while they run it. */
	readonly suspect: SuspectRequest;
	/** Fields for the log line that is written when the request has ended. */
	readonly logFields: RequestLogFields;
};

/** An attempt at a server, with the server's announcement. */
export type AttemptOptions = Omit<Attempt, 'server' | 'team' | 'forwardsAuthorization'> & {
	readonly server: Announcement;
	/** See `UpstreamRequest`. */
	readonly onSilence: () => void;
};

/** Fields of a request's log line. */
export type RequestLogFields = {
	readonly servers: string[];
	/** Entry hosts through which attempts were sent, in their order. */
	relays?: string[];
	/** Host whose scheduler placed the request; 'self' for this host. */
	placedBy?: string;
	/** Engine that prefilled the prompt for the runner. */
	reader?: string;
	/** Engine from which shared prompt parts were fetched. */
	source?: string;
	placedMs?: number;
	promptTokens?: number;
	/** Prompt tokens that the scheduler expected to be cached. */
	cachedTokens?: number;
	/** Time to the first event that the scheduler expected, milliseconds. */
	expectedMs?: number;
	/** Whether the scheduler put it behind requests that can still meet their objective. */
	isLate?: boolean;
	/** Attempt whose stream the caller resumes. */
	resumes?: string | undefined;
	/** Software versions of the servers, in the order of `servers`. */
	software?: string[];
	readMs?: number;
	firstMs?: number;
	note?: string;
	/** Recognizes a quarantined request in the lines of other attempts. */
	fingerprint?: string;
};

/** Number of connections that a host may always open to a server, whatever the number of hosts. */
const MIN_CONNECTIONS = 4;
/**
 * Share of a server's connections that the hosts divide among themselves; the rest is a margin for hosts that join or
 * leave.
 */
const CONNECTION_SHARE = 0.8;
const MAX_CONNECTIONS = 64;
/** Retry time for callers when no server is available: servers announce themselves about once a second. */
const NO_SERVER_RETRY_SECONDS = 1;
/** Share of the retry time over which callers are spread. */
const RETRY_SPREAD = 0.25;
/** Prompt parts in the log line of a failure. */
const LOGGED_PARTS = 16;
/** Retry time for callers of a request that crashes servers, unless it is known: another attempt within a minute would be refused as well. */
const QUARANTINE_RETRY_MS = 60_000;

/**
 * Sends a request to a server.
 *
 * @example
 * ```ts
 * const exchange = sendAttempt(context, call, {server, phase: 'full', deadlineMs: 800, onSilence() { … }}, handler);
 * ```
 */
export function sendAttempt(context: ServingContext, call: Call, {server, onSilence, ...attempt}: AttemptOptions, handler: ResponseHandler): Exchange {
	const {request} = call.caller;
	// A request from before the first configuration with teams may carry a key as well.
	const forwardsAuthorization = !call.routeTable.teams && !context.hasTeams();
	// A prefill starts no response, so it is not what crashes an engine.
	const tracked = attempt.phase === ATTEMPT_PHASES.prefill ? undefined : context.crashes.track(server, call.suspect);
	const exchange = context.transport.send({
		server: server.server,
		service: call.service,
		request: call.head.id,
		echoId: call.head.id,
		address: {address: server.address, port: server.port},
		method: request.method ?? 'GET',
		path: request.url ?? '/',
		headers: context.protocol.buildRequestHeaders(request, {
			...attempt, server: server.server, team: call.team, forwardsAuthorization,
		}),
		body: call.body,
		maxConnections: limitConnections(context, call.routeTable, call.service),
		maySend: () => context.availability.isAvailable(server, context.clock.monotonicMs()),
		onSilence,
		onRelay(relay) {
			(call.logFields.relays ??= []).push(relay);
		},
	}, observeResponse(context, {server, request: call.head.id}, tracked ? reportEnd(handler, tracked) : handler));
	return tracked ? reportCancellation(exchange, tracked) : exchange;
}

/**
 * Computes how many connections a host may open to one server of a service.
 *
 * @example
 * ```ts
 * limitConnections(context, routeTable, 'summaries'); // 34
 * ```
 */
export function limitConnections(context: ServingContext, routeTable: RouteTable | undefined, service: string): number {
	const cap = routeTable?.findService(service)?.maxConnections ?? MAX_CONNECTIONS;
	const share = Math.floor((cap * CONNECTION_SHARE) / context.countHosts());
	return Math.max(MIN_CONNECTIONS, Math.min(MAX_CONNECTIONS, share));
}

/** Wraps a handler so that the end of the response is also reported to the tracker. */
function reportEnd(handler: ResponseHandler, tracked: TrackedAttempt): ResponseHandler {
	let status = 0;
	let isClosedByConnection = false;
	return {
		onHead(receivedStatus, headers, isFirst) {
			status = receivedStatus;
			isClosedByConnection = headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
			handler.onHead(receivedStatus, headers, isFirst);
		},
		onData(chunk) {
			if (isSuccess(status)) {
				tracked.progress();
			}

			handler.onData(chunk);
		},
		onEnd() {
			if (isClosedByConnection) {
				// The server may have ended the response, or crashed in the middle of it.
				tracked.breakOff();
			} else if (isSuccess(status)) {
				tracked.succeed();
			} else {
				tracked.dismiss();
			}

			handler.onEnd();
		},
		onFailure(failure, error) {
			if (failure === 'broken') {
				tracked.breakOff();
			} else {
				tracked.miss();
			}

			handler.onFailure(failure, error);
		},
	};
}

function isSuccess(status: number): boolean {
	return status >= 200 && status < 300;
}

/** Wraps an exchange so that its cancellation is also reported to the tracker. */
function reportCancellation(exchange: Exchange, tracked: TrackedAttempt): Exchange {
	return {
		cancel() {
			const isFirst = exchange.cancel();
			if (isFirst) {
				tracked.abandon();
			}

			return isFirst;
		},
		pause() {
			exchange.pause();
		},
		resume() {
			exchange.resume();
		},
	};
}

/**
 * Finds the reason why a response may not belong to a request; undefined if it does. Without an ID, only a failure on a connection
 * that has carried no earlier request is certain to answer this one.
 *
 * @param isFirst - Whether the connection has carried no earlier request.
 * @example
 * ```ts
 * findResponseMismatch(call, head, false); // 'it belongs to request 9c41'
 * ```
 */
export function findResponseMismatch(call: Call, head: ResponseHead, isFirst: boolean): string | undefined {
	if (head.echoedId !== undefined && head.echoedId !== call.head.id) {
		return `it belongs to request ${head.echoedId}`;
	}

	const isSuccess = head.status >= 200 && head.status < 300;
	if (head.echoedId === undefined && (isSuccess || !isFirst)) {
		return isFirst ? 'it has no request ID' : 'it has no request ID, and its connection may have carried other requests';
	}

	return head.headers['content-encoding'] === undefined ? undefined : 'it has a content encoding';
}

/**
 * Creates the problem to report for a request that crashes servers and was not sent to one.
 *
 * @example
 * ```ts
 * call.caller.fail(createQuarantineProblem(call));
 * ```
 */
export function createQuarantineProblem(call: Call, retryMs = QUARANTINE_RETRY_MS): Problem {
	call.logFields.fingerprint = call.suspect.getFingerprint();
	return createProblem('quarantined', undefined, Math.ceil(retryMs / 1000));
}

/**
 * Creates the problem to report when a service has no available server.
 *
 * @example
 * ```ts
 * call.caller.fail(createNoServerProblem(context, call));
 * ```
 */
export function createNoServerProblem(context: ServingContext, call: Call): Problem {
	return createProblem('noServer', `Service ${call.service}.`, estimateRetrySeconds(context, call, NO_SERVER_RETRY_SECONDS));
}

/**
 * Estimates when a caller should come back: after a default time, or when the first of the service's servers takes requests
 * again if all refuse them for now. The times of several callers are spread, so that they do not return together.
 *
 * @example
 * ```ts
 * estimateRetrySeconds(context, call, 0.3); // 4.7
 * ```
 */
export function estimateRetrySeconds(context: ServingContext, call: Call, defaultSeconds: number): number {
	const {availability, clock, findServer, listServers, random} = context;
	const nowMs = clock.monotonicMs();
	const offers = (server: Announcement | undefined) => server?.services?.includes(call.service) ?? false;
	const ends = availability.listRefusing(nowMs).filter(({server, incarnation}) => {
		const announced = findServer(server);
		return announced?.incarnation === incarnation && offers(announced);
	}).map(({untilMs}) => untilMs - nowMs);
	if (ends.length === 0 || listServers().some(server => offers(server))) {
		return defaultSeconds;
	}

	const delayMs = Math.min(...ends) * (1 + (random() * RETRY_SPREAD));
	return Math.max(defaultSeconds, Math.ceil(delayMs / 100) / 10);
}

/**
 * Consumes one retry of a service's budget; returns false if the budget is exhausted.
 *
 * @example
 * ```ts
 * if (!tryAcquireRetry(context, call.service)) { … }
 * ```
 */
export function tryAcquireRetry(context: ServingContext, service: string): boolean {
	const isGranted = context.retryBudget.tryAcquire(service, context.clock.monotonicMs());
	if (isGranted) {
		context.metrics.retries.inc({service});
	}

	return isGranted;
}

/** Records and logs a failed exchange with a server. */
export function recordAttemptFailure(context: ServingContext, call: Call, server: Announcement, {failure, error}: {failure: AttemptFailure; error: Error}): void {
	context.metrics.failures.inc({failure});
	if (failure === 'unsent') {
		context.health.recordFailure(server.server, context.clock.monotonicMs());
	}

	context.logger.warn(`Server ${server.server} failed: ${error.message}`, {
		server: server.server,
		failure,
		request: call.head.id,
		fingerprint: failure === 'broken' ? call.suspect.getFingerprint() : undefined,
		parts: failure === 'broken' ? call.head.prompt?.parts.slice(0, LOGGED_PARTS).map(({key}) => key) : undefined,
	});
}
