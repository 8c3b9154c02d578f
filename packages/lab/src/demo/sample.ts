import { hashKey } from '@sardinegrade/fleet';

import { formatIni } from '../harness/index.js';

import type { IniSections } from '../harness/index.js';

/** API keys of the sample workspaces and administrator. They are not secret and are valid only in the demonstration. */
export const SAMPLE_KEYS = {
  counter: 'demo-key-rig-desk',
  history: 'demo-key-history',
  administrator: 'demo-key-administrator',
} as const;

/** Addresses of the sample's upstreams. */
export interface SampleAddresses {
  readonly engines: readonly string[];
  readonly service: string;
}

const buildEngines = (addresses: readonly string[]): IniSections =>
  Object.fromEntries(
    addresses.map((address, index) => [
      `upstream.engine-${index + 1}`,
      { pool: 'engines', data_centre: 'hobart', address, slots: 4, fencing: 'checked' },
    ]),
  );

/**
 * Builds the sample configuration: a model service with a paying and a free class, and a booking service.
 *
 * @param addresses - base addresses of the upstreams
 * @returns the configuration as an INI text
 */
export const buildSampleText = ({ engines, service }: SampleAddresses): string =>
  formatIni({
    'service.counter': {
      kind: 'model',
      model: 'drill-7b',
      pool: 'engines',
      depends: ['booking'],
      default_class: 'query',
    },
    'service.counter.class.query': {
      tier: 'paying',
      first_token_target: '1200ms',
      token_interval_target: '78ms',
      minimum_share: 0.5,
      workspaces: ['rig-desk'],
    },
    'service.counter.class.reconciliation': {
      tier: 'free',
      first_token_target: '30s',
      token_interval_target: '500ms',
      minimum_share: 0.1,
      deadline: '10m',
    },
    'service.booking': { kind: 'plain', pool: 'desk', repeatable: 'GET, HEAD' },
    'service.booking.class.book': { tier: 'paying' },
    'workspace.rig-desk': { key_sha256: [hashKey(SAMPLE_KEYS.counter)] },
    'workspace.history': { key_sha256: [hashKey(SAMPLE_KEYS.history)] },
    ...buildEngines(engines),
    'upstream.desk-1': { pool: 'desk', data_centre: 'hobart', address: service, slots: 16 },
    'pool.engines': { models: ['drill-7b'] },
  });
