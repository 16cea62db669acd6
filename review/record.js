/** The record of a case: what was sent, answered and run, with the time since its start. */
import {appendFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {performance} from 'node:perf_hooks';

export class Record {
	constructor(folder) {
		this.file = path.join(folder, 'record.txt');
		this.startedMs = performance.now();
		writeFileSync(this.file, '');
	}

	note(text) {
		const seconds = ((performance.now() - this.startedMs) / 1000).toFixed(3).padStart(8);
		appendFileSync(this.file, `${seconds} s  ${text}\n`);
	}
}
