/**
 * Slopes of state, messages and processor time, from which `docs/CAPACITY.md` is worked out: each measured at four
 * sizes or more, with a line fitted through them and its residual.
 *
 * @example
 * ```sh
 * npm run bench:slopes
 * npm run bench:slopes -- --only gossip --json
 * ```
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {createRandom, shuffle} from '../src/base/random.js';
import {validate} from '../src/base/validate.js';
import {Controller} from '../src/control/controller.js';
import {Ledger} from '../src/control/ledger.js';
import {ControlState} from '../src/control/state.js';
import {ResourceView} from '../src/entry/view.js';
import type {
	Announcement, Command, Fact, GossipMessage, Message, RenewRequest,
} from '../src/generated/types.js';
import {Directory} from '../src/membership/directory.js';
import {FANOUT, MAX_RUMOR_BYTES, ROUND_INTERVAL_MS} from '../src/membership/gossip.js';
import {chooseEngine, DEFAULT_ENGINE_SPEED, type Candidate} from '../src/routing/choice.js';
import {AdmissionController} from '../src/routing/admission.js';
import {LoadTracker} from '../src/routing/load.js';
import {PrefixIndex} from '../src/routing/prefix.js';
import {decodeCbor, encodeFrame, encodeCbor} from '../src/wire/frame.js';
import {fitLine, roundToFourDigits} from './statistics.js';

const {values} = parseArgs({
	options: {json: {type: 'boolean', default: false}, only: {type: 'string'}},
});

/** Keeps what is measured from being collected. */
const kept: unknown[] = [];
const ROUNDS_A_SECOND = 1000 / ROUND_INTERVAL_MS;

slope('heap bytes per announced server, entry host', [200, 400, 800, 1600], count => heapOf(() => {
	const directory = new Directory('h0');
	const loads = new LoadTracker();
	for (let index = 0; index < count; index++) {
		directory.merge({type: 'server', announcement: createAnnouncement(index, 1)}, 0);
		loads.recordReport(`server-${index}`, {
			running: 1, waiting: 0, prefillTokens: 1, decodeTokens: 1,
		}, 0);
	}

	return [directory, loads];
}));

slope('heap bytes per prefix block, entry host', [20_000, 40_000, 80_000, 160_000], count => heapOf(() => {
	const index = new PrefixIndex(count);
	index.record('server', Array.from({length: count}, (_, block) => (block * 7919) % 4_294_967_291));
	return index;
}));

slope('heap bytes per resource, view of an entry host', [500, 1000, 2000, 4000], count => heapOf(() => {
	const view = new ResourceView();
	view.apply(createState(count).createViewUpdate(-1));
	return view;
}));

slope('heap bytes per resource, control replica', [500, 1000, 2000, 4000], count => heapOf(() => createState(count)));

slope('heap bytes per ledger entry, control replica', [10_000, 20_000, 40_000, 80_000], count => heapOf(() => createLedger(count)));

slope('snapshot bytes per ledger entry', [10_000, 20_000, 40_000, 80_000], count => encodeCbor(createLedger(count).createSnapshot()).length);

slope('snapshot microseconds per ledger entry', [10_000, 20_000, 40_000, 80_000], count => {
	const ledger = createLedger(count);
	return cpuOf(() => encodeCbor(ledger.createSnapshot()), 5);
});

slope('leader microseconds per renewal of a view lease', [50, 100, 200, 380], count => {
	const controller = new Controller(0);
	const state = createState(1200);
	const frames = Array.from({length: count}, (_, index) => encodeFrame(createRenewal(index, state.viewVersion)).subarray(4));
	return cpuOf(() => {
		for (const frame of frames) {
			const message = decodeCbor(frame) as RenewRequest;
			validate('Message', message);
			const leaseMs = controller.renewViewLease(message, 1);
			encodeFrame(createRenewed(leaseMs, state.createViewUpdate(message.version)));
		}
	}, 30);
});

slope('leader bytes per renewal, both ways', [50, 100, 200, 380], count => {
	const state = createState(10);
	let bytes = 0;
	for (let index = 0; index < count; index++) {
		bytes += encodeFrame(createRenewal(index, state.viewVersion)).length + encodeFrame(createRenewed(1500, state.createViewUpdate(state.viewVersion))).length;
	}

	return bytes;
});

slope('leader microseconds per pushed change and host, 1,200 resources', [50, 100, 200, 380], count => {
	const state = createState(1200);
	return cpuOf(() => {
		for (let host = 0; host < count; host++) {
			encodeFrame(createRenewed(0, state.createViewUpdate(state.viewVersion - 1)));
		}
	}, 30);
});

slope('microseconds per choice with so many engines of a model', [8, 50, 100, 200, 400], count => {
	const random = createRandom(1);
	const candidates = Array.from({length: count}, (_, index) => createCandidate(index));
	return cpuOf(() => {
		for (let choice = 0; choice < 100; choice++) {
			chooseEngine({promptTokens: 1000, outputTokens: 100, dataCentre: 'a'}, candidates, random);
		}
	}, 20) / 100;
});

