import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {after, before, test} from 'node:test';
import {promisify} from 'node:util';
import {
	bookSeat, countRuns, findLeader, readEngineCounters, fetchMembers, streamCompletion,
} from '../dev/client.js';
import {
	killProcess, isRunning, ProcessFleet, waitUntil, type FleetProcess,
} from '../dev/fleet.js';
import {POISON_WORD} from '../fakes/engine.js';

const TOOL = path.resolve(import.meta.dirname, '../src/tool/carawayhoist.js');
const RESOURCES = path.resolve(import.meta.dirname, '../../examples/resources.json');
const execute = promisify(execFile);

let fleet: ProcessFleet;

before(async () => {
	fleet = await ProcessFleet.start({
		controlHosts: 3, entryHosts: 2, engines: 4, plainServers: 2, plainServerArguments: ['--work', '400'],
	});
	await runTool(fleet.hosts[0]!, 'apply', '-f', RESOURCES);
	await waitUntil(async () => {
		const statuses = await Promise.all(fleet.hosts.map(async ({url}) => (await fetch(`${url}/booking/agenda`)).status));
		return statuses.every(status => status === 200);
	}, 'all hosts serve the services');
});

after(async () => {
	await fleet.stop();
});

test('the control leader is killed during a booking: the booking runs once and is answered', async () => {
	const leader = await waitForLeader();
	const entry = findOtherHost(leader);
	const booking = bookSeat(entry.url, 'leader-killed');
	await waitUntil(async () => await countRuns(fleet, 'leader-killed') === 1, 'the booking runs');
	await killProcess(leader);
	const answer = await booking;
	assert.equal(answer.status, 200);
	const retried = await bookSeat(findOtherHost(leader, entry).url, 'leader-killed');
	assert.deepEqual(retried, answer);
	assert.equal(await countRuns(fleet, 'leader-killed'), 1);
	await fleet.restartHost(leader, {wipe: false});
	await waitUntilAllReady();
});

test('the control leader is paused: another host becomes leader, and the old one changes nothing when it resumes', async () => {
	const leader = await waitForLeader();
	const entry = findOtherHost(leader);
	leader.child.kill('SIGSTOP');
	await waitUntil(async () => (await findLeader(fleet, entry)) !== leader, 'there is another leader');
	await runTool(entry, 'apply', '-f', RESOURCES);
	leader.child.kill('SIGCONT');
	const version = await fetchViewVersion(entry);
	await waitUntil(async () => await fetchViewVersion(leader) >= version, 'the old leader has the configuration');
	assert.notEqual(await findLeader(fleet, leader), leader);
	assert.equal((await bookSeat(leader.url, 'after-pause')).status, 200);
	assert.equal(await countRuns(fleet, 'after-pause'), 1);
});

test('an entry host is killed during a booking: the booking never runs twice', async () => {
	const entry = fleet.hosts[3]!;
	const other = fleet.hosts[4]!;
	const booking = bookSeat(entry.url, 'entry-killed');
	await waitUntil(async () => await countRuns(fleet, 'entry-killed') === 1, 'the booking runs');
	await killProcess(entry);
	assert.equal((await booking).status, 0);
	const retried = await bookSeat(other.url, 'entry-killed');
	assert.equal(retried.status, 409);
	assert.equal(retried.code, 4001);
	assert.equal(retried.outcome, 'unknown');
	assert.equal(await countRuns(fleet, 'entry-killed'), 1);
	await fleet.restartHost(entry, {wipe: false});
	await waitUntilAllReady();
});

test('an entry host is paused during a booking: its response is known to all hosts after it resumes', async () => {
	const entry = fleet.hosts[3]!;
	const booking = bookSeat(entry.url, 'entry-paused');
	await waitUntil(async () => await countRuns(fleet, 'entry-paused') === 1, 'the booking runs');
	entry.child.kill('SIGSTOP');
	const duringPause = await bookSeat(fleet.hosts[4]!.url, 'entry-paused');
	assert.equal(duringPause.code, 4001);
	entry.child.kill('SIGCONT');
	const answer = await booking;
	assert.equal(answer.status, 200);
	await waitUntil(async () => (await bookSeat(fleet.hosts[4]!.url, 'entry-paused')).text === answer.text, 'the answer is known everywhere');
	assert.equal(await countRuns(fleet, 'entry-paused'), 1);
});

