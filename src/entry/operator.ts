/**
 * The operators' HTTP API: reads, writes, deletes and watches resources, reports status, manages the control replicas,
 * and explains what happened to a request or a planned change. A write can name the version of the resource that the
 * operator has seen; it is rejected if the resource has changed since.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {EventEmitter, once} from 'node:events';
import * as Either from 'fp-ts/lib/Either.js';
import {request as httpRequest} from 'undici';
import type {Clock} from '../base/clock.js';
import {createProblem, findProblemName, type Problem} from '../base/problem.js';
import {formatValidationErrors, validate} from '../base/validate.js';
import type {ControlClient} from '../control/client.js';
import type {
	MembersRequest, Peer, ProposeReply, Resource, ViewUpdate,
} from '../generated/types.js';
import type {Directory} from '../membership/directory.js';
import {
	parseJson, readHeader, sendJson, sendProblem, type Exchange,
} from './exchange.js';
import {formatUrlHost} from './agent.js';
import type {RequestJournal} from './journal.js';
import type {ResourceView, ViewTask} from './view.js';

export type OperatorHandlerOptions = {
	readonly host: string;
	readonly client: ControlClient;
	readonly view: ResourceView;
	readonly viewTask: ViewTask;
	readonly directory: Directory;
	readonly journal: RequestJournal;
	readonly clock: Clock;
};

/** Prefix of all paths of the API. */
export const OPERATOR_PATH_PREFIX = '/api/v1/';
const KINDS = new Set(['service', 'model', 'engine', 'team', 'policy', 'change']);
const WATCH_HEARTBEAT_MS = 5000;
const FORWARD_TIMEOUT_MS = 2000;

/** Handles requests of operators. */
export class OperatorHandler {
	readonly #options: OperatorHandlerOptions;

	constructor(options: OperatorHandlerOptions) {
		this.#options = options;
	}

	/** Handles one request. */
	async handle(exchange: Exchange, body: Buffer): Promise<void> {
		const [collection, kind, name] = exchange.path.slice(OPERATOR_PATH_PREFIX.length).split('/').map(part => decodeURIComponent(part));
		switch (collection) {
			case 'resources': {
				await this.#handleResources(exchange, body, {kind, name});
				return;
			}

			case 'watch': {
				await this.#watch(exchange);
				return;
			}

			case 'status': {
				this.#sendStatus(exchange);
				return;
			}

			case 'members': {
				await this.#handleMembers(exchange, body);
				return;
			}

			case 'explain': {
				await this.#explain(exchange, kind ?? '');
				return;
			}

			default: {
				sendProblem(exchange, createProblem('notFound', exchange.path));
			}
		}
	}

	async #handleResources(exchange: Exchange, body: Buffer, target: {kind: string | undefined; name: string | undefined}): Promise<void> {
		const {kind, name} = target;
		if (kind !== undefined && !KINDS.has(kind)) {
			sendProblem(exchange, createProblem('notFound', `No kind ${kind}; there are ${[...KINDS].join(', ')}.`));
			return;
		}

		if (exchange.method === 'GET') {
			await this.#read(exchange, kind, name);
			return;
		}

		if (kind === undefined || name === undefined) {
			sendProblem(exchange, createProblem('badRequest', 'Name a kind and a resource.'));
			return;
		}

		if (exchange.method === 'PUT') {
			await this.#put(exchange, body, {kind, name});
			return;
		}

		if (exchange.method === 'DELETE') {
			await this.#remove(exchange, {kind, name});
			return;
		}

