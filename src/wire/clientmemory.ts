/**
 * Memory that a process holds for its clients, and which client is refused when it runs out. Without I/O.
 *
 * @module
 */

/** Why a client is refused. */
export const EVICTION_REASONS = {
	/** It moved little while others waited for the memory that it held. */
	slow: 'slow',
	/** It waited too long for memory. */
	waited: 'waited',
} as const;
export type EvictionReason = keyof typeof EVICTION_REASONS;

export type ShareHandlers = {
	/** Called when the client must be refused or its connection closed. The memory has been taken from it. */
	onEvict(reason: EvictionReason): void;
};

/** Reservations up to this size may use all of the memory; larger ones leave a part of it to them. */
export const SMALL_BYTES = 64 * 1024;
/** Part of the memory that only small reservations use, so that ordinary requests are served while large bodies wait. */
const SMALL_RESERVE = 1 / 4;
/** A client that moves less than this, while others wait, is slow. No client is slow if nobody waits. */
const MIN_BYTES_PER_SECOND = 32 * 1024;
/** Time over which the speed of a client is measured, milliseconds. */
const SPEED_WINDOW_MS = 1000;
/** Time after which a request that waits for memory is refused, milliseconds: clients retry within a few seconds. */
const MAX_WAIT_MS = 5000;

/** The part of the memory that is held for one request. It must be released. */
export class MemoryShare {
	readonly handlers: ShareHandlers;
	heldBytes = 0;
	/** Whether the request is still arriving; one that runs is not refused. */
	isArriving = true;
	/** Whether this process does not read what the client sends, so that its speed says nothing about it. */
	isHeld = false;
	isReleased = false;
	readonly #memory: ClientMemory;
	#windowMs: number;
	#windowBytes = 0;
	#isSlow = false;

	constructor(memory: ClientMemory, handlers: ShareHandlers, nowMs: number) {
		this.#memory = memory;
		this.handlers = handlers;
		this.#windowMs = nowMs;
	}

	/** Reserves memory up to a total; returns false if that does not fit even without the slow clients. */
	tryReserve(totalBytes: number, nowMs: number): boolean {
		return this.#memory.tryReserve(this, totalBytes, nowMs);
	}

	/** Reserves memory as soon as it is there. The share is evicted if that takes too long. */
	waitFor(totalBytes: number, nowMs: number, onReserved: () => void): void {
		this.#memory.wait(this, totalBytes, nowMs, onReserved);
	}

	/** Gives back what exceeds a total. */
	shrink(totalBytes: number, nowMs: number): void {
		this.#memory.shrink(this, totalBytes, nowMs);
	}

	/** Records bytes that arrived. */
	recordProgress(bytes: number, nowMs: number): void {
		this.#windowBytes += bytes;
		this.#closeWindow(nowMs);
	}

	/** Begins to measure the speed anew, after a time in which nothing was read. */
	restartWindow(nowMs: number): void {
		this.#windowMs = nowMs;
		this.#windowBytes = 0;
		this.#isSlow = false;
	}

	isSlow(nowMs: number): boolean {
		this.#closeWindow(nowMs);
		return this.isArriving && !this.isHeld && this.#isSlow;
	}

	release(nowMs: number): void {
		this.#memory.release(this, nowMs);
	}

	#closeWindow(nowMs: number): void {
		const tookMs = nowMs - this.#windowMs;
		if (tookMs >= SPEED_WINDOW_MS) {
			this.#isSlow = this.#windowBytes * 1000 < MIN_BYTES_PER_SECOND * tookMs;
			this.#windowMs = nowMs;
			this.#windowBytes = 0;
		}
	}
}

type Waiter = {
	readonly share: MemoryShare;
	readonly totalBytes: number;
	readonly sinceMs: number;
	readonly onReserved: () => void;
};

/**
 * The memory that a process holds for its clients. A request reserves all that it may need before it is read further, so that requests
 * that have reserved it can always be received completely. If the memory is exhausted, requests wait, and slow clients are evicted
 * for them, those that hold most first.
 *
 * @example
 * ```ts
 * const memory = new ClientMemory(32e6);
 * const share = memory.open({onEvict: () => caller.fail(createProblem('overloaded'))}, nowMs);
 * if (!share.tryReserve(4e6, nowMs)) {
 * 	share.waitFor(4e6, nowMs, () => request.resume());
 * }
 * ```
 */
