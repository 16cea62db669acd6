import {Buffer} from 'node:buffer';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	checkMachine, Crowd, MAX_BODY_BYTES, MIB, startMachines, type CrowdOptions,
} from './hostileclients.js';

const PIECE = Buffer.alloc(64 * 1024, 'x');
const CHUNK = Buffer.concat([Buffer.from('10000\r\n'), PIECE, Buffer.from('\r\n')]);
const TINY_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(10_000));
const TERABYTE = 1e12;
const HEAD_BYTES = 16_000;
/** Time in which what clients have sent arrives at a process that stands still. */
const ARRIVAL_MS = 500;

function createHead(index: number, lines = '', path = '/read/1', method = 'POST'): string {
	return `${method} ${path} HTTP/1.1\r\nhost: a.example\r\ncarawayhoist-attempt-id: hostile-${index}\r\n${lines}\r\n`;
}

function * repeat(head: string, piece: Buffer, count: number): Generator<Buffer | string> {
	yield head;
	for (let index = 0; index < count; index++) {
		yield piece;
	}
}

function fillHead(createLine: (index: number) => string): string {
	let lines = '';
	for (let index = 0; lines.length < HEAD_BYTES; index++) {
		lines += createLine(index);
	}

	return lines;
}

const STOPPED_PIECES = (MAX_BODY_BYTES / PIECE.length) - 1;
const CHUNKED = 'transfer-encoding: chunked\r\n';

