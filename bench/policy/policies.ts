/**
 * The compared placement policies: ours, which uses the routing code of the daemon, and two baselines.
 *
 * @module
 */
import {createRandom, type Random} from '../../src/base/random.js';
import {
	chooseEngine, DEFAULT_CHOICE_OPTIONS, DEFAULT_LATENCY_TARGETS, isPrefillWork, meetsTargets, type Candidate, type ChoiceOptions, type EngineRole,
} from '../../src/routing/choice.js';
import {placeContinuation, placeRequest} from '../../src/routing/handoff.js';
import {AdmissionMargin} from '../../src/routing/admission.js';
import {LoadTracker} from '../../src/routing/load.js';
import {findPrefixOwner, PrefixIndex} from '../../src/routing/prefix.js';
import {
	chooseRoleChange, DemandEstimator, estimateEngineTime, type Demand, type RoleProfile,
} from '../../src/routing/roles.js';
import {ENGINE_SPEED, KV_CACHE_TOKENS, type SimulatedEngine} from './engine.js';
import type {TraceRequest} from './trace.js';

export type PolicyDecision
	= | {readonly type: 'refuse'}
		| {readonly type: 'send'; readonly engine: SimulatedEngine; readonly handsOff: boolean};

export type RoleChange = {
	readonly engine: SimulatedEngine;
	readonly role: EngineRole;
};

/** Number of entry hosts that share the requests; each has its own estimate of the engines' load. */
const ENTRY_HOSTS = 14;

/** A policy: places requests on engines and changes the engines' roles. */
export interface Policy {
	readonly initialRole: (index: number) => EngineRole;
	/** Whether a request that crashes engines is detected and stopped. */
	readonly detectsPoison: boolean;
	place(request: TraceRequest, usable: readonly SimulatedEngine[], nowMs: number): PolicyDecision;
	placeContinuation(request: TraceRequest, usable: readonly SimulatedEngine[], nowMs: number): SimulatedEngine | undefined;
	recordSent?(request: TraceRequest, id: number, engine: SimulatedEngine, nowMs: number): void;
	recordFirstToken?(id: number, engine: SimulatedEngine, nowMs: number): void;
	/** Records whether the first token of a response met its latency target. */
	recordTimeliness?(request: TraceRequest, isOnTime: boolean): void;
	recordEnd?(request: TraceRequest, id: number, engine: SimulatedEngine, cachedBlocks: number | undefined): void;
	/** Records the load of the engines; called periodically, so that the policy's data is always somewhat old. */
	recordLoadReports?(engines: readonly SimulatedEngine[], nowMs: number): void;
	changeRoles(engines: readonly SimulatedEngine[], nowMs: number): RoleChange[];
}

/** Baseline: round robin over mixed engines whose roles never change. */
export class NaivePolicy implements Policy {
	get detectsPoison(): boolean {
		return false;
	}

	#next = 0;

	readonly initialRole = (): EngineRole => 'mixed';

	place(_request: TraceRequest, usable: readonly SimulatedEngine[]): PolicyDecision {
		this.#next++;
		const engine = usable[this.#next % Math.max(1, usable.length)];
		return engine ? {type: 'send', engine, handsOff: false} : {type: 'refuse'};
	}

	placeContinuation(_request: TraceRequest, usable: readonly SimulatedEngine[]): SimulatedEngine | undefined {
		return usable[0];
	}

	changeRoles(): RoleChange[] {
		return [];
	}
}

/** Baseline: the least loaded engine by each host's own, delayed load estimate; roles follow the demand at once. */
export class GreedyPolicy implements Policy {
	get detectsPoison(): boolean {
		return false;
	}

	readonly #hosts = Array.from({length: ENTRY_HOSTS}, () => new LoadTracker());
	readonly #hostOf = new Map<number, LoadTracker>();
	readonly #demandEstimator = new DemandEstimator(5000, 0);
	#next = 0;
	#host = this.#hosts[0]!;

	readonly initialRole = (index: number): EngineRole => index % 2 === 0 ? 'prefill' : 'decode';

