/** Small clients and helpers of the stand-ins. */
import http from 'node:http';
import net from 'node:net';

/** Finds a port that is free on a loopback address. */
export async function findFreePort(address) {
	return new Promise((resolve, reject) => {
		const server = net.createServer();
		server.once('error', reject);
		server.listen({host: address, port: 0}, () => {
			const {port} = server.address();
			server.close(() => {
				resolve(port);
			});
		});
	});
}

/** Sends one request on a connection of its own. The status is 0 if there is no complete answer in time. */
export async function fetchText(url, {
	method = 'GET', headers = {}, body, timeoutMs = 1000,
} = {}) {
	return new Promise(resolve => {
		const request = http.request(url, {
			method, headers, agent: false, timeout: timeoutMs,
		});
		const fail = () => {
			request.destroy();
			resolve({status: 0, headers: {}, text: ''});
		};

		const timer = setTimeout(fail, timeoutMs);
		request.once('error', fail);
		request.once('response', response => {
			let text = '';
			response.setEncoding('utf8');
			response.on('data', chunk => {
				text += chunk;
			});
			response.once('error', fail);
			response.once('end', () => {
				clearTimeout(timer);
				resolve({status: response.statusCode, headers: response.headers, text});
			});
		});
		request.end(body);
	});
}
