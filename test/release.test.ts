import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PlatformProtocol} from '../platform/protocol.js';
import {createSilentLoggers} from '../src/base/logger.js';
import type {Announcement} from '../src/generated/types.js';
import {AvailabilityTracker} from '../src/routing/availability.js';
import {releaseKvCache} from '../src/serving/release.js';
import type {ResponseHandler, UpstreamRequest} from '../src/serving/upstream.js';

const ENGINE: Announcement = {
	server: 'e1', kind: 'engine', address: '127.0.0.1', port: 1, incarnation: 1, sequence: 1, role: 'prefill',
};
const OPTIONS = {kvCache: {server: 'e1', address: {address: '127.0.0.1', port: 1}, handle: 'h1'}, service: 'llm', request: 'id-1'};

test('a KV cache is not released at an engine while it refuses requests', () => {
	const {context, sent, passTime} = createContext();
	context.availability.recordRefusal(ENGINE, 2000, context.clock.monotonicMs());
	releaseKvCache(context, OPTIONS);
	assert.equal(sent.length, 0);
	passTime(2000);
	releaseKvCache(context, OPTIONS);
	assert.equal(sent.length, 1);
});

test('a release that waits for a connection is not sent to an engine that has refused requests meanwhile', () => {
	const {context, sent} = createContext();
	releaseKvCache(context, OPTIONS);
	assert.equal(sent[0]!.request.maySend?.(), true);
	context.availability.recordRefusal(ENGINE, 2000, context.clock.monotonicMs());
	assert.equal(sent[0]!.request.maySend?.(), false);
});

test('the retry time and the leaving sign in the response to a release are recorded', () => {
	const {context, sent, leaving, passTime} = createContext();
	releaseKvCache(context, OPTIONS);
	sent[0]!.handler.onHead(503, {'retry-after': '1.5'}, true);
	assert.equal(context.availability.isAvailable(ENGINE, context.clock.monotonicMs()), false);
	passTime(1500);
	assert.equal(context.availability.isAvailable(ENGINE, context.clock.monotonicMs()), true);
	sent[0]!.handler.onHead(200, {'server-leaving': '1'}, true);
	assert.equal(context.availability.isAvailable(ENGINE, context.clock.monotonicMs()), false);
	assert.deepEqual(leaving, ['e1']);
});

test('the retry time in a response to a release is not recorded if the response names a request', () => {
	const {context, sent} = createContext();
	releaseKvCache(context, OPTIONS);
	sent[0]!.handler.onHead(503, {'retry-after': '1.5', 'carawayhoist-attempt-id': 'id-0'}, false);
	assert.equal(context.availability.isAvailable(ENGINE, context.clock.monotonicMs()), true);
});

test('a KV cache at an engine that is not known any more is left to expire', () => {
	const {context, sent} = createContext();
	releaseKvCache({...context, findServer: () => undefined}, OPTIONS);
	assert.equal(sent.length, 0);
});

function createContext() {
	let nowMs = 1000;
	const sent: Array<{request: UpstreamRequest; handler: ResponseHandler}> = [];
	const leaving: string[] = [];
	const context: Parameters<typeof releaseKvCache>[0] = {
		availability: new AvailabilityTracker(),
		clock: {monotonicMs: () => nowMs, wallMs: () => nowMs},
		logger: createSilentLoggers()('entry'),
		protocol: new PlatformProtocol(),
		findServer: server => server === 'e1' ? ENGINE : undefined,
		announceLeaving({server}) {
			leaving.push(server);
		},
		transport: {
			send(request, handler) {
				sent.push({request, handler});
				return {cancel: () => true, pause: () => undefined, resume: () => undefined};
			},
		},
	};
	return {
		context, sent, leaving, passTime(durationMs: number) {
			nowMs += durationMs;
		},
	};
}
