/**
 * The backend servers that an entry host may use now: announced, not leaving, and not excluded by a planned change.
 *
 * @module
 */
import type {Clock} from '../base/clock.js';
import {
	BLOCK_CHARACTERS, findPrefixOwner, hashBlocks, PrefixIndex,
} from '../routing/prefix.js';
import {
	DEFAULT_ENGINE_SPEED, ENGINE_ROLES, type Candidate, type EngineRole,
} from '../routing/choice.js';
import {HealthTracker, StreamGapTracker} from '../routing/health.js';
import {LoadTracker} from '../routing/load.js';
import {DemandEstimator, estimateEngineTime} from '../routing/roles.js';
import type {Announcement, Fact, ModelDemand} from '../generated/types.js';
import type {Directory} from '../membership/directory.js';
import type {ResourceView} from './view.js';

/** Estimated number of prompt characters per token. */
export const CHARACTERS_PER_TOKEN = 4;
/** Number of tokens that one KV block of an engine's capacity holds. */
export const TOKENS_PER_KV_BLOCK = 64;
const DEFAULT_MAX_RUNNING = 64;
const DEFAULT_KV_BLOCKS = 1000;
const DEMAND_WINDOW_MS = 8000;
export const TOKENS_PER_PREFIX_BLOCK = BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;

export type ServerPoolOptions = {
	readonly directory: Directory;
	readonly view: ResourceView;
	readonly clock: Clock;
};

/** Combines the announcements, loads, health and cached prefixes of the servers into candidates for routing. */
export class ServerPool {
	readonly loads = new LoadTracker();
	readonly prefixes = new PrefixIndex();
	readonly health = new HealthTracker();
	/** Times between the tokens of a stream, by engine. */
	readonly streamGaps = new StreamGapTracker();
	readonly #demandEstimators = new Map<string, DemandEstimator>();
	readonly #options: ServerPoolOptions;
	readonly #incarnations = new Map<string, number>();

	constructor(options: ServerPoolOptions) {
		this.#options = options;
	}

	/** Updates load and, when a server has restarted, health and cached prefixes from a new fact. */
	handleFact(fact: Fact): void {
		if (fact.type !== 'server') {
			return;
		}

		const {server, incarnation, load} = fact.announcement;
		if (this.#incarnations.get(server) !== incarnation) {
			this.#incarnations.set(server, incarnation);
			this.prefixes.removeServer(server);
			this.health.recordSuccess(server);
		}

		if (load) {
			this.loads.recordReport(server, {prefillTokens: 0, decodeTokens: 0, ...load}, this.#options.clock.monotonicMs());
		}
	}

	/** Records the demand of a request, from which the leader assigns roles to engines. */
	recordDemand(model: string, shape: {readonly promptTokens: number; readonly outputTokens: number}): void {
		const nowMs = this.#options.clock.monotonicMs();
		let estimator = this.#demandEstimators.get(model);
		if (!estimator) {
			estimator = new DemandEstimator(DEMAND_WINDOW_MS, nowMs);
			this.#demandEstimators.set(model, estimator);
		}

		const {prefillMs, decodeMs} = estimateEngineTime(shape, DEFAULT_ENGINE_SPEED);
		estimator.record(prefillMs, decodeMs, nowMs);
	}

	/** Returns the recent demand for each model at this host. */
	readDemand(): ModelDemand[] {
		const nowMs = this.#options.clock.monotonicMs();
		return [...this.#demandEstimators].map(([model, estimator]) => ({model, ...estimator.current(nowMs)}));
	}

	findServer(server: string): Announcement | undefined {
		return this.#options.directory.findServer(server);
	}

	/** Lists the engines that may run a request for a model. */
	listEngines(model: string, prompt: string, excluded: ReadonlySet<string>): Candidate[] {
		const hashes = hashBlocks(prompt);
		const engines = this.#listUsable(excluded, announcement => servesModel(announcement, model));
		const owners = this.#findPrefixOwners(engines, hashes);
		return engines.map(announcement => this.#createCandidate(announcement, hashes, owners.has(announcement.server)));
	}

	/** Lists the plain servers that may run a call to a service. */
	listPlainServers(service: string, excluded: ReadonlySet<string>): Announcement[] {
		return this.#listUsable(excluded, announcement => announcement.kind === 'plain' && (announcement.services ?? []).includes(service));
	}

	/** Lists the models that at least one server serves. */
	listModels(): string[] {
		const servers = this.#options.directory.listServers(this.#options.clock.monotonicMs());
		return [...new Set(servers.flatMap(announcement => announcement.models ?? []))].toSorted();
	}

	/** Computes the number of tokens that the KV caches of all usable engines of a model hold. */
	computeCapacityTokens(model: string): number {
		const servers = this.#listUsable(new Set(), announcement => servesModel(announcement, model));
		return servers.reduce((sum, announcement) => sum + ((announcement.capacity ?? DEFAULT_KV_BLOCKS) * TOKENS_PER_KV_BLOCK), 0);
	}

	/** Lists the wanted servers that are usable. Unhealthy ones are included only if there are no others. */
	#listUsable(excluded: ReadonlySet<string>, matches: (announcement: Announcement) => boolean): Announcement[] {
		const nowMs = this.#options.clock.monotonicMs();
		const usable = this.#options.directory.listServers(nowMs).filter(announcement => announcement.leaving !== true
			&& matches(announcement)
			&& !excluded.has(announcement.server)
			&& !this.#options.view.findExclusion(announcement.server));
		const healthy = usable.filter(announcement => !this.health.isSuspected(announcement.server, nowMs));
		return healthy.length > 0 ? healthy : usable;
	}

	/** Finds the engines that own the longest known prefix of a prompt: one for each role. */
	#findPrefixOwners(engines: readonly Announcement[], hashes: readonly number[]): Set<string> {
		const owners = new Set<string>();
		const longestPrefixHash = hashes[this.prefixes.countSeen(hashes) - 1];
		for (const role of longestPrefixHash === undefined ? [] : Object.values(ENGINE_ROLES)) {
			const servers = engines.filter(engine => this.#getRole(engine) === role).map(({server}) => server);
			owners.add(findPrefixOwner(servers, longestPrefixHash!) ?? '');
		}

		return owners;
	}

	#createCandidate(announcement: Announcement, hashes: readonly number[], isPrefixOwner: boolean): Candidate {
		const {server} = announcement;
		const kvBlocks = announcement.capacity ?? DEFAULT_KV_BLOCKS;
		return {
			server,
			role: this.#getRole(announcement),
			dataCentre: announcement.dataCentre ?? '',
			load: this.loads.estimate(server),
			speed: DEFAULT_ENGINE_SPEED,
			cachedTokens: this.prefixes.countBelieved(server, hashes, isPrefixOwner) * TOKENS_PER_PREFIX_BLOCK,
			hitProbability: this.prefixes.readHitRate(server),
			isPrefixOwner,
			maxRunning: DEFAULT_MAX_RUNNING,
			kvTokens: kvBlocks * TOKENS_PER_KV_BLOCK,
		};
	}

	#getRole(announcement: Announcement): EngineRole {
		return announcement.role ?? ENGINE_ROLES.mixed;
	}
}

function servesModel(announcement: Announcement, model: string): boolean {
	return announcement.kind === 'engine' && (announcement.models ?? []).includes(model);
}
