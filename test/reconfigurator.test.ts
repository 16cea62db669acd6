import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Configuration, Member} from '../src/generated/types.js';
import type {ConfigurationStatus} from '../src/control/reconfiguration.js';
import {DEFAULT_RECONFIGURATION_TIMING, Reconfigurator} from '../src/control/reconfigurator.js';

const THREE_VOTERS = [createMember('a', 1), createMember('b', 2), createMember('c', 3)];
const FIVE_VOTERS = [...THREE_VOTERS, createMember('d', 4), createMember('e', 5)];

test('joining hosts are added up to five voters', () => {
	const reconfigurator = new Reconfigurator();
	assert.deepEqual(reconfigurator.planJoin(createMember('d', 4), createStatus(THREE_VOTERS), 0), {add: createMember('d', 4)});
	assert.equal(reconfigurator.planJoin(createMember('f', 6), createStatus(FIVE_VOTERS), 0), undefined);
});

test('a replica that lost its disk replaces its previous identity', () => {
	const reconfigurator = new Reconfigurator();
	assert.deepEqual(reconfigurator.planJoin(createMember('b2', 2), createStatus(FIVE_VOTERS), 0), {add: createMember('b2', 2), remove: 'b'});
});

test('a learner that lost its disk is removed before its new identity is added', () => {
	const reconfigurator = new Reconfigurator();
	assert.deepEqual(reconfigurator.planJoin(createMember('x2', 9), createStatus(THREE_VOTERS, [createMember('x', 9)]), 0), {remove: 'x'});
});

test('a spare replaces a voter that stays unreachable, but not one that restarts', () => {
	const reconfigurator = new Reconfigurator();
	const spare = createMember('f', 6);
	const dead = createStatus(FIVE_VOTERS, [], ['c']);
	reconfigurator.tick(createStatus(FIVE_VOTERS), 0);
	reconfigurator.tick(dead, 1000);
	assert.equal(reconfigurator.planJoin(spare, dead, 2000), undefined);
	const lateMs = DEFAULT_RECONFIGURATION_TIMING.replaceAfterMs + 500;
	assert.deepEqual(reconfigurator.planJoin(spare, dead, lateMs), {add: spare, remove: 'c'});
});

test('a reconfiguration whose new replica does not respond is abandoned and can be started again', () => {
	const reconfigurator = new Reconfigurator();
	const newMember = createMember('d', 4);
	reconfigurator.start({add: newMember}, createStatus(THREE_VOTERS), 0);
	assert.equal(reconfigurator.tick(createStatus(THREE_VOTERS), 0)?.type, 'propose-configuration');
	const waiting = createStatus(THREE_VOTERS, [newMember], ['d']);
	assert.equal(reconfigurator.tick(waiting, 1000), undefined);
	assert.equal(reconfigurator.tick(waiting, DEFAULT_RECONFIGURATION_TIMING.abandonAfterMs + 1)?.type, 'abandoned');
	assert.deepEqual(reconfigurator.planJoin(newMember, waiting, 6000), {add: newMember});
});

// Guards against a configuration that is proposed again every few milliseconds, as long as the new voter is unreachable.
test('a reconfiguration whose new voter is lost before it has caught up proposes nothing more and is abandoned', () => {
	const reconfigurator = new Reconfigurator();
	const newMember = createMember('d', 4);
	reconfigurator.start({add: newMember, remove: 'c'}, createStatus(THREE_VOTERS), 0);
	const replaced = {...createStatus([...THREE_VOTERS.slice(0, 2), newMember], [], ['d']), getProgress: (replica: string) => ({matchIndex: replica === 'd' ? 5 : 10, alive: replica !== 'd'})};
	assert.equal(reconfigurator.tick(replaced, 1000), undefined);
	assert.equal(reconfigurator.tick(replaced, DEFAULT_RECONFIGURATION_TIMING.abandonAfterMs + 1)?.type, 'abandoned');
});

// Guards against a new replica that responds but gets nothing of the log, and blocks the replacement of the next lost voter.
test('a reconfiguration whose new replica responds without catching up is abandoned; one that catches up slowly is not', () => {
	const newMember = createMember('d', 4);
	const {abandonAfterMs} = DEFAULT_RECONFIGURATION_TIMING;
	const run = (getMatchIndex: (nowMs: number) => number) => {
		const reconfigurator = new Reconfigurator();
		reconfigurator.start({add: newMember}, createStatus(THREE_VOTERS), 0);
		reconfigurator.tick(createStatus(THREE_VOTERS), 0);
		for (let nowMs = 500; nowMs <= abandonAfterMs * 2; nowMs += 500) {
			const waiting = {...createStatus(THREE_VOTERS, [newMember]), commitIndex: 1000, getProgress: () => ({matchIndex: getMatchIndex(nowMs), alive: true})};
			if (reconfigurator.tick(waiting, nowMs)?.type === 'abandoned') {
				return nowMs;
			}
		}

		return undefined;
	};

	assert.equal(run(() => 0), abandonAfterMs + 500);
	assert.equal(run(nowMs => nowMs / 100), undefined);
});

function createMember(replica: string, host: number): Member {
	return {
		replica, host: `10.0.0.${host}`, address: `10.0.0.${host}`, port: 7400,
	};
}

function createStatus(voters: Member[], learners: Member[] = [], unreachable: string[] = []): ConfigurationStatus {
	const configuration: Configuration = {voters, outgoing: [], learners};
	return {
		configuration, isCommitted: true, commitIndex: 10, getProgress: replica => ({matchIndex: 10, alive: !unreachable.includes(replica)}),
	};
}
