import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import * as Either from 'fp-ts/lib/Either.js';
import {decodeRoutingConfig} from '../platform/routes.js';
import type {RoutingConfig} from '../src/routing/routes.js';
import {ROUTES, SERVICES} from './system.js';

const LIMITS = {
	'max-header-bytes': 16_384, 'max-body-bytes': 1_048_576, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
};
const CONFIG = {
	version: 7, routes: ROUTES, services: SERVICES, limits: LIMITS,
};
/** Longest delay of the runtime's timers. */
const MAX_TIMER_MS = (2 ** 31) - 1;

test('a configuration is rejected if its version is not a whole number that keeps its value', () => {
	const accepted = ['1.5', '-1', '1e400', '9007199254740993', '1e20', '"7"', 'null'].filter(version => Either.isRight(decodeRoutingConfig(replaceField('version', version))));
	assert.deepEqual(accepted, []);
	assert.ok(decodeOrUndefined({...CONFIG, version: Number.MAX_SAFE_INTEGER}));
});

test('a configuration is rejected if the type of a route is the name of a property that every object has', () => {
	const types = ['constructor', '__proto__', 'toString', 'hasOwnProperty'];
	assert.deepEqual(types.filter(type => decodeOrUndefined({...CONFIG, routes: [{...ROUTES[0], type}]})), []);
});

const SCALING = {
	min: 1, max: 53, 'boot-s': 4, 'spot-price': 0.18, 'zone-prices': {a: 1, b: 0.8, c: 1.25},
};

test('limits and prices of servers are read, and absent ones change nothing', () => {
	const readScaling = (scaling: unknown) => decodeOrUndefined({...CONFIG, services: SERVICES.map(service => ({...service, scaling}))})?.services.at(-1)?.scaling;
	assert.deepEqual(readScaling(SCALING), {
		min: 1, max: 53, bootMs: 4000, spotPrice: 0.18, zonePrices: new Map([['a', 1], ['b', 0.8], ['c', 1.25]]),
	});
	assert.deepEqual(readScaling({max: 3}), {
		min: 0, max: 3, bootMs: 4000, spotPrice: 1, zonePrices: new Map(),
	});
	for (const absent of [undefined, null]) {
		assert.ok(decodeOrUndefined({...CONFIG, services: SERVICES.map(service => ({...service, scaling: absent}))})?.services.every(service => !('scaling' in service)));
	}
});

// With limits that contradict each other or are no numbers, servers would be removed or ordered without bound.
test('a configuration is rejected if the limits or prices of servers make no sense', () => {
	const wrong = [
		[], 'x', {...SCALING, max: undefined}, {...SCALING, max: 0.5}, {...SCALING, max: -1}, {...SCALING, min: 54}, {...SCALING, min: '1'}, {...SCALING, 'boot-s': -1}, {...SCALING, 'spot-price': 'cheap'}, {...SCALING, 'zone-prices': [1]}, {...SCALING, 'zone-prices': {a: '1'}}, {...SCALING, 'zone-prices': {a: -1}},
	];
	assert.deepEqual(wrong.filter(scaling => decodeOrUndefined({...CONFIG, services: SERVICES.map(service => ({...service, scaling}))})), []);
});

// A timer beyond the range of the runtime's timers fires at once, so every request would be answered 504.
test('times of a configuration are within the range of timers', () => {
	const long = 1e300;
	const config = decodeOrUndefined({
		...CONFIG,
		routes: [{
			...ROUTES[0], 'timeout-ms': long, 'slo-ms': long, 'itl-target-ms': long,
		}],
		limits: {...LIMITS, 'header-timeout-ms': long, 'idle-timeout-ms': long},
	});
	const [{timeoutMs, objectiveMs, interTokenTargetMs}] = config!.routes as [RoutingConfig['routes'][0]];
	const {headerTimeoutMs, idleTimeoutMs} = config!.limits;
	for (const timeMs of [timeoutMs, objectiveMs, interTokenTargetMs, headerTimeoutMs, idleTimeoutMs]) {
		assert.ok(timeMs <= MAX_TIMER_MS);
	}
});

// Hosts send the priority to each other as an integer. With another number each placement would close the connection.
test('priorities of a configuration are whole numbers', () => {
	const readPriorities = (priority: number) => decodeOrUndefined({...CONFIG, routes: ROUTES.map(route => ({...route, priority}))})?.routes.map(route => route.priority);
	assert.deepEqual(readPriorities(0.5), [0, 0, 0, 0]);
	assert.deepEqual(readPriorities(2), [2, 2, 2, 2]);
});

test('a configuration with any value in any field is rejected or has numbers that hosts can use', () => {
	const anyValue = fc.oneof(fc.jsonValue(), fc.double(), fc.integer(), fc.constantFrom(-0, Number.MAX_VALUE, Number.MIN_VALUE, 2 ** 31, 2 ** 53, 2 ** 64, '__proto__', 'constructor'));
	const anyRoute = fc.tuple(fc.constantFrom(...Object.keys(ROUTES[2]!)), anyValue).map(([field, value]) => ({...CONFIG, routes: [{...ROUTES[2], [field]: value}]}));
	const anyLimit = fc.tuple(fc.constantFrom(...Object.keys(LIMITS)), anyValue).map(([field, value]) => ({...CONFIG, limits: {...LIMITS, [field]: value}}));
	const anyField = fc.tuple(fc.constantFrom(...Object.keys(CONFIG)), anyValue).map(([field, value]) => ({...CONFIG, [field]: value}));
	fc.assert(fc.property(fc.oneof(anyRoute, anyLimit, anyField), fields => {
		const config = decodeOrUndefined(fields);
		if (config === undefined) {
			return;
		}

		assert.ok(Number.isSafeInteger(config.version) && config.version >= 0);
		assert.ok(Object.values(config.limits).every(limit => limit >= 0));
		for (const route of config.routes) {
			assert.ok(['repeatable', 'once', 'stream'].includes(route.kind));
			assert.ok(Number.isSafeInteger(route.priority));
			assert.ok([route.timeoutMs, route.objectiveMs, route.interTokenTargetMs].every(timeMs => timeMs >= 0 && timeMs <= MAX_TIMER_MS));
		}
	}), {seed: 34, numRuns: 5000});
});

function decodeOrUndefined(fields: Readonly<Record<string, unknown>>): RoutingConfig | undefined {
	return Either.getOrElseW(() => undefined)(decodeRoutingConfig(JSON.stringify(fields)));
}

function replaceField(name: string, json: string): string {
	return JSON.stringify({...CONFIG, [name]: 'PLACEHOLDER'}).replace('"PLACEHOLDER"', json);
}
