/**
 * What callers and operators do to a fleet, for the demo, the benches and the tests with processes.
 *
 * @module
 */
import {DEFAULT_COMPLETION_TOKENS, generateCompletion} from '../fakes/completion.js';
import type {ProcessFleet, FleetProcess} from './fleet.js';

export type StreamResult = {
	/** Whether it is the known answer to its own prompt, whole. */
	readonly isComplete: boolean;
	readonly status: number;
	readonly code: number;
	readonly text: string;
	readonly tokens: number;
	readonly firstTokenMs: number;
	readonly requestId: string;
};

export type StreamRequest = {
	readonly model: string;
	readonly content: string;
	readonly maxTokens?: number;
	readonly onToken?: (count: number) => void;
};

/** Streams a completion and compares it with the known answer. */
export async function streamCompletion(url: string, request: StreamRequest): Promise<StreamResult> {
	const {model, content, maxTokens} = request;
	const startedMs = performance.now();
	const response = await fetch(`${url}/v1/chat/completions`, {
		method: 'POST',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({
			model, stream: true, messages: [{role: 'user', content}], ...(maxTokens === undefined ? {} : {max_tokens: maxTokens}),
		}),
	});
	let text = '';
	let firstMs = 0;
	let tokens = 0;
	let isDone = false;
	for await (const line of readLines(response)) {
		const data = line.startsWith('data: {') ? JSON.parse(line.slice(6)) as {choices?: Array<{delta: {content?: string}}>} : undefined;
		const token = data?.choices?.[0]?.delta.content ?? '';
		isDone ||= line === 'data: [DONE]';
		if (token !== '') {
			firstMs ||= performance.now() - startedMs;
			text += token;
			tokens++;
			request.onToken?.(tokens);
		}
	}

	const count = Math.min(maxTokens ?? Number.POSITIVE_INFINITY, DEFAULT_COMPLETION_TOKENS[model] ?? 50);
	return {
		isComplete: isDone && text === generateCompletion(`user: ${content}`, count),
		status: response.status,
		code: Number(response.headers.get('carawayhoist-code') ?? 0),
		text,
		tokens,
		firstTokenMs: firstMs,
		requestId: response.headers.get('x-request-id') ?? '',
	};
}

export type BookingResult = {
	readonly status: number;
	readonly text: string;
	readonly outcome: string | null;
	readonly code: number;
};

/** Books a seat; a host that dies meanwhile gives status 0. */
export async function bookSeat(url: string, key: string, seat = 'A7'): Promise<BookingResult> {
	try {
		const response = await fetch(`${url}/booking/seats`, {
			method: 'POST', headers: {'content-type': 'application/json', 'idempotency-key': key}, body: JSON.stringify({seat, delegate: 'Runa'}),
		});
		return {
			status: response.status, text: await response.text(), outcome: response.headers.get('carawayhoist-outcome'), code: Number(response.headers.get('carawayhoist-code') ?? 0),
		};
	} catch {
		return {
			status: 0, text: '', outcome: null, code: 0,
		};
	}
}

/** Counts at the plain servers how often a key ran. */
export async function countRuns(fleet: ProcessFleet, key: string): Promise<number> {
	const plains = fleet.backends.filter(({role}) => role === 'plain');
	const counts = await Promise.all(plains.map(async ({url}) => {
		const {keys} = await (await fetch(`${url}/runs`)).json() as {keys: Record<string, number>};
		return keys[key] ?? 0;
	}));
	return counts.reduce((sum, count) => sum + count, 0);
}

export type EngineCounters = {
	readonly requests: Record<string, number>;
	readonly orders: Array<{readonly order: number; readonly type: string}>;
	readonly cutByOrder: number;
	readonly role: string;
	readonly running: number;
};

/** Reads an engine's counters. */
export async function readEngineCounters(engine: FleetProcess): Promise<EngineCounters> {
	return await (await fetch(`${engine.url}/runs`)).json() as EngineCounters;
}

export type MembersResponse = {
	readonly leader: string;
	readonly repair?: string;
	readonly configuration: {readonly voters: ReadonlyArray<{readonly replica: string; readonly host: string; readonly address: string; readonly port: number}>};
};

/** Asks an entry host for the control replicas. */
export async function fetchMembers(entry: FleetProcess): Promise<MembersResponse> {
	return await (await fetch(`${entry.url}/api/v1/members`)).json() as MembersResponse;
}

/** Finds the process that leads, as an entry host learns it. */
export async function findLeader(fleet: ProcessFleet, entry: FleetProcess): Promise<FleetProcess | undefined> {
	const {leader, configuration} = await fetchMembers(entry);
	const host = configuration.voters.find(({replica}) => replica === leader)?.host;
	return fleet.hosts.find(({name}) => name === host);
}

async function * readLines(response: Response): AsyncGenerator<string> {
	const decoder = new TextDecoder();
	let rest = '';
	for await (const chunk of response.body ?? []) {
		const lines = (rest + decoder.decode(chunk as Uint8Array, {stream: true})).split('\n');
		rest = lines.pop() ?? '';
		yield * lines;
	}
}
