import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import path from 'node:path';
import {test} from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import {validate} from '../src/base/validate.js';
import {messageValidators} from '../src/generated/messages.js';

const ROOT = path.resolve(import.meta.dirname, '../..');

test('every message type of the schema has a validator', async () => {
	const schema = JSON.parse(await readFile(path.join(ROOT, 'schema/messages.json'), 'utf8')) as {oneOf: unknown[]};
	assert.equal(messageValidators.size, schema.oneOf.length);
});

test('messages without a known type are rejected', () => {
	const unknownType = Either.left([{pointer: '/type', text: 'must be the type of a message'}]);
	for (const value of [undefined, null, 5, 'hello', [], {}, {type: 5}, {type: 'unknown'}, {type: 'constructor'}]) {
		assert.deepEqual(validate('Message', value), unknownType);
	}
});

test('a message is validated by its type', () => {
	const message = {type: 'hello', id: 1};
	assert.deepEqual(validate('Message', message), Either.right(message));
	assert.deepEqual(validate('Message', {type: 'hello'}), Either.left([{pointer: '/id', text: 'is required'}]));
	assert.deepEqual(validate('Message', {type: 'hello', id: 1, extra: 2}), Either.left([{pointer: '/extra', text: 'is unknown'}]));
	assert.deepEqual(validate('Message', {type: 'hello', id: '1'}), Either.left([{pointer: '/id', text: 'must be integer'}]));
});

const PLATFORM_SETTINGS = {
	host: 'h1', dataCentre: 'a', role: 'entry', address: '10.0.0.1', peerPort: 7000, callers: '0.0.0.0:8080', readiness: '10.0.0.1:8081', seeds: ['10.0.0.2:9000'], firstStart: false, bounds: {
		graceMs: 8000, leaseMs: 1000, repeatRatio: 0.2, repeatWindowMs: 10_000, repeatAllowance: 3, announceMs: 400,
	},
};

// An address that cannot be read would be taken as a free port of the loopback interface.
test('settings with an address that no machine can have are rejected', () => {
	assert.ok(Either.isRight(validate('PlatformSettings', PLATFORM_SETTINGS)));
	for (const odd of ['999.1.1.1', '10.0.0', '010.0.0.1', '10.0.0.1.1']) {
		assert.ok(Either.isLeft(validate('PlatformSettings', {...PLATFORM_SETTINGS, address: odd})), odd);
		for (const socketAddress of [`${odd}:80`, '10.0.0.1:70000', '10.0.0.1:', '10.0.0.1:100000']) {
			assert.ok(Either.isLeft(validate('PlatformSettings', {...PLATFORM_SETTINGS, callers: socketAddress})), socketAddress);
			assert.ok(Either.isLeft(validate('PlatformSettings', {...PLATFORM_SETTINGS, seeds: [socketAddress]})), socketAddress);
		}
	}
});

test('settings and resources with infinite numbers are rejected', () => {
	const readInfinite = (text: string) => JSON.parse(text.replaceAll('"INFINITE"', '1e400')) as unknown;
	for (const name of Object.keys(PLATFORM_SETTINGS.bounds)) {
		const settings = {...PLATFORM_SETTINGS, bounds: {...PLATFORM_SETTINGS.bounds, [name]: 'INFINITE'}};
		assert.ok(Either.isLeft(validate('PlatformSettings', readInfinite(JSON.stringify(settings)))), name);
	}

	assert.ok(Either.isLeft(validate('PlatformSettings', readInfinite(JSON.stringify({...PLATFORM_SETTINGS, maxResponseBytes: 'INFINITE'})))));
	assert.ok(Either.isLeft(validate('Specification', readInfinite(JSON.stringify({kind: 'team', tokensInFlight: 'INFINITE'})))));
	assert.ok(Either.isLeft(validate('Specification', readInfinite(JSON.stringify({kind: 'policy', profile: 'tallgrass', changeWeight: 'INFINITE'})))));
});
