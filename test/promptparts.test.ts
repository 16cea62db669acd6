import assert from 'node:assert/strict';
import type {IncomingMessage} from 'node:http';
import process from 'node:process';
import {test} from 'node:test';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import * as Either from 'fp-ts/lib/Either.js';
import {PlatformProtocol} from '../platform/protocol.js';
import {KvCacheModel} from '../src/routing/kvcache.js';
import {Scheduler} from '../src/routing/scheduler.js';
import {hashPart} from '../src/routing/suspects.js';
import {createEngine, createRequest} from './pool.js';

/** Parts in a head of legal size, each in a line of its own. */
const PARTS_PER_HEAD = 430;
const ENGINES = 8;
const REQUESTS = 4000;
const REQUEST_MS = 50;
/** Half of the heap of a control host, which has other uses for the rest. */
const MAX_HEAP_BYTES = 180e6 / 2;

// Guards against processes that run out of memory for prompts of many parts: the caches of engines were bounded in tokens only, and parts may
// have one token or none.
test('a scheduler bounds what it remembers of prompts of very many parts', () => {
	const protocol = new PlatformProtocol();
	const scheduler = new Scheduler();
	scheduler.updateEngines(Array.from({length: ENGINES}, (_, index) => createEngine(`e${index}`, 'decode')));
	let nowMs = 0;
	for (const [tokens, round] of [[1, 'a'], [0, 'b']] as const) {
		for (let index = 0; index < REQUESTS; index++) {
			const id = `${round}${index}`;
			const {parts} = parsePrompt(protocol, Array.from({length: PARTS_PER_HEAD}, (_, part) => `${id}-${part}:${tokens}`).join(', '));
			const decision = scheduler.place(createRequest(id, 1460, {parts}), nowMs);
			assert.equal(decision.type, 'assignment');
			nowMs += REQUEST_MS;
			scheduler.recordMilestone(id, 'first', {}, nowMs);
			scheduler.recordMilestone(id, 'done', {}, nowMs);
		}
	}

	const heapBytes = readHeapBytes();
	assert.ok(heapBytes < MAX_HEAP_BYTES, `${heapBytes} bytes`);
	assert.ok([...scheduler.engines].every(({cacheBelief}) => cacheBelief.partCount <= 262_144 / ENGINES));
});

test('the cache model evicts parts without tokens by their number, the least recently used first', () => {
	const cache = new KvCacheModel();
	cache.maxParts = 2;
	cache.record([{key: 'a', tokens: 0}, {key: 'b', tokens: 0}], 100);
	cache.record([{key: 'a', tokens: 0}, {key: 'c', tokens: 5}], 100);
	assert.deepEqual([cache.size, cache.tokens, cache.has('a'), cache.has('b'), cache.has('c')], [2, 5, true, false, true]);
});

// The tokens must stay right, since prefills are estimated by them.
test('of a prompt of very many parts the first ones can be shared, and all tokens are counted', () => {
	const entries = Array.from({length: PARTS_PER_HEAD}, (_, index) => `${index.toString(16)}:3`);
	const {parts} = parsePrompt(new PlatformProtocol(), entries.join(', '));
	assert.deepEqual(parts.slice(0, 3), [{key: '0', tokens: 3}, {key: '1', tokens: 3}, {key: '2', tokens: 3}]);
	assert.ok(parts.length < 100);
	assert.equal(parts.reduce((sum, {tokens}) => sum + tokens, 0), PARTS_PER_HEAD * 3);
});

// Guards against a part that crashes servers and is never found, because the parser skips it or takes it for the request's own.
test('all parts but the last one are known by their hashes, those without tokens or a key too', () => {
	const shared = Array.from({length: PARTS_PER_HEAD}, (_, index) => `${index}`);
	const parse = (text: string) => {
		const head = new PlatformProtocol().parseRequest({headers: {'carawayhoist-attempt-id': 'id', 'carawayhoist-prompt-prefix': text}} as unknown as IncomingMessage);
		assert.ok(Either.isRight(head));
		return head.right.sharedParts;
	};

	assert.deepEqual(parse([...shared.map(key => `${key}:3`), 'own:1'].join(',')), shared.map(key => hashPart(key)));
	assert.deepEqual(parse('a:1,b,c:x,:4,d:5:6,own:none,'), ['a', 'b', 'c', '', 'd'].map(key => hashPart(key)));
	assert.deepEqual(parse(''), []);
});

// Guards against a host that keeps whole headers for the keys of parts in them.
test('a long key of a part is shortened, and different ones stay different', () => {
	const [first, second, same] = ['x', 'y', 'x'].map(letter => parsePrompt(new PlatformProtocol(), `${letter.repeat(15_000)}:10, ab:20`).parts);
	assert.ok(first![0]!.key.length < 100);
	assert.notEqual(first![0]!.key, second![0]!.key);
	assert.deepEqual(first, same);
	assert.deepEqual(first![1], {key: 'ab', tokens: 20});
});

function parsePrompt(protocol: PlatformProtocol, parts: string) {
	const headers = {
		'carawayhoist-attempt-id': 'id', 'carawayhoist-model': 'm', 'carawayhoist-token-counts': '1460,80', 'carawayhoist-prompt-prefix': parts,
	};
	const head = protocol.parseRequest({headers} as unknown as IncomingMessage);
	assert.ok(Either.isRight(head) && head.right.prompt);
	return head.right.prompt;
}

function readHeapBytes(): number {
	setFlagsFromString('--expose-gc');
	(runInNewContext('gc') as () => void)();
	return process.memoryUsage().heapUsed;
}
