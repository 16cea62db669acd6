/**
 * Serves calls to declared services. Work that may not be repeated is claimed in the ledger before its first byte
 * leaves.
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

type Claimed = {
	readonly key: string;
	readonly attempt: string;
};

const DEFAULT_DEADLINE_MS = 10_000;
const DEFAULT_KEY_HEADER = 'idempotency-key';
const CLAIM_DEADLINE_MS = 3000;
const SETTLE_DEADLINE_MS = 2000;
const BACKGROUND_SETTLE_MS = 60_000;
const FIRST_POLL_MS = 40;
const LONGEST_POLL_MS = 400;
const MAX_ATTEMPTS = 4;
const MAX_KEY_CHARACTERS = 200;
/** Largest answer that the ledger keeps, bytes. */
const MAX_KEPT_ANSWER_BYTES = 65_536;
const PASSED_HEADERS = ['content-type', 'accept', 'authorization', 'accept-language', 'carawayhoist-team'];

/** Serves the declared services of one entry host. */
export class ServiceHandler {
	readonly #options: ServiceHandlerOptions;
	#nextAttempt = 1;

	constructor(options: ServiceHandlerOptions) {
		this.#options = options;
	}

	/** Finds the declared route of a call. */
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

	/** Serves one call to its end. */
	async handle(exchange: Exchange, body: Buffer, match: RouteMatch): Promise<void> {
		const {clock, journal, metrics} = this.#options;
		const kind = match.route.repeatable ? 'repeatable' : 'non-repeatable';
		journal.begin(exchange.id, `A ${kind} call ${exchange.method} ${exchange.path} to service ${match.service}`, clock.wallMs());
		const call: Call = {
			exchange, body, match, deadlineMs: clock.monotonicMs() + (match.route.deadlineMs ?? DEFAULT_DEADLINE_MS),
		};
		const result = match.route.repeatable ? await this.#runRepeatable(call) : await this.#runOnce(call);
		const outcome = Either.isRight(result) ? 'done' : result.left.name;
		metrics.requests.inc({kind, outcome});
		if (Either.isLeft(result)) {
			journal.end(exchange.id, `Refused with code ${result.left.code} (${result.left.outcome}): ${result.left.text}`, clock.wallMs());
			sendProblem(exchange, result.left);
			return;
		}

		journal.end(exchange.id, `Answered with status ${result.right.status}.`, clock.wallMs());
		sendAnswer(exchange, result.right);
	}

	async #runRepeatable(call: Call): Promise<Either.Either<Problem, PlainResponse>> {
		const {clock, pool, metrics} = this.#options;
		const tried = new Set<string>();
		for (let attempt = 1; attempt <= MAX_ATTEMPTS && clock.monotonicMs() < call.deadlineMs; attempt++) {
			const server = this.#choose(call, tried);
			if (!server) {
				break;
			}

			// A second try opens a new connection: the pooled one may have gone silent.
			const leftMs = call.deadlineMs - clock.monotonicMs();
			const timeoutMs = attempt === 1 ? Math.min(leftMs, Math.max(500, leftMs / 3)) : leftMs;
			const result = await this.#send(call, server, {attempt, timeoutMs, isFresh: attempt > 1});
			if (result.type === 'answer') {
				pool.health.recordSuccess(server.server);
				return Either.right(result.answer);
			}

			metrics.retries.inc({reason: result.type});
			if (result.type === 'not-run' || attempt > 1) {
				tried.add(server.server);
				pool.health.recordFailure(server.server, clock.monotonicMs());
			}
		}

