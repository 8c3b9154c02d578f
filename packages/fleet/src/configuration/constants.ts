import { FencingSupport } from '@sardinegrade/common';

/** Maximum size of a configuration text; the platform stores values of up to one megabyte. */
export const TEXT_LIMIT_BYTES = 512 * 1024;
export const NAME_LENGTH_LIMIT = 64;
export const SERVICE_LIMIT = 256;
export const CLASSES_PER_SERVICE_LIMIT = 32;
export const DEPENDENCIES_PER_SERVICE_LIMIT = 32;
export const WORKSPACE_LIMIT = 4096;
export const KEYS_PER_WORKSPACE_LIMIT = 16;
export const UPSTREAM_LIMIT = 4096;
export const POOL_LIMIT = 256;
export const MODELS_PER_POOL_LIMIT = 64;
export const SLOTS_PER_UPSTREAM_LIMIT = 4096;

/** Pattern of the names of services, classes, workspaces, pools, upstreams and data centres. */
export const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9_-]*$/;

/** Defaults of optional keys, in the format of the configuration text; listed in docs/CONFIGURATION.md. */
export const DEFAULTS = {
  service: {
    repeatable: 'GET, HEAD',
    upstream_deduplicates: 'false',
    order_retention: '7d',
    retry_share: '0.1',
    attempts: '3',
  },
  class: {
    priority: '0',
    first_token_target: '1200ms',
    token_interval_target: '78ms',
    deadline: '120s',
    minimum_share: '0',
    queue_limit: '1000',
  },
  workspace: { weight: '1' },
  upstream: { slots: '8', fencing: FencingSupport.Ignored, draining: 'false' },
  pool: { copies: '0' },
} as const;
