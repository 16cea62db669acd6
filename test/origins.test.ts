import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import type {Announcement, Message} from '../src/generated/types.js';
import {ServerRegistry} from '../src/membership/registry.js';
import type {EngineInfo} from '../src/routing/engine.js';
import {createFallbackLimiter} from '../src/routing/limiter.js';
import {SoftwareVersions, StreamOrigins} from '../src/routing/origins.js';
import type {PlacementDecision, PlacementRequest} from '../src/routing/request.js';
import {Scheduler} from '../src/routing/scheduler.js';
import {listServerVersions} from '../src/serving/engines.js';
import type {Call, ServingContext} from '../src/serving/context.js';
import {PlacementClient} from '../src/serving/placement.js';
import {findResumedSoftware} from '../src/serving/resumption.js';
import {StreamCall} from '../src/serving/streamcall.js';
import {createEngine, createRequest, NO_ORIGIN_COPIES} from './pool.js';

const ENGINES = [createEngine('d1', 'decode', {software: 'v1'}), createEngine('d2', 'decode', {software: 'v2'}), createEngine('p1', 'prefill', {software: 'v1'}), createEngine('p2', 'prefill', {software: 'v2'})];

test('a resumed stream is prefilled and run only at the software version that began it, also when the others are idle', () => {
	for (const software of ['v1', 'v2']) {
		const scheduler = createScheduler();
		for (let index = 0; index < 60; index++) {
			const id = `${software}-${index}`;
			const decision = scheduler.place(createRequest(id, index % 2 === 0 ? 100 : 9000, {resumption: {software}}), index);
			const run = decision.type === 'assignment' && decision.reader !== undefined ? scheduler.recordMilestone(id, 'read', {}, index) : undefined;
			assert.ok(listServers(decision, run).every(server => server.endsWith(software.slice(1))), `${index}`);
		}
	}
});

test('the scheduler that placed a stream, and the one that takes over, know which software version began it', () => {
	const placing = createScheduler();
	const backup = createScheduler();
	const begun = placing.place(createRequest('a', 100), 0);
	assert.ok(begun.type === 'assignment');
	backup.recordPlacement(createRequest('a', 100), undefined, begun.runner!, 0);
	placing.recordMilestone('a', 'first', {}, 10);
	placing.recordMilestone('a', 'failed', {server: begun.runner!}, 20);
	backup.recordMilestone('a', 'done', {}, 20);
	for (const scheduler of [placing, backup]) {
		const resumed = scheduler.place(createRequest('b', 100, {resumption: {attempt: 'a'}}), 2000);
		assert.equal(listServers(resumed)[0]?.slice(1), begun.runner!.slice(1));
	}
});

test('a placement that brought no event is not taken for the origin of a stream', () => {
	const scheduler = createScheduler();
	scheduler.place(createRequest('a', 100), 0);
	scheduler.recordMilestone('a', 'refused', {}, 10);
	assert.equal(scheduler.findOrigin('a', 20), undefined);
	const resumed = scheduler.place(createRequest('b', 100, {resumption: {attempt: 'a'}}), 20);
	assert.ok(resumed.type === 'rejection' && resumed.isOriginUnknown === true);
});

test('a resumption that brought no event is not taken for the origin of a stream, unless events of it were forwarded before', () => {
	const scheduler = createScheduler();
	scheduler.recordOrigin('begun', 'v1', 0);
	scheduler.place(createRequest('next', 100, {resumption: {attempt: 'begun'}}), 0);
	scheduler.recordMilestone('next', 'refused', {}, 10);
	assert.equal(scheduler.findOrigin('next', 20), undefined);
	scheduler.place(createRequest('begun', 100, {resumption: {software: 'v1'}}), 30);
	scheduler.recordMilestone('begun', 'refused', {}, 40);
	assert.equal(scheduler.findOrigin('begun', 50), 'v1');
});

