/**
 * Control hosts with duties on one hand-driven clock: their collectors, planners and callers, a replicated log and the external
 * service, without sockets or timers.
 *
 * @module
 */
import assert from 'node:assert/strict';
import {Registry} from 'prom-client';
import {createSilentLoggers} from '../src/base/logger.js';
import type {LeaderLease} from '../src/control/service.js';
import {UsageLedger} from '../src/control/usage.js';
import {LeaderDutyCaller, type DutyRequest} from '../src/duties/caller.js';
import {UsageCollector} from '../src/duties/collector.js';
import {createDutyMetrics} from '../src/duties/metrics.js';
import {ReportPlanner, type ReportEffect} from '../src/duties/planner.js';

export const WINDOW_MS = 5000;
export const TAKEOVER_MS = 4000;
export const CALLS_PER_SECOND = 2;
const LEASE_MS = 700;
const STEP_MS = 100;

export type Call = {
	readonly atMs: number;
	readonly host: string;
	readonly token: number;
	readonly window: number;
	readonly counts: string;
};

/** The call as the cluster's transport gets it: the counts are the text that was committed. */
type UsageBody = {
	readonly window: number;
	readonly counts: string;
};

class Host {
	readonly collector = new UsageCollector(WINDOW_MS);
	readonly planner = new ReportPlanner(WINDOW_MS);
	readonly caller: LeaderDutyCaller;
	lease: LeaderLease | undefined;
	isFrozen = false;
	/** Shift of this host's wall clock, milliseconds. */
	clockErrorMs = 0;

	constructor(readonly name: string, cluster: Cluster) {
		this.caller = new LeaderDutyCaller({
			clock: {monotonicMs: () => cluster.nowMs},
			logger: createSilentLoggers()('control'),
			metrics: createDutyMetrics(new Registry()),
			transport: {
				send: async request => cluster.deliver(this, request),
				createUsageCall: (window, counts) => ({path: '/usage', body: {window, counts}}),
			},
			readLeaderLease: () => this.lease,
			takeoverMs: TAKEOVER_MS,
			callsPerSecond: CALLS_PER_SECOND,
		});
	}
}

/** Control hosts, one of which leads. */
export class Cluster {
	nowMs = 0;
	readonly calls: Call[] = [];
	readonly accepted = new Map<number, Call>();
	readonly ledger = new UsageLedger();
	readonly hosts: Host[];
	/** How the service treats a call: a status, or undefined for no response. */
	treat: (call: Call) => number | undefined = () => 200;
	/** Time from the start of a call until it is written, and then until its response, milliseconds. */
	delaysMs: readonly [number, number] = [0, 0];
	/** Whether entries that a leader has proposed are committed. */
	commits = true;
	#term = 0;
	#index = 0;
	readonly #wakes: Array<{readonly atMs: number; readonly host: Host; readonly wake: () => void}> = [];

	constructor(names: readonly string[]) {
		this.hosts = names.map(name => new Host(name, this));
	}

	find(name: string): Host {
		const host = this.hosts.find(candidate => candidate.name === name);
		assert.ok(host);
		return host;
	}