		sendProblem(exchange, createProblem('badRequest', `No method ${exchange.method} here.`));
	}

	async #read(exchange: Exchange, kind: string | undefined, name: string | undefined): Promise<void> {
		const reply = await this.#options.client.readResources(-1)();
		if (Either.isLeft(reply)) {
			sendProblem(exchange, reply.left);
			return;
		}

		const {version, resources} = reply.right.view;
		const matching = resources.filter(resource => kind === undefined || resource.specification.kind === kind);
		if (name === undefined) {
			sendJson(exchange, 200, {version, resources: matching});
			return;
		}

		const resource = matching.find(candidate => candidate.name === name);
		if (resource) {
			sendJson(exchange, 200, resource);
		} else {
			sendProblem(exchange, createProblem('notFound', `No ${kind ?? 'resource'} ${name}.`));
		}
	}

	async #put(exchange: Exchange, body: Buffer, target: {kind: string; name: string}): Promise<void> {
		const parsed = parseJson(body);
		if (Either.isLeft(parsed)) {
			sendProblem(exchange, parsed.left);
			return;
		}

		const {seen = -1, specification} = parsed.right;
		const checked = validate('Specification', specification);
		if (Either.isLeft(checked)) {
			sendProblem(exchange, createProblem('resourceInvalid', formatValidationErrors(checked.left)));
			return;
		}

		const isVersion = typeof seen === 'number' && Number.isInteger(seen) && seen >= -1;
		const isName = /^[A-Za-z\d][\w.\-]{0,99}$/v.test(target.name);
		if (!isVersion || !isName || checked.right.kind !== target.kind) {
			sendProblem(exchange, createProblem('resourceInvalid', 'The name, the kind or the version seen is wrong.'));
			return;
		}

		const reply = await this.#options.client.propose({
			type: 'put',
			at: this.#options.clock.wallMs(),
			requestId: readHeader(exchange.request, 'idempotency-key') ?? randomUUID(),
			name: target.name,
			seen,
			specification: checked.right,
		})();
		sendOutcome(exchange, reply);
	}

	async #remove(exchange: Exchange, {kind, name}: {kind: string; name: string}): Promise<void> {
		const seen = Number(exchange.query.get('seen') ?? -1);
		if (!Number.isInteger(seen) || seen < -1) {
			sendProblem(exchange, createProblem('badRequest', 'seen must be a version.'));
			return;
		}

		const reply = await this.#options.client.propose({
			type: 'remove',
			at: this.#options.clock.wallMs(),
			requestId: readHeader(exchange.request, 'idempotency-key') ?? randomUUID(),
			kind,
			name,
			seen,
		})();
		sendOutcome(exchange, reply);
	}

	/** Streams all changes since a version, one JSON object per line. A watch resumes from the version of the last line. */
	async #watch(exchange: Exchange): Promise<void> {
		let from = Number(exchange.query.get('from') ?? -1);
		if (!Number.isInteger(from) || from < -1) {
			sendProblem(exchange, createProblem('badRequest', 'from must be a version.'));
			return;
		}

		const {response} = exchange;
		const events = new EventEmitter();
		const notify = () => {
			events.emit('update');
		};

		const removeListener = this.#options.viewTask.onChange(notify);
		const heartbeat = setInterval(notify, WATCH_HEARTBEAT_MS);
		response.once('close', notify);
		while (!response.destroyed) {
			const notified = once(events, 'update');
			const reply = await this.#options.client.readResources(from)();
			const update = Either.isRight(reply) ? reply.right.view : undefined;
			if (update && (update.version > from || !response.headersSent)) {
				from = Math.max(from, update.version);
				writeUpdate(exchange, update);
			}

			await notified;
		}

		clearInterval(heartbeat);
		removeListener();
	}

	#sendStatus(exchange: Exchange): void {
		const {host, view, viewTask, directory, clock} = this.#options;
		const servers = directory.listServers(clock.monotonicMs()).map(announcement => ({
			...announcement, change: view.findExclusion(announcement.server)?.name ?? null,
		}));
		sendJson(exchange, 200, {
			host, version: view.version, hasLease: viewTask.hasLease, servers, hosts: directory.listHosts(),
		});
	}

	async #handleMembers(exchange: Exchange, body: Buffer): Promise<void> {
		let message: Omit<MembersRequest, 'id'> = {type: 'members', action: 'list'};
		if (exchange.method === 'POST') {
			const parsed = parseJson(body);
			if (Either.isLeft(parsed)) {
				sendProblem(exchange, parsed.left);
				return;
			}

			const checked = validate('Message', {...parsed.right, type: 'members', id: 0});
			if (Either.isLeft(checked)) {
				sendProblem(exchange, createProblem('badRequest', formatValidationErrors(checked.left)));
				return;
			}

			const {action, member, replica} = parsed.right as {action: MembersRequest['action']; member?: Peer; replica?: string};
			message = {
				type: 'members', action, ...(member ? {member} : {}), ...(replica === undefined ? {} : {replica}),
			};
		}

		const reply = await this.#options.client.manageMembers(message)();
		if (Either.isLeft(reply)) {
			sendProblem(exchange, reply.left);
			return;
		}

		const {type: _type, id: _id, ...result} = reply.right;
		sendJson(exchange, 200, result);
	}

	/** Sends the timeline of a request or a planned change. */
	async #explain(exchange: Exchange, subject: string): Promise<void> {
		const {journal} = this.#options;
		const entry = journal.findEntry(subject);
		if (entry) {
			sendJson(exchange, 200, {
				subject, title: entry.title, outcome: entry.outcome, startedAt: entry.startedAt, steps: entry.steps,
			});
			return;
		}

		const change = this.#options.view.get('change', subject);
		if (change) {
			sendJson(exchange, 200, explainChange(change));
			return;
		}

		const explanation = exchange.query.get('forwarded') === null ? await this.#fetchExplanation(exchange, subject) : undefined;
		if (explanation === undefined) {
			sendProblem(exchange, createProblem('notFound', `Nothing is known of ${subject}; requests are kept for a while by the host that served them.`));
			return;
		}

		sendJson(exchange, 200, explanation);
	}

	/** Asks the host that served a request for its timeline. The ID of a request starts with the name of that host. */
	async #fetchExplanation(exchange: Exchange, subject: string): Promise<unknown> {
		const fact = this.#options.directory.listHosts().find(host => subject.startsWith(`${host.peer.host}_`));
		if (!fact?.http || fact.peer.host === this.#options.host) {
			return undefined;
		}

		const url = `http://${formatUrlHost(fact.http.address)}:${fact.http.port}${OPERATOR_PATH_PREFIX}explain/${encodeURIComponent(subject)}?forwarded=1`;
		const authorization = readHeader(exchange.request, 'authorization');
		try {
			const {statusCode, body} = await httpRequest(url, {
				headersTimeout: FORWARD_TIMEOUT_MS, bodyTimeout: FORWARD_TIMEOUT_MS, headers: authorization === undefined ? {} : {authorization},
			});
			const explanation = await body.json();
			return statusCode === 200 ? explanation : undefined;
		} catch {
			return undefined;
		}
	}
}

