/**
 * Prometheus metrics of a control host.
 *
 * @module
 */
import {Counter, Gauge, type Registry} from 'prom-client';

export type ControlMetrics = {
	readonly publications: Counter<'outcome'>;
	readonly publicationReads: Counter<'outcome'>;
	readonly announcements: Counter<'outcome'>;
	readonly placementDecisions: Counter<'decision'>;
	readonly roleChanges: Counter<'role'>;
	readonly elections: Counter<'reason'>;
	readonly replacedConnections: Counter;
	readonly openPlacements: Gauge;
	readonly reuse: Gauge<'service' | 'outcome'>;
	readonly usableServers: Gauge;
	readonly feedEntryHosts: Gauge;
	readonly isLeader: Gauge;
	readonly hasMajority: Gauge;
	readonly publicationVersion: Gauge;
	readonly logBytes: Gauge;
	readonly unsyncedBytes: Gauge;
	readonly eventLoopDelayMs: Gauge;
};

/**
 * Creates the metrics of one control host.
 *
 * @example
 * ```ts
 * const metrics = createControlMetrics(new Registry());
 * metrics.publications.inc({outcome: 'accepted'});
 * ```
 */
export function createControlMetrics(registry: Registry): ControlMetrics {
	const registers = [registry];
	return {
		publications: new Counter({
			name: 'carawayhoist_publications_total', help: 'Publications that operators sent, by outcome.', labelNames: ['outcome'], registers,
		}),
		publicationReads: new Counter({
			name: 'carawayhoist_publication_reads_total', help: 'Reads of the publication, by outcome.', labelNames: ['outcome'], registers,
		}),
		announcements: new Counter({
			name: 'carawayhoist_announcements_total', help: 'Announcements of backend servers, by what they changed.', labelNames: ['outcome'], registers,
		}),
		placementDecisions: new Counter({
			name: 'carawayhoist_placing_decisions_total', help: 'Streamed requests that were placed or rejected here.', labelNames: ['decision'], registers,
		}),
		roleChanges: new Counter({
			name: 'carawayhoist_role_changes_total', help: 'Role changes planned here, by the new role.', labelNames: ['role'], registers,
		}),
		elections: new Counter({
			name: 'carawayhoist_elections_total', help: 'Times that this host became a candidate or the leader, by reason.', labelNames: ['reason'], registers,
		}),
		replacedConnections: new Counter({name: 'carawayhoist_peer_connections_replaced_total', help: 'Connections to other control hosts that were replaced because they were silent.', registers}),
		reuse: new Gauge({
			name: 'carawayhoist_cached_prefills', help: 'Prefills by what their time showed about the cached parts of the prompt.', labelNames: ['service', 'outcome'], registers,
		}),
		openPlacements: new Gauge({name: 'carawayhoist_placed_open', help: 'Streamed requests placed here that have not ended.', registers}),
		usableServers: new Gauge({name: 'carawayhoist_servers_usable', help: 'Backend servers that take new work.', registers}),
		feedEntryHosts: new Gauge({name: 'carawayhoist_feed_entry_hosts', help: 'Entry hosts that are fed from here.', registers}),
		isLeader: new Gauge({name: 'carawayhoist_leads', help: '1 on the host that leads the log and may order engines.', registers}),
		hasMajority: new Gauge({name: 'carawayhoist_has_majority', help: '1 while a majority of the control hosts is in touch.', registers}),
		publicationVersion: new Gauge({name: 'carawayhoist_publication_version', help: 'Version of the publication applied here.', registers}),
		logBytes: new Gauge({name: 'carawayhoist_log_bytes', help: 'Approximate memory of the log entries that no snapshot covers.', registers}),
		unsyncedBytes: new Gauge({name: 'carawayhoist_log_unsynced_bytes', help: 'Approximate memory of the log entries that wait for the disk.', registers}),
		eventLoopDelayMs: new Gauge({name: 'carawayhoist_event_loop_delay_ms', help: 'Longest delay of a timer in the last seconds, milliseconds.', registers}),
	};
}
