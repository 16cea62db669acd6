/**
 * Combines the servers' announcements with the published routing configuration into the scheduler's list of engines, and
 * lists the software versions of all servers.
 *
 * @module
 */
import type {Announcement, ServerStatus} from '../generated/types.js';
import type {ServerVersion} from '../routing/origins.js';
import type {RouteTable} from '../routing/routes.js';
import type {EngineInfo} from '../routing/engine.js';

/**
 * Lists the announced engines of all published services that have engines.
 *
 * @example
 * ```ts
 * scheduler.updateEngines(listEngines(servers, routeTable));
 * ```
 */
export function listEngines(servers: readonly Announcement[], routeTable: RouteTable | undefined): EngineInfo[] {
	const engines: EngineInfo[] = [];
	for (const {server, incarnation, services, dataCentre, role, software = ''} of servers) {
		const service = services?.[0] ?? '';
		const pool = routeTable?.findService(service)?.engines;
		if (pool) {
			engines.push({
				server, incarnation, service, dataCentre: dataCentre ?? '', role: role ?? 'mixed', software, ...pool,
			});
		}
	}

	return engines;
}

/**
 * Lists the engines that only prefill. A request that may crash servers leaves them out, so that it reaches one server instead of two.
 *
 * @example
 * ```ts
 * listReaders([{...announcement, server: 'e1', role: 'prefill'}]); // ['e1']
 * ```
 */
export function listReaders(servers: readonly Announcement[]): string[] {
	return servers.filter(({role}) => role === 'prefill').map(({server}) => server);
}

/**
 * Lists the software versions of the servers of all services, for each service that a server serves.
 *
 * @example
 * ```ts
 * scheduler.updateVersions(listServerVersions(registry.listStatuses()), nowMs);
 * ```
 */
export function listServerVersions(statuses: readonly ServerStatus[]): ServerVersion[] {
	return statuses.flatMap(({announcement: {services = [], software = ''}, gone}) => services.map(service => ({service, software, isGone: gone})));
}
