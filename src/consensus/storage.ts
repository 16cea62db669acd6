/**
 * Persistent storage of a replica: its identity, a snapshot and a checksummed write-ahead log.
 *
 * A generation is a pair of files, `snapshot-N` and `log-N`. It is valid once `log-N` has been renamed to its final
 * name. The log is a sequence of frames (magic number, length, CRC-32, CBOR-encoded list of records), one per batch.
 * A batch is written only after the previous one is synced. A damaged frame that is followed by a complete one
 * therefore means corruption, while a damaged frame at the end is a torn write of a batch that was never acknowledged.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {
	access, type FileHandle, mkdir, open, readdir, readFile, rename, unlink,
} from 'node:fs/promises';
import path from 'node:path';
import {crc32} from 'node:zlib';
import * as Either from 'fp-ts/lib/Either.js';
import {sleep} from '../base/clock.js';
import {createProblem, type Problem} from '../base/problem.js';
import type {Configuration, Entry, Snapshot} from '../generated/types.js';
import {decodeCbor, encodeCbor} from '../wire/frame.js';
import type {HardState, LogRecord} from './effects.js';

/** State that a replica recovers from its files after a restart. */
export type PersistentState = {
	readonly hard: HardState;
	readonly snapshot: Snapshot;
	readonly entries: readonly Entry[];
};

export type StorageOptions = {
	/** Whether waiting batches share one sync (the default). */
	readonly batchWrites?: boolean;
	readonly onSynced: (sequence: number) => void;
	/** Called when a write fails. The write is retried until it succeeds; no later write is synced before that. */
	readonly onWriteFailure: (problem: Problem) => void;
};

type OpenedGeneration = {
	readonly generation: number;
	readonly file: FileHandle;
	/** Length of the log file up to the end of the last complete frame. */
	readonly length: number;
	readonly state: PersistentState;
};

type Batch = {
	readonly sequence: number;
	readonly records: readonly LogRecord[];
};

/** Delay before a failed write is retried; a full or faulty disk usually stays so for seconds. */
const WRITE_RETRY_MS = 100;
const FRAME_MAGIC = 0xCA_5A_AD_01;
const FRAME_HEADER_BYTES = 12;
const IDENTITY_FILE = 'identity.json';
const EMPTY_CONFIGURATION: Configuration = {voters: [], outgoing: [], learners: []};
export const EMPTY_SNAPSHOT: Snapshot = {
	index: 0, term: 0, configuration: EMPTY_CONFIGURATION, data: new Uint8Array(),
};
export const EMPTY_PERSISTENT_STATE: PersistentState = {hard: {term: 0, vote: ''}, snapshot: EMPTY_SNAPSHOT, entries: []};

/**
 * Reads the replica's identity from its data folder, or creates one if the folder has none.
 *
 * @example
 * ```ts
 * const identity = await loadOrCreateIdentity('/var/lib/carawayhoist'); // Either.right('6f1c…')
 * ```
 */
export async function loadOrCreateIdentity(folder: string): Promise<Either.Either<Problem, string>> {
	try {
		await mkdir(folder, {recursive: true});
		const file = path.join(folder, IDENTITY_FILE);
		const text = await readFile(file, 'utf8').catch(() => undefined);
		if (text !== undefined) {
			return Either.right((JSON.parse(text) as {replica: string}).replica);
		}

		const replica = randomUUID();
		await writeFileAtomically(folder, IDENTITY_FILE, new TextEncoder().encode(JSON.stringify({replica})));
		return Either.right(replica);
	} catch (error) {
		return Either.left(createProblem('storageFailed', String(error)));
	}
}

/**
 * Whether a data folder holds the identity of a replica, that is, a replica was started on it before.
 *
 * @example
 * ```ts
 * await hasIdentity('/var/lib/carawayhoist'); // false before `loadOrCreateIdentity`
 * ```
 */
export async function hasIdentity(folder: string): Promise<boolean> {
	try {
		await access(path.join(folder, IDENTITY_FILE));
		return true;
	} catch (error) {
		return (error as NodeJS.ErrnoException).code !== 'ENOENT';
	}
}

/** The open files of a replica. The caller must close it. */
export class Storage {
	readonly #folder: string;
	readonly #options: StorageOptions;
	#generation: number;
	#file: FileHandle;
	#validLength: number;
	#state: PersistentState;
	readonly #queue: Batch[] = [];
	#writing: Promise<void> | undefined;
	/** Whether a failed write may have left a partial frame after the last complete one. */
	#hasPartialFrame = false;
	#isClosing = false;

	private constructor(folder: string, options: StorageOptions, opened: OpenedGeneration) {
		this.#folder = folder;
		this.#options = options;
		this.#generation = opened.generation;
		this.#file = opened.file;
		this.#validLength = opened.length;
		this.#state = opened.state;
	}

