import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRandom} from '../src/base/random.js';
import {
	SCALING, ScalingFleet, ZONES, type Load,
} from './scalingfleet.js';

/** The deployment: 78 on-demand servers. */
const START = [28, 25, 25];
/** Needs 4 engines that prefill and 4 that decode, without room for a burst. */
const STEADY: Load = {prefillLoad: 4, inFlight: 48};
const scaleLoad = (factor: number): Load => ({prefillLoad: STEADY.prefillLoad * factor, inFlight: STEADY.inFlight * factor});

// Idle on-demand servers are paid for in full, and servers that are removed before their replacements serve are missed by the first callers.
test('before the first request, on-demand servers are replaced by as many spot servers, and their number never falls', async () => {
	const fleet = new ScalingFleet(START);
	const {price} = fleet;
	await fleet.run(60_000);
	assert.ok(fleet.lowestServing >= 78, `${fleet.lowestServing} servers`);
	assert.ok(fleet.serving >= 78 && fleet.serving <= 80, `${fleet.serving} servers`);
	assert.ok(fleet.price < price * 0.35, `${fleet.price} of ${price}`);
	assert.ok(fleet.count(false) >= 11, 'on-demand servers remain');
	for (const zone of ZONES) {
		assert.ok(fleet.serving - fleet.count(true, zone) >= 46, `without the spot servers of ${zone}`);
	}
});

// Callers of a new system arrive soon, and replacements under load take longer and empty caches.
test('the first leader of a new system replaces servers without listening for those of a predecessor', async () => {
	const fleet = new ScalingFleet(START);
	const {price} = fleet;
	fleet.controller = fleet.createController(true);
	await fleet.run(12_000);
	assert.ok(fleet.lowestServing >= 78, `${fleet.lowestServing} servers`);
	assert.ok(fleet.price < price * 0.4, `${fleet.price} of ${price}`);
	// A later leader listens.
	fleet.isReady = false;
	await fleet.run(5000);
	fleet.isReady = true;
	const firstCall = fleet.calls.length;
	await fleet.run(5500);
	assert.equal(fleet.calls.length, firstCall);
});

// An empty measurement says nothing about the load that is to come.
test('the number of servers does not fall while no request has been measured, nor after requests have ceased', async () => {
	const fleet = new ScalingFleet([6, 6, 6]);
	await fleet.run(300_000);
	assert.equal(fleet.lowestServing, 18);
	await fleet.run(20_000, () => STEADY);
	await fleet.run(600_000, () => undefined);
	assert.equal(fleet.lowestServing, 18);
});

test('under a steady load the number of servers falls in steps to what a burst of 2 needs, and no further', async () => {
	const fleet = new ScalingFleet(START);
	await fleet.run(10_000);
	await fleet.run(59_000, () => STEADY);
	assert.ok(fleet.lowestServing >= 78, 'nothing is removed before the load is known for a minute');
	await fleet.run(400_000, () => STEADY);
	assert.equal(fleet.shortSeconds, 0);
	assert.equal(fleet.unsafeSeconds, 0);
	assert.ok(fleet.serving >= 16 && fleet.serving <= 24, `${fleet.serving} servers`);
	const before = fleet.calls.length;
	await fleet.run(120_000, () => STEADY);
	assert.equal(fleet.calls.length, before, 'no further calls');
});

test('a burst of 2 finds enough servers, and a burst within the last minute keeps them', async () => {
	const fleet = new ScalingFleet(START);
	await fleet.run(10_000);
	await fleet.run(400_000, () => STEADY);
	const {serving} = fleet;
	for (let index = 0; index < 5; index++) {
		await fleet.run(5000, () => scaleLoad(2));
		await fleet.run(25_000, () => STEADY);
		assert.ok(fleet.serving >= serving, `${fleet.serving} of ${serving}`);
		// The first burst is above everything that has been measured. From then on a loss during a burst is provided for.
		fleet.unsafeSeconds = index === 0 ? 0 : fleet.unsafeSeconds;
	}

	assert.equal(fleet.shortSeconds, 0);
	assert.equal(fleet.unsafeSeconds, 0);
	assert.ok(fleet.serving <= 44, `${fleet.serving} servers`);
});

