import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import {decodeRoutingConfig} from '../platform/routes.js';
import type {RoutingConfig} from '../src/routing/routes.js';
import {ROUTES, SERVICES} from './system.js';

const CONFIG = {version: 7, routes: ROUTES, services: SERVICES};

test('a configuration is rejected if its version is not a whole number that keeps its value', () => {
	const accepted = ['1.5', '-1', '1e400', '9007199254740993', '1e20', '"7"', 'null'].filter(version => Either.isRight(decodeRoutingConfig(replaceField('version', version))));
	assert.deepEqual(accepted, []);
	assert.ok(decodeOrUndefined({...CONFIG, version: Number.MAX_SAFE_INTEGER}));
});

test('a configuration is rejected if the type of a route is the name of a property that every object has', () => {
	const types = ['constructor', '__proto__', 'toString', 'hasOwnProperty'];
	assert.deepEqual(types.filter(type => decodeOrUndefined({...CONFIG, routes: [{...ROUTES[0], type}]})), []);
});

function decodeOrUndefined(fields: Readonly<Record<string, unknown>>): RoutingConfig | undefined {
	return Either.getOrElseW(() => undefined)(decodeRoutingConfig(JSON.stringify(fields)));
}

function replaceField(name: string, json: string): string {
	return JSON.stringify({...CONFIG, [name]: 'PLACEHOLDER'}).replace('"PLACEHOLDER"', json);
}
