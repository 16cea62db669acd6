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
	await tool(fleet.hosts[0]!, 'apply', '-f', RESOURCES);
	await waitUntil(async () => {
		const statuses = await Promise.all(fleet.hosts.map(async ({url}) => (await fetch(`${url}/booking/agenda`)).status));
		return statuses.every(status => status === 200);
	}, 'services on all hosts');
});

after(async () => {
	await fleet.stop();
});

test('the control leader is killed in the middle of a booking: it runs once and is answered', async () => {
	const leader = await someLeader();
	const entry = otherEntry(leader);
	const booking = bookSeat(entry.url, 'leader-killed');
	await waitUntil(async () => await countRuns(fleet, 'leader-killed') === 1, 'the booking runs');
	await killProcess(leader);
	const answer = await booking;
	assert.equal(answer.status, 200);
	const again = await bookSeat(otherEntry(leader, entry).url, 'leader-killed');
	assert.deepEqual(again, answer);
	assert.equal(await countRuns(fleet, 'leader-killed'), 1);
	await fleet.restartHost(leader, {wipe: false});
	await allReady();
});

test('the control leader is paused: another leads, and the old one changes nothing when it goes on', async () => {
	const leader = await someLeader();
	const entry = otherEntry(leader);
	leader.child.kill('SIGSTOP');
	await waitUntil(async () => (await findLeader(fleet, entry)) !== leader, 'another leader');
	await tool(entry, 'apply', '-f', RESOURCES);
	leader.child.kill('SIGCONT');
	const version = await viewVersion(entry);
	await waitUntil(async () => await viewVersion(leader) >= version, 'the old leader has the configuration');
	assert.notEqual(await findLeader(fleet, leader), leader);
	assert.equal((await bookSeat(leader.url, 'after-pause')).status, 200);
	assert.equal(await countRuns(fleet, 'after-pause'), 1);
});

test('an entry host is killed in the middle of a booking: it never runs twice', async () => {
	const entry = fleet.hosts[3]!;
	const other = fleet.hosts[4]!;
	const booking = bookSeat(entry.url, 'entry-killed');
	await waitUntil(async () => await countRuns(fleet, 'entry-killed') === 1, 'the booking runs');
	await killProcess(entry);
	assert.equal((await booking).status, 0);
	const again = await bookSeat(other.url, 'entry-killed');
	assert.equal(again.status, 409);
	assert.equal(again.code, 4001);
	assert.equal(again.outcome, 'unknown');
	assert.equal(await countRuns(fleet, 'entry-killed'), 1);
	await fleet.restartHost(entry, {wipe: false});
	await allReady();
});

test('an entry host is paused in the middle of a booking: when it goes on the answer is known', async () => {
	const entry = fleet.hosts[3]!;
	const booking = bookSeat(entry.url, 'entry-paused');
	await waitUntil(async () => await countRuns(fleet, 'entry-paused') === 1, 'the booking runs');
	entry.child.kill('SIGSTOP');
	const meanwhile = await bookSeat(fleet.hosts[4]!.url, 'entry-paused');
	assert.equal(meanwhile.code, 4001);
	entry.child.kill('SIGCONT');
	const answer = await booking;
	assert.equal(answer.status, 200);
	await waitUntil(async () => (await bookSeat(fleet.hosts[4]!.url, 'entry-paused')).text === answer.text, 'the answer is known everywhere');
	assert.equal(await countRuns(fleet, 'entry-paused'), 1);
});

test('a key with another body is refused as not run', async () => {
	assert.equal((await bookSeat(fleet.hosts[0]!.url, 'reused', 'A1')).status, 200);
	const other = await bookSeat(fleet.hosts[4]!.url, 'reused', 'B2');
	assert.deepEqual([other.status, other.code, other.outcome], [422, 4002, 'not-run']);
	assert.equal(await countRuns(fleet, 'reused'), 1);
});

test('many callers race with one key through all hosts: it runs once, and all get the same answer', async () => {
	const answers = await Promise.all(Array.from({length: 15}, async (_, index) => bookSeat(fleet.hosts[index % 5]!.url, 'raced')));
	assert.equal(await countRuns(fleet, 'raced'), 1);
	assert.deepEqual(new Set(answers.map(({status, text}) => `${status} ${text}`)).size, 1);
	assert.equal(answers[0]!.status, 200);
});

test('without a majority a booking is refused as not run, and repeatable work is still served', async () => {
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
	await waitUntil(async () => (await bookSeat(entry.url, 'no-majority')).status === 200, 'bookings again');
	assert.equal(await countRuns(fleet, 'no-majority'), 1);
});

