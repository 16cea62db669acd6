/** Bundles the program that runs on the platform into one file, so that a restart reads one file and no more. */
import {build} from 'esbuild';

await build({
	entryPoints: ['platform/main.ts'],
	outfile: 'target/carawayhoist-platform.cjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minifyWhitespace: true,
	minifySyntax: true,
	legalComments: 'none',
	logLevel: 'warning',
	// The native decoder would be one more file to load; messages are small.
	define: {'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"'},
	external: ['cbor-extract'],
});
