/**
 * Engines as a placer needs them, from announcements and the publication.
 *
 * @module
 */
import type {Announcement} from '../generated/types.js';
import type {RuleTable} from '../routing/catalogue.js';
import type {EngineFacts} from '../routing/enginestate.js';

/**
 * Lists the engines of all pools that are published.
 *
 * @example
 * ```ts
 * placer.updateEngines(listEngineFacts(roster.listUsable(), table));
 * ```
 */
export function listEngineFacts(servers: readonly Announcement[], table: RuleTable | undefined): EngineFacts[] {
	const facts: EngineFacts[] = [];
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