export class ClientMemory {
	readonly maxBytes: number;
	readonly #shares = new Set<MemoryShare>();
	#waiters: Waiter[] = [];
	#usedBytes = 0;

	constructor(maxBytes: number) {
		this.maxBytes = maxBytes;
	}

	get usedBytes(): number {
		return this.#usedBytes;
	}

	get waitingCount(): number {
		return this.#waiters.length;
	}

	open(handlers: ShareHandlers, nowMs: number): MemoryShare {
		return new MemoryShare(this, handlers, nowMs);
	}

	tryReserve(share: MemoryShare, totalBytes: number, nowMs: number): boolean {
		if (share.isReleased) {
			return false;
		}

		// A single request is served whatever its size: the published limit may exceed the memory.
		const limitBytes = totalBytes <= SMALL_BYTES ? this.maxBytes : Math.max(this.maxBytes * (1 - SMALL_RESERVE), totalBytes);
		const addedBytes = Math.max(0, totalBytes - share.heldBytes);
		const fits = () => this.#usedBytes + addedBytes <= limitBytes || this.#usedBytes === share.heldBytes;
		while (!fits()) {
			const victim = this.#findVictim(share, totalBytes <= SMALL_BYTES, nowMs);
			if (!victim) {
				return false;
			}

			this.#evict(victim, EVICTION_REASONS.slow);
		}

		this.#usedBytes += addedBytes;
		share.heldBytes += addedBytes;
		this.#shares.add(share);
		return true;
	}

	wait(share: MemoryShare, totalBytes: number, nowMs: number, onReserved: () => void): void {
		share.isHeld = true;
		this.#waiters.push({
			share, totalBytes, sinceMs: nowMs, onReserved,
		});
	}

	shrink(share: MemoryShare, totalBytes: number, nowMs: number): void {
		const freedBytes = Math.max(0, share.heldBytes - totalBytes);
		share.heldBytes -= freedBytes;
		this.#usedBytes -= freedBytes;
		this.check(nowMs);
	}

	release(share: MemoryShare, nowMs: number): void {
		this.#drop(share);
		this.check(nowMs);
	}

	/** Serves those who wait, in order, and refuses those who have waited too long. To be called regularly while any wait. */
	check(nowMs: number): void {
		while (this.#waiters.length > 0) {
			const [{share, totalBytes, sinceMs, onReserved}] = this.#waiters as [Waiter];
			if (share.isReleased) {
				this.#waiters.shift();
			} else if (this.tryReserve(share, totalBytes, nowMs)) {
				this.#waiters = this.#waiters.filter(waiter => waiter.share !== share);
				share.isHeld = false;
				share.restartWindow(nowMs);
				onReserved();
			} else if (nowMs - sinceMs > MAX_WAIT_MS) {
				this.#evict(share, EVICTION_REASONS.waited);
			} else {
				return;
			}
		}
	}

	/** Finds the slow client that holds most; for a small request also the one that has waited for the shortest time. */
	#findVictim(requester: MemoryShare, isSmall: boolean, nowMs: number): MemoryShare | undefined {
		let victim: MemoryShare | undefined;
		for (const share of this.#shares) {
			if (share !== requester && share.isSlow(nowMs) && share.heldBytes > (victim?.heldBytes ?? 0)) {
				victim = share;
			}
		}

		return victim ?? (isSmall ? this.#waiters.findLast(({share}) => share !== requester && share.heldBytes > 0)?.share : undefined);
	}

	#evict(share: MemoryShare, reason: EvictionReason): void {
		this.#drop(share);
		share.handlers.onEvict(reason);
	}

	#drop(share: MemoryShare): void {
		this.#usedBytes -= share.heldBytes;
		share.heldBytes = 0;
		share.isReleased = true;
		this.#shares.delete(share);
		this.#waiters = this.#waiters.filter(waiter => waiter.share !== share);
	}
}
