/** Starts the bundle beside this file with the code that `compile.js` compiled for the flags of this process. */
'use strict';
const fs = require('node:fs');
const path = require('node:path');
const process = require('node:process');
const vm = require('node:vm');

// Without a handler, the signal would end the process. The settings, which may have changed, have not been read yet.
process.on('SIGHUP', () => undefined);

const filename = path.join(__dirname, 'carawayhoist-bundle.cjs');
let cachedData;
try {
	cachedData = fs.readFileSync(`${filename}${process.execArgv.join('')}.cache`);
} catch (error) {
	// Without it, or if V8 does not accept it, the bundle is compiled again: this takes longer and has the same result.
	process.stderr.write(`No compiled code: ${error.message}\n`);
}

// The bundle is ASCII text, which is read faster as Latin-1 than as UTF-8.
const source = `(function (exports, require, module, __filename, __dirname) {${fs.readFileSync(filename, 'latin1')}\n})`;
const script = new vm.Script(source, {filename, cachedData});
if (script.cachedDataRejected) {
	process.stderr.write('The compiled code is damaged or belongs to another version of Node.js or other flags.\n');
}

script.runInThisContext()(exports, require, module, filename, __dirname);
