import { z } from 'zod';

import type { PlatformBehaviour } from '@sardinegrade/platform';

/** The body of a conditional write. */
export const PUT_SCHEMA = z.object({ change_id: z.string().min(1), value: z.unknown() });

const VM_SCHEMA = z
  .object({
    id: z.string(),
    data_centre: z.string(),
    role: z.string(),
    address: z.string(),
    leaving: z.boolean(),
  })
  .transform(({ id, data_centre: dataCentre, role, address, leaving: isLeaving }) => ({
    id,
    dataCentre,
    role,
    address,
    isLeaving,
  }));

const PART = z.number().min(0).max(1);

/** Drops the fields that were not sent, which must not overwrite the behaviour. */
const filterDefined = (behaviour: Readonly<Record<string, unknown>>): Partial<PlatformBehaviour> =>
  Object.fromEntries(Object.entries(behaviour).filter(([, value]) => value !== undefined));

/** What the control port sets. */
export const CONTROL_SCHEMA = z
  .strictObject({
    outage: z.boolean().optional(),
    delay_ms: z.number().nonnegative().optional(),
    lose_answers: PART.optional(),
    lose_writes: PART.optional(),
    write_rate: z.number().positive().optional(),
    read_rate: z.number().positive().optional(),
    list_lag_ms: z.number().nonnegative().optional(),
    vms: z.array(VM_SCHEMA).optional(),
  })
  .transform((sent) =>
    filterDefined({
      outage: sent.outage,
      delayMs: sent.delay_ms,
      loseAnswers: sent.lose_answers,
      loseWrites: sent.lose_writes,
      writesPerSecond: sent.write_rate,
      readsPerSecond: sent.read_rate,
      listLagMs: sent.list_lag_ms,
      vms: sent.vms,
    }),
  );
