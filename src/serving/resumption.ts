/**
 * Finds the software version at which a stream that is not placed by a scheduler is resumed.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import {createProblem, type Problem} from '../base/problem.js';
import {estimateRetrySeconds, type Call, type ServingContext} from './context.js';

/** Size by which a scheduler takes a request whose prompt is not described, tokens. */
const UNKNOWN_TOKENS = 1;

/**
 * Finds the software version that started the stream that a request resumes. Only the control hosts know which versions served a
 * moment ago, so one of them is asked to place the request, and the placement is dropped.
 *
 * @example
 * ```ts
 * await findResumedSoftware(context, call); // Either.right('v1.2'), or the problem with which to refuse the request
 * ```
 */
export async function findResumedSoftware(context: ServingContext, call: Call): Promise<Either.Either<Problem, string>> {
	const {placement, dataCentre, clock} = context;
	const {head: {key: id, resumedAttempt}, route, service, routeTable, body, priority} = call;
	const {decision} = await placement.place({
		id,
		service,
		dataCentre,
		bodyBytes: body?.length ?? 0,
		connected: [],
		parts: [],
		promptTokens: UNKNOWN_TOKENS,
		outputTokens: UNKNOWN_TOKENS,
		priority,
		objectiveMs: route.objectiveMs,
		patienceMs: Math.max(0, call.deadlineMs - clock.monotonicMs()),
		excluded: [],
		resumption: resumedAttempt === undefined ? {} : {attempt: resumedAttempt},
	});
	placement.reportMilestone(id, 'refused', undefined);
	if (decision.type === 'assignment' && decision.software !== undefined) {
		return Either.right(decision.software);
	}

	// Older scheduler hosts do not report the version.
	if (decision.type === 'assignment') {
		const engine = context.findServer(decision.reader ?? decision.runner ?? '');
		return engine ? Either.right(engine.software ?? '') : Either.left(createProblem('notStarted', 'The server is not known yet.', estimateRetrySeconds(context, call, 1)));
	}

	// The scheduler has no servers of a service without engines, but it knows which version started the stream.
	const software = decision.isOriginUnknown === true || routeTable.findService(service)?.engines ? undefined : decision.software ?? findOnlySoftware(context, service);
	return software === undefined
		? Either.left(createProblem('notStarted', decision.reason, estimateRetrySeconds(context, call, Math.ceil(decision.retryAfterMs / 100) / 10)))
		: Either.right(software);
}

function findOnlySoftware(context: ServingContext, service: string): string | undefined {
	const versions = new Set(context.listServers().filter(({services}) => services?.includes(service)).map(({software = ''}) => software));
	const [only] = versions;
	return versions.size === 1 ? only : undefined;
}
