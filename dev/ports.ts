/**
 * TCP ports on 127.0.0.1 for processes that have to know a port before they listen on it.
 *
 * @module
 */
import net from 'node:net';
import process from 'node:process';

/** Below the ports that operating systems assign to outgoing connections. */
const FIRST_PORT = 20_000;
const PORTS_PER_RANGE = 200;
const RANGES = 60;
let ownRange: Promise<PortRange> | undefined;

/**
 * Finds a free TCP port in a range that only this process uses, so that nothing else takes the port before the caller
 * listens on it. Throws if the range has no free port.
 *
 * @example
 * ```ts
 * const peer = {address: '127.0.0.1', port: await findPort()};
 * ```
 */
export async function findPort(): Promise<number> {
	ownRange ??= PortRange.claim(process.pid);
	const range = await ownRange;
	return range.findPort();
}

/** A range of ports. Its owner listens on the first port of the range, which keeps other processes from claiming it. */
export class PortRange {
	readonly #firstPort: number;
	readonly #claim: net.Server;
	#next = 0;

	private constructor(firstPort: number, claim: net.Server) {
		this.#firstPort = firstPort;
		this.#claim = claim;
	}

	/**
	 * Claims the preferred range (modulo the number of ranges), or the next one that is not claimed. The claim lasts until
	 * `release` or the end of the process. Throws if all ranges are claimed.
	 *
	 * @example
	 * ```ts
	 * const range = await PortRange.claim(process.pid);
	 * ```
	 */
	static async claim(preferred: number): Promise<PortRange> {
		for (let index = 0; index < RANGES; index++) {
			const firstPort = FIRST_PORT + (((preferred + index) % RANGES) * PORTS_PER_RANGE);
			const claim = await tryListen(firstPort);
			if (claim) {
				return new PortRange(firstPort, claim);
			}
		}

		throw new Error(`All ${RANGES} port ranges from ${FIRST_PORT} on are claimed.`);
	}

	/** Returns the next free port of the range. Throws if there is none. */
	async findPort(): Promise<number> {
		const count = PORTS_PER_RANGE - 1;
		for (let attempt = 0; attempt < count; attempt++) {
			const port = this.#firstPort + 1 + (this.#next++ % count);
			const server = await tryListen(port);
			if (server) {
				await closeServer(server);
				return port;
			}
		}

		throw new Error(`No free port among ${count} from ${this.#firstPort + 1} on.`);
	}

	/** Lets other processes claim the range. */
	async release(): Promise<void> {
		await closeServer(this.#claim);
	}
}

/** Listens on a port, without keeping the process alive. Returns undefined if the port is in use. */
async function tryListen(port: number): Promise<net.Server | undefined> {
	const server = net.createServer(socket => {
		socket.destroy();
	});
	server.unref();
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(undefined);
		});
		server.listen(port, '127.0.0.1', () => {
			resolve(server);
		});
	});
}

async function closeServer(server: net.Server): Promise<void> {
	return new Promise(resolve => {
		server.close(() => {
			resolve();
		});
	});
}
