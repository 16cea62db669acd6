import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Registry} from 'prom-client';
import * as Either from 'fp-ts/lib/Either.js';
import {waitUntil} from '../dev/fleet.js';
import {decodeAnnouncement} from '../platform/announcement.js';
import {formatScaleCall} from '../platform/scaling.js';
import {createCapacityMetrics} from '../src/capacity/metrics.js';
import type {Connection} from '../src/wire/connection.js';
import {startCore, VOTERS} from './core.js';
import {ROUTES, SERVICES} from './system.js';

const ZONES = ['a', 'b', 'c'];
const CONFIG = {
	version: 3,
	routes: ROUTES,
	services: SERVICES.map(service => service.name === 'llm'
		? {
			...service, scaling: {
				min: 1, max: 4, 'boot-s': 0.1, 'spot-price': 0.18, 'zone-prices': {a: 1, b: 0.8, c: 1.25},
			},
		}
		: service),
};

// The scheduler of a pool is often not at the leader, and only the leader may call; also guards the composition in the control host.
test('the leader learns the demand that another control host schedules, and only the leader requests servers', async t => {
	const timers: NodeJS.Timeout[] = [];
	// Registered before the hook that stops the control hosts.
	t.after(() => {
		clearInterval(timers[0]);
	});
	const calls: Array<{readonly host: number; readonly path: string; readonly body: unknown}> = [];
	const metrics = Array.from({length: VOTERS}, () => createCapacityMetrics(new Registry()));
	const core = await startCore(t, undefined, index => ({
		dutyCaller: {
			isHolder: true,
			async call(path, body) {
				calls.push({host: index, path, body});
				return 200;
			},
		},
		scaling: {formatCall: formatScaleCall, metrics: metrics[index]!},
	}));
	const leader = await core.findLeader();
	const other = (leader + 1) % VOTERS;
	assert.ok(Either.isRight(await core.getHost(other).publish(JSON.stringify(CONFIG))));
	const connection = {send: () => undefined} as unknown as Connection;
	let sequence = 0;
	const announceAndPlace = () => {
		sequence++;
		for (const [index, zone] of [...ZONES, ...ZONES].entries()) {
			const announcement = decodeAnnouncement(`e${index}`, JSON.stringify({
				service: 'llm', address: `127.0.9.1:${9000 + index}`, zone, version: 'v1', slots: 8, state: 'ready', stage: index < 3 ? 'prefill' : 'decode', models: [], sequence, born: 1,
			}));
			assert.ok(Either.isRight(announcement));
			core.getHost(other).handleAnnouncement(announcement.right);
		}

		core.getHost(other).receive({
			type: 'offer', id: `r${sequence}`, service: 'llm', dataCentre: 'a', parts: [], promptTokens: 100, outputTokens: 50, priority: 1, objectiveMs: 1000, patienceMs: 60_000, excluded: [],
		}, connection);
	};

	announceAndPlace();
	timers.push(setInterval(announceAndPlace, 1000));
	await waitUntil(async () => {
		const {values} = await metrics[leader]!.inFlight.get();
		return values.some(({labels, value}) => labels.service === 'llm' && value >= 1);
	}, 'the leader knows the demand', 15_000);
	await waitUntil(async () => calls.length > 0, 'servers are requested', 15_000);
	assert.deepEqual([...new Set(calls.map(({host, path}) => `${host} ${path}`))], [`${leader} /scale`]);
	for (const {body} of calls) {
		const {service, zone, desired, spot} = body as Record<string, unknown>;
		assert.ok(service === 'llm' && ZONES.includes(String(zone)) && Number(desired) <= 4 && spot === true);
	}
});
