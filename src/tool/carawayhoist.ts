#!/usr/bin/env node
/**
 * Command line for operators.
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

const HELP = `carawayhoist: manages a system through any of its entry hosts.

Usage:
  carawayhoist get [KIND [NAME]]             list resources, or show one; kinds: service, model, engine,
                                             team, policy, change
  carawayhoist apply -f FILE                 create or update the resources in a JSON file (one, or a list)
  carawayhoist delete KIND NAME [--seen V]   delete a resource
  carawayhoist watch [--from V]              print each change of a resource as it happens
  carawayhoist status                        show hosts and backend servers
  carawayhoist drain SERVER [--wait]         send no new requests to a server; running ones finish
  carawayhoist role SERVER ROLE [--wait]     change the role of an engine to prefill, decode or mixed
  carawayhoist load SERVER MODEL [VERSION] [--wait]
                                             load a model on an engine
  carawayhoist withdraw SERVER [--wait]      take a server out of service
  carawayhoist replace SERVER REPLACEMENT [--wait]
                                             replace a server by another one
  carawayhoist explain REQUEST-ID|CHANGE     show what happened to a request or a planned change
  carawayhoist control members               show the control hosts and the state of their replicas
  carawayhoist control add HOST ADDRESS PORT
  carawayhoist control remove REPLICA
  carawayhoist control replace REPLICA HOST ADDRESS PORT

Options:
  --host URL       entry host; repeat it to name others to try if one does not respond
                   (default: $CARAWAYHOIST_HOST or ${DEFAULT_HOST})
  --key KEY        operator key (default: $CARAWAYHOIST_KEY)
  --name NAME      name of the planned change (default: generated)
  --seen VERSION   expected version of the resource; fail if the current one differs
  --output json    print JSON instead of text
  --wait           wait until the change is finished
  --help, --version

Exit codes: 0 success, 1 refused or failed (the error code is printed), 2 invalid command line.
`;

type Options = {
	readonly json: boolean;
	readonly wait: boolean;
	readonly file: string | undefined;
	readonly name: string | undefined;
	readonly seen: number;
	readonly from: number;
};

type ResourceListing = {readonly version: number; readonly resources: Resource[]};

await main();

async function main(): Promise<void> {
	const parsed = readArguments();
	if (Either.isLeft(parsed)) {
		printUsageError(parsed.left.text);
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
	const client = new ApiClient({hosts, key: values.key ?? process.env.CARAWAYHOIST_KEY});
	const problem = await runCommand(client, positionals, {
		json: values.output === 'json',
		wait: values.wait ?? false,
		file: values.file,
		name: values.name,
		seen: Number(values.seen ?? -1),
		from: Number(values.from ?? -1),
	});
	await client.close();
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

async function runCommand(client: ApiClient, positionals: readonly string[], options: Options): Promise<Problem | undefined> {
	const [command = '', ...rest] = positionals;
	switch (command) {
		case 'get': {
			return getResources(client, rest, options);
		}

		case 'apply': {
			return applyFile(client, options);
		}

		case 'delete': {
			return deleteResource(client, rest, options);
		}

		case 'watch': {
			return watchResources(client, options);
		}

		case 'status': {
			return printStatus(client, options);
		}

		case 'drain':
		case 'withdraw':
		case 'role':
		case 'load':
		case 'replace': {
			return declareChange(client, command, {rest, options});
		}

		case 'explain': {
			return printExplanation(client, rest, options);
		}

		case 'control': {
			return manageControlMembers(client, rest, options);
		}

		default: {
			return createProblem('usage', command === '' ? 'A command is missing.' : `Unknown command: ${command}.`);
		}
	}
}

async function getResources(client: ApiClient, [kind, name]: readonly string[], options: Options): Promise<Problem | undefined> {
	const path = ['resources', kind, name].filter(part => part !== undefined).join('/');
	if (name !== undefined) {
		const resource = await client.request<Resource>({method: 'GET', path});
		return printResult(resource, options, found => `${JSON.stringify(found, undefined, 2)}\n`);
	}

	const listing = await client.request<ResourceListing>({method: 'GET', path});
	return printResult(listing, options, ({resources}) => formatTable(['KIND', 'NAME', 'VERSION', 'STATE'], resources.map(resource => [
		resource.specification.kind, resource.name, String(resource.version), resource.status?.phase ?? formatSpecification(resource.specification),
	])));
}

async function applyFile(client: ApiClient, options: Options): Promise<Problem | undefined> {
	if (options.file === undefined) {
		return createProblem('usage', 'apply needs a file: -f FILE.');
	}

	const documents = await readDocuments(options.file);
	if (Either.isLeft(documents)) {
		return documents.left;
	}

	for (const {name, seen, specification} of documents.right) {
		const result = await client.request<{version: number}>({
			method: 'PUT', path: `resources/${specification.kind}/${encodeURIComponent(name)}`, body: {seen: seen ?? options.seen, specification}, requestId: randomUUID(),
		});
		const problem = printResult(result, options, ({version}) => `${specification.kind} ${name} has version ${version}.\n`);
		if (problem) {
			return problem;
		}
	}

	return undefined;
}

/** One resource in the file of `apply`. */
type ResourceDocument = {readonly name: string; readonly seen?: number; readonly specification: Specification};

