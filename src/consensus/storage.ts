/**
 * The files of a replica: its identity, a snapshot and a checksummed write-ahead log.
 *
 * A generation is a pair `snapshot-N`, `log-N`; it exists once `log-N` has its final name. The log is a
 * sequence of frames (magic, length, CRC-32, CBOR list of records), one frame for each batch, and the next
 * batch is written only after the one before is synced. So a damaged frame with a whole one behind it is
 * corruption, and a damaged frame at the end is a torn write of a batch that nobody was promised.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {
	type FileHandle, mkdir, open, readdir, readFile, rename, unlink,
} from 'node:fs/promises';
import path from 'node:path';
import {crc32} from 'node:zlib';
import * as Either from 'fp-ts/lib/Either.js';
import {sleep} from '../base/clock.js';
import {createProblem, type Problem} from '../base/problem.js';
import type {Configuration, Entry, Snapshot} from '../generated/types.js';
import {decodeCbor, encodeCbor} from '../wire/frame.js';
import type {HardState, LogRecord} from './replica.js';

export type PersistentState = {
	readonly hard: HardState;
	readonly snapshot: Snapshot;
	readonly entries: readonly Entry[];
};

export type StorageOptions = {
	/** Whether records that wait together share one sync. */
	readonly batchWrites?: boolean;
	readonly onSynced: (sequence: number) => void;
	/** Called when a write failed; it is tried again until it succeeds, and nothing counts as synced meanwhile. */
	readonly onWriteFailure: (problem: Problem) => void;
};

type OpenedGeneration = {
	readonly generation: number;
	readonly file: FileHandle;
	/** Bytes of the log that are whole. */
	readonly length: number;
	readonly image: PersistentState;
};

type Batch = {
	readonly sequence: number;
	readonly records: readonly LogRecord[];
};

/** Pause before a failed write is tried again; a full or faulty disk lasts for seconds. */
const WRITE_RETRY_MS = 100;
const MAGIC = 0xCA_5A_AD_01;
const FRAME_HEAD_BYTES = 12;
const IDENTITY_FILE = 'identity.json';
const EMPTY_CONFIGURATION: Configuration = {voters: [], outgoing: [], learners: []};
export const EMPTY_SNAPSHOT: Snapshot = {
	index: 0, term: 0, configuration: EMPTY_CONFIGURATION, data: new Uint8Array(),
};
export const EMPTY_PERSISTENT_STATE: PersistentState = {hard: {term: 0, vote: ''}, snapshot: EMPTY_SNAPSHOT, entries: []};

/**
 * Reads the replica's identity from its data folder, or makes one in an empty folder.
 *
 * @example
 * ```ts
 * const identity = await readIdentity('/var/lib/carawayhoist'); // Either.right('6f1c…')
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
		await writeWhole(folder, IDENTITY_FILE, new TextEncoder().encode(JSON.stringify({replica})));
		return Either.right(replica);
	} catch (error) {
		return Either.left(createProblem('storageFailed', String(error)));
	}
}

/** The open files of a replica. Whoever opened it closes it. */
export class Storage {
	readonly #folder: string;
	readonly #options: StorageOptions;
	#generation: number;
	#file: FileHandle;
	#length: number;
	#image: PersistentState;
	readonly #queue: Batch[] = [];
	#writing: Promise<void> | undefined;
	/** Whether a failed write may have left a part of a frame behind the whole ones. */
	#isTorn = false;
	#isClosing = false;

	private constructor(folder: string, options: StorageOptions, opened: OpenedGeneration) {
		this.#folder = folder;
		this.#options = options;
		this.#generation = opened.generation;
		this.#file = opened.file;
		this.#length = opened.length;
		this.#image = opened.image;
	}