test('no control host takes a placement that brought no event for the origin of a stream, neither the first in rank nor the backup', async () => {
	const schedulers = {c1: createScheduler(), c2: createScheduler()};
	const {client} = createClient(schedulers);
	for (const hasEvent of [false, true]) {
		const request = createRequest(`a-${hasEvent}`, 100);
		const runner = await placeRunner(client, request);
		client.notifyBackup(request, undefined, runner);
		if (hasEvent) {
			client.reportMilestone(request.id, 'first', undefined);
		}

		client.reportMilestone(request.id, 'failed', runner);
		const software = hasEvent ? `v${runner.slice(1)}` : undefined;
		assert.deepEqual(Object.values(schedulers).map(scheduler => scheduler.findOrigin(request.id, 0)), [software, software]);
	}
});

test('a control host that placed a request which another host places again is told to drop its placement', async () => {
	const schedulers: Record<string, Scheduler> = {c1: createScheduler(), c2: createScheduler()};
	const {client, asked, setDown} = createClient(schedulers);
	const request = createRequest('a', 100);
	const runner = await placeRunner(client, request);
	client.notifyBackup(request, undefined, runner);
	setDown(asked[0]!);
	const {by} = await client.place({...request, excluded: [runner]});
	assert.notEqual(by, asked[0]);
	assert.equal(schedulers[asked[0]!]!.findOrigin('a', 0), undefined);
});

test('a resumed stream is rejected when its software version does not serve any more', () => {
	const scheduler = createScheduler();
	const resumed = scheduler.place(createRequest('b', 100, {resumption: {software: 'v0'}}), 0);
	assert.ok(resumed.type === 'rejection' && resumed.isOriginUnknown === undefined && resumed.reason.includes('v0'), JSON.stringify(resumed));
});

test('a version that served a moment ago may have begun a stream of unknown origin; one that is gone for a minute cannot', () => {
	const versions = new SoftwareVersions(Number.NEGATIVE_INFINITY);
	const serve = (nowMs: number, ...software: string[]) => {
		versions.update(software.map(version => ({service: 'llm', software: version, isGone: false})), nowMs);
	};

	assert.equal(versions.findOnly('llm', 0), undefined);
	serve(0, 'v1');
	assert.equal(versions.findOnly('llm', 0), 'v1');
	serve(1000, 'v1', 'v2');
	assert.equal(versions.findOnly('llm', 1000), undefined);
	serve(2000, 'v2');
	assert.equal(versions.findOnly('llm', 2000), undefined);
	assert.equal(versions.findOnly('llm', 62_000), undefined);
	assert.equal(versions.findOnly('llm', 62_001), 'v2');
	assert.equal(versions.findOnly('other', 63_000), undefined);
	serve(63_000, 'v2', 'v1');
	assert.equal(versions.findOnly('llm', 63_000), undefined);
});

test('a version whose servers have all left before the first report of them may have begun a stream', () => {
	const versions = new SoftwareVersions(Number.NEGATIVE_INFINITY);
	const report = [{service: 'llm', software: 'v1', isGone: true}, {service: 'llm', software: 'v2', isGone: false}];
	versions.update(report, 1000);
	assert.equal(versions.findOnly('llm', 61_000), undefined);
	assert.equal(versions.findOnly('llm', 61_001), 'v2');
	versions.update(report, 61_001);
	assert.equal(versions.findOnly('llm', 61_001), 'v2');
});

test('the version of a server that leaves may begin streams until it is gone; so may the former version of one that started again', () => {
	const registry = new ServerRegistry();
	const versions = new SoftwareVersions(Number.NEGATIVE_INFINITY);
	const announce = (server: string, software: string, nowMs: number, fields: Partial<Announcement> = {}) => {
		registry.merge({
			server, software, kind: 'engine', services: ['llm'], address: '10.0.0.1', port: Number(server.slice(1)), incarnation: 1, sequence: nowMs, ...fields,
		}, nowMs);
		versions.update(listServerVersions(registry.listStatuses()), nowMs);
	};

	announce('e1', 'v1', 0);
	for (let nowMs = 1000; nowMs <= 100_000; nowMs += 1000) {
		announce('e1', 'v1', nowMs, {leaving: true});
		announce('e2', 'v2', nowMs);
		registry.expire(nowMs);
	}

	assert.deepEqual(registry.listUsable().map(({server}) => server), ['e2']);
	assert.equal(versions.findOnly('llm', 100_000), undefined);
	registry.deregister('e1');
	announce('e2', 'v3', 101_000, {incarnation: 2});
	assert.equal(versions.findOnly('llm', 161_000), undefined);
	assert.equal(versions.findOnly('llm', 161_001), 'v3');
});

