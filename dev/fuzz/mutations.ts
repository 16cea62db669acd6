/**
 * Mutations of the fuzzer: each one disables a safeguard, to show that the invariants detect its absence.
 *
 * @module
 */
import {ALL_SAFEGUARDS, type Safeguards} from '../../src/consensus/safeguards.js';
import {ALL_ORDER_SAFEGUARDS, type OrderSafeguards} from '../../src/control/controller.js';

export const MUTATIONS = {
	'no-sync-before-reply': 'replies and own votes count before the disk is synced',
	'vote-not-kept': 'the term and the vote in it are not written to disk',
	'commit-older-term': 'entries of older terms are committed by counting replicas',
	'wiped-replica-votes': 'a replica without its disk comes back under its old identity',
	'no-read-index': 'a leader answers reads without asking a majority',
	'no-leader-lease': 'votes are granted while another leader may hold its lease',
	'reclaim-without-leading': 'a restarted replica that voted for itself asks for votes that pass over leases',
	'swap-in-one-step': 'a replica is replaced without a joint configuration',
	'no-log-matching': 'appends are taken without comparing the previous entry',
	'no-claim-before-send': 'the ledger grants a key that is already claimed',
	'no-fence': 'engines take orders with old fencing numbers, and the controller does not know',
	'no-lease-wait-out': 'a new leader does not wait out its predecessor at engines without fences',
	'no-view-acknowledgement': 'a change goes on before entry hosts have acknowledged the view',
	'no-read-back': 'an unresolved order is not read back before another try, nor awaited',
	'stale-view-applied': 'an entry host applies an older view',
	'retry-non-repeatable': 'work that may not be repeated is sent again after silence',
	'no-request-memory': 'a put that is sent again is judged anew',
} as const;

export type Mutation = keyof typeof MUTATIONS;

/**
 * Returns the safeguards of the consensus replicas, without the one that the mutation disables.
 *
 * @example
 * ```ts
 * createConsensusSafeguards('vote-not-kept').persistHardState; // false
 * ```
 */
export function createConsensusSafeguards(mutation: Mutation | undefined): Safeguards {
	return {
		...ALL_SAFEGUARDS,
		syncBeforeReply: mutation !== 'no-sync-before-reply',
		persistHardState: mutation !== 'vote-not-kept',
		commitOwnTermOnly: mutation !== 'commit-older-term',
		persistIdentity: mutation !== 'wiped-replica-votes',
		confirmReads: mutation !== 'no-read-index',
		respectLease: mutation !== 'no-leader-lease',
		reclaimOnlyAfterLeading: mutation !== 'reclaim-without-leading',
		useJointConfiguration: mutation !== 'swap-in-one-step',
		checkLogMatching: mutation !== 'no-log-matching',
	};
}

/**
 * Returns the safeguards of orders to backend servers, without the one that the mutation disables.
 *
 * @example
 * ```ts
 * createOrderSafeguards('no-read-back').queryBeforeResend; // false
 * ```
 */
export function createOrderSafeguards(mutation: Mutation | undefined): OrderSafeguards {
	return {
		...ALL_ORDER_SAFEGUARDS,
		awaitLeaseExpiry: mutation !== 'no-lease-wait-out',
		awaitViewAcknowledgements: mutation !== 'no-view-acknowledgement',
		queryBeforeResend: mutation !== 'no-read-back',
	};
}
