/**
 * Admission control: limits the work in flight at the engines and orders the requests that wait.
 *
 * Waiting requests are scheduled by weighted fair queueing across teams (virtual finish times from estimated tokens).
 * A request whose start deadline cannot be met is refused at once.
 *
 * @module
 */
export type AdmissionRequest = {
	readonly id: string;
	readonly team: string;
	readonly weight: number;
	/** Estimated cost, tokens. */
	readonly tokens: number;
	/** Maximum tokens of the team in flight at this host. */
	readonly teamTokenLimit: number;
	/** Monotonic time after which the request is refused if it has not started, milliseconds. */
	readonly latestStartMs: number;
};

export type AdmissionEvent
	= | {readonly type: 'start'; readonly id: string}
		| {readonly type: 'refuse'; readonly id: string; readonly reason: 'capacity' | 'team'; readonly retryAfterSeconds: number};

type QueuedRequest = AdmissionRequest & {readonly finishTag: number};

/** Decides which requests start. Performs no I/O; the caller passes the current time. */
export class AdmissionController {
	readonly #running = new Map<string, AdmissionRequest>();
	readonly #teamTokens = new Map<string, number>();
	readonly #teamFinishTags = new Map<string, number>();
	#waiting: QueuedRequest[] = [];
	#runningTokens = 0;
	#virtualTime = 0;
	/** Moving average of the rate of completed tokens over the last seconds. */
	#tokensPerMs = 0;
	#rateUpdatedMs = 0;

	get waitingCount(): number {
		return this.#waiting.length;
	}

	get runningCount(): number {
		return this.#running.size;
	}

	/** Submits a request. Its start or refusal is among the events returned now or by a later call. */
	submit(request: AdmissionRequest, capacityTokens: number, nowMs: number): AdmissionEvent[] {
		if (request.tokens > request.teamTokenLimit) {
			return [{
				type: 'refuse', id: request.id, reason: 'team', retryAfterSeconds: 1,
			}];
		}

		const waitMs = this.#estimateWaitMs(request, capacityTokens);
		if (nowMs + waitMs > request.latestStartMs) {
			return [{
				type: 'refuse', id: request.id, reason: 'capacity', retryAfterSeconds: Math.max(1, Math.ceil(waitMs / 1000)),
			}];
		}

		const start = Math.max(this.#virtualTime, this.#teamFinishTags.get(request.team) ?? 0);
		const finishTag = start + (request.tokens / request.weight);
		this.#teamFinishTags.set(request.team, finishTag);
		this.#waiting.push({...request, finishTag});
		return this.dispatch(capacityTokens, nowMs);
	}

	/** Removes a request that has ended, with or without success, and starts waiting ones. */
	complete(id: string, capacityTokens: number, nowMs: number): AdmissionEvent[] {
		const request = this.#running.get(id);
		if (!request) {
			this.#waiting = this.#waiting.filter(waiting => waiting.id !== id);
			return [];
		}

		this.#running.delete(id);
		this.#runningTokens -= request.tokens;
		this.#addTeamTokens(request.team, -request.tokens);
		this.#updateRate(request.tokens, nowMs);
		return this.dispatch(capacityTokens, nowMs);
	}

	/** Starts the waiting requests that fit and refuses those whose start deadline has passed. */
	dispatch(capacityTokens: number, nowMs: number): AdmissionEvent[] {
		const events: AdmissionEvent[] = [];
		for (const expired of this.#waiting.filter(waiting => waiting.latestStartMs < nowMs)) {
			events.push({
				type: 'refuse', id: expired.id, reason: 'capacity', retryAfterSeconds: 1,
			});
		}

		this.#waiting = this.#waiting.filter(waiting => waiting.latestStartMs >= nowMs);
		this.#waiting.sort((a, b) => a.finishTag - b.finishTag);
		const stillWaiting: QueuedRequest[] = [];
		for (const waiting of this.#waiting) {
			if (this.#fits(waiting, capacityTokens)) {
				this.#start(waiting);
				events.push({type: 'start', id: waiting.id});
			} else {
				stillWaiting.push(waiting);
			}
		}

		this.#waiting = stillWaiting;
		if (this.#running.size === 0 && stillWaiting.length === 0) {
			this.#teamFinishTags.clear();
			this.#virtualTime = 0;
		}

		return events;
	}

	#fits(request: AdmissionRequest, capacityTokens: number): boolean {
		const team = this.#teamTokens.get(request.team) ?? 0;
		const fitsCapacity = this.#runningTokens + request.tokens <= capacityTokens || this.#running.size === 0;
		return fitsCapacity && team + request.tokens <= request.teamTokenLimit;
	}

	#start(waiting: QueuedRequest): void {
		this.#running.set(waiting.id, waiting);
		this.#runningTokens += waiting.tokens;
		this.#addTeamTokens(waiting.team, waiting.tokens);
		this.#virtualTime = Math.max(this.#virtualTime, waiting.finishTag - (waiting.tokens / waiting.weight));
	}

	#addTeamTokens(team: string, tokens: number): void {
		const sum = (this.#teamTokens.get(team) ?? 0) + tokens;
		if (sum > 0) {
			this.#teamTokens.set(team, sum);
		} else {
			this.#teamTokens.delete(team);
		}
	}

	#estimateWaitMs(request: AdmissionRequest, capacityTokens: number): number {
		const ahead = this.#waiting.reduce((sum, waiting) => sum + waiting.tokens, 0);
		const excess = this.#runningTokens + ahead + request.tokens - capacityTokens;
		return excess > 0 && this.#tokensPerMs > 0 ? excess / this.#tokensPerMs : 0;
	}

	#updateRate(tokens: number, nowMs: number): void {
		const elapsedMs = Math.max(1, nowMs - this.#rateUpdatedMs);
		const decay = Math.exp(-elapsedMs / 5000);
		this.#tokensPerMs = (this.#tokensPerMs * decay) + (tokens / 5000);
		this.#rateUpdatedMs = nowMs;
	}
}

const DECREASE_FACTOR = 0.9;
const INCREASE_STEP = 0.01;
const MIN_SHARE = 0.1;

/**
 * Share of a latency target that an estimate may use for a request to be admitted. Decreases multiplicatively when an
 * admitted request is late and increases additively while requests are on time, which corrects for estimates that are
 * based on stale load reports.
 */
export class AdmissionMargin {
	#share = 1;

	/** Share of the target that an estimate may use, between 0.1 and 1. */
	get share(): number {
		return this.#share;
	}

	record(isOnTime: boolean): void {
		this.#share = isOnTime
			? Math.min(1, this.#share + INCREASE_STEP)
			: Math.max(MIN_SHARE, this.#share * DECREASE_FACTOR);
	}
}
