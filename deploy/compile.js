/**
 * Writes the code that V8 compiles from the bundle, which saves a restart most of its processor time. It is valid only for
 * processes with the flags that this script is run with.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import vm from 'node:vm';
import {serveRequests} from './warmup.js';

/** Time for the bundle to end its startup, milliseconds. */
const STARTUP_MS = 100;
/** Time within which the hosts start. Without their requests, each process compiles the code of the first ones that it serves. */
const SERVE_TIMEOUT_MS = 20_000;

const filename = path.resolve('target/carawayhoist-bundle.cjs');
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(filename, 'latin1')}\n})`;
const script = new vm.Script(source, {filename});
const run = script.runInThisContext();
const load = () => {
	const loaded = {exports: {}};
	run(loaded.exports, createRequire(filename), loaded, filename, path.dirname(filename));
};

// Log lines of the hosts would look like those of a deployment.
process.stdout.write = () => true;
try {
	await serveRequests(load, AbortSignal.timeout(SERVE_TIMEOUT_MS));
} catch (error) {
	process.stderr.write(`Stored without the code that serves requests: ${error.message}\n`);
	load();
	await sleep(STARTUP_MS);
}

writeFileSync(`${filename}${process.execArgv.join('')}.cache`, script.createCachedData());
// The hosts would keep this process running.
// eslint-disable-next-line unicorn/no-process-exit
process.exit(0);