	/**
	 * Opens a data folder; a torn tail is cut, corruption before the end is refused.
	 *
	 * @example
	 * ```ts
	 * const storage = await Storage.open(folder, {onSynced: sequence => {}, onFailed: problem => {}});
	 * ```
	 */
	static async open(folder: string, options: StorageOptions): Promise<Either.Either<Problem, Storage>> {
		try {
			await mkdir(folder, {recursive: true});
			const generation = await findGeneration(folder);
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

		let image: PersistentState = {...EMPTY_PERSISTENT_STATE, snapshot: decodeCbor(payload) as Snapshot};
		for (const frame of log.right.payloads) {
			image = applyRecords(image, decodeCbor(frame) as LogRecord[]);
		}

		const file = await open(logFile, 'a');
		await file.truncate(log.right.length);
		// What an earlier process wrote may still be only in the page cache.
		await file.sync();
		await removeOthers(folder, generation);
		return Either.right(new Storage(folder, options, {
			generation, file, length: log.right.length, image,
		}));
	}

	/** What the files hold. */
	get persistentState(): PersistentState {
		return this.#image;
	}

	/** Writes records; `onSynced` is called once they are on disk. */
	write(sequence: number, records: readonly LogRecord[]): void {
		this.#queue.push({sequence, records});
		this.#writing ??= this.#drain();
	}

	/** Waits for what was written and closes the files. */
	async close(): Promise<void> {
		this.#isClosing = true;
		await this.#writing;
		await this.#file.close();
	}

	async #drain(): Promise<void> {
		while (this.#queue.length > 0) {
			const batches = this.#takeBatches();
			if (!await this.#writeUntilDone(batches)) {
				break;
			}

			this.#options.onSynced(batches.at(-1)!.sequence);
		}

		this.#writing = undefined;
	}

	/** Writes batches, again after a failure; false if the storage was closed before they were written. */
	async #writeUntilDone(batches: readonly Batch[]): Promise<boolean> {
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

	/** Takes what can share one sync: everything up to a snapshot, which starts a new generation. */
	#takeBatches(): Batch[] {
		const limit = this.#options.batchWrites === false ? 1 : this.#queue.length;
		const snapshotAt = this.#queue.findIndex(batch => hasSnapshot(batch));
		const count = snapshotAt === -1 ? limit : Math.min(limit, Math.max(1, snapshotAt));
		return this.#queue.splice(0, count);
	}

	async #writeBatches(batches: readonly Batch[]): Promise<void> {
		const records = batches.flatMap(batch => batch.records);
		const image = applyRecords(this.#image, records);
		if (batches.some(batch => hasSnapshot(batch))) {
			await this.#startGeneration(image);
			return;
		}

		const frame = createFrame(encodeCbor(records));
		if (this.#isTorn) {
			await this.#file.truncate(this.#length);
		}

		this.#isTorn = true;
		await this.#file.appendFile(frame);
		await this.#file.datasync();
		this.#isTorn = false;
		this.#length += frame.length;
		this.#image = image;
	}

	async #startGeneration(image: PersistentState): Promise<void> {
		const generation = this.#generation + 1;
		const length = await writeGeneration(this.#folder, generation, image);
		const file = await open(path.join(this.#folder, `log-${generation}`), 'a');
		const former = this.#file;
		this.#file = file;
		this.#length = length;
		this.#generation = generation;
		this.#image = image;
		await former.close();
		await removeOthers(this.#folder, generation);
	}
}

/**
 * Applies records to what the files hold; also the model of a disk in the fuzzer.
 *
 * @example
 * ```ts
 * applyRecords(EMPTY_IMAGE, [{type: 'hard', state: {term: 3, vote: 'a'}}]).hard.term; // 3
 * ```
 */
export function applyRecords(image: PersistentState, records: readonly LogRecord[]): PersistentState {
	let {hard, snapshot} = image;
	let entries = image.entries as Entry[];
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
				entries = entries === image.entries ? [...entries] : entries;
				for (const entry of record.entries) {
					entries.push(entry);
				}

				break;
			}

			case 'snapshot': {
				entries = keepAfterSnapshot(entries, record.snapshot);
				snapshot = record.snapshot;
				break;
			}
		}
	}

	return {hard, snapshot, entries};
}

