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

test('a request matches the route with the longest prefix of its host, ignoring the case of the host and the query', () => {
	const table = createTable([ROUTE, {...ROUTE, name: 'r2', 'path-prefix': '/x/y/'}, {...ROUTE, name: 'r3', host: 'b.example'}]);
	assert.equal(table.match('A.example:8080', '/x/y/1?p=/x/')?.name, 'r2');
	assert.equal(table.match('a.example', '/x/yy')?.name, 'r1');
	assert.equal(table.match('b.example', '/x/1')?.name, 'r3');
	assert.equal(table.match('a.example', '/z/?q=/x/'), undefined);
	assert.equal(table.match('c.example', '/x/1'), undefined);
});

test('a service of a split is chosen by weight', () => {
	const table = createTable([{
		...ROUTE, service: undefined, split: [{service: 'svc', weight: 90}, {service: 'other', weight: 10}],
	}], [SERVICE, {...SERVICE, name: 'other'}]);
	const rule = table.match('a.example', '/x/')!;
	const random = createRandom(3);
	const chosen = Array.from({length: 1000}, () => chooseService(rule, random));
	const others = chosen.filter(service => service === 'other').length;
	assert.ok(others > 60 && others < 140, `${others} of 1000`);
});

test('invalid configurations are rejected', () => {
	const invalid: Record<string, string> = {
		truncated: JSON.stringify({version: 1, routes: [ROUTE], services: [SERVICE]}).slice(0, -5),
		'unknown service': serialize({routes: [{...ROUTE, service: 'none'}]}),
		'two routes with the same host and prefix': serialize({routes: [ROUTE, {...ROUTE, name: 'r2', host: 'A.EXAMPLE'}]}),
		'no weight': serialize({routes: [{...ROUTE, service: undefined, split: [{service: 'svc', weight: 0}]}]}),
		'no timeout': serialize({routes: [{...ROUTE, 'timeout-ms': 0}]}),
		'no version': serialize({version: undefined}),
		'no routes': serialize({routes: undefined}),
		'a list instead of an object': '[]',
		'unknown type': serialize({routes: [{...ROUTE, type: 'other'}]}),
	};
	for (const [name, text] of Object.entries(invalid)) {
		assert.ok(Either.isLeft(decodeRoutingConfig(text)), name);
	}

	assert.ok(Either.isRight(decodeRoutingConfig(serialize({}))));
});

function serialize(fields: Record<string, unknown>): string {
	return JSON.stringify({
		version: 1, routes: [ROUTE], services: [SERVICE], ...fields,
	});
}

function createTable(routes: unknown[], services: unknown[] = [SERVICE]): RouteTable {
	const catalogue = decodeRoutingConfig(JSON.stringify({version: 1, routes, services}));
	assert.ok(Either.isRight(catalogue));
	return new RouteTable(catalogue.right);
}
