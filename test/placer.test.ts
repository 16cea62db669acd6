import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {EngineFacts} from '../src/routing/enginestate.js';
import {Placer, type PlacingRequest} from '../src/routing/placer.js';
import {planReaders} from '../src/routing/stages.js';
import {assertSnapshot} from './snapshot.js';

test('a long prompt is read ahead and the next one with the same part goes where it is held', () => {
	const placer = createPlacer();
	const first = placer.offer(request({id: 'a'}), 0);
	assert.ok(first.type === 'assignment' && first.reader !== undefined && first.runner === undefined);
	const run = placer.note('a', 'read', first.reader, 200);
	assert.ok(run?.type === 'assignment' && run.runner?.startsWith('decode') === true);
	const second = placer.offer(request({id: 'b'}), 300);
	assert.ok(second.type === 'assignment');
	assert.equal(second.reader, first.reader);
	assert.equal(second.source, undefined);
});

test('a busy holder gives its shared part to an idle reader', () => {
	const placer = createPlacer();
	const first = placer.offer(request({id: 'a'}), 0);
	placer.note('a', 'read', readerOf(first), 200);
	// Much to read at the holder: the next one goes elsewhere and fetches the part.
	const busy = Array.from({length: 6}, (_, index) => placer.offer(request({id: `b${index}`, parts: [{key: 'topic', tokens: 13_000}, {key: `own-${index}`, tokens: 3000}]}), 201));
	const moved = busy.find(decision => decision.type === 'assignment' && decision.reader !== readerOf(first));
	assert.ok(moved?.type === 'assignment');
	assert.equal(moved.source, readerOf(first));
});

test('an engine that refused is left out for a moment, one that failed for longer', () => {
	const placer = createPlacer();
	const {runner} = placer.offer(short('a'), 0) as {runner: string};
	placer.note('a', 'refused', runner, 0);
	assert.notEqual(runnerOf(placer.offer(short('b'), 100)), runner);
	placer.note('b', 'done', undefined, 100);
	assert.equal(runnerOf(placer.offer(short('c'), 500)), runner);
	placer.note('c', 'failed', runner, 500);
	assert.notEqual(runnerOf(placer.offer(short('d'), 1500)), runner);
});

test('suspected engines are used when there are no others', () => {
	const placer = new Placer();
	placer.updateEngines([engine('decode-1', 'decode', 'x')]);
	placer.offer(short('a'), 0);
	placer.note('a', 'failed', 'decode-1', 0);
	assert.equal(runnerOf(placer.offer(short('b'), 10)), 'decode-1');
});

test('without an engine that makes tokens a request is refused at once', () => {
	const placer = new Placer();
	placer.updateEngines([engine('prefill-1', 'prefill', 'x')]);
	assert.equal(placer.offer(short('a'), 0).type, 'rejection');
});

test('work is forgotten when its host never reports back', () => {
	const placer = createPlacer();
	placer.offer(request({id: 'a', patienceMs: 1000}), 0);
	assert.equal(placer.openCount, 1);
	placer.offer(request({id: 'b'}), 10_000);
	assert.equal(placer.openCount, 1);
});

test('a restarted engine holds nothing', () => {
	const placer = createPlacer();
	const first = placer.offer(request({id: 'a'}), 0);
	placer.note('a', 'read', readerOf(first), 200);
	placer.updateEngines(ENGINES.map(facts => ({...facts, incarnation: 2})));
	const second = placer.offer(request({id: 'b'}), 300);
	assert.ok(second.type === 'assignment');
	assert.equal(second.source, undefined);
});

test('the decisions of a mixed load', async () => {
	const placer = createPlacer();
	const decisions = Array.from({length: 12}, (_, index) => {
		const topic = index % 3;
		const isLong = index % 2 === 0;
		return placer.offer(request(isLong
			? {id: `r${index}`, parts: [{key: `topic-${topic}`, tokens: 13_000}, {key: `own-${index}`, tokens: 3000}], promptTokens: 16_000}
			: {id: `r${index}`, parts: [{key: `own-${index}`, tokens: 600}], promptTokens: 600}), index * 20);
	});
	await assertSnapshot('placing', decisions);
});

test('a pool gets its share of readers, from the data centres with most engines that make tokens', () => {
	const changes = planReaders(ENGINES);
	assert.deepEqual(changes.map(({server, role}) => ({server, role})), [{server: 'decode-1', role: 'prefill'}, {server: 'decode-2', role: 'prefill'}]);
	assert.deepEqual(planReaders(ENGINES.slice(0, 2)), []);
});

const ENGINES: readonly EngineFacts[] = [
	engine('prefill-1', 'prefill', 'x'),
	engine('prefill-2', 'prefill', 'y'),
	engine('prefill-3', 'prefill', 'z'),
	engine('decode-1', 'decode', 'x'),
	engine('decode-2', 'decode', 'y'),
	engine('decode-3', 'decode', 'z'),
	engine('decode-4', 'decode', 'x'),
	engine('decode-5', 'decode', 'y'),
];

function createPlacer(): Placer {
	const placer = new Placer();
	placer.updateEngines(ENGINES);
	return placer;
}

function engine(server: string, role: 'prefill' | 'decode', dataCentre: string): EngineFacts {
	return {
		server, incarnation: 1, service: 'llm', dataCentre, role, slots: 48, kvTokens: 444_000,
	};
}

function request(fields: Partial<PlacingRequest>): PlacingRequest {
	return {
		id: 'a', service: 'llm', dataCentre: 'x', parts: [{key: 'topic', tokens: 13_000}, {key: 'own', tokens: 3000}], promptTokens: 16_000, outputTokens: 80, priority: 2, objectiveMs: 600, patienceMs: 2400, excluded: [], ...fields,
	};
}

function short(id: string): PlacingRequest {
	return request({id, parts: [{key: `own-${id}`, tokens: 100}], promptTokens: 100});
}

function readerOf(decision: {type: string; reader?: string}): string | undefined {
	return decision.reader;
}

function runnerOf(decision: {type: string; runner?: string}): string | undefined {
	return decision.runner;
}
