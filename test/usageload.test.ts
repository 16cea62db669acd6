import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {test} from 'node:test';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import * as Either from 'fp-ts/lib/Either.js';
import {createRandom} from '../src/base/random.js';
import {UsageCollector} from '../src/duties/collector.js';
import {StartCounter} from '../src/duties/starts.js';
import type {Message, UsageCounts} from '../src/generated/types.js';
import {encodeFrame, FrameDecoder} from '../src/wire/frame.js';

const HOSTS = 380;
const TEAMS = 1100;
const STARTS_PER_SECOND = 3000;
const WINDOW_MS = 5000;
const REPORT_MS = 500;
const DURATION_MS = 20_000;

// Guards against counts, messages or log entries that grow beyond what hosts of the largest deployment may spend on control work.
test('the counts of 380 entry hosts and 1,100 teams are exact, and their messages and log entries small', t => {
	const random = createRandom(7);
	const truth = new Map<string, number>();
	const collector = new UsageCollector(WINDOW_MS);
	const time = {nowMs: 0};
	const hosts = Array.from({length: HOSTS}, (_, index) => ({
		name: `entry-${index}`, starts: new StartCounter(WINDOW_MS, () => time.nowMs), revision: 0, sequence: 0,
	}));
	const decoder = new FrameDecoder();
	const totals = {bytes: 0, countMs: 0, controlMs: 0};
	for (; time.nowMs < DURATION_MS; time.nowMs += REPORT_MS) {
		const {nowMs} = time;
		const frames: Uint8Array[] = [];
		totals.countMs += measure(() => {
			for (let count = 0; count < STARTS_PER_SECOND * REPORT_MS / 1000; count++) {
				// Few teams make most of the requests.
				const team = `team-${Math.floor((random() ** 2) * TEAMS)}`;
				hosts[Math.floor(random() * HOSTS)]!.starts.record(team, nowMs);
				const key = `${Math.floor(nowMs / WINDOW_MS)} ${team}`;
				truth.set(key, (truth.get(key) ?? 0) + 1);
			}

			for (const host of hosts) {
				const windows = host.starts.listChanges(host.revision);
				host.revision = host.starts.revision;
				if (windows.length > 0) {
					frames.push(encodeFrame({
						type: 'usageCounts', host: host.name, incarnation: `1786000000000-${host.name}`, sequence: ++host.sequence, at: nowMs, windows,
					}));
				}
			}
		});
		totals.controlMs += measure(() => {
			for (const frame of frames) {
				totals.bytes += frame.length;
				const messages: Either.Either<unknown, Message[]> = decoder.push(frame);
				assert.ok(Either.isRight(messages));
				assert.equal(collector.merge(messages.right[0] as UsageCounts, {nowMs, wallMs: nowMs}, () => false), 0);
				encodeFrame({type: 'usageAck', sequence: 1, at: collector.estimateWallMs({nowMs, wallMs: nowMs})});
			}
		});
	}

	let recordBytes = 0;
	for (let window = 0; window < DURATION_MS / WINDOW_MS; window++) {
		const counts = collector.sum(window);
		for (const [team, count] of counts) {
			assert.equal(count, truth.get(`${window} ${team}`));
			truth.delete(`${window} ${team}`);
		}

		const record = deflateRawSync(JSON.stringify(Object.fromEntries(counts)));
		assert.deepEqual(JSON.parse(Buffer.from(inflateRawSync(record)).toString('utf8')), Object.fromEntries(counts));
		recordBytes = Math.max(recordBytes, record.length);
	}

	assert.equal(truth.size, 0);
	const seconds = DURATION_MS / 1000;
	const {bytes, countMs, controlMs} = totals;
	t.diagnostic(`an entry host sends ${Math.round(bytes / seconds / HOSTS)} bytes/s to each control host; a control host receives ${Math.round(bytes / seconds)} bytes/s and takes ${(controlMs / seconds / 10).toFixed(2)}% of a core; a record has ${recordBytes} bytes; ${countMs.toFixed(0)} ms for all entry hosts together; heap ${Math.round(process.memoryUsage().heapUsed / 1e6)} MB`);
	assert.ok(bytes / seconds / HOSTS < 1000);
	assert.ok(recordBytes < 8000);
});

function measure(run: () => void): number {
	const startMs = performance.now();
	run();
	return performance.now() - startMs;
}
