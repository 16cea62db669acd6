import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {test} from 'node:test';
import {promisify} from 'node:util';

const ROOT = path.resolve(import.meta.dirname, '../..');
const execute = promisify(execFile);

test('links between the pages lead somewhere', async () => {
	for (const page of await listPages()) {
		const text = await readFile(path.join(ROOT, page), 'utf8');
		for (const [, target] of text.matchAll(/\]\((?!http)([^\)#]+)\)/gv)) {
			const file = path.join(ROOT, path.dirname(page), target!);
			await assert.doesNotReject(readFile(file).catch(async () => readdir(file)), `${page}: ${target}`);
		}
	}
});

test('scripts that the pages name exist', async () => {
	const {scripts} = JSON.parse(await readFile(path.join(ROOT, 'package.json'), 'utf8')) as {scripts: Record<string, string>};
	for (const page of await listPages()) {
		const text = await readFile(path.join(ROOT, page), 'utf8');
		for (const [, name] of text.matchAll(/npm run ([a-z:]+)/gv)) {
			assert.ok(name! in scripts, `${page}: npm run ${name}`);
		}
	}
});

test('short commands that the pages quote run as written', async () => {
	const readme = await readFile(path.join(ROOT, 'README.md'), 'utf8');
	for (const line of ['node dist/src/daemon/carawayhoistd.js --check examples/one-machine/host-1.json', 'node dist/src/tool/carawayhoist.js --help']) {
		assert.ok(readme.includes(line));
		const [, ...commandLine] = line.split(' ');
		await execute(process.execPath, commandLine, {cwd: ROOT});
	}
});

test('every command of the tool that the pages name is in its help', async () => {
	const {stdout} = await execute(process.execPath, ['dist/src/tool/carawayhoist.js', '--help'], {cwd: ROOT});
	const daily = await readFile(path.join(ROOT, 'docs/operate/DAILY.md'), 'utf8');
	for (const [, command] of daily.matchAll(/`carawayhoist ([a-z]+)/gv)) {
		assert.match(stdout, new RegExp(String.raw`carawayhoist ${command}\b`, 'v'));
	}
});

test('every metric of the page is exported, and every exported one is on the page', async () => {
	const source = await readFile(path.join(ROOT, 'src/entry/metrics.ts'), 'utf8');
	const page = await readFile(path.join(ROOT, 'docs/operate/METRICS.md'), 'utf8');
	const collect = (text: string) => [...new Set([...text.matchAll(/carawayhoist_[a-z_]+/gv)].map(([name]) => name))].toSorted();
	assert.deepEqual(collect(page), collect(source));
});

async function listPages(): Promise<string[]> {
	const docs = await readdir(path.join(ROOT, 'docs'), {recursive: true});
	return ['README.md', 'CONTRIBUTING.md', ...docs.filter(name => name.endsWith('.md')).map(name => `docs/${name}`)];
}
