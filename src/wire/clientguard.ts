/**
 * Keeps what a process holds for its clients, and the number of their connections, within the bounds of its machine.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import process from 'node:process';
import type * as Either from 'fp-ts/lib/Either.js';
import {Counter, Gauge, type Registry} from 'prom-client';
import {BufferPool} from '../base/bufferpool.js';
import type {Logger} from '../base/logger.js';
import type {Problem} from '../base/problem.js';
import {readBody, type BodyOptions} from './body.js';
import type {ClientLimits} from './clientlimits.js';
import {ClientMemory, type EvictionReason, type MemoryShare} from './clientmemory.js';
import {TrailerEstimate} from './trailers.js';
import {ReadTurns} from './turns.js';

export type ClientMetrics = {
	readonly refusals: Counter<'reason'>;
	readonly heldBytes: Gauge;
	readonly waiting: Gauge;
	readonly connections: Gauge;
};

/** Why a client was refused or its connection closed; the label of the metric. */
export type RefusalReason = EvictionReason | 'idle' | 'connections' | 'head' | 'memory' | 'unread';

/**
 * Creates the metrics of one process.
 *
 * @example
 * ```ts
 * const guard = new ClientGuard({limits, nowMs, logger, metrics: createClientMetrics(registry)});
 * ```
 */
export function createClientMetrics(registry: Registry): ClientMetrics {
	const registers = [registry];
	return {
		refusals: new Counter({
			name: 'carawayhoist_clients_refused_total', help: 'Requests refused and connections closed to stay within the bounds for clients, by reason.', labelNames: ['reason'], registers,
		}),
		heldBytes: new Gauge({name: 'carawayhoist_client_held_bytes', help: 'Memory reserved for requests of clients.', registers}),
		waiting: new Gauge({name: 'carawayhoist_client_bodies_waiting', help: 'Bodies that are not read until there is memory for them.', registers}),
		connections: new Gauge({name: 'carawayhoist_client_connections', help: 'Connections of clients, to all addresses of this process.', registers}),
	};
}

export type ClientGuardOptions = {
	readonly limits: ClientLimits;
	readonly nowMs: () => number;
	readonly logger?: Logger | undefined;
	readonly metrics?: ClientMetrics | undefined;
};

type Connection = {
	readonly socket: Socket;
	readonly address: string;
	/** Requests whose response has not been sent completely. */
	open: number;
	/** Time since which it has no request. */
	idleSinceMs: number;
	hasHadRequest: boolean;
	/** Bytes received when the last complete request ended. */
	receivedBytes: number;
	/** The request whose body is arriving. */
	arriving: ArrivingRequest | undefined;
};

type ArrivingRequest = {
	readonly share: MemoryShare;
	/** The trailer, if the body is chunked. */
	readonly trailer: TrailerEstimate | undefined;
};

type ConnectionTable = {
	readonly maxConnections: number;
	readonly connections: Map<Socket, Connection>;
};

/** Buffers of refused bodies that are kept for further ones. */
const POOL_SHARE = 1 / 2;
const CHECK_MS = 250;
const LOG_MS = 1000;
/** Memory of a header line of a few bytes in relation to its bytes on the wire: strings and their places in lists. */
const HEAD_MEMORY_FACTOR = 16;
/** Memory of one name or value beside its text: its string, its places in lists, and the joined values of repeated names. */
const HEADER_BYTES = 64;
const REQUEST_BYTES = 4096;
/** Heads that have not ended may take this part of the memory for requests. */
const PARTIAL_HEADS_SHARE = 1 / 4;

/** The bounds for all clients of one process. Must be closed by its creator. */
export class ClientGuard {
	readonly limits: ClientLimits;
	readonly memory: ClientMemory;
	readonly #options: ClientGuardOptions;
	readonly #turns = new ReadTurns();
	readonly #pool: BufferPool;
	readonly #tables: ConnectionTable[] = [];
	readonly #refused = new Map<RefusalReason, number>();
	readonly #timer: NodeJS.Timeout;
	#loggedMs = 0;
	/** Memory of the heads and trailers that have not ended, at most: it is counted anew from time to time. */
	#partialBytes = 0;

