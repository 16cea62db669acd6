/**
 * What must always hold, checked after every step of the fuzzer.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import {ControlState} from '../../src/control/state.js';
import type {
	Command, Configuration, Entry, CommandOutcome, Resource, Snapshot,
} from '../../src/generated/types.js';
import {decodeCbor} from '../../src/wire/frame.js';
import type {ControlProcess} from './control.js';
import type {Mutation} from './mutations.js';

/** What a caller was told about work that may not be repeated. */
export type Told
	= | {readonly type: 'done'; readonly booking: string}
		| {readonly type: 'not-run'}
		| {readonly type: 'unknown'};

type Committed = {
	readonly term: number;
	readonly hash: string;
};

/** Collects what the processes do and finds what must not be. */
export class Checks {
	readonly violations: string[] = [];
	readonly firstConfiguration: Configuration;
	/** The state as the committed log makes it, each entry applied once. */
	reference: ControlState;
	readonly #mutation: Mutation | undefined;
	readonly #leaders = new Map<number, string>();
	readonly #committed = new Map<number, Committed>();
	readonly #digests = new Map<number, string>();
	readonly #runsByKey = new Map<string, string[]>();
	readonly #notRunAttempts = new Set<string>();
	readonly #answersByKey = new Map<string, string>();
	readonly #accepted = new Map<string, string>();
	readonly #outcomes = new Map<string, string>();
	readonly #inForce = new Map<string, number>();
	readonly #executed = new Map<string, number>();
	readonly #sentOrders = new Map<string, number>();
	readonly #waiting = new Map<number, Entry>();
	#referenceIndex = 0;
	#acceptedVersion = 0;

	constructor(firstConfiguration: Configuration, mutation: Mutation | undefined) {
		this.firstConfiguration = firstConfiguration;
		this.#mutation = mutation;
		this.reference = new ControlState(undefined, mutation !== 'no-claim-before-send');
	}

	get runCount(): number {
		return this.#runsByKey.size;
	}

	/** The highest version that an operator was told. */
	get acceptedVersion(): number {
		return this.#acceptedVersion;
	}

	get orderCount(): number {
		return this.#sentOrders.size;
	}

	get committedCount(): number {
		return this.#committed.size;
	}

	noteLeader(term: number, identity: string): void {
		const known = this.#leaders.get(term);
		if (known !== undefined && known !== identity) {
			this.fail(`two leaders in term ${term}: ${known} and ${identity}`);
		}

		this.#leaders.set(term, identity);
	}

	noteCommit(host: string, entry: Entry): void {
		const hash = createHash('sha1').update(entry.type === 'command' ? entry.data : JSON.stringify(entry)).digest('base64');
		const known = this.#committed.get(entry.index);
		if (known && (known.term !== entry.term || known.hash !== hash)) {
			this.fail(`${host} commits another entry at ${entry.index}: term ${entry.term}, was term ${known.term}`);
			return;
		}

		this.#committed.set(entry.index, {term: entry.term, hash});
		if (!known) {
			this.#waiting.set(entry.index, entry);
			this.#advanceReference();
		}
	}

	noteRestore(host: string, snapshot: Snapshot): void {
		const known = this.#committed.get(snapshot.index);
		if (known && known.term !== snapshot.term) {
			this.fail(`${host} restores another entry at ${snapshot.index}`);
		}
	}

	/** Compares the replicas that may act as leader now. */
	checkAuthority(controls: Iterable<ControlProcess>): void {
		const holders = [...controls].filter(control => control.hasAuthority);
		if (holders.length > 1) {
			this.fail(`${holders.map(control => control.identity).join(' and ')} hold authority at once`);
		}
	}

	noteView(host: string, version: number, resources: readonly Resource[]): void {
		const before = this.#inForce.get(host) ?? -1;
		if (version < before) {
			this.fail(`configuration at ${host} goes back from ${before} to ${version}`);
		}

		this.#inForce.set(host, version);
		const expected = this.#digests.get(version);
		if (version > 0 && expected !== undefined && expected !== describeResources(resources)) {
			this.fail(`${host} holds another configuration ${version} than was accepted`);
		}
	}

