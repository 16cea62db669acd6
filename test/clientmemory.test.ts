import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {BufferPool} from '../src/base/bufferpool.js';
import {createClientLimits} from '../src/wire/clientlimits.js';
import {ClientMemory, SMALL_BYTES, type MemoryShare} from '../src/wire/clientmemory.js';

const MIB = 1024 * 1024;

function open(memory: ClientMemory, evicted: string[], name: string, nowMs: number): MemoryShare {
	return memory.open({
		onEvict(reason) {
			evicted.push(`${name} ${reason}`);
		},
	}, nowMs);
}

// A body waits rather than being refused, since most bodies end soon.
test('a body that finds no memory waits until another one ends', () => {
	const memory = new ClientMemory(8 * MIB);
	const evicted: string[] = [];
	const first = open(memory, evicted, 'first', 0);
	assert.ok(first.tryReserve(4 * MIB, 0));
	const second = open(memory, evicted, 'second', 0);
	assert.equal(second.tryReserve(4 * MIB, 100), false);
	let hasMemory = false;
	second.waitFor(4 * MIB, 100, () => {
		hasMemory = true;
	});
	assert.equal(hasMemory, false);
	first.release(200);
	assert.deepEqual([hasMemory, evicted, memory.usedBytes], [true, [], 4 * MIB]);
});

// Bodies that stop short of their end kept others out for as long as their connections were open.
test('the slow client that holds most is refused for one that waits; one that moves or runs is not', () => {
	const memory = new ClientMemory(16 * MIB);
	const evicted: string[] = [];
	const shares = ['small', 'large', 'moving', 'running'].map(name => open(memory, evicted, name, 0));
	const [small, large, moving, running] = shares as [MemoryShare, MemoryShare, MemoryShare, MemoryShare];
	assert.ok(small.tryReserve(MIB, 0) && large.tryReserve(3 * MIB, 0) && moving.tryReserve(4 * MIB, 0) && running.tryReserve(4 * MIB, 0));
	running.isArriving = false;
	const next = open(memory, evicted, 'next', 0);
	assert.equal(next.tryReserve(2 * MIB, 500), false);
	moving.recordProgress(MIB, 1500);
	assert.ok(next.tryReserve(2 * MIB, 1500));
	assert.deepEqual(evicted, ['large slow']);
});

// Ordinary requests are small; they must not wait behind large bodies.
test('a small request uses the memory that large ones leave', () => {
	const memory = new ClientMemory(4 * MIB);
	const evicted: string[] = [];
	assert.ok(open(memory, evicted, 'large', 0).tryReserve(3 * MIB, 0));
	assert.equal(open(memory, evicted, 'other', 0).tryReserve(SMALL_BYTES + 1, 0), false);
	assert.ok(open(memory, evicted, 'small', 0).tryReserve(SMALL_BYTES, 0));
});

test('a request that waits too long for memory is refused', () => {
	const memory = new ClientMemory(8 * MIB);
	const evicted: string[] = [];
	const first = open(memory, evicted, 'first', 0);
	first.tryReserve(6 * MIB, 0);
	first.isArriving = false;
	open(memory, evicted, 'second', 0).waitFor(4 * MIB, 0, () => undefined);
	memory.check(4000);
	assert.deepEqual(evicted, []);
	memory.check(6000);
	assert.deepEqual([evicted, memory.waitingCount], [['second waited'], 0]);
});

test('a single request is served even if the published limit exceeds the memory', () => {
	assert.ok(open(new ClientMemory(MIB), [], 'only', 0).tryReserve(16 * MIB, 0));
});

// A share that is counted twice, or not given back, would shrink the memory until nobody is served.
test('memory in use is the sum of what is held, within the bound', () => {
	fc.assert(fc.property(fc.array(fc.record({
		share: fc.nat(9), action: fc.constantFrom('reserve', 'wait', 'shrink', 'release', 'move'), bytes: fc.nat(3 * MIB), afterMs: fc.nat(3000),
	}), {maxLength: 60}), steps => {
		const memory = new ClientMemory(8 * MIB);
		let nowMs = 0;
		const shares = Array.from({length: 10}, () => open(memory, [], '', 0));
		for (const {share: index, action, bytes, afterMs} of steps) {
			nowMs += afterMs;
			const share = shares[index]!;
			switch (action) {
				case 'reserve': {
					share.tryReserve(bytes, nowMs);

					break;
				}

				case 'wait': {
					share.waitFor(bytes, nowMs, () => undefined);

					break;
				}

				case 'shrink': {
					share.shrink(bytes, nowMs);

					break;
				}

				case 'move': {
					share.recordProgress(bytes, nowMs);

					break;
				}

				default: {
					share.release(nowMs);
					shares[index] = open(memory, [], '', nowMs);
				}
			}

			memory.check(nowMs);
			assert.equal(memory.usedBytes, shares.reduce((sum, {heldBytes}) => sum + heldBytes, 0));
			assert.ok(memory.usedBytes <= memory.maxBytes);
		}

		for (const share of shares) {
			share.release(nowMs);
		}

		assert.deepEqual([memory.usedBytes, memory.waitingCount], [0, 0]);
	}));
});

test('the bounds follow from the machine and leave descriptors for files, servers and hosts', () => {
	assert.deepEqual(createClientLimits({memoryBytes: 202e6, maxFds: 2069}), {
		requestBytes: 25_250_000, responseBytes: 50_500_000, connections: 934, auxiliaryConnections: 116,
	});
});

test('a pool returns buffers that were given back, within its bound', () => {
	const pool = new BufferPool(MIB);
	const buffer = pool.take(100_000);
	assert.equal(buffer.length, 131_072);
	pool.give(buffer);
	assert.equal(pool.take(131_072), buffer);
	assert.notEqual(pool.take(131_072), buffer);
	pool.give(pool.take(2 * MIB));
	assert.equal(pool.take(1000).length, 1000);
});
