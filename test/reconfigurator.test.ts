import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Configuration, Member} from '../src/generated/types.js';
import type {ConfigurationStatus} from '../src/control/reconfiguration.js';
import {DEFAULT_RECONFIGURATION_TIMING, Reconfigurator} from '../src/control/reconfigurator.js';

const SEEDS = [member('a', 1), member('b', 2), member('c', 3)];
const FIVE = [...SEEDS, member('d', 4), member('e', 5)];

test('hosts beyond the first three are taken in up to five voters', () => {
	const repairs = new Reconfigurator();
	assert.deepEqual(repairs.planJoin(member('d', 4), view(SEEDS), 0), {add: member('d', 4)});
	assert.equal(repairs.planJoin(member('f', 6), view(FIVE), 0), undefined);
});

test('a replica that lost its disk takes the place of its former self', () => {
	const repairs = new Reconfigurator();
	assert.deepEqual(repairs.planJoin(member('b2', 2), view(FIVE), 0), {add: member('b2', 2), remove: 'b'});
});

test('a learner that lost its disk is removed before its successor comes in', () => {
	const repairs = new Reconfigurator();
	assert.deepEqual(repairs.planJoin(member('x2', 9), view(SEEDS, [member('x', 9)]), 0), {remove: 'x'});
});

test('a spare takes the place of a voter that stays away, not of one that restarts', () => {
	const repairs = new Reconfigurator();
	const spare = member('f', 6);
	const dead = view(FIVE, [], ['c']);
	repairs.tick(view(FIVE), 0);
	repairs.tick(dead, 1000);
	assert.equal(repairs.planJoin(spare, dead, 2000), undefined);
	const lateMs = DEFAULT_RECONFIGURATION_TIMING.replaceAfterMs + 500;
	assert.deepEqual(repairs.planJoin(spare, dead, lateMs), {add: spare, remove: 'c'});
});

test('a repair whose new replica does not come is given up and can begin anew', () => {
	const repairs = new Reconfigurator();
	const newcomer = member('d', 4);
	repairs.start({add: newcomer}, view(SEEDS), 0);
	assert.equal(repairs.tick(view(SEEDS), 0)?.type, 'propose-configuration');
	const waiting = view(SEEDS, [newcomer], ['d']);
	assert.equal(repairs.tick(waiting, 1000), undefined);
	assert.equal(repairs.tick(waiting, DEFAULT_RECONFIGURATION_TIMING.abandonAfterMs + 1)?.type, 'abandoned');
	assert.deepEqual(repairs.planJoin(newcomer, waiting, 6000), {add: newcomer});
});

function member(replica: string, host: number): Member {
	return {
		replica, host: `10.0.0.${host}`, address: `10.0.0.${host}`, port: 7400,
	};
}

function view(voters: Member[], learners: Member[] = [], away: string[] = []): ConfigurationStatus {
	const configuration: Configuration = {voters, outgoing: [], learners};
	return {
		configuration, isCommitted: true, commitIndex: 10, getProgress: replica => ({matchIndex: 10, alive: !away.includes(replica)}),
	};
}
