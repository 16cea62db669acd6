/** A sound client: streams that it can take up again, and requests that follow each other on a connection. */
import http from 'node:http';
import net from 'node:net';

/** A stream of events; `done` settles when its connection has ended. */
export class Stream {
	/** @param options.resumes - The stream that is taken up, if there is one. */
	constructor({address, port, host, path, attempt, deadlineMs, resumes, record}) {
		this.attempt = attempt;
		this.status = 0;
		this.events = [];
		this.retryAfterMs = undefined;
		/** The attempt that brought the first event of the whole stream. */
		this.origin = resumes?.origin ?? attempt;
		this.done = new Promise(resolve => {
			const request = http.request({
				host: address,
				port,
				path,
				method: 'POST',
				agent: false,
				headers: {
					Host: host,
					'Carawayhoist-Attempt-Id': attempt,
					'Carawayhoist-Deadline-Ms': String(Math.round(deadlineMs)),
					'Carawayhoist-Model': 'm',
					'Carawayhoist-Token-Counts': '200,60',
					'Carawayhoist-Prompt-Prefix': `5c1e07a2:100,${this.origin}:100`,
					...(resumes && {'Last-Event-Id': String(resumes.lastEvent), Resumes: resumes.origin}),
				},
			});
			const end = () => {
				record.note(`${attempt} ended: status ${this.status}, events ${this.events[0] ?? '-'} to ${this.lastEvent}`);
				resolve();
			};

			request.once('error', end);
			request.once('response', response => {
				this.status = response.statusCode;
				const retryAfter = Number(response.headers['retry-after']);
				this.retryAfterMs = Number.isFinite(retryAfter) ? retryAfter * 1000 : undefined;
				let text = '';
				response.setEncoding('utf8');
				response.on('data', chunk => {
					text += chunk;
					this.events = this.status === 200 ? [...text.matchAll(/^id: (\d+)$/gmv)].map(match => Number(match[1])) : [];
				});
				response.once('error', end);
				response.once('end', end);
			});
			request.end('prompt');
		});
		record.note(`${attempt} sent to ${address}${resumes ? `, takes up ${resumes.origin} after event ${resumes.lastEvent}` : ''}`);
	}

	get lastEvent() {
		return this.events.at(-1) ?? 0;
	}
}

/**
 * Sends requests one behind the other on a kept connection, without waiting for the answers in between, and returns the bytes that
 * came until the connection was closed or `isComplete` holds.
 */
export async function sendPipelined({address, port, host, path, attempts, deadlineMs, isComplete}) {
	return new Promise(resolve => {
		const socket = net.connect({host: address, port});
		let text = '';
		const end = () => {
			clearTimeout(timer);
			socket.destroy();
			resolve(text);
		};

		const timer = setTimeout(end, deadlineMs);
		socket.setEncoding('utf8');
		socket.on('data', chunk => {
			text += chunk;
			if (isComplete(text)) {
				end();
			}
		});
		socket.once('error', end);
		socket.once('close', end);
		for (const attempt of attempts) {
			socket.write(`GET ${path} HTTP/1.1\r\nHost: ${host}\r\nCarawayhoist-Attempt-Id: ${attempt}\r\nCarawayhoist-Deadline-Ms: ${deadlineMs}\r\n\r\n`);
		}
	});
}