test('an idempotency key that is reused with another body is refused as not run', async () => {
	assert.equal((await bookSeat(fleet.hosts[0]!.url, 'reused', 'A1')).status, 200);
	const other = await bookSeat(fleet.hosts[4]!.url, 'reused', 'B2');
	assert.deepEqual([other.status, other.code, other.outcome], [422, 4002, 'not-run']);
	assert.equal(await countRuns(fleet, 'reused'), 1);
});

test('concurrent requests with one idempotency key through all hosts run once and get the same response', async () => {
	const answers = await Promise.all(Array.from({length: 15}, async (_, index) => bookSeat(fleet.hosts[index % 5]!.url, 'raced')));
	assert.equal(await countRuns(fleet, 'raced'), 1);
	assert.deepEqual(new Set(answers.map(({status, text}) => `${status} ${text}`)).size, 1);
	assert.equal(answers[0]!.status, 200);
});

test('without a majority of control hosts a booking is refused as not run, and repeatable requests are still served', async () => {
	const paused = fleet.hosts.slice(0, 2);
	for (const {child} of paused) {
		child.kill('SIGSTOP');
	}

	const entry = fleet.hosts[4]!;
	const refused = await bookSeat(entry.url, 'no-majority');
	const summary = await streamCompletion(entry.url, {model: 'summary-1', content: 'without a majority'});
	for (const {child} of paused) {
		child.kill('SIGCONT');
	}

	assert.deepEqual([refused.status, refused.code, refused.outcome], [503, 4003, 'not-run']);
	assert.ok(summary.isComplete);
	assert.equal(await countRuns(fleet, 'no-majority'), 0);
	await waitUntil(async () => (await bookSeat(entry.url, 'no-majority')).status === 200, 'bookings are accepted again');
	assert.equal(await countRuns(fleet, 'no-majority'), 1);
});

test('an engine is killed during streams: every caller gets a complete response', async () => {
	const streams = startStreams(12, 'engine killed');
	const engine = await waitForBusyEngine();
	await killProcess(engine);
	await assertAllComplete(streams);
	await restartBackend(engine);
});

test('an engine stops responding during streams: every caller gets a complete response', async () => {
	const streams = startStreams(8, 'engine silent');
	const engine = await waitForBusyEngine();
	engine.child.kill('SIGSTOP');
	await assertAllComplete(streams);
	engine.child.kill('SIGCONT');
});

test('a drain under load aborts no stream, and the drained engine gets no new requests', async () => {
	const streams = startStreams(12, 'drain under load');
	const engine = await waitForBusyEngine();
	await runTool(fleet.hosts[0]!, 'drain', engine.name, '--wait', '--name', 'drain-under-load');
	const before = countRequests(await readEngineCounters(engine));
	await assertAllComplete(startStreams(12, 'after the drain'));
	assert.equal(countRequests(await readEngineCounters(engine)), before);
	await assertAllComplete(streams);
	await runTool(fleet.hosts[0]!, 'delete', 'change', 'drain-under-load');
});

test('the control leader is killed during a role change: the order is executed once and aborts no stream', async () => {
	const leader = await waitForLeader();
	const entry = findOtherHost(leader);
	const streams = startStreams(12, 'role change', fleet.hosts.filter(host => host !== leader));
	const engine = await waitForBusyEngine();
	const change = runTool(entry, 'role', engine.name, 'decode', '--wait', '--name', 'role-killed');
	await waitUntil(async () => (await fetchChange(entry, 'role-killed')) !== undefined, 'the change is declared');
	await killProcess(leader);
	await change;
	await assertAllComplete(streams);
	const {orders, cutByOrder, role} = await readEngineCounters(engine);
	assert.equal(new Set(orders.map(({order}) => order)).size, orders.length);
	assert.equal(orders.filter(({type}) => type === 'role').length, 1);
	assert.equal(cutByOrder, 0);
	assert.equal(role, 'decode');
	await fleet.restartHost(leader, {wipe: false});
	await waitUntilAllReady();
});

