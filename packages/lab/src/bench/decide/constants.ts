import { Tier, toBranded } from '@sardinegrade/common';

import type { ClassConfiguration, ClassName } from '@sardinegrade/common';

/** The classes of the benchmark: all four tiers, with short queries and long reports in the paying tier. */
export const BENCH_CLASSES: readonly Partial<ClassConfiguration>[] = [
  { name: toBranded<ClassName>('urgent'), tier: Tier.Premium },
  { name: toBranded<ClassName>('query'), tier: Tier.Paying },
  { name: toBranded<ClassName>('report'), tier: Tier.Paying, priority: 1 },
  { name: toBranded<ClassName>('trial'), tier: Tier.Trial, minimumShare: 0.05 },
  { name: toBranded<ClassName>('history'), tier: Tier.Free, minimumShare: 0.05 },
].map((definition) => ({ ...definition, queueLimit: 100_000 }));

/** Number of workspaces that send requests. */
export const WORKSPACES = 360;
