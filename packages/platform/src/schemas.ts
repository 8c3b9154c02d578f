import * as z from 'zod';

import { WriteOutcome } from './types.js';

import type { ObjectPage, PlatformObject, PlatformVm, WatchResult, WriteResult } from './types.js';

/** Object in the platform's wire format. */
const OBJECT_SCHEMA = z
  .object({
    kind: z.string(),
    name: z.string(),
    version: z.number().int().nonnegative(),
    change_id: z.string(),
    value: z.unknown(),
  })
  .transform((sent): PlatformObject => ({
    kind: sent.kind,
    name: sent.name,
    version: sent.version,
    changeId: sent.change_id,
    value: sent.value,
  }));

const OPTIONAL_OBJECT_SCHEMA = OBJECT_SCHEMA.nullable().transform((object) => object ?? undefined);

const CHANGE_SCHEMA = z.object({
  kind: z.string(),
  name: z.string(),
  version: z.number().int(),
  object: OPTIONAL_OBJECT_SCHEMA,
});

const VM_SCHEMA = z
  .object({
    id: z.string(),
    data_centre: z.string(),
    role: z.string(),
    address: z.string(),
    leaving: z.boolean(),
  })
  .transform((sent): PlatformVm => ({
    id: sent.id,
    dataCentre: sent.data_centre,
    role: sent.role,
    address: sent.address,
    isLeaving: sent.leaving,
  }));

/** Schemas of the platform's responses, by call. */
export const RESPONSE_SCHEMAS = {
  object: OBJECT_SCHEMA,
  page: z
    .object({ objects: z.array(OBJECT_SCHEMA), next: z.string().nullable() })
    .transform((sent): ObjectPage => ({ objects: sent.objects, next: sent.next ?? undefined })),
  written: z
    .object({ version: z.number().int() })
    .transform((sent): WriteResult => ({ outcome: WriteOutcome.Written, version: sent.version })),
  conflict: z
    .object({ current: OPTIONAL_OBJECT_SCHEMA })
    .transform((sent): WriteResult => ({ outcome: WriteOutcome.Conflict, current: sent.current })),
  watch: z
    .object({
      version: z.number().int(),
      changes: z.array(CHANGE_SCHEMA),
      truncated: z.boolean(),
    })
    .transform((sent): WatchResult => ({
      version: sent.version,
      changes: sent.changes,
      isTruncated: sent.truncated,
    })),
  vms: z.object({ vms: z.array(VM_SCHEMA) }),
} as const;
