/**
 * A system with teams, and what its servers and log lines received.
 *
 * @module
 */
import assert from 'node:assert/strict';
import {waitUntil} from '../dev/fleet.js';
import {digestKey} from '../src/teams/digest.js';
import type {StubBackendOptions} from './stub.js';
import {
	ROUTES as DEFAULT_ROUTES, SERVICES, startSystem, type SystemOptions,
} from './system.js';

type TestContext = Parameters<typeof startSystem>[0];
export type System = Awaited<ReturnType<typeof startSystem>>;

export const RED = {name: 'red', 'api-keys': ['key-red-1', 'key-red-2']};
export const BLUE = {name: 'blue', 'api-keys': ['key-blue'], priority: 7};
export const TENANTS = [RED, BLUE];
export const KEYS = [...RED['api-keys'], ...BLUE['api-keys'], 'key-wrong', 'key-new'];
export const AS_RED = {authorization: 'Token key-red-1'};
export const AS_BLUE = {authorization: 'Token key-blue'};
export const SHORT_PROMPT = {'carawayhoist-model': 'm', 'carawayhoist-token-counts': '30,80', 'carawayhoist-prompt-prefix': 'aa:10,bb:20'};
export const LONG_PROMPT = {'carawayhoist-model': 'm', 'carawayhoist-token-counts': '20000,80'};
export const PLAIN_SERVERS: readonly StubBackendOptions[] = [{id: 'p1', service: 'plain'}, {id: 'p2', service: 'plain'}];
/** Time within which a removed key must be refused everywhere. */
export const REVOKE_MS = 5000;
const WAIT_MS = 15_000;
/** Times that a loaded machine keeps: a plain request that is late would be sent twice. */
export const ROUTES = DEFAULT_ROUTES.map(route => ({...route, 'timeout-ms': WAIT_MS, ...(route.service === 'plain' && {'slo-ms': WAIT_MS})}));

/** Starts a system and publishes teams as version 2. */
export async function startTeams(t: TestContext, servers: readonly StubBackendOptions[], options: SystemOptions = {}): Promise<System> {
	const system = await startSystem(t, servers, options);
	await publishAndWait(system, 2);
	return system;
}

export async function publish(system: System, version: number, fields: Record<string, unknown> = {}): Promise<number> {
	const body = JSON.stringify({
		version, routes: ROUTES, services: SERVICES, tenants: TENANTS, ...fields,
	});
	return (await fetch(`http://${system.control}/-/config`, {method: 'PUT', body})).status;
}

/** Publishes a configuration and waits until every entry host uses it. */
export async function publishAndWait(system: System, version: number, fields?: Record<string, unknown>): Promise<void> {
	assert.equal(await publish(system, version, fields), 200);
	const message = `Applied publication ${version}.`;
	await waitUntil(async () => system.entryLines.filter(line => line.message === message).length === system.entries.length, 'the configuration is in force', REVOKE_MS);
	// Servers count as silent unless they announce themselves again.
	await system.announceServers();
}

/** Lists the requests that servers have received on a path. */
export function listReceived({servers}: System, path: string) {
	return servers.flatMap(({receivedRequests}) => receivedRequests).filter(received => received.path === path);
}

export function listTeams(system: System, path: string): unknown[] {
	return listReceived(system, path).map(({headers}) => headers['carawayhoist-tenant']);
}

/** Checks that no server has received a key or the header for it, and that no log line contains a key or a digest of one. */
export function assertNoKeys({servers, entryLines}: System): void {
	const lines = JSON.stringify(entryLines);
	const received = JSON.stringify(servers.map(({receivedRequests}) => receivedRequests));
	assert.doesNotMatch(received, /authorization/iv);
	for (const key of KEYS) {
		assert.ok(!received.includes(key), `a server has received ${key}`);
		assert.ok(!lines.includes(key) && !lines.includes(digestKey(key)), `a log line contains ${key}`);
	}
}
