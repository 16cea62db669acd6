#!/usr/bin/env node
/**
 * The operators' command line.
 *
 * @module
 */
import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {parseArgs} from 'node:util';
import * as Either from 'fp-ts/lib/Either.js';
import {createProblem, type Problem} from '../base/problem.js';
import {VERSION} from '../base/version.js';
import type {
	Announcement, ChangeSpecification, Configuration, Peer, ReplicaProgress, Resource, Specification, ViewUpdate,
} from '../generated/types.js';
import {ApiClient} from './client.js';
import {formatExplanation, type Explanation} from './explanation.js';
import {formatTable} from './table.js';

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;
const POLL_MS = 200;
const DEFAULT_HOST = 'http://127.0.0.1:8080';

const HELP = `carawayhoist: operates a fleet through any of its entry hosts.

Usage:
  carawayhoist get [KIND [NAME]]             resources: service, model, engine, team, policy, change
  carawayhoist apply -f FILE                 put the resources of a JSON file (one, or a list)
  carawayhoist delete KIND NAME [--seen V]
  carawayhoist watch [--from V]              follow changes, a line each
  carawayhoist status                        hosts and backend servers
  carawayhoist drain SERVER [--wait]         take no new work there; runs finish
  carawayhoist role SERVER ROLE [--wait]     give an engine the role prefill, decode or mixed
  carawayhoist load SERVER MODEL [VERSION] [--wait]
  carawayhoist withdraw SERVER [--wait]
  carawayhoist replace SERVER REPLACEMENT [--wait]
  carawayhoist explain REQUEST-ID|CHANGE     what happened, as a plain story
  carawayhoist control members
  carawayhoist control add HOST ADDRESS PORT
  carawayhoist control remove REPLICA
  carawayhoist control replace REPLICA HOST ADDRESS PORT

Options:
  --host URL       entry host; repeat it to name others that are asked when one does not answer
                   (default $CARAWAYHOIST_HOST or ${DEFAULT_HOST})
  --key KEY        operator key (default $CARAWAYHOIST_KEY)
  --name NAME      name of the planned change (default: made up)
  --seen VERSION   the version you saw; the call fails if it is another by now
  --output json    for programs
  --wait           wait until the change is finished
  --help, --version

Exit codes: 0 done, 1 refused or failed (the code is printed), 2 wrong command line.
`;

type Options = {
	readonly json: boolean;
	readonly wait: boolean;
	readonly file: string | undefined;
	readonly name: string | undefined;
	readonly seen: number;
	readonly from: number;
};

type Listing = {readonly version: number; readonly resources: Resource[]};

await main();

async function main(): Promise<void> {
	const parsed = readArguments();
	if (Either.isLeft(parsed)) {
		failUsage(parsed.left.text);
		return;
	}

	const {values, positionals} = parsed.right;
	if (values.help) {
		process.stdout.write(HELP);
		return;
	}

	if (values.version) {
		process.stdout.write(`carawayhoist ${VERSION}\n`);
		return;
	}

	const hosts = values.host ?? [process.env.CARAWAYHOIST_HOST ?? DEFAULT_HOST];
	const api = new ApiClient({hosts, key: values.key ?? process.env.CARAWAYHOIST_KEY});
	const problem = await run(api, positionals, {
		json: values.output === 'json',
		wait: values.wait ?? false,
		file: values.file,
		name: values.name,
		seen: Number(values.seen ?? -1),
		from: Number(values.from ?? -1),
	});
	await api.close();
	if (problem) {
		process.stderr.write(`carawayhoist: ${problem.code} ${problem.text}\n`);
		process.exitCode = problem.name === 'usage' ? EXIT_USAGE : EXIT_FAILED;
	}
}

function readArguments() {
	return Either.tryCatch(() => parseArgs({
		allowPositionals: true,
		options: {
			host: {type: 'string', multiple: true},
			key: {type: 'string'},
			file: {type: 'string', short: 'f'},
			name: {type: 'string'},
			seen: {type: 'string'},
			from: {type: 'string'},
			output: {type: 'string'},
			wait: {type: 'boolean'},
			help: {type: 'boolean', short: 'h'},
			version: {type: 'boolean'},
		},
	}), error => createProblem('usage', error instanceof Error ? error.message : String(error)));
}