	/**
	 * Opens a data folder. Truncates a torn write at the end of the log; fails if the log is corrupt before its end.
	 *
	 * @example
	 * ```ts
	 * const storage = await Storage.open(folder, {onSynced: sequence => {}, onWriteFailure: problem => {}});
	 * ```
	 */
	static async open(folder: string, options: StorageOptions): Promise<Either.Either<Problem, Storage>> {
		try {
			await mkdir(folder, {recursive: true});
			const generation = await findLatestGeneration(folder);
			if (generation === 0) {
				await writeGeneration(folder, 1, EMPTY_PERSISTENT_STATE);
			}

			return await Storage.#load(folder, options, Math.max(1, generation));
		} catch (error) {
			return Either.left(createProblem('storageFailed', String(error)));
		}
	}

	static async #load(folder: string, options: StorageOptions, generation: number): Promise<Either.Either<Problem, Storage>> {
		const snapshot = readFrames(await readFile(path.join(folder, `snapshot-${generation}`)));
		const logFile = path.join(folder, `log-${generation}`);
		const log = readFrames(await readFile(logFile));
		if (Either.isLeft(snapshot)) {
			return snapshot;
		}

		if (Either.isLeft(log)) {
			return log;
		}

		const payload = snapshot.right.payloads[0];
		if (payload === undefined) {
			return Either.left(createProblem('storageCorrupt', `snapshot-${generation}`));
		}

		let state: PersistentState = {...EMPTY_PERSISTENT_STATE, snapshot: decodeCbor(payload) as Snapshot};
		for (const frame of log.right.payloads) {
			state = applyRecords(state, decodeCbor(frame) as LogRecord[]);
		}

		const file = await open(logFile, 'a');
		await file.truncate(log.right.length);
		// Data written by a previous process may still be in the page cache only.
		await file.sync();
		await removeOtherGenerations(folder, generation);
		return Either.right(new Storage(folder, options, {
			generation, file, length: log.right.length, state,
		}));
	}

	/** The state that is written to the files. */
	get persistentState(): PersistentState {
		return this.#state;
	}

	/** Queues records for writing; `onSynced` is called once they are synced to disk. */
	write(sequence: number, records: readonly LogRecord[]): void {
		this.#queue.push({sequence, records});
		this.#writing ??= this.#drainQueue();
	}

	/** Waits for pending writes and closes the files. */
	async close(): Promise<void> {
		this.#isClosing = true;
		await this.#writing;
		await this.#file.close();
	}

	async #drainQueue(): Promise<void> {
		while (this.#queue.length > 0) {
			const batches = this.#dequeueBatches();
			if (!await this.#writeWithRetry(batches)) {
				break;
			}

			this.#options.onSynced(batches.at(-1)!.sequence);
		}

		this.#writing = undefined;
	}

	/** Writes batches, retrying after failures. Returns false if the storage was closed before a try succeeded. */
	async #writeWithRetry(batches: readonly Batch[]): Promise<boolean> {
		for (;;) {
			try {
				await this.#writeBatches(batches);
				return true;
			} catch (error) {
				this.#options.onWriteFailure(createProblem('storageFailed', String(error)));
				if (this.#isClosing) {
					return false;
				}

				await sleep(WRITE_RETRY_MS);
			}
		}
	}

	/**
	 * Removes the batches that share the next sync from the queue. A batch with a snapshot is written alone, because it
	 * starts a new generation.
	 */
	#dequeueBatches(): Batch[] {
		const limit = this.#options.batchWrites === false ? 1 : this.#queue.length;
		const snapshotAt = this.#queue.findIndex(batch => hasSnapshot(batch));
		const count = snapshotAt === -1 ? limit : Math.min(limit, Math.max(1, snapshotAt));
		return this.#queue.splice(0, count);
	}

	async #writeBatches(batches: readonly Batch[]): Promise<void> {
		const records = batches.flatMap(batch => batch.records);
		const state = applyRecords(this.#state, records);
		if (batches.some(batch => hasSnapshot(batch))) {
			await this.#startGeneration(state);
			return;
		}

		const frame = createFrame(encodeCbor(records));
		if (this.#hasPartialFrame) {
			await this.#file.truncate(this.#validLength);
		}

		this.#hasPartialFrame = true;
		await this.#file.appendFile(frame);
		await this.#file.datasync();
		this.#hasPartialFrame = false;
		this.#validLength += frame.length;
		this.#state = state;
	}

	async #startGeneration(state: PersistentState): Promise<void> {
		const generation = this.#generation + 1;
		const length = await writeGeneration(this.#folder, generation, state);
		const file = await open(path.join(this.#folder, `log-${generation}`), 'a');
		const previousFile = this.#file;
		this.#file = file;
		this.#validLength = length;
		this.#generation = generation;
		this.#state = state;
		await this.#removePreviousGeneration(previousFile);
	}

	/** Removes what the current generation has replaced. What cannot be removed is left to the next generation. */
	async #removePreviousGeneration(previousFile: FileHandle): Promise<void> {
		try {
			await previousFile.close();
			await removeOtherGenerations(this.#folder, this.#generation);
		} catch (error) {
			this.#options.onWriteFailure(createProblem('storageFailed', `Files of the previous generation remain: ${String(error)}`));
		}
	}
}

/**
 * Applies log records to a persistent state. The fuzzer uses it as its model of a disk.
 *
 * @example
 * ```ts
 * applyRecords(EMPTY_PERSISTENT_STATE, [{type: 'hard', state: {term: 3, vote: 'a'}}]).hard.term; // 3
 * ```
 */
export function applyRecords(state: PersistentState, records: readonly LogRecord[]): PersistentState {
	let {hard, snapshot} = state;
	let entries = state.entries as Entry[];
	for (const record of records) {
		switch (record.type) {
			case 'hard': {
				hard = record.state;
				break;
			}

			case 'truncate': {
				entries = entries.filter(entry => entry.index < record.from);
				break;
			}

			case 'entries': {
				entries = entries === state.entries ? [...entries] : entries;
				for (const entry of record.entries) {
					entries.push(entry);
				}

				break;
			}

			case 'snapshot': {
				entries = getEntriesAfterSnapshot(entries, record.snapshot);
				snapshot = record.snapshot;
				break;
			}
		}
	}

	return {hard, snapshot, entries};
}

function getEntriesAfterSnapshot(entries: readonly Entry[], snapshot: Snapshot): Entry[] {
	const containsSnapshotEnd = entries.some(entry => entry.index === snapshot.index && entry.term === snapshot.term);
	return containsSnapshotEnd ? entries.filter(entry => entry.index > snapshot.index) : [];
}

function hasSnapshot(batch: Batch): boolean {
	return batch.records.some(record => record.type === 'snapshot');
}

function createFrame(payload: Uint8Array): Uint8Array {
	const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.length);
	frame.writeUInt32BE(FRAME_MAGIC, 0);
	frame.writeUInt32BE(payload.length, 4);
	frame.writeUInt32BE(crc32(payload, payload.length), 8);
	frame.set(payload, FRAME_HEADER_BYTES);
	return frame;
}

