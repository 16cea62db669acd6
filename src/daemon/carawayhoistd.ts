#!/usr/bin/env node
/**
 * Command line of the daemon.
 *
 * @module
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import * as Either from 'fp-ts/lib/Either.js';
import {createLoggers} from '../base/logger.js';
import {createProblem, type Problem} from '../base/problem.js';
import {VERSION} from '../base/version.js';
import {formatUrlHost} from '../entry/agent.js';
import {Host} from './host.js';
import {readSettings, type SettingsFailure} from './settings.js';
import {holdSignal} from './signals.js';

const EXIT_OK = 0;
const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

const HELP = `carawayhoistd: runs one host of carawayhoist.

Usage:
  carawayhoistd --settings FILE   run the host that the settings file describes
  carawayhoistd --check FILE      validate a settings file and exit
  carawayhoistd --help | --version

Signals:
  SIGTERM, SIGINT   shut down gracefully: report not ready, stop accepting connections,
                    finish running requests, transfer leadership, exit
  SIGHUP            ignored: settings are read at the start only

Exit codes:
  0  shut down as requested, or the settings are valid
  1  failure while starting or running (see the last line of the log)
  2  invalid command line or settings

docs/operate/SETTINGS.md lists every setting, docs/ERRORS.md every error code.
`;

await main();

async function main(): Promise<void> {
	const options = readArguments();
	if (Either.isLeft(options)) {
		process.stderr.write(`carawayhoistd: ${options.left.code} ${options.left.text}\n`);
		process.exitCode = EXIT_USAGE;
		return;
	}

	const {help, version, check, settings} = options.right;
	if (help) {
		process.stdout.write(HELP);
	} else if (version) {
		process.stdout.write(`carawayhoistd ${VERSION}\n`);
	} else if (check !== undefined) {
		await checkFile(check);
	} else if (settings === undefined) {
		process.stderr.write(HELP);
		process.exitCode = EXIT_USAGE;
	} else {
		await run(settings);
	}
}

function readArguments() {
	return Either.tryCatch(() => parseArgs({
		options: {
			settings: {type: 'string'},
			check: {type: 'string'},
			help: {type: 'boolean', short: 'h'},
			version: {type: 'boolean'},
		},
	}).values, error => createProblem('usage', error instanceof Error ? error.message : String(error)));
}

async function checkFile(file: string): Promise<void> {
	const settings = await readSettings(file);
	if (Either.isLeft(settings)) {
		printFailure(file, settings.left);
		return;
	}

	process.stdout.write(`${file}: right (host ${settings.right.host}, roles ${settings.right.roles.join(', ')})\n`);
}

function printFailure(file: string, {problem, errors}: SettingsFailure): void {
	process.stderr.write(`${file}: ${problem.code} ${problem.text}\n`);
	for (const error of errors) {
		process.stderr.write(`  ${error.pointer} ${error.text}\n`);
	}

	process.exitCode = EXIT_USAGE;
}

async function run(file: string): Promise<void> {
	const onTermination = holdSignal('SIGTERM');
	const onInterrupt = holdSignal('SIGINT');
	const onHangup = holdSignal('SIGHUP');
	const settings = await readSettings(file);
	if (Either.isLeft(settings)) {
		printFailure(file, settings.left);
		return;
	}

	const loggers = createLoggers(settings.right.logLevel ?? 'info', {host: settings.right.host});
	const logger = loggers('daemon');
	const fail = (problem: Problem) => {
		logger.error(`Stopping after a fatal error: ${problem.text}`, {code: problem.code});
		process.exit(EXIT_FAILED);
	};

	const host = new Host({settings: settings.right, loggers});
	const started = await host.start();
	if (Either.isLeft(started)) {
		logger.error(`Startup failed: ${started.left.text}`, {code: started.left.code});
		process.stderr.write(`carawayhoistd: ${started.left.code} ${started.left.text}\n`);
		process.exitCode = EXIT_FAILED;
		return;
	}

	const {httpPort, peerPort} = started.right;
	logger.info(`Listening on ${formatUrlHost(settings.right.http.address)}:${httpPort}.`, {
		httpPort, peerPort, roles: settings.right.roles, pid: process.pid, version: VERSION,
	});
	let isStopping = false;
	const stop = () => {
		if (!isStopping) {
			isStopping = true;
			void host.stop().then(() => process.exit(EXIT_OK));
		}
	};

	onHangup(() => {
		logger.info('Ignored SIGHUP: the settings are read at the start only.');
	});
	onTermination(stop);
	onInterrupt(stop);
}
