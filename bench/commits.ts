/**
 * Benchmark of commits in the replicated log: throughput and latency with three and five replicas, with batched writes
 * and with one fsync per entry; time from a leader's kill to the next commit; and restart time after many changes.
 *
 * @example
 * ```sh
 * npm run bench:commits
 * npm run bench:commits -- --kills 30 --seconds 5 --json
 * ```
 */
import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {parseArgs} from 'node:util';
import * as Either from 'fp-ts/lib/Either.js';
import {createClock} from '../src/base/clock.js';
import {createSilentLoggers} from '../src/base/logger.js';
import {createRandom} from '../src/base/random.js';
import {ConsensusNode, type StateMachine} from '../src/consensus/node.js';
import {EMPTY_SNAPSHOT, Storage} from '../src/consensus/storage.js';
import {ControlState, type ControlStateSnapshot} from '../src/control/state.js';
import type {Command, Configuration, Member} from '../src/generated/types.js';
import {Listener} from '../src/wire/connection.js';
import {decodeCbor, encodeCbor} from '../src/wire/frame.js';
import {ProcessFleet, waitUntil} from '../dev/fleet.js';
import {findPort} from '../dev/ports.js';
import {bookSeat, findLeader} from '../dev/client.js';
import {summarizeDurations, type DurationPercentiles} from './statistics.js';

const {values} = parseArgs({
	options: {
		seconds: {type: 'string', default: '4'},
		kills: {type: 'string', default: '30'},
		json: {type: 'boolean', default: false},
		only: {type: 'string'},
	},
});

type Row = {readonly subject: string} & Readonly<Record<string, number | string>>;

const RESTART_CHANGE_COUNTS = [100, 1000, 10_000];

type ThroughputOptions = {
	readonly replicas: number;
	readonly inFlight: number;
	readonly batched: boolean;
};

/** Measures throughput and latency with a constant number of proposals in flight. */
async function measureThroughput(options: ThroughputOptions): Promise<void> {
	const group = await ReplicaGroup.start(options.replicas, options.batched);
	const leader = await group.waitForLeader();
	const untilMs = performance.now() + (Number(values.seconds) * 1000);
	const startedMs = performance.now();
	const latenciesMs: number[] = [];
	await Promise.all(Array.from({length: options.inFlight}, async (_, client) => {
		for (let index = 0; performance.now() < untilMs; index++) {
			const proposedMs = performance.now();
			const result = await leader.propose(encodeCbor(createClaim(`${client}/${index}`)));
			if (Either.isRight(result)) {
				latenciesMs.push(performance.now() - proposedMs);
			}
		}
	}));
	const seconds = (performance.now() - startedMs) / 1000;
	await group.stop();
	print({
		subject: 'commits', replicas: options.replicas, inFlight: options.inFlight, mode: options.batched ? 'batched' : 'one fsync an entry', perSecond: Math.round(latenciesMs.length / seconds), ...summarizeDurations(latenciesMs),
	});
}

/** A group of replicas in this process, each with its own data folder and sockets. */
class ReplicaGroup {
	readonly #nodes: ConsensusNode[] = [];
	readonly #listeners: Listener[] = [];
	readonly #folder: string;

	private constructor(folder: string) {
		this.#folder = folder;
	}

	static async start(count: number, batched: boolean): Promise<ReplicaGroup> {
		const group = new ReplicaGroup(await mkdtemp(path.join(os.tmpdir(), 'commits-')));
		const members: Member[] = [];
		for (let index = 0; index < count; index++) {
			members.push({
				replica: `r${index}`, host: `h${index}`, address: '127.0.0.1', port: await findPort(),
			});
		}

		const configuration: Configuration = {voters: members, outgoing: [], learners: []};
		for (const member of members) {
			await group.#startNode(member, configuration, batched);
		}

		return group;
	}

