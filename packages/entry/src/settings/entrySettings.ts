import { AdministratorRole, durationSchema, LogFormat, LogLevel } from '@sardinegrade/common';
import { DispatchPolicy } from '@sardinegrade/dispatch';
import { z } from 'zod';

const ADDRESS = /^[^\s:]+:\d{1,5}$/;
const KEY_HASH = /^[0-9a-f]{64}$/;

/** Upper bound of the `body_limit` setting. */
const MAX_BODY_BYTES = 8 * 1024 * 1024;
const DEFAULT_BODY_BYTES = 1024 * 1024;

/** Bounds of the `memory_limit` setting: the daemon needs most of the smallest for itself. */
const MIN_MEMORY_BYTES = 300_000_000;
const MAX_MEMORY_BYTES = 1e15;

const addressSchema = z.string().regex(ADDRESS, 'write host:port; port 0 lets the system choose');

const createIntegerSchema = (minimum: number, maximum: number) =>
  z
    .string()
    .regex(/^\d+$/, 'write a whole number')
    .transform(Number)
    .pipe(z.number().min(minimum).max(maximum));

const toList = (value: unknown): unknown => (typeof value === 'string' ? [value] : value);

const createListSchema = <Item extends z.ZodType>(item: Item) =>
  z.preprocess(toList, z.array(item));

/** Schema of the settings file of an entry daemon. */
export const ENTRY_SETTINGS_SCHEMA = z.strictObject({
  vm: z.strictObject({
    id: z.string().min(1).max(64),
    data_centre: z.string().min(1).max(64),
  }),
  callers: z
    .strictObject({
      listen: addressSchema,
      body_limit: createIntegerSchema(1_024, MAX_BODY_BYTES).default(DEFAULT_BODY_BYTES),
      /** Memory of the process, in bytes; that of the machine or its control group if it is not named. */
      memory_limit: createIntegerSchema(MIN_MEMORY_BYTES, MAX_MEMORY_BYTES).optional(),
      /** Maximum number of connections; derived from the memory and the descriptors if it is not named. */
      connection_limit: createIntegerSchema(16, 1_000_000).optional(),
      /** Maximum number of requests without a whole answer; derived likewise. */
      request_limit: createIntegerSchema(16, 1_000_000).optional(),
      tls_certificate: z.string().optional(),
      tls_key: z.string().optional(),
    })
    .refine(
      (callers) => (callers.tls_certificate === undefined) === (callers.tls_key === undefined),
      'tls_certificate and tls_key must be set together',
    ),
  administration: z.strictObject({ listen: addressSchema }),
  administrator: z
    .record(
      z.string(),
      z.strictObject({
        roles: createListSchema(z.enum(AdministratorRole)),
        key_sha256: createListSchema(
          z.string().regex(KEY_HASH, 'write the SHA-256 of a key, 64 hex digits'),
        ),
      }),
    )
    .default({}),
  peer: z
    .strictObject({
      listen: addressSchema,
      advertise: addressSchema.optional(),
      seeds: createListSchema(addressSchema).default([]),
      tls_certificate: z.string().optional(),
      tls_key: z.string().optional(),
      tls_authority: z.string().optional(),
    })
    .refine(
      (peer) =>
        new Set(
          [peer.tls_certificate, peer.tls_key, peer.tls_authority].map(
            (file) => file === undefined,
          ),
        ).size === 1,
      'tls_certificate, tls_key and tls_authority must be set together',
    ),
  platform: z.strictObject({ address: z.url() }),
  dispatch: z
    .strictObject({
      policy: z.enum(DispatchPolicy).default(DispatchPolicy.Tiered),
      shard_size: createIntegerSchema(1, 64).default(8),
    })
    .default({ policy: DispatchPolicy.Tiered, shard_size: 8 }),
  orders: z
    .strictObject({ writes_per_second: createIntegerSchema(1, 1_000).default(40) })
    .default({ writes_per_second: 40 }),
  traces: z.strictObject({ otlp_address: z.url().optional() }).default({}),
  log: z
    .strictObject({
      level: z.enum(LogLevel).default(LogLevel.Info),
      format: z.enum(LogFormat).default(LogFormat.Text),
    })
    .default({ level: LogLevel.Info, format: LogFormat.Text }),
  shutdown: z
    .strictObject({ settle_time: durationSchema.default(1_000) })
    .default({ settle_time: 1_000 }),
});

/** Validated settings of an entry daemon. */
export type EntrySettings = z.output<typeof ENTRY_SETTINGS_SCHEMA>;
