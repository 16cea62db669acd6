import assert from 'node:assert/strict';
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {test} from 'node:test';

const ROOT = path.resolve(import.meta.dirname, '../..');
/** From the lowest layer up; a folder imports only itself and what stands before it. */
const LAYERS = ['generated', 'base', 'wire', 'consensus', 'routing', 'control', 'membership', 'serving', 'entry', 'daemon', 'tool'];
/** Pure cores: no task, socket, file or timer of Node's in them. */
const CORES = [
	'consensus/replica',
	'consensus/log',
	'consensus/configuration',
	'control/state',
	'control/ledger',
	'control/controller',
	'control/reconfiguration',
	'control/bootstrap',
	'membership/directory',
	'routing/choice',
	'routing/admission',
	'routing/load',
	'routing/prefix',
	'routing/health',
	'routing/poison',
	'routing/scheduler',
	'routing/queue',
	'routing/prefill',
	'routing/engine',
	'routing/kvcache',
	'routing/planner',
	'routing/budget',
	'routing/routes',
	'control/reconfigurator',
	'membership/registry',
	'membership/discovery',
	'serving/events',
];
const ALLOWED_IN_CORES = new Set(['node:zlib', 'node:buffer']);

test('imports only look downward', async () => {
	const wrong: string[] = [];
	for (const {file, imports} of await readImports()) {
		const own = file.split('/')[0]!;
		for (const target of imports.filter(name => name.startsWith('.'))) {
			const folder = path.normalize(path.join(path.dirname(file), target)).split('/')[0]!;
			if (LAYERS.indexOf(folder) > LAYERS.indexOf(own) || !LAYERS.includes(folder)) {
				wrong.push(`${file} imports ${target}`);
			}
		}
	}

	assert.deepEqual(wrong, []);
});

test('the daemon and the tool do not import each other', async () => {
	const files = await readImports();
	const wrong = files.filter(({file, imports}) => file.startsWith('tool/') && imports.some(name => name.includes('/daemon/')));
	assert.deepEqual(wrong, []);
});

test('pure cores import no task', async () => {
	const files = await readImports();
	const wrong: string[] = [];
	for (const core of CORES) {
		const found = files.find(({file}) => file === `${core}.ts`);
		assert.ok(found, `${core} exists`);
		wrong.push(...found.imports.filter(name => name.startsWith('node:') && !ALLOWED_IN_CORES.has(name)).map(name => `${core} imports ${name}`));
	}

	assert.deepEqual(wrong, []);
});

async function readImports() {
	const source = path.join(ROOT, 'src');
	const names = await readdir(source, {recursive: true});
	return Promise.all(names.filter(name => name.endsWith('.ts')).map(async file => {
		const text = await readFile(path.join(source, file), 'utf8');
		return {file, imports: [...text.matchAll(/^(?:import|\} from|export .* from)\b[^'\n]*'([^']+)'/gmv)].map(match => match[1]!)};
	}));
}
