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
