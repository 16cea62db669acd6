/**
 * Generates, writes and reads traces: JSON Lines files with a header line, then events and requests.
 *
 * Header: `{"trace", "seed", "engines", "durationMs", "expect"}`. Request: `{"atMs", "promptTokens", "outputTokens",
 * "prefix", "prefixTokens"}`. Event: `{"atMs", "event": "crash" | "withdraw", "engine", "forMs"}`.
 *
 * @module
 */
import {createRandom, type Random} from '../../src/base/random.js';

export type TraceRequest = {
	readonly atMs: number;
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** Identifies the shared prefix: prompts with the same number start with the same text. */
	readonly prefix: number;
	readonly prefixTokens: number;
	/** Whether the request crashes the engine that runs it. */
	readonly poison?: boolean;
};

export type TraceEvent = {
	readonly atMs: number;
	readonly event: 'crash' | 'withdraw';
	readonly engine: number;
	/** How long the engine is unavailable, milliseconds. */
	readonly forMs: number;
};

export type Trace = {
	readonly trace: TraceName;
	readonly seed: number;
	readonly engines: number;
	readonly durationMs: number;
	/** Expected outcome of the trace. */
	readonly expect: {readonly enginesLost?: number; readonly poisonAnswered?: boolean};
	readonly requests: readonly TraceRequest[];
	readonly events: readonly TraceEvent[];
};

export const TRACE_NAMES = ['steady', 'swing', 'night', 'crash', 'withdrawal', 'poison', 'overload'] as const;
export type TraceName = (typeof TRACE_NAMES)[number];

const ENGINES = 8;
const MINUTE_MS = 60_000;

/** Requests per second of each kind at a point in time. */
type RequestMix = {
	readonly summaries: number;
	readonly comparisons: number;
	readonly notices: number;
};

type TracePlan = {
	readonly minutes: number;
	readonly mixAt: (minute: number) => RequestMix;
	readonly events?: readonly TraceEvent[];
	readonly poisonAtMs?: readonly number[];
	readonly expect?: Trace['expect'];
};

const PLANS: Readonly<Record<TraceName, TracePlan>> = {
	steady: {
		minutes: 4, mixAt: () => ({summaries: 10, comparisons: 14, notices: 2}),
	},
	swing: {
		minutes: 6, mixAt: minute => minute % 3 < 1.5 ? {summaries: 24, comparisons: 4, notices: 0} : {summaries: 3, comparisons: 28, notices: 0},
	},
	night: {
		minutes: 6, mixAt: minute => ({summaries: 15 - (minute * 2), comparisons: 4 + (minute * 3), notices: minute >= 3 && minute < 3.5 ? 30 : 2}),
	},
	crash: {
		minutes: 4,
		mixAt: minute => minute < 2 ? {summaries: 20, comparisons: 4, notices: 0} : {summaries: 4, comparisons: 20, notices: 0},
		events: [{
			atMs: 2.2 * MINUTE_MS, event: 'crash', engine: 3, forMs: 30_000,
		}],
		expect: {enginesLost: 1},
	},
	withdrawal: {
		minutes: 4,
		mixAt: () => ({summaries: 9, comparisons: 13, notices: 2}),
		events: [{
			atMs: 1.5 * MINUTE_MS, event: 'withdraw', engine: 1, forMs: 10 * MINUTE_MS,
		}],
	},
	poison: {
		minutes: 3,
		mixAt: () => ({summaries: 8, comparisons: 12, notices: 2}),
		poisonAtMs: [30_000, 45_000, 60_000, 75_000, 90_000],
		expect: {enginesLost: 2, poisonAnswered: true},
	},
	overload: {
		minutes: 3, mixAt: () => ({summaries: 24, comparisons: 34, notices: 6}),
	},
};

/**
 * Generates a trace.
 *
 * @example
 * ```ts
 * generateTrace('swing', 1).requests.length;
 * ```
 */
export function generateTrace(trace: TraceName, seed: number): Trace {
	const plan = PLANS[trace];
	const random = createRandom((seed * 1000) + TRACE_NAMES.indexOf(trace));
	const durationMs = plan.minutes * MINUTE_MS;
	const requests: TraceRequest[] = [];
	let atMs = 0;
	while (atMs < durationMs) {
		const mix = plan.mixAt(atMs / MINUTE_MS);
		const rate = mix.summaries + mix.comparisons + mix.notices;
		atMs += -Math.log(1 - random()) * 1000 / rate;
		requests.push(drawRequest(mix, atMs, random));
	}

	for (const poisonMs of plan.poisonAtMs ?? []) {
		requests.push({
			atMs: poisonMs, promptTokens: 400, outputTokens: 50, prefix: -1, prefixTokens: 0, poison: true,
		});
	}

	requests.sort((a, b) => a.atMs - b.atMs);
	return {
		trace, seed, engines: ENGINES, durationMs, expect: plan.expect ?? {}, requests, events: plan.events ?? [],
	};
}

/**
 * Formats a trace as JSON Lines.
 *
 * @example
 * ```ts
 * formatTrace(generateTrace('steady', 1)).split('\n')[0]; // {"trace":"steady",…}
 * ```
 */
export function formatTrace(trace: Trace): string {
	const {requests, events, ...header} = trace;
	return `${[header, ...events, ...requests].map(line => JSON.stringify(line)).join('\n')}\n`;
}

/**
 * Parses a trace in JSON Lines format.
 *
 * @example
 * ```ts
 * parseTrace(formatTrace(trace)); // the same trace
 * ```
 */
export function parseTrace(text: string): Trace {
	const [header, ...lines] = text.trim().split('\n').map(line => JSON.parse(line) as Record<string, unknown>);
	return {
		...header as Omit<Trace, 'requests' | 'events'>,
		events: lines.filter(line => 'event' in line) as TraceEvent[],
		requests: lines.filter(line => 'promptTokens' in line) as TraceRequest[],
	};
}

/** Draws the kind and the size of a request: a summary, a comparison or a notice. */
function drawRequest(mix: RequestMix, atMs: number, random: Random): TraceRequest {
	const draw = random() * (mix.summaries + mix.comparisons + mix.notices);
	const drawTokens = (mean: number) => Math.max(8, Math.round(mean * (0.5 + random())));
	if (draw < mix.summaries) {
		// Delegates request summaries of the same few tracks, so their prompts share a prefix.
		const promptTokens = drawTokens(3200);
		return {
			atMs, promptTokens, outputTokens: drawTokens(80), prefix: Math.floor(random() * 60), prefixTokens: Math.round(promptTokens * 0.6),
		};
	}

	if (draw < mix.summaries + mix.comparisons) {
		const promptTokens = drawTokens(240);
		return {
			atMs, promptTokens, outputTokens: drawTokens(280), prefix: 1000 + Math.floor(random() * 10), prefixTokens: Math.min(promptTokens, 64),
		};
	}

	return {
		atMs, promptTokens: drawTokens(700), outputTokens: drawTokens(120), prefix: 2000, prefixTokens: 128,
	};
}
