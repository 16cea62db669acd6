import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	ALL_ORDER_SAFEGUARDS, Controller, DEFAULT_CONTROLLER_TIMING, type ControllerEffect,
} from '../src/control/controller.js';
import {ControlState} from '../src/control/state.js';
import type {
	Announcement, ChangeSpecification, Command, RenewRequest,
} from '../src/generated/types.js';

/** A controller with its own control state. Proposed commands are applied immediately. */
class TestLeader {
	readonly state: ControlState;
	controller: Controller;
	nowMs = 100_000;
	index: number;
	leaseMs = 500;

	constructor(state = new ControlState(), index = 0, safeguards = ALL_ORDER_SAFEGUARDS) {
		this.state = state;
		this.index = index;
		this.controller = new Controller(this.nowMs, DEFAULT_CONTROLLER_TIMING, safeguards);
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

	/** Advances the time in steps of 100 ms. At each step entry hosts renew their view leases with the newest view. */
	advance(durationMs: number, renewals: ReadonlyArray<Partial<RenewRequest>> = [{}]): ControllerEffect[] {
		const effects: ControllerEffect[] = [];
		for (let passed = 0; passed < durationMs; passed += 100) {
			this.nowMs += 100;
			for (const renewal of renewals) {
				this.controller.renewViewLease({...createRenewal(this.state.viewVersion), ...renewal}, this.nowMs);
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

test('a drain waits until view leases granted by an earlier leader have expired', () => {
	const leader = new TestLeader();
	leader.declare('d', {action: 'drain', server: 'e1'});
	leader.advance(DEFAULT_CONTROLLER_TIMING.viewLeaseMs - 200, [{announcements: [createAnnouncement('e1')]}]);
	assert.equal(leader.phase('d'), 'draining');
	advanceForDrain(leader);
	assert.equal(leader.phase('d'), 'drained');
});

test('a drain waits for a host that has not acknowledged the view, but not longer than its lease', () => {
	const leader = new TestLeader();
	advanceForDrain(leader);
	leader.controller.renewViewLease({...createRenewal(0), host: 'late'}, leader.nowMs);
	leader.declare('d', {action: 'drain', server: 'e1'});
	leader.advance(800, [{announcements: [createAnnouncement('e1')]}]);
	assert.equal(leader.phase('d'), 'draining');
	advanceForDrain(leader);
	assert.equal(leader.phase('d'), 'drained');
});

test('a drain waits for running requests reported by entry hosts and by the engine', () => {
	const leader = new TestLeader();
	leader.declare('d', {action: 'drain', server: 'e1'});
	advanceForDrain(leader, {running: [{server: 'e1', count: 1}]});
	assert.equal(leader.phase('d'), 'draining');
	advanceForDrain(leader, {}, 1);
	assert.equal(leader.phase('d'), 'draining');
	advanceForDrain(leader);
	assert.equal(leader.phase('d'), 'drained');
});

test('an order is queried before it is sent, and settled once', () => {
	const leader = new TestLeader();
	leader.declare('r', {action: 'role', server: 'e1', role: 'decode'});
	const effects = advanceForDrain(leader);
	assert.equal(leader.phase('r'), 'ordered');
	const query = effects.find(effect => effect.type === 'query-order');
	assert.ok(query?.type === 'query-order');
	assert.ok(!effects.some(effect => effect.type === 'send-order'));
	leader.controller.handleReport({type: 'absent', server: 'e1', order: query.order.order}, leader.authority());
	const sent = leader.advance(1200).find(effect => effect.type === 'send-order');
	assert.ok(sent?.type === 'send-order');
	reportDone(leader, sent.order.order);
	assert.equal(leader.phase('r'), 'done');
});

test('an order without a response is queried, and no other order is sent to that engine meanwhile', () => {
	const leader = new TestLeader();
	const order = sendRoleOrder(leader, 'r');
	leader.controller.handleReport({type: 'lost', server: 'e1', order}, leader.authority());
	assert.equal(leader.declare('other', {action: 'role', server: 'e1', role: 'prefill'}).type, 'conflict');
	const effects = leader.advance(5000);
	assert.ok(effects.some(effect => effect.type === 'query-order'));
	assert.ok(!effects.some(effect => effect.type === 'send-order'));
});

test('an engine without fencing gets no order near the end of the leader lease', () => {
	const leader = new TestLeader();
	leader.leaseMs = DEFAULT_CONTROLLER_TIMING.orderTransitMs / 8;
	leader.declare('r', {action: 'role', server: 'e1', role: 'decode'});
	const effects = [...advanceForDrain(leader, {}, 0, false), ...reportOrderAbsent(leader)];
	assert.ok(!effects.some(effect => effect.type === 'send-order'));
	leader.leaseMs = 500;
	assert.ok(leader.advance(1200).some(effect => effect.type === 'send-order'));
});

test('a new leader waits for the previous leader lease to expire before it orders an engine without fencing', () => {
	const previous = new TestLeader();
	const order = sendRoleOrder(previous, 'r');
	const successor = new TestLeader(previous.state, previous.index);
	successor.controller.renewViewLease({...createRenewal(successor.state.viewVersion), announcements: [createAnnouncement('e1', 0, false)]}, successor.nowMs);
	successor.tick();
	successor.controller.handleReport({type: 'absent', server: 'e1', order}, successor.authority());
	const {leaderLeaseMs, orderTransitMs} = DEFAULT_CONTROLLER_TIMING;
	assert.ok(!successor.advance(leaderLeaseMs + orderTransitMs - 200).some(effect => effect.type === 'send-order'));
	assert.ok(successor.advance(1500).some(effect => effect.type === 'send-order'));
});

test('with the safeguard disabled, a new leader sends orders while the previous lease is valid', () => {
	const previous = new TestLeader();
	const order = sendRoleOrder(previous, 'r');
	const successor = new TestLeader(previous.state, previous.index, {...ALL_ORDER_SAFEGUARDS, awaitLeaseExpiry: false});
	successor.controller.renewViewLease({...createRenewal(successor.state.viewVersion), announcements: [createAnnouncement('e1', 0, false)]}, successor.nowMs);
	successor.tick();
	successor.controller.handleReport({type: 'absent', server: 'e1', order}, successor.authority());
	const {leaderLeaseMs, orderTransitMs} = DEFAULT_CONTROLLER_TIMING;
	assert.ok(successor.advance(leaderLeaseMs + orderTransitMs - 200).some(effect => effect.type === 'send-order'));
});

test('model loads are rate-limited to protect the weight store', () => {
	const leader = new TestLeader();
	for (let index = 0; index < 6; index++) {
		leader.declare(`l${index}`, {action: 'load', server: `e${index}`, model: 'm'});
	}

	const announcements = () => Array.from({length: 6}, (_, index) => createAnnouncement(`e${index}`));
	let orders = 0;
	for (let round = 0; round < 30; round++) {
		const effects = leader.advance(100, [{announcements: announcements()}]);
		orders += effects.filter(effect => effect.type === 'propose' && effect.command.type === 'issue-order').length;
	}

	assert.ok(orders >= 2 && orders <= 5, `${orders} loads in 3 s at 1 a second with a burst of 2`);
});

test('a claim of a failed host becomes unknown, and its quarantine lock is released', () => {
	const leader = new TestLeader();
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

test('a claim of a live host stays open', () => {
	const leader = new TestLeader();
	leader.apply({
		type: 'claim', at: 0, key: 'k', fingerprint: 'f', attempt: 'boot/1', host: 'entry',
	});
	leader.advance(9000, [{host: 'entry', boot: 'boot'}]);
	assert.equal(leader.state.ledger.find('k')?.state, 'claimed');
});

// Guards against an order to a server that was taken for down, stood still instead, and goes on with its work.
test('a server that was silent at its drain gets the order only once it reports that it is idle', () => {
	const leader = new TestLeader();
	leader.controller.observe(createAnnouncement('e1', 1), leader.nowMs);
	leader.declare('r', {action: 'role', server: 'e1', role: 'decode'});
	leader.advance(DEFAULT_CONTROLLER_TIMING.serverTimeoutMs + 1000);
	assert.equal(leader.phase('r'), 'ordered');
	leader.controller.observe(createAnnouncement('e1', 1), leader.nowMs);
	const early = [...reportOrderAbsent(leader), ...advanceForDrain(leader, {}, 1)];
	assert.equal(early.some(({type}) => type === 'send-order'), false);
	assert.ok(advanceForDrain(leader).some(({type}) => type === 'send-order'));
});

// Guards against a leader that stood still and takes hosts for gone whose renewals it has not read yet.
test('a leader that was out of contact waits for the leases that hosts may still hold', () => {
	const leader = new TestLeader();
	advanceForDrain(leader);
	leader.declare('d', {action: 'drain', server: 'e1'});
	leader.advance(100, [{running: [{server: 'e1', count: 1}], announcements: [createAnnouncement('e1')]}]);
	leader.nowMs += DEFAULT_CONTROLLER_TIMING.viewLeaseMs * 2;
	leader.leaseMs = -1;
	leader.tick();
	leader.leaseMs = 500;
	for (let round = 0; round < 10; round++) {
		leader.controller.observe(createAnnouncement('e1'), leader.nowMs);
		leader.advance(100, []);
	}

	assert.equal(leader.phase('d'), 'draining');
	advanceForDrain(leader);
	assert.equal(leader.phase('d'), 'drained');
});

function createRenewal(version: number): RenewRequest {
	return {
		type: 'renew', id: 1, host: 'entry', boot: 'boot', version, running: [], leaving: false,
	};
}

function createAnnouncement(server: string, running = 0, checksFence = true): Announcement {
	sequence++;
	return {
		server, kind: 'engine', address: '127.0.0.1', port: 1, incarnation: 1, sequence, checksFence, load: {running, waiting: 0},
	};
}

/** Advances the time by 2.5 s, enough for a drain, with a new announcement every 100 ms. */
function advanceForDrain(leader: TestLeader, renewal: Partial<RenewRequest> = {}, running = 0, checksFence = true): ControllerEffect[] {
	const effects: ControllerEffect[] = [];
	for (let round = 0; round < 25; round++) {
		effects.push(...leader.advance(100, [{...renewal, announcements: [createAnnouncement('e1', running, checksFence)]}]));
	}

	return effects;
}

function reportOrderAbsent(leader: TestLeader): ControllerEffect[] {
	const [order] = leader.state.listOpenOrders();
	leader.controller.handleReport({type: 'absent', server: order!.server, order: order!.order}, leader.authority());
	return leader.advance(1200);
}

function sendRoleOrder(leader: TestLeader, name: string): number {
	leader.declare(name, {action: 'role', server: 'e1', role: 'decode'});
	advanceForDrain(leader);
	const sent = reportOrderAbsent(leader).find(effect => effect.type === 'send-order');
	assert.ok(sent?.type === 'send-order');
	return sent.order.order;
}

function reportDone(leader: TestLeader, order: number): void {
	for (const effect of leader.controller.handleReport({
		type: 'done', server: 'e1', order, note: 'done',
	}, leader.authority())) {
		if (effect.type === 'propose') {
			leader.apply(effect.command);
		}
	}
}
