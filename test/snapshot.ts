/**
 * Snapshot assertions; the test runner of Node.js has them only since version 22.
 *
 * `UPDATE_SNAPSHOTS=1 npm test` rewrites the snapshot files.
 *
 * @module
 */
import assert from 'node:assert/strict';
import {mkdir, readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';

const FOLDER = path.resolve(import.meta.dirname, '../../test/snapshots');

/** Asserts that a value equals the named snapshot; fails if the snapshot does not exist. */
export async function assertSnapshot(name: string, value: unknown): Promise<void> {
	const file = path.join(FOLDER, `${name}.json`);
	const text = `${JSON.stringify(value, undefined, '\t')}\n`;
	if (process.env.UPDATE_SNAPSHOTS === '1') {
		await mkdir(FOLDER, {recursive: true});
		await writeFile(file, text);
		return;
	}

	assert.equal(text, await readFile(file, 'utf8'), name);
}