		const isLate = clock.monotonicMs() >= call.deadlineMs;
		return Either.left(isLate ? createProblem('deadlineExceeded', undefined, 1) : createProblem(tried.size > 0 ? 'serverFailed' : 'noServer', undefined, 1));
	}

	async #runOnce(call: Call): Promise<Either.Either<Problem, PlainResponse>> {
		const key = readHeader(call.exchange.request, call.match.route.keyHeader ?? DEFAULT_KEY_HEADER);
		if (key === undefined || key === '') {
			return describeOnce(await this.#sendOnce(call));
		}

		if (key.length > MAX_KEY_CHARACTERS) {
			return Either.left(createProblem('badRequest', `The idempotency key has more than ${MAX_KEY_CHARACTERS} characters.`));
		}

		return this.#runClaimed(call, key);
	}

	async #runClaimed(call: Call, callerKey: string): Promise<Either.Either<Problem, PlainResponse>> {
		const {clock} = this.#options;
		const team = readHeader(call.exchange.request, 'carawayhoist-team') ?? 'default';
		const key = `${call.match.service}/${team}/${callerKey}`;
		const fingerprint = fingerprintCall(call);
		// Every poll is the same attempt: whichever copy of its claim is granted, this call learns of it.
		const claimed: Claimed = {key, attempt: `${this.#options.boot}/${this.#nextAttempt++}`};
		let pollMs = FIRST_POLL_MS;
		for (;;) {
			const claim = await this.#claim(claimed, fingerprint);
			if (Either.isLeft(claim)) {
				this.#giveBack(claimed);
				return claim;
			}

			if (claim.right.state === 'granted') {
				return this.#runGranted(call, claimed);
			}

			if (claim.right.state !== 'in-flight') {
				this.#note(call, describeKnown(claim.right));
				this.#giveBack(claimed);
				return describeLedger(claim.right);
			}

			if (clock.monotonicMs() + pollMs > call.deadlineMs) {
				this.#giveBack(claimed);
				return Either.left(createProblem('outcomeUnknown', 'The first request with this key is still running; send it again later with the same key.', 1));
			}

			this.#note(call, `The same key is in flight through host ${claim.right.host}; this call waits for that answer.`);
			await sleep(pollMs);
			pollMs = Math.min(LONGEST_POLL_MS, pollMs * 2);
		}
	}

	async #claim(claimed: Claimed, fingerprint: string): Promise<Either.Either<Problem, LedgerOutcome>> {
		const {client, clock, host} = this.#options;
		const proposed = await client.propose({
			type: 'claim', at: clock.wallMs(), key: claimed.key, fingerprint, attempt: claimed.attempt, host,
		}, CLAIM_DEADLINE_MS)();
		if (Either.isLeft(proposed)) {
			return Either.left(createProblem('noQuorum', undefined, 1));
		}

		const {outcome} = proposed.right;
		return outcome.type === 'ledger' ? Either.right(outcome) : Either.left(createProblem('notStarted', undefined, 1));
	}

	async #runGranted(call: Call, claimed: Claimed): Promise<Either.Either<Problem, PlainResponse>> {
		this.#note(call, 'The ledger has granted this key: it has not run before.');
		const result = await this.#sendOnce(call);
		const settlement = createSettlement(result);
		const {client, clock} = this.#options;
		const settled = await client.propose({
			type: 'settle', at: clock.wallMs(), key: claimed.key, attempt: claimed.attempt, ...settlement,
		}, SETTLE_DEADLINE_MS)();
		if (Either.isLeft(settled)) {
			this.#note(call, 'The outcome could not be written to the ledger yet; that goes on in the background.');
			this.#settleInBackground(claimed, settlement);
		}

		return describeOnce(result);
	}

	/** A copy of the claim may still be committed: it must not be granted to a call that has ended. */
	#giveBack(claimed: Claimed): void {
		this.#settleInBackground(claimed, {outcome: 'not-run'});
	}

	#settleInBackground(claimed: Claimed, settlement: Pick<SettleCommand, 'outcome' | 'answer'>): void {
		const {client, clock} = this.#options;
		void client.propose({
			type: 'settle', at: clock.wallMs(), key: claimed.key, attempt: claimed.attempt, ...settlement,
		}, BACKGROUND_SETTLE_MS)();
	}

	/** Sends the work to at most one server that takes it; a server that surely did not run it is passed over. */
	async #sendOnce(call: Call): Promise<PlainResult> {
		const {clock, pool} = this.#options;
		const tried = new Set<string>();
		let last: PlainResult = {type: 'not-run', text: 'No server is in use.'};
		for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
			const server = this.#choose(call, tried);
			const timeoutMs = call.deadlineMs - clock.monotonicMs();
			if (!server || timeoutMs <= 0) {
				return last;
			}

			last = await this.#send(call, server, {attempt, timeoutMs, isFresh: true});
			if (last.type !== 'not-run') {
				return last;
			}

			tried.add(server.server);
			pool.health.recordFailure(server.server, clock.monotonicMs());
		}

		return last;
	}

	#choose(call: Call, tried: ReadonlySet<string>): Announcement | undefined {
		const {pool, random, logger} = this.#options;
		const servers = pool.listPlainServers(call.match.service, tried);
		const first = pick(servers, random);
		const second = pick(servers, random);
		const isFirst = !second || (first && pool.loads.estimate(first.server).requests <= pool.loads.estimate(second.server).requests);
		const chosen = isFirst ? first : second;
		if (chosen) {
			logger.info(`Sends call to ${chosen.server}.`, {
				request: call.exchange.id, server: chosen.server, reason: 'fewer of two', considered: servers.map(({server}) => server),
			});
		}

		return chosen;
	}

	async #send(call: Call, server: Announcement, options: {attempt: number; timeoutMs: number; isFresh: boolean}): Promise<PlainResult> {
		const {plainClient, pool, clock} = this.#options;
		const id = `${call.exchange.id}.${options.attempt}`;
		this.#note(call, `It goes to server ${server.server}.`);
		pool.loads.startRequest(server.server, id, {prefillTokens: 0, outputTokens: 0, promptTokens: 0}, clock.monotonicMs());
		const result = await plainClient.send(server, {
			id,
			method: call.exchange.method,
			path: call.exchange.request.url ?? call.exchange.path,
			headers: passHeaders(call),
			body: call.body,
			timeoutMs: options.timeoutMs,
			usesNewConnection: options.isFresh,
		});
		pool.loads.endRequest(server.server, id);
		if (result.type !== 'answer') {
			this.#note(call, `Server ${server.server}: ${result.text} (${result.type}).`);
		}

		return result;
	}

	#note(call: Call, text: string): void {
		this.#options.journal.addStep(call.exchange.id, text, this.#options.clock.wallMs());
	}
}

