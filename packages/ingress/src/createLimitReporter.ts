import { LogLimit, MetricName } from '@sardinegrade/common';

import type { Logger, Metrics } from '@sardinegrade/common';
import type { LimitListener } from './types.js';

/** Name of clients whose workspace is not known. */
const UNKNOWN_OWNER = 'unknown';

/** Where limits that clients exceed are reported. */
export interface LimitReports {
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Reads a monotonic clock, in milliseconds. */
  readonly getNowMs: () => number;
}

/**
 * Creates the listener that counts the limits that clients exceed, and logs each at most once a minute and workspace.
 *
 * @param reports - log, metrics and clock
 * @returns the listener
 */
export const createLimitReporter = ({ logger, metrics, getNowMs }: LimitReports): LimitListener => {
  const lines = new LogLimit(getNowMs);
  return (limit, owner = UNKNOWN_OWNER) => {
    metrics.addCount(MetricName.ClientLimits, { limit });
    metrics.addCount(MetricName.WorkspaceLimits, { workspace: owner });
    const count = lines.record(`${limit} ${owner}`);
    if (count === undefined) return;
    logger.warn('clients exceed a limit of this process', {
      workspace: owner,
      count,
      inputs: { limit },
    });
  };
};