test('servers that a burst of 2 above the peak of each minute needs are not removed', async () => {
	const fleet = new ScalingFleet(START);
	await fleet.run(10_000);
	await fleet.run(500_000, sinceMs => sinceMs % 30_000 < 5000 ? scaleLoad(2) : STEADY);
	assert.equal(fleet.shortSeconds, 0);
	// The peak needs 8 engines of each role. Twice of that at 70% and 90% makes 23 and 18.
	assert.ok(fleet.serving >= 41 && fleet.serving <= 50, `${fleet.serving} servers`);
});

test('servers are ordered ahead of a load that grows to the sixfold within a minute', async () => {
	const fleet = new ScalingFleet(START);
	await fleet.run(10_000);
	await fleet.run(400_000, () => STEADY);
	await fleet.run(90_000, sinceMs => scaleLoad(Math.min(6, 1 + (sinceMs / 12_000))));
	assert.equal(fleet.shortSeconds, 0);
	assert.ok(fleet.serving >= 78, `${fleet.serving} servers`);
});

// A step cannot be served before new servers have started; late requests must raise the number further if the load was underestimated.
test('after a step to the fivefold, enough servers serve once new ones have started', async () => {
	const fleet = new ScalingFleet(START);
	await fleet.run(10_000);
	await fleet.run(400_000, () => STEADY);
	await fleet.run(60_000, () => scaleLoad(5));
	assert.ok(fleet.shortSeconds <= 14, `${fleet.shortSeconds} s short`);
	assert.ok(fleet.serving >= 70, `${fleet.serving} servers`);
});

test('spot servers that are reclaimed are replaced elsewhere at once, and the load is served meanwhile', async () => {
	const fleet = new ScalingFleet(START);
	await fleet.run(10_000);
	await fleet.run(400_000, () => STEADY);
	const zone = ZONES.toSorted((a, b) => fleet.count(true, b) - fleet.count(true, a))[0]!;
	const lost = fleet.count(true, zone);
	const {serving} = fleet;
	assert.ok(lost > 0);
	const firstCall = fleet.calls.length;
	fleet.reclaim(zone, 5000);
	await fleet.run(1500, () => STEADY);
	const calls = fleet.calls.slice(firstCall);
	assert.ok(calls.length > 0, 'replacements are ordered within 1.5 s');
	assert.ok(calls.every(call => !(call.isSpot && call.zone === zone)), 'not where they are reclaimed');
	await fleet.run(10_000, () => STEADY);
	assert.equal(fleet.shortSeconds, 0);
	assert.ok(fleet.serving >= serving, `${fleet.serving} of ${serving}`);
	await fleet.run(30_000, () => STEADY);
	assert.ok(fleet.calls.slice(firstCall).every(call => !(call.isSpot && call.zone === zone)));
	assert.equal(fleet.shortSeconds, 0);
});

test('spot servers that are reclaimed before the first request are replaced', async () => {
	const fleet = new ScalingFleet([6, 6, 6]);
	await fleet.run(60_000);
	fleet.reclaim('b', 5000);
	await fleet.run(20_000);
	assert.ok(fleet.serving >= 18, `${fleet.serving} servers`);
});

