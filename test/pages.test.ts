import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {test} from 'node:test';
import {promisify} from 'node:util';

const ROOT = path.resolve(import.meta.dirname, '../..');
const execute = promisify(execFile);

test('links in the documentation point to existing files', async () => {
	for (const page of await listPages()) {
		const text = await readFile(path.join(ROOT, page), 'utf8');
		for (const [, target] of text.matchAll(/\]\((?!http)([^\)#]+)\)/gv)) {
			const file = path.join(ROOT, path.dirname(page), target!);
			await assert.doesNotReject(readFile(file).catch(async () => readdir(file)), `${page}: ${target}`);
		}
	}
});

test('npm scripts named in the documentation exist', async () => {
	const {scripts} = JSON.parse(await readFile(path.join(ROOT, 'package.json'), 'utf8')) as {scripts: Record<string, string>};
	for (const page of await listPages()) {
		const text = await readFile(path.join(ROOT, page), 'utf8');
		for (const [, name] of text.matchAll(/npm run ([a-z:]+)/gv)) {
			assert.ok(name! in scripts, `${page}: npm run ${name}`);
		}
	}
});

test('commands quoted in README.md run successfully as written', async () => {
	const readme = await readFile(path.join(ROOT, 'README.md'), 'utf8');
	for (const line of ['node dist/src/daemon/carawayhoistd.js --check examples/one-machine/host-1.json', 'node dist/src/tool/carawayhoist.js --help']) {
		assert.ok(readme.includes(line));
		const [, ...commandLine] = line.split(' ');
		await execute(process.execPath, commandLine, {cwd: ROOT});
	}
});

test('every command of the tool that docs/operate/DAILY.md names is in its help', async () => {
	const {stdout} = await execute(process.execPath, ['dist/src/tool/carawayhoist.js', '--help'], {cwd: ROOT});
	const page = await readFile(path.join(ROOT, 'docs/operate/DAILY.md'), 'utf8');
	for (const [, command] of page.matchAll(/`carawayhoist ([a-z]+)/gv)) {
		assert.match(stdout, new RegExp(String.raw`carawayhoist ${command}\b`, 'v'));
	}
});

test('docs/operate/METRICS.md lists exactly the metrics that src/entry/metrics.ts defines', async () => {
	const source = await readFile(path.join(ROOT, 'src/entry/metrics.ts'), 'utf8');
	const page = await readFile(path.join(ROOT, 'docs/operate/METRICS.md'), 'utf8');
	const listMetrics = (text: string) => [...new Set([...text.matchAll(/carawayhoist_[a-z_]+/gv)].map(([name]) => name))].toSorted();
	assert.deepEqual(listMetrics(page), listMetrics(source));
});

async function listPages(): Promise<string[]> {
	const docs = await readdir(path.join(ROOT, 'docs'), {recursive: true});
	return ['README.md', 'CONTRIBUTING.md', ...docs.filter(name => name.endsWith('.md')).map(name => `docs/${name}`)];
}
