import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	hashPart, hashRequest, MAX_CRASHES, MAX_OCCURRENCES, RETENTION_MS, SuspectIndex, type CrashReport,
} from '../src/routing/suspects.js';
import {EARLY_TRIAL_DELAY_MS, TRIAL_DELAYS_MS, TrialSchedule} from '../src/routing/trials.js';

const LATER_MS = 10_000;

test('a request is blocked once no other request was in flight at all of its crashes', () => {
	const index = createIndex([['a', ['poison', 'beside']], ['b', ['poison', 'beside']]]);
	assert.deepEqual(listBlocked(index, ['poison', 'beside']), []);
	addCrash(index, 'c', {requests: ['poison']});
	assert.deepEqual(listBlocked(index, ['poison', 'beside']), ['poison']);
	addCrash(index, 'd', {requests: ['poison']});
	assert.deepEqual(listBlocked(index, ['poison', 'beside']), ['poison']);
});

test('a request that was served since is not blocked by earlier crashes, nor is the one that remains cleared by it', () => {
	const index = createIndex([['a', ['poison', 'beside']], ['b', ['poison', 'beside']]]);
	for (const crash of ['a', 'b']) {
		index.add(createReport(crash, {cleared: [hashRequest('beside')]}), 0);
	}

	assert.deepEqual(listBlocked(index, ['poison', 'beside']), ['poison']);
});

test('requests that were in flight at the same four crashes are all blocked', () => {
	const index = createIndex(['a', 'b', 'c', 'd'].map(crash => [crash, ['poison', 'beside']]));
	assert.deepEqual(listBlocked(index, ['poison', 'beside']), ['beside', 'poison']);
});

test('of parts with the same three crashes, only what contains all of them is refused, until a fourth crash tells them apart', () => {
	const index = createIndex([]);
	for (const crash of ['a', 'b', 'c']) {
		addCrash(index, crash, {parts: ['shared', 'bad']});
	}

	assert.equal(matchParts(index, ['shared', 'bad', 'own']), 'full');
	assert.equal(matchParts(index, ['shared', 'good']), 'partial');
	assert.equal(matchParts(index, ['other']), 'none');
	addCrash(index, 'd', {parts: ['other', 'bad']});
	assert.equal(matchParts(index, ['shared', 'good']), 'none');
	assert.equal(matchParts(index, ['bad']), 'full');
});

// Guards against sound parts that are blamed because they were in flight at each crash: one that was served before is no better explanation.
test('a part that was served before is cleared by one with the same crashes that was not', () => {
	const index = createIndex([]);
	for (const crash of ['a', 'b', 'c', 'd', 'e', 'f']) {
		addCrash(index, crash, {parts: ['shared', 'bad'], served: ['shared']});
	}

	assert.equal(matchParts(index, ['shared', 'good']), 'none');
	assert.equal(matchParts(index, ['shared', 'bad']), 'full');
});

// Guards against a route that is refused after a power failure: however many servers crash in a moment, they prove no more than one crash does.
test('crashes at the same moment count once for a part that was served before, and for one that explains a few of them', () => {
	const index = createIndex([]);
	for (let server = 0; server < 12; server++) {
		index.add(createReport(`s${server}`, {parts: ['shared', `session${server % 4}`], served: ['shared'], at: 50 * server}), 0);
	}

	for (const part of ['shared', 'session0', 'session1', 'session2', 'session3']) {
		assert.equal(matchParts(index, [part]), 'none', part);
	}
});

test('a part that was served before is blocked by crashes at five moments since', () => {
	const index = createIndex([]);
	addCrash(index, 'e0', {parts: ['a'], cleared: [hashPart('a')]});
	for (let server = 1; server < 5; server++) {
		addCrash(index, `e${server}`, {parts: ['a']});
	}

	assert.equal(matchParts(index, ['a']), 'none');
	addCrash(index, 'e5', {parts: ['a']});
	assert.equal(matchParts(index, ['a']), 'full');
});

test('the parts of a blocked request are not blocked', () => {
	const index = createIndex([]);
	for (const crash of ['a', 'b', 'c']) {
		addCrash(index, crash, {requests: ['poison'], parts: ['shared', 'session']});
	}

	assert.deepEqual(listBlocked(index, ['poison']), ['poison']);
	assert.equal(matchParts(index, ['shared', 'session']), 'none');
});

test('a request that ran beside a blocked part at two of its crashes is not blocked', () => {
	const index = createIndex([]);
	for (const crash of ['a', 'b', 'c']) {
		addCrash(index, crash, {requests: crash === 'c' ? [] : ['beside'], parts: ['bad']});
	}

	assert.deepEqual(listBlocked(index, ['beside']), []);
	assert.equal(matchParts(index, ['bad']), 'full');
});

// Guards against a refusal that outlives its evidence: facts used to be forgotten only when a newer one arrived.
test('crashes are forgotten by the clock', () => {
	const index = createIndex(['a', 'b'].map(crash => [crash, ['poison']]));
	assert.deepEqual(listBlocked(index, ['poison']), ['poison']);
	assert.deepEqual(index.listBlocks(RETENTION_MS + 1), []);
	assert.equal(index.occurrences, 0);
});