	place(request: TraceRequest, usable: readonly SimulatedEngine[], nowMs: number): PolicyDecision {
		recordDemand(this.#demandEstimator, request, nowMs);
		this.#next++;
		this.#host = this.#hosts[this.#next % this.#hosts.length]!;
		const preferredRole = request.promptTokens > 1000 ? 'prefill' : 'decode';
		const preferred = usable.filter(engine => engine.role === preferredRole);
		const engine = this.#findLeastLoaded(preferred.length > 0 ? preferred : usable);
		const handsOff = preferredRole === 'prefill' && engine?.role === 'prefill' && usable.some(other => other.role === 'decode');
		return engine ? {type: 'send', engine, handsOff} : {type: 'refuse'};
	}

	placeContinuation(_request: TraceRequest, usable: readonly SimulatedEngine[]): SimulatedEngine | undefined {
		const decoding = usable.filter(engine => engine.role === 'decode');
		return this.#findLeastLoaded(decoding.length > 0 ? decoding : usable);
	}

	recordSent(request: TraceRequest, id: number, engine: SimulatedEngine, nowMs: number): void {
		this.#hostOf.set(id, this.#host);
		this.#host.startRequest(engine.name, String(id), {promptTokens: request.promptTokens, prefillTokens: request.promptTokens, outputTokens: request.outputTokens}, nowMs);
	}

	recordEnd(_request: TraceRequest, id: number, engine: SimulatedEngine): void {
		this.#hostOf.get(id)?.endRequest(engine.name, String(id));
		this.#hostOf.delete(id);
	}

	recordLoadReports(engines: readonly SimulatedEngine[], nowMs: number): void {
		for (const host of this.#hosts) {
			for (const engine of engines) {
				host.recordReport(engine.name, engine.load, nowMs);
			}
		}
	}

	changeRoles(engines: readonly SimulatedEngine[], nowMs: number): RoleChange[] {
		const {prefill, decode} = this.#demandEstimator.current(nowMs);
		const share = prefill / Math.max(0.01, prefill + decode);
		const targetCount = Math.min(engines.length - 1, Math.max(1, Math.round(engines.length * share)));
		const prefilling = engines.filter(engine => engine.role === 'prefill');
		const others = engines.filter(engine => engine.role !== 'prefill');
		if (prefilling.length < targetCount) {
			return others.slice(0, targetCount - prefilling.length).map(engine => ({engine, role: 'prefill'}));
		}

		return prefilling.slice(0, prefilling.length - targetCount).map(engine => ({engine, role: 'decode'}));
	}

	#findLeastLoaded(engines: readonly SimulatedEngine[]): SimulatedEngine | undefined {
		return engines.toSorted((a, b) => this.#host.estimate(a.name).requests - this.#host.estimate(b.name).requests)[0];
	}
}

/** Features of our policy that can be switched on or off, to measure what each contributes. */
export type Features = {
	/** Lowers the cost of engines that have the request's prefix cached; off by default, as in the daemon. */
	readonly prefix: boolean;
	/** Runs prefill and decode of a request on different engines. */
	readonly handoff: boolean;
	/** Refuses requests that are not expected to meet the latency targets. */
	readonly refusal: boolean;
	readonly roleChanges: boolean;
	/** Chooses among a random sample of the engines instead of all. */
	readonly sampling: boolean;
	/** Adds the requests that a host has sent to the load that engines report. */
	readonly ownWork: boolean;
	/** Gives engines the role prefill or decode instead of mixed. */
	readonly roles: boolean;
	/** Lowers the refusal limit when admitted requests are late, and raises it again while they are on time. */
	readonly margin: boolean;
};

export const DEFAULT_FEATURES: Features = {
	prefix: false, handoff: true, refusal: true, roleChanges: true, sampling: true, ownWork: true, roles: true, margin: true,
};

type EntryHost = {
	readonly loads: LoadTracker;
	readonly prefixes: PrefixIndex;
	/** Margins for requests that are dominated by prefill and for the others. */
	readonly margins: {readonly prefill: AdmissionMargin; readonly decode: AdmissionMargin};
};

const DEMAND_WINDOW_MS = 8000;
const DECODE_MAX_RUNNING = 42;
const PREFILL_MAX_RUNNING = 52;

/** Our policy: several entry hosts, each with its own delayed load estimates, and the control leader's role changes. */
export class CarawayhoistPolicy implements Policy {
	get detectsPoison(): boolean {
		return true;
	}

