/**
 * The configuration in force at one entry host, and the lease that it holds it under.
 *
 * A view never goes back: updates that build on another version or are older than the one in force are not applied.
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

/** The resources in force. A step machine: updates in, accessors out. */
export class ResourceView {
	readonly #resources = new Map<string, Resource>();
	#version = NO_VERSION;

	/** Version in force; -1 before the first update. */
	get version(): number {
		return this.#version;
	}

	/** Applies an update; false if it is older or builds on another version. */
	apply(update: ViewUpdate): boolean {
		const isWhole = update.from === NO_VERSION;
		if (update.version < this.#version || (!isWhole && update.from > this.#version)) {
			return false;
		}

		if (isWhole) {
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

	/** The planned change that keeps new work away from a server, if there is one. */
	findExclusion(server: string): Resource | undefined {
		return this.list('change').find(resource => excludesServer(resource, server));
	}

	/** Servers that an unfinished change or an order concerns. */
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
	/** Identity of this start of the process. */
	readonly boot: string;
	readonly view: ResourceView;
	readonly client: ControlClient;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Requests in flight here at a server. */
	readonly countRunning: (server: string) => number;
	readonly readDemand: () => ModelDemand[];
	readonly findAnnouncement: (server: string) => Announcement | undefined;
	readonly onChange: () => void;
};

const RENEW_EVERY_MS = 400;
const BUSY_RENEW_EVERY_MS = 100;

/** Keeps a view up to date. Whoever started it closes it. */
export class ViewTask {
	readonly #options: ViewTaskOptions;
	readonly #listeners = new Set<() => void>();
	#timer: NodeJS.Timeout | undefined;
	#leaseUntilMs = Number.NEGATIVE_INFINITY;
	#renewedMs = 0;
	#isRenewing = false;
	#isLeaving = false;
	#isClosed = false;
	#hasRead = false;

	constructor(options: ViewTaskOptions) {
		this.#options = options;
		this.#schedule(0);
	}

	/** Whether the leader still counts on this host to know every change. */
	get hasLease(): boolean {
		return this.#options.clock.monotonicMs() < this.#leaseUntilMs;
	}

	/** Time since the view lease was last renewed, milliseconds. */
	get ageMs(): number {
		return this.#options.clock.monotonicMs() - this.#renewedMs;
	}

	/** Whether a majority has confirmed the view since this process started. */
	get isReady(): boolean {
		return this.#hasRead;
	}

	/** Calls a listener whenever the view has changed; the returned function ends that. */
	onChange(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => this.#listeners.delete(listener);
	}

	/** Takes a view that the leader sent on its own. */
	receivePush(message: RenewReply): void {
		if (this.#hasRead) {
			this.#apply(message);
			this.#schedule(0);
		}
	}

	/** Gives the lease back, so that no change waits for this host any more. */
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
		if (!this.#hasRead) {
			await this.#readFirst();
		}

		if (this.#hasRead) {
			await this.#renewLease();
		}

		this.#isRenewing = false;
		const isBusy = this.#options.view.listChangingServers().length > 0;
		this.#schedule(isBusy ? BUSY_RENEW_EVERY_MS : RENEW_EVERY_MS);
	}

	/** A restarted host starts from what a majority confirms, not from a replica that may be behind. */
	async #readFirst(): Promise<void> {
		const listing = await this.#options.client.readResources(NO_VERSION)();
		if (Either.isRight(listing)) {
			this.#options.view.apply(listing.right.view);
			this.#hasRead = true;
			this.#options.logger.info(`Has the configuration of version ${listing.right.view.version}.`, {version: listing.right.view.version});
			this.#notify();
		}
	}

	async #renewLease(): Promise<void> {
		// The lease counts from before the request, so that it never outlasts what the leader grants.
		const askedMs = this.#options.clock.monotonicMs();
		const renewed = await this.#options.client.renewViewLease(this.#createRenewal())();
		if (Either.isLeft(renewed)) {
			this.#options.logger.debug('Could not renew the view lease.', {code: renewed.left.code});
			return;
		}

		this.#renewedMs = askedMs;
		this.#leaseUntilMs = askedMs + renewed.right.leaseMs;
		this.#apply(renewed.right);
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
		const before = view.version;
		client.updateMembers(message.members);
		if (!view.apply(message.view)) {
			logger.warn('Ignores an older configuration.', {have: before, got: message.view.version});
			return;
		}

		if (view.version !== before) {
			logger.info(`Configuration ${view.version} is in force.`, {version: view.version, from: before});
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
