import assert from 'node:assert/strict';
import {EventEmitter, once} from 'node:events';
import http from 'node:http';
import {test} from 'node:test';
import {waitUntil} from '../dev/fleet.js';
import {decodeAnnouncement} from '../platform/announcement.js';
import {createClock, sleep} from '../src/base/clock.js';
import type {Message} from '../src/generated/types.js';
import {connect, type Address} from '../src/wire/connection.js';
import {createRequest} from './pool.js';
import type {StubBackendOptions} from './stub.js';
import {startSystem} from './system.js';

const NO_PROMPT = {'carawayhoist-model': '', 'carawayhoist-token-counts': ''};
const PROMPT = {'carawayhoist-model': 'm', 'carawayhoist-token-counts': '30,80', 'carawayhoist-prompt-prefix': 'aa:10,bb:20'};
/** Time for the events before it to arrive: a reset discards what the receiver has not read. */
const BREAK_DELAY_MS = 20;
/** Time after which a control host of the system counts as warm, with a margin. */
const WARM_MS = 1200;
const TWO_EVENTS = ['1', '2'];
const ALL_EVENTS = ['1', '2', '3', '4'];

test('a stream that breaks off goes on at an engine of the same software version, in one response', async t => {
	const system = await startSystem(t, [createEngine('e1', 'v1', sleep(0)), createEngine('e2', 'v2'), createEngine('e3', 'v2'), createEngine('e4', 'v1')]);
	for (let index = 0; index < 12; index++) {
		await system.announceServers();
		const {events, servers} = await stream(system.callers, `a${index}`);
		assert.deepEqual(events, ALL_EVENTS);
		assert.ok(servers.every(server => ['e1', 'e4'].includes(server)) || servers.every(server => ['e2', 'e3'].includes(server)), servers.join(' '));
	}
});

test('a stream that breaks off when no engine of its software version is left ends at once and incomplete', async t => {
	const breakOff = new EventEmitter();
	const system = await startSystem(t, [createEngine('e1', 'v1', once(breakOff, 'now'))]);
	const streaming = stream(system.callers, 'a');
	await waitUntil(async () => system.servers[0]!.receivedRequests.length === 1, 'e1 has the stream');
	await system.addServer(createEngine('e2', 'v2'));
	breakOff.emit('now');
	const {events, servers, isComplete} = await streaming;
	assert.deepEqual({events, servers, isComplete}, {events: TWO_EVENTS, servers: ['e1', 'e1'], isComplete: false});
});

test('a stream that its caller takes up at another host goes on at the software version that began it', async t => {
	const breakOff = new EventEmitter();
	const system = await startSystem(t, [createEngine('e1', 'v1', once(breakOff, 'now'))]);
	await system.addEntry();
	const [first, second] = system.callerAddresses;
	const begun = 'begun';
	const streaming = stream(first!, begun);
	await waitUntil(async () => system.servers[0]!.receivedRequests.length === 1, 'e1 has the stream');
	await system.addServer(createEngine('e2', 'v2'));
	await system.addServer(createEngine('e3', 'v2'));
	breakOff.emit('now');
	assert.equal((await streaming).isComplete, false);
	await system.addServer(createEngine('e4', 'v1'));
	for (const address of [second!, first!]) {
		await system.announceServers();
		const {events, servers} = await stream(address, `next-${address.port}`, {resumes: begun, 'last-event-id': '2'});
		assert.deepEqual({events, servers}, {events: ['3', '4'], servers: ['e4', 'e4']});
	}
});

