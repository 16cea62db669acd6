/**
 * Invariants that the fuzzer checks after every step of a run.
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

/** What a caller was told about a non-repeatable request. */
export type BookingOutcome
	= | {readonly type: 'done'; readonly booking: string}
		| {readonly type: 'not-run'}
		| {readonly type: 'unknown'};

type CommittedEntry = {
	readonly term: number;
	readonly hash: string;
};

/** Records what the simulated processes do and reports violated invariants. */
export class InvariantChecker {
	readonly violations: string[] = [];
	readonly initialConfiguration: Configuration;
	/** The state after applying each committed log entry exactly once. */
	referenceState: ControlState;
	readonly #mutation: Mutation | undefined;
	readonly #leaders = new Map<number, string>();
	readonly #committed = new Map<number, CommittedEntry>();
	/** Resources of the reference state by view version. */
	readonly #resourcesByVersion = new Map<number, string>();
	readonly #runsByKey = new Map<string, string[]>();
	readonly #notRunAttempts = new Set<string>();
	readonly #responsesByKey = new Map<string, string>();
	/** The put request that was accepted for each resource and the version that its sender had seen. */
	readonly #acceptedPuts = new Map<string, string>();
	readonly #putOutcomes = new Map<string, string>();
	readonly #viewVersions = new Map<string, number>();
	readonly #highestExecutedOrders = new Map<string, number>();
	readonly #sentOrders = new Map<string, number>();
	/** Committed entries that the reference state has not applied because an earlier one is missing. */
	readonly #pendingEntries = new Map<number, Entry>();
	#referenceIndex = 0;
	#highestAcceptedVersion = 0;

	constructor(initialConfiguration: Configuration, mutation: Mutation | undefined) {
		this.initialConfiguration = initialConfiguration;
		this.#mutation = mutation;
		this.referenceState = new ControlState(undefined, mutation !== 'no-claim-before-send');
	}

	get executedKeyCount(): number {
		return this.#runsByKey.size;
	}

	/** The highest accepted version that an operator has received in an outcome. */
	get highestAcceptedVersion(): number {
		return this.#highestAcceptedVersion;
	}

	get sentOrderCount(): number {
		return this.#sentOrders.size;
	}

	get committedEntryCount(): number {
		return this.#committed.size;
	}

	recordLeader(term: number, identity: string): void {
		const knownLeader = this.#leaders.get(term);
		if (knownLeader !== undefined && knownLeader !== identity) {
			this.reportViolation(`two leaders in term ${term}: ${knownLeader} and ${identity}`);
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
			this.#pendingEntries.set(entry.index, entry);
			this.#advanceReference();
		}
	}

	recordRestore(host: string, snapshot: Snapshot): void {
		const known = this.#committed.get(snapshot.index);
		if (known && known.term !== snapshot.term) {
			this.reportViolation(`${host} restores another entry at ${snapshot.index}`);
		}
	}

	/** Checks that at most one replica holds the leader lease. */
	checkSingleLeaseHolder(controls: Iterable<ControlProcess>): void {
		const holders = [...controls].filter(control => control.holdsLeaderLease);
		if (holders.length > 1) {
			this.reportViolation(`${holders.map(control => control.identity).join(' and ')} hold the leader lease at the same time`);
		}
	}

	recordView(host: string, version: number, resources: readonly Resource[]): void {
		const previousVersion = this.#viewVersions.get(host) ?? -1;
		if (version < previousVersion) {
			this.reportViolation(`resource view of ${host} goes back from version ${previousVersion} to ${version}`);
		}

		this.#viewVersions.set(host, version);
		const expected = this.#resourcesByVersion.get(version);
		if (version > 0 && expected !== undefined && expected !== describeResources(resources)) {
			this.reportViolation(`resource view ${version} of ${host} differs from the committed one`);
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
			this.reportViolation(`${key} runs as ${attempt} after a caller was told that this attempt did not run`);
		}
	}

