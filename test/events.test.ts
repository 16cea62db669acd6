import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fc from 'fast-check';
import {endsInsideEvent, EventSplitter} from '../src/serving/events.js';

const TEXT = 'id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\r\ndata: d\r\n\r\nid: 4\nda';
/** Runs of each property; the seed is fixed so that CI is deterministic. */
const RUNS = {seed: 1, numRuns: 300};

test('returns complete events for any chunk size and buffers the rest', () => {
	for (let size = 1; size <= TEXT.length; size++) {
		const splitter = new EventSplitter();
		let out = '';
		for (let start = 0; start < TEXT.length; start += size) {
			out += splitter.push(Buffer.from(TEXT.slice(start, start + size))).toString();
		}

		assert.equal(out, TEXT.slice(0, TEXT.indexOf('id: 4')), `chunks of ${size} bytes`);
		assert.equal(splitter.lastEventId, '3');
		assert.equal(splitter.takeIncomplete().toString(), 'id: 4\nda');
		assert.equal(splitter.takeIncomplete().length, 0);
	}
});

test('a stream that is cut at any byte ends inside an event, except after a whole one', () => {
	fc.assert(fc.property(createEvents(), events => {
		const bytes = Buffer.concat(events);
		const ends = listEnds(events);
		for (let length = 0; length <= bytes.length; length++) {
			assert.equal(endsInsideEvent(bytes.subarray(0, length)), !ends.includes(length), `${length} bytes`);
		}
	}), RUNS);
});

test('a stream in chunks of any size that is cut at any byte yields its whole events, and goes on after the last of them', () => {
	fc.assert(fc.property(createEvents(), fc.array(fc.integer({min: 1, max: 40}), {minLength: 1}), fc.nat(), (events, sizes, cut) => {
		const bytes = Buffer.concat(events);
		const received = bytes.subarray(0, cut % (bytes.length + 1));
		const splitter = new EventSplitter();
		const forwarded: Buffer[] = [];
		let index = 0;
		for (let start = 0; start < received.length; index++) {
			const size = sizes[index % sizes.length]!;
			forwarded.push(splitter.push(received.subarray(start, start + size)));
			start += size;
		}

		const wholeBytes = listEnds(events).findLast(end => end <= received.length)!;
		const wholeCount = listEnds(events).indexOf(wholeBytes);
		assert.deepEqual(Buffer.concat(forwarded), bytes.subarray(0, wholeBytes));
		assert.equal(splitter.lastEventId, wholeCount === 0 ? undefined : String(wholeCount));
		assert.equal(splitter.bytesSinceEvent, received.length - wholeBytes);
		// The next server resumes after the last whole event; nothing is missing or repeated.
		splitter.takeIncomplete();
		const rest = splitter.push(Buffer.concat(events.slice(wholeCount)));
		assert.deepEqual(Buffer.concat([...forwarded, rest]), bytes);
	}), RUNS);
});

/** Streams whose events have rising ids, one or more lines of data and either kind of line ends. */
function createEvents(): fc.Arbitrary<Buffer[]> {
	const line = fc.string({unit: 'binary', maxLength: 12}).map(text => text.replaceAll(/[\r\n]/gv, ' '));
	const event = fc.record({lines: fc.array(line, {minLength: 1, maxLength: 3}), lineEnd: fc.constantFrom('\n', '\r\n')});
	return fc.array(event, {maxLength: 6}).map(events => events.map(({lines, lineEnd}, index) => Buffer.from([
		`id: ${index + 1}`, ...lines.map(text => `data: ${text}`), '', '',
	].join(lineEnd))));
}

/** Lists the lengths at which a stream consists of whole events. */
function listEnds(events: readonly Buffer[]): number[] {
	const ends = [0];
	for (const {length} of events) {
		ends.push(ends.at(-1)! + length);
	}

	return ends;
}
