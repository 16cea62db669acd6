/**
 * Engines and placement requests for the tests of scheduling.
 *
 * @module
 */
import type {EngineInfo} from '../src/routing/engine.js';
import type {PlacementRequest} from '../src/routing/request.js';
import type {OriginStore} from '../src/serving/placement.js';

/** Creates an engine of service `llm`, of software version `v1` in data centre `x` unless stated otherwise. */
export function createEngine(server: string, role: 'prefill' | 'decode', fields: Partial<EngineInfo> = {}): EngineInfo {
	return {
		server, incarnation: 1, service: 'llm', dataCentre: 'x', role, software: 'v1', slots: 48, kvTokens: 444_000, kvBytesPerToken: 131_072, linkMbps: 1_500_000, ...fields,
	};
}

/** No other host keeps copies of the origins of streams. */
export const NO_ORIGIN_COPIES: OriginStore = {
	copy: () => undefined,
	lookUp: async () => undefined,
};

/** Creates a request for service `llm` whose prompt shares no part with others. */
export function createRequest(id: string, promptTokens: number, fields: Partial<PlacementRequest> = {}): PlacementRequest {
	return {
		id, service: 'llm', dataCentre: 'x', parts: [{key: `own-${id}`, tokens: promptTokens}], promptTokens, outputTokens: 10, priority: 1, objectiveMs: 600, patienceMs: 2400, excluded: [], bodyBytes: 0, connected: [], ...fields,
	};
}
