/**
 * The parts of requests and responses that request serving depends on, independent of their format on the wire.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders, IncomingMessage, OutgoingHttpHeaders} from 'node:http';
import type {Either} from 'fp-ts/lib/Either.js';
import type {Problem} from '../base/problem.js';
import type {RoutingConfig} from '../routing/routes.js';
import type {PromptPart} from '../routing/kvcache.js';
import type {Address} from '../wire/connection.js';

/** A prompt for an engine. */
export type Prompt = {
	readonly model: string;
	readonly promptTokens: number;
	/** Maximum number of output tokens. */
	readonly outputTokens: number;
	/** Named parts in order; the last one is not shared with other requests. */
	readonly parts: readonly PromptPart[];
};

/** What the headers of a caller's request contain. */
export type RequestHead = {
	/** Request ID that the caller assigned to this attempt. */
	readonly id: string;
	/** Names the request between hosts: its ID, or the hash of a long one. */
	readonly key: string;
	/** How long the caller will wait, milliseconds; undefined if it sets no deadline. */
	readonly timeoutMs: number | undefined;
	readonly prompt: Prompt | undefined;
	/** Hashes of all parts that the request names and others may share, see `hashPart`; `prompt` describes a limited number of parts. */
	readonly sharedParts: readonly number[];
	/** ID of the last event that the caller received of a stream that it resumes. */
	readonly lastEventId: string | undefined;
	/** Key of the attempt that brought the first event of that stream. */
	readonly resumedAttempt: string | undefined;
};

/** Reference to the KV cache of a prefilled prompt at an engine. */
export type KvCacheHandle = {
	readonly server: string;
	readonly address: Address;
	readonly handle: string;
};

export const ATTEMPT_PHASES = {full: 'full', prefill: 'prefill', decode: 'decode'} as const;
/** What an attempt asks of an engine: prefill and decoding, prefill only, or decoding from a transferred KV cache. */
export type AttemptPhase = keyof typeof ATTEMPT_PHASES;

/** One attempt of a request at one server. */
export type Attempt = {
	readonly phase: AttemptPhase;
	/** Remaining time for the response, milliseconds. */
	readonly deadlineMs: number;
	/** The server that must respond; another server at the same address refuses the request. */
	readonly server: string;
	/** KV cache from which to decode. */
	readonly kvCache?: KvCacheHandle;
	/** Address of a server from which to fetch the KV cache of shared prompt parts. */
	readonly kvFetchSource?: Address;
	readonly lastEventId?: string;
	/** 0 is the most urgent. */
	readonly priority?: number;
	/** Name of the team for which the server runs the request. */
	readonly team?: string | undefined;
	/** Whether the server receives the caller's `Authorization` header. It must not if that may contain the key of a team. */
	readonly forwardsAuthorization?: boolean;
};

/** The time after which a server wants requests again. */
export type RetryAfter
	= | {readonly type: 'delay'; readonly ms: number}
		| {readonly type: 'unreadable'; readonly text: string};

/** The rate of requests that a server accepts from all hosts together, for as long as its responses state it. */
export type RateLimit
	= | {readonly type: 'rate'; readonly perSecond: number}
		| {readonly type: 'unreadable'; readonly text: string};

/** How the end of a server's response is marked. */
export const FRAMINGS = {
	/** By a content length or chunked encoding. */
	closed: 'closed',
	/** By the end of the connection. */
	open: 'open',
} as const;
export type Framing = keyof typeof FRAMINGS;

/** Status and headers of a server's response. */
export type ResponseHead = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly framing: Framing;
	/** ID of the request to which the server responds. */
	readonly echoedId: string | undefined;
	/** Whether the server states that it did not execute the request. */
	readonly isNotExecuted: boolean;
	/** Whether another server than the expected one responded. */
	readonly isWrongServer: boolean;
	/** Whether the server that responded is leaving and wants no new requests. */
	readonly isLeaving: boolean;
	/** How long the server wants no further requests, in a response that refuses one. */
	readonly retryAfter: RetryAfter | undefined;
	/** Undefined if the response states no limit. */
	readonly rateLimit: RateLimit | undefined;
	/** Load that the server reports. */
	readonly load: {readonly running: number; readonly waiting: number; readonly slots: number} | undefined;
};

/** Parses and builds requests and responses in the platform's format. */
export interface ProtocolAdapter {
	parseRequest(request: IncomingMessage): Either<Problem, RequestHead>;
	/** Parses the key that a request carries, as bytes; undefined if there is none, or more than one. */
	parseKey(request: IncomingMessage): Buffer | undefined;
	/** Removes the header that may contain a key from alternating names and values. */
	removeKey(headers: readonly string[]): string[];
	/** Headers of the response to a request that is refused for its key. */
	readonly keyChallenge: OutgoingHttpHeaders;
	/** Builds the headers of a request to a server, as alternating names and values. */
	buildRequestHeaders(request: IncomingMessage, attempt: Attempt): string[];
	parseResponse(status: number, headers: IncomingHttpHeaders): ResponseHead;
	/** Builds the headers of the response to the caller from those of the server's response. */
	buildResponseHeaders(headers: IncomingHttpHeaders): OutgoingHttpHeaders;
	/** Parses the KV cache handle in the response to a prefill; undefined if there is none. */
	parseKvHandle(body: Uint8Array): string | undefined;
	/** Builds the request that releases a KV cache that is not needed any more. */
	buildReleaseRequest(kvCache: KvCacheHandle): {readonly method: string; readonly path: string};
	/** Parses a routing configuration as published by operators. */
	parseRoutingConfig(text: string): Either<Problem, RoutingConfig>;
}
