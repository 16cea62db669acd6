/**
 * Control loop of the leader: advances planned changes, sends orders to backend servers, plans role changes, and settles
 * the open claims of entry hosts that have failed.
 *
 * A state machine without I/O: the caller passes the control state, the current time and the leader lease, and executes
 * the returned effects.
 *
 * @module
 */
import type {
	OrderAction, Announcement, ChangeSpecification, Command, ModelDemand, PolicySpecification, RenewRequest, Resource,
} from '../generated/types.js';
import type {EngineRole} from '../routing/choice.js';
import {
	chooseRoleChange, ROLE_PROFILES, type Demand, type RoleProfile,
} from '../routing/roles.js';
import {QUARANTINE_PREFIX} from './ledger.js';
import {
	excludesServer, CHANGE_PHASES, isOpenChange, type ControlState, type OpenOrder,
} from './state.js';

/** Name of the policy resource that configures automatic role changes. */
export const ROLE_POLICY_NAME = 'roles';
/** Prefix of the names of role changes that the controller plans by itself. */
const AUTOMATIC_PREFIX = 'auto-';
const AUTOMATIC_RETENTION_MS = 3_600_000;
const ROLE_PLAN_INTERVAL_MS = 1000;

export type ControllerTiming = {
	/** Duration of an entry host's view lease. */
	readonly viewLeaseMs: number;
	/** Maximum time between the write of an order and its arrival at the server. */
	readonly orderTransitMs: number;
	/** Duration of a leader lease, including clock drift. */
	readonly leaderLeaseMs: number;
	/** How long a claim stays open after the view lease of its entry host has expired. */
	readonly claimGraceMs: number;
	/** Minimum time between two tries to send or query the same order, and between two identical proposals. */
	readonly orderRetryMs: number;
	/** A server that has not announced itself for this long is considered down. */
	readonly serverTimeoutMs: number;
	/**
	 * Minimum time between the last order of one leader and the first order of the next to servers without fencing, even
	 * if the previous lease expires earlier.
	 */
	readonly minTakeoverMs: number;
};

export const DEFAULT_CONTROLLER_TIMING: ControllerTiming = {
	viewLeaseMs: 1500,
	orderTransitMs: 1000,
	leaderLeaseMs: 700,
	claimGraceMs: 2000,
	orderRetryMs: 1000,
	serverTimeoutMs: 5000,
	minTakeoverMs: 0,
};

/** Effect that sends an order to a backend server. */
export type SendOrderEffect = {
	readonly type: 'send-order';
	readonly server: Announcement;
	readonly order: OpenOrder;
	/** Monotonic time after which the order must not be written; infinite for servers that check fencing numbers. */
	readonly notAfterMs: number;
};

export type ControllerEffect
	= | {readonly type: 'propose'; readonly command: Command}
		| SendOrderEffect
		| {
			readonly type: 'query-order';
			readonly server: Announcement;
			readonly order: OpenOrder;
			/** Whether this leader issued the order, so that no other leader can have sent it. */
			readonly isOwn: boolean;
		};

/** Result of sending or querying an order. */
export type OrderReport
	= | {readonly type: 'done'; readonly server: string; readonly order: number; readonly note: string}
		| {readonly type: 'failed'; readonly server: string; readonly order: number; readonly note: string}
	/** The server has not received the order. */
		| {readonly type: 'absent'; readonly server: string; readonly order: number}
	/** The server is executing it. */
		| {readonly type: 'running'; readonly server: string; readonly order: number}
	/** The result is unknown: the server did not respond. */
		| {readonly type: 'lost'; readonly server: string; readonly order: number};

/** An entry host that has renewed its view lease. */
type Session = {
	/** Identifies one start of the host's process. */
	readonly boot: string;
	/** Version of the view that the host has applied. */
	readonly version: number;
	/** Requests in flight at each server that is being changed. */
	readonly running: ReadonlyMap<string, number>;
	readonly leaseUntilMs: number;
};

/** The latest announcement of a backend server and the time at which it was received. */
type ServerObservation = {
	readonly announcement: Announcement;
	readonly atMs: number;
};

/** What this leader knows about the delivery of an open order. */
type OrderAttempt = {
	order: number;
	/** `unresolved`: the server may have received the order, so it must be queried before the order is sent again. */
	state: 'unsent' | 'sent' | 'unresolved';
	lastTryMs: number;
};

