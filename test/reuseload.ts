/** A pool of simulated engines with their own caches, and loads of prompts with shared beginnings that a scheduler places on them. */
import assert from 'node:assert/strict';
import {createRandom, type Random} from '../src/base/random.js';
import type {EngineInfo} from '../src/routing/engine.js';
import {KvCacheModel, type PromptPart} from '../src/routing/kvcache.js';
import type {PlacementRequest} from '../src/routing/request.js';
import {Scheduler, type SchedulerOptions} from '../src/routing/scheduler.js';

/** Prompts that share a beginning with others of their kind. */
export type PromptKind = {
	readonly name: string;
	readonly perSecond: number;
	readonly sharedTokens: number;
	readonly ownTokens: number;
	/** Number of different beginnings. */
	readonly beginnings: number;
	/** Popularity of a beginning falls with its rank to this power. */
	readonly skew: number;
	readonly objectiveMs: number;
	readonly priority: number;
};

export type Load = {
	readonly kinds: readonly PromptKind[];
	readonly seconds: number;
	/** Only requests that arrive after this time are counted. */
	readonly countedFromMs?: number;
	/** Multiple of the rates at a time. */
	readonly rateFactor?: ((atMs: number) => number) | undefined;
	/** When the scheduler is replaced by one that knows nothing. */
	readonly schedulerRestartMs?: number;
	readonly readers: number;
	readonly runners: number;
	readonly seed?: number;
	/** Share of the announced KV capacity that the engines of a data centre really have, by data centre. */
	readonly capacityShares?: Readonly<Record<string, number>>;
};

/** What callers got. */
export type LoadResult = {
	count: number;
	late: number;
	refused: number;
	/** Shared tokens that were prefilled although an engine had prefilled them before. */
	prefilledAgain: number;
	p95Ms: number;
	meanMs: number;
	/** Engines that prefilled prompts with the most frequent beginning of the first kind. */
	readersOfHot: number;
};

export const PAGE_KINDS: readonly PromptKind[] = [
	{
		name: 'long', perSecond: 105, sharedTokens: 13_300, ownTokens: 3700, beginnings: 1055, skew: 0.3, objectiveMs: 839, priority: 2,
	},
	{
		name: 'middle', perSecond: 141, sharedTokens: 6300, ownTokens: 2900, beginnings: 1831, skew: 0.3, objectiveMs: 327, priority: 1,
	},
	{
		name: 'short', perSecond: 48, sharedTokens: 0, ownTokens: 1460, beginnings: 0, skew: 0, objectiveMs: 266, priority: 0,
	},
];

const TOKENS_PER_MS = 157;
/** Time from the first to the last token. */
const DECODE_MS = 60;
const OVERHEAD_MS = 10;
const STEP_MS = 3;
const STEP_TOKENS = 1024;
const HOSTS = 12;
const DATA_CENTRES = ['a', 'b', 'c'];

type Prefill = {
	readonly request: PlacementRequest;
	readonly source: SimulatedEngine | undefined;
	readonly onRead: (atMs: number, cachedTokens: number) => void;
};

/** An engine that prefills one prompt after another, the most urgent first, and evicts the least recently used parts. */
export class SimulatedEngine {
	readonly cache = new KvCacheModel();
	readonly capacityTokens: number;
	readonly info: EngineInfo;
	readonly #queue: Prefill[] = [];
	readonly #events: EventQueue;
	readonly #tokensPerMs: number;
	#isBusy = false;

	constructor(info: EngineInfo, events: EventQueue, {capacityShares = {}}: Load) {
		this.info = info;
		this.#events = events;
		this.capacityTokens = info.kvTokens * (capacityShares[info.dataCentre] ?? 1);
		this.#tokensPerMs = info.role === 'prefill' ? TOKENS_PER_MS : TOKENS_PER_MS / 2;
	}

	prefill(prefill: Prefill, atMs: number): void {
		this.#queue.push(prefill);
		if (!this.#isBusy) {
			this.#start(atMs);
		}
	}

	#start(atMs: number): void {
		let next = this.#queue[0];
		for (const entry of this.#queue) {
			next = entry.request.priority < next!.request.priority ? entry : next;
		}

