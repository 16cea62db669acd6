import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PrefillQueue} from '../src/routing/queue.js';

test('a prompt waits for the running prompt and for waiting ones of at least its priority', () => {
	const queue = new PrefillQueue();
	queue.add('running', {workMs: 100, priority: 2}, 0);
	queue.add('waiting', {workMs: 200, priority: 2}, 10);
	queue.add('urgent', {workMs: 30, priority: 0}, 20);
	assert.equal(queue.waitMs(0, 40), 60 + 30);
	assert.equal(queue.waitMs(1, 40), 60 + 30);
	assert.equal(queue.waitMs(2, 40), 60 + 30 + 200);
	assert.equal(queue.countLowerPriority(1, 40), 1);
	// The urgent prompt starts at 100 ms and takes 30 ms.
	assert.equal(queue.waitMs(0, 110), 20);
});

test('reported completions correct the estimates', () => {
	const queue = new PrefillQueue();
	queue.add('a', {workMs: 100, priority: 0}, 0);
	queue.add('b', {workMs: 100, priority: 0}, 0);
	assert.deepEqual(queue.complete('a', 150), {
		busyMs: 150, totalMs: 150, wasQueued: false,
	});
	assert.equal(queue.waitMs(0, 150), 100);
	assert.deepEqual(queue.complete('b', 230), {
		busyMs: 80, totalMs: 230, wasQueued: true,
	});
	assert.equal(queue.waitMs(0, 230), 0);
});

test('removing a running prompt frees the rest of its time', () => {
	const queue = new PrefillQueue();
	queue.add('a', {workMs: 500, priority: 0}, 0);
	queue.add('b', {workMs: 50, priority: 0}, 0);
	queue.remove('a', 100);
	assert.equal(queue.waitMs(0, 100), 50);
	queue.remove('b', 120);
	assert.equal(queue.waitMs(0, 120), 0);
	assert.equal(queue.size, 0);
});

test('a prompt whose completion is not reported becomes overdue', () => {
	const queue = new PrefillQueue();
	queue.add('a', {workMs: 100, priority: 0}, 0);
	assert.equal(queue.overdueMs(100), 0);
	assert.equal(queue.overdueMs(400), 300);
	queue.complete('a', 400);
	assert.equal(queue.overdueMs(400), 0);
});

test('a completion that is reported earlier than expected resets the expected start of the other prompts', () => {
	const queue = new PrefillQueue();
	queue.add('long', {workMs: 300, priority: 2}, 0);
	queue.add('urgent', {workMs: 20, priority: 0}, 10);
	// The engine processed the urgent prompt first.
	queue.complete('urgent', 60);
	assert.equal(queue.waitMs(0, 100), 260);
	assert.equal(queue.waitMs(0, 360), 0);
});
