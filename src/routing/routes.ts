/**
 * Routes, services and limits as operators publish them, and the choice of a route for a request.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import {createProblem, type Problem} from '../base/problem.js';
import type {Random} from '../base/random.js';

/** What may be done again with a request: anything, nothing, or (a stream) as the route says. */
export const ROUTE_KINDS = {repeatable: 'repeatable', once: 'once', stream: 'stream'} as const;
export type RouteKind = keyof typeof ROUTE_KINDS;

export type WeightedService = {
	readonly service: string;
	readonly weight: number;
};

export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly kind: RouteKind;
	/** Longest time that a caller is kept, milliseconds. */
	readonly timeoutMs: number;
	/** Time within which an answer (of a stream: its first event) is worth most, milliseconds. */
	readonly objectiveMs: number;
	/** Longest pause between events that is still on time, milliseconds. */
	readonly interTokenTargetMs: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly targets: readonly WeightedService[];
	/** Servers that one request may be sent to. */
	readonly maxAttempts: number;
	/** Whether a stream may be gone on with at another server. */
	readonly isResumable: boolean;
};

/** What the engines of one service have in common. */
export type EnginePool = {
	/** Requests that run at once. */
	readonly slots: number;
	/** Tokens of KV cache. */
	readonly kvTokens: number;
};

export type ServiceSpec = {
	readonly name: string;
	/** Connections that a server accepts from all hosts together. */
	readonly maxConnections: number;
	readonly engines?: EnginePool;
};

export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

export type RoutingConfig = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly ServiceSpec[];
	readonly limits: CallerLimits;
};

/**
 * Checks what the parts of a catalogue say of each other.
 *
 * @example
 * ```ts
 * checkCatalogue(catalogue); // Either.left: 'Route r-1 names the unknown service s-9.'
 * ```
 */
export function validateRoutingConfig(config: RoutingConfig): Either.Either<Problem, RoutingConfig> {
	const services = new Set(config.services.map(({name}) => name));
	const places = new Set<string>();
	for (const route of config.routes) {
		const fault = findRuleFault(route, services, places);
		if (fault !== undefined) {
			return Either.left(createProblem('publicationInvalid', `Route ${route.name} ${fault}.`));
		}

		places.add(placeOf(route));
	}

	return Either.right(config);
}

/** Finds routes by host and longest prefix. */
export class RouteTable {
	readonly config: RoutingConfig;
	readonly #byHost = new Map<string, Route[]>();
	readonly #services: ReadonlyMap<string, ServiceSpec>;

	constructor(config: RoutingConfig) {
		this.config = config;
		this.#services = new Map(config.services.map(service => [service.name, service]));
		for (const route of config.routes) {
			const host = route.host.toLowerCase();
			this.#byHost.set(host, [...this.#byHost.get(host) ?? [], route]);
		}

		for (const routes of this.#byHost.values()) {
			routes.sort((a, b) => b.prefix.length - a.prefix.length);
		}
	}

	/**
	 * Finds the rule for a request.
	 *
	 * @param host - As in the host header, with or without a port.
	 * @param target - Request target; a query is ignored.
	 */
	match(host: string, target: string): Route | undefined {
		const path = target.split('?', 1)[0]!;
		const name = host.toLowerCase().replace(/:\d+$/v, '');
		return this.#byHost.get(name)?.find(route => path.startsWith(route.prefix));
	}

	findService(name: string): ServiceSpec | undefined {
		return this.#services.get(name);
	}
}

/**
 * Chooses one of a rule's services by weight.
 *
 * @example
 * ```ts
 * chooseService(rule, () => 0.95); // the second of two services that are weighted 90 to 10
 * ```
 */
export function chooseService(route: Route, random: Random): string {
	const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
	let point = random() * total;
	for (const {service, weight} of route.targets) {
		point -= weight;
		if (point < 0) {
			return service;
		}
	}

	return route.targets.findLast(({weight}) => weight > 0)?.service ?? '';
}

function findRuleFault(route: Route, services: ReadonlySet<string>, places: ReadonlySet<string>): string | undefined {
	const unknown = route.targets.find(({service}) => !services.has(service));
	if (unknown) {
		return `names the unknown service ${unknown.service}`;
	}

	if (places.has(placeOf(route))) {
		return `has the host and prefix of another: ${placeOf(route)}`;
	}

	if (route.targets.some(({weight}) => weight < 0) || route.targets.reduce((sum, {weight}) => sum + weight, 0) <= 0) {
		return 'has weights that add up to nothing';
	}

	return route.timeoutMs > 0 ? undefined : 'has no time-out';
}

function placeOf({host, prefix}: Route): string {
	return `${host.toLowerCase()}${prefix}`;
}
