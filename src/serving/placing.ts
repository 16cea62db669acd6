/**
 * Asks the placing host where streamed requests run, and decides here when it does not answer.
 *
 * @module
 */
import {crc32} from 'node:zlib';
import type {Clock} from '../base/clock.js';
import type {Message} from '../generated/types.js';
import {
	MILESTONES, type MilestoneName, type Placer, type PlacingDecision, type PlacingRequest,
} from '../routing/placer.js';

/** The hosts that place, and the way to them. */
export interface PlacingHosts {
	/** Hosts that can be asked now. */
	listLive(): string[];
	/** Sends to one of them; false if it is out of reach. */
	send(host: string, message: Message): boolean;
}

export type Placed = {
	readonly decision: PlacingDecision;
	/** Host that decided; 'self' if it was this one. */
	readonly by: string;
};

/** A placing host answers within two milliseconds; one that takes this long is busy, frozen or cut off. */
export const PLACING_TIMEOUT_MS = 60;
/** How long a host that did not answer is not asked again. */
const DISTRUST_MS = 700;
export const SELF = 'self';

type Waiting = {
	readonly host: string;
	readonly settle: (decision: PlacingDecision | undefined) => void;
};

/** The asking side. */
export class PlacingClient {
	readonly #hosts: PlacingHosts;
	readonly #local: Placer;
	readonly #clock: Clock;
	readonly #waiting = new Map<string, Waiting>();
	readonly #owners = new Map<string, string>();
	readonly #distrustedUntilMs = new Map<string, number>();

	constructor(hosts: PlacingHosts, local: Placer, clock: Clock) {
		this.#hosts = hosts;
		this.#local = local;
		this.#clock = clock;
	}

	/** Asks where a request runs. */
	async offer(request: PlacingRequest): Promise<Placed> {
		const host = this.#chooseHost(request.service);
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
		return {decision: this.#local.offer(request, this.#clock.monotonicMs()), by: SELF};
	}

	/** Tells that a prompt is read and asks where to go on. */
	async noteRead(request: PlacingRequest, reader: string): Promise<Placed> {
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

		return {decision: this.#local.goOn(request, reader, this.#clock.monotonicMs()), by: SELF};
	}

	/** Tells how far a request is. */
	note(id: string, milestone: Exclude<MilestoneName, 'read'>, server: string | undefined): void {
		const host = this.#owners.get(id);
		if (milestone !== MILESTONES.first) {
			this.#owners.delete(id);
		}

		if (host === SELF || host === undefined) {
			this.#local.note(id, milestone, server, this.#clock.monotonicMs());
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

	async #ask(host: string, id: string, message: Message): Promise<PlacingDecision | undefined> {
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.#distrustedUntilMs.set(host, this.#clock.monotonicMs() + DISTRUST_MS);
				settle(undefined);
			}, PLACING_TIMEOUT_MS);
			const settle = (decision: PlacingDecision | undefined) => {
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

	/** All hosts that see the same placing hosts choose the same one for a pool (rendezvous hashing). */
	#chooseHost(service: string): string | undefined {
		const nowMs = this.#clock.monotonicMs();
		let chosen: string | undefined;
		let highest = -1;
		for (const host of this.#hosts.listLive()) {
			const score = crc32(`${service} ${host}`);
			if ((this.#distrustedUntilMs.get(host) ?? 0) <= nowMs && score > highest) {
				chosen = host;
				highest = score;
			}
		}

		return chosen;
	}
}
