import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Ledger, LEDGER_RETENTION_MS} from '../src/control/ledger.js';
import type {ClaimCommand, SettleCommand} from '../src/generated/types.js';

test('a key is granted once, and a resent request gets the stored response', () => {
	const ledger = new Ledger();
	assert.equal(ledger.claim(createClaim('a/1')).state, 'granted');
	assert.equal(ledger.claim(createClaim('b/1')).state, 'in-flight');
	const answer = {status: 200, contentType: 'text/plain', body: new Uint8Array([1])};
	ledger.settle({...createSettle('a/1', 'done'), answer});
	assert.deepEqual(ledger.claim(createClaim('b/2')), {
		type: 'ledger', state: 'done', attempt: 'a/1', host: 'a', answer,
	});
});

test('a resent claim of the same attempt is granted again, in case the first reply was lost', () => {
	const ledger = new Ledger();
	assert.equal(ledger.claim(createClaim('a/1')).state, 'granted');
	assert.equal(ledger.claim(createClaim('a/1')).state, 'granted');
});

test('a key that is reused for a different request is refused', () => {
	const ledger = new Ledger();
	ledger.claim(createClaim('a/1'));
	assert.equal(ledger.claim({...createClaim('a/2'), fingerprint: 'other'}).state, 'reused');
});

test('a key that did not run may be claimed again, but not by the attempt that gave it up', () => {
	const ledger = new Ledger();
	ledger.claim(createClaim('a/1'));
	ledger.settle(createSettle('a/1', 'not-run'));
	assert.equal(ledger.claim(createClaim('a/1')).state, 'not-run');
	assert.equal(ledger.claim(createClaim('a/2')).state, 'granted');
});

test('a claim that was given up before it arrived is not granted', () => {
	const ledger = new Ledger();
	ledger.settle(createSettle('a/1', 'not-run'));
	assert.equal(ledger.claim(createClaim('a/1')).state, 'not-run');
	assert.equal(ledger.claim(createClaim('b/1')).state, 'granted');
});

test('a delayed duplicate of a waiting claim is granted to the attempt that is still waiting', () => {
	// Fuzzer seed 1719: every poll used a new attempt, so a delayed duplicate was granted to an attempt that no longer
	// waited and the key stayed claimed.
	const ledger = new Ledger();
	ledger.claim(createClaim('a/1'));
	assert.equal(ledger.claim(createClaim('b/1')).state, 'in-flight');
	ledger.settle(createSettle('a/1', 'not-run'));
	assert.equal(ledger.claim(createClaim('b/1')).state, 'granted');
	assert.equal(ledger.claim(createClaim('b/1')).state, 'granted');
});

test('a key with an unknown outcome is not granted again, and the outcome may still be recorded', () => {
	const ledger = new Ledger();
	ledger.claim(createClaim('a/1'));
	ledger.settle(createSettle('a/1', 'unknown'));
	assert.equal(ledger.claim(createClaim('b/1')).state, 'unknown');
	ledger.settle(createSettle('a/1', 'done'));
	assert.equal(ledger.claim(createClaim('b/1')).state, 'done');
	ledger.settle(createSettle('a/1', 'not-run'));
	assert.equal(ledger.claim(createClaim('b/1')).state, 'done');
});

test('outcomes are removed after the retention time, open claims are not', () => {
	const ledger = new Ledger();
	ledger.claim(createClaim('a/1'));
	ledger.settle(createSettle('a/1', 'done'));
	ledger.claim({...createClaim('a/2'), key: 'open'});
	ledger.removeExpired(1000 + LEDGER_RETENTION_MS);
	assert.equal(ledger.find('key'), undefined);
	assert.equal(ledger.find('open')?.state, 'claimed');
});

test('the ledger can be restored from a snapshot', () => {
	const ledger = new Ledger();
	ledger.claim(createClaim('a/1'));
	ledger.settle(createSettle('b/9', 'not-run'));
	const copy = new Ledger(ledger.createSnapshot());
	assert.equal(copy.claim(createClaim('b/1')).state, 'in-flight');
	assert.equal(copy.claim(createClaim('b/9')).state, 'not-run');
});

function createClaim(attempt: string): ClaimCommand {
	return {
		type: 'claim', at: 1000, key: 'key', fingerprint: 'f', attempt, host: attempt.split('/')[0]!,
	};
}

function createSettle(attempt: string, outcome: SettleCommand['outcome']): SettleCommand {
	return {
		type: 'settle', at: 1000, key: 'key', attempt, outcome,
	};
}
