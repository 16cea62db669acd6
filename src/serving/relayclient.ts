/**
 * Sends requests to backend servers through other entry hosts.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {Clock} from '../base/clock.js';
import type {Logger} from '../base/logger.js';
import type {Message, RelayControl, RelayFailure} from '../generated/types.js';
import {connect, type Address, type Connection} from '../wire/connection.js';
import {isFinalStatus} from '../wire/status.js';
import {joinRepeatedHeaders} from './headers.js';
import type {ServingMetrics} from './metrics.js';
import type {
	AttemptFailure, Exchange, ResponseHandler, UpstreamRequest,
} from './upstream.js';

export type RelayClientOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Pick<ServingMetrics, 'relayed'>;
};

/** An entry host that takes requests of this one, and the requests that it has. */
type Relay = {
	readonly key: string;
	readonly address: Address;
	readonly exchanges: Map<number, RelayedExchange>;
	connection: Connection | undefined;
	/** Monotonic time before which no request is sent to it, milliseconds. */
	avoidedUntilMs: number;
};

/** What an exchange asks of the client. */
type RelayLink = {
	/** Chooses a relay that the exchange has not tried and sends the request to it; returns its address, or undefined without one. */
	dispatch(exchange: RelayedExchange): string | undefined;
	/** Records that the exchange's relay does not respond. Returns whether the request may have reached it. */
	avoid(exchange: RelayedExchange): boolean;
	release(exchange: RelayedExchange): void;
};

/** A relay that has not accepted a request within this time counts as hung or overloaded. */
const ACCEPT_TIMEOUT_MS = 250;
/** How long a relay that failed or declined is not used, milliseconds. */
const RELAY_BACKOFF_MS = 700;

/** Connections of one host to its relays. Its creator must close it. */
export class RelayClient {
	readonly #options: RelayClientOptions;
	readonly #relays = new Map<string, Relay>();
	#current: readonly string[] = [];
	#lastId = 0;
	readonly #link: RelayLink = {
		dispatch: exchange => this.#dispatch(exchange),
		avoid: exchange => this.#avoid(exchange),
		release: exchange => {
			exchange.relay?.exchanges.delete(exchange.id);
			this.#closeUnused();
		},
	};

	constructor(options: RelayClientOptions) {
		this.#options = options;
	}

	/** Whether another host may take a request. */
	get hasRelays(): boolean {
		return this.#current.length > 0;
	}

	/** Replaces the relays for further requests. */
	update(addresses: readonly Address[]): void {
		this.#current = addresses.map(address => {
			const key = `${address.address}:${address.port}`;
			if (!this.#relays.has(key)) {
				this.#relays.set(key, {
					key, address, exchanges: new Map(), connection: undefined, avoidedUntilMs: 0,
				});
			}

			return key;
		});
		this.#closeUnused();
	}

	/** Sends a request through a relay; another one takes it if the first declines. */
	send(request: UpstreamRequest, handler: ResponseHandler): Exchange {
		const exchange = new RelayedExchange(++this.#lastId, request, handler, this.#link);
		this.#options.metrics.relayed.inc({direction: 'sent'});
		exchange.start();
		return exchange;
	}

	/** Forgets all relays; their connections are closed once the requests on them have ended. */
	clear(): void {
		this.update([]);
	}

	close(): void {
		for (const {connection} of this.#relays.values()) {
			connection?.close();
		}
	}

	#closeUnused(): void {
		for (const [key, {connection, exchanges}] of this.#relays) {
			if (exchanges.size === 0 && !this.#current.includes(key)) {
				this.#relays.delete(key);
				connection?.close();
			}
		}
	}

	#dispatch(exchange: RelayedExchange): string | undefined {
		const nowMs = this.#options.clock.monotonicMs();
		let chosen: Relay | undefined;
		for (const key of this.#current) {
			const relay = this.#relays.get(key);
			const isUsable = relay && !exchange.triedRelays.has(key) && relay.avoidedUntilMs <= nowMs;
			if (isUsable && (!chosen || relay.exchanges.size < chosen.exchanges.size)) {
				chosen = relay;
			}
		}

		if (!chosen) {
			return undefined;
		}

		exchange.relay = chosen;
		exchange.connection = this.#connect(chosen);
		chosen.exchanges.set(exchange.id, exchange);
		exchange.connection.send(exchange.createMessage());
		return chosen.key;
	}

	#connect(relay: Relay): Connection {
		if (relay.connection?.isOpen) {
			return relay.connection;
		}

		const connection = connect(relay.address, message => {
			receive(relay, message);
		});
		relay.connection = connection;
		connection.onClose(() => {
			this.#handleClose(relay, connection);
		});
		return connection;
	}

	#handleClose(relay: Relay, connection: Connection): void {
		const {wasEstablished} = connection;
		const exchanges = [...relay.exchanges.values()].filter(exchange => exchange.connection === connection);
		if (exchanges.length > 0) {
			this.#options.logger.warn(`Connection to relay ${relay.key} closed with ${exchanges.length} requests in progress.`, {relay: relay.key, wasEstablished});
			relay.avoidedUntilMs = this.#options.clock.monotonicMs() + RELAY_BACKOFF_MS;
		}

		for (const exchange of exchanges) {
			exchange.fail(wasEstablished ? 'broken' : 'declined', `The connection to relay ${relay.key} closed.`);
		}
	}

	#avoid(exchange: RelayedExchange): boolean {
		const {relay, connection} = exchange;
		if (!relay || !connection) {
			return false;
		}

		relay.avoidedUntilMs = this.#options.clock.monotonicMs() + RELAY_BACKOFF_MS;
		this.#options.logger.warn(`Relay ${relay.key} does not respond.`, {relay: relay.key, server: exchange.request.server, request: exchange.request.request});
		if (!connection.wasEstablished) {
			connection.close();
		}

		return connection.wasEstablished;
	}
}

