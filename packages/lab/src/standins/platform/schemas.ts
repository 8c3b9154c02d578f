import { z } from 'zod';

import type { PlatformBehaviour } from '@sardinegrade/platform';

/** Body of a conditional write. */
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

const FRACTION = z.number().min(0).max(1);

/** Removes undefined fields, which would otherwise overwrite the current behaviour. */
const filterDefined = (behaviour: Readonly<Record<string, unknown>>): Partial<PlatformBehaviour> =>
  Object.fromEntries(Object.entries(behaviour).filter(([, value]) => value !== undefined));

/** Body of a control request. Absent fields keep their current values. */
export const CONTROL_SCHEMA = z
  .strictObject({
    outage: z.boolean().optional(),
    delay_ms: z.number().nonnegative().optional(),
    lose_answers: FRACTION.optional(),
    lose_writes: FRACTION.optional(),
    write_rate: z.number().positive().optional(),
    read_rate: z.number().positive().optional(),
    list_lag_ms: z.number().nonnegative().optional(),
    vms: z.array(VM_SCHEMA).optional(),
  })
  .transform((control) =>
    filterDefined({
      outage: control.outage,
      delayMs: control.delay_ms,
      loseAnswers: control.lose_answers,
      loseWrites: control.lose_writes,
      writesPerSecond: control.write_rate,
      readsPerSecond: control.read_rate,
      listLagMs: control.list_lag_ms,
      vms: control.vms,
    }),
  );
