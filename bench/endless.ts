/**
 * Measures the memory of an entry host while servers send responses without end: as fast as they can, and a few bytes at a
 * time. The servers and the callers run in the same process, so the figures are upper bounds; the servers write
 * one shared buffer.
 *
 * @example
 * ```sh
 * npm run bench:endless
 * ```
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import process from 'node:process';
import {createResponseHeaders} from '../test/stub.js';
import {startSystem} from '../test/system.js';

const RESPONSES = 200;
const SERVERS = 4;
const SAMPLE_INTERVAL_MS = 10;
const DRIP_INTERVAL_MS = 5;
const BYTES_PER_MIB = 1_048_576;
const FAST_CHUNK = Buffer.alloc(65_536, 'x');
const DRIP = Buffer.alloc(16, 'x');

const WRITERS: Record<string, (response: ServerResponse) => void> = {
	fast(response) {
		const send = () => {
			while (!response.destroyed && response.write(FAST_CHUNK)) {
				// Writes until the socket buffer is full.
			}
		};

		response.on('drain', send);
		send();
	},
	dripping(response) {
		const timer = setInterval(() => {
			response.write(DRIP);
		}, DRIP_INTERVAL_MS);
		response.once('close', () => {
			clearInterval(timer);
		});
	},
};

for (const [name, write] of Object.entries(WRITERS)) {
	console.log(JSON.stringify(await measure(name, write)));
}

/** Sends all requests at once and samples the memory until every one is answered. */
async function measure(name: string, write: (response: ServerResponse) => void) {
	const cleanups: Array<() => Promise<void>> = [];
	let open = 0;
	let maxOpen = 0;
	const after = (handler: () => Promise<void>) => {
		cleanups.push(handler);
	};

	const system = await startSystem({after}, Array.from({length: SERVERS}, (_, index) => ({
		id: `p${index}`, service: 'plain', intercept(request, response) {
			maxOpen = Math.max(maxOpen, ++open);
			response.once('close', () => {
				open--;
			});
			response.writeHead(200, createResponseHeaders(request));
			write(response);
			return true;
		},
	})));
	const before = readMemory();
	const peak = {...before};
	const timer = setInterval(() => {
		const now = readMemory();
		peak.residentMiB = Math.max(peak.residentMiB, now.residentMiB);
		peak.buffersMiB = Math.max(peak.buffersMiB, now.buffersMiB);
	}, SAMPLE_INTERVAL_MS);
	const answers = await Promise.all(Array.from({length: RESPONSES}, async (_, index) => system.call(`/book/endless/${index}`, {}, 'body')));
	clearInterval(timer);
	globalThis.gc?.();
	const afterwards = readMemory();
	for (const cleanUp of cleanups) {
		await cleanUp();
	}

	const statuses: Record<number, number> = {};
	for (const {status} of answers) {
		statuses[status] = (statuses[status] ?? 0) + 1;
	}

	return {
		responses: name, maxOpen, statuses, before, peak, after: afterwards,
	};
}

function readMemory() {
	const {rss, arrayBuffers} = process.memoryUsage();
	const toMib = (bytes: number) => Math.round(bytes / BYTES_PER_MIB);
	return {residentMiB: toMib(rss), buffersMiB: toMib(arrayBuffers)};
}
