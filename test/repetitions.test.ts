import assert from 'node:assert/strict';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {test} from 'node:test';
import fc from 'fast-check';
import {publishAttempts} from './attempts.js';
import {startSystem} from './system.js';

const SEED = 34;
const PROMISES = new Set([408, 421, 429, 503]);

/** What a server does with a request, after it may have written an earlier response of the connection again. */
type Behaviour = {
	readonly action: 'run' | 'fail' | 'break' | 'refuse' | 'refuseWithoutId' | 'refuseAsWrongServer';
	/** Selects one of the earlier responses of the connection. */
	readonly repeated: number | undefined;
};

/** One call, and what the servers do with each send of it. */
type Step = {
	readonly path: '/book/1' | '/read/1';
	/** Several calls use the same ID. */
	readonly id: number;
	readonly behaviours: readonly Behaviour[];
};

// A server that repeats earlier responses must not make a request that ran look as if it had not, or run it a second time.
test('whatever earlier responses servers repeat, a booking runs once at most, none that ran is reported as not run, and each success is the caller\'s own', async t => {
	const behaviours = new Map<string, Behaviour[]>();
	const runs = new Map<string, number>();
	const written = new Map<Socket, string[]>();
	const intercept = (request: IncomingMessage, response: ServerResponse) => {
		const call = String(request.headers['x-call']);
		const behaviour = behaviours.get(call)?.shift();
		if (behaviour) {
			const {action, repeated} = behaviour;
			if (action === 'run' || action === 'fail' || action === 'break') {
				runs.set(call, (runs.get(call) ?? 0) + 1);
			}

			const earlier = written.get(request.socket) ?? [];
			written.set(request.socket, earlier);
			if (repeated !== undefined && earlier.length > 0) {
				request.socket.write(earlier[repeated % earlier.length]!);
			}

			respond(action, request, response, earlier);
		}

		return behaviour !== undefined;
	};

	const system = await startSystem(t, ['p1', 'p2'].map(id => ({id, service: 'plain', intercept})));
	await publishAttempts(system, 2);
	let caseCount = 0;
	const counts = {promised: 0, ran: 0};
	const perform = async ({path, behaviours: planned}: Step, call: string, id: string) => {
		behaviours.set(call, [...planned]);
		const {status, text} = await system.call(path, {'x-call': call, 'carawayhoist-attempt-id': id}, 'body');
		return {
			path, call, status, text,
		};
	};

	await fc.assert(fc.asyncProperty(fc.array(fc.array(createStep(), {minLength: 1, maxLength: 3}), {minLength: 1, maxLength: 6}), async batches => {
		const name = `case-${++caseCount}`;
		behaviours.clear();
		runs.clear();
		await system.announceServers();
		const outcomes: Array<Awaited<ReturnType<typeof perform>>> = [];
		for (const [index, batch] of batches.entries()) {
			outcomes.push(...await Promise.all(batch.map(async (step, place) => perform(step, `${name}-${index}-${place}`, `${name}-id-${step.id}`))));
		}

		for (const {path, call, status, text} of outcomes) {
			const count = runs.get(call) ?? 0;
			counts.promised += PROMISES.has(status) ? 1 : 0;
			counts.ran += count;
			assert.ok(path !== '/book/1' || count <= 1, `call ${call} ran ${count} times`);
			assert.ok(path !== '/book/1' || !PROMISES.has(status) || count === 0, `call ${call} ran and was answered ${status}`);
			assert.ok(status !== 200 || text === `ran ${call}`, `call ${call} was answered "${text}"`);
		}
	}), {seed: SEED, numRuns: 60, endOnFailure: true});
	assert.ok(counts.promised > 0 && counts.ran > 0);
});

function createStep(): fc.Arbitrary<Step> {
	const behaviour = fc.record({
		action: fc.constantFrom('run', 'fail', 'break', 'refuse', 'refuse', 'refuseWithoutId', 'refuseAsWrongServer'),
		repeated: fc.option(fc.nat(20), {nil: undefined}),
	});
	return fc.record({
		path: fc.constantFrom('/book/1', '/book/1', '/read/1'),
		id: fc.nat(3),
		behaviours: fc.array(behaviour, {minLength: 4, maxLength: 4}),
	});
}

/** Responds to a request as its behaviour says, and notes the response as one that may be repeated. */
function respond(action: Behaviour['action'], request: IncomingMessage, response: ServerResponse, earlier: string[]): void {
	if (action === 'break') {
		request.socket.resetAndDestroy();
		return;
	}

	const name = {'carawayhoist-attempt-id': String(request.headers['carawayhoist-attempt-id'])};
	const sign = {'carawayhoist-not-executed': '1'};
	const {status, headers, body} = {
		run: {status: 200, headers: name, body: `ran ${String(request.headers['x-call'])}`},
		fail: {status: 500, headers: name, body: 'failed'},
		refuse: {status: 503, headers: {...name, ...sign}, body: 'refused'},
		refuseWithoutId: {status: 503, headers: sign, body: 'refused'},
		refuseAsWrongServer: {status: 421, headers: {...name, ...sign}, body: 'refused'},
	}[action];
	const fields = Object.entries({...headers, 'content-length': String(body.length)});
	response.writeHead(status, Object.fromEntries(fields)).end(body);
	earlier.push(`HTTP/1.1 ${status} Repeated\r\n${fields.map(([field, value]) => `${field}: ${value}\r\n`).join('')}\r\n${body}`);
}
