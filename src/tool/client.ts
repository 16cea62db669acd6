/**
 * The tool's side of the operators' API.
 *
 * @module
 */
import * as Either from 'fp-ts/lib/Either.js';
import {Agent, request} from 'undici';
import {createProblem, findProblemName, type Problem} from '../base/problem.js';

export type ApiClientOptions = {
	/** Addresses of entry hosts, such as `http://10.0.0.4:8080`; the next is asked when one does not answer. */
	readonly hosts: readonly string[];
	readonly key?: string;
};

export type ApiRequest = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly path: string;
	readonly body?: unknown;
	/** The same for every resend of one intent. */
	readonly requestId?: string;
};

const TIMEOUT_MS = 8000;

/** Calls the operators' API through any entry host. Whoever created it closes it. */
export class ApiClient {
	readonly #options: ApiClientOptions;
	readonly #agent = new Agent({headersTimeout: TIMEOUT_MS, bodyTimeout: 0, connect: {timeout: 2000}});

	constructor(options: ApiClientOptions) {
		this.#options = options;
	}

	/**
	 * Calls and returns the decoded answer.
	 *
	 * @example
	 * ```ts
	 * const answer = await api.call<{version: number}>({method: 'GET', path: 'resources'});
	 * ```
	 */
	async request<Answer>(call: ApiRequest): Promise<Either.Either<Problem, Answer>> {
		let last = createProblem('noServer', 'No entry host answers.');
		for (const host of this.#options.hosts) {
			const answer = await this.#callHost<Answer>(host, call);
			if (answer !== undefined) {
				return answer;
			}

			last = createProblem('noServer', `${host} does not answer.`);
		}

		return Either.left(last);
	}

	/** Calls and hands each line of the answer on until it ends; false if no host answered. */
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

	async #callHost<Answer>(host: string, call: ApiRequest): Promise<Either.Either<Problem, Answer> | undefined> {
		try {
			const {statusCode, body} = await request(`${host}/api/v1/${call.path}`, {
				dispatcher: this.#agent,
				method: call.method,
				headers: {...this.#headers(), ...(call.requestId === undefined ? {} : {'idempotency-key': call.requestId})},
				body: call.body === undefined ? undefined : JSON.stringify(call.body),
			});
			const answer = await body.json() as Answer & {error?: {code: number; message: string}};
			if (statusCode < 400) {
				return Either.right(answer);
			}

			const {code = 9001, message = ''} = answer.error ?? {};
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
