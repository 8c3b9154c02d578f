import { LogFormat, LogLevel, durationSchema } from '@sardinegrade/common';
import { z } from 'zod';

const ADDRESS = /^[^\s:]+:\d{1,5}$/;

const createIntegerSchema = (min: number, max: number) =>
  z
    .string()
    .regex(/^\d+$/, 'write a whole number')
    .transform(Number)
    .pipe(z.number().min(min).max(max));

const LEASE_SCHEMA = z.strictObject({
  duration: durationSchema.prefault('10s'),
  renew_interval: durationSchema.prefault('3s'),
  standby_interval: durationSchema.prefault('10s'),
  margin: durationSchema.prefault('1s'),
});

const ORDERS_SCHEMA = z.strictObject({
  /** Interval at which engines are compared with the configuration. */
  interval: durationSchema.prefault('5s'),
  /** Time limit of orders other than loads. */
  deadline: durationSchema.prefault('2s'),
  /** Time limit of loads, which fetch model weights. */
  load_deadline: durationSchema.prefault('10m'),
  parallel_loads: createIntegerSchema(1, 64).prefault('2'),
  loads_per_minute: createIntegerSchema(1, 600).prefault('12'),
});

/** Schema of a controller's settings file. */
export const CONTROLLER_SETTINGS_SCHEMA = z.strictObject({
  vm: z.strictObject({ id: z.string().min(1).max(64), data_centre: z.string().min(1).max(64) }),
  platform: z.strictObject({ address: z.url() }),
  administration: z
    .strictObject({
      listen: z.string().regex(ADDRESS, 'write host:port; port 0 lets the system choose'),
    })
    .prefault({ listen: '127.0.0.1:0' }),
  lease: LEASE_SCHEMA.prefault({}),
  orders: ORDERS_SCHEMA.prefault({}),
  log: z
    .strictObject({
      level: z.enum(LogLevel).default(LogLevel.Info),
      format: z.enum(LogFormat).default(LogFormat.Text),
    })
    .prefault({}),
});

/** Validated settings of a controller. */
export type ControllerSettings = z.output<typeof CONTROLLER_SETTINGS_SCHEMA>;
