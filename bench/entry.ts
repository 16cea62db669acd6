/**
 * Benchmark of an entry host process between a load generator and a stub engine on loopback. Measures throughput,
 * latency, CPU time per streamed event, and memory with many open streams. Runs alternately with a minimal reverse
 * proxy as the baseline.
 *
 * @example
 * ```sh
 * npm run bench:entry
 * npm run bench:entry -- --seconds 4 --rounds 3 --json
 * ```
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {Agent, request as undiciRequest} from 'undici';
import {killProcess, ProcessFleet, waitUntil} from '../dev/fleet.js';
import {findPort} from '../dev/ports.js';
import {percentile} from './statistics.js';

const {values} = parseArgs({
	options: {
		seconds: {type: 'string', default: '3'},
		rounds: {type: 'string', default: '3'},
		json: {type: 'boolean', default: false},
	},
});

type Workload = {
	readonly name: string;
	readonly tokens: number;
	readonly stream: boolean;
};

type Subject = {
	readonly name: 'entry' | 'passthrough';
	readonly urls: readonly string[];
	readonly pids: readonly number[];
};

type Sample = {
	readonly requests: number;
	readonly seconds: number;
	readonly cpuMs: number;
	readonly durationsMs: readonly number[];
};

const STUB = path.resolve(import.meta.dirname, 'stub.js');
const WORKLOADS: readonly Workload[] = [
	{name: 'short answers', tokens: 1, stream: false},
	{name: 'streams of 100', tokens: 100, stream: true},
];
const CLIENTS_PER_PROCESS = 32;
const OPEN_STREAMS = 1000;
const CLOCK_TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4096;

for (const count of [1, 4]) {
	await measure(count);
}

/** Measures this many entry host processes, and as many proxies. */
async function measure(count: number): Promise<void> {
	const fleet = await ProcessFleet.start({
		controlHosts: 1, entryHosts: count, engines: 0, plainServers: 0, logLevel: 'info',
	});
	const stubs: ChildProcess[] = [];
	const enginePort = await findPort();
	const entries = fleet.hosts.slice(1);
	stubs.push(startStub('engine', enginePort, ...entries.map(({url}) => url)));
	const passthroughs: Array<{url: string; pid: number}> = [];
	for (let index = 0; index < count; index++) {
		const port = await findPort();
		const child = startStub('passthrough', port, `http://127.0.0.1:${enginePort}`);
		stubs.push(child);
		passthroughs.push({url: `http://127.0.0.1:${port}`, pid: child.pid!});
	}

	const subjects: Subject[] = [
		{name: 'entry', urls: entries.map(({url}) => url), pids: entries.map(({child}) => child.pid!)},
		{name: 'passthrough', urls: passthroughs.map(({url}) => url), pids: passthroughs.map(({pid}) => pid)},
	];
	for (const subject of subjects) {
		await Promise.all(subject.urls.map(async url => waitUntil(async () => await sendCompletion(url, WORKLOADS[0]!, new Agent()) > 0, `${subject.name} responds`)));
	}

	for (const workload of WORKLOADS) {
		await compare(subjects, workload, count);
	}

	for (const subject of subjects) {
		await measureOpenStreams(subject, count);
	}

	for (const stub of stubs) {
		stub.kill('SIGKILL');
	}

	await Promise.all(fleet.hosts.map(async host => killProcess(host)));
	await fleet.stop();
}

function startStub(...commandLine: Array<string | number>): ChildProcess {
	return spawn(process.execPath, [STUB, ...commandLine.map(String)], {stdio: 'ignore'});
}

async function compare(subjects: readonly Subject[], workload: Workload, count: number): Promise<void> {
	const samples = new Map<string, Sample[]>(subjects.map(({name}) => [name, []]));
	// The first round is a warm-up and is not counted.
	for (let round = 0; round <= Number(values.rounds); round++) {
		for (const subject of subjects) {
			const sample = await runLoad(subject, workload);
			if (round > 0) {
				samples.get(subject.name)!.push(sample);
			}
		}
	}

	for (const {name, pids} of subjects) {
		const subjectSamples = samples.get(name)!;
		const requests = subjectSamples.reduce((sum, sample) => sum + sample.requests, 0);
		const seconds = subjectSamples.reduce((sum, sample) => sum + sample.seconds, 0);
		const cpuMs = subjectSamples.reduce((sum, sample) => sum + sample.cpuMs, 0);
		const durationsMs = subjectSamples.flatMap(sample => sample.durationsMs);
		print({
			subject: name,
			work: `${workload.name}, ${count} process${count === 1 ? '' : 'es'}`,
			requestsPerSecond: Math.round(requests / seconds),
			p50Ms: round2(percentile(durationsMs, 0.5)),
			p99Ms: round2(percentile(durationsMs, 0.99)),
			cpuPerEventUs: round2(cpuMs * 1000 / (requests * workload.tokens)),
			rssBytes: Math.max(...pids.map(pid => readRss(pid))),
		});
	}
}

