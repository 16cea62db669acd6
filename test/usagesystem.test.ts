import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import type {IncomingMessage, ServerResponse} from 'node:http';
import path from 'node:path';
import {test, type TestContext} from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import {Registry} from 'prom-client';
import {waitUntil} from '../dev/fleet.js';
import {PlatformDutyTransport} from '../platform/duties.js';
import {sleep} from '../src/base/clock.js';
import {validate} from '../src/base/validate.js';
import {createDutyMetrics} from '../src/duties/metrics.js';
import type {DutySettings} from '../src/duties/duties.js';
import {StartCounter} from '../src/duties/starts.js';
import {sendSeparately, type Address} from '../src/wire/connection.js';
import {startCore} from './core.js';
import {startExternalService, type ReceivedCall} from './external.js';
import {createResponseHeaders} from './stub.js';
import {startSystem} from './system.js';

const ROOT = path.resolve(import.meta.dirname, '../..');
const WINDOW_MS = 1000;
const LOAD_WINDOW_MS = 2000;
const PROMPT = {'carawayhoist-model': 'm', 'carawayhoist-token-counts': '10,80', 'carawayhoist-prompt-prefix': 'aa:10'};

test('the requests that servers have started to run are reported by team, each once, with the holder and its token', async t => {
	nameTeams(t);
	const service = await startExternalService(t);
	let refusals = 0;
	const system = await startSystem(t, [
		{
			id: 'p1', service: 'plain', intercept(request, response) {
				if (refusals >= 2) {
					return false;
				}

				refusals++;
				response.writeHead(503, {...createResponseHeaders(request), 'carawayhoist-not-executed': '1'}).end();
				return true;
			},
		},
		{id: 'p2', service: 'plain'},
		{id: 'e1', service: 'llm', stage: 'decode'},
	], {duties: createDuties('c1', service.address)});
	for (let count = 0; count < 6; count++) {
		assert.equal((await system.call(`/read/${count}`)).status, 200);
	}

	for (let count = 0; count < 3; count++) {
		assert.equal((await system.call(`/ask/${count}`, PROMPT, 'prompt')).status, 200);
	}

	const runs = system.servers.flatMap(({receivedRequests}) => receivedRequests).length - refusals;
	assert.equal(runs, 9);
	await waitUntil(async () => sumCounts(service.calls) >= runs, 'all starts are reported');
	const last = service.calls.length;
	await waitUntil(async () => service.calls.length > last + 1, 'further windows are reported');
	assert.equal(sumCounts(service.calls), runs);
	assert.ok(service.calls.every(({holder, token, path: target}) => holder === 'c1' && token >= 1 && target === '/usage'));
	checkWindows(service.calls);
});

// Guards against a stream that counts once for each chunk, or not at all at the engine that resumes it.
test('a stream that is resumed at another engine has a run at each, and one that brings no event has none', async t => {
	nameTeams(t);
	const service = await startExternalService(t);
	// The first and the third run break off, after an event and inside the first one.
	const breaks = new Map([[1, 'id: 1\ndata: 1\n\n'], [3, 'id: 1\nda']]);
	let requests = 0;
	const engine = {
		service: 'llm', stage: 'decode', intercept(request: IncomingMessage, response: ServerResponse) {
			const text = breaks.get(++requests);
			if (text === undefined) {
				return false;
			}

			response.writeHead(200, {...createResponseHeaders(request), 'content-type': 'text/event-stream'});
			response.write(text, () => {
				response.destroy();
			});
			return true;
		},
	} as const;
	const system = await startSystem(t, ['e1', 'e2', 'e3'].map(id => ({id, ...engine})), {duties: createDuties('c1', service.address)});
	for (const target of ['/ask/1', '/ask/2']) {
		const {text} = await system.call(target, PROMPT, 'prompt');
		assert.deepEqual([...text.matchAll(/^id: (\d)/gmv)].map(([, id]) => id), ['1', '2', '3', '4']);
	}

	assert.equal(requests, 4);
	const runs = 3;
	await waitUntil(async () => sumCounts(service.calls) >= runs, 'the runs are reported');
	const last = service.calls.length;
	await waitUntil(async () => service.calls.length > last + 1, 'further windows are reported');
	assert.equal(sumCounts(service.calls), runs);
});

