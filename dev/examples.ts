/**
 * Writes the example settings files under `examples/`.
 *
 * @example
 * ```sh
 * npm run build && node dist/dev/examples.js
 * ```
 */
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import type {Peer, Settings} from '../src/generated/types.js';

const ROOT = path.resolve(import.meta.dirname, '../../examples');
const HTTP_PORT = 8080;
const PEER_PORT = 7400;

type Site = {
	readonly folder: string;
	readonly hosts: number;
	readonly controls: number;
	readonly address: (index: number) => string;
	readonly httpPort: (index: number) => number;
	readonly peerPort: (index: number) => number;
	readonly dataFolder: (host: string) => string;
};

const SITES: readonly Site[] = [
	createDataCentreSite({folder: 'tallgrass', hosts: 14, network: '10.20'}),
	createDataCentreSite({folder: 'hrafnsvik', hosts: 13, network: '10.40'}),
	{
		folder: 'one-machine',
		hosts: 3,
		controls: 3,
		address: () => '127.0.0.1',
		httpPort: index => HTTP_PORT + index,
		peerPort: index => PEER_PORT + index,
		dataFolder: host => `/tmp/carawayhoist/${host}`,
	},
];

for (const site of SITES) {
	await writeSite(site);
}

function createDataCentreSite({folder, hosts, network}: {folder: string; hosts: number; network: string}): Site {
	return {
		folder,
		hosts,
		controls: 3,
		address: index => `${network}.${1 + (index % 3)}.${10 + Math.floor(index / 3)}`,
		httpPort: () => HTTP_PORT,
		peerPort: () => PEER_PORT,
		dataFolder: () => '/var/lib/carawayhoist',
	};
}

async function writeSite(site: Site): Promise<void> {
	await mkdir(path.join(ROOT, site.folder), {recursive: true});
	const peers: Peer[] = Array.from({length: site.hosts}, (_, index) => ({
		host: `host-${index + 1}`, address: site.address(index), port: site.peerPort(index),
	}));
	for (const [index, peer] of peers.entries()) {
		const isControl = index < site.controls;
		const settings: Settings = {
			host: peer.host,
			dataCentre: ['a', 'b', 'c'][index % 3]!,
			roles: isControl ? ['control', 'entry'] : ['entry'],
			http: {address: peer.address, port: site.httpPort(index)},
			peer: {address: peer.address, port: peer.port},
			...(isControl ? {dataFolder: site.dataFolder(peer.host)} : {}),
			control: peers.slice(0, site.controls),
			peers: peers.slice(0, 4),
		};
		await writeFile(path.join(ROOT, site.folder, `${peer.host}.json`), `${JSON.stringify(settings, undefined, '\t')}\n`);
	}
}