function writeUpdate(exchange: Exchange, update: ViewUpdate): void {
	const {response} = exchange;
	if (!response.headersSent) {
		response.writeHead(200, {'content-type': 'application/x-ndjson', 'cache-control': 'no-cache', 'x-request-id': exchange.id});
	}

	response.write(`${JSON.stringify(update)}\n`);
}

function sendOutcome(exchange: Exchange, reply: Either.Either<Problem, ProposeReply>): void {
	if (Either.isLeft(reply)) {
		sendProblem(exchange, reply.left);
		return;
	}

	const {outcome} = reply.right;
	if (outcome.type === 'conflict') {
		const problem = {...createProblem(findProblemName(outcome.code)), text: outcome.text};
		sendJson(exchange, problem.status, {
			error: {
				message: outcome.text, code: outcome.code, name: problem.name, outcome: problem.outcome, version: outcome.version,
			},
		}, {'carawayhoist-code': String(outcome.code), 'carawayhoist-outcome': problem.outcome});
		return;
	}

	sendJson(exchange, 200, {version: outcome.type === 'accepted' ? outcome.version : reply.right.index});
}

function explainChange(change: Resource) {
	const history = change.status?.history ?? [];
	return {
		subject: change.name,
		title: `The planned change ${change.name}`,
		outcome: change.status?.phase ?? 'declared',
		startedAt: history[0]?.at ?? 0,
		steps: history.map(({at, note}) => ({at, text: note})),
	};
}