// The servers of a data centre that is cut off are still counted there, since a requested number names all of them.
test('servers of a data centre that falls silent are replaced elsewhere, and not removed', async () => {
	const fleet = new ScalingFleet(START);
	await fleet.run(10_000);
	await fleet.run(400_000, () => STEADY);
	const {serving} = fleet;
	const firstCall = fleet.calls.length;
	fleet.silentZone = 'a';
	const lost = fleet.servers.filter(({zone}) => zone === 'a').length;
	assert.ok(lost > 0);
	await fleet.run(10_000, () => STEADY);
	assert.ok(fleet.serving >= serving, `${fleet.serving} of ${serving}`);
	assert.equal(fleet.shortSeconds, 0);
	fleet.silentZone = undefined;
	await fleet.run(200_000, () => STEADY);
	assert.ok(fleet.serving <= serving + 2, `${fleet.serving} of ${serving}`);
	assert.ok(fleet.calls.slice(firstCall).length > 0);
});

// Announcements come one after the other, and new servers take longer to start than the first notice gives.
test('the first notice of a reclaim counts for all spot servers of the data centre', async () => {
	const fleet = new ScalingFleet([6, 6, 6]);
	await fleet.run(60_000);
	const lost = fleet.count(true, 'b');
	assert.ok(lost > 1);
	const firstCall = fleet.calls.length;
	const first = fleet.servers.find(({zone, isSpot}) => isSpot && zone === 'b')!;
	first.leavesAtMs = fleet.nowMs + 5000;
	first.isReclaimed = true;
	await fleet.run(1500);
	const added = fleet.calls.slice(firstCall).map(({zone, isSpot, desired}) => desired - fleet.count(isSpot, zone));
	assert.ok(added.reduce((sum, count) => sum + count, 0) >= lost, `${added.join(', ')} for ${lost}`);
});

for (const kind of ['spot', 'on-demand'] as const) {
	test(`if no ${kind} servers are available, those of the other kind serve the load`, async () => {
		const fleet = new ScalingFleet([6, 6, 6]);
		fleet.respond = ({isSpot, isIncrease}) => isIncrease && isSpot === (kind === 'spot') ? 409 : 200;
		await fleet.run(10_000);
		await fleet.run(120_000, sinceMs => scaleLoad(Math.min(3, 1 + (sinceMs / 30_000))));
		assert.equal(fleet.shortSeconds, 0);
		assert.ok(fleet.serving >= 45, `${fleet.serving} servers`);
		const refused = fleet.calls.filter(({status}) => status === 409);
		for (const zone of ZONES) {
			const times = refused.filter(call => call.zone === zone).map(({atMs}) => atMs);
			assert.ok(times.every((atMs, index) => index === 0 || atMs - times[index - 1]! >= 15_000), 'a pause follows each refusal');
		}
	});
}

// A request for a number that was remembered, or counted before all servers have announced themselves, would remove servers.
test('a successor starts from the servers that announce themselves', async () => {
	const fleet = new ScalingFleet(START);
	await fleet.run(10_000);
	await fleet.run(90_000, () => STEADY);
	const {serving} = fleet;
	fleet.controller = fleet.createController();
	const firstCall = fleet.calls.length;
	await fleet.run(58_000, () => STEADY);
	assert.ok(fleet.serving >= serving, `${fleet.serving} of ${serving}`);
	assert.ok(fleet.calls.slice(firstCall).every(({atMs}) => atMs >= fleet.nowMs - 58_000 + 6000), 'it listens first');
	await fleet.run(300_000, () => STEADY);
	assert.equal(fleet.shortSeconds, 0);
	assert.ok(fleet.serving <= 24, `${fleet.serving} servers`);
});

for (const outcome of ['lost', undefined] as const) {
	test(`a call without a response is repeated with the same number${outcome === 'lost' ? ' if it has taken effect' : ''}`, async () => {
		const fleet = new ScalingFleet([12, 12, 12]);
		await fleet.run(60_000);
		const firstCall = fleet.calls.length;
		fleet.respond = () => outcome;
		await fleet.run(12_000, () => scaleLoad(3));
		for (const zone of ZONES) {
			const desired = new Set(fleet.calls.slice(firstCall).filter(call => call.zone === zone).map(call => `${call.isSpot} ${call.desired}`));
			assert.ok(desired.size <= 1, [...desired].join(', '));
		}

		assert.ok(fleet.calls.length > firstCall + 1, 'it is repeated');
		assert.ok(fleet.calls.length < firstCall + (12 * ZONES.length), 'with pauses');
		fleet.respond = () => 200;
		await fleet.run(20_000, () => scaleLoad(3));
		assert.ok(fleet.serving >= 50, `${fleet.serving} servers`);
	});
}

