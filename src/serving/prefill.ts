/**
 * Sends the prompt of a streamed request to an engine that only prefills it.
 *
 * @module
 */
import {ByteCollector} from '../base/bytes.js';
import type {Announcement} from '../generated/types.js';
import {
	findResponseMismatch, recordAttemptFailure, sendAttempt, type Call, type ServingContext,
} from './context.js';
import type {KvCacheHandle, ResponseHead} from './protocol.js';
import type {Exchange} from './upstream.js';

export type PrefillOptions = {
	readonly server: Announcement;
	/** Time that the scheduler expects until the first event, milliseconds. */
	readonly expectedMs: number;
	/** Remaining time of the request, milliseconds. */
	readonly deadlineMs: number;
	readonly priority: number;
	/** Server from which to fetch the KV cache of shared parts. */
	readonly kvFetchSource: Announcement | undefined;
};

/** A prefill times out after this multiple of the expected time, but not before `MIN_PREFILL_TIMEOUT_MS`. */
const PREFILL_TIMEOUT_FACTOR = 3;
const MIN_PREFILL_TIMEOUT_MS = 700;
/** The response to a prefill names a KV cache in a short JSON object. */
const MAX_RESPONSE_BYTES = 64 * 1024;
const HTTP_OK = 200;

/**
 * Prefills the prompt of a request at an engine. `onSettled` is called once, with undefined if the prefill failed, unless the
 * exchange is cancelled.
 *
 * @example
 * ```ts
 * const exchange = sendPrefill(context, call, {server, expectedMs: 80, deadlineMs: 2000, priority: 1, kvFetchSource: undefined}, kvCache => { … });
 * ```
 */
export function sendPrefill(context: ServingContext, call: Call, options: PrefillOptions, onSettled: (kvCache: KvCacheHandle | undefined) => void): Exchange {
	const {server, expectedMs, ...attempt} = options;
	const body = new ByteCollector();
	let head: ResponseHead | undefined;
	const settle = (kvCache: KvCacheHandle | undefined) => {
		clearTimeout(timer);
		onSettled(kvCache);
	};

	const abandon = (message: string) => {
		context.logger.warn(message, {request: call.head.id, server: server.server, expectedMs});
		exchange.cancel();
		settle(undefined);
	};

	// A prefill is safe to retry, so a reader that is long overdue is abandoned.
	const timer = setTimeout(() => {
		abandon(`Prefill timed out at server ${server.server}.`);
	}, Math.max(MIN_PREFILL_TIMEOUT_MS, expectedMs * PREFILL_TIMEOUT_FACTOR));
	call.caller.onEnd(() => {
		clearTimeout(timer);
	});
	const onSilence = () => {
		if (context.transport.usesRelays) {
			abandon(`Server ${server.server} fell silent during a prefill, and this host reaches no other one.`);
		}
	};

	const exchange = sendAttempt(context, call, {
		server, phase: 'prefill', onSilence, ...attempt,
	}, {
		onHead(status, headers, isFirst) {
			head = context.protocol.parseResponse(status, headers);
			const mismatch = findResponseMismatch(call, head, isFirst);
			if (mismatch !== undefined) {
				abandon(`Discarded a response from server ${server.server}: ${mismatch}.`);
			}
		},
		onData(chunk) {
			body.append(chunk);
			if (body.length > MAX_RESPONSE_BYTES) {
				abandon(`Prefill failed at server ${server.server}: the response exceeds ${MAX_RESPONSE_BYTES} bytes.`);
			}
		},
		onEnd() {
			const handle = head?.status === HTTP_OK ? context.protocol.parseKvHandle(body.view()) : undefined;
			if (handle === undefined) {
				context.logger.warn(`Prefill failed at server ${server.server}: no KV cache handle in the response.`, {server: server.server, status: head?.status});
				settle(undefined);
				return;
			}

			context.health.recordSuccess(server.server);
			settle({server: server.server, address: {address: server.address, port: server.port}, handle});
		},
		onFailure(failure, error) {
			recordAttemptFailure(context, call, server, {failure, error});
			settle(undefined);
		},
	});
	return exchange;
}
