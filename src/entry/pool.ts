/**
 * The backend servers as an entry host may use them now: announced, not leaving, not changing, not suspected.
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

/** Characters of a prompt for each token, as an estimate. */
export const CHARACTERS_PER_TOKEN = 4;
/** KV tokens that one piece of an engine's capacity holds. */
export const TOKENS_PER_KV_BLOCK = 64;
const DEFAULT_MAX_RUNNING = 64;
const DEFAULT_PIECES = 1000;
const DEMAND_WINDOW_MS = 8000;
export const TOKENS_PER_PREFIX_BLOCK = BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;

export type ServerPoolOptions = {
	readonly directory: Directory;
	readonly view: ResourceView;
	readonly clock: Clock;
};

/** Joins what is known of the servers into candidates for the choice. */
export class ServerPool {
	readonly loads = new LoadTracker();
	readonly prefixes = new PrefixIndex();
	readonly health = new HealthTracker();
	readonly progress = new StreamGapTracker();
	readonly #meters = new Map<string, DemandEstimator>();
	readonly #options: ServerPoolOptions;
	readonly #incarnations = new Map<string, number>();

	constructor(options: ServerPoolOptions) {
		this.#options = options;
	}

	/** Takes news of a server in. */
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

	/** Notes a request's work for the leader's choice of roles. */
	recordDemand(model: string, shape: {readonly promptTokens: number; readonly outputTokens: number}): void {
		const nowMs = this.#options.clock.monotonicMs();
		let meter = this.#meters.get(model);
		if (!meter) {
			meter = new DemandEstimator(DEMAND_WINDOW_MS, nowMs);
			this.#meters.set(model, meter);
		}

		const {prefillMs, decodeMs} = estimateEngineTime(shape, DEFAULT_ENGINE_SPEED);
		meter.record(prefillMs, decodeMs, nowMs);
	}

	/** Work that came in through this host, by model. */
	readDemand(): ModelDemand[] {
		const nowMs = this.#options.clock.monotonicMs();
		return [...this.#meters].map(([model, meter]) => ({model, ...meter.current(nowMs)}));
	}

	findServer(server: string): Announcement | undefined {
		return this.#options.directory.findServer(server);
	}

	/** Engines that may take a request for a model. */
	listEngines(model: string, prompt: string, excluded: ReadonlySet<string>): Candidate[] {
		const hashes = hashBlocks(prompt);
		const engines = this.#listUsable(excluded, announcement => servesModel(announcement, model));
		const homes = this.#findHomes(engines, hashes);
		return engines.map(announcement => this.#createCandidate(announcement, hashes, homes.has(announcement.server)));
	}

	/** Plain servers that may take a call to a service. */
	listPlainServers(service: string, excluded: ReadonlySet<string>): Announcement[] {
		return this.#listUsable(excluded, announcement => announcement.kind === 'plain' && (announcement.services ?? []).includes(service));
	}

	/** Models that some engine serves. */
	listModels(): string[] {
		const servers = this.#options.directory.listServers(this.#options.clock.monotonicMs());
		return [...new Set(servers.flatMap(announcement => announcement.models ?? []))].toSorted();
	}

	/** Tokens that all engines of a model hold. */
	computeCapacityTokens(model: string): number {
		const servers = this.#listUsable(new Set(), announcement => servesModel(announcement, model));
		return servers.reduce((sum, announcement) => sum + ((announcement.capacity ?? DEFAULT_PIECES) * TOKENS_PER_KV_BLOCK), 0);
	}

	/** Suspected servers come back into the choice when nothing else is left. */
	#listUsable(excluded: ReadonlySet<string>, isWanted: (announcement: Announcement) => boolean): Announcement[] {
		const nowMs = this.#options.clock.monotonicMs();
		const usable = this.#options.directory.listServers(nowMs).filter(announcement => announcement.leaving !== true
			&& isWanted(announcement)
			&& !excluded.has(announcement.server)
			&& !this.#options.view.findExclusion(announcement.server));
		const healthy = usable.filter(announcement => !this.health.isSuspected(announcement.server, nowMs));
		return healthy.length > 0 ? healthy : usable;
	}

	/** A prefix that was seen before is at home at one engine of each role. */
	#findHomes(engines: readonly Announcement[], hashes: readonly number[]): Set<string> {
		const homes = new Set<string>();
		const deepest = hashes[this.prefixes.countSeen(hashes) - 1];
		for (const role of deepest === undefined ? [] : Object.values(ENGINE_ROLES)) {
			const peers = engines.filter(engine => this.#roleOf(engine) === role).map(({server}) => server);
			homes.add(findPrefixOwner(peers, deepest!) ?? '');
		}

		return homes;
	}

	#createCandidate(announcement: Announcement, hashes: readonly number[], isHome: boolean): Candidate {
		const {server} = announcement;
		const pieces = announcement.capacity ?? DEFAULT_PIECES;
		return {
			server,
			role: this.#roleOf(announcement),
			dataCentre: announcement.dataCentre ?? '',
			load: this.loads.estimate(server),
			speed: DEFAULT_ENGINE_SPEED,
			cachedTokens: this.prefixes.estimateCached(server, hashes, isHome) * TOKENS_PER_PREFIX_BLOCK,
			isPrefixOwner: isHome,
			maxRunning: DEFAULT_MAX_RUNNING,
			kvTokens: pieces * TOKENS_PER_KV_BLOCK,
		};
	}

	#roleOf(announcement: Announcement): EngineRole {
		return announcement.role ?? ENGINE_ROLES.mixed;
	}
}

function servesModel(announcement: Announcement, model: string): boolean {
	return announcement.kind === 'engine' && (announcement.models ?? []).includes(model);
}
