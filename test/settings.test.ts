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

const VALID = {
	host: 'host-1',
	dataCentre: 'a',
	roles: ['control', 'entry'],
	http: {address: '127.0.0.1', port: 8080},
	peer: {address: '127.0.0.1', port: 7400},
	dataFolder: '/tmp/x',
	control: [{host: 'host-1', address: '127.0.0.1', port: 7400}],
};

/** Invalid settings with the JSON pointer and a part of the text that must be reported. */
const INVALID: ReadonlyArray<readonly [string, unknown, string, string]> = [
	['no host', {...VALID, host: undefined}, '/host', 'is required'],
	['a host with a space', {...VALID, host: 'host 1'}, '/host', 'pattern'],
	['an unknown setting', {...VALID, colour: 'red'}, '/colour', 'is unknown'],
	['an unknown role', {...VALID, roles: ['entry', 'boss']}, '/roles/1', 'must be one of "entry", "control"'],
	['no roles', {...VALID, roles: []}, '/roles', 'fewer than 1'],
	['the control role alone', {...VALID, roles: ['control']}, '/roles', 'must contain "entry"'],
	['a port that is too large', {...VALID, http: {address: '127.0.0.1', port: 70_000}}, '/http/port', '<= 65535'],
	['a port that is a string', {...VALID, peer: {address: '127.0.0.1', port: '7400'}}, '/peer/port', 'integer'],
	['a host name instead of an IP address', {...VALID, http: {address: 'localhost', port: 80}}, '/http/address', 'pattern'],
	['no data folder for a control host', {...VALID, dataFolder: undefined}, '/dataFolder', 'is required with the role'],
	['no control hosts', {...VALID, control: undefined}, '/control', 'is required'],
	['eight control hosts', {...VALID, control: Array.from({length: 8}, (_, index) => ({host: `h${index}`, address: '127.0.0.1', port: 1}))}, '/control', 'more than 7'],
	['a control host named twice', {...VALID, control: [VALID.control[0], VALID.control[0]]}, '/control/1/host', 'a second time'],
	['a control host without a port', {...VALID, control: [{host: 'host-1', address: '127.0.0.1'}]}, '/control/0/port', 'is required'],
	['an unknown log level', {...VALID, logLevel: 'loud'}, '/logLevel', 'must be one of "debug", "info"'],
	['a limit that is too small', {...VALID, limits: {bodyBytes: 1}}, '/limits/bodyBytes', '>= 1024'],
	['an unknown limit', {...VALID, limits: {bodyMegabytes: 1}}, '/limits/bodyMegabytes', 'is unknown'],
	['a TLS certificate without a key', {...VALID, tls: {certificateFile: 'a.pem'}}, '/tls/keyFile', 'is required'],
	['both listeners on one port', {...VALID, peer: VALID.http}, '/peer/port', 'must differ'],
	['a list', [], '/', 'object'],
];

test('valid settings are accepted', () => {
	assert.ok(Either.isRight(validateSettings(structuredClone(VALID))));
});

for (const [title, value, pointer, text] of INVALID) {
	test(`an invalid setting is reported with its JSON pointer: ${title}`, () => {
		// The round trip through JSON drops undefined properties, as in a settings file.
		const checked = validateSettings(JSON.parse(JSON.stringify(value))); // eslint-disable-line unicorn/prefer-structured-clone
		assert.ok(Either.isLeft(checked));
		assert.equal(checked.left.problem.code, 1002);
		const match = checked.left.errors.find(error => error.pointer === pointer && error.text.includes(text));
		assert.ok(match, JSON.stringify(checked.left.errors));
	});
}

test('every invalid setting of a file is reported, with exit code 2 and without a stack trace', async () => {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'settings-'));
	const file = path.join(folder, 'invalid.json');
	await writeFile(file, JSON.stringify({...VALID, colour: 'red', http: {address: '127.0.0.1', port: -1}}));
	for (const option of ['--check', '--settings']) {
		const {code, stderr} = await runDaemon([option, file]);
		assert.equal(code, 2);
		assert.match(stderr, /1002/v);
		assert.match(stderr, /\/colour is unknown/v);
		assert.match(stderr, /\/http\/port must be >= 0/v);
		assert.doesNotMatch(stderr, /\bat .*\.js/v);
	}

	await writeFile(file, '{"host": ');
	assert.equal((await runDaemon(['--check', file])).code, 2);
	assert.equal((await runDaemon(['--check', path.join(folder, 'missing.json')])).code, 2);
	assert.equal((await runDaemon(['--loud'])).code, 2);
	assert.equal((await runDaemon([])).code, 2);
	await rm(folder, {recursive: true});
});

test('the settings in examples/ are valid', async () => {
	const names = await readdir(path.join(ROOT, 'examples'), {recursive: true});
	const files = names.filter(name => /host-\d+\.json$/v.test(name));
	assert.ok(files.length >= 13 + 14 + 3);
	for (const name of files) {
		assert.ok(Either.isRight(await readSettings(path.join(ROOT, 'examples', name))), name);
	}
});

test('the daemon prints its help and version', async () => {
	const help = await execute(process.execPath, [DAEMON, '--help']);
	assert.match(help.stdout, /--settings FILE/v);
	const version = await execute(process.execPath, [DAEMON, '--version']);
	assert.match(version.stdout, /^carawayhoistd \d+\.\d+\.\d+\n$/v);
});

async function runDaemon(commandLine: readonly string[]): Promise<{code: number; stderr: string}> {
	try {
		await execute(process.execPath, [DAEMON, ...commandLine]);
		return {code: 0, stderr: ''};
	} catch (error) {
		return error as {code: number; stderr: string};
	}
}