test('a host that does not hold the duties, or has not heard all servers, makes no call', async () => {
	const fleet = new ScalingFleet(START);
	fleet.isHolder = false;
	await fleet.run(30_000);
	fleet.isHolder = true;
	fleet.isReady = false;
	await fleet.run(30_000);
	assert.equal(fleet.calls.length, 0);
});

// Servers that have just been started together announce themselves one after the other; a number that counts only some removes the others.
test('a host that stood still listens again before it makes a call', async () => {
	const fleet = new ScalingFleet([6, 6, 6]);
	await fleet.run(2000);
	fleet.nowMs += 20_000;
	const sinceMs = fleet.nowMs;
	await fleet.run(10_000);
	assert.ok(fleet.calls.length > 0);
	assert.ok(fleet.calls.every(({atMs}) => atMs >= sinceMs + 6000));
});

test('a small pool keeps engines of both roles', async () => {
	const fleet = new ScalingFleet([1, 1, 1]);
	await fleet.run(300_000, () => ({prefillLoad: 0.1, inFlight: 1}));
	assert.ok(fleet.lowestServing >= 3, `${fleet.lowestServing} servers`);
	assert.equal(fleet.shortSeconds, 0);
});

// The demand for plain servers is not measured here.
test('plain servers are replaced by spot servers, but their number does not fall', async () => {
	const fleet = new ScalingFleet([4, 4, 4], {pool: undefined});
	await fleet.run(120_000);
	assert.ok(fleet.lowestServing >= 12, `${fleet.lowestServing} servers`);
	assert.ok(fleet.count(true) > 6, `${fleet.count(true)} spot servers`);
});

// Guards the limits of the published configuration and of the duties against any order of loads, refusals, losses and reclaims.
test('whatever happens, requested numbers stay within the limits, and changes are seconds apart', async () => {
	// In the last two, a number was added beside a removal that had not taken effect.
	for (const seed of [...Array.from({length: 60}, (_, index) => index + 1), 162, 190]) {
		const random = createRandom(seed);
		const scaling = {...SCALING, min: 1 + Math.floor(random() * 3), max: 5 + Math.floor(random() * 30)};
		const fleet = new ScalingFleet([5, 4, 3], {scaling});
		const failures = [200, 200, 200, 200, 409, 429, 503, 400, undefined, 'lost'] as const;
		fleet.respond = () => failures[Math.floor(random() * failures.length)];
		for (let step = 0; step < 40; step++) {
			const load = random() < 0.1 ? undefined : scaleLoad(random() * random() * 4);
			if (random() < 0.1) {
				fleet.reclaim(ZONES[Math.floor(random() * 3)]!, 5000);
			}

			if (random() < 0.05) {
				fleet.controller = fleet.createController();
			}

			await fleet.run(5000, () => load);
			for (const zone of ZONES) {
				const total = fleet.count(false, zone) + fleet.count(true, zone);
				assert.ok(total <= scaling.max, `seed ${seed}: ${total} of ${scaling.max}`);
			}
		}

		for (const zone of ZONES) {
			const times = fleet.calls.filter(call => call.zone === zone && call.status === 200).map(({atMs}) => atMs);
			assert.ok(times.every((atMs, index) => index === 0 || atMs - times[index - 1]! >= 3000), `seed ${seed}: changes in ${zone}`);
		}

		assert.ok(fleet.calls.every(({desired}) => desired >= 0 && desired <= scaling.max), `seed ${seed}`);
		assert.ok(fleet.serving >= 3, `seed ${seed}: ${fleet.serving} servers`);
	}
});
