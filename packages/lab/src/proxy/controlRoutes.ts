import { z } from 'zod';

import { readJson, sendJson } from '../standins/http/index.js';
import { Direction } from './types.js';

import type { Route, RoutedCall } from '../standins/http/index.js';
import type { DirectionFault, ProxyCounts, ProxyFaultChange } from './types.js';

/** Operations of a proxy that its control port uses. */
export interface ControlledProxy {
  readonly setFaults: (change: ProxyFaultChange) => void;
  readonly pauseExisting: (directions?: readonly Direction[]) => void;
  readonly cut: () => void;
  readonly reset: () => void;
  readonly getCounts: () => ProxyCounts;
}

const DIRECTION_SCHEMA = z
  .strictObject({
    muted: z.boolean().optional(),
    delay_ms: z.number().nonnegative().optional(),
    /** 0 means unlimited. */
    bytes_per_second: z.number().nonnegative().optional(),
  })
  .transform(({ muted, delay_ms: delayMs, bytes_per_second: rate }): Partial<DirectionFault> => ({
    ...(muted !== undefined && { isMuted: muted }),
    ...(delayMs !== undefined && { delayMs }),
    ...(rate !== undefined && { bytesPerSecond: rate === 0 ? Infinity : rate }),
  }));

const CONTROL_SCHEMA = z.strictObject({
  up: DIRECTION_SCHEMA.optional(),
  down: DIRECTION_SCHEMA.optional(),
  refuse_new: z.boolean().optional(),
  mute_existing: z.array(z.enum(Direction)).optional(),
  cut: z.boolean().optional(),
  reset: z.boolean().optional(),
});

const applyControl = (proxy: ControlledProxy, control: z.output<typeof CONTROL_SCHEMA>): void => {
  proxy.setFaults({
    ...(control.up !== undefined && { up: control.up }),
    ...(control.down !== undefined && { down: control.down }),
    ...(control.refuse_new !== undefined && { refusesNew: control.refuse_new }),
  });
  if (control.mute_existing !== undefined) proxy.pauseExisting(control.mute_existing);
  if (control.cut === true) proxy.cut();
  if (control.reset === true) proxy.reset();
};

const handleControl = async (proxy: ControlledProxy, call: RoutedCall): Promise<void> => {
  const control = CONTROL_SCHEMA.safeParse(await readJson(call.request));
  if (control.success) applyControl(proxy, control.data);
  const status = control.success ? 200 : 400;
  sendJson(call.response, status, { error: control.error?.message ?? null });
};

/**
 * Creates the routing table of a proxy's control port.
 *
 * @param proxy - the proxy to control
 * @returns routes that read the counters and change the faults
 */
export const createControlRoutes = (proxy: ControlledProxy): readonly Route[] => [
  {
    method: 'GET',
    pattern: /^\/control$/,
    handle: ({ response }) => sendJson(response, 200, proxy.getCounts()),
  },
  { method: 'POST', pattern: /^\/control$/, handle: (call) => handleControl(proxy, call) },
];
