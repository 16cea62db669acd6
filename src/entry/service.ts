/**
 * Serves calls to declared services. A call that may not be repeated and has an idempotency key is claimed in the
 * ledger before its first byte is sent to a server.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import * as Either from 'fp-ts/lib/Either.js';
import {sleep, type Clock} from '../base/clock.js';
import type {Logger} from '../base/logger.js';
import {createProblem, type Problem} from '../base/problem.js';
import {pick, type Random} from '../base/random.js';
import type {ControlClient} from '../control/client.js';
import type {
	Announcement, LedgerOutcome, Route, ServiceSpecification, SettleCommand,
} from '../generated/types.js';
import {readHeader, sendProblem, type Exchange} from './exchange.js';
import type {ServerPool} from './pool.js';
import type {RequestJournal} from './journal.js';
import type {Metrics} from './metrics.js';
import type {PlainResponse, PlainClient, PlainResult} from './plain.js';
import type {ResourceView} from './view.js';

export type ServiceHandlerOptions = {
	readonly host: string;
	readonly boot: string;
	readonly view: ResourceView;
	readonly pool: ServerPool;
	readonly client: ControlClient;
	readonly plainClient: PlainClient;
	readonly journal: RequestJournal;
	readonly metrics: Metrics;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
};

export type RouteMatch = {
	readonly service: string;
	readonly route: Route;
};

type Call = {
	readonly exchange: Exchange;
	readonly body: Buffer;
	readonly match: RouteMatch;
	readonly deadlineMs: number;
};

type LedgerClaim = {
	readonly key: string;
	readonly attempt: string;
};

const DEFAULT_DEADLINE_MS = 10_000;
const DEFAULT_KEY_HEADER = 'idempotency-key';
const CLAIM_DEADLINE_MS = 3000;
const SETTLE_DEADLINE_MS = 2000;
const BACKGROUND_SETTLE_DEADLINE_MS = 60_000;
const INITIAL_POLL_MS = 40;
const MAX_POLL_MS = 400;
const MAX_ATTEMPTS = 4;
const MAX_KEY_CHARACTERS = 200;
/** Largest response body that the ledger stores. */
const MAX_STORED_RESPONSE_BYTES = 65_536;
const FORWARDED_HEADERS = ['content-type', 'accept', 'authorization', 'accept-language', 'carawayhoist-team'];

/** Serves calls to the declared services on one entry host. */
export class ServiceHandler {
	readonly #options: ServiceHandlerOptions;
	#nextAttempt = 1;

	constructor(options: ServiceHandlerOptions) {
		this.#options = options;
	}

	/** Finds the declared route that matches a call. */
	matchRoute(method: string, path: string): RouteMatch | undefined {
		for (const resource of this.#options.view.list('service')) {
			const {routes} = resource.specification as ServiceSpecification;
			const route = routes.find(candidate => candidate.method === method && matchesPath(candidate.path, path));
			if (route) {
				return {service: resource.name, route};
			}
		}

		return undefined;
	}

	/** Serves one call. */
	async handle(exchange: Exchange, body: Buffer, match: RouteMatch): Promise<void> {
		const {clock, journal, metrics} = this.#options;
		const kind = match.route.repeatable ? 'repeatable' : 'non-repeatable';
		journal.begin(exchange.id, `A ${kind} call ${exchange.method} ${exchange.path} to service ${match.service}`, clock.wallMs());
		const call: Call = {
			exchange, body, match, deadlineMs: clock.monotonicMs() + (match.route.deadlineMs ?? DEFAULT_DEADLINE_MS),
		};
		const result = match.route.repeatable ? await this.#runRepeatable(call) : await this.#runNonRepeatable(call);
		const outcome = Either.isRight(result) ? 'done' : result.left.name;
		metrics.requests.inc({kind, outcome});
		if (Either.isLeft(result)) {
			journal.end(exchange.id, `Refused with code ${result.left.code} (${result.left.outcome}): ${result.left.text}`, clock.wallMs());
			sendProblem(exchange, result.left);
			return;
		}

		journal.end(exchange.id, `Answered with status ${result.right.status}.`, clock.wallMs());
		sendResponse(exchange, result.right);
	}

