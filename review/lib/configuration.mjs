// Configurations as the operator sends them.
export const HOST = 'orders.example';
export const KEY = 'k3y0000000000001';

export function buildConfiguration(
  version,
  {extraRoutes = 0, timeoutMs = 5_000, kinds = ['safe', 'unsafe']} = {},
) {
  const route = (name, kind, prefix) => ({
    name,
    hostname: HOST,
    path_prefix: prefix,
    route_kind: kind,
    timeout_ms: timeoutMs,
    target_latency_ms: 1_000,
    priority: 1,
    service: 'app',
    max_attempts: 2,
    public: false,
    sticky: false,
    resumable: false,
  });
  return {
    version,
    routes: [
      ...kinds.map(kind => route(kind, kind, `/${kind}/`)),
      ...Array.from({length: extraRoutes}, (unused, i) =>
        route(`r-${version}-${i}`, 'safe', `/shop${i}/`),
      ),
    ],
    services: [
      {
        name: 'app',
        health_path: '/healthz',
        max_connections: 100,
        protocol: 'h1',
        tls: false,
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{name: 'tenant-1', api_keys: [KEY], priority: 1}],
  };
}
