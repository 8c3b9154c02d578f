import { AdministratorRole, ResultCode } from '@sardinegrade/common';

import { PROMETHEUS_TYPE } from '../constants.js';
import { ApiError } from '../errors.js';

import type { Route } from '../http/types.js';

/** Routes for the health checks of the platform's load balancer, and for metrics. */
export const HEALTH_ROUTES: readonly Route[] = [
  {
    method: 'GET',
    path: '/livez',
    summary: 'Answers while the process runs its loop.',
    role: undefined,
    replyType: 'text/plain',
    handle: () => ({ body: 'ok\n' }),
  },
  {
    method: 'GET',
    path: '/readyz',
    summary: "Answers 200 while the VM takes callers' requests.",
    role: undefined,
    replyType: 'text/plain',
    codes: [ResultCode.NotReady],
    handle: (context) => {
      if (context.isReady()) return { body: 'ready\n' };
      throw new ApiError(ResultCode.NotReady, "This VM does not take callers' requests.");
    },
  },
  {
    method: 'GET',
    path: '/metrics',
    summary: 'Metrics in Prometheus text; docs/METRICS.md lists them.',
    role: AdministratorRole.Read,
    replyType: 'text/plain',
    handle: (context) => ({
      headers: { 'content-type': PROMETHEUS_TYPE },
      body: context.metrics.renderPrometheus(),
    }),
  },
];
