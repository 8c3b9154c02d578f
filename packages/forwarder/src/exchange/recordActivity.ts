import type { ForwarderState } from '../ForwarderState.js';
import type { ActiveSend } from './types.js';

/**
 * Records that data of an answer has been received.
 *
 * @param state - state of the forwarder
 * @param active - the send that is being answered
 */
export const recordActivity = (
  { dataCentres, links, options }: ForwarderState,
  { record: { worker, health }, claimed, startedAtMs }: ActiveSend,
): void => {
  const nowMs = options.getNowMs();
  health.recordActivity(startedAtMs);
  dataCentres.recordWorkerActivity(worker.dataCentre, nowMs);
  if (!claimed.connection.isTunnel) links.recordActivity(nowMs);
};