/**
 * Tells whether a declared path covers the path of a call; `/*` at its end covers everything below.
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
	if (result.type !== 'answer') {
		return {outcome: result.type};
	}

	const {status, contentType, body} = result.answer;
	return body.length > MAX_KEPT_ANSWER_BYTES
		? {outcome: 'done'}
		: {outcome: 'done', answer: {status, contentType, body: new Uint8Array(body)}};
}

function describeOnce(result: PlainResult): Either.Either<Problem, PlainResponse> {
	switch (result.type) {
		case 'answer': {
			return Either.right(result.answer);
		}

		case 'not-run': {
			return Either.left(createProblem('notStarted', result.text, 1));
		}

		case 'unknown': {
			return Either.left(createProblem('outcomeUnknown', result.text));
		}
	}
}

function describeLedger(known: LedgerOutcome): Either.Either<Problem, PlainResponse> {
	switch (known.state) {
		case 'done': {
			return known.answer
				? Either.right({...known.answer, body: Buffer.from(known.answer.body)})
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

function describeKnown(known: LedgerOutcome): string {
	const texts = {
		granted: 'The key is free.',
		'in-flight': 'The key is in flight.',
		done: `The key has run once, through host ${known.host}; its stored answer is given again.`,
		'not-run': 'The claim was given back before it was granted.',
		unknown: `The key was claimed through host ${known.host}, which was lost before it could tell the outcome; it is not run again.`,
		reused: 'The key was used with another request.',
	};
	return texts[known.state];
}

function fingerprintCall(call: Call): string {
	return createHash('sha256')
		.update(`${call.exchange.method} ${call.exchange.request.url ?? ''}\n`)
		.update(call.body)
		.digest('base64url')
		.slice(0, 24);
}

function passHeaders(call: Call): Record<string, string> {
	const names = [...PASSED_HEADERS, call.match.route.keyHeader ?? DEFAULT_KEY_HEADER];
	const headers: Record<string, string> = {};
	for (const name of names) {
		const value = readHeader(call.exchange.request, name);
		if (value !== undefined) {
			headers[name] = value;
		}
	}

	return headers;
}

function sendAnswer(exchange: Exchange, answer: PlainResponse): void {
	if (exchange.response.destroyed || exchange.response.headersSent) {
		return;
	}

	exchange.response.writeHead(answer.status, {
		'content-type': answer.contentType, 'content-length': answer.body.length, 'x-request-id': exchange.id,
	});
	exchange.response.end(answer.body);
}
