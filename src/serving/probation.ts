/**
 * Lets a few of the requests through that may crash servers, to find out which of them do.
 *
 * A request that contains some suspects of a block, but not all, is a test: one at a time on each host. A request that contains all of them is
 * sent in a trial: one at a time over all hosts, and a few in all. What survives clears its suspects.
 *
 * @module
 */
import {sleep, type Clock} from '../base/clock.js';
import type {Logger} from '../base/logger.js';
import type {Block, BlockMatch} from '../routing/suspects.js';
import type {TrialClaims, TrialSchedule} from '../routing/trials.js';
import type {SuspectRequest} from './crashes.js';
import type {ServingMetrics} from './metrics.js';

export type ProbationOptions = {
	/** Name of this host. */
	readonly host: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Pick<ServingMetrics, 'probes'>;
	readonly schedule: TrialSchedule;
	readonly match: (request: SuspectRequest) => BlockMatch;
	/** Tells claims to the other hosts. */
	readonly publish: (claims: TrialClaims) => void;
};

export const PROBE_KINDS = {test: 'test', trial: 'trial'} as const;
export type ProbeKind = keyof typeof PROBE_KINDS;

/** A request that was let through. */
type Probe = {
	readonly kind: ProbeKind;
	readonly blocks: readonly Block[];
	readonly startedMs: number;
	/** The claims of a trial, by the keys of its blocks. */
	readonly claims?: ReadonlyMap<number, string>;
	/** Monotonic time at which its response began, milliseconds. */
	respondedMs?: number;
	isSent: boolean;
};

/** A trial that may be claimed from a time on. */
type TrialPlan = {
	/** The block whose claims decide which host sends the request. */
	readonly key: number;
	/** Rounds by the keys of all blocks. */
	readonly rounds: ReadonlyMap<number, number>;
	/** Monotonic time, milliseconds. */
	readonly dueMs: number;
};

/** Whether a request may be sent to servers, and if not, when its caller should come back. */
export type Admission = {readonly isAdmitted: true} | {readonly isAdmitted: false; readonly retryMs: number};

/** Time in which the claims of a round reach all hosts, milliseconds. */
const CLAIM_SETTLE_MS = 150;
/** Longer wait of a request that several blocks refuse, milliseconds. */
const SEVERAL_BLOCKS_DELAY_MS = 2000;
/** A response that has gone on for this long was not crashed by what the request contains, milliseconds. */
const SURVIVAL_MS = 1000;
/** A test that takes longer does not hold back the next one, milliseconds. */
const MAX_TEST_MS = 1000;
/** Bounds of the time after which a refused caller should come back, milliseconds. */
const MIN_RETRY_MS = 1000;
const MAX_RETRY_MS = 60_000;

const ADMITTED: Admission = {isAdmitted: true};

/** The tests and trials of one host. */
export class Probation {
	readonly #options: ProbationOptions;
	readonly #probes = new Map<SuspectRequest, Probe>();
	readonly #claiming = new Set<number>();
	/** Requests that broke off while they were probes. */
	readonly #failed = new WeakSet<SuspectRequest>();
	#claimCount = 0;

	constructor(options: ProbationOptions) {
		this.#options = options;
	}