async function run(api: ApiClient, positionals: readonly string[], options: Options): Promise<Problem | undefined> {
	const [command = '', ...rest] = positionals;
	switch (command) {
		case 'get': {
			return get(api, rest, options);
		}

		case 'apply': {
			return apply(api, options);
		}

		case 'delete': {
			return remove(api, rest, options);
		}

		case 'watch': {
			return watch(api, options);
		}

		case 'status': {
			return status(api, options);
		}

		case 'drain':
		case 'withdraw':
		case 'role':
		case 'load':
		case 'replace': {
			return change(api, command, {rest, options});
		}

		case 'explain': {
			return explain(api, rest, options);
		}

		case 'control': {
			return control(api, rest, options);
		}

		default: {
			return createProblem('usage', command === '' ? 'Name a command.' : `No command ${command}.`);
		}
	}
}

async function get(api: ApiClient, [kind, name]: readonly string[], options: Options): Promise<Problem | undefined> {
	const path = ['resources', kind, name].filter(part => part !== undefined).join('/');
	if (name !== undefined) {
		const resource = await api.request<Resource>({method: 'GET', path});
		return print(resource, options, found => `${JSON.stringify(found, undefined, 2)}\n`);
	}

	const listing = await api.request<Listing>({method: 'GET', path});
	return print(listing, options, ({resources}) => formatTable(['KIND', 'NAME', 'VERSION', 'STATE'], resources.map(resource => [
		resource.specification.kind, resource.name, String(resource.version), resource.status?.phase ?? describeSpecification(resource.specification),
	])));
}

async function apply(api: ApiClient, options: Options): Promise<Problem | undefined> {
	if (options.file === undefined) {
		return createProblem('usage', 'Name a file with -f.');
	}

	const documents = await readDocuments(options.file);
	if (Either.isLeft(documents)) {
		return documents.left;
	}

	for (const {name, seen, specification} of documents.right) {
		const answer = await api.request<{version: number}>({
			method: 'PUT', path: `resources/${specification.kind}/${encodeURIComponent(name)}`, body: {seen: seen ?? options.seen, specification}, requestId: randomUUID(),
		});
		const problem = print(answer, options, ({version}) => `${specification.kind} ${name} has version ${version}.\n`);
		if (problem) {
			return problem;
		}
	}

	return undefined;
}

type Document = {readonly name: string; readonly seen?: number; readonly specification: Specification};

async function readDocuments(file: string): Promise<Either.Either<Problem, Document[]>> {
	try {
		const value = JSON.parse(await readFile(file, 'utf8')) as Document | Document[];
		const documents = Array.isArray(value) ? value : [value];
		const isRight = documents.every(document => typeof document.name === 'string' && typeof document.specification?.kind === 'string');
		return isRight ? Either.right(documents) : Either.left(createProblem('usage', `${file}: each resource needs name and specification.kind.`));
	} catch (error) {
		return Either.left(createProblem('usage', `${file}: ${error instanceof Error ? error.message : String(error)}`));
	}
}

async function remove(api: ApiClient, [kind, name]: readonly string[], options: Options): Promise<Problem | undefined> {
	if (kind === undefined || name === undefined) {
		return createProblem('usage', 'Name a kind and a resource.');
	}

	const answer = await api.request<{version: number}>({
		method: 'DELETE', path: `resources/${kind}/${encodeURIComponent(name)}?seen=${options.seen}`, requestId: randomUUID(),
	});
	return print(answer, options, ({version}) => `${kind} ${name} is deleted at version ${version}.\n`);
}

async function watch(api: ApiClient, options: Options): Promise<Problem | undefined> {
	const isAnswered = await api.streamLines(`watch?from=${options.from}`, line => {
		process.stdout.write(options.json ? `${line}\n` : describeUpdate(JSON.parse(line) as ViewUpdate));
	});
	return isAnswered ? undefined : createProblem('noServer', 'No entry host answers.');
}