test('an engine is killed in the middle of streams: every caller gets a whole answer', async () => {
	const streams = startStreams(12, 'engine killed');
	const engine = await busyEngine();
	await killProcess(engine);
	await assertWhole(streams);
	await restartBackend(engine);
});

test('an engine goes silent in the middle of streams: every caller gets a whole answer', async () => {
	const streams = startStreams(8, 'engine silent');
	const engine = await busyEngine();
	engine.child.kill('SIGSTOP');
	await assertWhole(streams);
	engine.child.kill('SIGCONT');
});

test('a drain under load cuts nothing, and the drained engine gets no new work', async () => {
	const streams = startStreams(12, 'drain under load');
	const engine = await busyEngine();
	await tool(fleet.hosts[0]!, 'drain', engine.name, '--wait', '--name', 'drain-under-load');
	const before = countRequests(await readEngineCounters(engine));
	await assertWhole(startStreams(12, 'after the drain'));
	assert.equal(countRequests(await readEngineCounters(engine)), before);
	await assertWhole(streams);
	await tool(fleet.hosts[0]!, 'delete', 'change', 'drain-under-load');
});

test('the control leader is killed in the middle of a role change: the order is carried out once and cuts nothing', async () => {
	const leader = await someLeader();
	const entry = otherEntry(leader);
	const streams = startStreams(12, 'role change', fleet.hosts.filter(host => host !== leader));
	const engine = await busyEngine();
	const change = tool(entry, 'role', engine.name, 'decode', '--wait', '--name', 'role-killed');
	await waitUntil(async () => (await readChange(entry, 'role-killed')) !== undefined, 'declared');
	await killProcess(leader);
	await change;
	await assertWhole(streams);
	const {orders, cutByOrder, role} = await readEngineCounters(engine);
	assert.equal(new Set(orders.map(({order}) => order)).size, orders.length);
	assert.equal(orders.filter(({type}) => type === 'role').length, 1);
	assert.equal(cutByOrder, 0);
	assert.equal(role, 'decode');
	await fleet.restartHost(leader, {wipe: false});
	await allReady();
});

test('an engine is killed in the middle of a role change: the same order is carried out by its next start', async () => {
	const engine = engines()[0]!;
	const entry = fleet.hosts[4]!;
	const change = tool(entry, 'role', engine.name, 'prefill', '--wait', '--name', 'engine-lost');
	await waitUntil(async () => (await readEngineCounters(engine)).orders.length > 0, 'the order arrives');
	await killProcess(engine);
	await restartBackend(engine);
	await change;
	const {orders, role} = await readEngineCounters(fleet.backends.find(({name}) => name === engine.name)!);
	assert.equal(orders.length, 1);
	assert.equal(role, 'prefill');
});

test('an entry host is stopped under load: it finishes what runs and exits 0', async () => {
	const entry = fleet.hosts[4]!;
	const streams = startStreams(10, 'stopped under load', [entry]);
	await busyEngine();
	entry.child.kill('SIGTERM');
	await assertWhole(streams);
	await waitUntil(async () => !isRunning(entry), 'exit');
	assert.equal(entry.child.exitCode, 0);
	await fleet.restartHost(entry, {wipe: false});
	await allReady();
});

test('a control host loses its disk and is replaced; right after the repair another one is lost for good', async () => {
	const entry = fleet.hosts[4]!;
	const leader = await someLeader();
	const lost = fleet.hosts.slice(0, 3).find(host => host !== leader)!;
	const old = (await fetchMembers(entry)).configuration.voters.find(({host}) => host === lost.name)!;
	await killProcess(lost);
	assert.equal((await bookSeat(entry.url, 'before-repair')).status, 200);
	await fleet.restartHost(lost, {wipe: true});
	await tool(entry, 'control', 'replace', old.replica, old.host, old.address, String(old.port));
	await waitUntil(async () => {
		const {repair, configuration} = await fetchMembers(entry);
		return repair === undefined && configuration.voters.length === 3 && !configuration.voters.some(({replica}) => replica === old.replica);
	}, 'the repair is finished');
	const second = fleet.hosts.slice(0, 3).find(host => host.name !== lost.name)!;
	await killProcess(second);
	await waitUntil(async () => (await bookSeat(entry.url, 'after-second-loss')).status === 200, 'bookings after the second loss');
	assert.deepEqual(await bookSeat(entry.url, 'before-repair'), await bookSeat(fleet.hosts[3]!.url, 'before-repair'));
	assert.equal(await countRuns(fleet, 'before-repair'), 1);
	await fleet.restartHost(second, {wipe: false});
	await allReady();
});

