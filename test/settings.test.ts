import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {
	mkdtemp, readdir, rm, writeFile,
} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {test} from 'node:test';
import {promisify} from 'node:util';
import * as Either from 'fp-ts/lib/Either.js';
import {validateSettings, readSettings} from '../src/daemon/settings.js';

const ROOT = path.resolve(import.meta.dirname, '../..');
const DAEMON = path.join(ROOT, 'dist/src/daemon/carawayhoistd.js');
const execute = promisify(execFile);

const RIGHT = {
	host: 'host-1',
	dataCentre: 'a',
	roles: ['control', 'entry'],
	http: {address: '127.0.0.1', port: 8080},
	peer: {address: '127.0.0.1', port: 7400},
	dataFolder: '/tmp/x',
	control: [{host: 'host-1', address: '127.0.0.1', port: 7400}],
};

/** A wrong file, the pointer that must be named, and a piece of what must be said of it. */
const WRONG: ReadonlyArray<readonly [string, unknown, string, string]> = [
	['no host', {...RIGHT, host: undefined}, '/host', 'is required'],
	['a host with a space', {...RIGHT, host: 'host 1'}, '/host', 'pattern'],
	['an unknown setting', {...RIGHT, colour: 'red'}, '/colour', 'is unknown'],
	['an unknown role', {...RIGHT, roles: ['entry', 'boss']}, '/roles/1', 'must be one of "entry", "control"'],
	['no role', {...RIGHT, roles: []}, '/roles', 'fewer than 1'],
	['the control role alone', {...RIGHT, roles: ['control']}, '/roles', 'must contain "entry"'],
	['a port that is too large', {...RIGHT, http: {address: '127.0.0.1', port: 70_000}}, '/http/port', '<= 65535'],
	['a port that is a string', {...RIGHT, peer: {address: '127.0.0.1', port: '7400'}}, '/peer/port', 'integer'],
	['a name in place of an IP number', {...RIGHT, http: {address: 'localhost', port: 80}}, '/http/address', 'pattern'],
	['no data folder for a control host', {...RIGHT, dataFolder: undefined}, '/dataFolder', 'is required with the role'],
	['no control hosts', {...RIGHT, control: undefined}, '/control', 'is required'],
	['eight control hosts', {...RIGHT, control: Array.from({length: 8}, (_, index) => ({host: `h${index}`, address: '127.0.0.1', port: 1}))}, '/control', 'more than 7'],
	['a control host named twice', {...RIGHT, control: [RIGHT.control[0], RIGHT.control[0]]}, '/control/1/host', 'a second time'],
	['a control host without a port', {...RIGHT, control: [{host: 'host-1', address: '127.0.0.1'}]}, '/control/0/port', 'is required'],
	['an unknown log level', {...RIGHT, logLevel: 'loud'}, '/logLevel', 'must be one of "debug", "info"'],
	['a limit that is too small', {...RIGHT, limits: {bodyBytes: 1}}, '/limits/bodyBytes', '>= 1024'],
	['an unknown limit', {...RIGHT, limits: {bodyMegabytes: 1}}, '/limits/bodyMegabytes', 'is unknown'],
	['half of TLS', {...RIGHT, tls: {certificateFile: 'a.pem'}}, '/tls/keyFile', 'is required'],
	['both listeners on one port', {...RIGHT, peer: RIGHT.http}, '/peer/port', 'must differ'],
	['a list', [], '/', 'object'],
];

test('right settings are taken', () => {
	assert.ok(Either.isRight(validateSettings(structuredClone(RIGHT))));
});

for (const [title, value, pointer, text] of WRONG) {
	test(`wrong settings are named by their pointer: ${title}`, () => {
		// What is undefined must be gone, as in a file.
		const checked = validateSettings(JSON.parse(JSON.stringify(value))); // eslint-disable-line unicorn/prefer-structured-clone
		assert.ok(Either.isLeft(checked));
		assert.equal(checked.left.problem.code, 1002);
		const fault = checked.left.errors.find(one => one.pointer === pointer && one.text.includes(text));
		assert.ok(fault, JSON.stringify(checked.left.errors));
	});
}

test('every fault of a file is named, with exit code 2 and no stack trace', async () => {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'settings-'));
	const file = path.join(folder, 'wrong.json');
	await writeFile(file, JSON.stringify({...RIGHT, colour: 'red', http: {address: '127.0.0.1', port: -1}}));
	for (const option of ['--check', '--settings']) {
		const {code, stderr} = await fails([option, file]);
		assert.equal(code, 2);
		assert.match(stderr, /1002/v);
		assert.match(stderr, /\/colour is unknown/v);
		assert.match(stderr, /\/http\/port must be >= 0/v);
		assert.doesNotMatch(stderr, /\bat .*\.js/v);
	}

	await writeFile(file, '{"host": ');
	assert.equal((await fails(['--check', file])).code, 2);
	assert.equal((await fails(['--check', path.join(folder, 'missing.json')])).code, 2);
	assert.equal((await fails(['--loud'])).code, 2);
	assert.equal((await fails([])).code, 2);
	await rm(folder, {recursive: true});
});

test('the ready-made settings are right', async () => {
	const names = await readdir(path.join(ROOT, 'examples'), {recursive: true});
	const files = names.filter(name => /host-\d+\.json$/v.test(name));
	assert.ok(files.length >= 13 + 14 + 3);
	for (const name of files) {
		assert.ok(Either.isRight(await readSettings(path.join(ROOT, 'examples', name))), name);
	}
});

test('help and version', async () => {
	const help = await execute(process.execPath, [DAEMON, '--help']);
	assert.match(help.stdout, /--settings FILE/v);
	const version = await execute(process.execPath, [DAEMON, '--version']);
	assert.match(version.stdout, /^carawayhoistd \d+\.\d+\.\d+\n$/v);
});

async function fails(commandLine: readonly string[]): Promise<{code: number; stderr: string}> {
	try {
		await execute(process.execPath, [DAEMON, ...commandLine]);
		return {code: 0, stderr: ''};
	} catch (error) {
		return error as {code: number; stderr: string};
	}
}
