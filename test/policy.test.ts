import assert from 'node:assert/strict';
import {test} from 'node:test';
import {NaivePolicy, CarawayhoistPolicy} from '../bench/policy/policies.js';
import {simulate} from '../bench/policy/simulation.js';
import {formatTrace, generateTrace, parseTrace} from '../bench/policy/trace.js';
import {ROLE_PROFILES} from '../src/routing/roles.js';

test('parsing a formatted trace returns the same trace', () => {
	const trace = generateTrace('poison', 1);
	assert.deepEqual(parseTrace(formatTrace(trace)), trace);
});

for (const name of ['poison', 'crash'] as const) {
	test(`trace ${name} loses the expected number of engines, and every request is completed or refused`, () => {
		for (const seed of [1, 2]) {
			const trace = generateTrace(name, seed);
			const result = simulate(trace, new CarawayhoistPolicy(ROLE_PROFILES.tallgrass, seed));
			assert.equal(result.enginesLost, trace.expect.enginesLost, `seed ${seed}`);
			assert.equal(result.unanswered, 0, `seed ${seed}`);
		}
	});
}

test('the naive policy loses more engines to poison, and every request is completed or refused', () => {
	const result = simulate(generateTrace('poison', 1), new NaivePolicy());
	assert.equal(result.unanswered, 0);
	assert.ok(result.enginesLost > 2);
});
