/**
 * Measures the demand for the engines of each service that this host schedules.
 *
 * Performs no I/O; the caller passes the current time.
 *
 * @module
 */
import type {PoolDemand} from '../generated/types.js';
import {ENGINE_ROLES} from '../routing/choice.js';
import type {EngineState} from '../routing/engine.js';
import {
	MILESTONES, type MilestoneName, type PlacementDecision, type PlacementRequest,
} from '../routing/request.js';
import {SAMPLE_MS} from './demand.js';

/** Open requests are kept for this long after their caller has given up, milliseconds. */
const EXPIRY_GRACE_MS = 2000;
const MAX_OPEN_REQUESTS = 50_000;
const MAX_SERVICES = 200;

type OpenRequest = {
	readonly service: string;
	readonly tokens: number;
	readonly expiresMs: number;
	isWaiting: boolean;
};

type PoolCounters = {
	requests: number;
	promptTokens: number;
	uncachedTokens: number;
	late: number;
	rejected: number;
	inFlight: number;
	contextTokens: number;
	peakInFlight: number;
	prefillLoad: number;
	decodeLoad: number;
};

/** Measures the demand that the scheduler of this host sees. */
export class DemandMeter {
	readonly #open = new Map<string, OpenRequest>();
	readonly #pools = new Map<string, PoolCounters>();
	#sampledMs: number;

	constructor(nowMs: number) {
		this.#sampledMs = nowMs;
	}

	/** Records a request that was placed or rejected here. */
	recordDecision(request: Pick<PlacementRequest, 'id' | 'service' | 'promptTokens' | 'outputTokens' | 'objectiveMs' | 'patienceMs'>, decision: PlacementDecision, nowMs: number): void {
		this.#close(request.id);
		const pool = this.#getPool(request.service);
		if (!pool) {
			return;
		}

		pool.requests++;
		if (decision.type === 'rejection') {
			pool.rejected++;
			return;
		}

		pool.promptTokens += request.promptTokens;
		pool.uncachedTokens += Math.max(0, request.promptTokens - (decision.cachedTokens ?? 0));
		pool.late += decision.isLate === true || (decision.expectedMs ?? 0) > request.objectiveMs ? 1 : 0;
		if (this.#open.size >= MAX_OPEN_REQUESTS) {
			return;
		}

		const tokens = request.promptTokens + request.outputTokens;
		this.#open.set(request.id, {
			service: request.service, tokens, expiresMs: nowMs + request.patienceMs + EXPIRY_GRACE_MS, isWaiting: true,
		});
		pool.inFlight++;
		pool.contextTokens += tokens;
		pool.peakInFlight = Math.max(pool.peakInFlight, pool.inFlight);
	}

	/** Records the progress of a request. */
	recordMilestone(id: string, milestone: MilestoneName): void {
		const request = this.#open.get(id);
		if (request && milestone === MILESTONES.first) {
			request.isWaiting = false;
		} else if (milestone !== MILESTONES.read) {
			this.#close(id);
		}
	}

	/** Reads the prefill work at the engines, of which the highest value since the last sample counts. */
	observe(engines: Iterable<EngineState>, nowMs: number): void {
		const loads = new Map<string, {prefill: number; decode: number}>();
		for (const engine of engines) {
			const {service, role} = engine.info;
			const load = loads.get(service) ?? {prefill: 0, decode: 0};
			const utilisation = engine.utilisation(nowMs);
			load.prefill += utilisation;
			load.decode += role === ENGINE_ROLES.decode ? utilisation : 0;
			loads.set(service, load);
		}

		for (const [service, {prefill, decode}] of loads) {
			const pool = this.#pools.get(service);
			if (pool) {
				pool.prefillLoad = Math.max(pool.prefillLoad, prefill);
				pool.decodeLoad = Math.max(pool.decodeLoad, decode);
			}
		}
	}

	/** Returns the demand since the last sample, about a second ago; undefined if it is not due. */
	sample(nowMs: number): PoolDemand[] | undefined {
		const seconds = (nowMs - this.#sampledMs) / 1000;
		if (seconds * 1000 < SAMPLE_MS) {
			return undefined;
		}

		this.#sampledMs = nowMs;
		for (const [id, {expiresMs}] of this.#open) {
			if (expiresMs < nowMs) {
				this.#close(id);
			}
		}

		const waiting = this.#countWaiting();
		const demands = [...this.#pools].map(([service, pool]) => ({
			service,
			requests: pool.requests / seconds,
			promptTokens: pool.promptTokens / seconds,
			uncachedTokens: pool.uncachedTokens / seconds,
			inFlight: pool.peakInFlight,
			waiting: waiting.get(service) ?? 0,
			contextTokens: pool.contextTokens,
			prefillLoad: pool.prefillLoad,
			decodeLoad: pool.decodeLoad,
			late: pool.late / seconds,
			rejected: pool.rejected / seconds,
		}));
		this.#startSample();
		return demands;
	}

	#startSample(): void {
		for (const [service, pool] of this.#pools) {
			if (pool.requests === 0 && pool.inFlight === 0) {
				this.#pools.delete(service);
			} else {
				this.#pools.set(service, {
					...createCounters(), inFlight: pool.inFlight, contextTokens: pool.contextTokens, peakInFlight: pool.inFlight,
				});
			}
		}
	}

	#countWaiting(): Map<string, number> {
		const waiting = new Map<string, number>();
		for (const {service, isWaiting} of this.#open.values()) {
			waiting.set(service, (waiting.get(service) ?? 0) + (isWaiting ? 1 : 0));
		}

		return waiting;
	}

	#getPool(service: string): PoolCounters | undefined {
		const known = this.#pools.get(service);
		if (known ?? this.#pools.size >= MAX_SERVICES) {
			return known;
		}

		const pool = createCounters();
		this.#pools.set(service, pool);
		return pool;
	}

	#close(id: string): void {
		const request = this.#open.get(id);
		const pool = this.#pools.get(request?.service ?? '');
		this.#open.delete(id);
		if (request && pool) {
			pool.inFlight--;
			pool.contextTokens -= request.tokens;
		}
	}
}

function createCounters(): PoolCounters {
	return {
		requests: 0, promptTokens: 0, uncachedTokens: 0, late: 0, rejected: 0, inFlight: 0, contextTokens: 0, peakInFlight: 0, prefillLoad: 0, decodeLoad: 0,
	};
}
