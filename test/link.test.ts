import assert from 'node:assert/strict';
import net from 'node:net';
import {test, type TestContext} from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import {findPort} from '../dev/ports.js';
import {createClock, sleep} from '../src/base/clock.js';
import {PeerLink, type PeerLinkOptions} from '../src/consensus/link.js';
import type {Channel} from '../src/consensus/effects.js';
import type {ConsensusBody, ConsensusMessage, Member} from '../src/generated/types.js';
import {Listener} from '../src/wire/connection.js';

const SILENCE_MS = 100;
const HEARTBEAT_MS = 20;
const MAX_BUFFERED_BYTES = 1_000_000;
const MESSAGE_BYTES = 100_000;
const HEARTBEAT: ConsensusBody = {
	type: 'append-request', term: 1, round: 1, previousIndex: 0, previousTerm: 0, commitIndex: 0, entries: [],
};
const ENTRIES: ConsensusBody = {...HEARTBEAT, entries: [{type: 'noop', index: 1, term: 1}]};
const REPLY: ConsensusBody = {
	type: 'append-reply', term: 1, round: 1, success: true, matchIndex: 0,
};

// Guards against a connection that is replaced, with all that is on its way, because its peer is slow.
test('the log channel of a peer that answers nothing is kept: another connection would not help', async t => {
	const link = await startLink(t, () => false);
	await link.run(SILENCE_MS * 8);
	assert.ok(link.replaced.length > 0);
	assert.ok(link.replaced.every(channel => channel === 'liveness'));
});

test('the log channel of a peer that answers what it gets is kept', async t => {
	const link = await startLink(t, () => true);
	await link.run(SILENCE_MS * 8);
	assert.deepEqual(link.replaced, []);
	assert.equal(link.closedCount(), 0);
});

// Guards against a log channel that is dead without having been closed, and against one that is replaced again and again.
test('the log channel is replaced if only heartbeats are answered, each time after twice the time', async t => {
	const link = await startLink(t, body => body.type === 'append-request' && body.entries.length === 0);
	await link.run(SILENCE_MS * 12);
	const count = link.replaced.filter(channel => channel === 'log').length;
	assert.ok(count >= 1 && count <= 3, `${count} replacements`);
	assert.equal(link.closedCount(), count);
	assert.ok(link.replaced.every(channel => channel === 'log'));
});

// Guards against a connection that is replaced at its first use after a pause, because its last reply came on the other channel.
test('an idle log channel is kept once the peer has acknowledged everything', async t => {
	const link = await startLink(t, body => body.type === 'append-request' && body.entries.length === 0);
	link.sendEntries();
	link.recordAcknowledged();
	await link.run(SILENCE_MS * 3, {entries: false});
	link.sendEntries();
	assert.deepEqual(link.replaced, []);
});

// Guards against a leader that buffers every snapshot and request for a peer that does not read.
test('a log channel buffers little more than its limit for a peer that does not read', async t => {
	const server = net.createServer(socket => {
		socket.pause();
		t.after(() => socket.destroy());
	});
	const port = await findPort();
	await new Promise<void>(resolve => {
		server.listen(port, '127.0.0.1', resolve);
	});
	t.after(() => server.close());
	const link = createLink(port);
	t.after(() => {
		link.close();
	});
	const entries: ConsensusBody = {
		...HEARTBEAT, entries: [{
			type: 'command', index: 1, term: 1, data: new Uint8Array(MESSAGE_BYTES),
		}],
	};
	for (let count = 0; count < 200; count++) {
		link.send('log', createMessage(entries));
		await sleep(1);
	}

	assert.ok(link.logBufferedBytes > MAX_BUFFERED_BYTES / 2, `${link.logBufferedBytes}`);
	assert.ok(link.logBufferedBytes < MAX_BUFFERED_BYTES + (MESSAGE_BYTES * 1.1), `${link.logBufferedBytes}`);
});

/** Starts a link to a peer that answers the messages that are chosen. */
async function startLink(t: TestContext, isAnswered: (body: ConsensusBody) => boolean) {
	const peer: Member = {
		replica: 'b', host: 'b', address: '127.0.0.1', port: await findPort(),
	};
	const listener = new Listener((message, connection) => {
		if (message.type === 'consensus' && isAnswered(message.body)) {
			connection.send({
				type: 'consensus', from: 'b', to: 'a', body: REPLY,
			});
		}
	});
	assert.ok(Either.isRight(await listener.listen(peer)));
	const replaced: Channel[] = [];
	let closedCount = 0;
	const link = createLink(peer.port, {
		onLogChannelClosed() {
			closedCount++;
		},
		onReplaced(channel) {
			replaced.push(channel);
		},
	});
	t.after(() => {
		link.close();
		listener.close();
	});
	const sendEntries = () => {
		link.send('log', createMessage(ENTRIES));
	};

	return {
		replaced,
		closedCount: () => closedCount,
		sendEntries,
		recordAcknowledged() {
			link.recordAcknowledged();
		},
		async run(durationMs: number, {entries = true} = {}) {
			const untilMs = performance.now() + durationMs;
			while (performance.now() < untilMs) {
				link.send('liveness', createMessage(HEARTBEAT));
				if (entries) {
					sendEntries();
				}

				await sleep(HEARTBEAT_MS);
			}

			await sleep(HEARTBEAT_MS);
		},
	};
}

function createLink(port: number, handlers: Partial<Pick<PeerLinkOptions, 'onLogChannelClosed' | 'onReplaced'>> = {}): PeerLink {
	return new PeerLink({
		peer: {
			replica: 'b', host: 'b', address: '127.0.0.1', port,
		},
		clock: createClock(),
		silenceMs: SILENCE_MS,
		maxBufferedBytes: MAX_BUFFERED_BYTES,
		onMessage: () => undefined,
		onLogChannelClosed: () => undefined,
		onReplaced: () => undefined,
		...handlers,
	});
}

function createMessage(body: ConsensusBody): ConsensusMessage {
	return {
		type: 'consensus', from: 'a', to: 'b', body,
	};
}
