import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {EventSplitter} from '../src/serving/events.js';

const TEXT = 'id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\r\ndata: d\r\n\r\nid: 4\nda';

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
