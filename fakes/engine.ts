/**
 * A fake model engine: streams deterministic completions with simulated prefill and decode times, executes orders, and
 * counts what it was asked to do.
 *
 * @module
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import process from 'node:process';
import type {Announcement} from '../src/generated/types.js';
import {DEFAULT_COMPLETION_TOKENS, generateToken} from './completion.js';
import {FakeBackend, sendJson, type FakeBackendOptions} from './backend.js';

export type FakeEngineOptions = FakeBackendOptions & {
	readonly models?: readonly string[];
	readonly role?: 'prefill' | 'decode' | 'mixed';
	readonly checksFence?: boolean;
	/** Duration of one decode step, which yields one token per stream, in milliseconds. */
	readonly stepMs?: number;
	readonly prefillTokensPerMs?: number;
	/** Time that an order takes, in milliseconds. The engine refuses requests meanwhile. */
	readonly orderDurationMs?: number;
	/** Called instead of exiting the process when a request crashes the engine. */
	readonly onCrash?: () => void;
};

type Order = {
	readonly order: number;
	readonly type: string;
	readonly role?: 'prefill' | 'decode' | 'mixed';
	readonly model?: string;
};

type CompletionBody = {
	readonly model: string;
	readonly messages?: ReadonlyArray<{readonly role: string; readonly content: string}>;
	readonly prompt?: string;
	readonly max_tokens?: number;
	readonly max_completion_tokens?: number;
	readonly resume?: {readonly offset: number};
	readonly handoff?: boolean;
	readonly kv?: {readonly handle: string};
};

/** A prompt that contains this text crashes every engine that runs it. */
export const POISON_WORD = 'CRASH-THE-ENGINE';
const EXIT_CRASHED = 70;

export class FakeEngine extends FakeBackend {
	readonly #options: FakeEngineOptions;
	readonly #runs = new Map<string, number>();
	readonly #streams = new Set<ServerResponse>();
	readonly #orders: Order[] = [];
	#models: string[];
	#role: 'prefill' | 'decode' | 'mixed';
	#highestOrder = 0;
	#orderState = 'done';
	#isUnavailable = false;
	#streamsCutByOrder = 0;
	#cancelledStreams = 0;
	#refusedRequests = 0;
	#importedCaches = 0;

	constructor(options: FakeEngineOptions) {
		super(options);
		this.#options = options;
		this.#models = [...options.models ?? Object.keys(DEFAULT_COMPLETION_TOKENS)];
		this.#role = options.role ?? 'mixed';
	}

	/** Number of streams that are running. */
	get runningCount(): number {
		return this.#streams.size;
	}

	protected override describeAnnouncement(): Pick<Announcement, 'kind'> & Partial<Announcement> {
		return {
			kind: 'engine',
			models: this.#models,
			role: this.#role,
			capacity: 1000,
			checksFence: this.#options.checksFence ?? true,
			load: {
				running: this.#streams.size, waiting: 0, prefillTokens: 0, decodeTokens: this.#streams.size * 200, freePieces: 1000,
			},
		};
	}

