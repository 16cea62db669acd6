/**
 * The durable state: resources, planned changes, orders and the ledger. Every replica applies the same commands
 * in the same order and holds the same state.
 *
 * @module
 */
import {CODES} from '../generated/codes.js';
import type {
	Advance, Change, ChangeStatus, Command, Conflict, IssueOrder, Action, Outcome, Phase, Publication, Put, Remove, Resource, SettleOrder, Specification, Step, ViewUpdate,
} from '../generated/types.js';
import {Ledger, type LedgerImage} from './ledger.js';

export type Kind = Specification['kind'];

export type OpenOrder = {
	readonly server: string;
	/** Fencing number: the index of the order in the log. */
	readonly order: number;
	readonly change: string;
	readonly action: Action;
};

type RememberedRequest = {
	readonly requestId: string;
	readonly atMs: number;
	readonly outcome: Outcome;
};

type Removal = {
	readonly key: string;
	readonly version: number;
};

export type StateImage = {
	readonly version: number;
	readonly viewVersion: number;
	readonly clockMs: number;
	readonly resources: readonly Resource[];
	readonly removals: readonly Removal[];
	readonly removalFloor: number;
	readonly orders: readonly OpenOrder[];
	readonly requests: readonly RememberedRequest[];
	readonly ledger: LedgerImage;
};

export const PHASES = {
	draining: 'draining', drained: 'drained', ordered: 'ordered', done: 'done', failed: 'failed',
} as const satisfies Record<Phase, Phase>;

/** Name of the one resource that holds routes, services and limits. */
export const PUBLICATION_NAME = 'current';
/** Version that matches whatever is there. */
export const ANY_VERSION = -1;
const REQUEST_RETENTION_MS = 60 * 60 * 1000;
const MAX_REQUESTS = 20_000;
const MAX_REMOVALS = 2000;
const EMPTY_IMAGE: StateImage = {
	version: 0, viewVersion: 0, clockMs: 0, resources: [], removals: [], removalFloor: 0, orders: [], requests: [], ledger: {records: [], abandoned: []},
};

/** The replicated state; changed only by `apply`. */
export class ControlState {
	readonly ledger: Ledger;
	readonly #resources = new Map<string, Resource>();
	readonly #orders = new Map<string, OpenOrder>();
	readonly #requests = new Map<string, RememberedRequest>();
	readonly #removals: Removal[];
	#removalFloor: number;
	#version: number;
	#viewVersion: number;
	#clockMs: number;

	constructor(image: StateImage = EMPTY_IMAGE, claimBeforeSend = true) {
		this.ledger = new Ledger(image.ledger, claimBeforeSend);
		this.#version = image.version;
		this.#viewVersion = image.viewVersion;
		this.#clockMs = image.clockMs;
		this.#removals = [...image.removals];
		this.#removalFloor = image.removalFloor;
		for (const resource of image.resources) {
			this.#resources.set(resourceKey(resource.specification.kind, resource.name), resource);
		}

		for (const order of image.orders) {
			this.#orders.set(order.server, order);
		}

		for (const request of image.requests) {
			this.#requests.set(request.requestId, request);
		}
	}

	/** Index of the last command applied. */
	get version(): number {
		return this.#version;
	}

	/** Index of the last command that changed a resource. */
	get viewVersion(): number {
		return this.#viewVersion;
	}

	/** The latest wall clock that a command carried, milliseconds. */
	get clockMs(): number {
		return this.#clockMs;
	}

	find(kind: Kind, name: string): Resource | undefined {
		return this.#resources.get(resourceKey(kind, name));
	}

