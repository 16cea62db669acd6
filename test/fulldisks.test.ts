import assert from 'node:assert/strict';
import {readlinkSync} from 'node:fs';
import {open} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {test, type TestContext} from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import {waitUntil} from '../dev/fleet.js';
import {sleep} from '../src/base/clock.js';
import {startCore, VOTERS} from './core.js';
import {ROUTES, SERVICES} from './system.js';

/** Longer than an election timeout, and than the time after which a lost voter may be replaced. */
const FULL_MS = 2500;
/** The operator's bound for an acknowledgement, as on the users' sites. */
const ACK_MS = 4000;
const CHANGE_INTERVAL_MS = 40;
/** The platform counts on a host this long after a disruption of its disk, as on the users' sites. */
const CONTACT_MS = 3000;
/** So little that configurations of some 10 KB are compacted every few changes. */
const RESOURCES = {memoryBytes: 4e6, diskBytes: 2e6};

// Guards against changes that stay refused or unanswered long after every disk has room again.
for (const who of ['leader', 'next host']) {
	test(`changes are accepted while disks are full one after the other, that of the ${who} each time, and after that`, async t => {
		const core = await startCore(t, RESOURCES);
		const disks = await mockFullDisks(t);
		let version = 0;
		const publish = async () => core.getHost(version % VOTERS).publish(createConfiguration(++version));
		const leader = await core.findLeader();
		const order = Array.from({length: VOTERS}, (_, offset) => (leader + offset + (who === 'leader' ? 0 : 1)) % VOTERS);
		for (const index of order) {
			// Each time the host that leads now, or the next of the others.
			const full = who === 'leader' ? await core.findLeader() : index;
			disks.full = core.getFolder(full);
			for (const untilMs = performance.now() + FULL_MS; performance.now() < untilMs;) {
				await publish();
				await sleep(CHANGE_INTERVAL_MS);
			}

			disks.full = undefined;
		}

		assert.ok(disks.failures > 0);
		await sleep(CONTACT_MS);
		for (let count = 0; count < VOTERS * 2; count++) {
			const startedMs = performance.now();
			const result = await publish();
			assert.ok(Either.isRight(result), `version ${version}: ${Either.isLeft(result) ? result.left.text : ''}`);
			assert.ok(performance.now() - startedMs < ACK_MS);
		}

		await waitUntil(async () => {
			const texts = await Promise.all(Array.from({length: VOTERS}, async (_, index) => core.getHost(index).readPublication()));
			return texts.every(text => Either.isRight(text) && text.right === createConfiguration(version));
		}, 'all hosts read the last version', ACK_MS);
	});
}

/** Lets writes fail to files below the folder that is `full`. */
async function mockFullDisks(t: TestContext) {
	const probe = await open(path.join(os.tmpdir(), `probe-${process.pid}`), 'w');
	const prototype = Object.getPrototypeOf(probe) as typeof probe;
	await probe.close();
	const state: {full: string | undefined; failures: number} = {full: undefined, failures: 0};
	const fail = (fd: number) => {
		if (state.full !== undefined && readlinkSync(`/proc/self/fd/${fd}`).startsWith(`${state.full}${path.sep}`)) {
			state.failures++;
			throw Object.assign(new Error('ENOSPC: no space left on device, write'), {code: 'ENOSPC'});
		}
	};

	for (const name of ['appendFile', 'writeFile'] as const) {
		const write = prototype[name];
		t.mock.method(prototype, name, async function (this: typeof probe, ...parameters: Parameters<typeof write>) {
			fail(this.fd);
			await write.apply(this, parameters);
		});
	}

	return state;
}

function createConfiguration(version: number): string {
	const [route] = ROUTES;
	const routes = Array.from({length: 50}, (_, index) => ({...route, name: `read-${index}`, 'path-prefix': `/read-${version}-${index}/`}));
	return JSON.stringify({version, routes, services: SERVICES});
}