	recordBookingOutcome(key: string, attempt: string, outcome: BookingOutcome): void {
		if (outcome.type === 'not-run') {
			this.#notRunAttempts.add(attempt);
			if (this.#runsByKey.get(key)?.includes(attempt)) {
				this.reportViolation(`a caller is told that ${key} did not run as ${attempt}, but it did run`);
			}
		}

		if (outcome.type === 'done') {
			const knownResponse = this.#responsesByKey.get(key);
			if (knownResponse !== undefined && knownResponse !== outcome.booking) {
				this.reportViolation(`${key} gets response ${outcome.booking}, earlier it got ${knownResponse}`);
			}

			this.#responsesByKey.set(key, outcome.booking);
			if (!outcome.booking.startsWith(key)) {
				this.reportViolation(`${key} gets the response of another request: ${outcome.booking}`);
			}
		}
	}

	/** Checks that a read returned at least the version that was accepted before the read began. */
	recordRead(host: string, version: number, minimumVersion: number): void {
		if (version < minimumVersion) {
			this.reportViolation(`stale read through ${host}: version ${version}, but version ${minimumVersion} was accepted before the read began`);
		}
	}

	/** Records the outcome of a put that an operator received. */
	recordPut(requestId: string, name: string, seen: number, outcome: CommandOutcome): void {
		const text = JSON.stringify(outcome);
		const knownOutcome = this.#putOutcomes.get(requestId);
		if (knownOutcome !== undefined && knownOutcome !== text) {
			this.reportViolation(`request ${requestId} gets outcome ${text}, earlier it got ${knownOutcome}`);
		}

		this.#putOutcomes.set(requestId, text);
		if (outcome.type === 'accepted') {
			this.#highestAcceptedVersion = Math.max(this.#highestAcceptedVersion, outcome.version);
		}

		if (outcome.type === 'accepted' && seen >= 0) {
			const key = `${name}@${seen}`;
			const acceptedRequest = this.#acceptedPuts.get(key);
			if (acceptedRequest !== undefined && acceptedRequest !== requestId) {
				this.reportViolation(`both ${acceptedRequest} and ${requestId} are accepted for ${key}`);
			}

			this.#acceptedPuts.set(key, requestId);
		}
	}

	recordOrderSent(server: string, order: number): void {
		this.#sentOrders.set(`${server}/${order}`, order);
	}

	/** Returns the highest order that a server has executed; 0 if none. */
	findHighestExecutedOrder(server: string): number {
		return this.#highestExecutedOrders.get(server) ?? 0;
	}

	recordOrderExecuted(server: string, order: number): void {
		const highest = this.#highestExecutedOrders.get(server) ?? 0;
		if (order < highest) {
			this.reportViolation(`${server} executes order ${order} after order ${highest}`);
		}

		this.#highestExecutedOrders.set(server, Math.max(order, highest));
	}

	/** Reports a request that an order has interrupted although its host held a view lease. */
	recordInterruptedRequest(server: string, request: string): void {
		this.reportViolation(`an order interrupts request ${request} at ${server}`);
	}

	reportViolation(text: string): void {
		this.violations.push(text);
	}

	/** Applies all committed entries that follow the reference state without a gap. */
	#advanceReference(): void {
		for (;;) {
			const entry = this.#pendingEntries.get(this.#referenceIndex + 1);
			if (!entry) {
				return;
			}

			this.#pendingEntries.delete(entry.index);
			this.#referenceIndex = entry.index;
			if (entry.type === 'command') {
				const command = decodeCbor(entry.data) as Command;
				const isEvaluatedAgain = this.#mutation === 'no-request-memory' && command.type === 'put';
				this.referenceState.apply(isEvaluatedAgain ? {...command, requestId: `${command.requestId}@${entry.index}`} : command, entry.index);
				this.#resourcesByVersion.set(this.referenceState.viewVersion, describeResources(this.referenceState.listResources()));
			} else {
				this.referenceState.skip(entry.index);
			}
		}
	}
}

function describeResources(resources: readonly Resource[]): string {
	return resources.map(({name, version, specification}) => `${specification.kind}/${name}@${version}`).toSorted().join(' ');
}