/** Clock readings, and the expiry of the leader lease on the same monotonic clock. */
export type LeaseClock = {
	readonly nowMs: number;
	readonly wallMs: number;
	/** Time until which no other leader can exist. */
	readonly leaseUntilMs: number;
};

/**
 * Safety rules for orders to backend servers, all enabled by default. The fuzzer disables one at a time to prove that its
 * checks detect the resulting fault.
 */
export type OrderSafeguards = {
	/** Orders to servers without fencing wait until the previous leader's lease has expired. */
	readonly awaitLeaseExpiry: boolean;
	/** A server counts as drained only after all entry hosts have acknowledged the change. */
	readonly awaitViewAcknowledgements: boolean;
	/** An order that the server may have received is queried before it is sent again. */
	readonly queryBeforeResend: boolean;
	/** A server must be idle before it gets an order. Disabled where servers finish running work by themselves. */
	readonly awaitIdle: boolean;
};

export const ALL_ORDER_SAFEGUARDS: OrderSafeguards = {
	awaitLeaseExpiry: true, awaitViewAcknowledgements: true, queryBeforeResend: true, awaitIdle: true,
};

/** Control loop of one term of leadership. Created when a replica becomes leader, discarded when it steps down. */
export class Controller {
	readonly #timing: ControllerTiming;
	readonly #safeguards: OrderSafeguards;
	readonly #electedMs: number;
	/**
	 * Since when this leader has received renewals and announcements without a gap. Those sent while it was suspended or partitioned may
	 * not have been processed yet.
	 */
	#observingSinceMs: number;
	readonly #sessions = new Map<string, Session>();
	readonly #observations = new Map<string, ServerObservation>();
	readonly #orderAttempts = new Map<string, OrderAttempt>();
	/** For each draining change, the announcement that its server had made at the first idle check. */
	readonly #drainBaselines = new Map<string, {readonly sequence: number; readonly incarnation: number}>();
	/** Names of the changes whose server was assumed to be down, and therefore idle, because it was silent. */
	readonly #drainsAssumedIdle = new Set<string>();
	readonly #lastProposedMs = new Map<string, number>();
	readonly #loadLimiter: TokenBucket;
	readonly #demands = new Map<string, readonly ModelDemand[]>();
	readonly #lastRoleChangeMs = new Map<string, number>();
	/** Names of the changes whose orders this leader issued. */
	readonly #changesOrderedHere = new Set<string>();
	#nextRolePlanMs = 0;

	constructor(electedMs: number, timing = DEFAULT_CONTROLLER_TIMING, safeguards = ALL_ORDER_SAFEGUARDS) {
		this.#electedMs = electedMs;
		this.#observingSinceMs = electedMs;
		this.#timing = timing;
		this.#safeguards = safeguards;
		this.#loadLimiter = new TokenBucket({perSecond: 1, burst: 2}, electedMs);
	}

