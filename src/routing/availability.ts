/**
 * What servers have said in their responses about further requests.
 *
 * Each statement holds for the incarnation that made it: a server that starts anew is available at once. Performs no I/O;
 * the caller passes the current time.
 *
 * @module
 */
import {formatIncarnation, type ServerIncarnation} from '../base/incarnation.js';

const MAX_ENTRIES = 2000;

/** The servers that one host must not send requests to, by what they told it. */
export class AvailabilityTracker {
	readonly #leaving = new Map<string, ServerIncarnation>();

	/** Records that a server is leaving. Returns false if that was known. */
	recordLeaving({server, incarnation}: ServerIncarnation): boolean {
		const key = formatIncarnation({server, incarnation});
		if (this.#leaving.has(key)) {
			return false;
		}

		this.#leaving.set(key, {server, incarnation});
		const [oldest] = this.#leaving.keys();
		if (this.#leaving.size > MAX_ENTRIES && oldest !== undefined) {
			this.#leaving.delete(oldest);
		}

		return true;
	}

	/** Whether a server takes new requests. */
	isAvailable(server: ServerIncarnation): boolean {
		return !this.#leaving.has(formatIncarnation(server));
	}

	/** Lists the server incarnations that take no new requests. */
	listUnavailable(): ServerIncarnation[] {
		return [...this.#leaving.values()];
	}
}
