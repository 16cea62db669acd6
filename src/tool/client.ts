/**
 * HTTP client of the operator API (`/api/v1/`).
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import {Agent, request} from 'undici';
import {createProblem, findProblemName, type Problem} from '../base/problem.js';

export type ApiClientOptions = {
	/** Base URLs of entry hosts, such as `http://10.0.0.4:8080`. If one does not respond, the next one is tried. */
	readonly hosts: readonly string[];
	/** Operator key, sent as a bearer token. */
	readonly key?: string;
};

export type ApiRequest = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	/** Path below `/api/v1/`. */
	readonly path: string;
	readonly body?: unknown;
	/** Idempotency key: every attempt at the same change must send the same value. */
	readonly requestId?: string;
};

const TIMEOUT_MS = 8000;

/** Sends requests to the operator API through the first entry host that responds. The creator must close the client. */
export class ApiClient {
	readonly #options: ApiClientOptions;
	readonly #agent = new Agent({headersTimeout: TIMEOUT_MS, bodyTimeout: 0, connect: {timeout: 2000}});

	constructor(options: ApiClientOptions) {
		this.#options = options;
	}

	/**
	 * Sends a request and returns the decoded JSON body of the response.
	 *
	 * @example
	 * ```ts
	 * const result = await client.request<{version: number}>({method: 'GET', path: 'resources'});
	 * ```
	 */
	async request<Body>(apiRequest: ApiRequest): Promise<Either.Either<Problem, Body>> {
		let lastProblem = createProblem('noServer', 'No entry host answers.');
		for (const host of this.#options.hosts) {
			const result = await this.#requestFrom<Body>(host, apiRequest);
			if (result !== undefined) {
				return result;
			}

			lastProblem = createProblem('noServer', `${host} does not answer.`);
		}

		return Either.left(lastProblem);
	}

	/** Passes each line of a streamed response to `onLine` until the stream ends. Returns false if it broke off at every host. */
	async streamLines(path: string, onLine: (line: string) => void): Promise<boolean> {
		for (const host of this.#options.hosts) {
			try {
				const {body} = await request(`${host}/api/v1/${path}`, {dispatcher: this.#agent, headers: this.#headers()});
				let rest = '';
				for await (const chunk of body) {
					const lines = (rest + String(chunk)).split('\n');
					rest = lines.pop() ?? '';
					for (const line of lines) {
						onLine(line);
					}
				}

				return true;
			} catch {
				continue;
			}
		}

		return false;
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #requestFrom<Body>(host: string, apiRequest: ApiRequest): Promise<Either.Either<Problem, Body> | undefined> {
		try {
			const {statusCode, body} = await request(`${host}/api/v1/${apiRequest.path}`, {
				dispatcher: this.#agent,
				method: apiRequest.method,
				headers: {...this.#headers(), ...(apiRequest.requestId === undefined ? {} : {'idempotency-key': apiRequest.requestId})},
				body: apiRequest.body === undefined ? undefined : JSON.stringify(apiRequest.body),
			});
			const decoded = await body.json() as Body & {error?: {code: number; message: string}};
			if (statusCode < 400) {
				return Either.right(decoded);
			}

			const {code = 9001, message = ''} = decoded.error ?? {};
			return Either.left({...createProblem(findProblemName(code)), text: message});
		} catch {
			return undefined;
		}
	}

	#headers(): Record<string, string> {
		const {key} = this.#options;
		return {'content-type': 'application/json', ...(key === undefined ? {} : {authorization: `Bearer ${key}`})};
	}
}
