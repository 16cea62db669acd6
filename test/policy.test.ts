import assert from 'node:assert/strict';
import {test} from 'node:test';
import {NaivePolicy, CarawayhoistPolicy} from '../bench/policy/policies.js';
import {simulate} from '../bench/policy/simulation.js';
import {formatTrace, generateTrace, parseTrace} from '../bench/policy/trace.js';
import {ROLE_PROFILES} from '../src/routing/roles.js';

test('a trace survives being written and read', () => {
	const trace = generateTrace('poison', 1);
	assert.deepEqual(parseTrace(formatTrace(trace)), trace);
});

for (const name of ['poison', 'crash'] as const) {
	test(`the stated outcome of the trace ${name} holds: engines lost, and every request answered or refused`, () => {
		for (const seed of [1, 2]) {
			const trace = generateTrace(name, seed);
			const result = simulate(trace, new CarawayhoistPolicy(ROLE_PROFILES.tallgrass, seed));
			assert.equal(result.enginesLost, trace.expect.enginesLost, `seed ${seed}`);
			assert.equal(result.unanswered, 0, `seed ${seed}`);
		}
	});
}

test('the same requests are all accounted for by the naive version too', () => {
	const result = simulate(generateTrace('poison', 1), new NaivePolicy());
	assert.equal(result.unanswered, 0);
	assert.ok(result.enginesLost > 2);
});
