/**
 * Validates values against the JSON schemas in `schema/`, with the validators that `dev/generate.ts` compiles from them.
 *
 * @module
 */
import type {ErrorObject, ValidateFunction} from 'ajv';
import * as Either from 'fp-ts/lib/Either.js';
import {
	checkAnnouncement, checkPlatformSettings, checkSettings, checkSpecification,
} from '../generated/checkers.js';
import {checkFact, checkServerStatus, messageValidators} from '../generated/messages.js';
import type {
	Announcement, PlatformSettings, Message, Settings, Specification,
} from '../generated/types.js';

/** One violation of a schema. */
export type ValidationError = {
	/** JSON pointer to the invalid, missing or unknown field. */
	readonly pointer: string;
	/** What is wrong, or which values are allowed; reads on from the pointer. */
	readonly text: string;
};

/** Types that can be validated, by the name of their schema. */
type ValidatedTypes = {
	readonly Settings: Settings;
	readonly Specification: Specification;
	readonly Announcement: Announcement;
	readonly Message: Message;
	readonly PlatformSettings: PlatformSettings;
};

const VALIDATORS = {
	Settings: checkSettings, Specification: checkSpecification, Announcement: checkAnnouncement, PlatformSettings: checkPlatformSettings,
} as unknown as Record<Exclude<keyof ValidatedTypes, 'Message'>, ValidateFunction>;

const MESSAGE_VALIDATORS = messageValidators as unknown as ReadonlyMap<unknown, ValidateFunction>;

/** Lists in messages whose items come from many sources, by the type of the message. */
const INDEPENDENT_ITEMS: ReadonlyMap<unknown, {readonly field: string; readonly validator: ValidateFunction}> = new Map([
	['feed', {field: 'sightings', validator: checkServerStatus as unknown as ValidateFunction}],
	['gossip', {field: 'facts', validator: checkFact as unknown as ValidateFunction}],
]);

/**
 * Validates a value. Fills in the defaults of its schema and returns every violation, except for messages: they have no
 * defaults, and validation stops at the first violation to keep valid messages cheap.
 *
 * @param name - Name of the schema.
 * @example
 * ```ts
 * validate('Announcement', {server: 'a'}); // Either.left([{pointer: '/kind', text: 'is required'}, …])
 * ```
 */
export function validate<Name extends keyof ValidatedTypes>(name: Name, value: unknown): Either.Either<ValidationError[], ValidatedTypes[Name]> {
	const validator = name === 'Message' ? findMessageValidator(value) : VALIDATORS[name as Exclude<Name, 'Message'>];
	if (!validator) {
		return Either.left([{pointer: '/type', text: 'must be the type of a message'}]);
	}

	return validator(value)
		? Either.right(value as ValidatedTypes[Name])
		: Either.left((validator.errors ?? []).map(error => describeError(error)));
}

/**
 * Validates a message. Invalid items of lists that gather servers and facts are removed and do not invalidate the others: a
 * host of another version may accept what this one does not.
 *
 * @example
 * ```ts
 * validateMessage({...feed, sightings: [status, {}]}); // Either.right({...feed, sightings: [status]})
 * ```
 */
export function validateMessage(value: unknown): Either.Either<ValidationError[], Message> {
	const checked = validate('Message', value);
	const list = INDEPENDENT_ITEMS.get(readType(value));
	const items = list && (value as Readonly<Record<string, unknown>>)[list.field];
	if (Either.isRight(checked) || !list || !Array.isArray(items)) {
		return checked;
	}

	return validate('Message', {...value as object, [list.field]: items.filter(item => list.validator(item))});
}

/**
 * Formats validation errors as one line.
 *
 * @example
 * ```ts
 * formatValidationErrors([{pointer: '/host', text: 'is required'}]); // '/host is required'
 * ```
 */
export function formatValidationErrors(errors: readonly ValidationError[]): string {
	return errors.map(error => `${error.pointer} ${error.text}`).join('; ');
}

function findMessageValidator(value: unknown): ValidateFunction | undefined {
	return MESSAGE_VALIDATORS.get(readType(value));
}

function readType(value: unknown): unknown {
	return (value as {readonly type?: unknown} | null | undefined)?.type;
}

function describeError(error: ErrorObject): ValidationError {
	const parameters = error.params as {
		missingProperty?: string;
		additionalProperty?: string;
		allowedValues?: unknown[];
		allowedValue?: unknown;
	};
	const property = parameters.missingProperty ?? parameters.additionalProperty;
	const pointer = property === undefined ? error.instancePath : `${error.instancePath}/${property}`;
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
