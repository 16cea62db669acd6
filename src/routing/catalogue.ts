/**
 * Routes, services and limits as operators publish them, and the choice of a route for a request.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import {createProblem, type Problem} from '../base/problem.js';
import type {Random} from '../base/random.js';

/** What may be done again with a request: anything, nothing, or (a stream) as the route says. */
export const REPEATS = {repeatable: 'repeatable', once: 'once', stream: 'stream'} as const;
export type Repeat = keyof typeof REPEATS;

export type WeightedService = {
	readonly service: string;
	readonly weight: number;
};

export type Rule = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly repeat: Repeat;
	/** Longest time that a caller is kept, milliseconds. */
	readonly timeoutMs: number;
	/** Time within which an answer (of a stream: its first event) is worth most, milliseconds. */
	readonly objectiveMs: number;
	/** Longest pause between events that is still on time, milliseconds. */
	readonly gapMs: number;
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

export type Catalogue = {
	readonly version: number;
	readonly rules: readonly Rule[];
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
export function checkCatalogue(catalogue: Catalogue): Either.Either<Problem, Catalogue> {
	const services = new Set(catalogue.services.map(({name}) => name));
	const places = new Set<string>();
	for (const rule of catalogue.rules) {
		const fault = findRuleFault(rule, services, places);
		if (fault !== undefined) {
			return Either.left(createProblem('publicationInvalid', `Route ${rule.name} ${fault}.`));
		}

		places.add(placeOf(rule));
	}

	return Either.right(catalogue);
}

/** Finds routes by host and longest prefix. */
export class RuleTable {
	readonly catalogue: Catalogue;
	readonly #byHost = new Map<string, Rule[]>();
	readonly #services: ReadonlyMap<string, ServiceSpec>;

	constructor(catalogue: Catalogue) {
		this.catalogue = catalogue;
		this.#services = new Map(catalogue.services.map(service => [service.name, service]));
		for (const rule of catalogue.rules) {
			const host = rule.host.toLowerCase();
			this.#byHost.set(host, [...this.#byHost.get(host) ?? [], rule]);
		}

		for (const rules of this.#byHost.values()) {
			rules.sort((a, b) => b.prefix.length - a.prefix.length);
		}
	}

	/**
	 * Finds the rule for a request.
	 *
	 * @param host - As in the host header, with or without a port.
	 * @param target - Request target; a query is ignored.
	 */
	match(host: string, target: string): Rule | undefined {
		const path = target.split('?', 1)[0]!;
		const name = host.toLowerCase().replace(/:\d+$/v, '');
		return this.#byHost.get(name)?.find(rule => path.startsWith(rule.prefix));
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
export function chooseService(rule: Rule, random: Random): string {
	const total = rule.targets.reduce((sum, {weight}) => sum + weight, 0);
	let point = random() * total;
	for (const {service, weight} of rule.targets) {
		point -= weight;
		if (point < 0) {
			return service;
		}
	}

	return rule.targets.findLast(({weight}) => weight > 0)?.service ?? '';
}

function findRuleFault(rule: Rule, services: ReadonlySet<string>, places: ReadonlySet<string>): string | undefined {
	const unknown = rule.targets.find(({service}) => !services.has(service));
	if (unknown) {
		return `names the unknown service ${unknown.service}`;
	}

	if (places.has(placeOf(rule))) {
		return `has the host and prefix of another: ${placeOf(rule)}`;
	}

	if (rule.targets.some(({weight}) => weight < 0) || rule.targets.reduce((sum, {weight}) => sum + weight, 0) <= 0) {
		return 'has weights that add up to nothing';
	}

	return rule.timeoutMs > 0 ? undefined : 'has no time-out';
}

function placeOf({host, prefix}: Rule): string {
	return `${host.toLowerCase()}${prefix}`;
}