// Guards against starts that are counted in the wrong window, twice or not at all under load at several entry hosts.
test('the counts of each window are within 5% of what the servers have received in it', async t => {
	nameTeams(t);
	const service = await startExternalService(t);
	const received = new Map<number, number>();
	const system = await startSystem(t, [{
		id: 'p1', service: 'plain', intercept() {
			const window = Math.floor(Date.now() / LOAD_WINDOW_MS);
			received.set(window, (received.get(window) ?? 0) + 1);
			return false;
		},
	}], {duties: {...createDuties('c1', service.address), windowMs: LOAD_WINDOW_MS}});
	const callOther = await system.addEntry();
	const endMs = Date.now() + 7000;
	const callUntilEnd = async (call: typeof system.call) => {
		while (Date.now() < endMs) {
			await call('/read/1');
			await sleep(5);
		}
	};

	const announceUntilEnd = async () => {
		while (Date.now() < endMs) {
			await system.announceServers();
			await sleep(400);
		}
	};

	await Promise.all([announceUntilEnd(), ...[system.call, system.call, callOther, callOther].map(async call => callUntilEnd(call))]);
	const total = [...received.values()].reduce((sum, count) => sum + count, 0);
	await waitUntil(async () => sumCounts(service.calls) >= total, 'all starts are reported');
	assert.equal(sumCounts(service.calls), total);
	for (const [window, count] of received) {
		const reported = service.calls.find(({body}) => body['window-id'] === window)!.body.counts!['team-1']!;
		// Requests of the moment at which the window ends may be on either side: one of each caller.
		assert.ok(Math.abs(reported - count) <= (count * 0.05) + 4, `window ${window}: ${reported} reported, ${count} received`);
	}

	t.diagnostic(`${total} requests in ${received.size} windows`);
});

// Guards against counts that a restarted control host has lost: the entry host sends the last windows again.
test('windows that end while no control host runs are reported after its restart', async t => {
	nameTeams(t);
	const service = await startExternalService(t);
	const system = await startSystem(t, [{id: 'p1', service: 'plain'}], {duties: createDuties('c1', service.address)});
	await waitUntil(async () => service.calls.length > 0, 'the first report arrives');
	await system.stopControl();
	for (let count = 0; count < 5; count++) {
		assert.equal((await system.call(`/read/${count}`)).status, 200);
	}

	// The entry host tries to connect and to send meanwhile, in vain.
	await sleep(2500);
	await system.restartControl();
	await waitUntil(async () => sumCounts(service.calls) === 5, 'the starts are reported');
	checkWindows(service.calls);
});

test('without duties in the settings nothing is counted or sent', async t => {
	const system = await startSystem(t, [{id: 'p1', service: 'plain'}]);
	const record = t.mock.method(StartCounter.prototype, 'record');
	assert.equal((await system.call('/read/1')).status, 200);
	assert.equal(record.mock.callCount(), 0);
});

// Guards against two different counts for one window when the leader ends between commit and send.
test('the successor of a leader whose reports did not arrive sends the same counts with a higher token', async t => {
	const window = Math.floor(Date.now() / WINDOW_MS) + 15;
	const service = await startExternalService(t, ({body}) => body['window-id'] === window ? 'reset' : 200);
	const core = await startCore(t, undefined, index => ({duties: createDuties(`c${index}`, service.address)}));
	const leader = await core.findLeader();
	await waitUntil(async () => Date.now() >= window * WINDOW_MS, 'the window begins');
	const report = (count: number, addresses: readonly Address[]) => {
		for (const address of addresses) {
			sendSeparately(address, {
				type: 'usageCounts', host: 'h1', incarnation: 'x', sequence: 1, at: Date.now(), windows: [{window, teams: ['a'], counts: [count]}],
			});
		}
	};

	report(3, core.addresses.slice(0, 5));
	const findCalls = () => service.calls.filter(({body}) => body['window-id'] === window);
	await waitUntil(async () => findCalls().length > 0, 'the leader sends the report');
	const [first] = findCalls();
	assert.deepEqual(first!.body.counts, {a: 3});
	// What the others learn later must not change the report.
	report(4, core.addresses.slice(0, 5));
	await core.stop(leader);
	service.setTreatment(() => 200);
	await waitUntil(async () => findCalls().some(({holder}) => holder !== first!.holder), 'the successor sends the report');
	checkWindows(service.calls);
	const tokens = service.calls.map(({token}) => token);
	assert.deepEqual(tokens, tokens.toSorted((a, b) => a - b));
	const takeover = service.calls.find(({holder}) => holder !== first!.holder)!;
	const lastBefore = service.calls.findLast(({holder}) => holder === first!.holder)!;
	assert.ok(takeover.token > lastBefore.token);
	assert.ok(takeover.atMs - lastBefore.atMs >= 1500);
});

// Guards against a leader that ends, and each of its successors, on a log entry that it cannot read.
test('counts in the log that cannot be read are passed over', async t => {
	const service = await startExternalService(t);
	const core = await startCore(t, undefined, index => ({duties: createDuties(`c${index}`, service.address)}));
	const leader = await core.findLeader();
	const window = Math.floor(Date.now() / WINDOW_MS) + 1;
	sendSeparately(core.addresses[leader]!, {
		type: 'propose', id: 1, command: {
			type: 'record-usage', at: 1, window, counts: new Uint8Array([255, 255, 255]),
		},
	});
	await waitUntil(async () => service.calls.some(({body}) => body['window-id']! > window + 1), 'later windows are reported');
	assert.ok(service.calls.every(({body}) => body['window-id'] !== window));
});