	async #runRepeatable(call: Call): Promise<Either.Either<Problem, PlainResponse>> {
		const {clock, pool, metrics} = this.#options;
		const tried = new Set<string>();
		for (let attempt = 1; attempt <= MAX_ATTEMPTS && clock.monotonicMs() < call.deadlineMs; attempt++) {
			const server = this.#chooseServer(call, tried);
			if (!server) {
				break;
			}

			// Retries open a new connection, because the pooled one may be dead without having been closed.
			const leftMs = call.deadlineMs - clock.monotonicMs();
			const timeoutMs = attempt === 1 ? Math.min(leftMs, Math.max(500, leftMs / 3)) : leftMs;
			const result = await this.#send(call, server, {attempt, timeoutMs, usesNewConnection: attempt > 1});
			if (result.type === 'response') {
				pool.health.recordSuccess(server.server);
				return Either.right(result.response);
			}

			metrics.retries.inc({reason: result.type});
			if (result.type === 'not-run' || attempt > 1) {
				tried.add(server.server);
				pool.health.recordFailure(server.server, clock.monotonicMs());
			}
		}

		const isPastDeadline = clock.monotonicMs() >= call.deadlineMs;
		return Either.left(isPastDeadline ? createProblem('deadlineExceeded', undefined, 1) : createProblem(tried.size > 0 ? 'serverFailed' : 'noServer', undefined, 1));
	}

	async #runNonRepeatable(call: Call): Promise<Either.Either<Problem, PlainResponse>> {
		const key = readHeader(call.exchange.request, call.match.route.keyHeader ?? DEFAULT_KEY_HEADER);
		if (key === undefined || key === '') {
			return convertResult(await this.#sendAtMostOnce(call));
		}

		if (key.length > MAX_KEY_CHARACTERS) {
			return Either.left(createProblem('badRequest', `The idempotency key has more than ${MAX_KEY_CHARACTERS} characters.`));
		}

		return this.#runWithKey(call, key);
	}

	async #runWithKey(call: Call, callerKey: string): Promise<Either.Either<Problem, PlainResponse>> {
		const {clock} = this.#options;
		const team = readHeader(call.exchange.request, 'carawayhoist-team') ?? 'default';
		const key = `${call.match.service}/${team}/${callerKey}`;
		const fingerprint = fingerprintCall(call);
		// Every poll uses the same attempt ID, so that this call recognizes its claim whichever copy was granted.
		const claim: LedgerClaim = {key, attempt: `${this.#options.boot}/${this.#nextAttempt++}`};
		let pollMs = INITIAL_POLL_MS;
		for (;;) {
			const claimResult = await this.#claim(claim, fingerprint);
			if (Either.isLeft(claimResult)) {
				this.#releaseClaim(claim);
				return claimResult;
			}

			if (claimResult.right.state === 'granted') {
				return this.#runGranted(call, claim);
			}

			if (claimResult.right.state !== 'in-flight') {
				this.#addStep(call, describeLedgerOutcome(claimResult.right));
				this.#releaseClaim(claim);
				return convertLedgerOutcome(claimResult.right);
			}

			if (clock.monotonicMs() + pollMs > call.deadlineMs) {
				this.#releaseClaim(claim);
				return Either.left(createProblem('outcomeUnknown', 'The first request with this key is still running; send it again later with the same key.', 1));
			}

			this.#addStep(call, `The same key is in flight through host ${claimResult.right.host}; this call waits for that answer.`);
			await sleep(pollMs);
			pollMs = Math.min(MAX_POLL_MS, pollMs * 2);
		}
	}

	async #claim(claim: LedgerClaim, fingerprint: string): Promise<Either.Either<Problem, LedgerOutcome>> {
		const {client, clock, host} = this.#options;
		const reply = await client.propose({
			type: 'claim', at: clock.wallMs(), key: claim.key, fingerprint, attempt: claim.attempt, host,
		}, CLAIM_DEADLINE_MS)();
		if (Either.isLeft(reply)) {
			return Either.left(createProblem('noQuorum', undefined, 1));
		}

		const {outcome} = reply.right;
		return outcome.type === 'ledger' ? Either.right(outcome) : Either.left(createProblem('notStarted', undefined, 1));
	}

	async #runGranted(call: Call, claim: LedgerClaim): Promise<Either.Either<Problem, PlainResponse>> {
		this.#addStep(call, 'The ledger has granted this key: it has not run before.');
		const result = await this.#sendAtMostOnce(call);
		const settlement = createSettlement(result);
		const {client, clock} = this.#options;
		const settled = await client.propose({
			type: 'settle', at: clock.wallMs(), key: claim.key, attempt: claim.attempt, ...settlement,
		}, SETTLE_DEADLINE_MS)();
		if (Either.isLeft(settled)) {
			this.#addStep(call, 'The outcome could not be written to the ledger yet; that goes on in the background.');
			this.#settleInBackground(claim, settlement);
		}

		return convertResult(result);
	}

	/** Releases the claim. A copy of it may still be committed later and must not be granted to a call that has ended. */
	#releaseClaim(claim: LedgerClaim): void {
		this.#settleInBackground(claim, {outcome: 'not-run'});
	}

	#settleInBackground(claim: LedgerClaim, settlement: Pick<SettleCommand, 'outcome' | 'answer'>): void {
		const {client, clock} = this.#options;
		void client.propose({
			type: 'settle', at: clock.wallMs(), key: claim.key, attempt: claim.attempt, ...settlement,
		}, BACKGROUND_SETTLE_DEADLINE_MS)();
	}

	/** Sends the call to one server after another until one may have run it. */
	async #sendAtMostOnce(call: Call): Promise<PlainResult> {
		const {clock, pool} = this.#options;
		const tried = new Set<string>();
		let last: PlainResult = {type: 'not-run', text: 'No server is in use.'};
		for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
			const server = this.#chooseServer(call, tried);
			const timeoutMs = call.deadlineMs - clock.monotonicMs();
			if (!server || timeoutMs <= 0) {
				return last;
			}

			last = await this.#send(call, server, {attempt, timeoutMs, usesNewConnection: true});
			if (last.type !== 'not-run') {
				return last;
			}

			tried.add(server.server);
			pool.health.recordFailure(server.server, clock.monotonicMs());
		}

		return last;
	}

	#chooseServer(call: Call, tried: ReadonlySet<string>): Announcement | undefined {
		const {pool, random, logger} = this.#options;
		const servers = pool.listPlainServers(call.match.service, tried);
		const first = pick(servers, random);
		const second = pick(servers, random);
		const isFirst = !second || (first && pool.loads.estimate(first.server).requests <= pool.loads.estimate(second.server).requests);
		const chosen = isFirst ? first : second;
		if (chosen) {
			logger.info(`Sending call to ${chosen.server}.`, {
				request: call.exchange.id, server: chosen.server, reason: 'fewer of two', considered: servers.map(({server}) => server),
			});
		}

		return chosen;
	}

	async #send(call: Call, server: Announcement, options: {attempt: number; timeoutMs: number; usesNewConnection: boolean}): Promise<PlainResult> {
		const {plainClient, pool, clock} = this.#options;
		const id = `${call.exchange.id}.${options.attempt}`;
		this.#addStep(call, `It goes to server ${server.server}.`);
		pool.loads.startRequest(server.server, id, {prefillTokens: 0, outputTokens: 0, promptTokens: 0}, clock.monotonicMs());
		const result = await plainClient.send(server, {
			id,
			method: call.exchange.method,
			path: call.exchange.request.url ?? call.exchange.path,
			headers: selectForwardedHeaders(call),
			body: call.body,
			timeoutMs: options.timeoutMs,
			usesNewConnection: options.usesNewConnection,
		});
		pool.loads.endRequest(server.server, id);
		if (result.type !== 'response') {
			this.#addStep(call, `Server ${server.server}: ${result.text} (${result.type}).`);
		}

		return result;
	}

	#addStep(call: Call, text: string): void {
		this.#options.journal.addStep(call.exchange.id, text, this.#options.clock.wallMs());
	}
}