	constructor(options: ClientGuardOptions) {
		this.#options = options;
		this.limits = options.limits;
		this.memory = new ClientMemory(options.limits.requestBytes);
		this.#pool = new BufferPool(options.limits.requestBytes * POOL_SHARE);
		this.#timer = setInterval(() => {
			this.#check();
		}, CHECK_MS).unref();
	}

	/** Bounds the connections of a server. */
	watch(server: Server, maxConnections: number): void {
		const table: ConnectionTable = {maxConnections, connections: new Map()};
		this.#tables.push(table);
		server.on('connection', (socket: Socket) => {
			this.#accept(table, socket);
		});
		server.on('request', (request: IncomingMessage, response: ServerResponse) => {
			const connection = table.connections.get(request.socket);
			if (connection) {
				connection.open++;
				connection.hasHadRequest = true;
				response.once('close', () => {
					connection.open--;
					connection.arriving = undefined;
					connection.idleSinceMs = this.#options.nowMs();
					// The parser keeps the trailer of a body that has not ended.
					if (request.complete) {
						connection.receivedBytes = request.socket.bytesRead;
					}
				});
			}
		});
	}

	/**
	 * Reserves memory for the head of a request; undefined if there is none. Released once the response has been sent.
	 *
	 * @param onEvict - Refuses the request while its body is arriving.
	 */
	admit(request: IncomingMessage, response: ServerResponse, onEvict: () => void): MemoryShare | undefined {
		const {nowMs} = this.#options;
		const share = this.memory.open({
			onEvict: reason => {
				this.recordRefusal(reason);
				onEvict();
			},
		}, nowMs());
		const headBytes = request.rawHeaders.reduce((sum, text) => sum + (2 * text.length) + HEADER_BYTES, REQUEST_BYTES);
		if (!share.tryReserve(headBytes, nowMs())) {
			this.recordRefusal('memory');
			dropHeaders(request);
			return undefined;
		}

		response.once('close', () => {
			share.release(nowMs());
		});
		return share;
	}

	/** Reads the body of a request that has been admitted. */
	async readBody(request: IncomingMessage, options: Omit<BodyOptions, 'turn' | 'pool' | 'nowMs'>): Promise<Either.Either<Problem, Buffer | null> | undefined> {
		const table = this.#tables.find(({connections}) => connections.has(request.socket));
		const connection = table?.connections.get(request.socket);
		if (table && connection) {
			const isChunked = request.headers['transfer-encoding'] !== undefined;
			const headBytes = request.rawHeaders.reduce((sum, text) => sum + text.length, 0);
			connection.arriving = {share: options.share, trailer: isChunked ? new TrailerEstimate(request, connection.receivedBytes + headBytes) : undefined};
			if (isChunked) {
				// Runs once what was received together with the head has been parsed, before the next connection is read.
				process.nextTick(() => {
					this.#recordPartial(connection, table.connections);
				});
			}
		}

		const body = await readBody(request, {
			...options, turn: this.#turns.createTurn(), pool: this.#pool, nowMs: this.#options.nowMs,
		});
		if (connection) {
			connection.arriving = undefined;
		}

		return body;
	}

	recordRefusal(reason: RefusalReason): void {
		this.#refused.set(reason, (this.#refused.get(reason) ?? 0) + 1);
		this.#options.metrics?.refusals.inc({reason});
	}

	close(): void {
		clearInterval(this.#timer);
	}

	#accept(table: ConnectionTable, socket: Socket): void {
		if (table.connections.size >= table.maxConnections && !this.#makeRoom(table)) {
			this.recordRefusal('connections');
			socket.destroy();
			return;
		}

		table.connections.set(socket, {
			socket, address: socket.remoteAddress ?? '', open: 0, idleSinceMs: this.#options.nowMs(), hasHadRequest: false, receivedBytes: 0, arriving: undefined,
		});
		socket.once('close', () => {
			table.connections.delete(socket);
		});
	}

	/** Closes a connection without a request, or else refuses a slow request. */
	#makeRoom({connections, maxConnections}: ConnectionTable): boolean {
		const nowMs = this.#options.nowMs();
		const crowded = findCrowdedAddress(connections, maxConnections / 2);
		let victim: Connection | undefined;
		for (const connection of connections.values()) {
			if ((connection.open === 0 || connection.arriving?.share.isSlow(nowMs) === true) && (!victim || comparePriority(connection, victim, crowded) < 0)) {
				victim = connection;
			}
		}

		if (!victim) {
			return false;
		}

		this.recordRefusal(victim.open === 0 ? 'idle' : 'slow');
		connections.delete(victim.socket);
		victim.socket.destroy();
		return true;
	}

	#check(): void {
		const nowMs = this.#options.nowMs();
		this.memory.check(nowMs);
		let connectionCount = 0;
		for (const {connections} of this.#tables) {
			connectionCount += connections.size;
			this.#boundPartialHeads(connections);
		}

		this.#options.metrics?.heldBytes.set(this.memory.usedBytes);
		this.#options.metrics?.waiting.set(this.memory.waitingCount);
		this.#options.metrics?.connections.set(connectionCount);
		if (this.#refused.size > 0 && nowMs - this.#loggedMs >= LOG_MS) {
			this.#loggedMs = nowMs;
			this.#options.logger?.warn('Refused clients to stay within the bounds for them.', {
				refused: Object.fromEntries(this.#refused), heldBytes: this.memory.usedBytes, waiting: this.memory.waitingCount, connections: connectionCount,
			});
			this.#refused.clear();
		}
	}

	/** Counts what the parser may keep for a request that has just begun. */
	#recordPartial(connection: Connection, connections: ReadonlyMap<Socket, Connection>): void {
		this.#partialBytes += estimatePartialBytes(connection);
		if (this.#partialBytes > this.limits.requestBytes * PARTIAL_HEADS_SHARE) {
			this.#boundPartialHeads(connections);
		}
	}

	/** Closes the connections with the largest heads and trailers that have not ended, if all of these together take too much memory. */
	#boundPartialHeads(connections: ReadonlyMap<Socket, Connection>): void {
		const partial = [...connections.values()].map(connection => ({socket: connection.socket, bytes: estimatePartialBytes(connection)}));
		let bytes = partial.reduce((sum, head) => sum + head.bytes, 0);
		const maxBytes = this.limits.requestBytes * PARTIAL_HEADS_SHARE;
		if (bytes > maxBytes) {
			for (const head of partial.toSorted((a, b) => b.bytes - a.bytes)) {
				if (bytes <= maxBytes) {
					break;
				}

				bytes -= head.bytes;
				this.recordRefusal('head');
				head.socket.destroy();
			}
		}

		this.#partialBytes = bytes;
	}
}

