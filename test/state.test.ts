import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ControlState, createResourceKey} from '../src/control/state.js';
import {ResourceView} from '../src/entry/view.js';
import type {Command, PutCommand} from '../src/generated/types.js';
import {decodeCbor, encodeCbor} from '../src/wire/frame.js';
import {assertSnapshot} from './snapshot.js';

test('of two concurrent puts with the same version one succeeds, and the other gets a conflict with the new version', () => {
	const state = new ControlState();
	state.apply(createPut('p1', 0), 1);
	assert.deepEqual(state.apply(createPut('p2', 1), 2), {type: 'accepted', version: 2});
	const loser = state.apply(createPut('p3', 1), 3);
	assert.equal(loser.type, 'conflict');
	assert.equal(loser.type === 'conflict' && loser.version, 2);
});

test('a resent request gets its first outcome, both for an accepted put and for a conflict', () => {
	const state = new ControlState();
	const won = state.apply(createPut('p1', 0), 1);
	const lost = state.apply(createPut('p2', 0), 2);
	assert.deepEqual(state.apply(createPut('p1', 0), 3), won);
	assert.deepEqual(state.apply(createPut('p2', 0), 4), lost);
	assert.equal(state.findResource('team', 'x')?.version, 1);
});

test('a watch resumed from any version ends with the same resources', () => {
	const state = new ControlState();
	const views = Array.from({length: 40}, () => new ResourceView());
	for (let index = 1; index <= 40; index++) {
		const command: Command = index % 5 === 0
			? {
				type: 'remove', at: 0, requestId: `r${index}`, kind: 'team', name: `t${index % 7}`, seen: -1,
			}
			: {...createPut(`p${index}`, -1), name: `t${index % 7}`};
		state.apply(command, index);
		views[index - 1]!.apply(state.createViewUpdate(-1));
	}

	for (const view of views) {
		view.apply(state.createViewUpdate(view.version));
		assert.deepEqual(listNames(view), listNames(views[39]!));
	}
});

test('a view rejects an older update and an update based on a later version', () => {
	const state = new ControlState();
	state.apply(createPut('p1', 0), 1);
	const old = state.createViewUpdate(-1);
	state.apply(createPut('p2', 1), 2);
	const view = new ResourceView();
	assert.ok(view.apply(state.createViewUpdate(-1)));
	assert.ok(!view.apply(old));
	assert.ok(!new ResourceView().apply(state.createViewUpdate(1)));
	assert.equal(view.version, 2);
});

test('the state and the remembered outcomes can be restored from a snapshot', () => {
	const state = new ControlState();
	const answer = state.apply(createPut('p1', 0), 1);
	state.apply({
		type: 'claim', at: 0, key: 'k', fingerprint: 'f', attempt: 'a/1', host: 'a',
	}, 2);
	state.apply({
		type: 'put', at: 0, requestId: 'c', name: 'c', seen: 0, specification: {kind: 'change', action: 'drain', server: 'e1'},
	}, 3);
	const copy = new ControlState(decodeCbor(encodeCbor(state.createSnapshot())) as ReturnType<ControlState['createSnapshot']>);
	assert.deepEqual(copy.createSnapshot(), state.createSnapshot());
	assert.deepEqual(copy.apply(createPut('p1', 0), 4), answer);
});

test('a second change of a server is refused until the first is finished', () => {
	const state = new ControlState();
	const declare = (name: string, server: string, index: number) => state.apply({
		type: 'put', at: 0, requestId: name, name, seen: 0, specification: {
			kind: 'change', action: 'role', server, role: 'decode',
		},
	}, index);
	assert.equal(declare('one', 'e1', 1).type, 'accepted');
	assert.equal(declare('two', 'e1', 2).type, 'conflict');
	assert.equal(declare('three', 'e2', 3).type, 'accepted');
});

test('the history of a role change lists its phases in order', async () => {
	const state = new ControlState();
	const commands: Command[] = [
		{
			type: 'put', at: 10, requestId: 'c', name: 'night', seen: 0, specification: {
				kind: 'change', action: 'role', server: 'e1', role: 'decode',
			},
		},
		{
			type: 'advance', at: 20, change: 'night', from: 'draining', phase: 'drained', note: 'Nothing runs there any more.',
		},
		{
			type: 'issue-order', at: 30, change: 'night', server: 'e1', action: {type: 'role', role: 'decode'},
		},
		{
			type: 'settle-order', at: 40, server: 'e1', order: 3, outcome: 'done', note: 'e1 has carried out order 3.',
		},
	];
	for (const [index, command] of commands.entries()) {
		state.apply(command, index + 1);
	}

	await assertSnapshot('story-of-a-role-change', state.findResource('change', 'night'));
});

function createPut(requestId: string, seen: number): PutCommand {
	return {
		type: 'put', at: 0, requestId, name: 'x', seen, specification: {kind: 'team', weight: Number(requestId.slice(1))},
	};
}

function listNames(view: ResourceView): string[] {
	return view.list().map(({name, version, specification}) => `${createResourceKey(specification.kind, name)}@${version}`).toSorted();
}
