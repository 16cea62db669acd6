/**
 * Plots goodput and role changes of each policy as SVG bar charts from the output of `bench:policy -- --json`.
 *
 * @example
 * ```sh
 * npm run bench:policy -- --seed 1 --json > /tmp/policy.jsonl
 * npm run bench:plot -- /tmp/policy.jsonl docs/design
 * ```
 */
import {readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import * as vega from 'vega';
import {compile, type TopLevelSpec} from 'vega-lite';

const [inputFile = '', outputFolder = '.'] = process.argv.slice(2);
const text = await readFile(inputFile, 'utf8');
const rows = text.trim().split('\n').filter(line => line.startsWith('{')).map(line => JSON.parse(line) as Record<string, unknown>);

await plot('goodput', 'Completions within the latency targets per second', rows.filter(row => row.profile === 'tallgrass'));
await plot('roleChanges', 'Role changes', rows.filter(row => row.policy !== 'bound'));

async function plot(field: string, title: string, values: Array<Record<string, unknown>>): Promise<void> {
	const specification: TopLevelSpec = {
		data: {values},
		title,
		facet: {row: {field: 'profile', type: 'nominal', title: null}},
		spec: {
			width: 640,
			height: 180,
			mark: 'bar',
			encoding: {
				x: {
					field: 'trace', type: 'nominal', title: null, axis: {labelAngle: 0},
				},
				xOffset: {field: 'policy', type: 'nominal'},
				y: {
					aggregate: 'mean', field, type: 'quantitative', title,
				},
				color: {field: 'policy', type: 'nominal', title: 'policy'},
			},
		},
	};
	const view = new vega.View(vega.parse(compile(specification).spec), {renderer: 'none'});
	await writeFile(path.join(outputFolder, `${field}.svg`), `${await view.toSVG()}\n`);
}
