import { OrderState } from '@sardinegrade/orders';
import { WriteOutcome } from '@sardinegrade/platform';

import type { OrderRecord } from '@sardinegrade/orders';
import type { ObjectWrite, PlatformClient, WriteResult } from '@sardinegrade/platform';

/**
 * Makes every order's record begin as accepted, as a version with three writes would.
 *
 * @param platform - the platform
 * @returns a client that writes the accepted state before a record's first state
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