		this.#isBusy = next !== undefined;
		if (!next) {
			return;
		}

		this.#queue.splice(this.#queue.indexOf(next), 1);
		const {request, source} = next;
		const ownCached = this.cache.countCached(request.parts);
		const sourceCached = source?.cache.countCached(request.parts.slice(0, -1)) ?? 0;
		const cachedTokens = Math.max(ownCached, sourceCached);
		const fetchMs = sourceCached > ownCached ? 5 + ((sourceCached - ownCached) * this.info.kvBytesPerToken * 8 / (this.info.linkMbps * 1000)) : 0;
		const uncached = Math.max(1, request.promptTokens - cachedTokens);
		const workMs = (uncached / this.#tokensPerMs) + (Math.ceil(uncached / STEP_TOKENS) * STEP_MS);
		this.cache.record(request.parts, this.capacityTokens);
		const endMs = atMs + fetchMs + workMs;
		this.#events.add(endMs, () => {
			this.#start(endMs);
		});
		this.#events.add(endMs + OVERHEAD_MS, () => {
			next.onRead(endMs + OVERHEAD_MS, cachedTokens);
		});
	}
}

/** Plays a load against a scheduler and simulated engines. */
export function playLoad(load: Load, options: SchedulerOptions): LoadResult {
	const random = createRandom(load.seed ?? 1);
	const events = new EventQueue();
	const infos = createEngines(load);
	const engines = new Map(infos.map(info => [info.server, new SimulatedEngine(info, events, load)]));
	let scheduler = createScheduler(infos, options);
	const connected = Array.from({length: HOSTS}, () => new Map<string, number>());
	const seen = new Set<string>();
	const waits: number[] = [];
	const readersOfHot = new Set<string>();
	const result: LoadResult = {
		count: 0, late: 0, refused: 0, prefilledAgain: 0, p95Ms: 0, meanMs: 0, readersOfHot: 0,
	};
	const {countedFromMs = 0} = load;
	let index = 0;
	const arrive = (kind: PromptKind, atMs: number): void => {
		const placer = scheduler;
		const host = index % HOSTS;
		const links = connected[host]!;
		const listConnected = (nowMs: number) => [...links].filter(([, usedMs]) => nowMs - usedMs < 10_000).map(([server]) => server);
		const request = createRequest(kind, `r${index++}`, {host, connected: listConnected(atMs)}, random);
		const isCounted = atMs >= countedFromMs;
		const decision = placer.place(request, atMs);
		if (decision.type === 'rejection') {
			result.refused += isCounted ? 1 : 0;
			result.count += isCounted ? 1 : 0;
			return;
		}

		const server = decision.reader ?? decision.runner!;
		const engine = engines.get(server)!;
		links.set(server, atMs);
		const sharedKey = request.parts.length > 1 ? request.parts[0]!.key : undefined;
		if (sharedKey === `${load.kinds[0]!.name}-0` && isCounted) {
			readersOfHot.add(server);
		}

		const start = (runner: string, firstMs: number) => {
			links.set(runner, firstMs);
			if (isCounted) {
				result.count++;
				result.late += firstMs - atMs > kind.objectiveMs ? 1 : 0;
				waits.push(firstMs - atMs);
			}

			events.add(firstMs, () => {
				placer.recordMilestone(request.id, 'first', {}, firstMs);
			});
			events.add(firstMs + DECODE_MS, () => {
				placer.recordMilestone(request.id, 'done', {}, firstMs + DECODE_MS);
			});
		};

		engine.prefill({
			request, source: engines.get(decision.source ?? ''), onRead(readMs, cachedTokens) {
				if (sharedKey !== undefined) {
					result.prefilledAgain += isCounted && seen.has(sharedKey) ? Math.max(0, kind.sharedTokens - cachedTokens) : 0;
					seen.add(sharedKey);
				}

				if (decision.reader === undefined) {
					start(server, readMs);
					return;
				}

				const next = placer.recordMilestone(request.id, 'read', {server, connected: listConnected(readMs)}, readMs);
				assert.ok(next?.type === 'assignment' && next.runner !== undefined);
				const runner = engines.get(next.runner)!;
				runner.cache.record(request.parts, runner.capacityTokens);
				start(next.runner, readMs + 12 + (request.promptTokens * 131_072 * 8 / 1.5e9));
			},
		}, atMs);
	};

	for (const kind of load.kinds) {
		for (let atMs = 0; atMs < load.seconds * 1000;) {
			atMs += -Math.log(1 - random()) * 1000 / kind.perSecond / (load.rateFactor?.(atMs) ?? 1);
			const arrivalMs = atMs;
			events.add(arrivalMs, () => {
				arrive(kind, arrivalMs);
			});
		}
	}

	if (load.schedulerRestartMs !== undefined) {
		events.add(load.schedulerRestartMs, () => {
			scheduler = createScheduler(infos, options);
		});
	}

	events.run();
	waits.sort((a, b) => a - b);
	result.p95Ms = Math.round(waits[Math.floor(waits.length * 0.95)] ?? 0);
	result.meanMs = Math.round(waits.reduce((sum, ms) => sum + ms, 0) / waits.length);
	result.readersOfHot = readersOfHot.size;
	return result;
}

