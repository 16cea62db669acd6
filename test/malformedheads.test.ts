import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {Registry} from 'prom-client';
import {findPort} from '../dev/ports.js';
import {createClock} from '../src/base/clock.js';
import {createSilentLoggers} from '../src/base/logger.js';
import {createServingMetrics} from '../src/serving/metrics.js';
import {RelayClient} from '../src/serving/relayclient.js';
import {Listener} from '../src/wire/connection.js';
import {formatRequest, sendRaw} from './rawclient.js';
import {READERS, startServer} from './readers.js';
import {startRelaySystem} from './relaysystem.js';

const PROMPT = {'carawayhoist-model': 'm', 'carawayhoist-token-counts': '30,80', 'carawayhoist-prompt-prefix': 'aa:10,bb:20'};
/** Lines behind the malformed ones and the body, by how the end of the body is marked. */
const FRAMINGS = ['content-length: 2\r\n\r\n{}', 'transfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n', 'connection: close\r\n\r\n{}'] as const;
const INVALID_STATUSES = ['000', '099', '600', '999', '0', '20', '2000', '-200', '2e2', '0x0'];
const INVALID_LINES = [
	'foo bar: 1', 'foo\tbar: 1', 'foo\u0001: 1', 'foo\u0000: 1', 'foo\u007F: 1', 'foo\rbar: 1', ': 1', 'foo : 1', 'content-length : 1', 'transfer-encoding : chunked', 'no colon', 'foo: b\u0001r', 'foo: b\u0000r',
];
const CUT_MS = 3;

/** Starts of heads, by what is wrong with them. */
const MALFORMED = {
	'a status that HTTP does not know': INVALID_STATUSES.map(status => `HTTP/1.1 ${status} Status\r\n`),
	'a header line that HTTP does not allow': INVALID_LINES.map(line => `HTTP/1.1 503 Service Unavailable\r\n${line}\r\n`),
};

// Guards against answers with a status such as 000 or 999, since parsers let any three digits pass, and against field names that hold blanks
// or control characters.
for (const [name, createReader] of Object.entries(READERS)) {
	for (const [fault, starts] of Object.entries(MALFORMED)) {
		test(`a head with ${fault} is no response, whole or cut, on new and used connections (${name})`, async t => {
			let response = '';
			let cutAt: number | undefined;
			const server = await startServer(t, (socket, id) => {
				if (id.startsWith('sound')) {
					socket.write(`HTTP/1.1 503 Service Unavailable\r\nx-request-id: ${id}\r\ncontent-length: 2\r\n\r\n{}`);
					return;
				}

				const bytes = Buffer.from(response, 'latin1');
				socket.write(bytes.subarray(0, cutAt));
				setTimeout(() => {
					socket.end(bytes.subarray(cutAt ?? bytes.length));
				}, CUT_MS);
			});
			const responses = FRAMINGS.flatMap(framing => starts.map(start => `${start}x-request-id: bad\r\n${framing}`));
			for (const [index, malformed] of responses.entries()) {
				response = malformed;
				// Each response is cut at another place.
				for (const cut of [undefined, 1 + (index % (malformed.length - 1))]) {
					cutAt = cut;
					for (const isUsed of [false, true]) {
						const reader = createReader();
						if (isUsed) {
							assert.ok(await reader.send(server, 'sound'));
						}

						assert.equal(await reader.send(server, 'bad'), false, `${JSON.stringify(malformed)}, cut at ${cut}, ${isUsed ? 'used' : 'new'} connection`);
						await reader.close();
					}
				}
			}
		});
	}
}

// Guards against the same answers to callers of every kind of route; the host behind a relay trusts what the relay has read.
test('a malformed head is no success for callers, by the host itself and through a relay', async t => {
	let isMalformed = false;
	let lines = '';
	const {system, cutSecond} = await startRelaySystem(t, (request, response) => {
		if (!isMalformed) {
			return false;
		}

		const id = String(request.headers['carawayhoist-attempt-id']);
		response.socket?.end(`HTTP/1.1 ${lines}\r\ncarawayhoist-attempt-id: ${id}\r\ncontent-type: text/event-stream\r\ncontent-length: 15\r\n\r\nid: 1\ndata: a\n\n`);
		return true;
	});
	let count = 0;
	const assertNoAnswer = async (index: number) => {
		isMalformed = true;
		const {address, port} = system.callerAddresses[index]!;
		for (lines of ['000 x', '099 x', '600 x', '999 x', '200 OK\r\nfoo bar: 1', '200 OK\r\nfoo\u0001: 1']) {
			for (const [path, headers, body] of [['/read/1', {}, undefined], ['/book/1', {}, 'seat'], ['/tell/1', PROMPT, 'prompt'], ['/ask/1', PROMPT, 'prompt']] as const) {
				await system.announceServers();
				const {status, head} = await sendRaw({host: address, port}, formatRequest(path, {'carawayhoist-attempt-id': `m-${++count}`, ...headers}, {...(body !== undefined && {body})}));
				assert.ok(status === 502 || status === 503, `${path}, ${JSON.stringify(lines)}: ${head}`);
			}
		}

		isMalformed = false;
	};

	await assertNoAnswer(0);
	await cutSecond();
	await assertNoAnswer(1);
});

// Guards against a status that a relay of an older version passes on.
test('a relayed response with a status that HTTP does not know is broken', async t => {
	const address = {address: '127.0.0.1', port: await findPort()};
	const listener = new Listener((message, connection) => {
		if (message.type === 'relayRequest') {
			const {id} = message;
			connection.send({type: 'relayAccepted', id});
			connection.send({
				type: 'relayHead', id, status: 999, headers: [],
			});
			connection.send({type: 'relayEnd', id});
		}
	});
	await listener.listen(address);
	const client = new RelayClient({clock: createClock(), logger: createSilentLoggers()('routing'), metrics: createServingMetrics(new Registry())});
	t.after(() => {
		client.close();
		listener.close();
	});
	client.update([address]);
	const failure = await new Promise(resolve => {
		client.send({
			server: 's1', service: 'plain', request: 'id-1', echoId: 'id-1', address, method: 'GET', path: '/', headers: [], body: null, maxConnections: 1,
		}, {
			onHead: resolve, onData: resolve, onEnd() {
				resolve('end');
			}, onFailure: resolve,
		});
	});
	assert.equal(failure, 'broken');
});
