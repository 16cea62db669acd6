/**
 * Serves a few requests with the bundle, so that the code that V8 compiles for them can be stored with the rest.
 *
 * A control host and an entry host run in this process on loopback addresses, before stand-ins of backend servers.
 */
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const CONTROL = '127.0.0.1';
const ENTRY = '127.0.0.2';
const HOST = 'warm.example';
const POLL_MS = 50;
const ROUNDS = 6;
const HTTP_OK = 200;
const SETTINGS_VARIABLE = 'CARAWAYHOIST_NODE_FILE';
const SERVERS = [
	{id: 'prefill-1', service: 'engines', stage: 'prefill'},
	{id: 'decode-1', service: 'engines', stage: 'decode'},
	{id: 'plain-1', service: 'plain'},
];
const ROUTE = {
	host: HOST, 'timeout-ms': 2000, 'slo-ms': 500, priority: 1, 'max-attempts': 2,
};
const STREAM_ROUTE = {
	...ROUTE, name: 'stream', 'path-prefix': '/stream/', type: 'streaming', service: 'engines', sticky: true, resumable: true, 'itl-target-ms': 300,
};
const READ_ROUTE = {
	...ROUTE, name: 'read', 'path-prefix': '/read/', type: 'safe', service: 'plain',
};
const WRITE_ROUTE = {
	...ROUTE, name: 'write', 'path-prefix': '/write/', type: 'unsafe', service: 'plain', 'max-attempts': 1,
};
const ENGINE = {
	slots: 8, 'kv-capacity': 100_000, 'kv-bytes': 1000, 'link-mbps': 100_000,
};
const SERVICE = {'health-path': '/health', 'max-conns': 100};
const CONFIGURATION = {
	version: 1,
	routes: [STREAM_ROUTE, READ_ROUTE, WRITE_ROUTE],
	services: [{...SERVICE, name: 'engines', engine: ENGINE}, {...SERVICE, name: 'plain'}],
};
const TARGETS = ['/stream/1', '/read/1', '/write/1'];

/**
 * Runs the bundle and serves requests with it. Throws if one is not answered.
 *
 * @param {() => void} load - Runs the bundle's code once more, with the settings that the environment names.
 * @param {AbortSignal} signal - Ends the attempts to start.
 */
export async function serveRequests(load, signal) {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'warmup-'));
	const servers = [];
	try {
		const ports = await findPorts(4);
		const [, operatorPort, callerPort, readinessPort] = ports;
		const operators = {host: CONTROL, port: operatorPort};
		await start(folder, load, {...createSettings('control', CONTROL, ports), operators: `${CONTROL}:${operatorPort}`, dataFolder: path.join(folder, 'data')});
		await start(folder, load, {...createSettings('entry', ENTRY, ports), callers: `${ENTRY}:${callerPort}`, readiness: `${ENTRY}:${readinessPort}`});
		await retry(signal, async () => send({...operators, method: 'PUT', path: '/-/config'}, JSON.stringify(CONFIGURATION)));
		for (const server of SERVERS) {
			const listener = await startServer(server.id);
			servers.push(listener);
			await retry(signal, async () => announce(server, listener, operators));
		}

		await retry(signal, async () => send({host: ENTRY, port: readinessPort, path: '/-/ready'}));
		for (let round = 0; round < ROUNDS; round++) {
			const statuses = await Promise.all(TARGETS.map(async target => call({host: ENTRY, port: callerPort, path: target}, round)));
			if (statuses.some(status => status !== HTTP_OK)) {
				throw new Error(`The requests were answered with ${statuses.join(', ')}.`);
			}
		}
	} finally {
		for (const server of servers) {
			server.close();
		}

		await rm(folder, {recursive: true, force: true});
	}
}

function createSettings(role, address, [peerPort, operatorPort]) {
	const bounds = {
		graceMs: 8000, leaseMs: 3000, repeatRatio: 0.2, repeatWindowMs: 10_000, repeatAllowance: 100, announceMs: 1200,
	};
	return {
		host: `${role}-1`, dataCentre: 'a', role, address, peerPort, seeds: [`${CONTROL}:${operatorPort}`], firstStart: true, bounds,
	};
}

async function start(folder, load, settings) {
	const file = path.join(folder, `${settings.role}.json`);
	await writeFile(file, JSON.stringify(settings));
	process.env[SETTINGS_VARIABLE] = file;
	load();
}

/** Starts a stand-in of a backend server. */
async function startServer(id) {
	const server = http.createServer((request, response) => {
		request.resume();
		const attempt = request.headers['carawayhoist-attempt-id'] ?? '';
		response.setHeader('carawayhoist-attempt-id', attempt);
		if (request.headers['carawayhoist-serving-stage'] === 'prefill') {
			response.end(JSON.stringify({handle: `${id}-${attempt}`, tokens: 1, version: 1}));
		} else if (request.url.startsWith('/stream/')) {
			response.writeHead(HTTP_OK, {'content-type': 'text/event-stream'});
			response.end('id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
		} else {
			response.end('{}');
		}
	});
	server.listen(0, CONTROL);
	await once(server, 'listening');
	return server;
}

async function announce({id, service, stage}, server, target) {
	const models = stage && [{name: 'm', version: 1, adapters: []}];
	const announcement = {
		service, stage, models, address: `${CONTROL}:${server.address().port}`, zone: 'a', version: 'v1', slots: 8, state: 'ready', 'cold-remaining-ms': 0, sequence: 1, born: 1,
	};
	return send({...target, method: 'PUT', path: `/-/instances/${id}`}, JSON.stringify(announcement));
}

async function call(target, round) {
	const name = target.path.split('/')[1];
	const headers = {host: HOST, 'carawayhoist-attempt-id': `warmup-${name}-${round}`, 'carawayhoist-deadline-ms': '2000'};
	if (name === 'stream') {
		Object.assign(headers, {'carawayhoist-model': 'm', 'carawayhoist-token-counts': '9000,10', 'carawayhoist-prompt-prefix': `aa:8000,b${round}:1000`});
	}

	return name === 'read' ? send({...target, headers}) : send({...target, headers, method: 'POST'}, 'body');
}

/** Sends a request; returns the status of the response, or undefined if the connection failed. */
async function send(options, body) {
	return new Promise(resolve => {
		const request = http.request({...options, agent: false}, response => {
			response.resume();
			response.once('close', () => {
				resolve(response.statusCode);
			});
		});
		request.once('error', () => {
			resolve(undefined);
		});
		request.end(body);
	});
}

async function retry(signal, attempt) {
	while (await attempt() !== HTTP_OK) {
		signal.throwIfAborted();
		await sleep(POLL_MS);
	}
}

/** Finds ports that are free, all of them open at the same time so that they differ. */
async function findPorts(count) {
	const servers = Array.from({length: count}, () => net.createServer().listen(0, CONTROL));
	await Promise.all(servers.map(async server => once(server, 'listening')));
	const ports = servers.map(server => server.address().port);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}
