/**
 * What the leader does beyond keeping the log: carries planned changes forward, sends orders to engines, and closes
 * claims whose host is gone. A step machine; authority, time and state are handed in.
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
	excludesServer, CHANGE_PHASES, type ControlState, type OpenOrder,
} from './state.js';

/** Name of the policy resource that the choice of roles follows. */
export const ROLE_POLICY_NAME = 'roles';
const AUTOMATIC_PREFIX = 'auto-';
const AUTOMATIC_RETENTION_MS = 3_600_000;
const ROLE_TICK_MS = 1000;

export type ControllerTiming = {
	/** Length of an entry host's view lease. */
	readonly viewLeaseMs: number;
	/** Longest time between the write of an order and its arrival. */
	readonly orderTransitMs: number;
	/** Length of a leader's authority, with clock drift. */
	readonly leaderLeaseMs: number;
	/** How long a claim outlives the lease of the host that holds it. */
	readonly claimGraceMs: number;
	/** Pause between two tries at the same order. */
	readonly orderRetryMs: number;
	/** After this silence a server counts as gone. */
	readonly serverTimeoutMs: number;
	/** Shortest time between the last order of one leader and the first of the next, whatever the lease says. */
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

/** An order as it goes to a backend server. */
export type SendOrderEffect = {
	readonly type: 'send-order';
	readonly server: Announcement;
	readonly order: OpenOrder;
	/** Monotonic time after which the order must not be written; infinite for servers that check fences. */
	readonly notAfterMs: number;
};

export type ControllerEffect
	= | {readonly type: 'propose'; readonly command: Command}
		| SendOrderEffect
		| {
			readonly type: 'query-order';
			readonly server: Announcement;
			readonly order: OpenOrder;
			/** Whether this leader issued it: nobody else can have sent it. */
			readonly isOwn: boolean;
		};

/** What became of an order. */
export type OrderReport
	= | {readonly type: 'done'; readonly server: string; readonly order: number; readonly note: string}
		| {readonly type: 'failed'; readonly server: string; readonly order: number; readonly note: string}
	/** The server holds no sign of the order. */
		| {readonly type: 'absent'; readonly server: string; readonly order: number}
	/** The server works on it. */
		| {readonly type: 'running'; readonly server: string; readonly order: number}
	/** Nobody knows: no answer came. */
		| {readonly type: 'lost'; readonly server: string; readonly order: number};

type Session = {
	readonly boot: string;
	readonly version: number;
	readonly running: ReadonlyMap<string, number>;
	readonly leaseUntilMs: number;
};

type Sighting = {
	readonly announcement: Announcement;
	readonly atMs: number;
};

type Attempt = {
	order: number;
	state: 'unsent' | 'sent' | 'unresolved';
	triedMs: number;
};

export type LeaseClock = {
	readonly nowMs: number;
	readonly wallMs: number;
	/** Until when this process is surely the only leader. */
	readonly leaseUntilMs: number;
};

/** Which safeguards of orders are on; the daemon has all of them. */
export type OrderSafeguards = {
	readonly awaitLeaseExpiry: boolean;
	readonly awaitViewAcknowledgements: boolean;
	readonly queryBeforeResend: boolean;
	/** Whether a server must run nothing before it is ordered; off where servers finish running work by themselves. */
	readonly awaitIdle: boolean;
};

export const ALL_ORDER_SAFEGUARDS: OrderSafeguards = {
	awaitLeaseExpiry: true, awaitViewAcknowledgements: true, queryBeforeResend: true, awaitIdle: true,
};

/** The duties of one term of leadership; created when a replica becomes leader, dropped when it stops. */
export class Controller {
	readonly #timing: ControllerTiming;
	readonly #safeguards: OrderSafeguards;
	readonly #electedMs: number;
	readonly #sessions = new Map<string, Session>();
	readonly #sightings = new Map<string, Sighting>();
	readonly #attempts = new Map<string, Attempt>();
	readonly #quiet = new Map<string, {readonly sequence: number; readonly incarnation: number}>();
	readonly #proposed = new Map<string, number>();
	readonly #loads: TokenBucket;
	readonly #demands = new Map<string, readonly ModelDemand[]>();
	readonly #roleChangedMs = new Map<string, number>();
	/** Changes whose orders this leader issued itself. */
	readonly #issued = new Set<string>();
	#nextRoleMs = 0;

	constructor(electedMs: number, timing = DEFAULT_CONTROLLER_TIMING, mechanisms = ALL_ORDER_SAFEGUARDS) {
		this.#electedMs = electedMs;
		this.#timing = timing;
		this.#safeguards = mechanisms;
		this.#loads = new TokenBucket({perSecond: 1, burst: 2}, electedMs);
	}

	/** Entry hosts with a view lease now. */
	countSessions(nowMs: number): number {
		return [...this.#sessions.values()].filter(session => session.leaseUntilMs > nowMs).length;
	}

	/** Renews an entry host's view lease and returns its length in milliseconds. */
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

	/** Takes an announcement of a server, which tells where orders go. */
	observe(announcement: Announcement, nowMs: number): void {
		const known = this.#sightings.get(announcement.server)?.announcement;
		if (!known || isNewerAnnouncement(announcement, known)) {
			this.#sightings.set(announcement.server, {announcement, atMs: nowMs});
		}
	}

	/** Notes what became of an order; what follows from it comes with the next tick. */
	handleReport(report: OrderReport, authority: LeaseClock): ControllerEffect[] {
		const attempt = this.#attempts.get(report.server);
		if (attempt?.order !== report.order) {
			return [];
		}

		switch (report.type) {
			case 'done':
			case 'failed': {
				this.#attempts.delete(report.server);
				return [{
					type: 'propose',
					command: {
						type: 'settle-order', at: authority.wallMs, server: report.server, order: report.order, outcome: report.type, note: report.note,
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

	/** Looks at everything once and returns what is due. */
	tick(state: ControlState, authority: LeaseClock): ControllerEffect[] {
		return [
			...this.#tickChanges(state, authority),
			...this.#tickOrders(state, authority),
			...this.#tickClaims(state, authority),
		];
	}

	/** Decides at most one role change: as the operators have declared, or by itself if they have asked for that. */
	planRoleChanges(state: ControlState, engines: readonly Announcement[], authority: LeaseClock): ControllerEffect[] {
		if (authority.nowMs < this.#nextRoleMs) {
			return [];
		}

		this.#nextRoleMs = authority.nowMs + ROLE_TICK_MS;
		const declared = this.#followDeclaredRole(state, engines, authority);
		if (declared) {
			return [{type: 'propose', command: declared}];
		}

		const policy = state.findResource('policy', ROLE_POLICY_NAME)?.specification as PolicySpecification | undefined;
		if (!policy?.automaticRoles) {
			return [];
		}

		const profile = {...ROLE_PROFILES[policy.profile], ...(policy.changeWeight === undefined ? {} : {changeWeight: policy.changeWeight})};
		for (const pool of groupPools(engines)) {
			const command = this.#choosePoolChange(state, pool, profile, authority);
			if (command) {
				return [{type: 'propose', command}];
			}
		}

		return this.#forgetOldChanges(state, authority);
	}

	/** An engine resource says which role its engine should play. */
	#followDeclaredRole(state: ControlState, engines: readonly Announcement[], authority: LeaseClock): Command | undefined {
		for (const {name, version, specification} of state.listResources()) {
			const announced = specification.kind === 'engine' ? engines.find(({server}) => server === name) : undefined;
			if (specification.kind !== 'engine' || !announced || announced.role === specification.role) {
				continue;
			}

			const change = `declared-${name}-${version}`;
			const earlier = state.findResource('change', change);
			const isChanging = state.listResources().some(resource => excludesServer(resource, name));
			if (!earlier && !isChanging) {
				return createRoleChange(change, {server: name, role: specification.role, reason: 'the operators declared that role'}, authority);
			}
		}

		return undefined;
	}

	#choosePoolChange(state: ControlState, pool: readonly Announcement[], profile: RoleProfile, authority: LeaseClock): Command | undefined {
		const key = poolKey(pool[0]!);
		const isChanging = state.listOpenChanges().some(change => pool.some(({server}) => server === (change.specification as ChangeSpecification).server));
		if (isChanging) {
			return undefined;
		}

		const usable = pool.filter(({server}) => !state.listResources().some(resource => excludesServer(resource, server)));
		const engines = usable.map(({server, role, load}) => ({server, role: role ?? 'mixed', running: load?.running ?? 0}));
		const sinceMs = authority.nowMs - (this.#roleChangedMs.get(key) ?? this.#electedMs);
		const change = chooseRoleChange(this.#poolDemand(pool[0]!), engines, sinceMs / 1000, profile);
		if (!change) {
			return undefined;
		}

		this.#roleChangedMs.set(key, authority.nowMs);
		const name = `${AUTOMATIC_PREFIX}${change.server}-${state.version}`;
		return createRoleChange(name, change, authority);
	}

	#poolDemand(engine: Announcement): Demand {
		const own = [...this.#demands.values()].flat().filter(({model}) => (engine.models ?? []).includes(model));
		return {
			prefill: own.reduce((sum, {prefill}) => sum + prefill, 0),
			decode: own.reduce((sum, {decode}) => sum + decode, 0),
		};
	}

	/** Automatic changes leave a trace for a while, then make room. */
	#forgetOldChanges(state: ControlState, authority: LeaseClock): ControllerEffect[] {
		const old = state.listResources().find(({name, status}) => name.startsWith(AUTOMATIC_PREFIX)
			&& (status?.phase === CHANGE_PHASES.done || status?.phase === CHANGE_PHASES.failed)
			&& authority.wallMs - (status.history.at(-1)?.at ?? 0) > AUTOMATIC_RETENTION_MS);
		return old
			? [{
				type: 'propose',
				command: {
					type: 'remove', at: authority.wallMs, requestId: `forget-${old.name}`, kind: 'change', name: old.name, seen: old.version,
				},
			}]
			: [];
	}

	#tickChanges(state: ControlState, authority: LeaseClock): ControllerEffect[] {
		const effects: ControllerEffect[] = [];
		for (const resource of state.listOpenChanges()) {
			const command = this.#advance(resource, state, authority);
			if (command && this.#mayPropose(`${resource.name}@${resource.version}`, authority.nowMs)) {
				effects.push({type: 'propose', command});
			}
		}

		return effects;
	}

	#advance(resource: Resource, state: ControlState, authority: LeaseClock): Command | undefined {
		const change = resource.specification as ChangeSpecification;
		if (resource.status?.phase === CHANGE_PHASES.draining) {
			const note = this.#describeDrained(resource, change, authority.nowMs);
			return note === undefined
				? undefined
				: {
					type: 'advance', at: authority.wallMs, change: resource.name, from: CHANGE_PHASES.draining, phase: CHANGE_PHASES.drained, note,
				};
		}

		if (resource.status?.phase !== CHANGE_PHASES.drained || change.action === 'drain') {
			return undefined;
		}

		const {server, action} = planOrder(change);
		const isBusy = state.listOpenOrders().some(order => order.server === server);
		if (isBusy || (action.type === 'load' && !this.#loads.take(authority.nowMs))) {
			return undefined;
		}

		this.#issued.add(resource.name);
		return {
			type: 'issue-order', at: authority.wallMs, change: resource.name, server, action,
		};
	}

	/** Returns the story's next sentence once nothing runs at the server and nobody can send there any more. */
	#describeDrained(resource: Resource, change: ChangeSpecification, nowMs: number): string | undefined {
		const isSettled = nowMs - this.#electedMs >= this.#timing.viewLeaseMs || !this.#safeguards.awaitViewAcknowledgements;
		if (!isSettled) {
			return undefined;
		}

		const live = [...this.#sessions.values()].filter(session => session.leaseUntilMs > nowMs);
		const isUnseen = live.some(session => session.version < resource.version || (session.running.get(change.server) ?? 0) > 0);
		if (isUnseen && this.#safeguards.awaitViewAcknowledgements) {
			return undefined;
		}

		if (this.#safeguards.awaitIdle && !this.#isQuiet(resource.name, change.server, nowMs)) {
			return undefined;
		}

		this.#quiet.delete(resource.name);
		return `All ${live.length} entry hosts have stopped sending to ${change.server}, and nothing runs there any more.`;
	}

	/** Load reports lag: only reports made after the last entry host stopped count. */
	#isQuiet(name: string, server: string, nowMs: number): boolean {
		const sighting = this.#sightings.get(server);
		if (!sighting || nowMs - sighting.atMs > this.#timing.serverTimeoutMs) {
			// A server that has been silent for long runs nothing that could be cut by waiting less.
			return nowMs - this.#electedMs >= this.#timing.serverTimeoutMs;
		}

		const {sequence, incarnation, load} = sighting.announcement;
		const noted = this.#quiet.get(name);
		if (noted?.incarnation !== incarnation) {
			this.#quiet.set(name, {sequence, incarnation});
			return false;
		}

		const isLate = sequence >= noted.sequence + 2;
		return isLate && (load?.running ?? 0) === 0 && (load?.waiting ?? 0) === 0;
	}

	#tickOrders(state: ControlState, authority: LeaseClock): ControllerEffect[] {
		const effects: ControllerEffect[] = [];
		for (const order of state.listOpenOrders()) {
			const effect = this.#driveOrder(order, authority);
			if (effect) {
				effects.push(effect);
			}
		}

		return effects;
	}

	#driveOrder(order: OpenOrder, {nowMs, leaseUntilMs}: LeaseClock): ControllerEffect | undefined {
		const sighting = this.#sightings.get(order.server);
		if (!sighting) {
			return undefined;
		}

		const server = sighting.announcement;
		const attempt = this.#attemptOf(order);
		if (nowMs - attempt.triedMs < this.#timing.orderRetryMs) {
			return undefined;
		}

		// An order whose sending is not remembered may have gone out: from another leader, or without an answer.
		if (attempt.state !== 'unsent' && this.#safeguards.queryBeforeResend) {
			attempt.triedMs = nowMs;
			return {
				type: 'query-order', server, order, isOwn: this.#issued.has(order.change),
			};
		}

		const checksFence = server.checksFence === true;
		if (!checksFence && !this.#hasWaitedOut(nowMs)) {
			return undefined;
		}

		const notAfterMs = checksFence ? Number.POSITIVE_INFINITY : leaseUntilMs - (this.#timing.orderTransitMs / 4);
		if (this.#safeguards.awaitLeaseExpiry && nowMs >= notAfterMs) {
			return undefined;
		}

		attempt.state = 'sent';
		attempt.triedMs = nowMs;
		return {
			type: 'send-order', server, order, notAfterMs,
		};
	}

	/** The predecessor's authority, and any order it wrote at the end of it, are over. */
	#hasWaitedOut(nowMs: number): boolean {
		const waitMs = Math.max(this.#timing.leaderLeaseMs + this.#timing.orderTransitMs, this.#timing.minTakeoverMs);
		return !this.#safeguards.awaitLeaseExpiry || nowMs - this.#electedMs >= waitMs;
	}

	#attemptOf(order: OpenOrder): Attempt {
		const known = this.#attempts.get(order.server);
		if (known?.order === order.order) {
			return known;
		}

		const attempt: Attempt = {order: order.order, state: 'unresolved', triedMs: Number.NEGATIVE_INFINITY};
		this.#attempts.set(order.server, attempt);
		return attempt;
	}

	#tickClaims(state: ControlState, {nowMs, wallMs}: LeaseClock): ControllerEffect[] {
		const graceMs = this.#timing.viewLeaseMs + this.#timing.claimGraceMs;
		if (nowMs - this.#electedMs < graceMs) {
			return [];
		}

		const effects: ControllerEffect[] = [];
		for (const record of state.ledger.listOpenClaims()) {
			const session = this.#sessions.get(record.host);
			const isHeld = session !== undefined && record.attempt.startsWith(session.boot)
				&& session.leaseUntilMs + this.#timing.claimGraceMs > nowMs;
			if (!isHeld && this.#mayPropose(`claim ${record.attempt}`, nowMs)) {
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

	/** Keeps a proposal from being made again while it is on its way. */
	#mayPropose(key: string, nowMs: number): boolean {
		const lastMs = this.#proposed.get(key) ?? Number.NEGATIVE_INFINITY;
		if (nowMs - lastMs < this.#timing.orderRetryMs) {
			return false;
		}

		this.#proposed.set(key, nowMs);
		for (const [other, atMs] of this.#proposed) {
			if (nowMs - atMs > this.#timing.orderRetryMs * 10) {
				this.#proposed.delete(other);
			}
		}

		return true;
	}
}

/** Limits a rate, with a burst. */
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

	/** Takes one token if there is one. */
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
 * Tells whether an announcement came later than another of the same server.
 *
 * @example
 * ```ts
 * isNewer({...announcement, sequence: 8}, {...announcement, sequence: 7}); // true
 * ```
 */
export function isNewerAnnouncement(candidate: Announcement, known: Announcement): boolean {
	if (candidate.incarnation !== known.incarnation) {
		return candidate.incarnation > known.incarnation;
	}

	return candidate.sequence > known.sequence;
}

/**
 * Writes the declaration of a role change.
 *
 * @param name - The change's name; the same name is declared once.
 * @example
 * ```ts
 * createRoleChange('stage-e3-1', {server: 'e3', role: 'prefill', reason: 'cold caches'}, authority);
 * ```
 */
export function createRoleChange(name: string, change: {readonly server: string; readonly role: EngineRole; readonly reason: string}, authority: LeaseClock): Command {
	const {server, role, reason} = change;
	return {
		type: 'put',
		at: authority.wallMs,
		requestId: name,
		name,
		seen: 0,
		specification: {
			kind: 'change', action: 'role', server, role, reason,
		},
	};
}

function poolKey(engine: Announcement): string {
	return [...engine.models ?? []].toSorted().join(' ');
}

/** Engines that serve the same models can take each other's work. */
function groupPools(engines: readonly Announcement[]): Announcement[][] {
	const pools = new Map<string, Announcement[]>();
	for (const engine of engines) {
		const key = poolKey(engine);
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
