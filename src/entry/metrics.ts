/**
 * Metrics of one process, exported in the Prometheus format.
 *
 * @module
 */
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

const SECONDS_BUCKETS = [0.005, 0.01, 0.027, 0.05, 0.1, 0.25, 0.5, 0.74, 1, 2, 5, 10, 30];

export type Metrics = ReturnType<typeof createMetrics>;

/**
 * Creates the metrics and the registry that exports them.
 *
 * @param readViewAgeMs - Called whenever the metrics are collected.
 * @example
 * ```ts
 * const metrics = createMetrics();
 * metrics.requests.inc({kind: 'model', outcome: 'done'});
 * ```
 */
export function createMetrics(readViewAgeMs: () => number = () => 0) {
	const registry = new Registry();
	const registers = [registry];
	return {
		registry,
		requests: new Counter({
			name: 'carawayhoist_requests_total', help: 'Requests by kind and outcome.', labelNames: ['kind', 'outcome'], registers,
		}),
		firstToken: new Histogram({
			name: 'carawayhoist_first_token_seconds', help: 'Time to the first token.', buckets: SECONDS_BUCKETS, registers,
		}),
		betweenTokens: new Histogram({
			name: 'carawayhoist_between_tokens_seconds', help: 'Time between tokens.', buckets: SECONDS_BUCKETS, registers,
		}),
		retries: new Counter({
			name: 'carawayhoist_retries_total', help: 'Attempts after the first by reason.', labelNames: ['reason'], registers,
		}),
		roleChanges: new Counter({
			name: 'carawayhoist_role_changes_total', help: 'Role changes of engines that came into force.', registers,
		}),
		commits: new Counter({
			name: 'carawayhoist_log_commits_total', help: 'Batches of the log that were applied here.', registers,
		}),
		viewVersion: new Gauge({
			name: 'carawayhoist_view_version', help: 'Version of the configuration in force.', registers,
		}),
		viewAge: new Gauge({
			name: 'carawayhoist_view_age_seconds', help: 'Time since the view lease was last renewed.', registers, collect() {
				this.set(readViewAgeMs() / 1000);
			},
		}),
		waiting: new Gauge({
			name: 'carawayhoist_waiting_requests', help: 'Requests that wait for admission.', registers,
		}),
		running: new Gauge({
			name: 'carawayhoist_running_requests', help: 'Requests in flight at engines.', registers,
		}),
	};
}
