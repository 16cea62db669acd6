/**
 * The platform's system in one process: a control host, entry hosts and stub servers on loopback addresses.
 *
 * @module
 */
import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import * as Either from 'fp-ts/lib/Either.js';
import {Registry} from 'prom-client';
import {request} from 'undici';
import {waitUntil} from '../dev/fleet.js';
import {findPort as findOwnPort} from '../dev/ports.js';
import {PlatformProtocol} from '../platform/protocol.js';
import {createControlHandler, startHttpServer, type EndpointServer} from '../platform/endpoints.js';
import {PlatformOrderTransport} from '../platform/orders.js';
import {createClock, type Clock} from '../src/base/clock.js';
import {createSilentLoggers, type LogFields, type LoggerFactory} from '../src/base/logger.js';
import {createRandom} from '../src/base/random.js';
import {createControlMetrics} from '../src/control/metrics.js';
import {ControlHost} from '../src/daemon/controlhost.js';
import {EntryHost} from '../src/daemon/entryhost.js';
import type {DutySettings} from '../src/duties/duties.js';
import {createServingMetrics} from '../src/serving/metrics.js';
import type {Address} from '../src/wire/connection.js';
import type {ServerConnector} from '../src/wire/connector.js';
import {StubBackend, type StubBackendOptions} from './stub.js';

export const ROUTES = [
	{
		name: 'read', host: 'a.example', 'path-prefix': '/read/', type: 'safe', 'timeout-ms': 800, 'slo-ms': 100, priority: 2, service: 'plain', 'max-attempts': 2,
	},
	{
		name: 'book', host: 'a.example', 'path-prefix': '/book/', type: 'unsafe', 'timeout-ms': 800, 'slo-ms': 100, priority: 2, service: 'plain', 'max-attempts': 1,
	},
	{
		name: 'ask', host: 'a.example', 'path-prefix': '/ask/', type: 'streaming', 'timeout-ms': 2000, 'slo-ms': 500, priority: 1, service: 'llm', 'max-attempts': 2, sticky: true, resumable: true, 'itl-target-ms': 300,
	},
	{
		name: 'tell', host: 'a.example', 'path-prefix': '/tell/', type: 'streaming', 'timeout-ms': 2000, 'slo-ms': 500, priority: 1, service: 'llm', 'max-attempts': 1, sticky: true, resumable: false, 'itl-target-ms': 300,
	},
];
export const SERVICES = [
	{name: 'plain', 'health-path': '/health', 'max-conns': 100},
	{
		name: 'llm', 'health-path': '/health', 'max-conns': 100, engine: {slots: 8, 'kv-capacity': 100_000},
	},
];

export type SystemOptions = {
	readonly maxResponseBytes?: number;
	/** Timeout of all routes instead of their own, milliseconds. */
	readonly routeTimeoutMs?: number;
	/** Time from the stop of an entry host until it must have ended, milliseconds. */
	readonly graceMs?: number;
	/** How the entry hosts connect to servers, by the order in which they start. */
	readonly connectServers?: readonly ServerConnector[];
	readonly findPort?: () => Promise<number>;
	readonly clock?: Clock;
	readonly duties?: DutySettings;
	/** Version of the first configuration. */
	readonly configVersion?: number;
};

type TestContext = {
	after(handler: () => Promise<void>): void;
};

/**
 * Starts one control host, one entry host and the servers, and waits until the entry host knows all servers. After the test,
 * everything that was started is stopped, also if the start failed.
 */