/** Clients of an entry host: their number and what each sends. */
const CROWDS: Record<string, CrowdOptions> = {
	'chunked bodies that stop short of their end': {count: 150, script: index => repeat(createHead(index, CHUNKED), CHUNK, STOPPED_PIECES)},
	'bodies with a length that stop short of it': {count: 150, script: index => repeat(createHead(index, `content-length: ${MAX_BODY_BYTES}\r\n`), PIECE, STOPPED_PIECES)},
	'bodies in chunks of one byte': {count: 100, script: index => repeat(createHead(index, CHUNKED), TINY_CHUNKS, 9)},
	'bodies far over the limit, declared': {count: 100, script: index => repeat(createHead(index, `content-length: ${TERABYTE}\r\n`), PIECE, 1000)},
	'chunked bodies without end': {count: 100, script: index => repeat(createHead(index, CHUNKED), CHUNK, 1000)},
	'heads of many short lines whose bodies do not arrive': {count: 250, script: index => [createHead(index, `${fillHead(() => 'a:b\r\n')}content-length: 9\r\n`)]},
	'heads of empty values, duplicate names and unusual characters': {
		count: 250, script: index => [createHead(index, `${fillHead(line => ['x:\r\n', 'X:  \t\r\n', '!#$%&\'*+.^_`|~:\u00E9\u00FF\r\n', 'cookie:a\r\n', `q${line}:\r\n`][line % 5]!)}content-length: 9\r\n`)],
	},
	'heads that do not end': {count: 250, script: index => [createHead(index, fillHead(() => 'a:\r\n')).slice(0, -2)]},
	'idle connections': {count: 600, script: () => []},
	'idle connections after a request': {count: 600, script: index => [createHead(index, '', '/read/1', 'GET')]},
};

// Each of these crowds made an entry host exceed the memory of a small machine, use more descriptors than it has, or leave ordinary
// requests unanswered: what was held for clients had no bound for all of them together.
for (const [name, crowd] of Object.entries(CROWDS)) {
	test(`an entry host bears ${name}`, async t => {
		const machines = await startMachines(t);
		await Crowd.send(t, machines.callers, crowd);
		await machines.callOnce();
		t.diagnostic(await checkMachine('entry host', machines.entry));
	});
}

// Guards against an entry host that runs out of memory for trailers, whose lines the parser keeps until the body ends.
test('an entry host bears chunked bodies that stop inside a trailer of many short lines', async t => {
	const machines = await startMachines(t, {entryMachine: {memoryMb: 272, maxFds: 2870}});
	await Crowd.send(t, machines.callers, {count: 900, script: index => [`${createHead(index, CHUNKED)}4\r\nbody\r\n0\r\n${fillHead(line => `${line.toString(36)}:${line.toString(36)}\r\n`)}`]});
	await machines.callOnce();
	t.diagnostic(await checkMachine('entry host', machines.entry));
});

// Guards against an entry host that runs out of memory for heads that arrive at the same time: those of refused requests stayed in memory until
// their responses had been sent.
test('an entry host bears heads of many short lines on most of its connections', async t => {
	const machines = await startMachines(t, {entryMachine: {memoryMb: 272, maxFds: 2870}});
	const {sockets} = await Crowd.send(t, machines.callers, {count: 1000, script: () => []});
	machines.entry.child.kill('SIGSTOP');
	for (const [index, socket] of sockets.entries()) {
		socket.write(createHead(index, `${fillHead(() => 'ab:cd\r\n')}${CHUNKED}`));
	}

	await sleep(ARRIVAL_MS);
	machines.entry.child.kill('SIGCONT');
	await machines.callOnce();
	t.diagnostic(await checkMachine('entry host', machines.entry));
});

// A response stays in memory until its client has read it; clients that do not read at all kept any number of responses.
test('an entry host bears clients that do not read their responses', async t => {
	const machines = await startMachines(t, {
		stub: {
			intercept(request, response) {
				const isLarge = request.headers['x-large'] !== undefined;
				response.writeHead(200, {'carawayhoist-attempt-id': String(request.headers['carawayhoist-attempt-id'])}).end(Buffer.alloc(isLarge ? 6 * MIB : 2));
				return true;
			},
		},
	});
	await Crowd.send(t, machines.callers, {count: 60, script: index => [createHead(index, 'x-large: 1\r\n', '/read/1', 'GET')], isReading: false});
	await machines.callOnce();
	t.diagnostic(await checkMachine('entry host', machines.entry));
});

/** Requests for operators; a configuration may be a few megabytes, and the limit is 16 MiB. */
const OPERATOR_CROWDS: Record<string, CrowdOptions> = {
	'chunked bodies that stop short of their end': {count: 40, script: () => repeat(createPut(CHUNKED), CHUNK, 240)},
	'bodies with a length that stop short of it': {count: 40, script: () => repeat(createPut(`content-length: ${16 * MIB}\r\n`), PIECE, 240)},
	'bodies in chunks of one byte': {count: 100, script: () => repeat(createPut(CHUNKED), TINY_CHUNKS, 9)},
	'bodies far over the limit, declared': {count: 40, script: () => repeat(createPut(`content-length: ${TERABYTE}\r\n`), PIECE, 1000)},
	'chunked bodies without end': {count: 40, script: () => repeat(createPut(CHUNKED), CHUNK, 1000)},
	'chunked bodies that stop inside a trailer of many short lines': {count: 600, script: index => [createHead(index, CHUNKED), '4\r\nbody\r\n0\r\n', fillHead(() => 'a:b\r\n')]},
	'idle connections': {count: 600, script: () => []},
};

function createPut(lines: string): string {
	return `PUT /-/config HTTP/1.1\r\nhost: control\r\n${lines}\r\n`;
}

for (const [name, crowd] of Object.entries(OPERATOR_CROWDS)) {
	test(`a control host bears ${name}`, async t => {
		const machines = await startMachines(t);
		await Crowd.send(t, machines.operators, crowd);
		await machines.readConfiguration();
		t.diagnostic(await checkMachine('control host', machines.control));
	});
}

test('the readiness address of an entry host bears bodies and idle connections', async (t: TestContext) => {
	const machines = await startMachines(t);
	await Crowd.send(t, machines.readiness, {count: 100, script: () => repeat(`POST /-/ready HTTP/1.1\r\nhost: entry\r\n${CHUNKED}\r\n`, CHUNK, 200)});
	await Crowd.send(t, machines.readiness, {count: 600, script: () => []});
	await machines.checkReadiness();
	await machines.callOnce();
	t.diagnostic(await checkMachine('entry host', machines.entry));
});