// Guards against a poisoned key that is forgotten because others were recorded since, and against memory that grows with prompts of many parts.
test('whatever else crashes, a blocked part stays blocked and what is remembered is bounded', () => {
	fc.assert(fc.property(fc.array(fc.tuple(fc.integer({min: 1, max: 9000}), fc.boolean()), {minLength: 20, maxLength: 60}), crashes => {
		const index = createIndex([]);
		for (const crash of ['a', 'b', 'c']) {
			addCrash(index, crash, {parts: ['bad']});
		}

		assert.equal(matchParts(index, ['bad']), 'full');
		for (const [number, [count, isShared]] of crashes.entries()) {
			addCrash(index, `other${number}`, {parts: Array.from({length: count}, (_, part) => `p${isShared ? 0 : number}-${part}`)});
			assert.ok(index.occurrences <= MAX_OCCURRENCES);
			assert.equal(matchParts(index, ['bad']), 'full');
		}
	}), {seed: 65, numRuns: 15});
});

test('what was served counts whichever report arrives first', () => {
	const index = createIndex([]);
	index.add(createReport('s0', {served: ['shared']}), 0);
	for (let server = 0; server < 5; server++) {
		index.add(createReport(`s${server}`, {parts: ['shared'], at: 50 * server}), 0);
	}

	assert.equal(matchParts(index, ['shared']), 'none');
});

test('a block is tried early if several servers crashed at one moment', () => {
	const index = createIndex([]);
	for (const [server, at] of [['s1', 0], ['s2', 20], ['s3', 40]] as const) {
		index.add(createReport(server, {parts: ['a'], at}), 0);
	}

	const [block] = index.listBlocks(0);
	assert.deepEqual(new TrialSchedule().findNextRound(block!), {round: 1, dueMs: EARLY_TRIAL_DELAY_MS});
	index.add(createReport('s4', {parts: ['a'], at: 5000}), 0);
	const [later] = index.listBlocks(0);
	assert.deepEqual(new TrialSchedule().findNextRound(later!), {round: 1, dueMs: TRIAL_DELAYS_MS[0]});
});

// Guards against trials that end for good because servers were away for long and many claims were not used.
test('claims that were not used do not use up the trials', () => {
	const schedule = new TrialSchedule();
	schedule.merge({key: 1, claims: ['1/h1/1'], released: []}, 0);
	for (let number = 1; number < 200; number++) {
		const claim = `2/h${number % 15}/${number}`;
		assert.equal(schedule.findNextRound({key: 1, learntMs: 0, isSudden: true})?.round, 2);
		schedule.merge({key: 1, claims: [claim], released: []}, number);
		assert.equal(schedule.findWinner(1, 2), claim);
		schedule.merge({key: 1, claims: [claim], released: [claim]}, number);
	}

	assert.equal(schedule.findWinner(1, 1), '1/h1/1');
});

test('the number of crashes is bounded', () => {
	const index = createIndex([]);
	for (let number = 0; number < MAX_CRASHES + 100; number++) {
		addCrash(index, `s${number}`, {parts: [`p${number}`]});
	}

	assert.ok(index.occurrences <= MAX_CRASHES);
});

// Guards against parts that are evicted before the next crash: prompts of 77 to 1,300 parts, half of which only one prompt has.
for (const partCount of [77, 400, 1300]) {
	test(`a part of prompts of ${partCount} parts is found among those of 12 requests in flight`, () => {
		const index = createIndex([]);
		const shared = Array.from({length: partCount / 2}, (_, part) => `shared${part}`);
		for (let crash = 0; crash < 3; crash++) {
			const own = Array.from({length: 12 * Math.floor(partCount / 2)}, (_, part) => `own${crash}-${part}`);
			addCrash(index, `s${crash}`, {parts: [...shared, ...own, 'bad']});
		}

		assert.equal(matchParts(index, [...shared, 'bad']), 'full');
		assert.equal(matchParts(index, [...shared, 'good']), 'partial');
		for (const crash of ['s0', 's1', 's2']) {
			index.add(createReport(crash, {cleared: shared.map(part => hashPart(part))}), 0);
		}

		assert.equal(matchParts(index, [...shared, 'good']), 'none');
		assert.equal(matchParts(index, ['bad']), 'full');
	});
}

type Content = {
	readonly requests?: readonly string[];
	readonly parts?: readonly string[];
	readonly served?: readonly string[];
	readonly cleared?: readonly number[];
	readonly at?: number;
};

function createIndex(crashes: ReadonlyArray<readonly [string, string[]]>): SuspectIndex {
	const index = new SuspectIndex();
	for (const [crash, requests] of crashes) {
		addCrash(index, crash, {requests});
	}

	return index;
}

let lastMs = 0;

/** Adds a crash at a moment of its own. */
function addCrash(index: SuspectIndex, crash: string, content: Content): void {
	lastMs += LATER_MS;
	index.add(createReport(crash, {...content, at: lastMs}), 0);
}

function createReport(crash: string, {requests = [], parts = [], served = [], cleared = [], at = 0}: Content): CrashReport {
	return {
		crash, at, requests: requests.map(name => hashRequest(name)), parts: parts.map(name => hashPart(name)), served: served.map(name => hashPart(name)), cleared,
	};
}

function listBlocked(index: SuspectIndex, requests: readonly string[]): string[] {
	return requests.filter(name => index.match({request: hashRequest(name), parts: []}, 0).full.length > 0).toSorted();
}

function matchParts(index: SuspectIndex, parts: readonly string[]): string {
	const {full, partial} = index.match({request: hashRequest('new'), parts: parts.map(name => hashPart(name))}, 0);
	return full.length > 0 ? 'full' : (partial.length > 0 ? 'partial' : 'none');
}