test('a request that crashes engines is stopped after two, through whichever host it is sent again; innocents are served', async () => {
	const content = `please ${POISON_WORD}`;
	const innocents = startStreams(8, 'beside the poison');
	await busyEngine();
	const codes: number[] = [];
	for (let send = 0; send < 6; send++) {
		const {code} = await streamCompletion(fleet.hosts[send % 5]!.url, {model: 'chat-1', content});
		codes.push(code);
	}

	assert.deepEqual(new Set(codes), new Set([3003]));
	assert.ok(engines().filter(engine => !isRunning(engine)).length <= 2);
	await assertWhole(innocents);
	await assertWhole(startStreams(8, 'after the poison'));
});

function engines(): FleetProcess[] {
	return fleet.backends.filter(({role}) => role === 'engine');
}

function startStreams(count: number, title: string, entries: readonly FleetProcess[] = fleet.hosts): Array<ReturnType<typeof streamCompletion>> {
	const usable = entries.filter(entry => isRunning(entry));
	return Array.from({length: count}, async (_, index) => streamCompletion(usable[index % usable.length]!.url, {model: 'chat-1', content: `${title} ${index}`}));
}

async function assertWhole(streams: ReadonlyArray<ReturnType<typeof streamCompletion>>): Promise<void> {
	const results = await Promise.all(streams);
	const cut = results.filter(({isComplete}) => !isComplete);
	assert.deepEqual(cut.map(({status, code, tokens}) => ({status, code, tokens})), []);
}

/** Waits until streams run and returns the engine with the most. */
async function busyEngine(): Promise<FleetProcess> {
	let best: FleetProcess | undefined;
	await waitUntil(async () => {
		const alive = engines().filter(engine => isRunning(engine));
		const counts = await Promise.all(alive.map(async engine => (await readEngineCounters(engine)).running));
		const most = Math.max(...counts);
		best = alive[counts.indexOf(most)];
		return most > 0;
	}, 'a busy engine');
	return best!;
}

async function restartBackend(record: FleetProcess): Promise<void> {
	const fresh = fleet.startBackend({
		kind: record.role, name: record.name, port: Number(new URL(record.url).port), entries: fleet.hosts.map(({url}) => url), extra: [],
	});
	fleet.backends[fleet.backends.indexOf(record)] = fresh;
	await waitUntil(async () => (await fetch(`${record.url}/runs`)).status === 200, `${record.name} is back`);
}

async function someLeader(): Promise<FleetProcess> {
	let leader: FleetProcess | undefined;
	await waitUntil(async () => {
		leader = await findLeader(fleet, fleet.hosts[4]!);
		return leader !== undefined && isRunning(leader);
	}, 'a leader');
	return leader!;
}

function otherEntry(...not: readonly FleetProcess[]): FleetProcess {
	return fleet.hosts.find(host => !not.includes(host) && isRunning(host))!;
}

async function allReady(): Promise<void> {
	await waitUntil(async () => {
		const statuses = await Promise.all(fleet.hosts.map(async ({url}) => (await fetch(`${url}/readyz`)).status));
		return statuses.every(status => status === 200);
	}, 'all hosts ready');
	await waitUntil(async () => {
		const counts = await Promise.all(fleet.hosts.map(async ({url}) => (await (await fetch(`${url}/api/v1/status`)).json() as {servers: unknown[]}).servers.length));
		return counts.every(count => count === fleet.backends.length);
	}, 'all hosts know the backend servers');
}

async function viewVersion(entry: FleetProcess): Promise<number> {
	return (await (await fetch(`${entry.url}/api/v1/status`)).json() as {version: number}).version;
}

async function readChange(entry: FleetProcess, name: string): Promise<unknown> {
	const response = await fetch(`${entry.url}/api/v1/resources/change/${name}`);
	return response.status === 200 ? response.json() : undefined;
}

async function tool(entry: FleetProcess, ...commandLine: string[]): Promise<string> {
	const {stdout} = await execute(process.execPath, [TOOL, '--host', entry.url, ...commandLine]);
	return stdout;
}

function countRequests(runs: {readonly requests: Record<string, number>}): number {
	return Object.values(runs.requests).reduce((sum, count) => sum + count, 0);
}
