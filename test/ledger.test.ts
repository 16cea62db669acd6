import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Ledger, LEDGER_RETENTION_MS} from '../src/control/ledger.js';
import type {ClaimCommand, SettleCommand} from '../src/generated/types.js';

test('a key is granted once, and a resend gets the stored answer', () => {
	const ledger = new Ledger();
	assert.equal(ledger.claim(claim('a/1')).state, 'granted');
	assert.equal(ledger.claim(claim('b/1')).state, 'in-flight');
	const answer = {status: 200, contentType: 'text/plain', body: new Uint8Array([1])};
	ledger.settle({...settle('a/1', 'done'), answer});
	assert.deepEqual(ledger.claim(claim('b/2')), {
		type: 'ledger', state: 'done', attempt: 'a/1', host: 'a', answer,
	});
});

test('a resent claim of the same attempt is granted again, so that a lost answer costs nothing', () => {
	const ledger = new Ledger();
	assert.equal(ledger.claim(claim('a/1')).state, 'granted');
	assert.equal(ledger.claim(claim('a/1')).state, 'granted');
});

test('a key with another request is refused', () => {
	const ledger = new Ledger();
	ledger.claim(claim('a/1'));
	assert.equal(ledger.claim({...claim('a/2'), fingerprint: 'other'}).state, 'reused');
});

test('what did not run may be claimed anew, but never by the attempt that gave it back', () => {
	const ledger = new Ledger();
	ledger.claim(claim('a/1'));
	ledger.settle(settle('a/1', 'not-run'));
	assert.equal(ledger.claim(claim('a/1')).state, 'not-run');
	assert.equal(ledger.claim(claim('a/2')).state, 'granted');
});

test('a claim that was given back before it arrived is not granted', () => {
	const ledger = new Ledger();
	ledger.settle(settle('a/1', 'not-run'));
	assert.equal(ledger.claim(claim('a/1')).state, 'not-run');
	assert.equal(ledger.claim(claim('b/1')).state, 'granted');
});

test('a late copy of a waiting claim is granted to the attempt that still waits', () => {
	// Found by the fuzzer, seed 1719: each poll was a new attempt, and a late copy of an earlier one was granted to nobody.
	const ledger = new Ledger();
	ledger.claim(claim('a/1'));
	assert.equal(ledger.claim(claim('b/1')).state, 'in-flight');
	ledger.settle(settle('a/1', 'not-run'));
	assert.equal(ledger.claim(claim('b/1')).state, 'granted');
	assert.equal(ledger.claim(claim('b/1')).state, 'granted');
});

test('what is unknown stays closed, and may still become known', () => {
	const ledger = new Ledger();
	ledger.claim(claim('a/1'));
	ledger.settle(settle('a/1', 'unknown'));
	assert.equal(ledger.claim(claim('b/1')).state, 'unknown');
	ledger.settle(settle('a/1', 'done'));
	assert.equal(ledger.claim(claim('b/1')).state, 'done');
	ledger.settle(settle('a/1', 'not-run'));
	assert.equal(ledger.claim(claim('b/1')).state, 'done');
});

test('outcomes are forgotten after the retention, open claims never', () => {
	const ledger = new Ledger();
	ledger.claim(claim('a/1'));
	ledger.settle(settle('a/1', 'done'));
	ledger.claim({...claim('a/2'), key: 'open'});
	ledger.removeExpired(1000 + LEDGER_RETENTION_MS);
	assert.equal(ledger.find('key'), undefined);
	assert.equal(ledger.find('open')?.state, 'claimed');
});

test('the ledger survives being saved', () => {
	const ledger = new Ledger();
	ledger.claim(claim('a/1'));
	ledger.settle(settle('b/9', 'not-run'));
	const copy = new Ledger(ledger.createSnapshot());
	assert.equal(copy.claim(claim('b/1')).state, 'in-flight');
	assert.equal(copy.claim(claim('b/9')).state, 'not-run');
});

function claim(attempt: string): ClaimCommand {
	return {
		type: 'claim', at: 1000, key: 'key', fingerprint: 'f', attempt, host: attempt.split('/')[0]!,
	};
}

function settle(attempt: string, outcome: SettleCommand['outcome']): SettleCommand {
	return {
		type: 'settle', at: 1000, key: 'key', attempt, outcome,
	};
}
