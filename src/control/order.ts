/**
 * Sends orders to backend servers over HTTP and queries their status.
 *
 * Every order is sent on a new connection. For a server that does not check fencing numbers, the leader lease is
 * checked once the connection is established, immediately before the request is written.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import net from 'node:net';
import type {Clock} from '../base/clock.js';
import type {Announcement} from '../generated/types.js';
import {watchPeerClose} from '../wire/reset.js';
import {isFinalStatus} from '../wire/status.js';
import type {OrderReport, SendOrderEffect} from './controller.js';
import type {OpenOrder} from './state.js';

const ORDER_TIMEOUT_MS = 800;
const MAX_REPLY_BYTES = 65_536;
const HTTP_CONFLICT = 409;

/** Response of a backend server to an order or to a status query. */
export type OrderReply = {
	readonly status: number;
	readonly body: {
		readonly order?: number;
		readonly state?: string;
		readonly note?: string;
	};
};

export type OrderRequest = {
	readonly method: string;
	readonly path: string;
	readonly body: string;
	readonly headers?: Readonly<Record<string, string>>;
	/** Whether the request may still be written; called once the connection is established. */
	readonly mayWrite: () => boolean;
	/** Time for the connection, the request and the response, milliseconds; has a default. */
	readonly timeoutMs?: number;
	/** Whether the response is complete with its status. */
	readonly ignoresBody?: boolean;
};

/** Delivers orders to backend servers. */
export interface OrderTransport {
	/** Sends an order unless it has expired. Never rejects: every failure is part of the report. */
	send(effect: SendOrderEffect): Promise<OrderReport>;
	/**
	 * Queries the status of an order.
	 *
	 * @param isOwn - Whether no other leader can have sent it.
	 */
	queryOrder(server: Announcement, order: OpenOrder, isOwn: boolean): Promise<OrderReport>;
}

/** Delivers orders over the HTTP interface of the project's own engines. */
export class HttpOrderTransport implements OrderTransport {
	readonly #clock: Clock;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	async send(effect: SendOrderEffect): Promise<OrderReport> {
		return sendOrder(effect, this.#clock);
	}

	async queryOrder(server: Announcement, order: OpenOrder): Promise<OrderReport> {
		return queryOrder(server, order);
	}
}

/**
 * Sends an order and reports the server's response. An order that runs longer is completed by a later query.
 *
 * @example
 * ```ts
 * const report = await sendOrder(effect, clock);
 * ```
 */
export async function sendOrder(effect: SendOrderEffect, clock: Clock): Promise<OrderReport> {
	const {server, order, notAfterMs} = effect;
	const reply = await sendHttpRequest(server, {
		method: 'POST',
		path: '/orders',
		body: JSON.stringify({order: order.order, ...order.action}),
		mayWrite: () => clock.monotonicMs() < notAfterMs,
	});
	return interpretReply(reply, order);
}

/**
 * Asks a server for its last order and reports the status of the given one.
 *
 * @example
 * ```ts
 * const report = await queryOrder(server, order);
 * report.type; // 'done', 'running', 'absent', 'failed' or 'lost'
 * ```
 */
export async function queryOrder(server: Announcement, order: OpenOrder): Promise<OrderReport> {
	const reply = await sendHttpRequest(server, {
		method: 'GET', path: '/orders', body: '', mayWrite: () => true,
	});
	return interpretReply(reply, order);
}

function interpretReply(reply: OrderReply | undefined, {server, order}: OpenOrder): OrderReport {
	if (!reply) {
		return {type: 'lost', server, order};
	}

	const {body} = reply;
	const lastOrder = body.order ?? 0;
	if (lastOrder > order) {
		return {
			type: 'failed', server, order, note: `${server} already holds order ${lastOrder}.`,
		};
	}

	if (reply.status === HTTP_CONFLICT) {
		return {
			type: 'failed', server, order, note: `${server} refused the order: ${body.note ?? 'no reason given'}.`,
		};
	}

	if (lastOrder < order) {
		return {type: 'absent', server, order};
	}

	switch (body.state) {
		case 'done': {
			return {
				type: 'done', server, order, note: `${server} has carried out order ${order}.`,
			};
		}

		case 'failed': {
			return {
				type: 'failed', server, order, note: `${server} could not carry out order ${order}: ${body.note ?? ''}`,
			};
		}

		default: {
			return {type: 'running', server, order};
		}
	}
}

/**
 * Sends one request on a new connection. Returns undefined if no complete response arrives in time.
 *
 * @example
 * ```ts
 * const reply = await sendHttpRequest(server, {method: 'GET', path: '/orders', body: '', mayWrite: () => true});
 * ```
 */
export async function sendHttpRequest(server: Pick<Announcement, 'address' | 'port'>, request: OrderRequest): Promise<OrderReply | undefined> {
	const socket = net.connect({host: server.address, port: server.port});
	const timer = setTimeout(() => socket.destroy(), request.timeoutMs ?? ORDER_TIMEOUT_MS);
	const reply = await new Promise<OrderReply | undefined>(resolve => {
		socket.once('error', () => {
			resolve(undefined);
		});
		socket.once('close', () => {
			resolve(undefined);
		});
		socket.once('connect', () => {
			if (!request.mayWrite()) {
				socket.destroy();
				return;
			}

			writeRequest(socket, request, resolve);
		});
	});
	clearTimeout(timer);
	socket.destroy();
	return reply;
}

function writeRequest(socket: net.Socket, request: OrderRequest, resolve: (reply: OrderReply | undefined) => void): void {
	const peerClose = watchPeerClose(socket);
	const outgoing = http.request({
		createConnection: () => socket,
		method: request.method,
		path: request.path,
		headers: {
			...request.headers, host: 'backend', 'content-type': 'application/json', 'content-length': Buffer.byteLength(request.body), connection: 'close',
		},
	});
	outgoing.once('error', () => {
		resolve(undefined);
	});
	outgoing.once('response', response => {
		const {statusCode: status = 0} = response;
		if (!isFinalStatus(status)) {
			resolve(undefined);
			return;
		}

		if (request.ignoresBody === true) {
			resolve({status, body: {}});
			return;
		}

		let text = '';
		response.setEncoding('utf8');
		response.on('data', (chunk: string) => {
			text += chunk;
			if (text.length > MAX_REPLY_BYTES) {
				socket.destroy();
			}
		});
		response.once('end', () => {
			resolve(peerClose.isReset ? undefined : parseReply(status, text));
		});
	});
	outgoing.end(request.body);
}

function parseReply(status: number, text: string): OrderReply | undefined {
	try {
		return {status, body: text === '' ? {} : JSON.parse(text) as OrderReply['body']};
	} catch {
		return undefined;
	}
}