	folderOf(replica: string): string {
		return path.join(this.#folder, replica);
	}

	async waitForLeader(): Promise<ConsensusNode> {
		await waitUntil(async () => this.#nodes.some(node => node.replica.isLeaderReady), 'a leader');
		return this.#nodes.find(node => node.replica.isLeaderReady)!;
	}

	async stop(): Promise<void> {
		await Promise.all(this.#nodes.map(async node => node.close()));
		for (const listener of this.#listeners) {
			listener.close();
		}

		await rm(this.#folder, {recursive: true, force: true});
	}

	async #startNode(member: Member, configuration: Configuration, batched: boolean): Promise<void> {
		const holder: {node?: ConsensusNode} = {};
		const storage = await Storage.open(path.join(this.#folder, member.replica), {
			batchWrites: batched, onSynced: sequence => holder.node?.markSynced(sequence), onWriteFailure(problem) {
				console.error(problem.text);
			},
		});
		if (Either.isLeft(storage)) {
			throw new Error(storage.left.text);
		}

		const node = new ConsensusNode({
			replica: member.replica,
			persistentState: {...storage.right.persistentState, snapshot: {...EMPTY_SNAPSHOT, configuration}},
			storage: storage.right,
			stateMachine: createStateMachine(),
			clock: createClock(),
			random: createRandom(member.port),
			logger: createSilentLoggers()('consensus'),
			onLeadershipChange: () => undefined,
			onApplied: () => undefined,
			batchProposals: batched,
		});
		holder.node = node;
		this.#nodes.push(node);
		const listener = new Listener((message, connection) => {
			if (message.type === 'consensus') {
				node.receive(message, connection);
			}
		});
		this.#listeners.push(listener);
		await listener.listen(member);
	}
}

function createStateMachine(): StateMachine {
	let state = new ControlState();
	return {
		apply: entry => state.apply(decodeCbor(entry.data) as Command, entry.index),
		skip(index) {
			state.skip(index);
		},
		createSnapshot: () => encodeCbor(state.createSnapshot()),
		restore(data) {
			state = new ControlState(decodeCbor(data) as ControlStateSnapshot);
		},
	};
}

function createClaim(key: string): Command {
	return {
		type: 'claim', at: Date.now(), key, fingerprint: 'f'.repeat(24), attempt: key, host: 'host-1',
	};
}

/** Kills the leader process repeatedly and measures the time from the signal to the next successful booking. */
async function measureFailover(kills: number): Promise<void> {
	const fleet = await ProcessFleet.start({
		controlHosts: 3, entryHosts: 1, engines: 0, plainServers: 1, logLevel: 'warn',
	});
	const entry = fleet.hosts[3]!;
	await fetch(`${entry.url}/api/v1/resources/service/booking`, {
		method: 'PUT', body: JSON.stringify({specification: {kind: 'service', routes: [{method: 'POST', path: '/booking/seats', repeatable: false}]}}),
	});
	await waitUntil(async () => (await bookSeat(entry.url, 'warm')).status === 200, 'bookings');
	const durationsMs: number[] = [];
	for (let kill = 0; kill < kills; kill++) {
		const leader = (await findLeader(fleet, entry))!;
		const killedMs = performance.now();
		leader.child.kill('SIGKILL');
		await waitUntil(async () => (await bookSeat(entry.url, `kill-${kill}`)).status === 200, 'a booking after the kill');
		durationsMs.push(performance.now() - killedMs);
		await fleet.restartHost(leader, {wipe: false});
		await waitUntil(async () => {
			const {progress} = await (await fetch(`${entry.url}/api/v1/members`)).json() as {progress: Array<{alive: boolean}>};
			return progress.every(({alive}) => alive);
		}, 'all three replicas are alive');
	}

	await fleet.stop();
	print({subject: 'leader kill to next commit', kills, ...summarizeDurations(durationsMs)});
}

/** Measures how long a restart takes to open the data folder and restore the state after many changes. */
async function measureRestart(changes: number): Promise<void> {
	const group = await ReplicaGroup.start(1, true);
	const leader = await group.waitForLeader();
	const batchSize = 64;
	for (let done = 0; done < changes; done += batchSize) {
		await Promise.all(Array.from({length: Math.min(batchSize, changes - done)}, async (_, index) => leader.propose(encodeCbor(createPut(done + index)))));
	}

	const folder = group.folderOf('r0');
	const durationsMs: number[] = [];
	for (let round = 0; round < 15; round++) {
		const startedMs = performance.now();
		const storage = await Storage.open(folder, {onSynced: () => undefined, onWriteFailure: () => undefined});
		if (Either.isRight(storage)) {
			const stateMachine = createStateMachine();
			const {snapshot, entries} = storage.right.persistentState;
			if (snapshot.data.length > 0) {
				stateMachine.restore(snapshot.data);
			}

			for (const entry of entries) {
				if (entry.type === 'command') {
					stateMachine.apply(entry);
				}
			}

			await storage.right.close();
		}

		durationsMs.push(performance.now() - startedMs);
	}

	await group.stop();
	print({subject: 'restart', changes, ...summarizeDurations(durationsMs)});
}

/** Creates a put of one of 100 resources, since operators change the same few resources. */
function createPut(index: number): Command {
	return {
		type: 'put', at: Date.now(), requestId: `request-${index}`, name: `team-${index % 100}`, seen: -1, specification: {kind: 'team', weight: 1 + index},
	};
}

function print(row: Row & Partial<DurationPercentiles>): void {
	console.log(values.json ? JSON.stringify(row) : Object.entries(row).map(([name, value]) => `${name} ${typeof value === 'number' ? Math.round(value * 100) / 100 : value}`).join(', '));
}

async function main(): Promise<void> {
	if (values.only === undefined || values.only === 'rate') {
		for (const replicas of [3, 5]) {
			for (const inFlight of [1, 64]) {
				// Both modes alternate, so that changes in the machine's load affect them equally.
				await measureThroughput({replicas, inFlight, batched: true});
				await measureThroughput({replicas, inFlight, batched: false});
			}
		}
	}

	if (values.only === undefined || values.only === 'kill') {
		await measureFailover(Number(values.kills));
	}

	if (values.only === undefined || values.only === 'restart') {
		for (const changes of RESTART_CHANGE_COUNTS) {
			await measureRestart(changes);
		}
	}
}

await main();
