/**
 * Calls to the external service that this deployment has duties at.
 *
 * @module
 */

/** Makes calls to the external service while this host holds the duties. */
export interface DutyCaller {
	/** Whether this host holds the duties now: it leads the replicated log, holds its lease and has waited out its predecessor. */
	readonly isHolder: boolean;
	/**
	 * Makes one call, without a retry. Never rejects.
	 *
	 * @returns The status of the response; undefined if this host does not hold the duties, the rate limit is reached, or no response came.
	 */
	call(path: string, body: unknown): Promise<number | undefined>;
}
