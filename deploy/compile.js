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

/** Time for the bundle to end its startup, milliseconds. */
const STARTUP_MS = 100;

const filename = path.resolve('target/carawayhoist-bundle.cjs');
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(filename, 'utf8')}\n})`;
const script = new vm.Script(source, {filename});
const loaded = {exports: {}};
// The bundle ends at once because it has no settings. Loading it lets the compiled code include what runs at startup.
script.runInThisContext()(loaded.exports, createRequire(filename), loaded, filename, path.dirname(filename));
await sleep(STARTUP_MS);
writeFileSync(`${filename}${process.execArgv.join('')}.cache`, script.createCachedData());
process.exitCode = 0;