test('streams that broke off when their entry host was killed are taken up at another one, each at the version that began it', async t => {
	const breakOff = new EventEmitter();
	const engines = [['e1', 'v1'], ['e2', 'v2'], ['e3', 'v2'], ['e4', 'v1']].map(([id, software]) => createEngine(id!, software!, once(breakOff, 'now')));
	const system = await startSystem(t, engines);
	const texts: string[] = [];
	const streaming = Array.from({length: 12}, async (_, index) => stream(system.callers, `begun-${index}`, {}, text => {
		texts[index] = text;
	}));
	await waitUntil(async () => streaming.every((_, index) => texts[index]?.includes('id: 2\ndata: e') && texts[index].endsWith('\n\n')), 'all callers have two events');
	system.entry.close();
	const begun = await Promise.all(streaming);
	assert.deepEqual(new Set(begun.flatMap(({servers}) => servers.map(server => findVersion(server)))), new Set(['v1', 'v2']));
	await system.addEntry();
	for (const [index, {servers: [server]}] of begun.entries()) {
		await system.announceServers();
		const prompt = index % 2 === 0 ? PROMPT : NO_PROMPT;
		const {servers, status} = await stream(system.callerAddresses.at(-1)!, `next-${index}`, {...prompt, resumes: `begun-${index}`, 'last-event-id': '2'});
		// The only control host has no record of a stream to whose offer it responded too late.
		const isUnknown = status === 503 && system.entryLines.some(({fields}) => fields.request === `begun-${index}` && fields.placedBy === 'self');
		assert.deepEqual(servers.map(other => findVersion(other)), isUnknown ? [] : [findVersion(server), findVersion(server)]);
		assert.equal((await stream(system.callerAddresses.at(-1)!, `unnamed-${index}`, {'last-event-id': '2'})).status, 503);
	}

	breakOff.emit('now');

	function findVersion(server: string | undefined) {
		return engines.find(({id}) => id === server)?.software;
	}
});

// Guards against streams that nobody can take up for a minute: the control hosts were killed together, and only the entry host
// that carried the streams still knew which version had begun them.
test('streams are taken up each at the version that began it, after the control host was killed and then their entry host', async t => {
	const breakOff = new EventEmitter();
	const engines = [['e1', 'v1'], ['e2', 'v2'], ['e3', 'v2'], ['e4', 'v1']].map(([id, software]) => createEngine(id!, software!, once(breakOff, 'now')));
	const system = await startSystem(t, engines, {routeTimeoutMs: 10_000});
	await system.addEntry();
	const texts: string[] = [];
	const streaming = Array.from({length: 8}, async (_, index) => stream(system.callers, `begun-${index}`, {}, text => {
		texts[index] = text;
	}));
	await waitUntil(async () => streaming.every((_, index) => texts[index]?.includes('id: 2\ndata: e') && texts[index].endsWith('\n\n')), 'all callers have two events');
	await system.restartControl();
	await system.announceServers();
	await sleep(WARM_MS);
	await system.announceServers();
	system.entry.close();
	const begun = await Promise.all(streaming);
	const findVersion = (server: string | undefined) => engines.find(({id}) => id === server)?.software;
	assert.deepEqual(new Set(begun.flatMap(({servers}) => servers.map(server => findVersion(server)))), new Set(['v1', 'v2']));
	const taken = await Promise.all(begun.map(async (_, index) => stream(system.callerAddresses.at(-1)!, `next-${index}`, {resumes: `begun-${index}`, 'last-event-id': '2'})));
	assert.deepEqual(
		taken.map(({status, servers}) => ({status, software: servers.map(server => findVersion(server))})),
		begun.map(({servers: [server]}) => ({status: 200, software: [findVersion(server), findVersion(server)]})),
	);
	assert.equal((await stream(system.callerAddresses.at(-1)!, 'unknown', {resumes: 'never-begun', 'last-event-id': '2'})).status, 503);
	breakOff.emit('now');
});