/**
 * Whether a declared path matches the path of a call. A final `/*` matches everything below it.
 *
 * @example
 * ```ts
 * matchesPath('/booking/*', '/booking/seats'); // true
 * ```
 */
export function matchesPath(declared: string, path: string): boolean {
	return declared.endsWith('/*') ? path.startsWith(declared.slice(0, -1)) : declared === path;
}

function createSettlement(result: PlainResult): Pick<SettleCommand, 'outcome' | 'answer'> {
	if (result.type !== 'response') {
		return {outcome: result.type};
	}

	const {status, contentType, body} = result.response;
	return body.length > MAX_STORED_RESPONSE_BYTES
		? {outcome: 'done'}
		: {outcome: 'done', answer: {status, contentType, body: new Uint8Array(body)}};
}

function convertResult(result: PlainResult): Either.Either<Problem, PlainResponse> {
	switch (result.type) {
		case 'response': {
			return Either.right(result.response);
		}

		case 'not-run': {
			return Either.left(createProblem('notStarted', result.text, 1));
		}

		case 'unknown': {
			return Either.left(createProblem('outcomeUnknown', result.text));
		}
	}
}

function convertLedgerOutcome(ledgerOutcome: LedgerOutcome): Either.Either<Problem, PlainResponse> {
	switch (ledgerOutcome.state) {
		case 'done': {
			return ledgerOutcome.answer
				? Either.right({...ledgerOutcome.answer, body: Buffer.from(ledgerOutcome.answer.body)})
				: Either.left(createProblem('outcomeUnknown', 'It ran once; its answer was too large to keep.'));
		}

		case 'reused': {
			return Either.left(createProblem('keyReused'));
		}

		case 'unknown': {
			return Either.left(createProblem('outcomeUnknown'));
		}

		case 'granted':
		case 'in-flight':
		case 'not-run': {
			return Either.left(createProblem('notStarted', undefined, 1));
		}
	}
}

