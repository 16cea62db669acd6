/**
 * Runs one fake backend server as a separate process. Prints its name and port as one JSON line when it accepts requests.
 *
 * @example
 * ```sh
 * node dist/fakes/main.js --kind engine --name e1 --entry http://127.0.0.1:8080
 * ```
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {FakeEngine} from './engine.js';
import {FakePlainServer} from './plain.js';

const {values} = parseArgs({
	options: {
		kind: {type: 'string', default: 'engine'},
		name: {type: 'string', default: 'e1'},
		port: {type: 'string', default: '0'},
		entry: {type: 'string', multiple: true, default: []},
		'data-centre': {type: 'string'},
		step: {type: 'string'},
		'prefill-rate': {type: 'string'},
		work: {type: 'string'},
		role: {type: 'string'},
		'no-fence': {type: 'boolean', default: false},
	},
});

const common = {
	name: values.name, port: Number(values.port), entries: values.entry, dataCentre: values['data-centre'],
};
const backend = values.kind === 'engine'
	? new FakeEngine({
		...common,
		checksFence: !values['no-fence'],
		stepMs: values.step === undefined ? undefined : Number(values.step),
		prefillTokensPerMs: values['prefill-rate'] === undefined ? undefined : Number(values['prefill-rate']),
		role: values.role as 'prefill' | 'decode' | 'mixed' | undefined,
	})
	: new FakePlainServer({...common, processingMs: values.work === undefined ? undefined : Number(values.work)});
const port = await backend.start();
process.stdout.write(`${JSON.stringify({name: values.name, port})}\n`);
process.on('SIGTERM', () => {
	backend.announceLeaving();
	setTimeout(() => {
		backend.stop();
		process.exit(0);
	}, 200);
});
