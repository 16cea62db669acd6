/**
 * Reads and checks a settings file.
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
 * Reads settings; on failure every fault is named by its JSON pointer.
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
 * Checks settings of unknown shape, also across fields.
 *
 * @example
 * ```ts
 * checkSettings({host: 'a1'}); // Either.left({problem, faults: [{pointer: '/dataCentre', text: 'is required'}, …]})
 * ```
 */
export function validateSettings(value: unknown): Either.Either<SettingsFailure, Settings> {
	const checked = validate('Settings', value);
	const errors = Either.isLeft(checked) ? checked.left : findCrossFaults(checked.right);
	if (Either.isLeft(checked) || errors.length > 0) {
		return Either.left({problem: createProblem('settingsInvalid'), errors});
	}

	return checked;
}

/** Faults that only show when several settings are seen together. */
function findCrossFaults(settings: Settings): ValidationError[] {
	const errors: ValidationError[] = [];
	const isControl = settings.roles.includes('control');
	if (!settings.roles.includes('entry')) {
		errors.push({pointer: '/roles', text: 'must contain "entry": every host takes callers and announcements'});
	}

	if (isControl && settings.dataFolder === undefined) {
		errors.push({pointer: '/dataFolder', text: 'is required with the role "control"'});
	}

	if (settings.control === undefined) {
		errors.push({pointer: '/control', text: 'is required: the control hosts to start from'});
	}

	errors.push(...findRepeated('/control', settings.control ?? []), ...findRepeated('/peers', settings.peers ?? []));
	if (settings.http.port !== 0 && settings.http.port === settings.peer.port && settings.http.address === settings.peer.address) {
		errors.push({pointer: '/peer/port', text: 'must differ from /http/port'});
	}

	return errors;
}

function findRepeated(pointer: string, peers: ReadonlyArray<{readonly host: string}>): ValidationError[] {
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