slope('microseconds per admission with so many teams waiting', [50, 100, 200, 400], count => {
	const run = () => {
		const admission = new AdmissionController();
		for (let index = 0; index < count; index++) {
			admission.submit({
				id: `r${index}`, team: `team-${index}`, weight: 1, tokens: 100, teamTokenLimit: Number.POSITIVE_INFINITY, latestStartMs: 10_000,
			}, 100, 0);
		}
	};

	return cpuOf(run, 10) / count;
});

slope('replica microseconds per claim and settlement applied', [1000, 2000, 4000, 8000], count => {
	const frames = Array.from({length: count}, (_, index) => createClaimPair(index).map(command => encodeCbor(command)));
	return cpuOf(() => {
		const state = new ControlState();
		let index = 0;
		for (const pair of frames) {
			for (const data of pair) {
				index++;
				state.apply(decodeCbor(data) as Command, index);
			}
		}
	}, 5);
});

if (values.only === undefined || 'gossip'.includes(values.only)) {
	measureGossip();
}

/** Entry hosts' gossip in memory: the real directories, counted bytes, virtual rounds. */
function measureGossip(): void {
	const bytes: Array<[number, number]> = [];
	const cpu: Array<[number, number]> = [];
	for (const [hosts, servers] of [[15, 11], [50, 90], [100, 180], [200, 350], [380, 670]] as const) {
		const result = runGossip(hosts, servers);
		bytes.push([hosts, result.bytesPerSecond]);
		cpu.push([hosts, result.cpuMsPerSecond]);
		print({
			subject: 'gossip', hosts, servers, bytesPerSecondPerHost: Math.round(result.bytesPerSecond), cpuMsPerSecondPerHost: roundToFourDigits(result.cpuMsPerSecond), leavingKnownEverywhereMs: result.leavingMs,
		});
	}

	report('gossip bytes a second per host, by hosts (servers in proportion)', bytes);
	report('gossip CPU milliseconds a second per host, by hosts', cpu);
}

function runGossip(hosts: number, servers: number): {bytesPerSecond: number; cpuMsPerSecond: number; leavingMs: number} {
	const random = createRandom(hosts);
	const directories = Array.from({length: hosts}, (_, index) => new Directory(`h${index}`));
	for (const directory of directories) {
		for (let index = 0; index < hosts; index++) {
			directory.merge(createHostFact(index), 0);
		}

		for (let index = 0; index < servers; index++) {
			directory.merge({type: 'server', announcement: createAnnouncement(index, 1)}, 0);
		}

		while (directory.takeRumors(1e9).length > 0) {
			// What everybody knows at the start is not news.
		}
	}

	let bytes = 0;
	let sequence = 1;
	const rounds = 150;
	let leavingMs = -1;
	const startedCpu = process.cpuUsage();
	for (let round = 0; round < rounds; round++) {
		// Every server announces itself once in ten seconds, to any host.
		for (let index = round % 50; index < servers; index += 50) {
			sequence++;
			const isLeaving = index === 0 && round >= 50;
			const announcement = {...createAnnouncement(index, sequence), ...(isLeaving ? {leaving: true} : {})};
			directories[Math.floor(random() * hosts)]!.merge({type: 'server', announcement}, round * ROUND_INTERVAL_MS);
		}

		bytes += spreadRound(directories, random, round);
		if (leavingMs < 0 && round >= 50 && directories.every(directory => directory.findServer('server-0')?.leaving === true)) {
			leavingMs = (round - 50 + 1) * ROUND_INTERVAL_MS;
		}
	}

	const {user, system} = process.cpuUsage(startedCpu);
	const seconds = rounds / ROUNDS_A_SECOND;
	return {bytesPerSecond: bytes / hosts / seconds, cpuMsPerSecond: (user + system) / 1000 / hosts / seconds, leavingMs};
}

function spreadRound(directories: readonly Directory[], random: () => number, round: number): number {
	let bytes = 0;
	for (const [index, directory] of directories.entries()) {
		const targets = shuffle([...directories.keys()], random).filter(other => other !== index).slice(0, FANOUT);
		for (const target of targets) {
			const facts = directory.takeRumors(MAX_RUMOR_BYTES);
			if (facts.length === 0) {
				continue;
			}

			const frame = encodeFrame(createGossip(index, facts));
			bytes += frame.length;
			const message = decodeCbor(frame.subarray(4)) as GossipMessage;
			validate('Message', message);
			for (const fact of message.facts) {
				directories[target]!.merge(fact, round * ROUND_INTERVAL_MS);
			}
		}
	}

	return bytes;
}

/** Measures at every size and fits a line. */
function slope(subject: string, sizes: readonly number[], measure: (size: number) => number): void {
	if (values.only !== undefined && !subject.includes(values.only)) {
		return;
	}

	report(subject, sizes.map((size): [number, number] => [size, measure(size)]));
}

