/**
 * Backend servers in the fuzzer.
 *
 * @module
 */
import type {OrderReport} from '../../src/control/controller.js';
import type {OpenOrder} from '../../src/control/state.js';
import type {Announcement} from '../../src/generated/types.js';
import type {InvariantChecker} from './invariants.js';
import type {Mutation} from './mutations.js';
import type {SimulatedProcess, Simulator} from './simulator.js';

const ORDER_MS = 200;
const ANNOUNCE_MS = 100;
const WORK_MS = 250;

/** An engine: runs requests, takes orders; some check fencing numbers, some do not. */
export class EngineProcess {
	readonly process: SimulatedProcess;
	readonly name: string;
	readonly checksFence: boolean;
	readonly #simulator: Simulator;
	readonly #checker: InvariantChecker;
	readonly #mutation: Mutation | undefined;
	readonly #announce: (announcement: Announcement) => void;
	/** Running requests, and whether their host was entitled to send them. */
	#running = new Map<string, boolean>();
	#highest = 0;
	#last = 0;
	#state: 'done' | 'running' = 'done';
	#incarnation = 1;
	#sequence = 0;

	constructor(options: {name: string; checksFence: boolean; simulator: Simulator; checker: InvariantChecker; mutation: Mutation | undefined; announce: (announcement: Announcement) => void}) {
		this.name = options.name;
		this.checksFence = options.checksFence;
		this.#simulator = options.simulator;
		this.#checker = options.checker;
		this.#mutation = options.mutation;
		this.#announce = options.announce;
		this.process = options.simulator.addProcess(options.name);
		this.#tick();
	}

	kill(): void {
		this.#simulator.kill(this.process);
		this.#running = new Map();
		this.#state = 'done';
	}

	restart(): void {
		if (!this.process.isAlive) {
			this.process.isAlive = true;
			this.#incarnation++;
			this.#sequence = 0;
			// Whoever checks fences remembers them; an engine that does not has forgotten its last order too.
			this.#last = this.checksFence ? this.#last : 0;
			this.#tick();
		}
	}

	/** Runs a request unless an order is being carried out. */
	runRequest(request: string, isEntitled: boolean, reply: (isRun: boolean) => void): void {
		if (this.#state === 'running') {
			reply(false);
			return;
		}

		this.#running.set(request, isEntitled);
		this.#simulator.scheduleOn(this.process, 20 + (this.#simulator.random() * 600), () => {
			this.#running.delete(request);
			reply(true);
		});
	}

	receiveOrder(order: OpenOrder, reply: (report: OrderReport) => void): void {
		const isChecking = this.checksFence && this.#mutation !== 'no-fence';
		const base = {server: this.name, order: order.order};
		if (isChecking && order.order < this.#highest) {
			reply({type: 'failed', ...base, note: 'old'});
			return;
		}

		if (order.order !== this.#last) {
			this.#execute(order.order);
		}

		reply(this.readBack(order));
	}

	readBack(order: OpenOrder): OrderReport {
		const base = {server: this.name, order: order.order};
		if (this.#last === order.order) {
			return this.#state === 'done' ? {type: 'done', ...base, note: 'done'} : {type: 'running', ...base};
		}

		return this.#last > order.order ? {type: 'failed', ...base, note: 'newer'} : {type: 'absent', ...base};
	}

	#execute(order: number): void {
		this.#checker.recordOrderExecuted(this.name, order);
		this.#simulator.log(`${this.name} carries out order ${order}`);
		for (const [request, isEntitled] of this.#running) {
			if (isEntitled) {
				this.#checker.recordInterruptedRequest(this.name, request);
			}
		}

		this.#running = new Map();
		this.#last = order;
		this.#highest = Math.max(this.#highest, order);
		this.#state = 'running';
		this.#simulator.scheduleOn(this.process, ORDER_MS, () => {
			this.#state = 'done';
		});
	}

	#tick(): void {
		this.#sequence++;
		this.#announce({
			server: this.name,
			kind: 'engine',
			address: '127.0.0.1',
			port: 1,
			incarnation: this.#incarnation,
			sequence: this.#sequence,
			checksFence: this.checksFence,
			load: {running: this.#running.size, waiting: 0},
		});
		this.#simulator.scheduleOn(this.process, ANNOUNCE_MS, () => {
			this.#tick();
		});
	}
}

/** A plain server whose work may not be repeated. */
export class PlainServerProcess {
	readonly process: SimulatedProcess;
	readonly #simulator: Simulator;
	readonly #checker: InvariantChecker;

	constructor(name: string, simulator: Simulator, checker: InvariantChecker) {
		this.#simulator = simulator;
		this.#checker = checker;
		this.process = simulator.addProcess(name);
	}

	runBooking(key: string, attempt: string, reply: (booking: string) => void): void {
		this.#checker.recordRun(key, attempt);
		this.#simulator.scheduleOn(this.process, this.#simulator.random() * WORK_MS, () => {
			reply(`${key}:${attempt}`);
		});
	}

	kill(): void {
		this.#simulator.kill(this.process);
	}

	restart(): void {
		this.process.isAlive = true;
	}
}
