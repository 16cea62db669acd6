/**
 * Soak of the control hosts as real processes: a stream of large configurations, beside load, with lost disks and frozen leaders.
 *
 * Prints a report per site and exits with 1 if something was seen that must not happen. `--wipe leader` makes leaders lose their disk
 * instead of hosts that have just acknowledged a configuration; `--during` does so while configurations are sent.
 *
 * @example
 * ```sh
 * npm run soak -- --entries 15 --routes 744 --seconds 20 --busy 16
 * npm run soak -- --sites 2 --wipes 3 --wipe leader --seed 7
 * ```
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {runSoak, startBusyProcesses} from './soak/run.js';

const {values} = parseArgs({
	options: {
		sites: {type: 'string', default: '1'},
		controls: {type: 'string', default: '5'},
		entries: {type: 'string', default: '4'},
		routes: {type: 'string', default: '744'},
		seconds: {type: 'string', default: '20'},
		gap: {type: 'string', default: '80'},
		wipes: {type: 'string', default: '3'},
		wipe: {type: 'string', default: 'any'},
		during: {type: 'boolean', default: false},
		freezes: {type: 'string', default: '0'},
		busy: {type: 'string', default: '0'},
		seed: {type: 'string', default: '1'},
	},
});
const busy = startBusyProcesses(Number(values.busy));
try {
	const reports = await Promise.all(Array.from({length: Number(values.sites)}, async (_, index) => runSoak({
		network: index + 1,
		controlHosts: Number(values.controls),
		entryHosts: Number(values.entries),
		routes: Number(values.routes),
		durationMs: Number(values.seconds) * 1000,
		gapMs: Number(values.gap),
		wipes: Number(values.wipes),
		wipesLeader: values.wipe === 'leader',
		wipesDuringChanges: values.during,
		freezes: Number(values.freezes),
		seed: Number(values.seed) + index,
	})));
	for (const report of reports) {
		console.log(JSON.stringify(report, undefined, '\t'));
		process.exitCode = report.violations.length > 0 ? 1 : process.exitCode;
	}
} finally {
	busy.stop();
}

process.exit();
