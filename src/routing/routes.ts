/**
 * The routing configuration that operators publish (routes, services and limits) and the lookup of a request's route.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import {createProblem, type Problem} from '../base/problem.js';
import type {Random} from '../base/random.js';
import {findTeamError, TeamTable, type Team} from '../teams/table.js';

/**
 * Kinds of routes by what a failed request allows: `repeatable` requests may be retried, `once` requests may not if a
 * server may have run them, and a `stream` may be continued at another server if the route is resumable.
 */
export const ROUTE_KINDS = {repeatable: 'repeatable', once: 'once', stream: 'stream'} as const;
export type RouteKind = keyof typeof ROUTE_KINDS;

export type WeightedService = {
	readonly service: string;
	readonly weight: number;
};

export type Route = {
	readonly name: string;
	readonly host: string;
	/** Path prefix; begins and ends with a slash. */
	readonly prefix: string;
	readonly kind: RouteKind;
	/** Maximum duration of a request, milliseconds. */
	readonly timeoutMs: number;
	/** Latency objective for the response, or for the first event of a stream, milliseconds. */
	readonly objectiveMs: number;
	/** Maximum time between two events of a stream that still meets the target, milliseconds. */
	readonly interTokenTargetMs: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly targets: readonly WeightedService[];
	/** Maximum number of attempts per request; attempts that sent no byte do not count. */
	readonly maxAttempts: number;
	/** Whether a stream that broke off may be resumed at another server. */
	readonly isResumable: boolean;
	/** Whether requests need no key if the configuration has teams. */
	readonly isPublic: boolean;
};

/** Capacity of each engine of a service. */
export type EnginePool = {
	/** Maximum number of concurrent requests. */
	readonly slots: number;
	/** Capacity of the KV cache, tokens. */
	readonly kvTokens: number;
	readonly kvBytesPerToken: number;
	/** Bandwidth of the link over which engines transfer KV cache, megabits per second. */
	readonly linkMbps: number;
};

/** Limits and prices of a service whose number of servers is adapted to the demand. */
export type ScalingSpec = {
	/** Minimum and maximum number of servers per data centre, spot and on-demand servers together. */
	readonly min: number;
	readonly max: number;
	/** Time until a new server serves, milliseconds. */
	readonly bootMs: number;
	/** Price of a spot server as a share of the price of an on-demand server. */
	readonly spotPrice: number;
	/** Price of an on-demand server in each data centre; 1 in others. */
	readonly zonePrices: ReadonlyMap<string, number>;
};

export type ServiceSpec = {
	readonly name: string;
	/** Maximum number of connections that a server accepts from all hosts together. */
	readonly maxConnections: number;
	readonly engines?: EnginePool;
	readonly scaling?: ScalingSpec;
};

/** Limits on callers' requests and connections. */
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
	/** If there is a list, even an empty one, only requests with a key of a team are served, except on public routes. */
	readonly teams?: readonly Team[] | undefined;
};

/**
 * Validates references and uniqueness across a routing configuration.
 *
 * @example
 * ```ts
 * validateRoutingConfig(config); // Either.left: 'Route r-1 names the unknown service s-9.'
 * ```
 */
export function validateRoutingConfig(config: RoutingConfig): Either.Either<Problem, RoutingConfig> {
	const services = new Set(config.services.map(({name}) => name));
	const keys = new Set<string>();
	for (const route of config.routes) {
		const error = findRouteError(route, services, keys);
		if (error !== undefined) {
			return Either.left(createProblem('publicationInvalid', `Route ${route.name} ${error}.`));
		}

		keys.add(createRouteKey(route));
	}

	const teamError = findTeamError(config.teams ?? []);
	return teamError === undefined ? Either.right(config) : Either.left(createProblem('publicationInvalid', teamError));
}

/** Looks up routes by host and longest matching path prefix. */
export class RouteTable {
	readonly config: RoutingConfig;
	/** Undefined if the configuration has no teams. */
	readonly teams: TeamTable | undefined;
	readonly #byHost = new Map<string, Route[]>();
	readonly #services: ReadonlyMap<string, ServiceSpec>;

	constructor(config: RoutingConfig) {
		this.config = config;
		this.teams = config.teams && new TeamTable(config.teams);
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
	 * Finds the route of a request.
	 *
	 * @param host - Value of the host header, with or without a port.
	 * @param target - Request target; the query is ignored.
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
 * Selects one of a route's services at random, in proportion to their weights.
 *
 * @example
 * ```ts
 * chooseService(route, () => 0.95); // the second of two services that are weighted 90 to 10
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

function findRouteError(route: Route, services: ReadonlySet<string>, keys: ReadonlySet<string>): string | undefined {
	const unknown = route.targets.find(({service}) => !services.has(service));
	if (unknown) {
		return `names the unknown service ${unknown.service}`;
	}

	if (keys.has(createRouteKey(route))) {
		return `has the host and prefix of another: ${createRouteKey(route)}`;
	}

	if (route.targets.some(({weight}) => weight < 0) || route.targets.reduce((sum, {weight}) => sum + weight, 0) <= 0) {
		return 'has weights that add up to nothing';
	}

	return route.timeoutMs > 0 ? undefined : 'has no time-out';
}

function createRouteKey({host, prefix}: Route): string {
	return `${host.toLowerCase()}${prefix}`;
}
