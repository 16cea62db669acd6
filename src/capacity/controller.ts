/**
 * Adapts the number of servers to the demand: measures it, exchanges it with the other control hosts and, on the host that holds the
 * duties, decides and calls the external service.
 *
 * @module
 */
import type {Clock} from '../base/clock.js';
import type {Logger} from '../base/logger.js';
import type {DutyCaller} from '../duties/caller.js';
import type {PoolDemands, ServerStatus} from '../generated/types.js';
import type {EngineState} from '../routing/engine.js';
import type {MilestoneName, PlacementDecision, PlacementRequest} from '../routing/request.js';
import type {ScalingSpec, ServiceSpec} from '../routing/routes.js';
import {sendSeparately, type Address} from '../wire/connection.js';
import {decideCapacity} from './decision.js';
import {DemandHistory} from './demand.js';
import {countServers} from './inventory.js';
import {DemandMeter} from './meter.js';
import type {CapacityMetrics} from './metrics.js';
import type {
	CapacityDecision, CapacityInput, KindCapacity, ScaleCall, ScaleRequest, ZoneCapacity,
} from './model.js';
import {CALL_RESULTS, ScaleSubjects, type OpenCall} from './subjects.js';

const DECISION_INTERVAL_MS = 1000;
/**
 * A new leader listens for the start time of a server and this time, milliseconds: servers that its predecessor requested may still be starting,
 * and a number that does not include them would remove them or exceed the limit.
 */
const LISTEN_MARGIN_MS = 2000;
/** A host that stood still for this long starts anew, milliseconds: another host may have made calls meanwhile. */
const MAX_STANDSTILL_MS = 1500;
/** If more than this share of the servers is silent, this host is more likely to be cut off than the servers to be down. */
const MAX_SILENT_SHARE = 0.5;
/** A leader of a new system that is ready within this time has no predecessor whose servers may still be starting, milliseconds. */
const NEW_SYSTEM_MS = 15_000;
const MAX_PARALLEL_CALLS = 8;
const MAX_PEERS = 16;

/** What the platform contributes. */
export type ScalingOptions = {
	readonly formatCall: (request: ScaleRequest) => ScaleCall;
	readonly metrics: CapacityMetrics;
};

export type CapacityControllerOptions = ScalingOptions & {
	readonly caller: DutyCaller;
	readonly host: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly listStatuses: () => ServerStatus[];
	readonly listServices: () => readonly ServiceSpec[];
	readonly listEngines: () => Iterable<EngineState>;
	/** Peer addresses of the other control hosts. */
	readonly listPeers: () => readonly Address[];
	/** Whether this host leads and has heard all servers. */
	readonly isReady: () => boolean;
	/** Whether the whole system starts for the first time. */
	readonly isNewSystem: boolean;
	/** Sends the demand to another control host; on a connection of its own by default, because older versions close it. */
	readonly send?: (peer: Address, message: PoolDemands) => void;
};

/** Adapts the number of servers of all services with `scaling`. Its owner calls `tick` several times a second. */
export class CapacityController {
	readonly #options: CapacityControllerOptions;
	readonly #meter: DemandMeter;
	readonly #history = new DemandHistory();
	readonly #lastLines = new Map<string, string>();
	readonly #reclaimedZones = new Set<string>();
	readonly #startedMs: number;
	#subjects: ScaleSubjects | undefined;
	#readySinceMs = Number.POSITIVE_INFINITY;
	#tickedMs: number;
	#decidedMs = Number.NEGATIVE_INFINITY;
	#sendingCount = 0;

	constructor(options: CapacityControllerOptions) {
		this.#options = options;
		this.#startedMs = options.clock.monotonicMs();
		this.#tickedMs = this.#startedMs;
		this.#meter = new DemandMeter(this.#tickedMs);
	}

