/**
 * Publishes routes of a test system with another number of attempts.
 *
 * @module
 */
import assert from 'node:assert/strict';
import {waitUntil} from '../dev/fleet.js';
import {ROUTES, SERVICES, type startSystem} from './system.js';

/** Publishes the routes with another number of attempts, and waits until the entry host uses them. */
export async function publishAttempts({control, call}: Awaited<ReturnType<typeof startSystem>>, attempts: number): Promise<void> {
	const routes = ROUTES.map(route => ({...route, 'max-attempts': attempts}));
	const added = {
		...ROUTES[0]!, name: 'added', 'path-prefix': '/added/', service: 'empty',
	};
	const services = [...SERVICES, {name: 'empty', 'health-path': '/health', 'max-conns': 1}];
	const response = await fetch(`http://${control}/-/config`, {method: 'PUT', body: JSON.stringify({version: 2, routes: [...routes, added], services})});
	assert.equal(response.status, 200);
	await waitUntil(async () => (await call('/added/1')).status === 503, 'the routes are in force');
}
