import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import {decodeAnnouncement} from '../platform/announcement.js';
import type {Announcement} from '../src/generated/types.js';

const ENGINE = {
	service: 'llm', address: '10.128.0.9:8080', zone: 'selfoss', version: 'v1', slots: 48, state: 'ready', 'cold-remaining-ms': 0, stage: 'decode', models: [{name: 'm', version: 1, adapters: []}], sequence: 4, born: 1_780_000_000_000,
};
const NUMBERS = ['1e400', '-1e400', '1e308', '1e19', '9007199254740993', '-1', '0.5', 'null', '"4"', '[4]', '{}', 'true'];

test('an announcement as the platform describes it is accepted, with and without the time of the start', () => {
	const {born, ...withoutStart} = ENGINE;
	assert.equal(decodeOrUndefined(ENGINE)?.incarnation, born);
	assert.equal(decodeOrUndefined(withoutStart)?.incarnation, 0);
	assert.equal(decodeOrUndefined({...ENGINE, sequence: (2 ** 32) - 1, slots: 100_000})?.sequence, (2 ** 32) - 1);
});

// A sequence number or start time beyond the others would outrank every later announcement of a server.
for (const name of ['sequence', 'born', 'slots', 'cold-remaining-ms']) {
	test(`an announcement is rejected if its ${name} is not a number in range`, () => {
		const accepted = NUMBERS.filter(number => Either.isRight(decodeAnnouncement('s1', replaceField(name, number))));
		// The start time may be absent; the remaining warm-up time may have a fraction.
		const allowed = {born: ['null'], 'cold-remaining-ms': ['0.5', 'null']}[name] ?? [];
		assert.deepEqual(accepted, allowed);
	});
}

test('an announcement is rejected if its address is not an IPv4 address and port that a server can have', () => {
	const addresses = [
		'999.1.1.1:80', '256.0.0.1:80', '010.1.1.1:80', '0.0.0.0:80', '255.255.255.255:80', '224.0.0.1:80', '10.0.0.1:0', '10.0.0.1:65536', '10.0.0.1:70000', '10.0.0.1:1e3', '10.0.0.1', '10.0.0:80', 'localhost:80', ':::80', '',
	];
	assert.deepEqual(addresses.filter(address => decodeOrUndefined({...ENGINE, address})), []);
	assert.ok(decodeOrUndefined({...ENGINE, address: '127.0.0.1:65535'}));
});

function decodeOrUndefined(fields: Readonly<Record<string, unknown>>): Announcement | undefined {
	return Either.getOrElseW(() => undefined)(decodeAnnouncement('s1', JSON.stringify(fields)));
}

function replaceField(name: string, json: string): string {
	return JSON.stringify({...ENGINE, [name]: 'PLACEHOLDER'}).replace('"PLACEHOLDER"', json);
}