export async function startSystem(t: TestContext, options: readonly StubBackendOptions[], {maxResponseBytes, routeTimeoutMs, graceMs = 1000, connectServers = [], findPort = findOwnPort, clock = createClock(), duties, configVersion = 1}: SystemOptions = {}) {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'site-'));
	const cleanups: Array<() => Promise<void> | void> = [async () => rm(folder, {recursive: true, force: true})];
	t.after(async () => {
		for (const cleanUp of cleanups.toReversed()) {
			await cleanUp();
		}
	});
	const loggers = createSilentLoggers();
	const entryLog = createRecordingLoggers();
	const dialect = new PlatformProtocol();
	const registry = new Registry();
	const metrics = createServingMetrics(registry);
	const controlRegistry = new Registry();
	const peer = {address: '127.0.0.1', port: await findPort()};
	const operators = {address: '127.0.0.1', port: await findPort()};
	const startControl = async (registry: Registry, host = 'c1', peerAddress = peer) => unwrap(await ControlHost.start({
		host,
		dataCentre: 'a',
		peerAddress,
		dataFolder: path.join(folder, host),
		seeds: [peer],
		firstStart: true,
		clock,
		random: createRandom(1),
		loggers,
		metrics: createControlMetrics(registry),
		protocol: dialect,
		createOrderTransport: findServer => new PlatformOrderTransport(host, clock, findServer),
		leaseMs: 500,
		announceIntervalMs: 400,
		duties,
	}));
	let control = await startControl(controlRegistry);
	let isControlRunning = true;
	let api: EndpointServer | undefined;
	const stopControl = async () => {
		if (isControlRunning) {
			isControlRunning = false;
			if (api) {
				api.close();
			}

			await control.close();
		}
	};

	cleanups.push(stopControl);
	api = unwrap(await startHttpServer(operators, createControlHandler(control)));
	let entryCount = 0;
	const startEntry = async () => {
		const callers = {address: '127.0.0.1', port: await findPort()};
		const peerAddress = {address: '127.0.0.1', port: await findPort()};
		const host = unwrap(await EntryHost.start({
			host: `h${++entryCount}`, dataCentre: 'a', callerAddress: callers, peerAddress, seeds: [peer], clock, random: createRandom(1 + entryCount), loggers: entryLog.loggers, protocol: dialect, metrics, retryBudget: {ratio: 0.2, allowance: 100, windowMs: 10_000}, graceMs, maxResponseBytes, usageWindowMs: duties?.windowMs, ...(connectServers[entryCount - 1] && {connectServer: connectServers[entryCount - 1]}),
		}));
		cleanups.push(() => {
			host.close();
		});
		return {host, callers, peerAddress};
	};

	const first = await startEntry();
	const entry = first.host;
	const entries = [first];
	const servers = options.map(option => new StubBackend(option));
	cleanups.push(() => {
		for (const server of servers) {
			server.stop();
		}
	});
	const address = `${operators.address}:${operators.port}`;
	await waitUntil(async () => {
		const routes = ROUTES.map(route => routeTimeoutMs === undefined ? route : {...route, 'timeout-ms': routeTimeoutMs});
		const body = JSON.stringify({version: configVersion, routes, services: SERVICES});
		return (await fetch(`http://${address}/-/config`, {method: 'PUT', body})).status === 200;
	}, 'the first configuration is accepted');
	for (const server of servers) {
		await server.start();
		await waitUntil(async () => await server.announce(address) === 200, 'an announcement is accepted');
	}

	await waitUntil(async () => entry.listServers().length === servers.length && (servers.length === 0 || entry.isReady), 'the entry host knows all servers');
	let next = 0;
	const callAt = async ({callers}: {callers: Address}, target: string, headers: Record<string, string> = {}, body?: string) => {
		const id = `id-${++next}`;
		const response = await request(`http://${callers.address}:${callers.port}${target}`, {
			method: body === undefined ? 'GET' : 'POST', body, headers: {host: 'a.example', 'carawayhoist-attempt-id': id, ...headers},
		});
		return {
			id, status: response.statusCode, headers: response.headers, text: await response.body.text(),
		};
	};

	return {
		control: address,
		/** Where other hosts reach the control host. */
		controlPeer: peer,
		callers: first.callers,
		/** Where each entry host listens for callers. */
		get callerAddresses() {
			return entries.map(({callers}) => callers);
		},
		/** Where each entry host listens for other hosts. */
		get peerAddresses() {
			return entries.map(({peerAddress}) => peerAddress);
		},
		entry,
		metrics,
		/** Metrics of the entry hosts. */
		registry,
		controlRegistry,
		/** Finds what the control host knows of a server. */
		findRegistered: (id: string) => control.registry.findStatus(id),
		/** Ports of the control hosts that the first one knows. */
		listControlPorts: () => control.listControlAddresses().map(({port}) => port),
		entryLines: entryLog.lines,
		servers,
		get entries() {
			return entries.map(({host}) => host);
		},
		call: async (target: string, headers: Record<string, string> = {}, body?: string) => callAt(first, target, headers, body),
		/** Starts one more entry host, waits until it knows all running servers, and returns a function that calls it. */
		async addEntry() {
			const added = await startEntry();
			entries.push(added);
			await waitUntil(async () => added.host.isReady && added.host.listServers().length === entry.listServers().length, 'the added entry host knows all servers');
			return async (target: string, headers: Record<string, string> = {}, body?: string) => callAt(added, target, headers, body);
		},
		/** Starts one more entry host without waiting until it knows anything, and returns a function that calls it. */
		async addUnawaitedEntry() {
			const added = await startEntry();
			entries.push(added);
			return async (target: string, headers: Record<string, string> = {}, body?: string) => callAt(added, target, headers, body);
		},
		/** Stops a server that deregisters, and waits until no entry host lists it. */
		async removeServer(id: string) {
			await fetch(`http://${address}/-/instances/${id}`, {method: 'DELETE'});
			await waitUntil(async () => entries.every(({host}) => !host.listServers().includes(id)), `no entry host lists ${id}`);
			servers.find(server => server.id === id)?.stop();
		},
		/** Starts one more control host, on an empty data folder and with the settings of the first one; returns where hosts reach it. */
		async addControl() {
			const added = {address: '127.0.0.1', port: await findPort()};
			const host = await startControl(new Registry(), 'c2', added);
			cleanups.push(async () => host.close());
			return {...added, findRegistered: (id: string) => host.registry.findStatus(id)};
		},
		stopControl,
		/** Ends the control host and starts it again on its data folder; waits until it takes announcements. */
		async restartControl() {
			await stopControl();
			control = await startControl(new Registry());
			isControlRunning = true;
			api = unwrap(await startHttpServer(operators, createControlHandler(control)));
			await waitUntil(async () => (await fetch(`http://${address}/-/config`)).status === 200, 'the control host has its configuration');
		},
		/** Announces all running servers again, before they count as silent. */
		async announceServers() {
			await Promise.all(servers.filter(server => server.isRunning).map(async server => server.announce(address)));
		},
		/** Announces one server again. */
		async announceOnly(id: string) {
			await servers.find(server => server.id === id)?.announce(address);
		},
		/** Starts and announces one more server, at the port of a stopped one if one is given. */
		async addServer(option: StubBackendOptions, port?: number) {
			const server = new StubBackend(option);
			servers.push(server);
			await server.start(port);
			await server.announce(address);
			await waitUntil(async () => entries.every(({host}) => host.listServers().includes(option.id)), `every entry host lists ${option.id}`);
			return server;
		},
	};
}

/** Creates loggers that record every line. */
function createRecordingLoggers(): {loggers: LoggerFactory; lines: Array<{message: string; fields: LogFields}>} {
	const lines: Array<{message: string; fields: LogFields}> = [];
	const record = (message: string, fields: LogFields = {}) => {
		lines.push({message, fields});
	};

	return {
		lines, loggers: () => ({
			debug: record, info: record, warn: record, error: record,
		}),
	};
}

function unwrap<Value>(result: Either.Either<{readonly text: string}, Value>): Value {
	if (Either.isLeft(result)) {
		throw new Error(result.left.text);
	}

	return result.right;
}

