/**
 * How the facts of the crash table tell what was in flight at crashes.
 *
 * Hosts of older versions close a connection on which they get a message that they do not know, and share what they are sent. So
 * reports and claims are poison facts whose fingerprints no older host looks up:
 *
 * - `crash/INCARNATION`: the values are `requests:`, `parts:` and `served:`, each followed by packed hashes; those of `cleared:` are acquitted.
 * - `trial/KEY`: the values are claims of the right to send a blocked request, `ROUND/HOST/NUMBER`; those that were not used are acquitted.
 * - Anything else is the fingerprint of a request, or `part/` and the key of a prompt part, from a host of an older version; the values are
 *   the incarnations that crashed.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {HASH_BYTES, hashText} from '../base/hash.js';
import type {PoisonFact} from '../generated/types.js';
import {hashRequest, type CrashReport} from '../routing/suspects.js';
import type {TrialClaims} from '../routing/trials.js';

const CRASH_PREFIX = 'crash/';
const TRIAL_PREFIX = 'trial/';
const PART_PREFIX = 'part/';
const KINDS = ['requests', 'parts', 'served', 'cleared'] as const;
type Kind = typeof KINDS[number];
const HASH_RADIX = 36;

/**
 * Creates the fact that tells a report to the other hosts.
 *
 * @example
 * ```ts
 * createReportFact({crash: 'e1#7', at: 0, requests: [], parts: [hashPart('91bd3f06')], served: [], cleared: []});
 * ```
 */
export function createReportFact(report: CrashReport): PoisonFact {
	const values = KINDS.filter(kind => kind !== 'cleared' && report[kind].length > 0).map(kind => formatValue(kind, report[kind]));
	const cleared = report.cleared.length > 0 ? [formatValue('cleared', report.cleared)] : [];
	return {
		type: 'poison', fingerprint: CRASH_PREFIX + report.crash, servers: [...values, ...cleared], acquitted: cleared, at: report.at,
	};
}

/**
 * Reads the reports in a fact; empty for a claim.
 *
 * @example
 * ```ts
 * readReports({type: 'poison', fingerprint: 'part/91bd3f06', servers: ['e1#7'], at: 0}); // one report on e1#7
 * ```
 */
export function readReports({fingerprint, servers, acquitted = [], at}: PoisonFact): CrashReport[] {
	if (fingerprint.startsWith(TRIAL_PREFIX)) {
		return [];
	}

	if (fingerprint.startsWith(CRASH_PREFIX)) {
		const lists: Record<Kind, number[]> = {
			requests: [], parts: [], served: [], cleared: [],
		};
		for (const value of servers) {
			const kind = KINDS.find(name => value.startsWith(`${name}:`));
			if (kind) {
				lists[kind].push(...unpackHashes(value.slice(kind.length + 1)));
			}
		}

		return [{crash: fingerprint.slice(CRASH_PREFIX.length), at, ...lists}];
	}

	const isPart = fingerprint.startsWith(PART_PREFIX);
	const keys = [isPart ? hashText(fingerprint) : hashRequest(fingerprint)];
	return servers.map(crash => ({
		crash, at, requests: isPart ? [] : keys, parts: isPart ? keys : [], served: acquitted.length > 0 ? keys : [], cleared: acquitted.includes(crash) ? keys : [],
	}));
}

/**
 * Creates the fact that tells claims to the other hosts.
 *
 * @example
 * ```ts
 * createClaimFact({key: 7, claims: ['1/h1/1'], released: []}, 0).fingerprint; // 'trial/7'
 * ```
 */
export function createClaimFact({key, claims, released}: TrialClaims, at: number): PoisonFact {
	return {
		type: 'poison', fingerprint: TRIAL_PREFIX + key.toString(HASH_RADIX), servers: [...claims], acquitted: [...released], at,
	};
}

/**
 * Reads the claims in a fact; undefined for a report.
 *
 * @example
 * ```ts
 * readClaims(createClaimFact({key: 7, claims: ['1/h1/1'], released: []}, 0)); // {key: 7, …}
 * ```
 */
export function readClaims({fingerprint, servers, acquitted = []}: PoisonFact): TrialClaims | undefined {
	return fingerprint.startsWith(TRIAL_PREFIX)
		? {key: Number.parseInt(fingerprint.slice(TRIAL_PREFIX.length), HASH_RADIX), claims: servers, released: acquitted}
		: undefined;
}

function formatValue(kind: Kind, hashes: readonly number[]): string {
	const bytes = Buffer.alloc(hashes.length * HASH_BYTES);
	for (const [index, hash] of hashes.entries()) {
		bytes.writeUIntBE(hash, index * HASH_BYTES, HASH_BYTES);
	}

	return `${kind}:${bytes.toString('base64')}`;
}

function unpackHashes(text: string): number[] {
	const bytes = Buffer.from(text, 'base64');
	return Array.from({length: Math.floor(bytes.length / HASH_BYTES)}, (_, index) => bytes.readUIntBE(index * HASH_BYTES, HASH_BYTES));
}