test('a call brings its status whatever the body of the response, or none if the service is silent, resets or is down', async t => {
	const service = await startExternalService(t, (_call, count) => ([200, 429, 'reset', 'silence'] as const)[count - 1]!);
	const transport = new PlatformDutyTransport('c1', service.address);
	const send = async (to = transport, mayWrite = () => true) => to.send({
		path: '/usage', body: {}, token: 7, mayWrite,
	});
	assert.equal(await send(), 200);
	assert.equal(await send(), 429);
	assert.equal(await send(), undefined);
	const startedMs = performance.now();
	assert.equal(await send(), undefined);
	assert.ok(performance.now() - startedMs < 4000);
	assert.equal(await send(transport, () => false), undefined);
	assert.deepEqual(service.calls.map(({holder, token}) => [holder, token]), Array.from({length: 4}, () => ['c1', 7]));
	assert.equal(await send(new PlatformDutyTransport('c1', {address: '127.0.0.1', port: 1})), undefined);
});

for (const role of ['entry', 'control']) {
	test(`the settings template of ${role} hosts is valid with and without an external service`, async () => {
		const template = await readFile(path.join(ROOT, `deploy/${role}.json`), 'utf8');
		const render = (values: Record<string, unknown>, missing = '') => {
			const common: Record<string, unknown> = {
				'node-name': 'n', zone: 'a', ip: '10.0.0.1', 'internal-ports.0': 7000, 'listen.front': '10.0.0.1:80', 'listen.ready-addr': '10.0.0.1:81', 'listen.control': '10.0.0.1:82', 'data-dir': '/d', seeds: [], bootstrap: true, 'heartbeat-ms': 1000, 'bounds.grace-s': 5, 'bounds.lease-ms': 3000, 'bounds.retry-budget-ratio': 0.2, 'bounds.budget-window-s': 10, 'bounds.retry-budget-slack': 10, 'bounds.catch-up-s': 20, ...values,
			};
			const text = template.replaceAll(/\{\{([^\|]+)\|json\}\}/gv, (_placeholder, name: string) => name in common ? JSON.stringify(common[name]) : missing);
			return validate('PlatformSettings', JSON.parse(text));
		};

		const without = render({});
		assert.ok(Either.isRight(without), JSON.stringify(without));
		assert.deepEqual(without.right.duties, {
			address: [], list: [], callsPerSecond: [], reportWindowS: [], ...(role === 'control' && {adaptsCapacity: false}),
		});
		// Guards against hosts that end at their start: the platform renders a placeholder without a value as null.
		assert.ok(Either.isRight(render({}, 'null')));
		const named = render({
			'cloud.address': '10.0.0.9:90', 'cloud.duties': ['usage', 'scaling'], 'cloud.duty-per-s': 5, 'bounds.report-window-s': 5,
		});
		assert.ok(Either.isRight(named), JSON.stringify(named));
		assert.deepEqual(named.right.duties?.list, [['usage', 'scaling']]);
		assert.ok(Either.isRight(render({'cloud.address': ''})));
		assert.ok(Either.isLeft(render({'cloud.address': 'nowhere'})));
	});
}

function createDuties(holder: string, address: Address): DutySettings {
	return {
		duties: ['usage'], windowMs: WINDOW_MS, callsPerSecond: 20, transport: new PlatformDutyTransport(holder, address), metrics: createDutyMetrics(new Registry()),
	};
}

/** Gives all requests a team, which the configuration of these tests does not. */
function nameTeams(t: TestContext): void {
	const {record} = StartCounter.prototype;
	t.mock.method(StartCounter.prototype, 'record', function (this: StartCounter, team: string | undefined, wallMs: number) {
		record.call(this, team ?? 'team-1', wallMs);
	});
}

/** Adds up the counts of all windows. */
function sumCounts(calls: readonly ReceivedCall[]): number {
	const windows = new Map(calls.map(({body}) => [body['window-id'], body.counts ?? {}]));
	return [...windows.values()].flatMap(counts => Object.values(counts)).reduce((sum, count) => sum + count, 0);
}

/** Checks that each window has one report, whatever the number of calls. */
function checkWindows(calls: readonly ReceivedCall[]): void {
	const counts = new Map<number, string>();
	for (const {body} of calls) {
		const window = body['window-id']!;
		const text = JSON.stringify(body.counts);
		assert.equal(text, counts.get(window) ?? text);
		counts.set(window, text);
	}
}
