import assert from 'node:assert/strict';
import {EventEmitter, once} from 'node:events';
import {rmdirSync} from 'node:fs';
import {
	mkdir, mkdtemp, open, readdir, readFile, rm, writeFile,
} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import type {LogRecord} from '../src/consensus/effects.js';
import {EMPTY_SNAPSHOT, loadOrCreateIdentity, Storage} from '../src/consensus/storage.js';
import type {CommandEntry} from '../src/generated/types.js';

test('synced records are recovered after reopening', async () => {
	await withFolder(async folder => {
		await writeAll(folder, [
			[{type: 'hard', state: {term: 3, vote: 'b'}}],
			[{type: 'entries', entries: [createEntry(1), createEntry(2), createEntry(3)]}],
			[{type: 'truncate', from: 3}, {type: 'entries', entries: [createEntry(3, 4)]}],
		]);
		const {hard, entries} = await openImage(folder);
		assert.deepEqual(hard, {term: 3, vote: 'b'});
		assert.deepEqual(entries.map(({index, term}) => [index, term]), [[1, 1], [2, 1], [3, 4]]);
	});
});

test('a snapshot compacts the log, and only its generation remains', async () => {
	await withFolder(async folder => {
		await writeAll(folder, [
			[{type: 'entries', entries: [createEntry(1), createEntry(2), createEntry(3)]}],
			[{
				type: 'snapshot', snapshot: {
					...EMPTY_SNAPSHOT, index: 2, term: 1, data: new Uint8Array([7]),
				},
			}],
			[{type: 'entries', entries: [createEntry(4)]}],
		]);
		const {snapshot, entries} = await openImage(folder);
		assert.equal(snapshot.index, 2);
		assert.deepEqual([...snapshot.data], [7]);
		assert.deepEqual(entries.map(({index}) => index), [3, 4]);
		assert.deepEqual((await readdir(folder)).toSorted(), ['log-2', 'snapshot-2']);
	});
});

test('a torn write of any length is truncated, and later writes are appended after it', async () => {
	await withFolder(async folder => {
		await writeAll(folder, [[{type: 'entries', entries: [createEntry(1)]}], [{type: 'entries', entries: [createEntry(2)]}]]);
		const file = path.join(folder, 'log-1');
		const intact = await readFile(file);
		const tail = 40;
		for (let removedBytes = 1; removedBytes <= tail; removedBytes++) {
			await writeFile(file, intact.subarray(0, intact.length - removedBytes));
			const {entries} = await openImage(folder);
			assert.deepEqual(entries.map(({index}) => index), [1], `${removedBytes} bytes removed`);
		}

		await writeAll(folder, [[{type: 'entries', entries: [createEntry(2, 9)]}]]);
		assert.equal((await openImage(folder)).entries[1]?.term, 9);
	});
});

test('corruption before the end of the log fails with code 1101', async () => {
	await withFolder(async folder => {
		await writeAll(folder, [[{type: 'entries', entries: [createEntry(1)]}], [{type: 'entries', entries: [createEntry(2)]}]]);
		const file = path.join(folder, 'log-1');
		const bytes = await readFile(file);
		const position = Math.floor(bytes.length / 2) - 8;
		bytes[position] = 255 - bytes[position]!;
		await writeFile(file, bytes);
		const opened = await Storage.open(folder, {onSynced: () => undefined, onWriteFailure: () => undefined});
		assert.ok(Either.isLeft(opened));
		assert.equal(opened.left.code, 1101);
	});
});

test('a failed write is retried, reported as synced only when it succeeds, and leaves no partial frame', async t => {
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
		opened.right.write(1, [{type: 'entries', entries: [createEntry(1), createEntry(2)]}]);
		await done;
		assert.deepEqual(failed, [1102, 1102]);
		await opened.right.close();
		const {entries} = await openImage(folder);
		assert.deepEqual(entries.map(({index}) => index), [1, 2]);
	});
});

// Guards against entries that are dropped from the log: the retry of a snapshot applied it a second time, to a log without its last entry.
test('a new generation whose predecessor cannot be removed is written once, and keeps the entries after its snapshot', async () => {
	await withFolder(async folder => {
		// A folder cannot be removed like a file.
		const obstacle = path.join(folder, 'log-0');
		const failed: string[] = [];
		const synced = new EventEmitter();
		const opened = await Storage.open(folder, {
			onSynced(sequence) {
				synced.emit(String(sequence));
			}, onWriteFailure(problem) {
				failed.push(problem.text);
				rmdirSync(obstacle);
			},
		});
		assert.ok(Either.isRight(opened));
		opened.right.write(1, [{type: 'entries', entries: [createEntry(1), createEntry(2), createEntry(3)]}]);
		await once(synced, '1');
		await mkdir(obstacle);
		opened.right.write(2, [{type: 'snapshot', snapshot: {...EMPTY_SNAPSHOT, index: 1, term: 1}}]);
		await once(synced, '2');
		assert.equal(failed.length, 1);
		assert.deepEqual(opened.right.persistentState.entries.map(({index}) => index), [2, 3]);
		await opened.right.close();
		assert.deepEqual((await openImage(folder)).entries.map(({index}) => index), [2, 3]);
	});
});

// Guards against descriptors that run out while a disk is full: each failed write of a generation left one open.
test('a write of a generation that fails leaves no file open', async t => {
	await withFolder(async folder => {
		const probe = await open(path.join(folder, 'probe'), 'w');
		const prototype = Object.getPrototypeOf(probe) as typeof probe;
		await probe.close();
		const {sync} = prototype;
		const files = new Set<typeof probe>();
		let failures = 0;
		t.mock.method(prototype, 'sync', async function (this: typeof probe) {
			if (failures < 3 && (await readdir(folder)).includes('snapshot-2.new')) {
				failures++;
				files.add(this);
				throw new Error('ENOSPC');
			}

			return sync.call(this);
		});
		await writeAll(folder, [
			[{type: 'entries', entries: [createEntry(1), createEntry(2)]}],
			[{type: 'snapshot', snapshot: {...EMPTY_SNAPSHOT, index: 1, term: 1}}],
		]);
		assert.equal(files.size, 3);
		assert.deepEqual([...files].map(({fd}) => fd), [-1, -1, -1]);
	});
});

test('the identity is created in the data folder and lost with it', async () => {
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

/** Writes batches one after the other, waiting for the sync of each. */
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

function createEntry(index: number, term = 1): CommandEntry {
	return {
		type: 'command', index, term, data: new Uint8Array([index]),
	};
}
