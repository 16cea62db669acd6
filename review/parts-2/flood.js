#!/usr/bin/env node
/**
 * Clients outside the limits, as a process of their own: opens connections to one address, and sends the same kind of request on each.
 *
 * Arguments: a JSON object with `host`, `port`, `connections`, `kind`, `holdMs` and `isHostile`. Without `isHostile` each request has an
 * ordinary form of about the same body.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import process from 'node:process';
import {sleep} from './deployment.js';

const {host, port, connections, kind, isHostile, holdMs} = JSON.parse(process.argv[2]);
/** The published limit of a head is 16,384 bytes. */
const HEAD_BYTES = 16_000;
const OTHER_HEAD_BYTES = 200;
const SHORT_LINE = 'ab:cd\r\n';
const ORDINARY_LINE = 'X-Trace: 0123456789abcdef\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';
/** Connections are opened in groups, so that the queue of new ones does not overflow. */
const GROUP = 50;
const GROUP_PAUSE_MS = 5;
const OPEN_MS = 500;

let count = 0;

function createHead(otherLines) {
	count++;
	return `POST /s/x HTTP/1.1\r\nHost: a.example\r\nCarawayhoist-Attempt-Id: f${process.pid}-${count}\r\nCarawayhoist-Deadline-Ms: 3000\r\n${otherLines}`;
}

function createChunks(bytes, chunks) {
	return `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`.repeat(chunks);
}

/** What each connection sends: a request within all published limits, whose chunked body stops just short of its end. */
const KINDS = {
	/** A head of very many short lines, and 2,000 bytes of body. */
	lines() {
		const lines = isHostile ? SHORT_LINE.repeat(Math.floor((HEAD_BYTES - OTHER_HEAD_BYTES) / SHORT_LINE.length)) : ORDINARY_LINE.repeat(5);
		return {lines, body: createChunks(200, 10)};
	},
	/** A body of 60,000 bytes in chunks of one byte. */
	chunks() {
		return {lines: '', body: isHostile ? createChunks(1, 60_000) : createChunks(15_000, 4)};
	},
};
const {lines, body} = KINDS[kind]();
const bodyBytes = Buffer.from(body, 'latin1');

const sockets = [];
let closedCount = 0;
for (let index = 0; index < connections; index++) {
	const socket = net.connect({host, port});
	socket.on('error', () => undefined);
	socket.on('data', () => undefined);
	socket.on('close', () => {
		closedCount++;
	});
	sockets.push(socket);
	if (index % GROUP === GROUP - 1) {
		await sleep(GROUP_PAUSE_MS);
	}
}

await sleep(OPEN_MS);
for (const socket of sockets) {
	socket.write(createHead(lines + CHUNKED));
	socket.write(bodyBytes);
}

process.stdout.write('sent\n');
await sleep(holdMs);
process.stdout.write(`${closedCount} connections closed by the other side\n`);
process.exit(0);
