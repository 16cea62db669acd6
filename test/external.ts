/**
 * Stand-in of the external service that deployments have duties at, on a loopback address.
 *
 * @module
 */
import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {Address} from '../src/wire/connection.js';

export type ReceivedCall = {
	readonly atMs: number;
	readonly path: string;
	readonly holder: string;
	readonly token: number;
	readonly body: {readonly 'window-id'?: number; readonly counts?: Record<string, number>};
};

/** How the service treats a call: a status, no response, or a reset of the connection. */
export type Treatment = number | 'silence' | 'reset';

type TestContext = {
	after(handler: () => Promise<void>): void;
};

/** Starts the service. It records every call and treats it as told. */
export async function startExternalService(t: TestContext, treat: (call: ReceivedCall, count: number) => Treatment = () => 200) {
	const calls: ReceivedCall[] = [];
	const sockets = new Set<Socket>();
	const service = {treat};
	const server = http.createServer((request, response) => {
		let text = '';
		request.setEncoding('utf8');
		request.on('data', (chunk: string) => {
			text += chunk;
		});
		request.on('end', () => {
			const call: ReceivedCall = {
				atMs: performance.now(),
				path: request.url ?? '',
				holder: String(request.headers['carawayhoist-duty-holder']),
				token: Number(request.headers['carawayhoist-fencing-token']),
				body: JSON.parse(text) as ReceivedCall['body'],
			};
			calls.push(call);
			const treatment = service.treat(call, calls.length);
			if (treatment === 'reset') {
				request.socket.resetAndDestroy();
			} else if (treatment !== 'silence') {
				response.writeHead(treatment, {'content-type': 'text/plain'}).end('not JSON');
			}
		});
	});
	server.on('connection', socket => {
		sockets.add(socket);
		socket.on('close', () => sockets.delete(socket));
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.after(async () => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	const address: Address = {address: '127.0.0.1', port: (server.address() as AddressInfo).port};
	return {
		address,
		calls,
		/** Changes how the next calls are treated. */
		setTreatment(next: (call: ReceivedCall, count: number) => Treatment) {
			service.treat = next;
		},
	};
}
