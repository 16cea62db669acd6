/**
 * Kinds of servers, and what the capacity decision reads and returns.
 *
 * @module
 */
import type {EnginePool, ScalingSpec} from '../routing/routes.js';
import type {DemandSummary} from './demand.js';

/** Spot servers are cheaper, but may be reclaimed at any time, all of a data centre at once. */
export const SERVER_KINDS = {onDemand: 'onDemand', spot: 'spot'} as const;
export type ServerKind = keyof typeof SERVER_KINDS;

/** A number of servers of one kind in one data centre. */
export type ScaleRequest = {
	readonly service: string;
	readonly zone: string;
	readonly kind: ServerKind;
	readonly desired: number;
};

/** Path and body of the call that makes a request. */
export type ScaleCall = {
	readonly path: string;
	readonly body: unknown;
};

/** The servers of one kind in one data centre. */
export type KindCapacity = {
	/** Servers that are there and stay, including silent ones. */
	readonly present: number;
	/** Servers that accept new work. */
	readonly serving: number;
	/** Servers that are there, or will be once the requests made so far have taken effect. */
	readonly expected: number;
	/** Engines among the serving ones that prefill, and those that decode; mixed engines count as both. */
	readonly prefill: number;
	readonly decode: number;
	/** How many servers may be added at once now. */
	readonly maxIncrease: number;
	readonly canShrink: boolean;
};

export type ZoneCapacity = {
	readonly zone: string;
	readonly onDemand: KindCapacity;
	readonly spot: KindCapacity;
	/** Spot servers that have been given notice of their end. */
	readonly reclaimed: number;
	/** Whether a new request may be made for the data centre now. */
	readonly isChangeable: boolean;
};

/** What the decision about one service is based on. */
export type CapacityInput = {
	readonly scaling: ScalingSpec;
	/** Capacity of each engine; undefined for plain servers. */
	readonly pool: EnginePool | undefined;
	readonly zones: readonly ZoneCapacity[];
	/** Undefined if no request was measured within the window. */
	readonly demand: DemandSummary | undefined;
	/** Total number of servers of the last decision; undefined if this host has made none. */
	readonly previousTotal: number | undefined;
	/** Time since the total was last raised because of the demand, and since servers were last removed, milliseconds. */
	readonly sinceIncreaseMs: number;
	readonly sinceDecreaseMs: number;
};

export type CapacityChange = Omit<ScaleRequest, 'service'> & {
	/** Expected number before the change. */
	readonly from: number;
};

export type CapacityDecision = {
	/** Total number of servers wanted. */
	readonly total: number;
	/** Number that must remain if all spot servers of one data centre are reclaimed. */
	readonly survivors: number;
	/** Whether the total was raised because of the demand. */
	readonly isIncrease: boolean;
	readonly reason: string;
	readonly changes: readonly CapacityChange[];
};