test('origins are kept for a minute and bounded', () => {
	const origins = new StreamOrigins();
	origins.record('a', 'v1', 0);
	assert.equal(origins.findSoftware('a', 60_000), 'v1');
	assert.equal(origins.findSoftware('a', 60_001), undefined);
	for (let index = 0; index < 60_000; index++) {
		origins.record(`b${index}`, 'v2', 1);
	}

	assert.equal(origins.findSoftware('b0', 1), undefined);
	assert.equal(origins.findSoftware('b10000', 1), 'v2');
});

test('an entry host asks the other control hosts if the first one does not know the origin of a stream', async () => {
	let holder: string | undefined;
	const {client, asked} = createClient({c1: createScheduler(), c2: createScheduler(), c3: createScheduler()}, {
		prepare(schedulers, others) {
			holder = others.at(-1)!;
			schedulers[holder]!.recordOrigin('a', 'v2', 0);
		},
	});
	const {decision, by} = await client.place(createRequest('b', 100, {resumption: {attempt: 'a'}}));
	assert.deepEqual(listServers(decision), ['d2']);
	assert.equal(by, holder);
	assert.notEqual(asked[0], holder);
	const unknown = await client.place(createRequest('c', 100, {resumption: {attempt: 'unknown'}}));
	assert.ok(unknown.decision.type === 'rejection' && unknown.decision.isOriginUnknown === true);
});

test('a host that is cut off from the control hosts resumes only streams whose origin it knows itself', async () => {
	const {client} = createClient({});
	client.recordOrigin('a', 'v2', {isResumable: true});
	assert.deepEqual(listServers((await client.place(createRequest('b', 100, {resumption: {attempt: 'a'}}))).decision), ['d2']);
	for (const resumption of [{attempt: 'other'}, {}]) {
		const {decision} = await client.place(createRequest('c', 100, {resumption}));
		assert.ok(decision.type === 'rejection' && decision.isOriginUnknown === true);
	}
});

test('a host that places by itself does not take the only version that it has seen for the one that began a stream', async () => {
	const {client} = createClient({}, {localScheduler: createScheduler(ENGINES.filter(({software}) => software === 'v2'))});
	for (const resumption of [{attempt: 'other'}, {}]) {
		const {decision} = await client.place(createRequest('c', 100, {resumption}));
		assert.ok(decision.type === 'rejection' && decision.isOriginUnknown === true, JSON.stringify(decision));
	}
});

test('an entry host asks the other control hosts for the origin of a stream if the first one responds too late', async () => {
	const schedulers = {c1: createScheduler(), c2: createScheduler()};
	const {client: probe, asked} = createClient(schedulers);
	await probe.place(createRequest('a', 100));
	probe.reportMilestone('a', 'done', undefined);
	const [first] = asked as [keyof typeof schedulers];
	for (const scheduler of Object.values(schedulers)) {
		scheduler.recordOrigin('begun', 'v2', 0);
	}

	const {client} = createClient(schedulers, {late: [first]});
	const {decision, by} = await client.place(createRequest('b', 100, {resumption: {attempt: 'begun'}}));
	assert.deepEqual(listServers(decision), ['d2']);
	assert.equal(by, first === 'c1' ? 'c2' : 'c1');
	assert.equal(schedulers[first].openCount, 0);
});

test('a scheduler takes the only version for the one that began a stream once it has seen all servers for a minute', () => {
	const serving = ENGINES.filter(({software}) => software === 'v2');
	for (const {versionsKnownSinceMs, onlySinceMs} of [{versionsKnownSinceMs: Number.NEGATIVE_INFINITY, onlySinceMs: 0}, {versionsKnownSinceMs: 500, onlySinceMs: 60_501}, {onlySinceMs: Number.POSITIVE_INFINITY}]) {
		const scheduler = new Scheduler(versionsKnownSinceMs === undefined ? {} : {versionsKnownSinceMs});
		scheduler.updateEngines(serving);
		scheduler.updateVersions(serving.map(engine => ({...engine, isGone: false})), 500);
		for (const [index, nowMs] of [500, 60_500, 60_501, 1e9].entries()) {
			for (const resumption of [{attempt: 'unknown'}, {}]) {
				const decision = scheduler.place(createRequest(`b${index}`, 100, {resumption}), nowMs);
				assert.equal(decision.type, nowMs >= onlySinceMs ? 'assignment' : 'rejection', `${versionsKnownSinceMs} ${nowMs} ${JSON.stringify(decision)}`);
				assert.ok(decision.type === 'assignment' || decision.isOriginUnknown === true);
			}
		}
	}
});

