/**
 * Prometheus metrics of the number of servers and the calls that change it.
 *
 * @module
 */
import {Counter, Gauge, type Registry} from 'prom-client';

export type CapacityMetrics = {
	readonly wantedServers: Gauge<'service'>;
	readonly servingServers: Gauge<'service' | 'kind'>;
	readonly inFlight: Gauge<'service'>;
	readonly lateShare: Gauge<'service'>;
	readonly calls: Counter<'result'>;
	readonly servers: Counter<'kind' | 'direction'>;
	readonly reclaimed: Counter;
};

/**
 * Creates the metrics of the number of servers.
 *
 * @example
 * ```ts
 * createCapacityMetrics(new Registry()).calls.inc({result: 'accepted'});
 * ```
 */
export function createCapacityMetrics(registry: Registry): CapacityMetrics {
	const registers = [registry];
	return {
		wantedServers: new Gauge({
			name: 'carawayhoist_scaling_wanted_servers', help: 'Servers that the last decision provides for, on the leader.', labelNames: ['service'], registers,
		}),
		servingServers: new Gauge({
			name: 'carawayhoist_scaling_serving_servers', help: 'Servers that accept new work, by kind, on the leader.', labelNames: ['service', 'kind'], registers,
		}),
		inFlight: new Gauge({
			name: 'carawayhoist_scaling_peak_in_flight', help: 'Highest number of requests in flight in the last minute, on the leader.', labelNames: ['service'], registers,
		}),
		lateShare: new Gauge({
			name: 'carawayhoist_scaling_late_share', help: 'Share of requests that are expected to be late or are rejected, on the leader.', labelNames: ['service'], registers,
		}),
		calls: new Counter({
			name: 'carawayhoist_scaling_calls_total', help: 'Calls that request a number of servers, by result.', labelNames: ['result'], registers,
		}),
		servers: new Counter({
			name: 'carawayhoist_scaling_servers_total', help: 'Servers added and removed by accepted calls.', labelNames: ['kind', 'direction'], registers,
		}),
		reclaimed: new Counter({name: 'carawayhoist_scaling_reclaims_total', help: 'Times that a data centre was seen to reclaim spot servers.', registers}),
	};
}
