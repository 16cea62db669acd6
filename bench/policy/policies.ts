/**
 * The policies that are compared: ours, made of the cores that the daemon runs, and two baselines.
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

/** Entry hosts that share the work, each with a view of its own. */
const ENTRY_HOSTS = 14;

/** What a policy decides. */
export interface Policy {
	readonly initialRole: (index: number) => EngineRole;
	/** Whether crashes are judged, so that a request that causes them is stopped. */
	readonly detectsPoison: boolean;
	place(request: TraceRequest, usable: readonly SimulatedEngine[], nowMs: number): PolicyDecision;
	placeContinuation(request: TraceRequest, usable: readonly SimulatedEngine[], nowMs: number): SimulatedEngine | undefined;
	recordSent?(request: TraceRequest, id: number, engine: SimulatedEngine, nowMs: number): void;
	recordFirstToken?(id: number, engine: SimulatedEngine, nowMs: number): void;
	/** Notes whether an answer's first token came in time. */
	recordTimeliness?(request: TraceRequest, isOnTime: boolean): void;
	recordEnd?(request: TraceRequest, id: number, engine: SimulatedEngine, cachedBlocks: number | undefined): void;
	/** Takes the load reports, which are some time old. */
	recordLoadReports?(engines: readonly SimulatedEngine[], nowMs: number): void;
	changeRoles(engines: readonly SimulatedEngine[], nowMs: number): RoleChange[];
}

/** Round robin over engines whose roles never change. */
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

/** The emptiest engine by each host's own lagged view; roles follow the demand at once. */
export class GreedyPolicy implements Policy {
	get detectsPoison(): boolean {
		return false;
	}

	readonly #hosts = Array.from({length: ENTRY_HOSTS}, () => new LoadTracker());
	readonly #hostOf = new Map<number, LoadTracker>();
	readonly #meter = new DemandEstimator(5000, 0);
	#next = 0;
	#host = this.#hosts[0]!;

	readonly initialRole = (index: number): EngineRole => index % 2 === 0 ? 'prefill' : 'decode';

	place(request: TraceRequest, usable: readonly SimulatedEngine[], nowMs: number): PolicyDecision {
		noteDemand(this.#meter, request, nowMs);
		this.#next++;
		this.#host = this.#hosts[this.#next % this.#hosts.length]!;
		const wanted = request.promptTokens > 1000 ? 'prefill' : 'decode';
		const fitting = usable.filter(engine => engine.role === wanted);
		const engine = this.#emptiest(fitting.length > 0 ? fitting : usable);
		const handsOff = wanted === 'prefill' && engine?.role === 'prefill' && usable.some(other => other.role === 'decode');
		return engine ? {type: 'send', engine, handsOff} : {type: 'refuse'};
	}

	placeContinuation(_request: TraceRequest, usable: readonly SimulatedEngine[]): SimulatedEngine | undefined {
		const decoding = usable.filter(engine => engine.role === 'decode');
		return this.#emptiest(decoding.length > 0 ? decoding : usable);
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
		const {prefill, decode} = this.#meter.current(nowMs);
		const share = prefill / Math.max(0.01, prefill + decode);
		const wanted = Math.min(engines.length - 1, Math.max(1, Math.round(engines.length * share)));
		const prefilling = engines.filter(engine => engine.role === 'prefill');
		const others = engines.filter(engine => engine.role !== 'prefill');
		if (prefilling.length < wanted) {
			return others.slice(0, wanted - prefilling.length).map(engine => ({engine, role: 'prefill'}));
		}

		return prefilling.slice(0, prefilling.length - wanted).map(engine => ({engine, role: 'decode'}));
	}

	#emptiest(engines: readonly SimulatedEngine[]): SimulatedEngine | undefined {
		return engines.toSorted((a, b) => this.#host.estimate(a.name).requests - this.#host.estimate(b.name).requests)[0];
	}
}

/** What can be switched off, to see what it is worth. */
export type Features = {
	readonly prefix: boolean;
	readonly handoff: boolean;
	readonly refusal: boolean;
	readonly roleChanges: boolean;
	readonly sampling: boolean;
	readonly ownWork: boolean;
	readonly roles: boolean;
	readonly margin: boolean;
};

export const DEFAULT_FEATURES: Features = {
	prefix: false, handoff: true, refusal: true, roleChanges: true, sampling: true, ownWork: true, roles: true, margin: true,
};

type EntryHost = {
	readonly loads: LoadTracker;
	readonly prefixes: PrefixIndex;
	/** Margins of work that is mostly prompt and of other work. */
	readonly margins: {readonly prefill: AdmissionMargin; readonly decode: AdmissionMargin};
};

const METER_WINDOW_MS = 8000;
const DECODE_MAX_RUNNING = 42;
const PREFILL_MAX_RUNNING = 52;

/** Ours: many entry hosts, each with its own lagged view, and the leader's role policy. */
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
	readonly #meter = new DemandEstimator(METER_WINDOW_MS, 0);
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
		noteDemand(this.#meter, request, nowMs);
		this.#next++;
		this.#host = this.#hosts[this.#next % this.#hosts.length]!;
		const shape = this.#shapeOf(request);
		const candidates = this.#candidates(usable, request);
		const placement = this.#features.handoff
			? placeRequest(shape, candidates, this.#random, this.#choice)
			: wrap(chooseEngine(shape, candidates, this.#random, this.#choice));
		if (!placement || (this.#features.refusal && !meetsTargets(placement.first.cost, DEFAULT_LATENCY_TARGETS, this.#features.margin ? this.#marginOf(request).share : 1))) {
			return {type: 'refuse'};
		}

		this.#placedBy.set(request, this.#host);
		const engine = usable.find(({name}) => name === placement.first.server)!;
		return {type: 'send', engine, handsOff: placement.handsOff};
	}

	placeContinuation(request: TraceRequest, usable: readonly SimulatedEngine[]): SimulatedEngine | undefined {
		const decision = placeContinuation(this.#shapeOf(request), this.#candidates(usable, request), this.#random, this.#choice);
		return usable.find(({name}) => name === decision?.server);
	}

	recordSent(request: TraceRequest, id: number, engine: SimulatedEngine, nowMs: number): void {
		this.#hostOf.set(id, this.#host);
		const cached = this.#features.prefix ? this.#expectCached(engine, request) * 64 : 0;
		if (this.#features.ownWork) {
			this.#host.loads.startRequest(engine.name, String(id), {
				promptTokens: request.promptTokens, prefillTokens: Math.max(0, request.promptTokens - cached), outputTokens: request.outputTokens,
			}, nowMs);
		}
	}

	recordFirstToken(id: number, engine: SimulatedEngine, nowMs: number): void {
		// The head of an answer carries the engine's load at that moment.
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
			this.#marginOf(request, host).record(isOnTime);
		}
	}

	changeRoles(engines: readonly SimulatedEngine[], nowMs: number): RoleChange[] {
		if (!this.#features.roleChanges || !this.#features.roles) {
			return [];
		}

		const roled = engines.map(engine => ({server: engine.name, role: engine.role, running: engine.load.running}));
		const change = chooseRoleChange(this.#demand(nowMs), roled, (nowMs - this.#lastChangeMs) / 1000, this.#profile);
		const engine = engines.find(({name}) => name === change?.server);
		if (!change || !engine) {
			return [];
		}

		this.#lastChangeMs = nowMs;
		return [{engine, role: change.role}];
	}

	#marginOf(request: TraceRequest, {margins} = this.#host): AdmissionMargin {
		return isPrefillWork(request) ? margins.prefill : margins.decode;
	}

	#demand(nowMs: number): Demand {
		return this.#meter.current(nowMs);
	}

	#shapeOf(request: TraceRequest) {
		return {promptTokens: request.promptTokens, outputTokens: request.outputTokens, dataCentre: 'a'};
	}

