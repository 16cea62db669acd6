import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRandom} from '../src/base/random.js';
import {ServiceRetryBudget} from '../src/routing/budget.js';

const LIMITS = {ratio: 0.2, allowance: 113, windowMs: 10_000};
const HOSTS = 13;

test('the retries of all hosts stay within the budget in every sliding window', () => {
	const random = createRandom(5);
	const hosts = Array.from({length: HOSTS}, () => new ServiceRetryBudget(LIMITS));
	const requests: number[] = [];
	const retries: number[] = [];
	for (const host of hosts) {
		host.setHostCount(HOSTS);
	}

	for (let nowMs = 0; nowMs < 40_000; nowMs += 10) {
		const host = hosts[Math.floor(random() * HOSTS)]!;
		// The load alternates between high and low; every request asks for two retries.
		if (random() < (nowMs % 15_000 < 5000 ? 0.8 : 0.1)) {
			host.recordRequest('svc', nowMs);
			requests.push(nowMs);
			for (let attempt = 0; attempt < 2; attempt++) {
				if (host.tryAcquire('svc', nowMs)) {
					retries.push(nowMs);
				}
			}
		}
	}

	assert.ok(retries.length > 0);
	for (let endMs = 0; endMs <= 40_000; endMs += 100) {
		const count = (times: number[]) => times.filter(atMs => atMs > endMs - LIMITS.windowMs && atMs <= endMs).length;
		assert.ok(count(retries) <= (count(requests) * LIMITS.ratio) + LIMITS.allowance, `window that ends at ${endMs} ms`);
	}
});

test('each service has its own budget', () => {
	const budget = new ServiceRetryBudget({ratio: 0, allowance: 2, windowMs: 1000});
	assert.equal(budget.tryAcquire('a', 0), true);
	assert.equal(budget.tryAcquire('a', 1), false);
	assert.equal(budget.tryAcquire('b', 1), true);
	assert.equal(budget.tryAcquire('a', 1001), true);
});

test('new limits apply immediately and to retries that were counted before', () => {
	const budget = new ServiceRetryBudget({ratio: 0, allowance: 8, windowMs: 1000});
	assert.equal(budget.tryAcquire('a', 0), true);
	assert.equal(budget.tryAcquire('a', 1), true);
	budget.updateLimits({ratio: 0, allowance: 4, windowMs: 1000});
	assert.equal(budget.tryAcquire('a', 2), false);
});
