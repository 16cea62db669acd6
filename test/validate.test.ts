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
