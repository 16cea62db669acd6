/**
 * The duties of a control host at an external service: collects and reports usage, and makes the calls of other duties.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import * as Either from 'fp-ts/lib/Either.js';
import type {Clock} from '../base/clock.js';
import type {Logger} from '../base/logger.js';
import {createProblem, type Problem} from '../base/problem.js';
import type {ControlService} from '../control/service.js';
import type {UsageRecord} from '../control/usage.js';
import type {Command, UsageCounts} from '../generated/types.js';
import type {Connection} from '../wire/connection.js';
import {LeaderDutyCaller, type DutyTransport} from './caller.js';
import {UsageCollector, type ClockReading} from './collector.js';
import type {DutyMetrics} from './metrics.js';
import {ReportPlanner, type ReportEffect} from './planner.js';

/** What the settings of a deployment name as duties. */
export const DUTIES = {usage: 'usage', scaling: 'scaling'} as const;

export type Duty = keyof typeof DUTIES;

/** The duties of a deployment, and the external service that they are duties at. */
export type DutySettings = {
	readonly duties: readonly Duty[];
	/** Length of the windows of usage reports, milliseconds. */
	readonly windowMs: number;
	/** Calls a second that the external service accepts from all hosts together. */
	readonly callsPerSecond: number;
	readonly transport: DutyTransport;
	readonly metrics: DutyMetrics;
};

export type ControlDutiesOptions = DutySettings & {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly service: Pick<ControlService, 'readLeaderLease' | 'propose' | 'state'>;
	/** Time from the election of a leader to its first call, milliseconds. */
	readonly takeoverMs: number;
};

const TICK_MS = 100;
/** Largest counts of one window, uncompressed: 5,000 teams with long names. */
const MAX_COUNTS_BYTES = 4 * 1024 * 1024;

/** Runs the duties of one control host. Its creator must close it. */
export class ControlDuties {
	/** Makes calls for all duties within the common rate limit. */
	readonly caller: LeaderDutyCaller;
	readonly #options: ControlDutiesOptions;
	readonly #collector: UsageCollector;
	readonly #planner: ReportPlanner;
	readonly #timer: NodeJS.Timeout;

	constructor(options: ControlDutiesOptions) {
		this.#options = options;
		const {clock, logger, metrics, transport, service, takeoverMs, callsPerSecond, windowMs} = options;
		this.caller = new LeaderDutyCaller({
			clock, logger, metrics, transport, takeoverMs, callsPerSecond, readLeaderLease: () => service.readLeaderLease(),
		});
		this.#collector = new UsageCollector(windowMs);
		this.#planner = new ReportPlanner(windowMs);
		const reportsUsage = options.duties.includes(DUTIES.usage);
		this.#timer = setInterval(() => {
			metrics.isHolder.set(this.caller.isHolder ? 1 : 0);
			if (reportsUsage) {
				this.#tick();
			}
		}, TICK_MS);
	}

	/** Merges the counts of an entry host and acknowledges them. */
	receive(message: UsageCounts, connection: Pick<Connection, 'send'>): void {
		const {metrics, service} = this.#options;
		const clock = this.#readClock();
		metrics.droppedCounts.inc(this.#collector.merge(message, clock, window => service.state.usage.isClosed(window)));
		connection.send({type: 'usageAck', sequence: message.sequence, at: this.#collector.estimateWallMs(clock)});
	}

	close(): void {
		clearInterval(this.#timer);
	}

	#tick(): void {
		const {service, metrics} = this.#options;
		const {usage} = service.state;
		const clock = this.#readClock();
		const lease = service.readLeaderLease();
		const records = usage.listRecords();
		const {isHolder} = this.caller;
		metrics.openReports.set(records.filter(({isAccepted}) => !isAccepted).length);
		const effects = this.#planner.tick({
			nowMs: clock.nowMs,
			wallMs: this.#collector.estimateWallMs(clock),
			isLeader: lease !== undefined && clock.nowMs < lease.leaseUntilMs,
			isHolder,
			records,
			firstCollected: this.#collector.firstWindow,
			isClosed: window => usage.isClosed(window),
			isComplete: window => this.#collector.isComplete(window, clock.nowMs),
		});
		for (const effect of effects) {
			void this.#runEffect(effect);
		}
	}

	async #runEffect(effect: ReportEffect): Promise<void> {
		switch (effect.type) {
			case 'commit': {
				await this.#commit(effect.window);
				break;
			}

			case 'send': {
				await this.#send(effect.record);
				break;
			}

			case 'settle': {
				await this.#propose({type: 'settle-usage', at: this.#readWallMs(), window: effect.window});
				break;
			}
		}
	}

	/** Fixes the counts of a window, unless another leader has done so meanwhile. */
	async #commit(window: number): Promise<void> {
		const counts = this.#collector.sum(window);
		// Object.fromEntries and JSON take any name of a team as an own property.
		const text = JSON.stringify(Object.fromEntries(counts));
		const isCommitted = await this.#propose({
			type: 'record-usage', at: this.#readWallMs(), window, counts: new Uint8Array(deflateRawSync(text)),
		});
		if (isCommitted) {
			const starts = counts.reduce((sum, [, count]) => sum + count, 0);
			this.#options.metrics.reports.inc({outcome: 'committed'});
			this.#options.logger.info(`Committed the usage counts of window ${window}.`, {window, teams: counts.length, starts});
		}
	}

	async #send({window, counts}: UsageRecord): Promise<void> {
		const {transport, metrics, logger, clock} = this.#options;
		const parsed = parseCounts(counts);
		if (Either.isLeft(parsed)) {
			logger.error(`The counts of window ${window} cannot be read: ${parsed.left.text}`, {window});
			this.#planner.handleOutcome(window, {type: 'no-response'}, clock.monotonicMs());
			return;
		}

		const {path, body} = transport.createUsageCall(window, parsed.right);
		const outcome = await this.caller.tryCall(path, body);
		this.#planner.handleOutcome(window, outcome, clock.monotonicMs());
		if (outcome.type !== 'response') {
			return;
		}

		const {status} = outcome;
		const isAccepted = status >= 200 && status < 300;
		const isLate = this.#planner.isLate(window, this.#collector.estimateWallMs(this.#readClock()));
		const acceptance = isLate ? 'late' : 'accepted';
		metrics.reports.inc({outcome: isAccepted ? acceptance : 'refused'});
		logger.info(`Report of window ${window} is ${isAccepted ? acceptance : 'refused'}.`, {window, status});
	}

	async #propose(command: Command): Promise<boolean> {
		const result = await this.#options.service.propose(command);
		if (Either.isLeft(result)) {
			this.#options.logger.warn(`Command ${command.type} is not committed: ${result.left.text}`, {code: result.left.code});
			return false;
		}

		return (result.right.outcome as {readonly type?: string} | undefined)?.type === 'accepted';
	}

	#readClock(): ClockReading {
		const {clock} = this.#options;
		return {nowMs: clock.monotonicMs(), wallMs: clock.wallMs()};
	}

	#readWallMs(): number {
		return Math.round(this.#options.clock.wallMs());
	}
}

/** Reads committed counts. Any host may propose commands, so they are not trusted. */
function parseCounts(counts: Uint8Array): Either.Either<Problem, unknown> {
	return Either.tryCatch(
		() => JSON.parse(Buffer.from(inflateRawSync(counts, {maxOutputLength: MAX_COUNTS_BYTES})).toString('utf8')) as unknown,
		error => createProblem('badRequest', String(error)),
	);
}
