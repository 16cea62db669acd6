import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import {decodeRoutingConfig} from '../platform/routes.js';
import {createRandom} from '../src/base/random.js';
import {chooseService, RouteTable} from '../src/routing/routes.js';

const SERVICE = {name: 'svc', 'health-path': '/health', 'max-conns': 200};
const ROUTE = {
	name: 'r1', host: 'a.example', 'path-prefix': '/x/', type: 'safe', 'timeout-ms': 800, 'slo-ms': 100, priority: 2, service: 'svc', 'max-attempts': 2,
};

test('the longest prefix of a host wins, whatever the case of the host and the query', () => {
	const table = createTable([ROUTE, {...ROUTE, name: 'r2', 'path-prefix': '/x/y/'}, {...ROUTE, name: 'r3', host: 'b.example'}]);
	assert.equal(table.match('A.example:8080', '/x/y/1?p=/x/')?.name, 'r2');
	assert.equal(table.match('a.example', '/x/yy')?.name, 'r1');
	assert.equal(table.match('b.example', '/x/1')?.name, 'r3');
	assert.equal(table.match('a.example', '/z/?q=/x/'), undefined);
	assert.equal(table.match('c.example', '/x/1'), undefined);
});

test('a split is chosen by weight', () => {
	const table = createTable([{
		...ROUTE, service: undefined, split: [{service: 'svc', weight: 90}, {service: 'other', weight: 10}],
	}], [SERVICE, {...SERVICE, name: 'other'}]);
	const rule = table.match('a.example', '/x/')!;
	const random = createRandom(3);
	const chosen = Array.from({length: 1000}, () => chooseService(rule, random));
	const others = chosen.filter(service => service === 'other').length;
	assert.ok(others > 60 && others < 140, `${others} of 1000`);
});

test('what is invalid is refused', () => {
	const faults: Record<string, string> = {
		cut: JSON.stringify({version: 1, routes: [ROUTE], services: [SERVICE]}).slice(0, -5),
		'unknown service': write({routes: [{...ROUTE, service: 'none'}]}),
		'same place': write({routes: [ROUTE, {...ROUTE, name: 'r2', host: 'A.EXAMPLE'}]}),
		'no weight': write({routes: [{...ROUTE, service: undefined, split: [{service: 'svc', weight: 0}]}]}),
		'no time-out': write({routes: [{...ROUTE, 'timeout-ms': 0}]}),
		'no version': write({version: undefined}),
		'no routes': write({routes: undefined}),
		'a list': '[]',
		'unknown kind': write({routes: [{...ROUTE, type: 'other'}]}),
	};
	for (const [name, text] of Object.entries(faults)) {
		assert.ok(Either.isLeft(decodeRoutingConfig(text)), name);
	}

	assert.ok(Either.isRight(decodeRoutingConfig(write({}))));
});

function write(fields: Record<string, unknown>): string {
	return JSON.stringify({
		version: 1, routes: [ROUTE], services: [SERVICE], ...fields,
	});
}

function createTable(routes: unknown[], services: unknown[] = [SERVICE]): RouteTable {
	const catalogue = decodeRoutingConfig(JSON.stringify({version: 1, routes, services}));
	assert.ok(Either.isRight(catalogue));
	return new RouteTable(catalogue.right);
}