test('an engine is killed during a role change: after its restart it executes the same order', async () => {
	const engine = listEngines()[0]!;
	const entry = fleet.hosts[4]!;
	const change = runTool(entry, 'role', engine.name, 'prefill', '--wait', '--name', 'engine-lost');
	await waitUntil(async () => (await readEngineCounters(engine)).orders.length > 0, 'the order arrives').catch(async (error: unknown) => {
		throw new Error(`${String(error)} ${await describeFleet('engine-lost')}`);
	});
	await killProcess(engine);
	await restartBackend(engine);
	await change;
	const {orders, role} = await readEngineCounters(fleet.backends.find(({name}) => name === engine.name)!);
	assert.equal(orders.length, 1);
	assert.equal(role, 'prefill');
});

test('an entry host is stopped under load: it finishes the running requests and exits with 0', async () => {
	const entry = fleet.hosts[4]!;
	const streams = startStreams(10, 'stopped under load', [entry]);
	await waitForBusyEngine();
	entry.child.kill('SIGTERM');
	await assertAllComplete(streams);
	await waitUntil(async () => !isRunning(entry), 'the entry host exits');
	assert.equal(entry.child.exitCode, 0);
	await fleet.restartHost(entry, {wipe: false});
	await waitUntilAllReady();
});

test('a control host loses its disk and is replaced; right after the reconfiguration another one is killed', async () => {
	const entry = fleet.hosts[4]!;
	const leader = await waitForLeader();
	const wipedHost = fleet.hosts.slice(0, 3).find(host => host !== leader)!;
	const oldMember = (await fetchMembers(entry)).configuration.voters.find(({host}) => host === wipedHost.name)!;
	await killProcess(wipedHost);
	assert.equal((await bookSeat(entry.url, 'before-repair')).status, 200);
	await fleet.restartHost(wipedHost, {wipe: true});
	await runTool(entry, 'control', 'replace', oldMember.replica, oldMember.host, oldMember.address, String(oldMember.port));
	await waitUntil(async () => {
		const {repair, configuration} = await fetchMembers(entry);
		return repair === undefined && configuration.voters.length === 3 && !configuration.voters.some(({replica}) => replica === oldMember.replica);
	}, 'the reconfiguration is finished');
	const secondHost = fleet.hosts.slice(0, 3).find(host => host.name !== wipedHost.name)!;
	await killProcess(secondHost);
	await waitUntil(async () => (await bookSeat(entry.url, 'after-second-loss')).status === 200, 'bookings are accepted after the second loss');
	assert.deepEqual(await bookSeat(entry.url, 'before-repair'), await bookSeat(fleet.hosts[3]!.url, 'before-repair'));
	assert.equal(await countRuns(fleet, 'before-repair'), 1);
	await fleet.restartHost(secondHost, {wipe: false});
	await waitUntilAllReady();
});

test('a request that crashes engines is rejected after two crashes, whichever host it is sent to; other requests are served', async () => {
	const content = `please ${POISON_WORD}`;
	const otherStreams = startStreams(8, 'beside the poison');
	await waitForBusyEngine();
	const codes: number[] = [];
	for (let send = 0; send < 6; send++) {
		const {code} = await streamCompletion(fleet.hosts[send % 5]!.url, {model: 'chat-1', content});
		codes.push(code);
	}

	assert.deepEqual(new Set(codes), new Set([3003]));
	const lost = listEngines().filter(engine => !isRunning(engine));
	assert.ok(lost.length <= 2, lost.length <= 2 ? undefined : await describeFleet());
	await assertAllComplete(otherStreams);
	await assertAllComplete(startStreams(8, 'after the poison'));
});

function listEngines(): FleetProcess[] {
	return fleet.backends.filter(({role}) => role === 'engine');
}

function startStreams(count: number, title: string, entries: readonly FleetProcess[] = fleet.hosts): Array<ReturnType<typeof streamCompletion>> {
	const usable = entries.filter(entry => isRunning(entry));
	return Array.from({length: count}, async (_, index) => streamCompletion(usable[index % usable.length]!.url, {model: 'chat-1', content: `${title} ${index}`}));
}

