import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	ALL_ORDER_SAFEGUARDS, Controller, DEFAULT_CONTROLLER_TIMING, type ControllerEffect,
} from '../src/control/controller.js';
import {ControlState} from '../src/control/state.js';
import type {
	Announcement, ChangeSpecification, Command, RenewRequest,
} from '../src/generated/types.js';

/** A leader's controller with its state; commands it proposes are applied at once. */
class Leader {
	readonly state: ControlState;
	controller: Controller;
	nowMs = 100_000;
	index: number;
	leaseMs = 500;

	constructor(state = new ControlState(), index = 0, mechanisms = ALL_ORDER_SAFEGUARDS) {
		this.state = state;
		this.index = index;
		this.controller = new Controller(this.nowMs, DEFAULT_CONTROLLER_TIMING, mechanisms);
	}

	apply(command: Command) {
		this.index++;
		return this.state.apply(command, this.index);
	}

	declare(name: string, change: Omit<ChangeSpecification, 'kind'>) {
		return this.apply({
			type: 'put', at: 0, requestId: name, name, seen: 0, specification: {kind: 'change', ...change},
		});
	}

	/** Lets time pass; entry hosts renew with the newest view. */
	advance(durationMs: number, renewals: ReadonlyArray<Partial<RenewRequest>> = [{}]): ControllerEffect[] {
		const effects: ControllerEffect[] = [];
		for (let passed = 0; passed < durationMs; passed += 100) {
			this.nowMs += 100;
			for (const renewal of renewals) {
				this.controller.renewViewLease({...renew(this.state.viewVersion), ...renewal}, this.nowMs);
			}

			effects.push(...this.tick());
		}

		return effects;
	}

	tick(): ControllerEffect[] {
		const effects = this.controller.tick(this.state, this.authority());
		for (const effect of effects) {
			if (effect.type === 'propose') {
				this.apply(effect.command);
			}
		}

		return effects;
	}

	authority() {
		return {nowMs: this.nowMs, wallMs: 0, leaseUntilMs: this.nowMs + this.leaseMs};
	}

	phase(name: string) {
		return this.state.findResource('change', name)?.status?.phase;
	}
}

let sequence = 0;

test('a drain waits for the lease of hosts that an earlier leader may have known', () => {
	const leader = new Leader();
	leader.declare('d', {action: 'drain', server: 'e1'});
	leader.advance(DEFAULT_CONTROLLER_TIMING.viewLeaseMs - 200, [{announcements: [announce('e1')]}]);
	assert.equal(leader.phase('d'), 'draining');
	drain(leader);
	assert.equal(leader.phase('d'), 'drained');
});

test('a drain waits for a host that has not acknowledged the view, and no longer than its lease', () => {
	const leader = new Leader();
	drain(leader);
	leader.controller.renewViewLease({...renew(0), host: 'late'}, leader.nowMs);
	leader.declare('d', {action: 'drain', server: 'e1'});
	leader.advance(800, [{announcements: [announce('e1')]}]);
	assert.equal(leader.phase('d'), 'draining');
	drain(leader);
	assert.equal(leader.phase('d'), 'drained');
});

test('a drain waits for running requests, by the hosts\' count and by the engine\'s', () => {
	const leader = new Leader();
	leader.declare('d', {action: 'drain', server: 'e1'});
	drain(leader, {running: [{server: 'e1', count: 1}]});
	assert.equal(leader.phase('d'), 'draining');
	drain(leader, {}, 1);
	assert.equal(leader.phase('d'), 'draining');
	drain(leader);
	assert.equal(leader.phase('d'), 'drained');
});

test('an order is read back before it is sent, and settled once', () => {
	const leader = new Leader();
	leader.declare('r', {action: 'role', server: 'e1', role: 'decode'});
	const effects = drain(leader);
	assert.equal(leader.phase('r'), 'ordered');
	const back = effects.find(effect => effect.type === 'query-order');
	assert.ok(back?.type === 'query-order');
	assert.ok(!effects.some(effect => effect.type === 'send-order'));
	leader.controller.handleReport({type: 'absent', server: 'e1', order: back.order.order}, leader.authority());
	const sent = leader.advance(1200).find(effect => effect.type === 'send-order');
	assert.ok(sent?.type === 'send-order');
	settle(leader, sent.order.order);
	assert.equal(leader.phase('r'), 'done');
});

test('an order without an answer is read back, and no other order goes to that engine meanwhile', () => {
	const leader = new Leader();
	const order = sendOrder(leader, 'r');
	leader.controller.handleReport({type: 'lost', server: 'e1', order}, leader.authority());
	assert.equal(leader.declare('other', {action: 'role', server: 'e1', role: 'prefill'}).type, 'conflict');
	const effects = leader.advance(5000);
	assert.ok(effects.some(effect => effect.type === 'query-order'));
	assert.ok(!effects.some(effect => effect.type === 'send-order'));
});

test('an engine that checks no fences gets no order at the end of the lease', () => {
	const leader = new Leader();
	leader.leaseMs = DEFAULT_CONTROLLER_TIMING.orderTransitMs / 8;
	leader.declare('r', {action: 'role', server: 'e1', role: 'decode'});
	const effects = [...drain(leader, {}, 0, false), ...reportAbsent(leader)];
	assert.ok(!effects.some(effect => effect.type === 'send-order'));
	leader.leaseMs = 500;
	assert.ok(leader.advance(1200).some(effect => effect.type === 'send-order'));
});