	protected override handleRequest(request: IncomingMessage, response: ServerResponse, body: string): void {
		const route = `${request.method} ${request.url}`;
		switch (route) {
			case 'GET /runs': {
				sendJson(response, 200, {
					requests: Object.fromEntries(this.#runs), orders: this.#orders, cutByOrder: this.#streamsCutByOrder, cancelled: this.#cancelledStreams, refused: this.#refusedRequests, imported: this.#importedCaches, role: this.#role, running: this.#streams.size,
				});
				break;
			}

			case 'GET /orders': {
				sendJson(response, 200, {order: this.#highestOrder, state: this.#orderState});
				break;
			}

			case 'POST /orders': {
				this.#receiveOrder(response, JSON.parse(body) as Order);
				break;
			}

			case 'POST /v1/chat/completions':
			case 'POST /v1/completions': {
				this.#complete(request, response, JSON.parse(body) as CompletionBody);
				break;
			}

			default: {
				sendJson(response, 404, {error: 'not found'});
			}
		}
	}

	/** Starts an order. Breaks off the running streams and counts them, so that tests notice an order sent to a busy engine. */
	#receiveOrder(response: ServerResponse, order: Order): void {
		if (this.#options.checksFence !== false && order.order < this.#highestOrder) {
			sendJson(response, 409, {order: this.#highestOrder, state: this.#orderState, note: 'old fencing number'});
			return;
		}

		if (order.order === this.#highestOrder) {
			sendJson(response, 200, {order: this.#highestOrder, state: this.#orderState});
			return;
		}

		this.#orders.push(order);
		this.#highestOrder = order.order;
		this.#orderState = 'running';
		this.#isUnavailable = true;
		for (const stream of this.#streams) {
			this.#streamsCutByOrder++;
			stream.destroy();
		}

		setTimeout(() => {
			this.#finishOrder(order);
		}, this.#options.orderDurationMs ?? 300);
		sendJson(response, 200, {order: this.#highestOrder, state: this.#orderState});
	}

	#finishOrder(order: Order): void {
		if (order.order !== this.#highestOrder) {
			return;
		}

		this.#role = order.type === 'role' ? order.role ?? this.#role : this.#role;
		if (order.type === 'load' && order.model !== undefined && !this.#models.includes(order.model)) {
			this.#models = [...this.#models, order.model];
		}

		this.#isUnavailable = order.type === 'withdraw';
		this.#orderState = 'done';
		this.announce();
	}

	#complete(request: IncomingMessage, response: ServerResponse, body: CompletionBody): void {
		if (this.#isUnavailable || !this.#models.includes(body.model)) {
			this.#refusedRequests++;
			sendJson(response, 503, {error: 'not serving'}, {'carawayhoist-outcome': 'not-run', 'x-request-id': String(request.headers['x-request-id'])});
			return;
		}

		const prompt = body.messages ? body.messages.map(({role, content}) => `${role}: ${content}`).join('\n') : body.prompt ?? '';
		this.#runs.set(prompt.slice(0, 80), (this.#runs.get(prompt.slice(0, 80)) ?? 0) + 1);
		const id = String(request.headers['x-request-id']);
		const outputTokens = Math.min(body.max_completion_tokens ?? body.max_tokens ?? Number.POSITIVE_INFINITY, DEFAULT_COMPLETION_TOKENS[body.model] ?? 50);
		const promptTokens = Math.ceil(prompt.length / 4);
		const prefillMs = body.kv ? 0 : promptTokens / (this.#options.prefillTokensPerMs ?? 20);
		this.#importedCaches += body.kv ? 1 : 0;
		this.#streams.add(response);
		const timer = setTimeout(() => {
			if (prompt.includes(POISON_WORD)) {
				(this.#options.onCrash ?? (() => process.exit(EXIT_CRASHED)))();
				return;
			}

			this.#stream(response, {
				id, prompt, outputTokens, handsOff: body.handoff ?? false, offset: body.resume?.offset ?? 0, isChat: body.messages !== undefined, promptTokens,
			});
		}, prefillMs);
		response.once('close', () => {
			clearTimeout(timer);
			this.#streams.delete(response);
			if (!response.writableFinished) {
				this.#cancelledStreams++;
			}
		});
	}

	/** Sends one event per decode step. With `handsOff` it stops after one token and names a KV cache to continue from. */
	#stream(response: ServerResponse, options: {id: string; prompt: string; outputTokens: number; handsOff: boolean; offset: number; isChat: boolean; promptTokens: number}): void {
		const {id, prompt, isChat, promptTokens} = options;
		const outputTokens = options.handsOff ? Math.min(options.outputTokens, options.offset + 1) : options.outputTokens;
		const handoff = outputTokens < options.outputTokens ? {handoff: `kv-${id}`} : {};
		let {offset} = options;
		response.writeHead(200, {'content-type': 'text/event-stream', 'carawayhoist-load': `${this.#streams.size},0,0,${this.#streams.size * 200}`});
		const writeChunk = (choice: unknown, rest: Record<string, unknown>) => {
			response.write(`data: ${JSON.stringify({id, choices: choice === undefined ? [] : [choice], ...rest})}\n\n`);
		};

		const timer = setInterval(() => {
			if (offset < outputTokens) {
				const text = generateToken(prompt, offset);
				writeChunk({index: 0, ...(isChat ? {delta: {content: text}} : {text}), finish_reason: null}, {offset});
				offset++;
				return;
			}

			clearInterval(timer);
			const reason = outputTokens < (DEFAULT_COMPLETION_TOKENS['chat-1'] ?? 0) ? 'length' : 'stop';
			writeChunk({index: 0, ...(isChat ? {delta: {}} : {text: ''}), finish_reason: reason}, handoff);
			writeChunk(undefined, {usage: {prompt_tokens: promptTokens, completion_tokens: outputTokens, total_tokens: promptTokens + outputTokens}});
			response.end('data: [DONE]\n\n');
		}, this.#options.stepMs ?? 10);
		response.once('close', () => {
			clearInterval(timer);
		});
	}
}
