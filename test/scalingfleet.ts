/**
 * Simulated servers of one service with an external service that starts and stops them, and a controller that adapts their number.
 * Time is simulated in steps of 250 ms.
 *
 * @module
 */
import {Registry} from 'prom-client';
import {formatScaleCall} from '../platform/scaling.js';
import {createSilentLoggers} from '../src/base/logger.js';
import {CapacityController} from '../src/capacity/controller.js';
import {createCapacityMetrics} from '../src/capacity/metrics.js';
import type {DutyCaller} from '../src/duties/caller.js';
import type {PoolDemand, ServerStatus} from '../src/generated/types.js';
import {countPrefillTarget} from '../src/routing/planner.js';
import type {EnginePool, ScalingSpec, ServiceSpec} from '../src/routing/routes.js';

export const ZONES = ['a', 'b', 'c'] as const;
export const SCALING: ScalingSpec = {
	min: 1, max: 53, bootMs: 4000, spotPrice: 0.18, zonePrices: new Map([['a', 1], ['b', 0.8], ['c', 1.25]]),
};
export const POOL: EnginePool = {
	slots: 12, kvTokens: 695_727, kvBytesPerToken: 100_000, linkMbps: 100_000,
};
const STEP_MS = 250;
/** Time that a removed server takes to finish its requests. */
const DRAIN_MS = 3000;
const ROLE_CHANGE_MS = 6000;

type SimulatedServer = {
	readonly name: string;
	readonly zone: string;
	readonly isSpot: boolean;
	readonly servesMs: number;
	role: 'prefill' | 'decode';
	leavesAtMs: number | undefined;
	isReclaimed: boolean;
};

export type ScaleCallRecord = {
	readonly atMs: number;
	readonly zone: string;
	readonly isSpot: boolean;
	readonly desired: number;
	readonly isIncrease: boolean;
	readonly status: number | undefined;
};

/** Load as engines that prefill keeps busy, and requests in flight. */
export type Load = {
	readonly prefillLoad: number;
	readonly inFlight: number;
};

class SimulatedCaller implements DutyCaller {
	readonly call: DutyCaller['call'];
	readonly #readIsHolder: () => boolean;

	constructor(readIsHolder: () => boolean, call: DutyCaller['call']) {
		this.#readIsHolder = readIsHolder;
		this.call = call;
	}

	get isHolder(): boolean {
		return this.#readIsHolder();
	}
}

/** The simulated servers, the calls that were made and what came of them. */
export class ScalingFleet {
	nowMs = 100_000;
	readonly servers: SimulatedServer[] = [];
	readonly calls: ScaleCallRecord[] = [];
	isHolder = true;
	isReady = true;
	/** Data centre whose servers neither serve nor announce themselves. */
	silentZone: string | undefined;
	/** Status of a call's response; the call takes effect with 200, and also with `lost`, whose response does not arrive. */
	respond: (call: Omit<ScaleCallRecord, 'status'>) => number | 'lost' | undefined = () => 200;
	load: Load | undefined;
	/** Seconds in which the serving engines of a role were fewer than the load needs, and the lowest number of serving servers. */
	shortSeconds = 0;
	lowestServing = Number.POSITIVE_INFINITY;
	/** Seconds in which the loss of all spot servers of one data centre would leave too few servers for the load. */
	unsafeSeconds = 0;
	cost = 0;
	controller: CapacityController;
	readonly service: ServiceSpec;
	#created = 0;
	#rebalancedMs = 0;

	constructor(counts: readonly number[], {scaling = SCALING, pool = POOL} = {}) {
		this.service = {
			name: 's-1', maxConnections: 64, scaling, ...(pool && {engines: pool}),
		};
		for (const [index, zone] of ZONES.entries()) {
			this.#start(zone, false, counts[index] ?? 0, this.nowMs);
		}

		this.#rebalance();
		this.controller = this.createController();
	}

