import assert from 'node:assert/strict';
import {EventEmitter, once} from 'node:events';
import {
	mkdtemp, open, readdir, readFile, rm, writeFile,
} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import type {LogRecord} from '../src/consensus/replica.js';
import {EMPTY_SNAPSHOT, loadOrCreateIdentity, Storage} from '../src/consensus/storage.js';
import type {CommandEntry} from '../src/generated/types.js';

test('what was synced is there after opening again', async () => {
	await withFolder(async folder => {
		await writeAll(folder, [
			[{type: 'hard', state: {term: 3, vote: 'b'}}],
			[{type: 'entries', entries: [entry(1), entry(2), entry(3)]}],
			[{type: 'truncate', from: 3}, {type: 'entries', entries: [entry(3, 4)]}],
		]);
		const {hard, entries} = await openImage(folder);
		assert.deepEqual(hard, {term: 3, vote: 'b'});
		assert.deepEqual(entries.map(({index, term}) => [index, term]), [[1, 1], [2, 1], [3, 4]]);
	});
});

test('a snapshot truncates the log, and only its generation stays', async () => {
	await withFolder(async folder => {
		await writeAll(folder, [
			[{type: 'entries', entries: [entry(1), entry(2), entry(3)]}],
			[{
				type: 'snapshot', snapshot: {
					...EMPTY_SNAPSHOT, index: 2, term: 1, data: new Uint8Array([7]),
				},
			}],
			[{type: 'entries', entries: [entry(4)]}],
		]);
		const {snapshot, entries} = await openImage(folder);
		assert.equal(snapshot.index, 2);
		assert.deepEqual([...snapshot.data], [7]);
		assert.deepEqual(entries.map(({index}) => index), [3, 4]);
		assert.deepEqual((await readdir(folder)).toSorted(), ['log-2', 'snapshot-2']);
	});
});

test('a torn tail is cut at every length, and writing goes on behind it', async () => {
	await withFolder(async folder => {
		await writeAll(folder, [[{type: 'entries', entries: [entry(1)]}], [{type: 'entries', entries: [entry(2)]}]]);
		const file = path.join(folder, 'log-1');
		const whole = await readFile(file);
		const tail = 40;
		for (let cut = 1; cut <= tail; cut++) {
			await writeFile(file, whole.subarray(0, whole.length - cut));
			const {entries} = await openImage(folder);
			assert.deepEqual(entries.map(({index}) => index), [1], `cut by ${cut}`);
		}

		await writeAll(folder, [[{type: 'entries', entries: [entry(2, 9)]}]]);
		assert.equal((await openImage(folder)).entries[1]?.term, 9);
	});
});

test('damage before the end is refused with its number', async () => {
	await withFolder(async folder => {
		await writeAll(folder, [[{type: 'entries', entries: [entry(1)]}], [{type: 'entries', entries: [entry(2)]}]]);
		const file = path.join(folder, 'log-1');
		const bytes = await readFile(file);
		const at = Math.floor(bytes.length / 2) - 8;
		bytes[at] = 255 - bytes[at]!;
		await writeFile(file, bytes);
		const opened = await Storage.open(folder, {onSynced: () => undefined, onWriteFailure: () => undefined});
		assert.ok(Either.isLeft(opened));
		assert.equal(opened.left.code, 1101);
	});
});

test('a write that fails is tried again, counts as synced only then, and leaves no damage behind', async t => {
	await withFolder(async folder => {
		const probe = await open(path.join(folder, 'probe'), 'w');
		const prototype = Object.getPrototypeOf(probe) as typeof probe;
		await probe.close();
		let failures = 0;
		const {datasync} = prototype;
		t.mock.method(prototype, 'datasync', async function (this: typeof probe) {
			failures++;
			if (failures <= 2) {
				throw new Error('ENOSPC');
			}

			return datasync.call(this);
		});
		const failed: number[] = [];
		const opened = await Storage.open(folder, {
			onSynced(sequence) {
				synced.emit('synced', sequence);
			}, onWriteFailure(problem) {
				failed.push(problem.code);
			},
		});
		const synced = new EventEmitter();
		assert.ok(Either.isRight(opened));
		const done = once(synced, 'synced');
		opened.right.write(1, [{type: 'entries', entries: [entry(1), entry(2)]}]);
		await done;
		assert.deepEqual(failed, [1102, 1102]);
		await opened.right.close();
		const {entries} = await openImage(folder);
		assert.deepEqual(entries.map(({index}) => index), [1, 2]);
	});
});

test('the identity is made in the folder and stays with it', async () => {
	await withFolder(async folder => {
		const first = await loadOrCreateIdentity(folder);
		assert.deepEqual(await loadOrCreateIdentity(folder), first);
		await rm(folder, {recursive: true});
		assert.notDeepEqual(await loadOrCreateIdentity(folder), first);
	});
});

async function withFolder(run: (folder: string) => Promise<void>): Promise<void> {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'storage-'));
	await run(folder);
	await rm(folder, {recursive: true, force: true});
}

async function openImage(folder: string) {
	const opened = await Storage.open(folder, {onSynced: () => undefined, onWriteFailure: () => undefined});
	assert.ok(Either.isRight(opened));
	await opened.right.close();
	return opened.right.persistentState;
}

/** Writes batches one after the other, each synced before the next. */
async function writeAll(folder: string, batches: readonly LogRecord[][]): Promise<void> {
	let resolve: () => void = () => undefined;
	const opened = await Storage.open(folder, {
		onSynced() {
			resolve();
		}, onWriteFailure: () => undefined,
	});
	assert.ok(Either.isRight(opened));
	for (const [index, records] of batches.entries()) {
		// eslint-disable-next-line @typescript-eslint/no-loop-func
		await new Promise<void>(settle => {
			resolve = settle;
			opened.right.write(index + 1, records);
		});
	}

	await opened.right.close();
}

function entry(index: number, term = 1): CommandEntry {
	return {
		type: 'command', index, term, data: new Uint8Array([index]),
	};
}
