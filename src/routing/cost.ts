/**
 * Cost of the resources that a placement uses besides engine time, expressed as the latency that is worth spending to
 * save them.
 *
 * It answers fleets in which every entry host can reach every engine: without it, each request opens connections of its
 * own, sends its body to another data centre and moves its KV cache for a gain of a few milliseconds.
 *
 * @module
 */

/**
 * Weights of the resources that a placement uses, as shares of the request's latency objective: a route with a tight
 * objective spends less of it to save them.
 */
export type ResourceWeights = {
	/** Weight of a new connection to an engine. */
	readonly connection: number;
	/** Weight of a kilobyte sent to another data centre. */
	readonly remoteKilobyte: number;
	/** Weight of a gigabyte of KV cache moved within a data centre. */
	readonly movedGigabyte: number;
};

/**
 * Default weights. A tenth of the objective for a connection leaves the other nine for queueing and prefill. A prompt
 * of some ten kilobytes sent to another data centre, or its cache of a gigabyte or two moved, counts about half as much.
 */
export const DEFAULT_RESOURCE_WEIGHTS: ResourceWeights = {connection: 0.1, remoteKilobyte: 0.0033, movedGigabyte: 0.025};

/** Factor by which moving KV cache to another data centre costs more. */
const REMOTE_MOVE_FACTOR = 2;

/** The origin of a request, as far as sending it to an engine depends on it. */
export type RequestOrigin = {
	readonly dataCentre: string;
	readonly bodyBytes: number;
	/** Remaining time until the first event is late, milliseconds. */
	readonly objectiveMs: number;
	/** Engines to which the entry host has an idle connection. */
	readonly connected: readonly string[];
};

/** The location of an engine. */
export type EngineLocation = {
	readonly server: string;
	readonly dataCentre: string;
};

/**
 * Estimates the cost of sending a request to an engine, milliseconds.
 *
 * @example
 * ```ts
 * estimateSendCostMs({dataCentre: 'a', bodyBytes: 9000, objectiveMs: 600, connected: []}, {server: 'e1', dataCentre: 'b'}); // 77.8
 * ```
 */
export function estimateSendCostMs({dataCentre, bodyBytes, objectiveMs, connected}: RequestOrigin, engine: EngineLocation, weights: ResourceWeights = DEFAULT_RESOURCE_WEIGHTS): number {
	const connectionShare = connected.includes(engine.server) ? 0 : weights.connection;
	const remoteShare = engine.dataCentre === dataCentre ? 0 : bodyBytes / 1000 * weights.remoteKilobyte;
	return (connectionShare + remoteShare) * objectiveMs;
}

/** A transfer of KV cache between two engines. */
export type Move = {
	readonly bytes: number;
	/** Data centre of the source; undefined if it is not known. */
	readonly from: string | undefined;
	readonly to: string;
};

/**
 * Estimates the cost of moving KV cache, milliseconds; the duration of the transfer is not included.
 *
 * @example
 * ```ts
 * estimateMoveCostMs({bytes: 2_000_000_000, from: 'a', to: 'b'}, 600); // 60
 * ```
 */
export function estimateMoveCostMs({bytes, from, to}: Move, objectiveMs: number, weights: ResourceWeights = DEFAULT_RESOURCE_WEIGHTS): number {
	const factor = from === undefined || from === to ? 1 : REMOTE_MOVE_FACTOR;
	return bytes / 1_000_000_000 * weights.movedGigabyte * factor * objectiveMs;
}