	/** Records a request that this host's scheduler placed or rejected. */
	recordDecision(request: Parameters<DemandMeter['recordDecision']>[0] & Pick<PlacementRequest, 'service'>, decision: PlacementDecision): void {
		if (this.#findScaling(request.service)) {
			this.#meter.recordDecision(request, decision, this.#options.clock.monotonicMs());
		}
	}

	recordMilestone(id: string, milestone: MilestoneName): void {
		this.#meter.recordMilestone(id, milestone);
	}

	/** Takes over the demand that another control host reports. */
	mergeDemands({host, pools}: PoolDemands): void {
		this.#history.merge(host, pools, this.#options.clock.monotonicMs());
	}

	/** Measures and exchanges the demand, and makes the decisions and calls that are due. */
	tick(): void {
		const nowMs = this.#options.clock.monotonicMs();
		this.#measure(nowMs);
		this.#updateLeadership(nowMs);
		this.#tickedMs = nowMs;
		const subjects = this.#subjects;
		if (!subjects) {
			return;
		}

		if (nowMs - this.#decidedMs >= DECISION_INTERVAL_MS) {
			this.#decidedMs = nowMs;
			this.#decideAll(subjects, nowMs);
		}

		for (const call of subjects.takeDueCalls(nowMs, MAX_PARALLEL_CALLS - this.#sendingCount)) {
			void this.#send(subjects, call);
		}
	}

	#measure(nowMs: number): void {
		const {host, listEngines, listPeers, send = sendSeparately} = this.#options;
		this.#meter.observe(listEngines(), nowMs);
		const pools = this.#meter.sample(nowMs);
		if (!pools) {
			return;
		}

		this.#history.merge(host, pools, nowMs);
		this.#history.advance(nowMs);
		if (pools.length > 0) {
			const peers = new Map(listPeers().map(peer => [`${peer.address}:${peer.port}`, peer]));
			for (const peer of [...peers.values()].slice(0, MAX_PEERS)) {
				send(peer, {type: 'poolDemands', host, pools});
			}
		}
	}

	/** Starts from the servers that announce themselves whenever this host begins to hold the duties, or may have lost them. */
	#updateLeadership(nowMs: number): void {
		const {caller, isReady, logger, metrics} = this.#options;
		const isLeading = isReady();
		const stoodStill = nowMs - this.#tickedMs > MAX_STANDSTILL_MS;
		this.#readySinceMs = isLeading && !stoodStill ? Math.min(this.#readySinceMs, nowMs) : Number.POSITIVE_INFINITY;
		const mayDecide = caller.isHolder && Number.isFinite(this.#readySinceMs);
		if (this.#subjects && !mayDecide) {
			this.#subjects = undefined;
			this.#lastLines.clear();
			metrics.wantedServers.reset();
			metrics.servingServers.reset();
			metrics.inFlight.reset();
			metrics.lateShare.reset();
			logger.info('No longer decides the number of servers.', {stoodStill});
		}

		if (mayDecide && !this.#subjects) {
			this.#subjects = new ScaleSubjects(nowMs);
			logger.info('Decides the number of servers.');
		}
	}

