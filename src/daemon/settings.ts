/**
 * Reads and validates the settings file of the daemon.
 *
 * @module
 */
import {readFile} from 'node:fs/promises';
import * as Either from 'fp-ts/lib/Either.js';
import {createProblem, type Problem} from '../base/problem.js';
import {validate, type ValidationError} from '../base/validate.js';
import type {Settings} from '../generated/types.js';

export type SettingsFailure = {
	readonly problem: Problem;
	readonly errors: readonly ValidationError[];
};

/**
 * Reads and validates a settings file. A failure lists every invalid setting with its JSON pointer.
 *
 * @example
 * ```ts
 * const settings = await readSettings('/etc/carawayhoist.json');
 * ```
 */
export async function readSettings(file: string): Promise<Either.Either<SettingsFailure, Settings>> {
	let value: unknown;
	try {
		value = JSON.parse(await readFile(file, 'utf8'));
	} catch (error) {
		const detail = error instanceof Error ? error.message : String(error);
		return Either.left({problem: createProblem('settingsUnreadable', detail), errors: []});
	}

	return validateSettings(value);
}

/**
 * Validates settings against their schema, then checks the constraints between several settings.
 *
 * @example
 * ```ts
 * validateSettings({host: 'a1'}); // Either.left({problem, errors: [{pointer: '/dataCentre', text: 'is required'}, …]})
 * ```
 */
export function validateSettings(value: unknown): Either.Either<SettingsFailure, Settings> {
	const checked = validate('Settings', value);
	const errors = Either.isLeft(checked) ? checked.left : findConflicts(checked.right);
	if (Either.isLeft(checked) || errors.length > 0) {
		return Either.left({problem: createProblem('settingsInvalid'), errors});
	}

	return checked;
}

/** Checks the constraints that the schema cannot express because they involve several settings. */
function findConflicts(settings: Settings): ValidationError[] {
	const errors: ValidationError[] = [];
	const isControl = settings.roles.includes('control');
	if (!settings.roles.includes('entry')) {
		errors.push({pointer: '/roles', text: 'must contain "entry": every host serves callers and receives announcements'});
	}

	if (isControl && settings.dataFolder === undefined) {
		errors.push({pointer: '/dataFolder', text: 'is required with the role "control"'});
	}

	if (settings.control === undefined) {
		errors.push({pointer: '/control', text: 'is required: it lists the control hosts to contact first'});
	}

	errors.push(...findDuplicateHosts('/control', settings.control ?? []), ...findDuplicateHosts('/peers', settings.peers ?? []));
	if (settings.http.port !== 0 && settings.http.port === settings.peer.port && settings.http.address === settings.peer.address) {
		errors.push({pointer: '/peer/port', text: 'must differ from /http/port'});
	}

	return errors;
}

function findDuplicateHosts(pointer: string, peers: ReadonlyArray<{readonly host: string}>): ValidationError[] {
	const errors: ValidationError[] = [];
	const seen = new Set<string>();
	for (const [index, {host}] of peers.entries()) {
		if (seen.has(host)) {
			errors.push({pointer: `${pointer}/${index}/host`, text: `names ${JSON.stringify(host)} a second time`});
		}

		seen.add(host);
	}

	return errors;
}
