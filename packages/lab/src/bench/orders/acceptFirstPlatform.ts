import { OrderState } from '@sardinegrade/orders';
import { WriteOutcome } from '@sardinegrade/platform';

import type { OrderRecord } from '@sardinegrade/orders';
import type { ObjectWrite, PlatformClient, WriteResult } from '@sardinegrade/platform';

/**
 * Wraps a platform client so that every order is first recorded as accepted, as in a design with
 * three writes per order.
 *
 * @param platform - the client to wrap
 * @returns a client that writes the accepted state before the first state of a record
 */
export const createAcceptFirstPlatform = (platform: PlatformClient): PlatformClient => ({
  ...platform,
  write: async (write: ObjectWrite): Promise<WriteResult> => {
    if (write.ifVersion !== 0) return platform.write(write);
    const record = write.value as OrderRecord;
    const accepted = { ...record, state: OrderState.Accepted };
    const changeId = `${write.changeId}-accepted`;
    const result = await platform.write({ ...write, changeId, value: accepted });
    if (result.outcome !== WriteOutcome.Written) return result;
    return platform.write({ ...write, ifVersion: result.version });
  },
});