	/** Whether a request must not be sent to a server now. */
	isRefused(request: SuspectRequest): boolean {
		if (this.#probes.has(request)) {
			return false;
		}

		const {full, partial} = this.#options.match(request);
		return full.length > 0 || (partial.length > 0 && this.#failed.has(request));
	}

	isProbe(request: SuspectRequest): boolean {
		return this.#probes.has(request);
	}

	/** Decides whether a new request may be sent. A trial takes a moment to decide. Whoever is admitted calls `end`. */
	async admit(request: SuspectRequest): Promise<Admission> {
		const {full, partial} = this.#options.match(request);
		if (full.length > 0) {
			return await this.#tryTrial(full, request) ? ADMITTED : {isAdmitted: false, retryMs: this.#estimateRetryMs(full)};
		}

		if (partial.length === 0) {
			return ADMITTED;
		}

		const nowMs = this.#now();
		const isBusy = [...this.#probes.values()].some(({kind, blocks, startedMs}) => kind === PROBE_KINDS.test
			&& nowMs - startedMs < MAX_TEST_MS && blocks.some(({id}) => partial.some(other => other.id === id)));
		if (isBusy) {
			return {isAdmitted: false, retryMs: MIN_RETRY_MS};
		}

		this.#start(request, {kind: PROBE_KINDS.test, blocks: partial});
		return ADMITTED;
	}

	/** Records that a request is sent to a server. */
	recordSent(request: SuspectRequest): void {
		const probe = this.#probes.get(request);
		if (probe) {
			probe.isSent = true;
		}
	}

	/** Records that the server did not receive the request. */
	recordUnsent(request: SuspectRequest): void {
		const probe = this.#probes.get(request);
		if (probe) {
			probe.isSent = false;
		}
	}

	/** Records that a part of a success was received; returns whether a probe has survived by that. */
	recordProgress(request: SuspectRequest): boolean {
		const probe = this.#probes.get(request);
		if (!probe) {
			return false;
		}

		const nowMs = this.#now();
		probe.respondedMs ??= nowMs;
		const hasSurvived = nowMs - probe.respondedMs >= SURVIVAL_MS;
		if (hasSurvived) {
			this.#finish(request, 'survived');
		}

		return hasSurvived;
	}

	/** Records that a request was served. */
	recordSuccess(request: SuspectRequest): void {
		this.#finish(request, 'served');
	}

	/** Records that the connection to the server ended without a complete response. */
	recordFailure(request: SuspectRequest): void {
		if (this.#probes.has(request)) {
			this.#failed.add(request);
			this.#finish(request, 'broken');
		}
	}

	/** Ends what `admit` began. */
	end(request: SuspectRequest): void {
		const probe = this.#probes.get(request);
		if (probe) {
			this.#finish(request, probe.isSent ? 'ended' : 'unsent');
		}
	}

	async #tryTrial(blocks: readonly Block[], request: SuspectRequest): Promise<boolean> {
		const trial = this.#planTrial(blocks);
		if (!trial || trial.dueMs > this.#now() || this.#claiming.has(trial.key)) {
			return false;
		}

		const {match, schedule} = this.#options;
		const {key, rounds} = trial;
		const claims = this.#createClaims(rounds);
		this.#claiming.add(key);
		this.#publishClaims(claims, false);
		await sleep(CLAIM_SETTLE_MS);
		this.#claiming.delete(key);
		const isWinner = schedule.findWinner(key, rounds.get(key)!) === claims.get(key);
		const {full} = match(request);
		if (isWinner && full.length === blocks.length && full.every(block => claims.has(block.key))) {
			this.#start(request, {kind: PROBE_KINDS.trial, blocks: full, claims});
			return true;
		}

		this.#publishClaims(claims, true);
		return full.length === 0;
	}

	/** Plans a trial of a request that all of these blocks refuse; undefined if one of them has no round left. */
	#planTrial(blocks: readonly Block[]): TrialPlan | undefined {
		const rounds = new Map<number, number>();
		// Requests that a single block refuses clear it, or prove it, sooner.
		const delayMs = blocks.length > 1 ? SEVERAL_BLOCKS_DELAY_MS : 0;
		let dueMs = Number.NEGATIVE_INFINITY;
		for (const block of blocks) {
			const next = this.#options.schedule.findNextRound(block);
			if (!next) {
				return undefined;
			}

			rounds.set(block.key, next.round);
			dueMs = Math.max(dueMs, next.dueMs + delayMs);
		}

		return {key: [...rounds.keys()].toSorted((a, b) => a - b)[0]!, rounds, dueMs};
	}

	#createClaims(rounds: ReadonlyMap<number, number>): Map<number, string> {
		const number = ++this.#claimCount;
		return new Map([...rounds].map(([key, round]) => [key, `${round}/${this.#options.host}/${number}`]));
	}

	#publishClaims(claims: ReadonlyMap<number, string>, isReleased: boolean): void {
		for (const [key, claim] of claims) {
			this.#options.publish({key, claims: [claim], released: isReleased ? [claim] : []});
		}
	}

	#estimateRetryMs(blocks: readonly Block[]): number {
		const dueMs = this.#planTrial(blocks)?.dueMs ?? Number.POSITIVE_INFINITY;
		return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, dueMs - this.#now()));
	}

	#start(request: SuspectRequest, probe: Pick<Probe, 'kind' | 'blocks' | 'claims'>): void {
		this.#probes.set(request, {...probe, startedMs: this.#now(), isSent: false});
		this.#options.logger.info(`Request is sent in a ${probe.kind} although it may crash servers.`, {request: request.id, suspects: probe.blocks.map(block => formatSuspects(block))});
	}

	#finish(request: SuspectRequest, outcome: string): void {
		const probe = this.#probes.get(request);
		if (!probe) {
			return;
		}

		const {logger, metrics} = this.#options;
		this.#probes.delete(request);
		metrics.probes.inc({kind: probe.kind, outcome});
		logger.info(`The ${probe.kind} of a request that may crash servers has ended: ${outcome}.`, {request: request.id, suspects: probe.blocks.map(block => formatSuspects(block))});
		if (probe.claims && !probe.isSent) {
			this.#publishClaims(probe.claims, true);
		}
	}

	#now(): number {
		return this.#options.clock.monotonicMs();
	}
}

/**
 * Names the suspects of a block in log lines, in the same way on all hosts.
 *
 * @example
 * ```ts
 * formatSuspects(block); // '2fjq8s1k0 of 3'
 * ```
 */
export function formatSuspects(block: Block): string {
	return `${block.key.toString(36)} of ${block.keys.size}`;
}
