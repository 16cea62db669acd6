/**
 * Starts a fleet of processes on this machine, sends work through it, kills the control leader, and tells what
 * happened. Exits 0 only if every stated outcome was seen.
 *
 * @example
 * ```sh
 * npm run demo
 * npm run demo -- --keep-running
 * ```
 */
import {execFile} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {parseArgs, promisify} from 'node:util';
import {
	bookSeat, countRuns, findLeader, readEngineCounters, streamCompletion,
} from './client.js';
import {
	isRunning, ProcessFleet, waitUntil, type FleetProcess,
} from './fleet.js';

const TOOL = path.resolve(import.meta.dirname, '../src/tool/carawayhoist.js');
const RESOURCES = path.resolve(import.meta.dirname, '../../examples/resources.json');
const FIRST_PORT = 8080;
const execute = promisify(execFile);

const {values} = parseArgs({options: {'keep-running': {type: 'boolean', default: false}}});
let failures = 0;
const fleet = await ProcessFleet.start({
	controlHosts: 3, entryHosts: 2, engines: 4, plainServers: 2, firstPort: values['keep-running'] ? FIRST_PORT : 0,
});
process.once('SIGINT', () => {
	void fleet.stop().then(() => process.exit(0));
});
process.once('SIGTERM', () => {
	void fleet.stop().then(() => process.exit(0));
});
try {
	await (values['keep-running'] ? keepRunning() : tellStory());
} catch (error) {
	failures++;
	console.error(error);
}

if (!values['keep-running'] || failures > 0) {
	await fleet.stop();
	process.exit(failures > 0 ? 1 : 0);
}

async function keepRunning(): Promise<void> {
	await tool(fleet.hosts[0]!, 'apply', '-f', RESOURCES);
	for (const record of [...fleet.hosts, ...fleet.backends]) {
		console.log(JSON.stringify({
			process: record.name, role: record.role, url: record.url, pid: record.child.pid,
		}));
	}

	setInterval(() => undefined, 60_000);
}

async function tellStory(): Promise<void> {
	const [first, second] = fleet.hosts as [FleetProcess, FleetProcess];
	const last = fleet.hosts.at(-1)!;
	console.log('Five hosts run (three keep the durable state), four fake engines and two fake plain servers announce themselves.');
	await step('The operator declares the services and models', async () => {
		await tool(first, 'apply', '-f', RESOURCES);
		await allHostsHave('booking');
		return 'in force on all five hosts';
	});
	await serveEverything(second, 'before');
	await step('The operator drains engine-1 while a long answer runs', async () => {
		const running = streamCompletion(last.url, {model: 'chat-1', content: 'compare the sessions on barley and on oats during the drain'});
		const output = await tool(first, 'drain', 'engine-1', '--wait', '--name', 'demo-drain');
		const whole = await running;
		check(whole.isComplete, 'the long answer was cut by the drain');
		const before = await countRequests('engine-1');
		await Promise.all(Array.from({length: 8}, async (_, index) => streamCompletion(second.url, {model: 'summary-1', content: `after the drain ${index}`})));
		check(await countRequests('engine-1') === before, 'engine-1 got new work after its drain');
		return output.trim().split('\n').at(-1)!.trim();
	});
	let leader = first;
	await step('The control leader is killed', async () => {
		leader = (await findLeader(fleet, second))!;
		leader.child.kill('SIGKILL');
		const survivor = fleet.hosts.find(host => host !== leader)!;
		await waitUntil(async () => (await findLeader(fleet, survivor)) !== leader, 'another leader');
		return `${leader.name} is gone, ${(await findLeader(fleet, survivor))!.name} leads now`;
	});
	const survivor = fleet.hosts.find(host => host !== leader && host !== first) ?? last;
	await serveEverything(survivor, 'after');
	await step('The drain is undone', async () => {
		await tool(survivor, 'delete', 'change', 'demo-drain');
		return 'engine-1 takes work again';
	});
	console.log(failures === 0 ? '\nEvery stated outcome was seen.' : `\n${failures} stated outcome(s) failed.`);
}

async function serveEverything(entry: FleetProcess, when: string): Promise<void> {
	await step('A delegate asks for a summary of a full track (long prompt, short answer, streamed)', async () => {
		const prompt = `summarise ${when} ${'the session on crop rotation said much. '.repeat(300)}`;
		const {isComplete, tokens, firstTokenMs} = await streamCompletion(entry.url, {model: 'summary-1', content: prompt});
		check(isComplete, 'the summary is not the known answer');
		return `whole, ${tokens} tokens, first after ${Math.round(firstTokenMs)} ms`;
	});
	await step('A delegate compares two sessions (short prompt, long answer)', async () => {
		const {isComplete, tokens, firstTokenMs} = await streamCompletion(entry.url, {model: 'chat-1', content: `compare ${when}`});
		check(isComplete, 'the comparison is not the known answer');
		return `whole, ${tokens} tokens, first after ${Math.round(firstTokenMs)} ms`;
	});
	await step('A delegate reads the agenda (repeatable)', async () => {
		const response = await fetch(`${entry.url}/booking/agenda`);
		check(response.status === 200, `status ${response.status}`);
		return 'answered';
	});
	await step('A delegate books a seat and the app sends it twice', async () => {
		const other = fleet.hosts.find(host => host !== entry && isRunning(host))!;
		const key = `seat-${when}`;
		const booked = await bookSeat(entry.url, key);
		const again = await bookSeat(other.url, key);
		check(booked.status === 200 && booked.text === again.text, `answers differ: ${booked.status} ${booked.text} / ${again.status} ${again.text}`);
		const runs = await countRuns(fleet, key);
		check(runs === 1, `the booking ran ${runs} times`);
		return `ran ${runs} time, both got ${booked.text}`;
	});
}

async function step(title: string, run: () => Promise<string>): Promise<void> {
	const startedMs = performance.now();
	const before = failures;
	let text: string;
	try {
		text = await run();
	} catch (error) {
		failures++;
		text = String(error);
	}

	const mark = failures > before ? 'FAILED' : 'ok';
	console.log(`[${mark}] ${title}: ${text} (${Math.round(performance.now() - startedMs)} ms)`);
}

function check(isRight: boolean, text: string): void {
	if (!isRight) {
		failures++;
		console.log(`  not as stated: ${text}`);
	}
}

async function countRequests(name: string): Promise<number> {
	const {requests} = await readEngineCounters(fleet.backends.find(backend => backend.name === name)!);
	return Object.values(requests).reduce((sum, count) => sum + count, 0);
}

async function allHostsHave(service: string): Promise<void> {
	await waitUntil(async () => {
		const statuses = await Promise.all(fleet.hosts.map(async ({url}) => (await fetch(`${url}/booking/agenda`)).status));
		return statuses.every(status => status === 200);
	}, `service ${service} on all hosts`, 5000);
}

async function tool(entry: FleetProcess, ...commandLine: string[]): Promise<string> {
	const {stdout} = await execute(process.execPath, [TOOL, '--host', entry.url, ...commandLine]);
	return stdout;
}
