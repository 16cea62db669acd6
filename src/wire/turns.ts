/**
 * Turns of connections that send very small pieces.
 *
 * @module
 */

/** Pieces smaller than this cost more to receive than their bytes. */
const SMALL_PIECE_BYTES = 512;
/** Small pieces that a connection may deliver at once; a read of 64 KiB contains up to 10,922. */
const PIECES_PER_TURN = 128;
/** Pause between two turns, milliseconds, in which other connections are served. */
const PAUSE_MS = 2;

type Turn = {
	pieces: number;
	isWaiting: boolean;
};

export type TurnTaker = {
	/** Counts a piece; returns whether the connection must be held until it is told to go on. */
	count(bytes: number, onTurn: () => void): boolean;
};

/** Lets one connection at a time deliver small pieces, a read each, and serves all others between the reads. */
export class ReadTurns {
	readonly #queue: Array<() => void> = [];
	#isScheduled = false;

	get waitingCount(): number {
		return this.#queue.length;
	}

	/**
	 * Creates the count of one request.
	 *
	 * @example
	 * ```ts
	 * const turn = new ReadTurns().createTurn();
	 * request.on('data', chunk => {
	 * 	if (turn.count(chunk.length, () => request.unhold())) {
	 * 		request.hold();
	 * 	}
	 * });
	 * ```
	 */
	createTurn(): TurnTaker {
		const turn: Turn = {pieces: 0, isWaiting: false};
		return {
			count: (bytes, onTurn) => {
				if (bytes >= SMALL_PIECE_BYTES || turn.isWaiting || ++turn.pieces < PIECES_PER_TURN) {
					return false;
				}

				turn.isWaiting = true;
				this.#queue.push(() => {
					turn.pieces = 0;
					turn.isWaiting = false;
					onTurn();
				});
				this.#schedule();
				return true;
			},
		};
	}

	#schedule(): void {
		if (this.#isScheduled) {
			return;
		}

		this.#isScheduled = true;
		setTimeout(() => {
			this.#isScheduled = false;
			this.#queue.shift()?.();
			if (this.#queue.length > 0) {
				this.#schedule();
			}
		}, PAUSE_MS);
	}
}
