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
export type BookingOutcome
	= | {readonly type: 'done'; readonly booking: string}
		| {readonly type: 'not-run'}
		| {readonly type: 'unknown'};

type Committed = {
	readonly term: number;
	readonly hash: string;
};

/** Collects what the processes do and finds what must not be. */
export class InvariantChecker {
	readonly violations: string[] = [];
	readonly initialConfiguration: Configuration;
	/** The state as the committed log makes it, each entry applied once. */
	referenceState: ControlState;
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

	constructor(initialConfiguration: Configuration, mutation: Mutation | undefined) {
		this.initialConfiguration = initialConfiguration;
		this.#mutation = mutation;
		this.referenceState = new ControlState(undefined, mutation !== 'no-claim-before-send');
	}

	get executedKeyCount(): number {
		return this.#runsByKey.size;
	}

	/** The highest version that an operator was told. */
	get highestAcceptedVersion(): number {
		return this.#acceptedVersion;
	}

	get sentOrderCount(): number {
		return this.#sentOrders.size;
	}

	get committedEntryCount(): number {
		return this.#committed.size;
	}

	recordLeader(term: number, identity: string): void {
		const known = this.#leaders.get(term);
		if (known !== undefined && known !== identity) {
			this.reportViolation(`two leaders in term ${term}: ${known} and ${identity}`);
		}

		this.#leaders.set(term, identity);
	}

	recordCommit(host: string, entry: Entry): void {
		const hash = createHash('sha1').update(entry.type === 'command' ? entry.data : JSON.stringify(entry)).digest('base64');
		const known = this.#committed.get(entry.index);
		if (known && (known.term !== entry.term || known.hash !== hash)) {
			this.reportViolation(`${host} commits another entry at ${entry.index}: term ${entry.term}, was term ${known.term}`);
			return;
		}

		this.#committed.set(entry.index, {term: entry.term, hash});
		if (!known) {
			this.#waiting.set(entry.index, entry);
			this.#advanceReference();
		}
	}

	recordRestore(host: string, snapshot: Snapshot): void {
		const known = this.#committed.get(snapshot.index);
		if (known && known.term !== snapshot.term) {
			this.reportViolation(`${host} restores another entry at ${snapshot.index}`);
		}
	}

	/** Compares the replicas that may act as leader now. */
	checkSingleLeaseHolder(controls: Iterable<ControlProcess>): void {
		const holders = [...controls].filter(control => control.holdsLeaderLease);
		if (holders.length > 1) {
			this.reportViolation(`${holders.map(control => control.identity).join(' and ')} hold authority at once`);
		}
	}

	recordView(host: string, version: number, resources: readonly Resource[]): void {
		const before = this.#inForce.get(host) ?? -1;
		if (version < before) {
			this.reportViolation(`configuration at ${host} goes back from ${before} to ${version}`);
		}

		this.#inForce.set(host, version);
		const expected = this.#digests.get(version);
		if (version > 0 && expected !== undefined && expected !== describeResources(resources)) {
			this.reportViolation(`${host} holds another configuration ${version} than was accepted`);
		}
	}

	recordRun(key: string, attempt: string): void {
		const runs = this.#runsByKey.get(key) ?? [];
		runs.push(attempt);
		this.#runsByKey.set(key, runs);
		if (runs.length > 1) {
			this.reportViolation(`${key} ran ${runs.length} times: ${runs.join(', ')}`);
		}

		if (this.#notRunAttempts.has(attempt)) {
			this.reportViolation(`${key} runs as ${attempt}, of which a caller was told that it did not run`);
		}
	}

	recordBookingOutcome(key: string, attempt: string, told: BookingOutcome): void {
		if (told.type === 'not-run') {
			this.#notRunAttempts.add(attempt);
			if (this.#runsByKey.get(key)?.includes(attempt)) {
				this.reportViolation(`a caller is told that ${key} did not run as ${attempt}, but it did`);
			}
		}

		if (told.type === 'done') {
			const known = this.#answersByKey.get(key);
			if (known !== undefined && known !== told.booking) {
				this.reportViolation(`${key} is answered with ${told.booking}, before with ${known}`);
			}

			this.#answersByKey.set(key, told.booking);
			if (!told.booking.startsWith(key)) {
				this.reportViolation(`${key} gets the answer of another request: ${told.booking}`);
			}
		}
	}

	recordRead(host: string, version: number, floor: number): void {
		if (version < floor) {
			this.reportViolation(`a read through ${host} shows configuration ${version}, though ${floor} was accepted before it began`);
		}
	}

	/** Notes what an operator was told. */
	recordPut(requestId: string, name: string, seen: number, outcome: CommandOutcome): void {
		const text = JSON.stringify(outcome);
		const known = this.#outcomes.get(requestId);
		if (known !== undefined && known !== text) {
			this.reportViolation(`request ${requestId} is answered ${text}, before ${known}`);
		}

		this.#outcomes.set(requestId, text);
		if (outcome.type === 'accepted') {
			this.#acceptedVersion = Math.max(this.#acceptedVersion, outcome.version);
		}

		if (outcome.type === 'accepted' && seen >= 0) {
			const key = `${name}@${seen}`;
			const winner = this.#accepted.get(key);
			if (winner !== undefined && winner !== requestId) {
				this.reportViolation(`both ${winner} and ${requestId} are accepted on ${key}`);
			}

			this.#accepted.set(key, requestId);
		}
	}

	recordOrderSent(server: string, order: number): void {
		this.#sentOrders.set(`${server}/${order}`, order);
	}

	/** Highest order that a server has carried out; 0 if none. */
	findHighestExecutedOrder(server: string): number {
		return this.#executed.get(server) ?? 0;
	}

	recordOrderExecuted(server: string, order: number): void {
		const highest = this.#executed.get(server) ?? 0;
		if (order < highest) {
			this.reportViolation(`${server} carries out order ${order} after order ${highest}`);
		}

		this.#executed.set(server, Math.max(order, highest));
	}

	recordInterruptedRequest(server: string, request: string): void {
		this.reportViolation(`the order at ${server} cuts request ${request}`);
	}

	reportViolation(text: string): void {
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
				this.referenceState.apply(isJudgedAnew ? {...command, requestId: `${command.requestId}@${entry.index}`} : command, entry.index);
				this.#digests.set(this.referenceState.viewVersion, describeResources(this.referenceState.listResources()));
			} else {
				this.referenceState.skip(entry.index);
			}
		}
	}
}

function describeResources(resources: readonly Resource[]): string {
	return resources.map(({name, version, specification}) => `${specification.kind}/${name}@${version}`).toSorted().join(' ');
}
