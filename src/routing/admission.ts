/**
 * Admission: how much work goes to the engines at once, and whose comes next.
 *
 * Waiting requests are served by weighted fair queueing over teams (virtual finish times by estimated tokens); a
 * request whose deadline cannot be met is refused at once.
 *
 * @module
 */
export type AdmissionRequest = {
	readonly id: string;
	readonly team: string;
	readonly weight: number;
	/** Estimated cost, tokens. */
	readonly tokens: number;
	/** Most tokens of the team in flight at this host. */
	readonly teamTokenLimit: number;
	/** Monotonic time at which waiting makes no sense any more, milliseconds. */
	readonly latestStartMs: number;
};

export type AdmissionEvent
	= | {readonly type: 'start'; readonly id: string}
		| {readonly type: 'refuse'; readonly id: string; readonly reason: 'capacity' | 'team'; readonly retryAfterSeconds: number};

type Waiting = AdmissionRequest & {readonly finishTag: number};

/** Decides which requests run. A step machine: time is handed in. */
export class AdmissionController {
	readonly #running = new Map<string, AdmissionRequest>();
	readonly #teamTokens = new Map<string, number>();
	readonly #teamTags = new Map<string, number>();
	#waiting: Waiting[] = [];
	#runningTokens = 0;
	#virtualTime = 0;
	/** Tokens finished in the last seconds, as a rate. */
	#tokensPerMs = 0;
	#rateAtMs = 0;

	get waitingCount(): number {
		return this.#waiting.length;
	}

	get runningCount(): number {
		return this.#running.size;
	}

	/** Offers a request; its start or refusal may come at once or later. */
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

		const start = Math.max(this.#virtualTime, this.#teamTags.get(request.team) ?? 0);
		const finishTag = start + (request.tokens / request.weight);
		this.#teamTags.set(request.team, finishTag);
		this.#waiting.push({...request, finishTag});
		return this.dispatch(capacityTokens, nowMs);
	}

	/** Notes that a request has ended, however it did. */
	complete(id: string, capacityTokens: number, nowMs: number): AdmissionEvent[] {
		const request = this.#running.get(id);
		if (!request) {
			this.#waiting = this.#waiting.filter(waiting => waiting.id !== id);
			return [];
		}

		this.#running.delete(id);
		this.#runningTokens -= request.tokens;
		this.#addTeamTokens(request.team, -request.tokens);
		this.#noteRate(request.tokens, nowMs);
		return this.dispatch(capacityTokens, nowMs);
	}

	/** Starts what fits and refuses what has waited too long. */
	dispatch(capacityTokens: number, nowMs: number): AdmissionEvent[] {
		const events: AdmissionEvent[] = [];
		for (const late of this.#waiting.filter(waiting => waiting.latestStartMs < nowMs)) {
			events.push({
				type: 'refuse', id: late.id, reason: 'capacity', retryAfterSeconds: 1,
			});
		}

		this.#waiting = this.#waiting.filter(waiting => waiting.latestStartMs >= nowMs);
		this.#waiting.sort((a, b) => a.finishTag - b.finishTag);
		const kept: Waiting[] = [];
		for (const waiting of this.#waiting) {
			if (this.#fits(waiting, capacityTokens)) {
				this.#start(waiting);
				events.push({type: 'start', id: waiting.id});
			} else {
				kept.push(waiting);
			}
		}

		this.#waiting = kept;
		if (this.#running.size === 0 && kept.length === 0) {
			this.#teamTags.clear();
			this.#virtualTime = 0;
		}

		return events;
	}

	#fits(request: AdmissionRequest, capacityTokens: number): boolean {
		const team = this.#teamTokens.get(request.team) ?? 0;
		const fitsFleet = this.#runningTokens + request.tokens <= capacityTokens || this.#running.size === 0;
		return fitsFleet && team + request.tokens <= request.teamTokenLimit;
	}

	#start(waiting: Waiting): void {
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

	#noteRate(tokens: number, nowMs: number): void {
		const elapsedMs = Math.max(1, nowMs - this.#rateAtMs);
		const keep = Math.exp(-elapsedMs / 5000);
		this.#tokensPerMs = (this.#tokensPerMs * keep) + (tokens / 5000);
		this.#rateAtMs = nowMs;
	}
}

const SHRINK_FACTOR = 0.9;
const GROW_STEP = 0.01;
const SMALLEST_MARGIN = 0.1;

/**
 * How much of a target may be promised: falls fast when admitted work comes late, and rises slowly while it is on
 * time. Corrects estimates that are made from stale reports.
 */
export class AdmissionMargin {
	#share = 1;

	/** Share of the target that an estimate may use up. */
	get share(): number {
		return this.#share;
	}

	record(isOnTime: boolean): void {
		this.#share = isOnTime
			? Math.min(1, this.#share + GROW_STEP)
			: Math.max(SMALLEST_MARGIN, this.#share * SHRINK_FACTOR);
	}
}