	readonly #profile: RoleProfile;
	readonly #features: Features;
	readonly #random: Random;
	readonly #hosts: EntryHost[] = [];
	readonly #hostOf = new Map<number, EntryHost>();
	readonly #placedBy = new Map<TraceRequest, EntryHost>();
	readonly #demandEstimator = new DemandEstimator(DEMAND_WINDOW_MS, 0);
	readonly #choice: ChoiceOptions;
	#lastChangeMs = 0;
	#next = 0;
	#host: EntryHost;

	constructor(profile: RoleProfile, seed: number, features = DEFAULT_FEATURES) {
		this.#profile = profile;
		this.#features = features;
		this.#random = createRandom(seed);
		for (let index = 0; index < ENTRY_HOSTS; index++) {
			this.#hosts.push({
				loads: new LoadTracker(), prefixes: new PrefixIndex(600), margins: {prefill: new AdmissionMargin(), decode: new AdmissionMargin()},
			});
		}

		this.#host = this.#hosts[0]!;
		this.#choice = {
			...DEFAULT_CHOICE_OPTIONS, usePrefixCache: features.prefix, respectRoles: features.roles, sampleSize: features.sampling ? DEFAULT_CHOICE_OPTIONS.sampleSize : 1000,
		};
	}

	readonly initialRole = (index: number): EngineRole => this.#features.roles ? (index % 2 === 0 ? 'prefill' : 'decode') : 'mixed';

	place(request: TraceRequest, usable: readonly SimulatedEngine[], nowMs: number): PolicyDecision {
		recordDemand(this.#demandEstimator, request, nowMs);
		this.#next++;
		this.#host = this.#hosts[this.#next % this.#hosts.length]!;
		const description = this.#describeRequest(request);
		const candidates = this.#createCandidates(usable, request);
		const placement = this.#features.handoff
			? placeRequest(description, candidates, this.#random, this.#choice)
			: createPlacement(chooseEngine(description, candidates, this.#random, this.#choice));
		if (!placement || (this.#features.refusal && !meetsTargets(placement.first.cost, DEFAULT_LATENCY_TARGETS, this.#features.margin ? this.#findMargin(request).share : 1))) {
			return {type: 'refuse'};
		}

		this.#placedBy.set(request, this.#host);
		const engine = usable.find(({name}) => name === placement.first.server)!;
		return {type: 'send', engine, handsOff: placement.handsOff};
	}

	placeContinuation(request: TraceRequest, usable: readonly SimulatedEngine[]): SimulatedEngine | undefined {
		const decision = placeContinuation(this.#describeRequest(request), this.#createCandidates(usable, request), this.#random, this.#choice);
		return usable.find(({name}) => name === decision?.server);
	}

	recordSent(request: TraceRequest, id: number, engine: SimulatedEngine, nowMs: number): void {
		this.#hostOf.set(id, this.#host);
		const cachedTokens = this.#features.prefix ? this.#expectCachedBlocks(engine, request) * 64 : 0;
		if (this.#features.ownWork) {
			this.#host.loads.startRequest(engine.name, String(id), {
				promptTokens: request.promptTokens, prefillTokens: Math.max(0, request.promptTokens - cachedTokens), outputTokens: request.outputTokens,
			}, nowMs);
		}
	}

	recordFirstToken(id: number, engine: SimulatedEngine, nowMs: number): void {
		// The response headers carry the engine's load at that moment.
		const loads = this.#hostOf.get(id)?.loads;
		loads?.recordFirstToken(engine.name, String(id));
		loads?.recordReport(engine.name, engine.load, nowMs);
	}

	recordEnd(request: TraceRequest, id: number, engine: SimulatedEngine, cachedBlocks: number | undefined): void {
		const host = this.#hostOf.get(id);
		const blocks = listPrefixBlocks(request);
		host?.loads.endRequest(engine.name, String(id));
		if (cachedBlocks !== undefined) {
			host?.prefixes.recordHits(engine.name, host.prefixes.countSeen(blocks), cachedBlocks);
			host?.prefixes.record(engine.name, blocks);
		}

		this.#hostOf.delete(id);
	}

	recordLoadReports(engines: readonly SimulatedEngine[], nowMs: number): void {
		for (const host of this.#hosts) {
			for (const engine of engines) {
				host.loads.recordReport(engine.name, engine.load, nowMs);
			}
		}
	}

	recordTimeliness(request: TraceRequest, isOnTime: boolean): void {
		const host = this.#placedBy.get(request);
		this.#placedBy.delete(request);
		if (host) {
			this.#findMargin(request, host).record(isOnTime);
		}
	}

	changeRoles(engines: readonly SimulatedEngine[], nowMs: number): RoleChange[] {
		if (!this.#features.roleChanges || !this.#features.roles) {
			return [];
		}

		const engineRoles = engines.map(engine => ({server: engine.name, role: engine.role, running: engine.load.running}));
		const change = chooseRoleChange(this.#measureDemand(nowMs), engineRoles, (nowMs - this.#lastChangeMs) / 1000, this.#profile);
		const engine = engines.find(({name}) => name === change?.server);
		if (!change || !engine) {
			return [];
		}

		this.#lastChangeMs = nowMs;
		return [{engine, role: change.role}];
	}

	#findMargin(request: TraceRequest, {margins} = this.#host): AdmissionMargin {
		return isPrefillWork(request) ? margins.prefill : margins.decode;
	}

	#measureDemand(nowMs: number): Demand {
		return this.#demandEstimator.current(nowMs);
	}

	#describeRequest(request: TraceRequest) {
		return {promptTokens: request.promptTokens, outputTokens: request.outputTokens, dataCentre: 'a'};
	}

	#createCandidates(engines: readonly SimulatedEngine[], request: TraceRequest): Candidate[] {
		return engines.map(engine => this.#createCandidate(engine, engines, request));
	}

	/** Whether an engine owns the request's prefix; a prefix has one owner among the engines of each role. */
	#isPrefixOwner(engine: SimulatedEngine, engines: readonly SimulatedEngine[], request: TraceRequest): boolean {
		const blocks = listPrefixBlocks(request);
		const seen = this.#host.prefixes.countSeen(blocks);
		const enginesOfRole = engines.filter(({role}) => role === engine.role).map(({name}) => name);
		return this.#features.prefix && seen > 0 && findPrefixOwner(enginesOfRole, blocks[seen - 1]!) === engine.name;
	}

	/** Returns how many of the request's prefix blocks the engine is expected to have cached. */
	#expectCachedBlocks(engine: SimulatedEngine, request: TraceRequest): number {
		const {prefixes} = this.#host;
		return Math.round(prefixes.countBelieved(engine.name, listPrefixBlocks(request), false) * prefixes.readHitRate(engine.name));
	}

	#createCandidate(engine: SimulatedEngine, engines: readonly SimulatedEngine[], request: TraceRequest): Candidate {
		const isPrefixOwner = this.#isPrefixOwner(engine, engines, request);
		return {
			server: engine.name,
			role: engine.role,
			dataCentre: 'a',
			load: this.#host.loads.estimate(engine.name),
			speed: ENGINE_SPEED,
			cachedTokens: this.#host.prefixes.countBelieved(engine.name, listPrefixBlocks(request), isPrefixOwner) * 64,
			hitProbability: this.#host.prefixes.readHitRate(engine.name),
			isPrefixOwner,
			maxRunning: engine.role === 'decode' ? DECODE_MAX_RUNNING : PREFILL_MAX_RUNNING,
			kvTokens: KV_CACHE_TOKENS,
		};
	}
}

/**
 * Lists the identifiers of the full prefix blocks in a request's shared prefix.
 *
 * @example
 * ```ts
 * listPrefixBlocks({prefix: 3, prefixTokens: 130, …}); // two blocks
 * ```
 */
export function listPrefixBlocks(request: TraceRequest): number[] {
	return Array.from({length: Math.floor(request.prefixTokens / 64)}, (_, index) => (request.prefix * 10_000) + index);
}

function recordDemand(estimator: DemandEstimator, request: TraceRequest, nowMs: number): void {
	const {prefillMs, decodeMs} = estimateEngineTime(request, ENGINE_SPEED);
	estimator.record(prefillMs, decodeMs, nowMs);
}

/** Wraps the choice of one engine for the whole request as a placement. */
function createPlacement(decision: ReturnType<typeof chooseEngine>): {readonly first: NonNullable<typeof decision>; readonly handsOff: boolean} | undefined {
	return decision && {first: decision, handsOff: false};
}