function createScheduler(infos: readonly EngineInfo[], options: SchedulerOptions): Scheduler {
	const scheduler = new Scheduler(options);
	scheduler.updateEngines(infos);
	return scheduler;
}

function createEngines({readers, runners}: Load): EngineInfo[] {
	return Array.from({length: readers + runners}, (_, index): EngineInfo => ({
		server: `engine-${index}`, incarnation: 1, service: 'llm', software: 'v1', dataCentre: DATA_CENTRES[index % 3]!, role: index < readers ? 'prefill' : 'decode', slots: 12, kvTokens: 695_727, kvBytesPerToken: 131_072, linkMbps: 1_500_000,
	}));
}

function createRequest(kind: PromptKind, id: string, {host, connected}: {host: number; connected: readonly string[]}, random: Random): PlacementRequest {
	const own: PromptPart = {key: `own-${id}`, tokens: kind.ownTokens};
	// The inverse of the distribution function of a power law.
	const rank = Math.floor(kind.beginnings * (random() ** (1 / (1 - kind.skew))));
	const parts = kind.beginnings > 0 ? [{key: `${kind.name}-${rank}`, tokens: kind.sharedTokens}, own] : [own];
	const promptTokens = kind.sharedTokens + kind.ownTokens;
	return {
		id, service: 'llm', dataCentre: DATA_CENTRES[host % 3]!, parts, promptTokens, outputTokens: 60, priority: kind.priority, objectiveMs: kind.objectiveMs, patienceMs: kind.objectiveMs * 4, excluded: [], bodyBytes: promptTokens, connected,
	};
}

/** Runs callbacks in the order of their times; a binary heap. */
class EventQueue {
	readonly #heap: Array<{atMs: number; order: number; run: () => void}> = [];
	#count = 0;

	add(atMs: number, run: () => void): void {
		const heap = this.#heap;
		heap.push({atMs, order: this.#count++, run});
		for (let child = heap.length - 1; child > 0;) {
			const parent = Math.floor((child - 1) / 2);
			if (!isBefore(heap[child]!, heap[parent]!)) {
				return;
			}

			[heap[child], heap[parent]] = [heap[parent]!, heap[child]!];
			child = parent;
		}
	}

	run(): void {
		for (let event = this.#pop(); event; event = this.#pop()) {
			event.run();
		}
	}

	#pop() {
		const heap = this.#heap;
		const [first] = heap;
		const last = heap.pop();
		if (heap.length === 0 || !last) {
			return first;
		}

		heap[0] = last;
		for (let parent = 0; ;) {
			const left = (parent * 2) + 1;
			const right = left + 1;
			const child = right < heap.length && isBefore(heap[right]!, heap[left]!) ? right : left;
			if (child >= heap.length || !isBefore(heap[child]!, heap[parent]!)) {
				return first;
			}

			[heap[child], heap[parent]] = [heap[parent]!, heap[child]!];
			parent = child;
		}
	}
}

function isBefore(a: {atMs: number; order: number}, b: {atMs: number; order: number}): boolean {
	return a.atMs === b.atMs ? a.order < b.order : a.atMs < b.atMs;
}