	listResources(): Resource[] {
		return [...this.#resources.values()];
	}

	/** The publication in force; undefined before the first one. */
	get publication(): Publication | undefined {
		const specification = this.find('publication', PUBLICATION_NAME)?.specification;
		return specification?.kind === 'publication' ? specification : undefined;
	}

	/** Planned changes that are not finished. */
	listOpenChanges(): Resource[] {
		return this.listResources().filter(resource => isOpenChange(resource));
	}

	/** Orders that were issued and whose end is not known. */
	listOpenOrders(): OpenOrder[] {
		return [...this.#orders.values()];
	}

	/** Applies the command at an index of the log. */
	apply(command: Command, index: number): Outcome {
		this.#version = index;
		this.#clockMs = Math.max(this.#clockMs, command.at);
		this.#expire();
		return this.#dispatch({...command, at: this.#clockMs}, index);
	}

	/** Notes an index that carries no command. */
	skip(index: number): void {
		this.#version = index;
	}

	/** What changed since a version; the whole state if that version is too old. */
	updateSince(from: number): ViewUpdate {
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

	save(): StateImage {
		return {
			version: this.#version,
			viewVersion: this.#viewVersion,
			clockMs: this.#clockMs,
			resources: this.listResources(),
			removals: this.#removals,
			removalFloor: this.#removalFloor,
			orders: this.listOpenOrders(),
			requests: [...this.#requests.values()],
			ledger: this.ledger.save(),
		};
	}

	#dispatch(command: Command, index: number): Outcome {
		switch (command.type) {
			case 'put': {
				return this.#once(command.requestId, command.at, () => this.#put(command, index));
			}

			case 'remove': {
				return this.#once(command.requestId, command.at, () => this.#remove(command, index));
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
		}
	}

	/** A request that is sent again gets the answer it got the first time. */
	#once(requestId: string, atMs: number, run: () => Outcome): Outcome {
		const known = this.#requests.get(requestId);
		if (known) {
			return known.outcome;
		}

		const outcome = run();
		this.#requests.set(requestId, {requestId, atMs, outcome});
		return outcome;
	}

	#put(command: Put, index: number): Outcome {
		const {specification, name, seen} = command;
		const known = this.#resources.get(resourceKey(specification.kind, name));
		const current = known?.version ?? 0;
		if (specification.kind === 'publication' && known?.specification.kind === 'publication' && known.specification.version >= specification.version) {
			// What was published later stays in force, whichever arrives first.
			return {type: 'accepted', version: current};
		}

		if (seen !== ANY_VERSION && seen !== current) {
			return createConflict('versionConflict', current, `It has version ${current}, you saw ${seen}.`);
		}

		if (specification.kind !== 'change') {
			this.#store({name, version: index, specification});
			return {type: 'accepted', version: index};
		}

		return this.#declareChange(command, specification, known, index);
	}

	#declareChange(command: Put, specification: Change, known: Resource | undefined, index: number): Outcome {
		if (known) {
			return createConflict('versionConflict', known.version, 'A planned change is not altered; delete it and declare another.');
		}

		const other = this.listOpenChanges().find(resource => concernsServer(resource, specification));
		if (other) {
			return createConflict('engineBusy', other.version, `Change ${other.name} is not finished.`);
		}

		const note = `Declared: ${describeChange(specification)}. No new work is sent there from now on.`;
		const status: ChangeStatus = {phase: PHASES.draining, history: [{at: command.at, phase: PHASES.draining, note}]};
		this.#store({
			name: command.name, version: index, specification, status,
		});
		return {type: 'accepted', version: index};
	}

	#remove(command: Remove, index: number): Outcome {
		const key = `${command.kind}/${command.name}`;
		const known = this.#resources.get(key);
		const current = known?.version ?? 0;
		if (!known || (command.seen !== ANY_VERSION && command.seen !== current)) {
			return createConflict('versionConflict', current, `It has version ${current}, you saw ${command.seen}.`);
		}

		if (known.status?.phase === PHASES.ordered) {
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

	#advance(command: Advance, index: number): Outcome {
		const resource = this.find('change', command.change);
		if (resource?.status?.phase !== command.from) {
			return createConflict('versionConflict', resource?.version ?? 0, 'The change is in another phase.');
		}

		this.#enter(resource, {at: command.at, phase: command.phase, note: command.note}, index);
		return {type: 'accepted', version: index};
	}

	#issueOrder(command: IssueOrder, index: number): Outcome {
		const resource = this.find('change', command.change);
		if (resource?.status?.phase !== PHASES.drained || this.#orders.has(command.server)) {
			return createConflict('engineBusy', resource?.version ?? 0, 'The change is not ready for an order, or another one is open.');
		}

		this.#orders.set(command.server, {
			server: command.server, order: index, change: command.change, action: command.action,
		});
		const note = `Order ${index} to ${command.server}: ${describeAction(command.action)}.`;
		this.#enter(resource, {at: command.at, phase: PHASES.ordered, note}, index, index);
		return {type: 'accepted', version: index};
	}

	#settleOrder(command: SettleOrder, index: number): Outcome {
		const open = this.#orders.get(command.server);
		if (open?.order !== command.order) {
			return createConflict('versionConflict', open?.order ?? 0, 'That order is not open.');
		}

		this.#orders.delete(command.server);
		const resource = this.find('change', open.change);
		if (resource) {
			const phase = command.outcome === 'done' ? PHASES.done : PHASES.failed;
			this.#enter(resource, {at: command.at, phase, note: command.note}, index);
		}

		return {type: 'accepted', version: index};
	}

	#enter(resource: Resource, step: Step, index: number, order?: number): void {
		const {phase} = step;
		const history = [...resource.status?.history ?? [], step];
		const number = order ?? resource.status?.order;
		const status: ChangeStatus = number === undefined ? {phase, history} : {phase, history, order: number};
		this.#store({...resource, version: index, status});
	}

	#store(resource: Resource): void {
		this.#viewVersion = resource.version;
		this.#resources.set(resourceKey(resource.specification.kind, resource.name), resource);
	}

	#expire(): void {
		this.ledger.expire(this.#clockMs);
		for (const [requestId, request] of this.#requests) {
			const isYoung = this.#clockMs - request.atMs < REQUEST_RETENTION_MS;
			if (isYoung && this.#requests.size <= MAX_REQUESTS) {
				return;
			}

			this.#requests.delete(requestId);
		}
	}
}