async function readDocuments(file: string): Promise<Either.Either<Problem, ResourceDocument[]>> {
	try {
		const value = JSON.parse(await readFile(file, 'utf8')) as ResourceDocument | ResourceDocument[];
		const documents = Array.isArray(value) ? value : [value];
		const isValid = documents.every(document => typeof document.name === 'string' && typeof document.specification?.kind === 'string');
		return isValid ? Either.right(documents) : Either.left(createProblem('usage', `${file}: every resource needs a name and a specification.kind.`));
	} catch (error) {
		return Either.left(createProblem('usage', `${file}: ${error instanceof Error ? error.message : String(error)}`));
	}
}

async function deleteResource(client: ApiClient, [kind, name]: readonly string[], options: Options): Promise<Problem | undefined> {
	if (kind === undefined || name === undefined) {
		return createProblem('usage', 'delete needs the kind and the name of a resource.');
	}

	const result = await client.request<{version: number}>({
		method: 'DELETE', path: `resources/${kind}/${encodeURIComponent(name)}?seen=${options.seen}`, requestId: randomUUID(),
	});
	return printResult(result, options, ({version}) => `${kind} ${name} is deleted at version ${version}.\n`);
}

async function watchResources(client: ApiClient, options: Options): Promise<Problem | undefined> {
	const hasResponse = await client.streamLines(`watch?from=${options.from}`, line => {
		process.stdout.write(options.json ? `${line}\n` : formatUpdate(JSON.parse(line) as ViewUpdate));
	});
	return hasResponse ? undefined : createProblem('noServer', 'No entry host answers.');
}

function formatUpdate(update: ViewUpdate): string {
	const changed = update.resources.map(({name, version, specification, status}) =>
		`${version}  ${specification.kind} ${name}  ${status?.history.at(-1)?.note ?? formatSpecification(specification)}\n`);
	const removed = update.removed.map(key => `${update.version}  ${key} deleted\n`);
	return [...changed, ...removed].join('');
}

type StatusResponse = {
	readonly host: string;
	readonly version: number;
	readonly servers: ReadonlyArray<Announcement & {change: string | null}>;
	readonly hosts: ReadonlyArray<{peer: Peer; dataCentre: string; leaving: boolean}>;
};

