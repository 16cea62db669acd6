/**
 * Selects the entry hosts through which a host that cannot reach the backend servers sends its requests.
 *
 * @module
 */
import {crc32} from 'node:zlib';
import type {RelayingState} from '../generated/types.js';
import type {Address} from '../wire/connection.js';

/** An entry host as a control host knows it. */
export type RelayCandidate = RelayingState & {
	readonly host: string;
	readonly dataCentre: string;
};

/** Number of relays of one host: enough to go on when one or two of them fail. */
export const RELAYS_PER_HOST = 3;

/**
 * Selects the relays of a host by rendezvous hashing, so that several hosts are spread over all relays, and all control
 * hosts select the same ones. Relays of the host's data centre are preferred while at least half of its hosts reach the servers.
 *
 * @example
 * ```ts
 * selectRelays({host: 'h1', dataCentre: 'a'}, candidates); // [{address: '10.1.0.5', port: 7380}, …]
 * ```
 */
export function selectRelays({host, dataCentre}: Pick<RelayCandidate, 'host' | 'dataCentre'>, candidates: Iterable<RelayCandidate>): Address[] {
	const others = [...candidates].filter(candidate => candidate.host !== host);
	const usable = others.filter(({relay, isCutOff}) => relay !== undefined && !isCutOff);
	const near = usable.filter(candidate => candidate.dataCentre === dataCentre);
	const neighbours = others.filter(candidate => candidate.dataCentre === dataCentre).length;
	const isNearEnough = near.length >= RELAYS_PER_HOST && near.length * 2 >= neighbours + 1;
	return (isNearEnough ? near : usable)
		.map(candidate => ({relay: candidate.relay!, score: crc32(`${host} ${candidate.host}`)}))
		.toSorted((a, b) => b.score - a.score)
		.slice(0, RELAYS_PER_HOST)
		.map(({relay}) => relay);
}