	createController(isNewSystem = false): CapacityController {
		return new CapacityController({
			caller: new SimulatedCaller(() => this.isHolder, async (path, body) => this.#call(path, body)),
			formatCall: formatScaleCall,
			metrics: createCapacityMetrics(new Registry()),
			host: 'c1',
			clock: {monotonicMs: () => this.nowMs, wallMs: () => this.nowMs},
			logger: createSilentLoggers()('control'),
			listStatuses: () => this.listStatuses(),
			listServices: () => [this.service],
			listEngines: () => [],
			listPeers: () => [],
			isReady: () => this.isReady,
			isNewSystem,
		});
	}

	/** Lets time pass. */
	async run(durationMs: number, getLoad: (sinceMs: number) => Load | undefined = () => this.load): Promise<void> {
		const startMs = this.nowMs;
		while (this.nowMs < startMs + durationMs) {
			this.nowMs += STEP_MS;
			this.load = getLoad(this.nowMs - startMs);
			this.#step();
			this.controller.tick();
			// Responses to calls arrive before the next step.
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	}

	/** Gives all spot servers of a data centre notice. */
	reclaim(zone: string, leavesMs: number): void {
		for (const server of this.servers) {
			if (server.isSpot && server.zone === zone && server.leavesAtMs === undefined) {
				server.leavesAtMs = this.nowMs + leavesMs;
				server.isReclaimed = true;
			}
		}
	}

	count(isSpot: boolean, zone?: string): number {
		return this.#listServing().filter(server => server.isSpot === isSpot && (zone === undefined || server.zone === zone)).length;
	}

	get serving(): number {
		return this.#listServing().length;
	}

	/** Price of the servers that are there now. */
	get price(): number {
		return this.servers.map(({zone, isSpot}) => (SCALING.zonePrices.get(zone) ?? 1) * (isSpot ? SCALING.spotPrice : 1)).reduce((sum, price) => sum + price, 0);
	}

	listStatuses(): ServerStatus[] {
		return this.servers.filter(({servesMs}) => servesMs <= this.nowMs).map(server => ({
			announcement: {
				server: server.name, kind: 'engine', address: '10.0.0.1', port: 80, incarnation: 1, sequence: 1, services: ['s-1'], dataCentre: server.zone, role: server.role,
				...(server.isSpot && {spot: true}),
				leaving: server.leavesAtMs !== undefined,
				...(server.isReclaimed && {leavesMs: Math.max(0, server.leavesAtMs! - this.nowMs)}),
			},
			gone: false,
			silent: server.zone === this.silentZone,
		}));
	}

	#listServing(): SimulatedServer[] {
		return this.servers.filter(({servesMs, leavesAtMs, zone}) => servesMs <= this.nowMs && leavesAtMs === undefined && zone !== this.silentZone);
	}

	async #call(path: string, body: unknown): Promise<number | undefined> {
		const {zone, desired, spot: isSpot = false} = body as {zone: string; desired: number; spot?: boolean};
		const call = {
			atMs: this.nowMs, zone, isSpot, desired, isIncrease: desired > this.#listStaying(zone, isSpot).length,
		};
		const status = path === '/scale' && this.isHolder ? this.respond(call) : undefined;
		this.calls.push({...call, status: status === 'lost' ? undefined : status});
		if (status === 200 || status === 'lost') {
			this.#scale(zone, isSpot, desired);
		}

		return status === 'lost' ? undefined : status;
	}

	#listStaying(zone: string, isSpot: boolean): SimulatedServer[] {
		return this.servers.filter(server => server.zone === zone && server.isSpot === isSpot && server.leavesAtMs === undefined);
	}

	#scale(zone: string, isSpot: boolean, desired: number): void {
		const own = this.#listStaying(zone, isSpot);
		// The worst choice: all servers that leave have the same role.
		const leaving = own.toSorted((a, b) => b.role.localeCompare(a.role)).slice(0, Math.max(0, own.length - desired));
		for (const server of leaving) {
			server.leavesAtMs = this.nowMs + DRAIN_MS;
		}

		this.#start(zone, isSpot, desired - own.length, this.nowMs + this.service.scaling!.bootMs);
	}

	#start(zone: string, isSpot: boolean, count: number, servesMs: number): void {
		for (let index = 0; index < count; index++) {
			this.servers.push({
				name: `e${this.#created++}`, zone, isSpot, servesMs, role: this.#created % 5 < 3 ? 'prefill' : 'decode', leavesAtMs: undefined, isReclaimed: false,
			});
		}
	}

	#step(): void {
		for (const server of this.servers.filter(({leavesAtMs = Number.POSITIVE_INFINITY}) => leavesAtMs <= this.nowMs)) {
			this.servers.splice(this.servers.indexOf(server), 1);
		}

		if (this.nowMs - this.#rebalancedMs >= ROLE_CHANGE_MS) {
			this.#rebalance();
		}

		if (this.nowMs % 1000 === 0) {
			this.#observe();
		}
	}

	#observe(): void {
		const serving = this.#listServing();
		this.cost += this.price;
		this.lowestServing = Math.min(this.lowestServing, serving.length);
		if (!this.load) {
			return;
		}

		const {prefillLoad, inFlight} = this.load;
		const prefill = serving.filter(({role}) => role === 'prefill').length;
		const decodeSlots = (serving.length - prefill) * POOL.slots;
		const isShort = prefill < prefillLoad || decodeSlots < inFlight;
		this.shortSeconds += isShort ? 1 : 0;
		const afterLoss = serving.length - Math.max(...ZONES.map(zone => this.count(true, zone)));
		this.unsafeSeconds += afterLoss < prefillLoad + (inFlight / POOL.slots) ? 1 : 0;
		const requests = inFlight * 2;
		const demand: PoolDemand = {
			service: 's-1', requests, promptTokens: requests * 9000, uncachedTokens: requests * 900, inFlight: Math.round(inFlight), waiting: 0, contextTokens: Math.round(inFlight * 9000), prefillLoad, decodeLoad: 0, late: isShort ? requests / 2 : 0, rejected: 0,
		};
		this.controller.mergeDemands({type: 'poolDemands', host: 'c2', pools: [demand]});
	}

	/** Changes roles as the role planner does. */
	#rebalance(): void {
		this.#rebalancedMs = this.nowMs;
		const serving = this.#listServing();
		const wanted = countPrefillTarget(serving.length);
		const prefill = serving.filter(({role}) => role === 'prefill');
		const decode = serving.filter(({role}) => role === 'decode');
		for (const server of prefill.slice(wanted)) {
			server.role = 'decode';
		}

		for (const server of decode.slice(0, Math.max(0, wanted - prefill.length))) {
			server.role = 'prefill';
		}
	}
}
