/**
 * Records what servers say about themselves in the heads of their responses: that they are leaving, when they want requests again,
 * and their rate limits.
 *
 * @module
 */
import type {Announcement} from '../generated/types.js';
import type {ServingContext} from './context.js';
import type {ResponseHead} from './protocol.js';
import type {ResponseHandler} from './upstream.js';

/**
 * Wraps a handler so that what the head of the response says about the server is recorded. Must be called when the request is sent.
 *
 * @example
 * ```ts
 * context.upstream.send(request, observeResponse(context, {server, request: call.head.id}, handler));
 * ```
 */
export function observeResponse(context: ServingContext, {server, request}: {server: Announcement; request: string}, handler: ResponseHandler): ResponseHandler {
	const sentMs = context.clock.monotonicMs();
	return {
		onHead(status, headers, isFirst) {
			const head = context.protocol.parseResponse(status, headers);
			// A response to an earlier request, late or repeated, tells nothing about now, except that its server is leaving.
			const isCurrent = head.echoedId === undefined || head.echoedId === request;
			recordAvailability(context, server, head, isCurrent);
			if (isCurrent) {
				recordRateLimit(context, server, head, sentMs);
			}

			handler.onHead(status, headers, isFirst);
		},
		onData(chunk) {
			handler.onData(chunk);
		},
		onEnd() {
			handler.onEnd();
		},
		onFailure(failure, error) {
			handler.onFailure(failure, error);
		},
	};
}

type AvailabilityContext = Pick<ServingContext, 'announceLeaving' | 'availability' | 'clock' | 'logger'>;

/**
 * Records what a response says about whether its server takes further requests.
 *
 * @param isCurrent - Whether it may be the response to the request that was sent last, so that its retry time holds from now on.
 * @example
 * ```ts
 * recordAvailability(context, server, context.protocol.parseResponse(status, headers), true);
 * ```
 */
export function recordAvailability(context: AvailabilityContext, server: Announcement, {isWrongServer, isLeaving, retryAfter}: ResponseHead, isCurrent: boolean): void {
	if (isWrongServer) {
		return;
	}

	if (isCurrent) {
		recordRetryTime(context, server, retryAfter);
	}

	if (isLeaving && context.availability.recordLeaving(server)) {
		context.logger.info(`Server ${server.server} says in a response that it is leaving.`, {server: server.server, incarnation: server.incarnation});
		context.announceLeaving(server);
	}
}

function recordRetryTime({availability, clock, logger}: AvailabilityContext, server: Announcement, retryAfter: ResponseHead['retryAfter']): void {
	if (retryAfter?.type === 'delay') {
		availability.recordRefusal(server, retryAfter.ms, clock.monotonicMs());
		logger.info(`Server ${server.server} refuses requests for ${retryAfter.ms} ms.`, {server: server.server, durationMs: retryAfter.ms});
	} else if (retryAfter && availability.recordUnreadable(server)) {
		logger.warn(`Ignored the retry time of server ${server.server}: ${retryAfter.text}`, {server: server.server});
	}
}

/** Records the rate limit in a response, or that there is none. */
function recordRateLimit({announceRateLimit, availability, clock, logger, rateLimits}: ServingContext, {server, incarnation}: Announcement, {isWrongServer, rateLimit}: ResponseHead, sentMs: number): void {
	if (isWrongServer) {
		return;
	}

	if (rateLimit?.type === 'unreadable') {
		if (availability.recordUnreadable({server, incarnation})) {
			logger.warn(`Ignored the rate limit of server ${server}: ${rateLimit.text}`, {server});
		}

		return;
	}

	const fact = rateLimits.record({
		server, incarnation, perSecond: rateLimit?.perSecond, sentMs,
	}, clock.monotonicMs());
	if (fact) {
		const {perSecond, revision} = fact;
		logger.info(`Server ${server} ${perSecond === undefined ? 'no longer limits requests' : `limits requests to ${perSecond} per second`}.`, {
			server, incarnation, perSecond, revision,
		});
		announceRateLimit(fact);
	}
}
