import assert from 'node:assert/strict';
import {test} from 'node:test';
import {streamCompletion} from '../dev/client.js';
import {FakeEngine, POISON_WORD} from '../fakes/engine.js';
import {startFixture} from './fixture.js';

/** A dying process may close its connections a moment before its listening socket. */
const LISTENER_CLOSE_DELAY_MS = 60;

test('an engine that still accepts connections while it dies counts as crashed: the request is rejected after two crashes', async t => {
	const fixture = await startFixture();
	t.after(async () => fixture.stop());
	const crashed = new Set<string>();
	for (const name of ['frail-1', 'frail-2', 'frail-3', 'frail-4']) {
		const holder: {engine?: FakeEngine} = {};
		holder.engine = await fixture.add(entries => new FakeEngine({
			name,
			entries,
			announceIntervalMs: 50,
			models: ['chat-1'],
			onCrash() {
				crashed.add(name);
				holder.engine!.closeConnections();
				setTimeout(() => {
					holder.engine!.stop();
				}, LISTENER_CLOSE_DELAY_MS);
			},
		}));
	}

	const answer = await streamCompletion(fixture.url, {model: 'chat-1', content: `please ${POISON_WORD}`});
	assert.equal(answer.code, 3003);
	assert.equal(crashed.size, 2);
});

test('a request cleared of one crash survives the crash of another engine that runs it', async t => {
	const fixture = await startFixture();
	t.after(async () => fixture.stop());
	const engines: FakeEngine[] = [];
	for (const name of ['mortal-1', 'mortal-2', 'mortal-3']) {
		engines.push(await fixture.add(entries => new FakeEngine({
			name, entries, announceIntervalMs: 50, models: ['chat-1'],
		})));
	}

	const stopRunningEngine = () => {
		engines.find(engine => engine.runningCount > 0)?.stop();
	};

	const answer = await streamCompletion(fixture.url, {
		model: 'chat-1',
		content: 'innocent',
		onToken(count) {
			// By the second crash, the request has been cleared: it ran alone for some tokens.
			if (count === 5 || count === 20) {
				stopRunningEngine();
			}
		},
	});
	assert.ok(answer.isComplete, `code ${answer.code}, ${answer.tokens} tokens`);
});
