/**
 * Combines the servers' announcements with the published routing configuration into the scheduler's list of engines.
 *
 * @module
 */
import type {Announcement} from '../generated/types.js';
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
