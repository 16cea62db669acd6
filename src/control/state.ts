/**
 * Replicated control state: resources, planned changes, open orders and the idempotency ledger. Every replica applies
 * the same commands in the same order and therefore has the same state.
 *
 * @module
 */
import {CODES} from '../generated/codes.js';
import type {
	AdvanceCommand, ChangeSpecification, ChangeStatus, Command, ConflictOutcome, IssueOrderCommand, OrderAction, CommandOutcome, ChangePhase, Publication, PutCommand, RemoveCommand, Resource, SettleOrderCommand, Specification, ChangeStep, ViewUpdate,
} from '../generated/types.js';
import {Ledger, type LedgerSnapshot} from './ledger.js';
import {UsageLedger, type UsageSnapshot} from './usage.js';

export type ResourceKind = Specification['kind'];

/** An order to a backend server that is not settled yet. */
export type OpenOrder = {
	readonly server: string;
	/** Fencing number: the log index of the command that issued the order. */
	readonly order: number;
	readonly change: string;
	readonly action: OrderAction;
};

/** Outcome of an operator's request, returned again if the request is resent. */
type RememberedRequest = {
	readonly requestId: string;
	readonly atMs: number;
	readonly outcome: CommandOutcome;
};

/** Key of a removed resource and the version at which it was removed. */
type Removal = {
	readonly key: string;
	readonly version: number;
};

export type ControlStateSnapshot = {
	readonly version: number;
	readonly viewVersion: number;
	readonly clockMs: number;
	readonly resources: readonly Resource[];
	readonly removals: readonly Removal[];
	/** Version up to which removals are no longer stored; older views need all resources. */
	readonly removalFloor: number;
	readonly orders: readonly OpenOrder[];
	readonly requests: readonly RememberedRequest[];
	readonly ledger: LedgerSnapshot;
	/** Absent in deployments without the duty, and in snapshots of older versions. */
	readonly usage?: UsageSnapshot | undefined;
};

export const CHANGE_PHASES = {
	draining: 'draining', drained: 'drained', ordered: 'ordered', done: 'done', failed: 'failed',
} as const satisfies Record<ChangePhase, ChangePhase>;

/** Name of the only publication resource, which contains routes, services and limits. */
export const PUBLICATION_NAME = 'current';
/** Version that matches any version of a resource, and requests all resources in a read. */
export const ANY_VERSION = -1;
const REQUEST_RETENTION_MS = 60 * 60 * 1000;
const MAX_REMEMBERED_REQUESTS = 20_000;
const MAX_REMOVALS = 2000;
const EMPTY_STATE: ControlStateSnapshot = {
	version: 0, viewVersion: 0, clockMs: 0, resources: [], removals: [], removalFloor: 0, orders: [], requests: [], ledger: {records: [], abandoned: []},
};

/** The replicated control state. Modified only by applying log entries. */
export class ControlState {
	readonly ledger: Ledger;
	readonly usage: UsageLedger;
	readonly #resources = new Map<string, Resource>();
	readonly #orders = new Map<string, OpenOrder>();
	readonly #requests = new Map<string, RememberedRequest>();
	readonly #removals: Removal[];
	#removalFloor: number;
	#version: number;
	#viewVersion: number;
	#clockMs: number;

	constructor(snapshot: ControlStateSnapshot = EMPTY_STATE, claimBeforeSend = true) {
		this.ledger = new Ledger(snapshot.ledger, claimBeforeSend);
		this.usage = new UsageLedger(snapshot.usage);
		this.#version = snapshot.version;
		this.#viewVersion = snapshot.viewVersion;
		this.#clockMs = snapshot.clockMs;
		this.#removals = [...snapshot.removals];
		this.#removalFloor = snapshot.removalFloor;
		for (const resource of snapshot.resources) {
			this.#resources.set(createResourceKey(resource.specification.kind, resource.name), resource);
		}

		for (const order of snapshot.orders) {
			this.#orders.set(order.server, order);
		}

		for (const request of snapshot.requests) {
			this.#requests.set(request.requestId, request);
		}
	}

