/**
 * One host's network to the backend servers, which can be cut while callers and other hosts still reach the host.
 *
 * @module
 */
import net, {type AddressInfo} from 'node:net';
import type {Address} from '../src/wire/connection.js';
import type {ServerConnector} from '../src/wire/connector.js';

/** What becomes of the connections of a host that is cut off from its servers. */
export type NetworkCut = {
	readonly open: 'hang' | 'reset' | 'work';
	readonly fresh: 'hang' | 'refused';
};

type Link = {
	readonly near: net.Socket;
	far: net.Socket | undefined;
};

/** A port on which nothing listens. */
const CLOSED_PORT = 1;

/** Carries the connections of one host through a loopback proxy. Whoever starts it must stop it. */
export class HostNetwork {
	/** Opens a connection to a server over this network. */
	readonly connect: ServerConnector;
	readonly #server = net.createServer(near => {
		this.#accept(near);
	});

	readonly #links = new Set<Link>();
	/** Targets of the connections, and callbacks that wait for them, by the port from which the host connects. */
	readonly #targets = new Map<number, Address>();
	readonly #waiting = new Map<number, () => void>();
	#cut: NetworkCut | undefined;

	private constructor() {
		this.connect = target => {
			if (this.#cut) {
				return this.#cut.fresh === 'hang' ? new net.Socket() : net.connect({host: '127.0.0.1', port: CLOSED_PORT});
			}

			const socket = net.connect({host: '127.0.0.1', port: (this.#server.address() as AddressInfo).port, noDelay: true});
			socket.once('connect', () => {
				this.#targets.set(socket.localPort!, target);
				this.#waiting.get(socket.localPort!)?.();
			});
			return socket;
		};
	}

	static async start(): Promise<HostNetwork> {
		const network = new HostNetwork();
		await new Promise<void>(resolve => {
			network.#server.listen(0, '127.0.0.1', resolve);
		});
		return network;
	}

	/** Cuts the host off from all servers. */
	cut(cut: NetworkCut): void {
		this.#cut = cut;
		for (const {near, far} of this.#links) {
			if (cut.open === 'reset') {
				near.resetAndDestroy();
				far?.destroy();
			} else if (cut.open === 'hang') {
				near.unpipe();
				far?.unpipe();
				near.pause();
				far?.pause();
			}
		}
	}

	/** Ends the cut. Connections that hang stay silent. */
	heal(): void {
		this.#cut = undefined;
	}

	stop(): void {
		this.#server.close();
		for (const {near, far} of this.#links) {
			near.destroy();
			far?.destroy();
		}
	}

	#accept(near: net.Socket): void {
		const link: Link = {near, far: undefined};
		this.#links.add(link);
		near.on('error', () => link.far?.destroy());
		near.on('close', () => {
			this.#links.delete(link);
			link.far?.destroy();
		});
		const port = near.remotePort!;
		const target = this.#targets.get(port);
		if (target) {
			this.#open(link, target);
			return;
		}

		this.#waiting.set(port, () => {
			this.#waiting.delete(port);
			this.#open(link, this.#targets.get(port)!);
		});
	}

	#open(link: Link, {address, port}: Address): void {
		const {near} = link;
		this.#targets.delete(near.remotePort!);
		const far = net.connect({host: address, port, noDelay: true});
		link.far = far;
		far.on('error', () => near.resetAndDestroy());
		near.pipe(far);
		far.pipe(near);
	}
}
