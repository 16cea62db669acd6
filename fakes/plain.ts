/**
 * A fake plain backend server with two services, `booking` and `signal`. Counts how often it ran each idempotency key.
 *
 * @module
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Announcement} from '../src/generated/types.js';
import {FakeBackend, sendJson, type FakeBackendOptions} from './backend.js';

export type FakePlainServerOptions = FakeBackendOptions & {
	readonly services?: readonly string[];
	/** Time between running a request and responding to it, in milliseconds. */
	readonly processingMs?: number;
};

type Run = {
	readonly route: string;
	readonly key: string;
	readonly body: string;
};

export class FakePlainServer extends FakeBackend {
	readonly #options: FakePlainServerOptions;
	readonly #runs: Run[] = [];

	constructor(options: FakePlainServerOptions) {
		super(options);
		this.#options = options;
	}

	/** Returns how many requests ran with each idempotency key. */
	countRunsByKey(): Record<string, number> {
		const counts: Record<string, number> = {};
		for (const {key} of this.#runs) {
			counts[key] = (counts[key] ?? 0) + 1;
		}

		return counts;
	}

	protected override describeAnnouncement(): Pick<Announcement, 'kind'> & Partial<Announcement> {
		return {
			kind: 'plain', services: [...this.#options.services ?? ['booking', 'signal']], capacity: 64, load: {running: 0, waiting: 0},
		};
	}

	protected override async handleRequest(request: IncomingMessage, response: ServerResponse, body: string): Promise<void> {
		const route = `${request.method} ${request.url}`;
		if (route === 'GET /runs') {
			sendJson(response, 200, {keys: this.countRunsByKey(), requests: this.#runs});
			return;
		}

		const key = String(request.headers['idempotency-key'] ?? '');
		const requestId = String(request.headers['x-request-id'] ?? '');
		const result = this.#run(route, key, body);
		if (this.#options.processingMs !== undefined) {
			await new Promise(resolve => {
				setTimeout(resolve, this.#options.processingMs);
			});
		}

		if (result) {
			sendJson(response, 200, result, {'x-request-id': requestId});
		} else {
			sendJson(response, 404, {error: 'not found'}, {'x-request-id': requestId});
		}
	}

	#run(route: string, key: string, body: string): Record<string, unknown> | undefined {
		const number = this.#runs.length + 1;
		switch (route) {
			case 'POST /booking/seats': {
				this.#runs.push({route, key, body});
				const {seat, delegate} = JSON.parse(body) as {seat: string; delegate: string};
				return {
					booking: `${this.options.name}-${number}`, seat, delegate,
				};
			}

			case 'POST /signal/leap': {
				this.#runs.push({route, key, body});
				return {insertion: `${this.options.name}-${number}`};
			}

			case 'GET /booking/agenda': {
				this.#runs.push({route, key: 'agenda', body});
				return {agenda: ['09:00 Barley diseases', '10:30 Herd health']};
			}

			default: {
				return undefined;
			}
		}
	}
}
