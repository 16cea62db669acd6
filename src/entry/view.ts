/**
 * The resources that an entry host has applied, and the lease under which it holds them.
 *
 * The version never decreases. Updates that are older than the applied version, or that start from a later version and
 * would leave a gap, are not applied.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import type {Clock} from '../base/clock.js';
import type {Logger} from '../base/logger.js';
import type {ControlClient} from '../control/client.js';
import {
	excludesServer, isOpenChange, createResourceKey, type ResourceKind,
} from '../control/state.js';
import type {
	Announcement, ChangeSpecification, ModelDemand, RenewReply, Resource, RunningCount, ViewUpdate,
} from '../generated/types.js';

const NO_VERSION = -1;

/** The resources that an entry host has applied. A state machine without I/O. */
export class ResourceView {
	readonly #resources = new Map<string, Resource>();
	#version = NO_VERSION;

	/** The applied version; -1 before the first update. */
	get version(): number {
		return this.#version;
	}

	/** Applies an update. Returns false if it is older than the applied version or starts from a later one. */
	apply(update: ViewUpdate): boolean {
		const isComplete = update.from === NO_VERSION;
		if (update.version < this.#version || (!isComplete && update.from > this.#version)) {
			return false;
		}

		if (isComplete) {
			this.#resources.clear();
		}

		for (const key of update.removed) {
			this.#resources.delete(key);
		}

		for (const resource of update.resources) {
			this.#resources.set(createResourceKey(resource.specification.kind, resource.name), resource);
		}

		this.#version = update.version;
		return true;
	}

	get(kind: ResourceKind, name: string): Resource | undefined {
		return this.#resources.get(createResourceKey(kind, name));
	}

	list(kind?: ResourceKind): Resource[] {
		const all = [...this.#resources.values()];
		return kind === undefined ? all : all.filter(resource => resource.specification.kind === kind);
	}

	/** Finds the planned change that excludes a server from new work, if there is one. */
	findExclusion(server: string): Resource | undefined {
		return this.list('change').find(resource => excludesServer(resource, server));
	}

	/** Lists the servers that unfinished changes affect, replacements included. */
	listChangingServers(): string[] {
		const servers = this.list('change').filter(resource => isOpenChange(resource)).flatMap(resource => {
			const {server, replacement} = resource.specification as ChangeSpecification;
			return replacement === undefined ? [server] : [server, replacement];
		});
		return [...new Set(servers)];
	}
}

export type ViewTaskOptions = {
	readonly host: string;
	/** Unique ID of this run of the process. */
	readonly boot: string;
	readonly view: ResourceView;
	readonly client: ControlClient;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Returns the number of requests from this host that a server is running. */
	readonly countRunning: (server: string) => number;
	readonly readDemand: () => ModelDemand[];
	readonly findAnnouncement: (server: string) => Announcement | undefined;
	readonly onChange: () => void;
};

const RENEW_INTERVAL_MS = 400;
const CHANGE_RENEW_INTERVAL_MS = 100;

/** Keeps a resource view up to date and renews its lease. Its creator must close it. */
export class ViewTask {
	readonly #options: ViewTaskOptions;
	readonly #listeners = new Set<() => void>();
	#timer: NodeJS.Timeout | undefined;
	#leaseUntilMs = Number.NEGATIVE_INFINITY;
	#renewedMs = 0;
	#isRenewing = false;
	#isLeaving = false;
	#isClosed = false;
	#hasInitialView = false;

	constructor(options: ViewTaskOptions) {
		this.#options = options;
		this.#schedule(0);
	}

	/** Whether the lease is valid, that is, whether the leader waits for this host to apply each change. */
	get hasLease(): boolean {
		return this.#options.clock.monotonicMs() < this.#leaseUntilMs;
	}

	/** Time since the lease was last renewed, milliseconds. */
	get ageMs(): number {
		return this.#options.clock.monotonicMs() - this.#renewedMs;
	}

	/** Whether the view was read from a majority since this process started. */
	get isReady(): boolean {
		return this.#hasInitialView;
	}

	/** Adds a listener for changes of the view. Returns a function that removes it. */
	onChange(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => this.#listeners.delete(listener);
	}

	/** Applies an update that the leader pushed. */
	receivePush(message: RenewReply): void {
		if (this.#hasInitialView) {
			this.#apply(message);
			this.#schedule(0);
		}
	}

	/** Releases the lease, so that no change waits for this host any longer. */
	async releaseLease(): Promise<void> {
		this.#isLeaving = true;
		await this.#options.client.renewViewLease(this.#createRenewal())();
	}

	close(): void {
		this.#isClosed = true;
		clearTimeout(this.#timer);
	}

	#schedule(delayMs: number): void {
		clearTimeout(this.#timer);
		if (!this.#isClosed && !this.#isLeaving) {
			this.#timer = setTimeout(() => {
				void this.#renew();
			}, delayMs);
		}
	}

	async #renew(): Promise<void> {
		if (this.#isRenewing) {
			return;
		}

		this.#isRenewing = true;
		if (!this.#hasInitialView) {
			await this.#readInitialView();
		}

		if (this.#hasInitialView) {
			await this.#renewLease();
		}

		this.#isRenewing = false;
		const hasOpenChange = this.#options.view.listChangingServers().length > 0;
		this.#schedule(hasOpenChange ? CHANGE_RENEW_INTERVAL_MS : RENEW_INTERVAL_MS);
	}

	/** Reads the initial view with the confirmation of a majority, because a single replica may be behind. */
	async #readInitialView(): Promise<void> {
		const reply = await this.#options.client.readResources(NO_VERSION)();
		if (Either.isRight(reply)) {
			this.#options.view.apply(reply.right.view);
			this.#hasInitialView = true;
			this.#options.logger.info(`Loaded configuration version ${reply.right.view.version}.`, {version: reply.right.view.version});
			this.#notify();
		}
	}

	async #renewLease(): Promise<void> {
		// The lease starts before the request is sent, so that it expires here before it expires at the leader.
		const requestedMs = this.#options.clock.monotonicMs();
		const reply = await this.#options.client.renewViewLease(this.#createRenewal())();
		if (Either.isLeft(reply)) {
			this.#options.logger.debug('Failed to renew the view lease.', {code: reply.left.code});
			return;
		}

		this.#renewedMs = requestedMs;
		this.#leaseUntilMs = requestedMs + reply.right.leaseMs;
		this.#apply(reply.right);
	}

	#createRenewal(): Parameters<ControlClient['renewViewLease']>[0] {
		const {view, host, boot} = this.#options;
		const servers = view.listChangingServers();
		const running: RunningCount[] = servers.map(server => ({server, count: this.#options.countRunning(server)}));
		const announcements = servers.map(server => this.#options.findAnnouncement(server)).filter(found => found !== undefined);
		return {
			type: 'renew', host, boot, version: view.version, running, announcements, demand: this.#options.readDemand(), leaving: this.#isLeaving,
		};
	}

	#apply(message: RenewReply): void {
		const {view, client, logger} = this.#options;
		const previousVersion = view.version;
		client.updateMembers(message.members);
		if (!view.apply(message.view)) {
			logger.warn('Ignored a configuration update that is older or leaves a gap.', {have: previousVersion, got: message.view.version});
			return;
		}

		if (view.version !== previousVersion) {
			logger.info(`Applied configuration version ${view.version}.`, {version: view.version, from: previousVersion});
			this.#notify();
		}
	}

	#notify(): void {
		this.#options.onChange();
		for (const listener of this.#listeners) {
			listener();
		}
	}
}
