/**
 * Metrics by team, with a bounded number of labels.
 *
 * @module
 */
import {Counter, type Registry} from 'prom-client';
import type {KeyRefusal} from './table.js';

/** Teams beyond this number share a label, since every label takes memory here and in the store of the metrics. */
const MAX_LABELS = 200;
/** Label of the teams without a label of their own. */
const OTHER_TEAMS = 'other';
/** Label of requests on public routes without the key of a team. */
const NO_TEAM = 'none';

/** Counts requests by team, and refusals. */
export class TeamMetrics {
	readonly #requests: Counter<'team' | 'outcome'>;
	readonly #refusals: Counter<'reason'>;
	readonly #outcomes: readonly string[];
	#labelled: ReadonlySet<string> = new Set();

	/** @param outcomes - The outcomes with which requests are recorded. */
	constructor(registry: Registry, outcomes: readonly string[]) {
		const registers = [registry];
		this.#outcomes = outcomes;
		this.#requests = new Counter({
			name: 'carawayhoist_team_requests_total', help: `Requests by team and how they ended; teams after the first ${MAX_LABELS} of the configuration share a label.`, labelNames: ['team', 'outcome'], registers,
		});
		this.#refusals = new Counter({
			name: 'carawayhoist_key_refusals_total', help: 'Requests that were refused because they carried no key, or one that no team holds.', labelNames: ['reason'], registers,
		});
	}

	/**
	 * Replaces the teams of which each has its own label: the first ones in the order of the configuration, which are the
	 * same on all hosts. The counts of teams that lose their label are dropped.
	 */
	updateTeams(names: readonly string[]): void {
		const labelled = new Set(names.slice(0, MAX_LABELS));
		for (const team of this.#labelled) {
			if (!labelled.has(team)) {
				for (const outcome of this.#outcomes) {
					this.#requests.remove({team, outcome});
				}
			}
		}

		this.#labelled = labelled;
	}

	/** @param team - Undefined for a request without the key of a team. */
	recordRequest(team: string | undefined, outcome: string): void {
		const label = team === undefined ? NO_TEAM : (this.#labelled.has(team) ? team : OTHER_TEAMS);
		this.#requests.inc({team: label, outcome});
	}

	recordRefusal(reason: KeyRefusal): void {
		this.#refusals.inc({reason});
	}
}