function describeUpdate(update: ViewUpdate): string {
	const changed = update.resources.map(({name, version, specification, status}) =>
		`${version}  ${specification.kind} ${name}  ${status?.history.at(-1)?.note ?? describeSpecification(specification)}\n`);
	const removed = update.removed.map(key => `${update.version}  ${key} deleted\n`);
	return [...changed, ...removed].join('');
}

type Status = {
	readonly host: string;
	readonly version: number;
	readonly servers: ReadonlyArray<Announcement & {change: string | null}>;
	readonly hosts: ReadonlyArray<{peer: Peer; dataCentre: string; leaving: boolean}>;
};

async function status(api: ApiClient, options: Options): Promise<Problem | undefined> {
	const answer = await api.request<Status>({method: 'GET', path: 'status'});
	return print(answer, options, ({host, version, servers, hosts}) => [
		`Host ${host} has configuration ${version} in force.\n\n`,
		formatTable(['SERVER', 'KIND', 'ROLE', 'SERVES', 'RUNNING', 'WAITING', 'STATE'], servers.map(server => [
			server.server,
			server.kind,
			server.role ?? '',
			[...server.models ?? [], ...server.services ?? []].join(','),
			String(server.load?.running ?? ''),
			String(server.load?.waiting ?? ''),
			server.leaving ? 'leaving' : (server.change === null ? 'in use' : `change ${server.change}`),
		])),
		'\n',
		formatTable(['HOST', 'DATA CENTRE', 'PEER', 'STATE'], hosts.map(({peer, dataCentre, leaving}) => [
			peer.host, dataCentre, `${peer.address}:${peer.port}`, leaving ? 'leaving' : 'in use',
		])),
	].join(''));
}

async function change(api: ApiClient, action: ChangeSpecification['action'], {rest, options}: {rest: readonly string[]; options: Options}): Promise<Problem | undefined> {
	const specification = createChange(action, rest);
	if (Either.isLeft(specification)) {
		return specification.left;
	}

	const name = options.name ?? `${action}-${specification.right.server}-${randomUUID().slice(0, 8)}`;
	const answer = await api.request<{version: number}>({
		method: 'PUT', path: `resources/change/${encodeURIComponent(name)}`, body: {seen: 0, specification: specification.right}, requestId: randomUUID(),
	});
	const problem = print(answer, options, ({version}) => `Change ${name} is declared at version ${version}.\n`);
	return problem ?? (options.wait ? waitFor(api, name, options) : undefined);
}

function createChange(action: ChangeSpecification['action'], [server, first, second]: readonly string[]): Either.Either<Problem, ChangeSpecification> {
	if (server === undefined) {
		return Either.left(createProblem('usage', `${action} needs a server.`));
	}

	const needsMore = action === 'role' || action === 'load' || action === 'replace';
	if (needsMore && first === undefined) {
		return Either.left(createProblem('usage', `${action} needs one more argument.`));
	}

	switch (action) {
		case 'role': {
			return Either.right({
				kind: 'change', action, server, role: first as ChangeSpecification['role'],
			});
		}

		case 'load': {
			return Either.right({
				kind: 'change', action, server, model: first, ...(second === undefined ? {} : {modelVersion: second}),
			});
		}

		case 'replace': {
			return Either.right({
				kind: 'change', action, server, replacement: first,
			});
		}

		case 'drain':
		case 'withdraw': {
			return Either.right({kind: 'change', action, server});
		}
	}
}

