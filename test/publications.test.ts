import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import {createProblem, type Problem} from '../src/base/problem.js';
import {PendingPublication, PublicationQueue} from '../src/control/publications.js';
import type {PutCommand} from '../src/generated/types.js';

/** A try to send the newest publication. */
type Proposal = {
	readonly getCommand: () => PutCommand;
	/** The version that the first try sent. */
	readonly version: number;
	readonly settle: (result: Either.Either<Problem, unknown>) => void;
};

// Guards against a leader that is sent, and replicates, hundreds of configurations of which only the newest has an effect.
test('of the publications that arrive while one is sent, only the newest is sent, and all are acknowledged with it', async () => {
	const {queue, proposals} = createQueue();
	const first = queue.publish(createPublication(1));
	const later = [2, 4, 3].map(async version => queue.publish(createPublication(version)));
	assert.equal(proposals.length, 1);
	assert.equal(proposals[0]!.version, 1);
	proposals[0]!.settle(Either.right(undefined));
	assert.ok(Either.isRight(await first));
	await new Promise(setImmediate);
	assert.equal(proposals.length, 2);
	assert.equal(proposals[1]!.version, 4);
	proposals[1]!.settle(Either.right(undefined));
	assert.ok((await Promise.all(later)).every(result => Either.isRight(result)));
});

// Guards against a retry that carries a configuration which a newer one has overtaken meanwhile.
test('a retry carries the newest publication', async () => {
	const {queue, proposals} = createQueue();
	const results = [queue.publish(createPublication(1)), queue.publish(createPublication(2))];
	assert.equal(proposals[0]!.version, 1);
	assert.equal(readVersion(proposals[0]!.getCommand()), 2);
	proposals[0]!.settle(Either.right(undefined));
	assert.ok((await Promise.all(results)).every(result => Either.isRight(result)));
	assert.equal(proposals.length, 1);
});

test('a publication that is not committed in time is answered with an unknown outcome, and the next one is sent', async () => {
	const {queue, proposals} = createQueue(20);
	const first = await queue.publish(createPublication(1));
	assert.ok(Either.isLeft(first) && first.left.name === 'proposalUnknown');
	const second = queue.publish(createPublication(2));
	proposals[0]!.settle(Either.left(createProblem('proposalUnknown')));
	await new Promise(setImmediate);
	assert.equal(proposals[1]!.version, 2);
	proposals[1]!.settle(Either.right(undefined));
	assert.ok(Either.isRight(await second));
});

// Guards against a host that keeps every configuration that operators send while the leader does not respond.
test('publications that wait are bounded in bytes; further ones are refused at once as not run, and a large one is sent alone', async () => {
	const {queue, proposals} = createQueue(1000, 100);
	const waiting = queue.publish(createPublication(1, 150));
	const refused = await queue.publish(createPublication(2, 10));
	assert.ok(Either.isLeft(refused) && refused.left.name === 'logBusy' && refused.left.outcome === 'not-run');
	proposals[0]!.settle(Either.right(undefined));
	assert.ok(Either.isRight(await waiting));
	const accepted = queue.publish(createPublication(3, 10));
	await new Promise(setImmediate);
	assert.equal(proposals[1]!.version, 3);
	proposals[1]!.settle(Either.right(undefined));
	assert.ok(Either.isRight(await accepted));
});

// Guards against a leader that appends a configuration again because its client has sent it again.
test('a publication on its way at the leader is found by its own and by lower versions until its result is known', async () => {
	const pending = new PendingPublication<string>();
	let settle: (result: string) => void = () => undefined;
	const tracked = pending.track(7, new Promise(resolve => {
		settle = resolve;
	}));
	assert.equal(pending.findResult(8), undefined);
	const joined = [pending.findResult(7)!, pending.findResult(3)!];
	settle('committed');
	assert.equal(await tracked, 'committed');
	assert.deepEqual(await Promise.all(joined), ['committed', 'committed']);
	assert.equal(pending.findResult(7), undefined);
});

function createQueue(timeoutMs = 1000, maxWaitingBytes = 1e6) {
	const proposals: Proposal[] = [];
	const queue = new PublicationQueue({
		propose: getCommand => async () => new Promise(resolve => {
			proposals.push({getCommand, version: readVersion(getCommand()), settle: resolve});
		}),
		wallMs: () => 0,
		timeoutMs,
		maxWaitingBytes,
	});
	return {queue, proposals};
}

function createPublication(version: number, bytes = 20) {
	return {kind: 'publication', version, body: 'x'.repeat(bytes)} as const;
}

function readVersion({specification}: PutCommand): number {
	assert.ok(specification.kind === 'publication');
	return specification.version;
}
