/**
 * Calls to the external service that only one host at a time may make.
 *
 * @module
 */

/** Makes the calls of the host that holds the duties. */
export interface DutyCaller {
	/** Whether this host holds the duties now. */
	readonly isHolder: boolean;
	/**
	 * Sends a call and returns the status of its response; undefined if this host does not hold the duties, the rate limit is
	 * reached, or no response came.
	 */
	call(path: string, body: unknown): Promise<number | undefined>;
}