function report(subject: string, points: ReadonlyArray<readonly [number, number]>): void {
	const fit = fitLine(points);
	print({
		subject, slope: roundToFourDigits(fit.slope), intercept: roundToFourDigits(fit.intercept), residual: roundToFourDigits(fit.residual), points: points.map(([size, value]) => `${size}:${roundToFourDigits(value)}`).join(' '),
	});
}

function print(row: Readonly<Record<string, number | string>>): void {
	console.log(values.json ? JSON.stringify(row) : Object.entries(row).map(([name, value]) => `${name} ${value}`).join(', '));
}

function heapOf(create: () => unknown): number {
	collect();
	const before = process.memoryUsage().heapUsed;
	const value = create();
	collect();
	const after = process.memoryUsage().heapUsed;
	kept.push(value);
	kept.length = 0;
	return after - before;
}

function collect(): void {
	const {gc} = globalThis as {gc?: () => void};
	gc?.();
	gc?.();
}

/** Processor time of one run in microseconds, the least of several. */
function cpuOf(run: () => void, repeats: number): number {
	run();
	let best = Number.POSITIVE_INFINITY;
	for (let repeat = 0; repeat < repeats; repeat++) {
		const startedMs = performance.now();
		run();
		best = Math.min(best, performance.now() - startedMs);
	}

	return best * 1000;
}

function createAnnouncement(index: number, sequence: number): Announcement {
	return {
		server: `server-${index}`,
		kind: 'engine',
		address: `10.20.${index % 250}.10`,
		port: 8000,
		dataCentre: 'a',
		incarnation: 1_800_000_000_000,
		sequence,
		models: ['summary-1', 'chat-1'],
		role: 'decode',
		capacity: 1000,
		checksFence: true,
		load: {
			running: sequence % 60, waiting: 0, prefillTokens: 1200, decodeTokens: 20_000, freePieces: 500,
		},
	};
}

function createHostFact(index: number): Fact {
	return {
		type: 'host', peer: {host: `h${index}`, address: `10.20.1.${index % 250}`, port: 7400}, dataCentre: 'a', incarnation: 1, sequence: 1, leaving: false,
	};
}

function createGossip(index: number, facts: Fact[]): Message {
	return {type: 'gossip', from: {host: `h${index}`, address: '10.20.1.1', port: 7400}, facts};
}

function createState(resources: number): ControlState {
	const state = new ControlState();
	for (let index = 1; index <= resources; index++) {
		state.apply({
			type: 'put', at: 0, requestId: `request-${index}`, name: `team-${index}`, seen: 0, specification: {kind: 'team', weight: 1, tokensInFlight: 100_000},
		}, index);
	}

	return state;
}

function createLedger(entries: number): Ledger {
	const ledger = new Ledger();
	for (let index = 0; index < entries; index++) {
		const [claim, settle] = createClaimPair(index);
		ledger.claim(claim);
		ledger.settle(settle);
	}

	return ledger;
}

function createClaimPair(index: number) {
	const key = `booking/default/0b9f2a44-6c1e-4c58-9d0a-${String(index).padStart(12, '0')}`;
	const attempt = `5d1f8f0e-9f6c-4f5e-b0b6-1f2e3d4c5b6a/${index}`;
	const body = new TextEncoder().encode(JSON.stringify({booking: `plain-1-${index}`, seat: 'A7', delegate: 'Runa'}));
	return [
		{
			type: 'claim', at: 0, key, fingerprint: 'abcdefghijklmnopqrstuvwx', attempt, host: 'host-1',
		},
		{
			type: 'settle', at: 0, key, attempt, outcome: 'done', answer: {status: 200, contentType: 'application/json', body},
		},
	] as const satisfies readonly Command[];
}

function createRenewal(index: number, version: number): RenewRequest {
	return {
		type: 'renew', id: 12_345, host: `host-${index}`, boot: '5d1f8f0e-9f6c-4f5e-b0b6-1f2e3d4c5b6a', version, running: [], announcements: [], demand: Array.from({length: 13}, (_, model) => ({model: `model-${model}`, prefill: 1.25, decode: 3.5})), leaving: false,
	};
}

function createRenewed(leaseMs: number, view: ReturnType<ControlState['createViewUpdate']>): Message {
	const members = Array.from({length: 5}, (_, index) => ({
		replica: `5d1f8f0e-9f6c-4f5e-b0b6-1f2e3d4c5b6${index}`, host: `host-${index}`, address: '10.20.1.1', port: 7400,
	}));
	return {
		type: 'renewed', id: 12_345, leaseMs, view, members,
	};
}

function createCandidate(index: number): Candidate {
	return {
		server: `server-${index}`, role: 'decode', dataCentre: 'a', load: {requests: index % 30, prefillTokens: 100, decodeTokens: 5000}, speed: DEFAULT_ENGINE_SPEED, cachedTokens: 0, maxRunning: 42, kvTokens: 64_000,
	};
}