/** One request that is sent through a relay. */
class RelayedExchange implements Exchange {
	readonly id: number;
	readonly request: UpstreamRequest;
	readonly triedRelays = new Set<string>();
	relay: Relay | undefined;
	connection: Connection | undefined;
	readonly #handler: ResponseHandler;
	readonly #link: RelayLink;
	#timer: NodeJS.Timeout | undefined;
	#isEnded = false;

	constructor(id: number, request: UpstreamRequest, handler: ResponseHandler, link: RelayLink) {
		this.id = id;
		this.request = request;
		this.#handler = handler;
		this.#link = link;
	}

	/** Sends the request to a relay. Without one, the failure is reported asynchronously, after the caller has the exchange. */
	start(): void {
		const relay = this.#link.dispatch(this);
		if (relay === undefined) {
			setImmediate(() => {
				this.#finish('unsent', 'No other host takes requests for servers.');
			});
			return;
		}

		this.triedRelays.add(relay);
		this.request.onRelay?.(relay);
		this.#timer = setTimeout(() => {
			// A hung relay may still send the request later.
			const mayHaveBeenSent = this.#link.avoid(this);
			if (mayHaveBeenSent) {
				this.#control('cancel');
				this.#finish('broken', `Relay ${relay} did not respond.`);
			}
		}, ACCEPT_TIMEOUT_MS);
	}

	createMessage(): Message {
		const {request, server, service, method, path, headers, body} = this.request;
		return {
			type: 'relayRequest', id: this.id, request, server, service, method, path, headers: [...headers], ...(body && {body}),
		};
	}

	accept(): void {
		clearTimeout(this.#timer);
	}

	receiveHead(status: number, headers: readonly string[]): void {
		if (this.#isEnded) {
			return;
		}

		if (isFinalStatus(status)) {
			// The relay does not tell what its connection to the server has carried before.
			this.#handler.onHead(status, parseHeaders(headers), false);
			return;
		}

		// Relays of older versions pass on what their server sends.
		this.#control('cancel');
		this.#finish('broken', `The server sent a response with the invalid status ${status}.`);
	}

	receiveData(bytes: Uint8Array): void {
		if (!this.#isEnded) {
			this.#handler.onData(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength));
		}
	}

	receiveEnd(): void {
		if (this.#end()) {
			this.#handler.onEnd();
		}
	}

	/** Ends the exchange; one that was declined is sent to another relay first. */
	fail(failure: RelayFailure['failure'], reason: string): void {
		if (failure !== 'declined') {
			this.#finish(failure, reason);
			return;
		}

		clearTimeout(this.#timer);
		this.#link.release(this);
		if (!this.#isEnded) {
			this.start();
		}
	}

	cancel(): boolean {
		if (!this.#end()) {
			return false;
		}

		this.#control('cancel');
		return true;
	}

	pause(): void {
		this.#control('pause');
	}

	resume(): void {
		this.#control('resume');
	}

	#control(action: RelayControl['action']): void {
		this.connection?.send({type: 'relayControl', id: this.id, action});
	}

	#finish(failure: AttemptFailure, reason: string): void {
		if (this.#end()) {
			this.#handler.onFailure(failure, new Error(reason));
		}
	}

	#end(): boolean {
		clearTimeout(this.#timer);
		this.#link.release(this);
		const isFirst = !this.#isEnded;
		this.#isEnded = true;
		return isFirst;
	}
}

function receive({exchanges}: Relay, message: Message): void {
	switch (message.type) {
		case 'relayAccepted': {
			exchanges.get(message.id)?.accept();
			break;
		}

		case 'relayHead': {
			exchanges.get(message.id)?.receiveHead(message.status, message.headers);
			break;
		}

		case 'relayData': {
			exchanges.get(message.id)?.receiveData(message.bytes);
			break;
		}

		case 'relayEnd': {
			exchanges.get(message.id)?.receiveEnd();
			break;
		}

		case 'relayFailure': {
			exchanges.get(message.id)?.fail(message.failure, message.reason);
			break;
		}

		default:
	}
}

/** Converts alternating names and values to headers. */
function parseHeaders(pairs: readonly string[]): IncomingHttpHeaders {
	const headers: Record<string, string | string[]> = {};
	for (let index = 0; index + 1 < pairs.length; index += 2) {
		const name = pairs[index]!;
		const value = pairs[index + 1]!;
		const known = headers[name];
		headers[name] = known === undefined ? value : [known, value].flat();
	}

	return joinRepeatedHeaders(headers);
}
