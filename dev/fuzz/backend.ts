/**
 * Backend servers in the fuzzer.
 *
 * @module
 */
import type {OrderReport} from '../../src/control/controller.js';
import type {OpenOrder} from '../../src/control/state.js';
import type {Announcement} from '../../src/generated/types.js';
import type {Checks} from './checks.js';
import type {Mutation} from './mutations.js';
import type {Process, World} from './world.js';

const ORDER_MS = 200;
const ANNOUNCE_MS = 100;
const WORK_MS = 250;

/** An engine: runs requests, takes orders; some check fencing numbers, some do not. */
export class FakeEngineProcess {
	readonly process: Process;
	readonly name: string;
	readonly checksFence: boolean;
	readonly #world: World;
	readonly #checks: Checks;
	readonly #mutation: Mutation | undefined;
	readonly #announce: (announcement: Announcement) => void;
	/** Running requests, and whether their host was entitled to send them. */
	#running = new Map<string, boolean>();
	#highest = 0;
	#last = 0;
	#state: 'done' | 'running' = 'done';
	#incarnation = 1;
	#sequence = 0;

	constructor(options: {name: string; checksFence: boolean; world: World; checks: Checks; mutation: Mutation | undefined; announce: (announcement: Announcement) => void}) {
		this.name = options.name;
		this.checksFence = options.checksFence;
		this.#world = options.world;
		this.#checks = options.checks;
		this.#mutation = options.mutation;
		this.#announce = options.announce;
		this.process = options.world.addProcess(options.name);
		this.#tick();
	}

	kill(): void {
		this.#world.kill(this.process);
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
	run(request: string, isEntitled: boolean, reply: (isRun: boolean) => void): void {
		if (this.#state === 'running') {
			reply(false);
			return;
		}

		this.#running.set(request, isEntitled);
		this.#world.scheduleIn(this.process, 20 + (this.#world.random() * 600), () => {
			this.#running.delete(request);
			reply(true);
		});
	}

	takeOrder(order: OpenOrder, reply: (report: OrderReport) => void): void {
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
		this.#checks.noteOrderExecuted(this.name, order);
		this.#world.note(`${this.name} carries out order ${order}`);
		for (const [request, isEntitled] of this.#running) {
			if (isEntitled) {
				this.#checks.noteCut(this.name, request);
			}
		}

		this.#running = new Map();
		this.#last = order;
		this.#highest = Math.max(this.#highest, order);
		this.#state = 'running';
		this.#world.scheduleIn(this.process, ORDER_MS, () => {
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
		this.#world.scheduleIn(this.process, ANNOUNCE_MS, () => {
			this.#tick();
		});
	}
}

/** A plain server whose work may not be repeated. */
export class FakePlainProcess {
	readonly process: Process;
	readonly #world: World;
	readonly #checks: Checks;

	constructor(name: string, world: World, checks: Checks) {
		this.#world = world;
		this.#checks = checks;
		this.process = world.addProcess(name);
	}

	run(key: string, attempt: string, reply: (booking: string) => void): void {
		this.#checks.noteRun(key, attempt);
		this.#world.scheduleIn(this.process, this.#world.random() * WORK_MS, () => {
			reply(`${key}:${attempt}`);
		});
	}

	kill(): void {
		this.#world.kill(this.process);
	}

	restart(): void {
		this.process.isAlive = true;
	}
}
