/**
 * Cost of the resources that a placement uses besides engine time, expressed as the latency that is worth spending to
 * save them.
 *
 * It answers fleets in which every entry host can reach every engine: without it, each request opens connections of its
 * own, sends its body to another data centre and moves its KV cache for a gain of a few milliseconds.
 *
 * @module
 */

/** Weights of the resources that a placement uses. */
export type ResourceWeights = {
	/** Cost of a new connection to an engine, milliseconds. */
	readonly connectionMs: number;
	/** Cost of sending a kilobyte to another data centre, milliseconds. */
	readonly remoteKilobyteMs: number;
	/** Cost of moving the KV cache of a thousand tokens within a data centre, milliseconds. */
	readonly movedKilotokenMs: number;
};

/**
 * Default weights. A connection occupies the accept queue of an engine that all hosts share, and is worth about a tenth
 * of an objective of 600 ms. A kilobyte between data centres and a thousand moved tokens are worth two round trips.
 */
export const DEFAULT_RESOURCE_WEIGHTS: ResourceWeights = {connectionMs: 60, remoteKilobyteMs: 2, movedKilotokenMs: 2};

/** Factor by which moving KV cache to another data centre costs more. */
const REMOTE_MOVE_FACTOR = 2;

/** The origin of a request, as far as sending it to an engine depends on it. */
export type RequestOrigin = {
	readonly dataCentre: string;
	readonly bodyBytes: number;
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
 * estimateSendCostMs({dataCentre: 'a', bodyBytes: 9000, connected: []}, {server: 'e1', dataCentre: 'b'}); // 78
 * ```
 */
export function estimateSendCostMs({dataCentre, bodyBytes, connected}: RequestOrigin, engine: EngineLocation, weights: ResourceWeights = DEFAULT_RESOURCE_WEIGHTS): number {
	const connectionMs = connected.includes(engine.server) ? 0 : weights.connectionMs;
	const remoteMs = engine.dataCentre === dataCentre ? 0 : bodyBytes / 1000 * weights.remoteKilobyteMs;
	return connectionMs + remoteMs;
}

/**
 * Estimates the cost of moving KV cache between two engines, milliseconds; the duration of the transfer is not included.
 *
 * @param from - Data centre of the source; undefined if it is not known.
 * @example
 * ```ts
 * estimateMoveCostMs(17_000, 'a', 'b'); // 68
 * ```
 */
export function estimateMoveCostMs(tokens: number, from: string | undefined, to: string, weights: ResourceWeights = DEFAULT_RESOURCE_WEIGHTS): number {
	const factor = from === undefined || from === to ? 1 : REMOTE_MOVE_FACTOR;
	return tokens / 1000 * weights.movedKilotokenMs * factor;
}