/**
 * The key of a resource in views and removals.
 *
 * @example
 * ```ts
 * resourceKey('engine', 'e1'); // 'engine/e1'
 * ```
 */
export function resourceKey(kind: Kind, name: string): string {
	return `${kind}/${name}`;
}

/**
 * Tells whether a resource is a planned change that is not finished.
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

	const isDrainDone = specification.action === 'drain' && status.phase === PHASES.drained;
	return !isDrainDone && status.phase !== PHASES.done && status.phase !== PHASES.failed;
}

/**
 * Tells whether a planned change keeps new work away from its server.
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

	const comesBack = specification.action === 'role' || specification.action === 'load';
	if (status.phase === PHASES.failed) {
		return false;
	}

	return !(comesBack && status.phase === PHASES.done);
}

/**
 * Says in words what a planned change is.
 *
 * @example
 * ```ts
 * describeChange({kind: 'change', action: 'drain', server: 'e3'}); // 'drain e3'
 * ```
 */
export function describeChange(change: Change): string {
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
 * Says in words what an order asks for.
 *
 * @example
 * ```ts
 * describeAction({type: 'role', role: 'decode'}); // 'take role decode'
 * ```
 */
export function describeAction(action: Action): string {
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

function concernsServer(resource: Resource, change: Change): boolean {
	const other = resource.specification as Change;
	const servers = new Set([other.server, other.replacement]);
	return servers.has(change.server) || (change.replacement !== undefined && servers.has(change.replacement));
}

function createConflict(name: 'versionConflict' | 'engineBusy', version: number, detail: string): Conflict {
	return {
		type: 'conflict', code: CODES[name].code, version, text: `${CODES[name].text} ${detail}`,
	};
}
