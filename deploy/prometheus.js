/** The parts of prom-client that the program uses; the others would load Node's HTTPS client and cluster modules at each start. */
export {default as Registry} from '../node_modules/prom-client/lib/registry.js';
export {default as Counter} from '../node_modules/prom-client/lib/counter.js';
export {default as Gauge} from '../node_modules/prom-client/lib/gauge.js';
export {default as Histogram} from '../node_modules/prom-client/lib/histogram.js';
