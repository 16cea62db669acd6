/**
 * Test fixture: one host with the roles control and entry and any number of fake backend servers, all in the test's
 * process.
 *
 * @module
 */
import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import * as Either from 'fp-ts/lib/Either.js';
import {waitUntil} from '../dev/fleet.js';
import {findPort} from '../dev/ports.js';
import type {FakeBackend} from '../fakes/backend.js';
import {createSilentLoggers} from '../src/base/logger.js';
import {Host} from '../src/daemon/host.js';
import type {Settings, Specification} from '../src/generated/types.js';

export type Fixture = {
	readonly url: string;
	readonly host: Host;
	readonly settings: Settings;
	put(kind: string, name: string, specification: Specification): Promise<Response>;
	/** Starts a backend server and waits until the host lists it. */
	add<Server extends FakeBackend>(create: (entries: readonly string[]) => Server): Promise<Server>;
	stop(): Promise<void>;
};

/** Starts the host and waits until it is ready. The caller must stop the fixture. */
export async function startFixture(extra: Partial<Settings> = {}): Promise<Fixture> {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'fixture-'));
	const peerPort = await findPort();
	const settings: Settings = {
		host: 'solo',
		dataCentre: 'a',
		roles: ['control', 'entry'],
		http: {address: '127.0.0.1', port: 0},
		peer: {address: '127.0.0.1', port: peerPort},
		dataFolder: path.join(folder, 'data'),
		control: [{host: 'solo', address: '127.0.0.1', port: peerPort}],
		peers: [],
		...extra,
	};
	const host = new Host({settings, loggers: createSilentLoggers()});
	const started = await host.start();
	const backends: FakeBackend[] = [];
	const stop = async () => {
		for (const backend of backends) {
			backend.stop();
		}

		await host.close();
		await rm(folder, {recursive: true, force: true});
	};

	if (Either.isLeft(started)) {
		await stop();
		throw new Error(started.left.text);
	}

	const url = `http://127.0.0.1:${started.right.httpPort}`;
	try {
		await waitUntil(async () => (await fetch(`${url}/readyz`)).status === 200, 'ready');
	} catch (error) {
		await stop();
		throw error;
	}

	return {
		url,
		host,
		settings,
		async put(kind, name, specification) {
			return fetch(`${url}/api/v1/resources/${kind}/${name}`, {method: 'PUT', body: JSON.stringify({specification})});
		},
		async add(create) {
			const backend = create([url]);
			backends.push(backend);
			await backend.start();
			await waitUntil(async () => {
				const {servers} = await (await fetch(`${url}/api/v1/status`)).json() as {servers: Array<{server: string}>};
				return servers.some(({server}) => server === backend.options.name);
			}, `${backend.options.name} is listed`);
			return backend;
		},
		stop,
	};
}