async function printStatus(client: ApiClient, options: Options): Promise<Problem | undefined> {
	const result = await client.request<StatusResponse>({method: 'GET', path: 'status'});
	return printResult(result, options, ({host, version, servers, hosts}) => [
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

async function declareChange(client: ApiClient, action: ChangeSpecification['action'], {rest, options}: {rest: readonly string[]; options: Options}): Promise<Problem | undefined> {
	const specification = createChange(action, rest);
	if (Either.isLeft(specification)) {
		return specification.left;
	}

	const name = options.name ?? `${action}-${specification.right.server}-${randomUUID().slice(0, 8)}`;
	const result = await client.request<{version: number}>({
		method: 'PUT', path: `resources/change/${encodeURIComponent(name)}`, body: {seen: 0, specification: specification.right}, requestId: randomUUID(),
	});
	const problem = printResult(result, options, ({version}) => `Change ${name} is declared at version ${version}.\n`);
	return problem ?? (options.wait ? waitForChange(client, name, options) : undefined);
}

function createChange(action: ChangeSpecification['action'], [server, firstArgument, secondArgument]: readonly string[]): Either.Either<Problem, ChangeSpecification> {
	if (server === undefined) {
		return Either.left(createProblem('usage', `${action} needs a server.`));
	}

	const needsArgument = action === 'role' || action === 'load' || action === 'replace';
	if (needsArgument && firstArgument === undefined) {
		return Either.left(createProblem('usage', `${action} needs one more argument.`));
	}

	switch (action) {
		case 'role': {
			return Either.right({
				kind: 'change', action, server, role: firstArgument as ChangeSpecification['role'],
			});
		}

		case 'load': {
			return Either.right({
				kind: 'change', action, server, model: firstArgument, ...(secondArgument === undefined ? {} : {modelVersion: secondArgument}),
			});
		}

		case 'replace': {
			return Either.right({
				kind: 'change', action, server, replacement: firstArgument,
			});
		}

		case 'drain':
		case 'withdraw': {
			return Either.right({kind: 'change', action, server});
		}
	}
}

/** Prints the history of a planned change until it is done or failed; a drain is finished once the server is drained. */
async function waitForChange(client: ApiClient, name: string, options: Options): Promise<Problem | undefined> {
	let printedSteps = 0;
	for (;;) {
		const resource = await client.request<Resource>({method: 'GET', path: `resources/change/${encodeURIComponent(name)}`});
		if (Either.isLeft(resource) && resource.left.name !== 'noQuorum') {
			return resource.left;
		}

		const {status: progress, specification} = Either.isRight(resource) ? resource.right : {};
		for (const step of progress?.history.slice(printedSteps) ?? []) {
			process.stdout.write(options.json ? `${JSON.stringify(step)}\n` : `  ${step.phase}: ${step.note}\n`);
			printedSteps++;
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

async function printExplanation(client: ApiClient, [subject]: readonly string[], options: Options): Promise<Problem | undefined> {
	if (subject === undefined) {
		return createProblem('usage', 'explain needs a request id or the name of a change.');
	}

	const explanation = await client.request<Explanation>({method: 'GET', path: `explain/${encodeURIComponent(subject)}`});
	return printResult(explanation, options, formatExplanation);
}

type MembersResponse = {
	readonly configuration: Configuration;
	readonly leader: string;
	readonly term: number;
	readonly commitIndex: number;
	readonly repair?: string;
	readonly progress: readonly ReplicaProgress[];
};

async function manageControlMembers(client: ApiClient, [action, ...rest]: readonly string[], options: Options): Promise<Problem | undefined> {
	const body = createMembersRequest(action, rest);
	if (Either.isLeft(body)) {
		return body.left;
	}

	const request = body.right === undefined
		? {method: 'GET', path: 'members'} as const
		: {method: 'POST', path: 'members', body: body.right} as const;
	const result = await client.request<MembersResponse>(request);
	return printResult(result, options, formatMembers);
}

function createMembersRequest(action: string | undefined, rest: readonly string[]): Either.Either<Problem, unknown> {
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
			return Either.left(createProblem('usage', 'control needs one of: members, add, remove, replace.'));
		}
	}
}

function formatMembers(result: MembersResponse): string {
	const {configuration, progress} = result;
	const rows = [
		...configuration.voters.map(member => ({member, role: member.replica === result.leader ? 'leader' : 'voter'})),
		...configuration.outgoing.filter(member => !configuration.voters.some(voter => voter.replica === member.replica)).map(member => ({member, role: 'leaving voter'})),
		...configuration.learners.map(member => ({member, role: 'learner'})),
	].map(({member, role}) => {
		const memberProgress = progress.find(({replica}) => replica === member.replica);
		const missingEntries = result.commitIndex - (memberProgress?.matchIndex ?? 0);
		return [member.replica, member.host, `${member.address}:${member.port}`, role, memberProgress?.alive ? 'alive' : 'silent', missingEntries <= 0 ? 'complete' : `${missingEntries} entries behind`];
	});
	const repair = result.repair === undefined ? 'No repair is under way.' : `Not finished: ${result.repair}.`;
	return `${formatTable(['REPLICA', 'HOST', 'PEER', 'ROLE', 'STATE', 'LOG'], rows)}\n${repair} Term ${result.term}, committed ${result.commitIndex}.\n`;
}

function formatSpecification(specification: Specification): string {
	const {kind: _kind, ...rest} = specification;
	return JSON.stringify(rest);
}

function printResult<Body>(result: Either.Either<Problem, Body>, options: Options, format: (result: Body) => string): Problem | undefined {
	if (Either.isLeft(result)) {
		return result.left;
	}

	process.stdout.write(options.json ? `${JSON.stringify(result.right)}\n` : format(result.right));
	return undefined;
}

function printUsageError(text: string): void {
	process.stderr.write(`carawayhoist: ${text}\n`);
	process.exitCode = EXIT_USAGE;
}
