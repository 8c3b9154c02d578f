import { z } from 'zod';

import { OrderEvent, OrderState } from './enums.js';

import { createUnreadableError } from './errors.js';

import type { PlatformObject } from '@sardinegrade/platform';
import type { OrderRecord, StoredOrder } from './types.js';

const bodySchema = z.object({ encoding: z.enum(['utf8', 'base64']), data: z.string() });

const headersSchema = z.record(z.string(), z.string());

const recordSchema = z.object({
  state: z.enum(OrderState),
  workspace: z.string(),
  service: z.string(),
  key: z.string(),
  fingerprint: z.string(),
  requestId: z.string(),
  traceparent: z.string(),
  owner: z.string(),
  attemptId: z.string(),
  acceptedAtMs: z.number(),
  dispatchedAtMs: z.number().optional(),
  settledAtMs: z.number().optional(),
  retentionMs: z.number(),
  request: z
    .object({
      method: z.string(),
      path: z.string(),
      headers: headersSchema,
      body: bodySchema.optional(),
    })
    .optional(),
  answer: z
    .object({
      status: z.number(),
      headers: headersSchema,
      bytes: z.number(),
      body: bodySchema.optional(),
    })
    .optional(),
  audit: z.array(
    z.object({
      atMs: z.number(),
      by: z.string(),
      event: z.enum(OrderEvent),
      to: z.enum(OrderState),
      reason: z.string(),
    }),
  ),
});

/**
 * Parses the order record in a platform object.
 *
 * @param object - the object as the platform returned it
 * @returns the validated record with its name and version
 * @throws SardinegradeError with `ResultCode.OrderUnknown` if the value is not a valid order record, as the state
 * of the order is then unknown
 */
export const parseStoredOrder = (object: PlatformObject): StoredOrder => {
  const result = recordSchema.safeParse(object.value);
  if (!result.success) throw createUnreadableError(object.name, result.error);
  const { name, version } = object;
  return { name, version, record: result.data as unknown as OrderRecord };
};
