/**
 * Runs random schedules of work and faults through the step machines and checks what must always hold.
 *
 * @example
 * ```sh
 * npm run fuzz -- --seed 1 --runs 200
 * npm run fuzz -- --seed 1 --runs 2000 --mutate vote-not-kept
 * ```
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {MUTATIONS, type Mutation} from './fuzz/mutations.js';
import {runSchedule, type RunResult} from './fuzz/run.js';
import type {FaultCounts} from './fuzz/simulator.js';

const TRACE_LINES = 40;

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		runs: {type: 'string', default: '200'},
		mutate: {type: 'string'},
		list: {type: 'boolean', default: false},
	},
});
main();

function main(): void {
	if (values.list) {
		for (const [name, text] of Object.entries(MUTATIONS)) {
			console.log(`${name}: ${text}`);
		}

		return;
	}

	if (values.mutate !== undefined && !(values.mutate in MUTATIONS)) {
		console.error(`No mutation ${values.mutate}; there are ${Object.keys(MUTATIONS).join(', ')}.`);
		process.exitCode = 2;
		return;
	}

	fuzz(Number(values.seed), Number(values.runs), values.mutate as Mutation | undefined);
}

function fuzz(firstSeed: number, runs: number, mutation: Mutation | undefined): void {
	const faults: FaultCounts = {};
	const sums = {
		steps: 0, commits: 0, keys: 0, orders: 0,
	};
	for (let run = 0; run < runs; run++) {
		const result = runSchedule(firstSeed + run, mutation);
		for (const [kind, count] of Object.entries(result.faults)) {
			faults[kind] = (faults[kind] ?? 0) + count;
		}

		sums.steps += result.steps;
		sums.commits += result.commits;
		sums.keys += result.keys;
		sums.orders += result.orders;
		if (result.violation !== undefined) {
			printSummary(run + 1, sums, faults);
			printViolation(result, run + 1);
			process.exitCode = 1;
			return;
		}
	}

	printSummary(runs, sums, faults);
	console.log('No violation.');
}

function printSummary(runs: number, sums: Readonly<Record<string, number>>, faults: FaultCounts): void {
	const counts = Object.entries(sums).map(([name, count]) => `${count} ${name}`);
	console.log(`${runs} runs: ${counts.join(', ')}`);
	console.log(`faults: ${Object.entries(faults).map(([kind, count]) => `${kind} ${count}`).join(', ')}`);
}

function printViolation(result: RunResult, run: number): void {
	console.log(`VIOLATION in run ${run}, seed ${result.seed}: ${result.violation}`);
	console.log(`The last ${Math.min(TRACE_LINES, result.trace.length)} lines of its trace (again: npm run fuzz -- --seed ${result.seed} --runs 1${values.mutate ? ` --mutate ${values.mutate}` : ''}):`);
	for (const line of result.trace.slice(-TRACE_LINES)) {
		console.log(line);
	}
}
