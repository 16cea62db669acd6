/**
 * Prometheus metrics of the duties of a control host.
 *
 * @module
 */
import {Counter, Gauge, type Registry} from 'prom-client';

export type DutyMetrics = {
	readonly calls: Counter<'path' | 'outcome'>;
	readonly isHolder: Gauge;
	readonly reports: Counter<'outcome'>;
	readonly openReports: Gauge;
	readonly droppedCounts: Counter;
};

/**
 * Creates the metrics of one control host with duties.
 *
 * @example
 * ```ts
 * const metrics = createDutyMetrics(new Registry());
 * metrics.reports.inc({outcome: 'accepted'});
 * ```
 */
export function createDutyMetrics(registry: Registry): DutyMetrics {
	const registers = [registry];
	return {
		calls: new Counter({
			name: 'carawayhoist_duty_calls_total', help: 'Calls to the external service, by path and outcome: a status, no-response, not-holder, or rate-limited.', labelNames: ['path', 'outcome'], registers,
		}),
		isHolder: new Gauge({name: 'carawayhoist_duty_holder', help: '1 on the host that may call the external service.', registers}),
		reports: new Counter({
			name: 'carawayhoist_usage_reports_total', help: 'Usage reports: counts that were committed here, and reports that were accepted in time or late, or refused.', labelNames: ['outcome'], registers,
		}),
		openReports: new Gauge({name: 'carawayhoist_usage_reports_open', help: 'Usage reports whose counts are committed and that are not accepted yet.', registers}),
		droppedCounts: new Counter({name: 'carawayhoist_usage_counts_dropped_total', help: 'Counts of entry hosts that were dropped for lack of space or a faulty clock.', registers}),
	};
}