	/** Elects a host once the lease of the leader before it has expired. Only the host itself notices at once. */
	elect(name: string): void {
		this.find(name).lease = {term: ++this.#term, electedMs: this.nowMs, leaseUntilMs: this.nowMs + LEASE_MS};
	}

	/** Gives the counts of an entry host to control hosts. */
	report(counts: Record<number, Record<string, number>>, names: readonly string[], host = 'h1', incarnation = 'x'): void {
		for (const name of names) {
			const target = this.find(name);
			target.collector.merge({
				type: 'usageCounts', host, incarnation, sequence: 1, at: this.nowMs, windows: Object.entries(counts).map(([window, teams]) => ({window: Number(window), teams: Object.keys(teams), counts: Object.values(teams)})),
			}, {nowMs: this.nowMs, wallMs: this.nowMs + target.clockErrorMs}, window => this.ledger.isClosed(window));
		}
	}

	/** Lets time pass. The leader with the highest term renews its lease unless it is frozen. */
	async run(durationMs: number, onStep: () => void = () => undefined): Promise<void> {
		for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
			this.nowMs += STEP_MS;
			onStep();
			for (const host of this.hosts) {
				if (host.lease?.term === this.#term && !host.isFrozen) {
					host.lease = {...host.lease, leaseUntilMs: this.nowMs + LEASE_MS};
				}
			}

			for (const [index, {atMs, host, wake}] of [...this.#wakes.entries()].toReversed()) {
				if (atMs <= this.nowMs && !host.isFrozen) {
					this.#wakes.splice(index, 1);
					wake();
				}
			}

			await settle();
			for (const host of this.hosts.filter(({isFrozen}) => !isFrozen)) {
				this.#tick(host);
			}

			await settle();
		}
	}

	/** Delivers a call of a host to the service. A frozen host neither writes it nor reads its response. */
	async deliver(host: Host, {body, token, mayWrite}: DutyRequest): Promise<number | undefined> {
		const [writeMs, responseMs] = this.delaysMs;
		await this.#pause(host, writeMs);
		if (!mayWrite()) {
			return undefined;
		}

		const call = {
			atMs: this.nowMs, host: host.name, token, ...(body as UsageBody),
		};
		this.calls.push(call);
		const status = this.treat(call);
		if (status === 200 && !this.accepted.has(call.window)) {
			this.accepted.set(call.window, call);
		}

		await this.#pause(host, responseMs);
		return status;
	}

	async #pause(host: Host, durationMs: number): Promise<void> {
		if (durationMs > 0) {
			await new Promise<void>(resolve => {
				this.#wakes.push({atMs: this.nowMs + durationMs, host, wake: resolve});
			});
		}
	}

	#tick(host: Host): void {
		const {nowMs, ledger} = this;
		const clock = {nowMs, wallMs: nowMs + host.clockErrorMs};
		const effects = host.planner.tick({
			nowMs,
			wallMs: host.collector.estimateWallMs(clock),
			isLeader: host.lease !== undefined && nowMs < host.lease.leaseUntilMs,
			isHolder: host.caller.isHolder,
			records: ledger.listRecords(),
			firstCollected: host.collector.firstWindow,
			isClosed: window => ledger.isClosed(window),
			isComplete: window => host.collector.isComplete(window, nowMs),
		});
		for (const effect of effects) {
			this.#runEffect(host, effect);
		}
	}

	#runEffect(host: Host, effect: ReportEffect): void {
		if (effect.type === 'send') {
			const {window, counts} = effect.record;
			void host.caller.tryCall('/usage', {window, counts: new TextDecoder().decode(counts)}).then(outcome => {
				host.planner.handleOutcome(window, outcome, this.nowMs);
			});
			return;
		}

		if (!this.commits || host.lease?.term !== this.#term) {
			return;
		}

		const {window} = effect;
		if (effect.type === 'commit') {
			const counts = new TextEncoder().encode(JSON.stringify(Object.fromEntries(host.collector.sum(window))));
			this.ledger.record({
				type: 'record-usage', at: 0, window, counts,
			}, ++this.#index);
		} else {
			this.ledger.settle({type: 'settle-usage', at: 0, window}, ++this.#index);
		}
	}
}

/** Checks the rules that hold at all times: one count for each window, tokens that never fall, and no holder that comes back soon. */
export function checkCalls(calls: readonly Call[]): void {
	const counts = new Map<number, string>();
	for (const [index, call] of calls.entries()) {
		assert.equal(call.counts, counts.get(call.window) ?? call.counts, `two counts for window ${call.window}`);
		counts.set(call.window, call.counts);
		const previous = calls[index - 1];
		if (!previous) {
			continue;
		}

		assert.ok(call.token >= previous.token, `token ${call.token} after ${previous.token}`);
		assert.ok(call.token !== previous.token || call.host === previous.host, `token ${call.token} of two hosts`);
		assert.ok(call.atMs - previous.atMs >= 1000 / CALLS_PER_SECOND, `calls at ${previous.atMs} and ${call.atMs}`);
		if (call.host !== previous.host) {
			const last = calls.slice(0, index).findLast(({host}) => host === call.host);
			assert.ok(!last || call.atMs - last.atMs > 3000, `${call.host} calls again after ${call.atMs - (last?.atMs ?? 0)} ms`);
		}
	}
}

async function settle(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}
