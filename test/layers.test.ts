import assert from 'node:assert/strict';
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {test} from 'node:test';

const ROOT = path.resolve(import.meta.dirname, '../..');
/** Folders of src/ from the lowest layer to the highest; a folder may import only itself and lower layers. */
const LAYERS = ['generated', 'base', 'wire', 'consensus', 'teams', 'routing', 'control', 'membership', 'duties', 'capacity', 'serving', 'entry', 'daemon', 'tool'];
/** Modules without I/O: they use no sockets, files or timers of Node.js. */
const MODULES_WITHOUT_IO = [
	'consensus/replica',
	'consensus/effects',
	'consensus/progress',
	'consensus/silence',
	'consensus/log',
	'consensus/configuration',
	'control/state',
	'control/ledger',
	'control/controller',
	'control/reconfiguration',
	'control/bootstrap',
	'capacity/allocation',
	'capacity/decision',
	'capacity/demand',
	'capacity/inventory',
	'capacity/meter',
	'capacity/need',
	'capacity/subjects',
	'membership/crashes',
	'membership/crashfacts',
	'membership/directory',
	'membership/ratelimits',
	'membership/relays',
	'routing/choice',
	'routing/admission',
	'routing/load',
	'routing/prefix',
	'routing/health',
	'routing/reachability',
	'routing/poison',
	'routing/suspects',
	'routing/explanations',
	'routing/trials',
	'routing/servedkeys',
	'routing/scheduler',
	'routing/queue',
	'routing/limiter',
	'routing/origins',
	'routing/prefill',
	'routing/engine',
	'routing/kvcache',
	'routing/planner',
	'routing/availability',
	'routing/budget',
	'routing/routes',
	'control/reconfigurator',
	'membership/registry',
	'membership/discovery',
	'serving/events',
	'teams/table',
	'control/usage',
	'duties/starts',
	'duties/collector',
	'duties/rate',
	'duties/planner',
	'duties/reference',
	'wire/clientlimits',
	'wire/clientmemory',
];
const ALLOWED_NODE_MODULES = new Set(['node:zlib', 'node:buffer']);

test('folders import only themselves and lower layers', async () => {
	const violations: string[] = [];
	for (const {file, imports} of await readImports()) {
		const ownFolder = file.split('/')[0]!;
		for (const target of imports.filter(name => name.startsWith('.'))) {
			const folder = path.normalize(path.join(path.dirname(file), target)).split('/')[0]!;
			if (LAYERS.indexOf(folder) > LAYERS.indexOf(ownFolder) || !LAYERS.includes(folder)) {
				violations.push(`${file} imports ${target}`);
			}
		}
	}

	assert.deepEqual(violations, []);
});

test('the tool does not import the daemon', async () => {
	const files = await readImports();
	const violations = files.filter(({file, imports}) => file.startsWith('tool/') && imports.some(name => name.includes('/daemon/')));
	assert.deepEqual(violations, []);
});

test('modules without I/O import only allowed Node.js modules', async () => {
	const files = await readImports();
	const violations: string[] = [];
	for (const module of MODULES_WITHOUT_IO) {
		const found = files.find(({file}) => file === `${module}.ts`);
		assert.ok(found, `${module} exists`);
		violations.push(...found.imports.filter(name => name.startsWith('node:') && !ALLOWED_NODE_MODULES.has(name)).map(name => `${module} imports ${name}`));
	}

	assert.deepEqual(violations, []);
});

async function readImports() {
	const source = path.join(ROOT, 'src');
	const names = await readdir(source, {recursive: true});
	return Promise.all(names.filter(name => name.endsWith('.ts')).map(async file => {
		const text = await readFile(path.join(source, file), 'utf8');
		return {file, imports: [...text.matchAll(/^(?:import|\} from|export .* from)\b[^'\n]*'([^']+)'/gmv)].map(match => match[1]!)};
	}));
}
