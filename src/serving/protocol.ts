/**
 * What the serving core needs to know of a request and an answer, whatever names they bear on the wire.
 *
 * @module
 */
import type {IncomingHttpHeaders, IncomingMessage, OutgoingHttpHeaders} from 'node:http';
import type {Either} from 'fp-ts/lib/Either.js';
import type {Problem} from '../base/problem.js';
import type {RoutingConfig} from '../routing/routes.js';
import type {PromptPart} from '../routing/kvcache.js';
import type {Address} from '../wire/connection.js';
import type {Framing} from './caller.js';

/** A prompt for an engine, by its named parts. */
export type Prompt = {
	readonly model: string;
	readonly promptTokens: number;
	/** Most tokens of the answer. */
	readonly outputTokens: number;
	/** In order; the last one belongs to the request itself. */
	readonly parts: readonly PromptPart[];
};

/** The head of a caller's request. */
export type RequestHead = {
	/** The caller's name for this try. */
	readonly id: string;
	/** How long the caller will wait, milliseconds. */
	readonly timeoutMs: number | undefined;
	readonly prompt: Prompt | undefined;
	/** Last event of a stream that the caller wants to go on with. */
	readonly lastEventId: string | undefined;
};

/** A prompt's KV cache that an engine holds. */
export type KvCacheHandle = {
	readonly address: Address;
	readonly handle: string;
};

export const ATTEMPT_PHASES = {full: 'full', prefill: 'prefill', decode: 'decode'} as const;
/** What is asked of an engine: everything, only to read the prompt, or to go on from a read prompt. */
export type AttemptPhase = keyof typeof ATTEMPT_PHASES;

/** One sending of a request to one server. */
export type Attempt = {
	readonly phase: AttemptPhase;
	readonly deadlineMs: number;
	/** The server that must answer; any other one refuses. */
	readonly server: string;
	readonly kvCache?: KvCacheHandle;
	/** A server that holds shared parts of the prompt. */
	readonly kvSource?: Address;
	readonly lastEventId?: string;
	/** 0 is the most urgent. */
	readonly priority?: number;
};

/** The head of a server's answer. */
export type ResponseHead = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	/** How the answer's end is marked. */
	readonly framing: Framing;
	/** The request that the server answers. */
	readonly echoedId: string | undefined;
	/** The server states that it did not run the request. */
	readonly isNotExecuted: boolean;
	/** Another server answered from that address. */
	readonly isWrongServer: boolean;
	readonly load: {readonly running: number; readonly waiting: number; readonly slots: number} | undefined;
};

/** How requests and answers are written on the wire. */
export interface ProtocolAdapter {
	parseRequest(request: IncomingMessage): Either<Problem, RequestHead>;
	/** Headers of a request to a server, as alternating names and values. */
	buildRequestHeaders(request: IncomingMessage, attempt: Attempt): string[];
	parseResponse(status: number, headers: IncomingHttpHeaders): ResponseHead;
	/** Headers of a server's answer that go on to the caller. */
	buildResponseHeaders(headers: IncomingHttpHeaders): OutgoingHttpHeaders;
	/** The handle in an answer to a reading; undefined if there is none. */
	parseKvHandle(body: Uint8Array): string | undefined;
	/** The request that frees a reading nobody will take. */
	buildReleaseRequest(kvCache: KvCacheHandle): {readonly method: string; readonly path: string};
	/** The publication as operators wrote it. */
	parseRoutingConfig(text: string): Either<Problem, RoutingConfig>;
}
