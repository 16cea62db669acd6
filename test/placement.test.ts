import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import {validate} from '../src/base/validate.js';
import type {Message} from '../src/generated/types.js';
import {createFallbackLimiter} from '../src/routing/limiter.js';
import type {PlacementRequest} from '../src/routing/request.js';
import {Scheduler} from '../src/routing/scheduler.js';
import {PlacementClient, SELF} from '../src/serving/placement.js';
import {NO_ORIGIN_COPIES} from './pool.js';

const REQUEST: PlacementRequest = {
	id: 'r1', service: 'llm', dataCentre: 'x', parts: [], promptTokens: 1000, outputTokens: 10, priority: 0, objectiveMs: 600, patienceMs: 2400, excluded: [], bodyBytes: 0, connected: [],
};

test('all entry hosts query the same scheduler host and copy the placement to the same backup host', async () => {
	const schedulers = new Set<string>();
	const backups = new Set<string>();
	for (const live of [['c1', 'c2', 'c3'], ['c3', 'c1', 'c2']]) {
		const {client, sent} = createClient({live, responds: true});
		const {by} = await client.place(REQUEST);
		schedulers.add(by);
		client.notifyBackup(REQUEST, 'e1', 'e2');
		client.reportMilestone('r1', 'done', undefined);
		const shadow = sent.find(({message}) => message.type === 'shadow');
		backups.add(shadow?.host ?? '');
		const ended = new Set(sent.filter(({message}) => message.type === 'milestone').map(({host}) => host));
		assert.deepEqual(ended, new Set([by, shadow?.host]));
	}

	assert.equal(schedulers.size, 1);
	assert.equal(backups.size, 1);
	assert.notDeepEqual(schedulers, backups);
});

test('without a response the local scheduler decides, and the next query goes to another host', async () => {
	const {client, sent} = createClient({live: ['c1', 'c2'], responds: false});
	const first = await client.place(REQUEST);
	const second = await client.place({...REQUEST, id: 'r2'});
	assert.deepEqual([first.by, second.by], [SELF, SELF]);
	assert.equal(first.decision.type, 'assignment');
	const [firstQuery, secondQuery] = sent.filter(({message}) => message.type === 'offer');
	assert.ok(firstQuery && secondQuery);
	assert.notEqual(firstQuery.host, secondQuery.host);
});

test('without scheduler hosts the local scheduler decides immediately', async () => {
	const {client, sent} = createClient({live: [], responds: false});
	assert.equal((await client.place(REQUEST)).by, SELF);
	assert.equal((await client.chooseRunner(REQUEST, 'e1')).decision.type, 'assignment');
	assert.deepEqual(sent, []);
});

test('a late response to an earlier query is not used for a later query with the same ID', async () => {
	const {client} = createClient({live: ['c1'], responds: false});
	await client.place(REQUEST);
	client.receive({type: 'assignment', id: 'r1', runner: 'ghost'}, 'c1');
	const {decision} = await client.place({...REQUEST, id: 'r1'});
	assert.equal(decision.type === 'assignment' && decision.runner, 'e1');
});

test('a control host accepts the offers and milestones of entry hosts of the previous version', () => {
	const {bodyBytes: _bodyBytes, connected: _connected, ...offer} = REQUEST;
	const messages = [{type: 'offer', ...offer}, {
		type: 'milestone', id: 'r1', stage: 'read', server: 'e1',
	}];
	for (const message of messages) {
		assert.ok(Either.isRight(validate('Message', message)), message.type);
	}
});

function createClient({live, responds}: {live: string[]; responds: boolean}) {
	const sent: Array<{host: string; message: Message}> = [];
	const localScheduler = new Scheduler();
	localScheduler.updateEngines([{
		server: 'e1', incarnation: 1, service: 'llm', dataCentre: 'x', role: 'decode', software: 'v1', slots: 8, kvTokens: 100_000, kvBytesPerToken: 100_000, linkMbps: 100_000,
	}]);
	const client: PlacementClient = new PlacementClient({
		originStore: NO_ORIGIN_COPIES,
		hosts: {
			listLive: () => live,
			send(host, message) {
				sent.push({host, message});
				if (responds && message.type === 'offer') {
					client.receive({type: 'assignment', id: message.id, runner: 'e1'}, host);
				}

				return true;
			},
		},
		localScheduler,
		localLimiter: createFallbackLimiter(() => undefined, {countHosts: () => 2, random: () => 0.5}),
		clock: {monotonicMs: () => 0, wallMs: () => 0},
	});
	return {client, sent};
}