async function runLoad(subject: Subject, workload: Workload): Promise<Sample> {
	const agent = new Agent({connections: CLIENTS_PER_PROCESS, pipelining: 1});
	const durationsMs: number[] = [];
	const cpuBefore = subject.pids.reduce((sum, pid) => sum + readCpuMs(pid), 0);
	const startedMs = performance.now();
	const untilMs = startedMs + (Number(values.seconds) * 1000);
	await Promise.all(subject.urls.flatMap(url => Array.from({length: CLIENTS_PER_PROCESS}, async () => {
		while (performance.now() < untilMs) {
			durationsMs.push(await sendCompletion(url, workload, agent));
		}
	})));
	const seconds = (performance.now() - startedMs) / 1000;
	const cpuMs = subject.pids.reduce((sum, pid) => sum + readCpuMs(pid), 0) - cpuBefore;
	await agent.destroy();
	return {
		requests: durationsMs.length, seconds, cpuMs, durationsMs,
	};
}

/** Sends one completion request, reads the whole response and returns the duration in milliseconds. */
async function sendCompletion(url: string, workload: Workload, agent: Agent): Promise<number> {
	const startedMs = performance.now();
	const {statusCode, body} = await undiciRequest(`${url}/v1/chat/completions`, {
		dispatcher: agent,
		method: 'POST',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({
			model: 'fast-1', max_tokens: workload.tokens, stream: workload.stream, messages: [{role: 'user', content: 'How late is it?'}],
		}),
	});
	await body.dump({limit: 16_777_216});
	if (statusCode !== 200) {
		throw new Error(`${url} responded with status ${statusCode}`);
	}

	return performance.now() - startedMs;
}

/** Measures memory while many slow streams are open. */
async function measureOpenStreams(subject: Subject, count: number): Promise<void> {
	const agent = new Agent({connections: OPEN_STREAMS, pipelining: 1, bodyTimeout: 0});
	const rssBeforeBytes = Math.max(...subject.pids.map(pid => readRss(pid)));
	const responses = await Promise.all(Array.from({length: OPEN_STREAMS}, async (_, index) => undiciRequest(`${subject.urls[index % subject.urls.length]!}/v1/chat/completions`, {
		dispatcher: agent, method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify({
			model: 'slow-1', max_tokens: 60, stream: true, messages: [{role: 'user', content: 'x'}],
		}),
	})));
	await new Promise(resolve => {
		setTimeout(resolve, 2500);
	});
	print({
		subject: subject.name, work: `${OPEN_STREAMS} open streams, ${count} process${count === 1 ? '' : 'es'}`, requestsPerSecond: 0, p50Ms: 0, p99Ms: 0, cpuPerEventUs: 0, rssBytes: Math.max(...subject.pids.map(pid => readRss(pid))), rssBeforeBytes,
	});
	for (const {body} of responses) {
		body.on('error', () => undefined);
		body.destroy();
	}

	await agent.destroy();
}

/** Reads the CPU time that a process has used, user and system. */
function readCpuMs(pid: number): number {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	return (Number(fields[11]) + Number(fields[12])) * 1000 / CLOCK_TICKS_PER_SECOND;
}

/** Reads the resident memory of a process in bytes. */
function readRss(pid: number): number {
	return Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]) * PAGE_BYTES;
}

function round2(value: number): number {
	return Math.round(value * 100) / 100;
}

function print(row: Readonly<Record<string, number | string>>): void {
	console.log(values.json ? JSON.stringify(row) : Object.entries(row).map(([name, value]) => `${name} ${value}`).join(', '));
}
