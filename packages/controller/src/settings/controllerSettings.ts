import { LogFormat, LogLevel, durationSchema } from '@sardinegrade/common';
import { z } from 'zod';

const ADDRESS = /^[^\s:]+:\d{1,5}$/;

const createNumber = (low: number, high: number) =>
  z
    .string()
    .regex(/^\d+$/, 'write a whole number')
    .transform(Number)
    .pipe(z.number().min(low).max(high));

const LEASE = z.strictObject({
  duration: durationSchema.prefault('10s'),
  renew_interval: durationSchema.prefault('3s'),
  standby_interval: durationSchema.prefault('10s'),
  margin: durationSchema.prefault('1s'),
});

const ORDERS = z.strictObject({
  /** How often engines are compared with the configuration. */
  interval: durationSchema.prefault('5s'),
  /** For orders that do not fetch weights. */
  deadline: durationSchema.prefault('2s'),
  load_deadline: durationSchema.prefault('10m'),
  parallel_loads: createNumber(1, 64).prefault('2'),
  loads_per_minute: createNumber(1, 600).prefault('12'),
});

/** The settings file of a controller. */
export const CONTROLLER_SETTINGS_SCHEMA = z.strictObject({
  vm: z.strictObject({ id: z.string().min(1).max(64), data_centre: z.string().min(1).max(64) }),
  platform: z.strictObject({ address: z.url() }),
  administration: z
    .strictObject({
      listen: z.string().regex(ADDRESS, 'write host:port; port 0 lets the system choose'),
    })
    .prefault({ listen: '127.0.0.1:0' }),
  lease: LEASE.prefault({}),
  orders: ORDERS.prefault({}),
  log: z
    .strictObject({
      level: z.enum(LogLevel).default(LogLevel.Info),
      format: z.enum(LogFormat).default(LogFormat.Text),
    })
    .prefault({}),
});

/** Validated settings of a controller. */
export type ControllerSettings = z.output<typeof CONTROLLER_SETTINGS_SCHEMA>;
