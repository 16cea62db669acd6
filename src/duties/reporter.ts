/**
 * Sends the counts of an entry host to all control hosts, on connections of their own.
 *
 * Counts are cumulative and sent while their window lasts, so that little is lost if this host is killed. Every control host gets all
 * of them, so that each can lead next.
 *
 * @module
 */
import type {Clock} from '../base/clock.js';
import type {Logger} from '../base/logger.js';
import type {Message} from '../generated/types.js';
import {connect, type Address, type Connection} from '../wire/connection.js';
import type {ReferenceClock} from './reference.js';
import {findWindow, type StartCounter} from './starts.js';

export type UsageReporterOptions = {
	readonly host: string;
	/** Identifies this start of the process. */
	readonly incarnation: string;
	readonly windowMs: number;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly starts: StartCounter;
	/** Learns the time of the control hosts. */
	readonly reference: ReferenceClock;
	/** Lists the addresses of all known control hosts. */
	readonly listControls: () => readonly Address[];
};

/** Interval of reports, milliseconds: a host that is killed loses at most the starts of this time. */
const REPORT_INTERVAL_MS = 500;
/** Shortest time between two tries to connect, milliseconds. */
const RECONNECT_MS = 1000;
/** A connection without an acknowledgement for this long is replaced: its control host, or the network, has lost what was sent. */
const ACK_TIMEOUT_MS = 2000;
/** Number of control hosts, including those that were replaced. */
const MAX_LINKS = 16;

/** The connection to one control host. */
type Link = {
	connection: Connection | undefined;
	connectedMs: number;
	/** Revision of the counts that were sent last on the connection. */
	revision: number;
	/** Window of the last message: a control host must learn that a window has ended, also without further starts. */
	window: number;
	sequence: number;
	/** When the last message was sent, monotonic, milliseconds. */
	sentMs: number;
	/** Since when an acknowledgement is missing, monotonic; undefined if everything is acknowledged. */
	unacknowledgedSinceMs: number | undefined;
};

/** Reports the counts of an entry host. Its creator must close it. */
export class UsageReporter {
	readonly #options: UsageReporterOptions;
	readonly #links = new Map<string, Link>();
	readonly #timer: NodeJS.Timeout;

	constructor(options: UsageReporterOptions) {
		this.#options = options;
		this.#timer = setInterval(() => {
			this.report();
		}, REPORT_INTERVAL_MS);
	}

	/** Sends what has changed since the last report. */
	report(): void {
		const controls = this.#options.listControls().slice(0, MAX_LINKS);
		const keys = new Set(controls.map(control => formatKey(control)));
		for (const [key, {connection}] of this.#links) {
			if (!keys.has(key)) {
				connection?.close();
				this.#links.delete(key);
			}
		}

		for (const control of controls) {
			this.#reportTo(control);
		}
	}

	/** Sends the last counts and ends. */
	close(): void {
		clearInterval(this.#timer);
		this.report();
		for (const {connection} of this.#links.values()) {
			connection?.finish();
		}
	}

	#reportTo(control: Address): void {
		const {clock, windowMs, starts, host, incarnation} = this.#options;
		const key = formatKey(control);
		const link = this.#links.get(key) ?? {
			connection: undefined, connectedMs: Number.NEGATIVE_INFINITY, revision: 0, window: -1, sequence: 0, sentMs: 0, unacknowledgedSinceMs: undefined,
		};
		this.#links.set(key, link);
		const nowMs = clock.monotonicMs();
		if (nowMs - (link.unacknowledgedSinceMs ?? nowMs) > ACK_TIMEOUT_MS) {
			this.#options.logger.warn(`Control host ${key} does not acknowledge usage counts; connecting again.`, {control: key});
			link.connection?.close();
		}

		if (!link.connection?.isOpen && !this.#connect(control, link, nowMs)) {
			return;
		}

		const wallMs = clock.wallMs();
		const window = findWindow(starts.readMs(), windowMs);
		if (link.revision === starts.revision && link.window === window) {
			return;
		}

		const windows = starts.listChanges(link.revision);
		link.revision = starts.revision;
		link.window = window;
		link.sequence++;
		link.sentMs = nowMs;
		link.unacknowledgedSinceMs ??= nowMs;
		link.connection?.send({
			type: 'usageCounts', host, incarnation, sequence: link.sequence, at: wallMs, windows,
		});
	}

	/** Connects to a control host, to which everything is sent again. Returns false if it is too early for another try. */
	#connect(control: Address, link: Link, nowMs: number): boolean {
		if (nowMs - link.connectedMs < RECONNECT_MS) {
			return false;
		}

		const connection = connect(control, message => {
			if (link.connection === connection) {
				this.#handleReply(message, formatKey(control), link);
			}
		});
		link.connection = connection;
		link.connectedMs = nowMs;
		link.revision = 0;
		link.window = -1;
		link.unacknowledgedSinceMs = undefined;
		return true;
	}

	#handleReply(message: Message, control: string, link: Link): void {
		if (message.type !== 'usageAck') {
			return;
		}

		const nowMs = this.#options.clock.monotonicMs();
		const isLast = message.sequence === link.sequence;
		link.unacknowledgedSinceMs = isLast ? undefined : nowMs;
		if (isLast) {
			this.#options.reference.record(control, {atMs: message.at, sentMs: link.sentMs, receivedMs: nowMs});
		}
	}
}

function formatKey({address, port}: Address): string {
	return `${address}:${port}`;
}
