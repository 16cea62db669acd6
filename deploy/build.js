/** Bundles the program for the platform into a single file, so that a restart reads only that file and its compiled code. */
import {copyFile} from 'node:fs/promises';
import {build} from 'esbuild';

await build({
	entryPoints: ['platform/main.ts'],
	outfile: 'target/carawayhoist-bundle.cjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minifyWhitespace: true,
	minifySyntax: true,
	legalComments: 'none',
	logLevel: 'warning',
	// The native CBOR decoder would be a second file to load at startup, and messages are small enough without it.
	define: {'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"'},
	external: ['cbor-extract'],
	alias: {undici: './deploy/undici.js', 'prom-client': './deploy/prometheus.js', 'node:http2': './deploy/http2.js'},
});
await copyFile('deploy/start.cjs', 'target/carawayhoist-platform.cjs');