// Guards against streams that nobody can take up because their entry host ends before a control host is back: only the control hosts
// and that entry host knew which version had begun them, and a control host may need seconds to start.
for (const isControlBack of [true, false]) {
	test(`streams are taken up each at the version that began it, after their entry host ended while no control host ran, ${isControlBack ? 'once the control host is back' : 'before the control host is back'}`, async t => {
		const breakOff = new EventEmitter();
		const engines = [['e1', 'v1'], ['e2', 'v2'], ['e3', 'v2'], ['e4', 'v1']].map(([id, software]) => createEngine(id!, software!, once(breakOff, 'now')));
		const system = await startSystem(t, engines, {routeTimeoutMs: 10_000});
		await system.addEntry();
		await system.addEntry();
		const texts: string[] = [];
		const streaming = Array.from({length: 8}, async (_, index) => stream(system.callers, `begun-${index}`, {}, text => {
			texts[index] = text;
		}));
		await waitUntil(async () => streaming.every((_, index) => texts[index]?.includes('id: 2\ndata: e') && texts[index].endsWith('\n\n')), 'all callers have two events');
		await system.stopControl();
		system.entry.close();
		const begun = await Promise.all(streaming);
		if (isControlBack) {
			await system.restartControl();
			await system.announceServers();
			await sleep(WARM_MS);
			await system.announceServers();
		}

		const findVersion = (server: string | undefined) => engines.find(({id}) => id === server)?.software;
		assert.deepEqual(new Set(begun.flatMap(({servers}) => servers.map(server => findVersion(server)))), new Set(['v1', 'v2']));
		const others = system.callerAddresses.slice(1);
		const taken = await Promise.all(begun.map(async (_, index) => stream(others[index % others.length]!, `next-${index}`, {resumes: `begun-${index}`, 'last-event-id': '2'})));
		assert.deepEqual(
			taken.map(({status, servers}) => ({status, software: servers.map(server => findVersion(server))})),
			begun.map(({servers: [server]}) => ({status: 200, software: [findVersion(server), findVersion(server)]})),
		);
		assert.equal((await stream(others[0]!, 'unknown', {resumes: 'never-begun', 'last-event-id': '2'})).status, 503);
		breakOff.emit('now');
	});
}

test('a stream that breaks off while its entry host reaches no control host goes on at the version that began it, in one response', async t => {
	const breakOff = new EventEmitter();
	const engines = [['e1', 'v1'], ['e2', 'v2'], ['e3', 'v2'], ['e4', 'v1']].map(([id, software]) => createEngine(id!, software!, once(breakOff, 'now')));
	const system = await startSystem(t, engines);
	const texts: string[] = [];
	const streaming = Array.from({length: 8}, async (_, index) => stream(system.callers, `a${index}`, {}, text => {
		texts[index] = text;
	}));
	await waitUntil(async () => streaming.every((_, index) => texts[index]?.includes('id: 2')), 'all callers have two events');
	await system.stopControl();
	breakOff.emit('now');
	for (const {events, servers} of await Promise.all(streaming)) {
		const versions = servers.map(server => engines.find(({id}) => id === server)?.software);
		assert.deepEqual({events, versions}, {events: ALL_EVENTS, versions: Array.from({length: 4}, () => versions[0])});
	}

	assert.ok(system.entryLines.some(({fields}) => fields.placedBy === 'self'));
});

test('a stream of unknown origin is refused while several software versions serve', async t => {
	const system = await startSystem(t, [createEngine('e1', 'v1'), createEngine('e2', 'v2')]);
	for (const headers of [{resumes: 'unknown', 'last-event-id': '2'}, {'last-event-id': '2'}]) {
		const {status, retryAfter, servers} = await stream(system.callers, 'a', headers);
		assert.equal(status, 503);
		assert.ok(Number(retryAfter) > 0);
		assert.deepEqual(servers, []);
	}

	assert.ok(system.servers.every(({receivedRequests}) => receivedRequests.length === 0));
});

test('a stream without a prompt is taken up only while one software version serves', async t => {
	const system = await startSystem(t, [createEngine('e1', 'v1')]);
	assert.deepEqual((await stream(system.callers, 'a', {...NO_PROMPT, 'last-event-id': '2'})).events, ['3', '4']);
	await system.addServer(createEngine('e2', 'v2'));
	assert.equal((await stream(system.callers, 'b', {...NO_PROMPT, 'last-event-id': '2'})).status, 503);
});

