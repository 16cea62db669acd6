/** A configuration of the kind that the operators of the deployment send: one route of each type. */
export const HOST = 'signal.example';

export function createConfiguration(version, {streamTimeoutMs = 6000} = {}) {
	const common = {host: HOST, 'slo-ms': 500, priority: 1};
	return {
		version,
		routes: [
			{
				...common, name: 'read', 'path-prefix': '/read/', type: 'safe', 'timeout-ms': 1500, service: 'ops', 'max-attempts': 2,
			},
			{
				...common, name: 'insert', 'path-prefix': '/insert/', type: 'unsafe', 'timeout-ms': 1500, service: 'ops', 'max-attempts': 1,
			},
			{
				...common, name: 'note', 'path-prefix': '/note/', type: 'streaming', 'timeout-ms': streamTimeoutMs, service: 'lm', 'max-attempts': 2, sticky: true, resumable: true, 'itl-target-ms': 300,
			},
		],
		services: [
			{
				name: 'ops', 'health-path': '/health', 'max-conns': 214, protocol: 'h1', tls: false,
			},
			{
				name: 'lm',
				'health-path': '/health',
				'max-conns': 643,
				protocol: 'h1',
				tls: false,
				engine: {
					slots: 48, 'kv-capacity': 444_000, 'kv-bytes': 131_072, 'link-mbps': 1_500_000, moves: true, backups: true, stride: 10, most: 12, 'handle-ttl-s': 5, 'switch-s': 3, 'pin-ms': 4000, 'hold-ms': 2000, models: [{name: 'm'}],
				},
			},
		],
		limits: {
			'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
		},
	};
}
