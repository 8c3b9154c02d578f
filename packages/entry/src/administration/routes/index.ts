/** Route table of the administration API. */
import { CONFIGURATION_ROUTES } from './configuration.js';
import { DRAIN_ROUTES } from './drains.js';
import { HEALTH_ROUTES } from './health.js';
import { ORDER_ROUTES } from './orders.js';
import { REQUEST_ROUTES } from './requests.js';
import { STATUS_ROUTES } from './status.js';

import type { Route } from '../http/types.js';

/** Every route of the API, in matching order. */
export const ROUTES: readonly Route[] = [
  ...HEALTH_ROUTES,
  ...STATUS_ROUTES,
  ...CONFIGURATION_ROUTES,
  ...DRAIN_ROUTES,
  ...ORDER_ROUTES,
  ...REQUEST_ROUTES,
];