	/** Index of the last log entry that was applied. */
	get version(): number {
		return this.#version;
	}

	/** Index of the last command that changed a resource. */
	get viewVersion(): number {
		return this.#viewVersion;
	}

	/** The latest wall-clock time in any command, milliseconds. */
	get clockMs(): number {
		return this.#clockMs;
	}

	findResource(kind: ResourceKind, name: string): Resource | undefined {
		return this.#resources.get(createResourceKey(kind, name));
	}

	listResources(): Resource[] {
		return [...this.#resources.values()];
	}

	/** The current publication; undefined before the first one. */
	get publication(): Publication | undefined {
		const specification = this.findResource('publication', PUBLICATION_NAME)?.specification;
		return specification?.kind === 'publication' ? specification : undefined;
	}

	/** Planned changes that are not finished. */
	listOpenChanges(): Resource[] {
		return this.listResources().filter(resource => isOpenChange(resource));
	}

	/** Orders that were issued and are not settled. */
	listOpenOrders(): OpenOrder[] {
		return [...this.#orders.values()];
	}

	/** Applies the command at a log index and returns its outcome. */
	apply(command: Command, index: number): CommandOutcome {
		this.#version = index;
		this.#clockMs = Math.max(this.#clockMs, command.at);
		this.#removeExpired();
		return this.#dispatch({...command, at: this.#clockMs}, index);
	}

	/** Advances past a log entry that carries no command. */
	skip(index: number): void {
		this.#version = index;
	}

	/** Returns the resource changes since a version, or all resources if it is too old or newer than this state. */
	createViewUpdate(from: number): ViewUpdate {
		if (from < this.#removalFloor || from > this.#viewVersion) {
			return {
				from: ANY_VERSION, version: this.#viewVersion, resources: this.listResources(), removed: [],
			};
		}

		return {
			from,
			version: this.#viewVersion,
			resources: this.listResources().filter(resource => resource.version > from),
			removed: this.#removals.filter(removal => removal.version > from).map(removal => removal.key),
		};
	}

	createSnapshot(): ControlStateSnapshot {
		const usage = this.usage.createSnapshot();
		return {
			version: this.#version,
			viewVersion: this.#viewVersion,
			clockMs: this.#clockMs,
			resources: this.listResources(),
			removals: this.#removals,
			removalFloor: this.#removalFloor,
			orders: this.listOpenOrders(),
			requests: [...this.#requests.values()],
			ledger: this.ledger.createSnapshot(),
			...(usage && {usage}),
		};
	}

	#dispatch(command: Command, index: number): CommandOutcome {
		switch (command.type) {
			case 'put': {
				return this.#runOnce(command.requestId, command.at, () => this.#put(command, index));
			}

			case 'remove': {
				return this.#runOnce(command.requestId, command.at, () => this.#remove(command, index));
			}

			case 'claim': {
				return this.ledger.claim(command);
			}

			case 'settle': {
				return this.ledger.settle(command);
			}

			case 'advance': {
				return this.#advance(command, index);
			}

			case 'issue-order': {
				return this.#issueOrder(command, index);
			}

			case 'settle-order': {
				return this.#settleOrder(command, index);
			}

			case 'record-usage': {
				return this.usage.record(command, index);
			}

			case 'settle-usage': {
				return this.usage.settle(command, index);
			}
		}
	}

	/** Executes a request once; a resent request gets the first outcome. */
	#runOnce(requestId: string, atMs: number, execute: () => CommandOutcome): CommandOutcome {
		const existing = this.#requests.get(requestId);
		if (existing) {
			return existing.outcome;
		}

		const outcome = execute();
		this.#requests.set(requestId, {requestId, atMs, outcome});
		return outcome;
	}

	#put(command: PutCommand, index: number): CommandOutcome {
		const {specification, name, seen} = command;
		const existing = this.#resources.get(createResourceKey(specification.kind, name));
		const current = existing?.version ?? 0;
		if (specification.kind === 'publication' && existing?.specification.kind === 'publication' && existing.specification.version >= specification.version) {
			// The highest publication version stays current, in whatever order publications arrive.
			return {type: 'accepted', version: current};
		}

		if (seen !== ANY_VERSION && seen !== current) {
			return createConflict('versionConflict', current, `It has version ${current}, you saw ${seen}.`);
		}

		if (specification.kind !== 'change') {
			this.#storeResource({name, version: index, specification});
			return {type: 'accepted', version: index};
		}

		return this.#declareChange(command, specification, existing, index);
	}