	noteRun(key: string, attempt: string): void {
		const runs = this.#runsByKey.get(key) ?? [];
		runs.push(attempt);
		this.#runsByKey.set(key, runs);
		if (runs.length > 1) {
			this.fail(`${key} ran ${runs.length} times: ${runs.join(', ')}`);
		}

		if (this.#notRunAttempts.has(attempt)) {
			this.fail(`${key} runs as ${attempt}, of which a caller was told that it did not run`);
		}
	}

	noteTold(key: string, attempt: string, told: Told): void {
		if (told.type === 'not-run') {
			this.#notRunAttempts.add(attempt);
			if (this.#runsByKey.get(key)?.includes(attempt)) {
				this.fail(`a caller is told that ${key} did not run as ${attempt}, but it did`);
			}
		}

		if (told.type === 'done') {
			const known = this.#answersByKey.get(key);
			if (known !== undefined && known !== told.booking) {
				this.fail(`${key} is answered with ${told.booking}, before with ${known}`);
			}

			this.#answersByKey.set(key, told.booking);
			if (!told.booking.startsWith(key)) {
				this.fail(`${key} gets the answer of another request: ${told.booking}`);
			}
		}
	}

	noteRead(host: string, version: number, floor: number): void {
		if (version < floor) {
			this.fail(`a read through ${host} shows configuration ${version}, though ${floor} was accepted before it began`);
		}
	}

	/** Notes what an operator was told. */
	notePut(requestId: string, name: string, seen: number, outcome: CommandOutcome): void {
		const text = JSON.stringify(outcome);
		const known = this.#outcomes.get(requestId);
		if (known !== undefined && known !== text) {
			this.fail(`request ${requestId} is answered ${text}, before ${known}`);
		}

		this.#outcomes.set(requestId, text);
		if (outcome.type === 'accepted') {
			this.#acceptedVersion = Math.max(this.#acceptedVersion, outcome.version);
		}

		if (outcome.type === 'accepted' && seen >= 0) {
			const key = `${name}@${seen}`;
			const winner = this.#accepted.get(key);
			if (winner !== undefined && winner !== requestId) {
				this.fail(`both ${winner} and ${requestId} are accepted on ${key}`);
			}

			this.#accepted.set(key, requestId);
		}
	}

	noteOrderSent(server: string, order: number): void {
		this.#sentOrders.set(`${server}/${order}`, order);
	}

	/** Highest order that a server has carried out; 0 if none. */
	highestExecuted(server: string): number {
		return this.#executed.get(server) ?? 0;
	}

	noteOrderExecuted(server: string, order: number): void {
		const highest = this.#executed.get(server) ?? 0;
		if (order < highest) {
			this.fail(`${server} carries out order ${order} after order ${highest}`);
		}

		this.#executed.set(server, Math.max(order, highest));
	}

	noteCut(server: string, request: string): void {
		this.fail(`the order at ${server} cuts request ${request}`);
	}

	fail(text: string): void {
		this.violations.push(text);
	}

	#advanceReference(): void {
		for (;;) {
			const entry = this.#waiting.get(this.#referenceIndex + 1);
			if (!entry) {
				return;
			}

			this.#waiting.delete(entry.index);
			this.#referenceIndex = entry.index;
			if (entry.type === 'command') {
				const command = decodeCbor(entry.data) as Command;
				const isJudgedAnew = this.#mutation === 'no-request-memory' && command.type === 'put';
				this.reference.apply(isJudgedAnew ? {...command, requestId: `${command.requestId}@${entry.index}`} : command, entry.index);
				this.#digests.set(this.reference.viewVersion, describeResources(this.reference.listResources()));
			} else {
				this.reference.skip(entry.index);
			}
		}
	}
}

function describeResources(resources: readonly Resource[]): string {
	return resources.map(({name, version, specification}) => `${specification.kind}/${name}@${version}`).toSorted().join(' ');
}
