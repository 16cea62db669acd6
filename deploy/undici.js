/** The parts of undici that the connection pools use; the others would only be compiled at each start. */
export {default as Client} from '../node_modules/undici/lib/dispatcher/client.js';
export {default as Pool} from '../node_modules/undici/lib/dispatcher/pool.js';