	#declareChange(command: PutCommand, specification: ChangeSpecification, existing: Resource | undefined, index: number): CommandOutcome {
		if (existing) {
			return createConflict('versionConflict', existing.version, 'A planned change is not altered; delete it and declare another.');
		}

		const conflictingChange = this.listOpenChanges().find(resource => involvesSameServer(resource, specification));
		if (conflictingChange) {
			return createConflict('engineBusy', conflictingChange.version, `Change ${conflictingChange.name} is not finished.`);
		}

		const note = `Declared: ${describeChange(specification)}. No new work is sent there from now on.`;
		const status: ChangeStatus = {phase: CHANGE_PHASES.draining, history: [{at: command.at, phase: CHANGE_PHASES.draining, note}]};
		this.#storeResource({
			name: command.name, version: index, specification, status,
		});
		return {type: 'accepted', version: index};
	}

	#remove(command: RemoveCommand, index: number): CommandOutcome {
		const key = `${command.kind}/${command.name}`;
		const existing = this.#resources.get(key);
		const current = existing?.version ?? 0;
		if (!existing || (command.seen !== ANY_VERSION && command.seen !== current)) {
			return createConflict('versionConflict', current, `It has version ${current}, you saw ${command.seen}.`);
		}

		if (existing.status?.phase === CHANGE_PHASES.ordered) {
			return createConflict('engineBusy', current, 'Its order has gone out and is not settled yet.');
		}

		this.#viewVersion = index;
		this.#resources.delete(key);
		this.#removals.push({key, version: index});
		if (this.#removals.length > MAX_REMOVALS) {
			this.#removalFloor = this.#removals.shift()!.version;
		}

		return {type: 'accepted', version: index};
	}

	#advance(command: AdvanceCommand, index: number): CommandOutcome {
		const resource = this.findResource('change', command.change);
		if (resource?.status?.phase !== command.from) {
			return createConflict('versionConflict', resource?.version ?? 0, 'The change is in another phase.');
		}

		this.#enterPhase(resource, {at: command.at, phase: command.phase, note: command.note}, index);
		return {type: 'accepted', version: index};
	}

	#issueOrder(command: IssueOrderCommand, index: number): CommandOutcome {
		const resource = this.findResource('change', command.change);
		if (resource?.status?.phase !== CHANGE_PHASES.drained || this.#orders.has(command.server)) {
			return createConflict('engineBusy', resource?.version ?? 0, 'The change is not ready for an order, or another one is open.');
		}

		this.#orders.set(command.server, {
			server: command.server, order: index, change: command.change, action: command.action,
		});
		const note = `Order ${index} to ${command.server}: ${describeAction(command.action)}.`;
		this.#enterPhase(resource, {at: command.at, phase: CHANGE_PHASES.ordered, note}, index, index);
		return {type: 'accepted', version: index};
	}

	#settleOrder(command: SettleOrderCommand, index: number): CommandOutcome {
		const openOrder = this.#orders.get(command.server);
		if (openOrder?.order !== command.order) {
			return createConflict('versionConflict', openOrder?.order ?? 0, 'That order is not open.');
		}

		this.#orders.delete(command.server);
		const resource = this.findResource('change', openOrder.change);
		if (resource) {
			const phase = command.outcome === 'done' ? CHANGE_PHASES.done : CHANGE_PHASES.failed;
			this.#enterPhase(resource, {at: command.at, phase, note: command.note}, index);
		}

		return {type: 'accepted', version: index};
	}

	#enterPhase(resource: Resource, step: ChangeStep, index: number, order?: number): void {
		const {phase} = step;
		const history = [...resource.status?.history ?? [], step];
		const orderNumber = order ?? resource.status?.order;
		const status: ChangeStatus = orderNumber === undefined ? {phase, history} : {phase, history, order: orderNumber};
		this.#storeResource({...resource, version: index, status});
	}

	#storeResource(resource: Resource): void {
		this.#viewVersion = resource.version;
		this.#resources.set(createResourceKey(resource.specification.kind, resource.name), resource);
	}

	#removeExpired(): void {
		this.ledger.removeExpired(this.#clockMs);
		for (const [requestId, request] of this.#requests) {
			const isRetained = this.#clockMs - request.atMs < REQUEST_RETENTION_MS;
			if (isRetained && this.#requests.size <= MAX_REMEMBERED_REQUESTS) {
				return;
			}

			this.#requests.delete(requestId);
		}
	}
}

