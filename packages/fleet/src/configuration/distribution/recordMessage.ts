import { FleetProtocol } from '@sardinegrade/peer';

import { DrainScope } from '../enums.js';

import type { ConfigurationRecord } from '../../types.js';

const SCOPE_TO_WIRE: Readonly<Record<DrainScope, FleetProtocol.DrainScope>> = {
  [DrainScope.Vm]: FleetProtocol.DrainScope.DRAIN_SCOPE_VM,
  [DrainScope.Upstream]: FleetProtocol.DrainScope.DRAIN_SCOPE_UPSTREAM,
  [DrainScope.DataCentre]: FleetProtocol.DrainScope.DRAIN_SCOPE_DATA_CENTRE,
};

const SCOPE_FROM_WIRE = new Map(
  Object.values(DrainScope).map((scope) => [SCOPE_TO_WIRE[scope], scope]),
);

const NO_RECORD: FleetProtocol.FetchConfigurationReply = {
  generation: 0,
  text: '',
  textGeneration: 0,
  drains: [],
  author: '',
  changeId: '',
  atMs: 0,
};

/**
 * @param record - the newest generation that this daemon has received, if any
 * @param atLeast - lowest generation that the requesting peer accepts
 * @returns the reply; its generation is 0 if there is no record or it is older than `atLeast`
 */
export const encodeRecordMessage = (
  record: ConfigurationRecord | undefined,
  atLeast: number,
): FleetProtocol.FetchConfigurationReply => {
  if (record === undefined || record.generation < atLeast) return NO_RECORD;
  const drains = record.drains.map((drain) => ({ ...drain, scope: SCOPE_TO_WIRE[drain.scope] }));
  return { ...record, drains };
};

/**
 * @param message - reply of a peer
 * @returns the generation that it contains, or undefined if it contains none
 */
export const decodeRecordMessage = (
  message: FleetProtocol.FetchConfigurationReply,
): ConfigurationRecord | undefined => {
  if (message.generation === 0) return undefined;
  const drains = message.drains.flatMap((drain) => {
    const scope = SCOPE_FROM_WIRE.get(drain.scope);
    return scope === undefined ? [] : [{ ...drain, scope }];
  });
  return { ...message, drains };
};