async function assertAllComplete(streams: ReadonlyArray<ReturnType<typeof streamCompletion>>): Promise<void> {
	const results = await Promise.all(streams);
	const incomplete = results.filter(({isComplete}) => !isComplete);
	assert.deepEqual(incomplete.map(({status, code, tokens}) => ({status, code, tokens})), []);
}

/** Waits until streams are running and returns the engine that runs the most. */
async function waitForBusyEngine(): Promise<FleetProcess> {
	let busiest: FleetProcess | undefined;
	await waitUntil(async () => {
		const alive = listEngines().filter(engine => isRunning(engine));
		const counts = await Promise.all(alive.map(async engine => (await readEngineCounters(engine)).running));
		const most = Math.max(...counts);
		busiest = alive[counts.indexOf(most)];
		return most > 0;
	}, 'an engine is busy');
	return busiest!;
}

async function restartBackend(record: FleetProcess): Promise<void> {
	const restarted = fleet.startBackend({
		kind: record.role, name: record.name, port: Number(new URL(record.url).port), entries: fleet.hosts.map(({url}) => url), extra: [],
	});
	fleet.backends[fleet.backends.indexOf(record)] = restarted;
	await waitUntil(async () => (await fetch(`${record.url}/runs`)).status === 200, `${record.name} is back`);
}

async function waitForLeader(): Promise<FleetProcess> {
	let leader: FleetProcess | undefined;
	await waitUntil(async () => {
		leader = await findLeader(fleet, fleet.hosts[4]!);
		return leader !== undefined && isRunning(leader);
	}, 'there is a leader');
	return leader!;
}

function findOtherHost(...excluded: readonly FleetProcess[]): FleetProcess {
	return fleet.hosts.find(host => !excluded.includes(host) && isRunning(host))!;
}

async function waitUntilAllReady(): Promise<void> {
	await waitUntil(async () => {
		const statuses = await Promise.all(fleet.hosts.map(async ({url}) => (await fetch(`${url}/readyz`)).status));
		return statuses.every(status => status === 200);
	}, 'all hosts are ready');
	await waitUntil(async () => {
		const counts = await Promise.all(fleet.hosts.map(async ({url}) => (await (await fetch(`${url}/api/v1/status`)).json() as {servers: unknown[]}).servers.length));
		return counts.every(count => count === fleet.backends.length);
	}, 'all hosts know the backend servers');
}

async function fetchViewVersion(entry: FleetProcess): Promise<number> {
	return (await (await fetch(`${entry.url}/api/v1/status`)).json() as {version: number}).version;
}

async function fetchChange(entry: FleetProcess, name: string): Promise<unknown> {
	const response = await fetch(`${entry.url}/api/v1/resources/change/${name}`);
	return response.status === 200 ? response.json() : undefined;
}

async function runTool(entry: FleetProcess, ...commandLine: string[]): Promise<string> {
	const {stdout} = await execute(process.execPath, [TOOL, '--host', entry.url, ...commandLine]);
	return stdout;
}

/** Describes what decides whether a change makes progress: the change, the processes, and the status of hosts and engines. */
async function describeFleet(change?: string): Promise<string> {
	const fetchJson = async (url: string): Promise<unknown> => {
		try {
			return await (await fetch(url, {signal: AbortSignal.timeout(1000)})).json();
		} catch (error) {
			return String(error);
		}
	};

	const hosts = await Promise.all(fleet.hosts.map(async ({name, url}) => [name, await fetchJson(`${url}/api/v1/status`)]));
	const engines = await Promise.all(listEngines().map(async ({name, url, child}) => [name, child.exitCode, child.signalCode, await fetchJson(`${url}/runs`)]));
	return JSON.stringify({change: change !== undefined && await fetchJson(`${fleet.hosts[4]!.url}/api/v1/resources/change/${change}`), hosts, engines});
}

function countRequests(runs: {readonly requests: Record<string, number>}): number {
	return Object.values(runs.requests).reduce((sum, count) => sum + count, 0);
}
