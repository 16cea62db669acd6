/** Prompts of which one part crashes each model server that begins to write an answer on it. */
import {setTimeout as sleep} from 'node:timers/promises';
import {Engine, createEngineConfig} from './engine.js';
import {publish} from './server.js';
import {call} from './system.js';

const DEFAULT_ENGINES = 6;
const EDGES = 2;
const CORES = 5;
const PART_TOKENS = 20;
const OWN_TOKENS = 30;
const DEADLY_PART = 'deadbeef';
const SOUND_PART = 'c0ffee00';
const SOUND_INTERVAL_MS = 80;
const CONTACT_MS = 3000;
const CRASHES_BEFORE = 5;
/** Requests with the part that may reach servers from `CONTACT_MS` after the fifth crash on. */
export const MAX_LATE = 3;

/** Sends sound prompts and prompts with the deadly part through the entry processes, and counts what reaches the servers. */
export class DeadlyPrompts {
	#system;
	#record;
	#options;
	#controls;
	#engines = [];
	#shared;
	#timer;
	#deadlyEvery;
	#crashes = [];
	#sound = [];
	#answers = new Map();
	#sent = 0;
	#inTouchMs = 0;

	/** @param options - `sharedParts` before the deadly one, `deadlyEvery` sound requests, and whether the part `isDeadly`. */
	constructor({system, record}, options) {
		this.#system = system;
		this.#record = record;
		this.#options = options;
		this.#shared = Array.from({length: options.sharedParts}, (_, index) => `${(0x10_00_00_00 + index).toString(16)}:${PART_TOKENS}`);
	}

	/** Starts the system and its servers, and begins to send. */
	async start() {
		const system = this.#system;
		await system.start({edges: EDGES, cores: CORES});
		this.#controls = system.list('core').map(machine => system.controlOf(machine));
		await publish(this.#controls, createEngineConfig(1));
		for (let index = 0; index < (this.#options.engines ?? DEFAULT_ENGINES); index++) {
			const engine = this.#createEngine(index);
			await engine.start();
			this.#engines.push(engine);
		}

		await system.waitUntilReady();
		const {sharedParts, deadlyEvery, isDeadly} = this.#options;
		this.#record(`Prompts of ${sharedParts + 2} parts, a sound one each ${SOUND_INTERVAL_MS} ms. Some have another last part but one${isDeadly ? ', which crashes servers' : ''}.`);
		this.#deadlyEvery = deadlyEvery;
		let ticks = 0;
		this.#timer = setInterval(() => {
			this.#ask(SOUND_PART);
			if (++ticks % this.#deadlyEvery === 0) {
				this.#ask(DEADLY_PART);
			}
		}, SOUND_INTERVAL_MS);
	}

	/** Sends some requests with the deadly part at once, and from then on one with each `every`th sound request. */
	sendDeadly(count, every) {
		this.#deadlyEvery = every;
		for (let index = 0; index < count; index++) {
			this.#ask(DEADLY_PART);
		}
	}

	/** Counts the sound requests that were sent before the first crash, and those from twice `contact-ms` after the fifth or the last one on. */
	countSound() {
		const firstMs = this.#crashes[0] ?? Number.POSITIVE_INFINITY;
		const fromMs = (this.#crashes[CRASHES_BEFORE - 1] ?? this.#crashes.at(-1) ?? 0) + (2 * CONTACT_MS);
		const count = requests => ({sent: requests.length, begun: requests.filter(({hasBegun}) => hasBegun).length});
		return {
			before: count(this.#sound.filter(({endedMs}) => endedMs < firstMs)),
			after: count(this.#sound.filter(({sentMs}) => sentMs > fromMs)),
		};
	}

	/** Notes that all machines have been started again, so that they are not in touch for some time. */
	noteRestart() {
		this.#inTouchMs = performance.now() + CONTACT_MS;
	}

	/** Stops sending and returns the number of requests with the deadly part that reached servers too late. */
	async finish() {
		clearInterval(this.#timer);
		await sleep(6000);
		const fifthMs = this.#crashes[CRASHES_BEFORE - 1] ?? Number.POSITIVE_INFINITY;
		const fromMs = Math.max(fifthMs + CONTACT_MS, this.#inTouchMs);
		const deadly = this.#engines.flatMap(({requests}) => requests).filter(({prefix}) => prefix?.includes(`${DEADLY_PART}:`));
		const late = deadly.filter(({atMs}) => atMs > fromMs).length;
		this.#record(`Answers by kind and status: ${[...this.#answers].map(([key, value]) => `${key}: ${value}`).join(', ')}.`);
		this.#record(`${this.#crashes.length} crashes. ${deadly.length} requests with the part reached servers, ${late} of them more than ${CONTACT_MS} ms after the fifth crash and from machines that had run for as long; ${MAX_LATE} are allowed.`);
		for (const engine of this.#engines) {
			await engine.close();
		}

		return late;
	}

	#createEngine(index) {
		return new Engine({
			host: this.#system.address(201 + index),
			name: `e${index}`,
			service: 'llm',
			listControls: () => this.#controls,
			crashes: headers => this.#options.isDeadly && headers['carawayhoist-prompt-prefix'].includes(`${DEADLY_PART}:`),
			onCrash: () => {
				this.#crashes.push(performance.now());
				this.#record(`Model server e${index} crashes.`);
			},
		});
	}

	async #ask(part) {
		const number = ++this.#sent;
		const sentMs = performance.now();
		const edges = this.#system.list('edge');
		const parts = [...this.#shared, `${part}:${PART_TOKENS}`, `${(0x20_00_00_00 + number).toString(16)}:${OWN_TOKENS}`];
		const {status, error} = await call({
			...this.#system.frontOf(edges[number % edges.length]),
			path: `/chat/${number}`,
			method: 'POST',
			body: `prompt ${number}`,
			timeoutMs: 5500,
			headers: {
				host: 'review.example', 'carawayhoist-attempt-id': `q${number}`, 'carawayhoist-model': 'm', 'carawayhoist-token-counts': `${((this.#shared.length + 1) * PART_TOKENS) + OWN_TOKENS},40`, 'carawayhoist-prompt-prefix': parts.join(','), 'carawayhoist-deadline-ms': '5000',
			},
		});
		const key = `${part === DEADLY_PART ? 'with the part' : 'sound'}: ${status || error}`;
		this.#answers.set(key, (this.#answers.get(key) ?? 0) + 1);
		if (part === SOUND_PART) {
			this.#sound.push({sentMs, endedMs: performance.now(), hasBegun: status === 200});
		}
	}
}
