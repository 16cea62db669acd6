/**
 * Sends requests of other entry hosts, which cannot reach the backend servers, over this host's own network.
 *
 * A relay decides nothing about a request: retries, permits and placement stay with the host that has the caller. It sends
 * a request directly or not at all, so that requests cannot go round in circles.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {
	Message, RelayControl, RelayEnd, RelayFailure, RelayRequest,
} from '../generated/types.js';
import type {RouteTable} from '../routing/routes.js';
import type {Connection} from '../wire/connection.js';
import {limitConnections, type ServingContext} from './context.js';
import {observeResponse} from './statements.js';
import type {Exchange} from './upstream.js';

export type RelayServiceOptions = {
	readonly context: ServingContext;
	readonly getRouteTable: () => RouteTable | undefined;
};

type RelayedRequest = {
	readonly exchange: Exchange;
	readonly bodyBytes: number;
	/** Whether the other host wants no more of the response for now. */
	isPaused: boolean;
};

/** Requests of other hosts that one host has at a time; the others decline. They leave room for the host's own callers. */
const MAX_REQUESTS = 64;
/** Bytes of bodies of these requests. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;
/** The response of a server is not read while this much of it is buffered on the connection to the other host. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** The relay of one entry host. */
export class RelayService {
	readonly #options: RelayServiceOptions;
	readonly #requests = new Map<Connection, Map<number, RelayedRequest>>();
	#activeCount = 0;
	#bodyBytes = 0;
	/** Number of responses that are complete but not yet written to their connections. */
	#unwrittenCount = 0;
	#isStopping = false;

	constructor(options: RelayServiceOptions) {
		this.#options = options;
	}

	/** Number of requests of other hosts that are in progress or whose responses have not been written yet. */
	get activeCount(): number {
		return this.#activeCount + this.#unwrittenCount;
	}

	/** Declines further requests. */
	startDraining(): void {
		this.#isStopping = true;
	}

	/** Handles a message of another entry host. */
	receive(message: Message, connection: Connection): void {
		if (message.type === 'relayRequest') {
			this.#relay(message, connection);
		} else if (message.type === 'relayControl') {
			const relayed = this.#requests.get(connection)?.get(message.id);
			if (relayed) {
				this.#control(relayed, message, connection);
			}
		}
	}

	#control(relayed: RelayedRequest, {id, action}: RelayControl, connection: Connection): void {
		if (action === 'cancel') {
			relayed.exchange.cancel();
			this.#remove(connection, id);
			return;
		}

		relayed.isPaused = action === 'pause';
		relayed.exchange[action]();
	}

	#relay(message: RelayRequest, connection: Connection): void {
		const {context, getRouteTable} = this.#options;
		const {id, request, service, method, path, headers} = message;
		const server = context.findServer(message.server);
		const body = message.body ? Buffer.from(message.body.buffer, message.body.byteOffset, message.body.byteLength) : null;
		const reason = this.#findReasonToDecline(body?.length ?? 0);
		const fail = (failure: RelayFailure['failure'], text: string) => {
			this.#sendLast(connection, {
				type: 'relayFailure', id, failure, reason: text,
			});
		};

		if (reason !== undefined || !server) {
			fail('declined', reason ?? `The relay does not know server ${message.server}.`);
			return;
		}

		connection.send({type: 'relayAccepted', id});
		context.metrics.relayed.inc({direction: 'received'});
		const startedMs = context.clock.monotonicMs();
		let status: number | undefined;
		let isEnded = false;
		const end = (outcome: string) => {
			isEnded = true;
			this.#remove(connection, id);
			context.logger.info(`Relayed request ${outcome}.`, {
				request, server: server.server, status, tookMs: Math.round(context.clock.monotonicMs() - startedMs),
			});
		};

		const exchange = context.transport.sendDirectly({
			server: server.server,
			service,
			request,
			echoId: request,
			address: {address: server.address, port: server.port},
			method,
			path,
			// The configuration of the other host may be one without teams, and forward what callers send.
			headers: context.hasTeams() ? context.protocol.removeKey(headers) : headers,
			body,
			maxConnections: limitConnections(context, getRouteTable(), service),
			maySend: () => context.availability.isAvailable(server, context.clock.monotonicMs()),
		}, observeResponse(context, {server, request}, {
			onHead(receivedStatus, receivedHeaders) {
				status = receivedStatus;
				connection.send({
					type: 'relayHead', id, status: receivedStatus, headers: formatHeaders(receivedHeaders),
				});
			},
			onData(chunk) {
				connection.send({type: 'relayData', id, bytes: chunk});
				if (connection.bufferedBytes > MAX_BUFFERED_BYTES) {
					exchange.pause();
				}
			},
			onEnd: () => {
				end('answered');
				this.#sendLast(connection, {type: 'relayEnd', id});
			},
			onFailure(failure, error) {
				end(failure);
				if (failure === 'unsent') {
					context.health.recordFailure(server.server, context.clock.monotonicMs());
				}

				fail(failure, error.message);
			},
		}));
		if (!isEnded) {
			this.#add(connection, id, {exchange, bodyBytes: body?.length ?? 0, isPaused: false});
		}
	}

	/** Sends the last message of a request. */
	#sendLast(connection: Connection, message: RelayEnd | RelayFailure): void {
		this.#unwrittenCount++;
		connection.send(message, () => {
			this.#unwrittenCount--;
		});
	}

	#findReasonToDecline(bodyBytes: number): string | undefined {
		if (this.#isStopping) {
			return 'The relay is stopping.';
		}

		if (this.#options.context.transport.isCutOff) {
			return 'The relay reaches no server either.';
		}

		return this.#activeCount >= MAX_REQUESTS || this.#bodyBytes + bodyBytes > MAX_BODY_BYTES ? 'The relay is busy.' : undefined;
	}

	#add(connection: Connection, id: number, relayed: RelayedRequest): void {
		let requests = this.#requests.get(connection);
		if (!requests) {
			requests = new Map();
			this.#requests.set(connection, requests);
			connection.onClose(() => {
				this.#cancelAll(connection);
			});
			connection.onDrain(() => {
				for (const {exchange, isPaused} of this.#requests.get(connection)?.values() ?? []) {
					if (!isPaused) {
						exchange.resume();
					}
				}
			});
		}

		requests.set(id, relayed);
		this.#activeCount++;
		this.#bodyBytes += relayed.bodyBytes;
	}

	#remove(connection: Connection, id: number): void {
		const requests = this.#requests.get(connection);
		const relayed = requests?.get(id);
		if (requests && relayed) {
			requests.delete(id);
			this.#activeCount--;
			this.#bodyBytes -= relayed.bodyBytes;
		}
	}

	#cancelAll(connection: Connection): void {
		for (const [id, {exchange}] of this.#requests.get(connection) ?? []) {
			exchange.cancel();
			this.#remove(connection, id);
		}

		this.#requests.delete(connection);
	}
}

/** Converts headers to alternating names and values. */
function formatHeaders(headers: IncomingHttpHeaders): string[] {
	return Object.entries(headers).flatMap(([name, value]) => [value ?? []].flat().flatMap(text => [name, text]));
}
