import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RELAYS_PER_HOST, selectRelays, type RelayCandidate} from '../src/membership/relays.js';
import {selectProbes, ServerReachability} from '../src/routing/reachability.js';

test('a host checks its network after connections to two servers failed, not after one that is down', () => {
	const reachability = new ServerReachability();
	reachability.recordFailedConnection('s1');
	reachability.recordFailedConnection('s1');
	assert.equal(reachability.needsCheck(1000, undefined), false);
	reachability.recordFailedConnection('s2');
	assert.equal(reachability.needsCheck(1000, undefined), true);
	reachability.recordConnection(1000);
	assert.equal(reachability.needsCheck(1000, undefined), false);
});

test('a host checks its network when a request waits and no server sends anything', () => {
	const reachability = new ServerReachability();
	assert.equal(reachability.needsCheck(10_000, undefined), false);
	assert.equal(reachability.needsCheck(10_000, 9700), false);
	assert.equal(reachability.needsCheck(10_000, 9600), true);
	reachability.recordContact(9900);
	assert.equal(reachability.needsCheck(10_000, 9000), false);
	assert.equal(reachability.needsCheck(10_300, 9000), true);
});

test('a server that falls silent costs one check a second', () => {
	const reachability = new ServerReachability();
	let checks = 0;
	for (let nowMs = 1000; nowMs < 6000; nowMs += 100) {
		if (reachability.needsCheck(nowMs, 0)) {
			checks++;
			assert.equal(reachability.recordCheck(true, nowMs), false);
		}
	}

	assert.equal(checks, 5);
	assert.equal(reachability.isCutOff, false);
});

test('a host that is cut off checks until a server accepts a connection', () => {
	const reachability = new ServerReachability();
	assert.equal(reachability.recordCheck(false, 1000), true);
	assert.equal(reachability.isCutOff, true);
	assert.equal(reachability.needsCheck(1200, undefined), false);
	assert.equal(reachability.needsCheck(1250, undefined), true);
	assert.equal(reachability.recordCheck(false, 1250), false);
	assert.equal(reachability.recordCheck(true, 1500), true);
	assert.equal(reachability.isCutOff, false);
});

test('connections that bring responses while new ones fail are not taken for silent', () => {
	const reachability = new ServerReachability();
	reachability.recordContact(900);
	reachability.recordCheck(false, 1000);
	assert.equal(reachability.areConnectionsSilent, false);
	reachability.recordCheck(false, 5000);
	assert.equal(reachability.areConnectionsSilent, false);
	reachability.recordCheck(true, 6000);
	reachability.recordCheck(false, 7000);
	assert.equal(reachability.areConnectionsSilent, true);
});

test('one server of each service is probed first, those that sent something last before the others', () => {
	const engines = Array.from({length: 5}, (_, index) => ({server: `e${index}`, services: ['llm'], contactMs: index}));
	assert.deepEqual(selectProbes([...engines, {server: 'p1', services: ['api'], contactMs: undefined}]), ['e4', 'p1', 'e3']);
	assert.deepEqual(selectProbes([]), []);
});

const createCandidates = (dataCentres: string, perDataCentre: number): RelayCandidate[] => [...dataCentres].flatMap(dataCentre =>
	Array.from({length: perDataCentre}, (_, index): RelayCandidate => ({
		host: `${dataCentre}${index}`, dataCentre, relay: {address: `${dataCentre}${index}`, port: 1}, isCutOff: false,
	})));

test('relays are in the data centre of the host while half of it reaches the servers, and elsewhere otherwise', () => {
	const candidates = createCandidates('abc', 7);
	const listDataCentres = (all: readonly RelayCandidate[]) => selectRelays({host: 'a0', dataCentre: 'a'}, all).map(({address}) => address[0]);
	assert.deepEqual(listDataCentres(candidates), ['a', 'a', 'a']);
	const isolated = candidates.map(candidate => ({...candidate, isCutOff: candidate.dataCentre === 'a'}));
	assert.equal(listDataCentres(isolated).length, RELAYS_PER_HOST);
	assert.ok(!listDataCentres(isolated).includes('a'));
	assert.deepEqual(selectRelays({host: 'a0', dataCentre: 'a'}, candidates.map(({host, dataCentre, isCutOff}) => ({host, dataCentre, isCutOff}))), []);
});

test('the hosts of a data centre that is cut off are spread over the hosts of the others', () => {
	const candidates = createCandidates('abcde', 39).map(candidate => ({...candidate, isCutOff: candidate.dataCentre === 'a'}));
	const counts = new Map<string, number>();
	for (const host of candidates.filter(({isCutOff}) => isCutOff)) {
		for (const {address} of selectRelays(host, candidates)) {
			counts.set(address, (counts.get(address) ?? 0) + 1);
		}
	}

	// 39 hosts choose 3 relays each of 156: less than one on average.
	assert.ok(Math.max(...counts.values()) <= 5, `the busiest relay has ${Math.max(...counts.values())}`);
});
