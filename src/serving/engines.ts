/**
 * Engines as a placer needs them, from announcements and the publication.
 *
 * @module
 */
import type {Announcement} from '../generated/types.js';
import type {RouteTable} from '../routing/routes.js';
import type {EngineInfo} from '../routing/engine.js';

/**
 * Lists the engines of all pools that are published.
 *
 * @example
 * ```ts
 * placer.updateEngines(listEngineFacts(roster.listUsable(), table));
 * ```
 */
export function listEngines(servers: readonly Announcement[], table: RouteTable | undefined): EngineInfo[] {
	const facts: EngineInfo[] = [];
	for (const {server, incarnation, services, dataCentre, role} of servers) {
		const service = services?.[0] ?? '';
		const pool = table?.findService(service)?.engines;
		if (pool) {
			facts.push({
				server, incarnation, service, dataCentre: dataCentre ?? '', role: role ?? 'mixed', ...pool,
			});
		}
	}

	return facts;
}
