/**
 * Compares policies on recorded traces in virtual time.
 *
 * @example
 * ```sh
 * npm run bench:policy -- --seed 1
 * npm run bench:policy -- --seed 1 --trace swing --profile hrafnsvik --json
 * npm run bench:policy -- --seed 1 --ablate
 * ```
 */
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {ROLE_PROFILES} from '../src/routing/roles.js';
import {
	DEFAULT_FEATURES, GreedyPolicy, NaivePolicy, CarawayhoistPolicy, type Features, type Policy,
} from './policy/policies.js';
import {computeGoodputBound, simulate, type SimulationResult} from './policy/simulation.js';
import {
	formatTrace, generateTrace, TRACE_NAMES, type TraceName,
} from './policy/trace.js';
import {computeSpread} from './statistics.js';

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		seeds: {type: 'string', default: '5'},
		trace: {type: 'string'},
		profile: {type: 'string'},
		json: {type: 'boolean', default: false},
		ablate: {type: 'boolean', default: false},
		write: {type: 'string'},
	},
});

type ProfileName = keyof typeof ROLE_PROFILES;
type Row = Omit<SimulationResult, 'unanswered' | 'enginesLost' | 'lateFirstTokens'> & {readonly trace: TraceName; readonly profile: ProfileName; readonly seed: number; readonly policy: string};

const traces = values.trace === undefined ? TRACE_NAMES : TRACE_NAMES.filter(name => name === values.trace);
const profiles = (values.profile === undefined ? ['tallgrass', 'hrafnsvik'] : [values.profile]) as ProfileName[];
const seeds = Array.from({length: Number(values.seeds)}, (_, index) => Number(values.seed) + index);

if (traces.length === 0 || profiles.some(name => !(name in ROLE_PROFILES))) {
	console.error(`Traces: ${TRACE_NAMES.join(', ')}. Profiles: ${Object.keys(ROLE_PROFILES).join(', ')}.`);
	process.exit(2);
}

if (values.write !== undefined) {
	for (const trace of traces) {
		await writeFile(path.join(values.write, `${trace}.jsonl`), formatTrace(generateTrace(trace, seeds[0]!)));
	}
} else if (values.ablate) {
	ablate();
} else {
	compare();
}

function compare(): void {
	for (const profile of profiles) {
		for (const name of traces) {
			const rows = seeds.flatMap(seed => runAll(name, profile, seed));
			if (!values.json) {
				printSummary(name, profile, rows);
			}
		}
	}
}

function runAll(name: TraceName, profile: ProfileName, seed: number): Row[] {
	const trace = generateTrace(name, seed);
	const policies: Array<readonly [string, Policy]> = [
		['carawayhoist', new CarawayhoistPolicy(ROLE_PROFILES[profile], seed)],
		['naive', new NaivePolicy()],
		['greedy', new GreedyPolicy()],
	];
	const rows = policies.map(([policy, instance]): Row => createRow({
		trace: name, profile, seed, policy,
	}, simulate(trace, instance)));
	rows.push({
		trace: name, profile, seed, policy: 'bound', goodput: computeGoodputBound(trace), refused: 0, late: 0, roleChanges: 0,
	});
	if (values.json) {
		for (const row of rows) {
			console.log(JSON.stringify(row));
		}
	}

	return rows;
}

function createRow(key: Pick<Row, 'trace' | 'profile' | 'seed' | 'policy'>, result: SimulationResult): Row {
	const {goodput, refused, late, roleChanges} = result;
	return {
		...key, goodput, refused, late, roleChanges,
	};
}

function printSummary(name: TraceName, profile: ProfileName, rows: readonly Row[]): void {
	for (const policy of ['carawayhoist', 'naive', 'greedy', 'bound']) {
		const own = rows.filter(row => row.policy === policy);
		const cells = (['goodput', 'refused', 'late', 'roleChanges'] as const).map(field => {
			const {mean, deviation} = computeSpread(own.map(row => row[field]));
			return `${field} ${mean.toFixed(2)} ±${deviation.toFixed(2)}`;
		});
		console.log(`${name.padEnd(10)} ${profile.padEnd(9)} ${policy.padEnd(12)} ${cells.join('  ')}`);
	}
}

/** Switches each mechanism off in turn. */
function ablate(): void {
	const features: Array<readonly [string, Features]> = [
		['everything', DEFAULT_FEATURES],
		...(Object.keys(DEFAULT_FEATURES) as Array<keyof Features>).map(name => [`${DEFAULT_FEATURES[name] ? 'without' : 'with'} ${name}`, {...DEFAULT_FEATURES, [name]: !DEFAULT_FEATURES[name]}] as const),
	];
	for (const name of traces) {
		for (const profile of profiles) {
			for (const [title, set] of features) {
				const results = seeds.map(seed => simulate(generateTrace(name, seed), new CarawayhoistPolicy(ROLE_PROFILES[profile], seed, set)));
				const {mean, deviation} = computeSpread(results.map(({goodput}) => goodput));
				const changes = computeSpread(results.map(({roleChanges}) => roleChanges)).mean;
				const late = computeSpread(results.map(result => result.late)).mean;
				const lateFirst = computeSpread(results.map(result => result.lateFirstTokens)).mean;
				console.log(`${name.padEnd(10)} ${profile.padEnd(9)} ${title.padEnd(20)} goodput ${mean.toFixed(2)} ±${deviation.toFixed(2)}  roleChanges ${changes.toFixed(1)}  late ${late.toFixed(0)} (first token ${lateFirst.toFixed(0)})`);
			}
		}
	}
}