function describeLedgerOutcome(ledgerOutcome: LedgerOutcome): string {
	const texts = {
		granted: 'The key is free.',
		'in-flight': 'The key is in flight.',
		done: `The key has run once, through host ${ledgerOutcome.host}; its stored answer is given again.`,
		'not-run': 'The claim was given back before it was granted.',
		unknown: `The key was claimed through host ${ledgerOutcome.host}, which was lost before it could tell the outcome; it is not run again.`,
		reused: 'The key was used with another request.',
	};
	return texts[ledgerOutcome.state];
}

function fingerprintCall(call: Call): string {
	return createHash('sha256')
		.update(`${call.exchange.method} ${call.exchange.request.url ?? ''}\n`)
		.update(call.body)
		.digest('base64url')
		.slice(0, 24);
}

function selectForwardedHeaders(call: Call): Record<string, string> {
	const names = [...FORWARDED_HEADERS, call.match.route.keyHeader ?? DEFAULT_KEY_HEADER];
	const headers: Record<string, string> = {};
	for (const name of names) {
		const value = readHeader(call.exchange.request, name);
		if (value !== undefined) {
			headers[name] = value;
		}
	}

	return headers;
}

function sendResponse(exchange: Exchange, response: PlainResponse): void {
	if (exchange.response.destroyed || exchange.response.headersSent) {
		return;
	}

	exchange.response.writeHead(response.status, {
		'content-type': response.contentType, 'content-length': response.body.length, 'x-request-id': exchange.id,
	});
	exchange.response.end(response.body);
}
