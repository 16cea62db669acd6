/**
 * Requests whose connection can be paused while a piece of their body is handled.
 *
 * @module
 */
import {IncomingMessage} from 'node:http';

/**
 * A request that reads nothing from its connection while it is held. `IncomingMessage.pause` would keep what has been parsed already as a
 * list of pieces, which for a body in chunks of one byte takes hundreds of times the memory of its bytes.
 */
export class PausableRequest extends IncomingMessage {
	#isHeld = false;
	/** A socket that is resumed and paused in one tick emits `resume` after that, which makes the HTTP server read from it. */
	readonly #pauseAgain = () => {
		this.socket.emit('pause');
	};

	get isHeld(): boolean {
		return this.#isHeld;
	}

	/** Stops reading. What has been read from the connection still arrives, 64 KiB at most. */
	hold(): void {
		if (!this.#isHeld) {
			this.#isHeld = true;
			this.socket.on('resume', this.#pauseAgain);
			this.socket.pause();
		}
	}

	/** Reads on. */
	unhold(): void {
		this.#isHeld = false;
		this.socket.off('resume', this.#pauseAgain);
		if (!this.socket.destroyed) {
			this.socket.resume();
		}
	}

	override _read(size: number): void {
		if (!this.#isHeld) {
			super._read(size);
		}
	}
}