/** Estimates the memory of the header lines that the parser keeps for a connection: those of a head, or of a trailer, that has not ended. */
function estimatePartialBytes({socket, open, receivedBytes, arriving}: Connection): number {
	const bytes = open === 0 ? socket.bytesRead - receivedBytes : arriving?.trailer?.bytes ?? 0;
	return bytes * HEAD_MEMORY_FACTOR;
}

/** Frees the memory of a head that is not needed any more. The request lives on until its response has been sent. */
function dropHeaders(request: IncomingMessage): void {
	request.rawHeaders = [];
	request.headers = {};
}

/** Finds an address that has more connections than a number. */
function findCrowdedAddress(connections: ReadonlyMap<Socket, Connection>, maxCount: number): string | undefined {
	const counts = new Map<string, number>();
	for (const {address} of connections.values()) {
		const count = (counts.get(address) ?? 0) + 1;
		counts.set(address, count);
		if (count > maxCount) {
			return address;
		}
	}

	return undefined;
}

/** Orders connections by who is closed first: of a crowded address, without a request, never had one, idle for longest. */
function comparePriority(a: Connection, b: Connection, crowded: string | undefined): number {
	return (Number(b.address === crowded) - Number(a.address === crowded))
		|| Math.min(a.open, 1) - Math.min(b.open, 1)
		|| Number(a.hasHadRequest) - Number(b.hasHadRequest)
		|| a.idleSinceMs - b.idleSinceMs;
}