test('a new leader waits out its predecessor before it orders an engine without fences', () => {
	const old = new Leader();
	const order = sendOrder(old, 'r');
	const next = new Leader(old.state, old.index);
	next.controller.renewViewLease({...renew(next.state.viewVersion), announcements: [announce('e1', 0, false)]}, next.nowMs);
	next.tick();
	next.controller.handleReport({type: 'absent', server: 'e1', order}, next.authority());
	const {leaderLeaseMs: authorityMs, orderTransitMs} = DEFAULT_CONTROLLER_TIMING;
	assert.ok(!next.advance(authorityMs + orderTransitMs - 200).some(effect => effect.type === 'send-order'));
	assert.ok(next.advance(1500).some(effect => effect.type === 'send-order'));
});

test('without the wait a new leader orders while its predecessor still may', () => {
	const old = new Leader();
	const order = sendOrder(old, 'r');
	const next = new Leader(old.state, old.index, {...ALL_ORDER_SAFEGUARDS, awaitLeaseExpiry: false});
	next.controller.renewViewLease({...renew(next.state.viewVersion), announcements: [announce('e1', 0, false)]}, next.nowMs);
	next.tick();
	next.controller.handleReport({type: 'absent', server: 'e1', order}, next.authority());
	const {leaderLeaseMs: authorityMs, orderTransitMs} = DEFAULT_CONTROLLER_TIMING;
	assert.ok(next.advance(authorityMs + orderTransitMs - 200).some(effect => effect.type === 'send-order'));
});

test('loads are admitted at the weight store\'s rate', () => {
	const leader = new Leader();
	for (let index = 0; index < 6; index++) {
		leader.declare(`l${index}`, {action: 'load', server: `e${index}`, model: 'm'});
	}

	const announcements = () => Array.from({length: 6}, (_, index) => announce(`e${index}`));
	let orders = 0;
	for (let round = 0; round < 30; round++) {
		const effects = leader.advance(100, [{announcements: announcements()}]);
		orders += effects.filter(effect => effect.type === 'propose' && effect.command.type === 'issue-order').length;
	}

	assert.ok(orders >= 2 && orders <= 5, `${orders} loads in 3 s at 1 a second with a burst of 2`);
});

test('a claim whose host is gone becomes unknown; a quarantine is lifted', () => {
	const leader = new Leader();
	for (const key of ['booking/x', 'quarantine/e1']) {
		leader.apply({
			type: 'claim', at: 0, key, fingerprint: 'f', attempt: 'boot-1/1', host: 'gone',
		});
	}

	leader.advance(2000);
	assert.equal(leader.state.ledger.find('booking/x')?.state, 'claimed');
	leader.advance(2500);
	assert.equal(leader.state.ledger.find('booking/x')?.state, 'unknown');
	assert.equal(leader.state.ledger.find('quarantine/e1')?.state, 'not-run');
});

test('a claim whose host lives stays open', () => {
	const leader = new Leader();
	leader.apply({
		type: 'claim', at: 0, key: 'k', fingerprint: 'f', attempt: 'boot/1', host: 'entry',
	});
	leader.advance(9000, [{host: 'entry', boot: 'boot'}]);
	assert.equal(leader.state.ledger.find('k')?.state, 'claimed');
});

function renew(version: number): RenewRequest {
	return {
		type: 'renew', id: 1, host: 'entry', boot: 'boot', version, running: [], leaving: false,
	};
}

function announce(server: string, running = 0, checksFence = true): Announcement {
	sequence++;
	return {
		server, kind: 'engine', address: '127.0.0.1', port: 1, incarnation: 1, sequence, checksFence, load: {running, waiting: 0},
	};
}

/** Lets enough time pass for a drain, with fresh announcements. */
function drain(leader: Leader, renewal: Partial<RenewRequest> = {}, running = 0, checksFence = true): ControllerEffect[] {
	const effects: ControllerEffect[] = [];
	for (let round = 0; round < 25; round++) {
		effects.push(...leader.advance(100, [{...renewal, announcements: [announce('e1', running, checksFence)]}]));
	}

	return effects;
}

function reportAbsent(leader: Leader): ControllerEffect[] {
	const [order] = leader.state.listOpenOrders();
	leader.controller.handleReport({type: 'absent', server: order!.server, order: order!.order}, leader.authority());
	return leader.advance(1200);
}

function sendOrder(leader: Leader, name: string): number {
	leader.declare(name, {action: 'role', server: 'e1', role: 'decode'});
	drain(leader);
	const sent = reportAbsent(leader).find(effect => effect.type === 'send-order');
	assert.ok(sent?.type === 'send-order');
	return sent.order.order;
}

function settle(leader: Leader, order: number): void {
	for (const effect of leader.controller.handleReport({
		type: 'done', server: 'e1', order, note: 'done',
	}, leader.authority())) {
		if (effect.type === 'propose') {
			leader.apply(effect.command);
		}
	}
}
