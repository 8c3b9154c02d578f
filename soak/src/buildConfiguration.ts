import { formatKey } from './SoakCaller.js';
import { RequestKind } from './SoakLedger.js';
import { ROUTE_TIMEOUT_MS } from './timeLimits.js';

/** Requests that a worker runs at the same time. */
export const WORKER_SLOTS = 6;

/** Capacity of the workers as engines. */
const ENGINE = { slots: WORKER_SLOTS, kv_capacity: 600_000 };

/**
 * Builds the configuration of the soak.
 *
 * @param service - the service that all routes lead to
 * @param version - version of the configuration, which introduces a key
 * @returns the configuration as the store holds it
 */
export const buildConfiguration = (service: string, version: number): object => {
  const routes = Object.values(RequestKind).map((kind) => ({
    name: kind,
    host: 'soak.example',
    path_prefix: `/${kind}/`,
    kind: kind.startsWith('stream') ? 'streaming' : kind,
    timeout_ms: ROUTE_TIMEOUT_MS,
    target_latency_ms: 100,
    priority: 1,
    service,
    max_attempts: kind === RequestKind.Safe || kind === RequestKind.Resumable ? 2 : 1,
    public: false,
    resumable: kind === RequestKind.Resumable,
    gap_aim_ms: 200,
  }));
  return {
    version,
    routes,
    services: [{ name: service, max_conns: 400, engine: ENGINE }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 65_536,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [
      {
        name: 'rig-desk',
        api_keys: [0, version, version - 1].map(formatKey),
        priority: 1,
      },
    ],
  };
};
