/**
 * Sends requests to backend servers: over this host's own network, or through other entry hosts while that reaches no server.
 *
 * @module
 */
import {sleep, type Clock} from '../base/clock.js';
import type {Logger} from '../base/logger.js';
import type {Random} from '../base/random.js';
import type {Announcement} from '../generated/types.js';
import {selectProbes, ServerReachability, SILENCE_MS} from '../routing/reachability.js';
import type {Address} from '../wire/connection.js';
import type {ServerConnector} from '../wire/connector.js';
import {probe, PROBE_RESULTS} from '../wire/probe.js';
import type {ServingMetrics} from './metrics.js';
import type {RelayClient} from './relayclient.js';
import {
	Upstream, type Exchange, type ResponseHandler, type Transport, type UpstreamRequest,
} from './upstream.js';

export type ServerTransportOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly random: Random;
	readonly metrics: Pick<ServingMetrics, 'serversReachable'>;
	readonly connect: ServerConnector;
	readonly relays: RelayClient;
	/** Lists the servers that are announced as up. */
	readonly listServers: () => readonly Announcement[];
	/** Called when the servers have become unreachable or reachable again. */
	readonly onChange: () => void;
};

/** A request that was sent over this host's own network. */
type DirectRequest = {
	readonly startedMs: number;
	readonly onSilence: (() => void) | undefined;
	/** When the request was sent or last received something, milliseconds of the monotonic clock. */
	activeMs: number;
};

const TICK_MS = 100;
/** More servers are probed if the first one has not accepted within this time. */
const PROBE_STAGGER_MS = 150;
/** With a single server, one that has crashed cannot be told from a network that is cut. */
const MIN_SERVERS = 2;

/** The transport of an entry host. Its creator must close it. */
export class ServerTransport implements Transport {
	readonly #options: ServerTransportOptions;
	readonly #upstream: Upstream;
	readonly #reachability = new ServerReachability();
	readonly #inFlight = new Set<DirectRequest>();
	/** When each server last sent something, milliseconds of the monotonic clock. */
	readonly #contacts = new Map<string, number>();
	readonly #timer: NodeJS.Timeout;
	#check: Promise<void> | undefined;

	constructor(options: ServerTransportOptions) {
		this.#options = options;
		this.#upstream = new Upstream(options.connect, {
			onConnected: () => {
				this.#reachability.recordConnection(this.#now());
			},
			onConnectFailed: ({address, port}) => {
				this.#reachability.recordFailedConnection(`${address}:${port}`);
			},
		});
		options.metrics.serversReachable.set(1);
		this.#timer = setInterval(() => {
			this.#tick();
		}, TICK_MS);
	}

	/** Whether this host reaches no server over its own network. */
	get isCutOff(): boolean {
		return this.#reachability.isCutOff;
	}

	/** Whether requests are sent through other hosts because this one reaches no server. */
	get usesRelays(): boolean {
		return this.isCutOff && this.#options.relays.hasRelays;
	}

	send(request: UpstreamRequest, handler: ResponseHandler): Exchange {
		return this.usesRelays ? this.#options.relays.send(request, handler) : this.sendDirectly(request, handler);
	}

	/** Sends a request over this host's own network, also while that seems to reach no server. */
	sendDirectly(request: UpstreamRequest, handler: ResponseHandler): Exchange {
		const nowMs = this.#now();
		const direct: DirectRequest = {startedMs: nowMs, activeMs: nowMs, onSilence: request.onSilence};
		this.#inFlight.add(direct);
		const recordContact = () => {
			direct.activeMs = this.#now();
			this.#reachability.recordContact(direct.activeMs);
			this.#contacts.set(request.server, direct.activeMs);
		};

		const exchange = this.#upstream.send(request, {
			onHead(status, headers, isFirst) {
				recordContact();
				handler.onHead(status, headers, isFirst);
			},
			onData(chunk) {
				recordContact();
				handler.onData(chunk);
			},
			onEnd: () => {
				this.#inFlight.delete(direct);
				handler.onEnd();
			},
			onFailure: (failure, error) => {
				this.#inFlight.delete(direct);
				handler.onFailure(failure, error);
			},
		});
		return {
			cancel: () => {
				this.#inFlight.delete(direct);
				return exchange.cancel();
			},
			pause() {
				exchange.pause();
			},
			resume() {
				exchange.resume();
			},
		};
	}

	hasIdleConnection(address: Address): boolean {
		return !this.isCutOff && this.#upstream.hasIdleConnection(address);
	}

	/** Checks now whether any server can be reached over this host's own network. */
	async canReachServers(): Promise<boolean> {
		await this.#startCheck();
		return !this.isCutOff;
	}

	close(): void {
		clearInterval(this.#timer);
		this.#upstream.close();
	}

	#tick(): void {
		const nowMs = this.#now();
		const [oldest] = this.#inFlight;
		if (this.#reachability.needsCheck(nowMs, oldest?.startedMs)) {
			void this.#startCheck();
		}

		if (this.#reachability.areConnectionsSilent) {
			this.#reportSilence(nowMs);
		}
	}

	/** Reports to the requests in progress that their connections are silent and the network seems to be cut. */
	#reportSilence(nowMs: number): void {
		for (const {activeMs, onSilence} of this.#inFlight) {
			if (nowMs - activeMs >= SILENCE_MS) {
				onSilence?.();
			}
		}
	}

	async #startCheck(): Promise<void> {
		this.#check ??= this.#runCheck().finally(() => {
			this.#check = undefined;
		});
		await this.#check;
	}

	async #runCheck(): Promise<void> {
		const {logger, metrics, relays, onChange} = this.#options;
		const probed = this.#selectServers();
		// Without a server to probe there is no news.
		const hasReachedServer = probed.length === 0 ? !this.isCutOff : await this.#probeAny(probed);
		if (!this.#reachability.recordCheck(hasReachedServer, this.#now())) {
			return;
		}

		const servers = probed.map(({server}) => server);
		metrics.serversReachable.set(hasReachedServer ? 1 : 0);
		if (hasReachedServer) {
			logger.info('This host reaches servers over its own network again.', {servers});
			relays.clear();
		} else {
			logger.warn('This host reaches no server over its own network; it sends requests through other hosts.', {servers, inFlight: this.#inFlight.size});
		}

		onChange();
	}

	#selectServers(): Announcement[] {
		const servers = this.#options.listServers();
		if (servers.length < (this.isCutOff ? 1 : MIN_SERVERS)) {
			return [];
		}

		for (const server of this.#contacts.keys()) {
			if (!servers.some(announced => announced.server === server)) {
				this.#contacts.delete(server);
			}
		}

		if (this.isCutOff) {
			return [servers[Math.floor(this.#options.random() * servers.length)]!];
		}

		const selected = selectProbes(servers.map(({server, services = []}) => ({server, services, contactMs: this.#contacts.get(server)})));
		return selected.map(id => servers.find(({server}) => server === id)!);
	}

	/** Whether any of the servers accepts a connection. The first one is given some time before the others are tried. */
	async #probeAny([first, ...others]: readonly Announcement[]): Promise<boolean> {
		const isAccepted = async (server: Announcement) => await probe(server, this.#options.connect) === PROBE_RESULTS.accepted;
		const firstResult = isAccepted(first!);
		if (others.length === 0 || await Promise.race([firstResult, sleep(PROBE_STAGGER_MS)]) === true) {
			return firstResult;
		}

		const results = await Promise.all([firstResult, ...others.map(async server => isAccepted(server))]);
		return results.includes(true);
	}

	#now(): number {
		return this.#options.clock.monotonicMs();
	}
}