	#decideAll(subjects: ScaleSubjects, nowMs: number): void {
		const statuses = this.#options.listStatuses();
		for (const {name, scaling, engines} of this.#options.listServices()) {
			if (scaling && nowMs - this.#readySinceMs >= this.#getListenMs(scaling)) {
				const zones = subjects.describeZones(name, countServers(statuses, name, scaling), nowMs);
				const input: CapacityInput = {
					scaling, pool: engines, zones, demand: this.#history.summarize(name, scaling.bootMs, nowMs), ...subjects.describeService(name, nowMs),
				};
				this.#decide(subjects, name, input, nowMs);
			}
		}
	}

	#getListenMs({bootMs}: ScalingSpec): number {
		const isFirst = this.#options.isNewSystem && this.#readySinceMs - this.#startedMs < NEW_SYSTEM_MS;
		return isFirst ? 0 : bootMs + LISTEN_MARGIN_MS;
	}

	#decide(subjects: ScaleSubjects, service: string, input: CapacityInput, nowMs: number): void {
		const {metrics} = this.#options;
		this.#countReclaims(service, input.zones);
		const present = sumZones(input.zones, ({present: count}) => count);
		const serving = sumZones(input.zones, ({serving: count}) => count);
		if (input.zones.length === 0 || present - serving > present * MAX_SILENT_SHARE) {
			return;
		}

		const decision = decideCapacity(input);
		subjects.apply(service, decision, nowMs);
		metrics.wantedServers.set({service}, decision.total);
		metrics.servingServers.set({service, kind: 'onDemand'}, input.zones.reduce((sum, {onDemand}) => sum + onDemand.serving, 0));
		metrics.servingServers.set({service, kind: 'spot'}, input.zones.reduce((sum, {spot}) => sum + spot.serving, 0));
		metrics.inFlight.set({service}, input.demand?.peak.inFlight ?? 0);
		metrics.lateShare.set({service}, input.demand?.lateShare ?? 0);
		this.#logDecision(service, input, decision);
	}

	#countReclaims(service: string, zones: readonly ZoneCapacity[]): void {
		for (const {zone, reclaimed} of zones) {
			const key = JSON.stringify([service, zone]);
			if (reclaimed === 0) {
				this.#reclaimedZones.delete(key);
			} else if (!this.#reclaimedZones.has(key)) {
				this.#reclaimedZones.add(key);
				this.#options.metrics.reclaimed.inc();
				this.#options.logger.warn(`Data centre ${zone} reclaims ${reclaimed} spot servers of service ${service}.`, {service, zone, reclaimed});
			}
		}
	}

	/** Logs a decision with its inputs if it changes something or differs from the last one. */
	#logDecision(service: string, input: CapacityInput, {total, survivors, reason, changes}: CapacityDecision): void {
		const line = `${total} ${reason}`;
		if (changes.length === 0 && this.#lastLines.get(service) === line) {
			return;
		}

		this.#lastLines.set(service, line);
		this.#options.logger.info(`Service ${service} gets ${total} servers: ${reason}.`, {
			service,
			total,
			survivors,
			changes: changes.map(({zone, kind, from, desired}) => `${zone} ${kind} ${from}→${desired}`),
			zones: input.zones.map(({zone, onDemand, spot, reclaimed}) => `${zone} onDemand ${onDemand.serving}/${onDemand.expected} spot ${spot.serving}/${spot.expected} reclaimed ${reclaimed}`),
			prefill: sumZones(input.zones, kind => kind.prefill),
			decode: sumZones(input.zones, kind => kind.decode),
			demand: input.demand,
			previousTotal: input.previousTotal,
		});
	}

	async #send(subjects: ScaleSubjects, call: OpenCall): Promise<void> {
		const {caller, formatCall, clock, logger, metrics} = this.#options;
		const {service, zone, kind, from, desired, attempts} = call;
		this.#sendingCount++;
		const {path, body} = formatCall({
			service, zone, kind, desired,
		});
		const status = await caller.call(path, body).catch(() => undefined);
		this.#sendingCount--;
		const result = subjects.recordResult(call, status, this.#findScaling(service)?.bootMs ?? 0, clock.monotonicMs());
		metrics.calls.inc({result});
		if (result === CALL_RESULTS.accepted) {
			metrics.servers.inc({kind, direction: desired > from ? 'added' : 'removed'}, Math.abs(desired - from));
		}

		logger.info(`Requested ${desired} ${kind} servers of service ${service} in data centre ${zone}: ${result}.`, {
			service, zone, kind, from, desired, status, attempts, result,
		});
	}

	#findScaling(service: string): ScalingSpec | undefined {
		return this.#options.listServices().find(({name}) => name === service)?.scaling;
	}
}

function sumZones(zones: readonly ZoneCapacity[], read: (kind: KindCapacity) => number): number {
	return zones.reduce((sum, {onDemand, spot}) => sum + read(onDemand) + read(spot), 0);
}