function keepAfterSnapshot(entries: readonly Entry[], snapshot: Snapshot): Entry[] {
	const same = entries.some(entry => entry.index === snapshot.index && entry.term === snapshot.term);
	return same ? entries.filter(entry => entry.index > snapshot.index) : [];
}

function hasSnapshot(batch: Batch): boolean {
	return batch.records.some(record => record.type === 'snapshot');
}

function createFrame(payload: Uint8Array): Uint8Array {
	const frame = Buffer.allocUnsafe(FRAME_HEAD_BYTES + payload.length);
	frame.writeUInt32BE(MAGIC, 0);
	frame.writeUInt32BE(payload.length, 4);
	frame.writeUInt32BE(crc32(payload, payload.length), 8);
	frame.set(payload, FRAME_HEAD_BYTES);
	return frame;
}

/** Reads frames up to the first damaged one; a whole frame behind a damaged one means corruption. */
export function readFrames(bytes: Uint8Array): Either.Either<Problem, {readonly payloads: Uint8Array[]; readonly length: number}> {
	const payloads: Uint8Array[] = [];
	let offset = 0;
	for (;;) {
		const payload = readFrame(bytes, offset);
		if (!payload) {
			break;
		}

		payloads.push(payload);
		offset += FRAME_HEAD_BYTES + payload.length;
	}

	for (let at = offset + 1; at + FRAME_HEAD_BYTES <= bytes.length; at++) {
		if (readFrame(bytes, at)) {
			return Either.left(createProblem('storageCorrupt', `Damage at byte ${offset}, a whole record at byte ${at}.`));
		}
	}

	return Either.right({payloads, length: offset});
}

function readFrame(bytes: Uint8Array, offset: number): Uint8Array | undefined {
	if (offset + FRAME_HEAD_BYTES > bytes.length) {
		return undefined;
	}

	const view = new DataView(bytes.buffer, bytes.byteOffset + offset, FRAME_HEAD_BYTES);
	const length = view.getUint32(4);
	const start = offset + FRAME_HEAD_BYTES;
	if (view.getUint32(0) !== MAGIC || start + length > bytes.length) {
		return undefined;
	}

	const payload = bytes.subarray(start, start + length);
	return crc32(payload, length) === view.getUint32(8) ? payload : undefined;
}

async function findGeneration(folder: string): Promise<number> {
	const names = await readdir(folder);
	const generations = names.map(name => /^log-(\d+)$/v.exec(name)?.[1]).filter(match => match !== undefined);
	return Math.max(0, ...generations.map(Number));
}

async function writeGeneration(folder: string, generation: number, image: PersistentState): Promise<number> {
	const records: LogRecord[] = [
		{type: 'hard', state: image.hard},
		{type: 'entries', entries: image.entries},
	];
	await writeWhole(folder, `snapshot-${generation}`, createFrame(encodeCbor(image.snapshot)));
	const log = createFrame(encodeCbor(records));
	await writeWhole(folder, `log-${generation}`, log);
	return log.length;
}

async function removeOthers(folder: string, generation: number): Promise<void> {
	for (const name of await readdir(folder)) {
		const match = /^(?:log|snapshot)-(\d+)/v.exec(name);
		if (match && (Number(match[1]) !== generation || name.endsWith('.new'))) {
			await unlink(path.join(folder, name));
		}
	}
}

/** Writes a file so that it exists whole or not at all. */
async function writeWhole(folder: string, name: string, bytes: Uint8Array): Promise<void> {
	const temporary = path.join(folder, `${name}.new`);
	const file = await open(temporary, 'w');
	await file.writeFile(bytes);
	await file.sync();
	await file.close();
	await rename(temporary, path.join(folder, name));
	const directory = await open(folder, 'r');
	await directory.sync();
	await directory.close();
}
