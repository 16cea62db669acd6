/**
 * A system whose second entry host can be cut off from the servers, so that it reaches them through the first one.
 *
 * @module
 */
import {waitUntil} from '../dev/fleet.js';
import {connectServer} from '../src/wire/connector.js';
import {HostNetwork} from './network.js';
import type {StubBackendOptions} from './stub.js';
import {startSystem} from './system.js';

/** Path of requests that the servers must answer with 200 while the second host looks for its relay. */
export const WHOLE_PATH = '/read/whole';

/**
 * Starts two plain servers and an engine, which all handle requests in the same way, and two entry hosts. With one server less, a server
 * that has ended could not be told from a network that is cut.
 */
export async function startRelaySystem(t: Parameters<typeof startSystem>[0], intercept: NonNullable<StubBackendOptions['intercept']>) {
	const network = await HostNetwork.start();
	t.after(async () => {
		network.stop();
	});
	const servers: StubBackendOptions[] = [{id: 'p1', service: 'plain', intercept}, {id: 'p2', service: 'plain', intercept}, {
		id: 'd1', service: 'llm', stage: 'decode', intercept,
	}];
	const system = await startSystem(t, servers, {connectServers: [connectServer, network.connect]});
	const callSecond = await system.addEntry();
	return {
		system,
		/** Cuts the second host off, and waits until it reaches the servers through the first one. */
		async cutSecond() {
			network.cut({open: 'reset', fresh: 'refused'});
			await waitUntil(async () => {
				await system.announceServers();
				return (await callSecond(WHOLE_PATH)).status === 200 && system.entryLines.some(({message}) => message.startsWith('This host reaches no server'));
			}, 'the second host has a relay');
		},
	};
}
