/**
 * Releases KV caches that no engine will decode from.
 *
 * @module
 */
import type {ServingContext} from './context.js';
import type {KvCacheHandle} from './protocol.js';
import {recordAvailability} from './statements.js';
import type {Transport} from './upstream.js';

export type ReleaseOptions = {
	readonly kvCache: KvCacheHandle;
	readonly service: string;
	/** ID of the caller's request. */
	readonly request: string;
};

type ReleaseContext = Pick<ServingContext, 'announceLeaving' | 'availability' | 'clock' | 'findServer' | 'logger' | 'protocol'> & {
	readonly transport: Pick<Transport, 'send'>;
};

/**
 * Asks the engine that holds a KV cache to release it. An engine that takes no requests now is not asked: it drops the KV cache
 * when its hold time ends.
 *
 * @example
 * ```ts
 * releaseKvCache(context, {kvCache, service: 'summaries', request: 'id-1'});
 * ```
 */
export function releaseKvCache(context: ReleaseContext, {kvCache, service, request}: ReleaseOptions): void {
	const {availability, clock, logger, protocol, transport} = context;
	const server = context.findServer(kvCache.server);
	const maySend = () => server !== undefined && availability.isAvailable(server, clock.monotonicMs());
	if (server === undefined || !maySend()) {
		logger.debug(`Server ${kvCache.server} takes no requests now, so its KV cache is left to expire.`, {request, server: kvCache.server});
		return;
	}

	const ignore = () => undefined;
	const exchange = transport.send({
		server: kvCache.server,
		service,
		request,
		echoId: undefined,
		address: kvCache.address,
		...protocol.buildReleaseRequest(kvCache),
		headers: [],
		body: null,
		maxConnections: 1,
		maySend,
		onSilence() {
			exchange.cancel();
		},
	}, {
		onHead(status, headers) {
			const head = protocol.parseResponse(status, headers);
			// A release carries no request ID, so a response with one is not to it.
			recordAvailability(context, server, head, head.echoedId === undefined);
		},
		onData: ignore,
		onEnd: ignore,
		onFailure(failure, error) {
			logger.warn(`Could not release a KV cache: ${error.message}`, {failure, request, server: kvCache.server});
		},
	});
}
