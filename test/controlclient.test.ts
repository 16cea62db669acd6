import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import {findPort} from '../dev/ports.js';
import {createClock, sleep} from '../src/base/clock.js';
import {ControlClient} from '../src/control/client.js';
import type {Command, Message} from '../src/generated/types.js';
import {Listener, type Address, type Connection} from '../src/wire/connection.js';

const COMMAND: Command = {
	type: 'put', at: 0, requestId: 'r', name: 'current', seen: -1, specification: {kind: 'publication', version: 1, body: '{}'},
};
/** Longer than a client waits for a host of which it does not know whether it leads. */
const SLOW_REPLY_MS = 1500;
const DEADLINE_MS = 3000;

// Guards against a client that sends a large command again, and to other hosts, while its leader is alive but busy.
test('a request waits for a slow leader that is known to be alive, and is sent once', async t => {
	const leader = await startHost(t, async reply => {
		await sleep(SLOW_REPLY_MS);
		reply();
	});
	const other = await startHost(t, async () => undefined);
	const client = startClient(t, [leader.address, other.address], () => leader.address);
	assert.ok(Either.isRight(await client.propose(COMMAND, DEADLINE_MS)()));
	assert.equal(leader.received(), 1);
	assert.equal(other.received(), 0);
});

// Guards against a request that waits for a dead leader although its own host knows the next one.
test('a request that waits for a leader which was lost goes to the next one as soon as that is known', async t => {
	const lost = await startHost(t, async () => undefined);
	const next = await startHost(t, async reply => {
		reply();
	});
	let leader = lost.address;
	const client = startClient(t, [lost.address], () => leader);
	const startedMs = performance.now();
	const result = client.propose(COMMAND, DEADLINE_MS)();
	await sleep(200);
	leader = next.address;
	assert.ok(Either.isRight(await result));
	assert.ok(performance.now() - startedMs < 1000);
	assert.equal(next.received(), 1);
});

test('a command that is asked for at each try is the newest one at a retry', async t => {
	const versions: number[] = [];
	const leader = await startHost(t, async (reply, message) => {
		versions.push(message.type === 'propose' && message.command.type === 'put' ? message.command.at : -1);
		if (versions.length > 1) {
			reply();
		}
	});
	const client = startClient(t, [leader.address], () => undefined);
	let at = 0;
	assert.ok(Either.isRight(await client.proposeNewest(() => ({...COMMAND, at: ++at}), DEADLINE_MS)()));
	assert.deepEqual(versions, [1, 2]);
});

function startClient(t: TestContext, seeds: readonly Address[], findLeader: () => Address | undefined): ControlClient {
	const client = new ControlClient({
		seeds, clock: createClock(), findLeader, onViewPushed: () => undefined,
	});
	t.after(() => {
		client.close();
	});
	return client;
}

/** Starts a control host that handles each proposal with a function, which may reply. */
async function startHost(t: TestContext, handle: (reply: () => void, message: Message) => Promise<void>) {
	let received = 0;
	const listener = new Listener((message: Message, connection: Connection) => {
		if (message.type === 'propose') {
			received++;
			void handle(() => {
				connection.send({
					type: 'proposed', id: message.id, index: 1, outcome: {type: 'accepted', version: 1},
				});
			}, message);
		}
	});
	const address = {address: '127.0.0.1', port: await findPort()};
	assert.ok(Either.isRight(await listener.listen(address)));
	t.after(() => {
		listener.close();
	});
	return {address, received: () => received};
}
