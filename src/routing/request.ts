/**
 * Requests to place streamed requests at engines, the decisions, and the progress that is reported to the scheduler.
 *
 * @module
 */
import type {RequestOrigin} from './cost.js';
import type {PromptPart} from './kvcache.js';
import type {Resumption} from './origins.js';

/** A streamed request to be placed. */
export type PlacementRequest = RequestOrigin & {
	readonly id: string;
	readonly service: string;
	readonly parts: readonly PromptPart[];
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Remaining time until the caller gives up, milliseconds. */
	readonly patienceMs: number;
	/** Engines that must not be used for this request. */
	readonly excluded: readonly string[];
	/** The stream that is resumed, if there is one. */
	readonly resumption?: Resumption;
};

/** What a scheduler needs to know about a request that another scheduler placed. */
export type ObservedRequest = Pick<PlacementRequest, 'id' | 'service' | 'parts' | 'promptTokens' | 'outputTokens' | 'patienceMs'>;

/** Where a request runs, or why it is rejected. */
export type PlacementDecision
	= | {
		readonly type: 'assignment';
		readonly id: string;
		/** Engine that prefills the prompt for the runner; absent if the runner prefills it. */
		readonly reader?: string;
		/** Engine from which the prefilling engine fetches shared parts. */
		readonly source?: string;
		/** Prompt tokens that need not be prefilled. */
		readonly cachedTokens?: number;
		/** Expected time until the first event, milliseconds. */
		readonly expectedMs?: number;
		/**
		 * Whether the request will miss its objective and is therefore scheduled behind requests that can meet theirs.
		 */
		readonly isLate?: boolean;
		/** Engine that decodes; absent until the reader has completed the prefill. */
		readonly runner?: string;
		/** Software version at which a stream is resumed; absent for a new one. */
		readonly software?: string;
	}
	| {
		readonly type: 'rejection';
		readonly id: string;
		readonly reason: string;
		readonly retryAfterMs: number;
		/** Whether the scheduler does not know which software version started the stream; another one may. */
		readonly isOriginUnknown?: boolean;
		/** Software version at which a stream would be resumed; absent for a new one, or if it is unknown. */
		readonly software?: string;
	};

/** Progress of a request, as reported to the scheduler that placed it. */
export const MILESTONES = {
	/** The reader has completed the prefill. */
	read: 'read',
	/** The first event has arrived. */
	first: 'first',
	done: 'done',
	/** An engine stated that it did not run the request. */
	refused: 'refused',
	/** An engine sent no response or an incomplete one, or the caller has disconnected. */
	failed: 'failed',
} as const;
export type MilestoneName = keyof typeof MILESTONES;

/** What is reported with a milestone. */
export type MilestoneDetails = {
	/** Engine that reached the milestone. */
	readonly server?: string | undefined;
	/** Engines to which the entry host has an idle connection now; absent if that has not changed. */
	readonly connected?: readonly string[] | undefined;
};

/** Priority of requests that will be late: behind all others. */
export const LATE_PRIORITY = 9;
