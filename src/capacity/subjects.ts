/**
 * What the leader has requested for each service, data centre and kind of server, and what has become of it.
 *
 * A new leader starts without any of it, from the servers that announce themselves. Performs no I/O; the caller passes the current time.
 *
 * @module
 */
import type {ServerCounts, ZoneCounts} from './inventory.js';
import {
	SERVER_KINDS, type CapacityDecision, type KindCapacity, type ScaleRequest, type ZoneCapacity,
} from './model.js';

/** Minimum time between two changes for a service in a data centre, milliseconds. */
const CHANGE_INTERVAL_MS = 3000;
/** Time for a request to show in the announcements, in addition to the start of a server, milliseconds. */
const EFFECT_MARGIN_MS = 10_000;
/** Time for which a kind that is not available is not requested, milliseconds. */
const UNAVAILABLE_PAUSE_MS = 15_000;
/** Time for which no spot servers are requested in a data centre that reclaims them, milliseconds. */
const RECLAIM_PAUSE_MS = 60_000;
/** Pauses between attempts of a call without a result: the first one and the longest, milliseconds. */
const MIN_RETRY_MS = 500;
const MAX_RETRY_MS = 8000;
/** Servers that appeared without a request may be starting, with others to follow, for this long, milliseconds. */
const SETTLE_MS = 5000;

/** Spot servers of a data centre that reclaims them. */
const LOST = {
	present: 0, serving: 0, expected: 0, prefill: 0, decode: 0, maxIncrease: 0, canShrink: false,
} as const;

const STATUS = {
	unavailable: 409, tooMany: 429, clientError: 400, serverError: 500,
} as const;

type PendingRequest = ScaleRequest & {
	/** Expected number before the request. */
	readonly from: number;
	readonly untilMs: number;
};

type Subject = {
	/** The last request that succeeded, until the announcements agree with it. */
	accepted?: PendingRequest | undefined;
	/** No servers are requested until then. */
	unavailableUntilMs: number;
	/** How many servers are requested at once; halved while that many are not available. */
	maxIncrease: number;
	present: number;
	/** No servers are removed until then. */
	keepUntilMs: number;
	removedMs: number;
	removed: number;
};

/** A call that has no definite result yet. */
export type OpenCall = ScaleRequest & {
	readonly from: number;
	attempts: number;
	dueMs: number;
	isSending: boolean;
};

type ServiceState = {
	total: number | undefined;
	increasedMs: number;
	decreasedMs: number;
};

/** The result of a call: whether the number is accepted, not available, or the call is repeated. */
export const CALL_RESULTS = {
	accepted: 'accepted', unavailable: 'unavailable', rejected: 'rejected', retried: 'retried',
} as const;
export type CallResult = keyof typeof CALL_RESULTS;

/** The requests of one leader. */
export class ScaleSubjects {
	readonly #subjects = new Map<string, Subject>();
	/** Open calls by service and data centre. */
	readonly #calls = new Map<string, OpenCall>();
	readonly #changedMs = new Map<string, number>();
	readonly #services = new Map<string, ServiceState>();
	readonly #startedMs: number;

	/** @param nowMs - When the host became the leader. */
	constructor(nowMs: number) {
		this.#startedMs = nowMs;
	}

	/** Combines the servers of a service that announce themselves with the requests that have not taken effect. */
	describeZones(service: string, zones: ReadonlyMap<string, ZoneCounts>, nowMs: number): ZoneCapacity[] {
		return [...zones].map(([zone, counts]) => {
			const reclaimed = this.#recordReclaim({service, zone}, counts, nowMs);
			const key = formatKey(service, zone);
			const spot = this.#describeKind({service, zone, kind: SERVER_KINDS.spot}, counts.spot, nowMs);
			return {
				zone,
				onDemand: this.#describeKind({service, zone, kind: SERVER_KINDS.onDemand}, counts.onDemand, nowMs),
				// All spot servers of a data centre are reclaimed together, but their announcements come one after the other.
				spot: reclaimed > 0 ? {...spot, ...LOST} : spot,
				reclaimed: reclaimed > 0 ? reclaimed + spot.present : 0,
				isChangeable: !this.#isBlocked(key) && nowMs - (this.#changedMs.get(key) ?? Number.NEGATIVE_INFINITY) >= CHANGE_INTERVAL_MS,
			};
		});
	}

