/**
 * Checks values against the generated schemas.
 *
 * @module
 */
import type {ErrorObject, ValidateFunction} from 'ajv';
import * as Either from 'fp-ts/lib/Either.js';
import {
	checkAnnouncement, checkPlatformSettings, checkSettings, checkSpecification,
} from '../generated/checkers.js';
import {checkMessage} from '../generated/messages.js';
import type {
	Announcement, PlatformSettings, Message, Settings, Specification,
} from '../generated/types.js';

/** A fault in a value: where it stands and what would be allowed. */
export type ValidationError = {
	/** JSON pointer. */
	readonly pointer: string;
	readonly text: string;
};

type Checkable = {
	readonly Settings: Settings;
	readonly Specification: Specification;
	readonly Announcement: Announcement;
	readonly Message: Message;
	readonly PlatformSettings: PlatformSettings;
};

const CHECKERS = {
	Settings: checkSettings, Specification: checkSpecification, Announcement: checkAnnouncement, Message: checkMessage, PlatformSettings: checkPlatformSettings,
} as unknown as Record<keyof Checkable, ValidateFunction>;

/**
 * Checks a value of unknown shape and fills in defaults.
 *
 * @param name - The schema's name.
 * @example
 * ```ts
 * validate('Announcement', {server: 'a'}); // Either.left([{pointer: '/kind', text: 'is required'}, …])
 * ```
 */
export function validate<Name extends keyof Checkable>(name: Name, value: unknown): Either.Either<ValidationError[], Checkable[Name]> {
	const checker = CHECKERS[name];
	return checker(value)
		? Either.right(value as Checkable[Name])
		: Either.left((checker.errors ?? []).map(error => describeFault(error)));
}

/**
 * Writes faults as one line.
 *
 * @example
 * ```ts
 * formatFaults([{pointer: '/host', text: 'is required'}]); // '/host is required'
 * ```
 */
export function formatValidationErrors(faults: readonly ValidationError[]): string {
	return faults.map(fault => `${fault.pointer} ${fault.text}`).join('; ');
}

function describeFault(error: ErrorObject): ValidationError {
	const parameters = error.params as {
		missingProperty?: string;
		additionalProperty?: string;
		allowedValues?: unknown[];
		allowedValue?: unknown;
	};
	const own = parameters.missingProperty ?? parameters.additionalProperty;
	const pointer = own === undefined ? error.instancePath : `${error.instancePath}/${own}`;
	if (parameters.missingProperty !== undefined) {
		return {pointer, text: 'is required'};
	}

	if (parameters.additionalProperty !== undefined) {
		return {pointer, text: 'is unknown'};
	}

	const allowed = parameters.allowedValues ?? (parameters.allowedValue === undefined ? undefined : [parameters.allowedValue]);
	const text = allowed === undefined ? error.message ?? 'is wrong' : `must be one of ${allowed.map(value => JSON.stringify(value)).join(', ')}`;
	return {pointer: pointer === '' ? '/' : pointer, text};
}