test('a stream is not resumed at an engine that has started again with another version, though the control host does not know yet', async () => {
	const isKnown = ({server, software}: EngineInfo) => server === 'p1' || software === 'v2';
	const restarted = ENGINES.filter(engine => isKnown(engine)).map(engine => engine.server === 'd2' ? {...engine, server: 'd1', incarnation: 2} : engine);
	const control = createScheduler(ENGINES.filter(({software}) => software === 'v1'));
	const {client} = createClient({c1: control}, {localScheduler: createScheduler(restarted)});
	const {decision} = await client.place(createRequest('a', 100, {resumption: {software: 'v1'}}));
	assert.equal(decision.type, 'rejection');
	assert.equal(control.openCount, 0);
	const {decision: prefilled} = await client.place(createRequest('b', 9000, {resumption: {software: 'v1'}}));
	assert.ok(prefilled.type === 'assignment' && prefilled.reader === 'p1', JSON.stringify(prefilled));
	const {decision: chosen} = await client.chooseRunner(createRequest('b', 9000, {resumption: {software: 'v1'}}), 'p1');
	assert.equal(chosen.type, 'rejection');
	assert.equal(control.openCount, 0);
});

test('a stream whose origin only the control host knows is not resumed at an engine that has started again with another version', async () => {
	const {control, client} = createRestarted();
	const {decision} = await client.place(createRequest('a', 100, {resumption: {attempt: 'begun'}}));
	assert.equal(decision.type, 'rejection', JSON.stringify(decision));
	assert.equal(control.openCount, 0);
});

test('a stream whose origin only the control host knows is not run, after its prefill, at an engine that has started again with another version', async () => {
	const {control, client} = createRestarted();
	const {decision: prefilled} = await client.place(createRequest('b', 9000, {resumption: {attempt: 'begun'}}));
	assert.ok(prefilled.type === 'assignment' && prefilled.reader === 'p1', JSON.stringify(prefilled));
	const {decision: chosen} = await client.chooseRunner(createRequest('b', 9000, {resumption: {attempt: 'begun'}}), 'p1');
	assert.equal(chosen.type, 'rejection', JSON.stringify(chosen));
	assert.equal(control.openCount, 0);
});

test('a stream that a control host would resume at an engine with another version is resumed at one of its version that this host knows', async () => {
	const {client} = createRestarted(createEngine('d3', 'decode', {software: 'v1'}));
	const {decision, by} = await client.place(createRequest('a', 100, {resumption: {attempt: 'begun'}}));
	assert.deepEqual(listServers(decision), ['d3']);
	assert.equal(by, 'self');
});

test('a scheduler says at which software version it resumes a stream, and nothing of a request that resumes none', () => {
	const scheduler = createScheduler();
	scheduler.recordOrigin('begun', 'v2', 0);
	const resumption = {attempt: 'begun'};
	const placed = scheduler.place(createRequest('a', 9000, {resumption}), 0);
	const chosen = scheduler.recordMilestone('a', 'read', {}, 0);
	const refused = scheduler.place(createRequest('b', 100, {service: 'other', resumption}), 0);
	const begun = scheduler.place(createRequest('c', 100), 0);
	assert.ok(placed.type === 'assignment' && placed.reader === 'p2');
	assert.ok(chosen?.type === 'assignment' && refused.type === 'rejection' && begun.type === 'assignment');
	assert.deepEqual([placed, chosen, refused, begun].map(({software}) => software), ['v2', 'v2', 'v2', undefined]);
});

