import assert from 'node:assert/strict';
import type {IncomingMessage} from 'node:http';
import process from 'node:process';
import {test} from 'node:test';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import * as Either from 'fp-ts/lib/Either.js';
import {PlatformProtocol} from '../platform/protocol.js';
import {startSystem} from './system.js';

const ID_BYTES = 7000;
const STREAMS = 1500;
/** The IDs themselves; what hosts keep of each must be a small part of it. */
const MAX_GROWTH_BYTES = STREAMS * ID_BYTES;

test('requests are named by their ID between hosts, and by its hash if it is long', () => {
	assert.equal(parseHead({'carawayhoist-attempt-id': 'a', resumes: 'b'}).key, 'a');
	assert.equal(parseHead({'carawayhoist-attempt-id': 'a', resumes: 'b'}).resumedAttempt, 'b');
	const [first, second] = ['x', 'y'].map(letter => letter.repeat(ID_BYTES));
	const {id, key, resumedAttempt} = parseHead({'carawayhoist-attempt-id': first!, resumes: first!});
	assert.equal(id, first);
	assert.ok(key.length <= 64);
	assert.equal(resumedAttempt, key);
	assert.notEqual(parseHead({'carawayhoist-attempt-id': second!}).key, key);
});

// Guards against control and entry hosts that run out of memory for the IDs of streams, which callers choose and hosts keep for a minute.
test('what hosts keep of streams does not grow with the length of their IDs', async t => {
	const system = await startSystem(t, ['e1', 'e2'].map(id => ({id, service: 'llm', stage: 'decode' as const})));
	const send = async (index: number) => {
		const {status} = await system.call(`/ask/${index}`, {
			'carawayhoist-attempt-id': `${index}-`.padEnd(ID_BYTES, 'x'), 'carawayhoist-model': 'm', 'carawayhoist-token-counts': '30,80', 'carawayhoist-prompt-prefix': 'shared:10,own:20',
		}, 'prompt');
		assert.equal(status, 200);
	};

	for (let index = 0; index < 50; index++) {
		await send(index);
	}

	const before = readHeapBytes(system);
	for (let index = 100; index < 100 + STREAMS; index++) {
		await send(index);
		if (index % 100 === 0) {
			await system.announceServers();
		}
	}

	const growth = readHeapBytes(system) - before;
	assert.ok(growth < MAX_GROWTH_BYTES, `${growth} bytes`);
});

function parseHead(headers: Record<string, string>) {
	const head = new PlatformProtocol().parseRequest({headers} as unknown as IncomingMessage);
	assert.ok(Either.isRight(head));
	return head.right;
}

/** Reads the bytes in use, without what the test itself records. */
function readHeapBytes({servers, entryLines}: Awaited<ReturnType<typeof startSystem>>): number {
	for (const {receivedRequests} of servers) {
		receivedRequests.length = 0;
	}

	entryLines.length = 0;
	setFlagsFromString('--expose-gc');
	(runInNewContext('gc') as () => void)();
	return process.memoryUsage().heapUsed;
}
