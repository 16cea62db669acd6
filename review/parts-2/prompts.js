#!/usr/bin/env node
/**
 * A client that sends one streaming request after the other on new connections, as a process of its own.
 *
 * Arguments: a JSON object with `fronts` (host and port each), `loops`, `seconds` and `isHostile`. A hostile client fills each head up to
 * the published limit with short header lines, each of them a part of the prompt that no other request has. Otherwise it sends prompts of
 * three parts, two of which others share.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import process from 'node:process';
import {sleep} from './deployment.js';

const {fronts, loops, seconds, isHostile} = JSON.parse(process.argv[2]);
/** The published limit of a head is 16,384 bytes. */
const HEAD_BYTES = 16_000;
const REQUEST_MS = 6000;
const PAUSE_MS = 200;
const REPORT_MS = 5000;
const untilMs = Date.now() + (seconds * 1000);
const statuses = {};
let count = 0;
let parts = 0;
let largestHead = 0;

function createPrompt(length) {
	if (!isHostile) {
		parts++;
		return [`Carawayhoist-Prompt-Prefix: ${(count % 20).toString(16)}a:800,${(count % 150).toString(16)}b:410,${parts.toString(16)}c:250`];
	}

	const lines = [];
	for (let bytes = length; bytes < HEAD_BYTES; bytes += lines.at(-1).length + 2) {
		parts++;
		lines.push(`Carawayhoist-Prompt-Prefix: ${parts.toString(16)}:1`);
	}

	return lines;
}

function createHead() {
	count++;
	const lines = [
		'POST /g/x HTTP/1.1', 'Host: a.example', `Carawayhoist-Attempt-Id: p${process.pid}-${count}`, 'Carawayhoist-Model: m', 'Carawayhoist-Token-Counts: 1460,80', 'Carawayhoist-Deadline-Ms: 5000', 'Content-Length: 0',
	];
	lines.push(...createPrompt(lines.join('\r\n').length));
	const head = Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1');
	largestHead = Math.max(largestHead, head.length);
	return head;
}

/** Sends one request and returns the status of its answer; `none` without one. */
async function request({host, port}) {
	return new Promise(resolve => {
		let text = '';
		const socket = net.connect({host, port});
		const timer = setTimeout(() => {
			socket.destroy();
		}, REQUEST_MS);
		socket.once('connect', () => {
			socket.write(createHead());
		});
		socket.on('data', bytes => {
			text += bytes.toString('latin1');
			if (/0\r\n\r\n$|\}$/v.test(text)) {
				socket.destroy();
			}
		});
		socket.once('error', () => undefined);
		socket.once('close', () => {
			clearTimeout(timer);
			resolve(text.slice(9, 12) || 'none');
		});
	});
}

async function sendRequests(front) {
	while (Date.now() < untilMs) {
		const status = await request(front);
		statuses[status] = (statuses[status] ?? 0) + 1;
		if (status === 'none') {
			await sleep(PAUSE_MS);
		}
	}
}

function report() {
	process.stdout.write(`${count} requests, ${parts} parts, largest head ${largestHead} bytes, answers ${JSON.stringify(statuses)}\n`);
}

const timer = setInterval(report, REPORT_MS);
await Promise.all(Array.from({length: loops}, async (_value, index) => sendRequests(fronts[index % fronts.length])));
clearInterval(timer);
report();
