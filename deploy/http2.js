/** Stands for Node's HTTP/2 module, which undici loads at each start, though servers are only spoken to with HTTP/1.1. */
export const constants = {};
