/**
 * Asks the placing host where streamed requests run, and decides here when it does not answer.
 *
 * @module
 */
import {crc32} from 'node:zlib';
import type {Clock} from '../base/clock.js';
import type {Message} from '../generated/types.js';
import {
	MILESTONES, type MilestoneName, type Scheduler, type PlacementDecision, type PlacementRequest,
} from '../routing/scheduler.js';

/** The hosts that place, and the way to them. */
export interface SchedulerHosts {
	/** Hosts that can be asked now. */
	listLive(): string[];
	/** Sends to one of them; false if it is out of reach. */
	send(host: string, message: Message): boolean;
}

export type PlacementResult = {
	readonly decision: PlacementDecision;
	/** Host that decided; 'self' if it was this one. */
	readonly by: string;
};

/** A placing host answers within two milliseconds; one that takes this long is busy, frozen or cut off. */
export const SCHEDULER_TIMEOUT_MS = 60;
/** How long a host that did not answer is not asked again. */
const DISTRUST_MS = 700;
export const SELF = 'self';

type Waiting = {
	readonly host: string;
	readonly settle: (decision: PlacementDecision | undefined) => void;
};

/** The asking side. */
export class PlacementClient {
	readonly #hosts: SchedulerHosts;
	readonly #local: Scheduler;
	readonly #clock: Clock;
	readonly #waiting = new Map<string, Waiting>();
	readonly #owners = new Map<string, string>();
	readonly #backups = new Map<string, string>();
	readonly #distrustedUntilMs = new Map<string, number>();

	constructor(hosts: SchedulerHosts, local: Scheduler, clock: Clock) {
		this.#hosts = hosts;
		this.#local = local;
		this.#clock = clock;
	}

	/** Asks where a request runs. */
	async place(request: PlacementRequest): Promise<PlacementResult> {
		const [host] = this.#rankHosts(request.service);
		if (host !== undefined) {
			const decision = await this.#ask(host, request.id, {
				...request, type: 'offer', parts: [...request.parts], excluded: [...request.excluded],
			});
			if (decision) {
				this.#owners.set(request.id, host);
				return {decision, by: host};
			}
		}

		this.#owners.set(request.id, SELF);
		return {decision: this.#local.place(request, this.#clock.monotonicMs()), by: SELF};
	}

	/** Tells that a prompt is read and asks where to go on. */
	async chooseRunner(request: PlacementRequest, reader: string): Promise<PlacementResult> {
		const host = this.#owners.get(request.id);
		if (host !== undefined && host !== SELF) {
			const decision = await this.#ask(host, request.id, {
				type: 'milestone', id: request.id, stage: MILESTONES.read, server: reader,
			});
			if (decision) {
				return {decision, by: host};
			}

			this.#owners.set(request.id, SELF);
		}

		return {decision: this.#local.chooseRunner(request, reader, this.#clock.monotonicMs()), by: SELF};
	}

	/** Tells the host that would place next where a request runs, so that it knows what engines hold. */
	notifyBackup({id, service, parts, promptTokens, outputTokens, patienceMs}: PlacementRequest, reader: string | undefined, runner: string): void {
		const backup = this.#rankHosts(service).find(host => host !== this.#owners.get(id));
		if (backup === undefined) {
			return;
		}

		this.#backups.set(id, backup);
		this.#hosts.send(backup, {
			type: 'shadow', id, service, parts: [...parts], promptTokens, outputTokens, patienceMs, runner, ...(reader === undefined ? {} : {reader}),
		});
	}

	/** Tells how far a request is. */
	reportMilestone(id: string, milestone: Exclude<MilestoneName, 'read'>, server: string | undefined): void {
		const host = this.#owners.get(id);
		const backup = this.#backups.get(id);
		if (milestone !== MILESTONES.first) {
			this.#owners.delete(id);
			this.#backups.delete(id);
			if (backup !== undefined) {
				this.#hosts.send(backup, {type: 'milestone', id, stage: MILESTONES.done});
			}
		}

		if (host === SELF || host === undefined) {
			this.#local.recordMilestone(id, milestone, server, this.#clock.monotonicMs());
			return;
		}

		this.#hosts.send(host, {
			type: 'milestone', id, stage: milestone, ...(server === undefined ? {} : {server}),
		});
	}

	/** Takes a placing host's answer. */
	receive(message: Message, host: string): void {
		if (message.type !== 'assignment' && message.type !== 'rejection') {
			return;
		}

		const waiting = this.#waiting.get(message.id);
		if (waiting?.host === host) {
			waiting.settle(message);
		}
	}

	async #ask(host: string, id: string, message: Message): Promise<PlacementDecision | undefined> {
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.#distrustedUntilMs.set(host, this.#clock.monotonicMs() + DISTRUST_MS);
				settle(undefined);
			}, SCHEDULER_TIMEOUT_MS);
			const settle = (decision: PlacementDecision | undefined) => {
				clearTimeout(timer);
				this.#waiting.delete(id);
				resolve(decision);
			};

			this.#waiting.set(id, {host, settle});
			if (!this.#hosts.send(host, message)) {
				settle(undefined);
			}
		});
	}

	/** Hosts to ask, best first; all that see the same placing hosts rank them alike (rendezvous hashing). */
	#rankHosts(service: string): string[] {
		const nowMs = this.#clock.monotonicMs();
		return this.#hosts.listLive()
			.filter(host => (this.#distrustedUntilMs.get(host) ?? 0) <= nowMs)
			.map(host => ({host, score: crc32(`${service} ${host}`)}))
			.toSorted((a, b) => b.score - a.score)
			.map(({host}) => host);
	}
}
