import assert from 'node:assert/strict';
import {test} from 'node:test';
import {waitUntil} from '../dev/fleet.js';
import {FakeEngine} from '../fakes/engine.js';
import {sleep} from '../src/base/clock.js';
import {sendBytes, type CallerConnection} from './caller.js';
import {startFixture} from './fixture.js';

const SHUTDOWN_MS = 4000;
const BODY = JSON.stringify({model: 'chat-1', messages: [{role: 'user', content: 'hello'}], max_tokens: 100});

function send(url: string, text: string): CallerConnection {
	return sendBytes({address: '127.0.0.1', port: Number(new URL(url).port)}, text);
}

function createRequest(headers = ''): string {
	return `POST /v1/chat/completions HTTP/1.1\r\nhost: a.example\r\n${headers}content-length: ${BODY.length}\r\n\r\n${BODY}`;
}

function readStatus(response: string) {
	return [Number(response.split(' ', 2)[1]), Number(/carawayhoist-code: (\d+)/v.exec(response)?.[1])];
}

// Their connections were closed without a response, so callers could not tell whether their request ran.
test('requests that have not ended when the shutdown does are answered, and those that cannot end before it are not run', async t => {
	const fixture = await startFixture({limits: {shutdownMs: SHUTDOWN_MS}});
	t.after(async () => fixture.stop());
	const engine = await fixture.add(entries => new FakeEngine({
		name: 'slow-1', entries, announceIntervalMs: 50, models: ['chat-1'], stepMs: 200,
	}));
	const running = send(fixture.url, createRequest());
	await waitUntil(async () => engine.runningCount === 1, 'the request runs');
	const incomplete = send(fixture.url, createRequest().slice(0, -4));
	const late = send(fixture.url, createRequest().slice(0, -4));
	const long = send(fixture.url, createRequest('carawayhoist-deadline-ms: 60000\r\n').slice(0, -4));
	await sleep(100);
	const stopped = fixture.host.stop();
	await sleep(1500);
	long.write(BODY.slice(-4));
	await sleep(SHUTDOWN_MS - 2000);
	late.write(BODY.slice(-4));
	await sleep(100);
	const {runningCount} = engine;
	await stopped;
	const responses = await Promise.all([running, incomplete, late, long].map(async ({closed}) => readStatus(await closed)));
	assert.deepEqual({responses, runningCount}, {responses: [[502, 3009], [503, 3005], [503, 3005], [503, 3005]], runningCount: 1});
});