test('a stream is not taken up at the only software version left a moment after the servers of another one have left', async t => {
	const system = await startSystem(t, [createEngine('e1', 'v1'), createPlainServer('p1', 'v1')]);
	for (const server of [createEngine('e2', 'v2'), createPlainServer('p2', 'v2')]) {
		await system.addServer(server);
	}

	for (const server of ['e1', 'p1']) {
		await system.removeServer(server);
	}

	await system.addEntry();
	await assertNoneTakenUp(system);
});

test('a stream is not taken up at the only software version that the hosts have seen since all of them started', async t => {
	const system = await startSystem(t, [createEngine('e1', 'v1'), createPlainServer('p1', 'v1')]);
	for (const server of ['e1', 'p1']) {
		await system.removeServer(server);
	}

	await system.restartControl();
	for (const server of [createEngine('e2', 'v2'), createPlainServer('p2', 'v2')]) {
		await system.addServer(server);
	}

	await system.addEntry();
	await assertNoneTakenUp(system);
});

test('a control host that joins a running system does not infer the version that began a stream, though its data folder is empty', async t => {
	const system = await startSystem(t, [createEngine('e1', 'v1')]);
	const decide = async (address: Address) => new Promise<Message>(resolve => {
		const connection = connect(address, message => {
			connection.close();
			resolve(message);
		});
		connection.send({...createRequest('a', 100, {resumption: {}}), type: 'offer'} as Message);
	});
	await waitUntil(async () => {
		await system.announceServers();
		return (await decide(system.controlPeer)).type === 'assignment';
	}, 'the first control host knows all servers');
	await sleep(WARM_MS);
	await system.announceServers();
	const joined = await system.addControl();
	const decisions: Message[] = [];
	await waitUntil(async () => {
		const decision = await decide(joined);
		decisions.push(decision);
		return decisions.length > 30;
	}, 'the joined control host has decided often');
	assert.ok(decisions.every(decision => decision.type === 'rejection' && decision.isOriginUnknown === true), JSON.stringify(decisions));
});

// Guards against streams that are joined from two versions: a version may have come and begun them while the control host stood still.
test('a control host whose machine was suspended does not take the only version that it knows for the one that began a stream', async t => {
	let suspendedMs = 0;
	const {monotonicMs, wallMs} = createClock();
	const system = await startSystem(t, [createEngine('e1', 'v1'), createPlainServer('p1', 'v1')], {clock: {monotonicMs, wallMs: () => wallMs() + suspendedMs}});
	for (const request of RESUMPTIONS) {
		assert.equal((await stream(system.callers, 'a', request)).status, 200);
	}

	// The monotonic clock does not count the time of a suspension.
	suspendedMs = 4000;
	for (const request of RESUMPTIONS) {
		// The host remembers the streams that it has taken up.
		const {status, servers} = await stream(system.callers, 'b', request.resumes === undefined ? request : {...request, resumes: 'another'});
		assert.deepEqual({status, servers}, {status: 503, servers: []}, JSON.stringify(request));
	}
});

test('a host that has just started takes up streams of unknown origin while the control host has known one software version only', async t => {
	const system = await startSystem(t, [createEngine('e1', 'v1'), createPlainServer('p1', 'v1')]);
	await system.addEntry();
	for (const [index, request] of RESUMPTIONS.entries()) {
		const {status, events} = await stream(system.callerAddresses.at(-1)!, `a${index}`, request);
		assert.deepEqual({status, events}, {status: 200, events: ['3', '4']}, JSON.stringify(request));
	}
});

test('a stream of unknown origin goes on when one software version serves', async t => {
	const system = await startSystem(t, [createEngine('e1', 'v1'), createEngine('e2', 'v1')]);
	const {events} = await stream(system.callers, 'a', {resumes: 'unknown', 'last-event-id': '2'});
	assert.deepEqual(events, ['3', '4']);
});