	/** Returns the number of entry hosts whose view lease is valid. */
	countSessions(nowMs: number): number {
		return [...this.#sessions.values()].filter(session => session.leaseUntilMs > nowMs).length;
	}

	/** Renews an entry host's view lease and returns its duration in milliseconds. */
	renewViewLease(message: RenewRequest, nowMs: number): number {
		for (const announcement of message.announcements ?? []) {
			this.observe(announcement, nowMs);
		}

		this.#demands.set(message.host, message.demand ?? []);
		if (message.leaving) {
			this.#demands.delete(message.host);
			this.#sessions.delete(message.host);
			return 0;
		}

		this.#sessions.set(message.host, {
			boot: message.boot,
			version: message.version,
			running: new Map(message.running.map(({server, count}) => [server, count])),
			leaseUntilMs: nowMs + this.#timing.viewLeaseMs,
		});
		return this.#timing.viewLeaseMs;
	}

	/** Records an announcement of a server, which contains the address for orders and the server's load. */
	observe(announcement: Announcement, nowMs: number): void {
		const previous = this.#observations.get(announcement.server)?.announcement;
		if (!previous || isNewerAnnouncement(announcement, previous)) {
			this.#observations.set(announcement.server, {announcement, atMs: nowMs});
		}
	}

	/** Records the result of sending or querying an order, and settles a finished order. A later tick makes retries. */
	handleReport(report: OrderReport, clock: LeaseClock): ControllerEffect[] {
		const attempt = this.#orderAttempts.get(report.server);
		if (attempt?.order !== report.order) {
			return [];
		}

		switch (report.type) {
			case 'done':
			case 'failed': {
				this.#orderAttempts.delete(report.server);
				return [{
					type: 'propose',
					command: {
						type: 'settle-order', at: clock.wallMs, server: report.server, order: report.order, outcome: report.type, note: report.note,
					},
				}];
			}

			case 'absent': {
				attempt.state = 'unsent';
				break;
			}

			case 'running':
			case 'lost': {
				attempt.state = 'unresolved';
				break;
			}
		}

		return [];
	}

	/** Runs the control loop once for changes, orders and claims. */
	tick(state: ControlState, clock: LeaseClock): ControllerEffect[] {
		if (clock.nowMs >= clock.leaseUntilMs) {
			this.#observingSinceMs = clock.nowMs;
		}

		return [
			...this.#advanceChanges(state, clock),
			...this.#advanceOrders(state, clock),
			...this.#closeAbandonedClaims(state, clock),
		];
	}

	/**
	 * Plans at most one role change: one that operators have declared in an engine resource, or an automatic one if the
	 * policy enables them.
	 */
	planRoleChanges(state: ControlState, engines: readonly Announcement[], clock: LeaseClock): ControllerEffect[] {
		if (clock.nowMs < this.#nextRolePlanMs) {
			return [];
		}

		this.#nextRolePlanMs = clock.nowMs + ROLE_PLAN_INTERVAL_MS;
		const declared = this.#planDeclaredRole(state, engines, clock);
		if (declared) {
			return [{type: 'propose', command: declared}];
		}

		const policy = state.findResource('policy', ROLE_POLICY_NAME)?.specification as PolicySpecification | undefined;
		if (!policy?.automaticRoles) {
			return [];
		}

		const profile = {...ROLE_PROFILES[policy.profile], ...(policy.changeWeight === undefined ? {} : {changeWeight: policy.changeWeight})};
		for (const pool of groupPools(engines)) {
			const command = this.#planPoolRoleChange(state, pool, profile, clock);
			if (command) {
				return [{type: 'propose', command}];
			}
		}

		return this.#removeOldAutomaticChanges(state, clock);
	}

	/** Plans a role change for the first engine whose announced role differs from the role in its engine resource. */
	#planDeclaredRole(state: ControlState, engines: readonly Announcement[], clock: LeaseClock): Command | undefined {
		for (const {name, version, specification} of state.listResources()) {
			const announced = specification.kind === 'engine' ? engines.find(({server}) => server === name) : undefined;
			if (specification.kind !== 'engine' || !announced || announced.role === specification.role) {
				continue;
			}

			const change = `declared-${name}-${version}`;
			const existingChange = state.findResource('change', change);
			const isChanging = state.listResources().some(resource => excludesServer(resource, name));
			if (!existingChange && !isChanging) {
				return createRoleChange(change, {server: name, role: specification.role, reason: 'the operators declared that role'}, clock);
			}
		}

		return undefined;
	}

	#planPoolRoleChange(state: ControlState, pool: readonly Announcement[], profile: RoleProfile, clock: LeaseClock): Command | undefined {
		const key = createPoolKey(pool[0]!);
		const isChanging = state.listOpenChanges().some(change => pool.some(({server}) => server === (change.specification as ChangeSpecification).server));
		if (isChanging) {
			return undefined;
		}

		const usable = pool.filter(({server}) => !state.listResources().some(resource => excludesServer(resource, server)));
		const engines = usable.map(({server, role, load}) => ({server, role: role ?? 'mixed', running: load?.running ?? 0}));
		const sinceMs = clock.nowMs - (this.#lastRoleChangeMs.get(key) ?? this.#electedMs);
		const change = chooseRoleChange(this.#computePoolDemand(pool[0]!), engines, sinceMs / 1000, profile);
		if (!change) {
			return undefined;
		}

		this.#lastRoleChangeMs.set(key, clock.nowMs);
		const name = `${AUTOMATIC_PREFIX}${change.server}-${state.version}`;
		return createRoleChange(name, change, clock);
	}

	#computePoolDemand(engine: Announcement): Demand {
		const poolDemands = [...this.#demands.values()].flat().filter(({model}) => (engine.models ?? []).includes(model));
		return {
			prefill: poolDemands.reduce((sum, {prefill}) => sum + prefill, 0),
			decode: poolDemands.reduce((sum, {decode}) => sum + decode, 0),
		};
	}

	/** Removes one finished automatic change whose retention time is over. */
	#removeOldAutomaticChanges(state: ControlState, clock: LeaseClock): ControllerEffect[] {
		const oldChange = state.listResources().find(({name, status}) => name.startsWith(AUTOMATIC_PREFIX)
			&& (status?.phase === CHANGE_PHASES.done || status?.phase === CHANGE_PHASES.failed)
			&& clock.wallMs - (status.history.at(-1)?.at ?? 0) > AUTOMATIC_RETENTION_MS);
		return oldChange
			? [{
				type: 'propose',
				command: {
					type: 'remove', at: clock.wallMs, requestId: `forget-${oldChange.name}`, kind: 'change', name: oldChange.name, seen: oldChange.version,
				},
			}]
			: [];
	}

	#advanceChanges(state: ControlState, clock: LeaseClock): ControllerEffect[] {
		this.#forgetFinishedChanges(state);
		const effects: ControllerEffect[] = [];
		for (const resource of state.listOpenChanges()) {
			const command = this.#advanceChange(resource, state, clock);
			if (command && this.#shouldPropose(`${resource.name}@${resource.version}`, clock.nowMs)) {
				effects.push({type: 'propose', command});
			}
		}

		return effects;
	}

	#forgetFinishedChanges(state: ControlState): void {
		for (const name of this.#drainsAssumedIdle) {
			const change = state.findResource('change', name);
			if (!change || !isOpenChange(change)) {
				this.#drainsAssumedIdle.delete(name);
				this.#drainBaselines.delete(name);
			}
		}
	}

	#advanceChange(resource: Resource, state: ControlState, clock: LeaseClock): Command | undefined {
		const change = resource.specification as ChangeSpecification;
		if (resource.status?.phase === CHANGE_PHASES.draining) {
			const note = this.#describeFinishedDrain(resource, change, clock.nowMs);
			return note === undefined
				? undefined
				: {
					type: 'advance', at: clock.wallMs, change: resource.name, from: CHANGE_PHASES.draining, phase: CHANGE_PHASES.drained, note,
				};
		}

		if (resource.status?.phase !== CHANGE_PHASES.drained || change.action === 'drain') {
			return undefined;
		}

		const {server, action} = planOrder(change);
		const hasOpenOrder = state.listOpenOrders().some(order => order.server === server);
		if (hasOpenOrder || (action.type === 'load' && !this.#loadLimiter.take(clock.nowMs))) {
			return undefined;
		}

		this.#changesOrderedHere.add(resource.name);
		return {
			type: 'issue-order', at: clock.wallMs, change: resource.name, server, action,
		};
	}

	/**
	 * Returns the note for the change's history once the server is drained: no entry host sends to it any more and it is
	 * idle. Returns undefined before that.
	 */
	#describeFinishedDrain(resource: Resource, change: ChangeSpecification, nowMs: number): string | undefined {
		const haveEarlierLeasesExpired = nowMs - this.#observingSinceMs >= this.#timing.viewLeaseMs || !this.#safeguards.awaitViewAcknowledgements;
		if (!haveEarlierLeasesExpired) {
			return undefined;
		}

		const liveSessions = [...this.#sessions.values()].filter(session => session.leaseUntilMs > nowMs);
		const isUnacknowledged = liveSessions.some(session => session.version < resource.version || (session.running.get(change.server) ?? 0) > 0);
		if (isUnacknowledged && this.#safeguards.awaitViewAcknowledgements) {
			return undefined;
		}

		if (this.#safeguards.awaitIdle && !this.#isIdle(resource.name, change.server, nowMs)) {
			return undefined;
		}

		this.#drainBaselines.delete(resource.name);
		return `All ${liveSessions.length} entry hosts have stopped sending to ${change.server}, and nothing runs there any more.`;
	}

	/**
	 * Returns whether a server has no work left. Load reports lag behind, so only a report made after the last entry host
	 * stopped sending counts: the second announcement after the first check.
	 */
	#isIdle(name: string, server: string, nowMs: number): boolean {
		const observation = this.#observations.get(server);
		if (!observation || nowMs - observation.atMs > this.#timing.serverTimeoutMs) {
			// A server that has been silent for so long is considered down, so no running work can be interrupted.
			const isDown = nowMs - this.#observingSinceMs >= this.#timing.serverTimeoutMs;
			if (isDown) {
				this.#drainsAssumedIdle.add(name);
			}

			return isDown;
		}

		const {sequence, incarnation} = observation.announcement;
		const baseline = this.#drainBaselines.get(name);
		if (baseline?.incarnation !== incarnation) {
			this.#drainBaselines.set(name, {sequence, incarnation});
			return false;
		}

		const hasFreshReport = sequence >= baseline.sequence + 2;
		return hasFreshReport && isLoadZero(observation.announcement);
	}

	/**
	 * Whether an order may interrupt work. A server that was assumed to be down may have been suspended and resume its work, so it must
	 * announce itself again and report that it is idle first.
	 */
	#mayInterruptWork(order: OpenOrder, state: ControlState, nowMs: number): boolean {
		const change = state.findResource('change', order.change)?.specification;
		const observation = this.#observations.get(order.server);
		if (!this.#safeguards.awaitIdle || change?.kind !== 'change' || change.server !== order.server || !observation) {
			return false;
		}

		if (nowMs - observation.atMs > this.#timing.serverTimeoutMs) {
			return true;
		}

		if (this.#drainsAssumedIdle.has(order.change) && this.#isIdle(order.change, order.server, nowMs)) {
			this.#drainsAssumedIdle.delete(order.change);
		}

		return this.#drainsAssumedIdle.has(order.change) || !isLoadZero(observation.announcement);
	}

	#advanceOrders(state: ControlState, clock: LeaseClock): ControllerEffect[] {
		const effects: ControllerEffect[] = [];
		for (const order of state.listOpenOrders()) {
			const effect = this.#advanceOrder(order, state, clock);
			if (effect) {
				effects.push(effect);
			}
		}

		return effects;
	}

	#advanceOrder(order: OpenOrder, state: ControlState, {nowMs, leaseUntilMs}: LeaseClock): ControllerEffect | undefined {
		const observation = this.#observations.get(order.server);
		if (!observation) {
			return undefined;
		}

		const server = observation.announcement;
		const attempt = this.#getOrderAttempt(order);
		if (nowMs - attempt.lastTryMs < this.#timing.orderRetryMs) {
			return undefined;
		}

		// The order may have been sent already: by a previous leader, or by this one without getting a response.
		if (attempt.state !== 'unsent' && this.#safeguards.queryBeforeResend) {
			attempt.lastTryMs = nowMs;
			return {
				type: 'query-order', server, order, isOwn: this.#changesOrderedHere.has(order.change),
			};
		}

		const checksFence = server.checksFence === true;
		if (!checksFence && !this.#hasPreviousLeaseExpired(nowMs)) {
			return undefined;
		}

		const notAfterMs = checksFence ? Number.POSITIVE_INFINITY : leaseUntilMs - (this.#timing.orderTransitMs / 4);
		if (this.#safeguards.awaitLeaseExpiry && nowMs >= notAfterMs) {
			return undefined;
		}

		if (this.#mayInterruptWork(order, state, nowMs)) {
			return undefined;
		}

		attempt.state = 'sent';
		attempt.lastTryMs = nowMs;
		return {
			type: 'send-order', server, order, notAfterMs,
		};
	}

	/** Returns whether the previous leader's lease has expired and every order written under it has arrived. */
	#hasPreviousLeaseExpired(nowMs: number): boolean {
		const waitMs = Math.max(this.#timing.leaderLeaseMs + this.#timing.orderTransitMs, this.#timing.minTakeoverMs);
		return !this.#safeguards.awaitLeaseExpiry || nowMs - this.#electedMs >= waitMs;
	}

	#getOrderAttempt(order: OpenOrder): OrderAttempt {
		const previous = this.#orderAttempts.get(order.server);
		if (previous?.order === order.order) {
			return previous;
		}

		const attempt: OrderAttempt = {order: order.order, state: 'unresolved', lastTryMs: Number.NEGATIVE_INFINITY};
		this.#orderAttempts.set(order.server, attempt);
		return attempt;
	}

	#closeAbandonedClaims(state: ControlState, {nowMs, wallMs}: LeaseClock): ControllerEffect[] {
		const graceMs = this.#timing.viewLeaseMs + this.#timing.claimGraceMs;
		if (nowMs - this.#observingSinceMs < graceMs) {
			return [];
		}

		const effects: ControllerEffect[] = [];
		for (const record of state.ledger.listOpenClaims()) {
			const session = this.#sessions.get(record.host);
			const isHostLive = session !== undefined && record.attempt.startsWith(session.boot)
				&& session.leaseUntilMs + this.#timing.claimGraceMs > nowMs;
			if (!isHostLive && this.#shouldPropose(`claim ${record.attempt}`, nowMs)) {
				const outcome = record.key.startsWith(QUARANTINE_PREFIX) ? 'not-run' : 'unknown';
				effects.push({
					type: 'propose',
					command: {
						type: 'settle', at: wallMs, key: record.key, attempt: record.attempt, outcome,
					},
				});
			}
		}

		return effects;
	}

	/** Returns whether to make a proposal; false while the same proposal was made recently and may still be in progress. */
	#shouldPropose(key: string, nowMs: number): boolean {
		const lastMs = this.#lastProposedMs.get(key) ?? Number.NEGATIVE_INFINITY;
		if (nowMs - lastMs < this.#timing.orderRetryMs) {
			return false;
		}

		this.#lastProposedMs.set(key, nowMs);
		for (const [other, atMs] of this.#lastProposedMs) {
			if (nowMs - atMs > this.#timing.orderRetryMs * 10) {
				this.#lastProposedMs.delete(other);
			}
		}

		return true;
	}
}