/** Decodes frames up to the first damaged one. Fails if a complete frame follows a damaged one, which means corruption. */
export function readFrames(bytes: Uint8Array): Either.Either<Problem, {readonly payloads: Uint8Array[]; readonly length: number}> {
	const payloads: Uint8Array[] = [];
	let offset = 0;
	for (;;) {
		const payload = readFrame(bytes, offset);
		if (!payload) {
			break;
		}

		payloads.push(payload);
		offset += FRAME_HEADER_BYTES + payload.length;
	}

	for (let position = offset + 1; position + FRAME_HEADER_BYTES <= bytes.length; position++) {
		if (readFrame(bytes, position)) {
			return Either.left(createProblem('storageCorrupt', `Invalid frame at byte ${offset}, but a valid one at byte ${position}.`));
		}
	}

	return Either.right({payloads, length: offset});
}

function readFrame(bytes: Uint8Array, offset: number): Uint8Array | undefined {
	if (offset + FRAME_HEADER_BYTES > bytes.length) {
		return undefined;
	}

	const view = new DataView(bytes.buffer, bytes.byteOffset + offset, FRAME_HEADER_BYTES);
	const length = view.getUint32(4);
	const start = offset + FRAME_HEADER_BYTES;
	if (view.getUint32(0) !== FRAME_MAGIC || start + length > bytes.length) {
		return undefined;
	}

	const payload = bytes.subarray(start, start + length);
	return crc32(payload, length) === view.getUint32(8) ? payload : undefined;
}

async function findLatestGeneration(folder: string): Promise<number> {
	const names = await readdir(folder);
	const generations = names.map(name => /^log-(\d+)$/v.exec(name)?.[1]).filter(match => match !== undefined);
	return Math.max(0, ...generations.map(Number));
}

async function writeGeneration(folder: string, generation: number, state: PersistentState): Promise<number> {
	const records: LogRecord[] = [
		{type: 'hard', state: state.hard},
		{type: 'entries', entries: state.entries},
	];
	await writeFileAtomically(folder, `snapshot-${generation}`, createFrame(encodeCbor(state.snapshot)));
	const log = createFrame(encodeCbor(records));
	await writeFileAtomically(folder, `log-${generation}`, log);
	return log.length;
}

async function removeOtherGenerations(folder: string, generation: number): Promise<void> {
	for (const name of await readdir(folder)) {
		const match = /^(?:log|snapshot)-(\d+)/v.exec(name);
		if (match && (Number(match[1]) !== generation || name.endsWith('.new'))) {
			await unlink(path.join(folder, name));
		}
	}
}

/** Writes a file atomically: it exists under its final name only once it is complete and synced. */
async function writeFileAtomically(folder: string, name: string, bytes: Uint8Array): Promise<void> {
	const temporary = path.join(folder, `${name}.new`);
	await withFile(temporary, 'w', async file => {
		await file.writeFile(bytes);
		await file.sync();
	});
	await rename(temporary, path.join(folder, name));
	await withFile(folder, 'r', async directory => directory.sync());
}

/** Opens a file, or a folder, and closes it again, also after a failure. */
async function withFile(name: string, flags: string, use: (file: FileHandle) => Promise<void>): Promise<void> {
	const file = await open(name, flags);
	try {
		await use(file);
	} finally {
		await file.close();
	}
}
