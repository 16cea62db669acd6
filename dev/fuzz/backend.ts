/**
 * Simulated backend servers of the fuzzer.
 *
 * @module
 */
import type {OrderReport} from '../../src/control/controller.js';
import type {OpenOrder} from '../../src/control/state.js';
import type {Announcement} from '../../src/generated/types.js';
import type {InvariantChecker} from './invariants.js';
import type {Mutation} from './mutations.js';
import type {SimulatedProcess, Simulator} from './simulator.js';

const ORDER_EXECUTION_MS = 200;
const ANNOUNCE_INTERVAL_MS = 100;
const MAX_BOOKING_MS = 250;

/** An engine: runs requests and executes orders. Only some engines check fencing numbers. */
export class EngineProcess {
	readonly process: SimulatedProcess;
	readonly name: string;
	readonly checksFence: boolean;
	readonly #simulator: Simulator;
	readonly #checker: InvariantChecker;
	readonly #mutation: Mutation | undefined;
	readonly #announce: (announcement: Announcement) => void;
	/** Running requests, and whether their host held a view lease when it sent them. */
	#running = new Map<string, boolean>();
	#highestOrder = 0;
	#lastOrder = 0;
	#orderState: 'done' | 'running' = 'done';
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
		this.#announceRepeatedly();
	}

	kill(): void {
		this.#simulator.kill(this.process);
		this.#running = new Map();
		this.#orderState = 'done';
	}

	restart(): void {
		if (!this.process.isAlive) {
			this.process.isAlive = true;
			this.#incarnation++;
			this.#sequence = 0;
			// An engine that checks fencing numbers keeps its last order across restarts; the others forget it.
			this.#lastOrder = this.checksFence ? this.#lastOrder : 0;
			this.#announceRepeatedly();
		}
	}

	/** Runs a request unless an order is being executed. */
	runRequest(request: string, hasLease: boolean, reply: (isRun: boolean) => void): void {
		if (this.#orderState === 'running') {
			reply(false);
			return;
		}

		this.#running.set(request, hasLease);
		this.#simulator.scheduleOn(this.process, 20 + (this.#simulator.random() * 600), () => {
			this.#running.delete(request);
			reply(true);
		});
	}

	receiveOrder(order: OpenOrder, reply: (report: OrderReport) => void): void {
		const isFenceChecked = this.checksFence && this.#mutation !== 'no-fence';
		const base = {server: this.name, order: order.order};
		if (isFenceChecked && order.order < this.#highestOrder) {
			reply({type: 'failed', ...base, note: 'old'});
			return;
		}

		if (order.order !== this.#lastOrder) {
			this.#execute(order.order);
		}

		reply(this.queryOrder(order));
	}

	/** Reports what became of an order. */
	queryOrder(order: OpenOrder): OrderReport {
		const base = {server: this.name, order: order.order};
		if (this.#lastOrder === order.order) {
			return this.#orderState === 'done' ? {type: 'done', ...base, note: 'done'} : {type: 'running', ...base};
		}

		return this.#lastOrder > order.order ? {type: 'failed', ...base, note: 'newer'} : {type: 'absent', ...base};
	}

	#execute(order: number): void {
		this.#checker.recordOrderExecuted(this.name, order);
		this.#simulator.log(`${this.name} executes order ${order}`);
		for (const [request, hasLease] of this.#running) {
			if (hasLease) {
				this.#checker.recordInterruptedRequest(this.name, request);
			}
		}

		this.#running = new Map();
		this.#lastOrder = order;
		this.#highestOrder = Math.max(this.#highestOrder, order);
		this.#orderState = 'running';
		this.#simulator.scheduleOn(this.process, ORDER_EXECUTION_MS, () => {
			this.#orderState = 'done';
		});
	}

	/** Announces the engine and schedules the next announcement. */
	#announceRepeatedly(): void {
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
		this.#simulator.scheduleOn(this.process, ANNOUNCE_INTERVAL_MS, () => {
			this.#announceRepeatedly();
		});
	}
}

/** A plain server whose requests are non-repeatable. */
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
		this.#simulator.scheduleOn(this.process, this.#simulator.random() * MAX_BOOKING_MS, () => {
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
