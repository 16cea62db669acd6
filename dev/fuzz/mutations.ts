/**
 * Mechanisms that the fuzzer can switch off, to show that its checks notice.
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
 * Returns the consensus mechanisms under a mutation.
 *
 * @example
 * ```ts
 * consensusMechanisms('vote-not-kept').persistHardState; // false
 * ```
 */
export function createConsensusMechanisms(mutation: Mutation | undefined): Safeguards {
	return {
		...ALL_SAFEGUARDS,
		syncBeforeReply: mutation !== 'no-sync-before-reply',
		persistHardState: mutation !== 'vote-not-kept',
		commitOwnTermOnly: mutation !== 'commit-older-term',
		persistIdentity: mutation !== 'wiped-replica-votes',
		confirmReads: mutation !== 'no-read-index',
		respectLease: mutation !== 'no-leader-lease',
		useJointConfiguration: mutation !== 'swap-in-one-step',
		checkLogMatching: mutation !== 'no-log-matching',
	};
}

/**
 * Returns the order mechanisms under a mutation.
 *
 * @example
 * ```ts
 * orderMechanisms('no-read-back').readBack; // false
 * ```
 */
export function createOrderMechanisms(mutation: Mutation | undefined): OrderSafeguards {
	return {
		...ALL_ORDER_SAFEGUARDS,
		awaitLeaseExpiry: mutation !== 'no-lease-wait-out',
		awaitViewAcknowledgements: mutation !== 'no-view-acknowledgement',
		queryBeforeResend: mutation !== 'no-read-back',
	};
}
