import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fc from 'fast-check';
import * as Either from 'fp-ts/lib/Either.js';
import type {Problem} from '../src/base/problem.js';
import type {Announcement, CommandEntry, Message} from '../src/generated/types.js';
import {
	decodeCbor, encodeCbor, encodeFrame, FrameDecoder, LENGTH_PREFIX_BYTES,
} from '../src/wire/frame.js';

const SOUND: Announcement = {
	server: 's1', kind: 'plain', address: '10.0.0.1', port: 80, incarnation: 10, sequence: 1, services: ['a'], leaving: false,
};
const ODD: unknown[] = [
	{...SOUND, server: 'a\nb'}, {...SOUND, address: '999.1.1.1'}, {...SOUND, port: 70_000}, {...SOUND, sequence: Number.POSITIVE_INFINITY}, {...SOUND, incarnation: 2 ** 64}, {...SOUND, services: ['x'.repeat(2_000_000)]}, {...SOUND, unknown: nest(500)}, null, 5, [],
];

// Guards against logs whose entries keep the encoder's buffer, or the message that brought them, in memory: several times their size.
test('bytes that are encoded or decoded take only their own memory', () => {
	const entries = [0, 1].map(index => ({
		type: 'command' as const, index: index + 1, term: 1, data: encodeCbor({body: 'x'.repeat(1000 + (100_000 * index))}),
	}));
	const message: Message = {
		type: 'consensus', from: 'a', to: 'b', body: {
			type: 'append-request', term: 1, round: 1, previousIndex: 0, previousTerm: 0, commitIndex: 0, entries,
		},
	};
	const [received] = Either.getOrElse<Problem, Message[]>(() => [])(new FrameDecoder().push(encodeFrame(message)));
	assert.ok(received?.type === 'consensus' && received.body.type === 'append-request');
	const decoded = received.body.entries as CommandEntry[];
	assert.deepEqual(decoded.map(({data}) => decodeCbor(data)), entries.map(({data}) => decodeCbor(data)));
	for (const {data} of [...entries, ...decoded]) {
		assert.equal(data.buffer.byteLength, data.byteLength);
	}
});

// A host of another version may accept an entry that this one does not. Without the others, this host would follow no list.
test('a feed with statuses that cannot be read keeps the others', () => {
	const createFeed = (announcements: readonly unknown[]) => ({
		type: 'feed', host: 'c1', whole: true, hasQuorum: true, isWarm: true, version: 1, sightings: announcements.map(announcement => ({announcement, gone: false, silent: false})), members: [], entries: 1,
	});
	assert.deepEqual(pass(createFeed([...ODD, SOUND, ...ODD])), Either.right([createFeed([SOUND])]));
	assert.ok(Either.isLeft(pass({...createFeed([...ODD, SOUND]), members: [5]})));
});

test('a gossip message with facts that cannot be read keeps the others', () => {
	const createGossip = (facts: readonly unknown[]) => ({type: 'gossip', from: {host: 'h1', address: '10.0.0.2', port: 1}, facts});
	const fact = {type: 'server', announcement: SOUND};
	const odd = [...ODD.map(announcement => ({type: 'server', announcement})), {type: 'unknown'}, null, 5];
	assert.deepEqual(pass(createGossip([...odd, fact, ...odd])), Either.right([createGossip([fact])]));
});

// What follows inflates, writes or decodes these bytes and would throw.
test('a message with something else than bytes where bytes belong is rejected', () => {
	const configuration = {voters: [], outgoing: [], learners: []};
	const createMessages = (bytes: unknown) => [
		{type: 'relayData', id: 1, bytes},
		{
			type: 'relayRequest', id: 1, request: 'r', server: 's', service: 'a', method: 'GET', path: '/', headers: [], body: bytes,
		},
		{
			type: 'feed', host: 'c1', whole: true, hasQuorum: true, isWarm: true, version: 1, publication: bytes, sightings: [], members: [], entries: 1,
		},
		{
			type: 'consensus', from: 'a', to: 'b', body: {
				type: 'install-request', term: 1, round: 1, snapshot: {
					index: 1, term: 1, configuration, data: bytes,
				},
			},
		},
		{
			type: 'consensus', from: 'a', to: 'b', body: {
				type: 'append-request', term: 1, round: 1, previousIndex: 0, previousTerm: 0, commitIndex: 0, entries: [{
					type: 'command', index: 1, term: 1, data: bytes,
				}],
			},
		},
	];
	for (const message of createMessages(new Uint8Array([1]))) {
		assert.ok(Either.isRight(pass(message)), message.type);
	}

	const values: unknown[] = [5, 'text', [1], {length: 1}, null, true, new Date(0), new Map([[1, 2]]), 5n, nest(500)];
	for (const value of values) {
		for (const message of createMessages(value)) {
			assert.ok(Either.isLeft(pass(message)), `${message.type} ${String(value)}`);
		}
	}
});

test('bytes that are no message are rejected, whatever lengths, nesting and tags they have', () => {
	const nested = (byte: number) => [...Array.from({length: 100_000}, () => byte), 0x01];
	const bodies = [
		// Arrays, maps and tags in each other, then an array, a map, a text and bytes of 2^32 - 1 items.
		nested(0x81),
		nested(0xA1),
		nested(0xC1),
		[0x9A, 0xFF, 0xFF, 0xFF, 0xFF],
		[0xBA, 0xFF, 0xFF, 0xFF, 0xFF],
		[0x7A, 0xFF, 0xFF, 0xFF, 0xFF],
		[0x5A, 0xFF, 0xFF, 0xFF, 0xFF],
		[0x9B, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF],
		[0x9F],
		[0xBF],
		[0xFF],
		[],
		// A date, a reference without a target, a shared value that contains itself, a set, an object of a named type.
		[0xC1, 0xF9, 0x7E, 0x00],
		[0xD8, 0x1D, 0x05],
		[0xD8, 0x1C, 0x81, 0xD8, 0x1D, 0x00],
		[0xD9, 0x01, 0x02, 0x80],
		[0xD8, 0x1B, 0x82, 0x64, 0x65, 0x76, 0x61, 0x6C, 0x61, 0x31],
		// Undefined, NaN, infinity, 2^64 - 1.
		[0xF7],
		[0xF9, 0x7E, 0x00],
		[0xF9, 0x7C, 0x00],
		[0x1B, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF],
	];
	for (const body of bodies) {
		const frame = Buffer.concat([Buffer.alloc(LENGTH_PREFIX_BYTES), Buffer.from(body)]);
		frame.writeUInt32BE(body.length);
		assert.ok(Either.isLeft(new FrameDecoder().push(frame)), body.slice(0, 10).join(' '));
	}

	assert.ok(Either.isLeft(new FrameDecoder().push(Buffer.from([0xFF, 0xFF, 0xFF, 0xFF]))));
});

test('any bytes are rejected, are part of a message or are a message', () => {
	fc.assert(fc.property(fc.uint8Array({maxLength: 64}), body => {
		const frame = Buffer.concat([Buffer.alloc(LENGTH_PREFIX_BYTES), body]);
		frame.writeUInt32BE(body.length);
		const messages = new FrameDecoder().push(frame);
		assert.ok(Either.isLeft(messages) || messages.right.length === 1);
	}), {seed: 34, numRuns: 5000});
});

function pass(message: unknown): Either.Either<unknown, Message[]> {
	return new FrameDecoder().push(encodeFrame(message as Message));
}

function nest(depth: number): unknown {
	let value: unknown = [];
	for (let level = 1; level < depth; level++) {
		value = [value];
	}

	return value;
}