test('a request without a prompt, or to a service without engines, goes on at the version that the control host found, whatever servers this host knows', async () => {
	const engine = createEngine('d1', 'decode');
	const restarted = {...engine, software: 'v2', incarnation: 2};
	const found: unknown[] = [];
	for (const {engines, local} of [{engines: true, local: []}, {engines: true, local: [createEngine('d3', 'decode'), restarted]}, {engines: false, local: []}]) {
		const control = createScheduler(engines ? [engine] : []);
		control.recordOrigin('begun', 'v1', 0);
		const {client} = createClient({c1: control}, {localScheduler: createScheduler(local)});
		const software = await findResumedSoftware(...createResumedCall(client, engines, [{...restarted, services: ['llm']} as unknown as Announcement]));
		found.push(Either.isRight(software) ? software.right : software.left);
	}

	assert.deepEqual(found, ['v1', 'v1', 'v1']);
});

test('a stream is not run at an engine that has started again with another version, though it is not among the usable ones of this host', async () => {
	const control = createScheduler([createEngine('d1', 'decode')]);
	control.recordOrigin('begun', 'v1', 0);
	for (const software of ['v1', 'v2']) {
		const {client} = createClient({c1: control}, {localScheduler: createScheduler([])});
		const [context, call] = createResumedCall(client, true, [{...createEngine('d1', 'decode', {software}), services: ['llm']} as unknown as Announcement]);
		let checkCount = 0;
		const crashes = {
			// Checked before the request is placed, and again once it has a runner.
			isQuarantined: () => ++checkCount > 1,
			isProbe: () => false,
		} as unknown as ServingContext['crashes'];
		await new StreamCall({...context, crashes}, call, {
			model: 'm', parts: [], promptTokens: 100, outputTokens: 10,
		}).run();
		assert.equal(checkCount > 1, software === 'v1');
		assert.ok(call.caller.isEnded);
	}
});

test('a stream is resumed, with and without a prompt, through an older control host, which does not say at which version', async () => {
	const control = createScheduler();
	control.recordOrigin('begun', 'v2', 0);
	const {client} = createClient({c1: control}, {isOlder: true});
	const {decision, by} = await client.place(createRequest('a', 100, {resumption: {attempt: 'begun'}}));
	assert.deepEqual([by, listServers(decision), decision.software], ['c1', ['d2'], undefined]);
	const engine = {...createEngine('d2', 'decode', {software: 'v2'}), services: ['llm']} as unknown as Announcement;
	const software = await findResumedSoftware(...createResumedCall(client, true, [engine]));
	assert.equal(Either.isRight(software) && software.right, 'v2');
});

test('a control host that responds too late drops the placement, and its runner is not the origin of the stream', async () => {
	const scheduler = createScheduler();
	const {client} = createClient({c1: scheduler}, {late: ['c1']});
	const {by} = await client.place(createRequest('a', 100));
	assert.equal(by, 'self');
	assert.equal(scheduler.findOrigin('a', 0), undefined);
	assert.equal(scheduler.openCount, 0);
});

test('a control host that responds too late to the end of a prefill is not asked for the origin of the stream', async () => {
	const scheduler = createScheduler();
	const {client, setLate} = createClient({c1: scheduler});
	const {decision} = await client.place(createRequest('a', 9000));
	assert.ok(decision.type === 'assignment' && decision.reader !== undefined);
	setLate();
	const {by} = await client.chooseRunner(createRequest('a', 9000), decision.reader);
	assert.equal(by, 'self');
	assert.equal(scheduler.findOrigin('a', 0), undefined);
	assert.equal(scheduler.openCount, 0);
});

/** A client that knows that d1 has started again with v2, and a control host that does not, but knows that v1 began a stream. */
function createRestarted(...others: EngineInfo[]) {
	const control = createScheduler(ENGINES.filter(({software}) => software === 'v1'));
	control.recordOrigin('begun', 'v1', 0);
	const restarted = [createEngine('d1', 'decode', {software: 'v2', incarnation: 2}), createEngine('p1', 'prefill', {software: 'v1'})];
	return {control, ...createClient({c1: control}, {localScheduler: createScheduler([...restarted, ...others])})};
}

