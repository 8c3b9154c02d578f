import { MetricName } from '@sardinegrade/common';

import type { GaugeSample, Metrics } from '@sardinegrade/common';
import type { AdministrationContext } from '../administration/index.js';

const countBy = (keys: Iterable<string>): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>();
  for (const key of keys) counts.set(key, (counts.get(key) ?? 0) + 1);
  return counts;
};

const listUpstreams = (context: AdministrationContext): readonly GaugeSample[] => {
  const upstreams = context.fleet.getConfiguration()?.upstreams;
  const states = context.listUpstreamStates();
  const keys = states.map(
    ({ upstream, health }) => `${upstreams?.get(upstream)?.pool ?? ''}/${health}`,
  );
  return [...countBy(keys)].map(([key, value]) => {
    const [pool = '', health = ''] = key.split('/');
    return { labels: { pool, health }, value };
  });
};

/**
 * Registers gauges for the generation, members, queues and upstreams of this daemon.
 *
 * @param metrics - registry of the gauges
 * @param context - state that is read on every scrape
 */
export const registerGauges = (metrics: Metrics, context: AdministrationContext): void => {
  const { fleet } = context;
  metrics.registerGauge(MetricName.Generation, () => [
    { labels: {}, value: fleet.getConfigurationStatus().generation },
  ]);
  metrics.registerGauge(MetricName.Members, () =>
    [...countBy(fleet.getMembers().map(({ state }) => state))].map(([state, value]) => ({
      labels: { state },
      value,
    })),
  );
  metrics.registerGauge(MetricName.Queued, () =>
    context.listQueues().map(({ service, className, queued }) => ({
      labels: { service, class: className },
      value: queued,
    })),
  );
  metrics.registerGauge(MetricName.Upstreams, () => listUpstreams(context));
};