/**
 * Returns the key of a resource, as used in view updates.
 *
 * @example
 * ```ts
 * createResourceKey('engine', 'e1'); // 'engine/e1'
 * ```
 */
export function createResourceKey(kind: ResourceKind, name: string): string {
	return `${kind}/${name}`;
}

/**
 * Returns whether a resource is a planned change that is not finished.
 *
 * @example
 * ```ts
 * state.listResources().filter(isOpenChange);
 * ```
 */
export function isOpenChange(resource: Resource): boolean {
	const {specification, status} = resource;
	if (specification.kind !== 'change' || !status) {
		return false;
	}

	const isDrainDone = specification.action === 'drain' && status.phase === CHANGE_PHASES.drained;
	return !isDrainDone && status.phase !== CHANGE_PHASES.done && status.phase !== CHANGE_PHASES.failed;
}

/**
 * Returns whether a resource is a planned change that excludes its server from new work.
 *
 * @example
 * ```ts
 * view.resources.some(resource => excludesServer(resource, 'e3'));
 * ```
 */
export function excludesServer(resource: Resource, server: string): boolean {
	const {specification, status} = resource;
	if (specification.kind !== 'change' || specification.server !== server || !status) {
		return false;
	}

	const returnsToService = specification.action === 'role' || specification.action === 'load';
	if (status.phase === CHANGE_PHASES.failed) {
		return false;
	}

	return !(returnsToService && status.phase === CHANGE_PHASES.done);
}

/**
 * Describes a planned change for its history.
 *
 * @example
 * ```ts
 * describeChange({kind: 'change', action: 'drain', server: 'e3'}); // 'drain e3'
 * ```
 */
export function describeChange(change: ChangeSpecification): string {
	const target = {
		drain: '',
		withdraw: '',
		role: ` to role ${change.role ?? '?'}`,
		load: ` with model ${change.model ?? '?'} ${change.modelVersion ?? ''}`.trimEnd(),
		replace: ` by ${change.replacement ?? '?'}`,
	}[change.action];
	const reason = change.reason === undefined ? '' : ` because ${change.reason}`;
	return `${change.action} ${change.server}${target}${reason}`;
}

/**
 * Describes what an order asks for.
 *
 * @example
 * ```ts
 * describeAction({type: 'role', role: 'decode'}); // 'take role decode'
 * ```
 */
export function describeAction(action: OrderAction): string {
	switch (action.type) {
		case 'role': {
			return `take role ${action.role ?? '?'}`;
		}

		case 'load': {
			return `load ${action.model ?? '?'} ${action.modelVersion ?? ''}`.trimEnd();
		}

		case 'withdraw': {
			return 'withdraw';
		}

		case 'resume': {
			return 'resume work';
		}
	}
}

function involvesSameServer(resource: Resource, change: ChangeSpecification): boolean {
	const other = resource.specification as ChangeSpecification;
	const servers = new Set([other.server, other.replacement]);
	return servers.has(change.server) || (change.replacement !== undefined && servers.has(change.replacement));
}

function createConflict(name: 'versionConflict' | 'engineBusy', version: number, detail: string): ConflictOutcome {
	return {
		type: 'conflict', code: CODES[name].code, version, text: `${CODES[name].text} ${detail}`,
	};
}
