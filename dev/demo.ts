/**
 * Starts a fleet of processes on this machine, sends requests to it, drains an engine, kills the control leader and
 * prints the result of each step. Exits 0 only if every step had the expected result.
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

const COMMAND_LINE_TOOL = path.resolve(import.meta.dirname, '../src/tool/carawayhoist.js');
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
	await (values['keep-running'] ? keepRunning() : runScenario());
} catch (error) {
	failures++;
	console.error(error);
}

if (!values['keep-running'] || failures > 0) {
	await fleet.stop();
	process.exit(failures > 0 ? 1 : 0);
}

async function keepRunning(): Promise<void> {
	await runTool(fleet.hosts[0]!, 'apply', '-f', RESOURCES);
	for (const record of [...fleet.hosts, ...fleet.backends]) {
		console.log(JSON.stringify({
			process: record.name, role: record.role, url: record.url, pid: record.child.pid,
		}));
	}

	setInterval(() => undefined, 60_000);
}

async function runScenario(): Promise<void> {
	const [first, second] = fleet.hosts as [FleetProcess, FleetProcess];
	const last = fleet.hosts.at(-1)!;
	console.log('Started five hosts (three of them store the control state), four fake engines and two fake plain servers.');
	await runStep('The operator applies the services and models', async () => {
		await runTool(first, 'apply', '-f', RESOURCES);
		await waitForAgenda('booking');
		return 'applied on all five hosts';
	});
	await sendRequests(second, 'before');
	await runStep('The operator drains engine-1 while a long completion is streaming', async () => {
		const running = streamCompletion(last.url, {model: 'chat-1', content: 'compare the sessions on barley and on oats during the drain'});
		const output = await runTool(first, 'drain', 'engine-1', '--wait', '--name', 'demo-drain');
		const completion = await running;
		check(completion.isComplete, 'the drain interrupted the long completion');
		const before = await countRequests('engine-1');
		await Promise.all(Array.from({length: 8}, async (_, index) => streamCompletion(second.url, {model: 'summary-1', content: `after the drain ${index}`})));
		check(await countRequests('engine-1') === before, 'engine-1 received new requests after it was drained');
		return output.trim().split('\n').at(-1)!.trim();
	});
	let leader = first;
	await runStep('The control leader is killed', async () => {
		leader = (await findLeader(fleet, second))!;
		leader.child.kill('SIGKILL');
		const survivor = fleet.hosts.find(host => host !== leader)!;
		await waitUntil(async () => (await findLeader(fleet, survivor)) !== leader, 'another leader');
		return `${leader.name} was killed, ${(await findLeader(fleet, survivor))!.name} is the new leader`;
	});
	const survivor = fleet.hosts.find(host => host !== leader && host !== first) ?? last;
	await sendRequests(survivor, 'after');
	await runStep('The operator deletes the drain', async () => {
		await runTool(survivor, 'delete', 'change', 'demo-drain');
		return 'engine-1 accepts new requests again';
	});
	console.log(failures === 0 ? '\nEvery stated outcome was seen.' : `\n${failures} stated outcome(s) failed.`);
}

/** Sends one request of each kind: two streamed completions, a repeatable read, and a booking that is sent twice. */
async function sendRequests(entry: FleetProcess, when: string): Promise<void> {
	await runStep('A delegate requests a summary of a full track (long prompt, short completion, streamed)', async () => {
		const prompt = `summarise ${when} ${'the session on crop rotation said much. '.repeat(300)}`;
		const {isComplete, tokens, firstTokenMs} = await streamCompletion(entry.url, {model: 'summary-1', content: prompt});
		check(isComplete, 'the summary is not the expected text');
		return `complete, ${tokens} tokens, first token after ${Math.round(firstTokenMs)} ms`;
	});
	await runStep('A delegate compares two sessions (short prompt, long completion)', async () => {
		const {isComplete, tokens, firstTokenMs} = await streamCompletion(entry.url, {model: 'chat-1', content: `compare ${when}`});
		check(isComplete, 'the comparison is not the expected text');
		return `complete, ${tokens} tokens, first token after ${Math.round(firstTokenMs)} ms`;
	});
	await runStep('A delegate reads the agenda (repeatable)', async () => {
		const response = await fetch(`${entry.url}/booking/agenda`);
		check(response.status === 200, `status ${response.status}`);
		return 'status 200';
	});
	await runStep('A delegate books a seat and the app sends the request twice', async () => {
		const other = fleet.hosts.find(host => host !== entry && isRunning(host))!;
		const key = `seat-${when}`;
		const booked = await bookSeat(entry.url, key);
		const again = await bookSeat(other.url, key);
		check(booked.status === 200 && booked.text === again.text, `responses differ: ${booked.status} ${booked.text} / ${again.status} ${again.text}`);
		const runs = await countRuns(fleet, key);
		check(runs === 1, `the booking ran ${runs} times`);
		return `ran ${runs} time, both responses are ${booked.text}`;
	});
}

async function runStep(title: string, run: () => Promise<string>): Promise<void> {
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

function check(isPassed: boolean, failure: string): void {
	if (!isPassed) {
		failures++;
		console.log(`  check failed: ${failure}`);
	}
}

async function countRequests(name: string): Promise<number> {
	const {requests} = await readEngineCounters(fleet.backends.find(backend => backend.name === name)!);
	return Object.values(requests).reduce((sum, count) => sum + count, 0);
}

/** Waits until every host routes the agenda of the booking service. */
async function waitForAgenda(service: string): Promise<void> {
	await waitUntil(async () => {
		const statuses = await Promise.all(fleet.hosts.map(async ({url}) => (await fetch(`${url}/booking/agenda`)).status));
		return statuses.every(status => status === 200);
	}, `service ${service} on all hosts`, 5000);
}

async function runTool(entry: FleetProcess, ...commandLine: string[]): Promise<string> {
	const {stdout} = await execute(process.execPath, [COMMAND_LINE_TOOL, '--host', entry.url, ...commandLine]);
	return stdout;
}