	#candidates(engines: readonly SimulatedEngine[], request: TraceRequest): Candidate[] {
		return engines.map(engine => this.#candidate(engine, engines, request));
	}

	/** A prefix is at home once among the engines of each role. */
	#isHome(engine: SimulatedEngine, engines: readonly SimulatedEngine[], request: TraceRequest): boolean {
		const blocks = listPrefixBlocks(request);
		const seen = this.#host.prefixes.countSeen(blocks);
		const peers = engines.filter(({role}) => role === engine.role).map(({name}) => name);
		return this.#features.prefix && seen > 0 && findPrefixOwner(peers, blocks[seen - 1]!) === engine.name;
	}

	#expectCached(engine: SimulatedEngine, request: TraceRequest, isHome = false): number {
		return this.#host.prefixes.estimateCached(engine.name, listPrefixBlocks(request), isHome);
	}

	#candidate(engine: SimulatedEngine, engines: readonly SimulatedEngine[], request: TraceRequest): Candidate {
		const isHome = this.#isHome(engine, engines, request);
		return {
			server: engine.name,
			role: engine.role,
			dataCentre: 'a',
			load: this.#host.loads.estimate(engine.name),
			speed: ENGINE_SPEED,
			cachedTokens: this.#expectCached(engine, request, isHome) * 64,
			isPrefixOwner: isHome,
			maxRunning: engine.role === 'decode' ? DECODE_MAX_RUNNING : PREFILL_MAX_RUNNING,
			kvTokens: KV_CACHE_TOKENS,
		};
	}
}

/**
 * The blocks that a request's shared beginning fills.
 *
 * @example
 * ```ts
 * blocksOf({prefix: 3, prefixTokens: 130, …}); // two blocks
 * ```
 */
export function listPrefixBlocks(request: TraceRequest): number[] {
	return Array.from({length: Math.floor(request.prefixTokens / 64)}, (_, index) => (request.prefix * 10_000) + index);
}

function noteDemand(meter: DemandEstimator, request: TraceRequest, nowMs: number): void {
	const {prefillMs, decodeMs} = estimateEngineTime(request, ENGINE_SPEED);
	meter.record(prefillMs, decodeMs, nowMs);
}

function wrap(decision: ReturnType<typeof chooseEngine>): {readonly first: NonNullable<typeof decision>; readonly handsOff: boolean} | undefined {
	return decision && {first: decision, handsOff: false};
}