/** Token-bucket rate limiter. */
export class TokenBucket {
	readonly #perMs: number;
	readonly #burst: number;
	#tokens: number;
	#atMs: number;

	constructor(rate: {readonly perSecond: number; readonly burst: number}, nowMs: number) {
		this.#perMs = rate.perSecond / 1000;
		this.#burst = rate.burst;
		this.#tokens = rate.burst;
		this.#atMs = nowMs;
	}

	/** Takes a token and returns true, or returns false if the bucket is empty. */
	take(nowMs: number): boolean {
		this.#tokens = Math.min(this.#burst, this.#tokens + ((nowMs - this.#atMs) * this.#perMs));
		this.#atMs = nowMs;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}
}

/**
 * Returns whether an announcement is newer than another one of the same server.
 *
 * @example
 * ```ts
 * isNewerAnnouncement({...announcement, sequence: 8}, {...announcement, sequence: 7}); // true
 * ```
 */
export function isNewerAnnouncement(candidate: Announcement, previous: Announcement): boolean {
	if (candidate.incarnation !== previous.incarnation) {
		return candidate.incarnation > previous.incarnation;
	}

	return candidate.sequence > previous.sequence;
}

/**
 * Creates the command that declares a role change.
 *
 * @param name - Name of the change. It is also the request ID, so the change is declared only once.
 * @example
 * ```ts
 * createRoleChange('stage-e3-1', {server: 'e3', role: 'prefill', reason: 'cold caches'}, clock);
 * ```
 */
export function createRoleChange(name: string, change: {readonly server: string; readonly role: EngineRole; readonly reason: string}, clock: LeaseClock): Command {
	const {server, role, reason} = change;
	return {
		type: 'put',
		at: clock.wallMs,
		requestId: name,
		name,
		seen: 0,
		specification: {
			kind: 'change', action: 'role', server, role, reason,
		},
	};
}

function isLoadZero({load}: Announcement): boolean {
	return (load?.running ?? 0) === 0 && (load?.waiting ?? 0) === 0;
}

function createPoolKey(engine: Announcement): string {
	return [...engine.models ?? []].toSorted().join(' ');
}

/** Groups engines by the models that they serve. Engines of a pool can take over each other's work. */
function groupPools(engines: readonly Announcement[]): Announcement[][] {
	const pools = new Map<string, Announcement[]>();
	for (const engine of engines) {
		const key = createPoolKey(engine);
		pools.set(key, [...pools.get(key) ?? [], engine]);
	}

	return [...pools.values()];
}

function planOrder(change: ChangeSpecification): {readonly server: string; readonly action: OrderAction} {
	switch (change.action) {
		case 'role': {
			return {server: change.server, action: {type: 'role', role: change.role ?? 'mixed'}};
		}

		case 'load': {
			return {server: change.server, action: {type: 'load', model: change.model, modelVersion: change.modelVersion}};
		}

		case 'replace': {
			const server = change.replacement ?? change.server;
			const action: OrderAction = change.model === undefined
				? {type: 'resume'}
				: {type: 'load', model: change.model, modelVersion: change.modelVersion};
			return {server, action};
		}

		case 'drain':
		case 'withdraw': {
			return {server: change.server, action: {type: 'withdraw'}};
		}
	}
}
