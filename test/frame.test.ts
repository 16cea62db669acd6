import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import type {Announcement, Message} from '../src/generated/types.js';
import {encodeFrame, FrameDecoder} from '../src/wire/frame.js';

const SOUND: Announcement = {
	server: 's1', kind: 'plain', address: '10.0.0.1', port: 80, incarnation: 10, sequence: 1, services: ['a'], leaving: false,
};
const ODD: unknown[] = [
	{...SOUND, server: 'a\nb'}, {...SOUND, address: '999.1.1.1'}, {...SOUND, port: 70_000}, {...SOUND, sequence: Number.POSITIVE_INFINITY}, {...SOUND, incarnation: 2 ** 64}, {...SOUND, services: ['x'.repeat(2_000_000)]}, {...SOUND, unknown: nest(500)}, null, 5, [],
];

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
