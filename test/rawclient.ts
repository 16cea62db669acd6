/**
 * A client that tells whether the response to its request is complete by the rules of HTTP.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import net from 'node:net';

export type RawResponse = {
	/** 0 without a whole head. */
	readonly status: number;
	/** The lines of the head in lower case. */
	readonly head: string;
	/** The bytes behind the head, with chunk sizes if there are any. */
	readonly body: string;
	/** Whether the mark of its end has arrived: the length, the last chunk, or else an end of the connection that is no reset. */
	readonly isComplete: boolean;
};

/** Sends a request on a connection of its own and reads what comes until the connection closes. */
export async function sendRaw(target: net.TcpNetConnectOpts, request: string): Promise<RawResponse> {
	return new Promise(resolve => {
		const chunks: Buffer[] = [];
		let hasEnded = false;
		const socket = net.connect(target, () => {
			socket.write(request);
		});
		socket.on('data', chunk => {
			chunks.push(chunk);
			if (isDelimited(parse(Buffer.concat(chunks), false))) {
				socket.end();
			}
		});
		socket.prependListener('end', () => {
			// The other side of a connection that was reset is unknown.
			hasEnded = socket.remoteAddress !== undefined;
		});
		socket.on('error', () => {
			hasEnded = false;
		});
		socket.on('close', () => {
			resolve(parse(Buffer.concat(chunks), hasEnded));
		});
	});
}

/** Creates the head of a request, and its body if there is one. */
export function formatRequest(path: string, headers: Readonly<Record<string, string>>, {version = '1.1', body}: {readonly version?: '1.0' | '1.1'; readonly body?: string} = {}): string {
	const all = {host: 'a.example', ...headers, ...(body !== undefined && {'content-length': String(Buffer.byteLength(body))})};
	const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
	return `${body === undefined ? 'GET' : 'POST'} ${path} HTTP/${version}\r\n${lines.join('')}\r\n${body ?? ''}`;
}

function parse(bytes: Buffer, hasEnded: boolean): RawResponse {
	const text = bytes.toString('latin1');
	const end = text.indexOf('\r\n\r\n');
	if (end === -1) {
		return {
			status: 0, head: '', body: '', isComplete: false,
		};
	}

	const head = text.slice(0, end).toLowerCase();
	const body = text.slice(end + 4);
	const response = {status: Number(head.split(' ')[1]), head, body};
	return {...response, isComplete: hasMark(head) ? isDelimited(response) : hasEnded};
}

/** Whether the length or the last chunk tells that the body is complete. */
function isDelimited({head, body}: Pick<RawResponse, 'head' | 'body'>): boolean {
	const length = /^content-length: (\d+)$/mv.exec(head.replaceAll('\r', ''))?.[1];
	return length === undefined ? head.includes('transfer-encoding: chunked') && body.endsWith('0\r\n\r\n') : body.length >= Number(length);
}

function hasMark(head: string): boolean {
	return head.includes('content-length: ') || head.includes('transfer-encoding: chunked');
}