async function waitFor(api: ApiClient, name: string, options: Options): Promise<Problem | undefined> {
	let told = 0;
	for (;;) {
		const resource = await api.request<Resource>({method: 'GET', path: `resources/change/${encodeURIComponent(name)}`});
		if (Either.isLeft(resource) && resource.left.name !== 'noQuorum') {
			return resource.left;
		}

		const {status: progress, specification} = Either.isRight(resource) ? resource.right : {};
		for (const step of progress?.history.slice(told) ?? []) {
			process.stdout.write(options.json ? `${JSON.stringify(step)}\n` : `  ${step.phase}: ${step.note}\n`);
			told++;
		}

		const isDrain = (specification as ChangeSpecification | undefined)?.action === 'drain';
		if (progress?.phase === 'done' || (isDrain && progress?.phase === 'drained')) {
			return undefined;
		}

		if (progress?.phase === 'failed') {
			return createProblem('serverFailed', progress.history.at(-1)?.note);
		}

		await new Promise(resolve => {
			setTimeout(resolve, POLL_MS);
		});
	}
}

async function explain(api: ApiClient, [subject]: readonly string[], options: Options): Promise<Problem | undefined> {
	if (subject === undefined) {
		return createProblem('usage', 'Name a request or a change.');
	}

	const story = await api.request<Explanation>({method: 'GET', path: `explain/${encodeURIComponent(subject)}`});
	return print(story, options, formatExplanation);
}

type MembersAnswer = {
	readonly configuration: Configuration;
	readonly leader: string;
	readonly term: number;
	readonly commitIndex: number;
	readonly repair?: string;
	readonly progress: readonly ReplicaProgress[];
};

async function control(api: ApiClient, [action, ...rest]: readonly string[], options: Options): Promise<Problem | undefined> {
	const body = createMembersCall(action, rest);
	if (Either.isLeft(body)) {
		return body.left;
	}

	const call = body.right === undefined
		? {method: 'GET', path: 'members'} as const
		: {method: 'POST', path: 'members', body: body.right} as const;
	const answer = await api.request<MembersAnswer>(call);
	return print(answer, options, describeMembers);
}

function createMembersCall(action: string | undefined, rest: readonly string[]): Either.Either<Problem, unknown> {
	const createMember = ([host, address, port]: readonly string[]) => ({host, address, port: Number(port)});
	switch (action) {
		case 'members': {
			return Either.right(undefined);
		}

		case 'add': {
			return Either.right({action, member: createMember(rest)});
		}

		case 'remove': {
			return Either.right({action, replica: rest[0]});
		}

		case 'replace': {
			return Either.right({action, replica: rest[0], member: createMember(rest.slice(1))});
		}

		default: {
			return Either.left(createProblem('usage', 'control members|add|remove|replace'));
		}
	}
}

function describeMembers(answer: MembersAnswer): string {
	const {configuration, progress} = answer;
	const rows = [
		...configuration.voters.map(member => ({member, role: member.replica === answer.leader ? 'leader' : 'voter'})),
		...configuration.outgoing.filter(member => !configuration.voters.some(voter => voter.replica === member.replica)).map(member => ({member, role: 'leaving voter'})),
		...configuration.learners.map(member => ({member, role: 'learner'})),
	].map(({member, role}) => {
		const own = progress.find(({replica}) => replica === member.replica);
		const behind = answer.commitIndex - (own?.matchIndex ?? 0);
		return [member.replica, member.host, `${member.address}:${member.port}`, role, own?.alive ? 'alive' : 'silent', behind <= 0 ? 'complete' : `${behind} entries behind`];
	});
	const repair = answer.repair === undefined ? 'No repair is under way.' : `Not finished: ${answer.repair}.`;
	return `${formatTable(['REPLICA', 'HOST', 'PEER', 'ROLE', 'STATE', 'LOG'], rows)}\n${repair} Term ${answer.term}, committed ${answer.commitIndex}.\n`;
}

function describeSpecification(specification: Specification): string {
	const {kind: _kind, ...rest} = specification;
	return JSON.stringify(rest);
}

function print<Answer>(answer: Either.Either<Problem, Answer>, options: Options, format: (answer: Answer) => string): Problem | undefined {
	if (Either.isLeft(answer)) {
		return answer.left;
	}

	process.stdout.write(options.json ? `${JSON.stringify(answer.right)}\n` : format(answer.right));
	return undefined;
}

function failUsage(text: string): void {
	process.stderr.write(`carawayhoist: ${text}\n`);
	process.exitCode = EXIT_USAGE;
}
