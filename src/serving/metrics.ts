/**
 * Metrics of request serving.
 *
 * @module
 */
import {
	Counter, Gauge, Histogram, type Registry,
} from 'prom-client';
import {TeamMetrics} from '../teams/metrics.js';
import {CALL_OUTCOMES} from './caller.js';

export type ServingMetrics = {
	readonly requests: Counter<'route' | 'outcome'>;
	readonly teams: TeamMetrics;
	readonly failures: Counter<'failure'>;
	readonly retries: Counter<'service'>;
	readonly placements: Counter<'by'>;
	readonly firstByte: Histogram<'route'>;
	readonly duration: Histogram<'route'>;
	readonly active: Gauge;
	readonly serversReachable: Gauge;
	readonly relayed: Counter<'direction'>;
	readonly originLookups: Counter<'outcome'>;
	readonly blocks: Gauge;
	readonly probes: Counter<'kind' | 'outcome'>;
};

/** Histogram buckets, milliseconds: from a simple read to the longest stream. */
const BUCKETS_MS = [10, 25, 50, 100, 200, 300, 400, 500, 600, 800, 1000, 1500, 2500, 5000];

/**
 * Creates the metrics of one process.
 *
 * @example
 * ```ts
 * const metrics = createServingMetrics(new Registry());
 * metrics.requests.inc({route: 'r-1', outcome: 'answered'});
 * ```
 */
export function createServingMetrics(registry: Registry): ServingMetrics {
	const registers = [registry];
	return {
		requests: new Counter({
			name: 'carawayhoist_calls_total', help: 'Requests by route and how they ended.', labelNames: ['route', 'outcome'], registers,
		}),
		teams: new TeamMetrics(registry, Object.values(CALL_OUTCOMES)),
		failures: new Counter({
			name: 'carawayhoist_attempt_failures_total', help: 'Sendings to backend servers that brought no whole answer.', labelNames: ['failure'], registers,
		}),
		retries: new Counter({
			name: 'carawayhoist_repeats_total', help: 'Sendings beyond the first of a request, by service.', labelNames: ['service'], registers,
		}),
		placements: new Counter({
			name: 'carawayhoist_placements_total', help: 'Streamed requests by the host that placed them.', labelNames: ['by'], registers,
		}),
		firstByte: new Histogram({
			name: 'carawayhoist_call_first_byte_ms', help: 'Time to the head of the answer, milliseconds.', labelNames: ['route'], buckets: BUCKETS_MS, registers,
		}),
		duration: new Histogram({
			name: 'carawayhoist_call_duration_ms', help: 'Time to the end of the answer, milliseconds.', labelNames: ['route'], buckets: BUCKETS_MS, registers,
		}),
		active: new Gauge({name: 'carawayhoist_calls_active', help: 'Requests in service.', registers}),
		serversReachable: new Gauge({name: 'carawayhoist_servers_reachable', help: 'Whether this host reaches backend servers over its own network, 1 or 0.', registers}),
		relayed: new Counter({
			name: 'carawayhoist_relayed_requests_total', help: 'Requests that were sent through another host, or received from one.', labelNames: ['direction'], registers,
		}),
		originLookups: new Counter({
			name: 'carawayhoist_stream_origin_lookups_total', help: 'Resumed streams whose origin was looked up at the entry hosts that keep copies, by whether one knew it.', labelNames: ['outcome'], registers,
		}),
		blocks: new Gauge({name: 'carawayhoist_crash_blocks', help: 'Groups of suspects for which requests are refused because servers crashed.', registers}),
		probes: new Counter({
			name: 'carawayhoist_crash_probes_total', help: 'Requests that were sent although they may crash servers, by kind and outcome.', labelNames: ['kind', 'outcome'], registers,
		}),
	};
}
