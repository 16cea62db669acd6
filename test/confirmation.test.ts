// Guards against removed keys that a host accepts because it has not read the newer configuration yet: after a standstill, or after
// a start at which a control host without a majority sent an old one.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {sleep} from '../src/base/clock.js';
import {ConfigurationConfirmation} from '../src/teams/confirmation.js';

/** Creates a confirmation whose clock the test moves, and a function that tells whether a request has to wait. */
function start(t: {after(handler: () => void): void}) {
	const time = {ms: 0};
	const confirmation = new ConfigurationConfirmation({monotonicMs: () => time.ms, wallMs: () => time.ms});
	t.after(() => {
		confirmation.close();
	});
	const mustWait = async () => {
		let isReleased = false;
		const wait = (async () => {
			await confirmation.wait();
			isReleased = true;
		})();
		await sleep(0);
		return {isWaiting: !isReleased, wait};
	};

	return {time, confirmation, mustWait};
}

test('a host that has not stood still does not wait, however long it hears from no control host', async t => {
	const {time, mustWait} = start(t);
	for (let step = 0; step < 10; step++) {
		time.ms += 1500;
		assert.equal((await mustWait()).isWaiting, false);
	}
});

test('after a standstill requests wait for a feed that was sent after it, from a control host that is current', async t => {
	const {time, confirmation, mustWait} = start(t);
	time.ms += 2500;
	const {isWaiting, wait} = await mustWait();
	assert.ok(isWaiting);
	// Sent during the standstill.
	confirmation.recordFeed(true);
	assert.ok((await mustWait()).isWaiting);
	time.ms += 30;
	confirmation.recordFeed(false);
	assert.ok((await mustWait()).isWaiting);
	confirmation.recordFeed(true);
	await wait;
	assert.equal((await mustWait()).isWaiting, false);
});

test('a feed that is read before any request does not hide the standstill', async t => {
	const {time, confirmation, mustWait} = start(t);
	time.ms += 2500;
	confirmation.recordFeed(true);
	assert.ok((await mustWait()).isWaiting);
});

test('a host that stays without contact after a standstill serves again', async t => {
	const {time, mustWait} = start(t);
	time.ms += 2500;
	const {wait} = await mustWait();
	await wait;
	time.ms += 1000;
	assert.equal((await mustWait()).isWaiting, false);
});

test('the first configuration is confirmed by a control host with a majority, or by time', t => {
	const first = start(t);
	assert.equal(first.confirmation.isFirstAwaited, false);
	first.confirmation.startFirst();
	first.confirmation.recordFeed(false);
	assert.ok(first.confirmation.isFirstAwaited);
	first.confirmation.recordFeed(true);
	assert.equal(first.confirmation.isFirstAwaited, false);
	const second = start(t);
	second.confirmation.startFirst();
	second.time.ms += 1500;
	assert.ok(second.confirmation.isFirstAwaited);
	second.time.ms += 1500;
	assert.equal(second.confirmation.isFirstAwaited, false);
});