	/** Returns what the next decision needs to know about the former ones. */
	describeService(service: string, nowMs: number): {previousTotal: number | undefined; sinceIncreaseMs: number; sinceDecreaseMs: number} {
		const state = this.#services.get(service);
		return {
			previousTotal: state?.total, sinceIncreaseMs: nowMs - (state?.increasedMs ?? this.#startedMs), sinceDecreaseMs: nowMs - (state?.decreasedMs ?? Number.NEGATIVE_INFINITY),
		};
	}

	/** Opens the calls of a decision. */
	apply(service: string, decision: CapacityDecision, nowMs: number): void {
		const isDecrease = decision.changes.some(({from, desired}) => desired < from);
		const state = this.#services.get(service);
		this.#services.set(service, {
			total: decision.total,
			increasedMs: decision.isIncrease ? nowMs : state?.increasedMs ?? this.#startedMs,
			decreasedMs: isDecrease ? nowMs : state?.decreasedMs ?? Number.NEGATIVE_INFINITY,
		});
		for (const change of decision.changes) {
			const key = formatKey(service, change.zone);
			this.#changedMs.set(key, nowMs);
			this.#calls.set(key, {
				...change, service, attempts: 0, dueMs: nowMs, isSending: false,
			});
		}
	}

	/** Takes the calls that are due, up to a number; each result must be recorded. */
	takeDueCalls(nowMs: number, maxCount: number): OpenCall[] {
		const due = [...this.#calls.values()].filter(({isSending, dueMs}) => !isSending && dueMs <= nowMs).slice(0, Math.max(0, maxCount));
		for (const call of due) {
			call.isSending = true;
			call.attempts++;
		}

		return due;
	}

	/**
	 * Records the status of a call's response.
	 *
	 * @param status - Undefined without a response.
	 */
	recordResult(call: OpenCall, status: number | undefined, bootMs: number, nowMs: number): CallResult {
		call.isSending = false;
		const subject = this.#getSubject(call);
		if (status === undefined || status === STATUS.tooMany || status >= STATUS.serverError) {
			// The call may have taken effect, and the same number does no harm then.
			call.dueMs = nowMs + Math.min(MAX_RETRY_MS, MIN_RETRY_MS * (2 ** (call.attempts - 1)));
			return CALL_RESULTS.retried;
		}

		const key = formatKey(call.service, call.zone);
		if (this.#calls.get(key) === call) {
			this.#calls.delete(key);
			this.#changedMs.set(key, nowMs);
		}

		if (status >= STATUS.clientError && call.desired < call.from) {
			subject.keepUntilMs = nowMs + UNAVAILABLE_PAUSE_MS;
			return CALL_RESULTS.rejected;
		}

		if (status >= STATUS.clientError) {
			subject.unavailableUntilMs = nowMs + UNAVAILABLE_PAUSE_MS;
			subject.maxIncrease = Math.max(1, Math.floor((call.desired - call.from) / 2));
			return status === STATUS.unavailable ? CALL_RESULTS.unavailable : CALL_RESULTS.rejected;
		}

		subject.maxIncrease = Number.POSITIVE_INFINITY;
		subject.accepted = {
			service: call.service, zone: call.zone, kind: call.kind, desired: call.desired, from: call.from, untilMs: nowMs + bootMs + EFFECT_MARGIN_MS,
		};
		if (call.desired < call.from) {
			subject.removedMs = nowMs;
			subject.removed = call.from - call.desired;
		}

		return CALL_RESULTS.accepted;
	}

	/** Open calls that wait for a result. */
	get openCount(): number {
		return this.#calls.size;
	}

	/** A removal without a result gives way to another decision once its next attempt is due; an addition is repeated until it has one. */
	#isBlocked(key: string): boolean {
		const call = this.#calls.get(key);
		return call !== undefined && (call.isSending || call.desired >= call.from || call.attempts === 0);
	}

	#describeKind(request: Omit<ScaleRequest, 'desired'>, counts: ServerCounts, nowMs: number): KindCapacity {
		const subject = this.#getSubject(request);
		const expected = this.#updateExpected(subject, request, counts.present, nowMs);
		return {
			present: counts.present,
			serving: counts.serving,
			expected,
			prefill: counts.prefill,
			decode: counts.decode,
			maxIncrease: nowMs < subject.unavailableUntilMs ? 0 : subject.maxIncrease,
			canShrink: nowMs >= subject.keepUntilMs && !this.#calls.has(formatKey(request.service, request.zone)),
		};
	}

	#updateExpected(subject: Subject, {service, zone, kind}: Omit<ScaleRequest, 'desired'>, present: number, nowMs: number): number {
		const {accepted} = subject;
		const isRequested = accepted !== undefined && present <= accepted.desired;
		if (present > subject.present && !isRequested) {
			subject.keepUntilMs = Math.max(subject.keepUntilMs, nowMs + SETTLE_MS);
		}

		subject.present = present;
		const call = this.#calls.get(formatKey(service, zone));
		if (call?.kind === kind) {
			// Without a result the call may have taken effect: servers that it removes do not count any more, servers that it adds are coming.
			return call.desired < call.from ? Math.min(present, call.desired) : Math.max(present, call.desired);
		}

		if (!accepted) {
			return present;
		}

		const isDone = accepted.desired >= accepted.from ? present >= accepted.desired : present <= accepted.desired;
		if (!isDone && nowMs < accepted.untilMs) {
			return accepted.desired;
		}

		subject.accepted = undefined;
		if (!isDone && accepted.desired > accepted.from) {
			// The servers have not come, so others are requested instead.
			subject.unavailableUntilMs = nowMs + UNAVAILABLE_PAUSE_MS;
		}

		return present;
	}

	/** Records that spot servers are being reclaimed, and returns their number. Those that this host has removed do not count. */
	#recordReclaim({service, zone}: {readonly service: string; readonly zone: string}, {reclaimed}: ZoneCounts, nowMs: number): number {
		const subject = this.#getSubject({service, zone, kind: SERVER_KINDS.spot});
		const removed = nowMs - subject.removedMs < EFFECT_MARGIN_MS * 2 ? subject.removed : 0;
		if (reclaimed <= removed) {
			return 0;
		}

		subject.unavailableUntilMs = Math.max(subject.unavailableUntilMs, nowMs + RECLAIM_PAUSE_MS);
		subject.accepted = undefined;
		const key = formatKey(service, zone);
		const call = this.#calls.get(key);
		if (call?.kind === SERVER_KINDS.spot && !call.isSending) {
			this.#calls.delete(key);
		}

		return reclaimed - removed;
	}

	#getSubject({service, zone, kind}: Omit<ScaleRequest, 'desired'>): Subject {
		const key = `${formatKey(service, zone)} ${kind}`;
		const known = this.#subjects.get(key);
		if (known) {
			return known;
		}

		const subject: Subject = {
			unavailableUntilMs: Number.NEGATIVE_INFINITY, maxIncrease: Number.POSITIVE_INFINITY, present: 0, keepUntilMs: Number.NEGATIVE_INFINITY, removedMs: Number.NEGATIVE_INFINITY, removed: 0,
		};
		this.#subjects.set(key, subject);
		return subject;
	}
}

function formatKey(service: string, zone: string): string {
	return JSON.stringify([service, zone]);
}