test('the software version of a server is read from its announcement; one without a version is accepted', () => {
	const fields = {
		service: 's', address: '10.1.0.9:80', zone: 'a', state: 'ready', sequence: 1, stage: 'decode', slots: 8,
	};
	const read = (version: unknown) => {
		const decoded = decodeAnnouncement('i-1', JSON.stringify({...fields, version}));
		assert.equal(decoded._tag, 'Right');
		return decoded._tag === 'Right' ? decoded.right.software : undefined;
	};

	assert.equal(read('v1.2'), 'v1.2');
	assert.equal(read(undefined), undefined);
	assert.equal(read(7), undefined);
});

/** Next tries of a stream that no host remembers: at engines with and without a prompt, and at a service without engines. */
const RESUMPTIONS = [
	{'last-event-id': '2'},
	{'last-event-id': '2', resumes: 'unknown'},
	{...NO_PROMPT, 'last-event-id': '2'},
	{...NO_PROMPT, 'last-event-id': '2', resumes: 'unknown'},
	{path: '/read/1', 'last-event-id': '2'},
];

/** Asserts that all entry hosts refuse next tries of streams that they do not know, and that no server gets one. */
async function assertNoneTakenUp({callerAddresses, servers}: Awaited<ReturnType<typeof startSystem>>): Promise<void> {
	for (const address of callerAddresses) {
		for (const request of RESUMPTIONS) {
			const {status, retryAfter, servers: servedBy} = await stream(address, 'a', request);
			assert.deepEqual({status, servedBy}, {status: 503, servedBy: []}, JSON.stringify(request));
			assert.ok(Number(retryAfter) > 0);
		}
	}

	assert.ok(servers.every(({receivedRequests}) => receivedRequests.length === 0));
}

function createPlainServer(id: string, software: string): StubBackendOptions {
	const {stage, ...options} = createEngine(id, software);
	return {...options, service: 'plain'};
}

/** Options of an engine; streams that begin at it break off after two events once `breakOff` is settled. */
function createEngine(id: string, software: string, breakOff?: Promise<unknown>): StubBackendOptions {
	return {
		id, software, service: 'llm', stage: 'decode', intercept(request, response) {
			const from = Number(request.headers['last-event-id'] ?? 0);
			response.writeHead(200, {'carawayhoist-attempt-id': String(request.headers['carawayhoist-attempt-id']), 'content-type': 'text/event-stream'});
			const isBroken = breakOff !== undefined && from === 0;
			for (let event = from + 1; event <= (isBroken ? 2 : 4); event++) {
				response.write(`id: ${event}\ndata: ${id}\n\n`);
			}

			if (isBroken) {
				response.write('id: 3\nda', () => {
					void breakOff.then(() => setTimeout(() => response.socket?.resetAndDestroy(), BREAK_DELAY_MS));
				});
			} else {
				response.end();
			}

			return true;
		},
	};
}

/** Reads a stream until it ends or its connection is closed. */
async function stream({address, port}: Address, id: string, {path = '/ask/1', ...headers}: http.OutgoingHttpHeaders & {readonly path?: string} = {}, onText: (text: string) => void = () => undefined) {
	return new Promise<{status: number | undefined; retryAfter: string | undefined; events: string[]; servers: string[]; isComplete: boolean}>((resolve, reject) => {
		const request = http.request({
			host: address, port, path, method: 'POST', headers: {
				host: 'a.example', 'carawayhoist-attempt-id': id, ...PROMPT, ...headers,
			},
		}, response => {
			let text = '';
			response.on('data', chunk => {
				text += String(chunk);
				onText(text);
			});
			response.on('error', () => undefined);
			response.once('close', () => {
				resolve({
					status: response.statusCode,
					retryAfter: response.headers['retry-after'],
					events: [...text.matchAll(/^id: (\d+)\n/gmv)].map(([, event]) => event!),
					servers: [...text.matchAll(/^data: (\w+)$/gmv)].map(([, server]) => server!),
					isComplete: response.complete,
				});
			});
		});
		request.once('error', reject);
		request.end('body');
	});
}