/** A next try of a stream, and a context with what finding its version and placing it needs. */
function createResumedCall(placement: PlacementClient, engines: boolean, servers: readonly Announcement[]): [ServingContext, Call] {
	const context: Partial<ServingContext> = {
		placement, dataCentre: 'x', clock: {monotonicMs: () => 0, wallMs: () => 0}, listServers: () => servers, findServer: name => servers.find(({server}) => server === name), random: () => 0.5,
		availability: {
			isAvailable: () => true, drawHeldBack: () => [], listUnavailable: () => [], listRefusing: () => [],
		} as unknown as ServingContext['availability'],
		transport: {hasIdleConnection: () => false} as unknown as ServingContext['transport'],
		metrics: {placements: {inc: () => undefined}} as unknown as ServingContext['metrics'],
	};
	const caller = {
		isEnded: false,
		onEnd: () => undefined,
		fail() {
			caller.isEnded = true;
		},
	};
	const call = {
		caller, logFields: {servers: []}, arrivedMs: 0, suspect: {getFingerprint: () => 'f'},
		head: {
			id: 'a', key: 'a', resumedAttempt: 'begun', lastEventId: '2',
		}, service: 'llm', body: null, deadlineMs: 3000, priority: 1,
		route: {priority: 1, objectiveMs: 600}, routeTable: {findService: () => ({engines})},
	};
	return [context as ServingContext, call as unknown as Call];
}

type ClientOptions = {
	/** Called at the first offer, with the hosts that did not get it. */
	readonly prepare?: (schedulers: Record<string, Scheduler>, others: string[]) => void;
	/** Control hosts whose responses come too late. */
	readonly late?: readonly string[];
	/** Whether the control hosts leave out the version at which a stream is resumed. */
	readonly isOlder?: boolean;
	readonly localScheduler?: Scheduler;
};

/** A client of schedulers by control host. */
function createClient(schedulers: Record<string, Scheduler>, {prepare, late = [], isOlder = false, localScheduler = createScheduler()}: ClientOptions = {}) {
	const asked: string[] = [];
	const lateHosts = new Set(late);
	const downHosts = new Set<string>();
	const client: PlacementClient = new PlacementClient({
		originStore: NO_ORIGIN_COPIES,
		hosts: {
			listLive: () => Object.keys(schedulers).filter(host => !downHosts.has(host)),
			send(host, message: Message) {
				const scheduler = schedulers[host]!;
				if (message.type === 'milestone') {
					const decision = scheduler.recordMilestone(message.id, message.stage, {server: message.server}, 0);
					if (decision && !lateHosts.has(host)) {
						client.receive(decision, host);
					}
				}

				if (message.type === 'offer') {
					asked.push(host);
					if (asked.length === 1) {
						prepare?.(schedulers, Object.keys(schedulers).filter(other => other !== host));
					}

					const {software, ...decision} = scheduler.place({bodyBytes: 0, connected: [], ...message}, 0);
					if (!lateHosts.has(host)) {
						client.receive({...decision, ...(!isOlder && software !== undefined && {software})}, host);
					}
				}

				if (message.type === 'shadow') {
					const {type: _type, reader, runner, ...request} = message;
					scheduler.recordPlacement(request, reader, runner, 0);
				}

				return true;
			},
		},
		localScheduler,
		localLimiter: createFallbackLimiter(() => undefined, {countHosts: () => 3, random: () => 0.5}),
		clock: {monotonicMs: () => 0, wallMs: () => 0},
	});
	return {
		client,
		asked,
		/** From now on a control host is not asked, though messages reach it: it has lost its majority. */
		setDown(host: string) {
			downHosts.add(host);
		},
		/** From now on no control host responds in time. */
		setLate() {
			for (const host of Object.keys(schedulers)) {
				lateHosts.add(host);
			}
		},
	};
}

function createScheduler(engines: readonly EngineInfo[] = ENGINES): Scheduler {
	const scheduler = new Scheduler();
	scheduler.updateEngines(engines);
	return scheduler;
}

async function placeRunner(client: PlacementClient, request: PlacementRequest): Promise<string> {
	const {decision} = await client.place(request);
	assert.ok(decision.type === 'assignment' && decision.runner !== undefined);
	return decision.runner;
}

function listServers(...decisions: Array<PlacementDecision | undefined>): string[] {
	return decisions.flatMap(decision => decision?.type === 'assignment' ? [decision.reader, decision.runner] : []).filter(server => server !== undefined);
}
